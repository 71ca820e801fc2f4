"""The connections of a follower to the nearest few available servers, with jittered backoff on failure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowpost.config_feed.documents import DocumentHeader
from crowpost.config_feed.frames import FrameReader
from crowpost.config_feed.resync import ResyncTimer
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer

STABLE_AFTER_MS = 10_000.0  # a connection that lasted this long clears earlier failures
MAX_SERVER_FRAME_BYTES = 131_072  # limit for a frame of headers or of a body chunk
MAX_FAILURES_COUNTED = 16  # limits the doublings of the backoff; its maximum is reached far earlier
RECONNECT_SPREAD_FACTOR = 4.0  # multiplies the random wait while another connection is open


@dataclass(slots=True, eq=False)
class UpstreamState:
    """A server and its failures; servers are tried in ascending order of `nearness`."""

    server: UpstreamServer
    # Tier, distance, and a random number that spreads followers over equally near servers.
    nearness: tuple[int, int, float]
    failures: int = 0
    # Earliest time of the next connection attempt in ms.
    not_before: float = -math.inf


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to a server; times in ms."""

    number: int
    upstream: UpstreamState
    since: float  # time when the connection was requested, or opened
    reader: FrameReader
    resync: ResyncTimer
    open: bool = False
    handshake_done: bool = False  # the server's Hello was received
    name: str = ""  # name of the server
    last_received_at: float = 0.0
    heartbeat_at: float = math.inf
    damaged_frames: int = 0
    # After a stalled or busy fetch the server is asked last until this time.
    slow_until: float = -math.inf
    # Offered documents that are newer than the stored ones, by scope.
    offered_headers: dict[str, DocumentHeader] = field(default_factory=dict)
    # Offered documents whose body is not usable, by scope.
    rejected_headers: dict[str, DocumentHeader] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _ConnectPlan:
    """Candidate servers, the number of connections to open, and when to open them."""

    candidates: list[UpstreamState]
    count: int
    due: float


class UpstreamConnections:
    """Decides which servers to connect to and which connections to close; it does no I/O."""

    def __init__(
        self,
        servers: Iterable[UpstreamServer],
        region: str,
        zone: str,
        rng: Random,
        cluster: int,
        tuning: Tuning,
        now: float,
    ) -> None:
        self._rng = rng
        self._cluster = cluster
        self._tuning = tuning
        self.connections: dict[int, UpstreamConnection] = {}
        self._last_number = 0
        self._upstreams = [
            UpstreamState(server, (server.tier, _distance(server, region, zone), rng.random()))
            for server in servers
        ]
        self._upstreams.sort(key=lambda upstream: upstream.nearness)
        self._plan: _ConnectPlan | None = None
        # Random delay, because all processes of a cluster may start at the same time.
        self._connect_not_before = now + rng.random() * tuning.backoff_ms

    def open_connections(self) -> list[UpstreamConnection]:
        """Return the open connections, the nearest server first."""
        found = [connection for connection in self.connections.values() if connection.open]
        if len(found) > 1:
            found.sort(key=lambda connection: connection.upstream.nearness)
        return found

    def opened(self, connection: UpstreamConnection, now: float) -> None:
        """Record that a requested connection is open."""
        connection.open = True
        connection.since = now
        connection.last_received_at = now
        self._plan = None

    def connect(self, now: float) -> list[UpstreamConnection]:
        """Return new connections that must be opened now."""
        plan = self._current_plan()
        if now < plan.due:
            return []
        ready = [upstream for upstream in plan.candidates if upstream.not_before <= now]
        return [self._add(upstream, now) for upstream in ready[: plan.count]]

    def _add(self, upstream: UpstreamState, now: float) -> UpstreamConnection:
        self._last_number += 1
        reader = FrameReader(self._cluster, MAX_SERVER_FRAME_BYTES)
        resync = ResyncTimer(self._tuning.resync_ms, self._tuning.max_resync_ms)
        connection = UpstreamConnection(
            self._last_number, upstream, now, reader, resync, last_received_at=now
        )
        self.connections[self._last_number] = connection
        self._plan = None
        return connection

    def _current_plan(self) -> _ConnectPlan:
        """Return the plan, which is cached until the next change because it is needed after every message."""
        if self._plan is None:
            self._plan = self._make_plan()
        return self._plan

    def _make_plan(self) -> _ConnectPlan:
        """Plan the missing connections, or one to a nearer server if none are missing."""
        connected = {id(connection.upstream) for connection in self.connections.values()}
        candidates = [upstream for upstream in self._upstreams if id(upstream) not in connected]
        missing = self._tuning.upstream_connections - len(self.connections)
        if missing <= 0:
            missing = 1
            candidates = self._nearer(candidates)
        earliest = min((upstream.not_before for upstream in candidates), default=math.inf)
        return _ConnectPlan(candidates, missing, max(self._connect_not_before, earliest))

    def _nearer(self, candidates: list[UpstreamState]) -> list[UpstreamState]:
        """Return the candidates that are nearer than the farthest connection; none while one is opening."""
        if not all(connection.open for connection in self.connections.values()):
            return []
        farthest = max(connection.upstream.nearness[:2] for connection in self.connections.values())
        return [upstream for upstream in candidates if upstream.nearness[:2] < farthest]

    def surplus(self) -> UpstreamConnection | None:
        """Return the farthest connection if there is one too many and the nearer ones are ready."""
        limit = self._tuning.upstream_connections
        if len(self.connections) <= limit:
            return None
        ready = [connection for connection in self.open_connections() if connection.handshake_done]
        return ready[-1] if len(ready) > limit else None

    def remove(self, connection: UpstreamConnection, now: float, failed: bool = True) -> None:
        """Remove a connection; after a failure its server is in backoff for a while.

        Connections to other servers wait for a short random time, because a failing server loses many
        connections at once.
        """
        self.connections.pop(connection.number, None)
        self._plan = None
        upstream = connection.upstream
        tuning = self._tuning
        if not failed:
            upstream.failures = 0
            upstream.not_before = now + tuning.nearer_server_check_ms * (0.5 + self._rng.random())
            return
        was_stable = connection.handshake_done and now - connection.since >= STABLE_AFTER_MS
        upstream.failures = 1 if was_stable else upstream.failures + 1
        doublings = min(upstream.failures, MAX_FAILURES_COUNTED)
        backoff = min(tuning.max_backoff_ms, tuning.backoff_ms * 2.0**doublings)
        upstream.not_before = now + backoff * (0.5 + self._rng.random())
        spread = tuning.backoff_ms * (RECONNECT_SPREAD_FACTOR if self.connections else 1.0)
        self._connect_not_before = max(self._connect_not_before, now + self._rng.random() * spread)

    def next_at(self) -> float:
        """Return when the next connection must be opened or closed, or heartbeat sent, in ms."""
        due = self._current_plan().due
        for connection in self.connections.values():
            due = min(due, self.deadline(connection), connection.heartbeat_at)
        return due

    def deadline(self, connection: UpstreamConnection) -> float:
        """Return when a connection is closed if nothing is received on it, in ms."""
        if not connection.handshake_done:
            return connection.since + self._tuning.connect_timeout_ms
        return connection.last_received_at + self._tuning.server_timeout_ms

    def shift(self, by_ms: float) -> None:
        """Move all deadlines by the time for which this process was suspended."""
        for connection in self.connections.values():
            connection.last_received_at += by_ms
            connection.since += by_ms


def _distance(server: UpstreamServer, region: str, zone: str) -> int:
    """Return 0 for the same zone, 1 for another zone of the region, 2 for another region."""
    if server.region != region:
        return 2
    return 0 if server.zone == zone else 1
