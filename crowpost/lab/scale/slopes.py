"""Cost of a duty for one node, by cluster size and by rate of changes.

Each cost is the difference to the same processes without the duty, measured in the same run.
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

PrintLine = Callable[[str], None]
IDLE_S = 4.0  # Measurement time of simulated nodes without a duty.
CONVERGENCE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.5
CONTACT_COUNT = 3
# If more than 1% of the checks of a worker's event loop are later than this, its members are starved.
MAX_LATE_MS = 50.0
# Fraction of a worker's members that may report to be slow, or have had a late timer.
MAX_SLOW_FRACTION = 0.01
# A real member that sends more than this multiple of the bytes of long-standing members still forwards what
# it learnt when it joined.
JOINED_TRAFFIC_RATIO = 1.5
# One member's entry in the view of another, for the memory estimate before the start.
VIEW_BYTES = 1_100
WORKER_BYTES = 40e6
RATE_NAMES = {
    "bytes": "bytes_per_s",
    "bytes_in": "received_bytes_per_s",
    "messages": "messages_per_s",
    "documents": "documents_per_s",
}
DUTY_DESCRIPTIONS = {
    "idle": "A node without calls or duties",
    "membership": "A member of a quiet cluster of x, compared with the same process without membership",
    "joined": "A real member in the first minute after joining a cluster of x, forwarding what it learnt",
    "changes": "A member of a cluster in which x other members per second leave properly and rejoin",
    "configuration": "A node that follows configuration while x documents of 2 kB per second are published",
    "configuration_relay": "A relay for a quarter of the nodes while x documents of 2 kB per second pass",
    "configuration_publisher": "The publisher while x documents of 2 kB per second are published",
    "restart": "The additional cost of a member that is restarted, compared with one that is not",
}
DUTY_UNITS = {
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
class PartResult:
    """Results of one part of a run: points by duty, points left out, faults, and calls."""

    points: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    left_out: list[dict[str, Any]] = field(default_factory=list)
    faults: list[dict[str, Any]] = field(default_factory=list)
    calls: list[dict[str, Any]] = field(default_factory=list)

    def add_point(
        self, duty: str, x: float, source: str, process: str, seconds: float, measure: dict[str, float]
    ) -> None:
        """Add the measurements of one process, per node in it."""
        measured = {key: round(value, 4) for key, value in measure.items()}
        row = {
            "x": x,
            "source": source,
            "process": process,
            "seconds": round(seconds, 2),
            "measure": measured,
        }
        self.points.setdefault(duty, []).append(row)

    def merge(self, other: PartResult) -> None:
        """Add the results of another part."""
        for duty, rows in other.points.items():
            self.points.setdefault(duty, []).extend(rows)
        self.left_out += other.left_out
        self.faults += other.faults
        self.calls += other.calls


@dataclass(frozen=True)
class PartContext:
    """Target, run settings, seed, folder and output of a part."""

    target: Target
    run: Run
    seed: int
    folder: Path
    print_line: PrintLine

    @property
    def calls_per_s(self) -> float:
        """Calls per second that each real node carries: the platform's calls divided by its servers."""
        return self.target.target.calls_per_s / self.target.target.servers


