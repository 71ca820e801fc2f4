"""All decisions of crowpost.  The settings, events and actions are in crowpost/decision_api.

On the ordinary path the learning automaton chooses the endpoint.  The other modules decide which endpoints
are eligible, when a request is sent, and what follows from an outcome; docs/design.md lists these exceptions
and when each one acts.  Nothing here reads a clock or a global random source: time comes with each event and
randomness from the seed.

The comments refer to four rules that hold at all times:
1. A request gets one final answer, in time, and nothing is sent for it afterwards.
2. A request is sent again only where a second execution does no harm, by the effect, the idempotency scope
   and the idempotency window of its class, or after proof that the earlier attempts never ran.
3. An attempt goes only to an endpoint that the list has as ready, never to one that is draining or gone.
4. A warming endpoint gets no more than the budget of its slow start.
"""

from crowpost.decisions.balancer import Balancer as Balancer
from crowpost.decisions.learning_automaton import LearningAutomaton as LearningAutomaton
