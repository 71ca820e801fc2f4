"""python -m crowpost.lab.scale.worker: a process that hosts simulated nodes.

Reads commands as lines of JSON on standard input, answers on standard output, and exits when the input ends.
"""

from __future__ import annotations

import asyncio
import base64
import gc
import json
import logging
import os
import sys
from collections import Counter
from typing import Any

import uvloop

from crowpost.lab.scale.places import Place
from crowpost.lab.scale.simulated_nodes import DUTIES, Duty, RegionPartition

MAX_LINE_BYTES = 1 << 26
# Between measurements of the event loop's lateness, and between attempts to bind.
CHECK_INTERVAL_S = 0.05
BIND_TRIES = 20
MAX_CONCURRENT = 16  # Nodes that are started or stopped at the same time.


class Worker:
    """The simulated nodes of this process."""

    def __init__(self, regions: list[int]) -> None:
        self.partition = RegionPartition(regions)
        self.places: dict[str, Place] = {}
        self.running: dict[str, Duty] = {}
        self.nodes: dict[str, Duty] = {}
        self.ended_counts: Counter[str] = Counter()  # Counts of nodes that have stopped.
        self.lateness_ms: list[float] = []  # Lateness of the event loop since the last "counts" command.
        self.restart_tasks: set[asyncio.Future[None]] = set()
        self.background_errors: list[str] = []  # Errors of restarts, reported with the next command.

    async def measure_lateness(self) -> None:
        """Record the lateness of the event loop, for ever."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += CHECK_INTERVAL_S
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.lateness_ms.append(1000.0 * (loop.time() - due))
            due = max(due, loop.time() - CHECK_INTERVAL_S)

    async def execute(self, name: str, arguments: dict[str, Any]) -> Any:
        """Run a command and return its answer as JSON values.

        Raises OSError if the command failed, or a restart in the background before it.
        """
        if self.background_errors:
            raise OSError("; ".join(self.background_errors[:3]))
        match name:
            case "places":
                self.places = {place["name"]: Place(**place) for place in arguments["places"]}
                return len(self.places)
            case "open":
                create_duty = DUTIES[arguments["duty"]]
                self.nodes = {
                    node_name: create_duty(place, self.partition) for node_name, place in self.places.items()
                }
                await self._for_each(
                    list(self.nodes), lambda node_name: self._start(node_name, arguments["settings"])
                )
                return [
                    [node.address, base64.b64encode(node.peer_record()).decode()]
                    for node in self.nodes.values()
                ]
            case "acquaint":
                peer_records = [base64.b64decode(peer_record) for peer_record in arguments["rows"]]
                for node in self.running.values():
                    node.introduce(peer_records)
                    await asyncio.sleep(0)
                gc.collect()
                # As in a real node: what exists now lives as long as the process.
                gc.freeze()
                return None
            case "go":
                for node in self.running.values():
                    node.activate()
                return None
            case "start":
                await self._for_each(
                    arguments["names"], lambda node_name: self._start(node_name, arguments["settings"])
                )
                return None
            case "end":
                await self._for_each(
                    arguments["names"], lambda node_name: self._stop(node_name, arguments["in_order"])
                )
                return None
            case "restart":
                # Restarts run in the background while other commands are answered.
                for node_name in arguments["names"]:
                    task = asyncio.ensure_future(self._restart(node_name, arguments["settings"]))
                    self.restart_tasks.add(task)
                    task.add_done_callback(self._restart_finished)
                return None
            case "cut":
                self.partition.active = bool(arguments["on"])
                return None
            case "counts":
                return self._counts()
            case "look":
                return self._sample()
            case _:
                raise ValueError(f"no such command: {name}")

    async def _for_each(self, names: list[str], work: Any) -> None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT)

        async def run_one(name: str) -> None:
            async with semaphore:
                await work(name)

        await asyncio.gather(*(run_one(name) for name in names))

    def _restart_finished(self, task: asyncio.Future[None]) -> None:
        self.restart_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.background_errors.append(repr(task.exception()))

    async def _start(self, name: str, settings: dict[str, Any]) -> None:
        for attempt in range(BIND_TRIES):
            if name in self.running:
                return
            try:
                await self.nodes[name].start(settings)
            except OSError:
                if attempt == BIND_TRIES - 1:
                    raise
                # The event loop may not have closed the sockets of the previous start yet.
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            self.running[name] = self.nodes[name]
            return

    async def _stop(self, name: str, graceful: bool) -> None:
        node = self.running.pop(name, None)
        if node is not None:
            await node.end(graceful)
            self.ended_counts.update(node.counts())

    async def _restart(self, name: str, settings: dict[str, Any]) -> None:
        await self._stop(name, True)
        await self._start(name, settings)

    def _counts(self) -> dict[str, Any]:
        total: Counter[str] = Counter(self.ended_counts)
        for node in self.running.values():
            total.update(node.counts())
        lateness_ms, self.lateness_ms = sorted(self.lateness_ms) or [0.0], []
        slow = sum(node.local_health_score() > 0 for node in self.running.values())
        return {
            "nodes": len(self.running),
            "counts": dict(total),
            "slow": slow,
            "late_p99_ms": lateness_ms[int(0.99 * (len(lateness_ms) - 1))],
            "late_most_ms": lateness_ms[-1],
        }

    def _sample(self) -> dict[str, Any]:
        views: Counter[str] = Counter()
        sent: Counter[str] = Counter(self.ended_counts)
        for name, node in self.running.items():
            views[f"{self.places[name].region} {node.view_summary()}"] += 1
            sent.update(node.counts())
        return {"views": dict(views), "messages": sent["messages"], "bytes": sent["bytes"]}


async def serve(regions: list[int]) -> None:
    """Answer commands one by one until the end of the input."""
    worker = Worker(regions)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    lateness_task = loop.create_task(worker.measure_lateness())
    while line := await reader.readline():
        command = json.loads(line)
        try:
            answer = {"number": command["number"], "answer": await worker.execute(command["do"], command)}
        except OSError as error:
            answer = {"number": command["number"], "error": f"{command['do']}: {error}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    lateness_task.cancel()


def main() -> int:
    """Run the worker; the only argument is a JSON list with the region of each zone."""
    # Real nodes log a line for each change; simulated nodes incur the same cost, but the lines are discarded.
    null_stream = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115 - open until the process exits
    logging.basicConfig(
        stream=null_stream, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s"
    )
    uvloop.run(serve(json.loads(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
