"""Tests that closed connections and finished requests are freed at once, without a garbage collection."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator

import httptools
import pytest

from crowpost.node.admin import _AdminConnection
from crowpost.node.attempt import Attempt
from crowpost.node.discovery.watch import Watch
from crowpost.node.downstream import timeouts
from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.request import ClientRequest
from crowpost.node.http.body import Upload
from crowpost.node.http.message import MAX_BODY, Message
from crowpost.node.http.parser import MessageParser
from crowpost.node.reading import ConnectionReader
from crowpost.node.request_table import PendingRequest
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import UpstreamConnection
from crowpost.node.upstream.race import ConnectionRace
from tests.node.stubs import (
    WAIT_TIMEOUT_S,
    Behaviour,
    Client,
    RunningNode,
    StubServer,
    listing,
    raw,
    reply,
    request,
    reset,
    row,
    run,
    running_node,
    send_line,
    unresponsive,
)

OBSERVED = (
    _AdminConnection,
    Attempt,
    Call,
    ClientConnection,
    ClientRequest,
    ConnectionRace,
    ConnectionReader,
    Exchange,
    Message,
    MessageParser,
    PendingRequest,
    Upload,
    UpstreamConnection,
    Watch,
    httptools.HttpRequestParser,
    httptools.HttpResponseParser,
)


def alive() -> Counter[str]:
    """Return how many objects of each observed type exist, in use or in an unreachable cycle."""
    return Counter(type(item).__name__ for item in gc.get_objects() if isinstance(item, OBSERVED))


@contextlib.contextmanager
def no_garbage_collection() -> Iterator[None]:
    """Disable the cyclic collector, so that objects in reference cycles stay."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


async def until_freed(running: RunningNode, before: Counter[str]) -> Counter[str]:
    """Return the objects that are left beyond `before` once no connection or call is open."""
    node = running.node
    for connection in list(node._pool._connections):
        connection.abort()
        del connection
    for _ in range(200):
        left = alive() - before
        if not left:
            break
        await asyncio.sleep(0.01)
    return left


LOOK = request("look")
BODY = request("book", body=bytes(60_000))
UPLOAD = request("book", body=bytes(4 * MAX_BODY))
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG_ANSWER = CHUNKED + b"%x\r\n%s\r\n" % (3 * MAX_BODY, bytes(3 * MAX_BODY))
PIPELINED = b"".join(request("look", target=f"/api/{index}") for index in range(8))
OK = reply("200 OK", b"served")

Then = Callable[[RunningNode, Client], Awaitable[None]]


async def leave(_: RunningNode, client: Client) -> None:
    client.close()


async def half_close(_: RunningNode, client: Client) -> None:
    client.writer.write_eof()
    await client.reader.read()


async def read_until_closed(_: RunningNode, client: Client) -> None:
    with contextlib.suppress(ConnectionError):
        await client.reader.read()


async def read_answer(_: RunningNode, client: Client) -> None:
    await client.answer()
    client.close()


async def time_out(running: RunningNode, client: Client) -> None:
    for connection in list(running.node._listener._connections):
        connection.time_out()
    await read_until_closed(running, client)


async def evacuate(running: RunningNode, client: Client) -> None:
    assert (await running.manage("POST", "/api/evacuate")).status == 200
    for connection in list(running.node._pool._connections):
        connection.fail()
    await read_until_closed(running, client)


# What the server does, what the client sends, and how the connection ends then.
ENDINGS: dict[str, tuple[Behaviour, bytes, Then]] = {
    "client sends nothing": (OK, b"", leave),
    "client leaves in the head": (OK, LOOK[:40], leave),
    "client leaves in the body": (OK, BODY[:-1], leave),
    "client leaves in an upload": (unresponsive, UPLOAD[:-1], leave),
    "client leaves while it waits": (unresponsive, LOOK, leave),
    "client leaves while a body is with the server": (unresponsive, BODY, leave),
    "client leaves while it reads": (raw(LONG_ANSWER), LOOK, leave),
    "client leaves with pipelined requests": (unresponsive, PIPELINED, leave),
    "client closes its sending side in the body": (OK, BODY[:-1], half_close),
    "request is answered": (OK, LOOK, read_answer),
    "body is answered": (OK, BODY, read_answer),
    "upload is answered": (OK, UPLOAD, read_answer),
    "long answer is read": (raw(LONG_ANSWER + b"0\r\n\r\n"), LOOK, read_answer),
    "head is malformed": (OK, b"GET /api HTTP/1.1\r\nbad header\r\n\r\n", read_until_closed),
    "head is too long": (OK, b"GET /api HTTP/1.1\r\nX: " + b"x" * 20_000, read_until_closed),
    "request is not served": (OK, LOOK.replace(b"/api", b"/other"), read_until_closed),
    "class is unknown": (OK, LOOK.replace(b"look", b"dance"), read_until_closed),
    "upload is malformed": (
        unresponsive,
        request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
        + b"%x\r\n%s\r\nzz\r\n" % (2 * MAX_BODY, bytes(2 * MAX_BODY)),
        read_until_closed,
    ),
    "head times out": (OK, LOOK[:40], time_out),
    "body times out": (OK, BODY[:-1], time_out),
    "upload times out": (unresponsive, UPLOAD[:-1], time_out),
    "drain after a request": (OK, LOOK, evacuate),
    "drain in a request": (unresponsive, LOOK, evacuate),
    "server refuses": (OK, BODY, read_answer),
    "server resets": (reset, BODY, read_answer),
    "server resets an upload": (reset, UPLOAD, read_answer),
    "server turns away": (reply("503 Full", extra="X-Not-Run: 1\r\n"), BODY, read_answer),
    "server breaks a long answer": (raw(LONG_ANSWER, close=True), LOOK, read_until_closed),
    "server sends garbage": (raw(b"garbage\r\n\r\n"), BODY, read_answer),
}


@pytest.mark.parametrize("ending", ENDINGS)
def test_a_closed_connection_and_its_requests_are_freed_without_garbage_collection(
    ending: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that closed connections keep in reference cycles until a full collection."""
    behaviour, text, then = ENDINGS[ending]
    monkeypatch.setattr(timeouts, "LINGER_S", 0.05)

    async def main() -> None:
        async with StubServer([behaviour]) as server, running_node(row("a", server.address)) as running:
            watch = await running.discovery.watch()
            with no_garbage_collection():
                before = alive()
                if ending == "server refuses":
                    server.stop_accepting()
                await play(running)
                server.release.set()
                left = await until_freed(running, before)
                assert not left, f"still in memory: {dict(left)}"
            watch.close()

    async def play(running: RunningNode) -> None:
        client = await running.client()
        client.writer.write(text)
        # What the node has of the text by now may differ: each way to end must free everything.
        await asyncio.sleep(0.05)
        await asyncio.wait_for(then(running, client), WAIT_TIMEOUT_S)
        client.close()
        while running.node._listener._connections:
            running.node._listener.close_idle(0.0)
            await asyncio.sleep(0.001)

    run(main())


def test_a_replaced_watch_is_freed_without_garbage_collection() -> None:
    """Guards against lists of endpoints that stay in memory after their watch has ended."""

    async def main() -> None:
        async with running_node(registryMode="pushed") as running:
            with no_garbage_collection():
                before = alive()
                for generation in range(2, 5):
                    watch = await running.discovery.watch()
                    send_line(watch, listing(generation))
                    await watch.drain()
                    watch.transport.abort()
                del watch
                await running.discovery.watch()
                await until_freed(running, before)
                assert alive()["Watch"] <= 1 and alive()["HttpResponseParser"] <= 1

    run(main())
