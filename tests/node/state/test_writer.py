"""Nodes with a state directory: restarts, two concurrent processes, disk faults."""

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
from crowpost.node.state.writer import MAX_WAITING_ENDPOINTS
from crowpost.storage.config import StateConfig
from crowpost.storage.model import Durability
from crowpost.storage.runner import inspect_store
from tests.node.processes import logged_address, node_configuration, node_environment, start_node
from tests.node.state.helpers import (
    config,
    until,
    write_change_without_list,
    write_malformed_list,
)
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


def test_state_modules_are_not_imported_without_a_state_directory() -> None:
    code = (
        "import sys, crowpost.__main__; "
        "print([m for m in sys.modules if 'storage' in m or 'node.state' in m or 'crc32c' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_next_process_restores_the_list_without_discovery(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server:
            async with running_node(known=False, registryMode="pushed", state=config(tmp_path)) as running:
                send_line(await running.discovery.watch(), listing(41, row("a", server.address)))
                await until(running.node.ready)
                client = await running.client()
                assert (await client.ask("look")).body == b"served"
            async with running_node(known=False, registryMode="pushed", state=config(tmp_path)) as running:
                client = await running.client()
                assert (await client.ask("look")).body == b"served"
                assert running.node._discovery._version == 41
                learned = running.node._balancer.remember(0, 9)
                assert [m.server for m in learned] == [b"a"] and learned[0].average_ms is not None
                figures = await running.metrics()
                assert figures["edge_node_state_writing"] == 1
                assert figures["edge_node_state_generation"] == 41

    run(main())


async def call_admin(address: tuple[str, int], method: str, action: str) -> int:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} /api/{action} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S)
    writer.close()
    return int(answer.split()[1])


def test_an_evacuation_survives_kills_until_the_node_rejoins(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server, StubDiscovery() as discovery:
            file, state = tmp_path / "config.json", tmp_path / "state.toml"
            file.write_text(json.dumps(node_configuration(server)))
            state.write_text(f'[state]\ndirectory = "{tmp_path / "state"}"\n')
            environment = node_environment(discovery, file) | {"NODE_MANAGEMENT": "127.0.0.1:0"}
            environment["NODE_STATE"] = str(state)
            statuses = []
            for action in ("evacuate", "rejoin", ""):
                process = await start_node(environment)
                address = await logged_address(process, "managed")
                await logged_address(process, "listens")
                statuses.append(await call_admin(address, "GET", "ready"))
                if action:
                    assert await call_admin(address, "POST", action) == 200
                process.send_signal(signal.SIGKILL)
                await asyncio.wait_for(process.wait(), WAIT_TIMEOUT_S)
            assert statuses == [200, 503, 200]

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
                # The process releases the directory immediately, though it still serves requests.
                old.node.terminate()
                assert new.node._state_writer is not None
                writer = new.node._state_writer
                await until(lambda: writer.metrics()["state_writing"])
                # The new process takes over the evacuation that the operator requested.
                assert (await new.manage("GET", "/api/ready")).status == 503
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
            running_node(row("a", server.address), state=config(tmp_path)) as running,
        ):
            monkeypatch.setattr("crowpost.storage.disk.os.fsync", fails)
            answer = await running.manage("POST", "/api/evacuate")
            assert answer.status == 200 and b"a restart may forget it: writing has stopped" in answer.body
            assert (await running.manage("GET", "/api/ready")).status == 503
            assert (await running.metrics())["edge_node_state_writing"] == 0
            assert (await (await running.client()).ask("look")).status == 200

    run(main())


def test_a_hanging_disk_delays_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    release, hanging = threading.Event(), threading.Event()

    def hang(descriptor: int) -> None:
        hanging.set()
        assert release.wait(WAIT_TIMEOUT_S)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as running,
        ):
            client = await running.client()
            monkeypatch.setattr("crowpost.storage.disk.os.fsync", hang)
            await until(hanging.is_set)
            try:
                for _ in range(20):
                    assert (await client.ask("look")).status == 200
                answer = await running.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"has not answered within 1 s" in answer.body
            finally:
                release.set()

    run(main())


def test_a_failing_snapshot_stops_writing_and_nothing_else(tmp_path: Path) -> None:
    def pieces() -> Iterator[bytes]:
        raise ValueError("no such record")
        yield b""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as running,
        ):
            assert running.node._state_writer is not None
            writer = running.node._state_writer
            # The list that the node starts with is written too.
            await until(lambda: writer.metrics()["state_records"] and not writer._waiting_list_parts)
            assert writer._runner is not None
            writer._runner.append(Evacuation(False).encode(), Durability.DELAYED)
            writer._runner.write_snapshot(pieces())
            await until(lambda: not writer.metrics()["state_writing"])
            assert (await (await running.client()).ask("look")).status == 200
            for version in range(3):
                writer.record_list(False, version, [])
            assert not writer._waiting_list_parts
        assert not read_node_state(inspect_store(tmp_path / "state")).evacuated

    run(main())


