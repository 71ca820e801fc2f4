"""The operators' conditions for the standing test, each reproduced on loopback sockets: docs/crossings.md."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import resource
import socket
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    Event,
    NodesPresent,
    Outcome,
    RequestAbandoned,
    RequestArrived,
    Send,
)
from crowpost.node.http.message import MAX_BODY
from tests.node.skipping_clock import run_with_skipping_clock
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Answer,
    Client,
    Received,
    StubServer,
    held,
    listing,
    read_head,
    reply,
    request,
    row,
    run,
    running_node,
    send_line,
    settings,
    unresponsive,
)
from tests.node.test_races import EventRecorder, HeldDials, limits

FAULTS = ("refused", "reset", "failed", "malformed", "incomplete", "stalled", "unanswered")
MARGIN_S = 0.5  # tolerance for a busy node
READY_TIMEOUT_S = 10.0  # time limit for nine of ten restarted processes to be ready
# Time limit for a node to know a change, once discovery has the change and is reachable.
NOTIFIED_TIMEOUT_S = 6.0


@dataclass
class Outage:
    """Discovery with a fault that ends; calls that come after its end are answered at once."""

    fault: str
    over: bool = False
    endpoint_list: dict[str, Any] = field(default_factory=lambda: listing(2))
    calls: int = 0
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        self.calls += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await read_head(reader)
            if self.over:
                _write_head(writer)
                send_line(writer, self.endpoint_list)
            elif self.fault == "reset":
                writer.transport.abort()
            elif self.fault == "failed":
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            elif self.fault == "malformed":
                _write_head(writer)
                send_line(writer, b"nonsense")
            elif self.fault == "incomplete":
                _write_head(writer)
                send_line(writer, b"{")
                while not writer.is_closing():  # more bytes follow, but the list is never complete
                    await asyncio.sleep(1.0)
                    send_line(writer, b'"generation": 2,')
            elif self.fault == "stalled":
                _write_head(writer)
                send_line(writer, listing(1, row("a", f"{HOST}:9")))
            else:
                assert self.fault == "unanswered"


def _write_head(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


async def _seconds_until_notified(fault: str, mode: str, outage_s: float, seed: int) -> float:
    """Return the seconds from the recovery of discovery until the node knows the change made meanwhile."""
    loop = asyncio.get_running_loop()
    outage = Outage(fault)
    listener = socket.socket()
    listener.bind((HOST, 0))  # connections are refused until the socket listens
    server = await asyncio.start_server(outage.serve, sock=listener, start_serving=fault != "refused")
    guarantees = settings()["guarantees"] | {"mustAskInMs": 30_000.0}
    async with running_node(row("a", f"{HOST}:9"), registryMode=mode, guarantees=guarantees) as running:
        discovery = running.node._discovery
        discovery._random.seed(seed)
        running.node._balancer._context.rng.seed(seed)
        discovery.close()
        discovery.address = listener.getsockname()
        if mode == "pushed":
            discovery.subscribe()
        await asyncio.sleep(outage_s)
        outage.over = True
        await server.start_serving()
        recovered_at = loop.time()
        while discovery._version != 2 and loop.time() - recovered_at < 2 * NOTIFIED_TIMEOUT_S:
            await asyncio.sleep(0.02)
        server.close()
        return loop.time() - recovered_at


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_change_is_known_within_six_seconds_after_discovery_recovers(mode: str) -> None:
    """Holds for every fault of earlier calls, in both modes, and for outages of many lengths."""

    async def main() -> None:
        cases = [(fault, 0.3 + 1.7 * i) for fault in FAULTS for i in range(8)]
        delays_s = await asyncio.gather(
            *(
                _seconds_until_notified(fault, mode, outage_s, seed)
                for seed, (fault, outage_s) in enumerate(cases)
            )
        )
        late = [
            (*case, round(delay_s, 1))
            for case, delay_s in zip(cases, delays_s, strict=True)
            if delay_s >= NOTIFIED_TIMEOUT_S - MARGIN_S
        ]
        assert not late

    run_with_skipping_clock(main())


def test_an_open_watch_without_changes_is_not_called_again() -> None:
    """Guards against calls for the list every few seconds although the last call was answered."""

    async def main() -> None:
        async def serve_no_changes(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(loop.time())
            _write_head(writer)
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    send_line(writer, b"")
                    await asyncio.sleep(2.0)

        calls: list[float] = []
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(serve_no_changes, HOST, 0)
        guarantees = settings()["guarantees"] | {"mustAskInMs": 10_000.0}
        async with running_node(row("a", f"{HOST}:9"), guarantees=guarantees) as running:
            running.node._discovery.address = server.sockets[0].getsockname()
            await asyncio.sleep(60.0)
        server.close()
        assert len(calls) == 1

    run_with_skipping_clock(main())


# ---------------------------------------------------------------- clients that have disconnected


@pytest.mark.parametrize("waits_for", ["connection", "dispatch"])
@pytest.mark.parametrize("closing", ["abort", "close"])
def test_no_attempt_with_a_long_body_begins_after_its_client_has_disconnected(
    closing: str, waits_for: str
) -> None:
    """Holds also before the next sweep: while the body waits, the client connection is not read.

    Without reads the node gets no notice of the disconnect.
    """

    async def main() -> None:
        first_bytes: list[bytes] = []

        async def record_first_byte(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            first_bytes.append(await reader.read(1))
            writer.transport.abort()

        server = await asyncio.start_server(record_first_byte, HOST, 0)
        host, port = server.sockets[0].getsockname()
        async with running_node(row("a", f"{host}:{port}"), policyLimits=limits()) as running:

            def decide(event: Event, now: float) -> list[Action]:
                trigger = RequestArrived if waits_for == "connection" else NodesPresent
                return [Send(1, b"a")] if isinstance(event, trigger) else []

            running.node._listener._sweeper.cancel()
            dials, recorder = HeldDials(running), EventRecorder(running, decide)
            client = await running.client()
            client.writer.write(request("book", body=b"x" * (8 * MAX_BODY))[: 2 * MAX_BODY])
            await recorder.first(RequestArrived)
            (connection,) = running.node._listener._connections
            while connection._transport is None or connection._transport.is_reading():
                await asyncio.sleep(0)
            if closing == "abort":
                client.close()
            else:
                client.writer.close()
            while not connection.client_has_left():
                await asyncio.sleep(0)
            running.node._events.post(NodesPresent(1, 0))
            dials.release.set()
            ended: AttemptEnded = await recorder.first(AttemptEnded)
            assert ended.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED)
            assert any(isinstance(event, RequestAbandoned) for event in recorder.events)
            while running.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert not running.node._requests.pending and not running.node._requests.calls
        server.close()
        await asyncio.sleep(0)
        assert b"P" not in first_bytes, "an attempt was sent"

    run(main())


@pytest.mark.parametrize("disconnects", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
def test_no_hedged_request_is_sent_for_a_disconnected_client(disconnects: bool, cancel: bool) -> None:
    """Responses take 50 ms, so that a pause of the process does not make a request look overdue."""

    async def after_50_ms(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        await reply("200 OK")(server, received, writer)

    async def main() -> None:
        async with (
            StubServer([after_50_ms]) as one,
            StubServer([after_50_ms]) as two,
            running_node(
                row("a", one.address), row("b", two.address), policyLimits=limits(cancel=cancel)
            ) as running,
        ):
            servers = (one, two)
            client = await running.client()
            for _ in range(40):
                assert (await client.ask("look")).status == 200
            for server in servers:
                server.behaviours = [unresponsive]
            before = sum(len(server.received) for server in servers)
            assert before == 40
            client.writer.write(request("look"))
            while sum(len(server.received) for server in servers) == before:
                await asyncio.sleep(0)
            if disconnects:
                client.close()
            await asyncio.sleep(2.0)
            assert sum(len(server.received) for server in servers) - before == (1 if disconnects else 2)
            for server in servers:
                server.release.set()

    run_with_skipping_clock(main())


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_queued_attempt_of_a_disconnected_client_is_not_sent(disconnects: bool) -> None:
    """Holds for first attempts and retries alike, which the decision module keeps in one queue."""

    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK"))]) as server,
            running_node(row("a", server.address)) as running,
        ):
            queue, recorder = running.node._balancer._queue, EventRecorder(running)
            clients: list[Client] = []
            while not queue:
                client = await running.client()
                client.writer.write(request("look", target=f"/api/{len(clients)}"))
                clients.append(client)
                while len(running.node._requests.pending) < len(clients):
                    await asyncio.sleep(0)
            if disconnects:
                clients[-1].close()
                await recorder.first(RequestAbandoned)
                assert not queue
            server.release.set()
            for client in clients[: -1 if disconnects else None]:
                assert (await client.answer()).status == 200
            last_target = f"/api/{len(clients) - 1}"
            assert (last_target in [received.target for received in server.received]) is not disconnects

    run(main())


# ---------------------------------------------------------------- servers


def test_a_server_that_a_full_list_omits_is_sent_nothing_while_it_still_responds() -> None:
    """A new watch may begin with a full list, which omits draining servers."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([reply("200 OK")]) as two,
            running_node(row("a", one.address), row("b", two.address), registryMode="pushed") as running,
        ):
            client = await running.client()
            while not one.received:
                assert (await client.ask("look")).status == 200
            before = len(one.received)
            send_line(await running.discovery.watch(), listing(2, row("b", two.address)))
            while running.node._discovery._version != 2:
                await asyncio.sleep(0)
            for _ in range(20):
                assert (await client.ask("look")).status == 200
            assert len(one.received) == before
            await asyncio.wait_for(
                one.connection_ended.wait(), 5.0
            )  # the idle timeout is three times as long

    run(main())


