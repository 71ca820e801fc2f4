"""The rig: timetables by seed, checks that can fail, relays, and a short storm on real processes."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from crowpost.lab.rig.history import check
from crowpost.lab.rig.plan import Act, Bad, kinds, load, shipped, timetable
from crowpost.lab.rig.relays import Relays, own_ip
from tests.node.stubs import WAIT_TIMEOUT_S, run
from tests.test_cli import crowpost

HEAD = 'schema = 1\nname = "t"\nabout = "a test"\nprocesses = 4\nduration_s = 5.0\n'


def test_shipped_storms_can_be_played_and_hold_every_kind_of_trouble() -> None:
    storms = [load(name) for name in shipped()]
    assert {bad.kind for storm in storms for bad in storm.bad} == set(kinds())


def test_equal_seeds_give_equal_timetables() -> None:
    storm = load("all")
    assert timetable(storm, 3) == timetable(storm, 3) != timetable(storm, 4)
    for act in timetable(storm, 3):
        assert act.victims and (bool(act.links) == (act.bad.kind not in ACTS))


ACTS = ("kill", "restart", "upgrade", "stop", "starve", "replay", "junk", "power_loss", "evacuate")


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("x", "Expected '='"),
        (HEAD.replace("1", "2", 1), "schema: 2 is not known, this version reads 1"),
        (HEAD.replace("4", "1", 1), "Expected `int` >= 2"),
        (HEAD + '[[bad]]\nkind = "flood"\nat_s = 1.0\n', "Invalid enum value 'flood'"),
        (HEAD + '[[bad]]\nkind = "kill"\nat_s = 1.0\n', "bad[0].for_s: it ends past the storm's end, 5.0 s"),
        (
            HEAD + '[[bad]]\nkind = "loss"\nat_s = 1.0\nfor_s = 1.0\nsize = 2.0\n',
            "bad[0].size: a share of 2.0",
        ),
    ],
)
def test_a_storm_that_cannot_be_played_is_said_in_one_line(tmp_path: Path, text: str, said: str) -> None:
    file = tmp_path / "t.toml"
    file.write_text(text)
    done = crowpost("lab", "storm", str(file))
    assert done.returncode == 2 and said in done.stderr and len(done.stderr.splitlines()) == 1


# ---------------------------------------------------------------- the checks can fail


def line(at_s: float, source: str, event: str, **values: Any) -> dict[str, Any]:
    return {"at_ms": 1000.0 * at_s, "from": source, "event": event, **values}


def ends(present: list[str], *names: str, digest: str = "d") -> list[dict[str, Any]]:
    return [line(100, name, "final", present=present, digest=digest) for name in names]


GOOD = ends(["a", "b", "c"], "a", "b", "c")
DIES = line(20, "a", "change", about="b", before="suspected", after="dead")


def test_a_quiet_history_is_good() -> None:
    assert check(GOOD).breaches == []


def test_a_death_of_one_that_could_be_reached_is_found() -> None:
    assert ["a held b dead" in breach for breach in check([DIES, *GOOD]).breaches] == [True]


@pytest.mark.parametrize("kind", ["partition", "stop", "one_way"])
def test_a_death_of_one_that_was_cut_off_or_stopped_is_excused(kind: str) -> None:
    links = [["b", "c"]] if kind == "one_way" else []
    trouble = line(10, "rig", "trouble", kind=kind, victims=["b"], links=links, size=0.1, until_ms=18_000.0)
    assert check([trouble, DIES, *GOOD]).breaches == []
    late = {**DIES, "at_ms": 40_000.0}
    assert len(check([trouble, late, *GOOD]).breaches) == 1


def test_a_kill_that_nobody_notices_is_found_and_one_that_is_noticed_is_timed() -> None:
    down = [line(10, "rig", "down", about="b"), line(30, "rig", "up", about="b")]
    assert ["nobody noticed" in breach for breach in check([*down, *GOOD]).breaches] == [True]
    known = [{**DIES, "at_ms": 13_000.0}, {**DIES, "at_ms": 14_500.0, "from": "c"}]
    found = check([*down, *known, *GOOD])
    assert (found.breaches, found.first_s, found.everywhere_s) == ([], [3.0], [4.5])


def test_views_that_differ_at_the_end_are_found() -> None:
    lacks = [*ends(["a", "b", "c"], "a", "b"), *ends(["a", "c"], "c")]
    assert check(lacks).breaches == ["c at the end lacks ['b'] and holds none too many"]
    other = [*ends(["a", "b"], "a"), *ends(["a", "b"], "b", digest="e")]
    assert check(other).breaches == ["digests differ at the end"]
    assert check([]).breaches == ["no process told its view at the end"]
    assert "did not tell" in check([*ends(["a"], "a"), line(9, "b", "final", failed="no answer")]).breaches[0]


def test_a_process_that_ends_by_itself_is_found() -> None:
    ended = line(50, "b", "ended", code=-6, words="fatal")
    assert check([ended, *GOOD]).breaches == ["b ended by itself with -6: fatal"]


def state(when: str, last: int = 9, **more: Any) -> dict[str, Any]:
    told = {"last": last, "emptied": False, "incarnation": 3} | more
    return line(30, "rig", "state", about="b", when=when, **told)


def test_a_power_loss_that_changes_what_was_kept_is_found() -> None:
    assert check([state("before"), state("after"), *GOOD]).breaches == []
    assert check([state("before"), state("after"), *GOOD]).states == 1
    for after in (state("after", 8), state("after", emptied=True), state("after", incarnation=2)):
        assert len(check([state("before"), after, *GOOD]).breaches) == 1
    refused = line(30, "rig", "state", about="b", when="after", refused="log-1 is damaged")
    assert check([refused, *GOOD]).breaches == ["b: after the power loss: log-1 is damaged"]


def test_a_node_that_forgets_what_staff_asked_is_found() -> None:
    asking = line(10, "rig", "asking", about="b", emptied=True)
    asked = line(11, "rig", "asked", about="b", emptied=True)
    empty, serves = (line(20, "rig", "started", about="b", emptied=e) for e in (True, False))
    assert check([asking, asked, empty, *GOOD]).breaches == []
    assert ["b serves after a start" in b for b in check([asking, asked, serves, *GOOD]).breaches] == [True]
    assert check([asking, serves, *GOOD]).breaches == check([asking, empty, *GOOD]).breaches == []
    assert ["b is empty after a start" in b for b in check([empty, *GOOD]).breaches] == [True]


def test_a_power_loss_needs_a_state_directory(tmp_path: Path) -> None:
    file = tmp_path / "t.toml"
    file.write_text(HEAD + '[[bad]]\nkind = "power_loss"\nat_s = 1.0\nfor_s = 1.0\n')
    done = crowpost("lab", "storm", str(file))
    assert done.returncode == 2 and "power_loss needs nodes with state = true" in done.stderr


# ---------------------------------------------------------------- relays


def test_relays_cut_one_way_and_pass_the_other() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        relays = Relays(["a", "b"], 1)
        await relays.open()
        ends: dict[str, socket.socket] = {}
        for i, name in enumerate(("a", "b")):
            ends[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            ends[name].setblocking(False)
            ends[name].bind((own_ip(i), 0))
            relays.targets[name] = ends[name].getsockname()[:2]

        def send(sender: str, receiver: str, data: bytes) -> None:
            host, _, port = relays.addresses[receiver].rpartition(":")
            ends[sender].sendto(data, (host, int(port)))

        async def receive(name: str) -> bytes:
            return await asyncio.wait_for(loop.sock_recv(ends[name], 2000), WAIT_TIMEOUT_S)

        try:
            act = Act(Bad("one_way", 0.0), ("a",), frozenset({("a", "b")}))
            relays.begin(act)
            send("a", "b", b"lost")
            send("b", "a", b"back")
            assert await receive("a") == b"back"
            relays.end(act)
            send("a", "b", b"through")
            assert await receive("b") == b"through"
            relays.begin(Act(Bad("duplicate", 0.0, size=1.0), ("a",), frozenset({("a", "b")})))
            send("a", "b", b"twice")
            assert [await receive("b"), await receive("b")] == [b"twice", b"twice"]
        finally:
            relays.close()
            for end in ends.values():
                end.close()

    run(main())


# ---------------------------------------------------------------- real processes

STORM = """schema = 1
name = "tiny"
about = "Four members: one is killed and back, one is taken over, datagrams are lost and spoilt"
processes = 4
duration_s = 6.0
quiet_s = 60.0
program = "member"

[tuning]
suspicion = 20.0

[[bad]]
kind = "loss"
at_s = 0.0
for_s = 4.0
part = 0.5
size = 0.1

[[bad]]
kind = "junk"
at_s = 0.0
for_s = 3.0
part = 0.5

[[bad]]
kind = "kill"
at_s = 0.5
for_s = 1.0
part = 0.25

[[bad]]
kind = "upgrade"
at_s = 3.0
for_s = 2.0
part = 0.25
"""


def test_a_short_storm_on_real_processes_ends_with_one_view(tmp_path: Path) -> None:
    file, folder = tmp_path / "tiny.toml", tmp_path / "kept"
    file.write_text(STORM)
    done = crowpost("lab", "storm", str(file), "--out", str(folder), "--json")
    assert done.returncode == 0, done.stderr
    result = json.loads(done.stdout)
    assert result["breaches"] == [] and result["counts"]["datagrams_in"] > 50
    history = [json.loads(text) for text in (folder / "history.jsonl").read_text().splitlines()]
    assert check(history).breaches == []
    assert {"trouble", "change", "down", "up", "final"} <= {told["event"] for told in history}
