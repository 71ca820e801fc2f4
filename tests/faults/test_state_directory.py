"""Tests that a node keeps its state once a disk that has failed for a while works again."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
from pathlib import Path

import pytest

from tests.faults.system_calls import CallFault, SystemCallFaults
from tests.node.processes import (
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import HOST, WAIT_TIMEOUT_S, Answer, Client, StubDiscovery, StubServer, reply, run

OUTAGE_REQUESTS = 50
RETRY_S = 0.2


async def manage(address: tuple[str, int], method: str, path: str) -> Answer:
    client = await Client.connect(address)
    client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())
    answer = await client.answer()
    client.close()
    return answer


@pytest.mark.parametrize(
    "fault",
    [
        CallFault("file_write", errno.ENOSPC),
        CallFault("file_write", errno.EIO),
        CallFault("fsync", errno.EIO),
        CallFault("fsync", errno.ENOSPC),
    ],
    ids=str,
)
def test_an_evacuation_is_kept_once_the_disk_works_again(fault: CallFault, tmp_path: Path) -> None:
    """Guards against a node that writes nothing more after one failed write, until it is restarted."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            state = tmp_path / "state.toml"
            state.write_text(f'[state]\ndirectory = "{tmp_path}/state"\nevery_ms = 100\n')
            faults = SystemCallFaults(tmp_path, [fault])
            environment = {
                **node_environment(discovery, config),
                **faults.environment(),
                "NODE_MANAGEMENT": f"{HOST}:0",
                "NODE_STATE": str(state),
            }
            process = await stack.enter_async_context(running_process(await start_node(environment)))
            managed = await logged_address(process, "managed")
            client = await Client.connect(await logged_address(process, "listens"))
            faults.switch(True)
            while not faults.injected():
                assert (await client.ask("look")).status == 200
            for _ in range(OUTAGE_REQUESTS):
                assert (await client.ask("look")).status == 200
            assert b"may forget it" in (await manage(managed, "POST", "/api/evacuate")).body
            faults.switch(False)
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while (await manage(managed, "POST", "/api/evacuate")).body:
                    await asyncio.sleep(RETRY_S)
            process.kill()
            await process.wait()
            again = await stack.enter_async_context(running_process(await start_node(environment)))
            managed = await logged_address(again, "managed")
            assert (await manage(managed, "GET", "/api/ready")).status == 503

    run(main())
