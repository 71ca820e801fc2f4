"""A soak of one node process under faults that a seed draws, judged from outside.

The suite plays SEEDS; the environment variable CROWPOST_FAULT_SEEDS ("1-50") sets others for a run by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.faults.harness import KILL_AFTER_S, MOST_DEADLINE_S, FaultyNode, faulty_node
from tests.faults.system_calls import SHORT, CallFault
from tests.faults.traffic import ServerPlan
from tests.node.stubs import Client, listing, request, row, run, send_line

FIRST_SEED, _, LAST_SEED = os.environ.get("CROWPOST_FAULT_SEEDS", "1-6").partition("-")
SEEDS = range(int(FIRST_SEED), int(LAST_SEED or FIRST_SEED) + 1)

FAULTS_S = 4.0
UPGRADE_AFTER_S = 1.0
MEMORY_INTERVAL_S = 0.05
STEP_S = 0.25
HOLD_S = 0.15
WALL_CLOCK_STEPS_MS = (-3_600_000, -5_000, 5_000, 3_600_000)
# Clients open new connections for this long after SIGTERM (PROTOCOL, "Figures").
NEW_CONNECTIONS_S = 0.3
CROWD = 100
BAD_INPUT = (
    request("look", drop=("X-Tenant",)),
    b"GET /api HTTP/1.1\r\nno field\r\n\r\n",
    request("book", body=bytes(30_000))[:-1],
    b"",
)
# How long a server drains, beyond the time in which it may still get requests.
DRAIN_S = 0.8
DEADLINES_S = (0.6, 4.0)
REQUEST_DEADLINE_FRACTION = 0.8

FAULTS = (
    CallFault("accept", errno.ENFILE, 0.05),
    CallFault("accept", errno.ECONNABORTED, 0.05),
    CallFault("socket", errno.ENOBUFS, 0.1),
    CallFault("connect", errno.EADDRNOTAVAIL, 0.1),
    CallFault("connect", errno.ENETUNREACH, 0.1),
    CallFault("read", SHORT, 0.3),
    CallFault("write", SHORT, 0.3),
    CallFault("read", errno.EINTR, 0.1),
    CallFault("wait", errno.EINTR, 0.3),
    CallFault("wall_clock"),
    CallFault("read_out", errno.ETIMEDOUT, 0.02),
    CallFault("read_out", errno.EHOSTUNREACH, 0.02),
    CallFault("write_out", errno.EHOSTUNREACH, 0.02),
    CallFault("write_out", errno.ENOBUFS, 0.02),
    CallFault("connect", errno.EHOSTUNREACH, 0.1),
    CallFault("fallocate", errno.ENOSPC),
)


@dataclass(frozen=True, slots=True)
class Plan:
    """What a seed draws for one run."""

    longest_deadline_s: float
    servers: ServerPlan
    leave_share: float
    active_faults: Sequence[int]
    holds: bool
    last_signals: Sequence[signal.Signals]
    crowd: int
    drains: bool
    upgrade: bool
    memory_mb: int
    sockets: int


def draw_plan(rng: random.Random) -> Plan:
    return Plan(
        longest_deadline_s=rng.choice(DEADLINES_S),
        servers=ServerPlan(failed=0.1 * rng.random(), reset=0.05 * rng.random(), turned_away=0.1),
        leave_share=rng.choice((0.0, 0.2)),
        active_faults=rng.sample(range(len(FAULTS)), rng.randrange(1, len(FAULTS))),
        holds=rng.random() < 0.5,
        last_signals=rng.choice(
            (
                [signal.SIGTERM],
                [signal.SIGTERM, signal.SIGTERM],
                [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP],
            )
        ),
        crowd=rng.choice((0, CROWD)),
        drains=rng.random() < 0.5,
        upgrade=(upgrade := rng.random() < 0.4),
        # The two processes of an upgrade share the limits.
        memory_mb=64 if upgrade else 32,
        # With 256, a crowd fills the places of clients, and idle connections are closed for new ones.
        sockets=512 if upgrade else rng.choice((256, 512)),
    )


async def disturb(node: FaultyNode, plan: Plan, rng: random.Random) -> None:
    """Switch the faults of the plan on and off, and hold the process up, for FAULTS_S."""
    until = time.monotonic() + FAULTS_S
    while time.monotonic() < until:
        for index in plan.active_faults:
            node.faults.switch(rng.random() < 0.7, index, value=rng.choice(WALL_CLOCK_STEPS_MS))
        await asyncio.sleep(STEP_S * (1.0 + rng.random()))
        if plan.holds:
            # An upgrade may begin meanwhile.
            process = node.process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HOLD_S * rng.random())
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)


async def upgrade_later(node: FaultyNode) -> None:
    """Start a new process beside the old one in the middle of the faults."""
    await asyncio.sleep(UPGRADE_AFTER_S)
    await node.upgrade()


async def peak_memory_bytes(node: FaultyNode) -> int:
    """Return the most memory of all processes until the newest one has ended."""
    peak = 0
    while not node.ending:
        peak = max(peak, node.memory_bytes())
        await asyncio.sleep(MEMORY_INTERVAL_S)
    return peak


async def misbehave(address: tuple[str, int], rng: random.Random, until: float) -> None:
    """Connect, send something that is not served or not complete, and leave, again and again."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError):
            client = await Client.connect(address)
            client.writer.write(rng.choice(BAD_INPUT))
            async with asyncio.timeout(0.2):
                await client.reader.read()
            client.close()
        await asyncio.sleep(0.02)


