"""The lab in simulated time: its queue against theory, and its rules against policies that break them."""

from __future__ import annotations

import json
import subprocess
import sys
import tarfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest

import crowpost.decision_api as api
from crowpost.decision_api import (
    Action,
    AttemptEnded,
    EndpointList,
    Event,
    Fail,
    Outcome,
    Readiness,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
)
from crowpost.lab import compare, policies, runs, scenario
from crowpost.lab.baselines import LeastOutstanding
from crowpost.lab.cores import Contention, Cores
from crowpost.lab.engine import Engine
from crowpost.lab.faults import Faults
from crowpost.lab.nodes import Policy
from crowpost.lab.platform import Platform
from crowpost.lab.policies import factory
from crowpost.lab.report import page
from crowpost.lab.revisions import PolicyError, revision
from crowpost.lab.scenario import Crowding, Fault, Scenario, ScenarioError
from tests.golden.build import HERE


def short(name: str, seconds: float = 6.0, **changes: Any) -> Scenario:
    """Return a shipped scenario with a shorter duration and other changes."""
    return msgspec.structs.replace(scenario.load(name), duration_s=seconds, **changes)


def do_nothing() -> None:
    """Do nothing on a change of the queue."""


# ---------------------------------------------------------------- engine and cores


def test_calls_run_by_time_then_scheduling_order_unless_cancelled() -> None:
    engine, made = Engine(), list[str]()
    engine.at(5.0, made.append, "late")
    engine.at(2.0, made.append, "first")
    cancelled = engine.at(2.0, made.append, "cancelled")
    engine.at(2.0, made.append, "second")
    Engine.cancel(cancelled)
    engine.run(4.0)
    assert made == ["first", "second"] and engine.now == 4.0
    engine.run(9.0)
    assert made == ["first", "second", "late"] and engine.handled == 3


@pytest.mark.parametrize("cores", [1, 3])
def test_mean_time_in_system_matches_erlang_c(cores: int) -> None:
    """M/M/k at 70%: the mean time in the system by Erlang's C formula, to within 6%."""
    engine, rng = Engine(), Random(4)
    station = Cores(engine, cores, lambda: 1.0, do_nothing)
    times_in_system: list[float] = []

    def arrive() -> None:
        now = engine.now
        station.compute(rng.expovariate(1 / 10.0), lambda: times_in_system.append(engine.now - now))
        engine.after(rng.expovariate(0.7 * cores / 10.0), arrive)

    arrive()
    engine.run(600_000.0)
    load = 0.7 * cores
    term_sum, term = 0.0, 1.0
    for i in range(cores):
        term_sum += term
        term *= load / (i + 1)
    wait_probability = term / (1 - 0.7) / (term_sum + term / (1 - 0.7))
    expected = 10.0 + wait_probability * 10.0 / (cores * (1 - 0.7))
    assert abs(sum(times_in_system) / len(times_in_system) / expected - 1.0) < 0.06


def test_rate_change_reschedules_running_work() -> None:
    engine, ends, rate = Engine(), list[float](), [1.0]
    station = Cores(engine, 1, lambda: rate[0], do_nothing)
    station.compute(100.0, lambda: ends.append(engine.now))
    for when, to in ((40.0, 0.0), (70.0, 0.5)):  # 60 ms remain; no progress for 30 ms, then half the speed
        engine.at(when, rate.__setitem__, 0, to)
        engine.at(when, station.retime)
    engine.run(1000.0)
    assert ends == [190.0]


def test_contention_slows_server_until_rested() -> None:
    engine, changes = Engine(), list[float]()
    crowding = Crowding(waiting_per_core=2.0, after_ms=100.0, slower=3.0, rest_ms=50.0, at_most_ms=1000.0)
    contention = Contention(engine, crowding, 1, lambda: changes.append(contention.slower))
    contention.watch(3, 1)
    engine.run(60.0)
    contention.watch(1, 1)  # shorter than after_ms, so there is no slowdown
    engine.run(200.0)
    assert contention.slower == 1.0 and not changes
    contention.watch(3, 1)
    engine.run(301.0)
    assert contention.slower == 3.0
    contention.watch(0, 1)
    engine.run(400.0)
    assert contention.slower == 1.0 and changes == [3.0, 1.0]


