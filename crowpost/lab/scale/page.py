"""A record as a self-contained HTML page: each slope with its points, each fault over time."""

from __future__ import annotations

import math
from typing import Any

import jinja2
import numpy as np
from markupsafe import Markup

from crowpost.lab.report import PAGE, _axes, _svg

COLOURS = {"hollow": "#2a7f5f", "real": "#c0392b", "simulated": "#8a6fb0"}
LABELS = {
    "core_ms_per_s": "processor time, ms per second",
    "memory_bytes": "memory, bytes",
    "bytes_per_s": "bytes sent per second",
    "received_bytes_per_s": "bytes received per second",
    "messages_per_s": "datagrams sent per second",
    "documents_per_s": "documents received per second",
}


def _slope_plot(duty: dict[str, Any], measure: str) -> str:
    figure, axes = _axes(3.0)
    for source, colour in COLOURS.items():
        rows = [
            point for point in duty["points"] if point["source"] == source and measure in point["measure"]
        ]
        xs = np.array([point["x"] for point in rows], dtype=float)
        ys = np.array([point["measure"][measure] for point in rows], dtype=float)
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


def _fault_plot(fault: dict[str, Any]) -> str:
    figure, axes = _axes()
    series = np.array(fault["series"], dtype=float)
    axes.plot(series[:, 0], series[:, 1], color="#2a7f5f")
    axes.axvspan(0.0, fault["seconds"], color="#c0392b", alpha=0.08, linewidth=0)
    axes.set(xlabel="seconds from the start", ylabel="bytes sent per member and second", ylim=(0, None))
    views = np.array(fault.get("series_views", []), dtype=float)
    if len(views):
        right_axes = axes.twinx()
        right_axes.step(views[:, 0], views[:, 1], where="post", color="#8a6fb0", linewidth=1.0)
        right_axes.set(ylabel="different views", ylim=(0, None))
    return _svg(figure)


def interval(value: list[float]) -> str:
    """Return a value with its interval as '1.20 [1.10, 1.30]', without the interval if it is unknown."""
    if len(value) < 3 or any(bound is None or math.isnan(bound) for bound in value):
        return f"{value[0]:.4g}"
    return f"{value[0]:.4g} [{value[1]:.4g}, {value[2]:.4g}]"


def table(record: dict[str, Any]) -> list[tuple[str, ...]]:
    """Return a row with the fit of each duty and measure."""
    rows: list[tuple[str, ...]] = []
    for name, duty in record["duties"].items():
        for measure, fitted in duty["fits"].items():
            form = "linear" if fitted["linear"] else f"not linear ({fitted['form']})"
            row = (name, LABELS.get(measure, measure), interval(fitted["intercept"]))
            rows.append((*row, interval(fitted["slope"]), duty["unit"], fitted["source"], form))
    return rows


def page(record: dict[str, Any]) -> str:
    """Return the page as HTML."""
    plots = []
    for name, duty in record["duties"].items():
        for measure, fitted in duty["fits"].items():
            text = f"{duty['about']}. Slope {interval(fitted['slope'])} per {duty['unit']}"
            text += f", from {fitted['source']}"
            disagreeing = [row for row in duty["agreement"] if row["measure"] == measure and not row["agree"]]
            if disagreeing:
                xs = ", ".join(f"{row['x']:g}" for row in disagreeing)
                text += f"; simulated and real nodes differ by more than their intervals at {xs}"
            plots.append((f"{name}: {LABELS.get(measure, measure)}", f"{text}.", _slope_plot(duty, measure)))
    for fault in record["troubles"]:
        text = (
            f"{fault['members']} members, {fault['source']}; {fault['messages']} additional datagrams, "
            f"{fault['bytes_per_member']:.0f} bytes per member; one view after {fault['settled_s']} s. "
            f"Lost meanwhile: {fault['lost']}."
        )
        if fault.get("starved"):
            text += f" Workers were late by {fault['late_p99_ms']} ms, so their members were starved."
        if fault["speed"] != 1.0:
            text += f" A day compressed by a factor of {fault['speed']:g}."
        plots.append((f"Fault: {fault['kind']}", text, _fault_plot(fault)))
    left_out = [
        [f"left out: {row['duty']} {row['x']:g}, {row['process']}: {row['why']}"]
        for row in record["left_out"]
    ]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    text = environment.from_string(PAGE.replace("Broken rules", "Left out")).render(
        title="crowpost lab scale",
        about=f"Revision {record['revision']}, {record['at']}, {record['cores']} cores, "
        f"seed {record['seed']}. Costs are of one node, in addition to the same process without the duty; "
        "intervals are 95%.",
        heads=("duty", "measure", "at x = 0", "slope", "for each", "from", "form"),
        table=table(record),
        # The SVG is trusted: it was generated above.
        plots=[(name, about, Markup(svg)) for name, about, svg in plots],
        stories=["\n".join(lines) for lines in left_out],
    )
    return str(text)
