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

SEGMENT = 1_460  # bytes of payload
PACKET_OVERHEAD_BYTES = 40  # of TCP and IP, counted for each segment; bare acknowledgements are not counted
RTO_MS = 200.0
SYN_MS = 1_000.0  # until a lost SYN is sent again, doubled each time
RTO_MOST_MS = 60_000.0
UNREAD = 262_144  # bytes under way or unread at which the sender's socket is full


@dataclass(frozen=True)
class NetworkConditions:
    """The network and the machines; times in ms."""

    loss: float = 0.0  # part of the segments that is lost
    near: tuple[float, float] = (0.1, 0.4)  # delay within a zone
    region: tuple[float, float] = (0.4, 1.5)  # between zones of a region
    far: tuple[float, float] = (30.0, 40.0)  # between regions
    bytes_per_ms: float = 12_500.0  # that a machine sends at the most
    starved: float = 0.0  # part of the processes that stand still again and again
    still: tuple[float, float] = (100.0, 1_500.0)
    running: tuple[float, float] = (300.0, 3_000.0)


@dataclass(eq=False)
class ConnectionEnd:
    """One end of a connection.  hear: bytes; close: the other end is gone; full: the socket takes no more."""

    name: str
    region: str
    zone: str
    hear: Callable[[bytes], None]
    close: Callable[[], None]
    full: Callable[[bool], None]
    conn: Connection | None = None
    free_at: float = 0.0
    arrives: float = 0.0  # what was sent last, at the other end
    unread: int = 0  # of what it sent
    is_full: bool = False
    gone: bool = False  # closed here
    told: bool = False  # that the other end is gone


@dataclass(eq=False)
class Connection:
    """A connection between two ends; `held` is what waits for a cut to end."""

    ends: tuple[ConnectionEnd, ConnectionEnd]
    held: list[tuple[ConnectionEnd, bytes | None]] = field(default_factory=list)

    def other(self, end: ConnectionEnd) -> ConnectionEnd:
        return self.ends[1] if end is self.ends[0] else self.ends[0]


