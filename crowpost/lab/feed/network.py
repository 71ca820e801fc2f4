"""Simulated connections that behave like TCP: bytes arrive in order, possibly late, or not at all.

A lost segment is sent again after a retransmission timeout of 200 ms, doubled each time; later data waits for
it.  Fast retransmit and the congestion window are left out: without the former this network is harsher than a
real one, without the latter milder, and a message is seldom more than ten segments.  A partition loses
nothing: data sent during it arrives after it has healed and the retransmission timeout, which grew meanwhile,
has expired.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.lab.engine import Engine

SEGMENT_BYTES = 1_460  # payload
PACKET_OVERHEAD_BYTES = 40  # TCP and IP headers of each segment; bare acknowledgements are not counted
RTO_MS = 200.0  # first retransmission timeout
SYN_TIMEOUT_MS = 1_000.0  # timeout of a lost SYN, doubled each time
MAX_RTO_MS = 60_000.0
MAX_UNREAD_BYTES = 262_144  # limit of sent but unread bytes, above which the sender's socket is blocked


@dataclass(frozen=True)
class NetworkConditions:
    """Conditions of the network and of the machines.

    loss_fraction: share of segments that are lost.
    zone_delay_ms: range of the delay within a zone.
    region_delay_ms: between zones of a region.
    cross_region_delay_ms: between regions.
    bytes_per_ms: bandwidth of a machine.
    starved_fraction: share of the processes, which are suspended repeatedly.
    """

    loss_fraction: float = 0.0
    zone_delay_ms: tuple[float, float] = (0.1, 0.4)
    region_delay_ms: tuple[float, float] = (0.4, 1.5)
    cross_region_delay_ms: tuple[float, float] = (30.0, 40.0)
    bytes_per_ms: float = 12_500.0
    starved_fraction: float = 0.0
    suspension_ms: tuple[float, float] = (100.0, 1_500.0)
    running_ms: tuple[float, float] = (300.0, 3_000.0)


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection.

    receive: called with bytes.
    close: called when the other end is closed.
    set_blocked: called when the socket stops accepting data, or accepts it again.
    sender_free_at: when the machine has sent all data so far.
    last_arrival: when the last data sent arrives at the other end.
    unread_bytes: bytes sent by this end that the other one has not read.
    close_notified: whether `close` was called.
    """

    name: str
    region: str
    zone: str
    receive: Callable[[bytes], None]
    close: Callable[[], None]
    set_blocked: Callable[[bool], None]
    connection: Connection | None = None
    sender_free_at: float = 0.0
    last_arrival: float = 0.0
    unread_bytes: int = 0
    is_blocked: bool = False
    closed: bool = False
    close_notified: bool = False


@dataclass(eq=False)
class Connection:
    """A connection between two ends; `delayed` is the data that waits for a partition to heal."""

    ends: tuple[ConnectionEnd, ConnectionEnd]
    delayed: list[tuple[ConnectionEnd, bytes | None]] = field(default_factory=list)

    def other(self, end: ConnectionEnd) -> ConnectionEnd:
        """Return the opposite end."""
        return self.ends[1] if end is self.ends[0] else self.ends[0]


class Network:
    """All connections, and the faults of the network."""

    def __init__(self, engine: Engine, rng: random.Random, conditions: NetworkConditions) -> None:
        self.engine, self.rng, self.conditions = engine, rng, conditions
        self.partitions: dict[tuple[str, str], float] = {}  # start time, by pair of regions
        self.unreachable: dict[str, bool] = {}  # machines that neither send nor receive
        self.damage_fraction: dict[str, float] = {}  # share of sends with a flipped bit, by process
        self.sent_bytes: dict[str, int] = {}  # bytes with headers, by process
        self.received_bytes: dict[str, int] = {}
        self._connections: dict[Connection, None] = {}

    # ------------------------------------------------------------ partitions

    def is_connected(self, one: ConnectionEnd, other: ConnectionEnd) -> bool:
        """Return whether segments from one end reach the other."""
        if self.unreachable.get(one.name) or self.unreachable.get(other.name):
            return False
        return one.region == other.region or _pair(one.region, other.region) not in self.partitions

    def partition(self, one: str, other: str) -> None:
        """Partition two regions."""
        self.partitions[_pair(one, other)] = self.engine.now

    def heal(self, one: str, other: str) -> None:
        """Heal a partition; delayed data arrives after the retransmission timeout, grown meanwhile."""
        since = self.partitions.pop(_pair(one, other))
        max_wait_ms = min(max(self.engine.now - since, RTO_MS), MAX_RTO_MS)
        for connection in list(self._connections):
            if connection.delayed:
                self.engine.after(self.rng.uniform(0.0, max_wait_ms), self._deliver_delayed, connection)

    def _deliver_delayed(self, connection: Connection) -> None:
        if not self.is_connected(*connection.ends):
            return
        delayed = connection.delayed
        connection.delayed = []
        for end, data in delayed:
            self._arrive(connection, end, data)

    def _delay(self, one: ConnectionEnd, other: ConnectionEnd) -> float:
        conditions = self.conditions
        if one.region != other.region:
            low, high = conditions.cross_region_delay_ms
        else:
            low, high = conditions.zone_delay_ms if one.zone == other.zone else conditions.region_delay_ms
        return low + (high - low) * self.rng.random()

    # ------------------------------------------------------------ connections

    def dial(
        self,
        initiator: ConnectionEnd,
        find_target: Callable[[], ConnectionEnd | None],
        on_open: Callable[[Connection], None],
    ) -> None:
        """Open a connection.

        find_target: returns the listening end, or None if the connection is refused.
        on_open: called once the connection is open.
        """
        target = find_target()
        wait_ms = self._wait_ms(SYN_TIMEOUT_MS)
        if target is None:
            self.engine.after(1.0 + wait_ms, initiator.close)
            return
        if not self.is_connected(initiator, target):
            return  # no response: the follower has its own timeout
        self.engine.after(
            wait_ms + 2.0 * self._delay(initiator, target), self._connect, initiator, find_target, on_open
        )

    def _connect(
        self,
        initiator: ConnectionEnd,
        find_target: Callable[[], ConnectionEnd | None],
        on_open: Callable[[Connection], None],
    ) -> None:
        target = find_target()
        if target is None:
            if not initiator.closed:
                initiator.close()
            return
        if initiator.closed or not self.is_connected(initiator, target):
            return
        connection = Connection((initiator, target))
        initiator.connection = target.connection = connection
        self._connections[connection] = None
        on_open(connection)

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
        """Flip a bit in some of the sends, as if TCP's checksum had not detected it."""
        fraction = self.damage_fraction.get(end.name, 0.0)
        if not fraction or self.rng.random() >= fraction:
            return data
        index = self.rng.randrange(len(data))
        return data[:index] + bytes([data[index] ^ (1 << self.rng.randrange(8))]) + data[index + 1 :]

    def _retransmission_ms(self, segments: int) -> float:
        """Return how long lost segments delay a send."""
        if not self.conditions.loss_fraction:
            return 0.0
        return max((self._wait_ms(RTO_MS) for _ in range(segments)), default=0.0)

    def _wait_ms(self, timeout_ms: float) -> float:
        """Return the sum of the doubling timeouts until a segment arrives."""
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
        """Close an end; the other one is notified after all data that was sent before."""
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
