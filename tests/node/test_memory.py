"""Tests that the memory of a node process stays below its limit, whatever its peers leave unread."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from crowpost.node.byte_budget import (
    CONNECTION_BYTES,
    MAX_BUDGET_FRACTION,
    MEMORY_PER_BYTE,
    MIN_BUFFER_BYTES,
    OPTIONAL_FRACTION,
    PROCESS_BYTES,
    REQUEST_FRACTION,
    STREAM_BUFFER_BYTES,
    ByteBudget,
    RequestReservation,
    Reservation,
    budget_bytes,
)
from crowpost.node.http.message import MAX_BODY, Message
from crowpost.node.http.parser import MessageParser
from crowpost.node.resource_shares import CLIENT_SOCKET_FRACTION, ENDPOINT_SOCKET_FRACTION
from tests.node.processes import (
    deploy,
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Behaviour,
    Client,
    Received,
    RunningNode,
    StubDiscovery,
    StubServer,
    held,
    listing,
    reply,
    request,
    reset,
    row,
    run,
    running_node,
    send_line,
    unresponsive,
    with_fresh_ids,
)

# The least memory of a node and the most descriptors, a third of which clients use (TERMS, "Resources").
MEMORY_MB = 32
SOCKETS = 1024
CLIENTS = SOCKETS // 3
MAX_MEMORY_BYTES = MEMORY_MB * 1_000_000
SERVERS = 9
# How long the peers hold what they hold, after the last client has sent its request.
WATCH_S = 2.0
WATCH_INTERVAL_S = 0.02
UPGRADE_WATCH_S = 0.5
# RssAnon and RssShmem; a process that has ended has neither.
COUNTED_FIELDS = 2
# The most endpoints that the operators name, and how often all of them are replaced here.
MOST_ENDPOINTS = 3200
# The endpoints of a fleet of the usual size ("about 200 nodes", STANDING).
FLEET_ENDPOINTS = 200
LIST_INTERVAL_S = 0.7
LISTS_WATCH_S = 12.0
CLIENT_INTERVAL_S = 0.005
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


def streaming(head: bytes, piece: bytes, count: int, end: bytes = b"") -> Behaviour:
    """Return a behaviour that writes a piece many times, as fast as the node reads, and stays connected."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(head)
        for _ in range(count):
            writer.write(piece)
            await writer.drain()
        writer.write(end)
        if not end:
            await server.release.wait()

    return behave


CHUNK = b"%x\r\n%s\r\n" % (MAX_BODY, bytes(MAX_BODY))
LOOK = request("look")
SMALL_HEADERS = b"".join(b"%x:\r\n" % index for index in range(2500))
PIPELINED = b"".join(request("look", target=f"/api/{index}") for index in range(32))
BODY_HEAD = request("book", drop=("Content-Length",), extra=f"Content-Length: {MAX_BODY}\r\n")
# What the servers answer, and what each client sends and then neither reads nor continues.
LOADS: dict[str, tuple[Behaviour, bytes]] = {
    "long answers": (streaming(CHUNKED, CHUNK, 256, b"0\r\n\r\n"), LOOK),
    "pipelined short answers": (reply("200 OK", bytes(60_000)), PIPELINED),
    "incomplete short answers": (streaming(OK + b"Content-Length: 65000\r\n\r\n", bytes(64_900), 1), LOOK),
    "incomplete answers in small chunks": (streaming(CHUNKED, b"2\r\nab\r\n" * 30_000, 1), LOOK),
    "incomplete bodies": (unresponsive, BODY_HEAD + bytes(65_000)),
    "complete bodies": (unresponsive, BODY_HEAD + bytes(MAX_BODY)),
    "incomplete heads": (
        unresponsive,
        b"GET /api HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % i for i in range(2500)),
    ),
}


def own_memory_bytes(process: asyncio.subprocess.Process) -> int:
    """Return the memory of the process that counts: anonymous pages and those of files in memory."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    found = re.findall(r"Rss(?:Anon|Shmem):\s+(\d+) kB", status)
    assert len(found) == COUNTED_FIELDS, "the process has ended"
    return sum(1024 * int(size) for size in found)


async def send_and_stop(address: tuple[str, int], text: bytes) -> socket.socket:
    """Send this on a new connection with a small receive buffer, and read nothing."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    await loop.sock_connect(client, address)
    with contextlib.suppress(ConnectionError):
        await loop.sock_sendall(client, with_fresh_ids(text))
    return client


