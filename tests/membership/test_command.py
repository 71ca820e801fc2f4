"""`crowpost members`: its errors, and the comparison of views."""

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
    done = crowpost("members", "--at", f"{HOST}:1")
    assert done.returncode == 2 and done.stderr.startswith(f"crowpost: {HOST}:1: ")
    done = crowpost("members", "--at", "nowhere")
    assert (done.returncode, done.stderr) == (2, "crowpost: not an IPv4 address and a port: 'nowhere'\n")


def test_a_comparison_names_the_observers_that_disagree() -> None:
    def view(**states: str) -> dict[str, Any]:
        more = {"since_ms": 5.0, "said_by": "x", "why": "w"}
        return {"members": [{"name": n, "state": s, **more} for n, s in states.items()]}

    views = {
        "a": view(a="present", b="present", gone="dead"),
        "b": view(a="present", b="present"),
        "c": view(a="dead", b="present"),
    }
    found = find_disagreements(views)
    assert [(one.about, one.most, one.holders) for one in found] == [("a", "present", 2)]
    assert [(o.observer, o.state, o.since_ms) for o in found[0].others] == [("c", "dead", 5.0)]
    printed = json.loads(json.dumps([asdict(one) for one in found]))
    other = {"observer": "c", "state": "dead", "since_ms": 5.0, "said_by": "x", "why": "w"}
    assert printed == [{"about": "a", "most": "present", "holders": 2, "others": [other]}]


@pytest.mark.parametrize("package", ["crowpost.membership", "crowpost.members"])
def test_a_member_is_started_by_the_packages_name_and_by_its_earlier_one(package: str) -> None:
    done = subprocess.run([sys.executable, "-m", package], capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert done.stderr == "usage: python -m crowpost.members FILE\n"
