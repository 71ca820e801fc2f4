"""The deploy file names every file that holds a decision."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_the_deploy_file_lists_every_file_of_the_decisions_as_policy() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = {str(file.relative_to(ROOT)) for file in (ROOT / "crowpost" / "decisions").rglob("*.py")}
    assert set(deploy["policy"]) == files