def endpoint_list(generation: int, count: int, servers: Sequence[StubServer]) -> dict[str, Any]:
    """Return a list of endpoints whose names are new with each generation, at these servers."""
    return listing(
        generation,
        *(row(f"s-{generation}-{i:06d}", servers[i % SERVERS].address) for i in range(count)),
    )


class ChangingLists:
    """Discovery, which replaces all endpoints again and again and tells each new watch the present list."""

    def __init__(self, discovery: StubDiscovery, count: int, servers: Sequence[StubServer]) -> None:
        self._discovery = discovery
        self._count = count
        self._servers = servers
        self._generation = 1
        self._watch: asyncio.StreamWriter | None = None

    async def tell(self, seconds: float) -> None:
        """Tell a new list in each interval, and make sure that the node has got the last one."""
        watching = asyncio.create_task(self._take_watches())
        for _ in range(int(seconds / LIST_INTERVAL_S)):
            self._generation += 1
            self._send()
            await asyncio.sleep(LIST_INTERVAL_S)
        assert self._watch is not None
        self._watch.close()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while f"from={self._generation}" not in self._discovery.targets[-1]:
                await asyncio.sleep(WATCH_INTERVAL_S)
        watching.cancel()

    async def _take_watches(self) -> None:
        while True:
            self._watch = await self._discovery.watches.get()
            self._send()

    def _send(self) -> None:
        if self._watch is not None:
            with contextlib.suppress(RuntimeError):  # closed, and the next one is about to be opened
                send_line(self._watch, endpoint_list(self._generation, self._count, self._servers))


async def peak_during(process: asyncio.subprocess.Process, task: asyncio.Task[None]) -> int:
    """Return the most memory of the process until the task has ended, in bytes."""
    peak = 0
    while not task.done():
        peak = max(peak, own_memory_bytes(process))
        await asyncio.sleep(WATCH_INTERVAL_S)
    await task
    return peak


async def peak_with_stalled_clients(load: str, tmp_path: Path, endpoints: int = 0) -> int:
    """Return the most memory of a process whose clients and servers play this load, in bytes.

    endpoints: the length of the endpoint lists that the node is told meanwhile; 0 for one short list.
    """
    behaviour, text = LOADS[load]
    async with contextlib.AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(StubServer([behaviour])) for _ in range(SERVERS)]
        discovery = await stack.enter_async_context(StubDiscovery())
        config = tmp_path / "config.json"
        raw = node_configuration(*servers, memory_mb=MEMORY_MB, sockets=SOCKETS)
        if endpoints:
            raw["known"] = endpoint_list(1, endpoints, servers)
        config.write_text(json.dumps(raw))
        process = await stack.enter_async_context(
            running_process(await start_node(node_environment(discovery, config), root=deploy(tmp_path)))
        )
        address = await logged_address(process, "listens")
        assert process.stderr is not None
        log = asyncio.create_task(process.stderr.read())
        watch_s = CLIENTS * CLIENT_INTERVAL_S + WATCH_S
        waiting = ChangingLists(discovery, endpoints, servers).tell(watch_s) if endpoints else None
        watch = asyncio.create_task(waiting or asyncio.sleep(watch_s))
        peaks = asyncio.create_task(peak_during(process, watch))
        clients = []
        for _ in range(CLIENTS):
            clients.append(asyncio.create_task(send_and_stop(address, text)))
            await asyncio.sleep(CLIENT_INTERVAL_S)
        peak = await peaks
        assert (await (await Client.connect(address)).ask(target="/ready")).status == 200
        process.kill()
        await process.wait()
        await log
        for task in clients:
            task.cancel()
        for ended in await asyncio.gather(*clients, return_exceptions=True):
            if isinstance(ended, socket.socket):
                ended.close()
        for server in servers:
            server.release.set()
    return peak


