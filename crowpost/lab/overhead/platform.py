"""The processes of a run: stub servers, nodes of each version and a client, on separate cores."""

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
from crowpost.lab.overhead.stub_servers import CLASSES
from crowpost.lab.overhead.versions import NOW, OverheadError, Version

MAX_PARALLEL_STARTS = 4  # Nodes that start at the same time.
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
PROFILED_STOP_TIMEOUT_S = 25.0  # Longer than a node drains.
RESULT_SLACK_S = 30.0  # Time for the client's result, in addition to its slices.
SERVER_IDLE_S = 30.0  # Idle time after which servers close connections, as configured in the nodes.


@dataclass(frozen=True, slots=True)
class RunSettings:
    """Settings that all cases of a run share."""

    seconds: float = 20.0  # Measured time of each arm of each case.
    kind: int = 0  # Index of the calls' class in CLASSES.
    seed: int = 1
    profiled: bool = False
    round_s: float = 1.0  # Length of a round of an open loop, where all arms run concurrently.
    slice_s: float = 0.5  # Length of one arm's slice in a closed loop.
    warm_s: float = 1.0  # Warm-up before the first round, not counted.


@dataclass(frozen=True, slots=True)
class Case:
    """One combination of size, chain length and load to measure."""

    servers: int  # Servers of each tier.
    chain: int  # Number of tiers, each behind a node.
    rate: float = 0.0  # Calls per second of an open loop; 0 for a closed loop.
    callers: int = 0  # Concurrent clients of a closed loop.


def node_settings() -> dict[str, Any]:
    """Return plain node settings: hedged requests and cancelling, but no health checks or load reports."""
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
            "connIdleMs": 1000.0 * SERVER_IDLE_S,
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


class CoreAssignment:
    """Assigns cores to the client, the servers and, in turn, the nodes; none if there are fewer than four."""

    def __init__(self, nodes: int) -> None:
        self.all = sorted(os.sched_getaffinity(0))
        self.one_core_each = nodes <= len(self.all) - 2  # Otherwise nodes share the remaining cores.
        self._turn = 0

    def pin(self, pid: int, index: int | None = None) -> None:
        """Pin a process of the run to a core: by index from the last core, or the next core for nodes."""
        if len(self.all) < 4:
            return
        if index is None and not self.one_core_each:
            os.sched_setaffinity(pid, self.all[:-2])
            return
        if index is None:
            index = 2 + self._turn
            self._turn += 1
        os.sched_setaffinity(pid, {self.all[-1 - index]})


class HelperProcess:
    """A process of the lab that exchanges lines of JSON with this one."""

    def __init__(self, module: str) -> None:
        self._module = module
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> int:
        """Start the process and return its id."""
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
        """Write a line and return the answer line; raise OverheadError if there is none in time."""
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        try:
            process.stdin.write(json.dumps(value).encode() + b"\n")
            if end:
                process.stdin.close()
            line = await asyncio.wait_for(process.stdout.readline(), within_s)
            return json.loads(line)
        except (TimeoutError, OSError, ValueError):
            raise OverheadError(
                f"process {self._module} does not answer: {await self._last_error_line()}"
            ) from None

    async def _last_error_line(self) -> str:
        assert self._process is not None and self._process.stderr is not None
        if self._process.returncode is None:
            self._process.kill()
        text = (await self._process.stderr.read()).decode(errors="replace").strip()
        return text.splitlines()[-1] if text else "no error output"

    async def stop(self) -> None:
        """Stop the process by closing its input, and kill it if it does not end in time."""
        process = self._process
        if process is None or process.stdin is None or process.stdout is None:
            return
        process.stdin.close()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        if process.returncode is None:
            process.kill()
            await process.wait()


