"""Outcomes of attempts by the table of the protocol, and reuse of connections between attempts."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from collections.abc import AsyncIterator

import pytest

from crowpost.decision_api import Outcome
from crowpost.node.byte_budget import MIN_BUFFER_BYTES, ByteBudget, Reservation
from crowpost.node.discovery.endpoint_list import Naming
from crowpost.node.http.message import Message
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.keep_alive import KeepAlive
from crowpost.node.upstream.pool import REUSE_DELAY_S, ConnectionPool
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
    request,
    reset,
    row,
    run,
    running_node,
    unresponsive,
)

REQUEST = b"GET /api/x HTTP/1.1\r\nHost: h\r\n\r\n"
PROBE = b"GET /health HTTP/1.1\r\nHost: h\r\n\r\n"
NOT_RUN = "X-Not-Run: 1\r\n"
# The longest time in which a dial that cannot succeed has failed.
MAX_DIAL_S = 1.0


class Calls:
    """Calls to one server and their outcomes."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.budget = ByteBudget(64 * 1024 * 1024)
        self.outcomes: list[Outcome] = []

    def start(
        self, timeout_s: float = WAIT_TIMEOUT_S, server: bytes = b"a", *, idempotent: bool = True
    ) -> tuple[Call, asyncio.Future[tuple[Outcome, bytes]]]:
        future: asyncio.Future[tuple[Outcome, bytes]] = asyncio.get_running_loop().create_future()

        def on_finished(outcome: Outcome, response: Message | None) -> None:
            self.outcomes.append(outcome)
            future.set_result((outcome, response.body if response is not None else b""))

        buffer = Reservation(self.budget)
        assert buffer.try_resize(MIN_BUFFER_BYTES)
        call = Call(lambda _: REQUEST, timeout_s, on_finished, response_buffer=buffer)
        self.pool.start(call, server, idempotent=idempotent)
        return call, future

    async def outcome(
        self, timeout_s: float = WAIT_TIMEOUT_S, *, idempotent: bool = True
    ) -> tuple[Outcome, bytes]:
        return await self.start(timeout_s, idempotent=idempotent)[1]

    def age(self, seconds: float) -> None:
        """Make the idle connections appear to have been idle for longer."""
        for connection in self.pool._idle_connections():
            connection.idle_since -= seconds


@contextlib.asynccontextmanager
async def calls_to(
    address: str, *, max_connections: int = 100, idle_timeout_s: float = 30.0, probe: bytes | None = None
) -> AsyncIterator[Calls]:
    pool = ConnectionPool(
        connect_timeout_s=0.15,
        idle_timeout_s=idle_timeout_s,
        max_connections=max_connections,
        probe_request=probe,
    )
    pool.update(Naming((), ()).read(listing(1, row("a", address))))
    try:
        yield Calls(pool)
    finally:
        pool.close()


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
def test_response_determines_the_outcome(behaviour: Behaviour, outcome: Outcome) -> None:
    async def main() -> None:
        async with StubServer([behaviour]) as server, calls_to(server.address) as calls:
            got, body = await calls.outcome()
            assert got is outcome
            if outcome is Outcome.OK:
                assert body == b"body"
            assert len(server.received) == 1

    run(main())


def test_unresponsive_server_times_out_and_its_connection_is_closed() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, calls_to(server.address) as calls:
            assert await calls.outcome(0.1) == (Outcome.TIMEOUT, b"")
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_refused_connection_is_connect_failed() -> None:
    async def main() -> None:
        with socket.socket() as free:
            free.bind((HOST, 0))
            async with calls_to(f"{HOST}:{free.getsockname()[1]}") as calls:
                assert await calls.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_connect_timeout_is_connect_failed() -> None:
    """A listening socket with a full backlog does not answer new connections, like a partitioned machine."""

    async def main() -> None:
        with socket.socket() as listener, contextlib.ExitStack() as stack:
            listener.bind((HOST, 0))
            listener.listen(0)
            for _ in range(4):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            async with calls_to(f"{HOST}:{listener.getsockname()[1]}") as calls:
                assert await calls.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_a_host_that_is_no_host_name_is_connect_failed_at_once() -> None:
    """Guards against a request that waits for its time-out because the task of its dial has failed."""

    async def main() -> None:
        async with calls_to(f"{'x' * 64}:1") as calls:
            outcome = await asyncio.wait_for(calls.outcome(), MAX_DIAL_S)
            assert outcome == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_unlisted_endpoint_is_connect_failed() -> None:
    async def main() -> None:
        async with calls_to(f"{HOST}:1") as calls:
            calls.pool.update(Naming((), ()).read(listing(2)))
            assert await calls.outcome() == (Outcome.CONNECT_FAILED, b"")

    run(main())


