"""Harnesses in which a test sends the messages of the peers of a follower or a distribution server."""

from __future__ import annotations

import random

from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, make_document
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.frames import FRAME_LENGTH, cluster_tag, decode, encode
from crowpost.config_feed.identity import ProcessIdentity
from crowpost.config_feed.messages import (
    BodyChunk,
    DocumentHeaders,
    FetchRequest,
    Heartbeat,
    Hello,
    Message,
)
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer

CLUSTER_TAG = cluster_tag("c")


def doc(
    version: int = 1, body: bytes = b"{}", *, scope: str = "all", epoch: int = 1, writer: str = "p-east"
) -> Document:
    return make_document(scope, epoch, version, body, author="ops", reason="test", writer=writer)


HEADER = doc(7, b"x" * 40, scope="service/s1").header


KEY = HEADER.key


class FollowerHarness:
    """A follower that is connected to servers whose messages the test sends."""

    def __init__(
        self, tuning: Tuning | None = None, subscription: Subscription | None = None, **options: object
    ) -> None:
        self.now, self.sent = 0.0, list[tuple[int, Message]]()
        self.applied: list[Document] = []
        self.rejection = ""
        self.disconnects: list[int] = []
        servers = [
            UpstreamServer("a:1", "east", "e1"),
            UpstreamServer("b:1", "east", "e2"),
            UpstreamServer("c:1", "west", "w1"),
        ]
        self.follower = Follower(
            ProcessIdentity("c", "n1", region="east", zone="e1", instance_id=7),
            servers,
            Subscription("east", "s1", "n1"),
            rng=random.Random(1),
            now=0.0,
            tuning=tuning,
            **options,  # type: ignore[arg-type]
        )
        self.connection_ids: dict[str, int] = {}
        self.advance_to(1_000.0)
        for name, connection_id in list(self.connection_ids.items()):
            self.follower.connected(connection_id, self.now)
            self.send(name, Hello(name, "relay"))

    def advance_to(self, now: float) -> None:
        """Advance to a time, with all ticks that are due until then."""
        while self.follower.next_at() <= now:
            self.now = max(self.now, self.follower.next_at())
            self.follower.tick(self.now)
            self._take_output()
        self.now = now
        self.follower.tick(now)
        self._take_output()

    def advance(self, ms: float) -> None:
        """Advance by a duration; all servers send heartbeats with the follower's own digest."""
        for _ in range(int(ms // 1_000.0)):
            self.advance_to(self.now + 1_000.0)
            for server in self.connection_ids:
                self.send(server, Heartbeat(self.follower.table.digest(self.follower.subscription)))

    def send(self, server: str, message: Message | bytes) -> None:
        data = message if isinstance(message, bytes) else encode(message, CLUSTER_TAG)
        self.follower.received(self.connection_ids[server], data, self.now)
        self._take_output()

    def _take_output(self) -> None:
        output = self.follower.take()
        for request in output.connects:
            self.connection_ids[request.address[0]] = request.connection_id
        for connection_id, frame in output.sends:
            self.sent.append((connection_id, decode(frame[FRAME_LENGTH.size :], CLUSTER_TAG)))
        self.disconnects += output.disconnects
        for document in output.apply:
            self.applied.append(document)
            self.follower.apply_finished(document.header, self.rejection, self.now)
            self._take_output()

    def fetches(self, server: str) -> list[FetchRequest]:
        return [
            m
            for connection_id, m in self.sent
            if connection_id == self.connection_ids[server] and isinstance(m, FetchRequest)
        ]

    def deliver(self, server: str, document: Document) -> None:
        """Send header and body of a document from a server."""
        self.send(server, DocumentHeaders((document.header,)))
        self.advance_to(self.now + Tuning().prefer_nearest_ms + 1.0)
        self.send(server, BodyChunk(document.header.key, 0, document.body))

    def applied_versions(self) -> list[int]:
        return [document.header.version for document in self.applied]


class ServerHarness:
    """A distribution server that is connected to followers whose messages the test sends."""

    def __init__(self, tuning: Tuning | None = None, accepts_publishes: bool = False) -> None:
        self.now = 0.0
        self.distribution_server = DistributionServer(
            ProcessIdentity("c", "r1", "relay"),
            DocumentTable(tuning),
            accepts_publishes=accepts_publishes,
            now=0.0,
            tuning=tuning,
        )
        self.sent: dict[int, list[Message]] = {}
        self.disconnects: list[int] = []

    def connect(
        self, connection_id: int, name: str, *version_vector: Document, all_scopes: bool = False
    ) -> None:
        self.distribution_server.accepted(connection_id, self.now)
        role = "relay" if all_scopes else "node"
        keys = tuple(document.header.key for document in version_vector)
        self.send(connection_id, Hello(name, role, "east", "e1", "s1", all_scopes, connection_id, keys))

    def send(self, connection_id: int, message: Message) -> None:
        self.distribution_server.received(connection_id, encode(message, CLUSTER_TAG), self.now)
        self.take_output()

    def take_output(self) -> None:
        output = self.distribution_server.take()
        for connection_id, frame in output.sends:
            self.sent.setdefault(connection_id, []).append(decode(frame[FRAME_LENGTH.size :], CLUSTER_TAG))
        self.disconnects += output.disconnects

    def advance_to(self, now: float) -> None:
        while self.distribution_server.next_at() <= now:
            self.now = max(self.now, self.distribution_server.next_at())
            self.distribution_server.tick(self.now)
            self.take_output()
        self.now = now

    def announce(self, document: Document) -> None:
        self.distribution_server.announce(document, self.now)
        self.take_output()

    def header_versions(self, connection_id: int) -> list[int]:
        return [
            h.version
            for m in self.sent.get(connection_id, [])
            if isinstance(m, DocumentHeaders)
            for h in m.headers
        ]

    def chunks(self, connection_id: int) -> list[BodyChunk]:
        return [m for m in self.sent.get(connection_id, []) if isinstance(m, BodyChunk)]
