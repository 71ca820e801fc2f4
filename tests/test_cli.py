"""The command line: output, one-line errors and exit codes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

SMALL = """schema = 1
extends = "demo"
name = "small"
duration_s = 3.0
nodes = 1

[[faults]]
kind = "errors"
tier = "front"
part = 0.25
at_s = 0.5
for_s = 2.0
"""


def crowpost(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "crowpost.cli.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)


@pytest.fixture
def small_scenario(tmp_path: Path) -> str:
    file = tmp_path / "small.toml"
    file.write_text(SMALL)
    return str(file)


def test_run_compare_and_report_in_one_folder(small_scenario: str, tmp_path: Path) -> None:
    folder = str(tmp_path / "kept")
    done = crowpost("lab", "run", small_scenario, "--out", folder, "--json")
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)["requests"] > 50
    done = crowpost(
        "lab", "compare", small_scenario, "--policy", "module,random", "--seeds", "1-2", "--out", folder
    )
    assert done.returncode == 0 and "random" in done.stdout and "[" in done.stdout, done.stderr
    done = crowpost("lab", "report", folder)
    assert done.returncode == 0, done.stderr
    assert (tmp_path / "kept" / "report.html").read_text().startswith("<!doctype html>")


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (
            ("lab", "run", "nowhere.toml"),
            "crowpost: nowhere.toml: no such file, and no shipped scenario: burst",
        ),
        (("lab", "run", "calm", "--policy", "best"), "crowpost: best: no such policy; known are module"),
        (("lab", "report", "/nonexistent"), "crowpost: /nonexistent: not a run folder"),
        (("lab", "compare", "calm", "--seeds", "x"), "not seeds: 'x'"),
    ],
)
def test_unusable_arguments_give_an_error_and_exit_code_2(arguments: tuple[str, ...], expected: str) -> None:
    done = crowpost(*arguments)
    assert done.returncode == 2 and expected in done.stderr and "Traceback" not in done.stderr


def test_scenario_on_sockets_is_served_without_breaches(small_scenario: str) -> None:
    """Real nodes and stub servers of two tiers, one of which fails half of its calls."""
    done = crowpost("lab", "live", small_scenario, "--json")
    assert done.returncode == 0, done.stderr
    result = json.loads(done.stdout)
    assert result["breaches"] == 0 and sum(result["ends"].values()) == result["requests"] > 50
    assert result["ends"]["served"] > 0.5 * result["requests"]
    assert {"p50", "p99", "most"} == set(result["generator_late_ms"])
