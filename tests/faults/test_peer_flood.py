"""Tests that members and publishers that send without sense neither hold up a node nor exceed its limits."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from pathlib import Path

import pytest

from crowpost.membership.wire import LENGTH_PREFIX, MAX_FRAME_BYTES
from tests.node.processes import (
    deploy,
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import HOST, Client, StubDiscovery, StubServer, reply, run
from tests.node.test_memory import MAX_MEMORY_BYTES, MEMORY_MB, own_memory_bytes

# The fewest descriptors of a node (TERMS, "Resources").
SOCKETS = 256
PEERS = 300
FLOOD_S = 3.0
PAUSE_S = 0.02
PIECE_BYTES = 50_000
MAX_ANSWER_S = 1.0


def free_port() -> int:
    """Return a port that is free on TCP now."""
    with socket.create_server((HOST, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port


async def be_idle(_: asyncio.StreamWriter) -> None:
    await asyncio.sleep(FLOOD_S)


async def send_large_frame(writer: asyncio.StreamWriter) -> None:
    writer.write(LENGTH_PREFIX.pack(MAX_FRAME_BYTES))
    while True:
        writer.write(bytes(PIECE_BYTES))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)


async def flood_members(port: int, behaviour: str) -> None:
    """Open one connection after the other to the port of a member."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(HOST, port)
            await {"idle members": be_idle, "large frames of members": send_large_frame}[behaviour](writer)
            writer.close()
        await asyncio.sleep(PAUSE_S)


async def send_zeros(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Be a publisher that sends empty frames without end."""
    with contextlib.suppress(OSError):
        while True:
            writer.write(bytes(PIECE_BYTES))
            await writer.drain()
            await asyncio.sleep(0)


@pytest.mark.parametrize("flood", ["idle members", "large frames of members", "empty frames of a publisher"])
def test_a_node_serves_within_its_limits_while_peers_send_without_sense(flood: str, tmp_path: Path) -> None:
    """Guards against connections and frames of peers that nothing bounds."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
            discovery = await stack.enter_async_context(StubDiscovery())
            publisher = await asyncio.start_server(send_zeros, HOST, 0)
            port = free_port()
            texts = {
                "NODE_MEMBERS": f'[members]\ncluster = "c"\nlisten = "{HOST}:{port}"\njoin = ["{HOST}:1"]\n',
                "NODE_FEED": '[feed]\ncluster = "c"\nregion = "r"\nzone = "z"\nservice = "s"\n'
                f'[[feed.upstreams]]\naddress = "{HOST}:{publisher.sockets[0].getsockname()[1]}"\n'
                'region = "r"\n',
            }
            variable = "NODE_FEED" if "publisher" in flood else "NODE_MEMBERS"
            (tmp_path / "part.toml").write_text(texts[variable])
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server, memory_mb=MEMORY_MB, sockets=SOCKETS)))
            environment = {**node_environment(discovery, config), variable: str(tmp_path / "part.toml")}
            process = await start_node(environment, root=deploy(tmp_path))
            await stack.enter_async_context(running_process(process))
            address = await logged_address(process, "listens")
            assert process.stderr is not None
            log = asyncio.create_task(process.stderr.read())
            peers = [
                asyncio.create_task(flood_members(port, flood))
                for _ in range(PEERS if variable == "NODE_MEMBERS" else 0)
            ]
            client = await Client.connect(address)
            until = asyncio.get_running_loop().time() + FLOOD_S
            while asyncio.get_running_loop().time() < until:
                answer = await asyncio.wait_for(client.ask("look"), MAX_ANSWER_S)
                assert answer.status == 200
                assert own_memory_bytes(process) < MAX_MEMORY_BYTES
                assert len(os.listdir(f"/proc/{process.pid}/fd")) < SOCKETS
                await asyncio.sleep(PAUSE_S)
            for peer in peers:
                peer.cancel()
            publisher.close()
            process.kill()
            assert b"Traceback" not in await log

    run(main())