# ---------------------------------------------------------------- scenarios


def test_every_shipped_scenario_loads_with_a_description() -> None:
    names = scenario.shipped()
    assert len(names) >= 12
    for name in names:
        loaded = scenario.load(name)
        assert loaded.name == name and loaded.about
    assert len({scenario.load(name).digest() for name in names}) == len(names)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("nodes = 0\n", "nodes: Expected `int` >= 1"),
        ('nodes = "two"\n', "nodes: Expected `int`, got `str`"),
        ("nodez = 2\n", "mine.toml: Object contains unknown field `nodez`"),
        ("[traffic]\nrequests_per_min = 5.0\n", "traffic: Object contains unknown field `requests_per_min`"),
        ("schema = 9\n", "schema: 9 is not known, this version reads 1"),
        ('[[faults]]\nkind = "flood"\nat_s = 1.0\n', "faults[0].kind: Invalid enum value 'flood'"),
        ('[[faults]]\nkind = "slow"\nat_s = 99.0\n', "faults[0].at_s: 99.0 is past the end, 40.0"),
        ('[[faults]]\nkind = "slow"\ntier = "frnt"\nat_s = 1.0\n', "faults[0].tier: 'frnt' is none of"),
        ("nodes = [\n", "Invalid value"),
    ],
)
def test_invalid_scenario_error_is_one_line_with_file_and_key(
    tmp_path: Path, text: str, expected: str
) -> None:
    file = tmp_path / "mine.toml"
    head = "" if text.startswith("schema") else "schema = 1\n"
    file.write_text(f'extends = "calm"\nname = "mine"\n{head}{text}')
    with pytest.raises(ScenarioError) as error:
        scenario.load(str(file))
    line = str(error.value)
    assert line.startswith(f"{file}: ") and expected in line and "\n" not in line


def test_cyclic_extends_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "a.toml").write_text('extends = "b.toml"\n')
    (tmp_path / "b.toml").write_text('extends = "a.toml"\n')
    with pytest.raises(ScenarioError, match="extends this file in turn"):
        scenario.load(str(tmp_path / "a.toml"))


# ---------------------------------------------------------------- runs


def test_results_depend_on_the_seed_and_not_on_the_process_count() -> None:
    short_scenario = short("fast-errors", 3.0)
    one = list(compare.play_all(short_scenario, ["module", "random"], [1, 2], jobs=1))
    two = list(compare.play_all(short_scenario, ["module", "random"], [1, 2], jobs=2))
    assert json.dumps(one, sort_keys=True) == json.dumps(two, sort_keys=True)
    assert one[0]["goal"] != one[2]["goal"]  # another seed gives another result


def all_faults() -> tuple[Fault, ...]:
    kinds = [kind for kind in scenario.fault_kinds() if kind != "zone_loss"]
    part = 0.2
    return tuple(
        Fault(kind, 0.3 * i, for_s=2.0, part=part, size=0.5, down_ms=300.0, steps=2)  # type: ignore[arg-type]
        for i, kind in enumerate(kinds)
    )


@pytest.mark.parametrize("policy", ["module", "least-outstanding", "p2c-peak-ewma", "true-state"])
def test_policies_keep_the_rules_under_every_fault(policy: str) -> None:
    """Also, every request ends: as many ends as requests."""
    result = runs.play(short("calm", 8.0, faults=all_faults()), 3, policy)
    assert result["breaches"] == 0, result["stories"]
    assert result["requests"] == sum(result["ends"].values()) == len(_planned_requests(8.0)) > 500


def _planned_requests(seconds: float) -> list[Any]:
    platform = Platform(short("calm", seconds, faults=all_faults()), 3, factory("random"))
    return platform.clients.planned_requests


