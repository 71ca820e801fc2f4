"""Shares the send rate of a distribution server among the connections that have data to send."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from crowpost.config_feed.follower_connections import FollowerConnection
from crowpost.config_feed.token_bucket import TokenBucket

MIN_DEFERRAL_MS = 1.0


class SendScheduler:
    """Serves connections round robin, one frame each, while there are tokens.

    bucket: limits the bytes that the server sends on all connections; max_serving: the number of connections
    that are served round robin while others wait in the queue; send_next: sends one frame on a connection
    that has data.
    """

    def __init__(
        self,
        bucket: TokenBucket,
        max_serving: int,
        send_next: Callable[[FollowerConnection, float], None],
    ) -> None:
        self._bucket = bucket
        self._max_serving = max_serving
        self._send_next = send_next
        # Connections with data, in order of arrival.
        self._queue: deque[FollowerConnection] = deque()
        # Connections with data that have no tokens or a full write buffer.
        self._deferred: dict[int, FollowerConnection] = {}
        self._deferred_until = math.inf

    @property
    def queue_length(self) -> int:
        """The number of connections in the queue."""
        return len(self._queue)

    def next_at(self) -> float:
        """Return when `resume_deferred` is due, in ms."""
        return self._deferred_until

    def may_send(self, connection: FollowerConnection, now: float) -> bool:
        """Return whether a frame may be sent on a connection now."""
        if connection.is_blocked:
            return False
        return self._bucket.refill(now) > 0.0 and connection.bucket.refill(now) > 0.0

    def enqueue(self, connection: FollowerConnection) -> None:
        """Put a connection into the queue if it has data."""
        self._deferred.pop(connection.number, None)
        if not connection.is_queued and connection.has_data:
            connection.is_queued = True
            self._queue.append(connection)

    def defer(self, connection: FollowerConnection, now: float) -> None:
        """Defer a connection on which no frame can be sent now."""
        if connection.is_queued:
            return
        self._deferred[connection.number] = connection
        if not connection.is_blocked:
            self._deferred_until = min(self._deferred_until, self._ready_at(connection, now))

    def remove(self, connection: FollowerConnection) -> None:
        """Remove a closed connection."""
        self._deferred.pop(connection.number, None)

    def resume_deferred(self, now: float) -> None:
        """Put the deferred connections into the queue if they are due."""
        if now >= self._deferred_until:
            for connection in list(self._deferred.values()):
                self.enqueue(connection)

    def run(self, now: float) -> None:
        """Serve the queue until it is empty or all its connections are deferred."""
        serving: deque[FollowerConnection] = deque()
        while serving or self._queue:
            while self._queue and len(serving) < self._max_serving:
                serving.append(self._queue.popleft())
            connection = serving.popleft()
            if connection.is_closed:
                continue
            if not self.may_send(connection, now):
                connection.is_queued = False
                self.defer(connection, now)
                continue
            self._send_next(connection, now)
            if connection.has_data:
                serving.append(connection)
            else:
                connection.is_queued = False
        self._deferred_until = min(
            (self._ready_at(waiting, now) for waiting in self._deferred.values() if not waiting.is_blocked),
            default=math.inf,
        )

    def _ready_at(self, connection: FollowerConnection, now: float) -> float:
        server_at = self._bucket.available_at(1.0, now)
        connection_at = connection.bucket.available_at(1.0, now)
        return max(server_at, connection_at, now + MIN_DEFERRAL_MS)
