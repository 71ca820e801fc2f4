"""A node process with faults, with its servers, its discovery and traffic of every class."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import random
import re
import socket
import time
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
    start_node,
)
from tests.node.stubs import HOST, Client, StubDiscovery, StubServer

SERVERS = 4
KEPT_CLIENTS = 9
FRESH_CLIENTS = 9
MEMORY_MB = 64
SOCKETS = 512
# How long an attempt may be under way when the traffic has ended.
SETTLE_S = 0.3
# A new process says that it is ready within this time; then the old one gets SIGTERM (DAYS, "A new version").
READY_S = 6.0
READY_INTERVAL_S = 0.05
# During an upgrade, what discovery tells counts as told this long after the new process was ready.
NEWS_DELAY_S = 2.0
# SIGKILL follows SIGTERM this long after the longest deadline, which counts as 3 s at most.
KILL_AFTER_S = 0.7
MOST_DEADLINE_S = 3.0
BACKLOG = 512


class NodeProcess:
    """One process of the node, with its log."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log: asyncio.Task[bytes] | None = None

    async def address_of(self, event: str) -> tuple[str, int]:
        """Return the address that the process logs with this event; later events come in this order too."""
        return await logged_address(self.process, event)

    def read_log(self) -> None:
        """Collect the rest of the log."""
        assert self.process.stderr is not None
        self.log = asyncio.create_task(self.process.stderr.read())

    async def end(self) -> str:
        """Kill the process and return its log."""
        kill(self.process)
        await self.process.wait()
        assert self.log is not None
        return (await self.log).decode()

    def memory_bytes(self) -> int:
        """Return the memory that counts; 0 once the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except FileNotFoundError:
            return 0
        return sum(1024 * int(size) for size in re.findall(r"Rss(?:Anon|Shmem):\s+(\d+) kB", status))


@dataclass(slots=True)
class FaultyNode:
    """A running node, its faults, and the traffic through it; `ending`: it may have ended.

    processes: two during an upgrade, the newest last.
    """

    processes: list[NodeProcess]
    address: tuple[str, int]
    faults: SystemCallFaults
    traffic: Traffic
    record: Record
    discovery: StubDiscovery
    servers: Sequence[StubServer]
    environment: dict[str, str]
    listening: socket.socket
    shared_directory: Path
    longest_deadline_s: float
    ending: bool = False
    # What discovery tells counts as told from this time on, monotonic.
    news_count_from: float = 0.0

    @property
    def process(self) -> asyncio.subprocess.Process:
        """The newest process."""
        return self.processes[-1].process

    async def judge(self) -> list[str]:
        """End the traffic and return what broke a rule."""
        await self.traffic.stop()
        await settle(SETTLE_S)
        return violations(self.record)

    async def end(self) -> str:
        """Kill the newest process and return its log."""
        self.ending = True
        return await self.processes[-1].end()

    def kill_all(self) -> None:
        """Kill the processes that have not ended."""
        for each in self.processes:
            kill(each.process)

    def memory_bytes(self) -> int:
        """Return the memory of all processes and of the files that they share."""
        files = sum(file.stat().st_size for file in self.shared_directory.iterdir())
        return files + sum(each.memory_bytes() for each in self.processes)

    async def upgrade(self) -> None:
        """Start another process beside the present one, which gets SIGTERM and SIGKILL as DAYS says."""
        old = self.processes[-1]
        self.news_count_from = math.inf
        new = NodeProcess(await start_node(self.environment, (self.listening.fileno(),)))
        self.processes.append(new)
        management = await new.address_of("managed")
        new.read_log()
        async with asyncio.timeout(READY_S):
            while not await is_ready(management):
                await asyncio.sleep(READY_INTERVAL_S)
        self.news_count_from = time.monotonic() + NEWS_DELAY_S
        old.process.terminate()
        try:
            kill_after_s = min(MOST_DEADLINE_S, self.longest_deadline_s) + KILL_AFTER_S
            await asyncio.wait_for(old.process.wait(), kill_after_s)
        except TimeoutError:
            old.process.kill()

    def processor_time_s(self) -> float:
        """Return the processor time that the newest process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks_per_s = 100.0
        return (int(fields[11]) + int(fields[12])) / ticks_per_s


async def is_ready(management: tuple[str, int]) -> bool:
    """Return whether a process says at its second address that it is ready."""
    try:
        client = await Client.connect(management)
        client.writer.write(b"GET /api/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
        ready = (await client.answer()).status == 200
    except (OSError, asyncio.IncompleteReadError):
        return False
    client.close()
    return ready


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
    inherited: bool = False,
    memory_mb: int = MEMORY_MB,
    sockets: int = SOCKETS,
) -> AsyncIterator[FaultyNode]:
    """Run a node whose faults are off at first, with clients that keep a connection and clients that don't.

    inherited: whether the node accepts from a socket that it inherits, so that it can be upgraded.
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
        raw = node_configuration(*servers, memory_mb=memory_mb, sockets=sockets)
        for profile in raw["settings"]["profiles"]:
            profile["deadlineMs"] = 1000.0 * longest_deadline_s
            profile["aimMs"] = min(profile["aimMs"], profile["deadlineMs"])
        config.write_text(json.dumps({**raw, "discovery": discovery.address}))
        listening = stack.enter_context(socket.create_server((HOST, 0), backlog=BACKLOG))
        shared_directory = directory / "shared"
        shared_directory.mkdir()
        environment = {
            **node_environment(discovery, config),
            **shim.environment(),
            "NODE_MANAGEMENT": f"{HOST}:0",
            "TMPDIR": str(shared_directory),
        }
        if inherited:
            environment["NODE_ACCEPT_FD"] = str(listening.fileno())
        first = NodeProcess(await start_node(environment, (listening.fileno(),)))
        await first.address_of("managed")
        address = await first.address_of("listens")
        first.read_log()
        traffic = Traffic(record, address, rng, deadline_s=deadline_s, leave_share=leave_share)
        traffic.start(KEPT_CLIENTS, FRESH_CLIENTS)
        node = FaultyNode(
            [first],
            address,
            shim,
            traffic,
            record,
            discovery,
            servers,
            environment,
            listening,
            shared_directory,
            longest_deadline_s,
        )
        stack.callback(node.kill_all)
        # A client whose connection is refused just when it is cancelled would go on for ever.
        stack.callback(traffic.end)
        yield node
        traffic.end()
        assert node.ending or node.process.returncode is None, "the node has ended"
        for each in node.processes:
            assert "Traceback" not in await each.end()
