"""The measure of what a node adds: its figures, its lean caller and servers, and one short real run."""

from __future__ import annotations

import cProfile
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from crowpost.cli.main import app
from crowpost.lab.overhead import caller as client
from crowpost.lab.overhead import figures
from crowpost.lab.overhead.figures import PERCENTILES, difference, intervals, percentiles, summary
from crowpost.lab.overhead.platform import Case, How
from crowpost.lab.overhead.play import play
from crowpost.lab.overhead.profile import by_cause, cause
from crowpost.lab.overhead.report import HEADS, page, row
from crowpost.lab.overhead.stand import request, whole
from crowpost.lab.overhead.versions import OverheadError, present, unpack

# ---------------------------------------------------------------- figures


def test_percentiles_and_their_differences() -> None:
    found = percentiles([float(n) for n in range(1001)])
    assert found == {"p50_ms": 500.0, "p90_ms": 900.0, "p99_ms": 990.0, "p999_ms": 999.0}
    assert difference(found, percentiles([1.0, 1.0]))["p99_ms"] == 989.0
    assert percentiles([]) == dict.fromkeys(PERCENTILES)
    assert difference(found, percentiles([]))["p50_ms"] is None


def test_an_interval_holds_the_difference_that_was_put_in_and_narrows_with_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rng = np.random.default_rng(6)

    def rounds(number: int, added: float) -> list[list[float]]:
        return [list(rng.exponential(1.0, 40) + added) for _ in range(number)]

    monkeypatch.setattr(figures, "RESAMPLES", 100)
    held, widths = {8: 0, 40: 0}, {8: 0.0, 40: 0.0}
    for number in held:
        for _ in range(20):
            found = intervals(rounds(number, 3.0), rounds(number, 0.0), 1)["p50_ms"]
            assert found is not None
            held[number] += found[0] < 3.0 < found[1]
            widths[number] += found[1] - found[0]
    assert held[8] >= 16 and held[40] >= 17  # of 20 at 95%; few rounds know less of their own spread
    assert widths[40] < 0.6 * widths[8]
    more, less = rounds(9, 1.0), rounds(9, 0.0)
    assert intervals(more, less, 7) == intervals(more, less, 7)  # one seed is one interval


def test_many_requests_of_one_round_are_not_taken_for_independent() -> None:
    """What a whole round has in common, be it the machine's, is not averaged away by its many requests."""
    rng = np.random.default_rng(5)
    common = [[float(shift)] * 500 for shift in rng.normal(0.0, 1.0, 12)]
    found = intervals(common, [[0.0] * 500] * 12, 1)["p50_ms"]
    assert found is not None and found[1] - found[0] > 0.5


def test_no_interval_without_two_rounds_or_values() -> None:
    assert intervals([[1.0]], [[1.0]], 1)["p99_ms"] is None
    assert intervals([[], []], [[1.0], [1.0]], 1)["p99_ms"] is None
    with pytest.raises(ValueError, match="2 rounds against 1"):
        intervals([[1.0], [1.0]], [[1.0]], 1)


def slice_of(arm: int, number: int, ms: float, there: float, served: int = 4) -> dict[str, Any]:
    return {
        "arm": arm,
        "round": number,
        "seconds": 2.0,
        "core_ns": 800_000,
        "sent": served,
        "late_ms": 0.1,
        "latency_ms": [ms] * served,
        "there_ms": [there] * served,
        "ends": {"served": served},
    }


def test_a_summary_sets_calls_through_beside_both_direct_arms() -> None:
    slices = [
        slice_of(arm, number, ms, there)
        for number in range(3)
        for arm, ms, there in ((0, 1.0, 0.4), (1, 1.2, 0.5), (2, 3.0, 2.0), (3, 9.0, 2.0))
    ]
    found = summary(slices, 2, 1)
    assert found["requests"] == 12 and found["ends"] == {"served": 12}
    assert found["through"]["p50_ms"] == 3.0 and found["direct"]["p50_ms"] == 1.1
    assert found["added"]["p50_ms"] == 1.9 and found["added_there"]["p50_ms"] == 1.55
    assert found["machine_moves"]["p99_ms"] == pytest.approx(0.2)
    assert found["core_us_per_request"] == 200.0 and found["requests_per_s"] == 2.0
    assert summary(slices, 3, 1)["added"]["p99_ms"] == 7.8


def test_a_summary_of_calls_that_nobody_answered_has_no_percentiles() -> None:
    slices = [slice_of(arm, number, 1.0, 0.5) for number in range(2) for arm in (0, 1)]
    slices += [{**slice_of(2, number, 1.0, 0.5, 0), "sent": 3, "ends": {"503": 3}} for number in range(2)]
    found = summary(slices, 2, 1)
    assert found["ends"] == {"503": 6} and found["added"]["p50_ms"] is None
    assert found["core_us_per_request"] is None and found["added_95"]["p99_ms"] is None
    run = {"version": "now", "servers": 1, "chain": 1, "rate": 41.0, "callers": None, **found}
    assert len(row(run)) == len(HEADS)


# ---------------------------------------------------------------- messages


