"""Shares what a distribution server may send among the connections that have data."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from crowpost.config_feed.follower_connections import FollowerConnection
from crowpost.config_feed.token_bucket import TokenBucket

MIN_DEFERRAL_MS = 1.0


class SendScheduler:
    """Serves connections in turn, a frame each, as long as the tokens last.

    bucket: limits what the server sends in all; max_serving: connections that are served in turn, while
    others wait in the queue; send_next: sends one frame on a connection that has data.
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
        self._queue: deque[FollowerConnection] = deque()  # with data, in the order of arrival
        self._deferred: dict[int, FollowerConnection] = {}  # with data, but no tokens or a blocked socket
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
        """Keep a connection that cannot be sent to now for later."""
        if connection.is_queued:
            return
        self._deferred[connection.number] = connection
        if not connection.is_blocked:
            self._deferred_until = min(self._deferred_until, self._ready_at(connection, now))

    def remove(self, connection: FollowerConnection) -> None:
        """Forget a connection that is closed."""
        self._deferred.pop(connection.number, None)

    def resume_deferred(self, now: float) -> None:
        """Put the deferred connections into the queue, once it is time."""
        if now >= self._deferred_until:
            for connection in list(self._deferred.values()):
                self.enqueue(connection)

    def run(self, now: float) -> None:
        """Serve the queue."""
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
