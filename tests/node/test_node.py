"""A node between stub callers, servers and discovery, on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from crowpost.decision_api import Action, AttemptEnded, Event, RequestAbandoned
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


def test_a_served_request_passes_through_unchanged() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", BODY)]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            answer = await client.ask("move", target="/api/k1?x=%20y", body=BODY, deadline="2.5")
            assert (answer.status, answer.body) == (200, BODY)
            (got,) = server.received
            assert (got.method, got.target, got.body) == ("POST", "/api/k1?x=%20y", BODY)
            assert got.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert got.headers["idempotency-key"] == "5c0f6e1a2b3d4c59"
            assert 0.0 < float(got.headers["x-deadline"]) < 2.5
            w.age(REUSE_DELAY_S)
            assert (await client.ask("look")).status == 200
            assert server.opened == 1, "the idle connection was not used again"

    run(main())


def test_what_every_server_turns_away_is_refused_with_a_time_to_come_back() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with StubServer([full]) as server, running_node(row("a", server.address)) as w:
            answer = await (await w.client()).ask("book")
            assert answer.status == 503
            assert 0.0 < float(answer.headers["retry-after"]) <= 2.0

    run(main())


def test_a_turned_away_unsafe_request_goes_to_another_server() -> None:
    async def main() -> None:
        full = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
        async with (
            StubServer([full, reply("200 OK", b"b")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            assert (await (await w.client()).ask("book")).status == 200
            assert len(server.received) == 2

    run(main())


@pytest.mark.parametrize("behaviour", [reply("500 Internal Server Error"), reset, raw(b"nonsense\r\n\r\n")])
def test_an_unsafe_request_that_may_have_run_fails_and_is_never_sent_again(behaviour: object) -> None:
    async def main() -> None:
        async with (
            StubServer([behaviour]) as one,  # type: ignore[list-item]
            StubServer([behaviour]) as two,  # type: ignore[list-item]
            running_node(row("a", one.address), row("b", two.address)) as w,
        ):
            answer = await (await w.client()).ask("book", body=b"slot")
            assert answer.status == 502
            assert "retry-after" not in answer.headers
            assert len(one.received) + len(two.received) == 1

    run(main())


def test_an_idle_connection_that_breaks_after_the_write_is_no_reason_to_send_again() -> None:
    """Guards against the silent resend on a fresh connection that HTTP clients do."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK"), reset]) as server,
            running_node(row("a", server.address)) as w,
        ):
            client = await w.client()
            assert (await client.ask("book")).status == 200
            w.age(REUSE_DELAY_S)
            assert (await client.ask("book")).status == 502
            assert (len(server.received), server.opened) == (2, 1)

    run(main())


