"""The admin server, on the second address: what operators and their tools ask of this process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import cast

from crowpost.node.http.message import Message, MessageError
from crowpost.node.http.parser import MessageParser
from crowpost.node.http.rendering import render_response

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0  # after connecting, for the whole call: silent peers hold descriptors
LINGER_S = 0.5  # in which input is read away, else a reset could overtake the response


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to an admin call."""

    status: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminAction:
    """What is run for a path."""

    method: bytes
    # An awaitable must be done within a second or two.
    run: Callable[[], AdminResponse | Awaitable[AdminResponse]]


class _AdminConnection(asyncio.Protocol):
    """One connection: one call, one response."""

    def __init__(self, server: AdminServer) -> None:
        self._admin = server
        self._parser = MessageParser(self, requests=True)
        self._transport: asyncio.Transport | None = None
        self._responded = False
        self._timer: asyncio.TimerHandle | None = None
        self._work: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the new connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._on_timeout)
        self._admin.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse what comes in."""
        if self._responded:
            return
        try:
            self._parser.feed(data)
        except MessageError:
            self._respond(AdminResponse(400))

    def on_head(self, message: Message) -> None:
        """Ignore a head without its body."""

    def on_stream_start(self, message: Message) -> None:  # noqa: ARG002  the parser passes it
        """Refuse a long body."""
        self._respond(AdminResponse(400))

    def on_stream_data(self, data: bytes) -> None:
        """Ignore the body of a call that has had its response."""

    def on_stream_end(self, message: Message) -> None:
        """Ignore the end of a call that has had its response."""

    def on_message(self, message: Message) -> None:
        """Run the action that is called."""
        try:
            response = self._admin.handle(message)
        except Exception:
            log.exception("fault in an admin call")
            response = AdminResponse(500)
        if isinstance(response, AdminResponse):
            self._respond(response)
        else:
            self._work = asyncio.ensure_future(self._respond_later(response))

    async def _respond_later(self, response: Awaitable[AdminResponse]) -> None:
        try:
            self._respond(await response)
        except Exception:
            log.exception("fault in an admin call")
            self._respond(AdminResponse(500))

    def _on_timeout(self) -> None:
        if self._parser.in_message:
            self._respond(AdminResponse(408))
        else:
            self.abort()

    def _respond(self, response: AdminResponse) -> None:
        if self._responded or self._transport is None:
            return
        self._responded = True
        if self._timer is not None:
            self._timer.cancel()
        kind = b"Content-Type: text/plain; charset=utf-8\r\n" if response.body else b""
        self._transport.write(render_response(response.status, response.body, kind, close=True))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio passes it
        """Forget the connection, and end what was under way on it."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._admin.closed(self)


class AdminServer:
    """The second listening socket and its actions, by path."""

    def __init__(self, actions: Mapping[bytes, AdminAction], max_connections: int) -> None:
        self._actions = actions
        self._max_connections = max_connections
        self._connections: dict[_AdminConnection, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; return it with the port that was bound."""
        host, port = address
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _AdminConnection(self), host, port, reuse_address=True
        )
        bound: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return bound

    def handle(self, message: Message) -> AdminResponse | Awaitable[AdminResponse]:
        """Run the action for a call, and return its response."""
        action = self._actions.get(message.target.partition(b"?")[0])
        if action is None:
            return AdminResponse(404)
        return action.run() if message.method == action.method else AdminResponse(405)

    def opened(self, connection: _AdminConnection) -> None:
        """Count a new connection, closing the oldest if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            # A call comes with its connection: the oldest connection is silent, or has its response.
            next(iter(self._connections)).abort()

    def closed(self, connection: _AdminConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()
