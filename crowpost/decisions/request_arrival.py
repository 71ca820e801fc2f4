"""The arrival of a request: its work, priority weight and deadline, and its entry into the queue."""

from __future__ import annotations

import math

from crowpost.decision_api import RequestArrived, UnexpectedEventError
from crowpost.decisions.context import Context
from crowpost.decisions.quotas import TenantQuotas
from crowpost.decisions.request_queue import MAX_BUDGET_FRACTION, QUEUE_FRACTION, RequestQueue
from crowpost.decisions.request_state import Request
from crowpost.decisions.request_table import RequestTable
from crowpost.decisions.retry_budget import RetryBudget

COST_STEP = 0.02  # The mean cost moves by this part of its distance to a new cost hint


class ArrivalHandler:
    """Handles the arrival of requests."""

    def __init__(
        self,
        context: Context,
        table: RequestTable,
        queue: RequestQueue,
        quotas: TenantQuotas,
        budget: RetryBudget,
    ) -> None:
        self._context = context
        self._table = table
        self._queue = queue
        self._quotas = quotas
        self._budget = budget
        self._mean_cost_ms = 0.0  # Mean of the cost hints

    def on_arrived(self, event: RequestArrived) -> None:
        """Queue a new request."""
        context = self._context
        settings = context.settings
        request_id = event.request
        if not 0 <= event.class_index < len(settings.classes):
            raise UnexpectedEventError(f"request {request_id} is of unknown class {event.class_index}")
        if request_id in self._table.requests:
            raise UnexpectedEventError(f"request {request_id} arrived twice")
        request_class = settings.classes[event.class_index]
        units = self._units(event.cost_hint_ms)
        weight = request_class.priority_weight
        if not settings.priority_by_work:
            weight = weight / units
        weight *= 1.0 if self._quotas.take(event.tenant) else settings.over_quota_weight
        deadline = math.inf if event.body_streamed else context.now + event.budget_ms
        request = Request(
            id=request_id,
            request_class=request_class,
            class_index=event.class_index,
            deadline=deadline,
            units=units,
            priority_weight=weight,
            sequence=context.next_number(),
            body_streamed=event.body_streamed,
        )
        request.limit_fraction = context.rng.random()
        self._table.requests[request_id] = request
        self._budget.earn()
        # A request waits a part of its objective at the first tier.  In inner tiers it may wait longer, since
        # rejecting it would waste the work done for it.
        max_wait = MAX_BUDGET_FRACTION * event.budget_ms
        if settings.tier == 0:
            max_wait = min(QUEUE_FRACTION * request_class.latency_objective_ms, max_wait)
        self._queue.push(request, max_wait)

    def _units(self, cost_hint_ms: float | None) -> float:
        """Return the work of a request as a multiple of the mean, by its cost hint."""
        if cost_hint_ms is None or cost_hint_ms <= 0:
            return 1.0
        self._mean_cost_ms += (cost_hint_ms - self._mean_cost_ms) * (COST_STEP if self._mean_cost_ms else 1.0)
        return cost_hint_ms / self._mean_cost_ms
