"""The processes of a run: stand-in servers, nodes of each version, and a caller, on cores of their own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from crowpost.lab.live.processes import NodeProcess
from crowpost.lab.live.stand import HOST, LiveDiscovery, RequestRegistry
from crowpost.lab.overhead import profile
from crowpost.lab.overhead.caller import Plan
from crowpost.lab.overhead.stand import CLASSES
from crowpost.lab.overhead.versions import NOW, OverheadError, Version

STARTS = 4  # nodes at a time
STARTS_S = 20.0
ENDS_S = 5.0
PROFILED_ENDS_S = 25.0  # longer than a node drains
SLACK_S = 30.0  # beyond the time that a caller's slices take
IDLE_S = 30.0  # after which servers close connections, as the nodes are told


@dataclass(frozen=True, slots=True)
class How:
    """How all cases are played."""

    seconds: float = 20.0  # of each arm of each case
    kind: int = 0  # of the calls, in CLASSES
    seed: int = 1
    profiled: bool = False
    round_s: float = 1.0  # of an open loop, where all arms run at once
    slice_s: float = 0.5  # of one arm of a closed loop
    warm_s: float = 1.0  # before the first round, not counted


@dataclass(frozen=True, slots=True)
class Case:
    """One thing to measure."""

    servers: int  # of each tier
    chain: int  # tiers, each behind a node
    rate: float = 0.0  # a second, of an open loop; 0: closed
    callers: int = 0  # of a closed loop


def settings() -> dict[str, Any]:
    """A node's settings: plain ones, with second copies and cancelling allowed, no probes and no reports."""
    return {
        "azs": ["zone-0"],
        "locality": 0,
        "balancers": 1,
        "ordinal": 0,
        "stage": 0,
        "layers": ["front"],
        "models": ["m"],
        "registryMode": "pushed",
        "tickMs": 1.0,
        "weights": "off",
        "guarantees": {
            "answerSlackMs": 500.0,
            "coldMs": 10_000.0,
            "startCapacity": 0.3,
            "stopSendingWithinMs": 250.0,
            "fallMultiple": 4.0,
            "overloadForMs": 3000.0,
            "mustAskInMs": 10_000.0,
        },
        "policyLimits": {
            "cancel": True,
            "connIdleMs": 1000.0 * IDLE_S,
            "connectTimeoutMs": 250.0,
            "maxRetryAfterMs": 2000.0,
            "mayDuplicate": True,
            "probes": False,
            "retryAfter": True,
            "tryLimit": 3,
        },
        "profiles": [
            {
                "name": name,
                "aimMs": 5000.0,
                "deadlineMs": 20_000.0,
                "worth": 1.0,
                "effect": name,
                "group": "all",
                "windowMs": 60_000.0,
            }
            for name in CLASSES
        ],
        "tenants": [{"name": "all", "fraction": 1.0, "quotaPerS": 1e6}],
    }


class Cores:
    """Which core is whose: the caller's, the servers', the nodes' in turn; none where there are not four."""

    def __init__(self, nodes: int) -> None:
        self.all = sorted(os.sched_getaffinity(0))
        self.enough = nodes <= len(self.all) - 2  # else each node may run on any core of those left
        self._turn = 0

    def pin(self, pid: int, place: int | None = None) -> None:
        """Give one of our processes a core: by place from the last, or the next of the nodes'."""
        if len(self.all) < 4:
            return
        if place is None and not self.enough:
            os.sched_setaffinity(pid, self.all[:-2])
            return
        if place is None:
            place = 2 + self._turn
            self._turn += 1
        os.sched_setaffinity(pid, {self.all[-1 - place]})


