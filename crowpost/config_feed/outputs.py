"""What the cores ask of their transport: connections to open, and events to log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """Open a connection to an address; the connection has this number from now on."""

    connection_id: int
    address: str


@dataclass(frozen=True, slots=True)
class FeedEvent:
    """An event for the log; its values are plain and its kind and keys are part of the log format."""

    kind: str  # linked, lost, whole, taken_over, conflict, dropped, slept, standing
    at: float  # ms of the transport's monotonic clock
    values: dict[str, object]
