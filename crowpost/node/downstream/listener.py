"""The listener: accepts client connections, limits them, and routes their requests."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from collections.abc import Callable
from hashlib import blake2b

from crowpost.interface import Effect, Settings
from crowpost.node.configuration import ConfigError
from crowpost.node.downstream.connection import CallerConnection
from crowpost.node.downstream.exchange import LONG_BYTES, Exchange
from crowpost.node.downstream.request import (
    LONGEST_DEADLINE_S,
    ClientRequest,
    _hint_ms,
    _is_api,
    _number,
    _path,
)
from crowpost.node.http.body import Budget
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

SWEEP_S = 0.1
FULL_RETRY_S = 0.5
BACKLOG = 1024


def adopt(descriptor: int) -> socket.socket:
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


class Callers:
    """The listening socket and all connections of callers."""

    def __init__(
        self,
        settings: Settings,
        take: Callable[[ClientRequest, Exchange], None],
        ready: Callable[[], bool],
        metrics: Metrics,
        most: int,
        most_bytes: int,
    ) -> None:
        self.closing = False  # every answer closes its connection
        self.metrics = metrics
        self._last_heard = 0.0  # when a connection or a request last came
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._take = take
        self._ready = ready
        self._most = most
        self.budget = Budget(max(most_bytes, LONG_BYTES))
        self._refused = 0  # since the last sweep, for want of connections or memory
        self._loop = asyncio.get_running_loop()
        self._open: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    async def listen(self, at: tuple[str, int] | socket.socket) -> tuple[str, int]:
        """Accept on this address only, or on a socket that listens already; returns the address."""
        if isinstance(at, socket.socket):
            self._server = await self._loop.create_server(
                lambda: CallerConnection(self), sock=at, backlog=BACKLOG
            )
        else:
            self._server = await self._loop.create_server(
                lambda: CallerConnection(self), *at, backlog=BACKLOG, reuse_address=True
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

    def opened(self, connection: CallerConnection) -> None:
        self._open.add(connection)
        self._last_heard = self.now()
        if len(self._open) > self._most:
            self._evict_one(connection)

    def closed(self, connection: CallerConnection) -> None:
        self._open.discard(connection)

    def crowded(self) -> bool:
        """More connections than the limit, and none idle to close: what comes now is refused."""
        return len(self._open) > self._most

    def release(self, exchange: Exchange) -> None:
        """The body of a request that is over no longer counts."""
        size, exchange.size = exchange.size, 0
        self.budget.give(size)

    def _evict_one(self, newest: CallerConnection) -> None:
        """Close the connection that can best be spared, if one can: no crowd may take every descriptor."""
        for spared in (CallerConnection.done, CallerConnection.resting, CallerConnection.unproved):
            shed = min(
                (c for c in self._open if c is not newest and spared(c)), key=lambda c: c.since, default=None
            )
            if shed is not None:
                # It no longer counts: a request on another must not be refused until it has closed.
                self._open.discard(shed)
                shed.close()
                return

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self.now()
        if self._refused:
            log.warning(
                "%d requests refused: %d callers connected (%d idle, at most %d), %d bytes held",
                self._refused,
                len(self._open),
                sum(c.idle() for c in self._open),
                self._most,
                self.budget.held,
            )
            self._refused = 0
        for connection in [c for c in self._open if c.stalled(now)]:
            connection.give_up()
        for connection in [c for c in self._open if c.left_unseen()]:
            connection.lose()

    def close_idle(self, least_s: float) -> None:
        """Close the connections that have been idle for this long."""
        before = self.now() - least_s
        for connection in [c for c in self._open if c.idle() and c.since <= before]:
            connection.close()

    def open_count(self) -> int:
        return len(self._open)

    def empty(self) -> bool:
        return not self._open

    def quiet_s(self) -> float:
        """For how long neither a connection nor a request has come."""
        return self.now() - self._last_heard

    def streaming(self) -> bool:
        """Whether a long answer is on its way: it has no deadline."""
        return any(c.streaming() for c in self._open)

    def busy(self) -> bool:
        """Whether a caller is still owed something, or is sending."""
        return any(c.owes() for c in self._open)

    def close(self) -> None:
        self._sweeper.cancel()
        self.stop_accepting()
        for connection in list(self._open):
            connection.drop()

    # Requests.

    def route(self, message: Message, exchange: Exchange) -> None:
        """Take one whole request; MessageError if it is none that a node serves."""
        self._last_heard = self.now()
        path = _path(message)
        if path == b"/ready":
            if message.method != b"GET":
                raise MessageError(400, "method")
            exchange.answer(200 if self._ready() else 503)
        elif _is_api(path):
            # The time of a long body runs from its last byte.
            waited_s = 0.0 if message.upload is not None else self.now() - exchange.came_at
            asked = self._parse(message, path, waited_s)
            exchange.class_index = asked.class_index
            size = len(message.body) if message.upload is None else LONG_BYTES
            if self.crowded() or not self.budget.take(size):
                self._refused += 1
                exchange.close = True
                exchange.answer(503, extra=b"Retry-After: %.3f\r\n" % FULL_RETRY_S)
            else:
                exchange.size = size
                self._take(asked, exchange)
        else:
            raise MessageError(404, "path")

    def check(self, message: Message) -> None:
        """MessageError if a request with this head would not be taken."""
        path = _path(message)
        if _is_api(path):
            self._parse(message, path)

    def _parse(self, message: Message, path: bytes, waited_s: float = 0.0) -> ClientRequest:
        headers = message.headers
        required = [REQUEST_ID, CLASS, DEADLINE, *([TENANT] if self._tenants else [])]
        for name in required:
            if not headers.get(name) or name in message.repeated:
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
            budget_ms=1000.0 * (_number(headers[DEADLINE], "deadline", LONGEST_DEADLINE_S) - waited_s),
            cost_hint_ms=_hint_ms(hint),
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
            or IDEMPOTENCY_KEY in message.repeated
        ):
            raise MessageError(400, "method or key does not fit the class")
