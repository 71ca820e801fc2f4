"""What restarts of members cost the others, and the one that is restarted, by their rate."""

from __future__ import annotations

import asyncio
from random import Random
from statistics import fmean

from crowpost.lab.scale.fleet import Fleet, Reading
from crowpost.lab.scale.places import places
from crowpost.lab.scale.slopes import (
    FRESH,
    IDLE_S,
    ONE_VIEW_S,
    Piece,
    Setting,
    cluster,
    contacts,
    hollow_measure,
    hollow_points,
    idle_span,
    less,
    one_view,
    span,
    tell,
    unfit,
)
from crowpost.lab.scale.target import ScaleError


async def by_rate(setting: Setting) -> Piece:
    """Members of one worker leave in order and are back, so many a second; the others are measured."""
    run, piece = setting.run, Piece()
    size = run.rate_members
    rng = Random(f"changes {setting.seed}")
    async with cluster(setting, size - run.carriers, 2 * run.carriers) as (fleet, real):
        idle = await idle_span(fleet, min(IDLE_S, run.seconds / 2))
        spots = places(setting.target.topology, 2 * run.carriers, first=size, prefix="r")
        without = await real.add(spots[: run.carriers], None)
        await fleet.open("membership")
        members = await real.add(spots[run.carriers :], contacts(fleet, rng))
        for node in real.nodes:
            real.call(node)
        renewed = fleet.workers[-1].names
        for rate in run.rates:
            if not await one_view(fleet, members, size):
                raise ScaleError(f"changes: {size} members do not hold one view after {ONE_VIEW_S:g} s")
            over = asyncio.Event()
            restarts = asyncio.ensure_future(_restarts(fleet, renewed, rate, rng, over))
            try:
                await asyncio.sleep(run.settle_s)
                spans, rates = await span(setting, fleet, real, [*members, *without])
            finally:
                over.set()
                await restarts
            hollow_points(piece, "changes", rate, spans[:-1], idle[:-1])
            for i in range(run.carriers):
                measure = less(rates[i], rates[run.carriers + i])
                piece.point("changes", rate, "real", members[i].name, run.seconds, measure)
            _restart_point(piece, rate, spans, idle)
            tell(setting, piece, "changes", rate)
    without_joiners(piece, "changes")
    for rows in piece.points.values():
        for row in rows:  # memory is held by size, and not by rate
            row["measure"].pop("memory_bytes", None)
            row["members"] = size
    return piece


def without_joiners(piece: Piece, duty: str) -> None:
    """Leave real nodes out if at the least x they still passed on what they had learnt as they joined."""
    rows = piece.points.get(duty, [])
    least = [r for r in rows if r["x"] == min(r["x"] for r in rows)]
    sent = {s: [r["measure"]["bytes_per_s"] for r in least if r["source"] == s] for s in ("hollow", "real")}
    if not sent["real"] or not sent["hollow"] or fmean(sent["real"]) <= FRESH * fmean(sent["hollow"]):
        return
    why = f"it still passed on what it had learnt as it joined, {fmean(sent['real']):.0f} bytes a second"
    for row in rows:
        if row["source"] == "real":
            what = {"duty": duty, "x": row["x"], "source": "real", "process": row["process"]}
            piece.left_out.append({**what, "why": why})
    piece.points[duty] = [r for r in rows if r["source"] != "real"]


async def _restarts(fleet: Fleet, names: list[str], rate: float, rng: Random, over: asyncio.Event) -> None:
    if rate <= 0.0:
        return
    order = list(names)
    rng.shuffle(order)
    loop = asyncio.get_running_loop()
    due, place = loop.time(), 0
    while not over.is_set():
        due += 1.0 / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
        name = order[place % len(order)]
        place += 1
        await fleet.some("restart", [name], settings={"join": contacts(fleet, rng, but=names)})


def _restart_point(
    piece: Piece, rate: float, spans: list[tuple[Reading, Reading]], idle: list[tuple[Reading, Reading]]
) -> None:
    """What the renewed worker took beyond its members' share, as a whole: by the rate, so for one restart."""
    costs = []
    for (before, after), (start, ready) in zip(spans, idle, strict=True):
        if unfit(before, after) and after is not spans[-1][1]:
            return
        idle_ms = (ready.core_ms - start.core_ms) / (ready.at - start.at)
        costs.append(hollow_measure(before, after, idle_ms, ready.memory))
    nodes = spans[-1][1].nodes
    others = {key: fmean(c[key] for c in costs[:-1]) for key in costs[-1]}
    measure = {key: nodes * (costs[-1][key] - others[key]) for key in others}
    piece.point("restart", rate, "hollow", "last", spans[-1][1].at - spans[-1][0].at, measure)
