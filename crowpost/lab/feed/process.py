"""A simulated process of the feed: what survives its restarts, and one instance of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.engine import Planned
from crowpost.lab.feed.network import ConnectionEnd


@dataclass
class ProcessSpec:
    """What a process is, over its restarts."""

    name: str
    role: str  # node, relay or publisher
    region: str
    zone: str
    service: str
    address: str
    servers: tuple[UpstreamServer, ...]
    disk: dict[str, Document] = field(default_factory=dict)  # documents that survive a restart, by scope


class Side(Enum):
    """The core that a connection of a process belongs to."""

    FOLLOWER = "follower"
    SERVER = "server"


class Process:
    """One instance of a process."""

    def __init__(
        self,
        spec: ProcessSpec,
        follower: Follower | None,
        distribution_server: DistributionServer | None,
        offset: float,
    ) -> None:
        self.spec = spec
        self.name = spec.name
        self.follower = follower
        self.distribution_server = distribution_server
        self.offset = offset  # of its clock, in ms
        self.up = True
        self.suspended = False
        self.truncates_bodies = False  # a fault: half of each body is sent, then nothing
        self.inbox: list[Callable[[], None]] = []  # calls that wait while it is suspended
        self.timer: Planned | None = None
        self.timer_at = float("inf")
        self.ends: dict[tuple[Side, int], ConnectionEnd] = {}  # by core and number
        self.accepted_connections = 0
        self.immediate_ticks = 0  # in a row that were due at once


@dataclass(eq=False)
class Change:
    """An acknowledged document: the nodes that are still to apply it, and the latency of those that did."""

    header: DocumentHeader
    at: float
    pending: dict[str, float]  # name, and since when it counts for that one
    latency_ms: dict[str, float] = field(default_factory=dict)
