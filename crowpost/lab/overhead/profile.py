"""Processor time of a node by cause, from the same run under Python's profiler.

The profiler doubles the cost, so the result has relative shares, not times.  It does not see into the event
loop: reading, accepting and timers are one row, and a write is part of the function that called it.
"""

from __future__ import annotations

import pstats
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

from crowpost.lab.checkout import PACKAGES

# Causes by the path of a function's file within the package.
CAUSES = {
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
    # This path and the next four are of older revisions.
    "node/http.py": "parsing and rendering",
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
EVENT_LOOP = "event loop and kernel"
# The profiler does not see what these files call, so it counts as their own time.
EVENT_LOOP_FILES = ("uvloop/__init__.py", "asyncio/runners.py")
STARTUP = ("importlib", "marshal", "posix.stat", "io.open", "io.Buffered", "compile", "exec", "build_class")
PROFILED_RUN = """import cProfile, runpy, sys, time
profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(runpy.run_module, sys.argv[2], run_name="__main__", alter_sys=True)
finally:
    profile.dump_stats(sys.argv[1])
"""


def command(file: Path, package: str) -> list[str]:
    """Return the command that runs a node of this package and then writes a profile of processor time."""
    return [sys.executable, "-c", PROFILED_RUN, str(file), package]


def cause(file: str, name: str) -> str | None:
    """Return the cause to which a function's own time is attributed; None for the start-up."""
    if any(part in file for part in EVENT_LOOP_FILES):
        return EVENT_LOOP
    if any(part in file or part in name for part in STARTUP):
        return None
    for part, found in CAUSES.items():
        if any(f"/{package}/{part}" in file for package in PACKAGES):
            return found
    if "httptools" in name:
        return "parsing and rendering"
    return "built-in functions" if file == "~" else "other"


def by_cause(files: list[Path], requests: int) -> list[dict[str, Any]]:
    """Return own time by cause over the profiles of a version's nodes: shares, and calls per request."""
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
