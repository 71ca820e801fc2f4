"""One self-contained HTML page of a record: the table, and the distribution of latencies of each case."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from typing import Any

import jinja2
import numpy as np
from markupsafe import Markup

from crowpost.lab.overhead.figures import by_round, joined
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


def loop(run: Mapping[str, Any]) -> str:
    """Its loop in a few letters."""
    return f"{run['rate']:g}/s" if run["rate"] else f"{run['callers']} callers"


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def row(run: Mapping[str, Any]) -> list[str]:
    """A run's row below HEADS."""
    span = run["added_95"]["p99_ms"]
    return [
        run["version"],
        str(run["servers"]),
        str(run["chain"]),
        loop(run),
        str(run["requests"]),
        _ms(run["direct"]["p50_ms"]),
        _ms(run["direct"]["p99_ms"]),
        _ms(run["through"]["p50_ms"]),
        _ms(run["through"]["p99_ms"]),
        *(_ms(run["added"][name]) for name in ("p50_ms", "p90_ms", "p99_ms")),
        "-" if span is None else f"[{span[0]:.2f}, {span[1]:.2f}]",
        _ms(run["added"]["p999_ms"]),
        _ms(run["machine_moves"]["p50_ms"]),
        _ms(run["machine_moves"]["p99_ms"]),
        "-" if run["core_us_per_request"] is None else f"{run['core_us_per_request']:.0f}",
        f"{run['requests_per_s']:.0f}",
    ]


def _plot(curves: Mapping[str, Sequence[float]]) -> str:
    from matplotlib.figure import Figure  # here: it takes longer to import than most commands take

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
    """The page as text; `slices` are those of each run of the record, in its order."""
    runs = record["runs"]
    cases: dict[tuple[Any, ...], dict[str, Sequence[float]]] = {}
    seen: dict[tuple[Any, ...], int] = {}
    for run, mine in zip(runs, slices, strict=True):
        case = (run["servers"], run["chain"], loop(run))
        arm = seen[case] = seen.get(case, 1) + 1
        curves = cases.setdefault(case, {"direct": joined(by_round(mine, (0, 1), "latency_ms"))})
        curves[f"through {run['version']}"] = joined(by_round(mine, (arm,), "latency_ms"))
    plots = [
        (
            f"{servers} servers, chain of {chain}, {how}",
            "Latency from when each call was due, direct and through nodes within one run.",
            Markup(_plot(curves)),  # drawn here, from numbers
        )
        for (servers, chain, how), curves in cases.items()
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
