"""Tests of the admin address: its calls, the metrics and the drain."""

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
    WAIT_TIMEOUT_S,
    Client,
    Received,
    RunningNode,
    StubServer,
    held,
    listing,
    reply,
    request,
    reset,
    row,
    run,
    running_node,
    send_line,
    unresponsive,
)

NOT_RUN = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")


def _responses(kind: str, result: str) -> str:
    return f'edge_node_responses{{kind="{kind}",result="{result}"}}'


def test_labels_are_escaped() -> None:
    text = Metrics(['a"b\\c\nd']).render(active=0, pool_size=0, pool_ejected=0).decode()
    assert text.splitlines()[0] == 'edge_node_responses{kind="a\\"b\\\\c\\nd",result="ok"} 0'


def test_every_metric_is_rendered_from_the_start() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            kinds = ("look", "move", "book")
            expected = {_responses(kind, result): 0 for kind in kinds for result in ("ok", "shed", "errors")}
            expected |= {"edge_node_tries": 0, "edge_node_active": 0}
            expected |= {"edge_node_pool_size": 1, "edge_node_pool_ejected": 0}
            expected |= {"edge_node_accept_failures": 0, "edge_node_memory_scarce": 0}
            assert await running.metrics() == expected

    run(main())


def test_metrics_agree_with_clients_and_servers() -> None:
    async def main() -> None:
        error = reply("500 Internal Server Error")
        behaviours = [reply("200 OK"), error, NOT_RUN, reply("200 OK"), reset, held(reply("200 OK"))]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            statuses = [
                (await client.ask("look")).status,
                (await client.ask("book")).status,  # a 500 is not retried: the request may have run
                (await client.ask("book")).status,  # rejected once, then served
                (await client.ask("book")).status,  # the server resets the connection
            ]
            assert statuses == [200, 502, 200, 502]
            server.request_received.clear()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            metrics = await running.metrics()
            assert metrics["edge_node_active"] == 1
            assert metrics["edge_node_tries"] == len(server.received) == 6
            assert metrics[_responses("look", "ok")] == 1
            assert (metrics[_responses("book", "ok")], metrics[_responses("book", "errors")]) == (1, 2)
            client.close()  # an abandoned request is no longer active
            while (await running.metrics())["edge_node_active"]:
                pass
            server.release.set()

    run(main())


def test_a_hedged_request_counts_one_response_and_two_attempts() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as one:

            async def respond_after_the_first(
                server: StubServer, got: Received, writer: asyncio.StreamWriter
            ) -> None:
                await one.request_received.wait()
                await reply("200 OK")(server, got, writer)

            async with (
                StubServer([respond_after_the_first]) as two,
                running_node(row("a", one.address), row("b", two.address)) as running,
            ):
                await _ask_both(running, one, two)

    async def _ask_both(running: RunningNode, one: StubServer, two: StubServer) -> None:
        def send_to_both(event: Event, now: float) -> list[Action]:
            if isinstance(event, RequestArrived):
                return [Send(event.request, b"a"), Send(event.request, b"b")]
            if isinstance(event, AttemptEnded) and event.outcome is Outcome.OK:
                return [Cancel(event.request, 0, answered=True)]
            return []

        running.node._balancer.handle = send_to_both  # type: ignore[method-assign]
        assert (await (await running.client()).ask("look")).status == 200
        assert len(one.received) == len(two.received) == 1
        metrics = await running.metrics()
        assert (metrics["edge_node_tries"], metrics[_responses("look", "ok")]) == (2, 1)
        one.release.set()

    run(main())


def test_two_processes_of_one_node_share_its_limits() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as single:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen()
                async with running_node(
                    row("a", server.address), accept_fd=os.dup(listener.fileno())
                ) as shared:
                    for running, fraction in ((single, 1.0), (shared, 0.5)):
                        node = running.node
                        sockets = (
                            node._listener._max_connections
                            + node._pool._max_connections
                            + node._admin._max_connections
                        )
                        assert 0.8 * fraction * 256 < sockets < 0.95 * fraction * 256
                    assert 2 * shared.node._listener.budget.limit <= single.node._listener.budget.limit
                    send_line(await shared.discovery.watch(), listing(2, row("a", server.address)))
                    while not shared.node.ready():
                        await asyncio.sleep(0)
                    assert (await (await shared.client()).ask("look")).status == 200

    run(main())


