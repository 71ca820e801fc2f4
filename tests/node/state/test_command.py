"""`crowpost state`: show, verify and repair."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from crowpost.cli.main import main
from tests.node.state.helpers import config, until, write_malformed_list
from tests.node.stubs import StubServer, listing, reply, row, run, running_node, send_line
from tests.test_cli import crowpost


def test_output_of_show_verify_and_repair(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            running_node(row("a", server.address), state=config(tmp_path)) as running,
        ):
            send_line(await running.discovery.watch(), listing(3, row("a", server.address)))
            assert (await (await running.client()).ask("look")).status == 200
            assert running.node._state_writer is not None
            writer = running.node._state_writer
            await until(lambda: writer.state.generation == 3)
            await running.manage("POST", "/api/evacuate")

    run(main())
    state = tmp_path / "state"
    shown = crowpost("state", "show", str(state))
    assert "emptied by staff until rejoin" in shown.stdout and "version 3, 1 servers" in shown.stdout
    values = json.loads(crowpost("state", "show", str(state), "--json").stdout)
    assert values["owner"] == "n0" and [s["server"] for s in values["servers"]] == ["a"]
    assert crowpost("state", "verify", str(state)).returncode == 0
    log = next(state.glob("log-*"))
    data = bytearray(log.read_bytes())
    data[60] ^= 4
    log.write_bytes(data)
    verified = crowpost("state", "verify", str(state))
    assert verified.returncode == 1 and "crowpost state repair" in verified.stdout
    failed = crowpost("state", "show", str(state))
    assert failed.returncode == 2 and len(failed.stderr.splitlines()) == 1
    assert "is damaged at byte" in failed.stderr
    repaired = crowpost("state", "repair", str(state), "--to", str(tmp_path / "copy"))
    assert repaired.returncode == 0 and "dropped: " in repaired.stdout
    assert crowpost("state", "verify", str(tmp_path / "copy-repaired")).returncode == 0
    repeated = crowpost("state", "repair", str(state), "--to", str(tmp_path / "copy"))
    assert repeated.returncode == 2 and "File exists" in repeated.stderr
    assert log.read_bytes() == data and os.listdir(tmp_path / "copy")


@pytest.mark.parametrize("command", ["show", "verify", "repair"])
def test_command_without_a_store_fails_and_changes_nothing(
    command: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against `whole` for a mistyped path, and against a repair that leaves a lock file there."""

    def run_command(*arguments: str) -> tuple[object, str, str]:
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
        assert run_command(str(path)) == (1, "", f"crowpost: {path}: there is no store\n")
        assert run_command(str(path), "--json") == (1, "", f"crowpost: {path}: there is no store\n")
    code, out, error = run_command(str(missing))
    assert (code, out, len(error.splitlines())) == (2, "", 1)
    assert sorted(tmp_path.rglob("*")) == before


@pytest.mark.parametrize("options", [[], ["--json"]])
def test_show_of_a_malformed_record_is_one_line_with_its_sequence_number(
    options: list[str], tmp_path: Path
) -> None:
    """Guards against a traceback for a list record with an endpoint that lacks its lifecycle."""
    write_malformed_list(tmp_path / "state")
    shown = crowpost("state", "show", str(tmp_path / "state"), *options)
    assert (shown.returncode, shown.stdout) == (2, "")
    assert shown.stderr == (
        "crowpost: record 2: a record that no node has written: an endpoint of a list lacks 'lifecycle'\n"
    )
