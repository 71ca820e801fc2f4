"""Settings of a decision instance: request classes, tenants and limits.  Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from crowpost.decision_api.errors import InvalidSettingsError

MIN_DURATION_MS = 1e-6  # of what must take some time


def _check(values: object, names: tuple[str, ...], least: float) -> None:
    """Raise InvalidSettingsError where a field is below the least value, infinite or not a number."""
    for name in names:
        value = getattr(values, name)
        if not least <= value < float("inf"):
            raise InvalidSettingsError(f"{name} is out of range: {value}")


class Effect(Enum):
    """What a second execution of a request would do: nothing, nothing within a scope and window, or harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class IdempotencyScope(Enum):
    """The endpoints that together execute a request with an idempotency key once."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and what an answer to it is worth.

    Attributes:
        latency_objective_ms: an answer later than this is worth `late_value_fraction` of one in time.
        deadline_ms: time after which no answer is of use.
        priority_weight: worth against other classes, for the order of the queue.
        effect: what a second execution would do.
        idempotency_scope: where repeats of a keyed request are dropped.
        idempotency_window_ms: how long they are, from the first attempt on.
        stream: its response is a stream, whose end is not waited for.
        objective_stretch: extra time on the objective, as a multiple of the request's work.
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
    """One of those who share the service; its quota is of all nodes of the first tier together."""

    name: str
    fraction: float
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told at its start.

    Attributes:
        node_count: nodes of this tier that share the endpoints.
        node_index: this node's place among them, from 0 on.
        tier: 0 for nodes that clients reach; tiers: how many there are.
        max_attempts: of one request, with retries and hedged requests.
        retry_after: whether a rejection names a time, up to `max_retry_after_ms`.
        priority_by_work: a request's worth grows with its work.
        over_quota_weight: factor of the weight of requests over their tenant's quota.
        poll_for_list: the endpoint list has to be polled, within `list_poll_ms`.
        capacity_hints: whether entries of the list tell of capacity.
        passes_deadline: an endpoint that calls the next tier passes on the time left.
        answer_slack_ms: time after the client's deadline in which a final answer still counts.
        drain_grace_ms: time in which sends to a draining or gone endpoint must end.
        slow_start_fraction: capacity of an endpoint at its start; full after `warm_up_ms`.
        overload_factor: times its present capacity, sent for `overload_window_ms`, that a warming endpoint
            does not survive.
        connect_timeout_ms: time that a dial takes at the most.
        tick_ms: resolution of the host's clock.
        cross_zone_price: price of a request to another zone; 0 where it has none.
        load_report_columns: names of the numbers in a load report.
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
