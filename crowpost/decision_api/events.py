"""Events that the host feeds to the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.decision_api.endpoints import EndpointEntry, ListKind, RememberedEndpoint
from crowpost.decision_api.errors import UnexpectedEventError
from crowpost.decision_api.outcomes import EndpointId, Outcome, RequestId


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A full endpoint list, or changes to it; an endpoint that a full list does not contain is gone."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which must get exactly one final answer within budget_ms.

    Attributes:
        cost_hint_ms: The client's estimate of the request's work; None if it gives none.
        is_repeat: Whether the client has sent it before, with the same idempotency key.
        body_streamed: Whether its body is too long to be buffered; the budget then runs from the body's last
            byte, see BodySent.
    """

    request: RequestId
    class_index: int
    budget_ms: float
    tenant: int = 0
    key: int = 0
    cost_hint_ms: float | None = None
    is_repeat: bool = False
    is_write: bool = False
    body_streamed: bool = False


@dataclass(frozen=True, slots=True)
class BodySent:
    """The last byte of a streamed body has reached the attempt's endpoint, which starts work on it now."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response to an attempt has begun and is being passed on to the client."""

    request: RequestId
    attempt: int
    server: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The outcome of an attempt; each attempt has exactly one.

    Attributes:
        finished: Whether the request needs no further answer.
        load: The endpoint's load report, in the order of `load_report_columns` of the settings.
        body_consumed: Whether the attempt used up a streamed body, which cannot be sent again.
    """

    request: RequestId
    attempt: int
    server: EndpointId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load: tuple[float, ...] = ()
    body_consumed: bool = False


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client has disconnected or its deadline has passed; the request needs no answer."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    server: EndpointId
    outcome: Outcome
    elapsed_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set by SetTimer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node of the tier; the decision module ignores these."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NodesPresent:
    """The number of nodes of the tier that are present, and this node's index among them, counted from 0.

    Both replace `node_count` and `node_index` of the settings.  Raise UnexpectedEventError if the index is
    not below the count.
    """

    node_count: int
    node_index: int

    def __post_init__(self) -> None:
        if not 0 <= self.node_index < self.node_count:
            raise UnexpectedEventError(
                f"node_index {self.node_index} is out of range for {self.node_count} nodes"
            )


@dataclass(frozen=True, slots=True)
class StateRestored:
    """What an earlier process of this node learned; the host sends it once, after the first endpoint list.

    Attributes:
        limit_each: The earlier process's concurrency limit for each unit of capacity in this node's part of
            the endpoints; 0 if unknown.
    """

    endpoints: tuple[RememberedEndpoint, ...]
    limit_each: float = 0.0
    limit_age_ms: float = 0.0


Event = (
    EndpointList
    | RequestArrived
    | BodySent
    | ResponseStarted
    | AttemptEnded
    | RequestAbandoned
    | HealthCheckEnded
    | TimerFired
    | PeerMessage
    | NodesPresent
    | StateRestored
)
