"""One connection to an endpoint; carries one call at a time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol, cast

from crowpost.interface import Outcome
from crowpost.node.http.body import Sink
from crowpost.node.http.message import NOT_RUN, Message, MessageError
from crowpost.node.http.reader import Reader
from crowpost.node.http.rendering import chunk
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.endpoint import Peer
from crowpost.node.upstream.keep_alive import KeepAlive

log = logging.getLogger(__name__)

AT_ONCE_S = 0.05  # a break this soon follows from what came before it: no work and no idle time is so short
STUCK_S = 30.0  # without a byte of a long body, or room for one: a slow peer may pause for seconds
HOLD_S = 0.25  # an answer of unknown length is held for so long, or to a full hold, before it is passed on


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that opened it."""

    keep_alive: KeepAlive
    left: set[Connection]

    def opened(self, connection: Connection) -> None:
        """Count a connection that has come up."""

    def closed(self, connection: Connection) -> None:
        """Forget a connection that has ended."""

    def rest(self, connection: Connection) -> None:
        """Keep a connection for the next call."""


class Connection(asyncio.Protocol):
    """One connection to a server; carries one call at a time."""

    def __init__(self, peer: Peer[Connection], servers: ConnectionOwner) -> None:
        self.peer = peer
        self.idle_since = 0.0
        self._answer: Message | None = None
        self._spoiled = False  # more came in than was asked for: it carries no further call
        self._carried = 0  # calls so far
        self._idled_s = 0.0  # before the present call
        self._carried_at = 0.0
        self._servers = servers
        self._call: Call | None = None
        self._left: asyncio.TimerHandle | None = None  # the end of the wait for an answer that nobody wants
        self._reader = Reader(self, requests=False)
        self._transport: asyncio.Transport | None = None
        self._sink: Sink | None = None  # of a long answer
        self._held_back = False  # its caller does not read
        self._choked = False  # the server does not read
        self._drained: Callable[[], None] | None = None  # once all that was written has gone
        self._hold: asyncio.TimerHandle | None = None
        self._moved_at = 0.0  # a piece of a long body last went on
        self.on_lost: Callable[[], None] | None = None  # for whoever has it rest

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self._servers.opened(self)

    @property
    def used(self) -> bool:
        """Whether it has carried a call."""
        return self._carried > 0

    def usable(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def carry(self, call: Call) -> None:
        """Write the call's request; from here on it may have run."""
        assert self._transport is not None
        now = asyncio.get_running_loop().time()
        self._call = call
        call.connection = self
        call.written = call.upload is None
        self._carried_at = self._moved_at = now
        self._idled_s = now - self.idle_since if self._carried else 0.0
        call.path = (
            f"on a connection idle for {1000.0 * self._idled_s:.0f} ms after {self._carried} calls"
            if self._carried
            else "on a new connection"
        )
        self._carried += 1
        self._transport.write(call.render(call.deadline - now))
        if call.upload is not None:
            call.upload.attach(self)
        elif call.on_written is not None:
            call.on_written()

    # A long body on its way to the server.

    def piece(self, data: bytes) -> None:
        if self._transport is not None and self._call is not None:
            self._moved_at = asyncio.get_running_loop().time()
            self._transport.write(chunk(data) if self._call.in_chunks() else data)

    def last(self) -> None:
        call = self._call
        if call is None or self._transport is None:
            return
        if call.in_chunks():
            self._transport.write(chunk(b""))
        call.written = True  # in doubt it ran; it counts as written only once the server's side has it
        self._drained = call.on_written
        self._transport.set_write_buffer_limits(0)
        if not self._transport.get_write_buffer_size():
            self._all_written()

    def _all_written(self) -> None:
        drained, self._drained = self._drained, None
        if drained is not None:
            assert self._transport is not None
            self._transport.set_write_buffer_limits()
            drained()

    def pause_writing(self) -> None:
        self._choked = True
        if self._call is not None and self._call.upload is not None:
            self._call.upload.pace(False)

    def resume_writing(self) -> None:
        self._choked = False
        self._moved_at = asyncio.get_running_loop().time()
        if self._call is not None and self._call.upload is not None:
            self._call.upload.pace(True)
            if not self._call.ended:
                self._all_written()

    # A long answer on its way to the caller.

    def pace(self, go_on: bool) -> None:
        """Read on, or not, as the caller takes what was read."""
        if self._transport is None or self._transport.is_closing() or self._held_back is not go_on:
            return
        self._held_back = not go_on
        self._moved_at = asyncio.get_running_loop().time()
        if go_on:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def stuck(self, now: float) -> bool:
        """Whether a long body has made no way for long, through no fault of the caller's."""
        if self._call is None or now - self._moved_at <= STUCK_S:
            return False
        uploading = self._call.upload is not None and not self._call.written
        return (self._sink is not None and not self._held_back) or (uploading and self._choked)

    def on_head(self, message: Message) -> None:
        if message.status == 200 and message.length is None and self._call is not None:
            self._hold = asyncio.get_running_loop().call_later(HOLD_S, self._held_long_enough, message)

    def _held_long_enough(self, message: Message) -> None:
        if self._reader.open_ended and self._call is not None:
            if self._reader.body_size:
                self._reader.hand_on()
            else:
                self.on_head(message)

    def on_long(self, message: Message) -> None:
        call = self._call
        if call is not None and message.status == 200 and call.begin is not None:
            self._moved_at = asyncio.get_running_loop().time()
            self._sink = call.start(message, self.pace)
            if self._sink is None:
                call.give_up(Outcome.CANCELLED)
            elif message.body:
                self._sink.piece(message.body)
        else:
            # Only the status counts: reading on would cost more than a new connection.
            self._answer, self._spoiled = message, True

    def on_piece(self, piece: bytes) -> None:
        if self._sink is not None and not self._spoiled:
            self._moved_at = asyncio.get_running_loop().time()
            self._sink.piece(piece)

    def on_end(self, message: Message) -> None:
        if self._sink is not None:
            self._answer = message

    def leave(self, deadline: float) -> None:
        """Read the answer of the present call away until then; only after it another call is carried."""
        self._call = None
        self._left = asyncio.get_running_loop().call_at(deadline, self.abandon)
        self._servers.left.add(self)

    def _wanted(self) -> None:
        """No answer is to be read away any more, nor held."""
        if self._hold is not None:
            self._hold.cancel()
            self._hold = None
        if self._left is not None:
            self._left.cancel()
            self._left = None
            self._servers.left.discard(self)

    def abandon(self) -> None:
        """Close at once; what still comes in is not read."""
        self._wanted()
        self._call = self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._call is None and self._left is None:
            self.abandon()  # nothing was asked: what speaks here must not meet the next request
            return
        try:
            self._reader.feed(data)
        except MessageError as error:
            log.warning("server %s: %s", self.peer.name, error)
            self._spoiled = True
        self._conclude()

    def eof_received(self) -> bool:
        self._reader.finish()
        if self._answer is not None:
            self._conclude()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        now = asyncio.get_running_loop().time()
        if self in self.peer.idle:
            if now - self.idle_since > AT_ONCE_S:  # else given up with the answer, not for being idle
                self._servers.keep_alive.lost(now - self.idle_since, now)
        elif self._call is not None and self._carried > 1 and now - self._carried_at < AT_ONCE_S:
            self._servers.keep_alive.lost(self._idled_s, now)
        self._servers.closed(self)
        self.break_off()
        if self.on_lost is not None:
            self.on_lost()

    def break_off(self) -> None:
        call = self._call
        self.abandon()
        if call is not None:
            call.end(Outcome.RESET if call.written else Outcome.CONNECT_FAILED)

    def on_whole(self, message: Message) -> None:
        if self._answer is None:
            self._answer = message
        else:
            self._spoiled = True

    def _conclude(self) -> None:
        """End the call once all that came in is read.

        Not while it is being read: whatever follows an answer in the same piece would meet the next request,
        which may be written to this connection as soon as the call has ended.
        """
        answer, call = self._answer, self._call
        if answer is None:
            if self._spoiled:
                self.break_off()
            return
        self._wanted()
        self._answer = self._call = self._sink = None
        whole = call is None or call.written  # else the rest of the request has nowhere to go
        if answer.keep_alive and whole and not self._spoiled and not self._reader.within and self.usable():
            self.pace(True)
            self._servers.rest(self)
        else:
            self.abandon()
        if call is not None:
            outcome = _outcome(answer)
            if outcome is Outcome.OK and call.begin is not None:  # not a probe, which takes no work
                self.peer.answered(asyncio.get_running_loop().time() - self._carried_at)
            call.end(outcome, answer)


def _outcome(message: Message) -> Outcome:
    if message.status == 200:
        return Outcome.OK
    if message.status in (503, 504) and message.headers.get(NOT_RUN) == b"1":
        return Outcome.FULL
    if 400 <= message.status < 500 and message.status not in (408, 429):  # these tell of the server
        return Outcome.REJECTED
    return Outcome.ERROR