def test_a_damaged_directory_is_reported_and_not_changed(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)) as running:
                await running.manage("POST", "/api/evacuate")
            log = next((tmp_path / "state").glob("log-*"))
            data = bytearray(log.read_bytes())
            data[60] ^= 4
            log.write_bytes(data)
            async with running_node(row("a", server.address), state=config(tmp_path)) as running:
                assert (await running.metrics())["edge_node_state_damaged"] == 1
                assert (await (await running.client()).ask("look")).status == 200
                answer = await running.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"is damaged at byte" in answer.body
            assert log.read_bytes() == data
            with pytest.raises(ConfigError, match="NODE_STATE: .*/state: log-.* is damaged at byte"):
                async with running_node(row("a", server.address), state=config(tmp_path, on_damage="refuse")):
                    pass

    run(main())


def test_directory_of_another_node_is_rejected(tmp_path: Path) -> None:
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
            async with running_node(row("a", server.address), state=slow) as running:
                assert running.node._state_writer is not None
                writer = running.node._state_writer
                for version in range(2, 600):
                    writer.record_list(False, version, [row(f"s{version}", server.address)])
                await until(lambda: writer.metrics()["state_snapshots"])
                assert writer.state.generation == 599
            state = read_node_state(inspect_store(tmp_path / "state"))
            assert len(state.instances) >= 598 and state.generation == 599

    run(main())


def stored_lifecycles(path: Path) -> tuple[int, dict[str, str]]:
    """Return the version and the endpoints, with their lifecycles, of the list in a state directory."""
    state = read_node_state(inspect_store(path))
    return state.generation, {each["instanceId"]: each["lifecycle"] for each in state.decoded_instances()}


@pytest.mark.parametrize("kind", ["pushed", "on_request"])
@pytest.mark.parametrize("change", ["drain", "empty line"])
def test_changes_are_stored_together_with_the_list_that_they_change(
    kind: str, change: str, tmp_path: Path
) -> None:
    """Guards against a node that has forgotten its servers after a restart, and is never ready."""

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            rows = [row("a", server.address), row("b", server.address)]
            async with running_node(*rows, registryMode=kind, state=config(tmp_path)) as running:
                watch = await running.discovery.watch()
                if change == "drain":
                    send_line(watch, listing(2, row("b", server.address, "DRAINING"), reset=False))
                else:
                    send_line(watch, b"")
                writer = running.node._state_writer
                assert writer is not None
                expected = 2 if change == "drain" else 1
                await until(lambda: writer.metrics()["state_generation"] == expected)
                await until(lambda: not writer.metrics()["state_unkept"])
            lifecycles = {"a": "SERVING", "b": "DRAINING" if change == "drain" else "SERVING"}
            assert stored_lifecycles(tmp_path / "state") == (expected, lifecycles)
            async with running_node(known=False, registryMode=kind, state=config(tmp_path)) as running:
                assert running.node.ready()

    run(main())


@pytest.mark.parametrize("lifecycle", ["DRAINING", "SERVING"])
def test_a_directory_with_a_change_of_a_list_that_it_does_not_hold_is_no_list(
    lifecycle: str, tmp_path: Path
) -> None:
    """Guards against a directory of an earlier version, whose list has only what had changed."""
    write_change_without_list(tmp_path / "state", lifecycle)

    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)) as running:
                assert running.node.ready()
                assert (await (await running.client()).ask("look")).body == b"served"
            assert stored_lifecycles(tmp_path / "state") == (1, {"a": "SERVING"})

    run(main())


@pytest.mark.parametrize("ends_at_once", [False, True])
def test_the_last_of_many_long_lists_is_stored(ends_at_once: bool, tmp_path: Path) -> None:
    """Guards against a list that is neither in the log nor in a snapshot."""
    versions = range(2, 6)

    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            rare = StateConfig(tmp_path / "state", "n0", write_interval_ms=1e9)
            async with running_node(row("a", server.address), state=rare) as running:
                assert running.node._state_writer is not None
                writer = running.node._state_writer
                rows = [row(f"s{index}", server.address) for index in range(2 * MAX_WAITING_ENDPOINTS)]
                for version in versions:
                    writer.record_list(True, version, rows)
                    if not ends_at_once:
                        done = version - versions[0] + 1
                        await until(lambda done=done: writer.metrics()["state_snapshots"] >= done)
                if ends_at_once:
                    await writer.close()
            state = read_node_state(inspect_store(tmp_path / "state"))
            assert (state.generation, len(state.instances)) == (versions[-1], 2 * MAX_WAITING_ENDPOINTS)

    run(main())


def test_a_malformed_record_is_reported_and_the_node_serves(tmp_path: Path) -> None:
    async def main() -> None:
        write_malformed_list(tmp_path / "state")
        async with StubServer([reply("200 OK")]) as server:
            async with running_node(row("a", server.address), state=config(tmp_path)) as running:
                assert (await running.metrics())["edge_node_state_damaged"] == 1
                assert (await (await running.client()).ask("look")).status == 200
            with pytest.raises(
                ConfigError, match="NODE_STATE: .*record 2: a record that no node has written"
            ):
                async with running_node(row("a", server.address), state=config(tmp_path, on_damage="refuse")):
                    pass

    run(main())
