"""Costs of the roles other than the node, and the first limit that each exceeds as the fleet grows."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from crowpost.lab.capacity.demand import DAY_S, Cost, Demand, sum_costs
from crowpost.lab.capacity.figures import Figure
from crowpost.lab.capacity.lines import cost_at
from crowpost.lab.capacity.machines import LIST, LOG_HOLDER, PUBLISHER, RELAY, Machine
from crowpost.lab.capacity.ranking import CONFIGURATION, FIGURES, LISTS, MINUTE_S
from crowpost.membership.settings import ProtocolSettings

GROWTH = (1.0, 2.0, 5.0)  # Sizes shown by the page, as multiples of the target.
GROWTH_STEP = 0.05  # Step of the search for the first exceeded limit.


@dataclass(frozen=True, slots=True)
class Role:
    """One process of a role: the state that it holds, its cost and its mechanism."""

    name: str
    state: str
    cost: Cost
    mechanism: str  # Name of the ranked duty that it belongs to.


def core_per_message(demand: Demand, scale: float) -> Figure | None:
    """Return percent of a core for one message per second, as measured for messages of membership."""
    if demand.records.slopes is None:
        return None
    members = demand.servers(scale).mid
    core = cost_at(demand.records.slopes, "membership", "core_ms_per_s", members)
    messages = cost_at(demand.records.slopes, "membership", "messages_per_s", members)
    return None if core is None or messages is None or messages.mid <= 0.0 else core.over(messages)


def _process(
    demand: Demand, scale: float, name: str, messages: Figure, byte_rate: Figure, state_memory: Figure
) -> Cost:
    """Return the cost of a process with one event loop; its memory is an idle process's plus its state."""
    core_each = core_per_message(demand, scale)
    memory = state_memory.plus(demand.assumed("idle_memory"))
    return Cost(
        name, None if core_each is None else messages.times(core_each, "%"), memory, byte_rate, messages
    )


def count(machines: Sequence[Machine], duty: str) -> int:
    """Return the number of machines that run a duty."""
    return sum(duty in machine.duties for machine in machines)


def relay(demand: Demand, machines: Sequence[Machine], scale: float) -> Role:
    """Return the relay: headers and heartbeats to all followers, bodies to those that it is nearer to."""
    relays = demand.from_target(count(machines, RELAY), "zones")
    subscriptions = demand.servers(scale).times(demand.assumed("relays_watched")).over(relays)
    heartbeats = subscriptions.times(demand.heartbeats(), "/s")
    received = demand.changes(scale).times(demand.fraction_received(scale))
    headers = subscriptions.times(received, "/s")
    bodies = demand.servers(scale).over(relays).times(received, "/s")
    byte_rate = headers.times(demand.assumed("head_bytes"), "B/s").plus(
        bodies.times(demand.assumed("document_bytes"), "B/s")
    )
    byte_rate = byte_rate.plus(heartbeats.times(demand.assumed("beat_bytes"), "B/s"))
    byte_rate = byte_rate.plus(demand.changes(scale).times(demand.bytes_per_change("document_bytes"), "B/s"))
    measured = demand.feed("calm", "relay_bytes_per_s", "B/s", int(demand.servers(scale).mid))
    state_memory = demand.documents(scale).times(demand.bytes_per_scope(), "B")
    # A header to each follower and an apply status back; a fetch and a body for the nearer ones.
    messages = heartbeats.plus(headers.plus(bodies).times(2.0))
    cost = _process(demand, scale, "relay", messages, measured or byte_rate, state_memory)
    return Role("relay", "the last two documents of each scope; who has what", cost, CONFIGURATION)


def publisher(demand: Demand, machines: Sequence[Machine], scale: float) -> Role:
    """Return the publisher: each change is sent once to each relay and other publisher, and kept on disk."""
    followers = demand.from_target(
        count(machines, RELAY) + count(machines, PUBLISHER) - 1, "zones and regions"
    )
    heartbeats = followers.times(demand.heartbeats(), "/s")
    published = demand.changes(scale).times(followers, "/s")
    byte_rate = published.times(demand.bytes_per_change("document_bytes"), "B/s").plus(
        heartbeats.times(demand.assumed("beat_bytes"), "B/s")
    )
    measured = demand.feed("calm", "publisher_bytes_per_s", "B/s", int(demand.servers(scale).mid))
    state_memory = demand.documents(scale).times(demand.bytes_per_scope(), "B")
    cost = _process(
        demand,
        scale,
        "publisher",
        heartbeats.plus(published.times(demand.messages_per_change(), "/s")),
        measured or byte_rate,
        state_memory,
    )
    return Role("publisher", "the same, and a durable log of them", cost, CONFIGURATION)


