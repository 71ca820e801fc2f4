"""Bodies that are too long to be buffered, on their way from one socket to another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


class BodySink(Protocol):
    """Where the pieces of a long body go."""

    def write_body(self, data: bytes) -> None: ...

    def end_body(self) -> None: ...


class Upload:
    """A request's body too long to be held: its pieces go to the one attempt that carries it.

    Until there is one, and while that one takes nothing, the caller's connection is not read.
    """

    def __init__(self, first: bytes, length: int | None, set_reading: Callable[[bool], None]) -> None:
        self.length = length
        self.received = False  # its last byte has come
        self.consumed = False  # it has begun to go to a server, and is held no longer
        self.on_received: Callable[[], None] | None = None
        self._buffered = [first]
        self._set_reading = set_reading  # whether the caller's connection is to be read
        self._sink: BodySink | None = None
        set_reading(False)

    def feed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.write_body(data)
        elif not self.consumed:
            self._buffered.append(data)

    def finish(self) -> None:
        self.received = True
        if self.on_received is not None:
            self.on_received()
        if self._sink is not None:
            self._sink.end_body()

    def attach(self, sink: BodySink) -> None:
        """From here on the sink has every piece, once."""
        self.consumed, self._sink = True, sink
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            sink.write_body(data)
        if self.received:
            sink.end_body()
        self._set_reading(True)

    def detach(self) -> None:
        """Nobody wants the rest."""
        self._sink = None
        self._set_reading(True)

    def set_sink_ready(self, ready: bool) -> None:
        """The sink takes more, or does not."""
        if self._sink is not None and not self.received:
            self._set_reading(ready)


class ByteBudget:
    """The bytes that long bodies and held ones may take in this node at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.reserved = 0
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def try_reserve(self, size: int) -> bool:
        """Whether there was room for so many more."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def reserve_when_free(self, size: int, then: Callable[[], None]) -> None:
        """Take so many as soon as there is room, in the order of asking."""
        if not self._waiting and self.try_reserve(size):
            then()
        else:
            self._waiting.append((size, then))

    def release(self, size: int) -> None:
        self.reserved -= size
        while self._waiting and self.try_reserve(self._waiting[0][0]):
            self._waiting.popleft()[1]()
