"""Tests that a node misses nothing of a list that is pushed: what the agent has counts as told."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from pathlib import Path

from tests.node.processes import (
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import StubDiscovery, StubServer, reply, run, send_line

# An agent without news sends an empty line only every 2 s (PROTOCOL, "Discovery").
QUIET_S = 1.9
# The settings of these tests allow 0.25 s after a drain was told, and sockets 0.05 s more.
DRAIN_GRACE_S = 0.3


def test_a_quiet_watch_is_kept_and_one_that_breaks_is_replaced_within_the_grace_of_drains(
    tmp_path: Path,
) -> None:
    """Guards against a node that is blind for moments: its watch was given up 80 ms after it was opened."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK")]))
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            process = await start_node(node_environment(discovery, config))
            await stack.enter_async_context(running_process(process))
            await logged_address(process, "listens")
            watch = await discovery.watch()
            await asyncio.sleep(QUIET_S)
            assert len(discovery.targets) == 1
            send_line(watch, b"")
            await watch.drain()
            broken_at = time.monotonic()
            watch.transport.abort()
            await discovery.watch()
            assert time.monotonic() - broken_at < DRAIN_GRACE_S / 2

    run(main())
