"""Faults of a whole cluster, on a schedule drawn from the seed.

Measured are the traffic that each fault causes, and when all members agree on one view again.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import pairwise
from random import Random
from typing import Any

from crowpost.lab.scale.fleet import Fleet
from crowpost.lab.scale.places import Place, places
from crowpost.lab.scale.real import RealNode, RealNodes
from crowpost.lab.scale.slopes import MAX_LATE_MS, PartContext, PartResult, cluster, contacts, converged
from crowpost.lab.scale.target import Fault, ScaleError

SAMPLE_INTERVAL_S = 0.5
MAX_RECOVERY_S = 45.0  # Longest observation after the end of a fault.
MAX_ZONE_LOSS_S = 90.0  # Longest loss of a zone before it returns at once.
STABLE_VIEW_S = 3.0  # How long one view must last before a run ends.
DAY_S = 86_400.0
# Fraction of the day at which most members are replaced.
PEAK_TIME_OF_DAY = 14.0 / 24.0
# Fraction of the mean rate by which the rate rises at the peak and falls at night.
DAILY_AMPLITUDE = 0.8

LOSS_TEXTS = {
    "machine": "until all considered it dead, each still counted a member that had gone",
    "rack": "until all considered them dead, each still counted members of a rack that had gone",
    "zone": "until all considered them dead, each still counted members of a zone that had gone",
    "zone_back": "until all considered them present, some did not count the members that were back",
    "region_cut": "each region considered the other dead during the partition, and for a while after",
    "replacements": "nothing: each member left properly",
}


@dataclass(frozen=True)
class FaultPlan:
    """A fault with its victims, and for replacements the times at which they leave, in s from its start."""

    fault: Fault
    victims: tuple[str, ...]
    times: tuple[float, ...] = ()
    speed: float = 1.0  # Factor by which a day is compressed.


def plan_fault(fault: Fault, candidates: list[Place], seed: int, replacements_per_day: float) -> FaultPlan:
    """Draw the victims of a fault and their times; equal arguments give an equal plan."""
    rng = Random(f"trouble {seed} {fault.kind} {len(candidates)}")
    chosen = rng.choice(candidates)
    match fault.kind:
        case "machine":
            victims = [chosen.name]
        case "rack":
            victims = [
                place.name for place in candidates if (place.zone, place.rack) == (chosen.zone, chosen.rack)
            ]
        case "zone" | "zone_back":
            victims = [place.name for place in candidates if place.zone == chosen.zone]
        case "replacements":
            count = min(round(replacements_per_day), len(candidates))
            victims = [place.name for place in rng.sample(candidates, count)]
            times = sorted(_draw_time_of_day(rng) * fault.for_s for _ in victims)
            return FaultPlan(fault, tuple(victims), tuple(times), DAY_S / fault.for_s)
        case _:
            victims = []
    return FaultPlan(fault, tuple(victims))


def _draw_time_of_day(rng: Random) -> float:
    """Draw a time as a fraction of the day, more likely near the peak, by rejection sampling."""
    while True:
        fraction = rng.random()
        if rng.random() * (1.0 + DAILY_AMPLITUDE) < 1.0 + DAILY_AMPLITUDE * math.cos(
            2.0 * math.pi * (fraction - PEAK_TIME_OF_DAY)
        ):
            return fraction


@dataclass(frozen=True)
class Sample:
    """State of the cluster at one time: how many simulated members hold each view, and what they have sent.

    A key of `views` is a region, the number of members alive and the digest of the view.
    """

    at: float
    views: dict[str, int]
    messages: float
    bytes: float
    real_digests: tuple[float, ...]  # View digests of the real members.


class FaultRun:
    """One fault on a cluster whose members agree on one view."""

    def __init__(self, context: PartContext, fleet: Fleet, real: RealNodes, members: list[RealNode]) -> None:
        self.context, self.fleet, self.real, self.members = context, fleet, real, members
        self.samples: list[Sample] = []
        self.down: set[str] = set()
        self.partitioned = False
        self._loop = asyncio.get_running_loop()
        self._rng = Random(f"contacts {context.seed}")
        self._topology = context.target.topology

    async def _sample(self) -> Sample:
        replies = await self.fleet.ask_all("look")
        digests = [(await node.telemetry())["members_view_digest"] for node in self.members]
        views: dict[str, int] = {}
        for reply in replies:
            for view, count in reply["views"].items():
                views[view] = views.get(view, 0) + count
        sample = Sample(
            self._loop.time(),
            views,
            sum(reply["messages"] for reply in replies),
            sum(reply["bytes"] for reply in replies),
            tuple(digests),
        )
        self.samples.append(sample)
        return sample

    def _expected(self) -> dict[int, int]:
        """Return how many members each region should consider alive now."""
        alive = [place for place in self.fleet.places.values() if place.name not in self.down]
        everywhere = len(alive) + len(self.members)
        expected = {}
        for region in range(len(self._topology.zones_per_region)):
            in_region = sum(place.region == region for place in alive)
            in_region += sum(node.place.region == region for node in self.members)
            expected[region] = in_region if self.partitioned else everywhere
        return expected

    def is_converged(self, sample: Sample) -> bool:
        """Return whether all members that can reach each other agree on a view of the expected size."""
        digests: dict[int, set[float]] = {}
        expected = self._expected()
        for view in sample.views:
            region, alive, digest = view.split()
            if int(alive) != expected[int(region)]:
                return False
            digests.setdefault(int(region), set()).add(float(digest))
        for node, digest_held in zip(self.members, sample.real_digests, strict=True):
            digests.setdefault(node.place.region, set()).add(digest_held)
        return all(len(region_digests) == 1 for region_digests in digests.values()) and (
            self.partitioned or len(set().union(*digests.values())) == 1
        )

    async def _watch(self, until: float, stop: Callable[[], bool] = lambda: False) -> float | None:
        """Take samples until a time, or until `stop` allows it and one view has lasted for STABLE_VIEW_S.

        Returns since when the members have agreed on the last view, or None if they do not agree.
        """
        converged_since: float | None = None
        while True:
            started = self._loop.time()
            sample = await self._sample()
            converged_since = (
                (sample.at if converged_since is None else converged_since)
                if self.is_converged(sample)
                else None
            )
            if stop() and converged_since is not None and sample.at - converged_since >= STABLE_VIEW_S:
                return converged_since
            if self._loop.time() >= until:
                return converged_since
            await asyncio.sleep(max(0.0, started + SAMPLE_INTERVAL_S - self._loop.time()))

    async def _restart_victims(self) -> None:
        names = sorted(self.down)
        self.down.clear()
        settings = {"join": contacts(self.fleet, self._rng, excluded=names)}
        await self.fleet.ask_nodes("start", names, settings=settings)

    async def _kill(self, victims: tuple[str, ...]) -> None:
        self.down |= set(victims)
        await self.fleet.ask_nodes("end", list(victims), in_order=False)

    # ------------------------------------------------------------ the run

    async def run(self, plan: FaultPlan) -> dict[str, Any]:
        """Run the fault from a settled cluster until it settles again; return the results as JSON values."""
        kind, fault = plan.fault.kind, plan.fault
        # The zone has already been lost when its return starts.
        if kind == "zone_back":
            await self._kill(plan.victims)
            if await self._watch(self._loop.time() + MAX_ZONE_LOSS_S, lambda: True) is None:
                self.context.print_line(
                    f"{kind}: some members did not notice the loss of the zone within {MAX_ZONE_LOSS_S:g} s"
                )
        self.samples.clear()
        self.real.reset_call_stats()
        # Reading starts a new measurement of the workers' lateness.
        await self.fleet.read()
        await self._watch(self._loop.time() + max(fault.at_s, 2.0))
        started = self._loop.time()
        agreed_during = await self._inject(plan, started)
        await self._end_fault(plan)
        ended = self._loop.time()
        agreed_after = await self._watch(self._loop.time() + MAX_RECOVERY_S, lambda: True)
        readings = await self.fleet.read()
        results = self._results(plan, started, ended, agreed_during, agreed_after)
        results["late_p99_ms"] = round(max(reading.late_p99_ms for reading in readings), 1)
        results["starved"] = results["late_p99_ms"] > MAX_LATE_MS
        if results["starved"]:
            late = results["late_p99_ms"]
            self.context.print_line(f"{kind}: workers were late by {late} ms: their members were starved")
        return results

    async def _inject(self, plan: FaultPlan, started: float) -> float | None:
        """Start the fault and wait for its end; return since when all agreed on one view, if they do."""
        until = started + plan.fault.for_s
        replacements: Awaitable[None] | None = None
        match plan.fault.kind:
            case "machine" | "rack" | "zone":
                await self._kill(plan.victims)
            case "zone_back":
                await self._restart_victims()
            case "region_cut":
                self.partitioned = True
                await self.fleet.ask_all("cut", on=True)
            case "replacements":
                replacements = asyncio.ensure_future(self._replace(plan, started))
        converged_since = await self._watch(until)
        if replacements is not None:
            await replacements
        return converged_since

    async def _end_fault(self, plan: FaultPlan) -> None:
        if plan.fault.kind in ("machine", "rack", "zone"):
            await self._restart_victims()
        elif plan.fault.kind == "region_cut":
            self.partitioned = False
            await self.fleet.ask_all("cut", on=False)

    async def _replace(self, plan: FaultPlan, started: float) -> None:
        for name, due in zip(plan.victims, plan.times, strict=True):
            await asyncio.sleep(max(0.0, started + due - self._loop.time()))
            settings = {"join": contacts(self.fleet, self._rng, excluded=[name])}
            await self.fleet.ask_nodes("restart", [name], settings=settings)

    def _results(
        self,
        plan: FaultPlan,
        started: float,
        ended: float,
        agreed_during: float | None,
        agreed_after: float | None,
    ) -> dict[str, Any]:
        kind, samples = plan.fault.kind, self.samples
        members = len(self.fleet.places)
        before = [sample for sample in samples if sample.at <= started]
        before_s = before[-1].at - before[0].at
        quiet_rates = (
            (before[-1].messages - before[0].messages) / before_s,
            (before[-1].bytes - before[0].bytes) / before_s,
        )
        last = samples[-1]
        elapsed_s = last.at - before[-1].at
        rates = [
            (later.at - started, (later.bytes - earlier.bytes) / (later.at - earlier.at) / members)
            for earlier, later in pairwise(samples)
        ]

        def seconds_since(at: float | None, origin: float) -> float | None:
            return None if at is None else round(max(0.0, at - origin), 1)

        settled_during_s = seconds_since(agreed_during, started)
        return {
            "kind": kind,
            "members": members + len(self.members),
            "victims": len(plan.victims),
            "source": "hollow, with real nodes among them",
            "seconds": round(plan.fault.for_s, 1),
            "messages": round(last.messages - before[-1].messages - quiet_rates[0] * elapsed_s),
            "bytes_per_member": round(
                (last.bytes - before[-1].bytes - quiet_rates[1] * elapsed_s) / members, 1
            ),
            "quiet_bytes_per_s": round(quiet_rates[1] / members, 1),
            "most_bytes_per_s": round(max(rate for _, rate in rates), 1),
            "settled_s": seconds_since(agreed_after, ended)
            if kind in ("replacements", "region_cut")
            else settled_during_s,
            "settled_within_s": settled_during_s,  # Seconds from the start of the fault.
            "settled_after_s": seconds_since(
                agreed_after, ended
            ),  # Seconds from the end of the fault, or the return of its victims.
            "lost": LOSS_TEXTS[kind],
            "speed": round(plan.speed, 1),
            "calls": {node.name: self.real.call_stats[node.name].to_dict() for node in self.members},
            "series": [[round(second, 2), round(rate, 1)] for second, rate in rates],
            "series_views": [[round(sample.at - started, 2), len(sample.views)] for sample in samples],
        }


async def run_faults(context: PartContext, kinds: list[str]) -> PartResult:
    """Run the faults of these kinds, one after another on one cluster."""
    run, result = context.run, PartResult()
    size = run.trouble_members
    async with cluster(context, size - run.carriers, run.carriers) as (fleet, real):
        await fleet.enable_duty("membership")
        rng = Random(f"troubles {context.seed}")
        topology = context.target.topology
        # All real nodes are in one zone: simulated nodes make the partition and cannot separate real nodes.
        candidates = places(topology, run.carriers * sum(topology.zones_per_region), first=size, prefix="r")
        node_places = [place for place in candidates if place.zone == 0]
        members = await real.add(node_places, contacts(fleet, rng))
        for node in members:
            real.start_calls(node)
        for fault in context.target.troubles:
            if fault.kind not in kinds:
                continue
            if not await converged(fleet, members, size):
                raise ScaleError(f"{fault.kind}: {size} members did not agree on one view before it")
            plan = plan_fault(
                fault,
                list(fleet.places.values()),
                context.seed,
                context.target.target.failures.replacements_per_day,
            )
            record = await FaultRun(context, fleet, real, members).run(plan)
            result.faults.append(record)
            context.print_line(
                f"{fault.kind}: {record['victims']} of {size}, {record['messages']} additional messages, "
                f"{record['bytes_per_member']:.0f} bytes per member, "
                f"one view after {record['settled_s']} s, "
                f"and {record['settled_after_s']} s after its end"
            )
    return result
