"""One request of a client and its single response."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from crowpost.node.byte_budget import MIN_BUFFER_BYTES, RequestReservation, Reservation
from crowpost.node.http.body import Upload
from crowpost.node.http.message import Message
from crowpost.node.http.rendering import render_chunk, render_response, render_response_head

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import ExchangeConnection

# A request's head is kept as it was received, and as it is sent to endpoints.
HEAD_COPIES = 2


class Exchange:
    """One request of a client and its single response.

    It is also the sink of a streamed response body.
    """

    __slots__ = (
        "_chunked",
        "_connection",
        "_ends_with_connection",
        "_set_reading",
        "arrived_at",
        "class_index",
        "client_gone",
        "close_after",
        "message",
        "on_client_gone",
        "output",
        "request_bytes",
        "response_buffer",
        "response_complete",
        "upload",
        "version",
    )

    def __init__(self, connection: ExchangeConnection, close: bool, version: str = "1.1") -> None:
        self._connection = connection
        self.close_after = close
        self.version = version
        # The request, while it waits for earlier requests of its connection.
        self.message: Message | None = None
        self.arrived_at = connection.listener.now()
        self.client_gone = False
        # The index of the request class; None unless the request is valid.
        self.class_index: int | None = None
        self.upload: Upload | None = None
        # The bytes reserved for the request, until the response begins.
        self.request_bytes: Reservation = RequestReservation(connection.listener.budget)
        # The bytes reserved for the response, until the client's connection has sent it.
        self.response_buffer = Reservation(connection.listener.budget)
        # Output that is not written to the connection yet.
        self.output: list[bytes] = []
        # Whether all output of the response has been produced.
        self.response_complete = False
        self.on_client_gone: Callable[[], None] | None = None
        # Pauses or resumes reading from the source of a streamed response; None until one has begun.
        self._set_reading: Callable[[bool], None] | None = None
        self._chunked = False
        # Whether only the close of the connection marks the end of the response.
        self._ends_with_connection = False

    def try_reserve(self, message: Message) -> bool:
        """Reserve what the request needs to be carried to its end; return whether there was room.

        Nothing that the request needs later is reserved later, so an accepted request never lacks bytes.
        """
        upload = message.upload
        request_bytes = message.size + (HEAD_COPIES - 1) * message.head_bytes
        if not self.request_bytes.try_resize(request_bytes):
            return False
        if upload is not None:
            upload.reservation = self.request_bytes
        return self.response_buffer.try_resize(MIN_BUFFER_BYTES)

    def new_response_buffer(self) -> Reservation | None:
        """Reserve a buffer for one more concurrent response to the request; None if there is no room."""
        buffer = Reservation(self._connection.listener.budget)
        return buffer if buffer.try_resize(MIN_BUFFER_BYTES) else None

    def release(self) -> None:
        """Return all reserved bytes, as nothing will be sent any more."""
        self.request_bytes.release()
        self.response_buffer.release()

    @property
    def response_started(self) -> bool:
        """Whether a streamed response has begun."""
        return self._set_reading is not None

    def respond(self, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Send the response, unless the client has disconnected or already has its response.

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
        """Begin a streamed response; its source is read as fast as the client reads."""
        self._decide_close()
        self._ends_with_connection = message.content_length is None and self.version == "1.0"
        self.close_after = self.close_after or self._ends_with_connection
        head, self._chunked = render_response_head(message, version=self.version, close=self.close_after)
        self.output = [head]
        self._set_reading = set_reading
        self.update_flow()
        self._connection.flush()

    def update_flow(self) -> None:
        """Read the source of a streamed response only while the client reads."""
        if self._set_reading is not None and not self.response_complete:
            accepted = self._connection.accepts_output_of(self)
            if accepted:
                # Nothing is unsent, so the response can go on with less.
                self.response_buffer.shrink_if_scarce(MIN_BUFFER_BYTES)
            self._set_reading(accepted)

    def check_client(self) -> None:
        """Close the connection if the client has left; called before an attempt, which is useless then."""
        if not self.client_gone and self._connection.client_has_left():
            self._connection.on_client_left()

    def write_body(self, data: bytes) -> None:
        """Send a part of a streamed response."""
        if not self.client_gone:
            self.output.append(render_chunk(data) if self._chunked else data)
            self._connection.flush()

    def end_body(self) -> None:
        """Complete a streamed response."""
        if self.client_gone or self.response_complete:
            return
        if self._chunked:
            self.output.append(render_chunk(b""))
        self.response_complete = True
        self._count_response(200)
        self._connection.flush()

    def fail(self, status: int) -> None:
        """Respond with an error because the request's body will stay incomplete, and abandon the request."""
        on_client_gone = self.on_client_gone
        self.on_client_gone = None
        self.respond(status)
        if on_client_gone is not None:
            on_client_gone()

    def abort(self) -> None:
        """Abort a streamed response; the close of the connection shows the client that it is incomplete."""
        if not self.client_gone and not self.response_complete:
            self._count_response(502)
            # Where the close of the connection completes a response, only a reset marks it as incomplete.
            self._connection.abort(reset=self._ends_with_connection)

    def _decide_close(self) -> None:
        """Decide whether the connection closes after the response, and release the request's body."""
        connection = self._connection
        # No response can follow one that closes the connection, so only the last request's response does.
        self.close_after = self.close_after or (connection.listener.closing and connection.is_last(self))
        # The unread rest of a body must not be parsed as the next request.
        self.close_after = self.close_after or (self.upload is not None and not self.upload.received)
        self.request_bytes.release()

    def _count_response(self, status: int) -> None:
        if self.class_index is not None:
            self._connection.listener.metrics.answered(self.class_index, status)
