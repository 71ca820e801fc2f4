"""Real nodes among hollow ones: processes of their own that carry calls, and are the ones measured."""

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
from crowpost.lab.scale.hollow import CLUSTER
from crowpost.lab.scale.places import Place
from crowpost.lab.scale.proc import core_ms, memory_bytes
from crowpost.lab.scenario import Scenario

MANAGED = re.compile(r" is managed on ([0-9.]+):([0-9]+)")
LISTENS = re.compile(r' members \{"event": "start".*"listens": "([0-9.:]+)"')
SERVERS = 4
WORK_MS = 5.0
ASK_S = 5.0
STARTS_AT_ONCE = 6  # a start takes a core


def scenario(nodes: int, calls_per_s: float) -> Scenario:
    """One tier of stand-in servers that sleep for 5 ms a call, and so many nodes before it."""
    raw = {
        "schema": 1,
        "name": "scale",
        "about": "Calls through the real nodes among hollow ones",
        "duration_s": 3_600.0,
        "nodes": nodes,
        "traffic": {"requests_per_s": max(calls_per_s, 1.0)},
        "classes": [
            {"name": "call", "share": 1.0, "work_ms": WORK_MS, "aim_ms": 500.0, "deadline_ms": 2_000.0}
        ],
        "tiers": [
            {"name": "server", "servers": SERVERS, "work_part": 1.0, "kinds": [{"name": "m", "cores": 24}]}
        ],
    }
    return msgspec.convert(raw, Scenario)


class RealNode(NodeProcess):
    """One real node.  contacts: of its membership, none for the first member; None: it is no member."""

    def __init__(self, place: Place, contacts: list[str] | None, **more: Any) -> None:
        super().__init__(place.name, **more)
        self.place, self.contacts = place, contacts
        self.member = ""  # its address as a member
        self.managed: tuple[str, int] | None = None
        self.environment["NODE_MANAGEMENT"] = f"{place.host}:0"

    async def begin(self) -> None:
        """Start it."""
        if self.contacts is not None:
            file = self.folder / f"{self.name}-members.toml"
            lines = ["[members]", f'cluster = "{CLUSTER}"', f'listen = "{self.place.host}:0"']
            lines += [f'zone = "z{self.place.zone}"', f"join = {json.dumps(self.contacts)}"]
            file.write_text("\n".join(lines) + "\n")
            self.environment["NODE_MEMBERS"] = str(file)
        await self.start()

    def _handle_line(self, line: str) -> None:
        super()._handle_line(line)
        if (found := MANAGED.search(line)) is not None:
            self.managed = found[1], int(found[2])
        elif (found := LISTENS.search(line)) is not None:
            self.member = found[1]

    async def telemetry(self) -> dict[str, float]:
        """Its figures by name and labels; OSError or TimeoutError without an answer."""
        if self.managed is None:
            raise ConnectionError(f"{self.name} has no second address")
        async with asyncio.timeout(ASK_S):
            reader, writer = await asyncio.open_connection(*self.managed)
            try:
                writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: lab\r\n\r\n")
                answer = await reader.read()
            finally:
                writer.close()
        _, _, body = answer.partition(b"\r\n\r\n")
        figures = {}
        for line in body.decode().splitlines():
            name, _, value = line.rpartition(" ")
            figures[name.removeprefix("edge_node_")] = float(value)
        return figures

    async def end(self) -> None:
        """SIGTERM; SIGKILL after ten seconds."""
        if self._process is not None:
            await self.terminate(10.0)
        await self.kill()


@dataclass(frozen=True, slots=True)
class RealReading:
    """One real node's figures at a moment; core in ms, memory in bytes."""

    core_ms: float
    memory: int
    figures: dict[str, float]
    at: float


