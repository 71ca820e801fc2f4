"""Events that the host feeds to the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.decision_api.endpoints import EndpointEntry, ListKind, RememberedEndpoint
from crowpost.decision_api.errors import UnexpectedEventError
from crowpost.decision_api.outcomes import EndpointId, Outcome, RequestId


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A whole endpoint list, or changes of it; an endpoint that a whole list lacks is gone."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which is owed one final answer within budget_ms.

    Attributes:
        cost_hint_ms: its work, by what the client foretells; None where it does not.
        is_repeat: the client has sent it before, with the same key.
        body_streamed: its body is too long to be held; the budget runs from its last byte, see BodySent.
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
    """The last byte of a streamed body has reached the attempt's endpoint, which works from now on."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response to an attempt has begun, and is passed on to the client."""

    request: RequestId
    attempt: int
    server: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt.

    Attributes:
        finished: the request needs no further answer.
        load: the endpoint's load report, by the settings' columns.
        body_consumed: a streamed body went with it and cannot be sent again.
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
    """The client has left, or its time is over; no answer is owed."""

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
    """A timer that SetTimer asked for is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another node of the tier; the module makes no use of these."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NodesPresent:
    """The number of present nodes of the tier, and this one's place among them, from 0 on.

    They replace `node_count` and `node_index` of the settings.  Raise UnexpectedEventError where the place is
    not below the number.
    """

    node_count: int
    node_index: int

    def __post_init__(self) -> None:
        if not 0 <= self.node_index < self.node_count:
            raise UnexpectedEventError(f"place {self.node_index} among {self.node_count} nodes")


@dataclass(frozen=True, slots=True)
class StateRestored:
    """What an earlier process of this node learned; to be fed once, after the first list.

    Attributes:
        limit_each: its concurrency limit for each unit of capacity of its own part; 0: not known.
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
