"""Tests that peers with much input, or with input in tiny pieces, do not hold up other requests."""

from __future__ import annotations

import asyncio
from collections import Counter, deque

import pytest

from crowpost.node.byte_budget import MIN_BUFFER_BYTES
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.listener import Listener
from crowpost.node.http.message import MAX_BODY, Message
from crowpost.node.http.parser import MessageParser
from crowpost.node.reading import (
    MAX_PARTS_OF_LARGE_READ,
    MAX_PARTS_PER_ITERATION,
    PARTS_PER_MESSAGE,
    READ_BYTES,
    ConnectionReader,
    ReadScheduler,
)
from tests.node.stubs import (
    WAIT_TIMEOUT_S,
    Received,
    RunningNode,
    StubServer,
    read_head,
    request,
    row,
    run,
    running_node,
)

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
STREAMS = 4
BODY_BYTES = 2_000_000
# The most work in one iteration of the event loop, by the limits of the scheduler: its own limit, and
# one read of each stream that was not yet known to cause work.  A chunk of one byte has six bytes.
MAX_PARTS = MAX_PARTS_PER_ITERATION + STREAMS * (READ_BYTES // 6)


def chunked(size: int, total: int) -> bytes:
    """Return a body in chunks of this many bytes, without its end."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size) * (total // size)


class IterationWork:
    """Counts the parsed parts of bodies in each iteration of the event loop."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.parts: Counter[int] = Counter()
        self._iteration = 0
        on_body = MessageParser.on_body

        def count(parser: MessageParser, part: bytes) -> None:
            self.parts[self._iteration] += 1
            on_body(parser, part)

        monkeypatch.setattr(MessageParser, "on_body", count)

    async def watch(self) -> None:
        """Count iterations until cancelled."""
        while True:
            await asyncio.sleep(0)
            self._iteration += 1


async def serve(server: StubServer, got: Received, writer: asyncio.StreamWriter, size: int) -> None:
    """Answer a target that ends in `long` in small chunks, any other request at once."""
    if not got.target.endswith("long"):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return
    writer.write(CHUNKED_HEAD)
    piece = chunked(size, READ_BYTES // 2)
    for _ in range(BODY_BYTES // (READ_BYTES // 2)):
        writer.write(piece)
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def download(running: RunningNode) -> None:
    """Ask for a long answer, and read it as fast as it arrives."""
    client = await running.client()
    client.writer.write(request("look", target="/api/long"))
    await read_head(client.reader)
    end = b""
    while not end.endswith(b"\r\n0\r\n\r\n"):
        part = await client.reader.read(1 << 18)
        assert part, "the answer was broken off"
        end = (end + part)[-7:]


async def upload(running: RunningNode, size: int) -> None:
    """Send a long body in small chunks as fast as the node reads it."""
    client = await running.client()
    # The deadline also runs while the body arrives, since its last byte may wait in the kernel's buffers.
    head = request(
        "book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n", deadline=f"{WAIT_TIMEOUT_S}"
    )
    client.writer.write(head)
    piece = chunked(size, READ_BYTES // 2)
    for _ in range(BODY_BYTES // (READ_BYTES // 2)):
        client.writer.write(piece)
        await client.writer.drain()
    client.writer.write(b"0\r\n\r\n")
    assert (await client.answer()).status == 200


@pytest.mark.parametrize("size", [1, 64])
@pytest.mark.parametrize("direction", ["answers", "uploads"])
def test_long_bodies_in_small_chunks_leave_the_event_loop_to_other_requests(
    direction: str, size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against bodies in small chunks that hold up the node, so that other requests get no answer."""

    async def main() -> None:
        work = IterationWork(monkeypatch)
        server = StubServer([lambda server, got, writer: serve(server, got, writer, size)])
        async with server, running_node(row("a", server.address)) as running:
            watching = asyncio.create_task(work.watch())
            streams = [
                asyncio.create_task(download(running) if direction == "answers" else upload(running, size))
                for _ in range(STREAMS)
            ]
            while not all(task.done() for task in streams):
                answer = await (await running.client()).ask("look")
                assert answer.body == b"done"
            await asyncio.wait_for(asyncio.gather(*streams), WAIT_TIMEOUT_S)
            watching.cancel()
            assert max(work.parts.values()) <= MAX_PARTS

    run(main())


# ---------------------------------------------------------------- the parser


class Recorder:
    """Records the calls that a parser makes for bodies."""

    def __init__(self) -> None:
        self.calls: list[bytes] = []

    def on_head(self, message: Message) -> None:
        pass

    def on_message(self, message: Message) -> None:
        self.calls.append(message.body)

    def on_stream_start(self, message: Message) -> None:
        self.calls.append(message.body)

    def on_stream_data(self, data: bytes) -> None:
        self.calls.append(data)

    def on_stream_end(self, message: Message) -> None:
        self.calls.append(b"end")


def test_the_chunks_of_one_read_are_delivered_as_one_part() -> None:
    """Guards against a write to the other side for each chunk, however small."""
    recorder = Recorder()
    parser = MessageParser(recorder, requests=False)
    parser.feed(CHUNKED_HEAD + chunked(1, MAX_BODY))
    assert recorder.calls == [], "a body that may be buffered was streamed"
    parser.feed(chunked(3, 300))
    parser.feed(chunked(1, 5000))
    parser.feed(b"0\r\n\r\n")
    assert recorder.calls == [b"x" * (MAX_BODY + 300), b"x" * 5000, b"end"]


def test_a_buffered_body_in_tiny_chunks_takes_little_more_memory_than_its_bytes() -> None:
    """Guards against an object for each chunk of a buffered body, of many times its size."""
    parser = MessageParser(Recorder(), requests=False)
    parser.feed(CHUNKED_HEAD)
    for _ in range(64):
        parser.feed(chunked(2, MAX_BODY // 64))
    assert not parser._parts
    assert len(parser._buffered) == MAX_BODY


# ---------------------------------------------------------------- the scheduler


class StubLoop:
    """Runs callbacks when told to."""

    def __init__(self) -> None:
        self.ready: deque[object] = deque()

    def call_soon(self, callback: object) -> None:
        self.ready.append(callback)

    def iterate(self) -> None:
        for _ in range(len(self.ready)):
            callback = self.ready.popleft()
            assert callable(callback)
            callback()


class StubTransport:
    """A transport that records whether it reads."""

    def __init__(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return False

    def is_reading(self) -> bool:
        return self.reading

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True


def scheduled(count: int, parts: int) -> tuple[StubLoop, list[StubTransport], list[ConnectionReader]]:
    """Return readers that have each caused this much work in one read."""
    loop = StubLoop()
    scheduler = ReadScheduler(loop)  # type: ignore[arg-type]
    transports = [StubTransport() for _ in range(count)]
    readers = [ConnectionReader(transport, scheduler) for transport in transports]  # type: ignore[arg-type]
    for reader in readers:
        reader.finish_read(1000, parts, filled=False)
    return loop, transports, readers


@pytest.mark.parametrize("count", [1, 4, 340])
def test_turns_go_round_for_any_number_of_connections(count: int) -> None:
    """Guards against an iteration whose work grows with the number of connections with much input."""
    parts = 1000
    loop, transports, readers = scheduled(count, parts)
    assert not any(transport.reading for transport in transports)
    turns: Counter[int] = Counter()
    for _ in range(3 * count):
        loop.iterate()
        reading = [i for i, transport in enumerate(transports) if transport.reading]
        assert 1 <= len(reading) <= MAX_PARTS_PER_ITERATION // parts
        turns.update(reading)
        for i in reading:
            readers[i].finish_read(1000, parts, filled=False)
    assert max(turns.values()) - min(turns[i] for i in range(count)) <= 1


def test_a_connection_that_causes_little_work_is_read_without_a_turn() -> None:
    loop, (transport,), _ = scheduled(1, 10)
    assert transport.reading and not loop.ready


def test_a_turn_does_not_resume_a_connection_that_flow_control_has_paused() -> None:
    loop, (transport,), (reader,) = scheduled(1, 1000)
    reader.set_paused(True)
    loop.iterate()
    assert not transport.reading
    reader.set_paused(False)
    assert transport.reading


# ---------------------------------------------------------------- pipelined requests

READY = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n"
FLOOD_REQUESTS = 20_000


def test_pipelined_requests_at_full_speed_leave_the_event_loop_to_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hundreds of tiny requests of one client in each iteration, for which all others wait."""
    in_iteration: Counter[int] = Counter()
    iteration = 0
    route = Listener.route

    def count(listener: Listener, message: Message, exchange: Exchange) -> None:
        in_iteration[iteration] += 1
        route(listener, message, exchange)

    monkeypatch.setattr(Listener, "route", count)

    async def watch() -> None:
        nonlocal iteration
        while True:
            await asyncio.sleep(0)
            iteration += 1

    async def main() -> None:
        async with running_node() as running:
            watching = asyncio.create_task(watch())
            client = await running.client()
            client.writer.write(READY * FLOOD_REQUESTS)
            left = FLOOD_REQUESTS
            while left:
                left -= (await client.reader.readuntil(b"\r\n\r\n")).count(b"HTTP/1.1 ")
            watching.cancel()

    run(main())
    most = sorted(in_iteration.values(), reverse=True)
    # The first read is not yet known to cause much work.
    assert most[0] <= MIN_BUFFER_BYTES // len(READY) + 1
    assert most[1] <= MAX_PARTS_OF_LARGE_READ // PARTS_PER_MESSAGE
