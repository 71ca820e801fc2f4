"""A node process with faults, with its servers, its discovery and traffic of every class."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from tests.faults.system_calls import CallFault, SystemCallFaults
from tests.faults.traffic import Record, ServerPlan, Traffic, recording_server, settle, violations
from tests.node.processes import (
    kill,
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import StubDiscovery, StubServer

SERVERS = 4
KEPT_CLIENTS = 9
FRESH_CLIENTS = 9
MEMORY_MB = 64
SOCKETS = 512
# How long an attempt may be under way when the traffic has ended.
SETTLE_S = 0.3


@dataclass(slots=True)
class FaultyNode:
    """A running node process, its faults, and the traffic through it; `ending`: it may have ended."""

    process: asyncio.subprocess.Process
    address: tuple[str, int]
    faults: SystemCallFaults
    traffic: Traffic
    record: Record
    discovery: StubDiscovery
    servers: Sequence[StubServer]
    log: asyncio.Task[bytes]
    ending: bool = False

    async def judge(self) -> list[str]:
        """End the traffic and return what broke a rule."""
        await self.traffic.stop()
        await settle(SETTLE_S)
        return violations(self.record)

    async def end(self) -> str:
        """Kill the process and return its log."""
        self.ending = True
        kill(self.process)
        return (await self.log).decode()

    def processor_time_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks_per_s = 100.0
        return (int(fields[11]) + int(fields[12])) / ticks_per_s


@contextlib.asynccontextmanager
async def faulty_node(
    directory: Path,
    faults: Sequence[CallFault] = (),
    *,
    seed: int = 1,
    plan: ServerPlan | None = None,
    leave_share: float = 0.0,
    deadline_s: float = 2.0,
    longest_deadline_s: float = 4.0,
) -> AsyncIterator[FaultyNode]:
    """Run a node whose faults are off at first, with clients that keep a connection and clients that don't.

    The node must not have ended by itself, nor logged an exception.
    """
    rng = random.Random(seed)
    record = Record()
    shim = SystemCallFaults(directory, faults, seed)
    async with contextlib.AsyncExitStack() as stack:
        servers = []
        for index in range(SERVERS):
            server = recording_server(record, f"s{index}", rng, plan or ServerPlan())
            servers.append(await stack.enter_async_context(server))
        discovery = await stack.enter_async_context(StubDiscovery())
        config = directory / "config.json"
        raw = node_configuration(*servers, memory_mb=MEMORY_MB, sockets=SOCKETS)
        for profile in raw["settings"]["profiles"]:
            profile["deadlineMs"] = 1000.0 * longest_deadline_s
            profile["aimMs"] = min(profile["aimMs"], profile["deadlineMs"])
        config.write_text(json.dumps({**raw, "discovery": discovery.address}))
        environment = {**node_environment(discovery, config), **shim.environment()}
        process = await stack.enter_async_context(running_process(await start_node(environment)))
        address = await logged_address(process, "listens")
        assert process.stderr is not None
        log = asyncio.create_task(process.stderr.read())
        traffic = Traffic(record, address, rng, deadline_s=deadline_s, leave_share=leave_share)
        traffic.start(KEPT_CLIENTS, FRESH_CLIENTS)
        node = FaultyNode(process, address, shim, traffic, record, discovery, servers, log)
        yield node
        assert node.ending or process.returncode is None, "the node has ended"
        kill(process)
        await process.wait()
        assert b"Traceback" not in await log
