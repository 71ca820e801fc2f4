"""Tests of races between requests, responses, signals, timers and the ends of connections.

Each race is forced by stub peers and by dials that are held until the test releases them: docs/crossings.md.
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
    WAIT_TIMEOUT_S,
    Received,
    RunningNode,
    StubDiscovery,
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
    unresponsive,
)

LONG_DIAL_MS = 1000.0 * WAIT_TIMEOUT_S


def limits(**changes: Any) -> dict[str, Any]:
    """Return the settings' policy limits, with a connect timeout that no test reaches."""
    return {**settings()["policyLimits"], "connectTimeoutMs": LONG_DIAL_MS, **changes}


class HeldDials:
    """Replaces the event loop of a node's upstream side, and holds dials until `release` is set."""

    def __init__(self, running: RunningNode) -> None:
        self._loop = asyncio.get_running_loop()
        # Counts the dials that have begun.
        self.waiting = asyncio.Semaphore(0)
        self.release = asyncio.Event()
        running.node._pool._loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any) -> Any:
        self.waiting.release()
        await self.release.wait()
        return await self._loop.create_connection(*args)

    async def begun(self) -> None:
        await asyncio.wait_for(self.waiting.acquire(), WAIT_TIMEOUT_S)


class EventRecorder:
    """Records the events that a node delivers to its decision module, which `decide` may replace."""

    def __init__(
        self, running: RunningNode, decide: Callable[[Event, float], list[Action]] | None = None
    ) -> None:
        self.events: list[Event] = []
        handle = decide or running.node._balancer.handle

        def recording(event: Event, now: float) -> list[Action]:
            self.events.append(event)
            return handle(event, now)

        running.node._balancer.handle = recording  # type: ignore[method-assign]

    async def first(self, kind: type[Event]) -> Any:
        """Return the first event of this kind, once it has been delivered."""

        async def wait() -> Event:
            while True:
                for event in self.events:
                    if isinstance(event, kind):
                        return event
                await asyncio.sleep(0)

        return await asyncio.wait_for(wait(), WAIT_TIMEOUT_S)


# ---------------------------------------------------------------- dials


@pytest.mark.parametrize("restarted", [False, True])
def test_a_server_that_drains_or_restarts_during_a_dial_is_sent_nothing(restarted: bool) -> None:
    """A dial may end long after its server began to drain; nothing may be sent on its connection."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), policyLimits=limits()) as running,
        ):
            dials, recorder = HeldDials(running), EventRecorder(running)
            client = await running.client()
            client.writer.write(request("book"))
            await dials.begun()
            updated = (
                row("a", server.address, started=1000.0)
                if restarted
                else row("a", server.address, "DRAINING")
            )
            send_line(await running.discovery.watch(), listing(2, updated, reset=False))
            while running.node._discovery._version != 2:
                await asyncio.sleep(0)
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome is Outcome.CONNECT_FAILED
            if not restarted:
                assert (await client.answer()).status == 503
                assert server.received == []

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_a_request_whose_client_disconnects_during_a_dial_is_not_sent(cancel: bool) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), policyLimits=limits(cancel=cancel)) as running,
        ):
            dials, recorder = HeldDials(running), EventRecorder(running)
            client = await running.client()
            client.writer.write(request("look", target="/api/left"))
            await dials.begun()
            client.close()
            await recorder.first(RequestAbandoned)
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED)
            while running.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert (await (await running.client()).ask("look", target="/api/next")).status == 200
            assert [got.target for got in server.received] == ["/api/next"]
            assert server.opened == 1, "the connection that was established was not kept"

    run(main())


def test_an_answered_request_is_not_sent_by_a_dial_that_ends_later() -> None:
    """Even if attempts may not be cancelled, a hedged request that waits for its dial must not be sent."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"first")]) as one,
            StubServer([reply("200 OK", b"second")]) as two,
            running_node(
                row("a", one.address), row("b", two.address), policyLimits=limits(cancel=False)
            ) as running,
        ):

            def decide(event: Event, now: float) -> list[Action]:
                hedged = (
                    [Send(event.request, b"a"), Send(event.request, b"b")]
                    if isinstance(event, RequestArrived)
                    else []
                )
                return list(hedged)

            # A connection to the first server is open; the second has to be dialled.
            assert running.node._pool.has_endpoints()
            client = await running.client()
            while not one.received:
                assert (await client.ask("look")).status == 200
            before = len(two.received)
            running.node._pool.close_idle(b"b")
            dials, recorder = HeldDials(running), EventRecorder(running, decide)
            assert (await client.ask("look")).body == b"first"
            await dials.begun()
            dials.release.set()
            while sum(isinstance(event, AttemptEnded) for event in recorder.events) < 2:
                await asyncio.sleep(0)
            outcomes = {event.outcome for event in recorder.events if isinstance(event, AttemptEnded)}
            assert outcomes == {Outcome.OK, Outcome.NOT_SENT}
            assert len(two.received) == before

    run(main())


