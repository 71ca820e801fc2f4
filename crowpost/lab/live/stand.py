"""Stand-ins by the published protocol: servers that work by sleeping, and a discovery that pushes late."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import ClientError, web

from crowpost.lab.machines import FALL_SLACK, Pressure, Tally, Trouble
from crowpost.lab.scenario import Kind, Limits, Tier

HOST = "127.0.0.1"
SLICE_S = 0.02  # work is slept in pieces, so that a change of rate is felt within one
ERROR_S = 0.001
SHUT_S = 0.05  # handlers that wait for ever are cancelled after this


def now_ms() -> float:
    """A clock in ms that only advances."""
    return time.monotonic() * 1000.0


@dataclass(slots=True)
class Errand:
    """A request that a client or a server has sent, by its id: what a server may hold it against."""

    id: str
    name: str  # of its class
    effect: str
    work: float  # ms of a core of speed 1
    calls: tuple[int, ...]
    deadline: float  # on now_ms
    tenant: str
    hint: float
    runs: int = 0  # times that its work was begun
    top: str = ""


@dataclass
class Books:
    """All errands by id, and the rules that they have seen broken."""

    errands: dict[str, Errand] = field(default_factory=dict)
    stories: list[list[str]] = field(default_factory=list)
    breaches: int = 0
    began: float = field(default_factory=now_ms)

    def broken(self, rule: int, text: str) -> None:
        """A broken rule; the first twenty are kept whole."""
        self.breaches += 1
        if len(self.stories) < 20:
            self.stories.append([f"{now_ms() - self.began:.1f} ms: rule {rule} broken: {text}"])


# Sends a call of the next tier through the server's own node: whether it was served.
Descend = Callable[[Errand], Awaitable[bool]]


async def _shut(server: asyncio.Server | None, handlers: web.Server | None) -> None:
    """Break all connections, as the end of a process does."""
    if server is not None:
        server.close()
    if handlers is not None:
        for connection in list(handlers.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await handlers.shutdown(SHUT_S)


class LiveServer:
    """One stand-in server.  Its name stays the same over restarts, its port as well."""

    def __init__(
        self,
        books: Books,
        tier: Tier,
        stage: int,
        kind: Kind,
        index: int,
        place: int,
        zones: int,
        limits: Limits,
        rng: Random,
    ) -> None:
        self.books, self.tier, self.stage, self.kind, self.place = books, tier, stage, kind, place
        self.name, self.limits, self.rng = f"{tier.name}-{index}", limits, rng
        self.zone, self.cell = place % zones, place // tier.cell_size
        self.speed = kind.speed[0] + (kind.speed[1] - kind.speed[0]) * rng.random()
        self.trouble, self.tally = Trouble(), Tally()
        self.descend: Descend | None = None
        self.up, self.draining, self.fallen = False, False, False
        self.started_unix_ms = 0.0
        self.told_leaving: float | None = None  # when the last node was told that it leaves
        self.received = 0  # within this second
        self.connections = 0  # opened over the run
        self.work = 0.0  # ms of a core of speed 1, over the run
        self.held = 0
        self.port = 0
        self._started = 0.0  # on now_ms; 0: long ago
        self._pressure = Pressure()
        self._errors: list[float] = []
        self._server: asyncio.Server | None = None
        self._web: web.Server | None = None
        self._cores = asyncio.Semaphore(kind.cores)
        self._slots = asyncio.Semaphore(kind.slots)
        self._epoch = 0
        self._unheard: list[asyncio.Future[None]] = []

    # ------------------------------------------------------------ life

    async def start(self, cold: bool) -> None:
        """Listen, at the first start on a free port, later on the same one."""
        if self.fallen:
            return
        self._web = web.Server(self._handle, access_log=None, keepalive_timeout=60.0)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, HOST, self.port, reuse_address=True)
        self.port = self._server.sockets[0].getsockname()[1]
        self.up, self.draining, self.told_leaving = True, False, None
        if cold:
            self._started, self.started_unix_ms = now_ms(), time.time() * 1000.0
            self._pressure = Pressure()

    def _accept(self) -> asyncio.Protocol:
        self.connections += 1
        assert self._web is not None
        return self._web()

    async def stop(self) -> None:
        """The process ends: connections break, new ones are refused."""
        self.up = False
        self._epoch += 1
        self.held = 0
        self._cores, self._slots = asyncio.Semaphore(self.kind.cores), asyncio.Semaphore(self.kind.slots)
        for waiting in self._unheard:
            waiting.cancel()
        self._unheard.clear()
        await _shut(self._server, self._web)

    def row(self) -> dict[str, Any]:
        """Its row in discovery's list."""
        standing = "DRAINING" if self.draining else "SERVING"
        lifecycle = standing if self.up else "DELETED"
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

    def ramp(self) -> float:
        """The part of its capacity that it has by now."""
        if not self._started:
            return 1.0
        age = (now_ms() - self._started) / self.kind.warm_up_ms
        return min(1.0, self.kind.cold_from + (1.0 - self.kind.cold_from) * age)

    def rate(self) -> float:
        """Work in ms that a core does in a ms."""
        if self.trouble.paused:
            return 0.0
        return self.speed * self.ramp() * (1.0 - self.trouble.taken) / self.trouble.slower

    # ------------------------------------------------------------ requests

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path in ("/health", "/status/load"):
            return web.json_response(self._load())
        number = request.headers.get("X-Request-Id")
        if number is None:
            return web.Response(status=404)
        errand = self.books.errands.get(number)
        if errand is None:
            self.books.broken(2, f"{self.name} got request {number}, which no client sent")
            return web.Response(status=400)
        await request.read()
        if self.trouble.cut:
            await self._never()
        self._hold_against_rules(errand)
        work = errand.work * self.tier.work_part * (0.8 + 0.4 * self.rng.random())
        self.received += 1
        self.tally.calls += 1
        if self._pressed(work):
            await self.stop()
            await self._never()
        if self.trouble.errors and self.rng.random() < self.trouble.errors:
            await asyncio.sleep(ERROR_S)
            self._errors.append(now_ms())
            return self._reply(500)
        if self.draining or self.held >= self.kind.slots + self.kind.waiting_room:
            self.tally.turned_away += 1
            return self._reply(503, {"X-Not-Run": "1"})
        served = await self._work(errand, work)
        if self.trouble.cut:
            await self._never()
        if served and self.trouble.spoilt and self.rng.random() < self.trouble.spoilt and request.transport:
            request.transport.write(b"HTTP/1.1 2oo Spoilt\r\nContent-Length: 4x\r\n\r\n")
            request.transport.close()
            await self._never()
        return self._reply(200 if served else 500)

    def _hold_against_rules(self, errand: Errand) -> None:
        late = self.limits.drain_grace_ms + 50.0
        if self.told_leaving is not None and now_ms() - self.told_leaving > late:
            over = now_ms() - self.told_leaving
            self.books.broken(
                3, f"{self.name} got request {errand.id} {over:.0f} ms after its drain was told"
            )

    def _pressed(self, work: float) -> bool:
        """Rule 4: more than a cold server bears; it falls over and stays down."""
        if not self._started or self.ramp() >= 1.0:
            return False
        span = self.limits.overload_window_ms
        self._pressure.add(now_ms(), work, True, span)
        most = FALL_SLACK * self.limits.overload_factor * self.speed * self.kind.cores * self.ramp() * span
        if self._pressure.total <= most:
            return False
        self.fallen = True
        self.books.broken(4, f"cold server {self.name} was pushed over")
        return True

    async def _work(self, errand: Errand, work: float) -> bool:
        epoch = self._epoch
        self.held += 1
        errand.runs += 1
        if errand.runs > 1 and errand.effect == "unsafe":
            self.books.broken(2, f"{errand.name} {errand.id} begun {errand.runs} times, last by {self.name}")
        try:
            async with self._slots:
                calls = errand.calls[self.stage]
                await self._compute(0.5 * work if calls else work)
                for _ in range(calls):
                    if self.descend is not None and not await self.descend(errand):
                        self._errors.append(now_ms())
                        return False
                if calls:
                    await self._compute(0.5 * work)
        finally:
            if epoch == self._epoch:
                self.held -= 1
        if epoch != self._epoch:
            await self._never()
        self.tally.served += 1
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
                # By the time that passed, not the time asked for: else a late loop would slow every server.
                left -= (time.monotonic() - began) * 1000.0 * rate

    def _load(self) -> dict[str, float]:
        now = now_ms()
        self._errors = [at for at in self._errors if at > now - 1000.0]
        backlog = max(0, self.held - self.kind.slots)
        return {"outstanding": self.held, "backlog": backlog, "errors_per_s": len(self._errors)}

    def _reply(self, status: int, headers: dict[str, str] | None = None) -> web.Response:
        text = json.dumps(self._load(), separators=(",", ":"))
        body = self.name.encode() if status == 200 else b""
        response = web.Response(status=status, body=body, headers={"X-Load": text, **(headers or {})})
        if self.trouble.idle_ms is not None:
            response.headers["Connection"] = "close"
        return response

    async def _never(self) -> None:
        """Say nothing until the process ends or the connection does."""
        waiting: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._unheard.append(waiting)
        await waiting


class LiveDiscovery:
    """Discovery's agent for the nodes of one tier: the whole list, and a watch that pushes changes late."""

    def __init__(self, books: Books) -> None:
        self.books = books
        self.rows: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.address = ""
        self.silent = False
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
        await _shut(self._server, self._web)

    def listing(self) -> dict[str, Any]:
        """The whole list as it stands."""
        return {"generation": self.generation, "reset": True, "instances": list(self.rows.values())}

    def tell(self, row: dict[str, Any]) -> None:
        """A changed row goes to every watch."""
        self.generation += 1
        if row["lifecycle"] == "DELETED":
            self.rows.pop(row["instanceId"], None)
        else:
            self.rows[row["instanceId"]] = row
        line = json.dumps({"generation": self.generation, "reset": False, "instances": [row]})
        for watch in self._watches:
            watch.put_nowait(line)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        while self.silent:
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
                while self.silent:
                    await asyncio.sleep(SLICE_S)
                await response.write(line.encode() + b"\n")
        except (ClientError, ConnectionError):
            return response
        finally:
            self._watches.remove(lines)
