"""The second address: its calls, the figures, and the drain."""

from __future__ import annotations

import asyncio
import os
import socket
import time

import pytest

from crowpost.decision_api import Action, AttemptEnded, Cancel, Event, Outcome, RequestArrived, Send
from crowpost.node.admin import CALL_TIMEOUT_S
from crowpost.node.metrics import Metrics
from tests.node.stubs import (
    HOST,
    PATIENCE_S,
    Caller,
    Received,
    StubServer,
    World,
    held,
    listing,
    reply,
    request,
    reset,
    row,
    run,
    silent,
    tell,
    world,
)

FULL = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")


def _of(kind: str, result: str) -> str:
    return f'edge_node_responses{{kind="{kind}",result="{result}"}}'


def test_labels_are_escaped() -> None:
    text = Metrics(['a"b\\c\nd']).render(active=0, pool_size=0, pool_ejected=0).decode()
    assert text.splitlines()[0] == 'edge_node_responses{kind="a\\"b\\\\c\\nd",result="ok"} 0'


def test_every_figure_is_there_from_the_start() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            kinds = ("look", "move", "book")
            expected = {_of(kind, result): 0 for kind in kinds for result in ("ok", "shed", "errors")}
            expected |= {"edge_node_tries": 0, "edge_node_active": 0}
            expected |= {"edge_node_pool_size": 1, "edge_node_pool_ejected": 0}
            assert await w.figures() == expected

    run(main())


def test_figures_agree_with_what_callers_and_servers_saw() -> None:
    async def main() -> None:
        error = reply("500 Internal Server Error")
        behaviours = [reply("200 OK"), error, FULL, reply("200 OK"), reset, held(reply("200 OK"))]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            statuses = [
                (await caller.ask("look")).status,
                (await caller.ask("book")).status,  # failed: it may have run
                (await caller.ask("book")).status,  # turned away once, then served
                (await caller.ask("book")).status,  # the connection breaks
            ]
            assert statuses == [200, 502, 200, 502]
            server.got.clear()
            caller.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            figures = await w.figures()
            assert figures["edge_node_active"] == 1
            assert figures["edge_node_tries"] == len(server.received) == 6
            assert figures[_of("look", "ok")] == 1
            assert (figures[_of("book", "ok")], figures[_of("book", "errors")]) == (1, 2)
            caller.close()  # abandoned: no longer active
            while (await w.figures())["edge_node_active"]:
                pass
            server.release.set()

    run(main())


def test_a_request_with_a_second_copy_is_one_answer_and_two_tries() -> None:
    async def main() -> None:
        async with StubServer([silent]) as one:

            async def after_the_first(
                server: StubServer, got: Received, writer: asyncio.StreamWriter
            ) -> None:
                await one.got.wait()
                await reply("200 OK")(server, got, writer)

            async with (
                StubServer([after_the_first]) as two,
                world(row("a", one.address), row("b", two.address)) as w,
            ):
                await _ask_both(w, one, two)

    async def _ask_both(w: World, one: StubServer, two: StubServer) -> None:
        def both(event: Event, now: float) -> list[Action]:
            if isinstance(event, RequestArrived):
                return [Send(event.request, b"a"), Send(event.request, b"b")]
            if isinstance(event, AttemptEnded) and event.outcome is Outcome.OK:
                return [Cancel(event.request, 0, answered=True)]
            return []

        w.node._balancer.handle = both  # type: ignore[method-assign]
        assert (await (await w.caller()).ask("look")).status == 200
        assert len(one.received) == len(two.received) == 1
        figures = await w.figures()
        assert (figures["edge_node_tries"], figures[_of("look", "ok")]) == (2, 1)
        one.release.set()

    run(main())


def test_two_processes_of_one_node_plan_for_both() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as alone:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen()
                async with world(row("a", server.address), accept_fd=os.dup(listener.fileno())) as beside:
                    for w, part in ((alone, 1.0), (beside, 0.5)):
                        node = w.node
                        sockets = (
                            node._listener._max_connections
                            + node._pool._max_connections
                            + node._admin._max_connections
                        )
                        assert 0.8 * part * 256 < sockets < 0.95 * part * 256
                    assert 2 * beside.node._listener.budget.limit <= alone.node._listener.budget.limit
                    tell(await beside.discovery.watch(), listing(2, row("a", server.address)))
                    while not beside.node.ready():
                        await asyncio.sleep(0)
                    assert (await (await beside.caller()).ask("look")).status == 200

    run(main())


