"""Connections in simulated time, as TCP carries them: in order and whole, or late, or not at all.

A segment that is lost comes again after a retransmission timeout of 200 ms, doubled each time; all that was
sent after it waits for it.  Fast retransmit and the congestion window are left out: the first makes this
world harsher than a real one, the second milder, and a message here is seldom more than ten segments.  While
a way is cut nothing is lost; what was sent comes once the way is whole and the timeout that grew meanwhile
has run.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.lab.engine import Engine

SEGMENT_BYTES = 1_460  # bytes of payload
PACKET_OVERHEAD_BYTES = 40  # of TCP and IP, counted for each segment; bare acknowledgements are not counted
RTO_MS = 200.0
SYN_TIMEOUT_MS = 1_000.0  # until a lost SYN is sent again, doubled each time
MAX_RTO_MS = 60_000.0
MAX_UNREAD_BYTES = 262_144  # bytes under way or unread at which the sender's socket is full


@dataclass(frozen=True)
class NetworkConditions:
    """The network and the machines; times in ms."""

    loss_fraction: float = 0.0  # part of the segments that is lost
    zone_delay_ms: tuple[float, float] = (0.1, 0.4)  # delay within a zone
    region: tuple[float, float] = (0.4, 1.5)  # between zones of a region
    cross_region_delay_ms: tuple[float, float] = (30.0, 40.0)  # between regions
    bytes_per_ms: float = 12_500.0  # that a machine sends at the most
    starved_fraction: float = 0.0  # part of the processes that stand still again and again
    suspension_ms: tuple[float, float] = (100.0, 1_500.0)
    running_ms: tuple[float, float] = (300.0, 3_000.0)


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection.  hear: bytes; close: the other end is gone; full: the socket takes no more."""

    name: str
    region: str
    zone: str
    receive: Callable[[bytes], None]
    close: Callable[[], None]
    set_blocked: Callable[[bool], None]
    connection: Connection | None = None
    sender_free_at: float = 0.0
    last_arrival: float = 0.0  # what was sent last, at the other end
    unread_bytes: int = 0  # of what it sent
    is_blocked: bool = False
    closed: bool = False  # closed here
    close_notified: bool = False  # that the other end is gone


@dataclass(eq=False)
class Connection:
    """A connection between two ends; `held` is what waits for a cut to end."""

    ends: tuple[ConnectionEnd, ConnectionEnd]
    delayed: list[tuple[ConnectionEnd, bytes | None]] = field(default_factory=list)

    def other(self, end: ConnectionEnd) -> ConnectionEnd:
        return self.ends[1] if end is self.ends[0] else self.ends[0]


