"""A node with stub clients, servers and discovery on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from crowpost.decision_api import Action, AttemptEnded, Event, RequestAbandoned
from crowpost.node import attempt
from crowpost.node.discovery.client import MAX_BACKOFF_S, MIN_BACKOFF_S
from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.timeouts import FIRST_BYTE_TIMEOUT_S
from crowpost.node.node import FIRST_LIST_TIMEOUT_S
from crowpost.node.upstream.pool import REUSE_DELAY_S
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    RunningNode,
    StubDiscovery,
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
    send_line,
    settings,
    unresponsive,
)

BODY = bytes(range(256)) * 4


def test_request_and_response_pass_through_unchanged() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", BODY)]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            answer = await client.ask(
                "move", target="/api/k1?x=%20y", body=BODY, deadline="2.5", request_id="9b1f03aa5c7e2d41"
            )
            assert (answer.status, answer.body) == (200, BODY)
            (got,) = server.received
            assert (got.method, got.target, got.body) == ("POST", "/api/k1?x=%20y", BODY)
            assert got.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert got.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
            assert 0.0 < float(got.headers["x-deadline"]) < 2.5
            running.age(REUSE_DELAY_S)
            assert (await client.ask("look")).status == 200
            assert server.opened == 1, "the idle connection was not reused"

    run(main())


def test_request_rejected_by_every_server_gets_503_with_retry_after() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with StubServer([full]) as server, running_node(row("a", server.address)) as running:
            answer = await (await running.client()).ask("book")
            assert answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) <= 2.0

    run(main())


def test_unsafe_request_that_was_rejected_is_retried() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full, reply("200 OK", b"b")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            assert (await (await running.client()).ask("book")).status == 200
            assert len(server.received) == 2

    run(main())


@pytest.mark.parametrize("behaviour", [reply("500 Internal Server Error"), reset, raw(b"nonsense\r\n\r\n")])
def test_unsafe_request_that_may_have_run_is_not_retried(behaviour: object) -> None:
    async def main() -> None:
        async with (
            StubServer([behaviour]) as one,  # type: ignore[list-item]
            StubServer([behaviour]) as two,  # type: ignore[list-item]
            running_node(row("a", one.address), row("b", two.address)) as running,
        ):
            answer = await (await running.client()).ask("book", body=b"slot")
            assert answer.status == 502
            assert "retry-after" not in answer.headers
            assert len(one.received) + len(two.received) == 1

    run(main())


def test_unsafe_request_on_a_reused_connection_that_is_reset_is_not_retried() -> None:
    """Guards against the automatic retry on a new connection that HTTP clients do."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), reset]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            assert (await client.ask("book")).status == 200
            running.age(REUSE_DELAY_S)
            assert (await client.ask("book")).status == 502
            assert (len(server.received), server.opened) == (2, 1)

    run(main())


def test_client_disconnect_ends_the_attempt() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            events = _record_events(running.node._balancer)
            client = await running.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            client.close()
            while not any(isinstance(event, RequestAbandoned) for event in events):
                await asyncio.sleep(0)
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert not running.node._requests.pending and not running.node._requests.calls

    run(main())


def _record_events(balancer: object) -> list[Event]:
    events: list[Event] = []
    handle = balancer.handle  # type: ignore[attr-defined]

    def recording(event: Event, now: float) -> list[Action]:
        events.append(event)
        actions: list[Action] = handle(event, now)
        return actions

    balancer.handle = recording  # type: ignore[attr-defined]
    return events


