"""Real nodes among simulated ones: separate processes that carry calls and are measured."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import msgspec

from crowpost.lab.live.processes import NodeProcess, settings_json
from crowpost.lab.live.stand import HOST, LiveDiscovery, LiveServer, RequestRegistry, TrackedRequest, now_ms
from crowpost.lab.node_settings import node_settings
from crowpost.lab.scale.places import Place
from crowpost.lab.scale.proc import core_ms, memory_bytes
from crowpost.lab.scale.simulated_nodes import CLUSTER
from crowpost.lab.scenario import Scenario

MANAGEMENT_PATTERN = re.compile(r" is managed on ([0-9.]+):([0-9]+)")
MEMBER_ADDRESS_PATTERN = re.compile(r' members \{"event": "start".*"listens": "([0-9.:]+)"')
SERVER_COUNT = 4
WORK_MS = 5.0
TELEMETRY_TIMEOUT_S = 5.0
# Each start uses a whole core.
MAX_CONCURRENT_STARTS = 6


def scenario(nodes: int, calls_per_s: float) -> Scenario:
    """Return a scenario with one tier of lab servers that sleep for 5 ms per call, and nodes before it."""
    raw = {
        "schema": 1,
        "name": "scale",
        "about": "Calls through the real nodes among simulated ones",
        "duration_s": 3_600.0,
        "nodes": nodes,
        "traffic": {"requests_per_s": max(calls_per_s, 1.0)},
        "classes": [
            {"name": "call", "share": 1.0, "work_ms": WORK_MS, "aim_ms": 500.0, "deadline_ms": 2_000.0}
        ],
        "tiers": [
            {
                "name": "server",
                "servers": SERVER_COUNT,
                "work_part": 1.0,
                "kinds": [{"name": "m", "cores": 24}],
            }
        ],
    }
    return msgspec.convert(raw, Scenario)


class RealNode(NodeProcess):
    """One real node.

    contacts: contact addresses of its membership; empty for the first member, None if it is not a member.
    """

    def __init__(self, place: Place, contacts: list[str] | None, **options: Any) -> None:
        super().__init__(place.name, **options)
        self.place, self.contacts = place, contacts
        self.member_address = ""
        self.management_address: tuple[str, int] | None = None
        self.environment["NODE_MANAGEMENT"] = f"{place.host}:0"

    async def configure_and_start(self) -> None:
        """Write the membership configuration, if the node is a member, and start the process."""
        if self.contacts is not None:
            file = self.folder / f"{self.name}-members.toml"
            lines = ["[members]", f'cluster = "{CLUSTER}"', f'listen = "{self.place.host}:0"']
            lines += [f'zone = "z{self.place.zone}"', f"join = {json.dumps(self.contacts)}"]
            file.write_text("\n".join(lines) + "\n")
            self.environment["NODE_MEMBERS"] = str(file)
        await self.start()

    def _handle_line(self, line: str) -> None:
        super()._handle_line(line)
        if (match := MANAGEMENT_PATTERN.search(line)) is not None:
            self.management_address = match[1], int(match[2])
        elif (match := MEMBER_ADDRESS_PATTERN.search(line)) is not None:
            self.member_address = match[1]

    async def telemetry(self) -> dict[str, float]:
        """Return the metrics by name and labels; raise OSError or TimeoutError if there is no answer."""
        if self.management_address is None:
            raise ConnectionError(f"{self.name} has not reported a management address")
        async with asyncio.timeout(TELEMETRY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.management_address)
            try:
                writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: lab\r\n\r\n")
                answer = await reader.read()
            finally:
                writer.close()
        _, _, body = answer.partition(b"\r\n\r\n")
        metrics = {}
        for line in body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            metrics[name.removeprefix("edge_node_")] = float(value)
        return metrics

    async def end(self) -> None:
        """End the process with SIGTERM, then with SIGKILL after ten seconds."""
        if self._process is not None:
            await self.terminate(10.0)
        await self.kill()


@dataclass(frozen=True, slots=True)
class RealReading:
    """One real node's measurements at one time; core_ms is processor time, memory is in bytes."""

    core_ms: float
    memory: int
    figures: dict[str, float]
    at: float


