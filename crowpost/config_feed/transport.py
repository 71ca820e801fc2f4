"""Connects the follower of one process, and its distribution server if it has one, to TCP.

The transport moves bytes, runs timers and logs events; all decisions are made by the follower and the
distribution server.
"""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
from collections.abc import Callable, Iterable
from random import Random
from typing import cast

from crowpost.config_feed.configuration import FeedConfig, split_address
from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.identity import ProcessIdentity
from crowpost.config_feed.messages import Message, PublishRequest

log = logging.getLogger(__name__)

WRITE_BUFFER_BYTES = 1 << 16  # a connection with more unsent bytes counts as blocked
CLOSE_TIMEOUT_S = 5.0  # limit for sending the buffered bytes of a connection that is being closed
GOODBYE_TIMEOUT_S = 0.5  # limit for closing all connections together at an orderly shutdown
NEVER = float("inf")

DocumentHandler = Callable[[Document], None]
PublishHandler = Callable[[int, PublishRequest], None]


class FeedTransport:
    """Runs one process of the feed on the current event loop.

    A node has only a follower; a relay or publisher, which listens, also has a distribution server that
    shares its table.  on_document: called with each complete document; a node calls `apply_finished` for it
    at any later time.  cached_documents: last good documents from disk.  on_publish: called with each publish
    request, which must be answered with `answer`.
    """

    def __init__(
        self,
        config: FeedConfig,
        on_document: DocumentHandler,
        *,
        cached_documents: Iterable[Document] = (),
        on_publish: PublishHandler | None = None,
    ) -> None:
        self._config = config
        self._on_document = on_document
        self._on_publish = on_publish
        self._loop = asyncio.get_running_loop()
        # Connections of the follower, by number.
        self._upstream: dict[int, _Connection] = {}
        # Connections of the distribution server, by number.
        self._downstream: dict[int, _Connection] = {}
        self._connecting: dict[int, asyncio.Task[None]] = {}
        self._accepted = 0
        self._listener: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = NEVER
        self._processing = False
        self._closed = False
        table = DocumentTable(config.tuning)
        self.follower = self._make_follower(table, cached_documents)
        self.distribution_server = self._make_server(table) if config.listen else None

    def _make_follower(self, table: DocumentTable, cached_documents: Iterable[Document]) -> Follower:
        config = self._config
        return Follower(
            _new_identity(config),
            config.upstreams,
            config.subscription,
            rng=Random(secrets.randbits(64)),
            now=self.now(),
            tuning=config.tuning,
            table=table,
            cached_documents=cached_documents,
        )

    def _make_server(self, table: DocumentTable) -> DistributionServer:
        config = self._config
        return DistributionServer(
            _new_identity(config),
            table,
            accepts_publishes=self._on_publish is not None,
            now=self.now(),
            tuning=config.tuning,
        )

    def now(self) -> float:
        """Return monotonic time in ms."""
        return 1000.0 * self._loop.time()

    async def listen(self) -> str:
        """Accept connections of followers.  Return the bound address; raise OSError if it cannot be bound."""
        host, port = split_address(self._config.listen)
        self._listener = await self._loop.create_server(self._accept, host, port, reuse_address=True)
        bound = "{}:{}".format(*self._listener.sockets[0].getsockname()[:2])
        self.log_event("start", role=self._config.role, listens=bound, cluster=self._config.cluster)
        return bound

    def start(self) -> None:
        """Connect to the upstream servers."""
        self._process()

    # ------------------------------------------------------------ input

    def apply_finished(self, header: DocumentHeader, rejection: str) -> None:
        """Report the result of applying a document; a non-empty `rejection` is the reason, in one line."""
        self.follower.apply_finished(header, rejection, self.now())
        self._process()

    def announce(self, document: Document) -> None:
        """Store a durable document of this publisher and announce it to its subscribers."""
        assert self.distribution_server is not None
        self.distribution_server.announce(document, self.now())
        self._process()

    def answer(self, connection_id: int, message: Message) -> None:
        """Answer a publish request."""
        assert self.distribution_server is not None
        self.distribution_server.answer(connection_id, message, self.now())
        self._process()

    def _accept(self) -> _Connection:
        self._accepted += 1
        return _Connection(self, self._accepted, self._downstream, upstream=False)

    def opened(self, connection: _Connection) -> None:
        """Handle a connection that is now open."""
        if connection.upstream:
            self.follower.connected(connection.number, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.accepted(connection.number, self.now())
        self._process()

    def received(self, connection: _Connection, data: bytes) -> None:
        """Handle bytes received on a connection."""
        if connection.upstream:
            self.follower.received(connection.number, data, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.received(connection.number, data, self.now())
        self._process()

    def blocked(self, connection: _Connection, blocked: bool) -> None:
        """Handle that the write buffer of a connection is full (`blocked`), or has space again."""
        if not connection.upstream and self.distribution_server is not None:
            self.distribution_server.blocked(connection.number, blocked, self.now())
            self._process()

    def lost(self, connection: _Connection) -> None:
        """Handle the loss of a connection."""
        if connection.upstream:
            self.follower.lost(connection.number, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.lost(connection.number, self.now())
        self._process()

    def _tick(self) -> None:
        self._timer = None
        self._timer_at = NEVER
        now = self.now()
        self.follower.tick(now)
        if self.distribution_server is not None:
            self.distribution_server.tick(now)
        self._process()

    # ------------------------------------------------------------ output

    def _process(self) -> None:
        """Carry out the output of follower and distribution server until both have none left."""
        if self._processing:
            return
        self._processing = True
        try:
            while self._process_follower() | self._process_server():
                pass
        finally:
            self._processing = False
        self._set_timer()

    def _process_follower(self) -> bool:
        """Carry out the output of the follower.  Return whether it may cause further output."""
        output = self.follower.take()
        for request in output.connects:
            if not self._closed:
                connecting = self._connect(request.connection_id, request.address)
                self._connecting[request.connection_id] = self._loop.create_task(connecting)
        self._send(self._upstream, output.sends)
        for number in output.disconnects:
            if number in self._connecting:
                self._connecting.pop(number).cancel()
            self._close(self._upstream, number)
        for event in output.events:
            self.log_event(event.kind, event.at, **event.values)
        for document in output.apply:
            if self.distribution_server is not None:
                self.distribution_server.announce(document, self.now())
            self._on_document(document)
        return bool(output.connects or output.sends or output.disconnects or output.apply)

    def _process_server(self) -> bool:
        """Carry out the output of the distribution server.  Return whether it may cause further output."""
        if self.distribution_server is None:
            return False
        output = self.distribution_server.take()
        self._send(self._downstream, output.sends)
        for number in output.disconnects:
            self._close(self._downstream, number)
        for number, request in output.requests:
            if self._on_publish is not None:
                self._on_publish(number, request)
        for event in output.events:
            self.log_event(event.kind, event.at, **event.values)
        return bool(output.sends or output.disconnects or output.requests)

    def _send(self, connections: dict[int, _Connection], sends: list[tuple[int, bytes]]) -> None:
        for number, frame in sends:
            connection = connections.get(number)
            if connection is not None:
                connection.write(frame)

    def _close(self, connections: dict[int, _Connection], number: int) -> None:
        if number in connections:
            connections[number].close()

    async def _connect(self, number: int, address: str) -> None:
        try:
            await self._loop.create_connection(
                lambda: _Connection(self, number, self._upstream, upstream=True), *split_address(address)
            )
        except OSError:
            self.follower.lost(number, self.now())
            self._process()
        finally:
            self._connecting.pop(number, None)

    def _set_timer(self) -> None:
        due = self.follower.next_at()
        if self.distribution_server is not None:
            due = min(due, self.distribution_server.next_at())
        if self._closed or due == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._timer_at = due
        if due < NEVER:
            self._timer = self._loop.call_at(due / 1000.0, self._tick)

    # ------------------------------------------------------------ shutdown and log

    async def close(self) -> None:
        """Send Goodbye on all connections, wait until it is sent, and close them."""
        if self._closed:
            return
        now = self.now()
        self.follower.close(now)
        if self.distribution_server is not None:
            self.distribution_server.close(now)
        self._process()
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for connecting in list(self._connecting.values()):
            connecting.cancel()
        connections = [*self._upstream.values(), *self._downstream.values()]
        for connection in connections:
            connection.close()
        if connections:
            closing = [asyncio.ensure_future(connection.closed.wait()) for connection in connections]
            await asyncio.wait(closing, timeout=GOODBYE_TIMEOUT_S)
        for connection in connections:
            connection.abort()

    def log_event(self, event: str, at: float | None = None, /, **values: object) -> None:
        """Write one structured log line; `at_ms` is the monotonic clock shared by all processes of a machine.

        `event` and `at` are positional-only, because a value may have either name.
        """
        at_ms = round(self.now() if at is None else at, 1)
        line = {"event": event, "at_ms": at_ms, "by": self._config.name, **values}
        log.info("feed %s", json.dumps(line))


class _Connection(asyncio.Protocol):
    """A TCP connection of the follower or of the distribution server, which number it independently."""

    def __init__(
        self, feed: FeedTransport, number: int, connections: dict[int, _Connection], *, upstream: bool
    ) -> None:
        self.number = number
        self.upstream = upstream
        self.closed = asyncio.Event()
        self._feed = feed
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._connections[self.number] = self
        self._feed.opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes, unless the connection is being closed."""
        if not self._closing:
            self._feed.received(self, data)

    def pause_writing(self) -> None:
        """Report that the write buffer is full."""
        self._feed.blocked(self, True)

    def resume_writing(self) -> None:
        """Report that the write buffer has space again."""
        self._feed.blocked(self, False)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio passes it
        """Unregister the connection."""
        self._transport = None
        self.closed.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._connections.pop(self.number, None) is not None:
            self._feed.lost(self)

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection is being closed."""
        if self._transport is not None and not self._closing:
            self._transport.write(data)

    def close(self) -> None:
        """Close the connection once its buffered bytes are sent, or after CLOSE_TIMEOUT_S."""
        if self._transport is not None and not self._closing:
            self._closing = True
            self._transport.close()
            self._timer = asyncio.get_running_loop().call_later(CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def _new_identity(config: FeedConfig) -> ProcessIdentity:
    return ProcessIdentity(
        config.cluster, config.name, config.role, config.region, config.zone, secrets.randbits(32)
    )
