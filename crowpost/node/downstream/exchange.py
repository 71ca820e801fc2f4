"""One request of a client and its one response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from crowpost.node.http.body import Budget, Upload
from crowpost.node.http.message import Message
from crowpost.node.http.rendering import answer, chunk, long_answer_head
from crowpost.node.metrics import Metrics

LONG_BYTES = 64 * 1024 + 256 * 1024  # what a long body may hold here: what is let wait, and one read more


class ExchangeListener(Protocol):
    """What an exchange needs of the listener that its connection belongs to."""

    closing: bool
    metrics: Metrics
    budget: Budget

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def release(self, exchange: Exchange) -> None:
        """Return the bytes of a request's body to the budget."""


class ExchangeConnection(Protocol):
    """What an exchange needs of the connection that its request came on."""

    lent: int

    @property
    def callers(self) -> ExchangeListener:
        """The listener that accepted this connection."""

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request has come behind this one."""

    def takes(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange would be written now."""

    def left_unseen(self) -> bool:
        """Return whether the client has left while the connection is not read."""

    def lose(self) -> None:
        """Close a connection whose client has left unseen."""

    def flush(self) -> None:
        """Write the output that is due."""

    def drop(self, *, reset: bool = False) -> None:
        """Close at once, with a reset if asked for."""


class Exchange:
    """One request of a caller's and the place of its one answer."""

    __slots__ = (
        "_chunked",
        "_connection",
        "_funded",
        "_pace",
        "_until_close",
        "came_at",
        "class_index",
        "close",
        "complete",
        "gone",
        "message",
        "on_gone",
        "output",
        "size",
        "upload",
        "version",
    )

    def __init__(self, connection: ExchangeConnection, close: bool, version: str = "1.1") -> None:
        self._connection = connection
        self.close = close
        self.version = version
        self.message: Message | None = None  # a request that waits behind others of its connection
        self.came_at = connection.callers.now()
        self.gone = False
        self.class_index: int | None = None  # of a valid request
        self.upload: Upload | None = None
        self.size = 0  # bytes of its body, counted while it is open
        self.output: list[bytes] = []  # not sent yet
        self.complete = False  # no more output will come
        self.on_gone: Callable[[], None] | None = None
        self._pace: Callable[[bool], None] | None = None  # of a long answer that has begun
        self._funded = False  # the budget has room for it
        self._chunked = False
        self._until_close = False  # nothing but the connection's end ends the answer

    @property
    def begun(self) -> bool:
        return self._pace is not None

    def answer(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the answer; nothing goes to a caller that has left, and no second answer to anybody."""
        if self.gone or self.complete:
            return
        if self.begun:
            self.break_off()
            return
        self.message = None
        self._choose_close()
        self._count(status)
        self.output = [answer(status, body, extra, close=self.close)]
        self.complete = True
        self._connection.flush()

    def begin(self, message: Message, pace: Callable[[bool], None]) -> None:
        """A long answer: its pieces follow, as fast as the caller takes them and the budget has room."""
        self._choose_close()
        self._until_close = message.length is None and self.version == "1.0"
        self.close = self.close or self._until_close
        head, self._chunked = long_answer_head(message, version=self.version, close=self.close)
        self.output = [head]
        self._pace = pace
        pace(False)
        self._connection.callers.budget.take_when_free(LONG_BYTES, self._fund)
        self._connection.flush()

    def _fund(self) -> None:
        if self.gone or self.complete:
            self._connection.callers.budget.give(LONG_BYTES)
            return
        self._funded = True
        self._connection.lent += LONG_BYTES
        self.keep_pace()

    def keep_pace(self) -> None:
        """Have the server read on just as long as the caller takes what it gave."""
        if self._pace is not None and not self.complete:
            self._pace(self._funded and self._connection.takes(self))

    def notice_end(self) -> None:
        """Look whether its caller has left unseen: asked before an attempt, which would be for nobody."""
        if not self.gone and self._connection.left_unseen():
            self._connection.lose()

    def piece(self, data: bytes) -> None:
        if not self.gone:
            self.output.append(chunk(data) if self._chunked else data)
            self._connection.flush()

    def last(self) -> None:
        """The long answer is whole."""
        if self.gone or self.complete:
            return
        if self._chunked:
            self.output.append(chunk(b""))
        self.complete = True
        self._count(200)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Its body will not come whole: whoever works on it is told that its caller has gone."""
        on_gone, self.on_gone = self.on_gone, None
        self.answer(status)
        if on_gone is not None:
            on_gone()

    def break_off(self) -> None:
        """The long answer will not become whole: the connection's end tells its caller so."""
        if not self.gone and not self.complete:
            self._count(502)
            # Where the connection's end is the answer's, only a reset tells this end from that.
            self._connection.drop(reset=self._until_close)

    def _choose_close(self) -> None:
        connection = self._connection
        # Nothing may follow an answer that closes: with more requests behind it this one leaves open.
        self.close = self.close or (connection.callers.closing and connection.is_last(self))
        # What is left of a body that nobody wants is no request.
        self.close = self.close or (self.upload is not None and not self.upload.ended)
        connection.callers.release(self)

    def _count(self, status: int) -> None:
        if self.class_index is not None:
            self._connection.callers.metrics.answered(self.class_index, status)
