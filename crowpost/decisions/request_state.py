"""What a node knows of a request and its attempts."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from crowpost.decision_api import NEVER_RAN, Effect, EndpointEntry, Outcome, RequestClass, RequestId
from crowpost.decisions.endpoint_state import Endpoint


@dataclass(slots=True)
class Attempt:
    """One send: where, when, and how it ended (None before that)."""

    endpoint: Endpoint
    entry: EndpointEntry  # the endpoint's row at the time of sending
    sent_at: float
    units: float = 1.0
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the endpoint may have executed it."""
        return self.outcome is None or self.outcome not in NEVER_RAN


@dataclass(slots=True)
class Request:
    """A request that this node owes an answer."""

    id: RequestId
    request_class: RequestClass
    class_index: int
    deadline: float
    units: float  # work, as a multiple of the mean request's
    priority_weight: float
    sequence: int  # in order of arrival
    body_streamed: bool = False
    limit_fraction: float = 0.0  # drawn in [0, 1): settles the fraction of the concurrency limit
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    queue_until: float = 0.0
    queued: bool = False
    response_started: bool = False
    body_consumed: bool = False

    def is_repeatable(self) -> bool:
        """Return whether it may be sent twice at all."""
        return self.request_class.effect is not Effect.UNSAFE and not self.body_streamed

    def first_risky_attempt(self) -> Attempt | None:
        """Return the first attempt that may have run."""
        return next((attempt for attempt in self.attempts if attempt.may_have_run()), None)

    def window_end_ms(self) -> float:
        """Return when the idempotency window ends; infinity where there is none, or none has begun."""
        first = self.first_risky_attempt()
        if first is None or self.request_class.effect is not Effect.KEYED:
            return math.inf
        return first.sent_at + self.request_class.idempotency_window_ms

    def has_tried(self, endpoint: Endpoint) -> bool:
        """Return whether an attempt was sent to this endpoint."""
        return any(attempt.endpoint is endpoint for attempt in self.attempts)
