"""Tests of `crowpost lab overhead`: its statistics, its client and stub servers, and one short real run."""

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
from crowpost.lab.overhead.platform import Case, RunSettings
from crowpost.lab.overhead.profile import by_cause, cause
from crowpost.lab.overhead.report import HEADS, page, row
from crowpost.lab.overhead.runner import run_cases
from crowpost.lab.overhead.stub_servers import build_request, message_size
from crowpost.lab.overhead.versions import OverheadError, present, unpack

# ---------------------------------------------------------------- figures


def test_percentiles_and_their_differences() -> None:
    found = percentiles([float(value) for value in range(1001)])
    assert found == {"p50_ms": 500.0, "p90_ms": 900.0, "p99_ms": 990.0, "p999_ms": 999.0}
    assert difference(found, percentiles([1.0, 1.0]))["p99_ms"] == 989.0
    assert percentiles([]) == dict.fromkeys(PERCENTILES)
    assert difference(found, percentiles([]))["p50_ms"] is None


def test_interval_contains_the_known_difference_and_narrows_with_rounds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rng = np.random.default_rng(6)

    def rounds(number: int, added: float) -> list[list[float]]:
        return [list(rng.exponential(1.0, 40) + added) for _ in range(number)]

    monkeypatch.setattr(figures, "RESAMPLES", 100)
    contained, widths = {8: 0, 40: 0}, {8: 0.0, 40: 0.0}
    for number in contained:
        for _ in range(20):
            found = intervals(rounds(number, 3.0), rounds(number, 0.0), 1)["p50_ms"]
            assert found is not None
            contained[number] += found[0] < 3.0 < found[1]
            widths[number] += found[1] - found[0]
    assert contained[8] >= 16 and contained[40] >= 17  # Of 20 at 95%; few rounds underestimate their spread.
    assert widths[40] < 0.6 * widths[8]
    more, less = rounds(9, 1.0), rounds(9, 0.0)
    assert intervals(more, less, 7) == intervals(more, less, 7)  # The same seed gives the same interval.


def test_requests_of_one_round_are_not_treated_as_independent() -> None:
    """An effect common to a whole round, such as one of the machine, is not averaged out."""
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


def test_summary_compares_calls_through_nodes_with_both_direct_arms() -> None:
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


def test_summary_of_unserved_calls_has_no_percentiles() -> None:
    slices = [slice_of(arm, number, 1.0, 0.5) for number in range(2) for arm in (0, 1)]
    slices += [{**slice_of(2, number, 1.0, 0.5, 0), "sent": 3, "ends": {"503": 3}} for number in range(2)]
    found = summary(slices, 2, 1)
    assert found["ends"] == {"503": 6} and found["added"]["p50_ms"] is None
    assert found["core_us_per_request"] is None and found["added_95"]["p99_ms"] is None
    run = {"version": "now", "servers": 1, "chain": 1, "rate": 41.0, "callers": None, **found}
    assert len(row(run)) == len(HEADS)


# ---------------------------------------------------------------- messages


@given(st.integers(0, 2), st.data())
def test_a_message_is_complete_only_at_its_last_byte(kind: int, data: Any) -> None:
    text = build_request(b"00000100000001" + b"00", 1, kind)
    cut = data.draw(st.integers(0, len(text) - 1))
    assert message_size(text[:cut]) == 0
    assert message_size(text) == message_size(text + b"HTTP") == len(text)


def test_methods_and_idempotency_keys_match_the_classes() -> None:
    safe, keyed, unsafe = (build_request(b"0" * 16, 0, kind) for kind in range(3))
    assert safe.startswith(b"GET ") and b"Idempotency-Key" not in safe
    assert keyed.startswith(b"POST ") and b"Idempotency-Key" in keyed
    assert unsafe.startswith(b"POST ") and b"Idempotency-Key" not in unsafe


# ---------------------------------------------------------------- the client


@contextmanager
def server(answer: str) -> Iterator[int]:
    """Run a server in a thread that answers in the given way, and yield its port."""
    listener = socket.create_server(("127.0.0.1", 0))

    def respond(peer: socket.socket) -> None:
        with peer:
            while data := peer.recv(65536):
                request_id = re.search(rb"X-Request-Id: (\S+)", data)
                assert request_id is not None
                if answer == "nothing":
                    continue
                if answer == "close":
                    return
                answered_id = b"f" * 16 if answer == "another" else request_id[1]
                body = b"%s %020d" % (answered_id, time.perf_counter_ns())
                status = b"503 Service Unavailable" if answer == "refusal" else b"200 OK"
                text = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)
                peer.sendall(text * 2 if answer == "twice" else text)

    def accept() -> None:
        while True:
            try:
                peer, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=respond, args=(peer,), daemon=True).start()

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
def test_client_counts_how_every_call_ends(
    answer: str, end: str, loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client, "ANSWER_TIMEOUT_S", 0.05 if answer == "nothing" else 5.0)
    with server(answer) as port:
        plan = client.Plan(
            [[port]], [[os.getpid()]], [0, 0], loop == "open", 500.0, 2, 0.03, 2, False, 0.03, 0, 3, "00000a"
        )
        load_client = client.Client(plan)
        slices = load_client.open_loop() if plan.open else load_client.closed_loop()
    assert sorted((part.arm, part.round) for part in slices) == [(0, 0), (0, 1), (1, 0), (1, 1)]
    assert sum(part.sent for part in slices) > 0 and load_client.request_count == sum(load_client.sent)
    for part in slices:
        assert sum(part.ends.values()) == part.sent and set(part.ends) <= {end}
        assert len(part.latency_ms) == len(part.there_ms) == part.ends["served"]
        assert all(
            0.0 < there < all_of_it for there, all_of_it in zip(part.there_ms, part.latency_ms, strict=True)
        )
    assert (load_client.extra > 0) is (answer == "twice")


