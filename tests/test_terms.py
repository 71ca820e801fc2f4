"""The operators' terms for the standing test, each forced on loopback sockets: docs/crossings.md."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

import pytest

from tests.hastened import run_hastened
from tests.stubs import HOST, listing, read_head, row, settings, tell, world

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
        discovery._address = end.getsockname()
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
            w.node._discovery._address = server.sockets[0].getsockname()
            await asyncio.sleep(60.0)
        server.close()
        assert len(calls) == 1

    run_hastened(main())