@pytest.mark.parametrize(("kind", "status"), [("book", 502), ("look", 503)])
def test_response_is_sent_before_the_deadline_if_the_server_is_unresponsive(kind: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            started_at = asyncio.get_running_loop().time()
            answer = await client.ask(kind, deadline="0.6")
            assert (
                asyncio.get_running_loop().time() - started_at < 0.6 + 0.05
            ), "later than 50 ms after the deadline"
            assert answer.status == status
            assert len(server.received) == 1
            server.release.set()

    run(main())


def test_late_bytes_of_a_timed_out_attempt_reach_no_other_request() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK", b"old")), reply("200 OK", b"new")]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            assert (await client.ask("book", deadline="0.3")).status == 502
            server.release.set()
            assert (await client.ask("book")).body == b"new"
            assert server.opened == 2

    run(main())


def test_request_that_the_module_leaves_without_a_response_gets_500(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            running.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            answer = await (await running.client()).ask("look", deadline="0.3")
            assert answer.status == 500
            assert "not answered in time" in caplog.text

    run(main())


def test_exception_of_the_module_fails_only_one_request() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"fine")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            handle = running.node._balancer.handle

            def faulty(event: Event, now: float) -> list[Action]:
                running.node._balancer.handle = handle  # type: ignore[method-assign]
                raise RuntimeError("injected")

            running.node._balancer.handle = faulty  # type: ignore[method-assign]
            client = await running.client()
            assert (await client.ask("look")).status == 500
            assert (await client.ask("look")).body == b"fine"

    run(main())


def test_event_posted_during_a_decision_is_delivered_after_it() -> None:
    """A call that ends while its Send action is carried out must not notify the module during a decision."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            handle, deciding, event_count = running.node._balancer.handle, False, 0

            def watched(event: Event, now: float) -> list[Action]:
                nonlocal deciding, event_count
                assert not deciding, "an event was delivered while the module was deciding"
                deciding, event_count = True, event_count + 1
                if event_count == 1:
                    running.node._events.post(RequestAbandoned(99))
                actions = handle(event, now)
                deciding = False
                return actions

            running.node._balancer.handle = watched  # type: ignore[method-assign]
            assert (await (await running.client()).ask("look")).status == 200
            assert event_count >= 3, "the event posted during the decision was dropped"

    run(main())


def test_drained_endpoint_gets_no_new_request_and_its_idle_connections_close() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            running_node(row("a", one.address)) as running,
        ):
            client = await running.client()
            assert (await client.ask("look")).body == b"a"
            watch = await running.discovery.watch()
            send_line(
                watch, listing(2, row("a", one.address, "DRAINING"), row("b", two.address), reset=False)
            )
            await asyncio.wait_for(one.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert {(await client.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(one.received) == 1

    run(main())


def test_restarted_endpoint_is_called_at_its_new_address() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"old")]) as old,
            StubServer([reply("200 OK", b"new")]) as new,
            running_node(row("a", old.address)) as running,
        ):
            client = await running.client()
            assert (await client.ask("look")).body == b"old"
            watch = await running.discovery.watch()
            send_line(watch, listing(2, row("a", new.address, started=1000.0)))
            await asyncio.wait_for(old.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (await client.ask("look")).body == b"new"

    run(main())


@pytest.mark.parametrize("breaks", ["reset", "bad line", "bad list"])
def test_broken_watch_is_reopened_from_the_last_version(breaks: str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            watch = await running.discovery.watch()
            send_line(watch, listing(41, row("a", server.address)))
            if breaks == "reset":
                await watch.drain()
                watch.close()
            else:
                send_line(watch, b"{nonsense" if breaks == "bad line" else b'{"generation":42,"reset":true}')
            again = await running.discovery.watch()
            assert running.discovery.targets == [
                "/v1/endpoints?watch=1&from=1",
                "/v1/endpoints?watch=1&from=41",
            ]
            send_line(again, listing(42, reset=False))
            assert (await (await running.client()).ask("look")).status == 200, "the last list was dropped"

    run(main())


def test_pushed_list_is_watched_from_the_start_and_again_after_a_break() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed") as running,
        ):
            events = _record_events(running.node._balancer)
            (await running.discovery.watch()).close()
            watch = await running.discovery.watch()
            client = await running.client()
            assert (await client.ask(target="/ready")).status == 503, "ready without a list"
            send_line(watch, listing(5, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            assert (await client.ask(target="/ready")).status == 200
            assert (await client.ask("look")).status == 200

    run(main())


def test_stalled_watch_is_replaced_before_a_change_must_be_known() -> None:
    """Guards against requests to a server that drained 6 s ago: the timeout of the watch was 7 s."""

    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as running:
            watch = await running.discovery.watch()
            timer = running.node._discovery._timer
            send_line(watch, b"")
            while running.node._discovery._timer is timer:
                await asyncio.sleep(0)
            timer = running.node._discovery._timer
            assert timer is not None
            assert timer.when() - asyncio.get_running_loop().time() + MAX_BACKOFF_S < 6.0

    run(main())


def test_watch_that_stalls_from_the_start_is_replaced_sooner() -> None:
    """A change must be known 4 s after SIGHUP, and 2 s after the second process of a node is ready."""

    async def main() -> None:
        guarantees = settings()["guarantees"] | {"mustAskInMs": 10_000.0}
        async with running_node(known=False, registryMode="pushed", guarantees=guarantees) as running:
            await running.discovery.watch()
            timer = running.node._discovery._timer
            assert timer is not None
            left = timer.when() - asyncio.get_running_loop().time()
            assert left + MIN_BACKOFF_S < FIRST_LIST_TIMEOUT_S + 2.0 < 4.0

    run(main())


def test_failing_watch_is_reopened_with_growing_jittered_pauses() -> None:
    """All nodes lose discovery at once: they must not reconnect in step, nor four times a second."""

    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as running:
            discovery = running.node._discovery
            await running.discovery.watch()
            pauses = []
            for _ in range(5):
                discovery._fail()
                assert discovery._timer is not None
                pauses.append(discovery._timer.when() - asyncio.get_running_loop().time())
            for pause, longest in zip(pauses, (0.25, 0.5, 1.0, 1.0, 1.0), strict=True):
                assert 0.4 * longest < pause <= longest + 0.01
            assert pauses[2] != pytest.approx(pauses[3], abs=0.001)
            watch = await running.discovery.watch()
            send_line(watch, b"")
            while discovery._failures:
                await asyncio.sleep(0)
            discovery._fail()
            assert discovery._timer is not None
            assert discovery._timer.when() - asyncio.get_running_loop().time() <= MIN_BACKOFF_S + 0.01

    run(main())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_changed_discovery_address_is_watched_after_reconfigure(tmp_path: Path, mode: str) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK")]) as server,
            StubDiscovery() as new,
            running_node(known=False, registryMode=mode, path=str(path)) as running,
        ):
            if mode == "on_request":
                running.node._discovery.subscribe()
            watch = await running.discovery.watch()
            events = _record_events(running.node._balancer)
            send_line(watch, listing(7, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            path.write_text(json.dumps({"discovery": new.address}))
            running.node.reconfigure()
            watch = await new.watch()
            assert new.targets == ["/v1/endpoints?watch=1&from=7"]
            send_line(watch, listing(8, row("a", server.address, "DRAINING"), reset=False))
            await asyncio.wait_for(_no_server(running), WAIT_TIMEOUT_S)

    run(main())


async def _no_server(running: RunningNode) -> None:
    client = await running.client()
    while (await client.ask(target="/ready")).status != 503:
        pass


@pytest.mark.parametrize("text", ["{nonsense", "{}", '{"discovery": "nowhere"}'])
def test_invalid_new_configuration_keeps_the_discovery_address(tmp_path: Path, text: str) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        path.write_text(text)
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed", path=str(path)) as running,
        ):
            watch = await running.discovery.watch()
            running.node.reconfigure()
            send_line(watch, listing(7, row("a", server.address)))
            client = await running.client()
            while (await client.ask(target="/ready")).status != 200:
                pass

    run(main())


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request("look", target="/other"), 404),
        (request("nosuch"), 400),
        (request("look", drop=("X-Tenant",)), 400),
        (request("look", drop=("X-Request-Id",)), 400),
        (request("look", drop=("X-Deadline",)), 400),
        (request("look", drop=("X-Class",)), 400),
        (request("look", deadline="1_0"), 400),
        (request("look", drop=("X-Tenant",), extra="X-Tenant: nobody\r\n"), 400),
        (request("look", extra="X-Class: book\r\n"), 400),
        (request("look", deadline="soon"), 400),
        (request("look", deadline="-1"), 400),
        (request("look", deadline="nan"), 400),
        (request("look", deadline="inf"), 400),
        (request("look", method="POST"), 400),
        (request("book", method="GET"), 400),
        (request("look", body=b"x"), 400),
        (request("move", drop=("Idempotency-Key",)), 400),
        (request("book", extra="Idempotency-Key: k\r\n"), 400),
        (request("look", extra="Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400),
        (request("look", body=b"x" * 65537), 400),
        (request("look", extra="X-Long: " + "x" * 20000 + "\r\n"), 400),
    ],
)
def test_invalid_request_gets_an_error_and_is_not_forwarded(bad: bytes, status: int) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(bad)
            assert (await client.answer()).status == status
            assert not server.received
            assert (await (await running.client()).ask("look")).status == 200

    run(main())


async def _only_connection(running: RunningNode) -> ClientConnection:
    while not running.node._listener._connections:
        await asyncio.sleep(0)
    (connection,) = running.node._listener._connections
    return connection


def test_connection_without_a_byte_is_closed_soon() -> None:
    """Guards against connections without a byte, which used up all descriptors for clients within 5 s."""

    async def main() -> None:
        async with running_node() as running:
            peer = await running.client()
            (await _only_connection(running)).opened_at -= FIRST_BYTE_TIMEOUT_S
            assert await peer.ended()

    run(main())


def test_incomplete_request_gets_408_soon() -> None:
    async def main() -> None:
        async with running_node() as running:
            peer = await running.client()
            peer.writer.write(request("book", body=BODY)[:-1])
            connection = await _only_connection(running)
            while not connection._parser.in_message:
                await asyncio.sleep(0)
            connection.opened_at -= FIRST_BYTE_TIMEOUT_S
            answer = await peer.answer()
            assert (answer.status, answer.headers["connection"]) == (408, "close")
            assert await peer.ended()

    run(main())


def test_client_that_has_sent_a_request_may_stay_idle() -> None:
    async def main() -> None:
        async with running_node() as running:
            await (await running.client()).ask(target="/ready")
            connection = await _only_connection(running)
            assert not connection.has_timed_out(connection.opened_at + 1000.0)

    run(main())


@pytest.mark.parametrize("hint", ["much", "0", "inf", "250000"])
def test_implausible_cost_hint_does_not_fail_a_request(hint: str) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            answer = await (await running.client()).ask("look", extra=f"X-Cost-Hint: {hint}\r\n")
            assert answer.status == 200

    run(main())


def test_bodies_beyond_the_memory_budget_are_rejected_until_memory_is_released() -> None:
    """Guards against being killed for memory when clients send large bodies at the same time."""

    async def main() -> None:
        async with (
            StubServer([unresponsive, reply("200 OK")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            # Enough for one such request, with its head, body and response, and not for two.
            body = b"x" * 40_000
            running.node._listener.budget.limit = 90_000
            first = await running.client()
            first.writer.write(request("book", body=body))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            answer = await (await running.client()).ask("book", body=body)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(server.received) == 1
            first.close()
            while running.node._requests.pending:
                await asyncio.sleep(0)
            assert (await (await running.client()).ask("book", body=body)).status == 200
            server.release.set()

    run(main())


def test_termination_responds_to_all_pipelined_requests() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK")), held(reply("200 OK"))]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("look") + request("look"))
            while len(running.node._requests.pending) < 2:
                await asyncio.sleep(0)
            running.node.terminate()
            server.release.set()
            answers = [await client.answer(), await client.answer()]
            assert [answer.status for answer in answers] == [200, 200]

    run(main())


def test_pipelined_requests_get_their_responses_in_order() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
            bodies = [(await client.answer()).body for _ in range(8)]
            by_target = {got.target: b"%d" % i for i, got in enumerate(server.received)}
            assert bodies == [by_target[f"/api/{i}"] for i in range(8)]

    run(main())


def test_termination_responds_to_pending_and_new_requests() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            running_node(row("a", server.address)) as running,
        ):
            idle, busy = await running.client(), await running.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            running.node.terminate()
            answer = await idle.ask(target="/ready")
            assert (
                answer.status == 503 and "connection" not in answer.headers
            ), "clients may keep their connection for a while"
            assert await idle.ended(), "an idle connection stayed open"
            answer = await (await running.client()).ask(target="/ready")
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            answer = await (await running.client()).ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert not running.serving.done(), "the node ended with a request pending"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            await asyncio.wait_for(running.serving, WAIT_TIMEOUT_S)

    run(main())


def test_requests_pending_at_the_end_of_the_drain_get_500() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", deadline="30"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            running.node.terminate()
            running.node._requests.fail_remaining()
            assert (await client.answer()).status == 500
            server.release.set()

    run(main())


def test_connections_beyond_the_limit_are_rejected_and_idle_ones_closed() -> None:
    async def main() -> None:
        async with (
            StubServer([unresponsive]) as server,
            running_node(row("a", server.address), sockets=64) as running,
        ):
            running.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            max_connections = running.node._listener._max_connections
            idle = await running.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy = [await running.client() for _ in range(max_connections)]
            assert await idle.ended(), "the idle connection was not closed"
            for client in busy:
                client.writer.write(request("look", deadline="5"))
            while len(running.node._requests.pending) < max_connections:
                await asyncio.sleep(0)
            answer = await (await running.client()).ask("look")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(running.node._requests.pending) == max_connections
            server.release.set()
            for client in busy:
                client.close()

    run(main())


class SilentTransport(asyncio.Transport):
    """A transport on which nothing is written."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


def test_idle_connection_that_is_being_closed_does_not_count_against_the_limit() -> None:
    """Guards against rejecting a request while an idle connection is being closed to make room for it."""

    async def main() -> None:
        async with running_node(sockets=64) as running:
            listener = running.node._listener
            unused, *used = [await running.client() for _ in range(listener._max_connections)]
            for client in used:
                await client.ask(target="/ready")
            newest = ClientConnection(listener)
            newest.connection_made(SilentTransport())
            assert not listener.over_limit()
            assert await unused.ended()
            listener.closed(newest)

    run(main())


def test_settings_of_the_stubs_are_read_completely() -> None:
    """Guards the tests in this file: with a renamed key, the default would silently be used."""
    names = {c["name"] for c in settings()["profiles"]}

    async def main() -> None:
        async with running_node(row("a", f"{HOST}:1")) as running:
            assert {c.name for c in running.node._config.settings.classes} == names
            assert running.node._config.settings.poll_for_list

    run(main())


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ('{"outstanding":7.5,"backlog":2,"more":1}', (7.5, 2.0)),
        ('{"outstanding":7}', ()),
        ('{"outstanding":"many","backlog":2}', ()),
        ('{"outstanding":-1,"backlog":2}', ()),
        ('{"outstanding":NaN,"backlog":2}', ()),
        ("[1,2]", ()),
        ("7 requests", ()),
        ("[" * 9000, ()),
    ],
)
def test_load_report_reaches_the_module_and_an_invalid_one_is_ignored(
    text: str, load: tuple[float, ...]
) -> None:
    async def main() -> None:
        behaviour = reply("200 OK", b"fine", extra=f"X-Load: {text}\r\n")
        columns = {"columns": ["outstanding", "backlog"], "how": "inline"}
        async with (
            StubServer([behaviour]) as server,
            running_node(row("a", server.address), loadInfo=columns) as running,
        ):
            events = _record_events(running.node._balancer)
            assert (await (await running.client()).ask("look")).body == b"fine"
            assert [e.load for e in events if isinstance(e, AttemptEnded)] == [load]

    run(main())


def test_a_server_is_told_less_time_than_is_left_by_the_time_of_the_transfer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a deadline that is too late by the time in which the request reaches the server."""
    transfer_s = 0.25
    monkeypatch.setattr(attempt, "TRANSFER_S", transfer_s)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            for deadline_s in (1.0, 0.5 * transfer_s):
                await (await running.client()).ask("book", deadline=f"{deadline_s}")
            told = [float(each.headers["x-deadline"]) for each in server.received]
            assert told[0] <= 1.0 - transfer_s
            assert told[1] == attempt.MIN_TOLD_DEADLINE_S

    run(main())
