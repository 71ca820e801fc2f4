"""A call that finds no connection rested waits for one, or for a dial beside it, whichever comes first."""

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
PAST_DEADLINE_S = 5.0  # but less than an idle connection is trusted for
SLOW_S = 3600.0  # a server whose answers take so long is waited for
FAST_S = 1e-6


def the_peer(w: RunningNode) -> EndpointConnections[UpstreamConnection]:
    (peer,) = w.node._pool._endpoints.values()
    return peer


async def ask_first(w: RunningNode, response_time_s: float) -> Client:
    """One call, whose connection has yet to rest; response_time_s: what the server then passes for."""
    client = await w.client()
    assert (await client.ask("look", target="/api/first")).status == 200
    the_peer(w).response_time_s = response_time_s
    return client


@asynccontextmanager
async def pair(*behaviours: Behaviour, cancel: bool = True) -> AsyncIterator[tuple[StubServer, RunningNode]]:
    async with (
        StubServer(list(behaviours) or [reply("200 OK")]) as server,
        running_node(row("a", server.address), policyLimits=limits(cancel=cancel)) as w,
    ):
        yield server, w


def targets(server: StubServer) -> list[str]:
    return [got.target for got in server.received]


async def then_break(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
    """Answer, and break the connection once told to."""
    await reply("200 OK")(server, received, writer)
    await server.release.wait()
    writer.transport.abort()


async def until(condition: object) -> None:
    async def wait() -> None:
        assert callable(condition)
        while not condition():
            await asyncio.sleep(0)

    await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)


def test_a_call_to_a_fast_server_waits_for_no_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the 10 ms that such a call took at the most; the pool grows, and then suffices."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair() as (server, w):
            client = await ask_first(w, FAST_S)
            assert (await client.ask("look", target="/api/second")).status == 200
            assert (await client.ask("book", target="/api/third")).status == 200
            assert server.opened == 3
            w.age(NEVER_S)
            assert (await client.ask("look", target="/api/fourth")).status == 200
            assert server.opened == 3, "connections that have rested were not used"
            assert targets(server) == ["/api/first", "/api/second", "/api/third", "/api/fourth"]

    run(main())


def test_a_call_to_a_slow_server_waits_rather_than_cost_it_a_handshake() -> None:
    async def main() -> None:
        async with pair() as (server, w):
            client = await ask_first(w, SLOW_S)
            assert (await client.ask("look", target="/api/second")).status == 200
            assert server.opened == 1

    run(main())


def test_the_usual_time_of_a_server_comes_from_good_answers_alone() -> None:
    """Failures at once and probes take no work: they make no server a fast one."""
    peer: EndpointConnections[UpstreamConnection] = EndpointConnections("a", ("127.0.0.1", 1), 0.0)
    assert peer.max_wait_s() > 1e9
    peer.record_response_time(0.8)
    assert peer.response_time_s == pytest.approx(0.8)
    peer.record_response_time(0.0)
    assert peer.response_time_s == pytest.approx(0.7)
    assert peer.max_wait_s() == pytest.approx(0.07)

    async def main() -> None:
        async with pair(reply("500 Internal Server Error"), reply("200 OK")) as (_, w):
            client = await w.client()
            assert (await client.ask("book")).status == 502
            assert the_peer(w).response_time_s is None
            assert (await client.ask("look")).status == 200
            assert the_peer(w).response_time_s is not None

    run(main())


