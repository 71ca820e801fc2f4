"""A record as one self-contained HTML page: each slope with its points, each trouble over time."""

from __future__ import annotations

import math
from typing import Any

import jinja2
import numpy as np
from markupsafe import Markup

from crowpost.lab.report import PAGE, _axes, _svg

COLOURS = {"hollow": "#2a7f5f", "real": "#c0392b", "simulated": "#8a6fb0"}
LABELS = {
    "core_ms_per_s": "processor time, ms a second",
    "memory_bytes": "memory, bytes",
    "bytes_per_s": "bytes sent a second",
    "received_bytes_per_s": "bytes received a second",
    "messages_per_s": "datagrams sent a second",
    "documents_per_s": "documents taken a second",
}


def _slope(duty: dict[str, Any], measure: str) -> str:
    figure, axes = _axes(3.0)
    for source, colour in COLOURS.items():
        rows = [p for p in duty["points"] if p["source"] == source and measure in p["measure"]]
        xs = np.array([p["x"] for p in rows], dtype=float)
        ys = np.array([p["measure"][measure] for p in rows], dtype=float)
        if not len(xs):
            continue
        axes.plot(xs, ys, "o", color=colour, alpha=0.6, markersize=4, label=source)
        fitted = duty["fits_by_source"].get(measure, {}).get(source)
        if fitted is not None:
            ends = np.array([xs.min(), xs.max()])
            line = fitted["intercept"][0] + fitted["slope"][0] * ends
            axes.plot(ends, line, color=colour, linewidth=1.2)
    axes.legend(ncols=3, fontsize=8, frameon=False, loc="upper center", bbox_to_anchor=(0.5, 1.15))
    axes.set(xlabel=f"{duty['unit']}s", ylabel=LABELS.get(measure, measure))
    axes.set_ylim(bottom=min(0.0, axes.get_ylim()[0]))
    return _svg(figure)


def _trouble(trouble: dict[str, Any]) -> str:
    figure, axes = _axes()
    series = np.array(trouble["series"], dtype=float)
    axes.plot(series[:, 0], series[:, 1], color="#2a7f5f")
    axes.axvspan(0.0, trouble["seconds"], color="#c0392b", alpha=0.08, linewidth=0)
    axes.set(xlabel="seconds from its begin", ylabel="bytes a member sends a second", ylim=(0, None))
    views = np.array(trouble.get("series_views", []), dtype=float)
    if len(views):
        other = axes.twinx()
        other.step(views[:, 0], views[:, 1], where="post", color="#8a6fb0", linewidth=1.0)
        other.set(ylabel="different views", ylim=(0, None))
    return _svg(figure)


def interval(value: list[float]) -> str:
    """'1.20 [1.10, 1.30]'; without bounds where there are none."""
    if len(value) < 3 or any(v is None or math.isnan(v) for v in value):
        return f"{value[0]:.4g}"
    return f"{value[0]:.4g} [{value[1]:.4g}, {value[2]:.4g}]"


def table(record: dict[str, Any]) -> list[tuple[str, ...]]:
    """A row for each duty and measure: what was fitted."""
    rows: list[tuple[str, ...]] = []
    for name, duty in record["duties"].items():
        for measure, fitted in duty["fits"].items():
            form = "linear" if fitted["linear"] else f"not linear ({fitted['form']})"
            row = (name, LABELS.get(measure, measure), interval(fitted["intercept"]))
            rows.append((*row, interval(fitted["slope"]), duty["unit"], fitted["source"], form))
    return rows


def page(record: dict[str, Any]) -> str:
    """The page as text."""
    plots = []
    for name, duty in record["duties"].items():
        for measure, fitted in duty["fits"].items():
            text = f"{duty['about']}. Slope {interval(fitted['slope'])} a {duty['unit']}"
            text += f", from {fitted['source']}"
            off = [r for r in duty["agreement"] if r["measure"] == measure and not r["agree"]]
            if off:
                at = ", ".join(f"{r['x']:g}" for r in off)
                text += f"; hollow and real differ by more than their intervals at {at}"
            plots.append((f"{name}: {LABELS.get(measure, measure)}", f"{text}.", _slope(duty, measure)))
    for trouble in record["troubles"]:
        text = (
            f"{trouble['members']} members, {trouble['source']}; {trouble['messages']} datagrams set off, "
            f"{trouble['bytes_per_member']:.0f} bytes a member; one view after {trouble['settled_s']} s. "
            f"Lost meanwhile: {trouble['lost']}."
        )
        if trouble.get("starved"):
            text += f" Workers were late by {trouble['late_p99_ms']} ms: the figures are of starved members."
        if trouble["speed"] != 1.0:
            text += f" A day speeded up {trouble['speed']:g} times."
        plots.append((f"Trouble: {trouble['kind']}", text, _trouble(trouble)))
    stories = [[f"left out: {r['duty']} {r['x']:g}, {r['process']}: {r['why']}"] for r in record["left_out"]]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    text = environment.from_string(PAGE.replace("Broken rules", "Left out")).render(
        title="crowpost lab scale",
        about=f"Revision {record['revision']}, {record['at']}, {record['cores']} cores, "
        f"seed {record['seed']}. Figures are of one node, beyond the same process with the duty off; "
        "intervals are 95%.",
        heads=("duty", "measure", "at x = 0", "slope", "for each", "from", "form"),
        table=table(record),
        plots=[(name, about, Markup(svg)) for name, about, svg in plots],  # drawn here
        stories=["\n".join(story) for story in stories],
    )
    return str(text)
