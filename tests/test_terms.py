"""The operators' terms for the standing test, each forced on loopback sockets: docs/crossings.md."""

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

TROUBLES = ("refused", "reset", "failed", "broken", "half", "silent", "given up")
MARGIN_S = 0.5  # for a node that is busy
READY_S = 10.0  # in which nine of ten restarted processes have to be ready
TOLD_S = 6.0  # after discovery had it and could be reached, news counts as told


@dataclass
class Outage:
    """Discovery that is in trouble for a while; what it is asked after that it answers at once."""

    trouble: str
    over: bool = False
    news: dict[str, Any] = field(default_factory=lambda: listing(2))
    calls: int = 0
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        self.calls += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await read_head(reader)
            if self.over:
                _head(writer)
                send_line(writer, self.news)
            elif self.trouble == "reset":
                writer.transport.abort()
            elif self.trouble == "failed":
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            elif self.trouble == "broken":
                _head(writer)
                send_line(writer, b"nonsense")
            elif self.trouble == "half":
                _head(writer)
                send_line(writer, b"{")
                while not writer.is_closing():  # it trickles on, and is never whole
                    await asyncio.sleep(1.0)
                    send_line(writer, b'"generation": 2,')
            elif self.trouble == "silent":
                _head(writer)
                send_line(writer, listing(1, row("a", f"{HOST}:9")))
            else:
                assert self.trouble == "given up"


