"""The table of pending requests; each gets exactly one response, before its deadline."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from crowpost.decision_api import (
    Effect,
    IdempotencyScope,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    Settings,
)
from crowpost.node.byte_budget import Reservation
from crowpost.node.clock import Clock
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.request import ClientRequest
from crowpost.node.event_queue import EventQueue
from crowpost.node.http.message import CLASS, IDEMPOTENCY_KEY, REQUEST_ID, Message
from crowpost.node.http.rendering import render_request_head
from crowpost.node.sent_requests import AddResult, SentRequests, identity_of
from crowpost.node.upstream.call import Call

log = logging.getLogger(__name__)

# The client's deadline counts from when it sent the request: this part of the budget is reserved for the
# network and for delays on a busy processor.
RESPONSE_RESERVE_MS = 25.0
# The reserve is at most this fraction of the budget, so that a short budget is not used up by it.
MAX_RESERVE_FRACTION = 0.2
# The decision module must have responded this long after the end of the budget; this is part of the reserve.
OVERDUE_GRACE_MS = 10.0

# The status of a request that has not run and that the client may send again.
REFUSED = 503
# The status of a request that may have run before.
REPEATED = 409

# A request, and the number of one of its attempts, counted from 0.
AttemptKey = tuple[RequestId, int]


@dataclass(slots=True)
class PendingRequest:
    """A request that a client is waiting for."""

    message: Message
    exchange: Exchange
    effect: Effect
    budget_ms: float  # time from the last byte of the request to its deadline
    head: bytes  # request head sent with each attempt, without X-Deadline
    deadline_ms: float = math.inf  # time by the node clock; infinite while a long body is being received
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0  # number of attempts so far
    streaming_attempt: int | None = None  # attempt whose long response is streamed to the client
    time_to_response_ms: float = 0.0  # latency of `streaming_attempt` until its response started
    identities: tuple[int, ...] = ()  # what must not be sent for another request; none if it may run again

    @property
    def uploading(self) -> bool:
        """Whether a long body is still being received."""
        return self.message.upload is not None and not self.message.upload.received


class RequestTable:
    """The pending requests of a node, and the calls of all their attempts.

    time_left_s: returns the seconds until the process must have sent its last response; set by its owner.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        events: EventQueue,
        host: bytes,
        sent_requests: SentRequests,
    ) -> None:
        self.time_left_s: Callable[[], float] = lambda: math.inf
        self.pending: dict[RequestId, PendingRequest] = {}
        self.calls: dict[AttemptKey, Call] = {}  # calls in flight, also those of closed requests
        # Requests closed while events are delivered: the decision module may not have been notified yet.
        self.just_closed: dict[RequestId, PendingRequest] = {}
        self._settings = settings
        self._clock = clock
        self._events = events
        self._host = host
        self._sent_requests = sent_requests
        # The identities of the pending requests.
        self._pending_identities: set[int] = set()
        self._loop = asyncio.get_running_loop()
        self._last_id = 0

    def active_count(self) -> int:
        """Return the number of pending requests that have been received completely."""
        return sum(not pending.uploading for pending in self.pending.values())

    def add(self, request: ClientRequest, exchange: Exchange) -> None:
        """Add a valid request of a client, which must get exactly one response."""
        identities = self._identities(request)
        if identities:
            if any(map(self._is_known, identities)):
                exchange.respond(REPEATED)
                return
            self._pending_identities.update(identities)
        self._last_id += 1
        request_id = self._last_id
        budget_ms = self._budget_ms(request.budget_ms)
        pending = self.pending[request_id] = PendingRequest(
            request.message,
            exchange,
            self._settings.classes[request.class_index].effect,
            budget_ms,
            render_request_head(request.message, self._host),
            identities=identities,
        )
        upload = request.message.upload
        if upload is None:
            self._set_deadline(request_id, pending)
        else:
            # The callback must not refer to the request, which refers to the upload.
            requested_ms = request.budget_ms
            upload.on_received = lambda: self._on_body_received(request_id, requested_ms)
        exchange.on_client_gone = lambda: self._on_client_gone(request_id)
        self._events.post(
            RequestArrived(
                request_id,
                request.class_index,
                budget_ms,
                request.tenant,
                request.key,
                request.cost_hint_ms,
                request.is_repeat,
                body_streamed=upload is not None,
            )
        )
        self._check_upload(request_id)

    def _identities(self, request: ClientRequest) -> tuple[int, ...]:
        """Return the identities under which a request must not run again; none if that does no harm.

        Endpoints drop repeats of a keyed request by its key, but within a scope that a client cannot choose.
        """
        request_class = self._settings.classes[request.class_index]
        if request_class.effect is Effect.SAFE:
            return ()
        headers = request.message.headers
        identity = identity_of(headers[REQUEST_ID])
        if (
            request_class.effect is Effect.KEYED
            and request_class.idempotency_scope is not IdempotencyScope.ALL
        ):
            return (identity, identity_of(b"key " + headers[IDEMPOTENCY_KEY]))
        return (identity,)

    def _is_known(self, identity: int) -> bool:
        """Return whether a request of this identity is pending or may have run."""
        now_ms = 1000.0 * self._loop.time()
        return identity in self._pending_identities or self._sent_requests.contains(identity, now_ms)

    def begin_sending(self, pending: PendingRequest) -> AddResult:
        """Remember a request before its first attempt, which must be sent only if the result is ADDED."""
        if pending.attempts or not pending.identities:
            return AddResult.ADDED
        return self._sent_requests.try_add(pending.identities, 1000.0 * self._loop.time())

    def _budget_ms(self, requested_ms: float) -> float:
        """Return the time that the module has for a request whose last byte was received."""
        budget_ms = min(requested_ms, 1000.0 * self.time_left_s())
        return max(1.0, budget_ms - min(RESPONSE_RESERVE_MS, MAX_RESERVE_FRACTION * budget_ms))

    def _set_deadline(self, request: RequestId, pending: PendingRequest) -> None:
        pending.deadline_ms = self._clock.now() + pending.budget_ms
        pending.timer = self._loop.call_later(
            (pending.budget_ms + OVERDUE_GRACE_MS) / 1000.0, self._on_overdue, request
        )

    def _check_upload(self, request: RequestId) -> None:
        """Respond with an error if the time of a request is over before its long body is complete.

        A server may read a body so slowly that its last byte waits for seconds in the buffers of the kernels.
        """
        pending = self.pending.get(request)
        if pending is None or not pending.uploading or pending.streaming_attempt is not None:
            return
        assert pending.message.upload is not None
        left_s = pending.budget_ms / 1000.0 - max(0.0, pending.message.upload.max_waited_s())
        if left_s > 0.0:
            pending.timer = self._loop.call_later(left_s, self._check_upload, request)
            return
        log.info("request %d: a server has not taken the long body in time", request)
        self.respond(request, 502 if pending.attempts else 503)
        self._events.post(RequestAbandoned(request))
        self._abort_calls(request)

    def _on_body_received(self, request: RequestId, requested_ms: float) -> None:
        """Start the deadline of a request whose long body is complete: it counts from the last byte."""
        pending = self.pending.get(request)
        if pending is not None and pending.streaming_attempt is None:
            assert pending.message.upload is not None
            if pending.timer is not None:
                pending.timer.cancel()
            waited_ms = 1000.0 * max(0.0, pending.message.upload.max_waited_s())
            pending.budget_ms = self._budget_ms(requested_ms - waited_ms)
            self._set_deadline(request, pending)
            call = self.calls.get((request, pending.attempts - 1))
            if call is not None:
                call.set_timeout(pending.budget_ms / 1000.0)

    def response_buffer(self, request: RequestId, pending: PendingRequest) -> Reservation | None:
        """Return the reserved bytes for the response of the next attempt; None if there is no room for them.

        An attempt beside another one needs bytes of its own.
        """
        if pending.attempts > 1 and any(
            (request, number) in self.calls for number in range(pending.attempts)
        ):
            return pending.exchange.new_response_buffer()
        return pending.exchange.response_buffer

    def _drop_response_bodies(self, request: RequestId, pending: PendingRequest) -> None:
        """Keep nothing of the responses of attempts that are left to end by themselves."""
        for number in range(pending.attempts):
            call = self.calls.get((request, number))
            if call is not None:
                call.drop_response_body()

    def find_with_client(self, request: RequestId) -> PendingRequest | None:
        """Return a pending request; None if it is closed or its client has disconnected."""
        pending = self.pending.get(request)
        if pending is not None:
            pending.exchange.check_client()
        return self.pending.get(request)

    def close(self, request: RequestId) -> PendingRequest | None:
        """Remove a request and return it; None if it was already closed."""
        pending = self.pending.pop(request, None)
        if pending is not None:
            if pending.timer is not None:
                pending.timer.cancel()
            pending.exchange.on_client_gone = None
            self._pending_identities.difference_update(pending.identities)
            # Attempts that go on refer to the message, whose bytes are no longer reserved.
            pending.message.body = b""
            self._drop_response_bodies(request, pending)
            if self._events.delivering:
                self.just_closed[request] = pending
        return pending

    def respond(self, request: RequestId, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        """Close a request with a response, if it is still pending.

        extra: complete header lines.
        """
        pending = self.close(request)
        if pending is None:
            return
        if status == REFUSED and pending.attempts:
            # No attempt has run, so the client may send the request again.
            self._sent_requests.remove(pending.identities)
        if status != 200:
            headers = pending.message.headers
            log.info(
                "request %s (%s) answered %d after %d attempts, %.0f ms of its time left",
                headers[REQUEST_ID].decode(errors="replace"),
                headers[CLASS].decode(errors="replace"),
                status,
                pending.attempts,
                pending.deadline_ms - self._clock.now(),
            )
        pending.exchange.respond(status, body, extra)

    def respond_internal_error(self, request: RequestId) -> None:
        """Close a request after a fault, and notify the module that no client waits for it."""
        if request in self.pending:
            self.respond(request, 500)
            self._events.post(RequestAbandoned(request))

    def fail_remaining(self) -> None:
        """Respond with an error to all requests without a response, shortly before the process is killed."""
        waiting = [request for request, pending in self.pending.items() if pending.streaming_attempt is None]
        for request in waiting:
            self.respond_internal_error(request)

    def _on_client_gone(self, request: RequestId) -> None:
        pending = self.close(request)
        if pending is None:
            return
        self._events.post(RequestAbandoned(request))
        if pending.uploading or pending.streaming_attempt is not None:
            # The body or response can no longer become complete, whether or not the module cancels it.
            self._abort_calls(request)

    def _abort_calls(self, request: RequestId) -> None:
        for key in [key for key in self.calls if key[0] == request]:
            self.calls[key].abort(Outcome.CANCELLED)

    def _on_overdue(self, request: RequestId) -> None:
        """Respond to a request that the module has left without a response for too long."""
        log.error("request %d was not answered in time", request)
        self.respond_internal_error(request)
