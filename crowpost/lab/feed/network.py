"""Simulated connections that behave as TCP does: bytes arrive in order, perhaps late, or not at all.

A lost segment is sent again after a retransmission timeout of 200 ms, doubled each time; all that was sent
after it waits for it.  Fast retransmit and the congestion window are left out: the first makes this network
harsher than a real one, the second milder, and a message here is seldom more than ten segments.  During a
partition nothing is lost; what was sent arrives once it has healed and the timeout that grew meanwhile is
over.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.lab.engine import Engine

SEGMENT_BYTES = 1_460  # payload
PACKET_OVERHEAD_BYTES = 40  # of TCP and IP, counted for each segment; bare acknowledgements are not counted
RTO_MS = 200.0  # first retransmission timeout
SYN_TIMEOUT_MS = 1_000.0  # until a lost SYN is sent again, doubled each time
MAX_RTO_MS = 60_000.0
MAX_UNREAD_BYTES = 262_144  # sent and not yet read, above which the sender's socket is blocked


@dataclass(frozen=True)
class NetworkConditions:
    """The network and the machines; ranges of delays in ms."""

    loss_fraction: float = 0.0  # of the segments
    zone_delay_ms: tuple[float, float] = (0.1, 0.4)  # delay within a zone
    region_delay_ms: tuple[float, float] = (0.4, 1.5)  # between zones of a region
    cross_region_delay_ms: tuple[float, float] = (30.0, 40.0)  # between regions
    bytes_per_ms: float = 12_500.0  # bandwidth of a machine
    starved_fraction: float = 0.0  # of the processes, which are suspended again and again
    suspension_ms: tuple[float, float] = (100.0, 1_500.0)
    running_ms: tuple[float, float] = (300.0, 3_000.0)


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection.

    receive: called with bytes; close: called when the other end is closed; set_blocked: called when the
    socket accepts no more, or does again.
    """

    name: str
    region: str
    zone: str
    receive: Callable[[bytes], None]
    close: Callable[[], None]
    set_blocked: Callable[[bool], None]
    connection: Connection | None = None
    sender_free_at: float = 0.0  # when the machine has sent all so far
    last_arrival: float = 0.0  # of what was sent last, at the other end
    unread_bytes: int = 0  # of what this end sent
    is_blocked: bool = False
    closed: bool = False  # at this end
    close_notified: bool = False  # `close` was called


@dataclass(eq=False)
class Connection:
    """A connection between two ends; `delayed` is what waits for a partition to heal."""

    ends: tuple[ConnectionEnd, ConnectionEnd]
    delayed: list[tuple[ConnectionEnd, bytes | None]] = field(default_factory=list)

    def other(self, end: ConnectionEnd) -> ConnectionEnd:
        """Return the opposite end."""
        return self.ends[1] if end is self.ends[0] else self.ends[0]


class Network:
    """All connections, and the faults of the network."""

    def __init__(self, engine: Engine, rng: random.Random, conditions: NetworkConditions) -> None:
        self.engine, self.rng, self.conditions = engine, rng, conditions
        self.partitions: dict[tuple[str, str], float] = {}  # pairs of regions, and since when
        self.unreachable: dict[str, bool] = {}  # machines that neither send nor receive
        self.damage_fraction: dict[str, float] = {}  # of the sends of a process: a bit is flipped
        self.sent_bytes: dict[str, int] = {}  # bytes with headers, by process
        self.received_bytes: dict[str, int] = {}
        self._connections: dict[Connection, None] = {}

    # ------------------------------------------------------------ partitions

    def is_connected(self, a: ConnectionEnd, b: ConnectionEnd) -> bool:
        """Return whether segments get from one end to the other."""
        if self.unreachable.get(a.name) or self.unreachable.get(b.name):
            return False
        return a.region == b.region or _pair(a.region, b.region) not in self.partitions

    def partition(self, one: str, other: str) -> None:
        """Partition two regions."""
        self.partitions[_pair(one, other)] = self.engine.now

    def heal(self, one: str, other: str) -> None:
        """Heal a partition; what waited arrives once the retransmission timeout, grown meanwhile, is over."""
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
        conditions = self.conditions
        if a.region != b.region:
            low, high = conditions.cross_region_delay_ms
        else:
            low, high = conditions.zone_delay_ms if a.zone == b.zone else conditions.region_delay_ms
        return low + (high - low) * self.rng.random()

    # ------------------------------------------------------------ connections

    def dial(
        self, a: ConnectionEnd, find: Callable[[], ConnectionEnd | None], up: Callable[[Connection], None]
    ) -> None:
        """Open a connection.

        find: returns the listening end, None where the connection is refused; up: called once it is open.
        """
        target = find()
        wait = self._wait_ms(SYN_TIMEOUT_MS)
        if target is None:
            self.engine.after(1.0 + wait, a.close)
            return
        if not self.is_connected(a, target):
            return  # no answer at all: the follower has a timeout of its own
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
        """Send bytes from an end to the other."""
        connection = end.connection
        if connection is None or end.closed:
            return
        other, now = connection.other(end), self.engine.now
        segments = -(-len(data) // SEGMENT_BYTES)
        size = len(data) + PACKET_OVERHEAD_BYTES * segments
        self.sent_bytes[end.name] = self.sent_bytes.get(end.name, 0) + size
        data = self._damage(end, data)
        end.sender_free_at = max(now, end.sender_free_at) + size / self.conditions.bytes_per_ms
        retransmission_ms = self._retransmission_ms(segments)
        arrival = end.sender_free_at + self._delay(end, other) + retransmission_ms
        end.last_arrival = max(end.last_arrival, arrival)
        end.unread_bytes += len(data)
        if end.unread_bytes > MAX_UNREAD_BYTES and not end.is_blocked:
            end.is_blocked = True
            end.set_blocked(True)
        self.engine.at(end.last_arrival, self._arrive, connection, end, data)

    def _damage(self, end: ConnectionEnd, data: bytes) -> bytes:
        """Flip a bit in some of the sends, in spite of TCP's checksum."""
        fraction = self.damage_fraction.get(end.name, 0.0)
        if not fraction or self.rng.random() >= fraction:
            return data
        at = self.rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ (1 << self.rng.randrange(8))]) + data[at + 1 :]

    def _retransmission_ms(self, segments: int) -> float:
        """Return for how long lost segments delay a send."""
        if not self.conditions.loss_fraction:
            return 0.0
        return max((self._wait_ms(RTO_MS) for _ in range(segments)), default=0.0)

    def _wait_ms(self, timeout_ms: float) -> float:
        """Return the sum of the doubling timeouts until a segment is not lost."""
        waited_ms = 0.0
        while self.rng.random() < self.conditions.loss_fraction and waited_ms < MAX_RTO_MS:
            waited_ms += timeout_ms
            timeout_ms *= 2.0
        return waited_ms

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
        """Record that the process at this end has read bytes."""
        if end.connection is None:
            return
        other = end.connection.other(end)
        other.unread_bytes -= size
        if other.is_blocked and other.unread_bytes < MAX_UNREAD_BYTES // 2 and not other.closed:
            other.is_blocked = False
            other.set_blocked(False)

    def close(self, end: ConnectionEnd) -> None:
        """Close an end; the other one is notified after all that was sent before."""
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
