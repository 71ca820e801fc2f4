"""Measures the feed with real processes on this machine; one case kills a relay.

Run it with `python -m crowpost.lab.feed.real_processes`.

Times are from the publish request to the node's own log line that the document is applied, both by the
machine's monotonic clock.  Only processes that were started here are signalled, by their process id.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import re
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from crowpost.config_feed.messages import PublishAccepted, PublishRequest, StatusRequest, StatusResponse
from crowpost.config_feed.request_reply import request_reply
from crowpost.lab.feed.records import put_into

HOST, CLUSTER = "127.0.0.1", "real"
STARTS_AT_ONCE = 2
RELAYS = 4  # one in each zone
SETTLE_S = 6.0  # longer than the 4.5 s after which an unresponsive relay is abandoned
START_TIMEOUT_S, CHANGE_TIMEOUT_S = 30.0, 13.0  # limits of a start and of a change
MIN_CASE_S = 10.0  # minimum duration of a case
DOCUMENT_BYTES = 2_000  # approximate bytes of a document
EVENT_LINE = re.compile(r'feed (\{"event": .*\})')
SETTINGS = {
    "policyLimits": {"connectTimeoutMs": 100.0},
    "profiles": [{"name": "look", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 4000.0}],
    "registryMode": "pushed",
    "remarks": "x" * (DOCUMENT_BYTES - 200),
}


@dataclass
class Process:
    """A process that was started here, and the events of its log.

    applied_at_ms: when each version was applied, in ms.
    """

    name: str
    process: asyncio.subprocess.Process
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    listens: str = ""
    management_address: str = ""
    connections: int = 0
    applied_at_ms: dict[int, float] = field(default_factory=dict)

    async def read(self) -> None:
        """Read the log of the process until it ends."""
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            async with self.changed:
                self._handle_line(line)
                self.changed.notify_all()

    def _handle_line(self, line: str) -> None:
        if found := re.search(r"is managed on ([\d.]+:\d+)", line):
            self.management_address = found[1]
        elif found := EVENT_LINE.search(line):
            event = json.loads(found[1])
            if event["event"] == "start":
                self.listens = event["listens"]
            elif event["event"] == "linked":
                self.connections += 1
            elif event["event"] == "in force":
                self.applied_at_ms[event["version"]] = event["at_ms"]

    async def until(self, condition: str, within_s: float, min_version: int = 0) -> bool:
        """Wait for a listening process, for two connections, or for an applied version (`in force`).

        Return whether the condition was met in time.
        """
        conditions = {
            "listens": lambda: bool(self.listens),
            "linked": lambda: self.connections >= 2,
            "in force": lambda: any(version >= min_version for version in self.applied_at_ms),
        }
        try:
            async with asyncio.timeout(within_s), self.changed:
                await self.changed.wait_for(conditions[condition])
        except TimeoutError:
            return False
        return True

    def cpu_s(self) -> float:
        """Return the processor time used so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Fleet:
    """A publisher, its relays and its nodes; `end` kills all of them."""

    def __init__(self, folder: Path, nodes: int, seed: int) -> None:
        self.folder, self.count, self.rng = folder, nodes, Random(seed)
        self.publisher: Process | None = None
        self.relays: list[Process] = []
        self.nodes: list[Process] = []
        self._log_readers: list[asyncio.Task[None]] = []

    async def _start(self, name: str, *arguments: str, **environment: str) -> Process:
        subprocess = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, env={**os.environ, **environment}, stderr=asyncio.subprocess.PIPE
        )
        process = Process(name, subprocess)
        self._log_readers.append(asyncio.create_task(process.read()))
        return process

    def _write_settings(self, name: str, zone: str, upstreams: list[Process], **values: object) -> str:
        values = {"cluster": CLUSTER, "name": name, "region": "north", "zone": zone, **values}
        text = "[feed]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        text += 'publishers = {north = "p"}\nhome = "north"\n'
        text += "".join(
            f'[[feed.upstreams]]\naddress = "{upstream.listens}"\nzone = "{upstream.name}"\n'
            for upstream in upstreams
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return str(path)

    async def _start_server(self, name: str, upstreams: list[Process], **values: object) -> Process:
        file = self._write_settings(name, name, upstreams, listen=f"{HOST}:0", **values)
        process = await self._start(name, "-m", "crowpost.feed", file)
        if not await process.until("listens", START_TIMEOUT_S):
            raise RuntimeError(f"{name} did not start")
        return process

    async def start(self) -> None:
        """Start all processes, and wait until each node is connected to two relays."""
        directory = str(self.folder / "ledger")
        self.publisher = await self._start_server("p", [], role="publisher", directory=directory)
        for number in range(RELAYS):
            self.relays.append(await self._start_server(f"z{number}", [self.publisher], role="relay"))
        config = self.folder / "node.json"
        raw = {"seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}}
        known = {"generation": 1, "reset": True, "instances": []}
        config.write_text(json.dumps({**raw, "known": known, "settings": SETTINGS}))
        semaphore = asyncio.Semaphore(STARTS_AT_ONCE)

        async def start_node(number: int) -> Process:
            name = f"n{number}"
            environment = {
                "NODE_NAME": name,
                "NODE_LISTEN": f"{HOST}:0",
                "NODE_MANAGEMENT": f"{HOST}:0",
                "NODE_DISCOVERY": f"{HOST}:9",
                "NODE_CONFIG": str(config),
                "NODE_FEED": self._write_settings(
                    name, f"z{number % RELAYS}", self.relays, directory=str(self.folder / f"{name}-feed")
                ),
            }
            async with semaphore:
                process = await self._start(name, "-m", "crowpost", **environment)
                self.nodes.append(process)
                if not await process.until("linked", START_TIMEOUT_S):
                    raise RuntimeError(f"{name} did not connect to two relays")
            return process

        await asyncio.gather(*(start_node(number) for number in range(self.count)))

    async def publish(self) -> int:
        """Publish a document of about DOCUMENT_BYTES bytes in which one value is new; return its version."""
        assert self.publisher is not None
        limits = {"connectTimeoutMs": 50.0 + round(100.0 * self.rng.random(), 6)}
        body = json.dumps({"settings": {**SETTINGS, "policyLimits": limits}}).encode()
        reply = await request_reply(
            self.publisher.listens,
            PublishRequest(1, "all", body, "lab", "a trial"),
            CLUSTER,
            CHANGE_TIMEOUT_S,
        )
        if not isinstance(reply, PublishAccepted):
            raise RuntimeError(f"not published: {reply}")
        return reply.header.version

    async def bytes_of(self, distribution_server: Process) -> float:
        """Return the bytes that a relay or publisher has exchanged with its followers, both ways."""
        reply = await request_reply(distribution_server.listens, StatusRequest(1), CLUSTER, 2.0)
        assert isinstance(reply, StatusResponse)
        return float(sum(reply.value["counts"].get(f"bytes_{direction}", 0) for direction in ("in", "out")))

    async def node_bytes(self) -> tuple[float, float, float]:
        """Return the bytes of the feed of all nodes, both ways, and two maxima over documents in ms.

        The maxima are the time that one document blocked an event loop, and the processor time that it took.
        """
        total = longest_ms = max_cpu_ms = 0.0
        for node in self.nodes:
            host, _, port = node.management_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: n\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(), 5.0)).decode()
            writer.close()
            total += sum(float(value) for value in re.findall(r"edge_node_feed_bytes\{[^}]*\} (\d+)", text))
            longest_ms = max(longest_ms, float(re.findall(r"feed_longest_us (\d+)", text)[0]) / 1000.0)
            max_cpu_ms = max(max_cpu_ms, float(re.findall(r"feed_most_cpu_us (\d+)", text)[0]) / 1000.0)
        return total, longest_ms, max_cpu_ms

    async def end(self) -> None:
        """Kill all processes."""
        for process in (*self.nodes, *self.relays, self.publisher):
            if process is not None and process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        await asyncio.gather(*self._log_readers)


