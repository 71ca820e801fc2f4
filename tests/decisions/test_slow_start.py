"""Rule 4 over a fleet: what thirty nodes together send a cold server, each seeing only its own calls."""

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
from tests.decisions.fleet import Fleet, SimServer, heaviest
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

NODES = 30
SEEDS = 2
COLD_MS = 8000.0
START_MS, END_MS = 3000.0, 11_000.0


@dataclass(frozen=True)
class Play:
    """Warm servers, cold ones that come at once, and what a server can do; load and burst in all capacity."""

    warm: int
    cold: int
    slots: int
    mean_ms: float
    queue_most: int  # calls that wait at a server before it turns calls away
    uneven: float  # node i gets a part in proportion to (1 + i) to the minus this
    spread: float = 0.0  # of the work of requests, told by cost hints; 0: all alike
    load: float = 1.2
    burst: float = 4.0
    # What the settings promise.
    share: float = 0.31
    times: float = 4.0
    span_ms: float = 3000.0

    def weights(self) -> list[float]:
        """The part of all requests that each node gets."""
        raw = [(1 + i) ** -self.uneven for i in range(NODES)]
        return [weight / sum(raw) for weight in raw]

    def per_ms(self) -> float:
        """Requests of all nodes before the burst."""
        return (self.warm + self.cold) * self.load * self.slots / self.mean_ms

    def beyond(self, server: SimServer) -> float:
        """Work at a cold server beyond its budget and chance, at the worst; below 0: none."""
        assert server.got, "a cold server got nothing"
        span = self.span_ms
        return heaviest(server.got, span, lambda at: self.times * server.speed(at) * server.per_ms() * span)


CLOSE = Play(3, 1, 2, 20.0, 20, uneven=1.0, load=0.8, burst=1.5, share=0.1, times=1.5, span_ms=1000.0)
PLAYS = {
    "one of five": Play(4, 1, 1, 200.0, 4, uneven=1.0),
    "one of three, that are full": Play(2, 1, 1, 400.0, 0, uneven=1.0),
    "two of four, even nodes, uneven work": Play(2, 2, 1, 400.0, 8, uneven=0.0, spread=0.5),
    "nine of twelve, that are full": Play(3, 9, 1, 300.0, 0, uneven=1.0, spread=0.5, burst=6.0),
    "two of four, slow": Play(2, 2, 1, 800.0, 8, uneven=0.0),
    "eight of ten, little promised": Play(
        2, 8, 1, 200.0, 30, uneven=0.5, load=1.0, burst=1.5, share=0.1, times=2.0
    ),
    "one of four, little promised": CLOSE,
}


def _beyond(play: Play, seed: int) -> float:
    names = [b"s%d" % i for i in range(play.warm + play.cold)]
    servers = {name: SimServer(play.slots, play.mean_ms, play.queue_most) for name in names}
    kept = Settings(
        classes=(RequestClass("look", 1000.0, 2000.0),),
        node_count=NODES,
        warm_up_ms=COLD_MS,
        slow_start_fraction=play.share,
        overload_factor=play.times,
        overload_window_ms=play.span_ms,
    )
    fleet = Fleet([replace(kept, node_index=i) for i in range(NODES)], servers, seed)
    fleet.tell(*[EndpointEntry(name) for name in names[: play.warm]])
    rng = random.Random(seed)

    def asking(node: int, per_ms: float) -> None:
        def ask() -> None:
            burst = play.burst if fleet.now >= START_MS - 500.0 else 1.0
            units = rng.lognormvariate(-(play.spread**2) / 2, play.spread) if play.spread else 1.0
            fleet.ask(node, units, play.spread > 0.0)
            fleet.at(fleet.now + rng.expovariate(per_ms * burst), ask)

        fleet.at(rng.expovariate(per_ms), ask)

    def start() -> None:
        for name in names[play.warm :]:
            servers[name].begin(fleet.now, COLD_MS, play.share)
        fleet.tell(*[EndpointEntry(name, started_ms=fleet.now) for name in names[play.warm :]])

    for node, weight in enumerate(play.weights()):
        asking(node, play.per_ms() * weight)
    fleet.at(START_MS, start)
    fleet.run(END_MS if play is not CLOSE else START_MS + 3000.0)
    return max(play.beyond(servers[name]) for name in names[play.warm :])


@pytest.mark.parametrize("name", PLAYS)
def test_thirty_nodes_together_keep_the_budget_of_a_cold_server(name: str) -> None:
    """Counted at the server, by the budget of the settings, in every span, with the operators' chance."""
    beyond = [round(_beyond(PLAYS[name], seed), 1) for seed in range(SEEDS)]
    assert max(beyond) < 0.0, beyond


