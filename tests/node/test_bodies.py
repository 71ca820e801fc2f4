"""Tests of long bodies, slow peers and HTTP/1.1 message framing through a node."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest

from crowpost.node import byte_budget
from crowpost.node.downstream import listener, timeouts
from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.timeouts import FIRST_BODY_PAUSE_S, FIRST_BYTE_TIMEOUT_S, FIRST_HEAD_TIMEOUT_S
from crowpost.node.http.body import Upload
from crowpost.node.http.message import MAX_BODY, Message, MessageError
from crowpost.node.http.parser import MessageParser
from crowpost.node.upstream import connection as upstream_connection
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Answer,
    Behaviour,
    Client,
    Received,
    RunningNode,
    StubServer,
    held,
    reply,
    request,
    row,
    run,
    running_node,
    unresponsive,
)

# About a megabyte; its period of 251 bytes does not divide any buffer size.
LONG = bytes(range(251)) * 4000
OK = b"HTTP/1.1 200 OK\r\n"
# A node that holds back the rest of a long answer for longer loses the request.
MAX_HOLD_S = 2.0
# An answer this long after its time only earns nothing; a later one is lost.
ANSWER_SLACK_S = 0.5
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def chunks(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    text = b"".join(b"%x%s\r\n%s\r\n" % (len(part), extension, part) for part in parts)
    return text + b"0%s\r\n%s\r\n" % (extension, trailer)


# ------------------------------------------------------------ framing


class Recorder:
    """Collects the messages that a parser delivers."""

    def __init__(self) -> None:
        self.messages: list[tuple[bytes, bytes]] = []
        self._pieces: list[bytes] = []

    def on_head(self, message: Message) -> None:
        pass

    def on_message(self, message: Message) -> None:
        self.messages.append((message.target, message.body))

    def on_stream_start(self, message: Message) -> None:
        self._pieces = [message.body]

    def on_stream_data(self, data: bytes) -> None:
        self._pieces.append(data)

    def on_stream_end(self, message: Message) -> None:
        self.messages.append((message.target, b"".join(self._pieces)))


def _parse(*pieces: bytes, requests: bool = True) -> list[tuple[bytes, bytes]]:
    recorder = Recorder()
    parser = MessageParser(recorder, requests=requests)
    for piece in pieces:
        parser.feed(piece)
    parser.feed_eof()
    return recorder.messages


REQUESTS = (
    b"POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked \r\n\r\n"
    + chunks(b"first body", 3, b';name="a;b"', b"X-Class: other\r\n")
    + b"GET /two HTTP/1.1\r\nHost: a\r\n\r\n"
    + b"\r\nPOST /three HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nlast"
)
RESPONSES = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + OK
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunks(b"first body", 4, b";x", b"Trailer: y\r\n")
    + OK
    + b"\r\nuntil the end"
)


@pytest.mark.parametrize("at", range(1, len(REQUESTS)))
def test_requests_parse_the_same_at_any_split(at: int) -> None:
    expected = [(b"/one", b"first body"), (b"/two", b""), (b"/three", b"last")]
    assert _parse(REQUESTS[:at], REQUESTS[at:]) == expected


@pytest.mark.parametrize("at", range(1, len(RESPONSES)))
def test_responses_parse_the_same_at_any_split(at: int) -> None:
    expected = [(b"", b"first body"), (b"", b"until the end")]
    assert _parse(RESPONSES[:at], RESPONSES[at:], requests=False) == expected


def test_requests_parse_byte_by_byte() -> None:
    assert _parse(*[REQUESTS[i : i + 1] for i in range(len(REQUESTS))])[2] == (b"/three", b"last")


@pytest.mark.parametrize("size", [1, MAX_BODY - 1, MAX_BODY, MAX_BODY + 1, len(LONG)])
@pytest.mark.parametrize("step", [1000, 300_000])
def test_a_body_of_any_size_is_delivered_unchanged(size: int, step: int) -> None:
    text = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s" % (size, LONG[:size])
    pieces = [text[i : i + step] for i in range(0, len(text), step)]
    assert _parse(*pieces) == [(b"/", LONG[:size])]


def test_a_trailer_changes_no_header() -> None:
    messages: list[Message] = []

    class MessageRecorder(Recorder):
        def on_message(self, message: Message) -> None:
            messages.append(message)

    MessageParser(MessageRecorder(), requests=True).feed(REQUESTS)
    assert b"x-class" not in messages[0].headers and not messages[0].repeated_headers


HEAD = "POST /api HTTP/1.1\r\nHost: a\r\n"
SMUGGLING = [
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
    "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "Content-Length: 3, 3\r\n\r\nabc",
    "Content-Length: +3\r\n\r\nabc",
    "Content-Length: 0x3\r\n\r\nabc",
    "Content-Length: -3\r\n\r\nabc",
    "Content-Length:\r\n\r\n",
    "Content-Length : 3\r\n\r\nabc",
    "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: identity\r\n\r\n",
    "Transfer-Encoding: xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    "Host: b\r\n\r\n",
    "X: a\rb\r\n\r\n",
    "X: a\nb: c\r\n\r\n",
    "X: a\x00b\r\n\r\n",
    "X: a\x01b\r\n\r\n",
    "X: a\x7fb\r\n\r\n",
    "X: a\r\n folded\r\n\r\n",
    "X Y: a\r\n\r\n",
    ": a\r\n\r\n",
]


@pytest.mark.parametrize("rest", SMUGGLING)
def test_ambiguous_framing_is_rejected(rest: str) -> None:
    """Guards against request smuggling: the node responds 400 and closes, and forwards none of the input."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            good = request("book").decode().replace("Content-Length: 0\r\n", "").removesuffix("\r\n")
            client.writer.write((good + rest).encode("latin-1") + request("look"))
            assert (await client.answer()).status == 400
            assert await client.ended()
            assert not server.received
            with pytest.raises(MessageError):
                _parse((HEAD + rest).encode("latin-1"))

    run(main())


