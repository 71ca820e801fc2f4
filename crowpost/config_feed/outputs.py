"""What the cores ask of their transport: connections to open, and events to log."""

from __future__ import annotations

from dataclasses import dataclass, field

from crowpost.config_feed.documents import Document
from crowpost.config_feed.messages import PublishRequest


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


@dataclass
class FollowerOutput:
    """What a call of a Follower left for the transport to do, in the order of the fields."""

    connects: list[ConnectRequest] = field(default_factory=list)
    sends: list[tuple[int, bytes]] = field(default_factory=list)  # connection and frame
    disconnects: list[int] = field(default_factory=list)  # connections to close once their data is sent
    apply: list[Document] = field(default_factory=list)  # complete documents; see `Follower.apply_finished`
    events: list[FeedEvent] = field(default_factory=list)


@dataclass
class ServerOutput:
    """What a call of a DistributionServer left for the transport to do, in the order of the fields."""

    sends: list[tuple[int, bytes]] = field(default_factory=list)  # connection and frame
    disconnects: list[int] = field(default_factory=list)  # connections to close once their data is sent
    requests: list[tuple[int, PublishRequest]] = field(default_factory=list)  # to be answered by `answer`
    events: list[FeedEvent] = field(default_factory=list)
