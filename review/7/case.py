"""Case 7: a node goes over its memory limit while it refuses bodies for which it has no memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import re
import signal
import time
from collections import Counter
from pathlib import Path

from stand_ins_2 import TROUBLE, Client, Discovery, Node, Program, Record, Server, main

LASTS_S = 60.0
MEMORY_MB = 32
SOCKETS = 1024
# Clients at once: a third of the descriptors, or so few that all bodies fit into the node's memory.
CLIENTS = SOCKETS // 3 if TROUBLE else 10
SERVERS = 9
BODY_BYTES = 80_000
PIECE_BYTES = 4_000
BYTES_PER_S = 64_000.0
DEADLINE_S = 6.0
RETRY_AFTER_S = 0.5
LOOK_EACH_S = 0.1
# The platform counts what the process holds itself, in the larger of the two units of that name.
LIMIT_BYTES = MEMORY_MB * 2**20


class Traffic:
    """Clients that send long bodies at 64 kB a second, one after the other, each on its own connection."""

    def __init__(self, node: Node, record: Record, rng: random.Random) -> None:
        self.results: Counter[str] = Counter()
        self._node = node
        self._record = record
        self._rng = rng
        self._numbers = itertools.count(1)

    async def client(self, until: float) -> None:
        """Send requests until this time; after a refusal wait as the node advises."""
        connection = Client(self._node.port)
        await asyncio.sleep(self._rng.random())
        while time.monotonic() < until and self._node.program.running():
            request_id = f"{next(self._numbers):016x}"
            result = await self._request(connection, request_id)
            self.results[result] += 1
            self._record.add(f"send {request_id}: {result}")
            if result != "200":
                await asyncio.sleep(RETRY_AFTER_S)
        connection.close()

    async def _request(self, connection: Client, request_id: str) -> str:
        """Send one request; return the status of its answer, or how it ended without one."""
        head = (
            f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\nX-Class: send\r\n"
            f"X-Deadline: {DEADLINE_S:.3f}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        reading: asyncio.Task[object] | None = None
        try:
            writer = await connection.open()
            reading = asyncio.create_task(connection.read())
            writer.write(head.encode())
            left = BODY_BYTES
            while left and not reading.done():
                size = min(PIECE_BYTES, left)
                writer.write(b"t" * size)
                await writer.drain()
                left -= size
                await asyncio.sleep(size / BYTES_PER_S)
            answer = await asyncio.wait_for(asyncio.shield(reading), DEADLINE_S + 1.0)
            if left:
                connection.close()
            return str(getattr(answer, "status", 0))
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            connection.close()
            return type(error).__name__
        finally:
            if reading is not None:
                reading.cancel()
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                    await reading


class Platform:
    """Looks at the node's memory, and kills it over its limit."""

    def __init__(self, node: Node, record: Record) -> None:
        self.peak_bytes = 0
        self.killed = False
        self._node = node
        self._record = record

    async def watch(self, until: float) -> None:
        """Watch the node until this time."""
        while time.monotonic() < until and not self.killed:
            now_bytes = self._bytes()
            if now_bytes >= self.peak_bytes + 2**20:
                self.peak_bytes = now_bytes
                self._record.add(f"the node's memory: {now_bytes / 2**20:.1f} MiB")
            if now_bytes > LIMIT_BYTES:
                self.killed = True
                self._record.say(f"the node holds {now_bytes / 2**20:.1f} MiB of {MEMORY_MB}: killed")
                self._node.program.send(signal.SIGKILL)
            await asyncio.sleep(LOOK_EACH_S)

    def _bytes(self) -> int:
        """Return the anonymous memory of the node, which leaves out its programs and libraries."""
        status = Path(f"/proc/{self._node.program.pid}/status").read_text(encoding="utf-8")
        found = re.search(r"RssAnon:\s+(\d+) kB", status)
        return 1024 * int(found[1]) if found is not None else 0


async def case(folder: Path, record: Record, programs: list[Program]) -> bool:
    """Return whether the platform had to kill the node for its memory."""
    rng = random.Random(7)
    servers = [Server(f"s{i}", 0.05, record=record) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery()
    await discovery.start([server.row() for server in servers])
    node = Node("n0", folder, record, discovery.address)
    node.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    programs.append(node.program)
    await node.start_and_wait(discovery.whole())
    traffic = Traffic(node, record, rng)
    platform = Platform(node, record)
    until = time.monotonic() + LASTS_S
    await asyncio.gather(platform.watch(until), *(traffic.client(until) for _ in range(CLIENTS)))
    record.say(f"requests by result: {dict(traffic.results)}")
    record.say(f"peak of the node's memory: {platform.peak_bytes / 2**20:.1f} MiB, limit {MEMORY_MB}")
    return platform.killed


if __name__ == "__main__":
    main(__file__, case)
