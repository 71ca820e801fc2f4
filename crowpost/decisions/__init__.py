"""Every decision of crowpost.  The settings, events and actions are in crowpost/decision_api.

The ordinary path is the learning automaton; the rest says which endpoints may be drawn, when, and what
follows from an outcome: docs/design.md lists those exceptions and when each one acts.  Nothing here reads a
clock or a global random source: time comes with each event, randomness from the seed.
"""

from crowpost.decisions.balancer import Balancer as Balancer
from crowpost.decisions.learning_automaton import LearningAutomaton as LearningAutomaton