def test_an_attempt_that_never_got_a_connection_is_no_try_and_a_refusal_is_counted() -> None:
    async def main() -> None:
        async with StubServer([silent]) as gone:
            address = gone.address
        async with world(row("a", address)) as w:
            assert (await (await w.caller()).ask("book", deadline="0.5")).status == 503
            figures = await w.figures()
            assert (figures["edge_node_tries"], figures[_of("book", "shed")]) == (0, 1)

    run(main())


def test_what_is_refused_before_the_module_sees_it_is_counted() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            w.node._listener.budget.limit = 0
            assert (await (await w.caller()).ask("book", body=b"x")).status == 503
            figures = await w.figures()
            assert (figures[_of("book", "shed")], figures["edge_node_active"]) == (1, 0)

    run(main())


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("GET", "/ready", 404), ("POST", "/api/ready", 405), ("GET", "/api/evacuate", 405)],
)
def test_wrong_paths_and_methods_are_told(method: str, path: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            assert (await w.manage(method, path)).status == status
            assert (await w.manage("GET", "/api/ready")).status == 200

    run(main())


@pytest.mark.parametrize(
    "raw", [b"nonsense\r\n\r\n", b"GET /api/ready HTTP/1.1\r\nX: %s\r\n\r\n" % (b"x" * 20_000)]
)
def test_malformed_and_oversized_calls_are_answered_with_400(raw: bytes) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await Caller.connect(w.node.admin_address)
            caller.writer.write(raw)
            assert (await caller.answer()).status == 400

    run(main())


def test_silent_and_half_sent_peers_delay_nobody_and_are_closed() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            begin = time.monotonic()
            peers = [await Caller.connect(w.node.admin_address) for _ in range(60)]
            for peer in peers[::2]:
                peer.writer.write(b"GET /api/rea")
            assert (await w.manage("GET", "/api/ready")).status == 200
            assert time.monotonic() - begin < CALL_TIMEOUT_S, "it waited for the silent ones"
            assert len(w.node._admin._connections) <= w.node._admin._max_connections
            for peer in peers[1::2]:
                assert await peer.ended()

    run(main())


# The drain.


async def _phase(w: World, call: str) -> int:
    return (await w.manage("POST", f"/api/{call}")).status


def test_an_emptying_node_answers_what_comes_and_sends_callers_away_until_it_rejoins() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            world(row("a", server.address)) as w,
        ):
            busy, kept, idle = [await w.caller() for _ in range(3)]
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            assert (await idle.ask(target="/ready")).status == 200
            assert [await _phase(w, "evacuate"), await _phase(w, "evacuate")] == [200, 200]
            assert (await w.manage("GET", "/api/ready")).status == 503
            answer = await kept.ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert await idle.ended(), "a connection stayed idle"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            assert (await (await w.caller()).ask(target="/ready")).status == 503
            assert [await _phase(w, "rejoin"), await _phase(w, "rejoin")] == [200, 200]
            assert (await w.manage("GET", "/api/ready")).status == 200
            caller = await w.caller()
            assert (await caller.ask(target="/ready")).status == 200
            assert "connection" not in (await caller.ask("look")).headers

    run(main())


def test_a_rejoin_in_the_midst_of_a_drain_keeps_idle_connections() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            idle = await w.caller()
            assert (await idle.ask("look")).status == 200
            await _phase(w, "evacuate")
            await _phase(w, "rejoin")
            assert w.node._drain._timer is not None and w.node._drain._timer.cancelled()
            assert (await idle.ask("look")).status == 200

    run(main())


def test_a_leaving_node_refuses_to_rejoin_and_ends() -> None:
    async def main() -> None:
        async with StubServer([held(reply("200 OK"))]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            await _phase(w, "evacuate")
            w.node.terminate()
            assert await _phase(w, "rejoin") == 409
            assert await _phase(w, "evacuate") == 200
            server.release.set()
            assert (await caller.answer()).status == 200
            await asyncio.wait_for(w.serving, PATIENCE_S)

    run(main())
