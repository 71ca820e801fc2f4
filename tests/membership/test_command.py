"""Tests of `crowpost members`: its errors, and the comparison of views."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import asdict
from typing import Any

import pytest

from crowpost.cli.members import find_disagreements
from tests.node.stubs import HOST
from tests.test_cli import crowpost


def test_an_unreachable_member_is_reported_in_one_line() -> None:
    result = crowpost("members", "--at", f"{HOST}:1")
    assert result.returncode == 2 and result.stderr.startswith(f"crowpost: {HOST}:1: ")
    result = crowpost("members", "--at", "nowhere")
    assert (result.returncode, result.stderr) == (
        2,
        "crowpost: not an IPv4 address and a port: 'nowhere'\n",
    )


def test_a_comparison_lists_the_observers_that_disagree_with_the_majority() -> None:
    def view(**states: str) -> dict[str, Any]:
        details = {"since_ms": 5.0, "said_by": "x", "why": "w"}
        return {"members": [{"name": name, "state": state, **details} for name, state in states.items()]}

    views = {
        "a": view(a="present", b="present", gone="dead"),
        "b": view(a="present", b="present"),
        "c": view(a="dead", b="present"),
    }
    disagreements = find_disagreements(views)
    assert [(one.about, one.most, one.holders) for one in disagreements] == [("a", "present", 2)]
    assert [(o.observer, o.state, o.since_ms) for o in disagreements[0].others] == [("c", "dead", 5.0)]
    printed = json.loads(json.dumps([asdict(one) for one in disagreements]))
    minority = {"observer": "c", "state": "dead", "since_ms": 5.0, "said_by": "x", "why": "w"}
    assert printed == [{"about": "a", "most": "present", "holders": 2, "others": [minority]}]


@pytest.mark.parametrize("package", ["crowpost.membership", "crowpost.members"])
def test_a_member_can_be_started_by_the_current_and_the_former_package_name(package: str) -> None:
    result = subprocess.run([sys.executable, "-m", package], capture_output=True, text=True, check=False)
    assert result.returncode == 2
    assert result.stderr == "usage: python -m crowpost.members FILE\n"
