"""`crowpost feed` as its users see it, beside processes of the feed."""

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


def test_status_answers_in_time_with_half_of_those_asked_silent(tmp_path: Path) -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    async def play() -> None:
        async with running_fleet(tmp_path, 1) as (world, started):
            for number in range(1, 3):
                assert published_version(await world.publish(connect_timeout_patch(100.0 + number))) == number
            await world.status(lambda f: f["whole"])
            servers = [await asyncio.start_server(silent, HOST, 0) for _ in range(3)]
            asked = [f"{HOST}:{server.sockets[0].getsockname()[1]}" for server in servers]
            loop = asyncio.get_running_loop()
            began = loop.time()
            answers = await collect_statuses([*asked, *world.addresses.values()], CLUSTER, 0.5)
            assert loop.time() - began < 2.0 and STATUS_TIMEOUT_S <= 1.5
            assert sorted(answers.errors) == sorted(asked)
            assert answers.errors[asked[0]].endswith("no answer within 0.5 s")
            found = summarize(answers)
            assert sorted(found["answered"]) == ["p", "r0", "r1"] and found["heads"]["all"]["in_force"] == 1
            at = ["--at", ",".join(world.addresses.values()), "--cluster", CLUSTER]
            await commands(at, tmp_path)
            for server in servers:
                server.close()

    run(play())


async def commands(at: list[str], path: Path) -> None:
    """What a user sees, beside a fleet at version 2 of `all`."""
    document = path / "document.json"
    document.write_text('{"discovery": "nowhere"}')

    async def feed(*arguments: str) -> subprocess.CompletedProcess[str]:
        return await asyncio.to_thread(crowpost, "feed", *arguments, *at)

    status, refused = await asyncio.gather(feed("status"), feed("publish", str(document), "--scope", "all"))
    assert (status.returncode, status.stderr) == (0, ""), status
    assert "1 of 1" in status.stdout and "all 3 that watch have all that is meant for them" in status.stdout
    said = "refused: all: NODE_DISCOVERY is not an address and a port: 'nowhere'\n"
    assert (refused.returncode, refused.stderr) == (1, said)
    taken_back = await feed("back", "all", "--if-version", "2", "--json")
    assert taken_back.returncode == 0 and json.loads(taken_back.stdout)["version"] == 3
    watched = await feed("watch", "--count", "1", "--json")
    assert watched.returncode == 0 and json.loads(watched.stdout)["version"] == 3


def test_nodes_that_were_replaced_are_left_out_of_the_summary_in_the_end() -> None:
    def follower(name: str, linked: bool, age_ms: float) -> dict[str, Any]:
        apply_status = {"scope": "all", "era": 1, "version": 1, "digest": "0", "state": "in force", "why": ""}
        told = {"name": name, "role": "node", "region": "r", "zone": "", "service": "s", "birth": 1}
        told |= {"counter": 1, "age_ms": age_ms, "linked": linked}
        return told | {"standings": [{**apply_status, "since_ms": 5.0}]}

    header = {"scope": "all", "era": 1, "version": 1, "digest": "0", "writer": "p"}
    status: dict[str, Any] = {"name": "p", "heads": [header], "conflicts": [], "counts": {}}
    rows = [follower("here", True, 1_000.0), follower("slow", True, 700_000.0)]
    rows += [follower("away", False, 11_000.0), follower("replaced", False, 600_001.0)]
    found = summarize(StatusAnswers([{**status, "followers": rows}]))
    assert found["gone"] == ["replaced"] and list(found["followers"]) == ["away", "here", "slow"]
    assert [n for n, f in found["followers"].items() if f["unheard"]] == ["away", "slow"] and not found[
        "whole"
    ]
    assert found["heads"]["all"]["meant"] == 3
    rows = [rows[0], rows[3]]
    assert summarize(StatusAnswers([{**status, "followers": rows}]))["whole"]
    assert not summarize(StatusAnswers([{**status, "followers": rows}], {"h:1": "h:1: no answer"}))["whole"]


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        (["publish", "large.json", "--scope", "all"], "all: 262145 bytes, 262144 at the most"),
        (["status", "--at", "h"], "not an address and a port: 'h'"),
        (["publish", "none", "--scope", "all"], "none: No such file or directory"),
        (["back", "zone/a"], "not a scope (all, region/R, service/S or node/N): 'zone/a'"),
        (["status", "--at", f"{HOST}:1"], f"{HOST}:1: "),
    ],
)
def test_what_a_command_cannot_use_is_one_line_and_exit_code_2(
    arguments: list[str],
    said: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.chdir(tmp_path)
    (tmp_path / "large.json").write_bytes(bytes(262_145))
    done = crowpost(
        "feed", *arguments, "--cluster", CLUSTER, *([] if "--at" in arguments else ["--at", "h:1"])
    )
    assert done.returncode == 2 and done.stderr.startswith(f"crowpost: {said}"), done
    assert done.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "said"),
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
def test_what_a_publishers_file_cannot_mean_is_one_line_and_exit_code_2(
    tmp_path: Path, text: str, said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "p.toml"
    header = '[feed]\ncluster = "c"\nname = "p"\nrole = "publisher"\nregion = "north"\n'
    file.write_text(header + text + '\npublishers = {south = "q"}\n')
    assert feed_main([str(file)]) == 2
    told = capsys.readouterr().err
    assert told.startswith(f"crowpost.feed: {file}: {said}") and told.count("\n") == 1
