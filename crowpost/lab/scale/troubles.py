"""Faults of a whole cluster by a timetable drawn from the seed.

Measured are the traffic that they set off, and when all members hold one view again.
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
from crowpost.lab.scale.slopes import LATE_MS, Piece, Setting, cluster, contacts, one_view
from crowpost.lab.scale.target import ScaleError, Trouble

EVERY_S = 0.5  # between looks
AFTER_S = 45.0  # that the cluster is watched for at the most, once the trouble is over
LOSS_S = 90.0  # that a zone is gone for, at the most, before it is back at once
CALM_S = 3.0  # of one view, before a run ends
DAY_S = 86_400.0
PEAK = 14.0 / 24.0  # of the day, when most is replaced
SWING = 0.8  # of the mean rate, up at the peak and down at night

LOST = {
    "machine": "until all held it dead, each still counted one that was gone",
    "rack": "until all held them dead, each still counted a rack that was gone",
    "zone": "until all held them dead, each still counted a zone that was gone",
    "zone_back": "until all held them present, those that were back were not counted by some",
    "region_cut": "each region held the other dead for as long as it was cut off, and a while after",
    "replacements": "nothing: each left in order",
}


@dataclass(frozen=True)
class Plan:
    """A trouble with its victims, and for replacements when each leaves, in s from its begin."""

    trouble: Trouble
    victims: tuple[str, ...]
    times: tuple[float, ...] = ()
    speed: float = 1.0  # by which a day was speeded up


def plan(trouble: Trouble, among: list[Place], seed: int, replacements_per_day: float) -> Plan:
    """Who is hit and when: equal arguments give an equal plan."""
    rng = Random(f"trouble {seed} {trouble.kind} {len(among)}")
    one = rng.choice(among)
    match trouble.kind:
        case "machine":
            victims = [one.name]
        case "rack":
            victims = [p.name for p in among if (p.zone, p.rack) == (one.zone, one.rack)]
        case "zone" | "zone_back":
            victims = [p.name for p in among if p.zone == one.zone]
        case "replacements":
            number = min(round(replacements_per_day), len(among))
            victims = [p.name for p in rng.sample(among, number)]
            times = sorted(_by_day(rng) * trouble.for_s for _ in victims)
            return Plan(trouble, tuple(victims), tuple(times), DAY_S / trouble.for_s)
        case _:
            victims = []
    return Plan(trouble, tuple(victims))


def _by_day(rng: Random) -> float:
    """A part of the day, likelier near its peak (by rejection)."""
    while True:
        part = rng.random()
        if rng.random() * (1.0 + SWING) < 1.0 + SWING * math.cos(2.0 * math.pi * (part - PEAK)):
            return part


@dataclass(frozen=True)
class Look:
    """The cluster at a moment: views of hollow members by region, and what all of them have sent."""

    at: float
    views: dict[str, int]
    messages: float
    bytes: float
    real: tuple[float, ...]  # digests that real members hold


class TroubleRun:
    """One trouble on a cluster that holds one view."""

    def __init__(self, setting: Setting, fleet: Fleet, real: RealNodes, members: list[RealNode]) -> None:
        self.setting, self.fleet, self.real, self.members = setting, fleet, real, members
        self.looks: list[Look] = []
        self.down: set[str] = set()
        self.cut = False
        self._loop = asyncio.get_running_loop()
        self._rng = Random(f"contacts {setting.seed}")
        self._topology = setting.target.topology

    async def _look(self) -> Look:
        told = await self.fleet.all("look")
        digests = [(await node.telemetry())["members_view_digest"] for node in self.members]
        views: dict[str, int] = {}
        for part in told:
            for view, number in part["views"].items():
                views[view] = views.get(view, 0) + number
        look = Look(
            self._loop.time(),
            views,
            sum(part["messages"] for part in told),
            sum(part["bytes"] for part in told),
            tuple(digests),
        )
        self.looks.append(look)
        return look

    def _expected(self) -> dict[int, int]:
        """How many members each region should hold alive now."""
        up = [p for p in self.fleet.places.values() if p.name not in self.down]
        everywhere = len(up) + len(self.members)
        found = {}
        for region in range(len(self._topology.zones_per_region)):
            mine = sum(p.region == region for p in up)
            mine += sum(node.place.region == region for node in self.members)
            found[region] = mine if self.cut else everywhere
        return found

    def settled(self, look: Look) -> bool:
        """Whether all that can reach each other hold the same, and just those that are there."""
        digests: dict[int, set[float]] = {}
        expected = self._expected()
        for view in look.views:
            region, alive, digest = view.split()
            if int(alive) != expected[int(region)]:
                return False
            digests.setdefault(int(region), set()).add(float(digest))
        for node, digest_held in zip(self.members, look.real, strict=True):
            digests.setdefault(node.place.region, set()).add(digest_held)
        return all(len(held) == 1 for held in digests.values()) and (
            self.cut or len(set().union(*digests.values())) == 1
        )

    async def _watch(self, until: float, stop: Callable[[], bool] = lambda: False) -> float | None:
        """Look on until a time; when a view that lasted to the end of it began, or until it has lasted."""
        since: float | None = None
        while True:
            began = self._loop.time()
            look = await self._look()
            since = (look.at if since is None else since) if self.settled(look) else None
            if stop() and since is not None and look.at - since >= CALM_S:
                return since
            if self._loop.time() >= until:
                return since
            await asyncio.sleep(max(0.0, began + EVERY_S - self._loop.time()))

    async def _back(self) -> None:
        names = sorted(self.down)
        self.down.clear()
        settings = {"join": contacts(self.fleet, self._rng, but=names)}
        await self.fleet.some("start", names, settings=settings)

    async def _kill(self, victims: tuple[str, ...]) -> None:
        self.down |= set(victims)
        await self.fleet.some("end", list(victims), in_order=False)

    # ------------------------------------------------------------ the run

    async def play(self, plan: Plan) -> dict[str, Any]:
        """From calm to one view again; figures as JSON values."""
        kind, trouble = plan.trouble.kind, plan.trouble
        if kind == "zone_back":  # it is gone for good when this one begins
            await self._kill(plan.victims)
            if await self._watch(self._loop.time() + LOSS_S, lambda: True) is None:
                self.setting.say(f"{kind}: the loss of the zone was not known to all after {LOSS_S:g} s")
        self.looks.clear()
        self.real.fresh()
        await self.fleet.read()  # from here on workers note how late they are
        await self._watch(self._loop.time() + max(trouble.at_s, 2.0))
        began = self._loop.time()
        hit = await self._hit(plan, began)
        await self._end(plan)
        ended = self._loop.time()
        whole = await self._watch(self._loop.time() + AFTER_S, lambda: True)
        readings = await self.fleet.read()
        found = self._found(plan, began, ended, hit, whole)
        found["late_p99_ms"] = round(max(reading.late_p99_ms for reading in readings), 1)
        found["starved"] = found["late_p99_ms"] > LATE_MS
        if found["starved"]:
            late = found["late_p99_ms"]
            self.setting.say(f"{kind}: workers were late by {late} ms: figures of starved members")
        return found

    async def _hit(self, plan: Plan, began: float) -> float | None:
        """Begin it and see it through: when all held one view within it, if they did."""
        until = began + plan.trouble.for_s
        work: Awaitable[None] | None = None
        match plan.trouble.kind:
            case "machine" | "rack" | "zone":
                await self._kill(plan.victims)
            case "zone_back":
                await self._back()
            case "region_cut":
                self.cut = True
                await self.fleet.all("cut", on=True)
            case "replacements":
                work = asyncio.ensure_future(self._replace(plan, began))
        since = await self._watch(until)
        if work is not None:
            await work
        return since

    async def _end(self, plan: Plan) -> None:
        if plan.trouble.kind in ("machine", "rack", "zone"):
            await self._back()
        elif plan.trouble.kind == "region_cut":
            self.cut = False
            await self.fleet.all("cut", on=False)

    async def _replace(self, plan: Plan, began: float) -> None:
        for name, due in zip(plan.victims, plan.times, strict=True):
            await asyncio.sleep(max(0.0, began + due - self._loop.time()))
            settings = {"join": contacts(self.fleet, self._rng, but=[name])}
            await self.fleet.some("restart", [name], settings=settings)

    def _found(
        self,
        plan: Plan,
        began: float,
        ended: float,
        hit: float | None,
        whole: float | None,
    ) -> dict[str, Any]:
        kind, looks = plan.trouble.kind, self.looks
        members = len(self.fleet.places)
        calm = [look for look in looks if look.at <= began]
        rest = calm[-1].at - calm[0].at
        quiet = (calm[-1].messages - calm[0].messages) / rest, (calm[-1].bytes - calm[0].bytes) / rest
        last = looks[-1]
        spent = last.at - calm[-1].at
        rates = [(b.at - began, (b.bytes - a.bytes) / (b.at - a.at) / members) for a, b in pairwise(looks)]

        def after(at: float | None, since: float) -> float | None:
            return None if at is None else round(max(0.0, at - since), 1)

        first = after(hit, began)
        return {
            "kind": kind,
            "members": members + len(self.members),
            "victims": len(plan.victims),
            "source": "hollow, with real nodes among them",
            "seconds": round(plan.trouble.for_s, 1),
            "messages": round(last.messages - calm[-1].messages - quiet[0] * spent),
            "bytes_per_member": round((last.bytes - calm[-1].bytes - quiet[1] * spent) / members, 1),
            "quiet_bytes_per_s": round(quiet[1] / members, 1),
            "most_bytes_per_s": round(max(rate for _, rate in rates), 1),
            "settled_s": after(whole, ended) if kind in ("replacements", "region_cut") else first,
            "settled_within_s": first,  # from its begin, while it lasted
            "settled_after_s": after(whole, ended),  # from its end, or the return of those who were gone
            "lost": LOST[kind],
            "speed": round(plan.speed, 1),
            "calls": {node.name: self.real.tallies[node.name].plain() for node in self.members},
            "series": [[round(at, 2), round(rate, 1)] for at, rate in rates],
            "series_views": [[round(look.at - began, 2), len(look.views)] for look in looks],
        }


async def play(setting: Setting, kinds: list[str]) -> Piece:
    """The troubles of these kinds, one after another on one cluster."""
    run, piece = setting.run, Piece()
    size = run.trouble_members
    async with cluster(setting, size - run.carriers, run.carriers) as (fleet, real):
        await fleet.open("membership")
        rng = Random(f"troubles {setting.seed}")
        topology = setting.target.topology
        # The real ones stand in one zone: a cut is made by hollow nodes, and would not part real from real.
        dealt = places(topology, run.carriers * sum(topology.zones_per_region), first=size, prefix="r")
        spots = [place for place in dealt if place.zone == 0]
        members = await real.add(spots, contacts(fleet, rng))
        for node in members:
            real.call(node)
        for trouble in setting.target.troubles:
            if trouble.kind not in kinds:
                continue
            if not await one_view(fleet, members, size):
                raise ScaleError(f"{trouble.kind}: {size} members do not hold one view before it")
            drawn = plan(
                trouble,
                list(fleet.places.values()),
                setting.seed,
                setting.target.target.failures.replacements_per_day,
            )
            found = await TroubleRun(setting, fleet, real, members).play(drawn)
            piece.troubles.append(found)
            setting.say(
                f"{trouble.kind}: {found['victims']} of {size}, {found['messages']} messages set off, "
                f"{found['bytes_per_member']:.0f} bytes a member, one view after {found['settled_s']} s, "
                f"and {found['settled_after_s']} s after its end"
            )
    return piece
