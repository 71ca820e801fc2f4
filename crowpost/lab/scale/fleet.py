"""The worker processes of a run, as seen from the one that started them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from crowpost.lab.scale.places import Place
from crowpost.lab.scale.proc import core_ms, memory_bytes
from crowpost.lab.scale.target import ScaleError, Topology

LINE_BYTES = 1 << 26
ANSWER_S = 120.0  # for one command


class WorkerProcess:
    """One worker: commands go one after another, signals to its own id only."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.names: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._number = 0
        self._turn = asyncio.Lock()

    @property
    def pid(self) -> int:
        """The process id of a worker that has been started."""
        assert self._process is not None
        return self._process.pid

    async def start(self, topology: Topology) -> None:
        """Start the process."""
        regions = [r for r, number in enumerate(topology.zones_per_region) for _ in range(number)]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "crowpost.lab.scale.worker",
            json.dumps(regions),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_BYTES,
        )

    async def ask(self, what: str, **told: Any) -> Any:
        """Its answer; ScaleError where none comes within two minutes, or the process has ended."""
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self._turn:
            self._number += 1
            process.stdin.write((json.dumps({"number": self._number, "do": what, **told}) + "\n").encode())
            try:
                async with asyncio.timeout(ANSWER_S):
                    await process.stdin.drain()
                    while line := await process.stdout.readline():
                        answer = json.loads(line)
                        if answer["number"] == self._number:
                            break  # an older one is to a question that was given up
            except (TimeoutError, OSError):
                raise ScaleError(f"worker {self.name} does not answer to {what}") from None
        if not line:
            raise ScaleError(f"worker {self.name} ended within {what}")
        if "error" in answer:
            raise ScaleError(f"worker {self.name}: {answer['error']}")
        return answer["answer"]

    async def close(self) -> None:
        """End it: its input first, SIGKILL after five seconds."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        assert process.stdin is not None
        process.stdin.close()
        try:
            await asyncio.wait_for(process.wait(), 5.0)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


def _told(worker: WorkerProcess, rows: list[list[str]]) -> list[tuple[str, str]]:
    return [(name, row[0]) for name, row in zip(worker.names, rows, strict=True)]


@dataclass(frozen=True, slots=True)
class Reading:
    """One worker's figures at a moment; core in ms, memory in bytes."""

    nodes: int
    core_ms: float
    memory: int
    counts: dict[str, float]
    slow: int
    late_p99_ms: float
    late_most_ms: float
    at: float  # s, of this process's loop


class Fleet:
    """All workers, with hollow nodes dealt out to them."""

    def __init__(self, topology: Topology, workers: int, places: list[Place]) -> None:
        self.topology = topology
        self.workers = [WorkerProcess(f"w{i}") for i in range(workers)]
        self.places = {place.name: place for place in places}
        self.home: dict[str, WorkerProcess] = {}
        self.addresses: dict[str, str] = {}  # once a duty is open
        for i, place in enumerate(places):
            worker = self.workers[i % workers]
            worker.names.append(place.name)
            self.home[place.name] = worker

    async def start(self) -> None:
        """Start the workers and tell each its nodes, which do nothing yet."""
        await asyncio.gather(*(w.start(self.topology) for w in self.workers))
        await asyncio.gather(
            *(w.ask("places", places=[self.places[n].plain() for n in w.names]) for w in self.workers)
        )

    async def all(self, what: str, **told: Any) -> list[Any]:
        """The same command to all, and their answers in order."""
        return list(await asyncio.gather(*(w.ask(what, **told) for w in self.workers)))

    async def open(self, duty: str, settings: Mapping[str, Any] | None = None) -> None:
        """Switch a duty on in all nodes, as long after their start; settings: of the duty."""
        found = await self.all("open", duty=duty, settings=dict(settings or {}))
        rows = [row[1] for part in found for row in part]
        self.addresses = {
            n: a for w, part in zip(self.workers, found, strict=True) for n, a in _told(w, part)
        }
        await self.all("acquaint", rows=rows)
        await self.all("go")

    async def some(self, what: str, names: list[str], **told: Any) -> None:
        """A command about nodes by name, to the workers that hold them."""
        mine = {w: [n for n in names if self.home[n] is w] for w in self.workers}
        await asyncio.gather(*(w.ask(what, names=held, **told) for w, held in mine.items() if held))

    async def read(self) -> list[Reading]:
        """All workers' figures."""
        told = await self.all("counts")
        at = asyncio.get_running_loop().time()
        return [
            Reading(
                t["nodes"],
                core_ms(w.pid),
                memory_bytes(w.pid),
                t["counts"],
                t["slow"],
                t["late_p99_ms"],
                t["late_most_ms"],
                at,
            )
            for w, t in zip(self.workers, told, strict=True)
        ]

    async def close(self) -> None:
        """End all workers."""
        await asyncio.gather(*(w.close() for w in self.workers))
