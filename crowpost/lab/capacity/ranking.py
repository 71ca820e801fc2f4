"""Ranks the control duties by the need that no mechanism covers yet.

Each control duty needs a part of a node's budget in its most expensive minute, and the existing mechanisms
carry a part of what is required of it.  The open need is the need times the part that is not carried.  Duties
with a requirement in the target file come first, then the others; in both the largest open need comes first.
A duty that builds on another open one comes after that one.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from crowpost.lab.capacity.demand import DAY_S, Cost, Demand, sum_costs
from crowpost.lab.capacity.figures import Figure

CONFIGURATION, LISTS = "configuration to all nodes", "lists of servers, written by leases"
FIGURES, SHARED = "logs and figures, in one place", "facts shared between nodes"
MINUTE_S = 60.0
EXISTS, PARTIAL, MISSING = "exists", "partial", "missing"
FULLY_CARRIED = 0.999  # From this carried part on, a duty counts as fully carried.
MISSING_BELOW = 0.01  # Below this carried part, the mechanism of a duty counts as missing.


@dataclass(frozen=True, slots=True)
class Duty:
    """A control duty, the largest part of a node's budget that it needs, and the part carried today."""

    name: str
    means: str  # The mechanism that would carry the duty, and what carries it today.
    need: Figure  # Percent of the node's budget.
    carried: Figure  # The carried part of what is required, from 0 to 1.
    cost_name: str = ""  # Name of the duty in the costs of a node.
    required: bool = False  # Whether the target file states a requirement.
    builds_on: tuple[str, ...] = ()

    @property
    def status(self) -> str:
        """Whether the mechanism exists, is partial or missing, by the carried part of the duty."""
        if self.carried.mid >= FULLY_CARRIED:
            return EXISTS
        return MISSING if self.carried.mid < MISSING_BELOW else PARTIAL

    @property
    def open(self) -> Figure:
        """The need that no mechanism carries, in percent of the node's budget."""
        not_carried = max(0.0, 1.0 - self.carried.mid)
        if not_carried <= 1.0 - FULLY_CARRIED:
            not_carried = 0.0
        open_need = self.need.times(not_carried)
        return Figure(
            open_need.mid,
            open_need.low,
            open_need.high,
            "%",
            open_need.origins + self.carried.origins,
            open_need.extrapolated,
        )


def rank(duties: Sequence[Duty]) -> list[Duty]:
    """Return the open duties in the order in which their mechanisms are missing."""
    remaining = sorted(
        (duty for duty in duties if duty.open.mid > 0.0),
        key=lambda duty: (not duty.required, -duty.open.mid, duty.name),
    )
    open_names = {duty.name for duty in remaining}
    order: list[Duty] = []
    placed: set[str] = set()
    while remaining:
        # In a cycle each duty waits for another one: then the one with the largest open need is next.
        ready = [duty for duty in remaining if not (open_names - placed) & set(duty.builds_on)] or remaining
        order.append(ready[0])
        placed.add(ready[0].name)
        remaining.remove(ready[0])
    return order


def budget_percentage(cost: Cost, budget: Cost) -> Figure:
    """Return the largest of core, memory and bytes as a percentage of the budget."""
    pairs = ((cost.core, budget.core), (cost.memory, budget.memory), (cost.bytes, budget.bytes))
    parts = [
        part.over(whole).times(100.0, "%") for part, whole in pairs if part is not None and whole is not None
    ]
    return max(parts, key=lambda figure: figure.mid)


