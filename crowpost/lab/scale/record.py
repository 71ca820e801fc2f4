"""The record of a scale run: points, fits, agreement and troubles as JSON values, made whole from pieces."""

from __future__ import annotations

import datetime
import json
import math
import os
import subprocess
from pathlib import Path
from typing import Any

from crowpost.lab.scale.fit import line, mean
from crowpost.lab.scale.slopes import ABOUT, UNITS, Piece
from crowpost.lab.scale.target import ScaleError

SCHEMA = 1
FIT_POINTS = 3
CORE = "core_ms_per_s"
BUSIER = {"membership": "joined"}  # duties whose real processes do the same and more


def revision() -> str:
    """The git revision that this file belongs to; empty outside of a checkout."""
    try:
        found = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=10.0,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return found.stdout.strip()


def build_record(
    piece: Piece, seed: int, command: str, before: dict[str, Any] | None = None
) -> dict[str, Any]:
    """The record of a piece, laid over an earlier one: a duty's points at an x and a source replace those.

    Troubles are replaced by those of the same kind and source.
    """
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    run = {"revision": revision(), "at": now, "command": command, "seed": seed}
    before = before or {"duties": {}, "troubles": [], "left_out": [], "calls": [], "runs": []}
    duties: dict[str, list[dict[str, Any]]] = {n: d["points"] for n, d in before["duties"].items()}
    for duty, rows in piece.points.items():
        fresh = {(r["x"], r["source"]) for r in rows}
        duties[duty] = [r for r in duties.get(duty, []) if (r["x"], r["source"]) not in fresh] + rows
    again = {(t["kind"], t["source"]) for t in piece.troubles}
    tried = {(d, r["x"], r["source"]) for d, rows in piece.points.items() for r in rows}
    tried |= {(r["duty"], r["x"], r["source"]) for r in piece.left_out}
    called = {(r["duty"], r["x"]) for r in piece.calls}
    left = [r for r in before["left_out"] if (r["duty"], r["x"], r["source"]) not in tried]
    return {
        "schema": SCHEMA,
        **run,
        "cores": os.cpu_count(),
        "duties": {name: _duty(name, rows, duties) for name, rows in sorted(duties.items())},
        "troubles": [t for t in before["troubles"] if (t["kind"], t["source"]) not in again] + piece.troubles,
        "left_out": left + piece.left_out,
        "calls": [r for r in before["calls"] if (r["duty"], r["x"]) not in called] + piece.calls,
        "runs": [*before["runs"], run],
    }


def _duty(name: str, points: list[dict[str, Any]], duties: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    points = sorted(points, key=lambda p: (p["source"], p["x"], p["process"]))
    agreement = _agreement(points)
    found: dict[str, Any] = {"about": ABOUT.get(name, name), "unit": UNITS.get(name, "member")}
    found["points"] = points
    found["fits"] = {}
    found["fits_by_source"] = {}
    for measure in sorted({key for p in points for key in p["measure"]}):
        by_source = {}
        for source in ("hollow", "real", "simulated"):
            rows = [p for p in points if p["source"] == source and measure in p["measure"]]
            if len(rows) >= FIT_POINTS and len({p["x"] for p in rows}) > 1:
                fitted = line([p["x"] for p in rows], [p["measure"][measure] for p in rows])
                by_source[source] = {**fitted, "source": source}
        if not by_source:
            continue
        found["fits_by_source"][measure] = by_source
        found["fits"][measure] = _chosen(by_source, points, agreement, measure)
        busier = duties.get(BUSIER.get(name, ""), [])
        if (
            measure == CORE
            and busier
            and any(not row["agree"] for row in agreement if row["measure"] == CORE)
        ):
            found["fits"][measure] = _with_busier(points, busier)
    found["agreement"] = agreement
    return found


def _with_busier(points: list[dict[str, Any]], busier: list[dict[str, Any]]) -> dict[str, Any]:
    """Processor time by real processes alone, some of which were busier: an upper bound of the slope.

    Hollow nodes share wakings and caches, the more the more of them there are, and real ones do not: where
    they differ, the slope of the hollow ones is that of the sharing.
    """
    rows = [p for p in points if p["source"] == "real"] + busier
    fitted = line([p["x"] for p in rows], [p["measure"][CORE] for p in rows])
    least = min(p["x"] for p in busier)
    return {**fitted, "source": f"real, from {least:g} on just joined"}


def _chosen(
    by_source: dict[str, dict[str, Any]],
    points: list[dict[str, Any]],
    agreement: list[dict[str, Any]],
    measure: str,
) -> dict[str, Any]:
    """The fit that holds: of hollow ones where they agree with real ones, else of real ones.

    Real ones that were measured over less than half of the hollow ones' range give the level and not the
    slope: the hollow line is moved by the mean difference where both were measured.
    """
    both = [row for row in agreement if row["measure"] == measure]
    off = [row for row in both if not row["agree"]]
    hollow, real = by_source.get("hollow"), by_source.get("real")
    if real is not None and not both:
        return real  # hollow ones that were never held against real ones prove nothing
    if hollow is None or (
        off
        and real is not None
        and _range(points, "real", measure) >= 0.5 * _range(points, "hollow", measure)
    ):
        return real or hollow or by_source["simulated"]
    if not off:
        return hollow
    moved = [row["real"][0] - row["hollow"][0] for row in both]
    wide = [math.hypot(row["real"][2] - row["real"][0], row["hollow"][2] - row["hollow"][0]) for row in both]
    by, slack = sum(moved) / len(moved), max(wide)
    middle, low, high = hollow["intercept"]
    own = math.hypot(slack, high - middle)
    at = ", ".join(f"{row['x']:g}" for row in both)
    return {
        **hollow,
        "intercept": [middle + by, middle + by - own, middle + by + own],
        "source": f"hollow, moved to real at {at}",
        "moved_by": by,
    }


def _range(points: list[dict[str, Any]], source: str, measure: str) -> float:
    xs = [p["x"] for p in points if p["source"] == source and measure in p["measure"]]
    return max(xs) - min(xs) if xs else 0.0


def _agreement(points: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Hollow and real at each x where both were measured: they agree where their intervals overlap."""
    found = []
    for x in sorted({p["x"] for p in points}):
        for measure in sorted({key for p in points for key in p["measure"]}):
            sides = []
            for source in ("hollow", "real"):
                rows = [p for p in points if (p["x"], p["source"]) == (x, source) and measure in p["measure"]]
                sides.append([p["measure"][measure] for p in rows])
            if min(map(len, sides)) < 2:
                continue
            hollow, real = (mean(side) for side in sides)
            agree = hollow[1] <= real[2] and real[1] <= hollow[2]
            row = {"x": x, "measure": measure, "hollow": hollow, "real": real, "agree": agree}
            found.append({**row, "processes": [len(side) for side in sides]})
    return found


def read(path: Path) -> dict[str, Any]:
    """A record from a file; ScaleError with one line for what is none."""
    try:
        record = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ScaleError(f"{path}: {error}") from None
    if not isinstance(record, dict) or record.get("schema") != SCHEMA or "duties" not in record:
        raise ScaleError(f"{path}: no record of a scale run, schema {SCHEMA}")
    return record


def write(path: Path, record: dict[str, Any]) -> None:
    """As JSON, a point a line: a later record's changes can be read."""
    text = json.dumps(record, indent=1, sort_keys=True)
    path.write_text(text + "\n", encoding="utf-8")
