"""Tests that a process that is held up for moments keeps to the times of its clients."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from tests.faults.harness import FaultyNode, faulty_node
from tests.faults.traffic import ServerPlan
from tests.node.stubs import run

SEED = 7
HOLDS = 12
# The longest time for which the operators hold a process up.
HOLD_S = 0.15
# The least time between two of them, so that one request does not meet two.
PAUSE_S = 0.35
# How long requests wait to be read in the test of their deadlines.
LATE_S = 0.5
PLAN = ServerPlan(failed=0.2, turned_away=0.1)


async def hold_up(node: FaultyNode, rng: random.Random) -> None:
    for _ in range(HOLDS):
        await asyncio.sleep(PAUSE_S * (1.0 + 0.5 * rng.random()))
        node.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HOLD_S)
        node.process.send_signal(signal.SIGCONT)


def test_no_server_is_told_more_time_than_is_left_of_a_request_that_was_read_late(tmp_path: Path) -> None:
    """Guards against a deadline that counts from the time at which a late node reads the request."""

    async def main() -> None:
        async with faulty_node(tmp_path, seed=SEED) as node:
            for _ in range(3):
                # Held up while no request is being handled: the terms allow 0.15 s between two steps.
                await node.traffic.stop()
                node.process.send_signal(signal.SIGSTOP)
                node.traffic.restart()
                await asyncio.sleep(LATE_S)
                node.process.send_signal(signal.SIGCONT)
                await asyncio.sleep(PAUSE_S)
            assert await node.judge() == []

    run(main())


def test_no_attempt_begins_late_after_the_client_of_a_held_up_node_has_left(tmp_path: Path) -> None:
    """Guards against a retry, or a first attempt, whose client closed while the node was held up."""

    async def main() -> None:
        async with faulty_node(tmp_path, seed=SEED, plan=PLAN, leave_share=0.4) as node:
            await hold_up(node, random.Random(SEED))
            assert await node.judge() == []
            assert any(sent.left_at is not None for sent in node.record.requests.values())

    run(main())