class Helper:
    """One of the lab's own processes, spoken to in lines of JSON."""

    def __init__(self, module: str) -> None:
        self._module = module
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> int:
        """Start it; its process id."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"crowpost.lab.overhead.{self._module}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            limit=2**28,
        )
        return self._process.pid

    async def ask(self, value: Any, within_s: float, *, end: bool = False) -> Any:
        """Write a line and read one; OverheadError if none comes in time."""
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(json.dumps(value).encode() + b"\n")
            if end:
                process.stdin.close()
            line = await asyncio.wait_for(process.stdout.readline(), within_s)
            return json.loads(line)
        except (TimeoutError, OSError, ValueError):
            raise OverheadError(f"the {self._module} says nothing: {await self._last_words()}") from None

    async def _last_words(self) -> str:
        assert self._process is not None and self._process.stderr is not None
        if self._process.returncode is None:
            self._process.kill()
        text = (await self._process.stderr.read()).decode(errors="replace").strip()
        return text.splitlines()[-1] if text else "and left no word"

    async def stop(self) -> None:
        """End it by the end of its input, else by its id."""
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            return
        process.stdin.close()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), ENDS_S)
        if process.returncode is None:
            process.kill()
            await process.wait()


class Platform:
    """The servers of all tiers and, for each version, a node before each tier."""

    def __init__(
        self,
        folder: Path,
        servers: int,
        chain: int,
        versions: Sequence[Version],
        seed: int,
        profiled: bool = False,
    ) -> None:
        self.folder, self.servers, self.chain = folder, servers, chain
        self.versions, self.seed = versions, seed
        self.profiled = profiled
        self.requests = [0] * len(versions)  # that went through each version
        self.cores = Cores(chain * len(versions))
        self.stand = Helper("stand")
        self.front: list[int] = []  # the ports of the first tier's servers
        self.nodes: list[list[NodeProcess]] = []  # by version and tier
        self.ports: list[list[int]] = []  # of the nodes, by way and tier
        self._stack = AsyncExitStack()
        self._cases = 0

    async def __aenter__(self) -> Platform:
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *of: object) -> None:
        await self._stack.aclose()

    async def _start(self) -> None:
        pid = await self.stand.start()
        self._stack.push_async_callback(self.stand.stop)
        self.cores.pin(pid, 1)
        ports = await self.stand.ask({"tiers": self.chain, "servers": self.servers}, STARTS_S)
        self.front = ports[0]
        discoveries = []
        for tier in ports:
            discovery = LiveDiscovery(RequestRegistry())
            await discovery.start([_row(i, port) for i, port in enumerate(tier)])
            self._stack.push_async_callback(discovery.stop)
            discoveries.append(discovery)
        for version in self.versions:
            self.nodes.append(nodes := [])
            for tier, discovery in enumerate(discoveries):
                name = f"{version.commit.split('+')[0]}-{version.name == NOW:d}-{tier}"
                node = NodeProcess(
                    name, self.folder, settings(), discovery.address, discovery.listing(), self.seed
                )
                if version.folder is not None:
                    node.environment = {"PYTHONPATH": str(version.folder), "PYTHONSAFEPATH": "1"}
                    node.command = [sys.executable, "-m", version.package]
                if self.profiled:
                    node.command = profile.command(self.folder / f"{name}.profile", version.package)
                self._stack.push_async_callback(node.kill)
                nodes.append(node)
        starting = [node for nodes in self.nodes for node in nodes]
        for some in range(0, len(starting), STARTS):
            await asyncio.gather(*(node.start() for node in starting[some : some + STARTS]))
        for node in starting:
            self.cores.pin(node.pid)
        self.ports = [[], *([node.port for node in nodes] for nodes in self.nodes)]
        await self.stand.ask(self.ports, STARTS_S)

    async def play(self, case: Case, how: How) -> dict[str, Any]:
        """One case: its slices, and how many answers came that nobody had asked for."""
        self._cases += 1
        span = how.round_s if case.rate else how.slice_s
        rounds = max(2, round(how.seconds / span))
        turns = case.rate > 0.0 and len(self.versions) > 1 and not self.cores.enough
        if turns:
            rounds *= len(self.versions)
        arms = [0, 0, *range(1, 1 + len(self.versions))]
        plan = Plan(
            ports=[self.front, *([nodes[0].port] for nodes in self.nodes)],
            pids=[[], *([node.pid for node in nodes] for nodes in self.nodes)],
            arms=arms,
            open=case.rate > 0.0,
            rate=case.rate,
            callers=case.callers,
            slice_s=span,
            rounds=rounds,
            turns=turns,
            warm_s=how.warm_s * (len(self.versions) if turns else 1),
            kind=how.kind,
            seed=how.seed,
            prefix=f"{self._cases:06x}",
        )
        caller = Helper("caller")
        pid = await caller.start()
        try:
            self.cores.pin(pid, 0)
            before = await self.stand.ask(self.ports, STARTS_S)
            within = (rounds * span + how.warm_s) * len(arms) + SLACK_S
            found: dict[str, Any] = await caller.ask(asdict(plan), within, end=True)
            after = await self.stand.ask(self.ports, STARTS_S)
        finally:
            await caller.stop()
        before += [0] * (len(after) - len(before))
        found["attempts"] = [b - a for a, b in zip(before, after, strict=True)]
        for i, sent in enumerate(found["sent"][2:]):
            self.requests[i] += sent
        for nodes in self.nodes:
            for node in nodes:
                if (words := node.ended()) is not None:
                    raise OverheadError(f"node {node.name} ended: {words}")
        return found

    async def profiles(self) -> list[dict[str, Any]]:
        """End the nodes; where the time of each version's went."""
        nodes = [node for mine in self.nodes for node in mine]
        await asyncio.gather(*(node.terminate(PROFILED_ENDS_S) for node in nodes))
        return [
            {
                "version": version.name,
                "servers": self.servers,
                "chain": self.chain,
                "requests": self.requests[i],
                "parts": profile.by_cause(
                    [self.folder / f"{node.name}.profile" for node in self.nodes[i]],
                    self.requests[i],
                ),
            }
            for i, version in enumerate(self.versions)
        ]


def _row(index: int, port: int) -> dict[str, Any]:
    return {
        "instanceId": f"s-{index}",
        "hostPort": f"{HOST}:{port}",
        "zone": "zone-0",
        "machineType": "m",
        "cell": index // 4,
        "lifecycle": "SERVING",
        "weight": 1.0,
        "startedAtMs": 0,
    }