class DrainingServers:
    """Discovery, which tells the node again and again that another server drains and the others serve."""

    def __init__(self, node: FaultyNode, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._rows = [row(chr(ord("a") + i), server.address) for i, server in enumerate(node.servers)]
        self._draining: int | None = None
        self._generation = 1
        self._watches: list[asyncio.StreamWriter] = []

    async def serve(self, until: float) -> None:
        """Tell the list on each watch that a process of the node opens, and whenever it changes."""
        watching = asyncio.create_task(self._take_watches())
        while time.monotonic() < until:
            others = [index for index in range(len(self._rows)) if index != self._draining]
            self._draining = self._rng.choice(others)
            self._generation += 1
            self._tell()
            await asyncio.sleep(DRAIN_S)
        self._draining = None
        self._generation += 1
        self._tell()
        watching.cancel()

    async def _take_watches(self) -> None:
        while True:
            self._watches.append(await self._node.discovery.watches.get())
            self._tell()

    def _tell(self) -> None:
        """Write the list to all watches: what is written counts as told."""
        lifecycles = {self._draining: "DRAINING"}
        entries = [
            {**each, "lifecycle": lifecycles.get(index, "SERVING")} for index, each in enumerate(self._rows)
        ]
        self._watches = [watch for watch in self._watches if not watch.is_closing()]
        for watch in self._watches:
            with contextlib.suppress(RuntimeError):
                send_line(watch, listing(self._generation, *entries))
        told_at = max(time.monotonic(), self._node.news_count_from)
        told = None if self._draining is None else (f"s{self._draining}", told_at)
        self._node.record.draining = told if self._watches else None


async def shut_down(node: FaultyNode, plan: Plan, rng: random.Random) -> None:
    """Send the last signals, and SIGKILL at its earliest; clients go on until then."""
    began = time.monotonic()
    for number in plan.last_signals:
        node.process.send_signal(number)
        await asyncio.sleep(0.05 * rng.random())
    await asyncio.sleep(max(0.0, began + NEW_CONNECTIONS_S - time.monotonic()))
    node.traffic.only_kept = True
    kill_at = began + min(MOST_DEADLINE_S, plan.longest_deadline_s) + KILL_AFTER_S
    try:
        await asyncio.wait_for(node.process.wait(), kill_at - time.monotonic())
    except TimeoutError:
        node.process.kill()


@pytest.mark.parametrize("seed", SEEDS)
def test_every_rule_holds_under_faults_that_a_seed_draws(seed: int, tmp_path: Path) -> None:
    rng = random.Random(seed)
    plan = draw_plan(rng)

    async def main() -> None:
        async with faulty_node(
            tmp_path,
            FAULTS,
            seed=seed,
            plan=plan.servers,
            leave_share=plan.leave_share,
            deadline_s=REQUEST_DEADLINE_FRACTION * plan.longest_deadline_s,
            longest_deadline_s=plan.longest_deadline_s,
            inherited=plan.upgrade,
            memory_mb=plan.memory_mb,
            sockets=plan.sockets,
        ) as node:
            peak = asyncio.create_task(peak_memory_bytes(node))
            until = time.monotonic() + FAULTS_S
            others = [misbehave(node.address, rng, until) for _ in range(plan.crowd)]
            if plan.drains:
                others.append(DrainingServers(node, rng).serve(until))
            if plan.upgrade:
                others.append(upgrade_later(node))
            await asyncio.gather(disturb(node, plan, rng), *others)
            if plan.upgrade:
                # The platform holds the clients' socket on, so the last process is not told to end here.
                await node.traffic.stop()
            else:
                await shut_down(node, plan, rng)
            node.ending = True
            found = await node.judge()
            peak_mb = await peak / 1e6
            end = f"exit {node.process.returncode}, {peak_mb:.1f} MB"
            print(seed, plan, dict(node.record.statuses()), end, found)
            assert found == []
            assert peak_mb < plan.memory_mb
            assert any(map(node.faults.injected, plan.active_faults))

    run(main())
