"""A call without a reusable connection waits for one or for a parallel dial, whichever is ready first."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from crowpost.decision_api import AttemptEnded, Outcome, RequestAbandoned
from crowpost.node.upstream.connection import UpstreamConnection
from crowpost.node.upstream.endpoint import EndpointConnections
from crowpost.node.upstream.race import MAX_EXTRA_DIALS
from tests.node.stubs import (
    WAIT_TIMEOUT_S,
    Behaviour,
    Client,
    Received,
    RunningNode,
    StubServer,
    held,
    listing,
    reply,
    request,
    row,
    run,
    running_node,
    send_line,
    settings,
)
from tests.node.test_races import EventRecorder, HeldDials, limits, respond_twice

NEVER_S = 10 * WAIT_TIMEOUT_S
PAST_DEADLINE_S = 5.0  # delay longer than a deadline, but less than the trusted idle time
SLOW_S = 3600.0  # response time of a server for which a call waits for an idle connection
FAST_S = 1e-6  # response time of a server for which a call dials in parallel


def only_endpoint(running: RunningNode) -> EndpointConnections[UpstreamConnection]:
    (endpoint,) = running.node._pool._endpoints.values()
    return endpoint


async def make_first_call(running: RunningNode, response_time_s: float) -> Client:
    """Make one call, so that one connection is idle but not yet reusable.

    response_time_s: the response time that is then recorded for the server.
    """
    client = await running.client()
    assert (await client.ask("look", target="/api/first")).status == 200
    only_endpoint(running).response_time_s = response_time_s
    return client


@asynccontextmanager
async def server_and_node(
    *behaviours: Behaviour, cancel: bool = True
) -> AsyncIterator[tuple[StubServer, RunningNode]]:
    async with (
        StubServer(list(behaviours) or [reply("200 OK")]) as server,
        running_node(row("a", server.address), policyLimits=limits(cancel=cancel)) as running,
    ):
        yield server, running


def targets(server: StubServer) -> list[str]:
    return [got.target for got in server.received]


async def reply_then_abort(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
    """Send a response, and abort the connection once released."""
    await reply("200 OK")(server, received, writer)
    await server.release.wait()
    writer.transport.abort()


async def until(condition: object) -> None:
    async def wait() -> None:
        assert callable(condition)
        while not condition():
            await asyncio.sleep(0)

    await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)


def test_call_to_a_fast_server_dials_instead_of_waiting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a delay of up to 10 ms for such a call; the pool grows until it is large enough."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node() as (server, running):
            client = await make_first_call(running, FAST_S)
            assert (await client.ask("look", target="/api/second")).status == 200
            assert (await client.ask("book", target="/api/third")).status == 200
            assert server.opened == 3
            running.age(NEVER_S)
            assert (await client.ask("look", target="/api/fourth")).status == 200
            assert server.opened == 3, "reusable connections were not used"
            assert targets(server) == ["/api/first", "/api/second", "/api/third", "/api/fourth"]

    run(main())


def test_call_to_a_slow_server_waits_for_an_idle_connection() -> None:
    async def main() -> None:
        async with server_and_node() as (server, running):
            client = await make_first_call(running, SLOW_S)
            assert (await client.ask("look", target="/api/second")).status == 200
            assert server.opened == 1

    run(main())


def test_response_time_is_recorded_from_successful_responses_only() -> None:
    """Immediate failures and probes cost the server no work, and must not make it appear fast."""
    endpoint: EndpointConnections[UpstreamConnection] = EndpointConnections("a", ("127.0.0.1", 1), 0.0)
    assert endpoint.max_wait_s() > 1e9
    endpoint.record_response_time(0.8)
    assert endpoint.response_time_s == pytest.approx(0.8)
    endpoint.record_response_time(0.0)
    assert endpoint.response_time_s == pytest.approx(0.7)
    assert endpoint.max_wait_s() == pytest.approx(0.07)

    async def main() -> None:
        async with server_and_node(reply("500 Internal Server Error"), reply("200 OK")) as (_, running):
            client = await running.client()
            assert (await client.ask("book")).status == 502
            assert only_endpoint(running).response_time_s is None
            assert (await client.ask("look")).status == 200
            assert only_endpoint(running).response_time_s is not None

    run(main())


@pytest.mark.parametrize("dial_after_response", [False, True])
def test_reusable_connection_carries_the_call_while_the_dial_hangs(
    dial_after_response: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The call is sent once; the connection that the dial opens later is kept for the next call."""

    async def main() -> None:
        async with server_and_node(reply("200 OK"), held(reply("200 OK")), reply("200 OK")) as (
            server,
            running,
        ):
            client = await make_first_call(running, FAST_S)
            dials = HeldDials(running)
            client.writer.write(request("book", target="/api/second"))
            await dials.begun()
            await until(lambda: len(server.received) == 2)
            assert server.opened == 1
            monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", PAST_DEADLINE_S)
            steps = [dials.release, server.release]
            for step in reversed(steps) if dial_after_response else steps:
                step.set()
                before = len(running.node._pool._idle_connections())
                await until(lambda before=before: len(running.node._pool._idle_connections()) > before)
            assert (await client.answer()).status == 200
            assert targets(server) == ["/api/first", "/api/second"]
            endpoint = only_endpoint(running)
            assert endpoint.extra_dials == 0
            endpoint.response_time_s = SLOW_S
            assert (await client.ask("book", target="/api/third")).status == 200
            assert server.opened == 2

    run(main())


