"""Which servers a follower watches: the nearest few that answer, each failure answered by a jittered wait."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowpost.config_feed.documents import DocumentHeader, UpstreamServer
from crowpost.config_feed.frames import FrameReader
from crowpost.config_feed.tuning import Tuning

STEADY_MS = 10_000.0  # a link that held for so long is forgiven earlier failures
MAX_FRAME_BYTES = 131_072  # that a server may send in one frame: heads or a piece of a body


@dataclass(slots=True, eq=False)
class UpstreamState:
    """A server and how it fared; `nearness` sorts the better ones first."""

    server: UpstreamServer
    nearness: tuple[int, int, float]  # tier, distance, and a throw that spreads followers over equals
    failures: int = 0
    not_before: float = -math.inf


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A watch; times in ms."""

    number: int
    place: UpstreamState
    since: float  # dialled or opened
    reader: FrameReader
    open: bool = False
    greeted: bool = False  # the server has said who it is
    name: str = ""
    heard: float = 0.0
    beat_at: float = math.inf
    damaged: int = 0
    slow_until: float = -math.inf  # it let a body wait: asked last until then
    vector_at: float = -math.inf  # not before then is the vector sent again
    vector_wait: float = 0.0
    differs: bool = False  # its digest did, at its last beat
    offers: dict[str, DocumentHeader] = field(
        default_factory=dict
    )  # what it told of that is not held here yet
    bad: dict[str, DocumentHeader] = field(default_factory=dict)  # heads whose body it could not give


class UpstreamConnections:
    """The links of a follower.  It decides whom to dial and whom to leave; it sends nothing itself."""

    def __init__(
        self,
        servers: Iterable[UpstreamServer],
        region: str,
        zone: str,
        rng: Random,
        cluster: int,
        tuning: Tuning,
        now: float,
    ) -> None:
        self._rng, self._cluster, self._tuning = rng, cluster, tuning
        self.connections: dict[int, UpstreamConnection] = {}
        self._number = 0
        self.places = [UpstreamState(s, (s.tier, _distance(s, region, zone), rng.random())) for s in servers]
        self.places.sort(key=lambda place: place.nearness)
        self._planned: tuple[list[UpstreamState], int] | None = None
        self._dial_due = math.inf
        self._dial_at = now + rng.random() * tuning.backoff_ms  # a fleet that starts at once

    def open_links(self) -> list[UpstreamConnection]:
        """The links that are up, the nearest first."""
        found = [connection for connection in self.connections.values() if connection.open]
        if len(found) > 1:
            found.sort(key=lambda connection: connection.place.nearness)
        return found

    def _plan(self) -> tuple[list[UpstreamState], int]:
        """Servers that may be dialled, and how many of them: those lacking, or one that is nearer.

        It is worked out anew only after a link came or went, as it is asked after every message.
        """
        if self._planned is None:
            taken = {id(connection.place) for connection in self.connections.values()}
            free = [place for place in self.places if id(place) not in taken]
            lacking = self._tuning.upstream_connections - len(self.connections)
            if lacking <= 0:
                lacking = 1
                if all(connection.open for connection in self.connections.values()):  # one at a time
                    worst = max(connection.place.nearness[:2] for connection in self.connections.values())
                    free = [place for place in free if place.nearness[:2] < worst]
                else:
                    free = []
            self._dial_due = max(self._dial_at, min((p.not_before for p in free), default=math.inf))
            self._planned = free, lacking
        return self._planned

    def opened(self, connection: UpstreamConnection, now: float) -> None:
        """A dialled link is up."""
        connection.open, connection.since, connection.heard = True, now, now
        self._planned = None

    def dial(self, now: float) -> list[UpstreamConnection]:
        """Links to dial now."""
        places, lacking = self._plan()
        if now < self._dial_due:
            return []
        made = []
        for place in [p for p in places if p.not_before <= now][:lacking]:
            self._number += 1
            reader = FrameReader(self._cluster, MAX_FRAME_BYTES)
            connection = self.connections[self._number] = UpstreamConnection(
                self._number, place, now, reader, heard=now
            )
            made.append(connection)
            self._planned = None
        return made

    def surplus(self) -> UpstreamConnection | None:
        """The farthest link, once a nearer one has greeted and there is one too many."""
        if len(self.connections) <= self._tuning.upstream_connections:
            return None
        greeted = [connection for connection in self.open_links() if connection.greeted]
        return greeted[-1] if len(greeted) > self._tuning.upstream_connections else None

    def drop(self, connection: UpstreamConnection, now: float, failed: bool = True) -> None:
        """Forget a link; after a failure its server is let alone for a while.

        The others are dialled after a short throw, as a server that dies takes many links with it.
        """
        self.connections.pop(connection.number, None)
        self._planned = None
        place, tuning, rng = connection.place, self._tuning, self._rng
        if failed:
            steady = connection.greeted and now - connection.since >= STEADY_MS
            place.failures = 1 if steady else place.failures + 1
            wait = min(tuning.max_backoff_ms, tuning.backoff_ms * 2.0 ** min(place.failures, 16))
            place.not_before = now + wait * (0.5 + rng.random())
            spread = tuning.backoff_ms * (4.0 if self.connections else 1.0)
            self._dial_at = max(self._dial_at, now + rng.random() * spread)
        else:
            place.failures, place.not_before = 0, now + tuning.nearer_server_check_ms * (0.5 + rng.random())

    def next_at(self) -> float:
        """When a dial, or the end of a link that says nothing, is due."""
        self._plan()
        due = self._dial_due
        for connection in self.connections.values():
            due = min(due, self.deadline(connection), connection.beat_at)
        return due

    def deadline(self, connection: UpstreamConnection) -> float:
        """When a link is given up unless something comes."""
        if not connection.greeted:
            return connection.since + self._tuning.connect_timeout_ms
        return connection.heard + self._tuning.server_timeout_ms

    def shift(self, by: float) -> None:
        """This process stood still: nobody else is to blame."""
        for connection in self.connections.values():
            connection.heard += by
            connection.since += by


def _distance(server: UpstreamServer, region: str, zone: str) -> int:
    if server.region != region:
        return 2
    return 0 if server.zone == zone else 1
