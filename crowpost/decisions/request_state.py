"""What a node knows about a request and its attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from crowpost.decision_api import NEVER_RAN, Effect, EndpointEntry, Outcome, RequestClass, RequestId
from crowpost.decisions.endpoint_state import Endpoint


@dataclass(slots=True)
class Attempt:
    """One attempt: where and when it was sent, and its outcome (None while it is open)."""

    endpoint: Endpoint
    entry: EndpointEntry  # Entry of the endpoint at the time of sending
    sent_at: float
    units: float = 1.0
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the endpoint may have executed the attempt."""
        return self.outcome is None or self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Request:
    """A request that this node has to answer."""

    id: RequestId
    request_class: RequestClass
    class_index: int
    deadline: float
    units: float  # Work as a multiple of that of the mean request
    priority_weight: float
    sequence: int  # Order of arrival
    body_streamed: bool = False
    limit_fraction: float = 0.0  # Random in [0, 1); see ConcurrencyLimiter.admits
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    queue_until: float = 0.0
    queued: bool = False
    response_started: bool = False
    body_consumed: bool = False

    def is_repeatable(self) -> bool:
        """Return whether the request may be sent more than once at all."""
        return self.request_class.effect is not Effect.UNSAFE and not self.body_streamed

    def first_risky_attempt(self) -> Attempt | None:
        """Return the first attempt that may have been executed; None if there is none."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)

    def window_end_ms(self) -> float:
        """Return when the idempotency window ends; infinity if there is none or it has not begun."""
        first = self.first_risky_attempt()
        if first is None or self.request_class.effect is not Effect.KEYED:
            return math.inf
        return first.sent_at + self.request_class.idempotency_window_ms

    def has_tried(self, endpoint: Endpoint) -> bool:
        """Return whether an attempt was sent to this endpoint."""
        return any(attempt.endpoint is endpoint for attempt in self.attempts)
