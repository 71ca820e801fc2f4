"""One request of a client and its one response."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from crowpost.node.http.body import Upload
from crowpost.node.http.message import Message
from crowpost.node.http.rendering import render_chunk, render_response, render_response_head

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import ExchangeConnection

# What a long body may hold here: the write buffer's high-water mark, and one read more.
STREAM_BUFFER_BYTES = 64 * 1024 + 256 * 1024


class Exchange:
    """One request of a client, and its one response.

    It is the sink of a long response body.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_ends_with_connection",
        "_has_grant",
        "_set_reading",
        "arrived_at",
        "class_index",
        "client_gone",
        "close_after",
        "message",
        "on_client_gone",
        "output",
        "reserved_body_bytes",
        "response_complete",
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
        self.reserved_body_bytes = 0  # of the budget, for its body, while it is pending
        self.output: list[bytes] = []  # not written yet
        self.response_complete = False  # no more output will come
        self.on_client_gone: Callable[[], None] | None = None
        self._set_reading: Callable[[bool], None] | None = None  # once a long response has begun
        self._has_grant = False  # the budget has reserved its buffer
        self._chunked = False
        self._ends_with_connection = False  # only the connection's end ends the response

    @property
    def response_started(self) -> bool:
        """Whether a long response has begun."""
        return self._set_reading is not None

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the response, unless the client has left or has its response already.

        extra: complete header lines.
        """
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
        """Begin a long response, whose source is read as fast as the client reads and the budget allows."""
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
        """Begin to read a long response, as its buffer is reserved now."""
        if self.client_gone or self.response_complete:
            self._connection.listener.budget.release(STREAM_BUFFER_BYTES)
            return
        self._has_grant = True
        self._connection.reserved_bytes += STREAM_BUFFER_BYTES
        self.update_flow()

    def update_flow(self) -> None:
        """Read the source of a long response only while the client reads."""
        if self._set_reading is not None and not self.response_complete:
            self._set_reading(self._has_grant and self._connection.accepts_output_of(self))

    def check_client(self) -> None:
        """Look whether the client has left unseen; called before an attempt, which would be for nobody."""
        if not self.client_gone and self._connection.client_has_left():
            self._connection.on_client_left()

    def write_body(self, data: bytes) -> None:
        """Send a part of a long response."""
        if not self.client_gone:
            self.output.append(render_chunk(data) if self._chunked else data)
            self._connection.flush()

    def end_body(self) -> None:
        """Complete a long response."""
        if self.client_gone or self.response_complete:
            return
        if self._chunked:
            self.output.append(render_chunk(b""))
        self.response_complete = True
        self._count_response(200)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Respond with an error, as the request's body will not be complete, and abandon the request."""
        on_client_gone = self.on_client_gone
        self.on_client_gone = None
        self.respond(status)
        if on_client_gone is not None:
            on_client_gone()

    def abort(self) -> None:
        """Break a long response off; the end of the connection tells the client so."""
        if not self.client_gone and not self.response_complete:
            self._count_response(502)
            # Where the connection's end completes a response, only a reset tells that it was broken off.
            self._connection.abort(reset=self._ends_with_connection)

    def _decide_close(self) -> None:
        """Decide whether the connection closes behind the response, and release the request's body."""
        connection = self._connection
        # Nothing may follow a response that closes: with more requests behind it, this one does not.
        self.close_after = self.close_after or (connection.listener.closing and connection.is_last(self))
        # The rest of a body that is not read must not be taken for a request.
        self.close_after = self.close_after or (self.upload is not None and not self.upload.received)
        connection.listener.release_body(self)

    def _count_response(self, status: int) -> None:
        if self.class_index is not None:
            self._connection.listener.metrics.answered(self.class_index, status)
