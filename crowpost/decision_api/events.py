"""Events that the host feeds to the decision module."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.decision_api.endpoints import EndpointEntry, ListKind, RememberedEndpoint
from crowpost.decision_api.errors import UnexpectedEventError
from crowpost.decision_api.outcomes import EndpointId, Outcome, RequestId


@dataclass(frozen=True, slots=True)
class EndpointList:
    """News of the server list; a server absent from a whole list is gone."""

    kind: ListKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request, which is owed one final answer within budget_ms."""

    request: RequestId
    class_index: int
    budget_ms: float
    tenant: int = 0
    key: int = 0
    cost_hint_ms: float | None = None
    is_repeat: bool = False
    is_write: bool = False
    streamed: bool = False  # its body is too long to be held: time runs from its last byte, see BodySent


@dataclass(frozen=True, slots=True)
class BodySent:
    """A streamed body has reached the attempt's server to the last byte: from now on the server works."""

    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed or long answer has begun; the attempt now belongs to the client."""

    request: RequestId
    attempt: int
    server: EndpointId
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt.  finished: the request needs no further answer."""

    request: RequestId
    attempt: int
    server: EndpointId
    outcome: Outcome
    elapsed_ms: float
    finished: bool
    load: tuple[float, ...] = ()
    body_consumed: bool = False  # a streamed body went with it and cannot be sent again


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The client left, or its time is over; no answer is owed."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a probe."""

    server: EndpointId
    outcome: Outcome
    elapsed_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for by SetTimer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another balancer of the tier; the module makes no use of these."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NodesPresent:
    """So many nodes of the tier are present, and this one has this place among them, from 0 on.

    It takes the place of `balancers` and `ordinal` in the settings from now on.
    """

    present: int
    node_index: int

    def __post_init__(self) -> None:
        if not 0 <= self.node_index < self.present:
            raise UnexpectedEventError(f"place {self.node_index} among {self.present} nodes")


@dataclass(frozen=True, slots=True)
class StateRestored:
    """What an earlier process of this node knew; to be told once, after the first list.

    limit_each: calls that it would let out for each unit of capacity that is its own part; 0: not known.
    """

    servers: tuple[RememberedEndpoint, ...]
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
