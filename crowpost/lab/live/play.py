"""Run a scenario on loopback sockets, around real nodes, with a result like that of a simulated run."""

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
from crowpost.lab.live.stand import HOST, LiveDiscovery, LiveServer, RequestRegistry, TrackedRequest, now_ms
from crowpost.lab.measure import Measure
from crowpost.lab.node_settings import node_settings, request_classes
from crowpost.lab.runs import Counts, outcome, useful_ms
from crowpost.lab.scenario import Fault, Scenario
from crowpost.lab.traffic import PlannedRequest, choose_node, draw, record_end, retry_delay

# Faults that the stub servers cannot produce on real sockets.
SIMULATED_ONLY: frozenset[str] = frozenset({"reports_late"})
ANSWER_SLACK_MS = 500.0  # an answer later than this after its deadline is lost
DRAIN_MS = 2500.0
START_DELAY_MS = 300.0  # time between the readiness of the last node and the first request
FAULT_FIELDS = {
    "errors": "errors",
    "slow": "slower",
    "silent": "unresponsive",
    "spoilt": "spoilt",
    "early_close": "idle_ms",
}


class LiveError(Exception):
    """A scenario that cannot be run on sockets; the text is one line."""


class LiveRun:
    """One run on sockets. Times are ms on a clock whose 0 is the start of the traffic."""

    def __init__(
        self, scenario: Scenario, seed: int, folder: Path, log: Callable[[str], None], *, state: bool = False
    ) -> None:
        self.state = state
        unknown = sorted(SIMULATED_ONLY.intersection(fault.kind for fault in scenario.faults))
        if unknown:
            raise LiveError(f"{scenario.name}: {', '.join(unknown)} cannot be run on sockets")
        self.scenario, self.seed, self.folder, self.log = scenario, seed, folder, log
        streams = np.random.SeedSequence([seed, 0x0C20]).spawn(4)
        self.rng = Random(int(streams[0].generate_state(2, np.uint64)[0]))
        self.planned_requests = draw(scenario, streams[3])
        self.classes = request_classes(scenario)
        self.measure = Measure(int(np.ceil(scenario.duration_s)))
        self.registry = RequestRegistry()
        self.tiers: list[list[LiveServer]] = [[] for _ in scenario.tiers]
        self.discoveries = [LiveDiscovery(self.registry) for _ in scenario.tiers]
        self.front: list[NodeProcess] = []
        self.server_nodes: dict[LiveServer, NodeProcess] = {}
        self.hot_nodes: tuple[float, int] | None = None
        self.send_delays: list[float] = []  # ms by which requests were sent too late
        self.calls = 0
        self.memory_samples: list[float] = []
        self.samples: dict[str, list[Any]] = {"calls_out": [], "limit": [], "sends": []}
        self.exit_codes: list[int] = []
        self._ids = 0
        self._start_ms = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None

    def clock(self) -> float:
        """Return the time since the start of the traffic, in ms."""
        return now_ms() - self._start_ms

    # ------------------------------------------------------------ building

    def _new_server(self, stage: int, kind_index: int, place: int) -> LiveServer:
        tier = self.scenario.tiers[stage]
        rng = Random(self.rng.getrandbits(64))
        index = len(self.tiers[stage])
        server = LiveServer(
            self.registry,
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

    async def _start_server(self, server: LiveServer, warming_up: bool) -> None:
        await server.start(warming_up)
        if server.stage + 1 < len(self.tiers) and server.up:
            node = self.server_nodes.get(server)
            if node is None:
                node = self._node(f"n-{server.name}", server.stage + 1, server.place)
                self.server_nodes[server] = node
            await node.start()

            async def call_next_tier(tracked: TrackedRequest) -> bool:
                return await self._call_next_tier(server, tracked)

            server.call_next_tier = call_next_tier

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
            self.rng.getrandbits(32),
            state=self.state and stage == 0,
        )

    async def _build(self) -> None:
        scenario = self.scenario
        for stage in reversed(range(len(scenario.tiers))):
            tier = scenario.tiers[stage]
            for i in range(tier.servers):
                self._new_server(stage, tier.kind_index(i), i)
            await asyncio.gather(*(self._start_server(server, False) for server in self.tiers[stage]))
            await self.discoveries[stage].start([server.row() for server in self.tiers[stage]])
            self.log(f"{tier.servers} {tier.name} servers")
        upgrades = any(fault.kind == "upgrade_nodes" for fault in scenario.faults)
        for i in range(scenario.nodes):
            node = self._node(f"n{i}", 0, i)
            if upgrades:
                listener = socket.create_server((HOST, 0), backlog=128)
                listener.set_inheritable(True)
                node.listener, node.port = listener.detach(), 0
                node.port = socket.socket(fileno=socket.dup(node.listener)).getsockname()[1]
            self.front.append(node)
        await asyncio.gather(*(node.start() for node in self.front))
        self.log(f"{len(self.front)} front nodes and {len(self.server_nodes)} nodes beside servers are ready")

    # ------------------------------------------------------------ requests

    def _track(self, source: PlannedRequest | TrackedRequest, deadline: float) -> TrackedRequest:
        self._ids += 1
        number = f"{self._ids:016x}"
        if isinstance(source, PlannedRequest):
            planned, kind = source, self.scenario.classes[source.class_index]
            tenants = self.scenario.tenants
            tenant = tenants[planned.tenant].name if tenants else "all"
            tracked = TrackedRequest(
                number,
                kind.name,
                kind.effect,
                planned.work,
                planned.calls,
                deadline,
                tenant,
                planned.hint,
                root_id=number,
            )
        else:
            parent = source
            tracked = TrackedRequest(
                number,
                parent.name,
                parent.effect,
                parent.work,
                parent.calls,
                deadline,
                parent.tenant,
                parent.hint,
                root_id=parent.root_id,
            )
        self.registry.requests[number] = tracked
        return tracked

    async def _send_request(self, port: int, tracked: TrackedRequest) -> tuple[str, float]:
        """Send a request to a node; return its end, and the Retry-After of the answer in ms."""
        assert self._session is not None
        left = max(tracked.deadline - now_ms(), 1.0)
        headers = {
            "X-Request-Id": tracked.id,
            "X-Class": tracked.name,
            "X-Tenant": tracked.tenant,
            "X-Deadline": f"{left / 1000.0:.3f}",
            "X-Cost-Hint": f"{tracked.hint * 1000.0:.0f}",
        }
        if tracked.effect == "keyed":
            headers["Idempotency-Key"] = tracked.root_id.rjust(32, "0")
        method = "GET" if tracked.effect == "safe" else "POST"
        data = None if method == "GET" else b'{"text":"hello"}'
        timeout = aiohttp.ClientTimeout(total=(left + ANSWER_SLACK_MS) / 1000.0)
        try:
            async with self._session.request(
                method, f"http://{HOST}:{port}/api", headers=headers, data=data, timeout=timeout
            ) as response:
                await response.read()
                if now_ms() > tracked.deadline:
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

    async def _call_next_tier(self, server: LiveServer, parent: TrackedRequest) -> bool:
        node = self.server_nodes[server]
        if not node.up or now_ms() >= parent.deadline:
            return False
        self.calls += 1
        end, _ = await self._send_request(node.port, self._track(parent, parent.deadline))
        if end == "unanswered" and node.up:
            self.registry.record_breach(1, f"{node.name} gave no answer to a {parent.name}")
        return end == "ok"

    async def _play_request(self, planned: PlannedRequest) -> None:
        kind = self.classes[planned.class_index]
        while True:
            planned.tries += 1
            self.measure.tries += 1
            running = [node for node in self.front if node.up]
            end, after = "unreachable", 0.0
            if running:
                node = running[choose_node(planned, len(running), self.hot_nodes)]
                starts = node.starts
                self.calls += 1
                tracked = self._track(planned, now_ms() + planned.patience)
                end, after = await self._send_request(node.port, tracked)
                if end == "unanswered":
                    if node.up and node.starts == starts:
                        self.registry.record_breach(
                            1, f"{node.name} gave no answer to {kind.name} {tracked.id}"
                        )
                    end = "timed_out"
            since = self.clock() - planned.due
            delay = retry_delay(planned, self.scenario.clients, kind, end, since, after)
            if delay is None:
                record_end(self.measure, self.scenario, planned, since, end)
                return
            await asyncio.sleep(delay / 1000.0)

    async def _send_all(self) -> None:
        """Send each request when it is due, or as soon after that as this process can (open loop)."""
        for planned in self.planned_requests:
            wait = planned.due - self.clock()
            if wait > 0.0:
                await asyncio.sleep(wait / 1000.0)
            self.send_delays.append(max(0.0, self.clock() - planned.due))
            self._spawn(self._play_request(planned))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log(f"error in the lab: {task.exception()!r}")

    # ------------------------------------------------------------ endpoint list

    async def _announce(self, server: LiveServer, span: tuple[float, float]) -> None:
        """Notify the tier's nodes after a delay; the server records when they were notified of a drain."""
        row = server.row()
        await asyncio.sleep(self.rng.uniform(*span) / 1000.0)
        discovery = self.discoveries[server.stage]
        while discovery.stalled:
            await asyncio.sleep(0.02)
        if server.row()["startedAtMs"] != row["startedAtMs"]:
            return  # a newer process has been announced
        discovery.push(row)
        if row["lifecycle"] != "SERVING":
            server.drain_notified_ms = now_ms()

    async def _stop_server(self, server: LiveServer) -> None:
        await server.stop()
        node = self.server_nodes.get(server)
        if node is not None:
            await node.kill()

    async def _replace_server(
        self, server: LiveServer, wait_ms: float, drain_ms: float, down_ms: float | None
    ) -> None:
        """Drain a server, stop it, and start it again after a time; never if that is None."""
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
        self.log(f"{server.name} was killed at {self.clock() / 1000.0:.1f} s")
        await self._stop_server(server)
        self._spawn(self._announce(server, self.scenario.discovery.gone_ms))
        await asyncio.sleep(down_ms / 1000.0)
        await self._start_server(server, True)
        self.log(f"{server.name} was started again, cold, at {self.clock() / 1000.0:.1f} s")
        await self._announce(server, self.scenario.discovery.add_ms)

    # ------------------------------------------------------------ faults

    def _affected_servers(self, fault: Fault) -> list[list[LiveServer]]:
        chosen = []
        for tier, servers in zip(self.scenario.tiers, self.tiers, strict=True):
            if fault.tier in ("", tier.name):
                running = [server for server in servers if server.up]
                count = min(len(running), max(1, round(fault.part * len(running))))
                chosen.append(self.rng.sample(running, count))
        return chosen

    async def _fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.clock() / 1000.0))
        kind, span = fault.kind, fault.for_s * 1000.0
        if kind == "burst":
            return
        if kind == "discovery_stall":
            await self._stall_discovery(fault.for_s)
        elif kind == "hot_caller":
            self.hot_nodes = (fault.size, max(1, round(fault.part * len(self.front))))
            await asyncio.sleep(fault.for_s)
            self.hot_nodes = None
        elif kind in ("restart_nodes", "upgrade_nodes"):
            await self._replace_front_nodes(fault)
        else:
            for servers in self._affected_servers(fault):
                for i, server in enumerate(servers):
                    self._spawn(self._apply_fault(fault, server, i, len(servers), span))

    async def _apply_fault(
        self, fault: Fault, server: LiveServer, index: int, count: int, span: float
    ) -> None:
        faults, end = server.faults, self.clock() + span
        if fault.kind in FAULT_FIELDS:
            name = FAULT_FIELDS[fault.kind]
            normal = getattr(faults, name)
            value = {"unresponsive": True, "idle_ms": fault.pause_ms}.get(name, fault.size)
            setattr(faults, name, value)
            await asyncio.sleep(fault.for_s)
            setattr(faults, name, normal)
        elif fault.kind == "crash":
            await self._crash(server, fault.down_ms)
        elif fault.kind == "release":
            batch_delay = (index * fault.steps // count) * span / fault.steps
            await self._replace_server(server, batch_delay, DRAIN_MS, fault.down_ms)
        elif fault.kind == "join":
            delay_ms = index * span / count
            self._spawn(self._replace_server(server, delay_ms, 1500.0, None))
            await asyncio.sleep(delay_ms / 1000.0)
            kinds = self.scenario.tiers[server.stage].kinds
            replacement = self._new_server(server.stage, kinds.index(server.kind), server.place)
            await self._start_server(replacement, True)
            await self._announce(replacement, self.scenario.discovery.add_ms)
        elif fault.kind == "zone_loss":
            if server.zone == self.scenario.network.zones - 1:
                faults.unresponsive = True
                await asyncio.sleep(fault.for_s)
                faults.unresponsive = False
                await self._crash(server, 0.0)
        else:
            while self.clock() < end:
                await asyncio.sleep(fault.every_ms * (0.5 + self.rng.random()) / 1000.0)
                name, value = ("paused", True) if fault.kind == "pauses" else ("taken", fault.size)
                setattr(faults, name, value)
                duration_ms = fault.pause_ms if fault.kind == "pauses" else fault.every_ms
                await asyncio.sleep(duration_ms / 1000.0)
                setattr(faults, name, type(value)(0))

    async def _stall_discovery(self, span_s: float) -> None:
        for discovery in self.discoveries:
            discovery.stalled = True
        await asyncio.sleep(span_s)
        for discovery in self.discoveries:
            discovery.stalled = False

    async def _replace_front_nodes(self, fault: Fault) -> None:
        count = min(len(self.front), max(1, round(fault.part * len(self.front))))
        longest = max(request_class.deadline_ms for request_class in self.classes) / 1000.0 + 0.7
        for node in self.rng.sample(self.front, count):
            if fault.kind == "upgrade_nodes":
                self.exit_codes.append(await node.upgrade(longest))
                self.log(f"{node.name} was replaced by a new process at {self.clock() / 1000.0:.1f} s")
                continue
            node.up = False  # the front sends it no more requests
            self.exit_codes.append(await node.terminate(longest))
            await asyncio.sleep(fault.down_ms / 1000.0)
            await node.start()

    # ------------------------------------------------------------ the run

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.samples["calls_out"].append(
                [sum(server.in_flight for server in tier) for tier in self.tiers]
            )
            self.samples["limit"].append(None)
            self.samples["sends"].append([[server.received for server in tier] for tier in self.tiers])
            for tier in self.tiers:
                for server in tier:
                    server.received = 0
            self.memory_samples.append(max((node.memory_mb() for node in self.front), default=0.0))

    async def run(self) -> dict[str, Any]:
        """Build the platform, run the scenario, shut everything down, and return the result."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._shut_down)
            await self._build()
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5.0)
            self._session = await stack.enter_async_context(aiohttp.ClientSession(connector=connector))
            self._start_ms = now_ms() + START_DELAY_MS
            self.registry.began = self._start_ms
            sampler = asyncio.ensure_future(self._sample())
            for fault in self.scenario.faults:
                self._spawn(self._fault(fault))
            await self._send_all()
            longest = (
                max(request_class.deadline_ms for request_class in self.classes)
                * (self.scenario.clients.retries + 1)
                + 5000.0
            )
            left = self.scenario.duration_s - self.clock() / 1000.0
            await asyncio.sleep(max(0.0, left))
            if self._tasks:
                await asyncio.wait(set(self._tasks), timeout=longest / 1000.0)
            sampler.cancel()
        return self._result()

    async def _shut_down(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        nodes = [*self.front, *self.server_nodes.values()]
        await asyncio.gather(*(node.kill() for node in nodes))
        for tier in self.tiers:
            for server in tier:
                with suppress(Exception):
                    await server.stop()
        for discovery in self.discoveries:
            await discovery.stop()

    def _result(self) -> dict[str, Any]:
        servers = [server for tier in self.tiers for server in tier]
        send_delays = np.array(self.send_delays or [0.0])
        counts = Counts(
            calls=self.calls,
            attempts=sum(server.counts.calls for server in servers),
            handshakes=sum(server.connections for server in servers),
            work_ms=sum(server.work for server in servers),
        )
        counts.wasted_ms = max(0.0, counts.work_ms - useful_ms(self.scenario, self.planned_requests))
        return {
            **outcome(self.scenario, self.seed, "live", self.measure, counts),
            "series": {**self.measure.series(), **self.samples},
            "servers": [[server.name for server in tier] for tier in self.tiers],
            "breaches": self.registry.breaches,
            "stories": self.registry.breach_reports,
            "log": [
                [0.0, node.name, line] for node in self.front for line in node.log if " listens " not in line
            ][:200],
            "generator_late_ms": {
                "p50": float(np.percentile(send_delays, 50)),
                "p99": float(np.percentile(send_delays, 99)),
                "most": float(send_delays.max()),
            },
            "node_memory_mb": max(self.memory_samples, default=0.0),
            "node_exits": self.exit_codes,
        }


def play_live(
    scenario: Scenario, seed: int, log: Callable[[str], None], *, state: bool = False
) -> dict[str, Any]:
    """Run a scenario on loopback; raise a one-line LiveError or NodeError if that fails."""
    with tempfile.TemporaryDirectory(prefix="crowpost-") as folder:
        return asyncio.run(LiveRun(scenario, seed, Path(folder), log, state=state).run())


__all__ = ["LiveError", "LiveRun", "NodeError", "play_live"]