def test_cancelled_attempt_has_one_outcome() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, calls_to(server.address) as calls:
            call, future = calls.start()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            call.abort(Outcome.CANCELLED)
            call.abort(Outcome.TIMEOUT)
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (await future)[0] is Outcome.CANCELLED
            assert calls.outcomes == [Outcome.CANCELLED]

    run(main())


def test_connection_is_not_reused_after_a_response_with_connection_close() -> None:
    async def main() -> None:
        closing = reply("200 OK", b"body", "Connection: close\r\n")
        async with StubServer([closing]) as server, calls_to(server.address) as calls:
            assert await calls.outcome() == (Outcome.OK, b"body")
            assert await calls.outcome() == (Outcome.OK, b"body")
            assert server.opened == 2

    run(main())


def test_unsolicited_response_is_not_taken_for_the_next_response() -> None:
    """Guards against taking bytes after a response for the response to the next request."""

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" * 2)
        async with StubServer([twice, reply("200 OK", b"2")]) as server, calls_to(server.address) as calls:
            assert await calls.outcome() == (Outcome.OK, b"1")
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert await calls.outcome() == (Outcome.OK, b"2")

    run(main())


@pytest.mark.parametrize(
    "surplus", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", b"HTTP/1.1 200 OK\r\nConte"]
)
def test_bytes_after_a_response_in_one_read_are_not_taken_for_the_next_response(surplus: bytes) -> None:
    """Guards against responding to a request with bytes that followed the previous response.

    A waiting call was written to the connection while the rest of the same read was still to be parsed.
    """

    async def main() -> None:
        twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" + surplus)
        async with StubServer([twice, reply("200 OK", b"2")]) as server, calls_to(server.address) as calls:
            following: list[asyncio.Future[tuple[Outcome, bytes]]] = []
            first = Call(lambda _: REQUEST, WAIT_TIMEOUT_S, lambda *_: following.append(calls.start()[1]))
            calls.pool.start(first, b"a")
            while not following:
                await asyncio.sleep(0)
            assert await following[0] == (Outcome.OK, b"2")

    run(main())


def test_idle_connections_close_before_the_server_closes_them() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            calls_to(server.address, idle_timeout_s=0.0) as calls,
        ):
            await calls.outcome()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)

    run(main())


