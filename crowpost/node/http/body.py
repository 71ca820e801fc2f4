"""Streaming of bodies that are too long to be buffered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from crowpost.node.byte_budget import MIN_BUFFER_BYTES, STREAM_BUFFER_BYTES, Reservation
from crowpost.node.http.last_byte import LastByteEstimate
from crowpost.node.reading import READ_BYTES


class BodySink(Protocol):
    """The destination of a streamed body."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_body(self) -> None:
        """Write the end of the body."""


class Upload:
    """A request's body that is too long to be buffered, and is streamed to a single attempt.

    Reading from the client's connection is paused until an attempt is attached, and while it cannot write.

    first: the bytes of the body that arrived with the head; set_reading: pauses or resumes reading from the
    client's connection; reading_since: returns since when the node has read from it without a pause, infinite
    in a pause; now: returns the time in seconds.
    """

    def __init__(
        self,
        first: bytes,
        length: int | None,
        set_reading: Callable[[bool], None],
        *,
        reading_since: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self.length = length
        self._now = now
        self._reading_since = reading_since
        self._last_byte = LastByteEstimate(length, now())
        self._last_byte.record_read(len(first), now(), now())
        # Whether the last byte has been received.
        self.received = False
        # Whether an attempt was attached: the first bytes are no longer buffered, so no other can send them.
        self.consumed = False
        self.on_received: Callable[[], None] | None = None
        # The bytes reserved for the body, from when its request is accepted.
        self.reservation: Reservation | None = None
        self._buffered = [first]
        self._set_reading = set_reading
        self._sink: BodySink | None = None
        self._sink_ready = True
        # Whether the bytes that were buffered before the attempt have left the node.
        self._flowing = False
        set_reading(False)

    @property
    def buffered_bytes(self) -> int:
        """The bytes that wait for an attempt."""
        return sum(map(len, self._buffered))

    @property
    def max_read_bytes(self) -> int:
        """The most bytes that may be read from the client at once."""
        if self.reservation is None or not self._flowing:
            return MIN_BUFFER_BYTES
        return min(READ_BYTES, max(MIN_BUFFER_BYTES, self.reservation.size))

    def record_read(self, size: int) -> None:
        """Record a read of this many bytes from the client, before it is passed on."""
        self._last_byte.record_read(size, self._now(), self._reading_since())

    def max_waited_s(self) -> float:
        """Return the longest time for which the client can have waited since it sent the last byte.

        Negative infinity if it cannot have sent the last byte yet.
        """
        now = self._now()
        if not self.received:
            self._last_byte.record_waiting(now, self._reading_since())
        return now - self._last_byte.earliest()

    def feed(self, data: bytes) -> None:
        """Forward a received part to the sink, or buffer it until there is one."""
        if self._sink is not None:
            self._sink.write_body(data)
        elif not self.consumed:
            self._buffered.append(data)

    def finish(self) -> None:
        """Mark the body as completely received."""
        self.received = True
        if self.on_received is not None:
            self.on_received()
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: BodySink) -> None:
        """Send the buffered and all later parts of the body to this sink."""
        self.consumed = True
        self._sink = sink
        buffered = self._buffered
        self._buffered = []
        for data in buffered:
            sink.write_body(data)
        if self.received:
            sink.end_body()
        self._set_reading(self._sink_ready or self.received)
        self._begin_flow()

    def detach(self) -> None:
        """Discard the rest of the body."""
        self._sink = None
        self._set_reading(True)

    def set_sink_ready(self, ready: bool) -> None:
        """Read from the client only while the sink can write more."""
        self._sink_ready = ready
        if self._sink is not None and not self.received:
            if ready and self._flowing and self.reservation is not None:
                self.reservation.shrink_if_scarce(MIN_BUFFER_BYTES)
            self._begin_flow()
            self._set_reading(ready)

    def _begin_flow(self) -> None:
        """Reserve what the rest of the body needs, once the bytes that waited for the attempt are sent."""
        if self._flowing or not self._sink_ready or self.reservation is None:
            return
        self._flowing = True
        if self.reservation.size and not self.reservation.try_resize(STREAM_BUFFER_BYTES, optional=True):
            self.reservation.try_resize(MIN_BUFFER_BYTES)
