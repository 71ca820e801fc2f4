"""The outcome of each attempt, as the protocol's table has it, and the connections between attempts."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from crowpost.decision_api import Outcome
from crowpost.node.discovery.endpoint_list import Naming
from crowpost.node.http.message import Message
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.keep_alive import KeepAlive
from crowpost.node.upstream.pool import ConnectionPool
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Behaviour,
    Received,
    StubServer,
    held,
    listing,
    raw,
    reply,
    reset,
    row,
    run,
    unresponsive,
)

REQUEST = b"GET /api/x HTTP/1.1\r\nHost: h\r\n\r\n"
PROBE = b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n"
NOT_RUN = "X-Not-Run: 1\r\n"


class Attempts:
    """Calls to one server and their outcomes."""

    def __init__(self, servers: ConnectionPool) -> None:
        self.servers = servers
        self.ended: list[Outcome] = []

    def begin(
        self, timeout_s: float = WAIT_TIMEOUT_S, server: bytes = b"a", *, repeatable: bool = True
    ) -> tuple[Call, asyncio.Future[tuple[Outcome, bytes]]]:
        future: asyncio.Future[tuple[Outcome, bytes]] = asyncio.get_running_loop().create_future()

        def done(outcome: Outcome, answer: Message | None) -> None:
            self.ended.append(outcome)
            future.set_result((outcome, answer.body if answer is not None else b""))

        call = Call(lambda _: REQUEST, timeout_s, done)
        self.servers.start(call, server, idempotent=repeatable)
        return call, future

    async def outcome(
        self, timeout_s: float = WAIT_TIMEOUT_S, *, repeatable: bool = True
    ) -> tuple[Outcome, bytes]:
        return await self.begin(timeout_s, repeatable=repeatable)[1]

    def age(self, seconds: float) -> None:
        """Let the idle connections have been idle for longer."""
        for connection in self.servers._idle_connections():
            connection.idle_since -= seconds


@contextlib.asynccontextmanager
async def attempts(
    address: str, *, most_open: int = 100, idle_s: float = 30.0, probe: bytes | None = None
) -> AsyncIterator[Attempts]:
    servers = ConnectionPool(
        connect_timeout_s=0.15, idle_timeout_s=idle_s, max_connections=most_open, probe_request=probe
    )
    servers.update(Naming((), ()).read(listing(1, row("a", address))))
    try:
        yield Attempts(servers)
    finally:
        servers.close()


@pytest.mark.parametrize(
    ("behaviour", "outcome"),
    [
        (reply("200 OK", b"body"), Outcome.OK),
        (raw(b"HTTP/1.1 200 OK\r\n\r\nbody", close=True), Outcome.OK),
        (raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), Outcome.OK),
        (raw(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), Outcome.OK),
        (reply("500 Internal Server Error"), Outcome.ERROR),
        (reply("503 Service Unavailable", extra=NOT_RUN), Outcome.FULL),
        (reply("504 Gateway Timeout", extra=NOT_RUN), Outcome.FULL),
        (reply("503 Service Unavailable"), Outcome.ERROR),
        (reply("500 Internal Server Error", extra=NOT_RUN), Outcome.ERROR),
        (reply("400 Bad Request"), Outcome.REJECTED),
        (reply("404 Not Found"), Outcome.REJECTED),
        (reply("429 Too Many Requests"), Outcome.ERROR),
        (reset, Outcome.RESET),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", close=True), Outcome.RESET),
        (
            raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", close=True),
            Outcome.RESET,
        ),
        (raw(b"nonsense\r\n\r\n"), Outcome.RESET),
        (reply("500 Internal Server Error", b"x" * 65537), Outcome.ERROR),
        (raw(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000), Outcome.RESET),
    ],
)
def test_what_comes_back_decides_the_outcome(behaviour: Behaviour, outcome: Outcome) -> None:
    async def main() -> None:
        async with StubServer([behaviour]) as server, attempts(server.address) as a:
            got, body = await a.outcome()
            assert got is outcome
            if outcome is Outcome.OK:
                assert body == b"body"
            assert len(server.received) == 1

    run(main())


def test_silence_is_a_time_out_and_closes_the_connection() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, attempts(server.address) as a:
            assert await a.outcome(0.1) == (Outcome.TIMEOUT, b"")
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            async with attempts(f"{HOST}:{free.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_a_connection_that_never_comes_up_never_ran() -> None:
    """A listening socket whose backlog is full leaves new connections unanswered, as a cut machine does."""

    async def main() -> None:
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            async with attempts(f"{HOST}:{listener.getsockname()[1]}") as a:
                assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_an_unknown_server_never_ran() -> None:
    async def main() -> None:
        async with attempts(f"{HOST}:1") as a:
            a.servers.update(Naming((), ()).read(listing(2)))
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_a_cancelled_attempt_has_one_outcome() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, attempts(server.address) as a:
            call, future = a.begin()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            call.abort(Outcome.CANCELLED)
            call.abort(Outcome.TIMEOUT)
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (await future)[0] is Outcome.CANCELLED
            assert a.ended == [Outcome.CANCELLED]

    run(main())


def test_an_answer_that_closes_is_whole_and_its_connection_is_not_kept() -> None:
    async def main() -> None:
        closing = reply("200 OK", b"body", "Connection: close\r\n")
        async with StubServer([closing]) as server, attempts(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"body")
            assert await a.outcome() == (Outcome.OK, b"body")
            assert server.opened == 2

    run(main())


def test_bytes_that_nobody_asked_for_spoil_a_connection() -> None:
    """Guards against an answer's surplus being read as the next request's answer."""

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" * 2)
        async with StubServer([twice, reply("200 OK", b"2")]) as server, attempts(server.address) as a:
            assert await a.outcome() == (Outcome.OK, b"1")
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert await a.outcome() == (Outcome.OK, b"2")

    run(main())


@pytest.mark.parametrize(
    "surplus", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", b"HTTP/1.1 200 OK\r\nConte"]
)
def test_what_follows_an_answer_in_one_piece_meets_no_call_that_its_end_brings(surplus: bytes) -> None:
    """Guards against serving a request with a server's surplus: a waiting call went out on the connection
    while the rest of the piece was still to be read."""

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" + surplus)
        async with StubServer([twice, reply("200 OK", b"2")]) as server, attempts(server.address) as a:
            following: list[asyncio.Future[tuple[Outcome, bytes]]] = []
            first = Call(lambda _: REQUEST, WAIT_TIMEOUT_S, lambda *_: following.append(a.begin()[1]))
            a.servers.start(first, b"a")
            while not following:
                await asyncio.sleep(0)
            assert await following[0] == (Outcome.OK, b"2")

    run(main())


def test_idle_connections_close_well_before_the_server_would() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, attempts(server.address, idle_s=0.0) as a:
            await a.outcome()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_after_an_early_close_an_unrepeatable_call_takes_no_connection_long_idle() -> None:
    """Guards against a send written to a connection that its server had dropped: it may never be repeated.

    Seen as a fifth of all sends failing on a day on which servers closed after half a second of 30.
    """

    async def closing(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await reply("200 OK")(server, received, writer)
        await server.release.wait()
        writer.close()

    async def main() -> None:
        async with StubServer([closing, reply("200 OK")]) as server, attempts(server.address) as a:
            await a.outcome()
            a.age(1.0)
            server.release.set()
            while a.servers._idle_connections():
                await asyncio.sleep(0)
            await a.outcome()
            assert server.opened == 2
            await a.outcome(repeatable=False)
            assert server.opened == 2  # it was in use a moment ago
            a.age(0.9)
            await a.outcome(repeatable=False)
            assert server.opened == 3
            a.servers.close_idle(b"a")
            await a.outcome()
            a.age(0.9)
            await a.outcome()
            assert server.opened == 4  # what may be repeated loses nothing by a try

    run(main())


def test_a_dropped_connection_is_a_sign_too() -> None:
    """A server that lost its end says so only when it is written to: the break comes at once."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), reset, reply("200 OK")]) as server,
            attempts(server.address) as a,
        ):
            await a.outcome()
            a.age(1.0)
            assert (await a.outcome())[0] is Outcome.RESET
            await a.outcome()
            a.age(0.9)
            await a.outcome(repeatable=False)
            assert server.opened == 3

    run(main())


