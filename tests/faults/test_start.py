"""Tests that a node starts although system calls fail for a moment."""

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
from tests.node.stubs import HOST, Client, StubDiscovery, StubServer, reply, run

OUTAGE_S = 1.0


@pytest.mark.parametrize(
    "fault",
    [
        CallFault("socket", errno.ENOBUFS),
        CallFault("socket", errno.ENFILE),
        CallFault("socket", errno.ENOMEM),
    ],
    ids=str,
)
def test_a_node_starts_once_sockets_can_be_opened(fault: CallFault, tmp_path: Path) -> None:
    """Guards against a start that ends as a bad configuration because of a moment without resources."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            members = tmp_path / "members.toml"
            members.write_text(f'[members]\ncluster = "c"\nlisten = "{HOST}:0"\njoin = ["{HOST}:1"]\n')
            faults = SystemCallFaults(tmp_path, [fault])
            environment = {
                **node_environment(discovery, config),
                **faults.environment(),
                "NODE_MANAGEMENT": f"{HOST}:0",
                "NODE_MEMBERS": str(members),
            }
            faults.switch(True)
            process = await stack.enter_async_context(running_process(await start_node(environment)))
            await asyncio.sleep(OUTAGE_S)
            assert faults.injected() > 0
            faults.switch(False)
            address = await logged_address(process, "listens")
            assert (await (await Client.connect(address)).ask("look")).status == 200

    run(main())