def test_unused_connection_keeps_its_idle_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call on it while bytes after the first response may still arrive."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node(respond_twice, reply("200 OK", b"own")) as (server, running):
            client = await make_first_call(running, FAST_S)
            running.age(1.0)
            (first_connection,) = only_endpoint(running).idle
            idle_since_before = first_connection.idle_since
            assert (await client.ask("book")).body == b"own"
            idle = list(only_endpoint(running).idle)
            assert len(idle) == 2
            assert (idle[0], idle[0].idle_since) == (
                first_connection,
                idle_since_before,
            ), "its idle time has started again"
            client.writer.write(request("book"))
            assert (await client.answer()).body == b"own"
            assert server.opened == 3
            server.release.set()
            await until(lambda: len(only_endpoint(running).idle) == 2)
            assert idle[0] not in only_endpoint(running).idle

    run(main())


def test_unsolicited_response_during_the_wait_closes_only_that_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The parallel dial continues, and the new connection carries the call."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node(respond_twice, reply("200 OK", b"own")) as (server, running):
            client = await make_first_call(running, FAST_S)
            (first_connection,) = only_endpoint(running).idle
            dials = HeldDials(running)
            client.writer.write(request("book"))
            await dials.begun()
            server.release.set()
            await until(lambda: not first_connection.usable())
            assert len(server.received) == 1
            dials.release.set()
            assert (await client.answer()).body == b"own"
            assert server.opened == 2

    run(main())


def test_call_dials_if_its_connection_breaks_without_a_parallel_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node(reply_then_abort, reply("200 OK", b"own")) as (server, running):
            client = await make_first_call(running, SLOW_S)
            client.writer.write(request("book"))
            await until(lambda: running.node._requests.pending)
            server.release.set()
            assert (await client.answer()).body == b"own"
            assert server.opened == 2

    run(main())


def test_failed_dial_leaves_the_call_to_the_idle_connection() -> None:
    async def main() -> None:
        async with server_and_node() as (server, running):
            client = await make_first_call(running, FAST_S)
            server._server.close()  # rejects new connections; established ones remain
            recorder = EventRecorder(running)
            assert (await client.ask("book", target="/api/second")).status == 200
            assert targets(server) == ["/api/first", "/api/second"]
            assert [e.outcome for e in recorder.events if isinstance(e, AttemptEnded)] == [Outcome.OK]

    run(main())


def test_call_that_loses_both_connections_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    """The idle connection breaks, and the parallel dial fails: nothing was sent."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node(reply_then_abort) as (server, running):
            client = await make_first_call(running, FAST_S)
            (first_connection,) = only_endpoint(running).idle
            dials, recorder = HeldDials(running), EventRecorder(running)
            client.writer.write(request("book"))
            await dials.begun()
            server.release.set()
            await until(lambda: not first_connection.usable())
            server._server.close()
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            assert len(server.received) == 1

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_request_of_a_client_that_disconnects_during_the_wait_is_not_sent(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both connections are kept, whichever is ready first."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node(cancel=cancel) as (server, running):
            client = await make_first_call(running, FAST_S)
            dials, recorder = HeldDials(running), EventRecorder(running)
            client.writer.write(request("book", target="/api/left"))
            await dials.begun()
            client.close()
            await recorder.first(RequestAbandoned)
            dials.release.set()
            await recorder.first(AttemptEnded)
            await until(lambda: len(running.node._pool._idle_connections()) == 2)
            assert targets(server) == ["/api/first"]

    run(main())


def test_endpoint_that_drains_during_the_wait_gets_no_call(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node() as (server, running):
            client = await make_first_call(running, FAST_S)
            dials, recorder = HeldDials(running), EventRecorder(running)
            client.writer.write(request("book", target="/api/late"))
            await dials.begun()
            send_line(
                await running.discovery.watch(), listing(2, row("a", server.address, "DRAINING"), reset=False)
            )
            await until(lambda: running.node._discovery._version == 2)
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            assert targets(server) == ["/api/first"]
            assert not running.node._pool._connections or all(
                not c.usable() for c in running.node._pool._connections
            )

    run(main())


def test_parallel_dials_are_limited_and_close_no_other_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with server_and_node() as (_, running):
            clients = [await make_first_call(running, FAST_S) for _ in range(MAX_EXTRA_DIALS + 2)]
            only_endpoint(running).response_time_s = FAST_S
            dials = HeldDials(running)
            for client in clients:
                client.writer.write(request("look"))
            await until(lambda: len(running.node._requests.calls) == len(clients))
            assert only_endpoint(running).extra_dials == MAX_EXTRA_DIALS
            dials.release.set()
            await clients[0].answer()

    async def at_limit() -> None:
        async with server_and_node() as (server, running):
            client = await make_first_call(running, FAST_S)
            running.node._pool._max_connections = 1
            monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", 0.01)
            assert (await client.ask("look")).status == 200
            assert server.opened == 1

    run(main())
    run(at_limit())


def test_settings_satisfy_the_assumptions_of_these_tests() -> None:
    """The connect timeout must not be shorter than the time limit of a failing test."""
    assert limits()["connectTimeoutMs"] >= 1000.0 * WAIT_TIMEOUT_S
    assert settings()["policyLimits"]["cancel"] is True
