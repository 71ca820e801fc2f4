"""The admin server, which listens on the management address for operators and their tools."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import cast

from crowpost.node.downstream.acceptor import Acceptor, listening_socket
from crowpost.node.http.message import Message, MessageError
from crowpost.node.http.parser import MessageParser
from crowpost.node.http.rendering import render_response

log = logging.getLogger(__name__)

BACKLOG = 128
# The time for a whole call, from connecting on: peers that send nothing hold descriptors.
CALL_TIMEOUT_S = 2.0
# How long input is discarded after the response: a close with unread input sends a reset, which could reach
# the client before the response.
LINGER_S = 0.5


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to an admin call."""

    status: int
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class AdminAction:
    """The handler of a path and its HTTP method."""

    method: bytes
    # A returned awaitable must complete within a second or two.
    run: Callable[[], AdminResponse | Awaitable[AdminResponse]]


class _AdminConnection(asyncio.Protocol):
    """A connection that carries one call and its response."""

    def __init__(self, server: AdminServer) -> None:
        self._admin = server
        self._parser = MessageParser(self, requests=True)
        self._transport: asyncio.Transport | None = None
        self._responded = False
        self._timer: asyncio.TimerHandle | None = None
        self._work: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection and start its timeout."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._on_timeout)
        self._admin.opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._responded:
            return
        try:
            self._parser.feed(data)
        except MessageError:
            self._respond(AdminResponse(400))

    def on_head(self, message: Message) -> None:
        """Ignore the head: a call is handled once it is complete."""

    def on_stream_start(self, message: Message) -> None:  # noqa: ARG002  MessageReceiver's signature
        """Reject a long body."""
        self._respond(AdminResponse(400))

    def on_stream_data(self, data: bytes) -> None:
        """Ignore the body of a rejected call."""

    def on_stream_end(self, message: Message) -> None:
        """Ignore the end of a rejected call."""

    def on_message(self, message: Message) -> None:
        """Run the action of a complete call."""
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
        content_type = b"Content-Type: text/plain; charset=utf-8\r\n" if response.body else b""
        self._transport.write(render_response(response.status, response.body, content_type, close=True))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close immediately."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio's signature
        """Cancel the timer and remove the connection from the server."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._parser.close()
        self._admin.closed(self)


class AdminServer:
    """The listening socket for admin calls, with the actions by path."""

    def __init__(self, actions: Mapping[bytes, AdminAction], max_connections: int) -> None:
        self._actions = actions
        self._max_connections = max_connections
        # The open connections, oldest first.
        self._connections: dict[_AdminConnection, None] = {}
        self._acceptor: Acceptor | None = None

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; return it with the port that was bound."""
        listening = listening_socket(address, BACKLOG)
        self._acceptor = Acceptor(listening, lambda: _AdminConnection(self))
        bound: tuple[str, int] = listening.getsockname()[:2]
        return bound

    def handle(self, message: Message) -> AdminResponse | Awaitable[AdminResponse]:
        """Run the action of a call and return its response."""
        action = self._actions.get(message.target.partition(b"?")[0])
        if action is None:
            return AdminResponse(404)
        return action.run() if message.method == action.method else AdminResponse(405)

    def opened(self, connection: _AdminConnection) -> None:
        """Register a new connection, and close the oldest if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            # A client sends its call as soon as it connects, so the oldest connection has either sent nothing
            # or already has its response.
            next(iter(self._connections)).abort()

    def closed(self, connection: _AdminConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None
        for connection in list(self._connections):
            connection.abort()
