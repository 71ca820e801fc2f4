"""What comes between two lines: requests, answers, signals, timers and ends of streams that cross.

Each crossing is forced by hand-made peers and by dials that wait to be let through: docs/crossings.md.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    EndpointList,
    Event,
    ListKind,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    Send,
)
from crowpost.node.discovery.client import MAX_BACKOFF_S
from crowpost.node.downstream.pipeline import MAX_CONCURRENT, MAX_PIPELINED
from crowpost.node.http.message import MAX_BODY
from crowpost.node.node import Node
from crowpost.node.upstream.pool import REUSE_DELAY_S
from tests.node.stubs import (
    HOST,
    PATIENCE_S,
    Received,
    StubDiscovery,
    StubServer,
    World,
    held,
    listing,
    reply,
    request,
    row,
    run,
    settings,
    silent,
    tell,
    world,
)

LONG_DIAL_MS = 1000.0 * PATIENCE_S


def limits(**changes: Any) -> dict[str, Any]:
    """What the settings allow, with dials that may take long."""
    return {**settings()["policyLimits"], "connectTimeoutMs": LONG_DIAL_MS, **changes}


class HeldDials:
    """The loop of a node's server side, with dials that go on only once released."""

    def __init__(self, w: World) -> None:
        self._loop = asyncio.get_running_loop()
        self.waiting = asyncio.Semaphore(0)  # counts the dials that have begun
        self.release = asyncio.Event()
        w.node._pool._loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any) -> Any:
        self.waiting.release()
        await self.release.wait()
        return await self._loop.create_connection(*args)

    async def begun(self) -> None:
        await asyncio.wait_for(self.waiting.acquire(), PATIENCE_S)


class Told:
    """The events that a node hands its module, and what a stand-in for the module decides."""

    def __init__(self, w: World, decide: Callable[[Event, float], list[Action]] | None = None) -> None:
        self.events: list[Event] = []
        handle = decide or w.node._balancer.handle

        def recording(event: Event, now: float) -> list[Action]:
            self.events.append(event)
            return handle(event, now)

        w.node._balancer.handle = recording  # type: ignore[method-assign]

    async def first(self, kind: type[Event]) -> Any:
        """The first event of this kind, once it has come."""

        async def wait() -> Event:
            while True:
                for event in self.events:
                    if isinstance(event, kind):
                        return event
                await asyncio.sleep(0)

        return await asyncio.wait_for(wait(), PATIENCE_S)


# ---------------------------------------------------------------- dials


@pytest.mark.parametrize("restarted", [False, True])
def test_a_server_that_drains_or_restarts_during_a_dial_is_sent_nothing(restarted: bool) -> None:
    """Guards against a send as long after the drain as a dial may take."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), policyLimits=limits()) as w,
        ):
            dials, told = HeldDials(w), Told(w)
            caller = await w.caller()
            caller.writer.write(request("book"))
            await dials.begun()
            now = (
                row("a", server.address, started=1000.0)
                if restarted
                else row("a", server.address, "DRAINING")
            )
            tell(await w.discovery.watch(), listing(2, now, reset=False))
            while w.node._discovery._version != 2:
                await asyncio.sleep(0)
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            if not restarted:
                assert (await caller.answer()).status == 503
                assert server.received == []

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_a_request_whose_caller_leaves_during_a_dial_is_not_sent(cancel: bool) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), policyLimits=limits(cancel=cancel)) as w,
        ):
            dials, told = HeldDials(w), Told(w)
            caller = await w.caller()
            caller.writer.write(request("look", target="/api/left"))
            await dials.begun()
            caller.close()
            await told.first(RequestAbandoned)
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED)
            while w.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert (await (await w.caller()).ask("look", target="/api/next")).status == 200
            assert [got.target for got in server.received] == ["/api/next"]
            assert server.opened == 1, "the connection that came up was not kept"

    run(main())


def test_a_request_that_has_its_answer_is_not_sent_again_by_a_dial_that_ends_later() -> None:
    """Where attempts may not be cancelled, a copy that waits for its dial is still no copy to be sent."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"first")]) as one,
            StubServer([reply("200 OK", b"second")]) as two,
            world(row("a", one.address), row("b", two.address), policyLimits=limits(cancel=False)) as w,
        ):

            def decide(event: Event, now: float) -> list[Action]:
                both = (
                    [Send(event.request, b"a"), Send(event.request, b"b")]
                    if isinstance(event, RequestArrived)
                    else []
                )
                return list(both)

            # A connection to the first is there; the second has to be dialled.
            assert w.node._pool.has_endpoints()
            caller = await w.caller()
            while not one.received:
                assert (await caller.ask("look")).status == 200
            before = len(two.received)
            w.node._pool.close_idle(b"b")
            dials, told = HeldDials(w), Told(w, decide)
            assert (await caller.ask("look")).body == b"first"
            await dials.begun()
            dials.release.set()
            while sum(isinstance(event, AttemptEnded) for event in told.events) < 2:
                await asyncio.sleep(0)
            outcomes = {event.outcome for event in told.events if isinstance(event, AttemptEnded)}
            assert outcomes == {Outcome.OK, Outcome.NOT_SENT}
            assert len(two.received) == before

    run(main())


