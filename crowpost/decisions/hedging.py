"""Hedging: a second copy of a request whose attempt is overdue."""

from __future__ import annotations

from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.dispatch import Dispatcher
from crowpost.decisions.outcome_scoring import OutcomeScorer
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.request_state import Request
from crowpost.decisions.retry_budget import RetryBudget


class Hedger:
    """Hedges overdue attempts, or withdraws and repeats them where copies are forbidden."""

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
        """Look at a request whose attempt may be overdue by now.  None: it has finished."""
        if request is None or not request.in_flight or request.queued or request.response_started:
            return
        self._hedge(request)

    def _hedge(self, request: Request) -> None:
        """Send a second copy.

        Only if the endpoint has become unresponsive: one that goes on answering others is merely busy with
        long work, and giving that up would waste it and feed the next queue (seen as 14% of attempts timed
        out on a quiet day).  And only while the budget lasts and nothing is overloaded.
        """
        overdue_after = self._scorer.overdue_after(request)
        open_attempts = (attempt for attempt in request.attempts if attempt.outcome is None)
        if not all(self._outliers.is_unresponsive(a.endpoint, overdue_after) for a in open_attempts):
            self._dispatcher.schedule_hedge(request)
        elif self._budget.allows() and self._limiter.load.load_ratio < 1.0:
            if not self._context.settings.may_hedge:
                self._dispatcher.cancel_attempts(request, None)
            elif self._dispatcher.place(request, last_resort=False):
                self._budget.spend()
