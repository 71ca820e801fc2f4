"""The listener: accepts client connections, limits them, and routes their requests."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from hashlib import blake2b

from crowpost.decision_api import Effect, Settings
from crowpost.node.configuration import ConfigError
from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.exchange import STREAM_BUFFER_BYTES, Exchange
from crowpost.node.downstream.request import (
    MAX_DEADLINE_S,
    ClientRequest,
    is_api_path,
    normalize_path,
    parse_cost_hint_ms,
    parse_number,
)
from crowpost.node.http.body import ByteBudget
from crowpost.node.http.message import (
    CLASS,
    COST_HINT,
    DEADLINE,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    RETRY,
    TENANT,
    Message,
    MessageError,
)
from crowpost.node.metrics import Metrics

log = logging.getLogger(__name__)

SWEEP_INTERVAL_S = 0.1
OVERLOAD_RETRY_AFTER_S = 0.5
BACKLOG = 1024


def adopt_listening_socket(descriptor: int) -> socket.socket:
    """The listening socket that this process was started with."""
    try:
        listener = socket.socket(fileno=descriptor)
        listening = listener.family == socket.AF_INET and listener.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        )
    except OSError as error:
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no socket: {error}") from None
    if not listening:
        listener.detach()
        raise ConfigError(f"NODE_ACCEPT_FD: descriptor {descriptor} is no listening TCP socket")
    return listener


class Listener:
    """The listening socket and all connections of callers."""

    def __init__(
        self,
        settings: Settings,
        on_request: Callable[[ClientRequest, Exchange], None],
        ready: Callable[[], bool],
        metrics: Metrics,
        max_connections: int,
        max_body_bytes: int,
    ) -> None:
        self.closing = False  # every answer closes its connection
        self.metrics = metrics
        self._last_activity = 0.0  # when a connection or a request last came
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._on_request = on_request
        self._ready = ready
        self._max_connections = max_connections
        self.budget = ByteBudget(max(max_body_bytes, STREAM_BUFFER_BYTES))
        self._rejected = 0  # since the last sweep, for want of connections or memory
        self._loop = asyncio.get_running_loop()
        self._connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def listen(self, at: tuple[str, int] | socket.socket) -> tuple[str, int]:
        """Accept on this address only, or on a socket that listens already; returns the address."""
        if isinstance(at, socket.socket):
            self._server = await self._loop.create_server(
                lambda: ClientConnection(self), sock=at, backlog=BACKLOG
            )
        else:
            self._server = await self._loop.create_server(
                lambda: ClientConnection(self), *at, backlog=BACKLOG, reuse_address=True
            )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    def stop_accepting(self) -> None:
        """Leave what comes anew to the others that hold the same listening socket."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @staticmethod
    def now() -> float:
        """Seconds; the loop's own time is too coarse to tell which connection is idle longest."""
        return time.monotonic()

    def listening(self) -> bool:
        return self._server is not None and self._server.is_serving()

    def opened(self, connection: ClientConnection) -> None:
        self._connections.add(connection)
        self._last_activity = self.now()
        if len(self._connections) > self._max_connections:
            self._evict_one(connection)

    def closed(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)

    def over_limit(self) -> bool:
        """More connections than the limit, and none idle to close: what comes now is refused."""
        return len(self._connections) > self._max_connections

    def release_body(self, exchange: Exchange) -> None:
        """The body of a request that is over no longer counts."""
        size, exchange.reserved_body_bytes = exchange.reserved_body_bytes, 0
        self.budget.release(size)

    def _evict_one(self, newest: ClientConnection) -> None:
        """Close the connection that can best be may_close, if one can: no crowd may take every descriptor."""
        for may_close in (
            ClientConnection.is_finished,
            ClientConnection.is_idle_and_flushed,
            ClientConnection.is_in_first_head,
        ):
            victim = min(
                (c for c in self._connections if c is not newest and may_close(c)),
                key=lambda c: c.state_since,
                default=None,
            )
            if victim is not None:
                # It no longer counts: a request on another must not be refused until it has closed.
                self._connections.discard(victim)
                victim.close()
                return

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        if self._rejected:
            log.warning(
                "%d requests refused: %d callers connected (%d idle, at most %d), %d bytes held",
                self._rejected,
                len(self._connections),
                sum(c.is_idle() for c in self._connections),
                self._max_connections,
                self.budget.reserved,
            )
            self._rejected = 0
        for connection in [c for c in self._connections if c.has_timed_out(now)]:
            connection.time_out()
        for connection in [c for c in self._connections if c.client_has_left()]:
            connection.on_client_left()

    def close_idle(self, min_idle_s: float) -> None:
        """Close the connections that have been idle for this long."""
        before = self.now() - min_idle_s
        for connection in [c for c in self._connections if c.is_idle() and c.state_since <= before]:
            connection.close()

    def connection_count(self) -> int:
        return len(self._connections)

    def is_empty(self) -> bool:
        return not self._connections

    def inactive_s(self) -> float:
        """For how long neither a connection nor a request has come."""
        return self.now() - self._last_activity

    def is_streaming(self) -> bool:
        """Whether a long answer is on its way: it has no deadline."""
        return any(c.is_streaming() for c in self._connections)

    def has_pending_output(self) -> bool:
        """Whether a caller is still owed something, or is sending."""
        return any(c.has_pending_output() for c in self._connections)

    def close(self) -> None:
        self._sweeper.cancel()
        self.stop_accepting()
        for connection in list(self._connections):
            connection.abort()

    # Requests.

    def route(self, message: Message, exchange: Exchange) -> None:
        """Take one whole request; MessageError if it is none that a node serves."""
        self._last_activity = self.now()
        path = normalize_path(message)
        if path == b"/ready":
            if message.method != b"GET":
                raise MessageError(400, "method")
            exchange.respond(200 if self._ready() else 503)
        elif is_api_path(path):
            # The time of a long body runs from its last byte.
            waited_s = 0.0 if message.upload is not None else self.now() - exchange.arrived_at
            asked = self._parse(message, path, waited_s)
            exchange.class_index = asked.class_index
            size = len(message.body) if message.upload is None else STREAM_BUFFER_BYTES
            if self.over_limit() or not self.budget.try_reserve(size):
                self._rejected += 1
                exchange.close_after = True
                exchange.respond(503, extra=b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S)
            else:
                exchange.reserved_body_bytes = size
                self._on_request(asked, exchange)
        else:
            raise MessageError(404, "path")

    def check(self, message: Message) -> None:
        """MessageError if a request with this head would not be taken."""
        path = normalize_path(message)
        if is_api_path(path):
            self._parse(message, path)

    def _parse(self, message: Message, path: bytes, waited_s: float = 0.0) -> ClientRequest:
        headers = message.headers
        required = [REQUEST_ID, CLASS, DEADLINE, *([TENANT] if self._tenants else [])]
        for name in required:
            if not headers.get(name) or name in message.repeated_headers:
                raise MessageError(400, f"{name.decode()} is missing or repeated")
        class_index = self._classes.get(headers[CLASS])
        tenant = self._tenants.get(headers[TENANT]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise MessageError(400, "unknown class or tenant")
        self._check_method(message, self._settings.classes[class_index].effect)
        hint = headers.get(COST_HINT)
        item = path.removeprefix(b"/api").removeprefix(b"/")
        return ClientRequest(
            message=message,
            class_index=class_index,
            tenant=tenant,
            key=int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0,
            budget_ms=1000.0 * (parse_number(headers[DEADLINE], "deadline", MAX_DEADLINE_S) - waited_s),
            cost_hint_ms=parse_cost_hint_ms(hint),
            is_repeat=headers.get(RETRY) == b"1",
        )

    @staticmethod
    def _check_method(message: Message, effect: Effect) -> None:
        """The method and the key must say of the effect what the class says: rule 2 rests on it."""
        keyed = IDEMPOTENCY_KEY in message.headers
        safe = effect is Effect.SAFE
        if (
            message.method != (b"GET" if safe else b"POST")
            or keyed != (effect is Effect.KEYED)
            or (safe and (message.body or message.upload is not None))
            or IDEMPOTENCY_KEY in message.repeated_headers
        ):
            raise MessageError(400, "method or key does not fit the class")
