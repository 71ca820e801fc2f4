"""A follower, a hub, or both of them on TCP.  It decides nothing."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, cast

from crowpost.config_feed import distribution_server as serving
from crowpost.config_feed import follower as watching
from crowpost.config_feed import frames, messages
from crowpost.config_feed.configuration import FeedConfig, split_address
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader, FeedError

log = logging.getLogger(__name__)

BUFFER = 1 << 16  # bytes that a connection may hold back before the hub is told that it is blocked
FLUSH_S = 5.0  # for what was sent to be out, once a link is to be closed
FAREWELL_S = 0.5  # for all links together, at an orderly end

Requested = Callable[[int, messages.PublishRequest], None]


class FeedTransport:
    """One process of the feed on the running loop.

    A node has no hub; a relay or publisher, which listens, has both with one table.
    on_document: called with each document that came whole; a node answers it with `applied`, at any later
    time.  kept: last good documents from disk.  on_publish: is called with what a publisher is asked for.
    """

    def __init__(
        self,
        config: FeedConfig,
        on_document: Callable[[Document], None],
        *,
        kept: Iterable[Document] = (),
        on_publish: Requested | None = None,
    ) -> None:
        self._config, self._on_document, self._on_publish = config, on_document, on_publish
        self._loop = asyncio.get_running_loop()
        self._up: dict[int, _Connection] = {}  # links of the follower, and of the hub
        self._down: dict[int, _Connection] = {}
        self._dials: dict[int, asyncio.Task[None]] = {}
        self._accepted = 0
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._working = False
        self._closed = False
        table = DocumentTable(config.tuning)
        self.follower = self._watch(table, kept)
        self.distribution_server = self._serve(table) if config.listen else None

    def _watch(self, table: DocumentTable, kept: Iterable[Document]) -> watching.Follower:
        config = self._config
        return watching.Follower(
            config.cluster,
            config.name,
            config.upstreams,
            config.interest,
            role=config.role,
            region=config.region,
            zone=config.zone,
            judged=config.role == "node",
            rng=Random(secrets.randbits(64)),
            instance_id=secrets.randbits(32),
            now=self.now(),
            tuning=config.tuning,
            table=table,
            kept=kept,
        )

    def _serve(self, table: DocumentTable) -> serving.DistributionServer:
        config = self._config
        return serving.DistributionServer(
            config.cluster,
            config.name,
            role=config.role,
            region=config.region,
            zone=config.zone,
            table=table,
            publishes=self._on_publish is not None,
            instance_id=secrets.randbits(32),
            now=self.now(),
            tuning=config.tuning,
        )

    def now(self) -> float:
        """Monotonic time in ms."""
        return 1000.0 * self._loop.time()

    async def listen(self) -> str:
        """Serve watches; returns the address that was bound.  OSError where it cannot be."""
        host, port = split_address(self._config.listen)
        self._server = await self._loop.create_server(self._accept, host, port, reuse_address=True)
        bound = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self.tell("start", role=self._config.role, listens=bound, cluster=self._config.cluster)
        return bound

    def start(self) -> None:
        """Begin to watch."""
        self._after()

    # ------------------------------------------------------------ what the cores are told

    def applied(self, header: DocumentHeader, refused: str) -> None:
        """A node's answer to a document: in force where `refused` is empty, else why not, in one line."""
        self.follower.applied(header.scope, header, refused, self.now())
        self._after()

    def announce(self, document: Document) -> None:
        """A publisher's own document is durable: hold it and tell all that watch."""
        assert self.distribution_server is not None
        self.distribution_server.announce(document, self.now())
        self._after()

    def answer(self, connection: int, message: messages.Message) -> None:
        """Answer what a publisher was asked for."""
        assert self.distribution_server is not None
        self.distribution_server.answer(connection, message, self.now())
        self._after()

    def _accept(self) -> _Connection:
        self._accepted += 1
        return _Connection(self, self._accepted, self._down, up=False)

    def opened(self, connection: _Connection) -> None:
        """A connection is up."""
        if connection.up:
            self.follower.connected(connection.number, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.accepted(connection.number, self.now())
        self._after()

    def received(self, connection: _Connection, data: bytes) -> None:
        """Bytes came."""
        if connection.up:
            self.follower.received(connection.number, data, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.received(connection.number, data, self.now())
        self._after()

    def blocked(self, connection: _Connection, blocked: bool) -> None:
        """The connection takes no more for now, or does again."""
        if not connection.up and self.distribution_server is not None:
            self.distribution_server.blocked(connection.number, blocked, self.now())
            self._after()

    def lost(self, connection: _Connection) -> None:
        """A connection is gone."""
        if connection.up:
            self.follower.lost(connection.number, self.now())
        elif self.distribution_server is not None:
            self.distribution_server.lost(connection.number, self.now())
        self._after()

    def _tick(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        now = self.now()
        self.follower.tick(now)
        if self.distribution_server is not None:
            self.distribution_server.tick(now)
        self._after()

    # ------------------------------------------------------------ what they want done

    def _after(self) -> None:
        """Do all that the cores left; what that brings in turn is done before this returns."""
        if self._working:
            return
        self._working = True
        try:
            while self._follow() | self._attend():
                pass
        finally:
            self._working = False
        self._set_timer()

    def _follow(self) -> bool:
        out = self.follower.take()
        for dial in out.dials:
            if not self._closed:
                self._dials[dial.connection_id] = self._loop.create_task(
                    self._dial(dial.connection_id, dial.address)
                )
        self._send(self._up, out.sends)
        for number in out.hangups:
            self._hang_up(self._up, number)
        for event in out.events:
            self.tell(event.kind, event.at, **event.values)
        for document in out.apply:
            if self.distribution_server is not None:
                self.distribution_server.announce(document, self.now())
            self._on_document(document)
        return bool(out.dials or out.sends or out.hangups or out.apply)

    def _attend(self) -> bool:
        if self.distribution_server is None:
            return False
        out = self.distribution_server.take()
        self._send(self._down, out.sends)
        for number in out.hangups:
            self._hang_up(self._down, number)
        for connection, request in out.requests:
            if self._on_publish is not None:
                self._on_publish(connection, request)
        for event in out.events:
            self.tell(event.kind, event.at, **event.values)
        return bool(out.sends or out.hangups or out.requests)

    def _send(self, connections: dict[int, _Connection], sends: list[tuple[int, bytes]]) -> None:
        for number, frame in sends:
            connection = connections.get(number)
            if connection is not None:
                connection.write(frame)

    def _hang_up(self, connections: dict[int, _Connection], number: int) -> None:
        if connections is self._up and number in self._dials:
            self._dials.pop(number).cancel()
        if number in connections:
            connections[number].close()

    async def _dial(self, number: int, address: str) -> None:
        try:
            await self._loop.create_connection(
                lambda: _Connection(self, number, self._up, up=True), *split_address(address)
            )
        except OSError:
            self.follower.lost(number, self.now())
            self._after()
        finally:
            self._dials.pop(number, None)

    def _set_timer(self) -> None:
        due = self.follower.next_at()
        if self.distribution_server is not None:
            due = min(due, self.distribution_server.next_at())
        if self._closed or due == self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer, self._timer_at = None, due
        if due < float("inf"):
            self._timer = self._loop.call_at(due / 1000.0, self._tick)

    # ------------------------------------------------------------ the end, and what is told

    async def close(self) -> None:
        """Say good-bye, let that be sent, and close."""
        if self._closed:
            return
        now = self.now()
        self.follower.close(now)
        if self.distribution_server is not None:
            self.distribution_server.close(now)
        self._after()
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for dial in list(self._dials.values()):
            dial.cancel()
        connections = [*self._up.values(), *self._down.values()]
        for connection in connections:
            connection.close()
        if connections:
            await asyncio.wait(
                [asyncio.ensure_future(connection.gone.wait()) for connection in connections],
                timeout=FAREWELL_S,
            )
        for connection in connections:
            connection.abort()

    def tell(self, event: str, at: float | None = None, **values: object) -> None:
        """One structured line; `at_ms` is the machine's monotonic clock, common to all of its processes."""
        told = {"event": event, "at_ms": round(self.now() if at is None else at, 1), "by": self._config.name}
        log.info("feed %s", json.dumps({**told, **values}))


class _Connection(asyncio.Protocol):
    """One connection, by its number among those of its side."""

    def __init__(
        self, carrier: FeedTransport, number: int, connections: dict[int, _Connection], *, up: bool
    ) -> None:
        self._carrier, self.number, self._links, self.up = carrier, number, connections, up
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False
        self.gone = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self._transport.set_write_buffer_limits(high=BUFFER)
        self._links[self.number] = self
        self._carrier.opened(self)

    def data_received(self, data: bytes) -> None:
        if not self._closing:
            self._carrier.received(self, data)

    def pause_writing(self) -> None:
        self._carrier.blocked(self, True)

    def resume_writing(self) -> None:
        self._carrier.blocked(self, False)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.gone.set()
        if self._timer is not None:
            self._timer.cancel()
        if self._links.pop(self.number, None) is not None:
            self._carrier.lost(self)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._closing:
            self._transport.write(data)

    def close(self) -> None:
        """Close once what was sent is out, or in a while."""
        if self._transport is not None and not self._closing:
            self._closing = True
            self._transport.close()
            self._timer = asyncio.get_running_loop().call_later(FLUSH_S, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


async def ask(address: str, message: messages.Message, cluster: str, within_s: float) -> messages.Message:
    """What a relay or publisher answers to AskStatus or Publish; FeedError, in one line, where none comes."""
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                writer.write(frames.encode(message, frames.cluster_tag(cluster)))
                return await _answer(address, reader, type(message))
            finally:
                writer.close()
    except TimeoutError:
        raise FeedError(f"{address}: no answer within {within_s:g} s") from None
    except OSError as error:
        raise FeedError(f"{address}: {error.strerror or error}") from None


async def _answer(address: str, reader: asyncio.StreamReader, asked: type[Any]) -> messages.Message:
    stream = frames.FrameReader(None)
    wanted = (
        (messages.StatusResponse,)
        if asked is messages.StatusRequest
        else (messages.PublishAccepted, messages.PublishRejected)
    )
    while data := await reader.read(1 << 16):
        for item, _ in stream.feed(data):
            if isinstance(item, frames.FrameError):
                raise FeedError(f"{address}: {item}")
            if isinstance(item, wanted):
                return item
            if isinstance(item, messages.Goodbye):
                raise FeedError(f"{address}: {item.why}")
    raise FeedError(f"{address}: closed without an answer")
