"""Every decision of fawngw.  The types, events and actions are in fawngw/interface.py.

The ordinary path is the learning automaton; the rest says which servers may be drawn, when, and what follows
from an outcome: docs/design.md lists those exceptions and when each one acts.  Nothing here reads a clock
or a global random source: time comes with each event, randomness from the seed.
"""

from fawngw.decide.automaton import Automaton as Automaton
from fawngw.decide.balancer import Balancer as Balancer
