"""`crowpost lab feed`: the latency and traffic of configuration changes in a simulated fleet."""

from __future__ import annotations

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import typer

from crowpost.cli.terminal import console


def feed(
    cases: Annotated[
        list[str] | None,
        typer.Argument(help="calm, loss, burst, zone, ...; default: calm", show_default=False),
    ] = None,
    nodes: Annotated[int, typer.Option(min=7, max=5_000)] = 790,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    into: Annotated[
        Path | None,
        typer.Option(
            "--into", help="add the runs to this record; a run replaces one of the same case, size and seed"
        ),
    ] = None,
    table: Annotated[
        Path | None, typer.Option("--table", help="run nothing, and print this record as a Markdown table")
    ] = None,
) -> None:
    """Simulate configuration changes in a fleet: seconds until a change is in force, and bytes a second.

    Example: crowpost lab feed calm relay-dies --nodes 140 --seed 2
    """
    if table is not None:
        print(_table(table))
        return
    from crowpost.config_feed.errors import FeedError
    from crowpost.lab.feed.records import put_into
    from crowpost.lab.feed.simulation import CASES, play

    cases = cases or ["calm"]
    if unknown := [case for case in cases if case not in CASES]:
        raise FeedError(f"unknown case {unknown[0]!r}; known are {', '.join(CASES)}")
    runs: list[dict[str, Any]] = []
    for case in cases:
        run = play(case, nodes, seed)
        runs.append(run)
        if into is not None:
            put_into(into, run)
        if not as_json:
            _show(run)
    if as_json:
        print(json.dumps({"schema": 1, "runs": runs}, sort_keys=True))
    if any(run["unreached"] or run["faults"] for run in runs):
        raise typer.Exit(1)


COLUMNS = (
    "case",
    "nodes",
    "seed",
    "changes",
    "p50 s",
    "p99 s",
    "worst s",
    "unreached",
    "node B/s",
    "busiest 10 s",
    "relay B/s",
    "publisher B/s",
)


def _table(path: Path) -> str:
    """Return the runs of a record as a Markdown table; bytes are those of the busiest process of a role."""
    from crowpost.lab.feed.records import read_record

    lines = [_row(COLUMNS), "|---" * len(COLUMNS) + "|"]
    lines += [_row(_cells(run)) for run in read_record(path)["runs"]]
    return "\n".join(lines)


def _row(cells: Iterable[object]) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _cells(run: dict[str, Any]) -> list[object]:
    latency = run["in_force_s"]
    return [
        run["case"],
        run["nodes"],
        run["seed"],
        run.get("changes", ""),
        latency["p50"],
        latency["p99"],
        latency["worst"],
        run["unreached"],
        run["node_bytes_per_s"],
        run.get("node_bytes_per_s_busiest_10s", ""),
        run["relay_bytes_per_s"],
        run["publisher_bytes_per_s"],
    ]


def _show(run: dict[str, Any]) -> None:
    """Print the result of a run for people."""
    latency = run["in_force_s"]
    out = console()
    out.print(
        f"{run['case']}: {run['nodes']} nodes, seed {run['seed']}, changes {run['changes']}; in force after "
        f"p50 {latency['p50']} s, p99 {latency['p99']} s, worst {latency['worst']} s; "
        f"unreached {run['unreached']}"
    )
    bytes_per_s = {role: run[f"{role}_bytes_per_s"] for role in ("node", "relay", "publisher")}
    busiest = run.get("node_bytes_per_s_busiest_10s", "-")
    out.print(
        f"    bytes a second of the busiest process: {bytes_per_s}; of a node in its busiest 10 s: {busiest}"
    )
    for fault in run["faults"]:
        out.print(f"    violation: {fault}")