def test_a_repeat_whose_window_closes_during_its_dial_is_not_sent() -> None:
    """Rule 2 counts the write, and the module decides a whole dial before it."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), policyLimits=limits()) as w,
        ):

            def decide(event: Event, now: float) -> list[Action]:
                if isinstance(event, RequestArrived):
                    return [Send(event.request, b"a", before_ms=now + 2000.0)]
                return []

            dials, told = HeldDials(w), Told(w, decide)
            caller = await w.caller()
            caller.writer.write(request("move"))
            await dials.begun()
            w.node._clock._base += 2.0
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome is Outcome.NOT_SENT
            assert server.received == []

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_a_request_whose_caller_leaves_during_a_probe_is_not_sent(cancel: bool) -> None:
    """The idle connection that is being probed is kept for the next."""

    async def main() -> None:
        behaviours = [reply("200 OK"), held(reply("200 OK")), reply("200 OK")]
        async with (
            StubServer(behaviours) as server,
            world(row("a", server.address), policyLimits=limits(cancel=cancel)) as w,
        ):
            caller = await w.caller()
            assert (await caller.ask("look", target="/api/first")).status == 200
            w.age(10.0)
            w.node._pool.keep_alive.record_early_close(1.0, asyncio.get_running_loop().time())
            told = Told(w)
            caller.writer.write(request("book", target="/api/left"))
            while len(server.received) < 2:
                await asyncio.sleep(0)
            caller.close()
            await told.first(RequestAbandoned)
            server.release.set()
            await told.first(AttemptEnded)
            while not w.node._pool._idle_connections():
                await asyncio.sleep(0)
            w.age(REUSE_DELAY_S)
            assert (await (await w.caller()).ask("look", target="/api/next")).status == 200
            assert [got.target for got in server.received] == ["/api/first", "/health", "/api/next"]
            assert server.opened == 1

    run(main())


# ---------------------------------------------------------------- what follows an answer


async def twice(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
    """Answer, and answer again once told to, whatever has been asked meanwhile."""
    await reply("200 OK", b"right")(server, received, writer)
    await server.release.wait()
    await reply("200 OK", b"stray")(server, received, writer)


@pytest.mark.parametrize("probed", [False, True])
def test_a_second_answer_that_comes_late_meets_no_other_request(
    probed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the next call on that connection being answered by it, after a probe as well."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", PATIENCE_S)

    async def main() -> None:
        async with (
            StubServer(
                [reply("200 OK"), twice, reply("200 OK", b"own")]
                if probed
                else [twice, reply("200 OK", b"own")]
            ) as server,
            world(row("a", server.address)) as w,
        ):
            caller = await w.caller()
            if probed:
                assert (await caller.ask("look")).status == 200
                w.age(2 * PATIENCE_S)
                w.node._pool.keep_alive.record_early_close(0.0, asyncio.get_running_loop().time())
                caller.writer.write(request("book"))
                while len(server.received) < 2:
                    await asyncio.sleep(0)
            else:
                assert (await caller.ask("look")).body == b"right"
                caller.writer.write(request("book"))
                while not w.node._requests.pending:
                    await asyncio.sleep(0)
            server.release.set()
            assert (await caller.answer()).body == b"own"
            assert server.opened == 2

    run(main())


# ---------------------------------------------------------------- callers that leave unseen


@pytest.mark.parametrize("rows", [2, MAX_PIPELINED, 500])
def test_a_caller_that_sends_many_requests_at_once_and_leaves_is_seen_to_leave(rows: int) -> None:
    """Guards against requests sent on long after, since a connection with two of them was read no further."""

    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            told = Told(w)
            caller = await w.caller()
            caller.writer.write(request("look"))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            caller.writer.write(request("look") * rows)
            while len(w.node._requests.pending) < MAX_CONCURRENT:
                await asyncio.sleep(0)
            caller.close()
            while w.node._requests.pending:
                await asyncio.sleep(0)
            taken = sum(isinstance(event, RequestArrived) for event in told.events)
            assert taken == MAX_CONCURRENT, "what waits behind others was handed on"
            server.release.set()

    run(main())


def test_what_is_behind_a_flood_of_requests_is_not_taken_and_the_connection_ends() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("look") * (3 * MAX_PIPELINED))
            answers = [(await caller.answer()).status for _ in range(MAX_PIPELINED)]
            assert answers == [200] * MAX_PIPELINED
            assert await caller.ended()
            assert len(server.received) == MAX_PIPELINED

    run(main())


def test_of_a_flood_of_wrong_requests_only_the_first_is_looked_at(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a tenth of a second of a node's core for each piece that a bad caller sends."""

    async def main() -> None:
        async with world() as w:
            caller = await w.caller()
            caller.writer.write(request("nosuch") * 600)
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (400, "close")
            assert await caller.ended()

    with caplog.at_level("INFO"):
        run(main())
    assert caplog.text.count("is not served") == 1


