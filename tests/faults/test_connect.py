"""Tests that failures of this machine to open a connection are not put down to the endpoints."""

from __future__ import annotations

import asyncio
import errno
import time
from pathlib import Path

import pytest

from tests.faults.harness import faulty_node
from tests.faults.system_calls import CallFault
from tests.faults.traffic import ServerPlan
from tests.node.stubs import run

OUTAGE_S = 1.0
RECOVERY_S = 0.2
WATCH_S = 0.5


@pytest.mark.parametrize(
    "fault",
    [
        CallFault("connect", errno.EADDRNOTAVAIL),
        CallFault("connect", errno.ENOBUFS),
        CallFault("connect", errno.ENETUNREACH),
        CallFault("connect", errno.EHOSTUNREACH),
        CallFault("socket", errno.ENOBUFS),
        CallFault("socket", errno.ENFILE),
    ],
    ids=str,
)
def test_no_endpoint_is_blamed_for_an_outage_of_local_resources(fault: CallFault, tmp_path: Path) -> None:
    """Guards against endpoints that are ejected for what this machine could not do."""

    async def main() -> None:
        async with faulty_node(tmp_path, [fault], plan=ServerPlan(closing=True)) as node:
            await asyncio.sleep(WATCH_S)
            node.faults.switch(True)
            await asyncio.sleep(OUTAGE_S)
            node.faults.switch(False)
            await asyncio.sleep(RECOVERY_S)
            recovered_at = time.monotonic()
            await asyncio.sleep(WATCH_S)
            assert await node.judge() == []
            assert node.faults.injected() > 0
            later = [each for each in node.record.requests.values() if each.sent_at >= recovered_at]
            assert {each.answer.status for each in later if each.answer is not None} == {200}
            assert "ejected" not in await node.end()

    run(main())