class Platform:
    """The stub servers of all tiers and, for each version, a node in front of each tier."""

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
        self.requests = [0] * len(versions)  # Requests sent through each version.
        self.cores = CoreAssignment(chain * len(versions))
        self.stub_servers = HelperProcess("stub_servers")
        self.first_tier_ports: list[int] = []  # Ports of the first tier's servers.
        self.nodes: list[list[NodeProcess]] = []  # By version and tier.
        self.ports: list[list[int]] = []  # Ports of the nodes, by route and tier.
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
        pid = await self.stub_servers.start()
        self._stack.push_async_callback(self.stub_servers.stop)
        self.cores.pin(pid, 1)
        ports = await self.stub_servers.ask({"tiers": self.chain, "servers": self.servers}, START_TIMEOUT_S)
        self.first_tier_ports = ports[0]
        discoveries = []
        for tier in ports:
            discovery = LiveDiscovery(RequestRegistry())
            await discovery.start([_list_row(index, port) for index, port in enumerate(tier)])
            self._stack.push_async_callback(discovery.stop)
            discoveries.append(discovery)
        for version in self.versions:
            self.nodes.append(nodes := [])
            for tier, discovery in enumerate(discoveries):
                name = f"{version.commit.split('+')[0]}-{version.name == NOW:d}-{tier}"
                node = NodeProcess(
                    name, self.folder, node_settings(), discovery.address, discovery.listing(), self.seed
                )
                if version.folder is not None:
                    node.environment = {"PYTHONPATH": str(version.folder), "PYTHONSAFEPATH": "1"}
                    node.command = [sys.executable, "-m", version.package]
                if self.profiled:
                    node.command = profile.command(self.folder / f"{name}.profile", version.package)
                self._stack.push_async_callback(node.kill)
                nodes.append(node)
        starting = [node for nodes in self.nodes for node in nodes]
        for first in range(0, len(starting), MAX_PARALLEL_STARTS):
            await asyncio.gather(*(node.start() for node in starting[first : first + MAX_PARALLEL_STARTS]))
        for node in starting:
            self.cores.pin(node.pid)
        self.ports = [[], *([node.port for node in nodes] for nodes in self.nodes)]
        await self.stub_servers.ask(self.ports, START_TIMEOUT_S)

    async def run_case(self, case: Case, run_settings: RunSettings) -> dict[str, Any]:
        """Run one case, and return its slices and the number of unexpected answers."""
        self._cases += 1
        span = run_settings.round_s if case.rate else run_settings.slice_s
        rounds = max(2, round(run_settings.seconds / span))
        turns = case.rate > 0.0 and len(self.versions) > 1 and not self.cores.one_core_each
        if turns:
            rounds *= len(self.versions)
        arms = [0, 0, *range(1, 1 + len(self.versions))]
        plan = Plan(
            ports=[self.first_tier_ports, *([nodes[0].port] for nodes in self.nodes)],
            pids=[[], *([node.pid for node in nodes] for nodes in self.nodes)],
            arms=arms,
            open=case.rate > 0.0,
            rate=case.rate,
            callers=case.callers,
            slice_s=span,
            rounds=rounds,
            turns=turns,
            warm_s=run_settings.warm_s * (len(self.versions) if turns else 1),
            kind=run_settings.kind,
            seed=run_settings.seed,
            prefix=f"{self._cases:06x}",
        )
        client = HelperProcess("caller")
        pid = await client.start()
        try:
            self.cores.pin(pid, 0)
            before = await self.stub_servers.ask(self.ports, START_TIMEOUT_S)
            within = (rounds * span + run_settings.warm_s) * len(arms) + RESULT_SLACK_S
            result: dict[str, Any] = await client.ask(asdict(plan), within, end=True)
            after = await self.stub_servers.ask(self.ports, START_TIMEOUT_S)
        finally:
            await client.stop()
        before += [0] * (len(after) - len(before))
        result["attempts"] = [later - earlier for earlier, later in zip(before, after, strict=True)]
        for index, sent in enumerate(result["sent"][2:]):
            self.requests[index] += sent
        for nodes in self.nodes:
            for node in nodes:
                if (reason := node.ended()) is not None:
                    raise OverheadError(f"node {node.name} ended: {reason}")
        return result

    async def profiles(self) -> list[dict[str, Any]]:
        """Stop the nodes, and return the processor time by cause for each version."""
        nodes = [node for version_nodes in self.nodes for node in version_nodes]
        await asyncio.gather(*(node.terminate(PROFILED_STOP_TIMEOUT_S) for node in nodes))
        return [
            {
                "version": version.name,
                "servers": self.servers,
                "chain": self.chain,
                "requests": self.requests[index],
                "parts": profile.by_cause(
                    [self.folder / f"{node.name}.profile" for node in self.nodes[index]],
                    self.requests[index],
                ),
            }
            for index, version in enumerate(self.versions)
        ]


def _list_row(index: int, port: int) -> dict[str, Any]:
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