def check(run: Run, members: int, real_nodes: int) -> None:
    """Raise ScaleError if the run needs more than the machine allows."""
    check_descriptors(-(-members // run.workers))
    gigabytes = (members * members * VIEW_BYTES + run.workers * WORKER_BYTES + real_nodes * 30e6) / 1e9
    check_machine(run.workers + real_nodes + 1, gigabytes)


@contextlib.asynccontextmanager
async def cluster(
    context: PartContext, simulated_nodes: int, real_nodes: int
) -> AsyncIterator[tuple[Fleet, RealNodes]]:
    """Start workers with idle simulated nodes, and the servers and discovery for real nodes."""
    run = context.run
    check(run, simulated_nodes, real_nodes)
    fleet = Fleet(context.target.topology, run.workers, places(context.target.topology, simulated_nodes))
    real = RealNodes(context.folder, context.seed, max(real_nodes, 1), context.calls_per_s)
    try:
        await fleet.start()
        await real.open()
        yield fleet, real
    finally:
        await real.close()
        await fleet.close()


def contacts(fleet: Fleet, rng: Random, excluded: Sequence[str] = ()) -> list[str]:
    """Return the addresses of random simulated members."""
    names = [name for name in fleet.addresses if name not in excluded]
    return [fleet.addresses[name] for name in rng.sample(names, min(CONTACT_COUNT, len(names)))]


async def converged(
    fleet: Fleet, members: list[RealNode], expected: int, timeout_s: float = CONVERGENCE_TIMEOUT_S
) -> bool:
    """Return whether all members agreed on one view with the expected number alive, within the timeout."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        views = {view.partition(" ")[2] for reply in await fleet.ask_all("look") for view in reply["views"]}
        digests = {(await node.telemetry())["members_view_digest"] for node in members}
        if len(views) == 1:
            alive, digest = next(iter(views)).split()
            if int(alive) == expected and digests <= {float(digest)}:
                return True
        if loop.time() >= deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)


# ------------------------------------------------------------ measurements of processes


def simulated_node_measure(
    before: Reading, after: Reading, idle_ms_per_s: float, idle_memory: int
) -> dict[str, float]:
    """Return rates and memory of one node of a worker, beyond what the idle worker took."""
    seconds, nodes = after.at - before.at, after.nodes
    core = (after.core_ms - before.core_ms) / seconds - idle_ms_per_s

    counted = {
        name: (after.counts[key] - before.counts.get(key, 0.0)) / seconds / nodes
        for key, name in RATE_NAMES.items()
        if key in after.counts
    }
    return {"core_ms_per_s": core / nodes, "memory_bytes": (after.memory - idle_memory) / nodes, **counted}


def exclusion_reason(before: Reading, after: Reading) -> str:
    """Return why a worker's measurements are unusable, or an empty text if they are usable.

    A worker with a late event loop starves its members: they send less and report that they are slow.
    """
    late = after.counts.get("late", 0.0) - before.counts.get("late", 0.0)
    if after.late_p99_ms > MAX_LATE_MS:
        return f"the event loop was late by {after.late_p99_ms:.0f} ms in 1% of the checks"
    if late > max(1.0, MAX_SLOW_FRACTION * after.nodes):
        return f"{late:.0f} timers of {after.nodes} members were late"
    if after.slow > max(1.0, MAX_SLOW_FRACTION * after.nodes):
        return f"{after.slow} of {after.nodes} members report that they are slow"
    return ""


def real_rates(before: RealReading, after: RealReading) -> dict[str, float]:
    """Return the total cost of one real node; 0 for the figures of a duty that it does not have."""
    seconds = after.at - before.at

    def rate_of(key: str) -> float:
        return (after.figures.get(key, 0.0) - before.figures.get(key, 0.0)) / seconds

    return {
        "core_ms_per_s": (after.core_ms - before.core_ms) / seconds,
        "memory_bytes": float(after.memory),
        "bytes_per_s": rate_of('members_bytes{way="out"}'),
        "received_bytes_per_s": rate_of('members_bytes{way="in"}'),
        "messages_per_s": rate_of('members_datagrams{way="out"}'),
    }


def difference(minuend: Mapping[str, float], subtrahend: Mapping[str, float]) -> dict[str, float]:
    """Return the difference of each measure."""
    return {key: value - subtrahend[key] for key, value in minuend.items()}


async def measure_span(
    context: PartContext, fleet: Fleet, real: RealNodes, watched: list[RealNode]
) -> tuple[list[tuple[Reading, Reading]], list[dict[str, float]]]:
    """Measure the workers and the given real nodes for the run's seconds."""
    first = await real.read(watched)
    before = await fleet.read()
    real.reset_call_stats()
    await asyncio.sleep(context.run.seconds)
    after = await fleet.read()
    last = await real.read(watched, costs_first=True)
    rates = [real_rates(start, end) for start, end in zip(first, last, strict=True)]
    return list(zip(before, after, strict=True)), rates


def add_simulated_node_points(
    result: PartResult,
    duty: str,
    x: float,
    spans: list[tuple[Reading, Reading]],
    idle: list[tuple[Reading, Reading]],
) -> None:
    """Add a point for each worker with usable measurements; list the others as left out with the reason."""
    for position, ((before, after), (start, ready)) in enumerate(zip(spans, idle, strict=True)):
        idle_ms = (ready.core_ms - start.core_ms) / (ready.at - start.at)
        reason = exclusion_reason(before, after)
        if reason:
            result.left_out.append(
                {"duty": duty, "x": x, "source": "hollow", "process": f"w{position}", "why": reason}
            )
            continue
        measure = simulated_node_measure(before, after, idle_ms, ready.memory)
        result.add_point(duty, x, "hollow", f"w{position}", after.at - before.at, measure)


async def measure_idle(fleet: Fleet, seconds: float) -> list[tuple[Reading, Reading]]:
    """Return the workers' measurements before and after some seconds without a duty."""
    before = await fleet.read()
    await asyncio.sleep(seconds)
    return list(zip(before, await fleet.read(), strict=True))


# ------------------------------------------------------------ parts of a run


async def by_size(context: PartContext, duty: str, size: int) -> PartResult:
    """Measure a duty in a cluster of one size: simulated nodes, and real ones among them that carry calls."""
    run, result = context.run, PartResult()
    rng = Random(f"slopes {context.seed} {duty} {size}")
    async with cluster(context, size - run.carriers, 2 * run.carriers) as (fleet, real):
        idle = await measure_idle(fleet, min(IDLE_S, run.seconds / 2))
        for position, (start, ready) in enumerate(idle):
            core = (
                (ready.core_ms - start.core_ms) / (ready.at - start.at) / len(fleet.workers[position].names)
            )
            result.add_point(
                "idle", size, "hollow", f"w{position}", ready.at - start.at, {"core_ms_per_s": core}
            )
        node_places = places(context.target.topology, 2 * run.carriers, first=size, prefix="r")
        non_members = await real.add(node_places[: run.carriers], None)
        await fleet.enable_duty(duty)
        members = await real.add(node_places[run.carriers :], contacts(fleet, rng))
        for node in real.nodes:
            real.start_calls(node)
        if not await converged(fleet, members, size):
            raise ScaleError(
                f"{duty}: {size} members did not agree on one view within {CONVERGENCE_TIMEOUT_S:g} s"
            )
        await asyncio.sleep(run.settle_s)
        spans, rates = await measure_span(context, fleet, real, [*members, *non_members])
        add_simulated_node_points(result, duty, size, spans, idle)
        quiet_bytes = [
            point["measure"]["bytes_per_s"]
            for point in result.points.get(duty, [])
            if point["source"] == "hollow"
        ]
        for position in range(run.carriers):
            measure = difference(rates[position], rates[run.carriers + position])
            # A member that has just joined forwards everything it learnt, in a large cluster for minutes.
            recently_joined = not quiet_bytes or measure["bytes_per_s"] > JOINED_TRAFFIC_RATIO * fmean(
                quiet_bytes
            )
            result.add_point(
                "joined" if recently_joined else duty,
                size,
                "real",
                members[position].name,
                run.seconds,
                measure,
            )
        for label, nodes in (("with", members), ("without", non_members)):
            for node in nodes:
                row = {"duty": duty, "x": size, "node": node.name, "membership": label}
                result.calls.append({**row, **real.call_stats[node.name].to_dict()})
    report_means(context, result, duty, size)
    return result


def report_means(context: PartContext, result: PartResult, duty: str, x: float) -> None:
    """Print the mean measurements of a duty at one size or rate, and what was left out."""
    for source in ("hollow", "real"):
        rows = [
            point["measure"]
            for point in result.points.get(duty, [])
            if point["source"] == source and point["x"] == x
        ]
        if rows:
            cost = fmean(measure["core_ms_per_s"] for measure in rows)
            size = fmean(measure.get("bytes_per_s", 0.0) for measure in rows)
            memory = fmean(measure.get("memory_bytes", 0.0) for measure in rows)
            text = f"{cost:.3f} ms/s, {memory / 1e3:.0f} kB, {size:.0f} B/s"
            context.print_line(f"{duty} {x:g} {source}: {text} each, of {len(rows)} processes")
    for row in (row for row in result.left_out if (row["duty"], row["x"]) == (duty, x)):
        context.print_line(f"left out: {row['duty']} {row['x']:g} {row['process']}: {row['why']}")


async def side_by_side(context: PartContext, duty: str) -> PartResult:
    """Measure real processes without the duty and with it, then as many simulated nodes; no calls are sent.

    The idle cost is measured at several numbers of real processes, as they are started.
    """
    run, result = context.run, PartResult()
    async with cluster(context, run.real, run.real) as (fleet, real):
        node_places = places(context.target.topology, run.real, first=run.real, prefix="r")
        steps = sorted({max(1, round(run.real * fraction)) for fraction in (0.25, 0.5, 0.75, 1.0)})
        started = 0
        without_duty: list[dict[str, float]] = []
        for step in steps:
            await real.add(node_places[started:step], None)
            started = step
            seconds = run.seconds if step == run.real else run.seconds / 3
            without_duty = await _measure_real_nodes(context, real, seconds)
            for node, rates in zip(real.nodes, without_duty, strict=True):
                measure = {key: rates[key] for key in ("core_ms_per_s", "memory_bytes")}
                result.add_point("idle", step, "real", node.name, seconds, measure)
        report_means(context, result, "idle", run.real)
        await real.end(list(real.nodes))

        first = (await real.add(node_places[:1], []))[0]
        await real.add(node_places[1:], [first.member_address])
        deadline = asyncio.get_running_loop().time() + CONVERGENCE_TIMEOUT_S
        while True:
            views = {tuple(await _alive_and_digest(node)) for node in real.nodes}
            if len(views) == 1 and next(iter(views))[0] == run.real:
                break
            if asyncio.get_running_loop().time() >= deadline:
                raise ScaleError(
                    f"{run.real} real members did not agree on one view within {CONVERGENCE_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        with_duty = await _measure_real_nodes(context, real, run.seconds)
        for node, rates, before in zip(real.nodes, with_duty, without_duty, strict=True):
            result.add_point(duty, run.real, "real", node.name, run.seconds, difference(rates, before))
        await real.end(list(real.nodes))

        idle = await measure_idle(fleet, min(IDLE_S, run.seconds / 2))
        await fleet.enable_duty(duty)
        await asyncio.sleep(run.settle_s)
        spans, _ = await measure_span(context, fleet, real, [])
        add_simulated_node_points(result, duty, run.real, spans, idle)
    report_means(context, result, duty, run.real)
    return result


async def _alive_and_digest(node: RealNode) -> tuple[float, float]:
    metrics = await node.telemetry()
    return metrics.get('members{state="present"}', 0.0), metrics["members_view_digest"]


async def _measure_real_nodes(
    context: PartContext, real: RealNodes, seconds: float
) -> list[dict[str, float]]:
    await asyncio.sleep(context.run.settle_s)
    first = await real.read(real.nodes)
    await asyncio.sleep(seconds)
    last = await real.read(real.nodes, costs_first=True)
    return [real_rates(start, end) for start, end in zip(first, last, strict=True)]
