"""Crash consistency: simulated power losses, seeded faults and killed processes."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from crowpost.lab.crash_consistency.checker import check_fault, check_seed
from crowpost.lab.crash_consistency.seeded_faults import FAULTS


def test_recovery_holds_after_every_state_that_a_power_loss_may_leave() -> None:
    results = check_seed(2, flip_step=101, records=24)
    assert not results.violations, results.descriptions
    assert results.state_count > 3_000
    kinds = {"torn", "a sector missing", "later without earlier", "names without data", "a bit flipped"}
    assert kinds <= set(results.states) and any(kind.startswith("in recovery") for kind in results.states)


@pytest.mark.parametrize("name", FAULTS)
def test_every_seeded_fault_is_found(name: str) -> None:
    seeds, results = check_fault(name, seeds=3, records=16)
    assert results.violations, f"{name}: not found on {seeds} seeds"


def test_acknowledged_records_survive_kills_of_a_writing_process(tmp_path: Path) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "crowpost.lab.crash_consistency.kills",
            str(tmp_path),
            "--kills",
            "24",
            "--jobs",
            "4",
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert '"kills": 24' in done.stdout
