"""Stub servers of a run, in one process with little overhead: `python -m crowpost.lab.overhead.stub_servers`.

Servers of the last tier answer at once.  Those of earlier tiers forward a request, directly to a server of
the next tier or through that tier's node.  The query has the route (`/api?w=0` is direct), since a node
passes it on unchanged.

The first line of standard input is JSON with the numbers of tiers and of servers per tier, and is answered by
the ports.  Each later line has the ports of the nodes by route and tier, and is answered by the number of
calls that the last tier has received so far, by route.  The process ends at the end of its input.
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
# Request classes; the query has the index, as in `/api?w=1&c=0`.
CLASSES = ("safe", "keyed", "unsafe")
REQUEST = re.compile(rb"(\w+) /api\?w=(\d+)&c=(\d) ")
REQUEST_ID = re.compile(rb"x-request-id: *(\S+)", re.IGNORECASE)
CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


def message_size(data: bytes | bytearray) -> int:
    """Return the size of the first message in bytes, 0 if incomplete; only Content-Length is supported."""
    end = data.find(b"\r\n\r\n") + 4
    if end < 4:
        return 0
    length = CONTENT_LENGTH.search(data, 0, end)
    size = end + (int(length[1]) if length else 0)
    return size if len(data) >= size else 0


def build_request(request_id: bytes, route: int, class_index: int) -> bytes:
    """Return a request with this id; its idempotency key is the part of the id that all tiers share."""
    class_name = CLASSES[class_index]
    key = b"Idempotency-Key: %s\r\n" % request_id[:14].rjust(32, b"0") if class_name == "keyed" else b""
    body = b"" if class_name == "safe" else b"Content-Length: 2\r\n"
    return b"%s /api?w=%d&c=%d HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: %s\r\n%s%s%s\r\n%s" % (
        b"POST" if body else b"GET",
        route,
        class_index,
        request_id,
        class_name.encode(),
        b"X-Tenant: all\r\nX-Deadline: 20\r\n",
        key,
        body,
        b"{}" if body else b"",
    )


class StubServers:
    """The stub servers of all tiers."""

    def __init__(self, tiers: int) -> None:
        self.tiers = tiers
        self.ports: list[list[int]] = []
        self.nodes: list[list[int]] = [[]]  # Ports by route and tier; route 0 has no nodes.
        self.calls: list[int] = []  # Calls received by the last tier, by route.
        self._turn = 0
        self._idle: dict[int, list[ForwardConnection]] = {}

    def count_call(self, route: int) -> None:
        """Count a call received by the last tier."""
        self.calls += [0] * (route + 1 - len(self.calls))
        self.calls[route] += 1

    def next_port(self, tier: int, route: int) -> int:
        """Return the port to which a server of a tier forwards a request of a route."""
        if route:
            return self.nodes[route][tier + 1]
        self._turn += 1
        ports = self.ports[tier + 1]
        return ports[self._turn % len(ports)]

    def forward(self, port: int, data: bytes, client: ServerConnection) -> None:
        """Forward a request to a port; its answer is written to the connection that the request came from."""
        idle = self._idle.setdefault(port, [])
        while idle:
            connection = idle.pop()
            if not connection.transport.is_closing():
                connection.send(data, client)
                return
        task = asyncio.get_running_loop().create_task(self._open(port, data, client))
        self._opening = task

    async def _open(self, port: int, data: bytes, client: ServerConnection) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ForwardConnection(self._idle[port]), HOST, port
            )
        except OSError:
            client.transport.abort()
            return
        connection.send(data, client)


class ServerConnection(asyncio.Protocol):
    """One connection to a server of a tier."""

    transport: asyncio.Transport

    def __init__(self, stubs: StubServers, tier: int) -> None:
        self._stubs, self._tier = stubs, tier
        self._last = tier == stubs.tiers - 1
        self._data = b""

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer a complete request, or forward it to the next tier."""
        received_ns = time.perf_counter_ns()
        self._data = data = self._data + data
        size = message_size(data)
        if not size:
            return
        self._data = data[size:]
        request_line, request_id = REQUEST.match(data), REQUEST_ID.search(data)
        if request_line is None or request_id is None:
            self.transport.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif self._last:
            self._stubs.count_call(int(request_line[2]))
            body = b"%s %020d" % (request_id[1], received_ns)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        else:
            route = int(request_line[2])
            text = build_request(
                b"%s%02x" % (request_id[1][:14], self._tier + 1), route, int(request_line[3])
            )
            self._stubs.forward(self._stubs.next_port(self._tier, route), text, self)


class ForwardConnection(asyncio.Protocol):
    """One connection from a server to the next tier; one request at a time."""

    transport: asyncio.Transport

    def __init__(self, idle: list[ForwardConnection]) -> None:
        self._idle, self._data = idle, b""
        self._client: ServerConnection | None = None

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def send(self, data: bytes, client: ServerConnection) -> None:
        """Send a request whose answer belongs to `client`."""
        self._client = client
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Pass a complete answer back, and make the connection available again."""
        self._data = data = self._data + data
        if not message_size(data):
            return
        client, self._client, self._data = self._client, None, b""
        if client is None or message_size(data) != len(data):
            self.transport.abort()  # There are more bytes than the one answer.
        if client is not None:
            self._idle.append(self)
            client.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abort the connection whose request was in flight here."""
        if self in self._idle:
            self._idle.remove(self)
        if self._client is not None:
            self._client.transport.abort()


async def serve() -> None:
    """Serve until standard input ends, and print the counted calls for each line of it."""
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    options = json.loads(await lines.readline())
    stubs = StubServers(options["tiers"])

    def factory(tier: int) -> Any:
        return lambda: ServerConnection(stubs, tier)

    for tier in range(stubs.tiers):
        ports = []
        for _ in range(options["servers"]):
            server = await loop.create_server(factory(tier), HOST, 0)
            ports.append(server.sockets[0].getsockname()[1])
        stubs.ports.append(ports)
    print(json.dumps(stubs.ports), flush=True)
    while line := await lines.readline():
        stubs.nodes = json.loads(line)
        print(json.dumps(stubs.calls), flush=True)


if __name__ == "__main__":
    gc.freeze()
    # A run leaves little garbage, and the time of a collection would be attributed to the node.
    gc.disable()
    uvloop.run(serve())
