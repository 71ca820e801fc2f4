"""Nodes with a state directory: restarts, two processes at once, faults of the disk."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from crowpost.node.configuration import ConfigError
from crowpost.node.state.node_state import read_node_state
from crowpost.node.state.records import (
    Evacuation,
)
from crowpost.storage.config import StateConfig
from crowpost.storage.model import Durability
from crowpost.storage.runner import inspect_store
from tests.node.state.helpers import config, until, write_malformed_list
from tests.node.stubs import (
    WAIT_TIMEOUT_S,
    StubDiscovery,
    StubServer,
    listing,
    reply,
    row,
    run,
    running_node,
    send_line,
)
from tests.node.test_process import _configuration, _environment, _start, _told


def test_nothing_of_the_state_is_imported_where_it_is_off() -> None:
    code = (
        "import sys, crowpost.__main__; "
        "print([m for m in sys.modules if 'storage' in m or 'node.state' in m or 'crc32c' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_the_next_process_knows_the_list_without_discovery(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server:
            async with running_node(known=False, registryMode="pushed", state=config(tmp_path)) as w:
                send_line(await w.discovery.watch(), listing(41, row("a", server.address)))
                await until(w.node.ready)
                client = await w.client()
                assert (await client.ask("look")).body == b"served"
            async with running_node(known=False, registryMode="pushed", state=config(tmp_path)) as w:
                client = await w.client()
                assert (await client.ask("look")).body == b"served"
                assert w.node._discovery._version == 41
                learned = w.node._balancer.remember(0, 9)
                assert [m.server for m in learned] == [b"a"] and learned[0].average_ms is not None
                figures = await w.metrics()
                assert figures["edge_node_state_writing"] == 1
                assert figures["edge_node_state_generation"] == 41

    run(main())


async def manage(address: tuple[str, int], method: str, call: str) -> int:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} /api/{call} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S)
    writer.close()
    return int(answer.split()[1])


def test_an_evacuation_survives_kills_until_the_node_rejoins(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, StubDiscovery() as discovery:
            file, state = tmp_path / "config.json", tmp_path / "state.toml"
            file.write_text(json.dumps(_configuration(server)))
            state.write_text(f'[state]\ndirectory = "{tmp_path / "state"}"\n')
            environment = _environment(discovery, file) | {"NODE_MANAGEMENT": "127.0.0.1:0"}
            environment["NODE_STATE"] = str(state)
            seen = []
            for call in ("evacuate", "rejoin", ""):
                process = await _start(environment)
                address = await _told(process, "managed")
                await _told(process, "listens")
                seen.append(await manage(address, "GET", "ready"))
                if call:
                    assert await manage(address, "POST", call) == 200
                process.send_signal(signal.SIGKILL)
                await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S)
            assert seen == [200, 503, 200]

    run(main())


def test_a_second_process_takes_over_once_the_first_releases_the_directory(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            first = running_node(row("a", server.address), state=config(tmp_path))
            old = await first.__aenter__()
            async with running_node(row("a", server.address), state=config(tmp_path)) as new:
                assert (await new.metrics())["edge_node_state_writing"] == 0
                assert (await old.manage("POST", "/api/evacuate")).status == 200
                assert (await new.manage("GET", "/api/ready")).status == 200
                state = read_node_state(inspect_store(tmp_path / "state"))
                assert state.evacuated
                old.node.terminate()  # it lets go at once, whatever it still answers
                assert new.node._state_writer is not None
                writer = new.node._state_writer
                await until(lambda: writer.figures()["state_writing"])
                assert (await new.manage("GET", "/api/ready")).status == 503  # what staff asked of the node
                async with running_node(row("a", server.address), state=config(tmp_path)) as newest:
                    assert (await newest.manage("GET", "/api/ready")).status == 503
                    assert (await new.manage("POST", "/api/rejoin")).body == b""
                    new.node.terminate()
                    await until(newest.node.ready)
                await first.__aexit__(None, None, None)
            assert not read_node_state(inspect_store(tmp_path / "state")).evacuated

    run(main())


def test_an_evacuation_that_cannot_be_stored_is_done_with_a_warning(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(descriptor: int) -> None:
        raise OSError(5, "input/output error")

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as w,
        ):
            monkeypatch.setattr("crowpost.storage.disk.os.fsync", fails)
            answer = await w.manage("POST", "/api/evacuate")
            assert answer.status == 200 and b"a restart may forget it: writing has stopped" in answer.body
            assert (await w.manage("GET", "/api/ready")).status == 503
            assert (await w.metrics())["edge_node_state_writing"] == 0
            assert (await (await w.client()).ask("look")).status == 200

    run(main())


def test_a_hanging_disk_delays_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    let, hangs = threading.Event(), threading.Event()

    def hang(descriptor: int) -> None:
        hangs.set()
        assert let.wait(WAIT_TIMEOUT_S)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as w,
        ):
            client = await w.client()
            monkeypatch.setattr("crowpost.storage.disk.os.fsync", hang)
            await until(hangs.is_set)
            try:
                for _ in range(20):
                    assert (await client.ask("look")).status == 200
                answer = await w.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"has not answered within 1 s" in answer.body
            finally:
                let.set()

    run(main())


def test_a_failing_snapshot_stops_writing_and_nothing_else(tmp_path: Path) -> None:
    def pieces() -> Iterator[bytes]:
        raise ValueError("no such record")
        yield b""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as w,
        ):
            assert w.node._state_writer is not None
            writer = w.node._state_writer
            await until(lambda: writer.figures()["state_records"])
            assert writer._runner is not None
            writer._runner.append(Evacuation(False).encode(), Durability.DELAYED)
            writer._runner.write_snapshot(pieces())
            await until(lambda: not writer.figures()["state_writing"])
            assert (await (await w.client()).ask("look")).status == 200
            for version in range(3):
                writer.record_list(False, version, [])
            assert not writer._waiting_list_parts
        assert not read_node_state(inspect_store(tmp_path / "state")).evacuated

    run(main())


def test_a_damaged_directory_is_reported_and_not_changed(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)) as w:
                await w.manage("POST", "/api/evacuate")
            log = next((tmp_path / "state").glob("log-*"))
            data = bytearray(log.read_bytes())
            data[60] ^= 4
            log.write_bytes(data)
            async with running_node(row("a", server.address), state=config(tmp_path)) as w:
                assert (await w.metrics())["edge_node_state_damaged"] == 1
                assert (await (await w.client()).ask("look")).status == 200
                answer = await w.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"is damaged at byte" in answer.body
            assert log.read_bytes() == data
            with pytest.raises(ConfigError, match="NODE_STATE: .*/state: log-.* is damaged at byte"):
                async with running_node(row("a", server.address), state=config(tmp_path, on_damage="refuse")):
                    pass

    run(main())


def test_the_directory_of_another_node_is_refused(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)):
                pass
            other = StateConfig(tmp_path / "state", "n1")
            with pytest.raises(ConfigError, match="belongs to 'n0', not to 'n1'"):
                async with running_node(row("a", server.address), state=other):
                    pass

    run(main())


def test_list_changes_beyond_the_write_budget_become_one_snapshot(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            slow = config(tmp_path, bytes_per_s=1_000.0)
            async with running_node(row("a", server.address), state=slow) as w:
                assert w.node._state_writer is not None
                writer = w.node._state_writer
                for version in range(2, 600):
                    writer.record_list(False, version, [row(f"s{version}", server.address)])
                await until(lambda: writer.figures()["state_snapshots"])
                assert writer.state.generation == 599
            state = read_node_state(inspect_store(tmp_path / "state"))
            assert len(state.instances) >= 598 and state.generation == 599

    run(main())


def test_a_malformed_record_is_reported_and_the_node_serves(tmp_path: Path) -> None:
    async def main() -> None:
        write_malformed_list(tmp_path / "state")
        async with StubServer([reply("200 OK")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)) as w:
                assert (await w.metrics())["edge_node_state_damaged"] == 1
                assert (await (await w.client()).ask("look")).status == 200
            with pytest.raises(
                ConfigError, match="NODE_STATE: .*record 2: a record that no node has written"
            ):
                async with running_node(row("a", server.address), state=config(tmp_path, on_damage="refuse")):
                    pass

    run(main())
