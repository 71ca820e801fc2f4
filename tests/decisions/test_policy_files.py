"""deploy/balancer.toml lists every file of crowpost/decisions as policy."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]


def test_deploy_file_lists_all_files_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    files = {str(file.relative_to(ROOT)) for file in (ROOT / "crowpost" / "decisions").rglob("*.py")}
    assert set(deploy["policy"]) == files
