"""python -m crowpost.lab.scale.worker: a process of hollow nodes.

Commands are lines of JSON on standard input, answered on standard output.  It ends with its input.
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

from crowpost.lab.scale.hollow import DUTIES, Cut, Duty
from crowpost.lab.scale.places import Place

LINE_BYTES = 1 << 26
TICK_S = 0.05  # between looks at how late the loop is
BIND_TRIES = 20
AT_ONCE = 16  # nodes that are started or ended at the same time


class Worker:
    """All hollow nodes of this process."""

    def __init__(self, regions: list[int]) -> None:
        self.cut = Cut(regions)
        self.places: dict[str, Place] = {}
        self.running: dict[str, Duty] = {}
        self.nodes: dict[str, Duty] = {}
        self.past: Counter[str] = Counter()  # counts of processes that have ended
        self.late: list[float] = []  # ms by which the loop was late, since the last question
        self.tasks: set[asyncio.Future[None]] = set()
        self.faults: list[str] = []  # of work beside commands

    async def watch(self) -> None:
        """Note how late the loop is."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += TICK_S
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.late.append(1000.0 * (loop.time() - due))
            due = max(due, loop.time() - TICK_S)

    async def do(self, what: str, told: dict[str, Any]) -> Any:
        """One command; its answer as JSON values.  OSError, also for what went wrong beside commands."""
        if self.faults:
            raise OSError("; ".join(self.faults[:3]))
        match what:
            case "places":
                self.places = {p["name"]: Place(**p) for p in told["places"]}
                return len(self.places)
            case "open":
                kind = DUTIES[told["duty"]]
                self.nodes = {name: kind(place, self.cut) for name, place in self.places.items()}
                await self._each(list(self.nodes), lambda name: self._start(name, told["settings"]))
                return [[node.address, base64.b64encode(node.row()).decode()] for node in self.nodes.values()]
            case "acquaint":
                rows = [base64.b64decode(row) for row in told["rows"]]
                for node in self.running.values():
                    node.acquaint(rows)
                    await asyncio.sleep(0)
                gc.collect()
                gc.freeze()  # as a real node does: what exists now lives as long as the process
                return None
            case "go":
                for node in self.running.values():
                    node.go()
                return None
            case "start":
                await self._each(told["names"], lambda name: self._start(name, told["settings"]))
                return None
            case "end":
                await self._each(told["names"], lambda name: self._end(name, told["in_order"]))
                return None
            case "restart":
                for name in told["names"]:  # goes on beside other commands
                    task = asyncio.ensure_future(self._restart(name, told["settings"]))
                    self.tasks.add(task)
                    task.add_done_callback(self._done)
                return None
            case "cut":
                self.cut.on = bool(told["on"])
                return None
            case "counts":
                return self._counts()
            case "look":
                return self._look()
            case _:
                raise ValueError(f"no such command: {what}")

    async def _each(self, names: list[str], work: Any) -> None:
        gate = asyncio.Semaphore(AT_ONCE)

        async def one(name: str) -> None:
            async with gate:
                await work(name)

        await asyncio.gather(*(one(name) for name in names))

    def _done(self, task: asyncio.Future[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(repr(task.exception()))

    async def _start(self, name: str, settings: dict[str, Any]) -> None:
        for tries in range(BIND_TRIES):
            if name in self.running:
                return
            try:
                await self.nodes[name].start(settings)
            except OSError:
                if tries == BIND_TRIES - 1:
                    raise
                await asyncio.sleep(TICK_S)  # the loop has yet to close the sockets of the one before
                continue
            self.running[name] = self.nodes[name]
            return

    async def _end(self, name: str, in_order: bool) -> None:
        node = self.running.pop(name, None)
        if node is not None:
            await node.end(in_order)
            self.past.update(node.counts())

    async def _restart(self, name: str, settings: dict[str, Any]) -> None:
        await self._end(name, True)
        await self._start(name, settings)

    def _counts(self) -> dict[str, Any]:
        total: Counter[str] = Counter(self.past)
        for node in self.running.values():
            total.update(node.counts())
        late, self.late = sorted(self.late) or [0.0], []
        slow = sum(node.awareness() > 0 for node in self.running.values())
        return {
            "nodes": len(self.running),
            "counts": dict(total),
            "slow": slow,
            "late_p99_ms": late[int(0.99 * (len(late) - 1))],
            "late_most_ms": late[-1],
        }

    def _look(self) -> dict[str, Any]:
        views: Counter[str] = Counter()
        sent: Counter[str] = Counter(self.past)
        for name, node in self.running.items():
            views[f"{self.places[name].region} {node.look()}"] += 1
            sent.update(node.counts())
        return {"views": dict(views), "messages": sent["messages"], "bytes": sent["bytes"]}


async def serve(regions: list[int]) -> None:
    """Answer commands one by one until the input ends."""
    worker = Worker(regions)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    watch = loop.create_task(worker.watch())
    while line := await reader.readline():
        told = json.loads(line)
        try:
            answer = {"number": told["number"], "answer": await worker.do(told["do"], told)}
        except OSError as error:
            answer = {"number": told["number"], "error": f"{told['do']}: {error}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    watch.cancel()


def main() -> int:
    """The regions of the zones are the only argument, as a list of JSON."""
    # Real nodes write a line of each change; these pay for the same lines, which nobody reads.
    nowhere = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115 - until the very end of the process
    logging.basicConfig(stream=nowhere, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    uvloop.run(serve(json.loads(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
