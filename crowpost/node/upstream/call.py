"""One call to an endpoint, with exactly one outcome.

This module never sends a request twice.  A request that was handed to the socket may have run, however its
call ends; only a call that ended before that is reported as `CONNECT_FAILED` or `NOT_SENT`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from crowpost.decision_api import Outcome
from crowpost.node.byte_budget import Reservation
from crowpost.node.http.body import BodySink, Upload
from crowpost.node.http.message import Message

if TYPE_CHECKING:
    from crowpost.node.upstream.interfaces import CallConnection

# Returns whether the request may still be written; called immediately before the write.
MayWrite = Callable[[], bool]
# Called once, with the outcome and with the response if there is one.
OnFinished = Callable[[Outcome, Message | None], None]
# Returns the bytes of the request, given the seconds until its deadline.
RenderRequest = Callable[[float], bytes]
# Pauses (False) or resumes (True) reading from a connection.
SetReading = Callable[[bool], None]
# Called with the head of a long response; returns the sink of its body, or None to discard the response.
OnResponseStart = Callable[[Message, SetReading], BodySink | None]


class Call:
    """One request to an endpoint: an attempt or a health check; finishes exactly once, with one outcome."""

    __slots__ = (
        "_loop",
        "_on_finished",
        "_timer",
        "connection",
        "connection_note",
        "deadline",
        "finished",
        "may_write",
        "on_response_start",
        "on_written",
        "render",
        "response_buffer",
        "response_started",
        "upload",
        "written",
    )

    def __init__(
        self,
        render: RenderRequest,
        timeout_s: float,
        on_finished: OnFinished,
        *,
        on_written: Callable[[], None] | None = None,
        on_response_start: OnResponseStart | None = None,
        upload: Upload | None = None,
        response_buffer: Reservation | None = None,
        may_write: MayWrite = lambda: True,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.render = render
        # Checked again before the write: a dial or a probe may have taken time since the decision.
        self.may_write = may_write
        self.connection: CallConnection | None = None
        self.written = False  # whether the last byte may have reached the server
        self.response_started = False  # whether a long response has started
        self.on_written = on_written
        self.on_response_start = on_response_start  # None if only the status is needed
        self.upload = upload
        # The bytes reserved for the response; None if its body is not needed.
        self.response_buffer = response_buffer
        self.connection_note = "not written"  # log text that describes the connection of the call
        self.finished = False
        self._on_finished = on_finished
        self._timer: asyncio.TimerHandle | None = None
        self.deadline = math.inf
        if upload is None or upload.received:
            self.set_timeout(timeout_s)

    def set_timeout(self, timeout_s: float) -> None:
        """Set the deadline to `timeout_s` seconds from now."""
        self.deadline = self._loop.time() + timeout_s
        if not self.finished and not self.response_started:
            self._timer = self._loop.call_later(timeout_s, self._on_timeout)

    def start_response(self, message: Message, set_reading: SetReading) -> BodySink | None:
        """Start a long response, which has no deadline.

        Return the sink of its body, or None to discard the response.
        """
        self.response_started = True
        self._stop_timer()
        if self.on_response_start is None:
            return None
        return self.on_response_start(message, set_reading)

    def finish(self, outcome: Outcome, response: Message | None = None) -> None:
        """Report the outcome; later outcomes of the same call are ignored."""
        if self.finished:
            return
        self.finished = True
        self._stop_timer()
        self.connection = None
        if self.upload is not None and self.upload.consumed:
            self.upload.detach()
        self._on_finished(outcome, response)

    def abort(self, outcome: Outcome) -> None:
        """Finish immediately and close the connection, so that late bytes on it reach no other request."""
        connection = self.connection
        if not self.finished and connection is not None:
            connection.abort()
        self.finish(outcome)

    def drop_response_body(self) -> None:
        """Keep nothing of the response's body, as another response has been sent to the client."""
        self.response_buffer = None
        if self.connection is not None:
            self.connection.drop_response_body()

    def is_chunked(self) -> bool:
        """Return whether the request has a long body of unknown length."""
        return self.upload is not None and self.upload.length is None

    def discard_response(self, outcome: Outcome) -> None:
        """Finish immediately, but read and discard the response.

        Replacing the connection would cost more than reading the rest of the response.
        """
        if self.response_started or (self.connection is not None and not self.written):
            self.abort(outcome)
            return
        if not self.finished and self.connection is not None:
            self.connection.discard_response(self.deadline)
        self.finish(outcome)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _on_timeout(self) -> None:
        self.abort(Outcome.TIMEOUT if self.written else Outcome.CONNECT_FAILED)
