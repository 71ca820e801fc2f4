"""The worker processes of a scale run, controlled from the process that started them."""

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

MAX_LINE_BYTES = 1 << 26
ANSWER_TIMEOUT_S = 120.0


class WorkerProcess:
    """One worker process: it gets one command at a time, and signals go to its own process id only."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.names: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._last_number = 0
        self._command_lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        """Return the process id of a started worker."""
        assert self._process is not None
        return self._process.pid

    async def start(self, topology: Topology) -> None:
        """Start the process."""
        regions = [
            region for region, zone_count in enumerate(topology.zones_per_region) for _ in range(zone_count)
        ]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "crowpost.lab.scale.worker",
            json.dumps(regions),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )

    async def ask(self, command: str, **arguments: Any) -> Any:
        """Return the worker's answer to a command.

        Raises ScaleError if there is no answer within two minutes, or the process has ended.
        """
        process = self._process
        assert process is not None and process.stdin is not None and process.stdout is not None
        async with self._command_lock:
            self._last_number += 1
            process.stdin.write(
                (json.dumps({"number": self._last_number, "do": command, **arguments}) + "\n").encode()
            )
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await process.stdin.drain()
                    while line := await process.stdout.readline():
                        answer = json.loads(line)
                        if answer["number"] == self._last_number:
                            # An earlier number answers a command that timed out.
                            break
            except (TimeoutError, OSError):
                raise ScaleError(f"worker {self.name} did not answer {command}") from None
        if not line:
            raise ScaleError(f"worker {self.name} ended during {command}")
        if "error" in answer:
            raise ScaleError(f"worker {self.name}: {answer['error']}")
        return answer["answer"]

    async def close(self) -> None:
        """End the process by closing its input; send SIGKILL after five seconds."""
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


def _named_addresses(worker: WorkerProcess, rows: list[list[str]]) -> list[tuple[str, str]]:
    return [(name, row[0]) for name, row in zip(worker.names, rows, strict=True)]


@dataclass(frozen=True, slots=True)
class Reading:
    """One worker's measurements at one time; core_ms is processor time, memory is in bytes."""

    nodes: int
    core_ms: float
    memory: int
    counts: dict[str, float]
    slow: int
    late_p99_ms: float
    late_most_ms: float
    at: float  # Seconds on the event loop clock of the controlling process.


class Fleet:
    """All worker processes, with the simulated nodes distributed over them."""

    def __init__(self, topology: Topology, workers: int, places: list[Place]) -> None:
        self.topology = topology
        self.workers = [WorkerProcess(f"w{position}") for position in range(workers)]
        self.places = {place.name: place for place in places}
        self.worker_of: dict[str, WorkerProcess] = {}
        self.addresses: dict[str, str] = {}  # Empty until a duty is enabled.
        for position, place in enumerate(places):
            worker = self.workers[position % workers]
            worker.names.append(place.name)
            self.worker_of[place.name] = worker

    async def start(self) -> None:
        """Start the workers and send each its nodes, which stay idle."""
        await asyncio.gather(*(worker.start(self.topology) for worker in self.workers))
        await asyncio.gather(
            *(
                worker.ask("places", places=[self.places[name].to_dict() for name in worker.names])
                for worker in self.workers
            )
        )

    async def ask_all(self, command: str, **arguments: Any) -> list[Any]:
        """Send a command to all workers and return their answers in the workers' order."""
        return list(await asyncio.gather(*(worker.ask(command, **arguments) for worker in self.workers)))

    async def enable_duty(self, duty: str, settings: Mapping[str, Any] | None = None) -> None:
        """Start a duty on all nodes, as if it had been running for a long time.

        settings: those of the duty.
        """
        replies = await self.ask_all("open", duty=duty, settings=dict(settings or {}))
        rows = [row[1] for reply in replies for row in reply]
        self.addresses = {
            name: address
            for worker, reply in zip(self.workers, replies, strict=True)
            for name, address in _named_addresses(worker, reply)
        }
        await self.ask_all("acquaint", rows=rows)
        await self.ask_all("go")

    async def ask_nodes(self, command: str, names: list[str], **arguments: Any) -> None:
        """Send a command about named nodes to the workers that host them."""
        names_by_worker = {
            worker: [name for name in names if self.worker_of[name] is worker] for worker in self.workers
        }
        await asyncio.gather(
            *(
                worker.ask(command, names=worker_names, **arguments)
                for worker, worker_names in names_by_worker.items()
                if worker_names
            )
        )

    async def read(self) -> list[Reading]:
        """Read the measurements of all workers."""
        replies = await self.ask_all("counts")
        at = asyncio.get_running_loop().time()
        return [
            Reading(
                reply["nodes"],
                core_ms(worker.pid),
                memory_bytes(worker.pid),
                reply["counts"],
                reply["slow"],
                reply["late_p99_ms"],
                reply["late_most_ms"],
                at,
            )
            for worker, reply in zip(self.workers, replies, strict=True)
        ]

    async def close(self) -> None:
        """End all worker processes."""
        await asyncio.gather(*(worker.close() for worker in self.workers))
