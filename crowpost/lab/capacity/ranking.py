"""Which mechanism is missing first, by a rule.

Each control duty needs a part of a node's budget, in its dearest minute, and what exists carries a part of
what is asked of it.  What is open is the need times the part that is not carried.  Duties of which the target
file says what is asked come first, then the others; in both the most open first; and one that builds on
another that is open itself comes after that one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from crowpost.lab.capacity.demand import DAY_S, Cost, Demand, summed
from crowpost.lab.capacity.figures import Figure

CONFIGURATION, LISTS = "configuration to all nodes", "lists of servers, written by leases"
FIGURES, SHARED = "logs and figures, in one place", "facts shared between nodes"
MINUTE_S = 60.0
EXISTS, PARTIAL, MISSING = "exists", "partial", "missing"
CARRIED_WHOLE = 0.999
MISSING_BELOW = 0.01  # carried: what carries less than this of a duty carries nothing of it


@dataclass(frozen=True, slots=True)
class Duty:
    """A control duty, what it needs of a node's budget at the most, and the part that is carried today."""

    name: str
    means: str  # what would carry it, and what does today
    need: Figure  # percent of the node's budget
    carried: Figure  # of what is asked, from 0 to 1
    of_node: str = ""  # what it is called among the costs of a node
    asked: bool = False  # the target file names what is asked
    builds_on: tuple[str, ...] = ()

    @property
    def status(self) -> str:
        """Whether the mechanism exists, by how much of the duty is carried."""
        if self.carried.mid >= CARRIED_WHOLE:
            return EXISTS
        return MISSING if self.carried.mid < MISSING_BELOW else PARTIAL

    @property
    def open(self) -> Figure:
        """The need for which nothing exists, in percent of the node's budget."""
        rest = max(0.0, 1.0 - self.carried.mid)
        if rest <= 1.0 - CARRIED_WHOLE:
            rest = 0.0
        whole = self.need.times(rest)
        return Figure(
            whole.mid, whole.low, whole.high, "%", whole.origins + self.carried.origins, whole.beyond
        )


def rank(duties: Sequence[Duty]) -> list[Duty]:
    """Those that are open, the first missing first."""
    left = sorted((d for d in duties if d.open.mid > 0.0), key=lambda d: (not d.asked, -d.open.mid, d.name))
    opened = {d.name for d in left}
    found: list[Duty] = []
    placed: set[str] = set()
    while left:
        # In a circle each waits for another: then the most open goes first.
        ready = [d for d in left if not (opened - placed) & set(d.builds_on)] or left
        found.append(ready[0])
        placed.add(ready[0].name)
        left.remove(ready[0])
    return found


def share(cost: Cost, budget: Cost) -> Figure:
    """The dearest of core, memory and bytes, as a percentage of the budget."""
    pairs = ((cost.core, budget.core), (cost.memory, budget.memory), (cost.bytes, budget.bytes))
    parts = [
        part.over(whole).times(100.0, "%") for part, whole in pairs if part is not None and whole is not None
    ]
    return max(parts, key=lambda figure: figure.mid)