def test_after_an_early_close_a_non_idempotent_call_avoids_long_idle_connections() -> None:
    """Guards against writing a request that cannot be retried to a connection that its server has dropped.

    A fifth of all sends failed in a run whose servers closed connections after 0.5 s instead of 30 s.
    """

    async def closing(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await reply("200 OK")(server, received, writer)
        await server.release.wait()
        writer.close()

    async def main() -> None:
        async with StubServer([closing, reply("200 OK")]) as server, calls_to(server.address) as calls:
            await calls.outcome()
            calls.age(1.0)
            server.release.set()
            while calls.pool._idle_connections():
                await asyncio.sleep(0)
            await calls.outcome()
            assert server.opened == 2
            await calls.outcome(idempotent=False)
            assert server.opened == 2  # the connection was used recently
            calls.age(0.9)
            await calls.outcome(idempotent=False)
            assert server.opened == 3
            calls.pool.close_idle(b"a")
            await calls.outcome()
            calls.age(0.9)
            await calls.outcome()
            assert server.opened == 4  # an idempotent call can be retried

    run(main())


def test_reset_of_a_reused_connection_counts_as_early_close() -> None:
    """A server that has lost a connection resets it at once, but only when a request is written."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), reset, reply("200 OK")]) as server,
            calls_to(server.address) as calls,
        ):
            await calls.outcome()
            calls.age(1.0)
            assert (await calls.outcome())[0] is Outcome.RESET
            await calls.outcome()
            calls.age(0.9)
            await calls.outcome(idempotent=False)
            assert server.opened == 3

    run(main())


@pytest.mark.parametrize(
    ("to_probe", "connections"),
    [(reply("200 OK"), 1), (reply("503 Service Unavailable"), 1), (reset, 2), (unresponsive, 2)],
)
def test_possibly_stale_connection_is_probed_before_a_non_idempotent_call(
    to_probe: Behaviour, connections: int
) -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), to_probe, reply("200 OK", b"served")]
        async with (
            StubServer(behaviours) as server,
            calls_to(server.address, probe=PROBE) as calls,
        ):
            await calls.outcome()
            calls.age(1.0)
            calls.pool.keep_alive.record_early_close(0.5, asyncio.get_running_loop().time())
            assert await calls.outcome(idempotent=False) == (Outcome.OK, b"served")
            assert [r.target for r in server.received] == ["/api/x", "/health", "/api/x"]
            assert server.opened == connections
            server.release.set()

    run(main())


def test_endpoint_that_drains_during_a_probe_gets_no_new_call() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), unresponsive]) as server,
            calls_to(server.address, probe=PROBE) as calls,
        ):
            await calls.outcome()
            calls.age(1.0)
            calls.pool.keep_alive.record_early_close(0.5, asyncio.get_running_loop().time())
            server.request_received.clear()
            _, future = calls.start(idempotent=False)
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            calls.pool.update(Naming((), ()).read(listing(2, row("a", server.address, "DRAINING"))))
            assert (await future)[0] is Outcome.CONNECT_FAILED
            assert [r.target for r in server.received] == ["/api/x", "/health"]
            server.release.set()

    run(main())


def test_trusted_idle_time_recovers() -> None:
    keep_alive = KeepAlive(15.0)
    assert keep_alive.trusted_s(0.0) == 15.0
    keep_alive.record_early_close(1.0, 100.0)
    assert keep_alive.trusted_s(100.0) == 0.2
    keep_alive.record_early_close(3.0, 100.0)
    assert keep_alive.trusted_s(100.0) == 0.2
    assert 0.2 < keep_alive.trusted_s(101.0) < 0.4 < keep_alive.trusted_s(120.0) < 15.0
    assert keep_alive.trusted_s(1e6) == 15.0


def test_close_idle_does_not_affect_calls_in_flight() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK"), unresponsive]
        async with StubServer(behaviours) as server, calls_to(server.address) as calls:
            await calls.outcome()
            calls.pool.close_idle(b"a")
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            server.request_received.clear()
            call, future = calls.start()
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            calls.pool.close_idle(b"a")
            assert not future.done()
            call.abort(Outcome.CANCELLED)
            server.release.set()

    run(main())


def test_at_the_connection_limit_idle_connections_close_first_then_connecting_fails() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([unresponsive]) as two,
            calls_to(one.address, max_connections=1) as calls,
        ):
            calls.pool.update(Naming((), ()).read(listing(2, row("a", one.address), row("b", two.address))))
            await calls.outcome()
            call, future = calls.start(server=b"b")
            await asyncio.wait_for(two.request_received.wait(), WAIT_TIMEOUT_S)
            assert await calls.outcome() == (Outcome.CONNECT_FAILED, b"")
            assert not future.done()
            call.abort(Outcome.CANCELLED)
            two.release.set()

    run(main())


def test_abandoned_call_frees_its_connection_after_its_response() -> None:
    """Each cancelled hedged request closed a connection: a tenth of all handshakes in the fleet runs."""

    async def main() -> None:
        behaviours = [held(reply("200 OK", b"late")), reply("200 OK", b"next")]
        async with StubServer(behaviours) as server, calls_to(server.address) as calls:
            call, future = calls.start()
            while not server.received:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            assert await future == (Outcome.CANCELLED, b"")
            (connection,) = calls.pool.discarding
            server.release.set()
            while calls.pool.discarding:
                await asyncio.sleep(0)
            assert calls.pool._idle_connections() == [connection]
            assert await calls.outcome() == (Outcome.OK, b"next")
            assert server.opened == 1

    run(main())


def test_abandoned_call_holds_no_connection_past_its_deadline_or_at_the_limit() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, calls_to(server.address, max_connections=1) as calls:
            call, _ = calls.start(timeout_s=0.2)
            while not server.received:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            while calls.pool.discarding:
                await asyncio.sleep(0)
            while calls.pool._connections:
                await asyncio.sleep(0)
            call, _ = calls.start()
            while len(server.received) < 2:
                await asyncio.sleep(0)
            call.discard_response(Outcome.CANCELLED)
            calls.start()
            while len(server.received) < 3:
                await asyncio.sleep(0)
            assert not calls.pool.discarding and server.opened == 3

    run(main())


# ---------------------------------------------------------------- unread input on kept connections


class TalkativeServer:
    """A server that answers each request with its target, and sends more when the test says so."""

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []
        self.targets: list[str] = []

    async def behave(self, _: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
        self.sockets.append(writer.get_extra_info("socket"))
        self.targets.append(got.target)
        body = got.target.encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def send_now(self, text: bytes) -> None:
        """Send bytes on the connection of the last request, without a turn of the event loop."""
        os.write(self.sockets[-1].fileno(), text)

    def close_now(self) -> None:
        """End the stream of the connection of the last request, without a turn of the event loop."""
        with socket.socket(fileno=os.dup(self.sockets[-1].fileno())) as same:
            same.shutdown(socket.SHUT_WR)


def hold_up_event_loop() -> None:
    """Make the event loop late, so that it has not read what waits when the next request is due."""
    time.sleep(2 * REUSE_DELAY_S)


SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"


@pytest.mark.parametrize("rested", [False, True])
@pytest.mark.parametrize("late", ["answer", "interim", "bytes", "end"])
def test_what_a_server_sends_after_its_response_is_no_response_to_the_next_request(
    late: str, rested: bool
) -> None:
    """Guards against a second answer that is passed on to the caller of another request."""
    texts = {"answer": SECOND_ANSWER, "interim": b"HTTP/1.1 100 Continue\r\n\r\n", "bytes": b"x"}

    async def main() -> None:
        talkative = TalkativeServer()
        server = StubServer([talkative.behave])
        async with server, running_node(row("a", server.address)) as running:
            client = await running.client()
            assert (await client.ask("book", target="/api/1")).body == b"/api/1"
            pool = running.node._pool
            ended: asyncio.Future[tuple[Outcome, Message | None]] = asyncio.get_running_loop().create_future()
            call = Call(
                lambda _: request("book", target="/api/2"),
                WAIT_TIMEOUT_S,
                lambda outcome, message: ended.set_result((outcome, message)),
                on_response_start=lambda *_: None,
                response_buffer=Reservation(running.node._listener.budget),
            )
            assert call.response_buffer is not None and call.response_buffer.try_resize(MIN_BUFFER_BYTES)
            if rested:
                running.age(REUSE_DELAY_S)
            else:
                pool.start(call, b"a")
            if late == "end":
                talkative.close_now()
            else:
                talkative.send_now(texts[late])
            hold_up_event_loop()
            if rested:
                pool.start(call, b"a")
            outcome, message = await asyncio.wait_for(ended, WAIT_TIMEOUT_S)
            if outcome is Outcome.CONNECT_FAILED and not rested:
                assert talkative.targets == ["/api/1"], "the request was written"
                return
            assert outcome is Outcome.OK and message is not None and message.body == b"/api/2"
            assert talkative.targets == ["/api/1", "/api/2"]
            assert server.opened == 2

    run(main())
