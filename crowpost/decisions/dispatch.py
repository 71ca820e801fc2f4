"""The only place that sends attempts, and the only one that answers requests that are not served."""

from __future__ import annotations

from crowpost.decision_api import Cancel, Effect, Fail, IdempotencyScope, Outcome, Reject, Send
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_selection import EndpointSelector
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.outcome_scoring import OutcomeScorer
from crowpost.decisions.request_queue import RequestQueue
from crowpost.decisions.request_state import Attempt, Request
from crowpost.decisions.request_table import RequestTable
from crowpost.decisions.timers import TimerKind

MAX_UNPLACED = 3  # A pass over the queue ends after this many requests for which no endpoint is eligible
RETRY_AFTER_FRACTION = 0.2  # Retry-after time of a rejection, as a part of the latency objective


class Dispatcher:
    """Places queued requests at endpoints, sends their attempts, and answers those that are not served."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        queue: RequestQueue,
        endpoints: EndpointSet,
        limiter: ConcurrencyLimiter,
        selector: EndpointSelector,
        scorer: OutcomeScorer,
    ) -> None:
        self._context = context
        self._table = table
        self._queue = queue
        self._endpoints = endpoints
        self._limiter = limiter
        self._selector = selector
        self._scorer = scorer

    # ------------------------------------------------------------ the queue

    def drain_queue(self) -> None:
        """Place queued requests, those of the greatest priority weight first."""
        entries = self._queue.entries
        position = 0
        while position < len(entries) and position < MAX_UNPLACED:
            request = entries[position][2]
            if not self._limiter.admits(len(self._table.waiting), request.limit_fraction):
                break  # Otherwise a request of less weight could pass by drawing a smaller limit_fraction
            if not self.place(request, last_resort=False):
                position += 1
        if entries:
            self._queue.schedule_recheck()

    def expire(self, request: Request) -> None:
        """Send a request that has waited its full time to any endpoint that the rules allow, or answer it."""
        admitted = self._limiter.admits(len(self._table.waiting), request.limit_fraction)
        if not (admitted and self.place(request, last_resort=True)):
            self.finish_unserved(request)

    # ------------------------------------------------------------ sending

    def place(self, request: Request, last_resort: bool) -> bool:
        """Send the request's next attempt if an endpoint is eligible; return whether it was sent."""
        endpoint = self._selector.draw(request, last_resort, len(self._table.waiting))
        return endpoint is not None and self._send(request, endpoint)

    def _send(self, request: Request, endpoint: Endpoint) -> bool:
        """Send an attempt.  Rules 1 to 3 are enforced here; the draw has enforced rule 4."""
        context = self._context
        settings = context.settings
        if (
            self._table.requests.get(request.id) is not request
            or request.response_started
            or request.deadline - context.now <= settings.tick_ms
            or len(request.attempts) >= settings.max_attempts
            or not self._selector.is_permitted(request, endpoint)
        ):
            return False
        self._queue.remove(request)
        send_before = request.window_end_ms() - settings.tick_ms
        send = Send(request.id, endpoint.entry.server, 0.0, send_before)
        key = (request.id, len(request.attempts))
        attempt = Attempt(endpoint, endpoint.entry, context.now, request.units)
        request.attempts.append(attempt)
        request.in_flight += 1
        if request.body_streamed:
            self._table.streaming[key] = attempt
        else:
            self._table.start_waiting(key, attempt, context.now)
        endpoint.slow_start_tokens -= request.units
        self._endpoints.send_rate.add(request.units, context.now)
        self.schedule_hedge(request)
        context.actions.append(send)
        return True

    def schedule_hedge(self, request: Request) -> None:
        """Set a timer for when the attempt is overdue, if a further one could still answer in time."""
        overdue_at = self._context.now + self._scorer.overdue_after(request)
        has_attempts = len(request.attempts) < self._context.settings.max_attempts
        if not (request.is_repeatable() and has_attempts):
            return
        if overdue_at + self._scorer.class_expected[request.class_index].mean < request.deadline:
            self._context.timers.at(overdue_at, TimerKind.HEDGE, request.id)

    # ------------------------------------------------------------ answering

    def finish_unserved(self, request: Request) -> None:
        """Give the final answer to a request that is not served: a rejection if rule 2 allows it."""
        if self._table.requests.pop(request.id, None) is None:
            return
        self._queue.remove(request)
        settings = self._context.settings
        rejected = any(attempt.outcome is Outcome.REJECTED for attempt in request.attempts)
        if rejected or (request.first_risky_attempt() is not None and not _is_safe_to_repeat(request)):
            self._context.actions.append(Fail(request.id))
        else:
            objective_ms = request.request_class.latency_objective_ms
            wait = min(RETRY_AFTER_FRACTION * objective_ms, settings.max_retry_after_ms)
            self._context.actions.append(Reject(request.id, wait if settings.retry_after else 0.0))
        self.cancel_attempts(request, None)

    def cancel_attempts(self, request: Request, answered_by: int | None) -> None:
        """Cancel the open attempts of a request, except the one that answers it."""
        if not self._context.settings.may_cancel or not request.in_flight:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.outcome is None and number != answered_by:
                self._context.actions.append(Cancel(request.id, number, answered_by is not None))


def _is_safe_to_repeat(request: Request) -> bool:
    """Return whether the client may send the request again although an attempt may have run."""
    effect = request.request_class.effect
    scope = request.request_class.idempotency_scope
    return effect is Effect.SAFE or (effect is Effect.KEYED and scope is IdempotencyScope.ALL)
