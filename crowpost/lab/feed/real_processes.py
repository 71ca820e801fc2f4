"""The feed with real processes on this machine, one relay of which is killed.

Run it with `python -m crowpost.lab.feed.real_processes`.

Times are from the publish request to the node's own log line that the document is applied, both by the
machine's monotonic clock.  Only processes that were started here are signalled, by their number.
"""

from __future__ import annotations

import argparse
import asyncio
import json
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
from crowpost.lab.feed.simulation import put_into

HOST, CLUSTER = "127.0.0.1", "real"
STARTS_AT_ONCE = 2
RELAYS = 4  # one a zone
SETTLE_S = 6.0  # a silent relay is given up after 4.5
START_S, WAIT_S = 30.0, 13.0  # for a process to be up, and for a change to be in force
SIZE = 2_000  # bytes of a document, about
LINE = re.compile(r'feed (\{"event": .*\})')
SETTINGS = {
    "policyLimits": {"connectTimeoutMs": 100.0},
    "profiles": [{"name": "look", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 4000.0}],
    "registryMode": "pushed",
    "remarks": "x" * (SIZE - 200),
}


@dataclass
class Process:
    """A process that was started here, and what its log tells."""

    name: str
    process: asyncio.subprocess.Process
    told: asyncio.Condition = field(default_factory=asyncio.Condition)
    listens: str = ""
    managed: str = ""
    links: int = 0
    taken: dict[int, float] = field(default_factory=dict)  # version and when, in ms

    async def read(self) -> None:
        """Read the log of the process until its end."""
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            async with self.told:
                self._line(line)
                self.told.notify_all()

    def _line(self, line: str) -> None:
        if found := re.search(r"is managed on ([\d.]+:\d+)", line):
            self.managed = found[1]
        elif found := LINE.search(line):
            event = json.loads(found[1])
            if event["event"] == "start":
                self.listens = event["listens"]
            elif event["event"] == "linked":
                self.links += 1
            elif event["event"] == "in force":
                self.taken[event["version"]] = event["at_ms"]

    async def until(self, met: str, within_s: float, number: int = 0) -> bool:
        """Wait for `listens`, `linked` or an applied version; return whether it came in time."""
        checks = {
            "listens": lambda: bool(self.listens),
            "linked": lambda: self.links >= 2,
            "in force": lambda: any(version >= number for version in self.taken),
        }
        try:
            async with asyncio.timeout(within_s), self.told:
                await self.told.wait_for(checks[met])
        except TimeoutError:
            return False
        return True

    def cpu_s(self) -> float:
        """Return the processor time so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Fleet:
    """A publisher, its relays and its nodes; `end` kills them all."""

    def __init__(self, folder: Path, nodes: int, seed: int) -> None:
        self.folder, self.count, self.rng = folder, nodes, Random(seed)
        self.publisher: Process | None = None
        self.relays: list[Process] = []
        self.nodes: list[Process] = []
        self._reading: list[asyncio.Task[None]] = []

    async def _start(self, name: str, *arguments: str, **environment: str) -> Process:
        started = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, env={**os.environ, **environment}, stderr=asyncio.subprocess.PIPE
        )
        process = Process(name, started)
        self._reading.append(asyncio.create_task(process.read()))
        return process

    def _toml(self, name: str, zone: str, up: list[Process], **values: object) -> str:
        values = {"cluster": CLUSTER, "name": name, "region": "north", "zone": zone, **values}
        text = "[feed]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        text += 'publishers = {north = "p"}\nhome = "north"\n'
        text += "".join(f'[[feed.upstreams]]\naddress = "{u.listens}"\nzone = "{u.name}"\n' for u in up)
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return str(path)

    async def _hub(self, name: str, up: list[Process], **values: object) -> Process:
        file = self._toml(name, name, up, listen=f"{HOST}:0", **values)
        process = await self._start(name, "-m", "crowpost.feed", file)
        if not await process.until("listens", START_S):
            raise RuntimeError(f"{name} did not start")
        return process

    async def start(self) -> None:
        """Start all processes, and wait until each node is connected to two relays."""
        directory = str(self.folder / "ledger")
        self.publisher = await self._hub("p", [], role="publisher", directory=directory)
        for number in range(RELAYS):
            self.relays.append(await self._hub(f"z{number}", [self.publisher], role="relay"))
        config = self.folder / "node.json"
        raw = {"seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}}
        known = {"generation": 1, "reset": True, "instances": []}
        config.write_text(json.dumps({**raw, "known": known, "settings": SETTINGS}))
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def one(number: int) -> Process:
            name = f"n{number}"
            environment = {
                "NODE_NAME": name,
                "NODE_LISTEN": f"{HOST}:0",
                "NODE_MANAGEMENT": f"{HOST}:0",
                "NODE_DISCOVERY": f"{HOST}:9",
                "NODE_CONFIG": str(config),
                "NODE_FEED": self._toml(
                    name, f"z{number % RELAYS}", self.relays, directory=str(self.folder / f"{name}-feed")
                ),
            }
            async with gate:
                process = await self._start(name, "-m", "crowpost", **environment)
                self.nodes.append(process)
                if not await process.until("linked", START_S):
                    raise RuntimeError(f"{name} found no two relays")
            return process

        await asyncio.gather(*(one(number) for number in range(self.count)))

    async def publish(self) -> int:
        """A document of about SIZE bytes, of which one value is new; its version."""
        assert self.publisher is not None
        limits = {"connectTimeoutMs": 50.0 + round(100.0 * self.rng.random(), 6)}
        body = json.dumps({"settings": {**SETTINGS, "policyLimits": limits}}).encode()
        answer = await request_reply(
            self.publisher.listens, PublishRequest(1, "all", body, "lab", "a trial"), CLUSTER, WAIT_S
        )
        if not isinstance(answer, PublishAccepted):
            raise RuntimeError(f"not published: {answer}")
        return answer.header.version

    async def bytes_of(self, distribution_server: Process) -> float:
        """Bytes that a relay or publisher has sent and got from those that watch it."""
        answer = await request_reply(distribution_server.listens, StatusRequest(1), CLUSTER, 2.0)
        assert isinstance(answer, StatusResponse)
        return float(sum(answer.value["counts"].get(f"bytes_{way}", 0) for way in ("in", "out")))

    async def node_bytes(self) -> tuple[float, float, float]:
        """Return the bytes of the feed, both ways, of all nodes, and two times of one document in ms.

        The times are the longest that it held up an event loop, and the most processor time that it took.
        """
        total = longest = most = 0.0
        for node in self.nodes:
            host, _, port = node.managed.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /api/telemetry HTTP/1.1\r\nHost: n\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(), 5.0)).decode()
            writer.close()
            total += sum(float(n) for n in re.findall(r"edge_node_feed_bytes\{[^}]*\} (\d+)", text))
            longest = max(longest, float(re.findall(r"feed_longest_us (\d+)", text)[0]) / 1000.0)
            most = max(most, float(re.findall(r"feed_most_cpu_us (\d+)", text)[0]) / 1000.0)
        return total, longest, most

    async def end(self) -> None:
        """Kill all processes."""
        for process in (*self.nodes, *self.relays, self.publisher):
            if process is not None and process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
        await asyncio.gather(*self._reading)


async def play(folder: Path, nodes: int, seed: int) -> list[dict[str, Any]]:
    """One fleet, and the cases calm, burst, relay-dies and idle played on it in turn."""
    fleet = Fleet(folder, nodes, seed)
    loop = asyncio.get_running_loop()
    try:
        await fleet.start()
        await asyncio.sleep(SETTLE_S)
        assert fleet.publisher is not None
        found = []
        for case, changes, gap_s in (
            ("calm", 10, 1.0),
            ("burst", 100, 0.0),
            ("relay-dies", 3, 1.0),
            ("idle", 0, 10.0),
        ):
            hubs = [fleet.publisher, *(r for r in fleet.relays if r.process.returncode is None)]
            began, cpu = loop.time(), [n.cpu_s() for n in fleet.nodes]
            before, node_bytes = (
                {h.name: await fleet.bytes_of(h) for h in hubs},
                (await fleet.node_bytes())[0],
            )
            asked: dict[int, float] = {}
            for number in range(changes):
                at = 1000.0 * loop.time()
                if case == "relay-dies" and number == 1:
                    victim = fleet.rng.choice(fleet.relays)
                    victim.process.kill()
                asked[await fleet.publish()] = at
                await asyncio.sleep(gap_s * (0.5 + fleet.rng.random()))
            last = max(asked, default=0)
            reached = [await node.until("in force", WAIT_S, last) for node in fleet.nodes]
            await asyncio.sleep(max(0.0, 10.0 - (loop.time() - began)))
            spent_s = loop.time() - began
            live = [h for h in hubs if h.process.returncode is None]
            by_hub = {h.name: (await fleet.bytes_of(h) - before[h.name]) / spent_s for h in live}
            took = [_first(node, version) - at for version, at in asked.items() for node in fleet.nodes]
            seconds = sorted(t / 1000.0 for t in took if t < 1e12)
            bytes_now, longest_ms, most_cpu_ms = await fleet.node_bytes()
            used = [100.0 * (n.cpu_s() - c) / spent_s for n, c in zip(fleet.nodes, cpu, strict=True)]
            found.append(
                {
                    "case": case,
                    "nodes": nodes,
                    "seed": seed,
                    "source": "real",
                    "changes": changes,
                    "seconds": round(spent_s, 1),
                    "in_force_s": {
                        "p50": _figure(seconds, 0.5),
                        "p99": _figure(seconds, 0.99),
                        "worst": _figure(seconds, 1.0),
                    },
                    "unreached": reached.count(False),
                    "node_bytes_per_s": round((bytes_now - node_bytes) / spent_s / nodes, 1),
                    "node_held_up_ms": round(longest_ms, 2),  # by one document, since its start
                    "node_document_cpu_ms": round(most_cpu_ms, 2),
                    "node_core_percent": round(sum(used) / nodes, 3),
                    "node_memory_mb": round(sum(n.memory_mb() for n in fleet.nodes) / nodes, 1),
                    "relay_bytes_per_s": round(max(v for k, v in by_hub.items() if k != "p"), 1),
                    "publisher_bytes_per_s": round(by_hub["p"], 1),
                    "faults": [],
                }
            )
        return found
    finally:
        await fleet.end()


def _first(node: Process, version: int) -> float:
    """When a node had this version or a newer one in force, in ms."""
    return min((at for v, at in node.taken.items() if v >= version), default=1e15)


def _figure(seconds: list[float], part: float) -> float | None:
    return round(seconds[min(len(seconds) - 1, int(part * len(seconds)))], 3) if seconds else None


def main() -> int:
    """Print each run; exit code 1 if any node was not reached."""
    parser = argparse.ArgumentParser(prog="python -m crowpost.lab.feed.real_processes", description=__doc__)
    parser.add_argument("--nodes", type=int, default=60, choices=range(1, 151), metavar="1..150")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--into", type=Path, help="put the runs into this record")
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        runs = uvloop.run(play(Path(folder), told.nodes, told.seed))
    for run in runs:
        print(json.dumps(run))
        if told.into is not None:
            put_into(told.into, run)
    return int(any(run["unreached"] for run in runs))


if __name__ == "__main__":
    sys.exit(main())