@dataclass
class Tally:
    """How the calls through some nodes ended."""

    answered: int = 0
    other: int = 0  # refused, failed or not answered
    ms: list[float] = field(default_factory=list)

    def plain(self) -> dict[str, float]:
        """Counts, and percentiles of the answered in ms."""
        ms = sorted(self.ms) or [0.0]
        found = {f"p{p}_ms": round(ms[min(len(ms) - 1, len(ms) * p // 100)], 2) for p in (50, 99)}
        return {"answered": self.answered, "other": self.other, **found}


class RealNodes:
    """Real nodes with stand-in servers behind them, and a caller before them."""

    def __init__(self, folder: Path, seed: int, nodes: int, calls_per_s: float) -> None:
        self._folder, self._rng, self._calls_per_s = folder, Random(f"calls {seed}"), calls_per_s
        self._scenario = scenario(nodes, calls_per_s * nodes)
        self._books = RequestRegistry()
        self._servers: list[LiveServer] = []
        self._discovery = LiveDiscovery(self._books)
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._ids = 0
        self.nodes: list[RealNode] = []
        self.tallies: dict[str, Tally] = {}

    async def open(self) -> None:
        """Start the stand-ins."""
        tier = self._scenario.tiers[0]
        for i in range(tier.servers):
            server = LiveServer(
                self._books,
                tier,
                0,
                tier.kinds[0],
                i,
                i,
                1,
                self._scenario.limits,
                Random(self._rng.random()),
            )
            await server.start(False)
            self._servers.append(server)
        await self._discovery.start([s.row() for s in self._servers])
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def add(self, places: list[Place], contacts: list[str] | None) -> list[RealNode]:
        """Start nodes, as members unless contacts are None; NodeError for one that does not come up."""
        first = len(self.nodes)
        fresh = []
        for i, place in enumerate(places):
            node_index = (first + i) % self._scenario.nodes
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
            fresh.append(node)
        self.nodes += fresh
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def begin(node: RealNode) -> None:
            async with gate:
                await node.begin()

        await asyncio.gather(*(begin(node) for node in fresh))
        return fresh

    # ------------------------------------------------------------ calls

    def call(self, node: RealNode) -> None:
        """Send this node calls from now on, open loop, steady: nodes are to differ in the duty only."""
        self.tallies[node.name] = Tally()
        self._spawn(self._stream(node))

    def fresh(self) -> None:
        """Count calls anew."""
        self.tallies = {name: Tally() for name in self.tallies}

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _stream(self, node: RealNode) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time() + self._rng.random() / self._calls_per_s
        while node.up:
            due += 1.0 / self._calls_per_s
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._spawn(self._one(node))

    async def _one(self, node: RealNode) -> None:
        assert self._session is not None
        kind = self._scenario.classes[0]
        self._ids += 1
        number, began = f"{self._ids:016x}", now_ms()
        deadline = began + kind.deadline_ms
        self._books.requests[number] = TrackedRequest(
            number, kind.name, kind.effect, kind.work_ms, (0,), deadline, "all", kind.work_ms, root_id=number
        )
        headers = {"X-Request-Id": number, "X-Class": kind.name, "X-Tenant": "all", "X-Deadline": "2.000"}
        tally = self.tallies[node.name]
        try:
            timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1000.0)
            url = f"http://{HOST}:{node.port}/api"
            async with self._session.get(url, headers=headers, timeout=timeout) as response:
                await response.read()
                if response.status == 200:
                    tally.answered += 1
                    tally.ms.append(now_ms() - began)
                else:
                    tally.other += 1
        except (TimeoutError, aiohttp.ClientError):
            tally.other += 1
        finally:
            del self._books.requests[number]

    # ------------------------------------------------------------ looks

    async def read(self, nodes: list[RealNode], *, last: bool = False) -> list[RealReading]:
        """Figures and costs; last: costs first, so that the question is not counted."""
        if last:
            costs = [(core_ms(n.pid), memory_bytes(n.pid)) for n in nodes]
            at = asyncio.get_running_loop().time()
        figures = await asyncio.gather(*(n.telemetry() for n in nodes))
        if not last:
            costs = [(core_ms(n.pid), memory_bytes(n.pid)) for n in nodes]
            at = asyncio.get_running_loop().time()
        return [RealReading(c, m, f, at) for (c, m), f in zip(costs, figures, strict=True)]

    async def end(self, nodes: list[RealNode]) -> None:
        """End these nodes in order."""
        await asyncio.gather(*(node.end() for node in nodes))
        self.nodes = [n for n in self.nodes if n not in nodes]

    async def close(self) -> None:
        """End everything."""
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
