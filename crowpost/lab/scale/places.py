"""Where members stand: names, loopback addresses, regions, zones and racks, drawn up without chance."""

from __future__ import annotations

import os
from dataclasses import asdict, dataclass

from crowpost.lab.scale.target import ScaleError, Topology

RUNS = 12  # runs on one machine that have address ranges of their own, by process id
ZONES_MOST = 16  # second octets that a run may use
FIRST = 16  # of them; 127.0 to 127.15 are left to others


@dataclass(frozen=True, slots=True)
class Place:
    """One member's place.  host: its own loopback address, 127.x.y.z, x by zone."""

    index: int
    name: str
    host: str
    region: int
    zone: int
    rack: int

    def plain(self) -> dict[str, str | int]:
        """As JSON values."""
        return asdict(self)


def places(topology: Topology, count: int, *, first: int = 0, prefix: str = "h") -> list[Place]:
    """So many places, dealt round the zones and in each round the racks; first: index of the first."""
    zones = sum(topology.zones_per_region)
    if zones > ZONES_MOST:
        raise ScaleError(f"topology.zones_per_region: {zones} zones, {ZONES_MOST} at the most on loopback")
    regions = [r for r, number in enumerate(topology.zones_per_region) for _ in range(number)]
    base = FIRST + ZONES_MOST * (os.getpid() % RUNS)
    found = []
    for index in range(first, first + count):
        zone, nth = index % zones, index // zones
        host = f"127.{base + zone}.{nth // 250}.{nth % 250 + 1}"
        found.append(
            Place(index, f"{prefix}{index}", host, regions[zone], zone, nth % topology.racks_per_zone)
        )
    return found


def zone_of(host: str) -> int:
    """The zone of an address of this or another run."""
    return (int(host.split(".")[1]) - FIRST) % ZONES_MOST
