"""Tests that no connection is lost while accepting one fails."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from tests.faults.harness import faulty_node
from tests.faults.system_calls import CallFault
from tests.node.stubs import WAIT_TIMEOUT_S, run

MIN_INJECTED = 20
OUTAGE_S = 0.5
# Far more than a node needs for the load of this test, far less than one that never waits would use.
MAX_OUTAGE_PROCESSOR_S = 0.5 * OUTAGE_S


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