def test_a_retry_whose_idempotency_window_ends_during_its_dial_is_not_sent() -> None:
    """Rule 2 limits the time of the write, which may be a whole dial after the module's decision."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), policyLimits=limits()) as running,
        ):

            def decide(event: Event, now: float) -> list[Action]:
                if isinstance(event, RequestArrived):
                    return [Send(event.request, b"a", before_ms=now + 2000.0)]
                return []

            dials, recorder = HeldDials(running), EventRecorder(running, decide)
            client = await running.client()
            client.writer.write(request("move"))
            await dials.begun()
            running.node._clock._base += 2.0
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome is Outcome.NOT_SENT
            assert server.received == []

    run(main())


@pytest.mark.parametrize("cancel", [False, True])
def test_a_request_whose_client_disconnects_during_a_health_check_is_not_sent(cancel: bool) -> None:
    """The idle connection whose health check is in flight is kept for the next request."""

    async def main() -> None:
        behaviours = [reply("200 OK"), held(reply("200 OK")), reply("200 OK")]
        async with (
            StubServer(behaviours) as server,
            running_node(row("a", server.address), policyLimits=limits(cancel=cancel)) as running,
        ):
            client = await running.client()
            assert (await client.ask("look", target="/api/first")).status == 200
            running.age(10.0)
            running.node._pool.keep_alive.record_early_close(1.0, asyncio.get_running_loop().time())
            recorder = EventRecorder(running)
            client.writer.write(request("book", target="/api/left"))
            while len(server.received) < 2:
                await asyncio.sleep(0)
            client.close()
            await recorder.first(RequestAbandoned)
            server.release.set()
            await recorder.first(AttemptEnded)
            while not running.node._pool._idle_connections():
                await asyncio.sleep(0)
            running.age(REUSE_DELAY_S)
            assert (await (await running.client()).ask("look", target="/api/next")).status == 200
            assert [got.target for got in server.received] == ["/api/first", "/health", "/api/next"]
            assert server.opened == 1

    run(main())


# ---------------------------------------------------------------- input after a response


async def respond_twice(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
    """Respond, and send a second response once the server's `release` is set."""
    await reply("200 OK", b"right")(server, received, writer)
    await server.release.wait()
    await reply("200 OK", b"stray")(server, received, writer)


