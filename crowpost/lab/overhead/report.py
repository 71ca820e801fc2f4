"""Renders a record as one self-contained HTML page: a table, and the latency distribution of each case."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from typing import Any

import jinja2
import numpy as np
from markupsafe import Markup

from crowpost.lab.overhead.figures import by_round, concatenated
from crowpost.lab.report import PAGE

HEADS = (
    "version",
    "servers",
    "chain",
    "loop",
    "requests",
    "direct p50",
    "p99",
    "through p50",
    "p99",
    "added p50",
    "p90",
    "p99",
    "95%",
    "p99.9 ms",
    "machine p50",
    "p99",
    "core us",
    "calls/s",
)
PERCENTILES = np.concatenate([np.linspace(0, 99, 199), np.linspace(99.02, 99.9, 45)])
TICKS = (50.0, 90.0, 99.0, 99.9)


def loop_text(run: Mapping[str, Any]) -> str:
    """Return a short text for the loop of a run."""
    return f"{run['rate']:g}/s" if run["rate"] else f"{run['callers']} callers"


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def row(run: Mapping[str, Any]) -> list[str]:
    """Return the row of a run, in the columns of HEADS."""
    interval = run["added_95"]["p99_ms"]
    return [
        run["version"],
        str(run["servers"]),
        str(run["chain"]),
        loop_text(run),
        str(run["requests"]),
        _ms(run["direct"]["p50_ms"]),
        _ms(run["direct"]["p99_ms"]),
        _ms(run["through"]["p50_ms"]),
        _ms(run["through"]["p99_ms"]),
        *(_ms(run["added"][name]) for name in ("p50_ms", "p90_ms", "p99_ms")),
        "-" if interval is None else f"[{interval[0]:.2f}, {interval[1]:.2f}]",
        _ms(run["added"]["p999_ms"]),
        _ms(run["machine_moves"]["p50_ms"]),
        _ms(run["machine_moves"]["p99_ms"]),
        "-" if run["core_us_per_request"] is None else f"{run['core_us_per_request']:.0f}",
        f"{run['requests_per_s']:.0f}",
    ]


def _plot(curves: Mapping[str, Sequence[float]]) -> str:
    # Imported here since the import takes longer than most commands.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10.5, 3.2), layout="constrained")
    axes = figure.add_subplot()
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", color="#e6e9ef", linewidth=0.8)
    for name, values in curves.items():
        if values:
            axes.plot(1.0 / (1.0 - PERCENTILES / 100.0), np.percentile(values, PERCENTILES), label=name)
    axes.set_xscale("log")
    axes.set_xticks([1.0 / (1.0 - tick / 100.0) for tick in TICKS], [f"{tick:g}%" for tick in TICKS])
    axes.minorticks_off()
    axes.set_yscale("log")
    axes.legend(fontsize=8, frameon=False)
    axes.set(xlabel="percentile", ylabel="ms from when it was due")
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Date", "Creator", "Format", "Type")))
    return text.getvalue()[text.getvalue().index("<svg") :]


def page(record: Mapping[str, Any], slices: Sequence[Sequence[Mapping[str, Any]]]) -> str:
    """Return the page as text; `slices` has the slices of each run, in the order of the record."""
    runs = record["runs"]
    cases: dict[tuple[Any, ...], dict[str, Sequence[float]]] = {}
    last_arm: dict[tuple[Any, ...], int] = {}
    for run, run_slices in zip(runs, slices, strict=True):
        case = (run["servers"], run["chain"], loop_text(run))
        arm = last_arm[case] = last_arm.get(case, 1) + 1
        curves = cases.setdefault(case, {"direct": concatenated(by_round(run_slices, (0, 1), "latency_ms"))})
        curves[f"through {run['version']}"] = concatenated(by_round(run_slices, (arm,), "latency_ms"))
    plots = [
        (
            f"{servers} servers, chain of {chain}, {load}",
            "Latency from when each call was due, direct and through nodes within one run.",
            Markup(_plot(curves)),  # Safe without escaping: it is made from numbers only.
        )
        for (servers, chain, load), curves in cases.items()
    ]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(PAGE).render(
        title="crowpost lab overhead",
        about=f"{record['revision']}, {record['at']}, {record['cores']} cores, {record['effect']} calls; ms",
        heads=HEADS,
        table=[row(run) for run in runs],
        plots=plots,
        stories=[],
    )
