"""Placement of duties on the machines set aside for control, and which machine losses the duties survive."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from itertools import combinations
from math import comb

RELAY, PUBLISHER, LIST, LOG_HOLDER = "relay", "publisher", "list replica", "logs and figures"


@dataclass(frozen=True, slots=True)
class Machine:
    """One machine, its location and the duties that run on it."""

    name: str
    region: int
    zone: int  # Index over the zones of all regions.
    duties: tuple[str, ...]


def place(zones_per_region: Sequence[int], count: int, replicas: int) -> list[Machine]:
    """Return the machines: one with a relay per zone, the rest per region in turn for logs and metrics.

    The publisher of a region runs beside the relay of its first zone.  Each list replica is in another zone,
    a majority of them in the region with most zones: it must be able to agree during a partition of regions.
    """
    regions = range(len(zones_per_region))
    zones = [
        (region_index, sum(zones_per_region[:region_index]) + zone)
        for region_index in regions
        for zone in range(zones_per_region[region_index])
    ]
    entries = [(region_index, zone, [RELAY]) for region_index, zone in zones[:count]]
    home_region = max(regions, key=lambda region_index: (zones_per_region[region_index], -region_index))
    home_replicas = replicas // 2 + 1
    for region_index in regions:
        regional_duties = [duties for region, _, duties in entries if region == region_index]
        if regional_duties:
            regional_duties[0].append(PUBLISHER)
            replicas_here = (
                home_replicas
                if region_index == home_region
                else -(-(replicas - home_replicas) // max(1, len(regions) - 1))
            )
            for duties in regional_duties[::-1][:replicas_here]:
                duties.append(LIST)
    for index in range(max(0, count - len(zones))):
        region_index = regions[index % len(regions)]
        last_zone = max(zone for region, zone in zones if region == region_index)
        entries.append((region_index, last_zone, [LOG_HOLDER]))
    entries.sort(key=lambda entry: entry[1])
    return [
        Machine(f"m{index + 1}", region_index, zone, tuple(duties))
        for index, (region_index, zone, duties) in enumerate(entries)
    ]


def _with_duty(machines: Collection[Machine], duty: str) -> list[Machine]:
    return [machine for machine in machines if duty in machine.duties]


def rules(machines: Sequence[Machine]) -> dict[str, Callable[[Collection[Machine]], bool]]:
    """Return for each required function a check whether it works with only the given machines left."""
    regions = sorted({machine.region for machine in machines})
    home_region = max(
        regions,
        key=lambda region: (len({machine.zone for machine in machines if machine.region == region}), -region),
    )
    replicas = len(_with_duty(machines, LIST))
    return {
        "nodes hear of changes, each region from a relay of its own": lambda left: (
            {machine.region for machine in _with_duty(left, RELAY)} >= set(regions)
        ),
        "nodes hear of changes, from any relay": lambda left: bool(_with_duty(left, RELAY)),
        "changes for all and for services are taken": lambda left: any(
            machine.region == home_region for machine in _with_duty(left, PUBLISHER)
        ),
        "changes for every region and node are taken": lambda left: (
            {machine.region for machine in _with_duty(left, PUBLISHER)} >= set(regions)
        ),
        "the list service agrees (a majority of its replicas)": lambda left: (
            len(_with_duty(left, LIST)) > replicas // 2
        ),
        "logs and figures are taken somewhere": lambda left: bool(_with_duty(left, LOG_HOLDER)),
    }


@dataclass(frozen=True, slots=True)
class LossTolerance:
    """How many of the losses of one, two and more machines, of zones and of regions a function survives."""

    function: str
    survived: tuple[tuple[int, int], ...]  # For one machine lost, two, and so on: survived, tried.
    zones: int  # Zones whose loss alone is survived.
    regions: int  # Regions whose loss alone is survived.

    @property
    def tolerated_losses(self) -> int:
        """The largest number of machines that may be lost, whichever they are."""
        losses = 0
        for successes, attempts in self.survived:
            if successes < attempts:
                break
            losses += 1
        return losses


def loss_tolerances(machines: Sequence[Machine], max_lost: int = 3) -> list[LossTolerance]:
    """Return the tolerance of each function, by trying the loss of each set of machines, zone and region."""
    tolerances = []
    for function, survives in rules(machines).items():
        survived = []
        for lost_count in range(1, max_lost + 1):
            lost_sets = combinations(machines, lost_count)
            successes = sum(
                survives([machine for machine in machines if machine not in lost]) for lost in lost_sets
            )
            survived.append((successes, comb(len(machines), lost_count)))
        zones = sum(
            survives([machine for machine in machines if machine.zone != zone])
            for zone in {machine.zone for machine in machines}
        )
        regions = sum(
            survives([machine for machine in machines if machine.region != region])
            for region in {machine.region for machine in machines}
        )
        tolerances.append(LossTolerance(function, tuple(survived), zones, regions))
    return tolerances