@dataclass
class CallStats:
    """Outcomes of the calls through a node."""

    answered: int = 0
    other: int = 0  # Rejected, failed or unanswered calls.
    latencies_ms: list[float] = field(default_factory=list)

    def to_dict(self) -> dict[str, float]:
        """Return the counts, and percentiles of the latency of answered calls in ms."""
        latencies_ms = sorted(self.latencies_ms) or [0.0]
        percentiles = {
            f"p{percent}_ms": round(
                latencies_ms[min(len(latencies_ms) - 1, len(latencies_ms) * percent // 100)], 2
            )
            for percent in (50, 99)
        }
        return {"answered": self.answered, "other": self.other, **percentiles}


class RealNodes:
    """Real nodes with lab servers behind them and a client before them."""

    def __init__(self, folder: Path, seed: int, nodes: int, calls_per_s: float) -> None:
        self._folder, self._rng, self._calls_per_s = folder, Random(f"calls {seed}"), calls_per_s
        self._scenario = scenario(nodes, calls_per_s * nodes)
        self._registry = RequestRegistry()
        self._servers: list[LiveServer] = []
        self._discovery = LiveDiscovery(self._registry)
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_id = 0
        self.nodes: list[RealNode] = []
        self.call_stats: dict[str, CallStats] = {}

    async def open(self) -> None:
        """Start the lab servers, discovery and the client."""
        tier = self._scenario.tiers[0]
        for position in range(tier.servers):
            server = LiveServer(
                self._registry,
                tier,
                0,
                tier.kinds[0],
                position,
                position,
                1,
                self._scenario.limits,
                Random(self._rng.random()),
            )
            await server.start(False)
            self._servers.append(server)
        await self._discovery.start([server.row() for server in self._servers])
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def add(self, places: list[Place], contacts: list[str] | None) -> list[RealNode]:
        """Start nodes, as members unless contacts is None; raise NodeError if one does not become ready."""
        first = len(self.nodes)
        new_nodes = []
        for position, place in enumerate(places):
            node_index = (first + position) % self._scenario.nodes
            settings = settings_json(node_settings(self._scenario, 0, node_index, 0), self._scenario)
            node = RealNode(
                place,
                contacts,
                folder=self._folder,
                settings=settings,
                discovery=self._discovery.address,
                known=self._discovery.listing(),
                seed=self._rng.getrandbits(32),
            )
            new_nodes.append(node)
        self.nodes += new_nodes
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_one(node: RealNode) -> None:
            async with semaphore:
                await node.configure_and_start()

        await asyncio.gather(*(start_one(node) for node in new_nodes))
        return new_nodes

    # ------------------------------------------------------------ calls

    def start_calls(self, node: RealNode) -> None:
        """Start to send calls to a node, open loop at a steady rate: nodes must differ in the duty only."""
        self.call_stats[node.name] = CallStats()
        self._spawn(self._call_steadily(node))

    def reset_call_stats(self) -> None:
        """Reset the call counts of all nodes."""
        self.call_stats = {name: CallStats() for name in self.call_stats}

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_steadily(self, node: RealNode) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + self._rng.random() / self._calls_per_s
        while node.up:
            due += 1.0 / self._calls_per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._spawn(self._call_once(node))

    async def _call_once(self, node: RealNode) -> None:
        assert self._session is not None
        kind = self._scenario.classes[0]
        self._last_id += 1
        number, started_ms = f"{self._last_id:016x}", now_ms()
        deadline = started_ms + kind.deadline_ms
        self._registry.requests[number] = TrackedRequest(
            number, kind.name, kind.effect, kind.work_ms, (0,), deadline, "all", kind.work_ms, root_id=number
        )
        headers = {"X-Request-Id": number, "X-Class": kind.name, "X-Tenant": "all", "X-Deadline": "2.000"}
        stats = self.call_stats[node.name]
        try:
            timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1000.0)
            url = f"http://{HOST}:{node.port}/api"
            async with self._session.get(url, headers=headers, timeout=timeout) as response:
                await response.read()
                if response.status == 200:
                    stats.answered += 1
                    stats.latencies_ms.append(now_ms() - started_ms)
                else:
                    stats.other += 1
        except (TimeoutError, aiohttp.ClientError):
            stats.other += 1
        finally:
            del self._registry.requests[number]

    # ------------------------------------------------------------ measurements

    async def read(self, nodes: list[RealNode], *, costs_first: bool = False) -> list[RealReading]:
        """Return metrics, processor time and memory of the nodes.

        costs_first: read time and memory first, so that they do not include the request for the metrics.
        """
        if costs_first:
            costs = [(core_ms(node.pid), memory_bytes(node.pid)) for node in nodes]
            at = asyncio.get_running_loop().time()
        figures = await asyncio.gather(*(node.telemetry() for node in nodes))
        if not costs_first:
            costs = [(core_ms(node.pid), memory_bytes(node.pid)) for node in nodes]
            at = asyncio.get_running_loop().time()
        return [
            RealReading(core, memory, metrics, at)
            for (core, memory), metrics in zip(costs, figures, strict=True)
        ]

    async def end(self, nodes: list[RealNode]) -> None:
        """End these nodes with SIGTERM."""
        await asyncio.gather(*(node.end() for node in nodes))
        self.nodes = [node for node in self.nodes if node not in nodes]

    async def close(self) -> None:
        """End the nodes, the client, discovery and the servers."""
        for node in self.nodes:
            node.up = False
        await self.end(list(self.nodes))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()
        with contextlib.suppress(OSError):
            if self._discovery.address:
                await self._discovery.stop()
        for server in self._servers:
            await server.stop()