@given(st.integers(0, 2), st.data())
def test_a_message_is_whole_at_its_last_byte_and_not_before(kind: int, data: Any) -> None:
    text = request(b"00000100000001" + b"00", 1, kind)
    cut = data.draw(st.integers(0, len(text) - 1))
    assert whole(text[:cut]) == 0
    assert whole(text) == whole(text + b"HTTP") == len(text)


def test_methods_and_keys_fit_the_classes() -> None:
    safe, keyed, unsafe = (request(b"0" * 16, 0, kind) for kind in range(3))
    assert safe.startswith(b"GET ") and b"Idempotency-Key" not in safe
    assert keyed.startswith(b"POST ") and b"Idempotency-Key" in keyed
    assert unsafe.startswith(b"POST ") and b"Idempotency-Key" not in unsafe


# ---------------------------------------------------------------- the caller


@contextmanager
def server(answer: str) -> Iterator[int]:
    """A server of one manner in a thread of its own: its port."""
    listener = socket.create_server(("127.0.0.1", 0))

    def speak(peer: socket.socket) -> None:
        with peer:
            while data := peer.recv(65536):
                number = re.search(rb"X-Request-Id: (\S+)", data)
                assert number is not None
                if answer == "nothing":
                    continue
                if answer == "close":
                    return
                shown = b"f" * 16 if answer == "another" else number[1]
                body = b"%s %020d" % (shown, time.perf_counter_ns())
                status = b"503 Service Unavailable" if answer == "refusal" else b"200 OK"
                text = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
                peer.sendall(text * 2 if answer == "twice" else text)

    def accept() -> None:
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=speak, args=(peer,), daemon=True).start()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    try:
        yield listener.getsockname()[1]
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(5.0)


@pytest.mark.parametrize("loop", ["open", "closed"])
@pytest.mark.parametrize(
    ("answer", "end"),
    [
        ("well", "served"),
        ("twice", "served"),
        ("another", "of another request"),
        ("refusal", "503"),
        ("close", "unanswered"),
        ("nothing", "unanswered"),
    ],
)
def test_the_caller_counts_how_every_call_ends(
    answer: str, end: str, loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "GIVE_UP_S", 0.05 if answer == "nothing" else 5.0)
    with server(answer) as port:
        plan = client.Plan(
            [[port]], [[os.getpid()]], [0, 0], loop == "open", 500.0, 2, 0.03, 2, False, 0.03, 0, 3, "00000a"
        )
        played = client.Caller(plan)
        slices = played.open_loop() if plan.open else played.closed_loop()
    assert sorted((s.arm, s.round) for s in slices) == [(0, 0), (0, 1), (1, 0), (1, 1)]
    assert sum(s.sent for s in slices) > 0 and played.ids == sum(played.sent)
    for s in slices:
        assert sum(s.ends.values()) == s.sent and set(s.ends) <= {end}
        assert len(s.latency_ms) == len(s.there_ms) == s.ends["served"]
        assert all(0.0 < there < all_of_it for there, all_of_it in zip(s.there_ms, s.latency_ms, strict=True))
    assert (played.extra > 0) is (answer == "twice")


def test_versions_take_turns_beside_the_direct_arms() -> None:
    with server("well") as port:
        ways = [[port]] * 3
        plan = client.Plan(
            ways, [[os.getpid()]] * 3, [0, 0, 1, 2], True, 300.0, 0, 0.05, 4, True, 0.05, 0, 3, "00000a"
        )
        slices = client.Caller(plan).open_loop()
    assert [(s.round, s.arm) for s in slices] == [(n, arm) for n in range(4) for arm in (0, 1, 2 + n % 2)]
    assert {arm: sum(s.sent for s in slices if s.arm == arm) > 0 for arm in range(4)} == dict.fromkeys(
        range(4), True
    )
    raw = [{name: getattr(s, name) for name in client.Slice.__dataclass_fields__} for s in slices]
    for arm, rounds in ((2, (0, 2)), (3, (1, 3))):
        direct = [ms for s in slices if s.arm < 2 and s.round in rounds for ms in s.latency_ms]
        assert summary(raw, arm, 1, at_once=True)["direct"] == percentiles(direct)


# ---------------------------------------------------------------- a real run


def test_direct_and_through_two_nodes_every_call_has_exactly_one_answer_of_its_own() -> None:
    cases = [Case(3, 2, 150.0), Case(3, 2, 0.0, 2)]
    kept: list[dict[str, Any]] = []
    how = How(seconds=0.4, round_s=0.2, slice_s=0.2, warm_s=0.05, kind=1)
    record = play(cases, how=how, keep=lambda run, found: kept.append(found))
    assert record["schema"] == 1 and record["effect"] == "keyed" and len(record["runs"]) == len(kept) == 2
    for run, found in zip(record["runs"], kept, strict=True):
        assert {s["arm"] for s in found["slices"]} == {0, 1, 2}
        assert all(s["ends"] == {"served": s["sent"]} for s in found["slices"])
        assert run["extra"] == 0 and run["ends"] == {"served": run["requests"]} and run["requests"] > 20
        assert run["version"] == "now" and (run["servers"], run["chain"]) == (3, 2)
        assert set(run["direct"]) == set(run["through"]) == set(run["added"]) == set(PERCENTILES)
        assert 1.0 <= run["attempts_each"] < 2.0  # a node may send a second copy of a call that is late
        assert found["attempts"][0] == found["sent"][0] + found["sent"][1]  # nobody does of direct ones
        assert run["core_us_per_request"] > 0.0 and run["requests_per_s"] > 0.0
    assert [run["loop"] for run in record["runs"]] == ["open", "closed"]
    assert json.loads(json.dumps(record)) == record
    text = page(record, [found["slices"] for found in kept])
    assert text.startswith("<!doctype html>") and text.count("<svg") == 2