@pytest.mark.parametrize(
    "head", [b"GET / HTTP/2.0\r\n\r\n", b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"]
)
def test_unsupported_versions_and_transfer_codings_are_rejected(head: bytes) -> None:
    with pytest.raises(MessageError):
        _parse(head)


# ------------------------------------------------------------ responses


def streamed(text: bytes, *, step: int = 50_000, close: bool = False) -> Behaviour:
    """Return a behaviour that writes this in pieces, as fast as the node reads."""

    async def behave(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        for i in range(0, len(text), step):
            writer.write(text[i : i + step])
            await writer.drain()
        if close:
            writer.close()

    return behave


async def begin_long_response(server: StubServer, _: Received, writer: asyncio.StreamWriter) -> None:
    """Write the first bytes of a long response, and the rest once the server's `release` is set."""
    writer.write(OK + b"Content-Length: %d\r\n\r\n%s" % (len(LONG), LONG[:10]))
    await server.release.wait()
    writer.write(LONG[10:])


FORMS = {
    "length": streamed(OK + b"Content-Length: %d\r\n\r\n%s" % (len(LONG), LONG)),
    "chunked": streamed(
        OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 70_001, b";e=1", b"T: x\r\n")
    ),
    "small chunks": streamed(OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks(LONG, 977)),
    "close": streamed(OK + b"Connection: close\r\n\r\n" + LONG, close=True),
    "interim": streamed(
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + b"Content-Length: %d\r\n\r\n%s" % (len(LONG), LONG)
    ),
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_a_streamed_response_is_forwarded_unchanged_and_counted_once(form: str, version: str) -> None:
    async def main() -> None:
        async with StubServer([FORMS[form]]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book").replace(b"HTTP/1.1", b"HTTP/%s" % version.encode()))
            answer = await client.answer()
            assert (answer.status, answer.body) == (200, LONG)
            assert version == "1.1" or "transfer-encoding" not in answer.headers
            if version == "1.1":
                assert (await client.ask("book")).body == LONG, "the connection was not reusable"
            metrics = await running.metrics()
            assert metrics['edge_node_responses{kind="book",result="ok"}'] == len(server.received)
            assert metrics["edge_node_active"] == running.node._listener.budget.reserved == 0
            assert not running.node._balancer._table.streaming and not running.node._balancer._table.waiting

    run(main())


def test_the_first_bytes_of_a_streamed_response_do_not_wait_for_the_rest() -> None:
    async def main() -> None:
        async with (
            StubServer([begin_long_response]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            client.writer.write(request("book", deadline="0.3"))
            await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
            assert await asyncio.wait_for(client.reader.readexactly(10), WAIT_TIMEOUT_S) == LONG[:10]
            # Past the deadline, which no longer applies once the response has begun.
            await asyncio.sleep(0.35)
            server.release.set()
            assert (
                await asyncio.wait_for(client.reader.readexactly(len(LONG) - 10), WAIT_TIMEOUT_S) == LONG[10:]
            )

    run(main())


def test_a_response_of_unknown_length_is_not_buffered_for_long() -> None:
    async def main() -> None:
        async def respond_in_two_parts(server: StubServer, _: Received, writer: asyncio.StreamWriter) -> None:
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            await server.release.wait()
            writer.write(b"0\r\n\r\n")

        async with (
            StubServer([respond_in_two_parts]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            client.writer.write(request("book"))
            assert b"first" in await asyncio.wait_for(client.reader.readuntil(b"first"), WAIT_TIMEOUT_S)
            server.release.set()
            assert b"0\r\n\r\n" in await asyncio.wait_for(
                client.reader.readuntil(b"0\r\n\r\n"), WAIT_TIMEOUT_S
            )

    run(main())


@pytest.mark.parametrize(
    "head",
    [b"Content-Length: %d\r\n\r\n" % len(LONG), CHUNKED + b"%x\r\n" % len(LONG)],
)
def test_an_aborted_streamed_response_shows_as_incomplete(head: bytes) -> None:
    async def main() -> None:
        broken = streamed(OK + head + LONG[: len(LONG) // 2], close=True)
        async with StubServer([broken]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("look"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await client.answer()
            assert len(server.received) == 1, "a request with a partly sent response was retried"
            metrics = await running.metrics()
            assert metrics['edge_node_responses{kind="look",result="errors"}'] == 1
            assert not running.node._requests.pending and not running.node._requests.calls

    run(main())


def test_a_client_disconnect_aborts_a_streamed_response_at_the_server() -> None:
    async def main() -> None:
        async with (
            StubServer([streamed(OK + b"Content-Length: %d\r\n\r\n" % 10**9 + LONG)]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(client.reader.readexactly(1000), WAIT_TIMEOUT_S)
            client.close()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert not running.node._requests.pending and not running.node._requests.calls
            assert running.node._listener.budget.reserved == 0

    run(main())


def test_a_client_that_does_not_read_pauses_its_server_and_memory_stays_bounded() -> None:
    async def main() -> None:
        size = 64 * 1024 * 1024
        sent = 0

        async def stream(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % size)
            while sent < size:
                writer.write(LONG[:65536])
                await writer.drain()
                sent += 65536

        async with StubServer([stream]) as server, running_node(row("a", server.address)) as running:
            client = await Client.connect(running.address)
            client.reader._limit = 1024  # type: ignore[attr-defined]
            client.writer.write(request("look"))
            before = -1
            while before != sent or not sent:
                before = sent
                await asyncio.sleep(0.2)
            assert sent < size, "the node read the whole response although the client reads nothing"
            (connection,) = running.node._listener._connections
            assert connection._transport is not None
            assert connection._transport.get_write_buffer_size() <= byte_budget.STREAM_BUFFER_BYTES
            assert running.node._listener.budget.reserved == byte_budget.STREAM_BUFFER_BYTES
            received = 0
            while received < size:
                received += len(await asyncio.wait_for(client.reader.read(1 << 20), WAIT_TIMEOUT_S))

    run(main())


def test_a_slow_client_gets_all_of_a_response_that_closes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a close a second after the last write, with up to 64 KiB still unsent."""

    async def main() -> None:
        monkeypatch.setattr(timeouts, "LINGER_S", 0.02)
        monkeypatch.setattr(timeouts, "MAX_LINGER_S", 0.04)
        size = 4 * 1024 * 1024
        stream = streamed(OK + b"Content-Length: %d\r\n\r\n" % size + bytes(size))
        loop = asyncio.get_running_loop()
        async with StubServer([stream]) as server, running_node(row("a", server.address)) as running:
            with socket.socket() as client:
                client.setblocking(False)
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
                await loop.sock_connect(client, running.address)
                while not running.node._listener._connections:
                    await asyncio.sleep(0)
                (connection,) = running.node._listener._connections
                assert connection._transport is not None
                sock = connection._transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
                await loop.sock_sendall(client, request("look", extra="Connection: close\r\n"))
                received = 0
                while data := await loop.sock_recv(client, 1 << 16):
                    received += len(data)
                    if received > size - 500_000:
                        await asyncio.sleep(0.01)  # all output is written and waits for this client
            assert received > size

    run(main())


def test_input_after_a_malformed_request_is_ignored() -> None:
    async def main() -> None:
        async with (
            StubServer([unresponsive, reply("200 OK")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            for bad in (request("book", body=b"x", extra="Expect: more\r\n"), b"nonsense\r\n\r\n"):
                server.received.clear()
                server.request_received.clear()
                server.release.clear()
                server.behaviours[:] = [held(reply("200 OK", b"first")), reply("200 OK")]
                client = await running.client()
                client.writer.write(request("look") + bad)
                await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
                client.writer.write(request("look"))
                while not any(len(c._exchanges) == 2 for c in running.node._listener._connections):
                    await asyncio.sleep(0)
                server.release.set()
                assert (await client.answer()).body == b"first"
                assert (await client.answer()).status in (400, 417)
                assert await client.ended()
                assert len(server.received) == 1

    run(main())


# ------------------------------------------------------------ requests


UPLOADS: dict[str, Callable[[], bytes]] = {
    "length": lambda: request("book", body=LONG),
    "chunked": lambda: request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
    + chunks(LONG, 70_001, b";e=1", b"X-Class: look\r\n"),
    "short chunked": lambda: request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
    + chunks(b"short", 2),
}


@pytest.mark.parametrize("form", UPLOADS)
@pytest.mark.parametrize("step", [1400, 100_000, 10**7])
def test_a_request_body_is_forwarded_unchanged_in_pieces_of_any_size(form: str, step: int) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"done")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            for _ in range(2):
                text = UPLOADS[form]()
                for i in range(0, len(text), step):
                    client.writer.write(text[i : i + step])
                    await client.writer.drain()
                assert (await client.answer()).body == b"done"
            assert [got.body for got in server.received] == [b"short" if "short" in form else LONG] * 2
            assert (await running.metrics())["edge_node_tries"] == 2
            assert running.node._listener.budget.reserved == 0

    run(main())


def test_concurrent_long_bodies_are_forwarded_in_both_directions() -> None:
    async def main() -> None:
        async def echo_body(_: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
            writer.write(OK + b"Content-Length: %d\r\n\r\n" % len(got.body) + got.body)

        async with StubServer([echo_body]) as server, running_node(row("a", server.address)) as running:

            async def echo(index: int) -> None:
                body = LONG[index:] if index % 2 else b"%d" % index
                client = await running.client()
                assert (await client.ask("move", body=body)).body == body

            await asyncio.gather(*[echo(i) for i in range(12)])

    run(main())


def test_a_body_that_a_server_began_to_read_is_not_retried() -> None:
    async def main() -> None:
        connections = 0

        async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            await reader.readexactly(100_000)
            writer.transport.abort()

        listeners = [await asyncio.start_server(break_off, HOST, 0) for _ in range(2)]
        names = [f"{HOST}:{one.sockets[0].getsockname()[1]}" for one in listeners]
        async with running_node(row("a", names[0]), row("b", names[1])) as running:
            answer = await (await running.client()).ask("move", body=LONG)
            assert answer.status == 503, "the last byte was never sent, so the client may retry"
            assert "retry-after" in answer.headers
            assert connections == 1
        for one in listeners:
            one.close()

    run(main())


def test_a_body_that_no_server_received_is_sent_to_another() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as gone:
            address = gone.address
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", address), row("b", server.address)) as running,
        ):
            for _ in range(4):
                assert (await (await running.client()).ask("book", body=LONG)).status == 200
            assert all(got.body == LONG for got in server.received)

    run(main())


def test_the_deadline_of_a_streamed_body_starts_at_its_last_byte() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"done")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            text = request("book", body=LONG, deadline="0.3")
            client.writer.write(text[:200_000])
            await asyncio.sleep(0.5)
            assert running.node._requests.pending, "abandoned before its body was received"
            assert (await running.metrics())[
                "edge_node_active"
            ] == 0, "counted as active before its last byte"
            client.writer.write(text[200_000:])
            assert (await client.answer()).body == b"done"
            server.behaviours[:] = [unresponsive]
            assert (await client.ask("book", body=LONG, deadline="0.3")).status == 502
            server.release.set()

    run(main())


def test_a_client_that_stalls_within_a_long_body_gets_408_and_nothing_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        monkeypatch.setattr(timeouts, "IDLE_TIMEOUT_S", 0.3)
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", body=LONG)[:200_000])
            assert (await client.answer()).status == 408
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (
                not server.received
                and not running.node._requests.pending
                and not running.node._requests.calls
            )

    run(main())


def test_a_client_disconnect_within_a_long_body_releases_everything() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", body=LONG)[:200_000])
            while not running.node._requests.calls:
                await asyncio.sleep(0)
            while not server.opened:
                await asyncio.sleep(0)
            client.close()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (
                not server.received
                and not running.node._requests.pending
                and not running.node._requests.calls
            )
            assert running.node._listener.budget.reserved == 0
            assert not running.node._balancer._table.streaming

    run(main())


def test_a_server_that_reads_nothing_pauses_the_client_and_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        monkeypatch.setattr(upstream_connection, "STREAM_STALL_TIMEOUT_S", 0.5)
        with socket.socket() as idle_listener:
            idle_listener.bind((HOST, 0))
            idle_listener.listen()  # the kernel accepts connections, but nothing reads from them
            await _upload(idle_listener)

    async def _upload(idle_listener: socket.socket) -> None:
        async with running_node(row("a", f"{HOST}:{idle_listener.getsockname()[1]}")) as running:
            client = await running.client()
            head, piece = request("book", body=b"x")[:-1], LONG * 4
            client.writer.write(head.replace(b"Content-Length: 1", b"Content-Length: %d" % 10**9))
            sent, paused = 0, False
            answer = asyncio.create_task(client.answer())
            while not answer.done():
                if client.writer.transport.get_write_buffer_size() < len(piece):
                    client.writer.write(piece)
                    sent += len(piece)
                else:
                    paused = True
                await asyncio.sleep(0.01)
            assert paused and sent < 10**8, "the node buffered what its server did not read"
            assert answer.result().status == 503

    run(main())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_server_that_reads_a_long_body_slowly_delays_no_final_answer(chunked: bool) -> None:
    """Guards against an answer seconds after its time, while the last byte waits in the kernels' buffers."""

    async def main() -> None:
        with socket.socket() as idle_listener:
            idle_listener.bind((HOST, 0))
            idle_listener.listen()  # the kernel accepts connections, but nothing reads from them
            async with running_node(row("a", f"{HOST}:{idle_listener.getsockname()[1]}")) as running:
                client = await running.client()
                loop = asyncio.get_running_loop()
                head = request("book", body=b"x", deadline="1.0")[:-1]
                body = LONG * 4
                if chunked:
                    head = head.replace(b"Content-Length: 1\r\n", CHUNKED.removesuffix(b"\r\n"))
                    client.writer.write(head + chunks(body, 100_000))
                else:
                    client.writer.write(head.replace(b"Length: 1", b"Length: %d" % len(body)) + body)
                sent_at = loop.time()
                assert (await client.answer()).status == 502
                assert loop.time() - sent_at < 1.0 + ANSWER_SLACK_S
                assert not running.node._requests.calls

    run(main())


def test_an_upload_whose_time_is_over_when_its_turn_comes_is_answered_and_forgotten(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that ends before the decision module has been told of it."""
    monkeypatch.setattr(Upload, "max_waited_s", lambda _: WAIT_TIMEOUT_S)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", body=LONG)[:200_000])
            assert (await client.answer()).status in (502, 503)
            assert not running.node._requests.pending and not running.node._balancer._table.requests
            assert not server.received

    run(main())
    assert "fault" not in caplog.text and "failed on" not in caplog.text


async def fill_with_uploads(running: RunningNode) -> tuple[list[Client], Answer]:
    """Begin long bodies and stop in their midst until one is rejected.

    Return the clients whose bodies were accepted, and the response to the rejected one.
    """
    budget = running.node._listener.budget
    uploading: list[Client] = []
    while True:
        client = await running.client()
        client.writer.write(request("book", body=LONG)[:100_000])
        reading = asyncio.create_task(client.answer())
        while len(running.node._requests.pending) == len(uploading) and not reading.done():
            await asyncio.sleep(0)
        assert budget.reserved <= budget.limit
        if reading.done():
            return uploading, reading.result()
        reading.cancel()
        uploading.append(client)


def test_long_bodies_beyond_the_memory_limit_are_rejected_immediately() -> None:
    async def main() -> None:
        async with (
            StubServer([unresponsive]) as server,
            running_node(row("a", server.address), memory_mb=4) as running,
        ):
            budget = running.node._listener.budget
            uploading, answer = await fill_with_uploads(running)
            assert answer.status == 503 and "retry-after" in answer.headers
            least, most = byte_budget.MIN_BUFFER_BYTES, byte_budget.STREAM_BUFFER_BYTES
            share = byte_budget.REQUEST_FRACTION * budget.limit
            assert share // most <= len(uploading) <= share // least
            assert (await running.metrics())['edge_node_responses{kind="book",result="shed"}'] == 1

    run(main())


def test_long_answers_arrive_while_slow_uploads_hold_their_share_of_the_memory() -> None:
    """Guards against answers that begin and then wait, without limit, for bytes that slow uploads hold."""

    async def main() -> None:
        async with (
            StubServer([unresponsive]) as uploads,
            running_node(row("a", uploads.address), memory_mb=8) as running,
        ):
            uploading, rejected = await fill_with_uploads(running)
            assert uploading
            assert rejected.status == 503
            for form in ("length", "chunked", "close"):
                uploads.behaviours[:] = [FORMS[form]]
                client = await running.client()
                answer = await asyncio.wait_for(client.ask("look"), MAX_HOLD_S)
                assert (answer.status, answer.body) == (200, LONG)
            for client in uploading:
                client.close()
            while running.node._requests.pending:
                await asyncio.sleep(0)
            assert (await (await running.client()).ask("look")).body == LONG
            assert running.node._listener.budget.reserved == 0

    run(main())


def test_a_request_whose_response_has_no_room_is_rejected_before_it_is_sent() -> None:
    """Guards against responses that begin and are then left, for want of memory."""

    async def main() -> None:
        async with StubServer([FORMS["length"]]) as server, running_node(row("a", server.address)) as running:
            running.node._listener.budget.limit = byte_budget.MIN_BUFFER_BYTES // 2
            answer = await (await running.client()).ask("look")
            assert answer.status == 503
            assert "retry-after" in answer.headers
            assert not server.received
            assert running.node._listener.budget.reserved == 0

    run(main())


# ------------------------------------------------------------ other message forms, and slow clients


def test_a_client_that_expects_100_continue_gets_it() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"done")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            text = request("book", body=LONG, extra="Expect: 100-continue\r\n")
            head, _, body = text.partition(b"\r\n\r\n")
            client.writer.write(head + b"\r\n\r\n")
            interim = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
            assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.writer.write(body)
            assert (await client.answer()).body == b"done"
            assert "expect" not in server.received[0].headers

    run(main())


@pytest.mark.parametrize(
    ("extra", "status"), [("Expect: 200-ok\r\n", 417), ("Expect: 100-continue\r\nX-Class: look\r\n", 400)]
)
def test_a_head_that_would_be_rejected_gets_no_100_continue(extra: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", body=b"x", extra=extra)[:-1])
            assert (await client.answer()).status == status
            assert await client.ended() and not server.received

    run(main())


def test_an_absolute_form_target_is_accepted() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            assert (await client.ask("look", target="http://api.internal/api/k?x=1")).status == 200
            assert server.received[0].target == "/api/k?x=1"
            assert (await client.ask(target="HTTP://api.internal/ready")).status == 200
            assert (await client.ask("look", target="http://api.internal")).status == 404

    run(main())


def test_white_space_around_a_header_value_is_ignored() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            text = request("look", drop=("X-Class",), extra="X-Class: \t look \t\r\n")
            client = await running.client()
            client.writer.write(text)
            assert (await client.answer()).status == 200

    run(main())


async def _connection(running: RunningNode, sent: bytes) -> ClientConnection:
    client = await running.client()
    client.writer.write(sent)
    while not (
        running.node._listener._connections
        and next(iter(running.node._listener._connections))._parser.in_message
    ):
        await asyncio.sleep(0)
    return next(iter(running.node._listener._connections))


def test_slow_clients_are_waited_for_and_unresponsive_ones_are_closed_within_3_s() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            head = await _connection(running, b"POST /api HTTP/1.1\r\nX-Cl")
            assert not head.has_timed_out(head.opened_at + 2.2), "a head may take 2 s"
            assert head.has_timed_out(head.opened_at + FIRST_HEAD_TIMEOUT_S + 0.01)
            assert FIRST_BYTE_TIMEOUT_S < FIRST_HEAD_TIMEOUT_S <= 3.0 - 2 * listener.SWEEP_INTERVAL_S
            head.abort()
            while running.node._listener._connections:
                await asyncio.sleep(0)
            body = await _connection(running, request("book", body=b"x" * 1000)[:-1])
            while not body._parser.in_body:
                await asyncio.sleep(0)
            assert body.has_timed_out(
                body._received_at + FIRST_BODY_PAUSE_S + 0.01
            ), "a stalled body must time out"
            head_complete_at = body._head_complete_at
            body._head_complete_at = body._received_at = body.opened_at + 0.5
            assert body.has_timed_out(
                body.opened_at + FIRST_HEAD_TIMEOUT_S + 0.01
            ), "half a body and then nothing must time out"
            body._head_complete_at = head_complete_at
            for second in (1, 2, 3, 4, 8):  # at 64 kB/s
                body._parser.body_size, body._received_at = 64_000 * second, head_complete_at + second
                assert not body.has_timed_out(head_complete_at + second + 0.5)
            body._parser.body_size, body._received_at = 1000, head_complete_at + 2.7
            assert body.has_timed_out(head_complete_at + 2.7), "a body below the minimum rate must time out"

    run(main())


def test_a_streamed_response_continues_after_sigterm() -> None:
    async def main() -> None:
        async with (
            StubServer([begin_long_response]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            client.writer.write(request("book"))
            await asyncio.wait_for(client.reader.readuntil(LONG[:10]), WAIT_TIMEOUT_S)
            running.node.terminate()
            running.node._drain._began -= 60.0  # long past the time of the last response
            running.node._drain._check()
            running.node._requests.fail_remaining()
            assert not running.serving.done()
            server.release.set()
            assert (
                await asyncio.wait_for(client.reader.readexactly(len(LONG) - 10), WAIT_TIMEOUT_S) == LONG[10:]
            )
            await asyncio.wait_for(running.serving, WAIT_TIMEOUT_S)

    run(main())
