"""One client connection: requests in, exactly one response out for each, in their order."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from collections import deque
from itertools import islice
from typing import Protocol, cast

from crowpost.node.downstream.exchange import Exchange, ExchangeListener
from crowpost.node.http.body import Upload
from crowpost.node.http.message import EXPECT, MAX_BODY, TRANSFER_ENCODING, Message, MessageError
from crowpost.node.http.reader import MessageParser

log = logging.getLogger(__name__)

MAX_CONCURRENT = 2  # requests of one connection that are worked on at once; those behind them wait here
MAX_PIPELINED = 32  # requests of one connection in all; what comes behind the last of them is not taken
FIRST_BYTE_TIMEOUT_S = 2.0  # after connecting, for the first byte: silent peers hold descriptors
FIRST_HEAD_TIMEOUT_S = (
    2.75  # and for the first head: a slow caller takes 2 s for it, the platform wants the rest gone by 3 s
)
FIRST_BODY_PAUSE_S = 2.5  # without a byte of the first body, or behind the least pace
LATE_BODY_PAUSE_S = (
    1.5  # the same once the time for the first head is over: more than slow callers take for a piece
)
MIN_BODY_BYTES_PER_S = 32_000.0  # bytes a second of a body: half of what slow callers send
IDLE_TIMEOUT_S = 6.0  # for a later request, or for a caller to read its answer
STREAM_IDLE_TIMEOUT_S = (
    30.0  # for a caller to read on in a long answer: what the system buffers of it may take as long
)
LINGER_S = 1.0  # after an early answer what still comes in is read away, else a reset could overtake it
MAX_LINGER_S = 10.0  # while the rest of a long body goes on coming


class ConnectionListener(ExchangeListener, Protocol):
    """What a client connection needs of the listener that accepted it."""

    def opened(self, connection: ClientConnection) -> None:
        """Count a connection that has been accepted."""

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def route(self, message: Message, exchange: Exchange) -> None:
        """Begin the work on a request; raise MessageError if it is not taken."""

    def check(self, message: Message) -> None:
        """Raise MessageError if a request with this head would not be taken."""


class ClientConnection(asyncio.Protocol):
    """One connection of a caller's; answers go out in the order of the requests."""

    def __init__(self, listener: ConnectionListener) -> None:
        self.listener = listener
        self.opened_at = 0.0
        self.had_request = False  # a whole request, or the beginning of a long one, has come
        self.state_since = 0.0  # when it last became idle, began a request, stopped reading or took a piece
        self.reserved_bytes = (
            0  # bytes of the budget for long answers, until what was written of them has gone
        )
        self._parser = MessageParser(self, requests=True)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        self._discarding = False  # it has had its last answer; input is read away
        self._malformed = False  # what came is no request, so nothing behind it is one
        self._write_paused = False  # the caller does not read what it gets
        self._upload: Upload | None = None  # the body that is coming in
        self._upload_paused = False  # and cannot go on
        self._continue_pending = False  # the caller waits for the word to send its body
        self._received_at = 0.0  # bytes last came, or could come again
        self._head_complete_at = 0.0  # the head of the present request was whole
        self._linger_until = 0.0
        self._routing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.opened_at = self.state_since = self._received_at = self.listener.now()
        self.listener.opened(self)

    def is_idle(self) -> bool:
        """Between requests: may be closed, as the caller sends a crossing request anew."""
        return not self._exchanges and not self._parser.in_message and not self._discarding

    def is_finished(self) -> bool:
        """It has had its last answer, and has all of it as far as can be seen."""
        return self._discarding and not self.has_pending_output()

    def is_idle_and_flushed(self) -> bool:
        """Between requests, and nothing of an answer is still to be sent."""
        return self.is_idle() and not self.has_pending_output()

    def is_in_first_head(self) -> bool:
        """The head of its first request has begun to come, and no more."""
        return (
            not self.had_request
            and self._parser.in_message
            and not self._parser.in_body
            and not self._exchanges
        )

    def is_last(self, exchange: Exchange) -> bool:
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def has_pending_output(self) -> bool:
        """Whether an answer, or a part of one, is still to be sent, or a request is coming in."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent or bool(self._exchanges) or (self._parser.in_message and not self._discarding)

    def is_streaming(self) -> bool:
        return any(
            exchange.response_started and not exchange.response_complete for exchange in self._exchanges
        )

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Whether output of this one would go out now."""
        return not self._write_paused and bool(self._exchanges) and self._exchanges[0] is exchange

    def has_timed_out(self, now: float) -> bool:
        """Whether what must come, a request or the reading of an answer, has taken too long."""
        if self._discarding:
            return False
        if self._write_paused:
            return now - self.state_since > (STREAM_IDLE_TIMEOUT_S if self.reserved_bytes else IDLE_TIMEOUT_S)
        if not self._parser.in_message:
            return not self.had_request and now - self.opened_at > FIRST_BYTE_TIMEOUT_S
        if self._exchanges and self._upload is None:
            return False  # the part of a request that came behind another may wait as long as that
        if not self._parser.in_body:
            return (
                now - self.state_since > IDLE_TIMEOUT_S
                if self.had_request
                else now - self.opened_at > FIRST_HEAD_TIMEOUT_S
            )
        if self._upload_paused:
            return False
        if self._upload is not None or self.had_request:
            return now - max(self.state_since, self._received_at) > IDLE_TIMEOUT_S
        # The first request of this peer: what trickles in is held to the least pace.
        silent, late = now - self._received_at, now - self._head_complete_at - FIRST_BODY_PAUSE_S
        return (
            silent > FIRST_BODY_PAUSE_S
            or (silent > LATE_BODY_PAUSE_S and now - self.opened_at > FIRST_HEAD_TIMEOUT_S)
            or self._parser.body_size < MIN_BODY_BYTES_PER_S * late
        )

    def client_has_left(self) -> bool:
        """Whether the caller has left while its connection is not read: its end lies behind what was sent."""
        if self._transport is None or self._transport.is_reading() or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def time_out(self) -> None:
        """Waiting is over: an error for a part of a request, else just the end."""
        if self._parser.in_message or self._write_paused:  # of silent peers there may be hundreds a second
            now = self.listener.now()
            log.info(
                "caller given up %.1f s after connecting, last heard %.1f s ago, %d bytes of a body here%s",
                now - self.opened_at,
                now - self._received_at,
                self._parser.body_size,
                ", does not read" if self._write_paused else "",
            )
        if self._upload is not None and self._exchanges:
            self._exchanges[-1].fail(408)
        elif self._parser.in_message and not self._exchanges and not self._discarding:
            self._respond_early(408)
        else:
            self.abort()

    def data_received(self, data: bytes) -> None:
        self._received_at = self.listener.now()
        if self._discarding or self._malformed:
            return
        if not self._parser.in_message:
            self.state_since = self._received_at
        try:
            self._parser.feed(data)
        except MessageError as error:
            log.info("caller sent no request: %s", error)
            self._reject_input(error.status)
        except Exception:
            log.exception("fault while a request was taken")
            self._reject_input(500)

    def _reject_input(self, status: int) -> None:
        """What comes in is no request, or no longer one."""
        if self._discarding:
            return
        upload, self._upload = self._upload, None
        if upload is None:
            self._respond_early(status)
        else:
            self._exchanges[-1].fail(status)

    def on_head(self, message: Message) -> None:
        self._head_complete_at = self.listener.now()
        expected = message.headers.get(EXPECT)
        if expected is None or message.version == "1.0" or self._discarding:
            return
        try:
            if expected.lower() != b"100-continue":
                raise MessageError(417, "unknown expectation")
            self.listener.check(message)
        except MessageError as error:
            self._respond_early(error.status)
            return
        self._continue_pending = bool(message.content_length) or TRANSFER_ENCODING in message.headers
        self._send_continue()

    def _send_continue(self) -> None:
        """Before the caller sends its body, and after the answers to all that it asked before."""
        if self._continue_pending and not self._exchanges and self._transport is not None:
            self._continue_pending = False
            if self._parser.in_body:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message(self, message: Message) -> None:
        self._continue_pending = False
        self._accept_request(message)

    def on_stream_start(self, message: Message) -> None:
        if not self._discarding and not self._malformed:
            self._upload = message.upload = Upload(
                message.body, message.content_length, self._set_upload_reading
            )
            message.body = b""
            self._accept_request(message)

    def on_stream_data(self, piece: bytes) -> None:
        if self._upload is not None:
            self._upload.feed(piece)

    def on_stream_end(self, message: Message) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            self._set_upload_reading(True)
            upload.finish()

    def _set_upload_reading(self, ready: bool) -> None:
        self._upload_paused = not ready
        self._received_at = self.listener.now()
        self._update_reading()

    def _accept_request(self, message: Message) -> None:
        if self._discarding or self._malformed:
            return
        if self._exchanges and (self._exchanges[-1].close_after or self._exceeds_pipeline(message)):
            # Nothing follows an answer that closes: its caller sends anew what came behind it.  And a flood
            # is read away, so that its sender's leaving shows.
            self._exchanges[-1].close_after = self._malformed = True
            self._upload, self._upload_paused = None, False
            self._parser.stop()
            self._update_reading()
            return
        self.had_request = True
        exchange = Exchange(self, not message.keep_alive, message.version)
        exchange.upload = message.upload
        exchange.message = message
        self._exchanges.append(exchange)
        self._route()

    def _exceeds_pipeline(self, message: Message) -> bool:
        """Whether more requests, or more of their bodies, would wait here than one caller may have."""
        waiting = [exchange.message for exchange in self._exchanges if exchange.message is not None]
        size = sum(len(ahead.body) for ahead in waiting)
        # What a long body may hold is counted only once it is worked on.
        most = MAX_PIPELINED if message.upload is None else MAX_CONCURRENT
        return len(self._exchanges) >= most or (size > 0 and size + len(message.body) > MAX_BODY)

    def _route(self) -> None:
        """Have work begin on the first requests, as far as there is room for their answers."""
        if self._routing:
            return  # an answer at once frees a place while this goes on
        self._routing = True
        while not self._write_paused and (exchange := self._next_waiting()) is not None:
            message, exchange.message = exchange.message, None
            assert message is not None
            try:
                self.listener.route(message, exchange)
            except MessageError as error:
                # Who sends one such may send thousands in one piece, each with its answer.
                log.info("caller sent a request that is not taken: %s", error)
                exchange.close_after = True
                exchange.respond(error.status)
            except Exception:
                # A fault in one request must cost that request alone, and still be answered.
                log.exception("fault in a request")
                exchange.respond(500)
        self._routing = False

    def _next_waiting(self) -> Exchange | None:
        """The first request that waits behind others, once few enough are worked on."""
        first = list(islice(self._exchanges, MAX_CONCURRENT))
        return next((exchange for exchange in first if exchange.message is not None), None)

    def _respond_early(self, status: int) -> None:
        """Answer what never became a request, then close."""
        self._malformed = True
        exchange = Exchange(self, True)
        self._exchanges.append(exchange)
        exchange.respond(status)

    def flush(self) -> None:
        """Send what is due: answers in order, up to the first that is not whole yet."""
        transport = self._transport
        while self._exchanges and transport is not None:
            exchange = self._exchanges[0]
            for data in exchange.output:
                transport.write(data)
                self.state_since = self.listener.now()
            exchange.output.clear()
            if not exchange.response_complete:
                exchange.update_flow()
                break
            self._exchanges.popleft()
            if exchange.close_after:
                self._finish()
                return
        self._release_reserved()
        self._send_continue()
        self._update_reading()
        self._route()

    def _release_reserved(self) -> None:
        """Long answers count until little of them is left to go out."""
        if self.reserved_bytes and (
            self._transport is None or (not self._write_paused and not self.is_streaming())
        ):
            self.listener.budget.release(self.reserved_bytes)
            self.reserved_bytes = 0

    def _finish(self) -> None:
        """Close after the last answer, once the caller has had the time to read it."""
        assert self._transport is not None
        self._discarding = True
        self._parser.stop()
        self._notify_gone()
        self._release_reserved()
        self._update_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        now = self.listener.now()
        self._linger_until = now + MAX_LINGER_S
        self._received_at = now
        asyncio.get_running_loop().call_later(LINGER_S, self._linger)

    def _linger(self) -> None:
        """Read away what still comes, for as long as it comes, and let what is unsent go out."""
        now = self.listener.now()
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        going = now - self._received_at < LINGER_S and now < self._linger_until
        if going or (unsent and now - self.state_since < STREAM_IDLE_TIMEOUT_S):
            asyncio.get_running_loop().call_later(LINGER_S, self._linger)
        else:
            self.abort()

    def on_client_left(self) -> None:
        """Its caller has left unseen: whoever works on its requests is told now."""
        log.info("a caller has left while its long body waited")
        self._discarding = True
        self._notify_gone()
        self.abort()

    def abort(self, *, reset: bool = False) -> None:
        """Close at once; with a reset what has been written and is not sent yet goes with it."""
        if self._transport is None:
            return
        self._discarding = True  # what may still be handed over is nobody's
        if reset and not self._transport.is_closing():
            end = self._transport.get_extra_info("socket")
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._transport.abort()

    def close(self) -> None:
        """Close once all that was written has gone."""
        self._discarding = True
        if self._transport is not None:
            self._transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.listener.closed(self)
        self._notify_gone()
        self._release_reserved()

    def _notify_gone(self) -> None:
        """Nobody waits for the remaining requests."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.client_gone = True
            self.listener.release_body(exchange)
            if exchange.on_client_gone is not None and not exchange.response_complete:
                exchange.on_client_gone()

    def pause_writing(self) -> None:
        self._set_write_paused(True)

    def resume_writing(self) -> None:
        self._set_write_paused(False)

    def _set_write_paused(self, paused: bool) -> None:
        self._write_paused = paused
        self.state_since = self.listener.now()
        if self._exchanges:
            self._exchanges[0].update_flow()
        self._release_reserved()
        self._route()

    def _update_reading(self) -> None:
        """Read on but while a long body waits: only what is read shows that a caller has left."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._upload_paused and not self._discarding and not self._malformed:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()