def _head(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


async def _told_after(trouble: str, mode: str, down_s: float, seed: int) -> float:
    """Seconds from discovery's return to the node's word of what changed meanwhile."""
    loop = asyncio.get_running_loop()
    outage = Outage(trouble)
    end = socket.socket()
    end.bind((HOST, 0))  # refuses until it listens
    server = await asyncio.start_server(outage.serve, sock=end, start_serving=trouble != "refused")
    guarantees = settings()["guarantees"] | {"mustAskInMs": 30_000.0}
    async with running_node(row("a", f"{HOST}:9"), registryMode=mode, guarantees=guarantees) as w:
        discovery = w.node._discovery
        discovery._random.seed(seed)
        w.node._balancer._context.rng.seed(seed)
        discovery.close()
        discovery.address = end.getsockname()
        if mode == "pushed":
            discovery.subscribe()
        await asyncio.sleep(down_s)
        outage.over = True
        await server.start_serving()
        since = loop.time()
        while discovery._version != 2 and loop.time() - since < 2 * TOLD_S:
            await asyncio.sleep(0.02)
        server.close()
        return loop.time() - since


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_news_is_here_six_seconds_after_discovery_can_be_reached_again(mode: str) -> None:
    """Whatever call was refused, failed or given up before; both modes, from many moments of the waiting."""

    async def main() -> None:
        plays = [(trouble, 0.3 + 1.7 * i) for trouble in TROUBLES for i in range(8)]
        took = await asyncio.gather(
            *(_told_after(trouble, mode, down_s, seed) for seed, (trouble, down_s) in enumerate(plays))
        )
        late = [(*play, round(s, 1)) for play, s in zip(plays, took, strict=True) if s >= TOLD_S - MARGIN_S]
        assert not late

    run_with_skipping_clock(main())


def test_a_watch_that_has_nothing_to_tell_is_left_in_peace() -> None:
    """Guards against a call for the list every few seconds where the last one has been answered."""

    async def main() -> None:
        async def nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(loop.time())
            _head(writer)
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    send_line(writer, b"")
                    await asyncio.sleep(2.0)

        calls: list[float] = []
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(nothing, HOST, 0)
        guarantees = settings()["guarantees"] | {"mustAskInMs": 10_000.0}
        async with running_node(row("a", f"{HOST}:9"), guarantees=guarantees) as w:
            w.node._discovery.address = server.sockets[0].getsockname()
            await asyncio.sleep(60.0)
        server.close()
        assert len(calls) == 1

    run_with_skipping_clock(main())


# ---------------------------------------------------------------- callers that have left


@pytest.mark.parametrize("waits_for", ["a dial", "a place"])
@pytest.mark.parametrize("ends", ["abort", "close"])
def test_no_attempt_with_a_long_body_begins_once_its_caller_has_left(ends: str, waits_for: str) -> None:
    """Not even before the next sweep: while its body waits, the connection that tells so is not read."""

    async def main() -> None:
        got: list[bytes] = []

        async def note(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.append(await reader.read(1))
            writer.transport.abort()

        server = await asyncio.start_server(note, HOST, 0)
        host, port = server.sockets[0].getsockname()
        async with running_node(row("a", f"{host}:{port}"), policyLimits=limits()) as w:

            def decide(event: Event, now: float) -> list[Action]:
                place = RequestArrived if waits_for == "a dial" else NodesPresent
                return [Send(1, b"a")] if isinstance(event, place) else []

            w.node._listener._sweeper.cancel()
            dials, told = HeldDials(w), EventRecorder(w, decide)
            client = await w.client()
            client.writer.write(request("book", body=b"x" * (8 * MAX_BODY))[: 2 * MAX_BODY])
            await told.first(RequestArrived)
            (connection,) = w.node._listener._connections
            while connection._transport is None or connection._transport.is_reading():
                await asyncio.sleep(0)
            if ends == "abort":
                client.close()
            else:
                client.writer.close()
            while not connection.client_has_left():
                await asyncio.sleep(0)
            w.node._events.post(NodesPresent(1, 0))
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome in (Outcome.NOT_SENT, Outcome.CANCELLED)
            assert any(isinstance(event, RequestAbandoned) for event in told.events)
            while w.node._pool._dial_tasks:
                await asyncio.sleep(0)
            assert not w.node._requests.pending and not w.node._requests.calls
        server.close()
        await asyncio.sleep(0)
        assert b"P" not in got, "an attempt has begun"

    run(main())


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
def test_a_caller_that_has_left_gets_no_second_copy(leaves: bool, cancel: bool) -> None:
    """Responses take 50 ms here, so that a pause of the process lets no request pass for overdue."""

    async def after_50_ms(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        await reply("200 OK")(server, received, writer)

    async def main() -> None:
        async with (
            StubServer([after_50_ms]) as one,
            StubServer([after_50_ms]) as two,
            running_node(
                row("a", one.address), row("b", two.address), policyLimits=limits(cancel=cancel)
            ) as w,
        ):
            servers = (one, two)
            client = await w.client()
            for _ in range(40):
                assert (await client.ask("look")).status == 200
            for server in servers:
                server.behaviours = [unresponsive]
            before = sum(len(server.received) for server in servers)
            assert before == 40
            client.writer.write(request("look"))
            while sum(len(server.received) for server in servers) == before:
                await asyncio.sleep(0)
            if leaves:
                client.close()
            await asyncio.sleep(2.0)
            assert sum(len(server.received) for server in servers) - before == (1 if leaves else 2)
            for server in servers:
                server.release.set()

    run_with_skipping_clock(main())


@pytest.mark.parametrize("leaves", [False, True])
def test_a_caller_that_has_left_gets_no_attempt_that_waits_for_a_place(leaves: bool) -> None:
    """Of a first attempt and of a repeat, which the module keeps in one queue."""

    async def main() -> None:
        async with StubServer([held(reply("200 OK"))]) as server, running_node(row("a", server.address)) as w:
            queue, told = w.node._balancer._queue, EventRecorder(w)
            clients: list[Client] = []
            while not queue:
                client = await w.client()
                client.writer.write(request("look", target=f"/api/{len(clients)}"))
                clients.append(client)
                while len(w.node._requests.pending) < len(clients):
                    await asyncio.sleep(0)
            if leaves:
                clients[-1].close()
                await told.first(RequestAbandoned)
                assert not queue
            server.release.set()
            for client in clients[: -1 if leaves else None]:
                assert (await client.answer()).status == 200
            last = f"/api/{len(clients) - 1}"
            assert (last in [got.target for got in server.received]) is not leaves

    run(main())


# ---------------------------------------------------------------- servers


def test_what_a_whole_list_does_not_name_gets_nothing_though_it_still_answers() -> None:
    """A new watch may begin with the whole list, which leaves out servers that drain."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([reply("200 OK")]) as two,
            running_node(row("a", one.address), row("b", two.address), registryMode="pushed") as w,
        ):
            client = await w.client()
            while not one.received:
                assert (await client.ask("look")).status == 200
            before = len(one.received)
            send_line(await w.discovery.watch(), listing(2, row("b", two.address)))
            while w.node._discovery._version != 2:
                await asyncio.sleep(0)
            for _ in range(20):
                assert (await client.ask("look")).status == 200
            assert len(one.received) == before
            await asyncio.wait_for(
                one.connection_ended.wait(), 5.0
            )  # its idle time would be three times as long

    run(main())


def test_a_further_attempt_tells_its_server_no_more_than_the_time_that_is_left() -> None:
    async def late_reset(_: StubServer, __: Received, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(1.0)
        writer.transport.abort()

    async def main() -> None:
        servers = [StubServer([late_reset]), StubServer([late_reset])]
        async with servers[0] as one, servers[1] as two:
            limited = settings()["policyLimits"] | {"mayDuplicate": False, "tryLimit": 2}
            async with running_node(row("a", one.address), row("b", two.address), policyLimits=limited) as w:
                client = await w.client()
                await client.ask("look", deadline="3.0")
            told = [float(got.headers["x-deadline"]) for server in servers for got in server.received]
            assert len(told) == 2
            assert min(told) <= max(told) - 1.0 and max(told) <= 3.0

    run_with_skipping_clock(main())


# ---------------------------------------------------------------- real processes


@contextlib.asynccontextmanager
async def _process(
    tmp_path: Path,
    name: str,
    server: StubServer,
    discovery: str,
    listen: str = f"{HOST}:0",
    sockets: int = 256,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, Path]]:
    """A process with just so many descriptors, until the end of the test; what it logs goes to a file."""
    config, log = tmp_path / f"{name}.json", tmp_path / f"{name}.log"
    told = settings(registryMode="pushed", guarantees={**settings()["guarantees"], "mustAskInMs": 10_000.0})
    limits = {"memory_mb": 96, "sockets": sockets}
    raw = {"seed": "1", "limits": limits, "settings": told, "known": listing(1, row("a", server.address))}
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


async def _listens(log: Path) -> tuple[str, int]:
    while not (found := re.search(rf"listens on {HOST}:(\d+)", log.read_text())):
        await asyncio.sleep(0.01)
    return HOST, int(found[1])


async def _rest_on(address: tuple[str, int]) -> None:
    """An idle client: asks once, rests until the node ends it, and comes again."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            client = await Client.connect(address)
            try:
                await client.ask(target="/ready")
                await client.reader.read()
            finally:
                client.close()
        await asyncio.sleep(1.0)


def test_idle_clients_that_fill_the_descriptors_keep_a_node_from_nothing(tmp_path: Path) -> None:
    """It reaches discovery at its return, answers what it took and ends in order; the crowd stays."""

    async def main() -> None:
        outage = Outage("refused", over=True)
        end = socket.socket()
        end.bind((HOST, 0))  # refuses until it listens
        discovery = await asyncio.start_server(outage.serve, sock=end, start_serving=False)
        host, port = end.getsockname()
        async with (
            StubServer([reply("200 OK")]) as old,
            StubServer([held(reply("200 OK"))]) as new,
            _process(tmp_path, "n0", old, f"{host}:{port}") as (process, log),
        ):
            outage.news = listing(2, row("b", new.address))
            address = await _listens(log)
            crowd = [asyncio.create_task(_rest_on(address)) for _ in range(400)]
            open_files = Path(f"/proc/{process.pid}/fd")
            while len(list(open_files.iterdir())) < 100:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)
            await discovery.start_serving()
            taken = []
            async with asyncio.timeout(READY_S):
                while not outage.calls:
                    await asyncio.sleep(0.01)
                while not new.received:  # callers may be shut out for a moment, and come again
                    with contextlib.suppress(OSError):
                        client = await Client.connect(address)
                        client.writer.write(request("look"))
                        taken.append(asyncio.create_task(client.answer()))
                        await asyncio.wait(taken[-1:], timeout=0.2)
            process.terminate()
            new.release.set()
            answers = await asyncio.gather(*taken, return_exceptions=True)
            served = [got for got in answers if isinstance(got, Answer) and got.status == 200]
            assert len(served) >= len(new.received)
            assert await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S) == 0, log.read_text()[-2000:]
            for task in crowd:
                task.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
        discovery.close()

    run(main())


def test_nine_in_ten_restarted_processes_are_ready_within_ten_seconds(tmp_path: Path) -> None:
    """Killed under load and started again at once, while discovery refuses or says nothing."""

    async def asking(address: tuple[str, int], stop: asyncio.Event) -> None:
        while not stop.is_set():
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(address)
                try:
                    while not stop.is_set():
                        await client.ask("look")
                finally:
                    client.close()
            await asyncio.sleep(0.01)

    async def ready(address: tuple[str, int]) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.connect(address)
                try:
                    if (await client.ask(target="/ready")).status == 200:
                        return
                finally:
                    client.close()
            await asyncio.sleep(0.02)

    async def restarted(name: str, server: StubServer, discovery: str) -> float:
        stop = asyncio.Event()
        async with _process(tmp_path, name, server, discovery) as (_, log):
            address = await _listens(log)
            load = [asyncio.create_task(asking(address, stop)) for _ in range(2)]
            await asyncio.wait_for(ready(address), READY_S)
        began = time.monotonic()
        async with _process(tmp_path, name, server, discovery, f"{HOST}:{address[1]}"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(ready(address), READY_S)
            took = time.monotonic() - began
            stop.set()
        await asyncio.gather(*load)
        return took

    async def main() -> None:
        with socket.create_server((HOST, 0)) as silent_agent, socket.socket() as refusing:
            refusing.bind((HOST, 0))
            agents = ["{}:{}".format(*end.getsockname()) for end in (silent_agent, refusing)]
            async with StubServer([reply("200 OK")]) as server:
                took = await asyncio.gather(*(restarted(f"n{i}", server, agents[i % 2]) for i in range(10)))
        late = [seconds for seconds in took if seconds >= READY_S]
        assert len(late) <= 1, took

    run(main())