def lists(demand: Demand, machines: Sequence[Machine], scale: float) -> Role:
    """Return the list leader: it renews leases, and sends changes to replicas and, once, to each relay."""
    renewals = demand.servers(scale).over(demand.assumed("lease_renewed_s"), "/s")
    changes = demand.restarts(scale).times(demand.assumed("list_changes_per_restart"))
    followers = demand.from_target(count(machines, RELAY) + count(machines, LIST) - 1, "zones and replicas")
    replicated = changes.times(followers, "/s")
    byte_rate = renewals.plus(replicated).times(demand.assumed("list_entry_bytes"), "B/s")
    state_memory = demand.servers(scale).times(demand.assumed("list_entry_bytes"), "B")
    cost = _process(
        demand,
        scale,
        "list service",
        renewals.times(demand.assumed("messages_per_renewal")).plus(replicated),
        byte_rate,
        state_memory,
    )
    state = "each server's lease and row, a log of changes"
    return Role("list service (leader)", state, cost, LISTS)


def log_holder(demand: Demand, machines: Sequence[Machine], scale: float) -> Role:
    """Return the holder of logs and metrics: one of the machines that share those of all nodes."""
    node_cost = next(cost for cost in demand.node() if cost.duty == "logs and figures")
    assert node_cost.bytes is not None and node_cost.messages is not None
    nodes_each = demand.servers(scale).over(
        demand.from_target(max(1, count(machines, LOG_HOLDER)), "machines set aside less zones")
    )
    byte_rate = nodes_each.times(node_cost.bytes, "B/s")
    buffered = byte_rate.times(MINUTE_S, "B")  # One minute is held before it is written.
    cost = _process(
        demand, scale, "log holder", nodes_each.times(node_cost.messages, "/s"), byte_rate, buffered
    )
    return Role("holder of logs and figures", "what all nodes of a region wrote and counted", cost, FIGURES)


def disk(demand: Demand, machines: Sequence[Machine], scale: float) -> Figure:
    """Return the bytes that a holder of logs and metrics keeps on disk."""
    byte_rate = log_holder(demand, machines, scale).cost.bytes
    assert byte_rate is not None
    return byte_rate.times(DAY_S).times(demand.assumed("logs_kept_days"), "B")


ROLES: tuple[Callable[[Demand, Sequence[Machine], float], Role], ...] = (relay, publisher, lists, log_holder)


# ------------------------------------------------------------ growth


@dataclass(frozen=True, slots=True)
class Limit:
    """A limited resource: how much of it is used at some size, and how much is available."""

    name: str
    used: Figure | None
    available: Figure

    @property
    def used_fraction(self) -> float:
        """The used fraction; 0 where it is unknown."""
        return self.used.mid / self.available.mid if self.used is not None else 0.0


def node_limits(demand: Demand, scale: float) -> list[Limit]:
    """Return the limits of a node."""
    cost, _ = sum_costs("all", demand.node(scale))
    budget = demand.budget()
    assert budget.core and budget.memory and budget.bytes
    member_limit = demand.from_code(
        ProtocolSettings().max_members, "crowpost.membership.settings.max_members"
    )
    return [
        Limit("processor time", cost.core, budget.core),
        Limit("memory", cost.memory, budget.memory),
        Limit("bytes a second", cost.bytes, budget.bytes),
        Limit("members that membership takes", demand.servers(scale), member_limit),
    ]


def limits_of_process(role: Role, demand: Demand) -> list[Limit]:
    """Return the limits of a process on a machine set aside; it has one event loop, and so one core."""
    one_core = demand.from_code(100.0, "one loop: one core", "%")
    return [
        Limit("its one core", role.cost.core, one_core),
        Limit("the machine's memory", role.cost.memory, demand.assumed("machine_memory")),
        Limit("the machine's network", role.cost.bytes, demand.assumed("machine_bytes_per_s")),
    ]


def limits_of_role(
    build_role: Callable[[Demand, Sequence[Machine], float], Role],
    demand: Demand,
    machines: Sequence[Machine],
    scale: float,
) -> list[Limit]:
    """Return the limits of a role at a multiple of the target's size."""
    return limits_of_process(build_role(demand, machines, scale), demand)


def first_exceeded(
    limits: Callable[[float], list[Limit]], largest: float = GROWTH[-1]
) -> tuple[str, float] | None:
    """Return the first limit exceeded as the size grows, with the multiple; None if none up to `largest`."""
    if all(limit.used_fraction <= 1.0 for limit in limits(largest)):
        return None  # Usage only rises with the size.
    for step in range(int((largest - 1.0) / GROWTH_STEP + 1.5)):
        scale = 1.0 + step * GROWTH_STEP
        exceeded = [limit for limit in limits(scale) if limit.used_fraction > 1.0]
        if exceeded:
            return max(exceeded, key=lambda limit: limit.used_fraction).name, scale
    return None


def nearest(limits: list[Limit]) -> Limit:
    """Return the limit with the largest used fraction."""
    return max(limits, key=lambda limit: limit.used_fraction)