@pytest.mark.parametrize(
    ("to_probe", "connections"),
    [(reply("200 OK"), 1), (reply("503 Service Unavailable"), 1), (reset, 2), (unresponsive, 2)],
)
def test_a_doubtful_connection_is_probed_before_an_unrepeatable_call(
    to_probe: Behaviour, connections: int
) -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), to_probe, reply("200 OK", b"served")]
        async with (
            StubServer(behaviours) as server,
            attempts(server.address, probe=PROBE) as a,
        ):
            await a.outcome()
            a.age(1.0)
            a.servers.keep_alive.record_early_close(0.5, asyncio.get_running_loop().time())
            assert await a.outcome(repeatable=False) == (Outcome.OK, b"served")
            assert [r.target for r in server.received] == ["/api/x", "/health", "/api/x"]
            assert server.opened == connections
            server.release.set()

    run(main())


def test_a_server_that_drains_while_a_connection_is_probed_gets_nothing_new() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), unresponsive]) as server,
            attempts(server.address, probe=PROBE) as a,
        ):
            await a.outcome()
            a.age(1.0)
            a.servers.keep_alive.record_early_close(0.5, asyncio.get_running_loop().time())
            server.request_received.clear()
            _, future = a.begin(repeatable=False)
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            a.servers.update(Naming((), ()).read(listing(2, row("a", server.address, "DRAINING"))))
            assert (await future)[0] is Outcome.CONNECT_FAILED
            assert [r.target for r in server.received] == ["/api/x", "/health"]
            server.release.set()

    run(main())


