"""Entries of the endpoint list, and what an earlier process of this node learned about an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from crowpost.decision_api.outcomes import EndpointId


class Readiness(Enum):
    """Whether an endpoint of the list accepts requests."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    """How an endpoint list relates to the one before it; FAILED means that discovery returned no list."""

    FAILED = 0
    CHANGES = 1
    CACHED = 2
    FULL = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An entry of the endpoint list.  started_ms 0 means that the endpoint started long ago and is warm."""

    server: EndpointId
    readiness: Readiness = Readiness.READY
    capacity_hint: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RememberedEndpoint:
    """What an earlier process had learned, age_ms ago, about an endpoint that was started at started_ms."""

    server: EndpointId
    started_ms: float
    share_ratio: float  # Share as a multiple of the mean share
    average_ms: float | None = None  # None if the endpoint has not responded yet
    ejected: bool = False
    age_ms: float = 0.0
