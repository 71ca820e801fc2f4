"""Fault injection: schedules by seed, the checks of a history, relays, and a short run on real processes."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from crowpost.lab.rig.history import check
from crowpost.lab.rig.plan import Fault, ScheduledFault, draw_faults, kinds, load, shipped
from crowpost.lab.rig.relays import Relays, own_ip
from tests.node.stubs import WAIT_TIMEOUT_S, run
from tests.test_cli import crowpost

HEAD = 'schema = 1\nname = "t"\nabout = "a test"\nprocesses = 4\nduration_s = 5.0\n'


def test_shipped_schedules_load_and_cover_every_kind_of_fault() -> None:
    schedules = [load(name) for name in shipped()]
    assert {fault.kind for schedule in schedules for fault in schedule.bad} == set(kinds())


def test_equal_seeds_give_equal_faults() -> None:
    schedule = load("all")
    assert draw_faults(schedule, 3) == draw_faults(schedule, 3) != draw_faults(schedule, 4)
    for scheduled in draw_faults(schedule, 3):
        assert scheduled.victims and (bool(scheduled.links) == (scheduled.fault.kind not in PROCESS_FAULTS))


PROCESS_FAULTS = ("kill", "restart", "upgrade", "stop", "starve", "replay", "junk", "power_loss", "evacuate")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("x", "Expected '='"),
        (HEAD.replace("1", "2", 1), "schema: 2 is not known, this version reads 1"),
        (HEAD.replace("4", "1", 1), "Expected `int` >= 2"),
        (HEAD + '[[bad]]\nkind = "flood"\nat_s = 1.0\n', "Invalid enum value 'flood'"),
        (
            HEAD + '[[bad]]\nkind = "kill"\nat_s = 1.0\n',
            "bad[0].for_s: the fault ends after the schedule of 5.0 s",
        ),
        (
            HEAD + '[[bad]]\nkind = "loss"\nat_s = 1.0\nfor_s = 1.0\nsize = 2.0\n',
            "bad[0].size: a share of 2.0 is more than 1",
        ),
    ],
)
def test_an_invalid_schedule_is_reported_in_one_line(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / "t.toml"
    file.write_text(text)
    done = crowpost("lab", "storm", str(file))
    assert done.returncode == 2 and message in done.stderr and len(done.stderr.splitlines()) == 1


# ---------------------------------------------------------------- checks of a history


def event_line(at_s: float, source: str, event: str, **values: Any) -> dict[str, Any]:
    return {"at_ms": 1000.0 * at_s, "from": source, "event": event, **values}


def final_lines(present: list[str], *names: str, digest: str = "d") -> list[dict[str, Any]]:
    return [event_line(100, name, "final", present=present, digest=digest) for name in names]


FINAL_VIEWS = final_lines(["a", "b", "c"], "a", "b", "c")
DEATH = event_line(20, "a", "change", about="b", before="suspected", after="dead")


def test_a_history_with_equal_final_views_has_no_breach() -> None:
    assert check(FINAL_VIEWS).breaches == []


def test_the_death_of_a_reachable_process_is_a_breach() -> None:
    assert ["a declared b dead" in breach for breach in check([DEATH, *FINAL_VIEWS]).breaches] == [True]


@pytest.mark.parametrize("kind", ["partition", "stop", "one_way"])
def test_the_death_of_a_partitioned_or_stopped_process_is_excused(kind: str) -> None:
    links = [["b", "c"]] if kind == "one_way" else []
    fault = event_line(
        10, "rig", "trouble", kind=kind, victims=["b"], links=links, size=0.1, until_ms=18_000.0
    )
    assert check([fault, DEATH, *FINAL_VIEWS]).breaches == []
    late_death = {**DEATH, "at_ms": 40_000.0}
    assert len(check([fault, late_death, *FINAL_VIEWS]).breaches) == 1


def test_an_undetected_kill_is_a_breach_and_a_detected_one_is_timed() -> None:
    down = [event_line(10, "rig", "down", about="b"), event_line(30, "rig", "up", about="b")]
    assert ["no process detected" in breach for breach in check([*down, *FINAL_VIEWS]).breaches] == [True]
    detections = [{**DEATH, "at_ms": 13_000.0}, {**DEATH, "at_ms": 14_500.0, "from": "c"}]
    result = check([*down, *detections, *FINAL_VIEWS])
    assert (result.breaches, result.first_s, result.everywhere_s) == ([], [3.0], [4.5])


def test_different_views_at_the_end_are_a_breach() -> None:
    without_b = [*final_lines(["a", "b", "c"], "a", "b"), *final_lines(["a", "c"], "c")]
    assert check(without_b).breaches == ["c at the end lacks ['b'] and has none too many"]
    other_digest = [*final_lines(["a", "b"], "a"), *final_lines(["a", "b"], "b", digest="e")]
    assert check(other_digest).breaches == ["view digests differ at the end"]
    assert check([]).breaches == ["no process reported its view at the end"]
    assert (
        "did not report"
        in check([*final_lines(["a"], "a"), event_line(9, "b", "final", failed="no answer")]).breaches[0]
    )


def test_an_unexpected_exit_is_a_breach() -> None:
    ended = event_line(50, "b", "ended", code=-6, words="fatal")
    assert check([ended, *FINAL_VIEWS]).breaches == ["b exited unexpectedly with -6: fatal"]


def state_line(when: str, last: int = 9, **more: Any) -> dict[str, Any]:
    fields = {"last": last, "emptied": False, "incarnation": 3} | more
    return event_line(30, "rig", "state", about="b", when=when, **fields)


def test_a_power_loss_that_changes_durable_state_is_a_breach() -> None:
    assert check([state_line("before"), state_line("after"), *FINAL_VIEWS]).breaches == []
    assert check([state_line("before"), state_line("after"), *FINAL_VIEWS]).states == 1
    for changed in (
        state_line("after", 8),
        state_line("after", emptied=True),
        state_line("after", incarnation=2),
    ):
        assert len(check([state_line("before"), changed, *FINAL_VIEWS]).breaches) == 1
    unreadable = event_line(30, "rig", "state", about="b", when="after", refused="log-1 is damaged")
    assert check([unreadable, *FINAL_VIEWS]).breaches == ["b: after the power loss: log-1 is damaged"]


def test_a_node_that_forgets_an_evacuation_or_rejoin_is_a_breach() -> None:
    asking = event_line(10, "rig", "asking", about="b", emptied=True)
    asked = event_line(11, "rig", "asked", about="b", emptied=True)
    evacuated, serves = (
        event_line(20, "rig", "started", about="b", emptied=value) for value in (True, False)
    )
    assert check([asking, asked, evacuated, *FINAL_VIEWS]).breaches == []
    assert [
        "b serves after a start" in breach for breach in check([asking, asked, serves, *FINAL_VIEWS]).breaches
    ] == [True]
    assert (
        check([asking, serves, *FINAL_VIEWS]).breaches
        == check([asking, evacuated, *FINAL_VIEWS]).breaches
        == []
    )
    assert [
        "b is evacuated after a start" in breach for breach in check([evacuated, *FINAL_VIEWS]).breaches
    ] == [True]


def test_a_power_loss_needs_a_state_directory(tmp_path: Path) -> None:
    file = tmp_path / "t.toml"
    file.write_text(HEAD + '[[bad]]\nkind = "power_loss"\nat_s = 1.0\nfor_s = 1.0\n')
    done = crowpost("lab", "storm", str(file))
    assert done.returncode == 2 and "power_loss needs nodes with state = true" in done.stderr


# ---------------------------------------------------------------- relays


def test_relays_block_one_direction_and_forward_the_other() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        relays = Relays(["a", "b"], 1)
        await relays.open()
        sockets: dict[str, socket.socket] = {}
        for i, name in enumerate(("a", "b")):
            sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets[name].setblocking(False)
            sockets[name].bind((own_ip(i), 0))
            relays.targets[name] = sockets[name].getsockname()[:2]

        def send(sender: str, receiver: str, data: bytes) -> None:
            host, _, port = relays.addresses[receiver].rpartition(":")
            sockets[sender].sendto(data, (host, int(port)))

        async def receive(name: str) -> bytes:
            return await asyncio.wait_for(loop.sock_recv(sockets[name], 2000), WAIT_TIMEOUT_S)

        try:
            one_way = ScheduledFault(Fault("one_way", 0.0), ("a",), frozenset({("a", "b")}))
            relays.begin(one_way)
            send("a", "b", b"lost")
            send("b", "a", b"back")
            assert await receive("a") == b"back"
            relays.end(one_way)
            send("a", "b", b"through")
            assert await receive("b") == b"through"
            relays.begin(ScheduledFault(Fault("duplicate", 0.0, size=1.0), ("a",), frozenset({("a", "b")})))
            send("a", "b", b"twice")
            assert [await receive("b"), await receive("b")] == [b"twice", b"twice"]
        finally:
            relays.close()
            for sock in sockets.values():
                sock.close()

    run(main())


# ---------------------------------------------------------------- real processes

SCHEDULE = """schema = 1
name = "tiny"
about = "Four members: one is killed and restarted, one is upgraded, datagrams are lost and damaged"
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


def test_views_agree_after_a_short_run_on_real_processes(tmp_path: Path) -> None:
    file, folder = tmp_path / "tiny.toml", tmp_path / "files"
    file.write_text(SCHEDULE)
    done = crowpost("lab", "storm", str(file), "--out", str(folder), "--json")
    assert done.returncode == 0, done.stderr
    result = json.loads(done.stdout)
    assert result["breaches"] == [] and result["counts"]["datagrams_in"] > 50
    history = [json.loads(text) for text in (folder / "history.jsonl").read_text().splitlines()]
    assert check(history).breaches == []
    assert {"trouble", "change", "down", "up", "final"} <= {entry["event"] for entry in history}
