"""The listener: accepts client connections, limits their number and routes their requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import Callable

from crowpost.decision_api import Settings
from crowpost.node.byte_budget import ByteBudget
from crowpost.node.downstream.acceptor import Acceptor, listening_socket
from crowpost.node.downstream.connection import OVERLOAD_RETRY_AFTER, ClientConnection
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.refusals import RefusalLog
from crowpost.node.downstream.request import ClientRequest, RequestParser, is_api_path, normalize_path
from crowpost.node.http.last_byte import RECEIVE_BUFFER_BYTES
from crowpost.node.http.message import Message, MessageError
from crowpost.node.metrics import Metrics
from crowpost.node.reading import ReadScheduler

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1
BACKLOG = 1024
# Connections beyond the limit that may be open until evicted ones have closed.
MAX_CLOSING_CONNECTIONS = 16


class Listener:
    """The listening socket and all client connections.

    on_request: starts handling a valid request; ready: returns whether the node accepts new clients; reads:
    schedules the reads of all connections of the node.
    """

    def __init__(
        self,
        settings: Settings,
        on_request: Callable[[ClientRequest, Exchange], None],
        ready: Callable[[], bool],
        metrics: Metrics,
        max_connections: int,
        budget: ByteBudget,
        reads: ReadScheduler,
    ) -> None:
        self.reads = reads
        # Whether every response closes its connection.
        self.closing = False
        self.metrics = metrics
        # When a connection or a request last arrived.
        self._last_activity = 0.0
        self._request_parser = RequestParser(settings)
        self._on_request = on_request
        self._ready = ready
        self._max_connections = max_connections
        self.budget = budget
        # Requests rejected since the last sweep because the connection or memory limit was reached.
        self._rejected = 0
        self.refusals = RefusalLog()
        self._loop = asyncio.get_running_loop()
        self._connections: set[ClientConnection] = set()
        # Connections whose descriptors are open: also those that were evicted and have not closed yet.
        self._open_count = 0
        self._acceptor: Acceptor | None = None
        # Failures to accept of acceptors that are closed.
        self._earlier_accept_failures = 0
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def listen(self, at: tuple[str, int] | socket.socket) -> tuple[str, int]:
        """Accept on this address only, or on a socket that already listens; return the bound address."""
        if isinstance(at, socket.socket):
            listening = at
            listening.listen(BACKLOG)
        else:
            listening = listening_socket(at, BACKLOG)
        # Accepted connections inherit it: the kernel must not hold megabytes that the node does not see.
        # Without it an answer may come late, which is no reason not to serve.
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._acceptor = Acceptor(listening, lambda: ClientConnection(self), self._evict_one, self._has_room)
        bound: tuple[str, int] = listening.getsockname()[:2]
        return bound

    def stop_accepting(self) -> None:
        """Stop accepting connections: other processes that share the listening socket take them."""
        if self._acceptor is not None:
            self._earlier_accept_failures += self._acceptor.failures
            self._acceptor.close()
            self._acceptor = None

    @staticmethod
    def now() -> float:
        """Return monotonic time in seconds.

        The event loop's time is too coarse to find the connection that has been idle longest.
        """
        return time.monotonic()

    def listening(self) -> bool:
        """Return whether the listener accepts connections."""
        return self._acceptor is not None

    def accept_failures(self) -> int:
        """Return how often accepting a connection has failed."""
        current = self._acceptor.failures if self._acceptor is not None else 0
        return self._earlier_accept_failures + current

    def opened(self, connection: ClientConnection) -> None:
        """Register an accepted connection, and close another one if there are too many."""
        self._connections.add(connection)
        self._open_count += 1
        self._last_activity = self.now()
        if len(self._connections) > self._max_connections:
            self._evict_one(connection)

    def closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._open_count -= 1

    def _has_room(self, count: int) -> bool:
        """Return whether so many more connections may be open, with those that were evicted and close."""
        return self._open_count + count <= self._max_connections + MAX_CLOSING_CONNECTIONS

    def over_limit(self) -> bool:
        """Return whether the connection limit is exceeded because no connection could be evicted."""
        return len(self._connections) > self._max_connections

    def count_rejection(self) -> None:
        """Count a request that was rejected because the connection or memory limit was reached."""
        self._rejected += 1

    def _evict_one(self, newest: ClientConnection | None = None) -> None:
        """Close the least useful connection that may be closed: clients must not use up all descriptors."""
        for may_close in (
            ClientConnection.is_finished,
            ClientConnection.is_idle_and_flushed,
            ClientConnection.is_in_first_head,
        ):
            victim = min(
                (c for c in self._connections if c is not newest and may_close(c)),
                key=lambda connection: connection.state_since,
                default=None,
            )
            if victim is not None:
                # Removed before it has closed: requests on other connections must not be rejected meanwhile.
                self._connections.discard(victim)
                victim.close()
                return

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        if self._rejected:
            log.warning(
                "%d requests rejected: %d clients connected (%d idle, at most %d), %d bytes reserved",
                self._rejected,
                len(self._connections),
                sum(c.is_idle() for c in self._connections),
                self._max_connections,
                self.budget.reserved,
            )
            self._rejected = 0
        self.refusals.write()
        for connection in [c for c in self._connections if c.has_timed_out(now)]:
            connection.time_out()
        for connection in [c for c in self._connections if c.is_unread() and c.client_has_left()]:
            connection.on_client_left()

    def close_idle(self, min_idle_s: float) -> None:
        """Close the connections that have been idle for at least this long."""
        before = self.now() - min_idle_s
        for connection in [c for c in self._connections if c.is_idle() and c.state_since <= before]:
            connection.close()

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def is_empty(self) -> bool:
        """Return whether no connection is open."""
        return not self._connections

    def inactive_s(self) -> float:
        """Return the seconds since a connection or a request last arrived."""
        return self.now() - self._last_activity

    def is_streaming(self) -> bool:
        """Return whether a streamed response, which has no deadline, is being sent."""
        return any(c.is_streaming() for c in self._connections)

    def has_pending_output(self) -> bool:
        """Return whether a response is still to be sent, or a request is being received."""
        return any(c.has_pending_output() for c in self._connections)

    def close(self) -> None:
        """Stop accepting and close all connections immediately."""
        self._sweeper.cancel()
        self.refusals.write()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()

    def route(self, message: Message, exchange: Exchange) -> None:
        """Start handling a request; raise MessageError if the node does not serve it."""
        self._last_activity = self.now()
        path = normalize_path(message)
        if path == b"/ready":
            if message.method != b"GET":
                raise MessageError(400, "method")
            exchange.respond(200 if self._ready() else 503)
            return
        if not is_api_path(path):
            raise MessageError(404, "path")
        # The deadline of a request with a streamed body starts at the last byte of the body.
        waited_s = 0.0 if message.upload is not None else self.now() - exchange.arrived_at
        request = self._request_parser.parse(message, path, waited_s)
        exchange.class_index = request.class_index
        if request.budget_ms <= 0.0:
            # Its time was over before it was read; nothing has been sent for it.
            exchange.respond(503)
        elif self.over_limit() or not exchange.try_reserve(message):
            self.count_rejection()
            exchange.close_after = True
            exchange.respond(503, extra=OVERLOAD_RETRY_AFTER)
        else:
            self._on_request(request, exchange)

    def class_index_of(self, message: Message) -> int | None:
        """Return the index of the class that a head names; None if it names none."""
        return self._request_parser.class_index_of(message)

    def check(self, message: Message) -> None:
        """Raise MessageError if the node would not serve a request with this head."""
        path = normalize_path(message)
        if is_api_path(path):
            self._request_parser.parse(message, path)