@pytest.mark.parametrize("health_checked", [False, True])
def test_a_late_second_response_is_not_given_to_another_request(
    health_checked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the next request on that connection getting it, also after a health check."""
    monkeypatch.setattr("crowpost.node.upstream.pool.REUSE_DELAY_S", WAIT_TIMEOUT_S)

    async def main() -> None:
        async with (
            StubServer(
                [reply("200 OK"), respond_twice, reply("200 OK", b"own")]
                if health_checked
                else [respond_twice, reply("200 OK", b"own")]
            ) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            if health_checked:
                assert (await client.ask("look")).status == 200
                running.age(2 * WAIT_TIMEOUT_S)
                running.node._pool.keep_alive.record_early_close(0.0, asyncio.get_running_loop().time())
                client.writer.write(request("book"))
                while len(server.received) < 2:
                    await asyncio.sleep(0)
            else:
                assert (await client.ask("look")).body == b"right"
                client.writer.write(request("book"))
                while not running.node._requests.pending:
                    await asyncio.sleep(0)
            server.release.set()
            assert (await client.answer()).body == b"own"
            assert server.opened == 2

    run(main())


# ---------------------------------------------------------------- clients that disconnect, and limits


@pytest.mark.parametrize("count", [2, MAX_PIPELINED, 500])
def test_the_disconnect_of_a_client_with_many_requests_is_detected(count: int) -> None:
    """A connection with two requests was no longer read, so requests were forwarded long after its end."""

    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            recorder = EventRecorder(running)
            client = await running.client()
            client.writer.write(request("look"))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            client.writer.write(request("look") * count)
            while len(running.node._requests.pending) < MAX_CONCURRENT:
                await asyncio.sleep(0)
            client.close()
            while running.node._requests.pending:
                await asyncio.sleep(0)
            accepted = sum(isinstance(event, RequestArrived) for event in recorder.events)
            assert accepted == MAX_CONCURRENT, "a waiting request was forwarded"
            server.release.set()

    run(main())


def test_requests_beyond_the_pipelining_limit_are_not_accepted_and_the_connection_closes() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("look") * (3 * MAX_PIPELINED))
            answers = [(await client.answer()).status for _ in range(MAX_PIPELINED)]
            assert answers == [200] * MAX_PIPELINED
            assert await client.ended()
            assert len(server.received) == MAX_PIPELINED

    run(main())


def test_only_the_first_of_many_invalid_requests_is_handled(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a tenth of a second of CPU time for each read from a client that sends only these."""

    async def main() -> None:
        async with running_node() as running:
            client = await running.client()
            client.writer.write(request("nosuch") * 600)
            answer = await client.answer()
            assert (answer.status, answer.headers["connection"]) == (400, "close")
            assert await client.ended()

    with caplog.at_level("INFO"):
        run(main())
    assert caplog.text.count("is not served") == 1


def test_the_bodies_of_waiting_requests_are_bounded() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("look") * MAX_CONCURRENT)
            client.writer.write(request("book", body=b"x" * (MAX_BODY // 2)) * 8)
            while not running.node._listener._connections:
                await asyncio.sleep(0)
            (connection,) = running.node._listener._connections
            while not connection._malformed:
                await asyncio.sleep(0)
            waiting = [e.message for e in connection._exchanges if e.message is not None]
            assert 0 < sum(len(message.body) for message in waiting) <= MAX_BODY
            client.close()
            server.release.set()

    run(main())


def test_a_long_body_that_would_wait_is_not_accepted_and_the_connection_closes() -> None:
    """Its buffer is counted only once it is in flight; uncounted, a few hundred would fill the memory."""

    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK"))]) as server,
            running_node(row("a", server.address)) as running,
        ):
            client = await running.client()
            long = request("book", body=b"x" * (4 * MAX_BODY))
            client.writer.write(request("look") * MAX_CONCURRENT + long)
            while not running.node._listener._connections:
                await asyncio.sleep(0)
            (connection,) = running.node._listener._connections
            while not connection._malformed:
                await asyncio.sleep(0)
            server.release.set()
            assert [(await client.answer()).status for _ in range(MAX_CONCURRENT)] == [200, 200]
            assert await client.ended()
            assert len(server.received) == MAX_CONCURRENT

    run(main())


def test_time_spent_waiting_for_earlier_requests_counts_towards_the_deadline() -> None:
    async def main() -> None:
        async with StubServer([unresponsive]) as server, running_node(row("a", server.address)) as running:
            recorder = EventRecorder(running)
            client = await running.client()
            client.writer.write(request("look", deadline="0.4") * (MAX_CONCURRENT + 1))
            answers = [(await client.answer()).status for _ in range(MAX_CONCURRENT + 1)]
            assert set(answers) == {503}
            arrivals = [event for event in recorder.events if isinstance(event, RequestArrived)]
            assert arrivals[0].budget_ms > 300.0
            assert arrivals[-1].budget_ms < 100.0
            server.release.set()

    run(main())


@pytest.mark.parametrize("disconnect", ["abort", "close"])
def test_a_client_disconnect_is_detected_while_its_long_body_waits(disconnect: str) -> None:
    """The connection is not read meanwhile, since the body could fill the memory."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), policyLimits=limits()) as running,
        ):
            dials, recorder = HeldDials(running), EventRecorder(running)
            client = await running.client()
            upload = request("book", body=b"x" * (8 * MAX_BODY))
            client.writer.write(upload[: 2 * MAX_BODY])
            await dials.begun()
            if disconnect == "abort":
                client.close()
            else:
                client.writer.close()
            await recorder.first(RequestAbandoned)
            dials.release.set()
            while running.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert server.received == []

    run(main())


# ---------------------------------------------------------------- watches of the endpoint list


@pytest.mark.parametrize("indent", [1, 4, "\t"])
def test_a_list_may_come_indented_over_several_lines(indent: int | str) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(known=False, registryMode="pushed") as running,
        ):
            recorder = EventRecorder(running)
            watch = await running.discovery.watch()
            rows = [row("a", server.address), row("b", server.address, "DRAINING")]
            send_line(watch, json.dumps(listing(7, *rows), indent=indent).encode())
            send_line(watch, listing(8, reset=False))
            while running.node._discovery._version != 8:
                await asyncio.sleep(0)
            assert (await recorder.first(EndpointList)).kind is ListKind.FULL
            assert running.discovery.targets == ["/v1/endpoints?watch=1&from=0"]

    run(main())


def test_an_incomplete_list_does_not_extend_the_timeout_of_its_watch() -> None:
    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as running:
            watch = await running.discovery.watch()
            send_line(watch, b"")
            while running.node._discovery._timer is None or running.node._discovery._failures:
                await asyncio.sleep(0)
            (current,) = [running.node._discovery._watch]
            assert current is not None
            timer = running.node._discovery._timer
            for line in (b"{", b'  "generation": 7,', b"", b'  "reset": true,'):
                current._on_line(current, line)
            assert current.objects.in_object()
            assert running.node._discovery._timer is timer

    run(main())


def test_an_invalid_line_within_a_list_closes_its_watch() -> None:
    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as running:
            watch = await running.discovery.watch()
            send_line(watch, b'{\n  "generation": 7,\n  nonsense }')
            await running.discovery.watch()

    run(main())


def test_a_late_line_of_a_replaced_watch_is_ignored() -> None:
    """Two watches may be open for a moment; only the lines of the newer one count."""

    async def main() -> None:
        async with running_node(known=False, registryMode="pushed") as running:
            recorder = EventRecorder(running)
            await running.discovery.watch()
            before = running.node._discovery._watch
            assert before is not None
            running.node._discovery.subscribe()
            await running.discovery.watch()
            assert running.node._discovery._watch is not before
            before._on_line(before, json.dumps(listing(9)).encode())
            before.connection_lost(None)
            assert not recorder.events and running.node._discovery._version == 0
            assert running.node._discovery._watch is not None

    run(main())


@pytest.mark.parametrize("state", ["waiting for the backoff", "a call is in flight", "a watch is idle"])
def test_sighup_leaves_one_watch_in_every_state(state: str, tmp_path: Path) -> None:
    async def main() -> None:
        path = tmp_path / "config.json"
        async with (
            StubDiscovery() as moved,
            running_node(known=False, registryMode="pushed", path=str(path)) as running,
        ):
            discovery = running.node._discovery
            path.write_text(json.dumps({"discovery": moved.address}))
            if state != "a call is in flight":
                await running.discovery.watch()
            if state == "waiting for the backoff":
                discovery._fail()
            running.node.reconfigure()
            send_line(await moved.watch(), listing(3))
            while discovery._version != 3:
                await asyncio.sleep(0)
            assert moved.targets == ["/v1/endpoints?watch=1&from=0"]
            timer = discovery._timer
            assert timer is not None and timer.when() - asyncio.get_running_loop().time() > MAX_BACKOFF_S

    run(main())


# ---------------------------------------------------------------- connection ends


@pytest.mark.parametrize("origin", ["accepted", "dialled", "adopted", "watch"])
def test_small_writes_are_not_delayed(origin: str) -> None:
    """A close with unread input would discard output that the kernel has delayed."""

    async def main() -> None:
        with socket.create_server((HOST, 0)) as listener:
            descriptor = os.dup(listener.fileno()) if origin == "adopted" else None
            async with (
                StubServer([reply("200 OK")]) as server,
                running_node(
                    row("a", server.address), accept_fd=descriptor, registryMode="pushed"
                ) as running,
            ):
                watch = await running.discovery.watch()
                send_line(watch, listing(2, row("a", server.address)))
                client = await running.client()
                assert (await client.ask("look")).status == 200
                (accepted,) = running.node._listener._connections
                (dialled,) = running.node._pool._connections
                assert running.node._discovery._watch is not None
                transports = {
                    "dialled": dialled._transport,
                    "watch": running.node._discovery._watch.transport,
                }
                transport = transports.get(origin, accepted._transport)
                assert transport is not None
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1

    run(main())


def test_an_aborted_response_without_length_resets_an_http_1_0_connection() -> None:
    """For HTTP/1.0 a close completes such a response, and only a reset shows that it is incomplete."""

    async def broken(server: StubServer, _: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (2 * MAX_BODY))
        await server.release.wait()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async def main() -> None:
        async with StubServer([broken]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("look").replace(b"HTTP/1.1", b"HTTP/1.0"))
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
            assert b"content-length" not in head.lower()
            await client.reader.readexactly(2 * MAX_BODY)
            server.release.set()
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(client.reader.read(), WAIT_TIMEOUT_S)

    run(main())


def _stop(running: RunningNode) -> None:
    running.node.stop()


def _close_idle(running: RunningNode) -> None:
    running.node._listener.close_idle(0.0)


@pytest.mark.parametrize("close", [_stop, _close_idle])
def test_a_request_read_while_its_connection_closes_is_not_accepted(
    close: Callable[[RunningNode], None],
) -> None:
    """Guards against losing a request that is read between the check for pending work and the close."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            recorder = EventRecorder(running)
            client = await running.client()
            assert (await client.ask(target="/ready")).status == 200
            (connection,) = running.node._listener._connections
            close(running)
            connection.receive(request("look"))
            assert not recorder.events and not running.node._requests.pending
            assert await client.ended()

    run(main())


# ---------------------------------------------------------------- many peers


@pytest.mark.parametrize("sent", [b"", b"GET /api", request("nosuch")])
def test_many_peers_without_a_valid_request_exclude_no_client(sent: bytes) -> None:
    """They send nothing, a part of a head, or a request that the node answers with an error and a close."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"served")]) as server,
            running_node(row("a", server.address), sockets=64) as running,
        ):
            listener = running.node._listener
            peers = []
            for _ in range(listener._max_connections + 5):
                peer = await running.client()
                peers.append(peer)
                peer.writer.write(sent)
                if sent == request("nosuch"):
                    assert (await peer.answer()).status == 400
            while sum(c._parser.in_message or c._discarding for c in listener._connections) < (
                listener._max_connections if sent else 0
            ):
                await asyncio.sleep(0)
            assert len(listener._connections) <= listener._max_connections
            assert (await (await running.client()).ask("look")).body == b"served"
            for peer in peers:
                peer.close()

    run(main())


# ---------------------------------------------------------------- signals


@pytest.mark.parametrize("before_start", [False, True])
def test_repeated_sigterm_with_sighup_or_before_the_start_ends_the_node_cleanly(
    before_start: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    if before_start:
        start = Node.start

        async def terminate_then_start(node: Node) -> tuple[str, int]:
            node.terminate()
            return await start(node)

        monkeypatch.setattr(Node, "start", terminate_then_start)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            running.node.terminate()
            began = running.node._drain._began
            running.node.terminate()
            running.node.reconfigure()
            assert running.node._drain._began == began, "the second signal postponed the end"
            assert (await client.ask(target="/ready")).status == 503
            assert (await client.ask("look")).status == 200
            assert await client.ended()
            await asyncio.wait_for(running.serving, WAIT_TIMEOUT_S)

    run(main())