@pytest.mark.parametrize("load", LOADS)
def test_a_process_stays_below_its_memory_limit_with_peers_that_stall(load: str, tmp_path: Path) -> None:
    """Guards against a process that is killed for memory that no budget counts."""

    async def main() -> None:
        assert await peak_with_stalled_clients(load, tmp_path) < MAX_MEMORY_BYTES

    run(main())


@pytest.mark.parametrize("load", ["long answers", "incomplete short answers"])
def test_a_process_with_long_endpoint_lists_stays_below_its_memory_limit(load: str, tmp_path: Path) -> None:
    """Guards against a byte budget that takes no account of how much memory the endpoints need."""

    async def main() -> None:
        assert await peak_with_stalled_clients(load, tmp_path, MOST_ENDPOINTS) < MAX_MEMORY_BYTES

    run(main())


def files_of_all_parts(directory: Path) -> dict[str, str]:
    """Write a configuration of membership, the state directory and the feed; return their variables."""
    texts = {
        "NODE_MEMBERS": f'[members]\ncluster = "c"\nlisten = "{HOST}:0"\njoin = ["{HOST}:1"]\n',
        "NODE_STATE": f'[state]\ndirectory = "{directory}/state"\n',
        "NODE_FEED": f'[feed]\ncluster = "c"\nregion = "r"\nzone = "z"\nservice = "s"\n'
        f'directory = "{directory}/feed"\n[[feed.upstreams]]\naddress = "{HOST}:1"\nregion = "r"\n',
    }
    for variable, text in texts.items():
        (directory / f"{variable}.toml").write_text(text)
    return {variable: str(directory / f"{variable}.toml") for variable in texts}


