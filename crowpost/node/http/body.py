"""Streaming of bodies that are too long to be buffered, and the byte budget of a node."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


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
    client's connection.
    """

    def __init__(self, first: bytes, length: int | None, set_reading: Callable[[bool], None]) -> None:
        self.length = length
        # Whether the last byte has been received.
        self.received = False
        # Whether an attempt was attached: the first bytes are no longer buffered, so no other can send them.
        self.consumed = False
        self.on_received: Callable[[], None] | None = None
        self._buffered = [first]
        self._set_reading = set_reading
        self._sink: BodySink | None = None
        set_reading(False)

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
        self._set_reading(True)

    def detach(self) -> None:
        """Discard the rest of the body."""
        self._sink = None
        self._set_reading(True)

    def set_sink_ready(self, ready: bool) -> None:
        """Read from the client only while the sink can write more."""
        if self._sink is not None and not self.received:
            self._set_reading(ready)


class ByteBudget:
    """The limit on the bytes that all bodies in flight may occupy in a node at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def try_reserve(self, size: int) -> bool:
        """Reserve the bytes if they are free; return whether they were."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def reserve_when_free(self, size: int, on_reserved: Callable[[], None]) -> None:
        """Reserve the bytes once they are free, in the order of the calls, and then call `on_reserved`."""
        if not self._waiting and self.try_reserve(size):
            on_reserved()
        else:
            self._waiting.append((size, on_reserved))

    def release(self, size: int) -> None:
        """Return the bytes to the budget, and make the reservations that wait for them."""
        self.reserved -= size
        while self._waiting and self.try_reserve(self._waiting[0][0]):
            self._waiting.popleft()[1]()
