"""Starts processes of the feed for tests: a publisher, relays and nodes, and reads their log events."""

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


class FeedProcess:
    """A process of the feed, and the lines of its log."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.log_lines: list[str] = []
        self._line_received = asyncio.Condition()
        self._reader_task = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, *arguments: str, **environment: str) -> FeedProcess:
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, *arguments, env={**os.environ, **environment}, stderr=asyncio.subprocess.PIPE
            )
        )

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            async with self._line_received:
                self.log_lines.append(line.decode())
                self._line_received.notify_all()

    async def _find(self, pattern: str, after: int) -> re.Match[str]:
        async with self._line_received:
            while True:
                for line in self.log_lines[after:]:
                    if match := re.search(pattern, line):
                        return match
                await self._line_received.wait()

    async def wait_for_line(self, pattern: str, after: int = 0) -> re.Match[str]:
        """Wait for a line of the log that matches a pattern, after the first `after` lines."""
        try:
            return await asyncio.wait_for(self._find(pattern, after), WAIT_TIMEOUT_S)
        except TimeoutError:
            raise AssertionError(f"no line matches {pattern}:\n{''.join(self.log_lines)}") from None

    async def wait_for_event(self, kind: str, after: int = 0, **values: object) -> dict[str, Any]:
        """Wait for an event of the feed with these values, and return it."""
        value_patterns = "".join(
            rf"(?=.*{re.escape(json.dumps({key: value})[1:-1])})" for key, value in values.items()
        )
        match = await self.wait_for_line(rf'feed (\{{"event": "{kind}",{value_patterns}.*\}})', after)
        event: dict[str, Any] = json.loads(match[1])
        return event

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reader_task

    async def terminate(self) -> None:
        """Terminate the process, and check that it exits with code 0."""
        self.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(self.process.wait(), WAIT_TIMEOUT_S) == 0, "".join(self.log_lines)


class Fleet:
    """A publisher, relays that follow it, and nodes, with their files in one folder."""

    def __init__(self, path: Path, discovery: StubDiscovery, server: StubServer) -> None:
        self.path, self.discovery, self.server = path, discovery, server
        # Addresses of the publisher and the relays, by name.
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, FeedProcess] = {}

    def _write_configuration(self, name: str, upstreams: list[str], **values: object) -> str:
        values = {"cluster": CLUSTER, "name": name, "region": "north", **values}
        text = "[feed]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        text += 'publishers = {north = "p", south = "q"}\nhome = "north"\n'
        text += "".join(
            f'[[feed.upstreams]]\naddress = "{self.addresses[upstream]}"\nzone = "{upstream}"\n'
            for upstream in upstreams
        )
        file = self.path / f"{name}.toml"
        file.write_text(text)
        return str(file)

    async def start_server(self, name: str, upstreams: list[str]) -> FeedProcess:
        """Start a publisher or relay, or restart it at its former address."""
        role = "publisher" if name == "p" else "relay"
        options = {"directory": str(self.path / "store")} if role == "publisher" else {}
        file = self._write_configuration(
            name, upstreams, role=role, zone=name, listen=self.addresses.get(name, f"{HOST}:0"), **options
        )
        self.processes[name] = process = await FeedProcess.start("-m", "crowpost.feed", file)
        self.addresses[name] = (await process.wait_for_event("start"))["listens"]
        return process

    async def start_node(self, name: str, zone: str = "r0") -> tuple[FeedProcess, tuple[str, int]]:
        """Start or restart a node.  Return its process and its address for clients."""
        config = self.path / f"{name}.json"
        base_config = {"seed": "1", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}}
        endpoint_list = listing(1, row("a", self.server.address))
        config.write_text(
            json.dumps({**base_config, "known": endpoint_list, "settings": settings(registryMode="pushed")})
        )
        relays = [server_name for server_name in self.addresses if server_name != "p"]
        folder = str(self.path / f"{name}-feed")
        environment = {
            "NODE_NAME": name,
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": self.discovery.address,
            "NODE_CONFIG": str(config),
            "NODE_FEED": self._write_configuration(name, relays, zone=zone, service="cart", directory=folder),
        }
        self.processes[name] = process = await FeedProcess.start("-m", "crowpost", **environment)
        match = await process.wait_for_line(r"listens on ([\d.]+):(\d+)")
        return process, (match[1], int(match[2]))

    async def publish(self, body: object, scope: str = "all", **options: Any) -> Message:
        request = PublishRequest(1, scope, json.dumps(body).encode(), "ann", "why not", **options)
        return await request_reply(self.addresses["p"], request, CLUSTER, WAIT_TIMEOUT_S)

    async def status(self, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Wait until the merged status meets a condition, because reports arrive with a delay."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_TIMEOUT_S
        while loop.time() < deadline:
            status = summarize(await collect_statuses(list(self.addresses.values()), CLUSTER, WAIT_TIMEOUT_S))
            if condition(status):
                return status
            await asyncio.sleep(0.02)
        raise AssertionError(f"the status never met the condition: {json.dumps(status, indent=1)}")


@contextlib.asynccontextmanager
async def running_fleet(
    path: Path, node_count: int
) -> AsyncIterator[tuple[Fleet, list[tuple[FeedProcess, tuple[str, int]]]]]:
    """Run publisher p, relays r0 and r1, and nodes that are connected to both relays."""
    async with StubServer([reply("200 OK", b"old")]) as server, StubDiscovery() as discovery:
        running = Fleet(path, discovery, server)
        try:
            await running.start_server("p", [])
            await asyncio.gather(running.start_server("r0", ["p"]), running.start_server("r1", ["p"]))
            nodes = await asyncio.gather(*(running.start_node(f"n{index}") for index in range(node_count)))
            for process, _ in nodes:
                for relay in ("r0", "r1"):
                    await process.wait_for_event("linked", server=relay)
            yield running, nodes
        finally:
            for process in running.processes.values():
                await process.kill()


def connect_timeout_patch(ms: float) -> dict[str, Any]:
    return {"settings": {"policyLimits": {"connectTimeoutMs": ms}}}


def published_version(answer: Message) -> int:
    assert isinstance(answer, PublishAccepted), answer
    return answer.header.version


async def wait_until_applied(
    processes: list[FeedProcess], version: int, scope: str = "all"
) -> list[dict[str, Any]]:
    return [await process.wait_for_event("in force", scope=scope, version=version) for process in processes]
