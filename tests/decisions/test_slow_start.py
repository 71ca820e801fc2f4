"""Rule 4 with up to thirty nodes, each of which sees only its own requests to an endpoint that warms up."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import re
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest

from crowpost.decision_api import EndpointEntry, RequestClass, Settings
from tests.decisions.fleet import Fleet, SimServer, max_excess_work
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Client,
    Received,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    send_line,
    settings,
)

NODE_COUNTS = (1, 2, 12, 30)
SEEDS = 2
# Failures lead to retries, slow answers to hedged requests: all of them count.
FAILED_SHARE = 0.05
REQUEST_CLASSES = ("look", "move", "book")
WARM_UP_MS = 8000.0
START_MS, END_MS = 3000.0, 11_000.0


@dataclass(frozen=True)
class Scenario:
    """Warm endpoints, others that start together and warm up, and their capacity.

    Load and burst are multiples of the capacity of all endpoints.
    """

    warm: int
    warming: int
    slots: int
    mean_ms: float
    max_queued: int  # Attempts that may wait at an endpoint before it rejects more
    skew: float  # Node i gets a part of the requests in proportion to (1 + i) ** -skew
    # Log-normal sigma of the work of requests, which then carry cost hints; 0 if all are equal.
    work_sigma: float = 0.0
    load: float = 1.2
    burst: float = 4.0
    # The slow start that the settings describe
    slow_start_fraction: float = 0.31
    overload_factor: float = 4.0
    overload_window_ms: float = 3000.0

    def weights(self, nodes: int) -> list[float]:
        """Return the part of all requests that each node gets."""
        raw = [(1 + i) ** -self.skew for i in range(nodes)]
        return [weight / sum(raw) for weight in raw]

    def per_ms(self) -> float:
        """Return the requests per ms of all nodes before the burst."""
        return (self.warm + self.warming) * self.load * self.slots / self.mean_ms

    def excess_work(self, server: SimServer) -> float:
        """Return the most work beyond budget and margin at an endpoint that warms up; below 0 if none."""
        assert server.received, "an endpoint that is warming up got no attempts"
        span_ms = self.overload_window_ms
        return max_excess_work(
            server.received,
            span_ms,
            lambda at_ms: self.overload_factor * server.speed(at_ms) * server.per_ms() * span_ms,
        )


TIGHT_BUDGET = Scenario(
    3,
    1,
    2,
    20.0,
    20,
    skew=1.0,
    load=0.8,
    burst=1.5,
    slow_start_fraction=0.1,
    overload_factor=1.5,
    overload_window_ms=1000.0,
)
SCENARIOS = {
    "one of five": Scenario(4, 1, 1, 200.0, 4, skew=1.0),
    "one of three, without a queue": Scenario(2, 1, 1, 400.0, 0, skew=1.0),
    "two of four, even nodes, uneven work": Scenario(2, 2, 1, 400.0, 8, skew=0.0, work_sigma=0.5),
    "nine of twelve, without a queue": Scenario(3, 9, 1, 300.0, 0, skew=1.0, work_sigma=0.5, burst=6.0),
    "two of four, slow": Scenario(2, 2, 1, 800.0, 8, skew=0.0),
    "eight of ten, small budget": Scenario(
        2, 8, 1, 200.0, 30, skew=0.5, load=1.0, burst=1.5, slow_start_fraction=0.1, overload_factor=2.0
    ),
    "one of four, small budget": TIGHT_BUDGET,
}


def _excess_work(scenario: Scenario, nodes: int, seed: int) -> float:
    names = [b"s%d" % i for i in range(scenario.warm + scenario.warming)]
    servers = {name: SimServer(scenario.slots, scenario.mean_ms, scenario.max_queued) for name in names}
    node_settings = Settings(
        classes=(RequestClass("look", 1000.0, 2000.0),),
        node_count=nodes,
        warm_up_ms=WARM_UP_MS,
        slow_start_fraction=scenario.slow_start_fraction,
        overload_factor=scenario.overload_factor,
        overload_window_ms=scenario.overload_window_ms,
    )
    fleet = Fleet([replace(node_settings, node_index=i) for i in range(nodes)], servers, seed)
    fleet.feed_list(*[EndpointEntry(name) for name in names[: scenario.warm]])
    rng = random.Random(seed)

    def start_client(node: int, per_ms: float) -> None:
        def send_request() -> None:
            burst = scenario.burst if fleet.now >= START_MS - 500.0 else 1.0
            units = (
                rng.lognormvariate(-(scenario.work_sigma**2) / 2, scenario.work_sigma)
                if scenario.work_sigma
                else 1.0
            )
            fleet.send_request(node, units, scenario.work_sigma > 0.0)
            fleet.at(fleet.now + rng.expovariate(per_ms * burst), send_request)

        fleet.at(rng.expovariate(per_ms), send_request)

    def start_warming_endpoints() -> None:
        for name in names[scenario.warm :]:
            servers[name].restart(fleet.now, WARM_UP_MS, scenario.slow_start_fraction)
        fleet.feed_list(*[EndpointEntry(name, started_ms=fleet.now) for name in names[scenario.warm :]])

    for node, weight in enumerate(scenario.weights(nodes)):
        start_client(node, scenario.per_ms() * weight)
    fleet.at(START_MS, start_warming_endpoints)
    fleet.run(END_MS if scenario is not TIGHT_BUDGET else START_MS + 3000.0)
    return max(scenario.excess_work(servers[name]) for name in names[scenario.warm :])


@pytest.mark.parametrize("nodes", NODE_COUNTS)
@pytest.mark.parametrize("name", SCENARIOS)
def test_all_nodes_together_keep_the_budget_of_a_warming_endpoint(name: str, nodes: int) -> None:
    """The work is counted at the endpoint in every window, against the budget and the margin."""
    excess = [round(_excess_work(SCENARIOS[name], nodes, seed), 1) for seed in range(SEEDS)]
    assert max(excess) < 0.0, excess


# ---------------------------------------------------------------- real processes


@dataclass
class SimServerOnSocket(SimServer):
    """The same endpoint on a socket; its times are those of the wall clock."""

    slots_free: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    async def behave(self, server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        """Respond once a slot is free and the work is done."""
        now = 1000.0 * time.time()
        self.received.append((now, 1.0))
        if self.busy >= self.slots + self.max_queued:
            await reply("503 Full", extra="X-Not-Run: 1\r\n")(server, received, writer)
            return
        self.busy += 1
        async with self.slots_free:
            await asyncio.sleep(self.mean_ms * self.rng.uniform(0.5, 1.5) / self.speed(now) / 1000.0)
        self.busy -= 1
        status = "500 Failed" if self.rng.random() < FAILED_SHARE else "200 OK"
        await reply(status)(server, received, writer)


@contextlib.asynccontextmanager
async def _nodes(
    known: list[StubServer], count: int, tmp_path: Path
) -> AsyncIterator[tuple[list[tuple[str, int]], StubDiscovery]]:
    """Start processes that know these servers; yield their addresses and their discovery."""
    limits = settings()
    guarantees = {
        **limits["guarantees"],
        "mustAskInMs": 10_000.0,
        "coldMs": WARM_UP_MS,
        "startCapacity": TIGHT_BUDGET.slow_start_fraction,
        "fallMultiple": TIGHT_BUDGET.overload_factor,
        "overloadForMs": TIGHT_BUDGET.overload_window_ms,
    }
    entries = [row(f"s{i}", server.address) for i, server in enumerate(known)]
    async with StubDiscovery() as discovery:
        started, paths = [], [tmp_path / f"{i}.log" for i in range(count)]
        for i in range(count):
            node_settings = settings(registryMode="pushed", balancers=count, ordinal=i, guarantees=guarantees)
            config_values = {
                "seed": str(i),
                "limits": {"memory_mb": 96, "sockets": 256},
                "settings": node_settings,
            }
            config = tmp_path / f"{i}.json"
            config.write_text(json.dumps({**config_values, "known": listing(1, *entries)}))
            environment = {
                "NODE_NAME": f"n{i}",
                "NODE_LISTEN": f"{HOST}:0",
                "NODE_DISCOVERY": discovery.address,
                "NODE_CONFIG": str(config),
            }
            # The log is a file, as a pipe without a reader would block the node.
            with paths[i].open("wb") as log:
                command = (sys.executable, "-m", "crowpost")
                started.append(await asyncio.create_subprocess_exec(*command, env=environment, stderr=log))
        try:
            addresses = []
            for path in paths:
                while not (found := re.search(rf"listens on {HOST}:(\d+)", path.read_text())):
                    await asyncio.sleep(0.02)
                addresses.append((HOST, int(found[1])))
            yield addresses, discovery
        finally:
            for process in started:
                process.kill()
            await asyncio.gather(*(process.wait() for process in started))


async def _send_requests(
    address: tuple[str, int], per_s: float, rng: random.Random, burst: asyncio.Event
) -> None:
    """Send requests at random times, without waiting for earlier ones, on as many connections as needed."""
    idle: list[Client] = []

    async def send_request() -> None:
        client = idle.pop() if idle else await Client.connect(address)
        answer = await client.ask(rng.choice(REQUEST_CLASSES), deadline="1.0")
        assert answer.status in (200, 502, 503)
        if answer.headers.get("connection") != "close":
            idle.append(client)

    async with asyncio.TaskGroup() as tasks:
        while True:
            await asyncio.sleep(rng.expovariate(per_s * (TIGHT_BUDGET.burst if burst.is_set() else 1.0)))
            tasks.create_task(send_request())


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_all_processes_together_keep_the_budget_of_a_warming_endpoint(nodes: int, tmp_path: Path) -> None:
    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            machines = [
                SimServerOnSocket(TIGHT_BUDGET.slots, TIGHT_BUDGET.mean_ms, TIGHT_BUDGET.max_queued)
                for _ in range(TIGHT_BUDGET.warm + TIGHT_BUDGET.warming)
            ]
            servers = []
            for machine in machines:
                machine.slots_free = asyncio.Semaphore(machine.slots)
                servers.append(await stack.enter_async_context(StubServer([machine.behave])))
            known = servers[: TIGHT_BUDGET.warm]
            addresses, discovery = await stack.enter_async_context(_nodes(known, nodes, tmp_path))
            burst = asyncio.Event()
            load = [
                asyncio.create_task(
                    _send_requests(address, 1000.0 * TIGHT_BUDGET.per_ms() * weight, random.Random(i), burst)
                )
                for i, (address, weight) in enumerate(
                    zip(addresses, TIGHT_BUDGET.weights(nodes), strict=True)
                )
            ]
            watches = [await discovery.watch() for _ in addresses]
            for watch in watches:
                send_line(watch, b"")
            await asyncio.sleep(2.0)
            burst.set()
            warming = machines[-1]
            warming.restart(1000.0 * time.time(), WARM_UP_MS, TIGHT_BUDGET.slow_start_fraction)
            for watch in watches:
                send_line(
                    watch, listing(2, row("cold", servers[-1].address, started=warming.started), reset=False)
                )
            await asyncio.sleep(3.0)
            assert not any(task.done() for task in load)
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            assert TIGHT_BUDGET.excess_work(warming) < 0.0

    run(asyncio.wait_for(main(), 2 * WAIT_TIMEOUT_S))
