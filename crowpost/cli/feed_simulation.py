"""`crowpost lab feed`: how long a change of configuration takes through a simulated fleet, and its bytes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer

from crowpost.cli.terminal import console


def feed(
    cases: Annotated[
        list[str] | None,
        typer.Argument(help="calm, loss, burst, zone, ...; without any, calm", show_default=False),
    ] = None,
    nodes: Annotated[int, typer.Option(min=7, max=5_000)] = 790,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    into: Annotated[
        Path | None, typer.Option("--into", help="put the runs into this record, in place of equal ones")
    ] = None,
    table: Annotated[
        Path | None, typer.Option("--table", help="play nothing, and print this record as a Markdown table")
    ] = None,
) -> None:
    """Play changes of configuration through a simulated fleet: seconds to in force, and bytes a second.

    Example: crowpost lab feed calm relay-dies --nodes 140 --seed 2
    """
    if table is not None:
        print(_table(table))
        return
    from crowpost.config_feed.errors import FeedError
    from crowpost.lab.feed.simulation import CASES, play, put_into

    cases = cases or ["calm"]
    if unknown := [case for case in cases if case not in CASES]:
        raise FeedError(f"no case {unknown[0]!r}; there are {', '.join(CASES)}")
    runs: list[dict[str, Any]] = []
    for case in cases:
        found = play(case, nodes, seed)
        runs.append(found)
        if into is not None:
            put_into(into, found)
        if not as_json:
            _show(found)
    if as_json:
        print(json.dumps({"schema": 1, "runs": runs}, sort_keys=True))
    if any(run["unreached"] or run["faults"] for run in runs):
        raise typer.Exit(1)


def _table(path: Path) -> str:
    """The runs of a record, a row each; bytes are of the busiest process of a role."""
    from crowpost.lab.feed.simulation import read_record

    runs = read_record(path)["runs"]
    heads = ["case", "nodes", "seed", "changes", "p50 s", "p99 s", "worst s", "unreached"]
    heads += ["node B/s", "busiest 10 s", "relay B/s", "publisher B/s"]
    lines = [f"| {' | '.join(heads)} |", "|---" * len(heads) + "|"]
    for run in runs:
        took = run["in_force_s"]
        row = [run["case"], run["nodes"], run["seed"], run.get("changes", ""), took["p50"], took["p99"]]
        row += [took["worst"], run["unreached"], run["node_bytes_per_s"]]
        row += [run.get("node_bytes_per_s_busiest_10s", ""), run["relay_bytes_per_s"]]
        lines.append("| " + " | ".join(str(cell) for cell in [*row, run["publisher_bytes_per_s"]]) + " |")
    return "\n".join(lines)


def _show(run: dict[str, Any]) -> None:
    took = run["in_force_s"]
    out = console()
    out.print(
        f"{run['case']}: {run['nodes']} nodes, seed {run['seed']}, changes {run['changes']}; in force after "
        f"p50 {took['p50']} s, p99 {took['p99']} s, worst {took['worst']} s; unreached {run['unreached']}"
    )
    bytes_per_s = {role: run[f"{role}_bytes_per_s"] for role in ("node", "relay", "publisher")}
    busiest = run.get("node_bytes_per_s_busiest_10s", "-")
    out.print(f"    bytes a second, of the busiest: {bytes_per_s}; of a node in its busiest 10 s: {busiest}")
    for fault in run["faults"]:
        out.print(f"    broken: {fault}")
