"""python -m crowpost.lab.overhead.stand: the stand-in servers of a run in one lean process.

The servers of the last tier answer at once; those of the tiers before pass a request on, straight to a server
of the next tier or through that tier's node.  Which way is told by the query (`/api?w=0` is direct), since a
node passes that on unchanged.  Standard input: a line of JSON with the numbers of tiers and of servers each,
answered by the ports; then lines with the nodes' ports by way and tier, each answered by the calls that the
last tier has had until then, by way.  It ends with its input.
"""

from __future__ import annotations

import asyncio
import gc
import json
import re
import sys
import time
from typing import Any

import uvloop

HOST = "127.0.0.1"
CLASSES = ("safe", "keyed", "unsafe")  # by the way's query: `/api?w=1&c=0`
REQUEST = re.compile(rb"(\w+) /api\?w=(\d+)&c=(\d) ")
REQUEST_ID = re.compile(rb"x-request-id: *(\S+)", re.IGNORECASE)
LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


def whole(data: bytes | bytearray) -> int:
    """How many bytes the message at the beginning takes, 0 while it is not whole.  Content-Length only."""
    end = data.find(b"\r\n\r\n") + 4
    if end < 4:
        return 0
    length = LENGTH.search(data, 0, end)
    size = end + (int(length[1]) if length else 0)
    return size if len(data) >= size else 0


def request(number: bytes, way: int, kind: int) -> bytes:
    """A request as a caller sends it; its id is fresh, its key the part of the id that all tiers share."""
    name = CLASSES[kind]
    key = b"Idempotency-Key: %s\r\n" % number[:14].rjust(32, b"0") if name == "keyed" else b""
    body = b"" if name == "safe" else b"Content-Length: 2\r\n"
    return b"%s /api?w=%d&c=%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: %s\r\n%s%s%s\r\n%s" % (
        b"POST" if body else b"GET",
        way,
        kind,
        number,
        name.encode(),
        b"X-Tenant: all\r\nX-Deadline: 20\r\n",
        key,
        body,
        b"{}" if body else b"",
    )


class Stand:
    """All tiers."""

    def __init__(self, tiers: int) -> None:
        self.tiers = tiers
        self.ports: list[list[int]] = []
        self.nodes: list[list[int]] = [[]]  # by way and tier; way 0 has none
        self.calls: list[int] = []  # that have come to servers of the last tier, by way
        self._turn = 0
        self._idle: dict[int, list[Onward]] = {}

    def count(self, way: int) -> None:
        """A call has come to the last tier."""
        self.calls += [0] * (way + 1 - len(self.calls))
        self.calls[way] += 1

    def target(self, tier: int, way: int) -> int:
        """The port to which a server of a tier passes on what came by a way."""
        if way:
            return self.nodes[way][tier + 1]
        self._turn += 1
        ports = self.ports[tier + 1]
        return ports[self._turn % len(ports)]

    def onward(self, port: int, data: bytes, back: Server) -> None:
        """Have a request carried to a port, its answer written back to whom it came from."""
        idle = self._idle.setdefault(port, [])
        while idle:
            line = idle.pop()
            if not line.transport.is_closing():
                line.carry(data, back)
                return
        task = asyncio.get_running_loop().create_task(self._open(port, data, back))
        self._opening = task

    async def _open(self, port: int, data: bytes, back: Server) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, line = await loop.create_connection(lambda: Onward(self._idle[port]), HOST, port)
        except OSError:
            back.transport.abort()
            return
        line.carry(data, back)


class Server(asyncio.Protocol):
    """One connection to a server of a tier."""

    transport: asyncio.Transport

    def __init__(self, stand: Stand, tier: int) -> None:
        self._stand, self._tier = stand, tier
        self._last = tier == stand.tiers - 1
        self._data = b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a whole request, or pass it on to the next tier."""
        at = time.perf_counter_ns()
        self._data = data = self._data + data
        size = whole(data)
        if not size:
            return
        self._data = data[size:]
        found, number = REQUEST.match(data), REQUEST_ID.search(data)
        if found is None or number is None:
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif self._last:
            self._stand.count(int(found[2]))
            body = b"%s %020d" % (number[1], at)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            way = int(found[2])
            text = request(b"%s%02x" % (number[1][:14], self._tier + 1), way, int(found[3]))
            self._stand.onward(self._stand.target(self._tier, way), text, self)


class Onward(asyncio.Protocol):
    """One connection from a server to the next tier; one request at a time."""

    transport: asyncio.Transport

    def __init__(self, idle: list[Onward]) -> None:
        self._idle, self._data = idle, b""
        self._back: Server | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def carry(self, data: bytes, back: Server) -> None:
        """Send a request whose answer belongs to `back`."""
        self._back = back
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Pass a whole answer back, and put the connection with the idle ones."""
        self._data = data = self._data + data
        if not whole(data):
            return
        back, self._back, self._data = self._back, None, b""
        if back is None or whole(data) != len(data):
            self.transport.abort()  # more than was asked for
        if back is not None:
            self._idle.append(self)
            back.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the connection whose request was in flight here."""
        if self in self._idle:
            self._idle.remove(self)
        if self._back is not None:
            self._back.transport.abort()


async def serve() -> None:
    """Serve until standard input ends; the calls counted are printed then."""
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    asked = json.loads(await lines.readline())
    stand = Stand(asked["tiers"])

    def factory(tier: int) -> Any:
        return lambda: Server(stand, tier)

    for tier in range(stand.tiers):
        ports = []
        for _ in range(asked["servers"]):
            server = await loop.create_server(factory(tier), HOST, 0)
            ports.append(server.sockets[0].getsockname()[1])
        stand.ports.append(ports)
    print(json.dumps(stand.ports), flush=True)
    while line := await lines.readline():
        stand.nodes = json.loads(line)
        print(json.dumps(stand.calls), flush=True)


if __name__ == "__main__":
    gc.freeze()
    gc.disable()  # what a run leaves is little, and a collection would be taken for the node's
    uvloop.run(serve())
