"""Cost of member restarts by their rate, for the other members and for the restarted one."""

from __future__ import annotations

import asyncio
from random import Random
from statistics import fmean

from crowpost.lab.scale.fleet import Fleet, Reading
from crowpost.lab.scale.places import places
from crowpost.lab.scale.slopes import (
    CONVERGENCE_TIMEOUT_S,
    IDLE_S,
    JOINED_TRAFFIC_RATIO,
    PartContext,
    PartResult,
    add_simulated_node_points,
    cluster,
    contacts,
    converged,
    difference,
    exclusion_reason,
    measure_idle,
    measure_span,
    report_means,
    simulated_node_measure,
)
from crowpost.lab.scale.target import ScaleError


async def by_rate(context: PartContext) -> PartResult:
    """Restart members of one worker at each rate, each leaving the cluster first; measure the others."""
    run, result = context.run, PartResult()
    size = run.rate_members
    rng = Random(f"changes {context.seed}")
    async with cluster(context, size - run.carriers, 2 * run.carriers) as (fleet, real):
        idle = await measure_idle(fleet, min(IDLE_S, run.seconds / 2))
        node_places = places(context.target.topology, 2 * run.carriers, first=size, prefix="r")
        non_members = await real.add(node_places[: run.carriers], None)
        await fleet.enable_duty("membership")
        members = await real.add(node_places[run.carriers :], contacts(fleet, rng))
        for node in real.nodes:
            real.start_calls(node)
        restarted = fleet.workers[-1].names
        for rate in run.rates:
            if not await converged(fleet, members, size):
                raise ScaleError(
                    f"changes: {size} members did not agree on one view within {CONVERGENCE_TIMEOUT_S:g} s"
                )
            stopping = asyncio.Event()
            restarts = asyncio.ensure_future(_restarts(fleet, restarted, rate, rng, stopping))
            try:
                await asyncio.sleep(run.settle_s)
                spans, rates = await measure_span(context, fleet, real, [*members, *non_members])
            finally:
                stopping.set()
                await restarts
            add_simulated_node_points(result, "changes", rate, spans[:-1], idle[:-1])
            for position in range(run.carriers):
                measure = difference(rates[position], rates[run.carriers + position])
                result.add_point("changes", rate, "real", members[position].name, run.seconds, measure)
            _add_restart_point(result, rate, spans, idle)
            report_means(context, result, "changes", rate)
    exclude_recent_joiners(result, "changes")
    for rows in result.points.values():
        # Memory depends on the cluster size and not on the rate.
        for row in rows:
            row["measure"].pop("memory_bytes", None)
            row["members"] = size
    return result


def exclude_recent_joiners(result: PartResult, duty: str) -> None:
    """Exclude real nodes if at the lowest x they still forwarded what they had learnt when they joined."""
    rows = result.points.get(duty, [])
    least_rows = [row for row in rows if row["x"] == min(row["x"] for row in rows)]
    sent_bytes = {
        source: [row["measure"]["bytes_per_s"] for row in least_rows if row["source"] == source]
        for source in ("hollow", "real")
    }
    if (
        not sent_bytes["real"]
        or not sent_bytes["hollow"]
        or fmean(sent_bytes["real"]) <= JOINED_TRAFFIC_RATIO * fmean(sent_bytes["hollow"])
    ):
        return
    reason = f"it still forwarded what it had learnt when it joined: {fmean(sent_bytes['real']):.0f} bytes/s"
    for row in rows:
        if row["source"] == "real":
            left_out = {"duty": duty, "x": row["x"], "source": "real", "process": row["process"]}
            result.left_out.append({**left_out, "why": reason})
    result.points[duty] = [row for row in rows if row["source"] != "real"]


async def _restarts(
    fleet: Fleet, names: list[str], rate: float, rng: Random, stopping: asyncio.Event
) -> None:
    if rate <= 0.0:
        return
    shuffled = list(names)
    rng.shuffle(shuffled)
    loop = asyncio.get_running_loop()
    due, position = loop.time(), 0
    while not stopping.is_set():
        due += 1.0 / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
        name = shuffled[position % len(shuffled)]
        position += 1
        await fleet.ask_nodes("restart", [name], settings={"join": contacts(fleet, rng, excluded=names)})


def _add_restart_point(
    result: PartResult, rate: float, spans: list[tuple[Reading, Reading]], idle: list[tuple[Reading, Reading]]
) -> None:
    """Add the additional cost of the worker with restarts over its members' normal cost.

    It is the cost of the whole process and not of one node, so its slope by rate is the cost of one restart.
    """
    costs = []
    for (before, after), (start, ready) in zip(spans, idle, strict=True):
        if exclusion_reason(before, after) and after is not spans[-1][1]:
            return
        idle_ms = (ready.core_ms - start.core_ms) / (ready.at - start.at)
        costs.append(simulated_node_measure(before, after, idle_ms, ready.memory))
    nodes = spans[-1][1].nodes
    others = {key: fmean(cost[key] for cost in costs[:-1]) for key in costs[-1]}
    measure = {key: nodes * (costs[-1][key] - others[key]) for key in others}
    result.add_point("restart", rate, "hollow", "last", spans[-1][1].at - spans[-1][0].at, measure)
