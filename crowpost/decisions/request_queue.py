"""The requests that wait for an eligible endpoint, ordered by priority weight and then age."""

from __future__ import annotations

import math
from bisect import insort

from crowpost.decisions.context import Context
from crowpost.decisions.request_state import Request
from crowpost.decisions.timers import TimerKind

# Part of the latency objective that a request may wait; a client that is rejected then can still retry in
# time.
QUEUE_FRACTION = 0.1
MAX_BUDGET_FRACTION = 0.5  # Greatest part of the time left that a request may wait
RECHECK_FRACTION = 0.02  # Time between checks of the queue, as a part of the latency objective


class RequestQueue:
    """Queued requests, each with its own time limit, and the timer that checks them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._recheck_at = math.inf
        # Negative priority weight, sequence and request, in the order in which they are to be sent.
        self.entries: list[tuple[float, int, Request]] = []

    def __len__(self) -> int:
        return len(self.entries)

    def push(self, request: Request, max_wait_ms: float) -> None:
        """Queue a request for at most max_wait_ms."""
        request.queue_until = self._context.now + max_wait_ms
        request.queued = True
        insort(self.entries, (-request.priority_weight, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Remove a request if it is queued."""
        if request.queued:
            request.queued = False
            self.entries.remove((-request.priority_weight, request.sequence, request))

    def take_expired(self) -> list[Request]:
        """Record that the timer has fired, and return the requests that have waited their full time."""
        self._recheck_at = math.inf
        now = self._context.now
        return [request for _, _, request in self.entries if request.queue_until <= now]

    def schedule_recheck(self) -> None:
        """Set the timer for the next check of the queue, unless one is set that is as early."""
        regular = self._context.now + RECHECK_FRACTION * self._context.latency_objective_ms
        at = min(regular, min(request.queue_until for _, _, request in self.entries))
        if at < self._recheck_at:
            self._recheck_at = at
            self._context.timers.at(at, TimerKind.RECHECK_QUEUE)
