"""A simulated process of the feed: the data that survives its restarts, and its running instance."""

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

MAX_CLOCK_OFFSET_MS = 1e6  # largest difference of a process clock from simulated time


@dataclass
class ProcessSpec:
    """Properties of a process that survive its restarts.

    disk: documents on its disk, by scope.
    """

    name: str
    role: str  # node, relay or publisher
    region: str
    zone: str
    service: str
    address: str
    servers: tuple[UpstreamServer, ...]
    disk: dict[str, Document] = field(default_factory=dict)


class Side(Enum):
    """The core of a process that owns a connection."""

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
        self.offset = offset  # clock offset in ms
        self.up = True
        self.suspended = False
        self.truncates_bodies = False  # fault: half of each body is sent, then nothing more
        self.inbox: list[Callable[[], None]] = []  # calls that wait until it is resumed
        self.timer: Planned | None = None
        self.timer_at = float("inf")
        self.ends: dict[tuple[Side, int], ConnectionEnd] = {}  # keyed by core and connection id
        self.accepted_connections = 0
        self.immediate_ticks = 0  # consecutive ticks that were due at once


def new_instance(cluster: str, spec: ProcessSpec, rng: Random, engine_now: float, tuning: Tuning) -> Process:
    """Return a new instance of a process, with its own clock and the documents on its disk."""
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
    """An acknowledged document and its application by the nodes.

    pending: nodes that have yet to apply it, and the time from which their latency counts.
    latency_ms: of the nodes that have applied it.
    """

    header: DocumentHeader
    at: float
    pending: dict[str, float]
    latency_ms: dict[str, float] = field(default_factory=dict)
