"""What a simulated process of the feed is over its restarts, one life of it, and what it is owed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

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
    disk: dict[str, Document] = field(default_factory=dict)  # what it finds there after a restart


class Process:
    """One life of a process."""

    def __init__(
        self,
        spec: ProcessSpec,
        follower: Follower | None,
        distribution_server: DistributionServer | None,
        offset: float,
    ) -> None:
        self.spec, self.name = spec, spec.name
        self.follower, self.distribution_server = follower, distribution_server
        self.offset = offset  # of its clock, in ms
        self.up, self.frozen, self.mute = True, False, False
        self.mailbox: list[Callable[[], None]] = []
        self.wake: Planned | None = None
        self.wake_at = float("inf")
        self.ends: dict[tuple[str, int], ConnectionEnd] = {}  # side ("f" or "h") and link
        self.links = 0  # of its hub
        self.spins = 0


@dataclass(eq=False)
class Change:
    """A document that was acknowledged: who is to have it in force, and who had it after how many ms."""

    header: DocumentHeader
    at: float
    owed: dict[str, float]  # name, and since when it counts for that one
    took: dict[str, float] = field(default_factory=dict)