def test_a_client_that_leaves_ends_its_attempt_and_gets_nothing() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as w:
            events = _record(w.node._balancer)
            client = await w.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            client.close()
            while not any(isinstance(event, RequestAbandoned) for event in events):
                await asyncio.sleep(0)
            server.release.set()
            await asyncio.wait_for(server.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert not w.node._requests.pending and not w.node._requests.calls

    run(main())


def _record(balancer: object) -> list[Event]:
    events: list[Event] = []
    handle = balancer.handle  # type: ignore[attr-defined]

    def recording(event: Event, now: float) -> list[Action]:
        events.append(event)
        actions: list[Action] = handle(event, now)
        return actions

    balancer.handle = recording  # type: ignore[attr-defined]
    return events


@pytest.mark.parametrize(("kind", "status"), [("book", 502), ("look", 503)])
def test_an_answer_comes_before_the_deadline_though_the_server_is_silent(kind: str, status: int) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            begin = asyncio.get_running_loop().time()
            answer = await client.ask(kind, deadline="0.6")
            assert asyncio.get_running_loop().time() - begin < 0.6 + 0.05, "later than the rule allows"
            assert answer.status == status
            assert len(server.received) == 1
            server.release.set()

    run(main())


def test_late_bytes_of_an_attempt_that_was_given_up_reach_no_other_request() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK", b"old")), reply("200 OK", b"new")]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            assert (await client.ask("book", deadline="0.3")).status == 502
            server.release.set()
            assert (await client.ask("book")).body == b"new"
            assert server.opened == 2

    run(main())


def test_a_module_that_owes_an_answer_is_overruled_just_before_the_deadline(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as w:
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            answer = await (await w.client()).ask("look", deadline="0.3")
            assert answer.status == 500
            assert "not answered in time" in caplog.text

    run(main())


def test_a_fault_in_one_request_fails_that_request_alone() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"fine")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            handle = w.node._balancer.handle

            def faulty(event: Event, now: float) -> list[Action]:
                w.node._balancer.handle = handle  # type: ignore[method-assign]
                raise RuntimeError("planted")

            w.node._balancer.handle = faulty  # type: ignore[method-assign]
            client = await w.client()
            assert (await client.ask("look")).status == 500
            assert (await client.ask("look")).body == b"fine"

    run(main())


def test_an_event_that_an_action_brings_waits_until_the_module_has_returned() -> None:
    """A call that ends while its Send is carried out must not reach the module inside a decision."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            handle, inside, seen = w.node._balancer.handle, False, 0

            def watched(event: Event, now: float) -> list[Action]:
                nonlocal inside, seen
                assert not inside, "an event came while the module was deciding"
                inside, seen = True, seen + 1
                if seen == 1:
                    w.node._events.post(RequestAbandoned(99))
                actions = handle(event, now)
                inside = False
                return actions

            w.node._balancer.handle = watched  # type: ignore[method-assign]
            assert (await (await w.client()).ask("look")).status == 200
            assert seen >= 3, "the event that came in between was dropped"

    run(main())


def test_a_drained_server_gets_nothing_new_and_its_idle_connections_close() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            running_node(row("a", one.address)) as w,
        ):
            client = await w.client()
            assert (await client.ask("look")).body == b"a"
            watch = await w.discovery.watch()
            send_line(
                watch, listing(2, row("a", one.address, "DRAINING"), row("b", two.address), reset=False)
            )
            await asyncio.wait_for(one.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert {(await client.ask("look")).body for _ in range(5)} == {b"b"}
            assert len(one.received) == 1

    run(main())


def test_a_restarted_server_is_called_at_its_new_address_over_new_connections() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"old")]) as old,
            StubServer([reply("200 OK", b"new")]) as new,
            running_node(row("a", old.address)) as w,
        ):
            client = await w.client()
            assert (await client.ask("look")).body == b"old"
            watch = await w.discovery.watch()
            send_line(watch, listing(2, row("a", new.address, started=1000.0)))
            await asyncio.wait_for(old.connection_ended.wait(), WAIT_TIMEOUT_S)
            assert (await client.ask("look")).body == b"new"

    run(main())


@pytest.mark.parametrize("breaks", ["reset", "bad line", "bad list"])
def test_a_broken_watch_is_a_failed_list_and_is_asked_for_again_from_where_it_was(breaks: str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            watch = await w.discovery.watch()
            send_line(watch, listing(41, row("a", server.address)))
            if breaks == "reset":
                await watch.drain()
                watch.close()
            else:
                send_line(watch, b"{nonsense" if breaks == "bad line" else b'{"generation":42,"reset":true}')
            again = await w.discovery.watch()
            assert w.discovery.targets == ["/v1/endpoints?watch=1&from=1", "/v1/endpoints?watch=1&from=41"]
            send_line(again, listing(42, reset=False))
            assert (await (await w.client()).ask("look")).status == 200, "the last list remains"

    run(main())


def test_a_pushed_list_is_watched_unasked_and_again_after_a_break() -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed") as w,
        ):
            events = _record(w.node._balancer)
            (await w.discovery.watch()).close()
            watch = await w.discovery.watch()
            client = await w.client()
            assert (await client.ask(target="/ready")).status == 503, "no list yet"
            send_line(watch, listing(5, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            assert (await client.ask(target="/ready")).status == 200
            assert (await client.ask("look")).status == 200

    run(main())


def test_a_silent_watch_is_replaced_before_its_news_counts_as_told() -> None:
    """Guards against sends to a server that drained six seconds ago, while the watch was given seven."""

    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as w:
            watch = await w.discovery.watch()
            timer = w.node._discovery._timer
            send_line(watch, b"")
            while w.node._discovery._timer is timer:
                await asyncio.sleep(0)
            timer = w.node._discovery._timer
            assert timer is not None
            assert timer.when() - asyncio.get_running_loop().time() + MAX_BACKOFF_S < 6.0

    run(main())


def test_a_watch_that_stalls_from_the_start_is_replaced_sooner() -> None:
    """News counts as told 4 s after SIGHUP, and 2 s after a new process beside another is ready."""

    async def main() -> None:
        guarantees = settings()["guarantees"] | {"mustAskInMs": 10_000.0}
        async with running_node(known=False, registryMode="pushed", guarantees=guarantees) as w:
            await w.discovery.watch()
            timer = w.node._discovery._timer
            assert timer is not None
            left = timer.when() - asyncio.get_running_loop().time()
            assert left + MIN_BACKOFF_S < FIRST_LIST_TIMEOUT_S + 2.0 < 4.0

    run(main())


def test_a_failing_agent_is_watched_anew_with_jittered_pauses_that_grow() -> None:
    """All nodes lose discovery at once: they must not come back in step, nor four times a second."""

    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as w:
            discovery = w.node._discovery
            await w.discovery.watch()
            pauses = []
            for _ in range(5):
                discovery._fail()
                assert discovery._timer is not None
                pauses.append(discovery._timer.when() - asyncio.get_running_loop().time())
            for pause, longest in zip(pauses, (0.25, 0.5, 1.0, 1.0, 1.0), strict=True):
                assert 0.4 * longest < pause <= longest + 0.01
            assert pauses[2] != pytest.approx(pauses[3], abs=0.001)
            watch = await w.discovery.watch()
            send_line(watch, b"")
            while discovery._failures:
                await asyncio.sleep(0)
            discovery._fail()
            assert discovery._timer is not None
            assert discovery._timer.when() - asyncio.get_running_loop().time() <= MIN_BACKOFF_S + 0.01

    run(main())


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_discovery_that_has_moved_is_watched_at_its_new_address(tmp_path: Path, mode: str) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with (
            StubServer([reply("200 OK")]) as server,
            StubDiscovery() as new,
            running_node(known=False, registryMode=mode, path=str(path)) as w,
        ):
            if mode == "on_request":
                w.node._discovery.subscribe()
            watch = await w.discovery.watch()
            events = _record(w.node._balancer)
            send_line(watch, listing(7, row("a", server.address)))
            while not events:
                await asyncio.sleep(0)
            path.write_text(json.dumps({"discovery": new.address}))
            w.node.reconfigure()
            watch = await new.watch()
            assert new.targets == ["/v1/endpoints?watch=1&from=7"]
            send_line(watch, listing(8, row("a", server.address, "DRAINING"), reset=False))
            await asyncio.wait_for(_no_server(w), WAIT_TIMEOUT_S)

    run(main())


async def _no_server(w: RunningNode) -> None:
    client = await w.client()
    while (await client.ask(target="/ready")).status != 503:
        pass


@pytest.mark.parametrize("text", ["{nonsense", "{}", '{"discovery": "nowhere"}'])
def test_a_configuration_that_cannot_be_read_anew_leaves_discovery_where_it_was(
    tmp_path: Path, text: str
) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        path.write_text(text)
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed", path=str(path)) as w,
        ):
            watch = await w.discovery.watch()
            w.node.reconfigure()
            send_line(watch, listing(7, row("a", server.address)))
            client = await w.client()
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
def test_bad_input_is_answered_at_once_and_not_sent_on(bad: bytes, status: int) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(bad)
            assert (await client.answer()).status == status
            assert not server.received
            assert (await (await w.client()).ask("look")).status == 200

    run(main())


async def _only_connection(w: RunningNode) -> ClientConnection:
    while not w.node._listener._connections:
        await asyncio.sleep(0)
    (connection,) = w.node._listener._connections
    return connection


def test_a_peer_that_says_nothing_is_closed_soon() -> None:
    """Guards against silent peers that hold the descriptors of callers: they filled them in five seconds."""

    async def main() -> None:
        async with running_node() as w:
            peer = await w.client()
            (await _only_connection(w)).opened_at -= FIRST_BYTE_TIMEOUT_S
            assert await peer.ended()

    run(main())


def test_a_request_that_does_not_come_in_whole_gets_an_error_soon() -> None:
    async def main() -> None:
        async with running_node() as w:
            peer = await w.client()
            peer.writer.write(request("book", body=BODY)[:-1])
            connection = await _only_connection(w)
            while not connection._parser.in_message:
                await asyncio.sleep(0)
            connection.opened_at -= FIRST_BYTE_TIMEOUT_S
            answer = await peer.answer()
            assert (answer.status, answer.headers["connection"]) == (408, "close")
            assert await peer.ended()

    run(main())


def test_a_caller_that_has_sent_a_request_may_stay_idle() -> None:
    async def main() -> None:
        async with running_node() as w:
            await (await w.client()).ask(target="/ready")
            connection = await _only_connection(w)
            assert not connection.has_timed_out(connection.opened_at + 1000.0)

    run(main())


@pytest.mark.parametrize("hint", ["much", "0", "inf", "250000"])
def test_a_cost_hint_is_only_a_guess(hint: str) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as w:
            answer = await (await w.client()).ask("look", extra=f"X-Cost-Hint: {hint}\r\n")
            assert answer.status == 200

    run(main())


def test_bodies_beyond_the_memory_are_refused_and_give_it_back_when_done() -> None:
    """Guards against being killed for memory by callers that send large bodies all at once."""

    async def main() -> None:
        async with (
            StubServer([unresponsive, reply("200 OK")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            w.node._listener.budget.limit = 150
            first = await w.client()
            first.writer.write(request("book", body=b"x" * 100))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            answer = await (await w.client()).ask("book", body=b"x" * 100)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(server.received) == 1
            first.close()
            while w.node._requests.pending:
                await asyncio.sleep(0)
            assert (await (await w.client()).ask("book", body=b"x" * 100)).status == 200
            server.release.set()

    run(main())


def test_terminating_closes_only_after_the_last_of_requests_in_a_row() -> None:
    async def main() -> None:
        behaviours = [held(reply("200 OK")), held(reply("200 OK"))]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(request("look") + request("look"))
            while len(w.node._requests.pending) < 2:
                await asyncio.sleep(0)
            w.node.terminate()
            server.release.set()
            answers = [await client.answer(), await client.answer()]
            assert [answer.status for answer in answers] == [200, 200]

    run(main())


def test_requests_in_a_row_on_one_connection_are_answered_in_their_order() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
        async with StubServer(behaviours) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
            bodies = [(await client.answer()).body for _ in range(8)]
            by_target = {got.target: b"%d" % i for i, got in enumerate(server.received)}
            assert bodies == [by_target[f"/api/{i}"] for i in range(8)]

    run(main())


def test_terminating_answers_what_is_here_and_what_still_comes() -> None:
    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first")), reply("200 OK", b"second")]) as server,
            running_node(row("a", server.address)) as w,
        ):
            idle, busy = await w.client(), await w.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            w.node.terminate()
            answer = await idle.ask(target="/ready")
            assert (
                answer.status == 503 and "connection" not in answer.headers
            ), "callers may go on for a while"
            assert await idle.ended(), "an idle connection stayed open"
            answer = await (await w.client()).ask(target="/ready")
            assert (answer.status, answer.headers["connection"]) == (503, "close")
            answer = await (await w.client()).ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"second", "close")
            assert not w.serving.done(), "it ended with a request open"
            server.release.set()
            answer = await busy.answer()
            assert (answer.body, answer.headers["connection"]) == (b"first", "close")
            await asyncio.wait_for(w.serving, WAIT_TIMEOUT_S)

    run(main())


def test_what_is_still_open_when_the_time_runs_out_is_failed_not_dropped() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as w:
            client = await w.client()
            client.writer.write(request("book", deadline="30"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            w.node.terminate()
            w.node._requests.fail_remaining()
            assert (await client.answer()).status == 500
            server.release.set()

    run(main())


def test_more_callers_than_descriptors_are_refused_and_idle_ones_make_way() -> None:
    async def main() -> None:
        async with (
            StubServer([unresponsive]) as server,
            running_node(row("a", server.address), sockets=64) as w,
        ):
            w.node._balancer.handle = lambda event, now: []  # type: ignore[method-assign]
            most = w.node._listener._max_connections
            idle = await w.client()
            assert (await idle.ask(target="/ready")).status == 200
            busy = [await w.client() for _ in range(most)]
            assert await idle.ended(), "the idle connection did not make way"
            for client in busy:
                client.writer.write(request("look", deadline="5"))
            while len(w.node._requests.pending) < most:
                await asyncio.sleep(0)
            answer = await (await w.client()).ask("look")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(w.node._requests.pending) == most
            server.release.set()
            for client in busy:
                client.close()

    run(main())


def test_an_idle_connection_that_makes_way_no_longer_counts() -> None:
    """Guards against refusing a request in the moment in which an idle connection is being closed."""

    async def main() -> None:
        async with running_node(sockets=64) as w:
            clients = w.node._listener
            silent_peer, *used = [await w.client() for _ in range(clients._max_connections)]
            for client in used:
                await client.ask(target="/ready")
            newest = ClientConnection(clients)
            newest.connection_made(asyncio.Transport())
            assert not clients.over_limit()
            assert await silent_peer.ended()
            clients.closed(newest)

    run(main())


def test_the_settings_of_the_stubs_are_read_whole() -> None:
    """Guards the tests here: a renamed key would silently become a default."""
    names = {c["name"] for c in settings()["profiles"]}

    async def main() -> None:
        async with running_node(row("a", f"{HOST}:1")) as w:
            assert {c.name for c in w.node._config.settings.classes} == names
            assert w.node._config.settings.poll_for_list

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
def test_a_load_report_reaches_the_module_and_a_broken_one_spoils_nothing(
    text: str, load: tuple[float, ...]
) -> None:
    async def main() -> None:
        behaviour = reply("200 OK", b"fine", extra=f"X-Load: {text}\r\n")
        columns = {"columns": ["outstanding", "backlog"], "how": "inline"}
        async with (
            StubServer([behaviour]) as server,
            running_node(row("a", server.address), loadInfo=columns) as w,
        ):
            events = _record(w.node._balancer)
            assert (await (await w.client()).ask("look")).body == b"fine"
            assert [e.load for e in events if isinstance(e, AttemptEnded)] == [load]

    run(main())
