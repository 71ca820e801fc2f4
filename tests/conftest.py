"""Make the suite deterministic, and pass over the tests that KNOWN-RED.txt says to fail for a known fault.

Hypothesis uses fixed examples and stores no example database.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
# A line of KNOWN-RED.txt that begins so goes on with the id of one test, and a colon.
PASSED_OVER = "passed over: "


def passed_over_ids() -> frozenset[str]:
    """Return the ids of the tests that fail for a fault that is known and not mended."""
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(PASSED_OVER).split(": ")[0] for line in lines if line.startswith(PASSED_OVER)
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out exactly the listed tests, unless they are named on the command line, and remember them."""
    named = {argument.partition("[")[0] for argument in config.args}
    ids = {test_id for test_id in passed_over_ids() if test_id.partition("[")[0] not in named}
    left_out = [item for item in items if item.nodeid in ids]
    items[:] = [item for item in items if item.nodeid not in ids]
    config.hook.pytest_deselected(items=left_out)
    config.stash[LEFT_OUT] = [item.nodeid for item in left_out]


LEFT_OUT = pytest.StashKey[list[str]]()


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    """Print the tests that were passed over."""
    for test_id in config.stash.get(LEFT_OUT, []):
        terminalreporter.write_line(f"passed over, as KNOWN-RED.txt says: {test_id}")
