"""The duty configuration: hollow followers and real nodes watch real relay processes, behind a publisher."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from crowpost.lab.feed import real_processes as feed_processes
from crowpost.lab.scale.fleet import Fleet
from crowpost.lab.scale.places import places
from crowpost.lab.scale.proc import core_ms, memory_bytes
from crowpost.lab.scale.slopes import ONE_VIEW_S, Piece, Setting, cluster, hollow_points, idle_span, tell
from crowpost.lab.scale.target import ScaleError

LINKS = 2  # relays that each follower watches
LOOK_S = 0.25
REGION = "north"


@dataclass(frozen=True, slots=True)
class _Cost:
    core_ms: float
    memory: int
    at: float


def _costs(pids: list[int]) -> list[_Cost]:
    now = asyncio.get_running_loop().time()
    return [_Cost(core_ms(pid), memory_bytes(pid), now) for pid in pids]


def _rate(first: _Cost, last: _Cost) -> float:
    return (last.core_ms - first.core_ms) / (last.at - first.at)


async def _until(fleet: Fleet, version: int) -> None:
    """Until all followers watch two relays and have this version in force."""
    loop = asyncio.get_running_loop()
    until = loop.time() + ONE_VIEW_S
    while True:
        views = {view.partition(" ")[2] for told in await fleet.all("look") for view in told["views"]}
        if views == {f"{LINKS} {version}"}:
            return
        if loop.time() >= until:
            raise ScaleError(
                f"configuration: version {version} is not in force everywhere: {sorted(views)[:3]}"
            )
        await asyncio.sleep(LOOK_S)


async def _publish(feed: feed_processes.Fleet, rate: float, for_s: float) -> int:
    """So many changes a second for so long; the last version, 0 for none."""
    loop = asyncio.get_running_loop()
    began, last = loop.time(), 0
    for number in range(round(rate * for_s)):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        last = await feed.publish()
    await asyncio.sleep(max(0.0, began + for_s - loop.time()))
    return last


async def by_rate(setting: Setting) -> Piece:
    """Costs of followers, relays and the publisher by the rate of changes, beside followers with nothing on.

    Real followers are measured against real nodes without the feed; of relays and publisher the whole
    process is shown.
    """
    run, piece = setting.run, Piece()
    async with cluster(setting, run.rate_members - run.carriers, run.carriers) as (fleet, real):
        feed = feed_processes.Fleet(setting.folder, run.carriers, setting.seed)
        try:
            spots = places(setting.target.topology, run.carriers, first=run.rate_members, prefix="r")
            without = await real.add(spots, None)
            await _all_rates(setting, piece, fleet, feed, [node.pid for node in without])
        finally:
            await feed.end()
    return piece


async def _all_rates(
    setting: Setting, piece: Piece, fleet: Fleet, feed: feed_processes.Fleet, without: list[int]
) -> None:
    run = setting.run
    idle = await idle_span(fleet, min(4.0, run.seconds / 2))
    await feed.start()
    assert feed.publisher is not None
    upstreams = [[relay.listens, relay.name] for relay in feed.relays]
    told = {"cluster": feed_processes.CLUSTER, "region": REGION, "upstreams": upstreams}
    await fleet.open("configuration", told)
    version = await feed.publish()
    await _until(fleet, version)
    servers = [*feed.relays, feed.publisher]
    pids = [p.process.pid for p in (*servers, *feed.nodes)] + without
    for rate in run.config_rates:
        await asyncio.sleep(run.settle_s)
        costs, sent = _costs(pids), [await feed.bytes_of(s) for s in servers]
        before = await fleet.read()
        version = max(version, await _publish(feed, rate, run.seconds))
        after = await fleet.read()
        ended = _costs(pids)
        got = [await feed.bytes_of(s) for s in servers]
        hollow_points(piece, "configuration", rate, list(zip(before, after, strict=True)), idle)
        for server, a, b, first, last in zip(servers, costs, ended, sent, got, strict=False):
            duty = "configuration_publisher" if server is feed.publisher else "configuration_relay"
            seconds = b.at - a.at
            measure = {
                "core_ms_per_s": (b.core_ms - a.core_ms) / seconds,
                "memory_bytes": float(b.memory),
                "bytes_per_s": (last - first) / seconds,
            }
            piece.point(duty, rate, "real", server.name, seconds, measure)
        nodes = list(zip(costs, ended, strict=True))[len(servers) :]
        half = len(nodes) // 2  # the first half follow, the others do not
        for i, (one, other) in enumerate(zip(nodes[:half], nodes[half:], strict=True)):
            core = _rate(*one) - _rate(*other)
            memory = float(one[1].memory - other[1].memory)
            measure = {"core_ms_per_s": core, "memory_bytes": memory}
            piece.point("configuration", rate, "real", f"n{i}", run.seconds, measure)
        await _until(fleet, version)
        tell(setting, piece, "configuration", rate)
        tell(setting, piece, "configuration_relay", rate)
    for rows in piece.points.values():
        for row in rows:
            row["members"] = run.rate_members