def test_trust_in_idle_connections_comes_back() -> None:
    keep_alive = KeepAlive(15.0)
    assert keep_alive.trusted_s(0.0) == 15.0
    keep_alive.record_early_close(1.0, 100.0)
    assert keep_alive.trusted_s(100.0) == 0.2
    keep_alive.record_early_close(3.0, 100.0)
    assert keep_alive.trusted_s(100.0) == 0.2
    assert 0.2 < keep_alive.trusted_s(101.0) < 0.4 < keep_alive.trusted_s(120.0) < 15.0
    assert keep_alive.trusted_s(1e6) == 15.0


def test_close_idle_leaves_calls_alone() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), unresponsive]
        async with StubServer(behaviours) as server, attempts(server.address) as a:
            await a.outcome()
            a.servers.close_idle(b"a")
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            server.request_received.clear()
            call, future = a.begin()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            a.servers.close_idle(b"a")
            assert not future.done()
            call.abort(Outcome.CANCELLED)
            server.release.set()

    run(main())


def test_short_of_descriptors_idle_connections_go_first_then_connecting_fails() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([unresponsive]) as two,
            attempts(one.address, most_open=1) as a,
        ):
            a.servers.update(Naming((), ()).read(listing(2, row("a", one.address), row("b", two.address))))
            await a.outcome()
            call, future = a.begin(server=b"b")
            await asyncio.wait_for(two.request_received.wait(), WAIT_TIMEOUT_S)
            assert await a.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert not future.done()
            call.abort(Outcome.CANCELLED)
            two.release.set()

    run(main())


def test_a_call_that_is_left_frees_its_connection_when_its_answer_has_come() -> None:
    """Each withdrawn second copy closed a connection: a tenth of all handshakes on the fleet days."""

    async def main() -> None:
        behaviours = [held(reply("200 OK", b"late")), reply("200 OK", b"next")]
        async with StubServer(behaviours) as server, attempts(server.address) as a:
            call, left = a.begin()
            while not server.received:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            assert await left == (Outcome.CANCELLED, b"")
            (connection,) = a.servers.discarding
            server.release.set()
            while a.servers.discarding:
                await asyncio.sleep(0)
            assert a.servers._idle_connections() == [connection]
            assert await a.outcome() == (Outcome.OK, b"next")
            assert server.opened == 1

    run(main())


def test_a_call_that_is_left_holds_no_connection_past_its_time_nor_one_that_is_needed() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, attempts(server.address, most_open=1) as a:
            call, _ = a.begin(timeout_s=0.2)
            while not server.received:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            while a.servers.discarding:
                await asyncio.sleep(0)
            while a.servers._connections:
                await asyncio.sleep(0)
            call, _ = a.begin()
            while len(server.received) < 2:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            a.begin()
            while len(server.received) < 3:
                await asyncio.sleep(0)
            assert not a.servers.discarding and server.opened == 3

    run(main())
