"""The configuration duty: simulated followers and real nodes watch real relays behind a publisher."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from crowpost.lab.feed import real_processes as feed_processes
from crowpost.lab.scale.fleet import Fleet
from crowpost.lab.scale.places import places
from crowpost.lab.scale.proc import core_ms, memory_bytes
from crowpost.lab.scale.slopes import (
    CONVERGENCE_TIMEOUT_S,
    PartContext,
    PartResult,
    add_simulated_node_points,
    cluster,
    measure_idle,
    report_means,
)
from crowpost.lab.scale.target import ScaleError

WATCHED_RELAYS = 2  # Number of relays that each follower watches.
POLL_INTERVAL_S = 0.25
REGION = "north"


@dataclass(frozen=True, slots=True)
class _Cost:
    core_ms: float
    memory: int
    at: float


def _costs(pids: list[int]) -> list[_Cost]:
    now = asyncio.get_running_loop().time()
    return [_Cost(core_ms(pid), memory_bytes(pid), now) for pid in pids]


def _core_rate(first: _Cost, last: _Cost) -> float:
    return (last.core_ms - first.core_ms) / (last.at - first.at)


async def _wait_in_force(fleet: Fleet, version: int) -> None:
    """Wait until all followers watch two relays and have this version in force."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + CONVERGENCE_TIMEOUT_S
    while True:
        views = {view.partition(" ")[2] for reply in await fleet.ask_all("look") for view in reply["views"]}
        if views == {f"{WATCHED_RELAYS} {version}"}:
            return
        if loop.time() >= deadline:
            raise ScaleError(
                f"configuration: version {version} is not in force everywhere: {sorted(views)[:3]}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


async def _publish_at_rate(feed: feed_processes.Fleet, rate: float, duration_s: float) -> int:
    """Publish changes at a rate for a time; return the last version, or 0 if there was none."""
    loop = asyncio.get_running_loop()
    started, last_version = loop.time(), 0
    for change in range(round(rate * duration_s)):
        await asyncio.sleep(max(0.0, started + change / rate - loop.time()))
        last_version = await feed.publish()
    await asyncio.sleep(max(0.0, started + duration_s - loop.time()))
    return last_version


async def by_rate(context: PartContext) -> PartResult:
    """Measure followers, relays and the publisher by the rate of changes, compared with idle followers.

    Real followers are compared with real nodes without the feed; relays and the publisher are measured as
    whole processes.
    """
    run, result = context.run, PartResult()
    async with cluster(context, run.rate_members - run.carriers, run.carriers) as (fleet, real):
        feed = feed_processes.Fleet(context.folder, run.carriers, context.seed)
        try:
            node_places = places(context.target.topology, run.carriers, first=run.rate_members, prefix="r")
            non_followers = await real.add(node_places, None)
            await _all_rates(context, result, fleet, feed, [node.pid for node in non_followers])
        finally:
            await feed.end()
    return result


async def _all_rates(
    context: PartContext,
    result: PartResult,
    fleet: Fleet,
    feed: feed_processes.Fleet,
    pids_without_feed: list[int],
) -> None:
    run = context.run
    idle = await measure_idle(fleet, min(4.0, run.seconds / 2))
    await feed.start()
    assert feed.publisher is not None
    upstreams = [[relay.listens, relay.name] for relay in feed.relays]
    settings = {"cluster": feed_processes.CLUSTER, "region": REGION, "upstreams": upstreams}
    await fleet.enable_duty("configuration", settings)
    version = await feed.publish()
    await _wait_in_force(fleet, version)
    servers = [*feed.relays, feed.publisher]
    pids = [process.process.pid for process in (*servers, *feed.nodes)] + pids_without_feed
    for rate in run.config_rates:
        await asyncio.sleep(run.settle_s)
        costs_before, sent_before = _costs(pids), [await feed.bytes_of(server) for server in servers]
        readings_before = await fleet.read()
        version = max(version, await _publish_at_rate(feed, rate, run.seconds))
        readings_after = await fleet.read()
        costs_after = _costs(pids)
        sent_after = [await feed.bytes_of(server) for server in servers]
        add_simulated_node_points(
            result, "configuration", rate, list(zip(readings_before, readings_after, strict=True)), idle
        )
        for server, start, end, first, last in zip(
            servers, costs_before, costs_after, sent_before, sent_after, strict=False
        ):
            duty = "configuration_publisher" if server is feed.publisher else "configuration_relay"
            seconds = end.at - start.at
            measure = {
                "core_ms_per_s": (end.core_ms - start.core_ms) / seconds,
                "memory_bytes": float(end.memory),
                "bytes_per_s": (last - first) / seconds,
            }
            result.add_point(duty, rate, "real", server.name, seconds, measure)
        nodes = list(zip(costs_before, costs_after, strict=True))[len(servers) :]
        # The first half are followers; the second half are nodes without the feed.
        follower_count = len(nodes) // 2
        for position, (follower, comparison) in enumerate(
            zip(nodes[:follower_count], nodes[follower_count:], strict=True)
        ):
            core = _core_rate(*follower) - _core_rate(*comparison)
            memory = float(follower[1].memory - comparison[1].memory)
            measure = {"core_ms_per_s": core, "memory_bytes": memory}
            result.add_point("configuration", rate, "real", f"n{position}", run.seconds, measure)
        await _wait_in_force(fleet, version)
        report_means(context, result, "configuration", rate)
        report_means(context, result, "configuration_relay", rate)
    for rows in result.points.values():
        for row in rows:
            row["members"] = run.rate_members
