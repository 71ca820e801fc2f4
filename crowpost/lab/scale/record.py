"""The record of a scale run: points, fits, agreement and faults as JSON values, merged from part results."""

from __future__ import annotations

import datetime
import json
import math
import os
import subprocess
from pathlib import Path
from typing import Any

from crowpost.lab.scale.fit import line, mean
from crowpost.lab.scale.slopes import DUTY_DESCRIPTIONS, DUTY_UNITS, PartResult
from crowpost.lab.scale.target import ScaleError

SCHEMA = 1
MIN_FIT_POINTS = 3
CORE_MEASURE = "core_ms_per_s"
# By duty, the duty of busier real processes that do the same work and more.
BUSIER_DUTY = {"membership": "joined"}


def revision() -> str:
    """Return the git revision of this file, or an empty text outside a checkout."""
    try:
        completed = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=10.0,
            check=False,
        )
    except (OSError, subprocess.TimeoutExpired):
        return ""
    return completed.stdout.strip()


def build_record(
    result: PartResult, seed: int, command: str, earlier: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Return the record of a part result, merged into an earlier record.

    A duty's points replace earlier ones with the same x and source; faults replace those with the same kind
    and source.
    """
    finished_at = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    run = {"revision": revision(), "at": finished_at, "command": command, "seed": seed}
    earlier = earlier or {"duties": {}, "troubles": [], "left_out": [], "calls": [], "runs": []}
    duties: dict[str, list[dict[str, Any]]] = {
        name: duty_record["points"] for name, duty_record in earlier["duties"].items()
    }
    for duty, rows in result.points.items():
        measured = {(row["x"], row["source"]) for row in rows}
        duties[duty] = [
            row for row in duties.get(duty, []) if (row["x"], row["source"]) not in measured
        ] + rows
    repeated_faults = {(fault["kind"], fault["source"]) for fault in result.faults}
    attempted = {(duty, row["x"], row["source"]) for duty, rows in result.points.items() for row in rows}
    attempted |= {(row["duty"], row["x"], row["source"]) for row in result.left_out}
    called_again = {(row["duty"], row["x"]) for row in result.calls}
    left_out = [row for row in earlier["left_out"] if (row["duty"], row["x"], row["source"]) not in attempted]
    return {
        "schema": SCHEMA,
        **run,
        "cores": os.cpu_count(),
        "duties": {name: _duty_record(name, rows, duties) for name, rows in sorted(duties.items())},
        "troubles": [
            fault for fault in earlier["troubles"] if (fault["kind"], fault["source"]) not in repeated_faults
        ]
        + result.faults,
        "left_out": left_out + result.left_out,
        "calls": [row for row in earlier["calls"] if (row["duty"], row["x"]) not in called_again]
        + result.calls,
        "runs": [*earlier["runs"], run],
    }


def _duty_record(
    name: str, points: list[dict[str, Any]], duties: dict[str, list[dict[str, Any]]]
) -> dict[str, Any]:
    points = sorted(points, key=lambda point: (point["source"], point["x"], point["process"]))
    agreement = _agreement(points)
    record: dict[str, Any] = {
        "about": DUTY_DESCRIPTIONS.get(name, name),
        "unit": DUTY_UNITS.get(name, "member"),
    }
    record["points"] = points
    record["fits"] = {}
    record["fits_by_source"] = {}
    for measure in sorted({key for point in points for key in point["measure"]}):
        by_source = {}
        for source in ("hollow", "real", "simulated"):
            rows = [point for point in points if point["source"] == source and measure in point["measure"]]
            if len(rows) >= MIN_FIT_POINTS and len({point["x"] for point in rows}) > 1:
                fitted = line([point["x"] for point in rows], [point["measure"][measure] for point in rows])
                by_source[source] = {**fitted, "source": source}
        if not by_source:
            continue
        record["fits_by_source"][measure] = by_source
        record["fits"][measure] = _select_fit(by_source, points, agreement, measure)
        busier = duties.get(BUSIER_DUTY.get(name, ""), [])
        if (
            measure == CORE_MEASURE
            and busier
            and any(not row["agree"] for row in agreement if row["measure"] == CORE_MEASURE)
        ):
            record["fits"][measure] = _fit_with_busier_processes(points, busier)
    record["agreement"] = agreement
    return record


def _fit_with_busier_processes(points: list[dict[str, Any]], busier: list[dict[str, Any]]) -> dict[str, Any]:
    """Fit processor time to real processes alone, some of them busier, for an upper bound of the slope.

    Simulated nodes of one process share wakeups and caches, the more nodes the more; real nodes do not. Where
    the two differ, the slope of the simulated nodes shows the sharing.
    """
    rows = [point for point in points if point["source"] == "real"] + busier
    fitted = line([point["x"] for point in rows], [point["measure"][CORE_MEASURE] for point in rows])
    least_x = min(point["x"] for point in busier)
    return {**fitted, "source": f"real, from {least_x:g} on just joined"}


def _select_fit(
    by_source: dict[str, dict[str, Any]],
    points: list[dict[str, Any]],
    agreement: list[dict[str, Any]],
    measure: str,
) -> dict[str, Any]:
    """Return the valid fit: of simulated nodes if they agree with real nodes, otherwise of real nodes.

    If real nodes cover less than half of the simulated nodes' range, they determine the level but not the
    slope: the line of the simulated nodes is moved by the mean difference where both were measured.
    """
    compared = [row for row in agreement if row["measure"] == measure]
    disagreeing = [row for row in compared if not row["agree"]]
    simulated_fit, real_fit = by_source.get("hollow"), by_source.get("real")
    if real_fit is not None and not compared:
        # Measurements of simulated nodes do not count until they have been compared with real nodes.
        return real_fit
    if simulated_fit is None or (
        disagreeing
        and real_fit is not None
        and _range(points, "real", measure) >= 0.5 * _range(points, "hollow", measure)
    ):
        return real_fit or simulated_fit or by_source["simulated"]
    if not disagreeing:
        return simulated_fit
    offsets = [row["real"][0] - row["hollow"][0] for row in compared]
    uncertainties = [
        math.hypot(row["real"][2] - row["real"][0], row["hollow"][2] - row["hollow"][0]) for row in compared
    ]
    offset, offset_uncertainty = sum(offsets) / len(offsets), max(uncertainties)
    centre, low, high = simulated_fit["intercept"]
    uncertainty = math.hypot(offset_uncertainty, high - centre)
    compared_at = ", ".join(f"{row['x']:g}" for row in compared)
    return {
        **simulated_fit,
        "intercept": [centre + offset, centre + offset - uncertainty, centre + offset + uncertainty],
        "source": f"hollow, moved to real at {compared_at}",
        "moved_by": offset,
    }


def _range(points: list[dict[str, Any]], source: str, measure: str) -> float:
    xs = [point["x"] for point in points if point["source"] == source and measure in point["measure"]]
    return max(xs) - min(xs) if xs else 0.0


def _agreement(points: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Compare simulated and real nodes where both were measured; they agree if their intervals overlap."""
    rows = []
    for x in sorted({point["x"] for point in points}):
        for measure in sorted({key for point in points for key in point["measure"]}):
            values_by_source = []
            for source in ("hollow", "real"):
                source_points = [
                    point
                    for point in points
                    if (point["x"], point["source"]) == (x, source) and measure in point["measure"]
                ]
                values_by_source.append([point["measure"][measure] for point in source_points])
            if min(map(len, values_by_source)) < 2:
                continue
            simulated_mean, real_mean = (mean(values) for values in values_by_source)
            agree = simulated_mean[1] <= real_mean[2] and real_mean[1] <= simulated_mean[2]
            row = {"x": x, "measure": measure, "hollow": simulated_mean, "real": real_mean, "agree": agree}
            rows.append({**row, "processes": [len(values) for values in values_by_source]})
    return rows


def read(path: Path) -> dict[str, Any]:
    """Return the record in a file; raise ScaleError with one line if there is none."""
    try:
        record = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ScaleError(f"{path}: {error}") from None
    if not isinstance(record, dict) or record.get("schema") != SCHEMA or "duties" not in record:
        raise ScaleError(f"{path}: no record of a scale run, schema {SCHEMA}")
    return record


def write(path: Path, record: dict[str, Any]) -> None:
    """Write a record as JSON with one value per line, so that a diff shows the changes of a later record."""
    text = json.dumps(record, indent=1, sort_keys=True)
    path.write_text(text + "\n", encoding="utf-8")
