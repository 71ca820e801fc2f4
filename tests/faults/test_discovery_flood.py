"""Tests that a discovery service that sends without end neither holds up a node nor fills its memory."""

from __future__ import annotations

import asyncio
import contextlib
import json
from pathlib import Path

import pytest

from tests.node.processes import (
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import (
    HOST,
    Client,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    send_line,
)
from tests.node.test_memory import MAX_MEMORY_BYTES, MEMORY_MB, SOCKETS, own_memory_bytes

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOOD_S = 3.0
PAUSE_S = 0.02
MAX_ANSWER_S = 1.0
FLOODS = {
    "empty lines": b"\n" * 60_000,
    "changes of nothing": b'{"generation":2,"reset":false,"instances":[]}\n' * 1200,
    "an object in short lines": b'{"generation":2,\n' * 3000,
    "a line without end": b"x" * 60_000,
}


@pytest.mark.parametrize("flood", FLOODS)
def test_a_node_serves_within_its_memory_while_discovery_sends_without_end(
    flood: str, tmp_path: Path
) -> None:
    """Guards against lines that are all handled at once, each with a timer that takes memory."""
    text = FLOODS[flood]

    async def send(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            writer.write(HEAD)
            while True:
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))
                await writer.drain()
                await asyncio.sleep(0)

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
            flooding = await asyncio.start_server(send, HOST, 0)
            discovery = StubDiscovery(f"{HOST}:{flooding.sockets[0].getsockname()[1]}")
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server, memory_mb=MEMORY_MB, sockets=SOCKETS)))
            process = await start_node(node_environment(discovery, config))
            await stack.enter_async_context(running_process(process))
            client = await Client.connect(await logged_address(process, "listens"))
            until = asyncio.get_running_loop().time() + FLOOD_S
            while asyncio.get_running_loop().time() < until:
                answer = await asyncio.wait_for(client.ask("look"), MAX_ANSWER_S)
                assert answer.status == 200
                assert own_memory_bytes(process) < MAX_MEMORY_BYTES
                await asyncio.sleep(PAUSE_S)
            flooding.close()
            process.kill()

    run(main())


HUGE = "1" + "0" * 400
UNSOUND_LINES = {
    "nested arrays": b"[" * 60_000,
    "nested objects": b'{"a":' * 30_000,
    "a huge weight": json.dumps(listing(2, row("b", f"{HOST}:1"))).replace("1.0", HUGE).encode(),
    "an infinite generation": json.dumps(listing(2)).replace("2", "1e999").encode(),
}


@pytest.mark.parametrize("line", UNSOUND_LINES)
def test_an_unsound_line_of_discovery_is_reported_and_the_next_list_is_used(
    line: str, tmp_path: Path
) -> None:
    """Guards against exceptions that reach the event loop from a line of discovery."""

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([reply("200 OK", b"served")]))
            discovery = await stack.enter_async_context(StubDiscovery())
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration()))
            process = await start_node(node_environment(discovery, config))
            await stack.enter_async_context(running_process(process))
            address = await logged_address(process, "listens")
            unsound = await discovery.watch()
            send_line(unsound, UNSOUND_LINES[line])
            sound = await discovery.watch()
            send_line(sound, listing(3, row("a", server.address)))
            while (await (await Client.connect(address)).ask(target="/ready")).status != 200:
                await asyncio.sleep(PAUSE_S)
            assert (await (await Client.connect(address)).ask("look")).status == 200
            process.kill()
            assert process.stderr is not None
            log = (await process.stderr.read()).decode()
            assert "discovery: invalid line in a watch" in log
            assert "Traceback" not in log

    run(main())
