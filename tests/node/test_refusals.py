"""Tests that a flood of requests that are not served does not fill the log."""

from __future__ import annotations

import asyncio
import logging

import pytest

from tests.node.stubs import request, run, running_node

FLOOD = 2000
REFUSED = request("look", drop=("X-Tenant",))


def test_a_flood_of_refused_requests_is_a_few_lines_of_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log that grows by megabytes for requests that nobody serves."""
    caplog.set_level(logging.INFO)

    async def main() -> None:
        async with running_node() as running:
            for _ in range(FLOOD // 20):
                clients = await asyncio.gather(*(running.client() for _ in range(20)))
                for client in clients:
                    client.writer.write(REFUSED)
                assert [(await client.answer()).status for client in clients] == [400] * 20
                for client in clients:
                    client.close()

    run(main())
    lines = [record.getMessage() for record in caplog.records if "is not served" in record.getMessage()]
    assert len(lines) < FLOOD / 20
    assert all("x-tenant is missing or repeated" in line for line in lines)
