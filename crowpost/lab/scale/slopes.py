"""What a duty costs one node, by the size of the cluster and by the rate of changes.

Each is measured in one run against the same processes with the duty off.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import fmean
from typing import Any

from crowpost.lab.scale.fleet import Fleet, Reading
from crowpost.lab.scale.places import places
from crowpost.lab.scale.proc import check_descriptors, check_machine
from crowpost.lab.scale.real import RealNode, RealNodes, RealReading
from crowpost.lab.scale.target import Run, ScaleError, Target

Say = Callable[[str], None]
IDLE_S = 4.0  # that hollow nodes are measured for with nothing on
ONE_VIEW_S = 60.0
LOOK_S = 0.5
CONTACTS = 3
LATE_MS = 50.0  # a hundredth of the looks at a worker's loop may be later; beyond, its members are starved
SLOW_PART = 0.01  # of a worker's members that may hold themselves slow, or have had a late timer
FRESH = 1.5  # times the bytes of members that have long been there: a real one that still passes on its news
VIEW_BYTES = 1_100  # of one member in the view of another, for the estimate before the start
WORKER_BYTES = 40e6
COUNTED = {
    "bytes": "bytes_per_s",
    "bytes_in": "received_bytes_per_s",
    "messages": "messages_per_s",
    "documents": "documents_per_s",
}
ABOUT = {
    "idle": "A node with nothing on: no calls, no duty",
    "membership": "A member of a quiet cluster of x, beside the same process without",
    "joined": "A real member in the first minute after it joined a cluster of x: all that it learnt is news",
    "changes": "A member of a cluster in which x others a second leave in order and are back",
    "configuration": "A node that follows configuration, of which x documents of 2 kB a second are published",
    "configuration_relay": "A relay of a quarter of the nodes, as x documents of 2 kB a second pass",
    "configuration_publisher": "The publisher, as x documents of 2 kB a second are published",
    "restart": "What one that is restarted costs itself, beside a member that is not",
}
UNITS = {
    "idle": "process",
    "membership": "member",
    "joined": "member",
    "changes": "restart per second",
    "restart": "restart per second",
    "configuration": "change per second",
    "configuration_relay": "change per second",
    "configuration_publisher": "change per second",
}


@dataclass
class Piece:
    """What a part of a run found: points by duty, those left out, troubles, and calls beside."""

    points: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    left_out: list[dict[str, Any]] = field(default_factory=list)
    troubles: list[dict[str, Any]] = field(default_factory=list)
    calls: list[dict[str, Any]] = field(default_factory=list)

    def point(
        self, duty: str, x: float, source: str, process: str, seconds: float, measure: dict[str, float]
    ) -> None:
        """One process's figures, for one node of it."""
        found = {key: round(value, 4) for key, value in measure.items()}
        row = {"x": x, "source": source, "process": process, "seconds": round(seconds, 2), "measure": found}
        self.points.setdefault(duty, []).append(row)

    def add(self, other: Piece) -> None:
        """Take in what another part found."""
        for duty, rows in other.points.items():
            self.points.setdefault(duty, []).extend(rows)
        self.left_out += other.left_out
        self.troubles += other.troubles
        self.calls += other.calls


@dataclass(frozen=True)
class Setting:
    """Where and how a part runs."""

    target: Target
    run: Run
    seed: int
    folder: Path
    say: Say

    @property
    def calls_per_s(self) -> float:
        """That each real node carries: its share of all."""
        return self.target.target.calls_per_s / self.target.target.servers