class Network:
    """All connections.  damage: part of the sends in which a byte is changed, in spite of TCP's checksum."""

    def __init__(self, engine: Engine, rng: random.Random, weather: NetworkConditions) -> None:
        self.engine, self.rng, self.weather = engine, rng, weather
        self.cuts: dict[tuple[str, str], float] = {}  # pairs of regions, and since when
        self.dark: dict[str, bool] = {}  # machines that neither send nor receive
        self.damage: dict[str, float] = {}  # by sender
        self.sent: dict[str, int] = {}  # bytes with headers, by process
        self.heard: dict[str, int] = {}
        self._conns: dict[Connection, None] = {}

    # ------------------------------------------------------------ ways

    def whole(self, a: ConnectionEnd, b: ConnectionEnd) -> bool:
        """Whether the way from one to the other is whole."""
        if self.dark.get(a.name) or self.dark.get(b.name):
            return False
        return a.region == b.region or _pair(a.region, b.region) not in self.cuts

    def cut(self, one: str, other: str) -> None:
        """Two regions lose each other."""
        self.cuts[_pair(one, other)] = self.engine.now

    def join(self, one: str, other: str) -> None:
        """They are joined again: what waited comes after the rest of a timeout that had grown."""
        since = self.cuts.pop(_pair(one, other))
        most = min(max(self.engine.now - since, RTO_MS), RTO_MOST_MS)
        for conn in list(self._conns):
            if conn.held:
                self.engine.after(self.rng.uniform(0.0, most), self._release, conn)

    def _release(self, conn: Connection) -> None:
        if not self.whole(*conn.ends):
            return
        held, conn.held = conn.held, []
        for end, data in held:
            self._arrive(conn, end, data)

    def _delay(self, a: ConnectionEnd, b: ConnectionEnd) -> float:
        w = self.weather
        if a.region != b.region:
            low, high = w.far
        else:
            low, high = w.near if a.zone == b.zone else w.region
        return low + (high - low) * self.rng.random()

    # ------------------------------------------------------------ connections

    def dial(
        self, a: ConnectionEnd, find: Callable[[], ConnectionEnd | None], up: Callable[[Connection], None]
    ) -> None:
        """Connect; find: the listening end, None where nobody listens (refused)."""
        target = find()
        wait, again = 0.0, SYN_MS
        while self.rng.random() < self.weather.loss and wait < RTO_MOST_MS:
            wait, again = wait + again, 2 * again
        if target is None:
            self.engine.after(1.0 + wait, a.close)
            return
        if not self.whole(a, target):
            return  # no answer at all: whoever dials gives up by its own time
        self.engine.after(wait + 2.0 * self._delay(a, target), self._connect, a, find, up)

    def _connect(
        self, a: ConnectionEnd, find: Callable[[], ConnectionEnd | None], up: Callable[[Connection], None]
    ) -> None:
        b = find()
        if b is None:
            if not a.gone:
                a.close()
            return
        if a.gone or not self.whole(a, b):
            return
        conn = Connection((a, b))
        a.conn = b.conn = conn
        self._conns[conn] = None
        up(conn)

    def send(self, end: ConnectionEnd, data: bytes) -> None:
        """Bytes from an end to the other."""
        conn = end.conn
        if conn is None or end.gone:
            return
        other, now = conn.other(end), self.engine.now
        segments = -(-len(data) // SEGMENT)
        size = len(data) + PACKET_OVERHEAD_BYTES * segments
        self.sent[end.name] = self.sent.get(end.name, 0) + size
        part = self.damage.get(end.name, 0.0)
        if part and self.rng.random() < part:
            at = self.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ (1 << self.rng.randrange(8))]) + data[at + 1 :]
        end.free_at = max(now, end.free_at) + size / self.weather.bytes_per_ms
        late = 0.0
        if self.weather.loss:
            for _ in range(segments):
                wait, rto = 0.0, RTO_MS
                while self.rng.random() < self.weather.loss and wait < RTO_MOST_MS:
                    wait, rto = wait + rto, 2.0 * rto
                late = max(late, wait)
        end.arrives = max(end.arrives, end.free_at + self._delay(end, other) + late)
        end.unread += len(data)
        if end.unread > UNREAD and not end.is_full:
            end.is_full = True
            end.full(True)
        self.engine.at(end.arrives, self._arrive, conn, end, data)

    def _arrive(self, conn: Connection, end: ConnectionEnd, data: bytes | None) -> None:
        other = conn.other(end)
        if conn.held or not self.whole(end, other):
            conn.held.append((end, data))
            return
        if data is None:
            if not other.gone and not other.told:
                other.told = True
                other.close()
            self._conns.pop(conn, None)
            return
        if other.gone:
            self._reset(conn, other)
            return
        segments = -(-len(data) // SEGMENT)
        self.heard[other.name] = self.heard.get(other.name, 0) + len(data) + PACKET_OVERHEAD_BYTES * segments
        other.hear(data)

    def read(self, end: ConnectionEnd, size: int) -> None:
        """The process at this end has read so many bytes."""
        if end.conn is None:
            return
        other = end.conn.other(end)
        other.unread -= size
        if other.is_full and other.unread < UNREAD // 2 and not other.gone:
            other.is_full = False
            other.full(False)

    def close(self, end: ConnectionEnd) -> None:
        """An end closes, or its process dies: the other learns it after all that was sent before."""
        if end.gone:
            return
        end.gone = True
        if end.conn is not None:
            self._reset(end.conn, end)

    def _reset(self, conn: Connection, end: ConnectionEnd) -> None:
        other = conn.other(end)
        if other.gone:
            self._conns.pop(conn, None)
            return
        end.arrives = max(end.arrives, self.engine.now + self._delay(end, other))
        self.engine.at(end.arrives, self._arrive, conn, end, None)


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)
