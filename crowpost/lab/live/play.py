"""Play a scenario on loopback sockets, around real nodes, with a result as of a simulated run."""

from __future__ import annotations

import asyncio
import socket
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import numpy as np

from crowpost.lab.live.processes import NodeError, NodeProcess, settings_json
from crowpost.lab.live.stand import HOST, Books, Errand, LiveDiscovery, LiveServer, now_ms
from crowpost.lab.measure import Measure
from crowpost.lab.node_settings import node_settings, request_classes
from crowpost.lab.runs import Counts, outcome, useful_ms
from crowpost.lab.scenario import Fault, Scenario
from crowpost.lab.traffic import PlannedRequest, count, draw, pause_before_next, spread

# Faults that the stand-ins cannot show on real sockets.
SIMULATED_ONLY: frozenset[str] = frozenset({"reports_late"})
ANSWER_SLACK_MS = 500.0  # an answer later than this after its time is lost
DRAIN_MS = 2500.0
GO_MS = 300.0  # from the last node's readiness to the first request
SETS = {"errors": "errors", "slow": "slower", "silent": "cut", "spoilt": "spoilt", "early_close": "idle_ms"}


class LiveError(Exception):
    """A scenario that cannot be played on sockets; one line."""


class LiveRun:
    """One run on sockets.  Times are ms on a clock that begins with the first request's time 0."""

    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, say: Callable[[str], None], *, state: bool = False
    ) -> None:
        self.state = state
        unknown = sorted(SIMULATED_ONLY.intersection(f.kind for f in scenario.faults))
        if unknown:
            raise LiveError(f"{scenario.name}: {', '.join(unknown)} cannot be played on sockets")
        self.scenario, self.seed, self.folder, self.say = scenario, seed, folder, say
        streams = np.random.SeedSequence([seed, 0x0C20]).spawn(4)
        self.world = Random(int(streams[0].generate_state(2, np.uint64)[0]))
        self.planned_requests = draw(scenario, streams[3])
        self.classes = request_classes(scenario)
        self.measure = Measure(int(np.ceil(scenario.duration_s)))
        self.books = Books()
        self.tiers: list[list[LiveServer]] = [[] for _ in scenario.tiers]
        self.discoveries = [LiveDiscovery(self.books) for _ in scenario.tiers]
        self.front: list[NodeProcess] = []
        self.inner: dict[LiveServer, NodeProcess] = {}
        self.hot: tuple[float, int] | None = None
        self.lags: list[float] = []  # ms by which requests left late
        self.calls = 0
        self.memory: list[float] = []
        self.samples: dict[str, list[Any]] = {"calls_out": [], "limit": [], "sends": []}
        self.exits: list[int] = []
        self._ids = 0
        self._zero = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    def clock(self) -> float:
        """Return the time since the first request's time 0, in ms."""
        return now_ms() - self._zero

    # ------------------------------------------------------------ building

    def _new_server(self, stage: int, kind_index: int, place: int) -> LiveServer:
        tier = self.scenario.tiers[stage]
        rng = Random(self.world.getrandbits(64))
        index = len(self.tiers[stage])
        server = LiveServer(
            self.books,
            tier,
            stage,
            tier.kinds[kind_index],
            index,
            place,
            self.scenario.network.zones,
            self.scenario.limits,
            rng,
        )
        self.tiers[stage].append(server)
        return server

    async def _start_server(self, server: LiveServer, cold: bool) -> None:
        await server.start(cold)
        if server.stage + 1 < len(self.tiers) and server.up:
            node = self.inner.get(server)
            if node is None:
                node = self._node(f"n-{server.name}", server.stage + 1, server.place)
                self.inner[server] = node
            await node.start()

            async def descend(errand: Errand) -> bool:
                return await self._descend(server, errand)

            server.descend = descend

    def _node(self, name: str, stage: int, node_index: int) -> NodeProcess:
        zone = node_index % self.scenario.network.zones
        settings = settings_json(node_settings(self.scenario, stage, node_index, zone), self.scenario)
        discovery = self.discoveries[stage]
        return NodeProcess(
            name,
            self.folder,
            settings,
            discovery.address,
            discovery.listing(),
            self.world.getrandbits(32),
            state=self.state and stage == 0,
        )

    async def _build(self) -> None:
        scenario = self.scenario
        for stage in reversed(range(len(scenario.tiers))):
            tier = scenario.tiers[stage]
            for i in range(tier.servers):
                self._new_server(stage, tier.kind_index(i), i)
            await asyncio.gather(*(self._start_server(s, False) for s in self.tiers[stage]))
            await self.discoveries[stage].start([s.row() for s in self.tiers[stage]])
            self.say(f"{tier.servers} {tier.name} servers")
        upgrades = any(f.kind == "upgrade_nodes" for f in scenario.faults)
        for i in range(scenario.nodes):
            node = self._node(f"n{i}", 0, i)
            if upgrades:
                listener = socket.create_server((HOST, 0), backlog=128)
                listener.set_inheritable(True)
                node.listener, node.port = listener.detach(), 0
                node.port = socket.socket(fileno=socket.dup(node.listener)).getsockname()[1]
            self.front.append(node)
        await asyncio.gather(*(n.start() for n in self.front))
        self.say(f"{len(self.front)} front nodes and {len(self.inner)} beside servers are ready")

    # ------------------------------------------------------------ requests

    def _errand(self, planned_or_parent: PlannedRequest | Errand, deadline: float) -> Errand:
        self._ids += 1
        number = f"{self._ids:016x}"
        if isinstance(planned_or_parent, PlannedRequest):
            planned, kind = planned_or_parent, self.scenario.classes[planned_or_parent.class_index]
            tenants = self.scenario.tenants
            tenant = tenants[planned.tenant].name if tenants else "all"
            errand = Errand(
                number,
                kind.name,
                kind.effect,
                planned.work,
                planned.calls,
                deadline,
                tenant,
                planned.hint,
                top=number,
            )
        else:
            above = planned_or_parent
            errand = Errand(
                number,
                above.name,
                above.effect,
                above.work,
                above.calls,
                deadline,
                above.tenant,
                above.hint,
                top=above.top,
            )
        self.books.errands[number] = errand
        return errand

    async def _ask(self, port: int, errand: Errand) -> tuple[str, float]:
        """Send a request to a node: how it ended, and the Retry-After in ms that came with it."""
        assert self._session is not None
        left = max(errand.deadline - now_ms(), 1.0)
        headers = {
            "X-Request-Id": errand.id,
            "X-Class": errand.name,
            "X-Tenant": errand.tenant,
            "X-Deadline": f"{left / 1000.0:.3f}",
            "X-Cost-Hint": f"{errand.hint * 1000.0:.0f}",
        }
        if errand.effect == "keyed":
            headers["Idempotency-Key"] = errand.top.rjust(32, "0")
        method = "GET" if errand.effect == "safe" else "POST"
        data = None if method == "GET" else b'{"text":"hello"}'
        timeout = aiohttp.ClientTimeout(total=(left + ANSWER_SLACK_MS) / 1000.0)
        try:
            async with self._session.request(
                method, f"http://{HOST}:{port}/api", headers=headers, data=data, timeout=timeout
            ) as response:
                await response.read()
                if now_ms() > errand.deadline:
                    return "timed_out", 0.0
                if response.status == 200:
                    return "ok", 0.0
                after = float(response.headers.get("Retry-After", 0.0)) * 1000.0
                return ("refused" if response.status in (429, 503) else "failed"), after
        except TimeoutError:
            return "unanswered", 0.0
        except aiohttp.ClientConnectorError:
            return "unreachable", 0.0
        except aiohttp.ClientError:
            return "failed", 0.0

    async def _descend(self, server: LiveServer, above: Errand) -> bool:
        node = self.inner[server]
        if not node.up or now_ms() >= above.deadline:
            return False
        self.calls += 1
        end, _ = await self._ask(node.port, self._errand(above, above.deadline))
        if end == "unanswered" and node.up:
            self.books.broken(1, f"{node.name} gave no answer to a {above.name}")
        return end == "ok"

    async def _play_request(self, planned: PlannedRequest) -> None:
        kind = self.classes[planned.class_index]
        while True:
            planned.tries += 1
            self.measure.tries += 1
            standing = [n for n in self.front if n.up]
            end, after = "unreachable", 0.0
            if standing:
                node = standing[spread(planned, len(standing), self.hot)]
                starts = node.starts
                self.calls += 1
                errand = self._errand(planned, now_ms() + planned.patience)
                end, after = await self._ask(node.port, errand)
                if end == "unanswered":
                    if node.up and node.starts == starts:
                        self.books.broken(1, f"{node.name} gave no answer to {kind.name} {errand.id}")
                    end = "timed_out"
            since = self.clock() - planned.due
            pause = pause_before_next(planned, self.scenario.clients, kind, end, since, after)
            if pause is None:
                count(self.measure, self.scenario, planned, since, end)
                return
            await asyncio.sleep(pause / 1000.0)

    async def _send_all(self) -> None:
        """Open loop: each request leaves when it is due, or as soon after as this process can."""
        for planned in self.planned_requests:
            wait = planned.due - self.clock()
            if wait > 0.0:
                await asyncio.sleep(wait / 1000.0)
            self.lags.append(max(0.0, self.clock() - planned.due))
            self._spawn(self._play_request(planned))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.say(f"fault in the lab: {task.exception()!r}")

    # ------------------------------------------------------------ the list

    async def _announce(self, server: LiveServer, span: tuple[float, float]) -> None:
        """Tell the tier's nodes after a delay; of a drain the server keeps when it was told."""
        row = server.row()
        await asyncio.sleep(self.world.uniform(*span) / 1000.0)
        discovery = self.discoveries[server.stage]
        while discovery.silent:
            await asyncio.sleep(0.02)
        if server.row()["startedAtMs"] != row["startedAtMs"]:
            return  # a newer process has been told of
        discovery.tell(row)
        if row["lifecycle"] != "SERVING":
            server.told_leaving = now_ms()

    async def _stop_server(self, server: LiveServer) -> None:
        await server.stop()
        node = self.inner.get(server)
        if node is not None:
            await node.kill()

    async def _replace(
        self, server: LiveServer, wait_ms: float, drain_ms: float, down_ms: float | None
    ) -> None:
        """Drain, end, and start again after a time; for good where that is None."""
        await asyncio.sleep(wait_ms / 1000.0)
        server.draining = True
        self._spawn(self._announce(server, self.scenario.discovery.drain_ms))
        await asyncio.sleep(drain_ms / 1000.0)
        await self._stop_server(server)
        if down_ms is None:
            self._spawn(self._announce(server, self.scenario.discovery.gone_ms))
        else:
            await asyncio.sleep(down_ms / 1000.0)
            await self._start_server(server, True)
            await self._announce(server, self.scenario.discovery.add_ms)

    async def _crash(self, server: LiveServer, down_ms: float) -> None:
        self.say(f"{server.name} is killed at {self.clock() / 1000.0:.1f} s")
        await self._stop_server(server)
        self._spawn(self._announce(server, self.scenario.discovery.gone_ms))
        await asyncio.sleep(down_ms / 1000.0)
        await self._start_server(server, True)
        self.say(f"{server.name} is back, cold, at {self.clock() / 1000.0:.1f} s")
        await self._announce(server, self.scenario.discovery.add_ms)

    # ------------------------------------------------------------ faults

    def _victims(self, fault: Fault) -> list[list[LiveServer]]:
        chosen = []
        for tier, servers in zip(self.scenario.tiers, self.tiers, strict=True):
            if fault.tier in ("", tier.name):
                standing = [s for s in servers if s.up]
                number = min(len(standing), max(1, round(fault.part * len(standing))))
                chosen.append(self.world.sample(standing, number))
        return chosen

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.clock() / 1000.0))
        kind, span = fault.kind, fault.for_s * 1000.0
        if kind == "burst":
            return
        if kind == "discovery_stall":
            await self._stall(fault.for_s)
        elif kind == "hot_caller":
            self.hot = (fault.size, max(1, round(fault.part * len(self.front))))
            await asyncio.sleep(fault.for_s)
            self.hot = None
        elif kind in ("restart_nodes", "upgrade_nodes"):
            await self._renew_nodes(fault)
        else:
            for servers in self._victims(fault):
                for i, server in enumerate(servers):
                    self._spawn(self._hit(fault, server, i, len(servers), span))

    async def _hit(self, fault: Fault, server: LiveServer, i: int, number: int, span: float) -> None:
        trouble, end = server.trouble, self.clock() + span
        if fault.kind in SETS:
            name = SETS[fault.kind]
            calm = getattr(trouble, name)
            value = {"cut": True, "idle_ms": fault.pause_ms}.get(name, fault.size)
            setattr(trouble, name, value)
            await asyncio.sleep(fault.for_s)
            setattr(trouble, name, calm)
        elif fault.kind == "crash":
            await self._crash(server, fault.down_ms)
        elif fault.kind == "release":
            turn = (i * fault.steps // number) * span / fault.steps
            await self._replace(server, turn, DRAIN_MS, fault.down_ms)
        elif fault.kind == "join":
            wait = i * span / number
            self._spawn(self._replace(server, wait, 1500.0, None))
            await asyncio.sleep(wait / 1000.0)
            kinds = self.scenario.tiers[server.stage].kinds
            newcomer = self._new_server(server.stage, kinds.index(server.kind), server.place)
            await self._start_server(newcomer, True)
            await self._announce(newcomer, self.scenario.discovery.add_ms)
        elif fault.kind == "zone_loss":
            if server.zone == self.scenario.network.zones - 1:
                trouble.cut = True
                await asyncio.sleep(fault.for_s)
                trouble.cut = False
                await self._crash(server, 0.0)
        else:
            while self.clock() < end:
                await asyncio.sleep(fault.every_ms * (0.5 + self.world.random()) / 1000.0)
                name, value = ("paused", True) if fault.kind == "pauses" else ("taken", fault.size)
                setattr(trouble, name, value)
                held = fault.pause_ms if fault.kind == "pauses" else fault.every_ms
                await asyncio.sleep(held / 1000.0)
                setattr(trouble, name, type(value)(0))

    async def _stall(self, span_s: float) -> None:
        for discovery in self.discoveries:
            discovery.silent = True
        await asyncio.sleep(span_s)
        for discovery in self.discoveries:
            discovery.silent = False

    async def _renew_nodes(self, fault: Fault) -> None:
        number = min(len(self.front), max(1, round(fault.part * len(self.front))))
        longest = max(c.deadline_ms for c in self.classes) / 1000.0 + 0.7
        for node in self.world.sample(self.front, number):
            if fault.kind == "upgrade_nodes":
                self.exits.append(await node.upgrade(longest))
                self.say(f"{node.name} was replaced by a new process at {self.clock() / 1000.0:.1f} s")
                continue
            node.up = False  # the front sends no more
            self.exits.append(await node.terminate(longest))
            await asyncio.sleep(fault.down_ms / 1000.0)
            await node.start()

    # ------------------------------------------------------------ the run

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.samples["calls_out"].append([sum(s.held for s in tier) for tier in self.tiers])
            self.samples["limit"].append(None)
            self.samples["sends"].append([[s.received for s in tier] for tier in self.tiers])
            for tier in self.tiers:
                for server in tier:
                    server.received = 0
            self.memory.append(max((n.memory_mb() for n in self.front), default=0.0))

    async def run(self) -> dict[str, Any]:
        """Build, play, take down, and say what came of it."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._take_down)
            await self._build()
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
            self._session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
            self._zero = now_ms() + GO_MS
            self.books.began = self._zero
            sampler = asyncio.ensure_future(self._sample())
            for fault in self.scenario.faults:
                self._spawn(self._fault(fault))
            await self._send_all()
            longest = max(c.deadline_ms for c in self.classes) * (self.scenario.clients.retries + 1) + 5000.0
            left = self.scenario.duration_s - self.clock() / 1000.0
            await asyncio.sleep(max(0.0, left))
            if self._tasks:
                await asyncio.wait(set(self._tasks), timeout=longest / 1000.0)
            sampler.cancel()
        return self._result()

    async def _take_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        nodes = [*self.front, *self.inner.values()]
        await asyncio.gather(*(n.kill() for n in nodes))
        for tier in self.tiers:
            for server in tier:
                with suppress(Exception):
                    await server.stop()
        for discovery in self.discoveries:
            await discovery.stop()

    def _result(self) -> dict[str, Any]:
        servers = [s for tier in self.tiers for s in tier]
        lags = np.array(self.lags or [0.0])
        counts = Counts(
            calls=self.calls,
            attempts=sum(s.tally.calls for s in servers),
            handshakes=sum(s.connections for s in servers),
            work_ms=sum(s.work for s in servers),
        )
        counts.wasted_ms = max(0.0, counts.work_ms - useful_ms(self.scenario, self.planned_requests))
        return {
            **outcome(self.scenario, self.seed, "live", self.measure, counts),
            "series": {**self.measure.series(), **self.samples},
            "servers": [[s.name for s in tier] for tier in self.tiers],
            "breaches": self.books.breaches,
            "stories": self.books.stories,
            "log": [[0.0, n.name, line] for n in self.front for line in n.log if " listens " not in line][
                :200
            ],
            "generator_late_ms": {
                "p50": float(np.percentile(lags, 50)),
                "p99": float(np.percentile(lags, 99)),
                "most": float(lags.max()),
            },
            "node_memory_mb": max(self.memory, default=0.0),
            "node_exits": self.exits,
        }


def play_live(
    scenario: Scenario, seed: int, say: Callable[[str], None], *, state: bool = False
) -> dict[str, Any]:
    """Play a scenario on loopback; LiveError or NodeError with one line if it cannot be."""
    with tempfile.TemporaryDirectory(prefix="crowpost-") as folder:
        return asyncio.run(LiveRun(scenario, seed, Path(folder), say, state=state).run())


__all__ = ["LiveError", "LiveRun", "NodeError", "play_live"]