def check(run: Run, members: int, reals: int) -> None:
    """ScaleError with one line for what the machine would not hold."""
    check_descriptors(-(-members // run.workers))
    gigabytes = (members * members * VIEW_BYTES + run.workers * WORKER_BYTES + reals * 30e6) / 1e9
    check_machine(run.workers + reals + 1, gigabytes)


@contextlib.asynccontextmanager
async def cluster(setting: Setting, hollow: int, reals: int) -> AsyncIterator[tuple[Fleet, RealNodes]]:
    """Workers with so many hollow nodes that do nothing yet, and stand-ins for so many real nodes."""
    run = setting.run
    check(run, hollow, reals)
    fleet = Fleet(setting.target.topology, run.workers, places(setting.target.topology, hollow))
    real = RealNodes(setting.folder, setting.seed, max(reals, 1), setting.calls_per_s)
    try:
        await fleet.start()
        await real.open()
        yield fleet, real
    finally:
        await real.close()
        await fleet.close()


def contacts(fleet: Fleet, rng: Random, but: Sequence[str] = ()) -> list[str]:
    """Addresses of some hollow members."""
    names = [name for name in fleet.addresses if name not in but]
    return [fleet.addresses[name] for name in rng.sample(names, min(CONTACTS, len(names)))]


async def one_view(
    fleet: Fleet, members: list[RealNode], expected: int, within_s: float = ONE_VIEW_S
) -> bool:
    """Whether all came to hold the same, so many members alive."""
    loop = asyncio.get_running_loop()
    until = loop.time() + within_s
    while True:
        views = {view.partition(" ")[2] for told in await fleet.all("look") for view in told["views"]}
        digests = {(await node.telemetry())["members_view_digest"] for node in members}
        if len(views) == 1:
            alive, digest = next(iter(views)).split()
            if int(alive) == expected and digests <= {float(digest)}:
                return True
        if loop.time() >= until:
            return False
        await asyncio.sleep(LOOK_S)


# ------------------------------------------------------------ figures of processes


def hollow_measure(
    before: Reading, after: Reading, idle_ms_per_s: float, idle_memory: int
) -> dict[str, float]:
    """For one node of a worker: a second, and memory, beyond what the worker took with nothing on."""
    seconds, nodes = after.at - before.at, after.nodes
    core = (after.core_ms - before.core_ms) / seconds - idle_ms_per_s

    counted = {
        name: (after.counts[key] - before.counts.get(key, 0.0)) / seconds / nodes
        for key, name in COUNTED.items()
        if key in after.counts
    }
    return {"core_ms_per_s": core / nodes, "memory_bytes": (after.memory - idle_memory) / nodes, **counted}


def unfit(before: Reading, after: Reading) -> str:
    """Why a worker's figures do not count; empty if they do.

    A worker whose loop is late starves its members: they send less and hold themselves slow.
    """
    late = after.counts.get("late", 0.0) - before.counts.get("late", 0.0)
    if after.late_p99_ms > LATE_MS:
        return f"the loop was late by {after.late_p99_ms:.0f} ms in a hundredth of the looks"
    if late > max(1.0, SLOW_PART * after.nodes):
        return f"{late:.0f} timers of {after.nodes} members were late"
    if after.slow > max(1.0, SLOW_PART * after.nodes):
        return f"{after.slow} of {after.nodes} members hold themselves slow"
    return ""


def real_rates(before: RealReading, after: RealReading) -> dict[str, float]:
    """One real node's whole cost; 0 for the figures of a duty that it has not on."""
    seconds = after.at - before.at

    def each(key: str) -> float:
        return (after.figures.get(key, 0.0) - before.figures.get(key, 0.0)) / seconds

    return {
        "core_ms_per_s": (after.core_ms - before.core_ms) / seconds,
        "memory_bytes": float(after.memory),
        "bytes_per_s": each('members_bytes{way="out"}'),
        "received_bytes_per_s": each('members_bytes{way="in"}'),
        "messages_per_s": each('members_datagrams{way="out"}'),
    }


def less(one: Mapping[str, float], other: Mapping[str, float]) -> dict[str, float]:
    """The difference, figure by figure."""
    return {key: value - other[key] for key, value in one.items()}


async def span(
    setting: Setting, fleet: Fleet, real: RealNodes, watched: list[RealNode]
) -> tuple[list[tuple[Reading, Reading]], list[dict[str, float]]]:
    """Both kinds of process over the run's seconds."""
    first = await real.read(watched)
    before = await fleet.read()
    real.fresh()
    await asyncio.sleep(setting.run.seconds)
    after = await fleet.read()
    last = await real.read(watched, last=True)
    rates = [real_rates(a, b) for a, b in zip(first, last, strict=True)]
    return list(zip(before, after, strict=True)), rates


def hollow_points(
    piece: Piece,
    duty: str,
    x: float,
    spans: list[tuple[Reading, Reading]],
    idle: list[tuple[Reading, Reading]],
) -> None:
    """Add a point for each worker whose figures count; the others are left out with the reason."""
    for i, ((before, after), (start, ready)) in enumerate(zip(spans, idle, strict=True)):
        idle_ms = (ready.core_ms - start.core_ms) / (ready.at - start.at)
        why = unfit(before, after)
        if why:
            piece.left_out.append({"duty": duty, "x": x, "source": "hollow", "process": f"w{i}", "why": why})
            continue
        measure = hollow_measure(before, after, idle_ms, ready.memory)
        piece.point(duty, x, "hollow", f"w{i}", after.at - before.at, measure)


async def idle_span(fleet: Fleet, seconds: float) -> list[tuple[Reading, Reading]]:
    """Return the workers' figures before and after some seconds with nothing on."""
    before = await fleet.read()
    await asyncio.sleep(seconds)
    return list(zip(before, await fleet.read(), strict=True))


# ------------------------------------------------------------ parts of a run


async def by_size(setting: Setting, duty: str, size: int) -> Piece:
    """A duty in a cluster of one size: hollow nodes, and real ones among them that carry calls."""
    run, piece = setting.run, Piece()
    rng = Random(f"slopes {setting.seed} {duty} {size}")
    async with cluster(setting, size - run.carriers, 2 * run.carriers) as (fleet, real):
        idle = await idle_span(fleet, min(IDLE_S, run.seconds / 2))
        for i, (start, ready) in enumerate(idle):
            core = (ready.core_ms - start.core_ms) / (ready.at - start.at) / len(fleet.workers[i].names)
            piece.point("idle", size, "hollow", f"w{i}", ready.at - start.at, {"core_ms_per_s": core})
        spots = places(setting.target.topology, 2 * run.carriers, first=size, prefix="r")
        without = await real.add(spots[: run.carriers], None)
        await fleet.open(duty)
        members = await real.add(spots[run.carriers :], contacts(fleet, rng))
        for node in real.nodes:
            real.call(node)
        if not await one_view(fleet, members, size):
            raise ScaleError(f"{duty}: {size} members do not hold one view after {ONE_VIEW_S:g} s")
        await asyncio.sleep(run.settle_s)
        spans, rates = await span(setting, fleet, real, [*members, *without])
        hollow_points(piece, duty, size, spans, idle)
        quiet = [p["measure"]["bytes_per_s"] for p in piece.points.get(duty, []) if p["source"] == "hollow"]
        for i in range(run.carriers):
            measure = less(rates[i], rates[run.carriers + i])
            # What a joiner has learnt is news to it: it passes all on, for minutes in a large cluster.
            fresh = not quiet or measure["bytes_per_s"] > FRESH * fmean(quiet)
            piece.point("joined" if fresh else duty, size, "real", members[i].name, run.seconds, measure)
        for label, nodes in (("with", members), ("without", without)):
            for node in nodes:
                row = {"duty": duty, "x": size, "node": node.name, "membership": label}
                piece.calls.append({**row, **real.tallies[node.name].plain()})
    tell(setting, piece, duty, size)
    return piece


def tell(setting: Setting, piece: Piece, duty: str, x: float) -> None:
    """Print the means of a duty at one size or rate, and what was left out of them."""
    for source in ("hollow", "real"):
        rows = [p["measure"] for p in piece.points.get(duty, []) if p["source"] == source and p["x"] == x]
        if rows:
            cost = fmean(r["core_ms_per_s"] for r in rows)
            size = fmean(r.get("bytes_per_s", 0.0) for r in rows)
            memory = fmean(r.get("memory_bytes", 0.0) for r in rows)
            text = f"{cost:.3f} ms/s, {memory / 1e3:.0f} kB, {size:.0f} B/s"
            setting.say(f"{duty} {x:g} {source}: {text} each, of {len(rows)} processes")
    for row in (r for r in piece.left_out if (r["duty"], r["x"]) == (duty, x)):
        setting.say(f"left out: {row['duty']} {row['x']:g} {row['process']}: {row['why']}")


async def side_by_side(setting: Setting, duty: str) -> Piece:
    """So many real processes without the duty, then with it, then as many hollow ones; no calls.

    Idle is measured as more and more of the real ones are started.
    """
    run, piece = setting.run, Piece()
    async with cluster(setting, run.real, run.real) as (fleet, real):
        spots = places(setting.target.topology, run.real, first=run.real, prefix="r")
        steps = sorted({max(1, round(run.real * part)) for part in (0.25, 0.5, 0.75, 1.0)})
        done = 0
        bare: list[dict[str, float]] = []
        for step in steps:
            await real.add(spots[done:step], None)
            done = step
            seconds = run.seconds if step == run.real else run.seconds / 3
            bare = await _bare(setting, real, seconds)
            for node, rates in zip(real.nodes, bare, strict=True):
                measure = {key: rates[key] for key in ("core_ms_per_s", "memory_bytes")}
                piece.point("idle", step, "real", node.name, seconds, measure)
        tell(setting, piece, "idle", run.real)
        await real.end(list(real.nodes))

        first = (await real.add(spots[:1], []))[0]
        await real.add(spots[1:], [first.member])
        until = asyncio.get_running_loop().time() + ONE_VIEW_S
        while True:
            seen = {tuple(await _standing(node)) for node in real.nodes}
            if len(seen) == 1 and next(iter(seen))[0] == run.real:
                break
            if asyncio.get_running_loop().time() >= until:
                raise ScaleError(f"{run.real} real members do not hold one view after {ONE_VIEW_S:g} s")
            await asyncio.sleep(LOOK_S)
        with_duty = await _bare(setting, real, run.seconds)
        for node, rates, before in zip(real.nodes, with_duty, bare, strict=True):
            piece.point(duty, run.real, "real", node.name, run.seconds, less(rates, before))
        await real.end(list(real.nodes))

        idle = await idle_span(fleet, min(IDLE_S, run.seconds / 2))
        await fleet.open(duty)
        await asyncio.sleep(run.settle_s)
        spans, _ = await span(setting, fleet, real, [])
        hollow_points(piece, duty, run.real, spans, idle)
    tell(setting, piece, duty, run.real)
    return piece


async def _standing(node: RealNode) -> tuple[float, float]:
    figures = await node.telemetry()
    return figures.get('members{state="present"}', 0.0), figures["members_view_digest"]


async def _bare(setting: Setting, real: RealNodes, seconds: float) -> list[dict[str, float]]:
    await asyncio.sleep(setting.run.settle_s)
    first = await real.read(real.nodes)
    await asyncio.sleep(seconds)
    last = await real.read(real.nodes, last=True)
    return [real_rates(a, b) for a, b in zip(first, last, strict=True)]
