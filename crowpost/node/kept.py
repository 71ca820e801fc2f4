"""What a node keeps for its next process, as records of a store: facts with their times, and no request.

Times are Unix time in ms, since they must be compared over a restart.  A fact from the future, as after a
clock that went back, is of unknown age and not used; the list and the drain hold whatever their age.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import msgpack

from crowpost.decision_api import EndpointId, RememberedEndpoint, StateRestored
from crowpost.store.model import Found, StoreError

PIECE = 250  # servers in one record or piece: packing them takes less than a millisecond
CLOCK_SLACK_MS = 1_000.0  # by which a fact may seem to come from the future

Instance = dict[str, Any]  # as discovery told it


@dataclass(frozen=True, slots=True)
class ListPart:
    """A list or a change of it, or a part of one: it holds once the last part has come."""

    reset: bool  # what was listed before is gone
    generation: int
    instances: list[Instance]
    more: bool = False

    def pack(self) -> bytes:
        return _pack("list", self.reset, self.generation, self.instances, self.more)


@dataclass(frozen=True, slots=True)
class Learned:
    """What was known of some servers at a time."""

    at: float
    memories: Sequence[RememberedEndpoint]

    def pack(self) -> bytes:
        rows = [(m.server, m.started_ms, m.share_ratio, m.average_ms, m.ejected) for m in self.memories]
        return _pack("servers", self.at, rows)


@dataclass(frozen=True, slots=True)
class Limit:
    """The limit for each unit of capacity at a time."""

    at: float
    each: float

    def pack(self) -> bytes:
        return _pack("limit", self.at, self.each)


@dataclass(frozen=True, slots=True)
class Evacuated:
    """Whether staff have emptied the node."""

    yes: bool

    def pack(self) -> bytes:
        return _pack("drain", self.yes)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """The last number that this node had among the members."""

    number: int

    def pack(self) -> bytes:
        return _pack("incarnation", self.number)


Fact = ListPart | Learned | Limit | Evacuated | Incarnation


def _pack(*values: Any) -> bytes:
    packed: bytes = msgpack.packb(values)
    return packed


def unpack(payload: bytes) -> Fact:
    """The fact of a record; StoreError if it is none."""
    try:
        kind, *values = msgpack.unpackb(payload, raw=False)
        if kind == "servers":
            at, rows = values
            return Learned(float(at), [RememberedEndpoint(*row) for row in rows])
        made: Fact = {"list": ListPart, "limit": Limit, "drain": Evacuated, "incarnation": Incarnation}[kind](
            *values
        )
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        raise StoreError(f"a record that no node has written: {' '.join(str(error).split())}") from None
    return made


def parts(reset: bool, generation: int, instances: Sequence[Instance]) -> Iterator[ListPart]:
    """A list or a change of it in parts of bounded size."""
    for i in range(0, max(len(instances), 1), PIECE):
        some = list(instances[i : i + PIECE])
        yield ListPart(reset and not i, generation, some, i + PIECE < len(instances))


@dataclass(slots=True)
class Kept:
    """The state after some facts."""

    generation: int = 0
    # Packed, each by itself: ten thousand tables would cost every full garbage collection milliseconds.
    instances: dict[str, bytes] = field(default_factory=dict)
    servers: dict[EndpointId, tuple[float, RememberedEndpoint]] = field(default_factory=dict)  # with its time
    limit: Limit = Limit(0.0, 0.0)
    evacuated: bool = False
    incarnation: int = 0
    staged: dict[str, bytes] | None = None  # the list that will hold once its last part has come

    def apply(self, fact: Fact) -> None:
        """Take in one more."""
        match fact:
            case ListPart():
                self._list(fact)
            case Learned(at, memories):
                self.servers.update((m.server, (at, m)) for m in memories)
            case Limit():
                self.limit = fact
            case Evacuated(yes):
                self.evacuated = yes
            case Incarnation(number):
                self.incarnation = number

    def _list(self, part: ListPart) -> None:
        if part.reset:
            self.staged = {}
        elif self.staged is None:
            self.staged = self.instances if not part.more else dict(self.instances)
        for instance in part.instances:
            name = instance["instanceId"]
            if instance["lifecycle"] == "DELETED":
                self.staged.pop(name, None)
            else:
                self.staged[name] = msgpack.packb(instance)
        if part.more:
            return
        self.instances, self.staged, self.generation = self.staged, None, part.generation
        if len(self.servers) > 2 * len(self.instances) + 100:
            listed = {name.encode() for name in self.instances}
            self.servers = {name: row for name, row in self.servers.items() if name in listed}

    # ------------------------------------------------------------ for the next process

    def listing(self) -> dict[str, Any] | None:
        """The whole list in discovery's own form; None if none was kept."""
        if not self.generation:
            return None
        return {"generation": self.generation, "reset": True, "instances": self.listed()}

    def listed(self) -> list[Instance]:
        """The servers of the list, as discovery told them."""
        return [msgpack.unpackb(packed) for packed in self.instances.values()]

    def remembered(self, now: float) -> StateRestored:
        """What the module is told: each fact with its age, and none that seems to come from the future."""
        latest = now + CLOCK_SLACK_MS
        rows = [replace(m, age_ms=max(0.0, now - at)) for at, m in self.servers.values() if at <= latest]
        each = self.limit.each if self.limit.at <= latest else 0.0
        return StateRestored(tuple(rows), each, max(0.0, now - self.limit.at))

    def pieces(self) -> Iterator[bytes]:
        """The state as a snapshot.  It is copied at the call; the pieces may be asked for on any thread."""
        facts: list[Fact] = [Evacuated(self.evacuated), self.limit, Incarnation(self.incarnation)]
        return _pieces(facts, self.generation, list(self.instances.values()), list(self.servers.values()))


def _pieces(
    facts: list[Fact],
    generation: int,
    instances: list[bytes],
    servers: list[tuple[float, RememberedEndpoint]],
) -> Iterator[bytes]:
    yield from (fact.pack() for fact in facts)
    for i in range(0, max(len(instances), 1) if generation else 0, PIECE):
        some = [msgpack.unpackb(packed) for packed in instances[i : i + PIECE]]
        yield ListPart(not i, generation, some, i + PIECE < len(instances)).pack()
    by_time: dict[float, list[RememberedEndpoint]] = {}
    for at, memory in servers:
        by_time.setdefault(at, []).append(memory)
    for at, rows in by_time.items():
        for i in range(0, len(rows), PIECE):
            yield Learned(at, rows[i : i + PIECE]).pack()


def read(found: Found) -> Kept:
    """The state that a store holds; StoreError if it was not written by a node."""
    kept = Kept()
    for payload in (*found.snapshot, *(r.payload for r in found.records)):
        kept.apply(unpack(payload))
    kept.staged = None  # of a list whose end never came
    return kept
