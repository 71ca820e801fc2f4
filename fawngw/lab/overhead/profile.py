"""Where a node's processor time goes by cause: the same run under Python's own profiler.

The profiler itself costs as much again, so that these are shares, not times.  What it does not see is the event
loop and the kernel below it: the rest of the processor time that the nodes took.
"""

from __future__ import annotations

import pstats
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

CAUSES = {
    "fawngw/decide": "decision",
    "fawngw/records.py": "decision",
    "fawngw/parts.py": "decision",
    "fawngw/interface.py": "decision",
    "fawngw/node/http.py": "parsing and rendering",
    "fawngw/node/callers.py": "callers' side",
    "fawngw/node/exchange.py": "callers' side",
    "fawngw/node/servers.py": "servers' side",
    "fawngw/node/upstream.py": "servers' side",
    "fawngw/node/node.py": "the node's own events",
    "fawngw/node/metrics.py": "metrics",
}
BELOW = "event loop and kernel"
WAITS = ("uvloop/__init__.py", "asyncio/runners.py")  # their own time is what the loop waits and does itself
STARTS = (
    "importlib",
    "marshal",
    "posix.stat",
    "io.open",
    "io.BufferedReader",
    "compile",
    "exec",
    "_build_class",
)


def command(file: Path) -> list[str]:
    """What runs a node so that it leaves a profile at its end."""
    return [sys.executable, "-m", "cProfile", "-o", str(file), "-m", "fawngw"]


def cause(file: str, name: str) -> str | None:
    """The cause that a function's own time is put down to; None for waiting and for the start."""
    if any(part in file for part in WAITS) or any(part in file or part in name for part in STARTS):
        return None
    for part, found in CAUSES.items():
        if f"/{part}" in file:
            return found
    if "httptools" in name:
        return "parsing and rendering"
    return "built-in functions" if file == "~" else "other"


def by_cause(files: list[Path], requests: int, core_s: float) -> list[dict[str, Any]]:
    """Own time by cause over the profiles of one version's nodes, which took so much processor time serving.

    Shares of that, with the profiler's own cost in it, and function calls for each request.
    """
    times: defaultdict[str, float] = defaultdict(float)
    calls: defaultdict[str, int] = defaultdict(int)
    for file in files:
        stats: Any = pstats.Stats(str(file))
        for (path, _, name), (_, count, own, _, _) in stats.stats.items():
            found = cause(path.replace("\\", "/"), name)
            if found is not None:
                times[found] += own
                calls[found] += count
    times[BELOW] = max(0.0, core_s - sum(times.values()))
    total = sum(times.values()) or 1.0
    return [
        {
            "cause": found,
            "share": round(times[found] / total, 4),
            "calls_per_request": round(calls[found] / max(requests, 1), 1),
        }
        for found in sorted(times, key=lambda name: -times[name])
    ]