@pytest.mark.parametrize("endpoints", [790, MOST_ENDPOINTS])
def test_a_process_with_all_parts_on_stays_below_its_memory_limit(endpoints: int, tmp_path: Path) -> None:
    """Guards against endpoint lists that wait for a slow state directory and are bounded by nothing."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            servers = [
                await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
                for _ in range(SERVERS)
            ]
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            raw = node_configuration(*servers, memory_mb=MEMORY_MB, sockets=SOCKETS)
            raw["known"] = endpoint_list(1, endpoints, servers)
            config.write_text(json.dumps(raw))
            environment = {**node_environment(discovery, config), **files_of_all_parts(tmp_path)}
            process = await stack.enter_async_context(
                running_process(await start_node(environment, root=deploy(tmp_path)))
            )
            await logged_address(process, "listens")
            assert process.stderr is not None
            log = asyncio.create_task(process.stderr.read())
            lists = asyncio.create_task(ChangingLists(discovery, endpoints, servers).tell(LISTS_WATCH_S))
            peak = await peak_during(process, lists)
            process.kill()
            await process.wait()
            await log
            assert peak < MAX_MEMORY_BYTES, f"{peak / 1e6:.1f} MB"

    run(main())


# ---------------------------------------------------------------- the budget


@pytest.mark.parametrize("memory_mb", [32, 64, 128, 192])
@pytest.mark.parametrize("sockets", [256, 512, 1024])
def test_the_budget_the_process_and_its_connections_stay_below_the_memory_limit(
    memory_mb: int, sockets: int
) -> None:
    connections = int((CLIENT_SOCKET_FRACTION + ENDPOINT_SOCKET_FRACTION) * sockets)
    limit = memory_mb * 1_000_000
    budget = budget_bytes(limit, connections)
    assert PROCESS_BYTES + CONNECTION_BYTES * connections + MEMORY_PER_BYTE * budget <= limit
    assert budget <= MAX_BUDGET_FRACTION * limit
    assert budget * REQUEST_FRACTION >= STREAM_BUFFER_BYTES


def test_requests_and_optional_bytes_leave_room_for_responses() -> None:
    budget = ByteBudget(1000)
    requests, response, extra = RequestReservation(budget), Reservation(budget), Reservation(budget)
    assert not requests.try_resize(int(1000 * REQUEST_FRACTION) + 1)
    assert requests.try_resize(int(1000 * REQUEST_FRACTION))
    assert not extra.try_resize(int(1000 * OPTIONAL_FRACTION), optional=True)
    assert response.try_resize(500)
    assert not extra.try_resize(1)
    response.release()
    response.release()
    assert budget.reserved == requests.size
    requests.release()
    assert budget.reserved == budget.reserved_by_requests == 0


def test_a_reservation_shrinks_only_while_bytes_are_scarce() -> None:
    budget = ByteBudget(1000)
    reservation, other = Reservation(budget), Reservation(budget)
    assert reservation.try_resize(400)
    reservation.shrink_if_scarce(100)
    assert reservation.size == 400
    assert other.try_resize(400)
    reservation.shrink_if_scarce(100)
    assert (reservation.size, budget.reserved) == (100, 500)


# ---------------------------------------------------------------- what is reserved is returned


def long_answer_that_breaks(text: bytes) -> Behaviour:
    """Return a behaviour that writes this and resets the connection."""

    async def behave(server: StubServer, received: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await writer.drain()
        await reset(server, received, writer)

    return behave


async def leave(client: Client) -> None:
    client.close()


async def half_close(client: Client) -> None:
    client.writer.write_eof()


async def read_on(client: Client) -> None:
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await client.answer()


UPLOAD = request("book", body=bytes(4 * MAX_BODY))
# What the server does, what the client sends, and what the client does then.
ENDINGS: dict[str, tuple[Behaviour, bytes, Callable[[Client], Awaitable[None]]]] = {
    "client leaves in a long answer": (streaming(CHUNKED, CHUNK, 100), LOOK, leave),
    "client leaves in a body": (unresponsive, request("book", body=bytes(60_000))[:-1], leave),
    "client leaves in an upload": (unresponsive, UPLOAD[:-1], leave),
    "client leaves while its requests wait": (unresponsive, PIPELINED, leave),
    "client closes its sending side": (unresponsive, request("book", body=bytes(60_000)), half_close),
    "server breaks a long answer": (long_answer_that_breaks(CHUNKED + CHUNK * 3), LOOK, read_on),
    "server breaks a short answer": (long_answer_that_breaks(CHUNKED + b"5\r\nab"), LOOK, read_on),
    "server breaks an upload": (reset, UPLOAD, read_on),
}


@pytest.mark.parametrize("ending", ENDINGS)
def test_every_reserved_byte_is_returned_exactly_once(ending: str) -> None:
    """Guards against a budget that shrinks, or grows, with each request that ends early."""
    behaviour, text, then = ENDINGS[ending]

    async def main() -> None:
        async with StubServer([behaviour]) as server, running_node(row("a", server.address)) as running:
            for _ in range(3):
                await play(running, server, text, then)
            listener = running.node._listener
            while listener._connections or running.node._requests.calls:
                await asyncio.sleep(0)
                listener.close_idle(0.0)
            assert listener.budget.reserved == listener.budget.reserved_by_requests == 0

    async def play(
        running: RunningNode, server: StubServer, text: bytes, then: Callable[[Client], Awaitable[None]]
    ) -> None:
        listener = running.node._listener
        client = await running.client()
        client.reader._limit = 1024  # type: ignore[attr-defined]
        client.writer.write(with_fresh_ids(text))
        while not listener.budget.reserved:
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)
        await asyncio.wait_for(then(client), WAIT_TIMEOUT_S)
        client.writer.close()

    run(main())


@pytest.mark.parametrize("begin", ["sigterm", "drain", "reload"])
def test_requests_during_a_shutdown_drain_or_reload_return_their_bytes(begin: str) -> None:
    async def main() -> None:
        behaviour = held(reply("200 OK", bytes(60_000)))
        async with StubServer([behaviour]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request("book", body=bytes(60_000)))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            budget = running.node._listener.budget
            assert budget.reserved >= 60_000 + MIN_BUFFER_BYTES
            if begin == "sigterm":
                running.node.terminate()
            elif begin == "drain":
                assert (await running.manage("POST", "/api/evacuate")).status == 200
            else:
                running.node.reconfigure()
            server.release.set()
            assert len((await client.answer()).body) == 60_000
            client.close()
            while running.node._listener._connections:
                await asyncio.sleep(0)
            assert budget.reserved == budget.reserved_by_requests == 0

    run(main())


# ---------------------------------------------------------------- heads


def test_headers_that_no_code_reads_are_not_kept() -> None:
    """Guards against thousands of small headers, of a hundred bytes of memory each."""
    kept: Counter[bytes] = Counter()

    class Recorder:
        def on_head(self, message: Message) -> None:
            kept.update(message.headers.keys())

        def on_message(self, message: Message) -> None:
            pass

        def on_stream_start(self, message: Message) -> None:
            pass

        def on_stream_data(self, data: bytes) -> None:
            pass

        def on_stream_end(self, message: Message) -> None:
            pass

    text = b"GET / HTTP/1.1\r\nHost: a\r\n" + SMALL_HEADERS + b"\r\n"
    MessageParser(Recorder(), requests=True).feed(text)
    assert kept == Counter([b"host"])


def files_bytes(directory: Path) -> int:
    return sum(file.stat().st_size for file in directory.rglob("*") if file.is_file())


async def peak_of_upgrade(directory: Path, clients: int, load: str, endpoints: int = 0) -> int:
    """Return the most memory of both processes of an upgrade and of their files, in bytes.

    clients: how many play this load; endpoints: the length of the list that both start with; 0: a short one.
    """
    behaviour, text = LOADS[load]
    async with contextlib.AsyncExitStack() as stack:
        servers = [await stack.enter_async_context(StubServer([behaviour])) for _ in range(SERVERS)]
        discovery = await stack.enter_async_context(StubDiscovery())
        raw = node_configuration(*servers, memory_mb=MEMORY_MB, sockets=SOCKETS)
        if endpoints:
            raw["known"] = endpoint_list(1, endpoints, servers)
        config = directory / "config.json"
        config.write_text(json.dumps(raw))
        shared = directory / "shared"
        shared.mkdir()
        listener = stack.enter_context(socket.create_server((HOST, 0)))
        environment = {
            **node_environment(discovery, config),
            "NODE_ACCEPT_FD": str(listener.fileno()),
            "TMPDIR": str(shared),
        }
        peak = 0
        processes = []
        logs = []
        root = deploy(directory)
        for _ in range(2):
            process = await start_node(environment, (listener.fileno(),), root=root)
            processes.append(await stack.enter_async_context(running_process(process)))
            await logged_address(process, "listens")
            assert process.stderr is not None
            logs.append(asyncio.create_task(process.stderr.read()))
            # Half of the clients are there when the second process starts, the others come then.
            for _ in range(clients // 2):
                client = await send_and_stop(listener.getsockname(), text)
                stack.callback(client.close)
            for _ in range(int(UPGRADE_WATCH_S / WATCH_INTERVAL_S)):
                own = sum(map(own_memory_bytes, processes))
                peak = max(peak, own + files_bytes(shared))
                await asyncio.sleep(WATCH_INTERVAL_S)
        assert (await (await Client.connect(listener.getsockname())).ask(target="/ready")).status == 200
        for process in processes:
            process.kill()
        await asyncio.gather(*logs)
        for server in servers:
            server.release.set()
    return peak


@pytest.mark.parametrize("clients", [0, CLIENTS])
def test_both_processes_of_an_upgrade_stay_below_the_memory_limit(clients: int, tmp_path: Path) -> None:
    """Guards against an upgrade that the platform ends for the memory of its two processes."""

    async def main() -> None:
        peak = await peak_of_upgrade(tmp_path, clients, "incomplete bodies")
        assert peak < MAX_MEMORY_BYTES, f"{peak / 1e6:.1f} MB"

    run(main())


@pytest.mark.parametrize("load", ["complete bodies", "pipelined short answers"])
def test_both_processes_of_an_upgrade_of_a_large_fleet_stay_below_the_memory_limit(
    load: str, tmp_path: Path
) -> None:
    async def main() -> None:
        peak = await peak_of_upgrade(tmp_path, CLIENTS, load, FLEET_ENDPOINTS)
        assert peak < MAX_MEMORY_BYTES, f"{peak / 1e6:.1f} MB"

    run(main())