class RetriesUnsafely(LeastOutstanding):
    """Retries every failed attempt, even if it may have run."""

    def _permitted(self, request: Any, state: Any) -> bool:
        return True


class IgnoresDrain(LeastOutstanding):
    """Continues to send to draining servers."""

    def _list(self, event: EndpointList) -> None:
        super()._list(event)
        self.ready = [
            state for state in self.endpoints.values() if state.entry.readiness is not Readiness.GONE
        ]


class NeverAnswersFailures(LeastOutstanding):
    """Never answers a request whose attempt has failed."""

    def _ended(self, event: AttemptEnded) -> list[Action]:
        return [] if event.outcome is not Outcome.OK else super()._ended(event)


class SendsAfterFail(LeastOutstanding):
    """Fails a request, and sends an attempt for it afterwards."""

    def handle(self, event: Event, now: float) -> list[Action]:
        actions = super().handle(event, now)
        if isinstance(event, RequestArrived) and event.request == 40:
            return [Fail(event.request), *actions]
        return actions


class PrefersWarmingServers(LeastOutstanding):
    """Sends all that it can to servers that have just started."""

    def choose(self, allowed: list[Any], request: Any) -> Any:
        return max(allowed, key=lambda state: state.entry.started_ms)

    def _warm_enough(self, state: Any) -> bool:
        return True


@pytest.mark.parametrize(
    ("policy_class", "fault", "rule"),
    [
        (RetriesUnsafely, Fault("errors", 0.5, part=0.5, size=0.6, for_s=4.0), "rule 2"),
        (IgnoresDrain, Fault("release", 0.5, part=0.4, for_s=1.0, steps=1), "rule 3"),
        (NeverAnswersFailures, Fault("errors", 0.5, part=0.5, size=0.6, for_s=4.0), "rule 1"),
        (SendsAfterFail, None, "rule 0"),
        (PrefersWarmingServers, Fault("crash", 0.5, tier="front", part=0.1, down_ms=200.0), "rule 4"),
    ],
)
def test_rule_breaches_are_detected(
    policy_class: Callable[[Settings, int], Policy], fault: Fault | None, rule: str
) -> None:
    traffic = msgspec.structs.replace(scenario.load("calm").traffic, requests_per_s=300.0)
    short_scenario = short("calm", 9.0, faults=(fault,) if fault else (), traffic=traffic)
    platform = Platform(
        short_scenario, 1, lambda settings, seed, _platform, _stage: policy_class(settings, seed)
    )
    Faults(platform)
    platform.run()
    assert any(rule in breach.lines()[0] for breach in platform.rules.breaches)


def test_module_beats_random_choice_with_a_slow_server() -> None:
    results = list(compare.play_all(short("slow-server", 20.0), ["module", "random"], [1, 2], jobs=1))
    module, random_choice = compare.rows(results, ["module", "random"])
    assert module.against is None and random_choice.against is not None
    assert random_choice.against.mean < 0.0 and random_choice.p99 > module.p99


def test_intervals_are_student_t_and_include_zero_without_evidence() -> None:
    found = compare.interval([1.0, 2.0, 3.0, 4.0])
    assert found.mean == 2.5 and abs(found.high - (2.5 + 3.1824 * 0.6455)) < 1e-3 and found.apart()
    assert not compare.interval([-1.0, 1.0]).apart() and not compare.interval([5.0]).apart()


def test_seed_ranges_are_parsed() -> None:
    assert compare.seeds("1,4,9-12") == [1, 4, 9, 10, 11, 12]
    for wrong in ("", "a", "3-", "5-1", "-2"):
        with pytest.raises(ValueError, match="not seeds"):
            compare.seeds(wrong)


# ---------------------------------------------------------------- run folders and revisions


