"""Long answers to clients that read slowly: does the node stay within its limit of memory?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from stand import (
    BROKEN,
    HELD,
    HOST,
    Agent,
    Endpoint,
    Node,
    Record,
    instance,
    play,
    read_head,
    request,
    trouble,
)

SERVERS = 9
# Limits of a node, within the ranges of the pages; clients use at most a third of the descriptors.
MEMORY_MB = 64
SOCKETS = 1024
CLIENTS = 340
# The platform's limit in bytes: the greater of the two meanings of MB.
LIMIT_BYTES = MEMORY_MB * 1024 * 1024
PAUSE_BETWEEN_CLIENTS_S = 0.025
# Each answer has 16 MB, in chunks; a slow client reads 800 kB, and pauses for a second: 20 s for an answer.
CHUNK = b"%x\r\n%s\r\n" % (65_536, bytes(65_536))
CHUNKS = 256
LAST_CHUNK = b"\r\n0\r\n\r\n"
ANSWER_BYTES = CHUNKS * 65_536
SLOW_READ_BYTES = 800_000
SLOW_PAUSE_S = 1.0
DEADLINE_S = 6.0
WATCH_S = 40.0


@dataclass
class Counts:
    """What has happened so far."""

    begun: int = 0
    whole: int = 0
    refused: int = 0
    broken_off: int = 0
    run: int = 0


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counts: Counts) -> None:
    """Serve one connection of a node: give a long answer to each request, as fast as the node reads it."""
    while True:
        message = await read_head(reader)
        if "x-request-id" not in message.headers:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            continue
        counts.run += 1
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(CHUNKS):
            writer.write(CHUNK)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def read_answer(node: Node, number: int, counts: Counts, record: Record) -> None:
    """Send one request and read its answer, slowly if the disruption is played."""
    name = f"look{number:03d}"
    outcome = "broken off"
    got = 0
    try:
        reader, writer = await asyncio.open_connection(HOST, node.port, limit=32_768)
        writer.write(request(name, "status", "GET", DEADLINE_S))
        head = await read_head(reader)
        if head.status != 200:
            outcome = f"answered {head.status}"
            counts.refused += 1
            return
        counts.begun += 1
        end = b""
        pause_at = SLOW_READ_BYTES
        while end != LAST_CHUNK and (part := await reader.read(65_536)):
            got += len(part)
            end = (end + part)[-len(LAST_CHUNK) :]
            if trouble() and got >= pause_at:
                pause_at += SLOW_READ_BYTES
                await asyncio.sleep(SLOW_PAUSE_S)
        if end == LAST_CHUNK:
            outcome = "whole"
            counts.whole += 1
    except (OSError, asyncio.IncompleteReadError) as error:
        outcome = f"broken off: {error!r}"
    finally:
        counts.broken_off += outcome.startswith("broken")
        record.note(f"client {name}: {outcome}, {got} bytes with framing of {ANSWER_BYTES} without")
        with contextlib.suppress(UnboundLocalError):
            writer.transport.abort()


async def watch_memory(node: Node, counts: Counts, record: Record, until: float) -> bool:
    """Act as the platform: kill the node once it is over its limit; return whether that was necessary."""
    told = 0.0
    while time.monotonic() < until and not node.ended:
        memory = 1e6 * node.own_memory_mb()
        if memory > LIMIT_BYTES:
            record.write(
                f"node: {memory / 1e6:.1f} MB of its own, {LIMIT_BYTES / 1e6:.1f} MB allowed; {counts}"
            )
            node.signal(signal.SIGKILL)
            record.write("the platform has killed the node")
            return True
        if time.monotonic() > told + 1.0:
            told = time.monotonic()
            record.write(f"node: {memory / 1e6:.1f} MB of its own; {counts}")
        if counts.whole + counts.refused + counts.broken_off == CLIENTS:
            return False
        await asyncio.sleep(0.05)
    return False


async def case(record: Record) -> int:
    """Play the case and return its exit code."""
    counts = Counts()
    servers = [Endpoint(lambda reader, writer: serve(reader, writer, counts)) for _ in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([instance(f"s-{i}", server.port) for i, server in enumerate(servers)])
    await agent.start()
    node = Node(agent, record, memory_mb=MEMORY_MB, sockets=SOCKETS)
    clients: list[asyncio.Task[None]] = []
    try:
        await node.start()
        watching = asyncio.create_task(watch_memory(node, counts, record, time.monotonic() + WATCH_S))
        for number in range(CLIENTS):
            clients.append(asyncio.create_task(read_answer(node, number, counts, record)))
            await asyncio.sleep(PAUSE_BETWEEN_CLIENTS_S)
        killed = await watching
        await asyncio.sleep(1.0)
        record.write(f"in the end: {counts}")
        return BROKEN if killed or node.ended else HELD
    finally:
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await node.stop()
        for endpoint in [agent, *servers]:
            await endpoint.stop()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
