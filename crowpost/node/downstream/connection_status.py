"""The state of a client connection, with the queries of its listener and its exchanges."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from crowpost.node.byte_budget import RequestReservation, Reservation
from crowpost.node.downstream import timeouts
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.sockets import PeerWatch
from crowpost.node.http.body import Upload
from crowpost.node.http.parser import MessageParser
from crowpost.node.reading import ConnectionReader

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import ExchangeListener


class ConnectionStatus(asyncio.BufferedProtocol):
    """The state of one client connection, with queries only: ClientConnection changes it.

    Times are in seconds, of the listener's clock.
    """

    # Created by the subclass, which receives the parsed messages.
    _parser: MessageParser

    def __init__(self, listener: ExchangeListener) -> None:
        self.listener = listener
        self.opened_at = 0.0
        # Whether a complete request, or the start of one with a streamed body, has been accepted.
        self.had_request = False
        # When the connection last became idle, began to receive a request, changed between paused and
        # resumed output, or had output written.
        self.state_since = 0.0
        # The reserved bytes of complete responses that the kernel does not have as a whole yet.
        self._unsent: list[Reservation] = []
        # The reserved bytes of requests that are being received, or wait for earlier ones.
        self._input: Reservation = RequestReservation(listener.budget)
        self._transport: asyncio.Transport | None = None
        self._reader: ConnectionReader | None = None
        self._peer_watch: PeerWatch | None = None
        # At most a few dozen: a list, since an empty deque takes 700 bytes more for each connection.
        self._exchanges: list[Exchange] = []
        # Whether input is discarded because the last response has been written.
        self._discarding = False
        # Whether further input is ignored because some input was malformed or rejected: the bytes after it
        # cannot be taken for a request.
        self._malformed = False
        # Whether written bytes wait in the write buffer because the client does not read its responses.
        self._write_paused = False
        # The streamed body that is being received.
        self._upload: Upload | None = None
        # Whether reading is paused until the streamed body can be forwarded.
        self._upload_paused = False
        # When bytes last arrived, or reading of a streamed body was paused or resumed.
        self._received_at = 0.0
        # When bytes were last read, and when before that; in the infinite past before the first read.
        self._read_at = -math.inf
        self._previous_read_at = -math.inf
        # When the head of the current request was complete.
        self._head_complete_at = 0.0

    def is_idle(self) -> bool:
        """Return whether the connection is between requests.

        It may be closed then: a client retries a request that it sent just before it saw the close.
        """
        return not self._exchanges and not self._parser.in_message and not self._discarding

    def is_finished(self) -> bool:
        """Return whether the last response has left the node's write buffer."""
        return self._discarding and not self.has_pending_output()

    def is_idle_and_flushed(self) -> bool:
        """Return whether the connection is between requests and has no output left to send."""
        return self.is_idle() and not self.has_pending_output()

    def is_in_first_head(self) -> bool:
        """Return whether only a part of the first request's head has been received."""
        return (
            not self.had_request
            and self._parser.in_message
            and not self._parser.in_body
            and not self._exchanges
        )

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether this is the last request received on the connection so far."""
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def has_pending_output(self) -> bool:
        """Return whether a response is still to be sent, or a request is being received."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent or bool(self._exchanges) or (self._parser.in_message and not self._discarding)

    def is_streaming(self) -> bool:
        """Return whether a streamed response is being sent."""
        return any(
            exchange.response_started and not exchange.response_complete for exchange in self._exchanges
        )

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange can be written to the client now."""
        return not self._write_paused and bool(self._exchanges) and self._exchanges[0] is exchange

    def has_timed_out(self, now: float) -> bool:
        """Return whether the client has taken too long to send a request or to read a response."""
        if self._discarding:
            return False
        if self._write_paused:
            responding = bool(self._unsent) or self.is_streaming()
            limit_s = timeouts.STREAM_IDLE_TIMEOUT_S if responding else timeouts.IDLE_TIMEOUT_S
            return now - self.state_since > limit_s
        if not self._parser.in_message:
            return not self.had_request and now - self.opened_at > timeouts.FIRST_BYTE_TIMEOUT_S
        if self._exchanges and self._upload is None:
            return False  # a partial pipelined request may wait as long as the requests before it
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
            since_last_byte_s=now - self._received_at,
            since_connect_s=now - self.opened_at,
            since_head_s=now - self._head_complete_at,
            body_bytes=self._parser.body_size,
        )

    def has_recent_activity(self, *, receiving_until: float) -> bool:
        """Return whether the client has just sent something or has yet to read the last output.

        receiving_until: the time from which it does not matter what the client sends.
        """
        now = self.listener.now()
        if now - self._received_at < timeouts.LINGER_S and now < receiving_until:
            return True
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent and now - self.state_since < timeouts.STREAM_IDLE_TIMEOUT_S

    def reading_since(self) -> float:
        """Return since when the node has read from the client without a pause; infinite in a pause."""
        if self._reader is None or not self._reader.reading:
            return math.inf
        return self._reader.resumed_at

    def is_unread(self) -> bool:
        """Return whether reading is paused: the node is not told then that the client has left."""
        transport = self._transport
        return transport is not None and not transport.is_reading() and not transport.is_closing()

    def client_has_left(self) -> bool:
        """Return whether the client has closed its end, even if the node has not read up to there."""
        if self._transport is None or self._transport.is_closing():
            return True
        if self._peer_watch is None:
            self._peer_watch = PeerWatch(self._transport)
        return self._peer_watch.has_closed()
