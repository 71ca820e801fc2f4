"""The state of a client connection, and what its listener and its exchanges ask of it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from crowpost.node.downstream import timeouts
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.sockets import peer_has_closed
from crowpost.node.http.body import Upload
from crowpost.node.http.parser import MessageParser

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import ExchangeListener


class ConnectionStatus(asyncio.Protocol):
    """The state of one client connection, without what changes it.

    Times are in seconds, of the listener's clock.
    """

    _parser: MessageParser  # made by the subclass, which receives its messages

    def __init__(self, listener: ExchangeListener) -> None:
        self.listener = listener
        self.opened_at = 0.0
        self.had_request = False  # complete, or the beginning of a long one
        self.state_since = 0.0  # last became idle, began a request, was paused or took data
        self.reserved_bytes = 0  # of the budget, for long responses, until they have been sent
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        self._discarding = False  # the last response is written; input is read away
        self._malformed = False  # what came is not a request, so nothing behind it is one
        self._write_paused = False  # the client does not read its responses
        self._upload: Upload | None = None  # a long body that is coming in
        self._upload_paused = False  # and is not read for now
        self._received_at = 0.0  # when bytes last came, or reading was resumed
        self._head_complete_at = 0.0  # of the current request

    def is_idle(self) -> bool:
        """Return whether it is between requests.

        It may be closed then, as a client sends a request that crosses the close again.
        """
        return not self._exchanges and not self._parser.in_message and not self._discarding

    def is_finished(self) -> bool:
        """Return whether its last response has been sent, as far as can be seen."""
        return self._discarding and not self.has_pending_output()

    def is_idle_and_flushed(self) -> bool:
        """Return whether it is between requests, with nothing left to send."""
        return self.is_idle() and not self.has_pending_output()

    def is_in_first_head(self) -> bool:
        """Return whether only a part of its first head has come."""
        return (
            not self.had_request
            and self._parser.in_message
            and not self._parser.in_body
            and not self._exchanges
        )

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request has come behind this one."""
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def has_pending_output(self) -> bool:
        """Return whether a response is still to be sent, or a request is coming in."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent or bool(self._exchanges) or (self._parser.in_message and not self._discarding)

    def is_streaming(self) -> bool:
        """Return whether a long response is being sent."""
        return any(
            exchange.response_started and not exchange.response_complete for exchange in self._exchanges
        )

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange would be written now."""
        return not self._write_paused and bool(self._exchanges) and self._exchanges[0] is exchange

    def has_timed_out(self, now: float) -> bool:
        """Return whether a request, or the reading of a response, has taken too long."""
        if self._discarding:
            return False
        if self._write_paused:
            streaming = self.reserved_bytes > 0
            limit_s = timeouts.STREAM_IDLE_TIMEOUT_S if streaming else timeouts.IDLE_TIMEOUT_S
            return now - self.state_since > limit_s
        if not self._parser.in_message:
            return not self.had_request and now - self.opened_at > timeouts.FIRST_BYTE_TIMEOUT_S
        if self._exchanges and self._upload is None:
            return False  # the part of a request that came behind another may wait as long as that
        if not self._parser.in_body:
            return self._head_has_timed_out(now)
        return self._body_has_timed_out(now)

    def _head_has_timed_out(self, now: float) -> bool:
        if self.had_request:
            return now - self.state_since > timeouts.IDLE_TIMEOUT_S
        return now - self.opened_at > timeouts.FIRST_HEAD_TIMEOUT_S

    def _body_has_timed_out(self, now: float) -> bool:
        if self._upload_paused:
            return False
        if self._upload is not None or self.had_request:
            return now - max(self.state_since, self._received_at) > timeouts.IDLE_TIMEOUT_S
        return timeouts.is_first_body_too_slow(
            silent_s=now - self._received_at,
            connected_s=now - self.opened_at,
            body_s=now - self._head_complete_at,
            body_bytes=self._parser.body_size,
        )

    def client_has_left(self) -> bool:
        """Return whether the client has left while the connection is not read.

        Its end of the stream lies behind what it has sent.
        """
        if self._transport is None or self._transport.is_reading() or self._transport.is_closing():
            return False
        return peer_has_closed(self._transport)
