"""Synthetic records of slopes, overhead and the feed, in the format that their runs write."""

from __future__ import annotations

import json
import shutil
from dataclasses import replace
from pathlib import Path
from typing import Any

from crowpost.lab.capacity.figures import Figure, Origin
from crowpost.lab.scale.target import Target

DOCS = Path(__file__).parent.parent / "docs"
SIZES = (50, 200, 400, 790, 1580)
HEAD = {"schema": 1, "revision": "0123456789abcdef", "at": "2026-01-02T03:04:05", "cores": 8, "seed": 1}
ORIGIN = Origin("assumed", "synthetic", "a test")
ONLY_MEMBERSHIP = ("members",)


def figure(mid: float, unit: str = "") -> Figure:
    return Figure(mid, mid, mid, unit, (ORIGIN,))


def duty(unit: str, xs: tuple[float, ...], lines: dict[str, tuple[float, float]]) -> dict[str, Any]:
    """Return a duty with costs near a line: by turns 0.1% of the intercept below and above it."""
    points, fits = [], {}
    for index, x in enumerate(xs):
        factor = 1.0 + (0.001 if index % 2 else -0.001)
        measure = {name: (intercept * factor + slope * x) for name, (intercept, slope) in lines.items()}
        points.append({"x": x, "source": "hollow", "seconds": 20.0, "measure": measure})
    for name, (intercept, slope) in lines.items():
        fits[name] = {
            "intercept": [intercept, intercept, intercept],
            "slope": [slope, slope, slope],
            "form": "linear",
            "source": "hollow",
        }
    return {"about": "", "unit": unit, "points": points, "fits": fits, "agreement": []}


def slopes() -> dict[str, Any]:
    """Return a record of slopes with synthetic costs."""
    idle = {"core_ms_per_s": (1.0, 0.0), "memory_bytes": (25e6, 0.0), "bytes_per_s": (1.0, 0.0)}
    membership = {"core_ms_per_s": (2.0, 0.001), "memory_bytes": (1e6, 1000.0), "bytes_per_s": (400.0, 0.5)}
    duties = {
        "idle": duty("member", SIZES, idle),
        "membership": duty("member", SIZES, membership | {"messages_per_s": (8.0, 0.001)}),
    }
    zone_loss = {"kind": "zone", "members": 790, "source": "hollow", "messages": 12345, "settled_s": 7.7}
    troubles = [{**zone_loss, "bytes_per_member": 6543.0, "lost": "nothing at all", "speed": 1.0}]
    return {**HEAD, "command": "crowpost lab scale", "duties": duties, "troubles": troubles}


def overhead() -> dict[str, Any]:
    run = {
        "version": "now",
        "servers": 10,
        "rate": 41,
        "chain": 1,
        "loop": "open",
        "callers": 4,
        "requests": 999,
    }
    added = {"p50_ms": 0.25, "p90_ms": 0.4, "p99_ms": 0.75, "p999_ms": 2.0}
    figures = {
        "direct": added,
        "through": added,
        "added": added,
        "machine_moves": {"p50_ms": 0.1, "p99_ms": 0.2},
    }
    return {**HEAD, "runs": [run | figures | {"core_us_per_request": 300.0, "requests_per_s": 41.0}]}


def feed(worst: float = 4.5, unreached: int = 0) -> dict[str, Any]:
    run = {"case": "calm", "nodes": 790, "source": "simulated", "node_bytes_per_s": 111.0}
    rates = {"node_core_percent": None, "relay_bytes_per_s": 2e4, "publisher_bytes_per_s": 3e3}
    in_force = {"p50": 0.3, "p99": 0.9, "worst": worst}
    runs = [run | rates | {"seed": seed, "in_force_s": in_force, "unreached": unreached} for seed in (1, 2)]
    return {**HEAD, "runs": runs}


def make_docs(tmp_path: Path) -> Path:
    """Return a folder with the committed assumptions and a record of each kind."""
    folder = tmp_path / "docs"
    (folder / "capacity").mkdir(parents=True)
    shutil.copy(DOCS / "capacity" / "assumed.toml", folder / "capacity" / "assumed.toml")
    for name, record in (("slopes", slopes()), ("overhead", overhead()), ("feed", feed())):
        write_record(folder, name, record)
    return folder


def write_record(folder: Path, name: str, record: dict[str, Any]) -> None:
    (folder / "capacity" / f"{name}.json").write_text(json.dumps(record))


def with_target(target: Target, **values: Any) -> Target:
    return replace(target, target=replace(target.target, **values))
