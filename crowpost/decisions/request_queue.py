"""The requests that wait for a place, by priority weight and then age."""

from __future__ import annotations

import math
from bisect import insort

from crowpost.decisions.context import Context
from crowpost.decisions.request_state import Request
from crowpost.decisions.timers import TimerKind

QUEUE_FRACTION = 0.1  # of the latency objective that a request may wait: a rejected client retries in time
MAX_BUDGET_FRACTION = 0.5  # of the time left that a request may wait
RECHECK_FRACTION = 0.02  # of the latency objective, between looks at queued requests


class RequestQueue:
    """Requests that are queued, each until a time of its own, and the timer that looks at them again."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._recheck_at = math.inf
        self._entries: list[tuple[float, int, Request]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, position: int) -> Request:
        return self._entries[position][2]

    def push(self, request: Request, max_wait_ms: float) -> None:
        """Queue a request for so long at the most."""
        request.queue_until = self._context.now + max_wait_ms
        request.queued = True
        insort(self._entries, (-request.priority_weight, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Take a request out, if it is queued."""
        if request.queued:
            request.queued = False
            self._entries.remove((-request.priority_weight, request.sequence, request))

    def take_recheck(self) -> list[Request]:
        """Note that the timer is due, and return the requests that have waited their time."""
        self._recheck_at = math.inf
        now = self._context.now
        return [request for _, _, request in self._entries if request.queue_until <= now]

    def plan_recheck(self) -> None:
        """Set the timer for the next look, if any request is queued and none is set for as early."""
        if not self._entries:
            return
        regular = self._context.now + RECHECK_FRACTION * self._context.latency_objective_ms
        at = min(regular, min(request.queue_until for _, _, request in self._entries))
        if at < self._recheck_at:
            self._recheck_at = at
            self._context.timers.at(at, TimerKind.RECHECK_QUEUE)
