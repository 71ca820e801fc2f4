"""Processes of the feed for tests: a publisher, relays and nodes, with the events of their logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from crowpost.cli.feed_status import collect_statuses, summarize
from crowpost.config_feed.messages import Message, PublishAccepted, PublishRequest
from crowpost.config_feed.request_reply import request_reply
from tests.node.stubs import HOST, WAIT_TIMEOUT_S, StubDiscovery, StubServer, listing, reply, row, settings

CLUSTER = "c"


class Process:
    """A process of the feed; the events of its log come in order."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.lines: list[str] = []
        self._came = asyncio.Condition()
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, *arguments: str, **environment: str) -> Process:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, *arguments, env={**os.environ, **environment}, stderr=asyncio.subprocess.PIPE
            )
        )

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            async with self._came:
                self.lines.append(line.decode())
                self._came.notify_all()

    async def _find(self, pattern: str, after: int) -> re.Match[str]:
        async with self._came:
            while True:
                for line in self.lines[after:]:
                    if found := re.search(pattern, line):
                        return found
                await self._came.wait()

    async def wait_for_line(self, pattern: str, after: int = 0) -> re.Match[str]:
        """Wait for a line of the log, after the first `after` lines."""
        try:
            return await asyncio.wait_for(self._find(pattern, after), WAIT_TIMEOUT_S)
        except TimeoutError:
            raise AssertionError(f"no line with {pattern}:\n{''.join(self.lines)}") from None

    async def event(self, kind: str, after: int = 0, **values: object) -> dict[str, Any]:
        """Wait for an event of the feed with these values."""
        applies_to_node = "".join(rf"(?=.*{re.escape(json.dumps({k: v})[1:-1])})" for k, v in values.items())
        found = await self.wait_for_line(rf'feed (\{{"event": "{kind}",{applies_to_node}.*\}})', after)
        event: dict[str, Any] = json.loads(found[1])
        return event

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading

    async def end(self) -> None:
        """End the process in order, with exit code 0."""
        self.signal(signal.SIGTERM)
        assert await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S) == 0, "".join(self.lines)


class Fleet:
    """A publisher, relays that follow it and nodes, in one folder."""

    def __init__(self, path: Path, discovery: StubDiscovery, server: StubServer) -> None:
        self.path, self.discovery, self.server = path, discovery, server
        self.addresses: dict[str, str] = {}  # of publisher and relays
        self.processes: dict[str, Process] = {}

    def _toml(self, name: str, upstreams: list[str], **values: object) -> str:
        values = {"cluster": CLUSTER, "name": name, "region": "north", **values}
        text = "[feed]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        text += 'publishers = {north = "p", south = "q"}\nhome = "north"\n'
        text += "".join(
            f'[[feed.upstreams]]\naddress = "{self.addresses[up]}"\nzone = "{up}"\n' for up in upstreams
        )
        file = self.path / f"{name}.toml"
        file.write_text(text)
        return str(file)

    async def start_server(self, name: str, upstreams: list[str]) -> Process:
        """Start a publisher or relay, or restart it at its address."""
        role = "publisher" if name == "p" else "relay"
        more = {"directory": str(self.path / "ledger")} if role == "publisher" else {}
        file = self._toml(
            name, upstreams, role=role, zone=name, listen=self.addresses.get(name, f"{HOST}:0"), **more
        )
        self.processes[name] = process = await Process.start("-m", "crowpost.feed", file)
        self.addresses[name] = (await process.event("start"))["listens"]
        return process

    async def start_node(self, name: str, zone: str = "r0") -> tuple[Process, tuple[str, int]]:
        """Start or restart a node; return it and the address for clients."""
        config = self.path / f"{name}.json"
        raw = {"seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}}
        known = listing(1, row("a", self.server.address))
        config.write_text(json.dumps({**raw, "known": known, "settings": settings(registryMode="pushed")}))
        relays = [distribution_server for distribution_server in self.addresses if distribution_server != "p"]
        folder = str(self.path / f"{name}-feed")
        environment = {
            "NODE_NAME": name,
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": self.discovery.address,
            "NODE_CONFIG": str(config),
            "NODE_FEED": self._toml(name, relays, zone=zone, service="cart", directory=folder),
        }
        self.processes[name] = process = await Process.start("-m", "crowpost", **environment)
        found = await process.wait_for_line(r"listens on ([\d.]+):(\d+)")
        return process, (found[1], int(found[2]))

    async def publish(self, body: object, scope: str = "all", **more: Any) -> Message:
        asked = PublishRequest(1, scope, json.dumps(body).encode(), "ann", "why not", **more)
        return await request_reply(self.addresses["p"], asked, CLUSTER, WAIT_TIMEOUT_S)

    async def status(self, met: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Wait for a status that meets a condition, as reports take a moment."""
        loop = asyncio.get_running_loop()
        end = loop.time() + WAIT_TIMEOUT_S
        while loop.time() < end:
            found = summarize(await collect_statuses(list(self.addresses.values()), CLUSTER, WAIT_TIMEOUT_S))
            if met(found):
                return found
            await asyncio.sleep(0.02)
        raise AssertionError(f"never so: {json.dumps(found, indent=1)}")


@contextlib.asynccontextmanager
async def fleet(path: Path, nodes: int) -> AsyncIterator[tuple[Fleet, list[tuple[Process, tuple[str, int]]]]]:
    """Publisher p, relays r0 and r1, and nodes that are linked to both relays."""
    async with StubServer([reply("200 OK", b"old")]) as server, StubDiscovery() as discovery:
        world = Fleet(path, discovery, server)
        try:
            await world.start_server("p", [])
            await asyncio.gather(world.start_server("r0", ["p"]), world.start_server("r1", ["p"]))
            started = await asyncio.gather(*(world.start_node(f"n{i}") for i in range(nodes)))
            for process, _ in started:
                for relay in ("r0", "r1"):
                    await process.event("linked", server=relay)
            yield world, started
        finally:
            for process in world.processes.values():
                await process.kill()


def connect(ms: float) -> dict[str, Any]:
    return {"settings": {"policyLimits": {"connectTimeoutMs": ms}}}


def version(answer: Message) -> int:
    assert isinstance(answer, PublishAccepted), answer
    return answer.header.version


async def in_force(processes: list[Process], number: int, scope: str = "all") -> list[dict[str, Any]]:
    return [await p.event("in force", scope=scope, version=number) for p in processes]