def test_the_deadline_header_of_a_retry_is_at_most_the_remaining_time() -> None:
    async def late_reset(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1.0)
        writer.transport.abort()

    async def main() -> None:
        servers = [StubServer([late_reset]), StubServer([late_reset])]
        async with servers[0] as one, servers[1] as two:
            policy_limits = settings()["policyLimits"] | {"mayDuplicate": False, "tryLimit": 2}
            async with running_node(
                row("a", one.address), row("b", two.address), policyLimits=policy_limits
            ) as running:
                client = await running.client()
                await client.ask("look", deadline="3.0")
            deadlines_s = [
                float(received.headers["x-deadline"]) for server in servers for received in server.received
            ]
            assert len(deadlines_s) == 2
            assert min(deadlines_s) <= max(deadlines_s) - 1.0 and max(deadlines_s) <= 3.0

    run_with_skipping_clock(main())


# ---------------------------------------------------------------- real processes


@contextlib.asynccontextmanager
async def _running_process(
    tmp_path: Path,
    name: str,
    server: StubServer,
    discovery: str,
    listen: str = f"{HOST}:0",
    sockets: int = 256,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path]]:
    """Run a process with a limited number of descriptors until the context ends, and log to a file."""
    config, log = tmp_path / f"{name}.json", tmp_path / f"{name}.log"
    node_settings = settings(
        registryMode="pushed", guarantees={**settings()["guarantees"], "mustAskInMs": 10_000.0}
    )
    limits = {"memory_mb": 96, "sockets": sockets}
    raw = {
        "seed": "1",
        "limits": limits,
        "settings": node_settings,
        "known": listing(1, row("a", server.address)),
    }
    config.write_text(json.dumps(raw))
    environment = {
        "NODE_NAME": name,
        "NODE_LISTEN": listen,
        "NODE_DISCOVERY": discovery,
        "NODE_CONFIG": str(config),
    }
    with log.open("wb") as file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "crowpost",
            env=environment,
            stderr=file,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
        )
    try:
        yield process, log
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def _listen_address(log: Path) -> tuple[str, int]:
    while not (found := re.search(rf"listens on {HOST}:(\d+)", log.read_text())):
        await asyncio.sleep(0.01)
    return HOST, int(found[1])