def duties(demand: Demand) -> list[Duty]:
    """All control duties, each with its need and with what carries it in this tree."""
    budget = demand.budget()
    node = {cost.duty: cost for cost in demand.node()}
    assert budget.bytes is not None and budget.core is not None

    def of_bytes(moved: Figure) -> Figure:
        return moved.over(budget.bytes or moved).times(100.0, "%")

    def most(*needs: Figure) -> Figure:
        return max(needs, key=lambda figure: figure.mid)

    in_force = demand.told(demand.target.target.in_force_s, "in_force_s", "s")
    by_hand = demand.servers().times(demand.assumed("hand_s_per_node"), "s")
    burst = demand.assumed("burst_changes").times(demand.told_bytes("document_bytes"))
    back = demand.seen().over(demand.told(demand.target.target.zones, "zones"))
    lists = back.times(demand.assumed("list_entry_bytes")).over(in_force, "B/s")
    restarts = demand.restarts().times(DAY_S).times(demand.assumed("hand_s_per_restart"))
    start = demand.assumed("start_s").over(MINUTE_S).times(100.0, "%")
    shared = demand.assumed("shared_facts_bytes")
    return [
        Duty(
            "membership",
            "crowpost/membership: gossip among all",
            share(node["membership"], budget),
            _membership(demand, share(node["membership"], budget)),
            asked=True,
            of_node="membership",
        ),
        Duty(
            "load reports",
            "a header of each answer",
            share(node["load reports"], budget),
            demand.coded(1.0, "crowpost.node.http.load_report"),
            of_node="load reports",
        ),
        Duty(
            CONFIGURATION,
            "crowpost/config_feed: publishers and relays; "
            "without it a file replaced and SIGHUP sent, node after node",
            most(
                share(node["configuration"], budget), of_bytes(burst.over(demand.assumed("burst_s"), "B/s"))
            ),
            _feed(demand, in_force, by_hand),
            asked=True,
            of_node="configuration",
        ),
        Duty(
            LISTS,
            "a list service that agrees (issue 20), told by the feed. Today a list by hand, node after node",
            most(share(node["list and watch"], budget), of_bytes(lists)),
            _built(demand, "directory", in_force.over(by_hand)),
            asked=True,
            builds_on=(CONFIGURATION,),
            of_node="list and watch",
        ),
        Duty(
            FIGURES,
            "a collector (no issue yet). Today each node's own page and log",
            share(node["logs and figures"], budget),
            _built(demand, "collect"),
            of_node="logs and figures",
        ),
        Duty(
            SHARED,
            "limits, affinity and verdicts with a bound on their age (issue 21). Today each node alone",
            of_bytes(shared),
            _built(demand, "shared"),
        ),
        Duty(
            "replacements and rollouts",
            "a controller, a driver on each machine (issue 22). Today one person's hands, a node at a time",
            most(share(node["restart"], budget), start.over(budget.core).times(100.0, "%")),
            _built(demand, "rollout", demand.assumed("hand_day_s").over(restarts)),
            asked=True,
            builds_on=(CONFIGURATION, LISTS),
            of_node="restart",
        ),
    ]


def _at_most_one(figure: Figure) -> Figure:
    low, mid, high = (min(1.0, value) for value in (figure.low, figure.mid, figure.high))
    return Figure(mid, low, high, "", figure.origins, figure.beyond)


def _membership(demand: Demand, need: Figure) -> Figure:
    """By the members that it takes, and by the node's budget where it needs more than that."""
    if "members" not in demand.built:
        return demand.coded(0.0, "crowpost.membership, not there")
    from crowpost.membership.settings import ProtocolSettings

    limit = demand.coded(ProtocolSettings().max_members, "crowpost.membership.settings.max_members")
    most = limit.over(demand.servers())
    within = demand.coded(100.0, "the whole budget").over(need)
    return _at_most_one(min((most, within), key=lambda figure: figure.mid))


def _feed(demand: Demand, in_force: Figure, by_hand: Figure) -> Figure:
    """By the slowest node of all runs at the target's size; built and not measured counts for nothing."""
    cases = sorted({run.case for run in demand.feed_runs()})
    if "feed" not in demand.built or not cases:
        return _at_most_one(in_force.over(by_hand))
    worst = [demand.feed(case, "worst", "s") for case in cases]
    known = [figure for figure in worst if figure is not None]
    if not known:
        return _at_most_one(in_force.over(by_hand))
    slowest = max(known, key=lambda figure: figure.high)
    of_all = _at_most_one(
        in_force.over(Figure(slowest.high, slowest.high, slowest.high, "s", slowest.origins))
    )
    if any(run.unreached for run in demand.feed_runs()):
        reached = min(1.0 - run.unreached / run.nodes for run in demand.feed_runs())
        of_all = of_all.times(reached)
    return of_all


def _built(demand: Demand, package: str, otherwise: Figure | None = None) -> Figure:
    """Whole where the package is there; else what is carried without, or nothing."""
    if package in demand.built:
        return demand.coded(1.0, f"crowpost.{package}")
    return (
        demand.coded(0.0, f"crowpost.{package}, not there") if otherwise is None else _at_most_one(otherwise)
    )


def node_total(demand: Demand, times: float = 1.0) -> tuple[Cost, bool]:
    """All duties of one node."""
    return summed("all duties", demand.node(times))
