"""The roles beside the node, by what they carry, and the first limit that each meets as the fleet grows."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from crowpost.lab.capacity.demand import DAY_S, Cost, Demand, summed
from crowpost.lab.capacity.figures import Figure
from crowpost.lab.capacity.lines import at
from crowpost.lab.capacity.machines import KEEPER, LIST, PUBLISHER, RELAY, Machine
from crowpost.lab.capacity.ranking import CONFIGURATION, FIGURES, LISTS, MINUTE_S
from crowpost.membership.settings import ProtocolSettings

GROWTH = (1.0, 2.0, 5.0)  # the sizes that the page looks at, in parts of the target
STEP = 0.05


@dataclass(frozen=True, slots=True)
class Role:
    """One process of a role: what it holds and spends, and where a budget for it is from."""

    name: str
    state: str
    cost: Cost
    mechanism: str  # the duty of the ranking that stands for it


def core_per_message(demand: Demand, times: float) -> Figure | None:
    """Percent of a core for one message a second, as membership was measured to spend on its own."""
    if demand.records.slopes is None:
        return None
    n = demand.servers(times).mid
    core = at(demand.records.slopes, "membership", "core_ms_per_s", n)
    messages = at(demand.records.slopes, "membership", "messages_per_s", n)
    return None if core is None or messages is None or messages.mid <= 0.0 else core.over(messages)


def _process(demand: Demand, times: float, name: str, messages: Figure, moved: Figure, held: Figure) -> Cost:
    """A process with one loop: the messages that it handles, the memory of an idle one and its state."""
    each = core_per_message(demand, times)
    memory = held.plus(demand.assumed("idle_memory"))
    return Cost(name, None if each is None else messages.times(each, "%"), memory, moved, messages)


def count(machines: Sequence[Machine], duty: str) -> int:
    """Machines that a duty stands on."""
    return sum(duty in m.duties for m in machines)


def relay(demand: Demand, machines: Sequence[Machine], times: float) -> Role:
    """Heads and heartbeats to all that watch it, and bodies to those that it is the nearer one for."""
    relays = demand.told(count(machines, RELAY), "zones")
    watches = demand.servers(times).times(demand.assumed("relays_watched")).over(relays)
    beats = watches.times(demand.beats(), "/s")
    taken = demand.changes(times).times(demand.reach(times))
    heads = watches.times(taken, "/s")
    bodies = demand.servers(times).over(relays).times(taken, "/s")
    moved = heads.times(demand.assumed("head_bytes"), "B/s").plus(
        bodies.times(demand.assumed("document_bytes"), "B/s")
    )
    moved = moved.plus(beats.times(demand.assumed("beat_bytes"), "B/s"))
    moved = moved.plus(demand.changes(times).times(demand.told_bytes("document_bytes"), "B/s"))
    found = demand.feed("calm", "relay_bytes_per_s", "B/s", int(demand.servers(times).mid))
    held = demand.documents(times).times(demand.held_each(), "B")
    # a head out and a standing back on each watch; a fetch and the body for the nearer ones
    messages = beats.plus(heads.plus(bodies).times(2.0))
    cost = _process(demand, times, "relay", messages, found or moved, held)
    return Role("relay", "the last two documents of each scope; who has what", cost, CONFIGURATION)


def publisher(demand: Demand, machines: Sequence[Machine], times: float) -> Role:
    """Every change once to each relay and to the other publisher, and kept on the disk."""
    followers = demand.told(count(machines, RELAY) + count(machines, PUBLISHER) - 1, "zones and regions")
    beats = followers.times(demand.beats(), "/s")
    told = demand.changes(times).times(followers, "/s")
    moved = told.times(demand.told_bytes("document_bytes"), "B/s").plus(
        beats.times(demand.assumed("beat_bytes"), "B/s")
    )
    found = demand.feed("calm", "publisher_bytes_per_s", "B/s", int(demand.servers(times).mid))
    held = demand.documents(times).times(demand.held_each(), "B")
    cost = _process(
        demand,
        times,
        "publisher",
        beats.plus(told.times(demand.messages_per_change(), "/s")),
        found or moved,
        held,
    )
    return Role("publisher", "the same, and a durable log of them", cost, CONFIGURATION)


def lists(demand: Demand, machines: Sequence[Machine], times: float) -> Role:
    """The leader: each lease renewed, each change told to the other replicas and, once, to each relay."""
    renewed = demand.servers(times).over(demand.assumed("lease_renewed_s"), "/s")
    changed = demand.restarts(times).times(demand.assumed("list_changes_per_restart"))
    followers = demand.told(count(machines, RELAY) + count(machines, LIST) - 1, "zones and replicas")
    told = changed.times(followers, "/s")
    moved = renewed.plus(told).times(demand.assumed("list_entry_bytes"), "B/s")
    held = demand.servers(times).times(demand.assumed("list_entry_bytes"), "B")
    cost = _process(
        demand,
        times,
        "list service",
        renewed.times(demand.assumed("messages_per_renewal")).plus(told),
        moved,
        held,
    )
    state = "each server's lease and row, a log of changes"
    return Role("list service (leader)", state, cost, LISTS)


def keeper(demand: Demand, machines: Sequence[Machine], times: float) -> Role:
    """The logs and figures of all nodes, at one of the machines that hold them."""
    one = next(cost for cost in demand.node() if cost.duty == "logs and figures")
    assert one.bytes is not None and one.messages is not None
    each = demand.servers(times).over(
        demand.told(max(1, count(machines, KEEPER)), "machines set aside less zones")
    )
    moved = each.times(one.bytes, "B/s")
    buffered = moved.times(MINUTE_S, "B")  # a minute of it, before it is written
    cost = _process(demand, times, "keeper", each.times(one.messages, "/s"), moved, buffered)
    return Role("holder of logs and figures", "what all nodes of a region wrote and counted", cost, FIGURES)


def disk(demand: Demand, machines: Sequence[Machine], times: float) -> Figure:
    """Bytes that a holder of logs and figures keeps."""
    moved = keeper(demand, machines, times).cost.bytes
    assert moved is not None
    return moved.times(DAY_S).times(demand.assumed("logs_kept_days"), "B")


ROLES: tuple[Callable[[Demand, Sequence[Machine], float], Role], ...] = (relay, publisher, lists, keeper)


# ------------------------------------------------------------ growth


@dataclass(frozen=True, slots=True)
class Limit:
    """Something that runs out: how much of it is used at some size, and how much there is."""

    what: str
    used: Figure | None
    there: Figure

    @property
    def part(self) -> float:
        """Of it that is used; 0 where nobody knows."""
        return self.used.mid / self.there.mid if self.used is not None else 0.0


def node_limits(demand: Demand, times: float) -> list[Limit]:
    """What a node may run out of."""
    cost, _ = summed("all", demand.node(times))
    budget = demand.budget()
    assert budget.core and budget.memory and budget.bytes
    most = demand.coded(ProtocolSettings().max_members, "crowpost.membership.settings.max_members")
    return [
        Limit("processor time", cost.core, budget.core),
        Limit("memory", cost.memory, budget.memory),
        Limit("bytes a second", cost.bytes, budget.bytes),
        Limit("members that membership takes", demand.servers(times), most),
    ]


def role_limits(role: Role, demand: Demand) -> list[Limit]:
    """What a process on a machine that is set aside may run out of; it has one loop, and so one core."""
    one = demand.coded(100.0, "one loop: one core", "%")
    return [
        Limit("its one core", role.cost.core, one),
        Limit("the machine's memory", role.cost.memory, demand.assumed("machine_memory")),
        Limit("the machine's network", role.cost.bytes, demand.assumed("machine_bytes_per_s")),
    ]


def limits_of(
    make: Callable[[Demand, Sequence[Machine], float], Role],
    demand: Demand,
    machines: Sequence[Machine],
    times: float,
) -> list[Limit]:
    """What a role may run out of at a multiple of the target's size."""
    return role_limits(make(demand, machines, times), demand)


def first_met(limits: Callable[[float], list[Limit]], most: float = GROWTH[-1]) -> tuple[str, float] | None:
    """The first limit passed as the size grows, and at which multiple; None: none up to the most."""
    if all(limit.part <= 1.0 for limit in limits(most)):
        return None  # what is used rises with the size
    for i in range(int((most - 1.0) / STEP + 1.5)):
        times = 1.0 + i * STEP
        passed = [limit for limit in limits(times) if limit.part > 1.0]
        if passed:
            return max(passed, key=lambda limit: limit.part).what, times
    return None


def nearest(limits: list[Limit]) -> Limit:
    """The limit with the least of it left."""
    return max(limits, key=lambda limit: limit.part)
