"""What an outcome says of its endpoint, its class and the load."""

from __future__ import annotations

from crowpost.decision_api import AttemptEnded, Outcome
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.estimators import ExpectedLatency
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.request_state import Attempt, Request

FULL_PAUSE_FRACTION = 0.02  # of the latency objective, for an endpoint that was full
OVERDUE_PAUSE_FACTOR = 2.0  # times the latency, for one that gave no other response during an overdue attempt
# An endpoint that refused an attempt gets fewer at once; its limit rises by this much for each full turn.
IN_FLIGHT_DECREASE_FACTOR = 0.9
IN_FLIGHT_INCREASE = 0.25
COST_FRACTION = 0.5  # of a latency that hangs on the work
FAILURES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED})
# How an attempt ends, while its body or response streams, without a fault of its endpoint.
NOT_A_FAULT = frozenset({Outcome.OK, Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT})
WITHDRAWN = frozenset({Outcome.TIMEOUT, Outcome.CANCELLED})


def latency_factor(units: float) -> float:
    """Return the latency of so much work, in those of mean work: half of it hangs on the work."""
    return (1.0 - COST_FRACTION) + COST_FRACTION * units


class OutcomeScorer:
    """Learns from the outcomes of attempts.  in_flight: those that still wait at an endpoint."""

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
        """Return how long an attempt may take in ms; heavy work longer, by what its cost hint foretells.

        Guards against hedged requests of what is merely heavy: the dearest there are, on a calm day a twelfth
        of all work with one attempt in a hundred.
        """
        expected = self.class_expected[request.class_index]
        return expected.overdue_after() * latency_factor(max(1.0, request.units))

    def score(self, attempt: Attempt, event: AttemptEnded, request: Request | None, in_flight: int) -> None:
        """Take in how an attempt ended.  request: None where it is answered already."""
        outcome = event.outcome
        elapsed = event.elapsed_ms
        endpoint = attempt.endpoint
        now = self._context.now
        if outcome is Outcome.REJECTED:
            # Says nothing of the endpoint but that it is there: counted as failures, one client's wrong
            # requests ejected every endpoint in turn.
            endpoint.last_response_at = now
            return
        if elapsed > self._expected.overdue_after() and now - endpoint.last_response_at >= elapsed:
            # All that is known of it is this one overdue outcome: where requests are few, an average of
            # seven spans most of a minute, and what crowded or stopped the endpoint is still there.
            self._outliers.pause_if_spared(endpoint, OVERDUE_PAUSE_FACTOR * elapsed)
        if outcome is Outcome.OK:
            self.score_response(elapsed, attempt, request, in_flight)
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED
            and now - endpoint.last_response_at < self._expected.overdue_after()
        ):
            self._score_full(attempt, elapsed, in_flight)
        elif outcome in FAILURES:
            self._score_failure(attempt, outcome, elapsed)
        elif outcome in WITHDRAWN and request is not None:  # else another copy was quicker
            self._score_withdrawn(attempt, event, request, in_flight)

    def score_streaming(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take in how a streaming attempt ended: its time tells of the client as much as of the endpoint."""
        if outcome not in NOT_A_FAULT:
            self._outliers.record_failure(attempt.endpoint, outcome)

    def score_response(
        self, elapsed: float, attempt: Attempt, request: Request | None, in_flight: int
    ) -> None:
        """Take in a response, or the start of a long one."""
        endpoint = attempt.endpoint
        objective_ms = self._context.latency_objective_ms
        endpoint.last_response_at = self._context.now
        endpoint.in_flight_limit += IN_FLIGHT_INCREASE / endpoint.in_flight_limit
        self._expected.observe(elapsed)
        if request is not None:
            self.class_expected[request.class_index].observe(elapsed)
            objective_ms = request.request_class.latency_objective_ms
        # Heavy work says little of its endpoint or the load: what the cost hint foretold is half taken out.
        normalized = elapsed / latency_factor(attempt.units)
        self._limiter.load.observe_response(normalized)
        self._limiter.update(elapsed / objective_ms, in_flight)
        self._endpoints.automaton.record_response(endpoint.entry.server, normalized)
        self._outliers.record_success(endpoint)

    def _score_full(self, attempt: Attempt, elapsed: float, in_flight: int) -> None:
        """Take in a refusal.

        An endpoint that answers others but takes no further request, or no further connection, is full, not
        dead.  Without a limit of its own thousands of requests a second bounced off such endpoints, at the
        cost of a handshake each, and the ejection of full endpoints pushed over the rest.
        """
        endpoint = attempt.endpoint
        lowered = IN_FLIGHT_DECREASE_FACTOR * min(endpoint.in_flight_limit, len(endpoint.in_flight))
        endpoint.in_flight_limit = max(1.0, lowered)
        self._outliers.pause(endpoint, FULL_PAUSE_FRACTION * self._context.latency_objective_ms)
        # What is refused is no load that endpoints bear.
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
        """Take in an attempt that was given up.

        It took at least this long: leaving it out would shorten the expected latency of the next.
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
    """Return whether the endpoint has not been started anew since the attempt was sent."""
    return attempt.entry.started_ms == endpoint.entry.started_ms