def duties(demand: Demand) -> list[Duty]:
    """Return all control duties, each with its need and the part that this source tree carries."""
    budget = demand.budget()
    node = {cost.duty: cost for cost in demand.node()}
    assert budget.bytes is not None and budget.core is not None

    def byte_budget_percentage(byte_rate: Figure) -> Figure:
        return byte_rate.over(budget.bytes or byte_rate).times(100.0, "%")

    def largest(*needs: Figure) -> Figure:
        return max(needs, key=lambda figure: figure.mid)

    in_force = demand.from_target(demand.target.target.in_force_s, "in_force_s", "s")
    by_hand = demand.servers().times(demand.assumed("hand_s_per_node"), "s")
    burst = demand.assumed("burst_changes").times(demand.bytes_per_change("document_bytes"))
    returning = demand.listed_servers().over(demand.from_target(demand.target.target.zones, "zones"))
    lists = returning.times(demand.assumed("list_entry_bytes")).over(in_force, "B/s")
    restarts = demand.restarts().times(DAY_S).times(demand.assumed("hand_s_per_restart"))
    start = demand.assumed("start_s").over(MINUTE_S).times(100.0, "%")
    shared_rate = demand.assumed("shared_facts_bytes")
    return [
        Duty(
            "membership",
            "crowpost/membership: gossip among all",
            budget_percentage(node["membership"], budget),
            _carried_by_membership(demand, budget_percentage(node["membership"], budget)),
            required=True,
            cost_name="membership",
        ),
        Duty(
            "load reports",
            "a header of each answer",
            budget_percentage(node["load reports"], budget),
            demand.from_code(1.0, "crowpost.node.http.load_report"),
            cost_name="load reports",
        ),
        Duty(
            CONFIGURATION,
            "crowpost/config_feed: publishers and relays; "
            "without it a file replaced and SIGHUP sent, node after node",
            largest(
                budget_percentage(node["configuration"], budget),
                byte_budget_percentage(burst.over(demand.assumed("burst_s"), "B/s")),
            ),
            _carried_by_feed(demand, in_force, by_hand),
            required=True,
            cost_name="configuration",
        ),
        Duty(
            LISTS,
            "a list service that agrees (issue 20), told by the feed. Today a list by hand, node after node",
            largest(budget_percentage(node["list and watch"], budget), byte_budget_percentage(lists)),
            _carried_if_built(demand, "directory", in_force.over(by_hand)),
            required=True,
            builds_on=(CONFIGURATION,),
            cost_name="list and watch",
        ),
        Duty(
            FIGURES,
            "a collector (no issue yet). Today each node's own page and log",
            budget_percentage(node["logs and figures"], budget),
            _carried_if_built(demand, "collect"),
            cost_name="logs and figures",
        ),
        Duty(
            SHARED,
            "limits, affinity and verdicts with a bound on their age (issue 21). Today each node alone",
            byte_budget_percentage(shared_rate),
            _carried_if_built(demand, "shared"),
        ),
        Duty(
            "replacements and rollouts",
            "a controller, a driver on each machine (issue 22). Today one person's hands, a node at a time",
            largest(budget_percentage(node["restart"], budget), start.over(budget.core).times(100.0, "%")),
            _carried_if_built(demand, "rollout", demand.assumed("hand_day_s").over(restarts)),
            required=True,
            builds_on=(CONFIGURATION, LISTS),
            cost_name="restart",
        ),
    ]


def _at_most_one(figure: Figure) -> Figure:
    low, mid, high = (min(1.0, value) for value in (figure.low, figure.mid, figure.high))
    return Figure(mid, low, high, "", figure.origins, figure.extrapolated)


def _carried_by_membership(demand: Demand, need: Figure) -> Figure:
    """Return the carried part by the member limit, or by the budget if that allows less."""
    if "members" not in demand.built:
        return demand.from_code(0.0, "crowpost.membership, not there")
    from crowpost.membership.settings import ProtocolSettings

    limit = demand.from_code(ProtocolSettings().max_members, "crowpost.membership.settings.max_members")
    by_limit = limit.over(demand.servers())
    by_budget = demand.from_code(100.0, "the whole budget").over(need)
    return _at_most_one(min((by_limit, by_budget), key=lambda figure: figure.mid))


def _carried_by_feed(demand: Demand, in_force: Figure, by_hand: Figure) -> Figure:
    """Return the carried part by the slowest node of all runs at the target's size.

    A feed that is built but not measured counts as absent.
    """
    cases = sorted({run.case for run in demand.feed_runs()})
    if "feed" not in demand.built or not cases:
        return _at_most_one(in_force.over(by_hand))
    worst = [demand.feed(case, "worst", "s") for case in cases]
    known_worst = [figure for figure in worst if figure is not None]
    if not known_worst:
        return _at_most_one(in_force.over(by_hand))
    slowest = max(known_worst, key=lambda figure: figure.high)
    carried = _at_most_one(
        in_force.over(Figure(slowest.high, slowest.high, slowest.high, "s", slowest.origins))
    )
    if any(run.unreached for run in demand.feed_runs()):
        reached = min(1.0 - run.unreached / run.nodes for run in demand.feed_runs())
        carried = carried.times(reached)
    return carried


def _carried_if_built(demand: Demand, package: str, otherwise: Figure | None = None) -> Figure:
    """Return 1 if the package exists, else the part that is carried without it, by default 0."""
    if package in demand.built:
        return demand.from_code(1.0, f"crowpost.{package}")
    return (
        demand.from_code(0.0, f"crowpost.{package}, not there")
        if otherwise is None
        else _at_most_one(otherwise)
    )


def node_total(demand: Demand, scale: float = 1.0) -> tuple[Cost, bool]:
    """Return the sum of all duties of one node, and whether every cost is known."""
    return sum_costs("all duties", demand.node(scale))
