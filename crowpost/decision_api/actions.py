"""Actions that the decision module asks its host to carry out."""

from __future__ import annotations

import math
from dataclasses import dataclass

from crowpost.decision_api.outcomes import EndpointId, RequestId


@dataclass(frozen=True, slots=True)
class Send:
    """Start the request's next attempt.

    Attributes:
        timeout_ms: 0: wait until the client gives up.
        before_ms: an attempt that has not been written by then must not be, and ends as NOT_SENT.
    """

    request: RequestId
    server: EndpointId
    timeout_ms: float = 0.0
    before_ms: float = math.inf


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not served, and a retry by the client is harmless."""

    request: RequestId
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and nothing is promised."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt.

    Attributes:
        answered: another copy has brought the answer, and this one may still end to free its connection.
    """

    request: RequestId
    attempt: int
    answered: bool = False


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at or after at_ms."""

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
    """Ask discovery for changes from now on; answered by an EndpointList."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Reject | Fail | Cancel | SetTimer | HealthCheck | CloseIdle | Subscribe | Log