def test_bodies_that_wait_behind_others_are_bounded() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("look") * MAX_CONCURRENT)
            caller.writer.write(request("book", body=b"x" * (MAX_BODY // 2)) * 8)
            while not w.node._listener._connections:
                await asyncio.sleep(0)
            (connection,) = w.node._listener._connections
            while not connection._malformed:
                await asyncio.sleep(0)
            waiting = [e.message for e in connection._exchanges if e.message is not None]
            assert 0 < sum(len(message.body) for message in waiting) <= MAX_BODY
            caller.close()
            server.release.set()

    run(main())


def test_a_long_body_that_would_wait_behind_others_is_not_taken_and_the_connection_ends() -> None:
    """What it holds is counted only once it is worked on; uncounted, a few hundred would fill the memory."""

    async def main() -> None:
        async with StubServer([held(reply("200 OK"))]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            long = request("book", body=b"x" * (4 * MAX_BODY))
            caller.writer.write(request("look") * MAX_CONCURRENT + long)
            while not w.node._listener._connections:
                await asyncio.sleep(0)
            (connection,) = w.node._listener._connections
            while not connection._malformed:
                await asyncio.sleep(0)
            server.release.set()
            assert [(await caller.answer()).status for _ in range(MAX_CONCURRENT)] == [200, 200]
            assert await caller.ended()
            assert len(server.received) == MAX_CONCURRENT

    run(main())


def test_time_spent_behind_another_request_counts() -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            told = Told(w)
            caller = await w.caller()
            caller.writer.write(request("look", deadline="0.4") * (MAX_CONCURRENT + 1))
            answers = [(await caller.answer()).status for _ in range(MAX_CONCURRENT + 1)]
            assert set(answers) == {503}
            arrivals = [event for event in told.events if isinstance(event, RequestArrived)]
            assert arrivals[0].budget_ms > 300.0
            assert arrivals[-1].budget_ms < 100.0
            server.release.set()

    run(main())


@pytest.mark.parametrize("ends", ["abort", "close"])
def test_a_caller_that_leaves_while_its_long_body_waits_is_seen_to_leave(ends: str) -> None:
    """Its connection is not read then: what it has sent may fill memory."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), policyLimits=limits()) as w,
        ):
            dials, told = HeldDials(w), Told(w)
            caller = await w.caller()
            whole = request("book", body=b"x" * (8 * MAX_BODY))
            caller.writer.write(whole[: 2 * MAX_BODY])
            await dials.begun()
            if ends == "abort":
                caller.close()
            else:
                caller.writer.close()
            await told.first(RequestAbandoned)
            dials.release.set()
            while w.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert server.received == []

    run(main())


# ---------------------------------------------------------------- watches on the list


@pytest.mark.parametrize("indent", [1, 4, "\t"])
def test_a_list_may_come_indented_over_several_lines(indent: int | str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(known=False, registryMode="pushed") as w,
        ):
            told = Told(w)
            watch = await w.discovery.watch()
            rows = [row("a", server.address), row("b", server.address, "DRAINING")]
            tell(watch, json.dumps(listing(7, *rows), indent=indent).encode())
            tell(watch, listing(8, reset=False))
            while w.node._discovery._version != 8:
                await asyncio.sleep(0)
            assert (await told.first(EndpointList)).kind is ListKind.FULL
            assert w.discovery.targets == ["/v1/endpoints?watch=1&from=0"]

    run(main())


def test_a_watch_that_trickles_within_a_list_is_as_good_as_silent() -> None:
    async def main() -> None:
        async with world(known=False, registryMode="pushed") as w:
            watch = await w.discovery.watch()
            tell(watch, b"")
            while w.node._discovery._timer is None or w.node._discovery._failures:
                await asyncio.sleep(0)
            (current,) = [w.node._discovery._watch]
            assert current is not None
            timer = w.node._discovery._timer
            for line in (b"{", b'  "generation": 7,', b"", b'  "reset": true,'):
                current._on_line(line)
            assert current.objects.in_object()
            assert w.node._discovery._timer is timer

    run(main())


def test_a_line_that_belongs_to_no_list_ends_a_watch_within_one() -> None:
    async def main() -> None:
        async with world(known=False, registryMode="pushed") as w:
            watch = await w.discovery.watch()
            tell(watch, b'{\n  "generation": 7,\n  nonsense }')
            await w.discovery.watch()

    run(main())


def test_a_late_line_of_a_watch_that_was_given_up_says_nothing() -> None:
    """Two watches may be alive for a moment: only the last one's word counts."""

    async def main() -> None:
        async with world(known=False, registryMode="pushed") as w:
            told = Told(w)
            await w.discovery.watch()
            before = w.node._discovery._watch
            assert before is not None
            w.node._discovery.subscribe()
            await w.discovery.watch()
            assert w.node._discovery._watch is not before
            before._on_line(json.dumps(listing(9)).encode())
            before.connection_lost(None)
            assert not told.events and w.node._discovery._version == 0
            assert w.node._discovery._watch is not None

    run(main())


@pytest.mark.parametrize("state", ["waiting to watch again", "a call is out", "a watch is silent"])
def test_sighup_leaves_one_watch_whatever_goes_on(state: str, tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with (
            StubDiscovery() as moved,
            world(known=False, registryMode="pushed", path=str(path)) as w,
        ):
            discovery = w.node._discovery
            path.write_text(json.dumps({"discovery": moved.address}))
            if state != "a call is out":
                await w.discovery.watch()
            if state == "waiting to watch again":
                discovery._fail()
            w.node.reconfigure()
            tell(await moved.watch(), listing(3))
            while discovery._version != 3:
                await asyncio.sleep(0)
            assert moved.targets == ["/v1/endpoints?watch=1&from=0"]
            timer = discovery._timer
            assert timer is not None and timer.when() - asyncio.get_running_loop().time() > MAX_BACKOFF_S

    run(main())


# ---------------------------------------------------------------- ends


@pytest.mark.parametrize("way", ["accepted", "dialled", "adopted", "watch"])
def test_small_writes_are_not_held_back(way: str) -> None:
    """A close over unread bytes would take with it what the system has not sent yet."""

    async def main() -> None:
        with socket.create_server((HOST, 0)) as listener:
            descriptor = os.dup(listener.fileno()) if way == "adopted" else None
            async with (
                StubServer([reply("200 OK")]) as server,
                world(row("a", server.address), accept_fd=descriptor, registryMode="pushed") as w,
            ):
                watch = await w.discovery.watch()
                tell(watch, listing(2, row("a", server.address)))
                caller = await w.caller()
                assert (await caller.ask("look")).status == 200
                (accepted,) = w.node._listener._connections
                (dialled,) = w.node._pool._connections
                assert w.node._discovery._watch is not None
                ends = {"dialled": dialled._transport, "watch": w.node._discovery._watch.transport}
                transport = ends.get(way, accepted._transport)
                assert transport is not None
                end = transport.get_extra_info("socket")
                assert end.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run(main())


def test_a_long_answer_without_length_that_breaks_shows_so_to_an_old_caller() -> None:
    """To HTTP/1.0 the end of such an answer is the end of its connection: a reset is no end."""

    async def broken(server: StubServer, _: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (2 * MAX_BODY))
        await server.release.wait()
        end = writer.get_extra_info("socket")
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def main() -> None:
        async with StubServer([broken]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(request("look").replace(b"HTTP/1.1", b"HTTP/1.0"))
            head = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), PATIENCE_S)
            assert b"content-length" not in head.lower()
            await caller.reader.readexactly(2 * MAX_BODY)
            server.release.set()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(caller.reader.read(), PATIENCE_S)

    run(main())


def _end(w: World) -> None:
    w.node.stop()


def _close_idle(w: World) -> None:
    w.node._listener.close_idle(0.0)


@pytest.mark.parametrize("close", [_end, _close_idle])
def test_what_comes_as_a_connection_is_closed_is_not_taken(close: Callable[[World], None]) -> None:
    """Guards against a request read in the turn between the last look and the end: it would be lost."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            told = Told(w)
            caller = await w.caller()
            assert (await caller.ask(target="/ready")).status == 200
            (connection,) = w.node._listener._connections
            close(w)
            connection.data_received(request("look"))
            assert not told.events and not w.node._requests.pending
            assert await caller.ended()

    run(main())


# ---------------------------------------------------------------- crowds


@pytest.mark.parametrize("sent", [b"", b"GET /api", request("nosuch")])
def test_a_crowd_of_peers_that_are_no_callers_shuts_nobody_out(sent: bytes) -> None:
    """Whatever it has sent: nothing, a part of a head, or what was answered and closed from this side."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"served")]) as server,
            world(row("a", server.address), sockets=64) as w,
        ):
            callers = w.node._listener
            crowd = []
            for _ in range(callers._max_connections + 5):
                peer = await w.caller()
                crowd.append(peer)
                peer.writer.write(sent)
                if sent == request("nosuch"):
                    assert (await peer.answer()).status == 400
            while sum(c._parser.in_message or c._discarding for c in callers._connections) < (
                callers._max_connections if sent else 0
            ):
                await asyncio.sleep(0)
            assert len(callers._connections) <= callers._max_connections
            assert (await (await w.caller()).ask("look")).body == b"served"
            for peer in crowd:
                peer.close()

    run(main())


# ---------------------------------------------------------------- signals


@pytest.mark.parametrize("before_start", [False, True])
def test_sigterm_twice_beside_sighup_and_before_the_start_is_done_ends_in_order(
    before_start: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if before_start:
        start = Node.start

        async def told_to_end_first(node: Node) -> tuple[str, int]:
            node.terminate()
            return await start(node)

        monkeypatch.setattr(Node, "start", told_to_end_first)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            w.node.terminate()
            began = w.node._drain._began
            w.node.terminate()
            w.node.reconfigure()
            assert w.node._drain._began == began, "the second signal put the end off"
            assert (await caller.ask(target="/ready")).status == 503
            assert (await caller.ask("look")).status == 200
            assert await caller.ended()
            await asyncio.wait_for(w.serving, PATIENCE_S)

    run(main())
