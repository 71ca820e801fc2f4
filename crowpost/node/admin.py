"""The second address: what staff and their tools ask of this process.  It decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import cast

from crowpost.node.http.message import Message, MessageError
from crowpost.node.http.reader import Reader
from crowpost.node.http.rendering import answer

log = logging.getLogger(__name__)

FIRST_S = 2.0  # after connecting, for the whole call: silent peers hold descriptors
LINGER_S = 0.5  # what still comes in is read away meanwhile, else a reset could overtake the answer


@dataclass(frozen=True, slots=True)
class Reply:
    """What a call is answered with."""

    status: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Call:
    """What stands behind a path."""

    method: bytes
    run: Callable[[], Reply | Awaitable[Reply]]  # one that is awaited must come within a second or two


class _Peer(asyncio.Protocol):
    """One connection: one call, one answer."""

    def __init__(self, management: Management) -> None:
        self._management = management
        self._reader = Reader(self, requests=True)
        self._transport: asyncio.Transport | None = None
        self._answered = False
        self._timer: asyncio.TimerHandle | None = None
        self._work: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self._timer = asyncio.get_running_loop().call_later(FIRST_S, self._give_up)
        self._management.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        try:
            self._reader.feed(data)
        except MessageError:
            self._answer(Reply(400))

    def on_head(self, message: Message) -> None:
        """Nothing hangs on a head alone."""

    def on_long(self, message: Message) -> None:
        self._answer(Reply(400))

    def on_piece(self, piece: bytes) -> None:
        """Of a call that has had its answer."""

    def on_end(self, message: Message) -> None:
        """Of a call that has had its answer."""

    def on_whole(self, message: Message) -> None:
        try:
            reply = self._management.reply(message)
        except Exception:
            log.exception("fault in a management call")
            reply = Reply(500)
        if isinstance(reply, Reply):
            self._answer(reply)
        else:
            self._work = asyncio.ensure_future(self._answer_later(reply))

    async def _answer_later(self, reply: Awaitable[Reply]) -> None:
        try:
            self._answer(await reply)
        except Exception:
            log.exception("fault in a management call")
            self._answer(Reply(500))

    def _give_up(self) -> None:
        if self._reader.within:
            self._answer(Reply(408))
        else:
            self.drop()

    def _answer(self, reply: Reply) -> None:
        if self._answered or self._transport is None:
            return
        self._answered = True
        if self._timer is not None:
            self._timer.cancel()
        kind = b"Content-Type: text/plain; charset=utf-8\r\n" if reply.body else b""
        self._transport.write(answer(reply.status, reply.body, kind, close=True))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.drop)

    def drop(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._management.closed(self)


class Management:
    """The second listening socket and its calls."""

    def __init__(self, actions: Mapping[bytes, Call], most: int) -> None:
        self._actions = actions
        self._most = most
        self._open: dict[_Peer, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound."""
        host, port = address
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Peer(self), host, port, reuse_address=True
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    def reply(self, message: Message) -> Reply | Awaitable[Reply]:
        action = self._actions.get(message.start.partition(b"?")[0])
        if action is None:
            return Reply(404)
        return action.run() if message.method == action.method else Reply(405)

    def opened(self, peer: _Peer) -> None:
        self._open[peer] = None
        if len(self._open) > self._most:
            # A call comes with its connection: what has been here longest is silent, or has its answer.
            next(iter(self._open)).drop()

    def closed(self, peer: _Peer) -> None:
        self._open.pop(peer, None)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for peer in list(self._open):
            peer.drop()
