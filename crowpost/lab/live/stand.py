"""Stubs that follow the published protocol: servers that sleep as work, and a delayed discovery."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import ClientError, web

from crowpost.lab.machines import OVERLOAD_SLACK, ActiveFaults, ServerCounts, WarmingServerLoad
from crowpost.lab.scenario import Kind, Limits, Tier

HOST = "127.0.0.1"
SLICE_S = 0.02  # work is slept in slices, so that a change of rate takes effect within one
ERROR_S = 0.001
SHUTDOWN_S = 0.05  # time after which handlers that never answer are cancelled


def now_ms() -> float:
    """Return the time in ms of a clock that only advances."""
    return time.monotonic() * 1000.0


@dataclass(slots=True)
class TrackedRequest:
    """A request sent by a client or a server, with what a server needs to check the rules."""

    id: str
    name: str  # name of its class
    effect: str
    work: float  # work in ms of a core of speed 1
    calls: tuple[int, ...]
    deadline: float  # time on the clock of now_ms
    tenant: str
    hint: float
    runs: int = 0  # number of times that its work was begun
    root_id: str = ""  # id of the client request that it belongs to


@dataclass
class RequestRegistry:
    """All requests by id, and the breaches of rules that were observed."""

    requests: dict[str, TrackedRequest] = field(default_factory=dict)
    breach_reports: list[list[str]] = field(default_factory=list)
    breaches: int = 0
    began: float = field(default_factory=now_ms)

    def record_breach(self, rule: int, text: str) -> None:
        """Record a broken rule; the first 20 are kept in full."""
        self.breaches += 1
        if len(self.breach_reports) < 20:
            self.breach_reports.append([f"{now_ms() - self.began:.1f} ms: rule {rule} broken: {text}"])


# Sends a call to the next tier through the server's own node; returns whether it was served.
CallNextTier = Callable[[TrackedRequest], Awaitable[bool]]


async def _close_all(server: asyncio.Server | None, handlers: web.Server | None) -> None:
    """Break all connections, as the end of a process does."""
    if server is not None:
        server.close()
    if handlers is not None:
        for connection in list(handlers.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await handlers.shutdown(SHUTDOWN_S)


class LiveServer:
    """One stub server. It keeps its name and its port over restarts."""

    def __init__(
        self,
        registry: RequestRegistry,
        tier: Tier,
        stage: int,
        kind: Kind,
        index: int,
        place: int,
        zones: int,
        limits: Limits,
        rng: Random,
    ) -> None:
        self.registry, self.tier, self.stage, self.kind, self.place = registry, tier, stage, kind, place
        self.name, self.limits, self.rng = f"{tier.name}-{index}", limits, rng
        self.zone, self.cell = place % zones, place // tier.cell_size
        self.speed = kind.speed[0] + (kind.speed[1] - kind.speed[0]) * rng.random()
        self.faults, self.counts = ActiveFaults(), ServerCounts()
        self.call_next_tier: CallNextTier | None = None
        self.up, self.draining, self.overloaded = False, False, False
        self.started_unix_ms = 0.0
        # Time at which the last node was notified that this server drains or is gone.
        self.drain_notified_ms: float | None = None
        self.received = 0  # requests received in the current second
        self.connections = 0  # connections opened over the run
        self.work = 0.0  # work in ms of a core of speed 1, over the run
        self.in_flight = 0
        self.port = 0
        self._started = 0.0  # time on the clock of now_ms; 0: before the run, so it is warm
        self._warming_load = WarmingServerLoad()
        self._errors: list[float] = []
        self._server: asyncio.Server | None = None
        self._web: web.Server | None = None
        self._cores = asyncio.Semaphore(kind.cores)
        self._slots = asyncio.Semaphore(kind.slots)
        self._epoch = 0
        self._pending_answers: list[asyncio.Future[None]] = []

    # ------------------------------------------------------------ process

    async def start(self, warming_up: bool) -> None:
        """Listen, on a free port at the first start and on the same one afterwards."""
        if self.overloaded:
            return
        self._web = web.Server(self._handle, access_log=None, keepalive_timeout=60.0)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, HOST, self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        self.up, self.draining, self.drain_notified_ms = True, False, None
        if warming_up:
            self._started, self.started_unix_ms = now_ms(), time.time() * 1000.0
            self._warming_load = WarmingServerLoad()

    def _accept(self) -> asyncio.Protocol:
        self.connections += 1
        assert self._web is not None
        return self._web()

    async def stop(self) -> None:
        """End the process: connections break, and new ones are refused."""
        self.up = False
        self._epoch += 1
        self.in_flight = 0
        self._cores, self._slots = asyncio.Semaphore(self.kind.cores), asyncio.Semaphore(self.kind.slots)
        for waiting in self._pending_answers:
            waiting.cancel()
        self._pending_answers.clear()
        await _close_all(self._server, self._web)

    def row(self) -> dict[str, Any]:
        """Return the row of the server in discovery's list."""
        active_state = "DRAINING" if self.draining else "SERVING"
        lifecycle = active_state if self.up else "DELETED"
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": f"zone-{self.zone}",
            "machineType": self.kind.name,
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": round(self.started_unix_ms),
        }

    def warm_up_fraction(self) -> float:
        """Return the part of its full capacity that the server has now."""
        if not self._started:
            return 1.0
        age = (now_ms() - self._started) / self.kind.warm_up_ms
        return min(1.0, self.kind.cold_from + (1.0 - self.kind.cold_from) * age)

    def rate(self) -> float:
        """Return the work in ms that a core does in a ms."""
        if self.faults.paused:
            return 0.0
        return self.speed * self.warm_up_fraction() * (1.0 - self.faults.taken) / self.faults.slower

    # ------------------------------------------------------------ requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path in ("/health", "/status/load"):
            return web.json_response(self._load())
        number = request.headers.get("X-Request-Id")
        if number is None:
            return web.Response(status=404)
        tracked = self.registry.requests.get(number)
        if tracked is None:
            self.registry.record_breach(2, f"{self.name} got request {number}, which no client sent")
            return web.Response(status=400)
        await request.read()
        if self.faults.unresponsive:
            await self._never_answer()
        self._check_drain_rule(tracked)
        work = tracked.work * self.tier.work_part * (0.8 + 0.4 * self.rng.random())
        self.received += 1
        self.counts.calls += 1
        if self._overloads(work):
            await self.stop()
            await self._never_answer()
        if self.faults.errors and self.rng.random() < self.faults.errors:
            await asyncio.sleep(ERROR_S)
            self._errors.append(now_ms())
            return self._reply(500)
        if self.draining or self.in_flight >= self.kind.slots + self.kind.waiting_room:
            self.counts.rejected += 1
            return self._reply(503, {"X-Not-Run": "1"})
        served = await self._work(tracked, work)
        if self.faults.unresponsive:
            await self._never_answer()
        if served and self.faults.spoilt and self.rng.random() < self.faults.spoilt and request.transport:
            request.transport.write(b"HTTP/1.1 2oo Spoilt\r\nContent-Length: 4x\r\n\r\n")
            request.transport.close()
            await self._never_answer()
        return self._reply(200 if served else 500)

    def _check_drain_rule(self, tracked: TrackedRequest) -> None:
        grace_ms = self.limits.drain_grace_ms + 50.0
        if self.drain_notified_ms is not None and now_ms() - self.drain_notified_ms > grace_ms:
            elapsed_ms = now_ms() - self.drain_notified_ms
            self.registry.record_breach(
                3, f"{self.name} got request {tracked.id} {elapsed_ms:.0f} ms after its drain notice"
            )

    def _overloads(self, work: float) -> bool:
        """Return whether a call overloads a server that is warming up (rule 4); it then stops permanently."""
        if not self._started or self.warm_up_fraction() >= 1.0:
            return False
        span = self.limits.overload_window_ms
        self._warming_load.add(now_ms(), work, True, span)
        budget = (
            OVERLOAD_SLACK
            * self.limits.overload_factor
            * self.speed
            * self.kind.cores
            * self.warm_up_fraction()
            * span
        )
        if self._warming_load.total <= budget:
            return False
        self.overloaded = True
        self.registry.record_breach(4, f"cold server {self.name} was overloaded")
        return True

    async def _work(self, tracked: TrackedRequest, work: float) -> bool:
        epoch = self._epoch
        self.in_flight += 1
        tracked.runs += 1
        if tracked.runs > 1 and tracked.effect == "unsafe":
            self.registry.record_breach(
                2, f"{tracked.name} {tracked.id} begun {tracked.runs} times, last by {self.name}"
            )
        try:
            async with self._slots:
                calls = tracked.calls[self.stage]
                await self._compute(0.5 * work if calls else work)
                for _ in range(calls):
                    if self.call_next_tier is not None and not await self.call_next_tier(tracked):
                        self._errors.append(now_ms())
                        return False
                if calls:
                    await self._compute(0.5 * work)
        finally:
            if epoch == self._epoch:
                self.in_flight -= 1
        if epoch != self._epoch:
            await self._never_answer()
        self.counts.served += 1
        return True

    async def _compute(self, work: float) -> None:
        self.work += work
        async with self._cores:
            left = work
            while left > 0.0:
                rate = self.rate()
                span = min(SLICE_S, left / rate / 1000.0) if rate else SLICE_S
                began = time.monotonic()
                await asyncio.sleep(span)
                # The time that passed counts rather than the time asked for, or a delayed event loop would
                # slow every server.
                left -= (time.monotonic() - began) * 1000.0 * rate

    def _load(self) -> dict[str, float]:
        now = now_ms()
        self._errors = [at for at in self._errors if at > now - 1000.0]
        backlog = max(0, self.in_flight - self.kind.slots)
        return {"outstanding": self.in_flight, "backlog": backlog, "errors_per_s": len(self._errors)}

    def _reply(self, status: int, headers: dict[str, str] | None = None) -> web.Response:
        text = json.dumps(self._load(), separators=(",", ":"))
        body = self.name.encode() if status == 200 else b""
        response = web.Response(status=status, body=body, headers={"X-Load": text, **(headers or {})})
        if self.faults.idle_ms is not None:
            response.headers["Connection"] = "close"
        return response

    async def _never_answer(self) -> None:
        """Wait until the process or the connection ends, without an answer."""
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending_answers.append(waiting)
        await waiting