def children(pid: int) -> list[int]:
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_sigterm_leaves_no_process_behind() -> None:
    run = subprocess.Popen(
        [sys.executable, "-m", "crowpost.cli.main", "lab", "overhead", "--servers", "1", "--rates", "20"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert run.stderr is not None
    assert run.stderr.readline() == "1 servers, chain of 1, 20 a second\n"
    started = children(run.pid)
    assert len(started) >= 2  # servers and a node, maybe already the caller
    run.send_signal(signal.SIGTERM)
    said = run.stderr.read()
    assert run.wait(30) == 2 and said == "crowpost: ended by SIGTERM\n"
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]


# ---------------------------------------------------------------- versions, profile, command


@pytest.mark.parametrize("package", ["crowpost", "fawngw"])
def test_a_revision_is_unpacked_as_it_was_committed(tmp_path: Path, package: str) -> None:
    root = tmp_path / "checkout"
    (root / package).mkdir(parents=True)

    def git(*arguments: str) -> None:
        who = ("-c", "user.name=a", "-c", "user.email=a@example.org")
        subprocess.run(["git", *who, *arguments], cwd=root, check=True, capture_output=True)

    git("init", "-q")
    for text in ("first", "second"):
        (root / package / "__init__.py").write_text(f'"""{text}"""\n')
        git("add", "-A")
        git("commit", "-q", "-m", text)
    inner = root / package
    version = unpack("HEAD~1", tmp_path / "unpacked", inner)
    assert version.folder is not None and len(version.commit) == 12 and version.package == package
    assert (version.folder / package / "__init__.py").read_text() == '"""first"""\n'
    assert "+changes" not in present(inner).commit
    (inner / "__init__.py").write_text("")
    assert present(inner).commit.endswith("+changes")
    with pytest.raises(OverheadError, match="^git: [^\n]+$"):
        unpack("no-such-revision", tmp_path, inner)
    assert present(tmp_path).commit == "unknown"


def test_a_profile_is_told_by_cause(tmp_path: Path) -> None:
    assert cause("/x/crowpost/decisions/endpoint_selection.py", "draw") == "decision"
    assert cause("/x/crowpost/decision_api/settings.py", "read") == "decision"
    assert (
        cause("/x/crowpost/decide/placing.py", "draw") == cause("/x/crowpost/records.py", "add") == "decision"
    )
    assert cause("/x/uvloop/__init__.py", "run") == "event loop and kernel"
    assert cause("/x/crowpost/node/upstream/pool.py", "start") == "servers' side"
    assert cause("/x/crowpost/node/servers.py", "call") == "servers' side", "of an older revision"
    assert cause("<frozen importlib._bootstrap>", "_load") is None
    assert cause("~", "<built-in method builtins.len>") == "built-in functions"
    file = tmp_path / "a.profile"
    profile = cProfile.Profile()
    profile.runcall(lambda: [json.dumps([1, 2, 3], indent=1) for _ in range(2000)])
    profile.dump_stats(file)
    parts = by_cause([file, file], 1000)
    assert sum(part["share"] for part in parts) == pytest.approx(1.0, abs=0.01)
    other = next(part for part in parts if part["cause"] == "other")
    assert other["calls_per_request"] >= 4.0  # 4,000 calls of dumps at the least, of two files


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        (["--servers", "ten"], "--servers: 'ten' is no whole number from 1 to 1000"),
        (["--servers", "1.5"], "--servers: '1.5' is no whole number from 1 to 1000"),
        (["--rates", "41,-1"], "--rates: '-1' is no number from 0.1 to 5000"),
        (["--rates", "nan"], "--rates: 'nan' is no number from 0.1 to 5000"),
        (["--chains", "26"], "--chains: '26' is no whole number from 1 to 25"),
        (["--callers", "4,,5"], "--callers: '' is no whole number from 1 to 100"),
        (
            ["--rates", "", "--callers", ""],
            "--servers, --chains, and --rates or --callers must name some",
        ),
        (["--effect", "none"], "--effect: 'none' is none of safe, keyed, unsafe"),
        (["--seconds", "0"], "--seconds: 0 is not from 1 to 600"),
        (["--against", "no-such-revision"], "git: "),
    ],
)
def test_what_cannot_be_used_ends_in_one_line(arguments: list[str], said: str) -> None:
    done = CliRunner().invoke(app, ["lab", "overhead", *arguments])
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.startswith(f"crowpost: {said}") and done.stderr.count("\n") == 1
