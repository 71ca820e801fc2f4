"""A self-contained HTML page of a run folder: plots of one run, and a table of all."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

import jinja2
import numpy as np
from hdrh.histogram import HdrHistogram
from markupsafe import Markup

if TYPE_CHECKING:
    from matplotlib.axes import Axes

PERCENTILES = np.concatenate([np.linspace(0, 99, 199), np.linspace(99.02, 99.99, 98)])
ENDS = {
    "served": "#2a7f5f",
    "late": "#d9a441",
    "refused": "#8a6fb0",
    "failed": "#c0392b",
    "timed_out": "#555555",
}

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 1060px; color: #1d2430; }
h1 { font-size: 1.5rem; margin-bottom: 0; } h2 { font-size: 1.1rem; margin: 2rem 0 .3rem; }
p.about { color: #5a6372; margin-top: .2rem; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; margin: 1rem 0; }
th, td { padding: .25rem .7rem; text-align: right; border-bottom: 1px solid #dde2ea; }
th:first-child, td:first-child { text-align: left; }
pre { background: #faf3f2; padding: .8rem; overflow-x: auto; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>{{ title }}</h1><p class="about">{{ about }}</p>
<table><tr>{% for head in heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in table %}<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for name, text, svg in plots %}<h2>{{ name }}</h2><p class="about">{{ text }}</p>{{ svg }}
{% endfor %}
{% if stories %}<h2>Broken rules</h2>{% for story in stories %}<pre>{{ story }}</pre>{% endfor %}{% endif %}
</body></html>
"""


def _axes(height: float = 2.6) -> tuple[Any, Axes]:
    # The import is local because it takes longer than most commands.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10.5, height), layout="constrained")
    axes = figure.add_subplot()
    axes.spines[["top", "right"]].set_visible(False)
    axes.grid(axis="y", color="#e6e9ef", linewidth=0.8)
    axes.set_axisbelow(True)
    return figure, axes


def _svg(figure: Any) -> str:
    text = io.StringIO()
    figure.savefig(text, format="svg", metadata=dict.fromkeys(("Date", "Creator", "Format", "Type")))
    return text.getvalue()[text.getvalue().index("<svg") :]


def _draw_faults(axes: Axes, run: dict[str, Any], end: float) -> None:
    """Draw each fault as a vertical band with its kind at the top."""
    for i, fault in enumerate(run["faults"]):
        stop = min(fault["at_s"] + fault["for_s"], end)
        axes.axvspan(fault["at_s"], stop, color="#c0392b", alpha=0.08, linewidth=0)
        height = 1.0 - 0.09 * (i % 3)
        axes.text(
            fault["at_s"], height, f" {fault['kind']}", transform=axes.get_xaxis_transform(), va="top", size=8
        )


def _service(run: dict[str, Any]) -> str:
    figure, axes = _axes()
    asked, served = np.array(run["series"]["worth_asked"]), np.array(run["series"]["worth_served"])
    seconds = np.arange(len(asked))
    axes.step(
        seconds, np.where(asked > 0, served / np.maximum(asked, 1e-9), np.nan), where="post", color="#2a7f5f"
    )
    axes.set_ylim(0, 1.03)
    _draw_faults(axes, run, len(asked))
    axes.set(xlabel="second in which the request was due", ylabel="share of priority weight served")
    return _svg(figure)


def _ends(run: dict[str, Any]) -> str:
    figure, axes = _axes()
    seconds = len(run["series"]["worth_asked"])
    bottom = np.zeros(seconds)
    for end, colour in ENDS.items():
        count = np.array(run["series"][end])
        axes.bar(
            np.arange(seconds) + 0.5, count, 1.0, bottom=bottom, color=colour, label=end.replace("_", " ")
        )
        bottom = bottom + count
    _draw_faults(axes, run, seconds)
    axes.legend(ncols=5, fontsize=8, loc="upper center", bbox_to_anchor=(0.5, 1.2), frameon=False)
    axes.set(xlabel="second", ylabel="requests", xlim=(0, seconds))
    return _svg(figure)


