"""Which servers a follower watches: the nearest few that answer, each failure answered by a jittered wait."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from fawngw.feed.model import Head, Server, Tuning
from fawngw.feed.wire import Reader

STEADY_MS = 10_000.0  # a link that held for so long is forgiven earlier failures
FRAME_BYTES = 131_072  # that a server may send in one frame: heads or a piece of a body


@dataclass(slots=True, eq=False)
class Place:
    """A server and how it fared; `nearness` sorts the better ones first."""

    server: Server
    nearness: tuple[int, int, float]  # tier, distance, and a throw that spreads followers over equals
    failures: int = 0
    not_before: float = -math.inf


@dataclass(slots=True, eq=False)
class Link:
    """A watch; times in ms."""

    number: int
    place: Place
    since: float  # dialled or opened
    reader: Reader
    open: bool = False
    greeted: bool = False  # the server has said who it is
    name: str = ""
    heard: float = 0.0
    beat_at: float = math.inf
    damaged: int = 0
    slow_until: float = -math.inf  # it let a body wait: asked last until then
    vector_at: float = -math.inf  # not before then is the vector sent again
    vector_wait: float = 0.0
    offers: dict[str, Head] = field(default_factory=dict)  # what it told of that is not held here yet
    bad: dict[str, Head] = field(default_factory=dict)  # heads whose body it could not give


class Watches:
    """The links of a follower.  It decides whom to dial and whom to leave; it sends nothing itself."""

    def __init__(
        self,
        servers: Iterable[Server],
        region: str,
        zone: str,
        rng: Random,
        cluster: int,
        tuning: Tuning,
        now: float,
    ) -> None:
        self._rng, self._cluster, self._tuning = rng, cluster, tuning
        self.links: dict[int, Link] = {}
        self._number = 0
        self.places = [Place(s, (s.tier, _distance(s, region, zone), rng.random())) for s in servers]
        self.places.sort(key=lambda place: place.nearness)
        self._dial_at = now + rng.random() * tuning.backoff_ms  # a fleet that starts at once

    def open_links(self) -> list[Link]:
        """The links that are up, the nearest first."""
        found = [link for link in self.links.values() if link.open]
        found.sort(key=lambda link: link.place.nearness)
        return found

    def _free(self) -> list[Place]:
        taken = {id(link.place) for link in self.links.values()}
        return [place for place in self.places if id(place) not in taken]

    def _better(self) -> list[Place]:
        """Servers nearer than one that is watched, each worth a try in place of that one."""
        if any(not link.open for link in self.links.values()):
            return []  # one at a time
        worst = max(link.place.nearness[:2] for link in self.links.values())
        return [place for place in self._free() if place.nearness[:2] < worst]

    def dial(self, now: float) -> list[Link]:
        """Links to dial now."""
        if now < self._dial_at:
            return []
        lacking = self._tuning.watches - len(self.links)
        ready = [p for p in self._free() if p.not_before <= now]
        if lacking <= 0:
            better = {id(place) for place in self._better()}
            ready, lacking = [p for p in ready if id(p) in better], 1
        made = []
        for place in ready[:lacking]:
            self._number += 1
            reader = Reader(self._cluster, FRAME_BYTES)
            link = self.links[self._number] = Link(self._number, place, now, reader, heard=now)
            made.append(link)
        return made

    def surplus(self) -> Link | None:
        """The farthest link, once a nearer one has greeted and there is one too many."""
        greeted = [link for link in self.open_links() if link.greeted]
        return greeted[-1] if len(greeted) > self._tuning.watches else None

    def drop(self, link: Link, now: float, failed: bool = True) -> None:
        """Forget a link; after a failure its server is let alone for a while.

        The others are dialled after a short throw, as a server that dies takes many links with it.
        """
        self.links.pop(link.number, None)
        place, tuning, rng = link.place, self._tuning, self._rng
        if failed:
            steady = link.greeted and now - link.since >= STEADY_MS
            place.failures = 1 if steady else place.failures + 1
            wait = min(tuning.backoff_most_ms, tuning.backoff_ms * 2.0 ** min(place.failures, 16))
            place.not_before = now + wait * (0.5 + rng.random())
            spread = tuning.backoff_ms * (4.0 if self.links else 1.0)
            self._dial_at = max(self._dial_at, now + rng.random() * spread)
        else:
            place.failures, place.not_before = 0, now + tuning.improve_ms * (0.5 + rng.random())

    def next_at(self) -> float:
        """When a dial, or the end of a link that says nothing, is due."""
        tuning = self._tuning
        due = math.inf
        for link in self.links.values():
            due = min(due, self.deadline(link), link.beat_at)
        places = self._free() if len(self.links) < tuning.watches else self._better()
        if places:
            due = min(due, max(self._dial_at, min(place.not_before for place in places)))
        return due

    def deadline(self, link: Link) -> float:
        """When a link is given up unless something comes."""
        if not link.greeted:
            return link.since + self._tuning.dial_ms
        return link.heard + self._tuning.silent_ms

    def shift(self, by: float) -> None:
        """This process stood still: nobody else is to blame."""
        for link in self.links.values():
            link.heard += by
            link.since += by


def _distance(server: Server, region: str, zone: str) -> int:
    if server.region != region:
        return 2
    return 0 if server.zone == zone else 1
