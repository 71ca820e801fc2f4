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
from crowpost.node.http.reader import Reader

log = logging.getLogger(__name__)

MAX_CONCURRENT = 2  # requests of one connection that are worked on at once; those behind them wait here
MAX_PIPELINED = 32  # requests of one connection in all; what comes behind the last of them is not taken
FIRST_S = 2.0  # after connecting, for the first byte: silent peers hold descriptors
HEAD_S = (
    2.75  # and for the first head: a slow caller takes 2 s for it, the platform wants the rest gone by 3 s
)
BODY_S = 2.5  # without a byte of the first body, or behind the least pace
PIECE_S = 1.5  # the same once the time for the first head is over: more than slow callers take for a piece
SLOWEST = 32_000.0  # bytes a second of a body: half of what slow callers send
STALLED_S = 6.0  # for a later request, or for a caller to read its answer
STUCK_S = 30.0  # for a caller to read on in a long answer: what the system buffers of it may take as long
LINGER_S = 1.0  # after an early answer what still comes in is read away, else a reset could overtake it
LINGER_MOST_S = 10.0  # while the rest of a long body goes on coming


class ConnectionListener(ExchangeListener, Protocol):
    """What a client connection needs of the listener that accepted it."""

    def opened(self, connection: CallerConnection) -> None:
        """Count a connection that has been accepted."""

    def closed(self, connection: CallerConnection) -> None:
        """Forget a connection that has ended."""

    def route(self, message: Message, exchange: Exchange) -> None:
        """Begin the work on a request; raise MessageError if it is not taken."""

    def check(self, message: Message) -> None:
        """Raise MessageError if a request with this head would not be taken."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller's; answers go out in the order of the requests."""

    def __init__(self, callers: ConnectionListener) -> None:
        self.callers = callers
        self.opened_at = 0.0
        self.used = False  # a whole request, or the beginning of a long one, has come
        self.since = 0.0  # when it last became idle, began a request, stopped reading or took a piece
        self.lent = 0  # bytes of the budget for long answers, until what was written of them has gone
        self._reader = Reader(self, requests=True)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[Exchange] = deque()
        self._discarding = False  # it has had its last answer; input is read away
        self._spoilt = False  # what came is no request, so nothing behind it is one
        self._choked = False  # the caller does not read what it gets
        self._upload: Upload | None = None  # the body that is coming in
        self._upload_waits = False  # and cannot go on
        self._continue_due = False  # the caller waits for the word to send its body
        self._heard_at = 0.0  # bytes last came, or could come again
        self._head_at = 0.0  # the head of the present request was whole
        self._linger_until = 0.0
        self._routing = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.opened_at = self.since = self._heard_at = self.callers.now()
        self.callers.opened(self)

    def idle(self) -> bool:
        """Between requests: may be closed, as the caller sends a crossing request anew."""
        return not self._exchanges and not self._reader.within and not self._discarding

    def done(self) -> bool:
        """It has had its last answer, and has all of it as far as can be seen."""
        return self._discarding and not self.owes()

    def resting(self) -> bool:
        """Between requests, and nothing of an answer is still to be sent."""
        return self.idle() and not self.owes()

    def unproved(self) -> bool:
        """The head of its first request has begun to come, and no more."""
        return not self.used and self._reader.within and not self._reader.in_body and not self._exchanges

    def is_last(self, exchange: Exchange) -> bool:
        return bool(self._exchanges) and self._exchanges[-1] is exchange

    def owes(self) -> bool:
        """Whether an answer, or a part of one, is still to be sent, or a request is coming in."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return unsent or bool(self._exchanges) or (self._reader.within and not self._discarding)

    def streaming(self) -> bool:
        return any(exchange.begun and not exchange.complete for exchange in self._exchanges)

    def takes(self, exchange: Exchange) -> bool:
        """Whether output of this one would go out now."""
        return not self._choked and bool(self._exchanges) and self._exchanges[0] is exchange

    def stalled(self, now: float) -> bool:
        """Whether what must come, a request or the reading of an answer, has taken too long."""
        if self._discarding:
            return False
        if self._choked:
            return now - self.since > (STUCK_S if self.lent else STALLED_S)
        if not self._reader.within:
            return not self.used and now - self.opened_at > FIRST_S
        if self._exchanges and self._upload is None:
            return False  # the part of a request that came behind another may wait as long as that
        if not self._reader.in_body:
            return now - self.since > STALLED_S if self.used else now - self.opened_at > HEAD_S
        if self._upload_waits:
            return False
        if self._upload is not None or self.used:
            return now - max(self.since, self._heard_at) > STALLED_S
        # The first request of this peer: what trickles in is held to the least pace.
        silent, late = now - self._heard_at, now - self._head_at - BODY_S
        return (
            silent > BODY_S
            or (silent > PIECE_S and now - self.opened_at > HEAD_S)
            or self._reader.body_size < SLOWEST * late
        )

    def left_unseen(self) -> bool:
        """Whether the caller has left while its connection is not read: its end lies behind what was sent."""
        if self._transport is None or self._transport.is_reading() or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def give_up(self) -> None:
        """Waiting is over: an error for a part of a request, else just the end."""
        if self._reader.within or self._choked:  # of silent peers there may be hundreds a second
            now = self.callers.now()
            log.info(
                "caller given up %.1f s after connecting, last heard %.1f s ago, %d bytes of a body here%s",
                now - self.opened_at,
                now - self._heard_at,
                self._reader.body_size,
                ", does not read" if self._choked else "",
            )
        if self._upload is not None and self._exchanges:
            self._exchanges[-1].fail(408)
        elif self._reader.within and not self._exchanges and not self._discarding:
            self._answer_early(408)
        else:
            self.drop()

    def data_received(self, data: bytes) -> None:
        self._heard_at = self.callers.now()
        if self._discarding or self._spoilt:
            return
        if not self._reader.within:
            self.since = self._heard_at
        try:
            self._reader.feed(data)
        except MessageError as error:
            log.info("caller sent no request: %s", error)
            self._spoil(error.status)
        except Exception:
            log.exception("fault while a request was taken")
            self._spoil(500)

    def _spoil(self, status: int) -> None:
        """What comes in is no request, or no longer one."""
        if self._discarding:
            return
        upload, self._upload = self._upload, None
        if upload is None:
            self._answer_early(status)
        else:
            self._exchanges[-1].fail(status)

    def on_head(self, message: Message) -> None:
        self._head_at = self.callers.now()
        expected = message.headers.get(EXPECT)
        if expected is None or message.version == "1.0" or self._discarding:
            return
        try:
            if expected.lower() != b"100-continue":
                raise MessageError(417, "unknown expectation")
            self.callers.check(message)
        except MessageError as error:
            self._answer_early(error.status)
            return
        self._continue_due = bool(message.length) or TRANSFER_ENCODING in message.headers
        self._say_continue()

    def _say_continue(self) -> None:
        """Before the caller sends its body, and after the answers to all that it asked before."""
        if self._continue_due and not self._exchanges and self._transport is not None:
            self._continue_due = False
            if self._reader.in_body:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_whole(self, message: Message) -> None:
        self._continue_due = False
        self._take(message)

    def on_long(self, message: Message) -> None:
        if not self._discarding and not self._spoilt:
            self._upload = message.upload = Upload(message.body, message.length, self._pace_upload)
            message.body = b""
            self._take(message)

    def on_piece(self, piece: bytes) -> None:
        if self._upload is not None:
            self._upload.feed(piece)

    def on_end(self, message: Message) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            self._pace_upload(True)
            upload.finish()

    def _pace_upload(self, go_on: bool) -> None:
        self._upload_waits = not go_on
        self._heard_at = self.callers.now()
        self._pace()

    def _take(self, message: Message) -> None:
        if self._discarding or self._spoilt:
            return
        if self._exchanges and (self._exchanges[-1].close or self._flooded(message)):
            # Nothing follows an answer that closes: its caller sends anew what came behind it.  And a flood
            # is read away, so that its sender's leaving shows.
            self._exchanges[-1].close = self._spoilt = True
            self._upload, self._upload_waits = None, False
            self._reader.stop()
            self._pace()
            return
        self.used = True
        exchange = Exchange(self, not message.keep_alive, message.version)
        exchange.upload = message.upload
        exchange.message = message
        self._exchanges.append(exchange)
        self._route()

    def _flooded(self, message: Message) -> bool:
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
        while not self._choked and (exchange := self._next()) is not None:
            message, exchange.message = exchange.message, None
            assert message is not None
            try:
                self.callers.route(message, exchange)
            except MessageError as error:
                # Who sends one such may send thousands in one piece, each with its answer.
                log.info("caller sent a request that is not taken: %s", error)
                exchange.close = True
                exchange.answer(error.status)
            except Exception:
                # A fault in one request must cost that request alone, and still be answered.
                log.exception("fault in a request")
                exchange.answer(500)
        self._routing = False

    def _next(self) -> Exchange | None:
        """The first request that waits behind others, once few enough are worked on."""
        first = list(islice(self._exchanges, MAX_CONCURRENT))
        return next((exchange for exchange in first if exchange.message is not None), None)

    def _answer_early(self, status: int) -> None:
        """Answer what never became a request, then close."""
        self._spoilt = True
        exchange = Exchange(self, True)
        self._exchanges.append(exchange)
        exchange.answer(status)

    def flush(self) -> None:
        """Send what is due: answers in order, up to the first that is not whole yet."""
        transport = self._transport
        while self._exchanges and transport is not None:
            exchange = self._exchanges[0]
            for data in exchange.output:
                transport.write(data)
                self.since = self.callers.now()
            exchange.output.clear()
            if not exchange.complete:
                exchange.keep_pace()
                break
            self._exchanges.popleft()
            if exchange.close:
                self._end()
                return
        self._give_back()
        self._say_continue()
        self._pace()
        self._route()

    def _give_back(self) -> None:
        """Long answers count until little of them is left to go out."""
        if self.lent and (self._transport is None or (not self._choked and not self.streaming())):
            self.callers.budget.give(self.lent)
            self.lent = 0

    def _end(self) -> None:
        """Close after the last answer, once the caller has had the time to read it."""
        assert self._transport is not None
        self._discarding = True
        self._reader.stop()
        self._leave()
        self._give_back()
        self._pace()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        now = self.callers.now()
        self._linger_until = now + LINGER_MOST_S
        self._heard_at = now
        asyncio.get_running_loop().call_later(LINGER_S, self._linger)

    def _linger(self) -> None:
        """Read away what still comes, for as long as it comes, and let what is unsent go out."""
        now = self.callers.now()
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        going = now - self._heard_at < LINGER_S and now < self._linger_until
        if going or (unsent and now - self.since < STUCK_S):
            asyncio.get_running_loop().call_later(LINGER_S, self._linger)
        else:
            self.drop()

    def lose(self) -> None:
        """Its caller has left unseen: whoever works on its requests is told now."""
        log.info("a caller has left while its long body waited")
        self._discarding = True
        self._leave()
        self.drop()

    def drop(self, *, reset: bool = False) -> None:
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
        self.callers.closed(self)
        self._leave()
        self._give_back()

    def _leave(self) -> None:
        """Nobody waits for the remaining requests."""
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            exchange.gone = True
            self.callers.release(exchange)
            if exchange.on_gone is not None and not exchange.complete:
                exchange.on_gone()

    def pause_writing(self) -> None:
        self._choke(True)

    def resume_writing(self) -> None:
        self._choke(False)

    def _choke(self, choked: bool) -> None:
        self._choked = choked
        self.since = self.callers.now()
        if self._exchanges:
            self._exchanges[0].keep_pace()
        self._give_back()
        self._route()

    def _pace(self) -> None:
        """Read on but while a long body waits: only what is read shows that a caller has left."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._upload_waits and not self._discarding and not self._spoilt:
            self._transport.pause_reading()
        elif not self._transport.is_reading():
            self._transport.resume_reading()