async def _hold_idle_connection(address: tuple[str, int]) -> None:
    """Send one request, stay idle until the node closes the connection, and connect again."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await Client.connect(address)
            try:
                await client.ask(target="/ready")
                await client.reader.read()
            finally:
                client.close()
        await asyncio.sleep(1.0)


def test_idle_clients_that_use_up_the_descriptors_do_not_hinder_a_node(tmp_path: Path) -> None:
    """The node reaches discovery once it is back, answers accepted requests and exits cleanly.

    The idle clients stay all the time.
    """

    async def main() -> None:
        outage = Outage("refused", over=True)
        listener = socket.socket()
        listener.bind((HOST, 0))  # connections are refused until the socket listens
        discovery = await asyncio.start_server(outage.serve, sock=listener, start_serving=False)
        host, port = listener.getsockname()
        async with (
            StubServer([reply("200 OK")]) as old_server,
            StubServer([held(reply("200 OK"))]) as new_server,
            _running_process(tmp_path, "n0", old_server, f"{host}:{port}") as (process, log),
        ):
            outage.endpoint_list = listing(2, row("b", new_server.address))
            address = await _listen_address(log)
            idle_clients = [asyncio.create_task(_hold_idle_connection(address)) for _ in range(400)]
            open_files = Path(f"/proc/{process.pid}/fd")
            while len(list(open_files.iterdir())) < 100:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)
            await discovery.start_serving()
            pending_answers = []
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not outage.calls:
                    await asyncio.sleep(0.01)
                while not new_server.received:  # a connection may fail for a moment and is tried again
                    with contextlib.suppress(OSError):
                        client = await Client.connect(address)
                        client.writer.write(request("look"))
                        pending_answers.append(asyncio.create_task(client.answer()))
                        await asyncio.wait(pending_answers[-1:], timeout=0.2)
            process.terminate()
            new_server.release.set()
            answers = await asyncio.gather(*pending_answers, return_exceptions=True)
            served = [answer for answer in answers if isinstance(answer, Answer) and answer.status == 200]
            assert len(served) >= len(new_server.received)
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0, log.read_text()[-2000:]
            for task in idle_clients:
                task.cancel()
            await asyncio.gather(*idle_clients, return_exceptions=True)
        discovery.close()

    run(main())


def test_nine_in_ten_restarted_processes_are_ready_within_ten_seconds(tmp_path: Path) -> None:
    """Processes are killed under load and restarted at once, while discovery refuses or does not respond."""

    async def send_requests(address: tuple[str, int], stop: asyncio.Event) -> None:
        while not stop.is_set():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(address)
                try:
                    while not stop.is_set():
                        await client.ask("look")
                finally:
                    client.close()
            await asyncio.sleep(0.01)

    async def wait_until_ready(address: tuple[str, int]) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(address)
                try:
                    if (await client.ask(target="/ready")).status == 200:
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.02)

    async def restart_seconds(name: str, server: StubServer, discovery: str) -> float:
        stop = asyncio.Event()
        async with _running_process(tmp_path, name, server, discovery) as (_, log):
            address = await _listen_address(log)
            load = [asyncio.create_task(send_requests(address, stop)) for _ in range(2)]
            await asyncio.wait_for(wait_until_ready(address), READY_TIMEOUT_S)
        restarted_at = time.monotonic()
        async with _running_process(tmp_path, name, server, discovery, f"{HOST}:{address[1]}"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(wait_until_ready(address), READY_TIMEOUT_S)
            seconds = time.monotonic() - restarted_at
            stop.set()
        await asyncio.gather(*load)
        return seconds

    async def main() -> None:
        with socket.create_server((HOST, 0)) as unresponsive, socket.socket() as refusing:
            refusing.bind((HOST, 0))
            discoveries = ["{}:{}".format(*sock.getsockname()) for sock in (unresponsive, refusing)]
            async with StubServer([reply("200 OK")]) as server:
                durations_s = await asyncio.gather(
                    *(restart_seconds(f"n{i}", server, discoveries[i % 2]) for i in range(10))
                )
        late = [seconds for seconds in durations_s if seconds >= READY_TIMEOUT_S]
        assert len(late) <= 1, durations_s

    run(main())
