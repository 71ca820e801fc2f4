"""Handling of the progress and outcomes of attempts, and what follows for their requests."""

from __future__ import annotations

from crowpost.decision_api import (
    AttemptEnded,
    BodySent,
    Outcome,
    RequestAbandoned,
    ResponseStarted,
    UnexpectedEventError,
)
from crowpost.decisions.context import Context
from crowpost.decisions.dispatch import Dispatcher
from crowpost.decisions.endpoint_selection import EndpointSelector
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import AttemptKey
from crowpost.decisions.outcome_scoring import OutcomeScorer
from crowpost.decisions.request_queue import MAX_BUDGET_FRACTION, QUEUE_FRACTION, RequestQueue
from crowpost.decisions.request_state import Request
from crowpost.decisions.request_table import RequestTable
from crowpost.decisions.retry_budget import RetryBudget

MIN_TICKS_LEFT = 2  # Clock ticks that must be left before the deadline for a retry


class AttemptHandler:
    """Handles events of attempts and of clients that have disconnected."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        queue: RequestQueue,
        endpoints: EndpointSet,
        dispatcher: Dispatcher,
        selector: EndpointSelector,
        scorer: OutcomeScorer,
        budget: RetryBudget,
    ) -> None:
        self._context = context
        self._table = table
        self._queue = queue
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._selector = selector
        self._scorer = scorer
        self._budget = budget

    def on_abandoned(self, event: RequestAbandoned) -> None:
        """Drop a request whose client has disconnected."""
        request = self._table.requests.pop(event.request, None)
        if request is not None:  # None if the request has finished already
            self._queue.remove(request)
            self._dispatcher.cancel_attempts(request, None)

    # ------------------------------------------------------------ progress

    def on_body_sent(self, event: BodySent) -> None:
        """Count an attempt as waiting at its endpoint once the last byte of its body was sent."""
        key = (event.request, event.attempt)
        if key not in self._table.streaming:
            raise UnexpectedEventError(f"attempt {key[1]} of request {key[0]} was sending no body")
        self._table.start_waiting(key, self._table.streaming.pop(key), self._context.now)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Commit a request to the attempt whose response has begun, and cancel its other attempts."""
        table = self._table
        key = (event.request, event.attempt)
        attempt = table.waiting.get(key)
        if key in table.streaming:
            return  # The endpoint has responded before it got the whole body
        if attempt is None:
            raise _not_in_flight(key)
        attempt.endpoint.last_response_at = self._context.now
        request = table.requests.get(event.request)
        if request is None:
            return
        if not request.request_class.stream:
            # The endpoint's work is done; how long the transfer takes depends on the client, too.
            table.streaming[key] = table.waiting.pop(key)
            table.stop_waiting(key, attempt.endpoint)
            self._scorer.score_response(event.elapsed_ms, attempt, request, len(table.waiting))
        request.response_started = True
        self._queue.remove(request)
        self._dispatcher.cancel_attempts(request, event.attempt)

    # ------------------------------------------------------------ outcomes

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Score an outcome, then finish the request, retry it, or leave it to its other attempts."""
        table = self._table
        key = (event.request, event.attempt)
        streaming = table.streaming.pop(key, None)
        attempt = streaming or table.waiting.pop(key, None)
        if attempt is None:
            raise _not_in_flight(key)
        attempt.outcome = event.outcome
        self._endpoints.record_load(attempt.endpoint, event.load)
        table.stop_waiting(key, attempt.endpoint)
        request = table.requests.get(event.request)
        if streaming is None or event.outcome is Outcome.FULL:
            self._scorer.score(attempt, event, request, len(table.waiting))
        else:
            self._scorer.score_streaming(attempt, event.outcome)
        if request is not None:
            self._follow_outcome(request, event)

    def _follow_outcome(self, request: Request, event: AttemptEnded) -> None:
        request.in_flight -= 1
        request.body_consumed |= event.body_consumed
        if event.finished:
            del self._table.requests[request.id]
            self._queue.remove(request)
            self._dispatcher.cancel_attempts(request, event.attempt)
        elif not request.in_flight and not request.queued and not request.response_started:
            self._retry_or_finish(request, event.outcome)

    def _retry_or_finish(self, request: Request, outcome: Outcome) -> None:
        time_left = request.deadline - self._context.now
        # A retry after an attempt that no endpoint has seen takes no token of the retry budget.
        costs_token = request.first_risky_attempt() is not None or outcome is Outcome.FULL
        if not self._may_retry(request, outcome, time_left, costs_token):
            self._dispatcher.finish_unserved(request)
            return
        if costs_token:
            self._budget.spend()
        max_wait = QUEUE_FRACTION * request.request_class.latency_objective_ms
        self._queue.push(request, min(max_wait, MAX_BUDGET_FRACTION * time_left))

    def _may_retry(self, request: Request, outcome: Outcome, time_left: float, costs_token: bool) -> bool:
        settings = self._context.settings
        expected = self._scorer.class_expected[request.class_index].mean
        return (
            outcome is not Outcome.REJECTED
            and len(request.attempts) < settings.max_attempts
            and time_left > max(expected, MIN_TICKS_LEFT * settings.tick_ms)
            and (not costs_token or self._budget.allows())
            and self._selector.may_go_anywhere(request)
        )


def _not_in_flight(key: AttemptKey) -> UnexpectedEventError:
    return UnexpectedEventError(f"attempt {key[1]} of request {key[0]} was not out")