def test_run_folder_stores_runs_and_names_damaged_lines(tmp_path: Path) -> None:
    short_scenario = short("calm", 2.0)
    folder = runs.Folder(tmp_path / "kept")
    folder.begin(short_scenario)
    folder.add(runs.play(short_scenario, 1, "random"))
    folder.begin(short_scenario)  # the same scenario may be continued
    kept = folder.read()
    assert [run["policy"] for run in kept] == ["random"]
    text = page(folder.scenario(), kept)
    assert text.count("<svg") == 5 and "src=" not in text and 'href="http' not in text
    with pytest.raises(runs.RunFolderError, match="another scenario, calm"):
        folder.begin(short("burst", 2.0))
    with (tmp_path / "kept" / runs.RUNS).open("a") as file:
        file.write('{"schema": 1, "digest"')
    with pytest.raises(runs.RunFolderError, match="line 2 is not JSON"):
        folder.read()
    with pytest.raises(runs.RunFolderError, match="not a run folder"):
        runs.Folder(tmp_path).read()


def _commit(folder: Path) -> None:
    git = ["git", "-c", "user.name=t", "-c", "user.email=t@localhost"]
    for command in (["init", "-q"], ["add", "."], ["commit", "-qm", "old"]):
        subprocess.run([*git, *command], cwd=folder, check=True)


@pytest.mark.parametrize("package", ["crowpost", "fawngw"])
def test_policy_may_be_a_git_revision_and_must_be_known(tmp_path: Path, package: str) -> None:
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "balancer.toml").write_text(f'policy = ["{package}/old.py"]\n')
    (tmp_path / package).mkdir()
    (tmp_path / package / "decision_api").mkdir()
    for file in Path(api.__file__).parent.glob("*.py"):
        source = file.read_text().replace("crowpost", package)
        (tmp_path / package / "decision_api" / file.name).write_text(source)
    source = f"""from {package}.decision_api import Fail, RequestArrived

class Balancer:
    def __init__(self, settings, seed):
        self.classes = [kind.name for kind in settings.classes]

    def handle(self, event, now):
        assert type(event) is RequestArrived
        return [Fail(event.request + len(self.classes))]
"""
    (tmp_path / package / "old.py").write_text(source)
    _commit(tmp_path)
    old = revision("HEAD", tmp_path)(Settings((RequestClass("r", 1.0, 2.0),)), 1)
    assert old.handle(RequestArrived(7, 0, 5.0), 1.0) == [Fail(8)]
    with pytest.raises(PolicyError, match="rev: "):
        revision("no-such-name", tmp_path)
    with pytest.raises(PolicyError, match="nonsense: no such policy; known are module, random"):
        factory("nonsense")


@pytest.mark.parametrize("suffix", ["", "+members", "+state"])
def test_revision_before_package_rename_gives_equal_results(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, suffix: str
) -> None:
    with tarfile.open(HERE / "revision-878089b.tar.gz") as archive:
        archive.extractall(tmp_path, filter="data")
    _commit(tmp_path)
    old = revision("HEAD", tmp_path)
    assert type(old(Settings((RequestClass("r", 1.0, 2.0),)), 1)).__name__ == "RevisionPolicy"
    monkeypatch.setattr(policies, "revision", lambda name: old)
    results = [runs.play(short("restart-60", 8.0), 3, name + suffix) for name in ("rev:878089b", "module")]
    for result in results:
        result.pop("policy")
    assert results[0] == results[1] and results[0]["attempts"] > 500


def test_node_imports_no_lab_libraries() -> None:
    tools = (
        "aiohttp",
        "hdrh",
        "jinja2",
        "matplotlib",
        "msgspec",
        "numpy",
        "rich",
        "scipy",
        "typer",
        "crowpost.lab",
    )
    modules = "sys, crowpost.__main__, crowpost.drill, crowpost.simulator.host"
    code = f"import {modules}; print([m for m in {tools} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_sends_are_counted_by_server() -> None:
    result = runs.play(short("calm", 4.0), 1, "round-robin")
    sent = sum(sum(tier) for second in result["series"]["sends"] for tier in second)
    assert 0.9 * result["attempts"] <= sent <= result["attempts"]
    assert isinstance(Send(1, b"a"), Send) and result["latency_ms"]["p50"] > 0