def test_an_attempt_without_a_connection_is_not_counted_but_its_rejection_is() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as gone:
            address = gone.address
        async with running_node(row("a", address)) as running:
            assert (await (await running.client()).ask("book", deadline="0.5")).status == 503
            metrics = await running.metrics()
            assert (metrics["edge_node_tries"], metrics[_responses("book", "shed")]) == (0, 1)

    run(main())


def test_a_rejection_before_the_decision_module_is_counted() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            running.node._listener.budget.limit = 0
            assert (await (await running.client()).ask("book", body=b"x")).status == 503
            metrics = await running.metrics()
            assert (metrics[_responses("book", "shed")], metrics["edge_node_active"]) == (1, 0)

    run(main())


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/", 404), ("GET", "/ready", 404), ("POST", "/api/ready", 405), ("GET", "/api/evacuate", 405)],
)
def test_unknown_paths_and_wrong_methods_are_rejected(method: str, path: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            assert (await running.manage(method, path)).status == status
            assert (await running.manage("GET", "/api/ready")).status == 200

    run(main())


@pytest.mark.parametrize(
    "raw", [b"nonsense\r\n\r\n", b"GET /api/ready HTTP/1.1\r\nX: %s\r\n\r\n" % (b"x" * 20_000)]
)
def test_malformed_and_oversized_calls_are_answered_with_400(raw: bytes) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            client = await Client.connect(running.node.admin_address)
            client.writer.write(raw)
            assert (await client.answer()).status == 400

    run(main())


def test_unresponsive_peers_delay_no_call_and_are_closed() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            begun_at = time.monotonic()
            peers = [await Client.connect(running.node.admin_address) for _ in range(60)]
            for peer in peers[::2]:
                peer.writer.write(b"GET /api/rea")
            assert (await running.manage("GET", "/api/ready")).status == 200
            assert time.monotonic() - begun_at < CALL_TIMEOUT_S, "a call waited for unresponsive peers"
            assert len(running.node._admin._connections) <= running.node._admin._max_connections
            for peer in peers[1::2]:
                assert await peer.ended()

    run(main())


# The drain


async def _phase(running: RunningNode, call: str) -> int:
    return (await running.manage("POST", f"/api/{call}")).status


def test_an_evacuated_node_answers_requests_and_closes_connections_until_it_rejoins() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            busy, kept, idle = [await running.client() for _ in range(3)]
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            assert (await idle.ask(target="/ready")).status == 200
            assert [await _phase(running, "evacuate"), await _phase(running, "evacuate")] == [200, 200]
            assert (await running.manage("GET", "/api/ready")).status == 503
            answer = await kept.ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert await idle.ended(), "an idle connection was not closed"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            assert (await (await running.client()).ask(target="/ready")).status == 503
            assert [await _phase(running, "rejoin"), await _phase(running, "rejoin")] == [200, 200]
            assert (await running.manage("GET", "/api/ready")).status == 200
            client = await running.client()
            assert (await client.ask(target="/ready")).status == 200
            assert "connection" not in (await client.ask("look")).headers

    run(main())


def test_a_rejoin_during_a_drain_keeps_idle_connections() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            idle = await running.client()
            assert (await idle.ask("look")).status == 200
            await _phase(running, "evacuate")
            await _phase(running, "rejoin")
            assert running.node._drain._timer is not None and running.node._drain._timer.cancelled()
            assert (await idle.ask("look")).status == 200

    run(main())


def test_a_terminating_node_rejects_a_rejoin_and_ends() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK"))]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            await _phase(running, "evacuate")
            running.node.terminate()
            assert await _phase(running, "rejoin") == 409
            assert await _phase(running, "evacuate") == 200
            server.release.set()
            assert (await client.answer()).status == 200
            await asyncio.wait_for(running.serving, WAIT_TIMEOUT_S)

    run(main())
