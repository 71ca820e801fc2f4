"""One request of a client and its one response."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from crowpost.node.http.body import ByteBudget, Upload
from crowpost.node.http.message import Message
from crowpost.node.http.rendering import render_chunk, render_response, render_response_head
from crowpost.node.metrics import Metrics

STREAM_BUFFER_BYTES = (
    64 * 1024 + 256 * 1024
)  # what a long body may hold here: what is let wait, and one read more


class ExchangeListener(Protocol):
    """What an exchange needs of the listener that its connection belongs to."""

    closing: bool
    metrics: Metrics
    budget: ByteBudget

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def release_body(self, exchange: Exchange) -> None:
        """Return the bytes of a request's body to the budget."""


class ExchangeConnection(Protocol):
    """What an exchange needs of the connection that its request came on."""

    reserved_bytes: int

    @property
    def listener(self) -> ExchangeListener:
        """The listener that accepted this connection."""

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request has come behind this one."""

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange would be written now."""

    def client_has_left(self) -> bool:
        """Return whether the client has left while the connection is not read."""

    def on_client_left(self) -> None:
        """Close a connection whose client has left unseen."""

    def flush(self) -> None:
        """Write the output that is due."""

    def abort(self, *, reset: bool = False) -> None:
        """Close at once, with a reset if asked for."""


class Exchange:
    """One request of a caller's and the place of its one answer."""

    __slots__ = (
        "_chunked",
        "_connection",
        "_has_grant",
        "_set_reading",
        "_ends_with_connection",
        "arrived_at",
        "class_index",
        "close_after",
        "response_complete",
        "client_gone",
        "message",
        "on_client_gone",
        "output",
        "reserved_body_bytes",
        "upload",
        "version",
    )

    def __init__(self, connection: ExchangeConnection, close: bool, version: str = "1.1") -> None:
        self._connection = connection
        self.close_after = close
        self.version = version
        self.message: Message | None = None  # a request that waits behind others of its connection
        self.arrived_at = connection.listener.now()
        self.client_gone = False
        self.class_index: int | None = None  # of a valid request
        self.upload: Upload | None = None
        self.reserved_body_bytes = 0  # bytes of its body, counted while it is open
        self.output: list[bytes] = []  # not sent yet
        self.response_complete = False  # no more output will come
        self.on_client_gone: Callable[[], None] | None = None
        self._set_reading: Callable[[bool], None] | None = None  # of a long answer that has begun
        self._has_grant = False  # the budget has room for it
        self._chunked = False
        self._ends_with_connection = False  # nothing but the connection's end ends the answer

    @property
    def response_started(self) -> bool:
        return self._set_reading is not None

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the answer; nothing goes to a caller that has left, and no second answer to anybody."""
        if self.client_gone or self.response_complete:
            return
        if self.response_started:
            self.abort()
            return
        self.message = None
        self._decide_close()
        self._count_response(status)
        self.output = [render_response(status, body, extra, close=self.close_after)]
        self.response_complete = True
        self._connection.flush()

    def start_response(self, message: Message, set_reading: Callable[[bool], None]) -> None:
        """A long answer: its pieces follow, as fast as the caller takes them and the budget has room."""
        self._decide_close()
        self._ends_with_connection = message.content_length is None and self.version == "1.0"
        self.close_after = self.close_after or self._ends_with_connection
        head, self._chunked = render_response_head(message, version=self.version, close=self.close_after)
        self.output = [head]
        self._set_reading = set_reading
        set_reading(False)
        self._connection.listener.budget.reserve_when_free(STREAM_BUFFER_BYTES, self._on_grant)
        self._connection.flush()

    def _on_grant(self) -> None:
        if self.client_gone or self.response_complete:
            self._connection.listener.budget.release(STREAM_BUFFER_BYTES)
            return
        self._has_grant = True
        self._connection.reserved_bytes += STREAM_BUFFER_BYTES
        self.update_flow()

    def update_flow(self) -> None:
        """Have the server read on just as long as the caller takes what it gave."""
        if self._set_reading is not None and not self.response_complete:
            self._set_reading(self._has_grant and self._connection.accepts_output_of(self))

    def check_client(self) -> None:
        """Look whether its caller has left unseen: asked before an attempt, which would be for nobody."""
        if not self.client_gone and self._connection.client_has_left():
            self._connection.on_client_left()

    def write_body(self, data: bytes) -> None:
        if not self.client_gone:
            self.output.append(render_chunk(data) if self._chunked else data)
            self._connection.flush()

    def end_body(self) -> None:
        """The long answer is whole."""
        if self.client_gone or self.response_complete:
            return
        if self._chunked:
            self.output.append(render_chunk(b""))
        self.response_complete = True
        self._count_response(200)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Its body will not come whole: whoever works on it is told that its caller has gone."""
        on_client_gone, self.on_client_gone = self.on_client_gone, None
        self.respond(status)
        if on_client_gone is not None:
            on_client_gone()

    def abort(self) -> None:
        """The long answer will not become whole: the connection's end tells its caller so."""
        if not self.client_gone and not self.response_complete:
            self._count_response(502)
            # Where the connection's end is the answer's, only a reset tells this end from that.
            self._connection.abort(reset=self._ends_with_connection)

    def _decide_close(self) -> None:
        connection = self._connection
        # Nothing may follow an answer that closes: with more requests behind it this one leaves open.
        self.close_after = self.close_after or (connection.listener.closing and connection.is_last(self))
        # What is left of a body that nobody wants is no request.
        self.close_after = self.close_after or (self.upload is not None and not self.upload.received)
        connection.listener.release_body(self)

    def _count_response(self, status: int) -> None:
        if self.class_index is not None:
            self._connection.listener.metrics.answered(self.class_index, status)
