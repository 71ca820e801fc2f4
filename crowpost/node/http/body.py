"""Bodies that are too long to be buffered, on their way from one socket to another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


class BodySink(Protocol):
    """Where a long body goes."""

    def write_body(self, data: bytes) -> None:
        """Write a part of the body."""

    def end_body(self) -> None:
        """Write the end of the body."""


class Upload:
    """A request's body that is too long to be buffered: it goes to the one attempt that carries it.

    Until there is one, and while that one cannot write, the client's connection is not read.

    first: the bytes that have come with the head; set_reading: pauses or resumes the client's connection.
    """

    def __init__(self, first: bytes, length: int | None, set_reading: Callable[[bool], None]) -> None:
        self.length = length
        self.received = False  # its last byte has come
        self.consumed = False  # it has begun to go to an endpoint, and is buffered no longer
        self.on_received: Callable[[], None] | None = None
        self._buffered = [first]
        self._set_reading = set_reading
        self._sink: BodySink | None = None
        set_reading(False)

    def feed(self, data: bytes) -> None:
        """Pass on, or buffer, a part that has come."""
        if self._sink is not None:
            self._sink.write_body(data)
        elif not self.consumed:
            self._buffered.append(data)

    def finish(self) -> None:
        """Note that the body is complete."""
        self.received = True
        if self.on_received is not None:
            self.on_received()
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: BodySink) -> None:
        """Give the sink every part of the body, once."""
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
        """Drop the rest of the body."""
        self._sink = None
        self._set_reading(True)

    def set_sink_ready(self, ready: bool) -> None:
        """Note whether the sink can write more."""
        if self._sink is not None and not self.received:
            self._set_reading(ready)


class ByteBudget:
    """The bytes that the bodies of pending requests may take in a node at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def try_reserve(self, size: int) -> bool:
        """Reserve so many bytes, and return whether they were free."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def reserve_when_free(self, size: int, then: Callable[[], None]) -> None:
        """Reserve so many bytes as soon as they are free, in the order of the calls, and then call `then`."""
        if not self._waiting and self.try_reserve(size):
            then()
        else:
            self._waiting.append((size, then))

    def release(self, size: int) -> None:
        """Return so many bytes, and grant the reservations that wait for them."""
        self.reserved -= size
        while self._waiting and self.try_reserve(self._waiting[0][0]):
            self._waiting.popleft()[1]()
