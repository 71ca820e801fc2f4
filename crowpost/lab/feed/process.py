"""A simulated process of the feed: what survives its restarts, and one instance of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.identity import NODE_ROLE, PUBLISHER_ROLE, ProcessIdentity
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.engine import Planned
from crowpost.lab.feed.network import ConnectionEnd

MAX_CLOCK_OFFSET_MS = 1e6  # of a process from the simulated time


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


def new_instance(cluster: str, spec: ProcessSpec, rng: Random, engine_now: float, tuning: Tuning) -> Process:
    """Return a new instance of a process, with a clock of its own and what its disk holds."""
    offset = rng.uniform(0.0, MAX_CLOCK_OFFSET_MS)
    now = engine_now + offset
    instance_id = rng.getrandbits(32)
    identity = ProcessIdentity(cluster, spec.name, spec.role, spec.region, spec.zone, instance_id)
    all_scopes = spec.role != NODE_ROLE
    node = "" if all_scopes else spec.name
    table = DocumentTable(tuning)
    follower = Follower(
        identity,
        spec.servers,
        Subscription(spec.region, spec.service, node, all_scopes),
        rng=rng,
        now=now,
        tuning=tuning,
        table=table,
        cached_documents=list(spec.disk.values()),
    )
    distribution_server = None
    if all_scopes:
        accepts_publishes = spec.role == PUBLISHER_ROLE
        distribution_server = DistributionServer(
            identity, table, accepts_publishes=accepts_publishes, now=now, tuning=tuning
        )
    return Process(spec, follower, distribution_server, offset)


@dataclass(eq=False)
class Change:
    """An acknowledged document: the nodes that are still to apply it, and the latency of those that did."""

    header: DocumentHeader
    at: float
    pending: dict[str, float]  # name, and since when it counts for that one
    latency_ms: dict[str, float] = field(default_factory=dict)
