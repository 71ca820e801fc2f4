"""A soak of one node process: hundreds of clients that come and go, most of them slow or unsound.

The suite plays SOAK_S seconds; the environment variable CROWPOST_SOAK_S sets another time for a run by hand.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from crowpost.node.http.message import MAX_BODY
from tests.node.processes import kill, logged_address, node_configuration, node_environment, start_node
from tests.node.stubs import (
    WAIT_TIMEOUT_S,
    Client,
    Received,
    StubDiscovery,
    StubServer,
    request,
)
from tests.node.test_memory import CLIENTS, MAX_MEMORY_BYTES, MEMORY_MB, SOCKETS, own_memory_bytes

SOAK_S = float(os.environ.get("CROWPOST_SOAK_S", "20"))
SEED = 54
SERVERS = 6
ORDINARY_CLIENTS = 5
ORDINARY_PAUSE_S = 0.1
DEADLINE_S = 3.0
# An answer this long after its time is lost.
ANSWER_SLACK_S = 0.5
# A slow client sends or reads this much in each piece, at 64 kB a second.
PIECE_BYTES = 4096
PIECE_S = PIECE_BYTES / 64_000.0
MAX_STAY_S = 3.0
SAMPLE_S = 0.05

Behaviour = Callable[[Client, random.Random], Awaitable[None]]


def body_head(size: int) -> bytes:
    return request("book", drop=("Content-Length",), extra=f"Content-Length: {size}\r\n")


async def leave_in_the_body(client: Client, rng: random.Random) -> None:
    client.writer.write(body_head(MAX_BODY) + bytes(rng.randrange(MAX_BODY)))


async def leave_in_an_upload(client: Client, rng: random.Random) -> None:
    client.writer.write(body_head(32_000_000) + bytes(rng.randrange(MAX_BODY, 6 * MAX_BODY)))


async def send_slowly(client: Client, rng: random.Random) -> None:
    client.writer.write(body_head(1_000_000))
    for _ in range(rng.randrange(1, 30)):
        client.writer.write(bytes(PIECE_BYTES))
        await asyncio.sleep(PIECE_S)


async def send_many_short_fields(client: Client, rng: random.Random) -> None:
    client.writer.write(request("look").removesuffix(b"\r\n") + b"a:\r\n" * rng.randrange(4000))


async def read_slowly(client: Client, rng: random.Random) -> None:
    client.writer.write(request("look", target="/api/long"))
    for _ in range(rng.randrange(1, 30)):
        if not await client.reader.read(PIECE_BYTES):
            return
        await asyncio.sleep(PIECE_S)


async def send_unsound(client: Client, _: random.Random) -> None:
    client.writer.write(b"GET /api HTTP/1.1\r\nno field\r\n\r\n")


async def pipeline_and_leave(client: Client, rng: random.Random) -> None:
    client.writer.write(b"".join(request(rng.choice(("look", "book"))) for _ in range(20)))
    await client.reader.read(1)


BEHAVIOURS: list[Behaviour] = [
    leave_in_the_body,
    leave_in_an_upload,
    send_slowly,
    send_many_short_fields,
    read_slowly,
    send_unsound,
    pipeline_and_leave,
]


async def serve(_: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
    """Answer some requests with 4 MB in chunks, the others shortly."""
    if not got.target.endswith("long"):
        await asyncio.sleep(0.03)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved")
        return
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _piece in range(64):
        writer.write(b"%x\r\n%s\r\n" % (MAX_BODY, bytes(MAX_BODY)))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def misbehave(address: tuple[str, int], rng: random.Random, until: float) -> None:
    """Connect, behave badly and go, again and again."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            client = await Client.connect(address)
            try:
                async with asyncio.timeout(MAX_STAY_S):
                    await rng.choice(BEHAVIOURS)(client, rng)
                    await asyncio.sleep(rng.random())
            finally:
                client.close()
        await asyncio.sleep(0.05)


async def ask_in_turn(address: tuple[str, int], until: float, statuses: Counter[int]) -> None:
    """Send one request after the other, each of which must get its answer in time."""
    client = await Client.connect(address)
    while time.monotonic() < until:
        client.writer.write(request("look", deadline=f"{DEADLINE_S}"))
        answer = await asyncio.wait_for(client.answer(), DEADLINE_S + ANSWER_SLACK_S)
        statuses[answer.status] += 1
        if answer.headers.get("connection") == "close":
            client.close()
            client = await Client.connect(address)
        await asyncio.sleep(ORDINARY_PAUSE_S)
    client.close()


async def peak_memory_bytes(process: asyncio.subprocess.Process, until: float) -> int:
    peak = 0
    while time.monotonic() < until:
        peak = max(peak, own_memory_bytes(process))
        await asyncio.sleep(SAMPLE_S)
    return peak


def test_clients_that_come_and_go_leave_no_memory_behind_and_no_request_unanswered(tmp_path: Path) -> None:
    """Guards against what closed connections keep, and against requests that wait behind bad clients."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            servers = [await stack.enter_async_context(StubServer([serve])) for _ in range(SERVERS)]
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(*servers, memory_mb=MEMORY_MB, sockets=SOCKETS)))
            process = await start_node(node_environment(discovery, config))
            stack.callback(kill, process)
            address = await logged_address(process, "listens")
            assert process.stderr is not None
            log = asyncio.create_task(process.stderr.read())
            until = time.monotonic() + SOAK_S
            statuses: Counter[int] = Counter()
            bad = [
                asyncio.create_task(misbehave(address, random.Random(SEED + index), until))
                for index in range(CLIENTS - ORDINARY_CLIENTS)
            ]
            ordinary = [ask_in_turn(address, until, statuses) for _ in range(ORDINARY_CLIENTS)]
            watching = asyncio.create_task(peak_memory_bytes(process, until))
            await asyncio.gather(*ordinary)
            peak = await watching
            await asyncio.wait_for(asyncio.gather(*bad), MAX_STAY_S + WAIT_TIMEOUT_S)
            print(f"peak {peak / 1e6:.1f} MB of {MEMORY_MB}, answers {dict(statuses)}")
            assert process.returncode is None, "the node has ended"
            assert peak < MAX_MEMORY_BYTES
            assert set(statuses) <= {200, 503}
            kill(process)
            await process.wait()
            assert b"Traceback" not in await log

    asyncio.run(asyncio.wait_for(main(), SOAK_S + 3 * WAIT_TIMEOUT_S))
