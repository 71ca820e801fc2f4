"""Actions that the decision module asks its host to carry out."""

from __future__ import annotations

import math
from dataclasses import dataclass

from crowpost.decision_api.outcomes import EndpointId, RequestId


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt.

    Attributes:
        timeout_ms: Longest wait for the attempt; 0 means until the client gives up.
        before_ms: Time before which the attempt must be written to the endpoint.  After it the host must not
            send the attempt, which then ends as NOT_SENT.
    """

    request: RequestId
    server: EndpointId
    timeout_ms: float = 0.0
    before_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request was not served, and the client may safely retry it."""

    request: RequestId
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request was not served, with no promise that a retry is harmless."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt.

    Attributes:
        answered: Whether another attempt has answered the request.  If so, this one may be left to finish, so
            that its connection can be reused.
    """

    request: RequestId
    attempt: int
    answered: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event with this token at or after at_ms."""

    token: int
    at_ms: float


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of an endpoint."""

    server: EndpointId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    server: EndpointId


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for the endpoint list and its further changes; the reply is an EndpointList event."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdle | Subscribe | Log
