"""Case 7: clients that leave in the middle of a request take a node over its memory limit."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
import signal
import time
from collections import Counter
from pathlib import Path

from stand_ins_2 import HOST, TROUBLE, Client, Discovery, Node, Program, Record, Server, main

LASTS_S = 90.0
MEMORY_MB = 64
SOCKETS = 1024
SERVERS = 6
CLIENTS = 8
REQUEST_EACH_S = 0.1  # of each client
DEADLINE_S = 6.0
# Bad clients: each sends the head and a part of the body at once, and goes two seconds later.
BAD_EACH_S = 1.0 / 50.0
BODY_BYTES = 64 * 1024
PART_BYTES = 60_000
STAYS_S = 2.0
LOOK_EACH_S = 0.1
# The platform counts what the process holds itself, in the larger of the two units of that name.
LIMIT_BYTES = MEMORY_MB * 2**20


class Traffic:
    """Clients that send one request after the other, and bad clients that leave."""

    def __init__(self, node: Node, record: Record, until: float) -> None:
        self.results: Counter[int] = Counter()
        self.left = 0
        self._node = node
        self._record = record
        self._until = until
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    def _goes_on(self) -> bool:
        return time.monotonic() < self._until and self._node.program.running()

    async def client(self) -> None:
        """Send `status` requests, as the deployment's clients do."""
        connection = Client(self._node.port, self._record)
        while self._goes_on():
            headers = {
                "X-Request-Id": f"{next(self._numbers):016x}",
                "X-Class": "status",
                "X-Deadline": f"{DEADLINE_S:.3f}",
            }
            answer = await connection.send("GET", "/api", headers, b"", DEADLINE_S + 1.0)
            self.results[answer.status if answer is not None else 0] += 1
            await asyncio.sleep(REQUEST_EACH_S)
        connection.close()

    async def bad_clients(self) -> None:
        """Start one bad client after the other."""
        while TROUBLE and self._goes_on():
            task = asyncio.create_task(self._leave())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(BAD_EACH_S)

    async def _leave(self) -> None:
        """Send a part of a request and close the connection."""
        request_id = f"{next(self._numbers):016x}"
        head = (
            f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\nX-Class: send\r\n"
            f"X-Deadline: {DEADLINE_S:.3f}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        )
        try:
            _, writer = await asyncio.open_connection(HOST, self._node.port)
            writer.write(head.encode() + b"t" * PART_BYTES)
            await writer.drain()
            await asyncio.sleep(STAYS_S)
        except OSError as error:
            self._record.add(f"bad client {request_id}: {error!r}")
            return
        writer.close()
        self.left += 1
        self._record.add(f"bad client {request_id} sent {PART_BYTES} of {BODY_BYTES} bytes and left")


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
    servers = [Server(f"s{i}", rng.uniform(0.02, 0.06), record=record) for i in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery()
    await discovery.start([server.row() for server in servers])
    node = Node("n0", folder, record, discovery.address)
    node.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    programs.append(node.program)
    await node.start_and_wait(discovery.whole())
    platform = Platform(node, record)
    until = time.monotonic() + LASTS_S
    traffic = Traffic(node, record, until)
    clients = (traffic.client() for _ in range(CLIENTS))
    await asyncio.gather(platform.watch(until), traffic.bad_clients(), *clients)
    record.say(f"answers by status: {dict(traffic.results)}; bad clients that left: {traffic.left}")
    record.say(f"peak of the node's memory: {platform.peak_bytes / 2**20:.1f} MiB, limit {MEMORY_MB}")
    return platform.killed


if __name__ == "__main__":
    main(__file__, case)
