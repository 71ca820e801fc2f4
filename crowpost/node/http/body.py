"""Bodies that are too long to be buffered, on their way from one socket to another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol


class Sink(Protocol):
    """Where the pieces of a long body go."""

    def piece(self, data: bytes) -> None: ...

    def last(self) -> None: ...


class Upload:
    """A request's body too long to be held: its pieces go to the one attempt that carries it.

    Until there is one, and while that one takes nothing, the caller's connection is not read.
    """

    def __init__(self, first: bytes, length: int | None, pace: Callable[[bool], None]) -> None:
        self.length = length
        self.ended = False  # its last byte has come
        self.spent = False  # it has begun to go to a server, and is held no longer
        self.on_end: Callable[[], None] | None = None
        self._held = [first]
        self._pace = pace  # whether the caller's connection is to be read
        self._sink: Sink | None = None
        pace(False)

    def feed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.piece(data)
        elif not self.spent:
            self._held.append(data)

    def finish(self) -> None:
        self.ended = True
        if self.on_end is not None:
            self.on_end()
        if self._sink is not None:
            self._sink.last()

    def attach(self, sink: Sink) -> None:
        """From here on the sink has every piece, once."""
        self.spent, self._sink = True, sink
        held, self._held = self._held, []
        for data in held:
            sink.piece(data)
        if self.ended:
            sink.last()
        self._pace(True)

    def detach(self) -> None:
        """Nobody wants the rest."""
        self._sink = None
        self._pace(True)

    def pace(self, go_on: bool) -> None:
        """The sink takes more, or does not."""
        if self._sink is not None and not self.ended:
            self._pace(go_on)


class Budget:
    """The bytes that long bodies and held ones may take in this node at once."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def take(self, size: int) -> bool:
        """Whether there was room for so many more."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def take_when_free(self, size: int, then: Callable[[], None]) -> None:
        """Take so many as soon as there is room, in the order of asking."""
        if not self._waiting and self.take(size):
            then()
        else:
            self._waiting.append((size, then))

    def give(self, size: int) -> None:
        self.held -= size
        while self._waiting and self.take(self._waiting[0][0]):
            self._waiting.popleft()[1]()
