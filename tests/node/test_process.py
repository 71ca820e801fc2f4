"""The run command of deploy/balancer.toml, started as the platform does."""

from __future__ import annotations

import asyncio
import errno
import hashlib
import json
import re
import signal
import socket
from pathlib import Path

import pytest

from crowpost import __main__, log_output
from tests.node.processes import logged_address, node_configuration, node_environment, start_node
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Client,
    Received,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    request,
    row,
    run,
    send_line,
)


def test_run_serves_requests_survives_sighup_and_exits_with_0_on_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            raw = node_configuration(server)
            config.write_text(json.dumps(raw))
            process = await start_node(node_environment(discovery, config))
            client = await Client.connect(await logged_address(process, "listens"))
            assert (await client.ask(target="/ready")).status == 200
            assert (await client.ask("look")).body == b"served"
            async with StubDiscovery() as moved:
                config.write_text(json.dumps({**raw, "discovery": moved.address}))
                process.send_signal(signal.SIGHUP)
                await moved.watch()
                assert (await client.ask("look")).body == b"served"
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0, log.decode()

    run(main())


def test_sighup_during_the_start_is_survived_and_applied_later(tmp_path: Path) -> None:
    """Guards against a start that SIGHUP ends, and against watching an outdated discovery address."""

    async def main() -> None:
        async with StubServer([]) as server, StubDiscovery() as old, StubDiscovery() as moved:
            config = tmp_path / "config.json"
            config.write_text(json.dumps({**node_configuration(server), "discovery": moved.address}))
            process = await start_node(node_environment(old, config))
            command = Path(f"/proc/{process.pid}/cmdline")
            while not command.read_bytes().startswith(b".venv/bin/python"):
                await asyncio.sleep(0)
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0, log.decode()

    run(main())


