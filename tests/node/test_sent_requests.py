"""Tests that a request which comes again does not run a second time."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
from pathlib import Path

import pytest

from crowpost.node import identity_table
from crowpost.node.identity_table import IdentityTable, table_bytes
from crowpost.node.sent_requests import (
    MAX_PROCESSES,
    MAX_SLOTS,
    MEMORY_FRACTION,
    MIN_SLOTS,
    AddResult,
    SentRequests,
    identity_of,
    open_sent_requests,
    slots_for,
)
from tests.node.processes import (
    logged_address,
    node_configuration,
    node_environment,
    running_process,
    start_node,
)
from tests.node.stubs import (
    HOST,
    WAIT_TIMEOUT_S,
    Client,
    StubDiscovery,
    StubServer,
    held,
    reply,
    request,
    row,
    run,
    running_node,
    settings,
    unresponsive,
)

LIFETIME_MS = 1000.0
SLOTS = MIN_SLOTS
ID = "9b1f03aa5c7e2d41"
OK = reply("200 OK", b"served")


def shared(directory: Path) -> SentRequests:
    return open_sent_requests(LIFETIME_MS, directory, "n0", SLOTS)


# ---------------------------------------------------------------- the table


def test_an_identity_is_forgotten_in_time_where_nothing_else_is_added(tmp_path: Path) -> None:
    """Guards against a table that is only read: its own, and that of a process that has ended."""
    ended, reader = shared(tmp_path), shared(tmp_path)
    assert ended.try_add((identity_of(b"1"),), 10_000.0) is AddResult.ADDED
    for table in (ended, reader):
        assert table.contains(identity_of(b"1"), 10_000.0 + LIFETIME_MS)
        assert not table.contains(identity_of(b"1"), 10_000.0 + 2 * LIFETIME_MS)


def test_an_identity_that_is_not_added_because_the_other_process_adds_it_too_is_not_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    one, two = shared(tmp_path), shared(tmp_path)
    identity = identity_of(b"1")
    add = IdentityTable.add

    def add_in_both(table: IdentityTable, added: int) -> None:
        monkeypatch.setattr(IdentityTable, "add", add)
        add(table, added)
        add(two._own, added)

    monkeypatch.setattr(IdentityTable, "add", add_in_both)
    assert one.try_add((identity,), 0.0) is AddResult.KNOWN
    two.remove((identity,))
    assert not one.contains(identity, 0.0)


def test_processes_with_different_memory_limits_know_what_the_other_one_has_sent(tmp_path: Path) -> None:
    """Guards against a request that runs twice in an upgrade to another memory limit."""
    one = open_sent_requests(LIFETIME_MS, tmp_path, "n0", SLOTS)
    two = open_sent_requests(LIFETIME_MS, tmp_path, "n0", 4 * SLOTS)
    assert one.try_add((identity_of(b"1"),), 0.0) is AddResult.ADDED
    assert two.try_add((identity_of(b"1"),), 0.0) is AddResult.KNOWN
    assert two.try_add((identity_of(b"2"),), 0.0) is AddResult.ADDED
    assert one.contains(identity_of(b"2"), 0.0)


def test_an_identity_is_known_for_its_lifetime_and_forgotten_later() -> None:
    table = open_sent_requests(LIFETIME_MS, None, "n0", SLOTS)
    first, second = identity_of(b"1"), identity_of(b"2")
    assert table.try_add((first,), 10_000.0) is AddResult.ADDED
    assert table.try_add((first,), 10_000.0 + LIFETIME_MS - 1) is AddResult.KNOWN
    assert table.try_add((second,), 10_000.0 + LIFETIME_MS) is AddResult.ADDED
    assert table.contains(first, 10_000.0 + LIFETIME_MS)
    assert table.try_add((first,), 10_000.0 + 2 * LIFETIME_MS) is AddResult.ADDED
    assert table.contains(second, 10_000.0 + 2 * LIFETIME_MS)
    assert table.try_add((second,), 20_000.0) is AddResult.ADDED


@pytest.mark.parametrize("memory_mb", [32, 64, 128, 192, 10_000])
def test_a_table_takes_a_small_share_of_the_memory(memory_mb: int) -> None:
    slots = slots_for(memory_mb * 1_000_000)
    assert MIN_SLOTS <= slots <= MAX_SLOTS
    assert table_bytes(slots) <= MEMORY_FRACTION * memory_mb * 1_000_000


def test_a_full_table_refuses_and_forgets_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(identity_table, "MAX_USED_FRACTION", 100 / SLOTS)
    table = open_sent_requests(LIFETIME_MS, None, "n0", SLOTS)
    identities = [identity_of(b"%d" % number) for number in range(101)]
    assert {table.try_add((each,), 5000.0) for each in identities[:100]} == {AddResult.ADDED}
    assert table.try_add((identities[100],), 5001.0) is AddResult.FULL
    assert all(table.contains(each, 5001.0) for each in identities[:100])
    assert table.try_add((identities[100],), 5000.0 + LIFETIME_MS) is AddResult.ADDED


def test_identities_with_the_same_place_are_kept_apart_and_removed_alone() -> None:
    table = open_sent_requests(LIFETIME_MS, None, "n0", SLOTS)
    identities = [7 + number * SLOTS for number in range(5)]
    for each in identities:
        assert table.try_add((each,), 0.0) is AddResult.ADDED
    table.remove((identities[1],))
    assert [table.contains(each, 0.0) for each in identities] == [True, False, True, True, True]


def test_processes_know_what_the_other_one_has_sent(tmp_path: Path) -> None:
    one, two = shared(tmp_path), shared(tmp_path)
    assert one.try_add((identity_of(b"1"),), 0.0) is AddResult.ADDED
    assert two.try_add((identity_of(b"1"),), 0.0) is AddResult.KNOWN
    assert two.try_add((identity_of(b"2"),), 0.0) is AddResult.ADDED
    assert one.contains(identity_of(b"2"), 0.0)


def test_a_successor_continues_the_table_of_a_process_that_has_ended(tmp_path: Path) -> None:
    first, second = shared(tmp_path), shared(tmp_path)
    assert first.try_add((identity_of(b"1"),), 0.0) is AddResult.ADDED
    del first
    third = shared(tmp_path)
    assert third.try_add((identity_of(b"1"),), 10.0) is AddResult.KNOWN
    assert second.contains(identity_of(b"1"), 10.0)


def test_a_process_too_many_keeps_a_table_of_its_own(tmp_path: Path) -> None:
    kept = [shared(tmp_path) for _ in range(MAX_PROCESSES)]
    another = shared(tmp_path)
    assert kept[0].try_add((1,), 0.0) is AddResult.ADDED
    assert another.try_add((1,), 0.0) is AddResult.ADDED


def test_a_directory_that_cannot_be_used_leaves_the_process_a_table_of_its_own(tmp_path: Path) -> None:
    table = open_sent_requests(LIFETIME_MS, tmp_path / "missing", "n0", SLOTS)
    assert table.try_add((1,), 0.0) is AddResult.ADDED
    assert table.contains(1, 0.0)


@pytest.mark.parametrize("content", [b"", bytes(1000), b"\xff" * table_bytes(SLOTS)])
def test_files_without_a_table_are_begun_anew(content: bytes, tmp_path: Path) -> None:
    """Guards against a process that cannot serve because of what its files hold."""
    shared(tmp_path)
    for file in tmp_path.iterdir():
        file.write_bytes(content)
    one, two = shared(tmp_path), shared(tmp_path)
    assert one.try_add((identity_of(b"1"),), 0.0) is AddResult.ADDED
    assert two.try_add((identity_of(b"1"),), 0.0) is AddResult.KNOWN


# ---------------------------------------------------------------- one node


@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize(("kind", "runs"), [("look", 2), ("move", 1), ("book", 1)])
def test_an_id_that_comes_again_while_it_runs_or_later_runs_once(kind: str, runs: int, leaves: bool) -> None:
    """Guards against a second run of a request that its client sends again, also after it has left."""

    async def main() -> None:
        async with StubServer([held(OK)]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            client.writer.write(request(kind, request_id=ID))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            if leaves:
                client.close()
                while running.node._requests.pending:
                    await asyncio.sleep(0)
            again = await running.client()
            again.writer.write(request(kind, request_id=ID))
            if runs == 1:
                assert (await again.answer()).status == 409
            server.release.set()
            if not leaves:
                assert (await client.answer()).status == 200
            if runs == 2:
                assert (await again.answer()).status == 200
            later = await (await running.client()).ask(kind, request_id=ID)
            assert later.status == (409 if runs == 1 else 200)
            assert len(server.received) == (1 if runs == 1 else 3)

    run(main())


def test_a_key_whose_endpoints_drop_repeats_only_in_one_cell_runs_once() -> None:
    """Guards against a repeat at another cell, where it would run as well."""
    profiles = settings()["profiles"]
    profiles[1]["group"] = "cell"

    async def main() -> None:
        node = running_node
        async with StubServer([OK]) as server, node(row("a", server.address), profiles=profiles) as running:
            client = await running.client()
            assert (await client.ask("move")).status == 200
            assert (await client.ask("move")).status == 409
            assert len(server.received) == 1

    run(main())


def test_a_request_that_was_refused_may_come_again() -> None:
    async def main() -> None:
        refusal = reply("503 Full", extra="X-Not-Run: 1\r\n")
        async with StubServer([refusal]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            assert (await client.ask("book", request_id=ID, deadline="0.3")).status == 503
            server.behaviours[:] = [OK]
            assert (await client.ask("book", request_id=ID)).status == 200

    run(main())


def test_requests_beyond_the_bound_of_the_table_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(identity_table, "MAX_USED_FRACTION", 3 / MAX_SLOTS)

    async def main() -> None:
        async with StubServer([OK]) as server, running_node(row("a", server.address)) as running:
            client = await running.client()
            assert [(await client.ask("book")).status for _ in range(4)] == [200, 200, 200, 503]
            assert (await client.ask("look")).status == 200
            assert len(server.received) == 4

    run(main())


# ---------------------------------------------------------------- two processes


@pytest.mark.parametrize("size", [0, 5000])
def test_a_node_whose_shared_files_are_cut_serves_and_its_successor_knows_what_was_sent(
    size: int, tmp_path: Path
) -> None:
    """Guards against a process that is ended by SIGBUS, and against a second run after an upgrade."""
    shared_directory = tmp_path / "shared"
    shared_directory.mkdir()
    ids = [f"{number:016x}" for number in range(3)]

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            server = await stack.enter_async_context(StubServer([OK]))
            discovery = await stack.enter_async_context(StubDiscovery())
            listening = stack.enter_context(socket.create_server((HOST, 0)))
            config = tmp_path / "config.json"
            config.write_text(json.dumps(node_configuration(server)))
            environment = {
                **node_environment(discovery, config),
                "NODE_ACCEPT_FD": str(listening.fileno()),
                "TMPDIR": str(shared_directory),
            }
            first = await start_node(environment, (listening.fileno(),))
            await stack.enter_async_context(running_process(first))
            address = await logged_address(first, "listens")
            assert (await (await Client.connect(address)).ask("book", request_id=ids[0])).status == 200
            for file in shared_directory.iterdir():
                os.truncate(file, size)
            for request_id in ids[1:]:
                assert (
                    await (await Client.connect(address)).ask("book", request_id=request_id)
                ).status == 200
            second = await start_node(environment, (listening.fileno(),))
            await stack.enter_async_context(running_process(second))
            await logged_address(second, "listens")
            first.terminate()
            await first.wait()
            for request_id in ids:
                assert (
                    await (await Client.connect(address)).ask("book", request_id=request_id)
                ).status == 409
            assert len(server.received) == len(ids)

    run(main())


@pytest.mark.parametrize("leaves", [False, True])
def test_an_id_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(
    leaves: bool, tmp_path: Path
) -> None:
    """Guards against a second run at the new process of what the old one still runs."""

    async def main() -> None:
        async with StubServer([unresponsive]) as server, StubDiscovery() as discovery:
            with socket.socket() as listening:
                listening.bind((HOST, 0))
                listening.listen()
                await play(server, discovery, listening)

    async def play(server: StubServer, discovery: StubDiscovery, listening: socket.socket) -> None:
        config = tmp_path / "config.json"
        config.write_text(json.dumps(node_configuration(server)))
        environment = {
            **node_environment(discovery, config),
            "NODE_ACCEPT_FD": str(listening.fileno()),
            "TMPDIR": str(tmp_path),
        }
        processes = []
        try:
            processes.append(await start_node(environment, (listening.fileno(),)))
            address = await logged_address(processes[0], "listens")
            client = await Client.connect(address)
            client.writer.write(request("book", request_id=ID))
            await asyncio.wait_for(server.request_received.wait(), WAIT_TIMEOUT_S)
            processes.append(await start_node(environment, (listening.fileno(),)))
            await logged_address(processes[1], "listens")
            processes[0].send_signal(signal.SIGTERM)
            await until_terminating(processes[0])
            if leaves:
                client.close()
            again = await Client.connect(address)
            assert (await again.ask("book", request_id=ID)).status == 409
            assert len(server.received) == 1
        finally:
            server.release.set()
            for process in processes:
                process.kill()
                await process.communicate()

    async def until_terminating(process: asyncio.subprocess.Process) -> None:
        """Wait until the process has stopped accepting, which it logs."""
        assert process.stderr is not None
        while b"terminating" not in await asyncio.wait_for(process.stderr.readline(), WAIT_TIMEOUT_S):
            pass

    run(main())
