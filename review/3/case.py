"""Long answers while other clients send long bodies slowly: is each answer passed on as it is given?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

from stand import (
    BROKEN,
    HELD,
    HOST,
    Agent,
    CaseError,
    Endpoint,
    Node,
    Record,
    instance,
    play,
    read_head,
    read_parts,
    request,
    trouble,
)

SERVERS = 9
# Limits of a node, within the ranges of the pages; clients use at most a third of the descriptors.
MEMORY_MB = 80
SOCKETS = 384
# Slow clients: each sends a body of 32 MB at 64 kB a second, in pieces.
SLOW_CLIENTS = 80
LONG_BODY = 32_000_000
PIECE = 16_000
PIECE_PAUSE_S = 0.25
# The answers that are looked at.
ANSWERS = 4
ANSWER = bytes(range(250)) * 4000
DEADLINE_S = 6.0
# "holding the rest back for 2 s, loses the request"; every time limit is 50 ms longer on sockets.
HOLD_LIMIT_S = 2.0 + 0.05


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record) -> None:
    """Serve one connection of a node: read each request whole, then give a long answer to a GET at once."""
    while True:
        message = await read_head(reader)
        if "x-request-id" not in message.headers:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            continue

        async def skip(_: bytes) -> None:
            pass

        await read_parts(reader, message, skip)
        body = ANSWER if message.first.startswith("GET") else b"done"
        record.note(f"server: {message.headers['x-request-id']} whole, gives an answer of {len(body)} bytes")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()


async def send_slowly(node: Node, number: int, record: Record) -> None:
    """Send a long body at 64 kB a second; a client that is refused tries again half a second later."""
    for attempt in range(1000):
        name = f"upload{number:02d}.{attempt}"
        reader, writer = await asyncio.open_connection(HOST, node.port)
        try:
            writer.write(request(name, "send", "POST", DEADLINE_S, extra=f"Content-Length: {LONG_BODY}\r\n"))
            record.note(f"client {name}: begins a body of {LONG_BODY} bytes")
            sending = asyncio.create_task(send_pieces(writer))
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                record.note(f"client {name}: {(await read_head(reader)).first}")
        finally:
            sending.cancel()
            writer.transport.abort()
        await asyncio.sleep(0.5)


async def send_pieces(writer: asyncio.StreamWriter) -> None:
    """Send the pieces of a long body, with pauses."""
    with contextlib.suppress(OSError):
        for _ in range(LONG_BODY // PIECE):
            writer.write(bytes(PIECE))
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)


async def get_long_answer(node: Node, number: int, record: Record) -> bool:
    """Ask for a long answer and read all the time; return whether the node held the rest of it back."""
    reader, writer = await asyncio.open_connection(HOST, node.port)
    name = f"look{number}"
    began = last = time.monotonic()
    writer.write(request(name, "status", "GET", DEADLINE_S))
    got = b""
    longest = 0.0
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(DEADLINE_S + 0.5):
            head = await read_head(reader)
            record.write(f"client {name}: {head.first} after {time.monotonic() - began:.3f} s")
            if head.status != 200:
                return False
            last = time.monotonic()
            while len(got) < len(ANSWER):
                part = await reader.read(65_536)
                longest = max(longest, time.monotonic() - last)
                last = time.monotonic()
                if not part:
                    break
                got += part
    longest = max(longest, time.monotonic() - last if len(got) < len(ANSWER) else 0.0)
    writer.transport.abort()
    elapsed = time.monotonic() - began
    whole = "the whole answer" if got == ANSWER else "not the whole answer"
    record.write(
        f"client {name}: {len(got)} of {len(ANSWER)} bytes, {whole}, after {elapsed:.3f} s;"
        f" longest time without a byte {longest:.3f} s"
    )
    return longest > HOLD_LIMIT_S


async def case(record: Record) -> int:
    """Play the case and return its exit code."""
    servers = [Endpoint(lambda reader, writer: serve(reader, writer, record)) for _ in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([instance(f"s-{i}", server.port) for i, server in enumerate(servers)])
    await agent.start()
    node = Node(agent, record, memory_mb=MEMORY_MB, sockets=SOCKETS)
    uploads: list[asyncio.Task[None]] = []
    try:
        await node.start()
        for number in range(SLOW_CLIENTS if trouble() else 0):
            uploads.append(asyncio.create_task(send_slowly(node, number, record)))
            await asyncio.sleep(0.05)
        record.write(f"{len(uploads)} clients send bodies of {LONG_BODY} bytes")
        held = []
        for number in range(ANSWERS):
            await asyncio.sleep(0.5)
            held.append(await get_long_answer(node, number, record))
        record.write(f"{sum(held)} of {ANSWERS} answers were held back for more than {HOLD_LIMIT_S} s")
        if node.ended:
            raise CaseError(f"the node ended: {node.log_tail()}")
        return BROKEN if any(held) else HELD
    finally:
        for task in uploads:
            task.cancel()
        await asyncio.gather(*uploads, return_exceptions=True)
        await node.stop()
        for endpoint in [agent, *servers]:
            await endpoint.stop()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