# ---------------------------------------------------------------- real processes


@dataclass
class Machine(SimServer):
    """The same server on a socket; its times are those of the clock."""

    places: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(0))
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    async def behave(self, server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        """Answer as soon as there is a place and the work is done."""
        now = 1000.0 * time.time()
        self.got.append((now, 1.0))
        if self.busy >= self.slots + self.queue_most:
            await reply("503 Full", extra="X-Not-Run: 1\r\n")(server, received, writer)
            return
        self.busy += 1
        async with self.places:
            await asyncio.sleep(self.mean_ms * self.rng.uniform(0.5, 1.5) / self.speed(now) / 1000.0)
        self.busy -= 1
        await reply("200 OK")(server, received, writer)


@contextlib.asynccontextmanager
async def _nodes(
    known: list[StubServer], tmp_path: Path
) -> AsyncIterator[tuple[list[tuple[str, int]], StubDiscovery]]:
    """Thirty processes that know these servers; where they listen, and their discovery."""
    limits = settings()
    guarantees = {
        **limits["guarantees"],
        "mustAskInMs": 10_000.0,
        "coldMs": COLD_MS,
        "startCapacity": CLOSE.share,
        "fallMultiple": CLOSE.times,
        "overloadForMs": CLOSE.span_ms,
    }
    rows = [row(f"s{i}", server.address) for i, server in enumerate(known)]
    async with StubDiscovery() as discovery:
        started, paths = [], [tmp_path / f"{i}.log" for i in range(NODES)]
        for i in range(NODES):
            told = settings(registryMode="pushed", balancers=NODES, ordinal=i, guarantees=guarantees)
            raw = {"seed": str(i), "limits": {"memory_mb": 96, "sockets": 256}, "settings": told}
            config = tmp_path / f"{i}.json"
            config.write_text(json.dumps({**raw, "known": listing(1, *rows)}))
            environment = {
                "NODE_NAME": f"n{i}",
                "NODE_LISTEN": f"{HOST}:0",
                "NODE_DISCOVERY": discovery.address,
                "NODE_CONFIG": str(config),
            }
            with paths[i].open("wb") as log:  # a file: a pipe that nobody reads would hold the node up
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


async def _ask_on(address: tuple[str, int], per_s: float, rng: random.Random, burst: asyncio.Event) -> None:
    """Requests at random moments, whatever becomes of those before, on as many connections as it takes."""
    idle: list[Client] = []

    async def ask() -> None:
        client = idle.pop() if idle else await Client.connect(address)
        assert (await client.ask("look", deadline="1.0")).status in (200, 503)
        idle.append(client)

    async with asyncio.TaskGroup() as asking:
        while True:
            await asyncio.sleep(rng.expovariate(per_s * (CLOSE.burst if burst.is_set() else 1.0)))
            asking.create_task(ask())


def test_thirty_processes_together_keep_the_budget_of_a_cold_server(tmp_path: Path) -> None:
    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            machines = [
                Machine(CLOSE.slots, CLOSE.mean_ms, CLOSE.queue_most) for _ in range(CLOSE.warm + CLOSE.cold)
            ]
            servers = []
            for machine in machines:
                machine.places = asyncio.Semaphore(machine.slots)
                servers.append(await stack.enter_async_context(StubServer([machine.behave])))
            known = servers[: CLOSE.warm]
            addresses, discovery = await stack.enter_async_context(_nodes(known, tmp_path))
            burst = asyncio.Event()
            load = [
                asyncio.create_task(
                    _ask_on(address, 1000.0 * CLOSE.per_ms() * weight, random.Random(i), burst)
                )
                for i, (address, weight) in enumerate(zip(addresses, CLOSE.weights(), strict=True))
            ]
            watches = [await discovery.watch() for _ in addresses]
            for watch in watches:
                send_line(watch, b"")
            await asyncio.sleep(2.0)
            burst.set()
            cold = machines[-1]
            cold.begin(1000.0 * time.time(), COLD_MS, CLOSE.share)
            for watch in watches:
                send_line(
                    watch, listing(2, row("cold", servers[-1].address, started=cold.started), reset=False)
                )
            await asyncio.sleep(3.0)
            assert not any(task.done() for task in load)
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)
            assert CLOSE.beyond(cold) < 0.0

    run(asyncio.wait_for(main(), 2 * WAIT_TIMEOUT_S))
