"""Deterministic placement of members: names, loopback addresses, regions, zones and racks."""

from __future__ import annotations

import os
from dataclasses import asdict, dataclass

from crowpost.lab.scale.target import ScaleError, Topology

# Runs on one machine with address ranges of their own, chosen by process id.
ADDRESS_RANGES = 12
MAX_ZONES = 16  # Second octets of the addresses that one run may use.
FIRST_OCTET = 16  # 127.0 to 127.15 are left to other programs.


@dataclass(frozen=True, slots=True)
class Place:
    """The place of one member.

    host: its own loopback address, 127.x.y.z, where x depends on the zone.
    """

    index: int
    name: str
    host: str
    region: int
    zone: int
    rack: int

    def to_dict(self) -> dict[str, str | int]:
        """Return the fields as JSON values."""
        return asdict(self)


def places(topology: Topology, count: int, *, first: int = 0, prefix: str = "h") -> list[Place]:
    """Return places, spread over the zones in turn, and within each zone over the racks.

    first: index of the first place.
    """
    zones = sum(topology.zones_per_region)
    if zones > MAX_ZONES:
        raise ScaleError(
            f"topology.zones_per_region: {zones} zones exceed the limit of {MAX_ZONES} on loopback"
        )
    regions = [
        region for region, zone_count in enumerate(topology.zones_per_region) for _ in range(zone_count)
    ]
    first_octet = FIRST_OCTET + MAX_ZONES * (os.getpid() % ADDRESS_RANGES)
    result = []
    for index in range(first, first + count):
        zone, index_in_zone = index % zones, index // zones
        host = f"127.{first_octet + zone}.{index_in_zone // 250}.{index_in_zone % 250 + 1}"
        result.append(
            Place(
                index, f"{prefix}{index}", host, regions[zone], zone, index_in_zone % topology.racks_per_zone
            )
        )
    return result


def zone_of(host: str) -> int:
    """Return the zone of an address of this run or another."""
    return (int(host.split(".")[1]) - FIRST_OCTET) % MAX_ZONES
