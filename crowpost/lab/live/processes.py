"""Real node processes: their configuration, start, signals and logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections import deque
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from crowpost.decision_api import Settings
from crowpost.lab.live.stand import HOST
from crowpost.lab.scenario import Scenario

READY_S = 20.0
LISTENS = re.compile(r"listens on [\d.]+:(\d+)")


class NodeError(Exception):
    """A node that did not start or did not end; the text is one line."""


def settings_json(settings: Settings, scenario: Scenario) -> dict[str, Any]:
    """Return settings with the names and the nesting of a node's configuration."""
    return {
        "azs": [f"zone-{i}" for i in range(scenario.network.zones)],
        "locality": settings.zone,
        "balancers": settings.node_count,
        "ordinal": settings.node_index,
        "stage": settings.tier,
        "layers": [tier.name for tier in scenario.tiers],
        "models": [kind.name for kind in scenario.tiers[settings.tier].kinds],
        "registryMode": "pushed",
        "tickMs": settings.tick_ms,
        "weights": "off",
        "worthBy": "work",
        "overShareWorth": settings.over_quota_weight,
        "guarantees": {
            "answerSlackMs": settings.answer_slack_ms,
            "coldMs": settings.warm_up_ms,
            "startCapacity": settings.slow_start_fraction,
            "stopSendingWithinMs": settings.drain_grace_ms,
            "fallMultiple": settings.overload_factor,
            "overloadForMs": settings.overload_window_ms,
            "mustAskInMs": settings.list_poll_ms,
        },
        "policyLimits": {
            "cancel": settings.may_cancel,
            "connIdleMs": scenario.network.idle_ms,
            "connectTimeoutMs": settings.connect_timeout_ms,
            "maxRetryAfterMs": settings.max_retry_after_ms,
            "mayDuplicate": settings.may_hedge,
            "probes": settings.may_check_health,
            "retryAfter": settings.retry_after,
            "tryLimit": settings.max_attempts,
        },
        "loadInfo": {"columns": list(settings.load_report_columns)},
        "profiles": [
            {
                "name": request_class.name,
                "aimMs": request_class.latency_objective_ms,
                "deadlineMs": request_class.deadline_ms,
                "worth": request_class.priority_weight,
                "effect": request_class.effect.value,
                "group": request_class.idempotency_scope.value,
                "windowMs": request_class.idempotency_window_ms,
            }
            for request_class in settings.classes
        ],
        "tenants": [
            {"name": tenant.name, "fraction": tenant.fraction, "quotaPerS": tenant.quota_per_s}
            for tenant in settings.tenants
        ],
    }


class NodeProcess:
    """One node, which keeps its address over restarts; the last lines of its log are kept in memory."""

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        discovery: str,
        known: dict[str, Any],
        seed: int,
        state: bool = False,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.state = state  # whether it has a state directory
        self.environment = dict(environment or {})  # in addition to the variables of every node
        self.name, self.folder, self.discovery, self.seed = name, folder, discovery, seed
        self.settings, self.known = settings, known
        self.port = 0
        self.up = False
        self.starts = 0
        self.log: deque[str] = deque(maxlen=400)
        self.listener: int | None = None  # listening socket that every process of the node inherits
        self.command = [sys.executable, "-m", "crowpost"]
        self._process: asyncio.subprocess.Process | None = None
        self._ending: list[asyncio.subprocess.Process] = []
        self._reader: asyncio.Task[None] | None = None
        self._listens = asyncio.Event()

    async def start(self) -> None:
        """Start the process and wait for a 200 of `GET /ready`; raise NodeError if none comes within 20 s."""
        config = self.folder / f"{self.name}-{self.starts}.json"
        self.starts += 1
        limits = {"cores": 1.0, "memory_mb": 64, "sockets": 512}
        seed = f"{self.seed + self.starts:x}"
        raw = {"seed": seed, "limits": limits, "known": self.known, "settings": self.settings}
        config.write_text(json.dumps(raw))
        environment = {
            **os.environ,
            "NODE_NAME": self.name,
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_DISCOVERY": self.discovery,
            "NODE_CONFIG": str(config),
            **self.environment,
        }
        if self.state:
            file = self.folder / f"{self.name}-state.toml"
            file.write_text(f"[state]\ndirectory = {json.dumps(str(self.folder / f'{self.name}-state'))}\n")
            environment["NODE_STATE"] = str(file)
        pass_fds: tuple[int, ...] = ()
        if self.listener is not None:
            environment["NODE_ACCEPT_FD"] = str(self.listener)
            pass_fds = (self.listener,)
        self._listens.clear()
        self._process = await asyncio.create_subprocess_exec(
            *self.command, env=environment, stderr=asyncio.subprocess.PIPE, pass_fds=pass_fds
        )
        self._reader = asyncio.create_task(self._read(self._process))
        try:
            await asyncio.wait_for(self._until_ready(), READY_S)
        except TimeoutError:
            raise NodeError(f"{self.name} is not ready after {READY_S:g} s: {self.last_log_line()}") from None
        self.up = True

    @property
    def pid(self) -> int:
        """Process id of the present process."""
        assert self._process is not None
        return self._process.pid

    def ended(self) -> str | None:
        """Return the exit code and the last log line; None while the process runs."""
        code = self._process.returncode if self._process is not None else None
        return None if code is None else f"exit code {code}: {self.last_log_line()}"

    def last_log_line(self) -> str:
        """Return the last line of the log."""
        return self.log[-1] if self.log else "no output"

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode(errors="replace").rstrip():
            self._handle_line(line)

    def _handle_line(self, line: str) -> None:
        self.log.append(line)
        if (found := LISTENS.search(line)) is not None:
            self.port = int(found[1])
            self._listens.set()

    async def _until_ready(self) -> None:
        process = self._process
        assert process is not None
        waiters = {asyncio.ensure_future(self._listens.wait()), asyncio.ensure_future(process.wait())}
        _, pending = await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in pending:
            waiter.cancel()
        while process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200" in status:
                    return
            await asyncio.sleep(0.02)
        raise NodeError(f"{self.name} ended with {process.returncode}: {self.last_log_line()}")

    async def terminate(self, kill_after_s: float) -> int:
        """Send SIGTERM, and SIGKILL after a time; return the exit code."""
        process = self._process
        assert process is not None
        self.up = False
        return await self._end(process, kill_after_s)

    async def _end(self, process: asyncio.subprocess.Process, kill_after_s: float) -> int:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), kill_after_s)
            except TimeoutError:
                process.kill()
        return await process.wait()

    async def upgrade(self, kill_after_s: float) -> int:
        """Start a second process that takes over the inherited listener; return the first one's exit code."""
        old = self._process
        assert old is not None and self.listener is not None
        await self.start()
        return await self._end(old, kill_after_s)

    async def kill(self) -> None:
        """Send SIGKILL if the process still runs."""
        self.up = False
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader

    def memory_mb(self) -> float:
        """Return the resident memory now, from /proc; 0 if the process has ended."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        pages = int(Path(f"/proc/{self._process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 2**20
