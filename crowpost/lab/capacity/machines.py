"""The machines set aside for control: what stands on which, and which of them may be gone."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import comb

RELAY, PUBLISHER, LIST, KEEPER = "relay", "publisher", "list replica", "logs and figures"


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine, its place and what runs there."""

    name: str
    region: int
    zone: int  # counted over all regions
    duties: tuple[str, ...]


def place(zones_per_region: Sequence[int], count: int, replicas: int) -> list[Machine]:
    """A relay in each zone; what is left goes to the regions in turn and holds logs and figures.

    A region's publisher stands with the relay of its first zone.  List replicas stand in zones of their own,
    a majority of them in the region with most zones: it must be able to agree while regions are cut.
    """
    regions = range(len(zones_per_region))
    zones = [(r, sum(zones_per_region[:r]) + z) for r in regions for z in range(zones_per_region[r])]
    found = [(r, z, [RELAY]) for r, z in zones[:count]]
    home = max(regions, key=lambda r: (zones_per_region[r], -r))
    here = replicas // 2 + 1
    for r in regions:
        of = [duties for region, _, duties in found if region == r]
        if of:
            of[0].append(PUBLISHER)
            share = here if r == home else -(-(replicas - here) // max(1, len(regions) - 1))
            for duties in of[::-1][:share]:
                duties.append(LIST)
    for i in range(max(0, count - len(zones))):
        r = regions[i % len(regions)]
        last = max(z for region, z in zones if region == r)
        found.append((r, last, [KEEPER]))
    found.sort(key=lambda one: one[1])
    return [Machine(f"m{i + 1}", r, z, tuple(d)) for i, (r, z, d) in enumerate(found)]


def _holders(machines: Collection[Machine], duty: str) -> list[Machine]:
    return [m for m in machines if duty in m.duties]


def rules(machines: Sequence[Machine]) -> dict[str, Callable[[Collection[Machine]], bool]]:
    """For each thing that must go on, whether it does with only these machines left."""
    regions = sorted({m.region for m in machines})
    home = max(regions, key=lambda r: (len({m.zone for m in machines if m.region == r}), -r))
    replicas = len(_holders(machines, LIST))
    return {
        "nodes hear of changes, each region from a relay of its own": lambda left: (
            {m.region for m in _holders(left, RELAY)} >= set(regions)
        ),
        "nodes hear of changes, from any relay": lambda left: bool(_holders(left, RELAY)),
        "changes for all and for services are taken": lambda left: any(
            m.region == home for m in _holders(left, PUBLISHER)
        ),
        "changes for every region and node are taken": lambda left: (
            {m.region for m in _holders(left, PUBLISHER)} >= set(regions)
        ),
        "the list service agrees (a majority of its replicas)": lambda left: (
            len(_holders(left, LIST)) > replicas // 2
        ),
        "logs and figures are taken somewhere": lambda left: bool(_holders(left, KEEPER)),
    }


@dataclass(frozen=True, slots=True)
class Outlast:
    """One thing that must go on: with any so many machines gone, how many of the ways it outlasts."""

    what: str
    ways: tuple[tuple[int, int], ...]  # for one gone, two, and so on: outlasted, of
    zones: int  # that may be lost alone
    regions: int

    @property
    def any_gone(self) -> int:
        """So many machines may be gone, whichever they are."""
        found = 0
        for good, of in self.ways:
            if good < of:
                break
            found += 1
        return found


def outlasts(machines: Sequence[Machine], most: int = 3) -> list[Outlast]:
    """Every set of up to `most` machines taken away in turn, and each zone, and each region."""
    found = []
    for what, goes_on in rules(machines).items():
        ways = []
        for gone in range(1, most + 1):
            lost = combinations(machines, gone)
            good = sum(goes_on([m for m in machines if m not in some]) for some in lost)
            ways.append((good, comb(len(machines), gone)))
        zones = sum(goes_on([m for m in machines if m.zone != z]) for z in {m.zone for m in machines})
        regions = sum(goes_on([m for m in machines if m.region != r]) for r in {m.region for m in machines})
        found.append(Outlast(what, tuple(ways), zones, regions))
    return found