class LiveDiscovery:
    """Discovery agent for the nodes of one tier: the whole list, and a watch that pushes delayed changes."""

    def __init__(self, registry: RequestRegistry) -> None:
        self.registry = registry
        self.rows: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.address = ""
        self.stalled = False
        self._watches: list[asyncio.Queue[str]] = []
        self._server: asyncio.Server | None = None
        self._web: web.Server | None = None

    async def start(self, rows: list[dict[str, Any]]) -> None:
        """Listen on a free port."""
        self.rows = {row["instanceId"]: row for row in rows}
        self._web = web.Server(self._handle, access_log=None)
        self._server = await asyncio.get_running_loop().create_server(self._web, HOST, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """End all watches."""
        await _close_all(self._server, self._web)

    def listing(self) -> dict[str, Any]:
        """Return the whole list as it is now."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def push(self, row: dict[str, Any]) -> None:
        """Push a changed row to every watch."""
        self.generation += 1
        if row["lifecycle"] == "DELETED":
            self.rows.pop(row["instanceId"], None)
        else:
            self.rows[row["instanceId"]] = row
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [row]})
        for watch in self._watches:
            watch.put_nowait(line)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        while self.stalled:
            await asyncio.sleep(SLICE_S)
        if "watch" not in request.query:
            return web.json_response(self.listing())
        response = web.StreamResponse()
        await response.prepare(request)
        lines: asyncio.Queue[str] = asyncio.Queue()
        lines.put_nowait(json.dumps(self.listing()))
        self._watches.append(lines)
        try:
            while True:
                try:
                    line = await asyncio.wait_for(lines.get(), 2.0)
                except TimeoutError:
                    line = ""
                while self.stalled:
                    await asyncio.sleep(SLICE_S)
                await response.write(line.encode() + b"\n")
        except (ClientError, ConnectionError):
            return response
        finally:
            self._watches.remove(lines)
