"""A connection to an endpoint, which carries one call at a time."""

from __future__ import annotations

import asyncio
import logging
import select
import time
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, cast

from crowpost.decision_api import Outcome
from crowpost.node.byte_budget import MIN_BUFFER_BYTES, STREAM_BUFFER_BYTES
from crowpost.node.http.body import BodySink
from crowpost.node.http.message import NOT_RUN, Message, MessageError
from crowpost.node.http.parser import MessageParser
from crowpost.node.http.rendering import render_chunk
from crowpost.node.reading import READ_BYTES, ConnectionReader
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.endpoint import EndpointConnections

if TYPE_CHECKING:
    from crowpost.node.upstream.interfaces import ConnectionOwner

log = logging.getLogger(__name__)

# A close this soon after an event is caused by it, since no work and no idle timeout is this short.
IMMEDIATE_CLOSE_S = 0.05
# A long body has stalled after this time without a byte, or without room for one: a slow peer may pause for
# seconds.
STREAM_STALL_TIMEOUT_S = 30.0
# A response of unknown length is buffered for this long, or up to MAX_BODY, before it is streamed.
STREAM_BUFFER_DELAY_S = 0.25


class CarryResult(Enum):
    """What came of writing the request of a call to a connection."""

    WRITTEN = "written"
    # Bytes or the end of the stream wait to be read: they are no response to a request that was not written.
    CONNECTION_USELESS = "connection useless"
    # The client has left, the request has its response, or the window for a repeat is over.
    NOT_WANTED = "not wanted"


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to an endpoint, which carries one call at a time.

    It is the sink of a long request body and the source of a long response body.
    """

    def __init__(self, endpoint: Endpoint, pool: ConnectionOwner) -> None:
        self.endpoint = endpoint
        self.idle_since = 0.0
        self._response: Message | None = None
        self._malformed = False  # unexpected bytes were received: the connection carries no further call
        self._call_count = 0  # number of calls so far
        self._idle_before_call_s = 0.0  # idle time before the current call
        self._call_started_at = 0.0
        self._pool = pool
        self._call: Call | None = None
        self._discard_timer: asyncio.TimerHandle | None = None  # timeout of reading and discarding a response
        # Created with the connection: a dial that fails reports no loss that would break the parser's cycle.
        self._parser: MessageParser
        self._transport: asyncio.Transport | None = None
        self._reader: ConnectionReader | None = None
        self._sink: BodySink | None = None  # destination of the body of a long response
        self._write_paused = False  # whether the endpoint has stopped reading
        self._on_flushed: Callable[[], None] | None = None  # callback for an empty write buffer
        self._buffer_timer: asyncio.TimerHandle | None = None
        self._progress_at = 0.0  # time at which part of a long body was last passed on
        self._poll: select.poll | None = None  # shows whether something waits to be read
        self.on_lost: Callable[[], None] | None = None  # callback of a call that waits for this connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection with the pool."""
        # The transports of uvloop are not a subclass of asyncio.Transport.
        self._transport = cast(asyncio.Transport, transport)
        # Unsent bytes pause an upload at once, so that they are never more than was reserved.
        self._transport.set_write_buffer_limits(0)
        self._parser = MessageParser(self, requests=False)
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            self._poll = select.poll()
            self._poll.register(sock.fileno(), select.POLLIN)
        self._reader = ConnectionReader(self._transport, self._pool.reads)
        self._pool.opened(self)

    @property
    def used(self) -> bool:
        """Whether the connection has carried a call."""
        return self._call_count > 0

    def usable(self) -> bool:
        """Return whether the connection is open and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def carry(self, call: Call) -> CarryResult:
        """Write the request of a call; if the result is WRITTEN, it may have run from now on.

        The last look at whether it may be written comes right before the write: a process that is held up in
        between would send a request for a client that has left.
        """
        assert self._transport is not None
        if self._input_waits():
            self.abort()
            return CarryResult.CONNECTION_USELESS
        now = asyncio.get_running_loop().time()
        # The loop's time is that of the begin of its iteration: the process may have been held up since.
        text = call.render(call.deadline - time.monotonic())
        if not call.may_write():
            return CarryResult.NOT_WANTED
        self._call = call
        call.connection = self
        call.written = call.upload is None
        self._call_started_at = now
        self._progress_at = now
        self._idle_before_call_s = now - self.idle_since if self._call_count else 0.0
        idle_ms = 1000.0 * self._idle_before_call_s
        call.connection_note = (
            f"on a connection idle for {idle_ms:.0f} ms after {self._call_count} calls"
            if self._call_count
            else "on a new connection"
        )
        self._call_count += 1
        self._transport.write(text)
        if call.upload is not None:
            call.upload.attach(self)
        elif call.on_written is not None:
            call.on_written()
        return CarryResult.WRITTEN

    def _input_waits(self) -> bool:
        """Return whether the socket has bytes, the end of the stream or an error to read."""
        return self._poll is not None and bool(self._poll.poll(0))

    def write_body(self, data: bytes) -> None:
        """Write part of a long request body."""
        if self._transport is not None and self._call is not None:
            self._progress_at = asyncio.get_running_loop().time()
            self._transport.write(render_chunk(data) if self._call.is_chunked() else data)

    def end_body(self) -> None:
        """Write the end of a long request body."""
        call = self._call
        if call is None or self._transport is None:
            return
        if call.is_chunked():
            self._transport.write(render_chunk(b""))
        # From here the request may have run.  `on_written` waits until the kernel has the whole body.
        call.written = True
        self._on_flushed = call.on_written
        if not self._transport.get_write_buffer_size():
            self._flushed()

    def _flushed(self) -> None:
        on_flushed = self._on_flushed
        self._on_flushed = None
        if on_flushed is not None:
            on_flushed()

    def pause_writing(self) -> None:
        """Pause the upload, as the endpoint has stopped reading."""
        self._write_paused = True
        if self._call is not None and self._call.upload is not None:
            self._call.upload.set_sink_ready(False)

    def resume_writing(self) -> None:
        """Resume the upload, as the endpoint reads again."""
        self._write_paused = False
        self._progress_at = asyncio.get_running_loop().time()
        if self._call is not None and self._call.upload is not None:
            self._call.upload.set_sink_ready(True)
            if not self._call.finished:
                self._flushed()

    def set_reading(self, reading: bool) -> None:
        """Resume or pause reading a long response, at the pace of its client."""
        if self._reader is not None and self._reader.paused is reading:
            self._progress_at = asyncio.get_running_loop().time()
            self._reader.set_paused(not reading)

    def is_stalled(self, now: float) -> bool:
        """Return whether the endpoint has let a long body stall for `STREAM_STALL_TIMEOUT_S`."""
        if self._call is None or now - self._progress_at <= STREAM_STALL_TIMEOUT_S:
            return False
        uploading = self._call.upload is not None and not self._call.written
        reading = self._reader is not None and not self._reader.paused
        return (self._sink is not None and reading) or (uploading and self._write_paused)

    def on_head(self, message: Message) -> None:
        """Decide whether the body of a response is dropped, buffered or streamed from its first byte.

        A response is buffered only if the budget has room for it.
        """
        buffer = self._call.response_buffer if self._call is not None else None
        if message.status != 200 or buffer is None:
            self._parser.drop_body()
            return
        length = message.content_length
        fits = length is not None and length <= MIN_BUFFER_BYTES
        if not fits and not buffer.try_resize(STREAM_BUFFER_BYTES, optional=True):
            self._parser.stream_body()
        elif length is None:
            self._start_buffer_timer()

    def _start_buffer_timer(self) -> None:
        """Buffer a response of unknown length for `STREAM_BUFFER_DELAY_S` before it is streamed."""
        loop = asyncio.get_running_loop()
        self._buffer_timer = loop.call_later(STREAM_BUFFER_DELAY_S, self._on_buffer_delay)

    def _on_buffer_delay(self) -> None:
        if not self._parser.awaits_unsized_body or self._call is None:
            return
        if self._parser.body_size:
            self._parser.start_streaming()
        else:
            self._start_buffer_timer()

    def on_stream_start(self, message: Message) -> None:
        """Start a long response."""
        call = self._call
        if call is not None and message.status == 200 and call.on_response_start is not None:
            self._progress_at = asyncio.get_running_loop().time()
            self._sink = call.start_response(message, self.set_reading)
            if self._sink is None:
                call.abort(Outcome.CANCELLED)
            elif message.body:
                self._sink.write_body(message.body)
        else:
            # Only the status is needed: reading the rest would cost more than a new connection.
            self._response = message
            self._malformed = True

    def on_stream_data(self, data: bytes) -> None:
        """Pass on part of a long response."""
        if self._sink is not None and not self._malformed:
            self._progress_at = asyncio.get_running_loop().time()
            self._sink.write_body(data)

    def on_stream_end(self, message: Message) -> None:
        """Record that a long response is complete."""
        if self._sink is not None:
            self._response = message

    def drop_response_body(self) -> None:
        """Read the response of the current call to its end, but keep nothing of its body."""
        self._parser.drop_body()

    def discard_response(self, deadline: float) -> None:
        """Read and discard the response of the current call; no other call is carried until then.

        deadline: in the loop's time; the connection is closed then.
        """
        self._call = None
        self._parser.drop_body()
        self._discard_timer = asyncio.get_running_loop().call_at(deadline, self.abort)
        self._pool.discarding.add(self)

    def _cancel_timers(self) -> None:
        """Cancel the timers of a buffered and of a discarded response."""
        if self._buffer_timer is not None:
            self._buffer_timer.cancel()
            self._buffer_timer = None
        if self._discard_timer is not None:
            self._discard_timer.cancel()
            self._discard_timer = None
            self._pool.discarding.discard(self)

    def abort(self) -> None:
        """Close immediately, without reading further."""
        self._cancel_timers()
        self._call = None
        self._sink = None
        if self._transport is not None:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  asyncio's signature
        """Return the buffer of the next read."""
        return self._pool.reads.buffer[: self._max_read_bytes()]

    def _max_read_bytes(self) -> int:
        """Return the most bytes that may be read at once: those reserved and not held yet."""
        buffer = self._call.response_buffer if self._call is not None else None
        if buffer is None:
            return MIN_BUFFER_BYTES
        limit = max(1, min(READ_BYTES, buffer.size - self._parser.held_body_bytes))
        return limit if self._reader is None else self._reader.max_read_bytes(limit)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        filled = nbytes == self._max_read_bytes()
        self.receive(self._pool.reads.buffer[:nbytes])
        # An idle connection is read at once: unsolicited bytes must be noticed before the next call.
        in_use = self._call is not None or self._discard_timer is not None
        if self._reader is not None and in_use:
            self._reader.finish_read(nbytes, self._parser.parts, filled=filled)

    def receive(self, data: bytes | memoryview) -> None:
        """Parse received bytes."""
        if self._call is None and self._discard_timer is None:
            # No request is in flight: these bytes must not be taken for the response to the next one.
            self.abort()
            return
        try:
            self._parser.feed(data)
        except MessageError as error:
            # As text: the traceback of the error refers to this connection.
            log.warning("endpoint %s: %s", self.endpoint.name, str(error))
            self._malformed = True
        self._finish_call()

    def eof_received(self) -> bool:
        """Close the connection, as the endpoint has closed its side; return False."""
        self._parser.feed_eof()
        if self._response is not None:
            self._finish_call()
        return False

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  required by asyncio
        """Remove the connection from the pool, and fail the call in flight on it."""
        now = asyncio.get_running_loop().time()
        if self in self.endpoint.idle:
            # A connection that closed sooner was closed after its response, not because it was idle.
            if now - self.idle_since > IMMEDIATE_CLOSE_S:
                self._pool.keep_alive.record_early_close(now - self.idle_since, now)
        elif self._was_closed_before_call(now):
            self._pool.keep_alive.record_early_close(self._idle_before_call_s, now)
        self._pool.closed(self)
        self.fail()
        self._transport = None
        self._reader = None
        self._parser.close()
        if self.on_lost is not None:
            self.on_lost()

    def _was_closed_before_call(self, now: float) -> bool:
        """Return whether the call failed so soon that the connection must have been closed before it."""
        reused = self._call is not None and self._call_count > 1
        return reused and now - self._call_started_at < IMMEDIATE_CLOSE_S

    def fail(self) -> None:
        """Close immediately; the current call ends without a response."""
        call = self._call
        self.abort()
        if call is not None:
            call.finish(Outcome.RESET if call.written else Outcome.CONNECT_FAILED)

    def on_message(self, message: Message) -> None:
        """Keep a complete response until all bytes received with it are parsed."""
        if self._response is None:
            self._response = message
        else:
            self._malformed = True

    def _finish_call(self) -> None:
        """Finish the call after all received bytes are parsed.

        The next request may be written to this connection as soon as the call has finished.  If that happened
        during parsing, bytes that follow the response in the same read would be taken for the next response.
        """
        response = self._response
        call = self._call
        if response is None:
            if self._malformed:
                self.fail()
            return
        self._cancel_timers()
        self._response = None
        self._call = None
        self._sink = None
        if self._is_reusable(response, call):
            self.set_reading(True)
            self._pool.release(self)
        else:
            self.abort()
        if call is None:
            return
        outcome = _outcome_of(response)
        is_probe = call.on_response_start is None  # a probe costs the server no work
        if outcome is Outcome.OK and not is_probe:
            self.endpoint.record_response_time(asyncio.get_running_loop().time() - self._call_started_at)
        call.finish(outcome, response)

    def _is_reusable(self, response: Message, call: Call | None) -> bool:
        """Return whether another call may be carried after this response to this call."""
        return (
            response.keep_alive
            and (call is None or call.written)  # the rest of an incomplete request could not be sent
            and not self._malformed
            and not self._parser.in_message
            and self.usable()
        )


# An endpoint, with the idle connections that the pool keeps to it.
Endpoint = EndpointConnections[UpstreamConnection]


def _outcome_of(message: Message) -> Outcome:
    """Return the outcome of an attempt for its response, by the table of the protocol."""
    if message.status == 200:
        return Outcome.OK
    if message.status in (503, 504) and message.headers.get(NOT_RUN) == b"1":
        return Outcome.FULL
    # 408 and 429 are about the state of the endpoint rather than about the request.
    if 400 <= message.status < 500 and message.status not in (408, 429):
        return Outcome.REJECTED
    return Outcome.ERROR