@dataclass(frozen=True)
class Case:
    """A number of changes with a mean gap between them; one relay may be killed after the first change."""

    name: str
    changes: int
    gap_s: float
    kills_relay: bool = False


CASES = (
    Case("calm", 10, 1.0),
    Case("burst", 100, 0.0),
    Case("relay-dies", 3, 1.0, kills_relay=True),
    Case("idle", 0, 10.0),
)


@dataclass
class Usage:
    """Bytes and processor time up to one moment."""

    at: float  # event loop time in s
    cpu_s: list[float]  # one value per node
    server_bytes: dict[str, float]  # keyed by name
    node_bytes: float


async def play(folder: Path, nodes: int, seed: int) -> list[dict[str, Any]]:
    """Start one fleet, run the cases on it in turn, and return the results of each."""
    fleet = Fleet(folder, nodes, seed)
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        return [await _run_case(fleet, case, nodes, seed) for case in CASES]
    finally:
        await fleet.end()


async def _run_case(fleet: Fleet, case: Case, nodes: int, seed: int) -> dict[str, Any]:
    before = await _usage(fleet)
    requested_at = await _publish_changes(fleet, case)
    last_version = max(requested_at, default=0)
    reached = [await node.until("in force", CHANGE_TIMEOUT_S, last_version) for node in fleet.nodes]
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, MIN_CASE_S - (loop.time() - before.at)))
    elapsed_s = loop.time() - before.at
    server_rates = {
        server.name: (await fleet.bytes_of(server) - before.server_bytes[server.name]) / elapsed_s
        for server in _running_servers(fleet)
    }
    latencies = [
        _applied_at_ms(node, version) - at for version, at in requested_at.items() for node in fleet.nodes
    ]
    seconds = sorted(latency / 1000.0 for latency in latencies if math.isfinite(latency))
    node_bytes, longest_ms, max_cpu_ms = await fleet.node_bytes()
    cpu_percent = [
        100.0 * (node.cpu_s() - cpu_s) / elapsed_s
        for node, cpu_s in zip(fleet.nodes, before.cpu_s, strict=True)
    ]
    return {
        "case": case.name,
        "nodes": nodes,
        "seed": seed,
        "source": "real",
        "changes": case.changes,
        "seconds": round(elapsed_s, 1),
        "in_force_s": {
            "p50": _quantile(seconds, 0.5),
            "p99": _quantile(seconds, 0.99),
            "worst": _quantile(seconds, 1.0),
        },
        "unreached": reached.count(False),
        "node_bytes_per_s": round((node_bytes - before.node_bytes) / elapsed_s / nodes, 1),
        "node_held_up_ms": round(longest_ms, 2),  # longest of one document since the start of the node
        "node_document_cpu_ms": round(max_cpu_ms, 2),
        "node_core_percent": round(sum(cpu_percent) / nodes, 3),
        "node_memory_mb": round(sum(node.memory_mb() for node in fleet.nodes) / nodes, 1),
        "relay_bytes_per_s": round(max(rate for name, rate in server_rates.items() if name != "p"), 1),
        "publisher_bytes_per_s": round(server_rates["p"], 1),
        "faults": [],
    }


