"""Identifiers of endpoints and requests, and the outcomes of attempts."""

from __future__ import annotations

from enum import Enum

EndpointId = bytes
RequestId = int


class Outcome(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    REJECTED = "rejected"  # The request itself is invalid, so any other endpoint would reject it, too


# Outcomes that prove that the endpoint never executed the attempt.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})
