"""The commands of deploy/balancer.toml, as the platform starts them."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import re
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

import pytest

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
    settings,
)

ROOT = Path(__file__).parents[2]


async def _start(environment: dict[str, str], pass_fds: tuple[int, ...] = ()) -> asyncio.subprocess.Process:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        command,
        cwd=ROOT,
        env={**os.environ, **environment},
        stderr=asyncio.subprocess.PIPE,
        pass_fds=pass_fds,
    )


def _configuration(server: StubServer) -> dict[str, Any]:
    return {
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(1, row("a", server.address)),
        "settings": settings(registryMode="pushed"),
    }


def _environment(discovery: StubDiscovery, config: Path) -> dict[str, str]:
    return {
        "NODE_NAME": "n0",
        "NODE_LISTEN": f"{HOST}:0",
        "NODE_DISCOVERY": discovery.address,
        "NODE_CONFIG": str(config),
    }


async def _told(process: asyncio.subprocess.Process, what: str) -> tuple[str, int]:
    """The address that the node's log names."""
    assert process.stderr is not None
    line = ""
    while not (found := re.search(rf"{what} on ([\d.]+):(\d+)", line)):
        line = (await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S)).decode()
        assert line, "the node ended"
    return found[1], int(found[2])


def test_run_serves_a_request_lives_through_sighup_and_ends_with_0_on_sigterm(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            raw = _configuration(server)
            config.write_text(json.dumps(raw))
            process = await _start(_environment(discovery, config))
            client = await Client.connect(await _told(process, "listens"))
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


def test_sighup_before_the_node_can_hear_it_ends_nothing_and_is_made_up_for(tmp_path: Path) -> None:
    """Guards against a crash in the moment of the start, and against a node that watches where nobody is."""

    async def main() -> None:
        async with StubServer([]) as server, StubDiscovery() as old, StubDiscovery() as moved:
            config = tmp_path / "config.json"
            config.write_text(json.dumps({**_configuration(server), "discovery": moved.address}))
            process = await _start(_environment(old, config))
            command = Path(f"/proc/{process.pid}/cmdline")
            while not command.read_bytes().startswith(b".venv/bin/python"):
                await asyncio.sleep(0)
            process.send_signal(signal.SIGHUP)
            await moved.watch()
            process.send_signal(signal.SIGTERM)
            _, log = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0, log.decode()

    run(main())


def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path: Path) -> None:
    async def main() -> None:
        config = tmp_path / "config.json"
        config.write_text("{}")
        process = await _start({"NODE_NAME": "n0", "NODE_CONFIG": str(config)})
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
        ({"NODE_ACCEPT_FD": "bound"}, "is no listening TCP socket"),
    ],
)
def test_a_bad_second_address_or_listener_is_one_line_and_exit_code_2(
    tmp_path: Path, variables: dict[str, str], text: str
) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(_configuration(server)))
            with socket.socket() as bound:
                bound.bind((HOST, 0))
                named = {"bound": str(bound.fileno()), "taken": server.address}
                given = {name: named.get(value, value) for name, value in variables.items()}
                process = await _start(
                    {**_environment(discovery, config), **given}, pass_fds=(bound.fileno(),)
                )
                _, error = await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 2
            assert error.decode().count("\n") == 1 and text in error.decode()

    run(main())


def test_a_new_version_takes_over_under_load_and_no_request_is_turned_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(_configuration(server)))
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen(64)
                address = listener.getsockname()
                descriptor = listener.fileno()
                common = {**_environment(discovery, config), "NODE_ACCEPT_FD": str(descriptor)}
                started = []
                for _ in range(2):
                    process = await _start({**common, "NODE_MANAGEMENT": f"{HOST}:0"}, (descriptor,))
                    started.append((process, await _told(process, "managed")))
                    send_line(await discovery.watch(), listing(2, row("a", server.address)))
                    await _told(process, "listens")
                (old, _), (new, managed) = started
                kept = await Client.connect(address)
                done, asked = asyncio.Event(), 0

                async def ask_on_new_connections() -> None:
                    nonlocal asked
                    while not done.is_set():
                        client = await Client.connect(address)
                        assert (await client.ask("look")).body == b"served"
                        client.close()
                        asked += 1

                load = [asyncio.create_task(ask_on_new_connections()) for _ in range(4)]
                assert (await kept.ask("look")).status == 200
                old.send_signal(signal.SIGTERM)
                await asyncio.wait_for(old.communicate(), WAIT_TIMEOUT_S)
                assert old.returncode == 0
                done.set()
                await asyncio.gather(*load)
                assert asked and len(server.received) == asked + 1
                client = await Client.connect(managed)
                assert (await client.ask(target="/api/ready")).status == 200
                new.send_signal(signal.SIGTERM)
                await asyncio.wait_for(new.communicate(), WAIT_TIMEOUT_S)
                assert new.returncode == 0

    run(main())


def _peak_kb(process: asyncio.subprocess.Process) -> int:
    """The most memory that the process has held so far."""
    text = Path(f"/proc/{process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", text)
    assert found
    return int(found[1])


def test_long_bodies_both_ways_at_once_take_little_memory(tmp_path: Path) -> None:
    """Six of 32 MB down to callers that read late and six up, under a limit of 48 MB for the whole node."""

    size, several = 32 * 1024 * 1024, 6
    block = bytes(range(256)) * 1024
    digest = hashlib.sha256(block * (size // len(block))).digest()

    async def pour(server: StubServer, got: Received, writer: asyncio.StreamWriter) -> None:
        if got.body:
            same = hashlib.sha256(got.body).digest() == digest
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + (b"same" if same else b"else"))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // len(block)):
            writer.write(block)
            await writer.drain()

    async def up(address: tuple[str, int]) -> None:
        client = await Client.connect(address)
        head = request("book", body=b"x")[:-1].replace(b"Length: 1", b"Length: %d" % size)
        client.writer.write(head)
        for _ in range(size // len(block)):
            client.writer.write(block)
            await client.writer.drain()
        assert (await client.answer()).body == b"same"

    async def down(address: tuple[str, int], may_read: asyncio.Event) -> None:
        client = await Client.connect(address)
        client.writer.write(request("look"))
        await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), WAIT_TIMEOUT_S)
        await asyncio.wait_for(may_read.wait(), 2 * WAIT_TIMEOUT_S)
        got = hashlib.sha256()
        left = size
        while left:
            piece = await asyncio.wait_for(client.reader.read(min(left, 1 << 20)), WAIT_TIMEOUT_S)
            assert piece, "the answer broke off"
            got.update(piece)
            left -= len(piece)
        assert got.digest() == digest

    async def main() -> None:
        async with StubServer([pour]) as server, StubDiscovery() as discovery:
            config = tmp_path / "config.json"
            limits = {"cores": 1.0, "memory_mb": 48, "sockets": 256}
            config.write_text(json.dumps({**_configuration(server), "limits": limits}))
            process = await _start(_environment(discovery, config))
            address = await _told(process, "listens")
            client = await Client.connect(address)
            assert (await client.ask("look", target="/ready")).status == 200
            before = _peak_kb(process)
            may_read = asyncio.Event()
            downs = [asyncio.create_task(down(address, may_read)) for _ in range(several)]
            await asyncio.gather(*[up(address) for _ in range(several)])
            may_read.set()
            await asyncio.gather(*downs)
            assert _peak_kb(process) - before < 24 * 1024, "long bodies were held"
            process.terminate()
            await asyncio.wait_for(process.communicate(), WAIT_TIMEOUT_S)
            assert process.returncode == 0

    run(main())