def test_versions_alternate_beside_the_direct_arms() -> None:
    with server("well") as port:
        routes = [[port]] * 3
        plan = client.Plan(
            routes, [[os.getpid()]] * 3, [0, 0, 1, 2], True, 300.0, 0, 0.05, 4, True, 0.05, 0, 3, "00000a"
        )
        slices = client.Client(plan).open_loop()
    assert [(part.round, part.arm) for part in slices] == [
        (round_number, arm) for round_number in range(4) for arm in (0, 1, 2 + round_number % 2)
    ]
    assert {
        arm: sum(part.sent for part in slices if part.arm == arm) > 0 for arm in range(4)
    } == dict.fromkeys(range(4), True)
    raw = [{name: getattr(part, name) for name in client.Slice.__dataclass_fields__} for part in slices]
    for arm, rounds in ((2, (0, 2)), (3, (1, 3))):
        direct = [ms for part in slices if part.arm < 2 and part.round in rounds for ms in part.latency_ms]
        assert summary(raw, arm, 1, concurrent=True)["direct"] == percentiles(direct)


# ---------------------------------------------------------------- a real run


def test_every_call_direct_or_through_two_nodes_has_exactly_one_answer() -> None:
    cases = [Case(3, 2, 150.0), Case(3, 2, 0.0, 2)]
    kept: list[dict[str, Any]] = []
    run_settings = RunSettings(seconds=0.4, round_s=0.2, slice_s=0.2, warm_s=0.05, kind=1)
    record = run_cases(cases, run_settings=run_settings, on_run=lambda run, found: kept.append(found))
    assert record["schema"] == 1 and record["effect"] == "keyed" and len(record["runs"]) == len(kept) == 2
    for run, found in zip(record["runs"], kept, strict=True):
        assert {part["arm"] for part in found["slices"]} == {0, 1, 2}
        assert all(part["ends"] == {"served": part["sent"]} for part in found["slices"])
        assert run["extra"] == 0 and run["ends"] == {"served": run["requests"]} and run["requests"] > 20
        assert run["version"] == "now" and (run["servers"], run["chain"]) == (3, 2)
        assert set(run["direct"]) == set(run["through"]) == set(run["added"]) == set(PERCENTILES)
        assert 1.0 <= run["attempts_each"] < 2.0  # A node may send a hedged request for a late call.
        # Direct calls have no hedged requests.
        assert found["attempts"][0] == found["sent"][0] + found["sent"][1]
        assert run["core_us_per_request"] > 0.0 and run["requests_per_s"] > 0.0
    assert [run["loop"] for run in record["runs"]] == ["open", "closed"]
    assert json.loads(json.dumps(record)) == record
    text = page(record, [found["slices"] for found in kept])
    assert text.startswith("<!doctype html>") and text.count("<svg") == 2


def children(pid: int) -> list[int]:
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def test_sigterm_stops_all_processes() -> None:
    run = subprocess.Popen(
        [sys.executable, "-m", "crowpost.cli.main", "lab", "overhead", "--servers", "1", "--rates", "20"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert run.stderr is not None
    assert run.stderr.readline() == "1 servers, chain of 1, 20 a second\n"
    started = children(run.pid)
    assert len(started) >= 2  # The stub servers and a node, maybe already the client.
    run.send_signal(signal.SIGTERM)
    stderr = run.stderr.read()
    assert run.wait(30) == 2 and stderr == "crowpost: ended by SIGTERM\n"
    assert not [pid for pid in started if Path(f"/proc/{pid}").exists()]


# ---------------------------------------------------------------- versions, profile, command


@pytest.mark.parametrize("package", ["crowpost", "fawngw"])
def test_a_revision_is_unpacked_as_it_was_committed(tmp_path: Path, package: str) -> None:
    root = tmp_path / "checkout"
    (root / package).mkdir(parents=True)

    def git(*arguments: str) -> None:
        identity = ("-c", "user.name=a", "-c", "user.email=a@example.org")
        subprocess.run(["git", *identity, *arguments], cwd=root, check=True, capture_output=True)

    git("init", "-q")
    for text in ("first", "second"):
        (root / package / "__init__.py").write_text(f'"""{text}"""\n')
        git("add", "-A")
        git("commit", "-q", "-m", text)
    package_folder = root / package
    version = unpack("HEAD~1", tmp_path / "unpacked", package_folder)
    assert version.folder is not None and len(version.commit) == 12 and version.package == package
    assert (version.folder / package / "__init__.py").read_text() == '"""first"""\n'
    assert "+changes" not in present(package_folder).commit
    (package_folder / "__init__.py").write_text("")
    assert present(package_folder).commit.endswith("+changes")
    with pytest.raises(OverheadError, match="^git: [^\n]+$"):
        unpack("no-such-revision", tmp_path, package_folder)
    assert present(tmp_path).commit == "unknown"


def test_profile_time_is_grouped_by_cause(tmp_path: Path) -> None:
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
    assert other["calls_per_request"] >= 4.0  # At least 4000 calls of dumps in two files.


@pytest.mark.parametrize(
    ("arguments", "expected"),
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
def test_invalid_options_end_with_one_line(arguments: list[str], expected: str) -> None:
    done = CliRunner().invoke(app, ["lab", "overhead", *arguments])
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.startswith(f"crowpost: {expected}") and done.stderr.count("\n") == 1