def _latencies(runs: Sequence[dict[str, Any]]) -> str:
    figure, axes = _axes(3.2)
    for run in runs:
        histogram = HdrHistogram.decode(run["histogram"].encode())
        values = [histogram.get_value_at_percentile(percentile) / 1000.0 for percentile in PERCENTILES]
        axes.plot(1.0 / (1.0 - PERCENTILES / 100.0), values, label=f"{run['policy']}, seed {run['seed']}")
    ticks = [50, 90, 99, 99.9, 99.99]
    axes.set_xscale("log")
    axes.set_xticks([1.0 / (1.0 - tick / 100.0) for tick in ticks], [f"{tick:g}%" for tick in ticks])
    axes.minorticks_off()
    axes.set_yscale("log")
    axes.legend(fontsize=8, frameon=False)
    axes.set(xlabel="percentile", ylabel="ms since the request was due")
    return _svg(figure)


def _calls_in_flight(run: dict[str, Any]) -> str:
    figure, axes = _axes()
    in_flight = np.array(run["series"]["calls_out"], dtype=float)
    seconds = np.arange(1, len(in_flight) + 1)
    for stage in range(in_flight.shape[1] if in_flight.size else 0):
        axes.plot(seconds, in_flight[:, stage], label=f"held by tier {stage}")
    limit = [np.nan if value is None else value for value in run["series"]["limit"]]
    if not np.all(np.isnan(limit)):
        axes.plot(seconds, limit, color="#1d2430", linestyle="--", label="limit of all front nodes")
    _draw_faults(axes, run, len(run["series"]["worth_asked"]))
    axes.legend(ncols=4, fontsize=8, loc="upper center", bbox_to_anchor=(0.5, 1.2), frameon=False)
    axes.set(xlabel="second", ylabel="calls")
    return _svg(figure)


def _shares(run: dict[str, Any]) -> str:
    """Return a heat map of the share of the first tier's attempts that each server got, by second."""
    figure, axes = _axes(3.4)
    names = run["servers"][0]
    rows = [[*second[0], *[0] * (len(names) - len(second[0]))] for second in run["series"]["sends"]]
    counts = np.array(rows, dtype=float).reshape(-1, len(names)).T
    total = counts.sum(axis=0)
    share = np.divide(counts, total, out=np.zeros_like(counts), where=total > 0)
    image = axes.imshow(share, aspect="auto", cmap="viridis", extent=(0, share.shape[1], len(names), 0))
    axes.grid(visible=False)
    axes.set_yticks(np.arange(len(names)) + 0.5, names, size=7 if len(names) < 40 else 4)
    axes.set(xlabel="second")
    figure.colorbar(image, label="share of attempts")
    return _svg(figure)


def page(scenario: dict[str, Any], runs: Sequence[dict[str, Any]]) -> str:
    """Return the page as text; the plots are of the first run, the latencies of up to eight."""
    first = runs[0]
    run_label = f"{first['policy']}, seed {first['seed']}"
    plots = [
        (
            "Service",
            f"Priority weight answered within the latency objective, by second ({run_label}).",
            _service(first),
        ),
        ("How requests ended", f"Each request with all its retries ({run_label}).", _ends(first)),
        (
            "Latency",
            "Measured from when the first try was due, so that all waiting of clients counts.",
            _latencies(runs[:8]),
        ),
        (
            "Calls in flight and limit",
            f"Calls at servers at the end of each second ({run_label}).",
            _calls_in_flight(first),
        ),
        (
            "Share of attempts by server",
            f"Attempts of the front nodes, by second ({run_label}).",
            _shares(first),
        ),
    ]
    heads = (
        "policy",
        "seed",
        "G",
        "served",
        "worst 10 s",
        "p50 ms",
        "p99 ms",
        "refused",
        "attempts",
        "breaches",
    )
    table = [
        (
            run["policy"],
            run["seed"],
            f"{run['goal']:.3f}",
            f"{run['served']:.3f}",
            f"{run['parts']['worst_window']:.3f}",
            f"{run['latency_ms']['p50']:.0f}",
            f"{run['latency_ms']['p99']:.0f}",
            run["ends"]["refused"],
            f"{run['attempts_each']:.2f}",
            run["breaches"],
        )
        for run in runs
    ]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    # The plots are generated above from numbers, so their markup is safe.
    safe_plots = [(name, text, Markup(svg)) for name, text, svg in plots]
    stories = ["\n".join(breach_lines) for run in runs for breach_lines in run["stories"]][:20]
    return environment.from_string(PAGE).render(
        title=f"crowpost lab: {scenario['name']}",
        about=scenario["about"],
        heads=heads,
        table=table,
        plots=safe_plots,
        stories=stories,
    )
