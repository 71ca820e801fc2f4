"""Where a node's processor time goes by cause: the same run under Python's own profiler.

The profiler itself costs as much again, so that these are shares, not times.  It does not see into the event
loop: reading, accepting and timers show as one row, and a write as part of what called it.
"""

from __future__ import annotations

import pstats
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

from crowpost.lab.checkout import PACKAGES

CAUSES = {  # by where a function stands in the package
    "decision_api/": "decision",
    "decisions/": "decision",
    # Revisions before the decisions were split into packages.
    "decide/": "decision",
    "records.py": "decision",
    "parts.py": "decision",
    "interface.py": "decision",
    "node/http/": "parsing and rendering",
    "node/downstream/": "callers' side",
    "node/upstream/": "servers' side",
    "node/http.py": "parsing and rendering",  # this and the next four: of older revisions
    "node/callers.py": "callers' side",
    "node/exchange.py": "callers' side",
    "node/servers.py": "servers' side",
    "node/upstream.py": "servers' side",
    "node/node.py": "the node's own events",
    "node/dispatcher.py": "the node's own events",
    "node/event_queue.py": "the node's own events",
    "node/request_table.py": "the node's own events",
    "node/attempt.py": "the node's own events",
    "node/clock.py": "the node's own events",
    "node/metrics.py": "metrics",
}
BELOW = "event loop and kernel"
LOOP = ("uvloop/__init__.py", "asyncio/runners.py")  # what they call is not seen, so it counts as their own
STARTS = ("importlib", "marshal", "posix.stat", "io.open", "io.Buffered", "compile", "exec", "build_class")
RUN = """import cProfile, runpy, sys, time
profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(runpy.run_module, sys.argv[2], run_name="__main__", alter_sys=True)
finally:
    profile.dump_stats(sys.argv[1])
"""


def command(file: Path, package: str) -> list[str]:
    """Return what runs a node of this package so that it leaves a profile of processor time at its end."""
    return [sys.executable, "-c", RUN, str(file), package]


def cause(file: str, name: str) -> str | None:
    """The cause that a function's own time is put down to; None for the start."""
    if any(part in file for part in LOOP):
        return BELOW
    if any(part in file or part in name for part in STARTS):
        return None
    for part, found in CAUSES.items():
        if any(f"/{package}/{part}" in file for package in PACKAGES):
            return found
    if "httptools" in name:
        return "parsing and rendering"
    return "built-in functions" if file == "~" else "other"


def by_cause(files: list[Path], requests: int) -> list[dict[str, Any]]:
    """Own time by cause over the profiles of one version's nodes: shares, and function calls a request."""
    times: defaultdict[str, float] = defaultdict(float)
    calls: defaultdict[str, int] = defaultdict(int)
    for file in files:
        stats: Any = pstats.Stats(str(file))
        for (path, _, name), (_, count, own, _, _) in stats.stats.items():
            found = cause(path.replace("\\", "/"), name)
            if found is not None:
                times[found] += own
                calls[found] += count
    total = sum(times.values()) or 1.0
    return [
        {
            "cause": found,
            "share": round(times[found] / total, 4),
            "calls_per_request": round(calls[found] / max(requests, 1), 1),
        }
        for found in sorted(times, key=lambda name: -times[name])
    ]
