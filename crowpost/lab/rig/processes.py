"""The processes of a rig: started, signalled by their own ids, and read; never found by name."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections import deque
from pathlib import Path
from typing import Any

from crowpost.lab.rig.history import History
from crowpost.lab.rig.plan import Storm
from crowpost.lab.rig.relays import own_ip

MARK = " members {"
MANAGED = re.compile(r" is managed on ([0-9.]+):([0-9]+)")
MANAGE_S = 5.0  # for one call to a second address
BINDS_S = 30.0  # from the start of a process until it has bound its address
SLICE_S = 0.2  # a starved process runs for a part of each such time


class ProcessError(Exception):
    """A process that did not start; one line."""


def node_config(node_index: int, nodes: int) -> dict[str, Any]:
    """The least that a node can start from: one class, and one server that nobody will call."""
    settings = {
        "azs": ["a"],
        "balancers": nodes,
        "ordinal": node_index,
        "registryMode": "pushed",
        "profiles": [{"name": "r", "effect": "safe", "aimMs": 1000.0, "deadlineMs": 3000.0}],
    }
    server: dict[str, Any] = {
        "instanceId": "s",
        "hostPort": "127.0.0.1:9",
        "zone": "a",
        "lifecycle": "SERVING",
    }
    server |= {"machineType": "m", "cell": 0, "weight": 1.0, "startedAtMs": 0}
    return {
        "seed": f"{node_index + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"generation": 1, "reset": True, "instances": [server]},
        "settings": settings,
    }


class RigProcess:
    """One process of the cluster, over all of its starts."""

    def __init__(self, name: str, index: int, storm: Storm, folder: Path, history: History) -> None:
        self.name, self.index, self.storm, self.folder, self.history = name, index, storm, folder, history
        self.listens: tuple[str, int] | None = None
        self.managed: tuple[str, int] | None = None  # its second address
        self.state = folder / f"{name}-state"
        self.expected_up = False
        self.starts = 0
        self.words: deque[str] = deque(maxlen=40)
        self.bound = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _write(self, address: str, contacts: list[str]) -> Path:
        zone = f"z{self.index % self.storm.zones}"
        lines = ["[members]", 'cluster = "storm"', f'name = "{self.name}"', f'zone = "{zone}"']
        lines += [f'listen = "{own_ip(self.index)}:0"', f'advertise = "{address}"']
        lines += [f"join = {json.dumps(contacts)}", "feed = true", "[members.tuning]"]
        lines += [f"{key} = {value}" for key, value in self.storm.tuning.items()]
        path = self.folder / f"{self.name}-{self.starts}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, address: str, contacts: list[str]) -> None:
        """Start it and wait until it has bound; ProcessError if it has not within 30 s."""
        self.starts += 1
        members = self._write(address, contacts)
        environment = {**os.environ, "NODE_NAME": self.name, "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, "-m", "crowpost.members", str(members)]
        if self.storm.program == "node":
            config = self.folder / f"{self.name}.json"
            config.write_text(json.dumps(node_config(self.index, self.storm.processes)))
            environment |= {"NODE_LISTEN": f"{own_ip(self.index)}:0", "NODE_DISCOVERY": "127.0.0.1:9"}
            environment |= {"NODE_CONFIG": str(config), "NODE_MEMBERS": str(members)}
            if self.storm.state:
                file = self.folder / f"{self.name}-state.toml"
                file.write_text(f"[state]\ndirectory = {json.dumps(str(self.state))}\nevery_ms = 100\n")
                environment |= {"NODE_STATE": str(file), "NODE_MANAGEMENT": f"{own_ip(self.index)}:0"}
            command = [sys.executable, "-m", "crowpost"]
        self.process = await asyncio.create_subprocess_exec(
            *command, env=environment, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE
        )
        self.expected_up = True
        # Only now: the end of the one before may be read while this is made, and would pass for its start.
        self.listens = None
        self.bound.clear()
        self._spawn(self._read(self.process))
        try:
            await asyncio.wait_for(self.bound.wait(), BINDS_S)
        except TimeoutError:
            raise ProcessError(
                f"{self.name} has not bound after {BINDS_S:g} s: {self.last_words()}"
            ) from None
        if self.listens is None:
            raise ProcessError(f"{self.name} ended at once: {self.last_words()}")

    def last_words(self) -> str:
        """Return the last line of the process's log."""
        return self.words[-1] if self.words else "it said nothing"

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while raw := await process.stderr.readline():
            line = raw.decode(errors="replace").rstrip()
            self.words.append(line)
            if (found := MANAGED.search(line)) is not None and process is self.process:
                self.managed = found[1], int(found[2])
            if MARK not in line:
                continue
            told = json.loads(line[line.index(MARK) + len(MARK) - 1 :])
            if told["event"] == "start" and process is self.process:
                host, _, port = told["listens"].rpartition(":")
                self.listens = host, int(port)
                self.bound.set()
            event, at = told.pop("event"), told.pop("at_ms")
            self.history.add(self.name, event, at, pid=process.pid, **told)
        code = await process.wait()
        if process is self.process:
            if self.expected_up:
                self.expected_up = False
                at = 1000.0 * asyncio.get_running_loop().time()
                self.history.add(self.name, "ended", at, code=code, words=self.last_words())
            self.bound.set()

    async def manage(self, method: str, call: str) -> tuple[int, bytes]:
        """One call to the second address: status and body; OSError or TimeoutError without an answer."""
        if self.managed is None:
            raise ConnectionError(f"{self.name} has no second address")
        reader, writer = await asyncio.open_connection(*self.managed)
        try:
            writer.write(f"{method} /api/{call} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
            answer = await asyncio.wait_for(reader.read(), MANAGE_S)
        finally:
            writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionError(f"{self.name} closed without an answer")
        return int(head.split()[1]), body

    # ------------------------------------------------------------ signals, to its own id only

    def send(self, number: signal.Signals) -> None:
        """A signal to the present process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """SIGKILL, and its end."""
        self.expected_up = False
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self, process: asyncio.subprocess.Process | None = None) -> None:
        """SIGTERM, and its end; SIGKILL after ten seconds."""
        process = process or self.process
        if process is self.process:
            self.expected_up = False
        if process is None or process.returncode is not None:
            return
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), 10.0)
        except TimeoutError:
            process.kill()
            await process.wait()

    async def starve(self, for_s: float, share: float) -> None:
        """Let it run only for a share of the time, in slices; it always runs on in the end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        try:
            while loop.time() < until and self.expected_up:
                self.send(signal.SIGSTOP)
                await asyncio.sleep(SLICE_S * (1.0 - share))
                self.send(signal.SIGCONT)
                await asyncio.sleep(SLICE_S * share)
        finally:
            self.send(signal.SIGCONT)

    async def close(self) -> None:
        """End whatever runs, at once."""
        self.send(signal.SIGCONT)
        await self.kill()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)
