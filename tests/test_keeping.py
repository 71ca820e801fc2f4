"""What a node keeps for its next process: facts and their ages, restarts, two processes at once, trouble."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowpost import Balancer
from crowpost.cli.main import main
from crowpost.decision_api import (
    EndpointEntry,
    EndpointList,
    ListKind,
    RememberedEndpoint,
    RequestClass,
    Settings,
    StateRestored,
)
from crowpost.node.config import ConfigError
from crowpost.node.kept import (
    Evacuated,
    Fact,
    Incarnation,
    Kept,
    Learned,
    Limit,
    ListPart,
    parts,
    read,
    unpack,
)
from crowpost.store.carrier import look
from crowpost.store.config import StateConfig, load
from crowpost.store.model import Durability, StoreError
from tests.stubs import PATIENCE_S, StubDiscovery, StubServer, listing, reply, row, run, tell, world
from tests.test_cli import crowpost
from tests.test_run import _configuration, _environment, _start, _told

KIND = RequestClass("r", 1000, 3000)
MINUTE = 60_000.0


def module(servers: int = 4, started: float = 5.0) -> Balancer:
    balancer = Balancer(Settings(classes=(KIND,)), seed=1)
    rows = tuple(EndpointEntry(bytes([i]), started_ms=started) for i in range(servers))
    balancer.handle(EndpointList(ListKind.FULL, rows), 100_000.0)
    return balancer


def memory(i: int, ratio: float, average: float = 20.0, **more: Any) -> RememberedEndpoint:
    return RememberedEndpoint(bytes([i]), more.pop("started", 5.0), ratio, average, **more)


def shares(balancer: Balancer) -> list[float]:
    return [m.share_ratio for m in balancer.remember(0, 100)]


# ---------------------------------------------------------------- the module weighs


def test_what_is_remembered_fades_by_its_age() -> None:
    fresh, older, old = module(), module(), module()
    told = [memory(0, 2.0, 10.0), *(memory(i, 2 / 3, 30.0) for i in (1, 2, 3))]
    for balancer, age in ((fresh, 0.0), (older, MINUTE), (old, 60 * MINUTE)):
        rows = tuple(RememberedEndpoint(m.server, 5.0, m.share_ratio, m.average_ms, age_ms=age) for m in told)
        balancer.handle(StateRestored(rows, 12.0, age), 100_001.0)
    assert shares(fresh)[0] == pytest.approx(2.0) and shares(older)[0] == pytest.approx(1.5)
    assert shares(old) == pytest.approx([1.0] * 4)
    assert [m.average_ms for m in fresh.remember(0, 2)] == [10.0, 30.0]
    assert [m.average_ms for m in older.remember(0, 2)] == [17.5, 27.5]
    assert old.remember(0, 1)[0].average_ms is None
    assert fresh.limit == pytest.approx(48.0) and older.limit == pytest.approx(36.0)
    assert old.limit == pytest.approx(24.0)


def test_a_server_that_has_started_since_is_met_as_a_newcomer() -> None:
    balancer = module()
    rows = (memory(0, 3.0), memory(1, 1 / 3, started=4.0, ejected=True), memory(9, 5.0))
    balancer.handle(StateRestored(rows), 100_001.0)
    known = balancer.remember(0, 4)
    assert known[0].average_ms == 20.0 and known[1].average_ms is None and not known[1].ejected
    assert len(known) == 4  # hearing of a server is not enough to send there


def test_ejections_are_remembered_up_to_a_third_of_the_fleet() -> None:
    balancer = module(9)
    rows = tuple(memory(i, 1.0, ejected=i < 6) for i in range(9))
    balancer.handle(StateRestored(rows), 100_001.0)
    assert sum(m.ejected for m in balancer.remember(0, 9)) == 3


def test_a_limit_that_is_far_off_is_not_followed_far() -> None:
    for each, limit in ((1000.0, 48.0), (0.01, 12.0), (0.0, 24.0)):
        balancer = module()
        balancer.handle(StateRestored((), each), 100_001.0)
        assert balancer.limit == pytest.approx(limit)


def test_shares_that_were_remembered_wrong_keep_to_the_floor_and_the_sum() -> None:
    balancer = module()
    rows = (memory(0, 1e9), memory(1, 0.0), memory(2, 0.0), memory(3, 0.0, 1e9))
    balancer.handle(StateRestored(rows), 100_001.0)
    assert sum(shares(balancer)) == pytest.approx(4.0) and min(shares(balancer)) >= 0.4 - 1e-9


# ---------------------------------------------------------------- the facts

names = st.sampled_from([f"s{i}" for i in range(6)])
instances = st.lists(
    st.builds(
        lambda name, life: {"instanceId": name, "lifecycle": life},
        names,
        st.sampled_from(["SERVING", "DRAINING", "DELETED"]),
    ),
    max_size=5,
)
memories = st.builds(
    RememberedEndpoint,
    names.map(str.encode),
    st.floats(0, 1e12),
    st.floats(0, 100),
    st.none() | st.floats(0, 1e5),
    st.booleans(),
)
facts: st.SearchStrategy[Fact] = st.one_of(
    st.builds(ListPart, st.booleans(), st.integers(1, 10**9), instances),
    st.builds(Learned, st.floats(0, 1e13), st.lists(memories, max_size=4)),
    st.builds(Limit, st.floats(0, 1e13), st.floats(0, 1e6)),
    st.builds(Evacuated, st.booleans()),
    st.builds(Incarnation, st.integers(1, 2**32)),
)


@given(st.lists(facts, max_size=12))
def test_a_snapshot_holds_what_its_facts_made(told: list[Fact]) -> None:
    kept, again = Kept(), Kept()
    for fact in told:
        assert unpack(fact.pack()) == fact
        kept.apply(fact)
    for piece in kept.pieces():
        again.apply(unpack(piece))
    assert again == kept


def test_a_list_holds_once_its_last_part_has_come() -> None:
    rows = [{"instanceId": f"s{i}", "lifecycle": "SERVING"} for i in range(600)]
    some = list(parts(True, 7, rows))
    kept = Kept()
    for part in some[:-1]:
        kept.apply(part)
    assert len(some) == 3 and kept.listing() is None
    kept.apply(some[-1])
    assert len(kept.instances) == 600 and kept.generation == 7


def test_facts_from_the_future_are_not_used_and_the_drain_is() -> None:
    kept = Kept()
    kept.apply(Learned(50_000.0, [memory(0, 2.0)]))
    kept.apply(Learned(20_000.0, [memory(1, 2.0)]))
    kept.apply(Limit(50_000.0, 9.0))
    kept.apply(Evacuated(True))
    told = kept.remembered(30_000.0)  # the clock has gone back by twenty seconds
    assert [(m.server, m.age_ms) for m in told.endpoints] == [(b"\x01", 10_000.0)] and told.limit_each == 0.0
    assert kept.evacuated


def test_a_record_that_no_node_has_written_is_an_error() -> None:
    for payload in (b"", b"\xc1", b"\x93\xa4list", b"\x91\xa5other", b"\x92\xa7servers\x01"):
        with pytest.raises(StoreError, match="a record that no node has written"):
            unpack(payload)


# ---------------------------------------------------------------- configuration


def test_a_file_names_directory_and_owner(tmp_path: Path) -> None:
    file = tmp_path / "s.toml"
    file.write_text('[state]\ndirectory = "/var/x"\nevery_ms = 250\non_damage = "refuse"\n')
    assert load(str(file), "n0") == StateConfig(Path("/var/x"), "n0", 250.0, on_damage="refuse")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("", "state: the table is missing"),
        ("[state]\n", "state.directory: is missing"),
        ('[state]\ndirectory = "x"\nevery = 1\n', "state.every: no such key; known are directory, owner"),
        ('[state]\ndirectory = "x"\nevery_ms = 1\n', "state.every_ms: a number from 50 to 3.6e+06, not 1"),
        ('[state]\ndirectory = "x"\non_damage = "x"\n', "state.on_damage: one of start, refuse, not 'x'"),
    ],
)
def test_what_a_file_cannot_mean_is_said_with_file_and_key(tmp_path: Path, text: str, said: str) -> None:
    file = tmp_path / "s.toml"
    file.write_text(text)
    with pytest.raises(StoreError) as error:
        load(str(file), "n0")
    assert str(error.value).startswith(f"{file}: {said}")


def test_with_no_state_directory_nothing_of_it_is_imported() -> None:
    code = "import sys, crowpost.__main__; print([m for m in sys.modules if 'store' in m or 'crc32c' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


# ---------------------------------------------------------------- a node


def config(path: Path, **more: Any) -> StateConfig:
    return StateConfig(path / "state", "n0", every_ms=50.0, **more)


async def until(met: Any) -> None:
    async def wait() -> None:
        while not met():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(wait(), PATIENCE_S)


def test_the_next_process_knows_the_list_while_discovery_says_nothing(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"served")]) as server:
            async with world(known=False, registryMode="pushed", state=config(tmp_path)) as w:
                tell(await w.discovery.watch(), listing(41, row("a", server.address)))
                await until(w.node.ready)
                caller = await w.caller()
                assert (await caller.ask("look")).body == b"served"
            async with world(known=False, registryMode="pushed", state=config(tmp_path)) as w:
                caller = await w.caller()
                assert (await caller.ask("look")).body == b"served"
                assert w.node._discovery._version == 41
                learned = w.node._balancer.remember(0, 9)
                assert [m.server for m in learned] == [b"a"] and learned[0].average_ms is not None
                figures = await w.figures()
                assert figures["edge_node_state_writing"] == 1
                assert figures["edge_node_state_generation"] == 41

    run(main())


def test_an_evacuated_node_stays_so_over_a_kill_until_it_rejoins(tmp_path: Path) -> None:
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
                await asyncio.wait_for(process.wait(), PATIENCE_S)
            assert seen == [200, 503, 200]

    run(main())


async def manage(address: tuple[str, int], method: str, call: str) -> int:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(f"{method} /api/{call} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    answer = await asyncio.wait_for(reader.read(), PATIENCE_S)
    writer.close()
    return int(answer.split()[1])


def test_of_two_processes_one_writes_and_the_other_takes_over(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            first = world(row("a", server.address), state=config(tmp_path))
            old = await first.__aenter__()
            async with world(row("a", server.address), state=config(tmp_path)) as new:
                assert (await new.figures())["edge_node_state_writing"] == 0
                assert (await old.manage("POST", "/api/evacuate")).status == 200
                assert (await new.manage("GET", "/api/ready")).status == 200
                kept = read(look(tmp_path / "state"))
                assert kept.evacuated
                old.node.terminate()  # it lets go at once, whatever it still answers
                assert new.node._keeping is not None
                keeping = new.node._keeping
                await until(lambda: keeping.figures()["state_writing"])
                assert (await new.manage("GET", "/api/ready")).status == 503  # what staff asked of the node
                async with world(row("a", server.address), state=config(tmp_path)) as newest:
                    assert (await newest.manage("GET", "/api/ready")).status == 503
                    assert (await new.manage("POST", "/api/rejoin")).body == b""
                    new.node.terminate()
                    await until(newest.node.ready)
                await first.__aexit__(None, None, None)
            assert not read(look(tmp_path / "state")).evacuated

    run(main())


def test_a_drain_that_cannot_be_kept_is_done_and_says_so(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fails(descriptor: int) -> None:
        raise OSError(5, "input/output error")

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), state=config(tmp_path)) as w,
        ):
            monkeypatch.setattr("crowpost.store.disk.os.fsync", fails)
            answer = await w.manage("POST", "/api/evacuate")
            assert answer.status == 200 and b"a restart may forget it: writing has stopped" in answer.body
            assert (await w.manage("GET", "/api/ready")).status == 503
            assert (await w.figures())["edge_node_state_writing"] == 0
            assert (await (await w.caller()).ask("look")).status == 200

    run(main())


def test_a_disk_that_hangs_holds_up_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    let, hangs = threading.Event(), threading.Event()

    def hang(descriptor: int) -> None:
        hangs.set()
        assert let.wait(PATIENCE_S)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), state=config(tmp_path)) as w,
        ):
            caller = await w.caller()
            monkeypatch.setattr("crowpost.store.disk.os.fsync", hang)
            await until(hangs.is_set)
            try:
                for _ in range(20):
                    assert (await caller.ask("look")).status == 200
                answer = await w.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"has not answered within 1 s" in answer.body
            finally:
                let.set()

    run(main())


def test_a_snapshot_that_cannot_be_made_stops_the_writing_and_nothing_else(tmp_path: Path) -> None:
    def pieces() -> Iterator[bytes]:
        raise ValueError("no such fact")
        yield b""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), state=config(tmp_path)) as w,
        ):
            assert w.node._keeping is not None
            keeping = w.node._keeping
            await until(lambda: keeping.figures()["state_records"])
            assert keeping._keeper is not None
            keeping._keeper.append(Evacuated(False).pack(), Durability.SOON)
            keeping._keeper.snapshot(pieces())
            await until(lambda: not keeping.figures()["state_writing"])
            assert (await (await w.caller()).ask("look")).status == 200
            for version in range(3):
                keeping.note_list(False, version, [])
            assert not keeping._lists
        assert not read(look(tmp_path / "state")).evacuated

    run(main())


def test_a_damaged_directory_is_left_alone_and_told(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            async with world(row("a", server.address), state=config(tmp_path)) as w:
                await w.manage("POST", "/api/evacuate")
            log = next((tmp_path / "state").glob("log-*"))
            data = bytearray(log.read_bytes())
            data[60] ^= 4
            log.write_bytes(data)
            async with world(row("a", server.address), state=config(tmp_path)) as w:
                assert (await w.figures())["edge_node_state_damaged"] == 1
                assert (await (await w.caller()).ask("look")).status == 200
                answer = await w.manage("POST", "/api/evacuate")
                assert answer.status == 200 and b"is damaged at byte" in answer.body
            assert log.read_bytes() == data
            with pytest.raises(ConfigError, match="NODE_STATE: .*/state: log-.* is damaged at byte"):
                async with world(row("a", server.address), state=config(tmp_path, on_damage="refuse")):
                    pass

    run(main())


def test_the_directory_of_another_node_is_refused(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            async with world(row("a", server.address), state=config(tmp_path)):
                pass
            other = StateConfig(tmp_path / "state", "n1")
            with pytest.raises(ConfigError, match="belongs to 'n0', not to 'n1'"):
                async with world(row("a", server.address), state=other):
                    pass

    run(main())


def test_more_news_than_may_be_written_becomes_one_snapshot(tmp_path: Path) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK")]) as server:
            state = config(tmp_path, bytes_per_s=1_000.0)
            async with world(row("a", server.address), state=state) as w:
                assert w.node._keeping is not None
                keeping = w.node._keeping
                for version in range(2, 600):
                    keeping.note_list(False, version, [row(f"s{version}", server.address)])
                await until(lambda: keeping.figures()["state_snapshots"])
                assert keeping.kept.generation == 599
            kept = read(look(tmp_path / "state"))
            assert len(kept.instances) >= 598 and kept.generation == 599

    run(main())


# ---------------------------------------------------------------- the command


def test_show_verify_and_repair_say_what_an_operator_needs(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), state=config(tmp_path)) as w,
        ):
            tell(await w.discovery.watch(), listing(3, row("a", server.address)))
            assert (await (await w.caller()).ask("look")).status == 200
            assert w.node._keeping is not None
            keeping = w.node._keeping
            await until(lambda: keeping.kept.generation == 3)
            await w.manage("POST", "/api/evacuate")

    run(main())
    state = tmp_path / "state"
    shown = crowpost("state", "show", str(state))
    assert "emptied by staff until rejoin" in shown.stdout and "version 3, 1 servers" in shown.stdout
    told = json.loads(crowpost("state", "show", str(state), "--json").stdout)
    assert told["owner"] == "n0" and [s["server"] for s in told["servers"]] == ["a"]
    assert crowpost("state", "verify", str(state)).returncode == 0
    log = next(state.glob("log-*"))
    data = bytearray(log.read_bytes())
    data[60] ^= 4
    log.write_bytes(data)
    verified = crowpost("state", "verify", str(state))
    assert verified.returncode == 1 and "crowpost state repair" in verified.stdout
    refused = crowpost("state", "show", str(state))
    assert refused.returncode == 2 and len(refused.stderr.splitlines()) == 1
    assert "is damaged at byte" in refused.stderr
    mended = crowpost("state", "repair", str(state), "--to", str(tmp_path / "copy"))
    assert mended.returncode == 0 and "dropped: " in mended.stdout
    assert crowpost("state", "verify", str(tmp_path / "copy-repaired")).returncode == 0
    again = crowpost("state", "repair", str(state), "--to", str(tmp_path / "copy"))
    assert again.returncode == 2 and "File exists" in again.stderr
    assert log.read_bytes() == data and os.listdir(tmp_path / "copy")


@pytest.mark.parametrize("command", ["show", "verify", "repair"])
def test_where_there_is_no_store_the_command_says_so_and_changes_nothing(
    command: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against `whole` for a mistyped path, and against a repair that leaves a lock there."""

    def ask(*arguments: str) -> tuple[object, str, str]:
        monkeypatch.setattr("sys.argv", ["crowpost", "state", command, *arguments])
        with pytest.raises(SystemExit) as ended:
            main()
        return ended.value.code, *capsys.readouterr()

    empty, other, missing = (tmp_path / name for name in ("empty", "other", "missing"))
    empty.mkdir()
    other.mkdir()
    (other / "notes.txt").write_text("no store")
    before = sorted(tmp_path.rglob("*"))
    for path in (empty, other):
        assert ask(str(path)) == (1, "", f"crowpost: {path}: there is no store\n")
        assert ask(str(path), "--json") == (1, "", f"crowpost: {path}: there is no store\n")
    code, out, error = ask(str(missing))
    assert (code, out, len(error.splitlines())) == (2, "", 1)
    assert sorted(tmp_path.rglob("*")) == before
