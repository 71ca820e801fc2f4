"""The commands `crowpost feed`, with running processes of the feed."""

from __future__ import annotations

import asyncio
import json
import subprocess
from pathlib import Path
from typing import Any

import pytest

from crowpost.cli.feed import STATUS_TIMEOUT_S
from crowpost.cli.feed_status import StatusAnswers, collect_statuses, summarize
from crowpost.config_feed.command import main as feed_main
from tests.config_feed.fleet import CLUSTER, connect_timeout_patch, published_version, running_fleet
from tests.node.stubs import HOST, run
from tests.test_cli import crowpost


def test_status_is_collected_in_time_if_half_of_the_servers_are_unresponsive(tmp_path: Path) -> None:
    async def never_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def scenario() -> None:
        async with running_fleet(tmp_path, 1) as (fleet, nodes):
            for number in range(1, 3):
                assert published_version(await fleet.publish(connect_timeout_patch(100.0 + number))) == number
            await fleet.status(lambda status: status["whole"])
            servers = [await asyncio.start_server(never_answer, HOST, 0) for _ in range(3)]
            unresponsive = [f"{HOST}:{server.sockets[0].getsockname()[1]}" for server in servers]
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answers = await collect_statuses([*unresponsive, *fleet.addresses.values()], CLUSTER, 0.5)
            assert loop.time() - started_at < 2.0 and STATUS_TIMEOUT_S <= 1.5
            assert sorted(answers.errors) == sorted(unresponsive)
            assert answers.errors[unresponsive[0]].endswith("no answer within 0.5 s")
            summary = summarize(answers)
            assert (
                sorted(summary["answered"]) == ["p", "r0", "r1"] and summary["heads"]["all"]["in_force"] == 1
            )
            options = ["--at", ",".join(fleet.addresses.values()), "--cluster", CLUSTER]
            await check_commands(options, tmp_path)
            for server in servers:
                server.close()

    run(scenario())


async def check_commands(options: list[str], path: Path) -> None:
    """Check the output of the commands for a fleet with version 2 of the scope `all`."""
    document = path / "document.json"
    document.write_text('{"discovery": "nowhere"}')

    async def feed(*arguments: str) -> subprocess.CompletedProcess[str]:
        return await asyncio.to_thread(crowpost, "feed", *arguments, *options)

    status, rejected = await asyncio.gather(feed("status"), feed("publish", str(document), "--scope", "all"))
    assert (status.returncode, status.stderr) == (0, ""), status
    assert "1 of 1" in status.stdout and "all 3 that watch have all that is meant for them" in status.stdout
    expected_error = "refused: all: NODE_DISCOVERY is not an address and a port: 'nowhere'\n"
    assert (rejected.returncode, rejected.stderr) == (1, expected_error)
    rollback = await feed("back", "all", "--if-version", "2", "--json")
    assert rollback.returncode == 0 and json.loads(rollback.stdout)["version"] == 3
    watched = await feed("watch", "--count", "1", "--json")
    assert watched.returncode == 0 and json.loads(watched.stdout)["version"] == 3


def test_summary_omits_nodes_that_were_replaced_long_ago() -> None:
    def follower(name: str, linked: bool, age_ms: float) -> dict[str, Any]:
        apply_status = {"scope": "all", "era": 1, "version": 1, "digest": "0", "state": "in force", "why": ""}
        report = {"name": name, "role": "node", "region": "r", "zone": "", "service": "s", "birth": 1}
        report |= {"counter": 1, "age_ms": age_ms, "linked": linked}
        return report | {"standings": [{**apply_status, "since_ms": 5.0}]}

    header = {"scope": "all", "era": 1, "version": 1, "digest": "0", "writer": "p"}
    status: dict[str, Any] = {"name": "p", "heads": [header], "conflicts": [], "counts": {}}
    rows = [follower("here", True, 1_000.0), follower("slow", True, 700_000.0)]
    rows += [follower("away", False, 11_000.0), follower("replaced", False, 600_001.0)]
    summary = summarize(StatusAnswers([{**status, "followers": rows}]))
    assert summary["gone"] == ["replaced"] and list(summary["followers"]) == ["away", "here", "slow"]
    assert [name for name, record in summary["followers"].items() if record["unheard"]] == [
        "away",
        "slow",
    ] and not summary["whole"]
    assert summary["heads"]["all"]["meant"] == 3
    rows = [rows[0], rows[3]]
    assert summarize(StatusAnswers([{**status, "followers": rows}]))["whole"]
    assert not summarize(StatusAnswers([{**status, "followers": rows}], {"h:1": "h:1: no answer"}))["whole"]


@pytest.mark.parametrize(
    ("arguments", "expected_error"),
    [
        (["publish", "large.json", "--scope", "all"], "all: 262145 bytes, 262144 at most"),
        (["status", "--at", "h"], "not an address and a port: 'h'"),
        (["publish", "none", "--scope", "all"], "none: No such file or directory"),
        (["back", "zone/a"], "not a scope (all, region/R, service/S or node/N): 'zone/a'"),
        (["status", "--at", f"{HOST}:1"], f"{HOST}:1: "),
    ],
)
def test_invalid_arguments_are_reported_in_one_line_with_exit_code_2(
    arguments: list[str],
    expected_error: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "large.json").write_bytes(bytes(262_145))
    result = crowpost(
        "feed", *arguments, "--cluster", CLUSTER, *([] if "--at" in arguments else ["--at", "h:1"])
    )
    assert result.returncode == 2 and result.stderr.startswith(f"crowpost: {expected_error}"), result
    assert result.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ('listen = "h:1"', "feed.directory: is missing"),
        ('directory = "d"', "feed.listen: is missing"),
        ('directory = "d"\nlisten = "h:x"', "feed.listen: not an address and a port: 'h:x'"),
        (
            'directory = "d"\nlisten = "h:1"\nhome = "east"',
            "feed.home: must be one of the regions in feed.publishers",
        ),
        (
            'directory = "d"\nlisten = "h:1"\nhome = "south"',
            "feed.publishers.north: must be 'p', the publisher of",
        ),
    ],
)
def test_invalid_publisher_configuration_is_reported_in_one_line_with_exit_code_2(
    tmp_path: Path, text: str, expected_error: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "p.toml"
    header = '[feed]\ncluster = "c"\nname = "p"\nrole = "publisher"\nregion = "north"\n'
    file.write_text(header + text + '\npublishers = {south = "q"}\n')
    assert feed_main([str(file)]) == 2
    error_output = capsys.readouterr().err
    assert (
        error_output.startswith(f"crowpost.feed: {file}: {expected_error}") and error_output.count("\n") == 1
    )
