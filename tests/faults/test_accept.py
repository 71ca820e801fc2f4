"""Tests that no connection is lost while accepting one fails."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
from pathlib import Path

import pytest

from crowpost.node.resource_shares import CLIENT_SOCKET_FRACTION, ENDPOINT_SOCKET_FRACTION
from tests.faults.harness import SOCKETS, faulty_node
from tests.faults.system_calls import CallFault
from tests.node.stubs import WAIT_TIMEOUT_S, Client, run

MIN_INJECTED = 20
OUTAGE_S = 0.5
# Far more than a node needs for the load of this test, far less than one that never waits would use.
MAX_OUTAGE_PROCESSOR_S = 0.5 * OUTAGE_S

CROWD = 400
CROWD_S = 2.0


async def connect_and_leave(address: tuple[str, int], until: float) -> None:
    """Open one connection after the other, and leave each one a moment later."""
    while asyncio.get_running_loop().time() < until:
        with contextlib.suppress(OSError):
            client = await Client.connect(address)
            await asyncio.sleep(0.01)
            client.close()


@pytest.mark.parametrize(
    "error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED, errno.EINTR]
)
def test_no_request_on_a_new_connection_is_lost_while_accepting_fails_for_moments(
    error: int, tmp_path: Path
) -> None:
    """Guards against waiting connections that are closed without an answer."""

    async def main() -> None:
        async with faulty_node(tmp_path, [CallFault("accept", error, 0.1)]) as node:
            node.faults.switch(True)
            while node.faults.injected() < MIN_INJECTED:
                await asyncio.sleep(0.01)
            assert await node.judge() == []

    run(main())


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE])
def test_connections_wait_without_a_spin_while_no_descriptor_is_left(error: int, tmp_path: Path) -> None:
    """Guards against an event loop that tries again without a pause, and against lost connections."""

    async def main() -> None:
        async with faulty_node(tmp_path, [CallFault("accept", error)]) as node:
            before_s = node.processor_time_s()
            node.faults.switch(True)
            await asyncio.sleep(OUTAGE_S)
            node.faults.switch(False)
            assert node.processor_time_s() - before_s < MAX_OUTAGE_PROCESSOR_S
            assert node.faults.injected() > 0
            assert await asyncio.wait_for(node.judge(), WAIT_TIMEOUT_S) == []

    run(main())


def test_a_crowd_of_new_connections_leaves_the_process_within_its_descriptors(tmp_path: Path) -> None:
    """Guards against connections that are accepted faster than the ones in their place close."""

    async def main() -> None:
        async with faulty_node(tmp_path) as node:
            until = asyncio.get_running_loop().time() + CROWD_S
            crowd = [asyncio.create_task(connect_and_leave(node.address, until)) for _ in range(CROWD)]
            most = 0
            while asyncio.get_running_loop().time() < until:
                most = max(most, len(os.listdir(f"/proc/{node.process.pid}/fd")))
                await asyncio.sleep(0.005)
            await asyncio.gather(*crowd)
            # The rest is for discovery, files and the process itself.
            assert most < (CLIENT_SOCKET_FRACTION + ENDPOINT_SOCKET_FRACTION) * SOCKETS

    run(main())