async def _publish_changes(fleet: Fleet, case: Case) -> dict[int, float]:
    """Publish the changes of a case; return by version when each was requested, in ms."""
    loop = asyncio.get_running_loop()
    requested_at: dict[int, float] = {}
    for number in range(case.changes):
        at = 1000.0 * loop.time()
        if case.kills_relay and number == 1:
            fleet.rng.choice(fleet.relays).process.kill()
        requested_at[await fleet.publish()] = at
        await asyncio.sleep(case.gap_s * (0.5 + fleet.rng.random()))
    return requested_at


async def _usage(fleet: Fleet) -> Usage:
    at = asyncio.get_running_loop().time()
    cpu_s = [node.cpu_s() for node in fleet.nodes]
    server_bytes = {server.name: await fleet.bytes_of(server) for server in _running_servers(fleet)}
    node_bytes, _, _ = await fleet.node_bytes()
    return Usage(at, cpu_s, server_bytes, node_bytes)


def _running_servers(fleet: Fleet) -> list[Process]:
    """Return the publisher and the relays that were not killed."""
    assert fleet.publisher is not None
    relays = [relay for relay in fleet.relays if relay.process.returncode is None]
    return [fleet.publisher, *relays]


def _applied_at_ms(node: Process, version: int) -> float:
    """Return when a node had applied this version or a newer one, in ms, or infinity if it has not."""
    return min((at for applied, at in node.applied_at_ms.items() if applied >= version), default=math.inf)


def _quantile(seconds: list[float], fraction: float) -> float | None:
    return round(seconds[min(len(seconds) - 1, int(fraction * len(seconds)))], 3) if seconds else None


def main() -> int:
    """Print the results of each case; return exit code 1 if any node was not reached."""
    parser = argparse.ArgumentParser(prog="python -m crowpost.lab.feed.real_processes", description=__doc__)
    parser.add_argument("--nodes", type=int, default=60, choices=range(1, 151), metavar="1..150")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--into", type=Path, help="put the runs into this record")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        runs = uvloop.run(play(Path(folder), arguments.nodes, arguments.seed))
    for run in runs:
        print(json.dumps(run))
        if arguments.into is not None:
            put_into(arguments.into, run)
    return int(any(run["unreached"] for run in runs))


if __name__ == "__main__":
    sys.exit(main())
