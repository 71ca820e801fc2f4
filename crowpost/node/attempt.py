"""Attempts: carry out the `Send` actions of the decision module on the network, and report the outcomes."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from crowpost.decision_api import AttemptEnded, BodySent, Effect, Outcome, RequestId, ResponseStarted, Send
from crowpost.node.byte_budget import Reservation
from crowpost.node.clock import Clock
from crowpost.node.event_queue import EventQueue
from crowpost.node.http.body import BodySink
from crowpost.node.http.load_report import parse_load_report
from crowpost.node.http.message import CONTENT_TYPE, REQUEST_ID, Message
from crowpost.node.metrics import Metrics
from crowpost.node.request_table import REFUSED, REPEATED, PendingRequest, RequestTable
from crowpost.node.sent_requests import AddResult
from crowpost.node.upstream.call import Call, SetReading
from crowpost.node.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

# What a server is told is the time that is left once the request has arrived, so long after it was written.
TRANSFER_S = 0.02
MIN_TOLD_DEADLINE_S = 0.001


class AttemptSender:
    """Starts attempts, and holds the objects that all of them share."""

    __slots__ = ("clock", "events", "load_report_columns", "metrics", "pool", "requests")

    def __init__(
        self,
        requests: RequestTable,
        pool: ConnectionPool,
        clock: Clock,
        events: EventQueue,
        metrics: Metrics,
        load_report_columns: Sequence[str],
    ) -> None:
        self.requests = requests
        self.pool = pool
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.load_report_columns = load_report_columns

    def send(self, action: Send) -> None:
        """Start one attempt, or report immediately that it was not sent."""
        request = action.request
        server = action.server
        pending = self.requests.find_with_client(request)
        if pending is not None:
            pending = self._begin_sending(request, pending)
        if pending is None:
            # The request was closed while the module was deciding; the module has not been notified yet.
            closed = self.requests.just_closed[request]
            self.events.post(AttemptEnded(request, closed.attempts, server, Outcome.NOT_SENT, 0.0, True))
            closed.attempts += 1
            return
        number = pending.attempts
        pending.attempts += 1
        remaining_ms = pending.deadline_ms - self.clock.now()
        if remaining_ms <= 0.0:
            self.events.post(AttemptEnded(request, number, server, Outcome.NOT_SENT, 0.0, False))
            return
        response_buffer = self.requests.response_buffer(request, pending)
        if response_buffer is None:
            log.info("no memory for one more concurrent attempt of a request")
            self.events.post(AttemptEnded(request, number, server, Outcome.NOT_SENT, 0.0, False))
            return
        timeout_ms = min(action.timeout_ms, remaining_ms) if action.timeout_ms > 0 else remaining_ms
        attempt = Attempt(self, action, pending, number, response_buffer)
        self.requests.calls[request, number] = attempt.start(timeout_ms / 1000.0)

    def _begin_sending(self, request: RequestId, pending: PendingRequest) -> PendingRequest | None:
        """Return the request; None if it was closed, because it may run elsewhere or cannot be remembered."""
        match self.requests.begin_sending(pending):
            case AddResult.ADDED:
                return pending
            case AddResult.KNOWN:
                self.requests.respond(request, REPEATED)
            case AddResult.FULL:
                log.warning("no room to remember one more request: it is refused")
                self.requests.respond(request, REFUSED)
        return None


class Attempt:
    """One attempt of a request at one endpoint: renders it, starts its call and reports the outcome."""

    __slots__ = (
        "_action",
        "_call",
        "_number",
        "_pending",
        "_response_buffer",
        "_sender",
        "_sent_at_ms",
        "_upload",
    )

    def __init__(
        self,
        sender: AttemptSender,
        action: Send,
        pending: PendingRequest,
        number: int,
        response_buffer: Reservation,
    ) -> None:
        self._sender = sender
        self._response_buffer = response_buffer
        self._action = action
        self._pending = pending
        self._number = number
        self._upload = pending.message.upload
        self._sent_at_ms = sender.clock.now()
        self._call: Call | None = None

    def start(self, timeout_s: float) -> Call:
        """Start the attempt on the connection pool and return its call."""
        upload = self._upload
        call = Call(
            self._render,
            timeout_s,
            self._on_finished,
            on_written=self._on_written,
            on_response_start=self._on_response_start,
            upload=upload,
            response_buffer=self._response_buffer,
            may_write=self._may_write,
        )
        self._call = call
        idempotent = self._pending.effect is not Effect.UNSAFE and upload is None
        self._sender.pool.start(call, self._action.server, idempotent=idempotent)
        return call

    def _render(self, remaining_s: float) -> bytes:
        """Return the bytes of the request; the body only if it is not streamed."""
        pending = self._pending
        deadline_s = pending.budget_ms / 1000.0
        if self._upload is None:
            deadline_s = max(MIN_TOLD_DEADLINE_S, remaining_s - TRANSFER_S)
        return b"%sX-Deadline: %.3f\r\n\r\n%s" % (pending.head, deadline_s, pending.message.body)

    def _may_write(self) -> bool:
        """Return whether the client still waits, no response has started, and the retry window is open."""
        pending = self._pending
        found = self._sender.requests.find_with_client(self._action.request)
        wanted = found is pending and pending.streaming_attempt is None
        return wanted and self._sender.clock.now() < self._action.before_ms

    def _on_written(self) -> None:
        self._sender.metrics.attempt_written()
        if self._upload is not None and self._pending.streaming_attempt is None:
            # The server has no work to do before the body is complete: its latency counts from here.
            self._sent_at_ms = self._sender.clock.now()
            self._sender.events.post(BodySent(self._action.request, self._number))

    def _on_response_start(self, response: Message, set_reading: SetReading) -> BodySink | None:
        """Start streaming this response to the client, unless the response of another attempt has started."""
        request = self._action.request
        elapsed_ms = self._elapsed_ms()
        pending = self._sender.requests.pending.get(request)
        if pending is None or pending.streaming_attempt is not None:
            return None
        if pending.timer is not None:
            pending.timer.cancel()
        pending.streaming_attempt = self._number
        self._move_buffer_to_client()
        pending.message.body = b""  # no other attempt will send it
        pending.time_to_response_ms = elapsed_ms
        pending.exchange.start_response(response, set_reading)
        self._sender.events.post(ResponseStarted(request, self._number, self._action.server, elapsed_ms))
        return pending.exchange

    def _on_finished(self, outcome: Outcome, response: Message | None) -> None:
        if outcome is not Outcome.OK:
            self._log_failure(outcome, response)
        body_consumed = self._upload is not None and self._upload.consumed
        request = self._action.request
        requests = self._sender.requests
        requests.calls.pop((request, self._number), None)
        pending = requests.pending.get(request)
        if pending is not None and outcome is Outcome.OK:
            self._move_buffer_to_client()
        elif self._response_buffer is not self._pending.exchange.response_buffer:
            self._response_buffer.release()
        elapsed_ms = self._sender.clock.now() - self._sent_at_ms
        if pending is not None and pending.streaming_attempt == self._number:
            elapsed_ms = pending.time_to_response_ms
            requests.close(request)
            if outcome is Outcome.OK:
                pending.exchange.end_body()
            else:
                pending.exchange.abort()
        elif (
            outcome is Outcome.OK
            and response is not None
            and (pending is None or pending.streaming_attempt is None)
        ):
            content_type = response.headers.get(CONTENT_TYPE)
            extra = b"Content-Type: %s\r\n" % content_type if content_type else b""
            requests.respond(request, 200, response.body, extra)
        finished = request not in requests.pending
        load = parse_load_report(response, self._sender.load_report_columns)
        self._sender.events.post(
            AttemptEnded(
                request,
                self._number,
                self._action.server,
                outcome,
                elapsed_ms,
                finished,
                load,
                body_consumed,
            )
        )
        # The call refers to this object too: without the cycle both are freed at once.
        self._call = None

    def _move_buffer_to_client(self) -> None:
        """Keep the bytes of the response reserved until the client's connection has sent it."""
        client_buffer = self._pending.exchange.response_buffer
        if self._response_buffer is not client_buffer:
            self._response_buffer.move_to(client_buffer)
            self._response_buffer = client_buffer
            assert self._call is not None
            self._call.response_buffer = client_buffer

    def _elapsed_ms(self) -> float:
        return self._sender.clock.now() - self._sent_at_ms

    def _log_failure(self, outcome: Outcome, response: Message | None) -> None:
        assert self._call is not None
        log.info(
            "request %s attempt %d to %s: %s%s after %.0f ms, %s",
            self._pending.message.headers[REQUEST_ID].decode(errors="replace"),
            self._number,
            self._action.server.decode(errors="replace"),
            outcome.value,
            f" ({response.status})" if response is not None else "",
            self._elapsed_ms(),
            self._call.connection_note,
        )
