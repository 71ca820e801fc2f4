"""Scoring of outcomes: what each one shows about its endpoint, its request class and the load."""

from __future__ import annotations

from crowpost.decision_api import AttemptEnded, Outcome
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.estimators import ExpectedLatency
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.request_state import Attempt, Request

FULL_PAUSE_FRACTION = 0.02  # Pause of an endpoint that was full, as a part of the latency objective
# Pause of an endpoint that gave no other response during an overdue attempt, as a multiple of its latency.
OVERDUE_PAUSE_FACTOR = 2.0
# An endpoint that rejects an attempt as full gets fewer at once.  Its in-flight limit then rises by
# IN_FLIGHT_INCREASE for each limit's worth of responses.
IN_FLIGHT_DECREASE_FACTOR = 0.9
IN_FLIGHT_INCREASE = 0.25
COST_FRACTION = 0.5  # Part of a latency that is proportional to the work
FAILURES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED})
# Outcomes of an attempt whose body or response is streaming that do not count against its endpoint.
NOT_A_FAULT = frozenset({Outcome.OK, Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT})
WITHDRAWN = frozenset({Outcome.TIMEOUT, Outcome.CANCELLED})


def latency_factor(units: float) -> float:
    """Return the expected latency of `units` of work as a multiple of that of mean work."""
    return (1.0 - COST_FRACTION) + COST_FRACTION * units


class OutcomeScorer:
    """Learns from the outcomes of attempts.  in_flight: number of attempts that wait at endpoints."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointSet,
        outliers: OutlierDetector,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._outliers = outliers
        self._limiter = limiter
        self._expected = outliers.expected
        self.class_expected = [ExpectedLatency() for _ in context.settings.classes]

    def overdue_after(self, request: Request) -> float:
        """Return how long an attempt may take in ms; heavy work, by its cost hint, may take longer.

        Otherwise heavy requests were hedged, which is the most expensive kind of hedging: on a day without
        faults those were one attempt in a hundred, but a twelfth of all work.
        """
        expected = self.class_expected[request.class_index]
        return expected.overdue_after() * latency_factor(max(1.0, request.units))

    def score(self, attempt: Attempt, event: AttemptEnded, request: Request | None, in_flight: int) -> None:
        """Learn from the outcome of an attempt.  request: None if it is answered already."""
        outcome = event.outcome
        elapsed = event.elapsed_ms
        endpoint = attempt.endpoint
        now = self._context.now
        if outcome is Outcome.REJECTED:
            # This shows only that the endpoint responds.  Counted as failures, the invalid requests of one
            # client ejected every endpoint in turn.
            endpoint.last_response_at = now
            return
        if elapsed > self._expected.overdue_after() and now - endpoint.last_response_at >= elapsed:
            # This overdue outcome is all that is known about the endpoint.  Where requests are few, an
            # average of seven spans most of a minute, and whatever overloaded or stopped the endpoint is
            # still there.
            self._outliers.pause_if_allowed(endpoint, OVERDUE_PAUSE_FACTOR * elapsed)
        if outcome is Outcome.OK:
            self.score_response(elapsed, attempt, request, in_flight)
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED
            and now - endpoint.last_response_at < self._expected.overdue_after()
        ):
            self._score_full(attempt, elapsed, in_flight)
        elif outcome in FAILURES:
            self._score_failure(attempt, outcome, elapsed)
        elif outcome in WITHDRAWN and request is not None:  # None if another attempt was faster
            self._score_withdrawn(attempt, event, request, in_flight)

    def score_streaming(self, attempt: Attempt, outcome: Outcome) -> None:
        """Learn from the outcome of a streaming attempt, whose duration depends on the client, too."""
        if outcome not in NOT_A_FAULT:
            self._outliers.record_failure(attempt.endpoint, outcome)

    def score_response(
        self, elapsed: float, attempt: Attempt, request: Request | None, in_flight: int
    ) -> None:
        """Learn from a response, or from the start of a long one."""
        endpoint = attempt.endpoint
        objective_ms = self._context.latency_objective_ms
        endpoint.last_response_at = self._context.now
        endpoint.in_flight_limit += IN_FLIGHT_INCREASE / endpoint.in_flight_limit
        self._expected.observe(elapsed)
        if request is not None:
            self.class_expected[request.class_index].observe(elapsed)
            objective_ms = request.request_class.latency_objective_ms
        # The latency of heavy work shows little about the endpoint or the load, so the part of it that the
        # cost hint explains is divided out.
        normalized = elapsed / latency_factor(attempt.units)
        self._limiter.load.observe_response(normalized)
        self._limiter.update(elapsed / objective_ms, in_flight)
        self._endpoints.automaton.record_response(endpoint.entry.server, normalized)
        self._outliers.record_success(endpoint)

    def _score_full(self, attempt: Attempt, elapsed: float, in_flight: int) -> None:
        """Learn from a rejection by a full endpoint.

        An endpoint that answers other requests but accepts no further request or connection is full, not
        dead.  Without an in-flight limit such endpoints rejected thousands of requests a second, at the cost
        of a handshake each, and the ejection of full endpoints overloaded the remaining ones.
        """
        endpoint = attempt.endpoint
        lowered = IN_FLIGHT_DECREASE_FACTOR * min(endpoint.in_flight_limit, len(endpoint.in_flight))
        endpoint.in_flight_limit = max(1.0, lowered)
        self._outliers.pause(endpoint, FULL_PAUSE_FRACTION * self._context.latency_objective_ms)
        # A rejected attempt is not part of the load that endpoints carry.
        self._endpoints.send_rate.add(-attempt.units, self._context.now)
        self._endpoints.automaton.record_failure(endpoint.entry.server, elapsed)
        self._limiter.update(1.0, in_flight)

    def _score_failure(self, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        endpoint = attempt.endpoint
        if outcome is Outcome.ERROR:
            endpoint.last_response_at = self._context.now
        self._endpoints.automaton.record_failure(endpoint.entry.server, elapsed)
        if _is_same_process(attempt, endpoint):
            self._outliers.record_failure(endpoint, outcome)

    def _score_withdrawn(
        self, attempt: Attempt, event: AttemptEnded, request: Request, in_flight: int
    ) -> None:
        """Learn from an attempt that was cancelled or timed out.

        Its latency would have been at least as long; leaving it out would shorten the expected latency.
        """
        endpoint = attempt.endpoint
        elapsed = event.elapsed_ms
        self._expected.observe(elapsed)
        self.class_expected[request.class_index].observe(elapsed)
        self._limiter.update(elapsed / request.request_class.latency_objective_ms, in_flight)
        self._endpoints.automaton.record_failure(endpoint.entry.server, elapsed)
        if _is_same_process(attempt, endpoint) and elapsed >= self._expected.overdue_after():
            self._outliers.record_failure(endpoint, event.outcome)


def _is_same_process(attempt: Attempt, endpoint: Endpoint) -> bool:
    """Return whether the endpoint has not restarted since the attempt was sent."""
    return attempt.entry.started_ms == endpoint.entry.started_ms
