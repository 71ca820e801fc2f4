"""The operators' terms for the standing test, each forced on loopback sockets: docs/crossings.md."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

import pytest

from fawngw.interface import Action, Arrival, AttemptEnded, Event, NodesPresent, Outcome, RequestGone, Send
from fawngw.node.http import MAX_BODY
from tests.hastened import run_hastened
from tests.stubs import (
    HOST,
    Caller,
    StubServer,
    held,
    listing,
    read_head,
    reply,
    request,
    row,
    run,
    settings,
    silent,
    tell,
    world,
)
from tests.test_crossings import HeldDials, Told, limits

TROUBLES = ("refused", "reset", "failed", "broken", "half", "silent", "given up")
MARGIN_S = 0.5  # for a node that is busy
TOLD_S = 6.0  # after discovery had it and could be reached, news counts as told


@dataclass
class Outage:
    """Discovery that is in trouble for a while; what it is asked after that it answers at once."""

    trouble: str
    over: bool = False
    calls: int = 0
    open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        self.calls += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await read_head(reader)
            if self.over:
                _head(writer)
                tell(writer, listing(2))
            elif self.trouble == "reset":
                writer.transport.abort()
            elif self.trouble == "failed":
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            elif self.trouble == "broken":
                _head(writer)
                tell(writer, b"nonsense")
            elif self.trouble == "half":
                _head(writer)
                tell(writer, b"{")
                while not writer.is_closing():  # it trickles on, and is never whole
                    await asyncio.sleep(1.0)
                    tell(writer, b'"generation": 2,')
            elif self.trouble == "silent":
                _head(writer)
                tell(writer, listing(1, row("a", f"{HOST}:9")))
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
    async with world(row("a", f"{HOST}:9"), registryMode=mode, guarantees=guarantees) as w:
        discovery = w.node._discovery
        discovery._random.seed(seed)
        w.node._balancer._fleet.rng.seed(seed)
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

    run_hastened(main())


def test_a_watch_that_has_nothing_to_tell_is_left_in_peace() -> None:
    """Guards against a call for the list every few seconds where the last one has been answered."""

    async def main() -> None:
        async def nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            calls.append(loop.time())
            _head(writer)
            with contextlib.suppress(ConnectionError):
                while not writer.is_closing():
                    tell(writer, b"")
                    await asyncio.sleep(2.0)

        calls: list[float] = []
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(nothing, HOST, 0)
        guarantees = settings()["guarantees"] | {"mustAskInMs": 10_000.0}
        async with world(row("a", f"{HOST}:9"), guarantees=guarantees) as w:
            w.node._discovery.address = server.sockets[0].getsockname()
            await asyncio.sleep(60.0)
        server.close()
        assert len(calls) == 1

    run_hastened(main())


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
        async with world(row("a", f"{host}:{port}"), policyLimits=limits()) as w:

            def decide(event: Event, now: float) -> list[Action]:
                place = Arrival if waits_for == "a dial" else NodesPresent
                return [Send(1, b"a")] if isinstance(event, place) else []

            w.node._callers._sweeper.cancel()
            dials, told = HeldDials(w), Told(w, decide)
            caller = await w.caller()
            caller.writer.write(request("book", body=b"x" * (8 * MAX_BODY))[: 2 * MAX_BODY])
            await told.first(Arrival)
            (connection,) = w.node._callers._open
            while connection._transport is None or connection._transport.is_reading():
                await asyncio.sleep(0)
            if ends == "abort":
                caller.close()
            else:
                caller.writer.close()
            while not connection.left_unseen():
                await asyncio.sleep(0)
            w.node._post(NodesPresent(1, 0))
            dials.release.set()
            ended: AttemptEnded = await told.first(AttemptEnded)
            assert ended.outcome in (Outcome.MOOT, Outcome.CANCELLED)
            assert any(isinstance(event, RequestGone) for event in told.events)
            while w.node._servers._opening:
                await asyncio.sleep(0)
            assert not w.node._requests and not w.node._calls
        server.close()
        await asyncio.sleep(0)
        assert b"P" not in got, "an attempt has begun"

    run(main())


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("cancel", [False, True])
def test_a_caller_that_has_left_gets_no_second_copy(leaves: bool, cancel: bool) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as one,
            StubServer([reply("200 OK")]) as two,
            world(row("a", one.address), row("b", two.address), policyLimits=limits(cancel=cancel)) as w,
        ):
            servers = (one, two)
            caller = await w.caller()
            for _ in range(40):
                assert (await caller.ask("look")).status == 200
            for server in servers:
                server.behaviours = [silent]
            before = sum(len(server.received) for server in servers)
            caller.writer.write(request("look"))
            while sum(len(server.received) for server in servers) == before:
                await asyncio.sleep(0)
            if leaves:
                caller.close()
            await asyncio.sleep(2.0)
            assert sum(len(server.received) for server in servers) - before == (1 if leaves else 2)
            for server in servers:
                server.release.set()

    run_hastened(main())


@pytest.mark.parametrize("leaves", [False, True])
def test_a_caller_that_has_left_gets_no_attempt_that_waits_for_a_place(leaves: bool) -> None:
    """Of a first attempt and of a repeat, which the module keeps in one queue."""

    async def main() -> None:
        async with StubServer([held(reply("200 OK"))]) as server, world(row("a", server.address)) as w:
            queue, told = w.node._balancer._queue, Told(w)
            callers: list[Caller] = []
            while not queue:
                caller = await w.caller()
                caller.writer.write(request("look", target=f"/api/{len(callers)}"))
                callers.append(caller)
                while len(w.node._requests) < len(callers):
                    await asyncio.sleep(0)
            if leaves:
                callers[-1].close()
                await told.first(RequestGone)
                assert not queue
            server.release.set()
            for caller in callers[: -1 if leaves else None]:
                assert (await caller.answer()).status == 200
            last = f"/api/{len(callers) - 1}"
            assert (last in [got.target for got in server.received]) is not leaves

    run(main())
