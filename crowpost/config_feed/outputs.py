"""Output of Follower and DistributionServer, which their transport carries out."""

from __future__ import annotations

from dataclasses import dataclass, field

from crowpost.config_feed.documents import Document
from crowpost.config_feed.messages import PublishRequest


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """A request to open a connection, which is identified by this number from now on."""

    connection_id: int
    address: str


@dataclass(frozen=True, slots=True)
class FeedEvent:
    """An event for the log; its kind and the keys of its plain values are part of the log format."""

    # linked: a connection completed its handshake; lost: a connection failed or closed; whole: a document was
    # received completely; taken_over: another server continues a stalled body; conflict: see `conflicts`;
    # dropped: a frame or document was discarded; slept: this process was suspended; standing: a document was
    # applied or rejected.
    kind: str
    # Time in ms of the transport's monotonic clock.
    at: float
    values: dict[str, object]


@dataclass
class FollowerOutput:
    """What the transport must do for a Follower, in the order of the fields."""

    connects: list[ConnectRequest] = field(default_factory=list)
    # Pairs of connection number and frame.
    sends: list[tuple[int, bytes]] = field(default_factory=list)
    # Connections to close once their data is sent.
    disconnects: list[int] = field(default_factory=list)
    # Complete documents, to be applied; see `Follower.apply_finished`.
    apply: list[Document] = field(default_factory=list)
    events: list[FeedEvent] = field(default_factory=list)


@dataclass
class ServerOutput:
    """What the transport must do for a DistributionServer, in the order of the fields."""

    # Pairs of connection number and frame.
    sends: list[tuple[int, bytes]] = field(default_factory=list)
    # Connections to close once their data is sent.
    disconnects: list[int] = field(default_factory=list)
    # Pairs of connection number and publish request; see `DistributionServer.answer`.
    requests: list[tuple[int, PublishRequest]] = field(default_factory=list)
    events: list[FeedEvent] = field(default_factory=list)