def test_invalid_configuration_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text("{}")
        process = await start_node({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
        _, error = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
        assert process.returncode == 2
        assert error.decode() == "crowpost: settings is missing or not of type dict: None\n"

    run(main())


@pytest.mark.parametrize(
    ("variables", "text"),
    [
        ({"NODE_ACCEPT_FD": "three"}, "NODE_ACCEPT_FD is not a descriptor: 'three'"),
        (
            {"NODE_ACCEPT_FD": "99"},
            "descriptor 99 is no socket: [Errno 9]",
        ),
        ({"NODE_ACCEPT_FD": "2"}, "NODE_ACCEPT_FD: descriptor 2 is no "),
        ({"NODE_MANAGEMENT": "here"}, "NODE_MANAGEMENT is not an address and a port: 'here'"),
        ({"NODE_MANAGEMENT": "taken"}, "NODE_MANAGEMENT cannot be used: "),
        ({"NODE_LISTEN": "taken"}, "NODE_LISTEN cannot be used: "),
        ({"NODE_ACCEPT_FD": "bound"}, "is no listening TCP socket"),
    ],
)
def test_invalid_admin_address_or_descriptor_prints_one_line_and_exits_with_2(
    tmp_path: Path, variables: dict[str, str], text: str
) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            with socket.socket() as bound:
                bound.bind((HOST, 0))
                values = {"bound": str(bound.fileno()), "taken": server.address}
                substituted = {name: values.get(value, value) for name, value in variables.items()}
                process = await start_node(
                    {**node_environment(discovery, config), **substituted}, pass_fds=(bound.fileno(),)
                )
                _, error = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 2
            assert error.decode().count("\n") == 1 and text in error.decode()

    run(main())


def test_a_fault_of_the_system_while_a_node_runs_is_not_reported_as_its_configuration(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process whose end is put down to its address, whatever has ended it."""

    async def fail(_: object) -> None:
        raise OSError(errno.ENOSPC, "no space")

    config = tmp_path / "config.json"
    config.write_text(json.dumps({**node_configuration(), "listen": f"{HOST}:0", "discovery": f"{HOST}:1"}))
    monkeypatch.setenv("NODE_NAME", "n0")
    monkeypatch.setenv("NODE_CONFIG", str(config))
    monkeypatch.setattr(__main__, "_serve", fail)
    monkeypatch.setattr(log_output, "install", lambda: None)
    with pytest.raises(OSError, match="no space"):
        __main__.main()


def test_upgrade_under_load_rejects_no_request(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen(64)
                address = listener.getsockname()
                descriptor = listener.fileno()
                common = {**node_environment(discovery, config), "NODE_ACCEPT_FD": str(descriptor)}
                started = []
                for _ in range(2):
                    process = await start_node({**common, "NODE_MANAGEMENT": f"{HOST}:0"}, (descriptor,))
                    started.append((process, await logged_address(process, "managed")))
                    send_line(await discovery.watch(), listing(2, row("a", server.address)))
                    await logged_address(process, "listens")
                (old, _), (new, managed) = started
                kept = await Client.connect(address)
                done, request_count = asyncio.Event(), 0

                async def ask_on_new_connections() -> None:
                    nonlocal request_count
                    while not done.is_set():
                        client = await Client.connect(address)
                        assert (await client.ask("look")).body == b"served"
                        client.close()
                        request_count += 1

                load = [asyncio.create_task(ask_on_new_connections()) for _ in range(4)]
                assert (await kept.ask("look")).status == 200
                old.send_signal(signal.SIGTERM)
                await asyncio.wait_for(old.communicate(), WAIT_TIMEOUT_S)
                assert old.returncode == 0
                done.set()
                await asyncio.gather(*load)
                assert request_count and len(server.received) == request_count + 1
                client = await Client.connect(managed)
                assert (await client.ask(target="/api/ready")).status == 200
                new.send_signal(signal.SIGTERM)
                await asyncio.wait_for(new.communicate(), WAIT_TIMEOUT_S)
                assert new.returncode == 0

    run(main())


def _peak_memory_kb(process: asyncio.subprocess.Process) -> int:
    """Return the peak resident memory of the process so far."""
    text = Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", text)
    assert found
    return int(found[1])


def test_long_bodies_in_both_directions_take_little_memory(tmp_path: Path) -> None:
    """Six 32 MB downloads to clients that read late and six uploads, with a memory limit of 48 MB."""

    size, transfers = 32 * 1024 * 1024, 6
    block = bytes(range(256)) * 1024
    digest = hashlib.sha256(block * (size // len(block))).digest()

    async def serve_long_body(server: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
        if got.body:
            is_same = hashlib.sha256(got.body).digest() == digest
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + (b"same" if is_same else b"else"))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // len(block)):
            writer.write(block)
            await writer.drain()

    async def upload(address: tuple[str, int]) -> None:
        client = await Client.connect(address)
        head = request("book", body=b"x")[:-1].replace(b"Length: 1", b"Length: %d" % size)
        client.writer.write(head)
        for _ in range(size // len(block)):
            client.writer.write(block)
            await client.writer.drain()
        assert (await client.answer()).body == b"same"

    async def download(address: tuple[str, int], may_read: asyncio.Event) -> None:
        client = await Client.connect(address)
        client.writer.write(request("look"))
        await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        await asyncio.wait_for(may_read.wait(), 2 * WAIT_TIMEOUT_S)
        got = hashlib.sha256()
        left = size
        while left:
            piece = await asyncio.wait_for(client.reader.read(min(left, 1 << 20)), WAIT_TIMEOUT_S)
            assert piece, "the response ended early"
            got.update(piece)
            left -= len(piece)
        assert got.digest() == digest

    async def main() -> None:
        async with StubServer([serve_long_body]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            limits = {"cores": 1.0, "memory_mb": 48, "sockets": 256}
            config.write_text(json.dumps({**node_configuration(server), "limits": limits}))
            process = await start_node(node_environment(discovery, config))
            address = await logged_address(process, "listens")
            client = await Client.connect(address)
            assert (await client.ask("look", target="/ready")).status == 200
            before = _peak_memory_kb(process)
            may_read = asyncio.Event()
            downloads = [asyncio.create_task(download(address, may_read)) for _ in range(transfers)]
            await asyncio.gather(*[upload(address) for _ in range(transfers)])
            may_read.set()
            await asyncio.gather(*downloads)
            assert _peak_memory_kb(process) - before < 24 * 1024, "long bodies were kept in memory"
            process.terminate()
            await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0

    run(main())