@pytest.mark.parametrize("behind_the_answer", [False, True])
def test_a_rested_connection_carries_the_call_when_the_dial_hangs(
    behind_the_answer: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once; the dial that comes up later is kept for the next call, which waits for nothing."""

    async def main() -> None:
        async with pair(reply("200 OK"), held(reply("200 OK")), reply("200 OK")) as (server, w):
            client = await ask_first(w, FAST_S)
            dials = HeldDials(w)
            client.writer.write(request("book", target="/api/second"))
            await dials.begun()
            await until(lambda: len(server.received) == 2)
            assert server.opened == 1
            monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", PAST_DEADLINE_S)
            steps = [dials.release, server.release]
            for step in reversed(steps) if behind_the_answer else steps:
                step.set()
                before = len(w.node._pool._idle_connections())
                await until(lambda before=before: len(w.node._pool._idle_connections()) > before)
            assert (await client.answer()).status == 200
            assert targets(server) == ["/api/first", "/api/second"]
            peer = the_peer(w)
            assert peer.extra_dials == 0
            peer.response_time_s = SLOW_S
            assert (await client.ask("book", target="/api/third")).status == 200
            assert server.opened == 2

    run(main())


def test_a_connection_that_was_passed_over_goes_on_resting(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a call on it that meets what the first answer still brings."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair(respond_twice, reply("200 OK", b"own")) as (server, w):
            client = await ask_first(w, FAST_S)
            w.age(1.0)
            (resting,) = the_peer(w).idle
            since = resting.idle_since
            assert (await client.ask("book")).body == b"own"
            idle = list(the_peer(w).idle)
            assert len(idle) == 2
            assert (idle[0], idle[0].idle_since) == (resting, since), "it has begun its rest anew"
            client.writer.write(request("book"))
            assert (await client.answer()).body == b"own"
            assert server.opened == 3
            server.release.set()
            await until(lambda: len(the_peer(w).idle) == 2)
            assert idle[0] not in the_peer(w).idle

    run(main())


def test_a_stray_answer_during_the_wait_spoils_the_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """The dial beside it goes on, and carries the call."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair(respond_twice, reply("200 OK", b"own")) as (server, w):
            client = await ask_first(w, FAST_S)
            (resting,) = the_peer(w).idle
            dials = HeldDials(w)
            client.writer.write(request("book"))
            await dials.begun()
            server.release.set()
            await until(lambda: not resting.usable())
            assert len(server.received) == 1
            dials.release.set()
            assert (await client.answer()).body == b"own"
            assert server.opened == 2

    run(main())


def test_a_call_whose_connection_breaks_is_dialled_for_where_nothing_was(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair(then_break, reply("200 OK", b"own")) as (server, w):
            client = await ask_first(w, SLOW_S)
            client.writer.write(request("book"))
            await until(lambda: w.node._requests.pending)
            server.release.set()
            assert (await client.answer()).body == b"own"
            assert server.opened == 2

    run(main())


def test_a_dial_that_fails_leaves_the_call_to_the_connection_that_rests() -> None:
    async def main() -> None:
        async with pair() as (server, w):
            client = await ask_first(w, FAST_S)
            server._server.close()  # takes no new connection; those that stand stay
            told = EventRecorder(w)
            assert (await client.ask("book", target="/api/second")).status == 200
            assert targets(server) == ["/api/first", "/api/second"]
            assert [e.outcome for e in told.events if isinstance(e, AttemptEnded)] == [Outcome.OK]

    run(main())


def test_a_call_that_loses_both_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection that rests breaks, and the dial beside it fails: nothing was sent."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair(then_break) as (server, w):
            client = await ask_first(w, FAST_S)
            (resting,) = the_peer(w).idle
            dials, told = HeldDials(w), EventRecorder(w)
            client.writer.write(request("book"))
            await dials.begun()
            server.release.set()
            await until(lambda: not resting.usable())
            server._server.close()
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            assert len(server.received) == 1

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_a_caller_that_leaves_during_the_wait_is_not_sent_on(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whichever of the two comes up: both are kept."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair(cancel=cancel) as (server, w):
            client = await ask_first(w, FAST_S)
            dials, told = HeldDials(w), EventRecorder(w)
            client.writer.write(request("book", target="/api/left"))
            await dials.begun()
            client.close()
            await told.first(RequestAbandoned)
            dials.release.set()
            await told.first(AttemptEnded)
            await until(lambda: len(w.node._pool._idle_connections()) == 2)
            assert targets(server) == ["/api/first"]

    run(main())


def test_a_server_that_drains_during_the_wait_is_sent_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair() as (server, w):
            client = await ask_first(w, FAST_S)
            dials, told = HeldDials(w), EventRecorder(w)
            client.writer.write(request("book", target="/api/late"))
            await dials.begun()
            send_line(
                await w.discovery.watch(), listing(2, row("a", server.address, "DRAINING"), reset=False)
            )
            await until(lambda: w.node._discovery._version == 2)
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            assert targets(server) == ["/api/first"]
            assert not w.node._pool._connections or all(not c.usable() for c in w.node._pool._connections)

    run(main())


def test_a_pool_grows_by_a_few_dials_at_once_and_at_no_other_connection_s_cost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", NEVER_S)

    async def main() -> None:
        async with pair() as (_, w):
            clients = [await ask_first(w, FAST_S) for _ in range(MAX_EXTRA_DIALS + 2)]
            the_peer(w).response_time_s = FAST_S
            dials = HeldDials(w)
            for client in clients:
                client.writer.write(request("look"))
            await until(lambda: len(w.node._requests.calls) == len(clients))
            assert the_peer(w).extra_dials == MAX_EXTRA_DIALS
            dials.release.set()
            await clients[0].answer()

    async def full() -> None:
        async with pair() as (server, w):
            client = await ask_first(w, FAST_S)
            w.node._pool._max_connections = 1
            monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", 0.01)
            assert (await client.ask("look")).status == 200
            assert server.opened == 1

    run(main())
    run(full())


def test_settings_of_these_tests_allow_what_they_rely_on() -> None:
    """A dial is given up later than a failing test."""
    assert limits()["connectTimeoutMs"] >= 1000.0 * WAIT_TIMEOUT_S
    assert settings()["policyLimits"]["cancel"] is True
