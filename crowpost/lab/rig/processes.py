"""The processes of a fault-injection run: started, signalled by id (never by name), and their logs read."""

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
from crowpost.lab.rig.plan import FaultSchedule
from crowpost.lab.rig.relays import own_ip

EVENT_PREFIX = " members {"
MANAGEMENT_ADDRESS = re.compile(r" is managed on ([0-9.]+):([0-9]+)")
MANAGEMENT_TIMEOUT_S = 5.0  # limit of one call to a management address
BIND_TIMEOUT_S = 30.0  # limit from the start of a process until it has bound its address
STARVATION_PERIOD_S = 0.2  # a starved process runs for a share of each such period


class ProcessError(Exception):
    """Raised when a process does not start; the message is one line."""


def node_config(node_index: int, nodes: int) -> dict[str, Any]:
    """Return a minimal node configuration: one class, and one server that is never called."""
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
    """A named process of the cluster, across all of its restarts."""

    def __init__(
        self, name: str, index: int, schedule: FaultSchedule, folder: Path, history: History
    ) -> None:
        self.name, self.index, self.schedule, self.folder, self.history = (
            name,
            index,
            schedule,
            folder,
            history,
        )
        self.listen_address: tuple[str, int] | None = None
        self.management_address: tuple[str, int] | None = None
        self.state_directory = folder / f"{name}-state"
        self.expected_up = False
        self.starts = 0
        self.log_tail: deque[str] = deque(maxlen=40)
        self.bound = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def _write_settings(self, address: str, contacts: list[str]) -> Path:
        zone = f"z{self.index % self.schedule.zones}"
        lines = ["[members]", 'cluster = "storm"', f'name = "{self.name}"', f'zone = "{zone}"']
        lines += [f'listen = "{own_ip(self.index)}:0"', f'advertise = "{address}"']
        lines += [f"join = {json.dumps(contacts)}", "feed = true", "[members.tuning]"]
        lines += [f"{key} = {value}" for key, value in self.schedule.tuning.items()]
        path = self.folder / f"{self.name}-{self.starts}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, address: str, contacts: list[str]) -> None:
        """Start the process and wait until it has bound its address.

        Raise ProcessError if it ends before, or has not bound within 30 s.
        """
        self.starts += 1
        members_file = self._write_settings(address, contacts)
        environment = {**os.environ, "NODE_NAME": self.name, "PYTHONDONTWRITEBYTECODE": "1"}
        command = [sys.executable, "-m", "crowpost.members", str(members_file)]
        if self.schedule.program == "node":
            config = self.folder / f"{self.name}.json"
            config.write_text(json.dumps(node_config(self.index, self.schedule.processes)))
            environment |= {"NODE_LISTEN": f"{own_ip(self.index)}:0", "NODE_DISCOVERY": "127.0.0.1:9"}
            environment |= {"NODE_CONFIG": str(config), "NODE_MEMBERS": str(members_file)}
            if self.schedule.state:
                state_settings = self.folder / f"{self.name}-state.toml"
                state_settings.write_text(
                    f"[state]\ndirectory = {json.dumps(str(self.state_directory))}\nevery_ms = 100\n"
                )
                environment |= {
                    "NODE_STATE": str(state_settings),
                    "NODE_MANAGEMENT": f"{own_ip(self.index)}:0",
                }
            command = [sys.executable, "-m", "crowpost"]
        self.process = await asyncio.create_subprocess_exec(
            *command, env=environment, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE
        )
        self.expected_up = True
        # Reset only now: the end of the previous process may be read while this one is created, and would be
        # taken for the start of this one.
        self.listen_address = None
        self.bound.clear()
        self._spawn(self._read_log(self.process))
        try:
            await asyncio.wait_for(self.bound.wait(), BIND_TIMEOUT_S)
        except TimeoutError:
            raise ProcessError(
                f"{self.name} has not bound its address after {BIND_TIMEOUT_S:g} s: {self.last_log_line()}"
            ) from None
        if self.listen_address is None:
            raise ProcessError(f"{self.name} ended during its start: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of the process's log."""
        return self.log_tail[-1] if self.log_tail else "its log is empty"

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while raw_line := await process.stderr.readline():
            line = raw_line.decode(errors="replace").rstrip()
            self.log_tail.append(line)
            if (found := MANAGEMENT_ADDRESS.search(line)) is not None and process is self.process:
                self.management_address = found[1], int(found[2])
            if EVENT_PREFIX not in line:
                continue
            fields = json.loads(line[line.index(EVENT_PREFIX) + len(EVENT_PREFIX) - 1 :])
            if fields["event"] == "start" and process is self.process:
                host, _, port = fields["listens"].rpartition(":")
                self.listen_address = host, int(port)
                self.bound.set()
            event, at = fields.pop("event"), fields.pop("at_ms")
            self.history.add(self.name, event, at, pid=process.pid, **fields)
        code = await process.wait()
        if process is self.process:
            if self.expected_up:
                self.expected_up = False
                at = 1000.0 * asyncio.get_running_loop().time()
                self.history.add(self.name, "ended", at, code=code, words=self.last_log_line())
            self.bound.set()

    async def call_management(self, method: str, operation: str) -> tuple[int, bytes]:
        """Call the management address; return status and body.

        Raise OSError or TimeoutError if there is no response.
        """
        if self.management_address is None:
            raise ConnectionError(f"{self.name} has no management address")
        reader, writer = await asyncio.open_connection(*self.management_address)
        try:
            writer.write(f"{method} /api/{operation} HTTP/1.1\r\nHost: rig\r\n\r\n".encode())
            response = await asyncio.wait_for(reader.read(), MANAGEMENT_TIMEOUT_S)
        finally:
            writer.close()
        head, _, body = response.partition(b"\r\n\r\n")
        if not head:
            raise ConnectionError(f"{self.name} closed the connection without a response")
        return int(head.split()[1]), body

    # ------------------------------------------------------------ signals, only to its own id

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the current process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.expected_up = False
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self, process: asyncio.subprocess.Process | None = None) -> None:
        """Send SIGTERM and wait for the end of the process; send SIGKILL after ten seconds."""
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

    async def starve(self, for_s: float, running_share: float) -> None:
        """Let the process run only for a share of each period; it always runs again at the end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        try:
            while loop.time() < until and self.expected_up:
                self.send_signal(signal.SIGSTOP)
                await asyncio.sleep(STARVATION_PERIOD_S * (1.0 - running_share))
                self.send_signal(signal.SIGCONT)
                await asyncio.sleep(STARVATION_PERIOD_S * running_share)
        finally:
            self.send_signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill the process if it runs, and wait for its log to be read."""
        self.send_signal(signal.SIGCONT)
        await self.kill()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)