class Network:
    """All connections.  damage: part of the sends in which a byte is changed, in spite of TCP's checksum."""

    def __init__(self, engine: Engine, rng: random.Random, conditions: NetworkConditions) -> None:
        self.engine, self.rng, self.conditions = engine, rng, conditions
        self.partitions: dict[tuple[str, str], float] = {}  # pairs of regions, and since when
        self.unreachable: dict[str, bool] = {}  # machines that neither send nor receive
        self.damage_fraction: dict[str, float] = {}  # by sender
        self.sent_bytes: dict[str, int] = {}  # bytes with headers, by process
        self.received_bytes: dict[str, int] = {}
        self._connections: dict[Connection, None] = {}

    # ------------------------------------------------------------ ways

    def is_connected(self, a: ConnectionEnd, b: ConnectionEnd) -> bool:
        """Whether the way from one to the other is whole."""
        if self.unreachable.get(a.name) or self.unreachable.get(b.name):
            return False
        return a.region == b.region or _pair(a.region, b.region) not in self.partitions

    def partition(self, one: str, other: str) -> None:
        """Two regions lose each other."""
        self.partitions[_pair(one, other)] = self.engine.now

    def heal(self, one: str, other: str) -> None:
        """They are joined again: what waited comes after the rest of a timeout that had grown."""
        since = self.partitions.pop(_pair(one, other))
        most = min(max(self.engine.now - since, RTO_MS), MAX_RTO_MS)
        for connection in list(self._connections):
            if connection.delayed:
                self.engine.after(self.rng.uniform(0.0, most), self._release, connection)

    def _release(self, connection: Connection) -> None:
        if not self.is_connected(*connection.ends):
            return
        delayed, connection.delayed = connection.delayed, []
        for end, data in delayed:
            self._arrive(connection, end, data)

    def _delay(self, a: ConnectionEnd, b: ConnectionEnd) -> float:
        w = self.conditions
        if a.region != b.region:
            low, high = w.cross_region_delay_ms
        else:
            low, high = w.zone_delay_ms if a.zone == b.zone else w.region
        return low + (high - low) * self.rng.random()

    # ------------------------------------------------------------ connections

    def dial(
        self, a: ConnectionEnd, find: Callable[[], ConnectionEnd | None], up: Callable[[Connection], None]
    ) -> None:
        """Connect; find: the listening end, None where nobody listens (refused)."""
        target = find()
        wait, again = 0.0, SYN_TIMEOUT_MS
        while self.rng.random() < self.conditions.loss_fraction and wait < MAX_RTO_MS:
            wait, again = wait + again, 2 * again
        if target is None:
            self.engine.after(1.0 + wait, a.close)
            return
        if not self.is_connected(a, target):
            return  # no answer at all: whoever dials gives up by its own time
        self.engine.after(wait + 2.0 * self._delay(a, target), self._connect, a, find, up)

    def _connect(
        self, a: ConnectionEnd, find: Callable[[], ConnectionEnd | None], up: Callable[[Connection], None]
    ) -> None:
        b = find()
        if b is None:
            if not a.closed:
                a.close()
            return
        if a.closed or not self.is_connected(a, b):
            return
        connection = Connection((a, b))
        a.connection = b.connection = connection
        self._connections[connection] = None
        up(connection)

    def send(self, end: ConnectionEnd, data: bytes) -> None:
        """Bytes from an end to the other."""
        connection = end.connection
        if connection is None or end.closed:
            return
        other, now = connection.other(end), self.engine.now
        segments = -(-len(data) // SEGMENT_BYTES)
        size = len(data) + PACKET_OVERHEAD_BYTES * segments
        self.sent_bytes[end.name] = self.sent_bytes.get(end.name, 0) + size
        part = self.damage_fraction.get(end.name, 0.0)
        if part and self.rng.random() < part:
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ (1 << self.rng.randrange(8))]) + data[at + 1 :]
        end.sender_free_at = max(now, end.sender_free_at) + size / self.conditions.bytes_per_ms
        late = 0.0
        if self.conditions.loss_fraction:
            for _ in range(segments):
                wait, rto = 0.0, RTO_MS
                while self.rng.random() < self.conditions.loss_fraction and wait < MAX_RTO_MS:
                    wait, rto = wait + rto, 2.0 * rto
                late = max(late, wait)
        end.last_arrival = max(end.last_arrival, end.sender_free_at + self._delay(end, other) + late)
        end.unread_bytes += len(data)
        if end.unread_bytes > MAX_UNREAD_BYTES and not end.is_blocked:
            end.is_blocked = True
            end.set_blocked(True)
        self.engine.at(end.last_arrival, self._arrive, connection, end, data)

    def _arrive(self, connection: Connection, end: ConnectionEnd, data: bytes | None) -> None:
        other = connection.other(end)
        if connection.delayed or not self.is_connected(end, other):
            connection.delayed.append((end, data))
            return
        if data is None:
            if not other.closed and not other.close_notified:
                other.close_notified = True
                other.close()
            self._connections.pop(connection, None)
            return
        if other.closed:
            self._reset(connection, other)
            return
        segments = -(-len(data) // SEGMENT_BYTES)
        self.received_bytes[other.name] = (
            self.received_bytes.get(other.name, 0) + len(data) + PACKET_OVERHEAD_BYTES * segments
        )
        other.receive(data)

    def read(self, end: ConnectionEnd, size: int) -> None:
        """The process at this end has read so many bytes."""
        if end.connection is None:
            return
        other = end.connection.other(end)
        other.unread_bytes -= size
        if other.is_blocked and other.unread_bytes < MAX_UNREAD_BYTES // 2 and not other.closed:
            other.is_blocked = False
            other.set_blocked(False)

    def close(self, end: ConnectionEnd) -> None:
        """An end closes, or its process dies: the other learns it after all that was sent before."""
        if end.closed:
            return
        end.closed = True
        if end.connection is not None:
            self._reset(end.connection, end)

    def _reset(self, connection: Connection, end: ConnectionEnd) -> None:
        other = connection.other(end)
        if other.closed:
            self._connections.pop(connection, None)
            return
        end.last_arrival = max(end.last_arrival, self.engine.now + self._delay(end, other))
        self.engine.at(end.last_arrival, self._arrive, connection, end, None)


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)
