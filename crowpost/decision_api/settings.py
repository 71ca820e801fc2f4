"""Settings of a decision instance: request classes, tenants and limits.  Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from crowpost.decision_api.errors import InvalidSettingsError

MIN_DURATION_MS = 1e-6  # Least value of durations that must not be 0


def _check(values: object, names: tuple[str, ...], least: float) -> None:
    """Raise InvalidSettingsError if a field is below the least value, infinite or not a number."""
    for name in names:
        value = getattr(values, name)
        if not least <= value < float("inf"):
            raise InvalidSettingsError(f"{name} is out of range: {value}")


class Effect(Enum):
    """What a second execution of a request would do.

    SAFE: no harm.  KEYED: no harm within the scope and window of its idempotency key.  UNSAFE: harm.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class IdempotencyScope(Enum):
    """The endpoints among which repeats of a request with the same idempotency key are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and the value of an answer to one.

    Attributes:
        latency_objective_ms: Latency up to which an answer has its full value; a later one is worth
            `late_value_fraction` of that.
        deadline_ms: Time after which an answer has no value.
        priority_weight: Value relative to other classes, for the order of the queue.
        effect: What a second execution would do.
        idempotency_scope: The endpoints among which repeats of a keyed request are dropped.
        idempotency_window_ms: How long repeats are dropped, counted from the first attempt.
        stream: Whether the response is a stream, whose end is not waited for.
        objective_stretch: Extra time on the latency objective, as a multiple of the request's work.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    effect: Effect = Effect.SAFE
    idempotency_scope: IdempotencyScope = IdempotencyScope.ALL
    idempotency_window_ms: float = 0.0
    stream: bool = False
    objective_stretch: float = 0.0

    def __post_init__(self) -> None:
        _check(self, ("latency_objective_ms", "deadline_ms"), MIN_DURATION_MS)
        _check(
            self,
            ("priority_weight", "late_value_fraction", "idempotency_window_ms", "objective_stretch"),
            0.0,
        )


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the service; its quota covers all nodes of the first tier together."""

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that an instance of the decision module starts with.

    Attributes:
        node_count: Number of nodes of this tier, which share the endpoints.
        node_index: This node's index among them, counted from 0.
        tier: Index of this node's tier; 0 for the nodes that clients reach.
        tiers: Number of tiers.
        max_attempts: Most attempts for one request, retries and hedged requests included.
        retry_after: Whether a rejection names a time to retry after, up to `max_retry_after_ms`.
        priority_by_work: Whether the value of a request grows with its work.
        over_quota_weight: Factor on the priority weight of requests that exceed their tenant's quota.
        poll_for_list: Whether the endpoint list has to be polled, within `list_poll_ms`.
        capacity_hints: Whether entries of the endpoint list carry capacities.
        passes_deadline: Whether an endpoint that calls the next tier passes on the time left.
        answer_slack_ms: Time after the client's deadline in which a final answer still counts.
        drain_grace_ms: Time within which sends to a draining or gone endpoint must end.
        slow_start_fraction: Part of its capacity that an endpoint has when it starts; all of it after
            `warm_up_ms`.
        overload_factor: Multiple of its present capacity that overloads a warming endpoint when sent for
            `overload_window_ms`.
        connect_timeout_ms: Longest time that connecting takes.
        tick_ms: Resolution of the host's clock.
        cross_zone_price: Price of a request to another zone; 0 if it has none.
        load_report_columns: Names of the numbers in a load report.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    node_count: int = 1
    node_index: int = 0
    tier: int = 0
    tiers: int = 1
    zone: int = 0
    zones: int = 1
    max_attempts: int = 3
    may_hedge: bool = True
    may_cancel: bool = True
    may_check_health: bool = False
    retry_after: bool = True
    max_retry_after_ms: float = 1000.0
    priority_by_work: bool = False
    over_quota_weight: float = 1.0
    poll_for_list: bool = False
    list_poll_ms: float = 10_000.0
    capacity_hints: bool = False
    passes_deadline: bool = True
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_fraction: float = 0.3
    warm_up_ms: float = 10_000.0
    overload_factor: float = 3.0
    overload_window_ms: float = 1000.0
    connect_timeout_ms: float = 250.0
    tick_ms: float = 1.0
    cross_zone_price: float = 0.0
    load_report_columns: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidSettingsError("classes is empty")
        _check(self, ("node_count", "tiers", "max_attempts"), 1)
        _check(self, ("tier", "warm_up_ms", "slow_start_fraction", "overload_window_ms", "tick_ms"), 0.0)
        _check(self, ("max_retry_after_ms", "over_quota_weight", "cross_zone_price", "answer_slack_ms"), 0.0)
        _check(self, ("list_poll_ms",), MIN_DURATION_MS)
