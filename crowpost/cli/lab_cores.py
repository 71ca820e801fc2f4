"""`crowpost lab powerloss`, `disk` and `swarm`: runs of storage and membership without a node."""

from __future__ import annotations

import json
import os
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from crowpost.cli.lab_output import AsJson, out


def powerloss(
    seeds: Annotated[str, typer.Option(help="3, 1-20 or 1,4,9-12")] = "1-8",
    broken: Annotated[
        bool, typer.Option("--broken", help="seed known faults into the store, and check that each is found")
    ] = False,
    flips: Annotated[int, typer.Option(min=1, help="flip one in this many bits")] = 29,
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
    as_json: AsJson = False,
) -> None:
    """Check recovery from every state that a power loss may leave; exit code 1 if any check fails.

    Example: crowpost lab powerloss --seeds 1-20
    """
    from crowpost.lab import compare as comparison
    from crowpost.lab.crash_consistency import report

    try:
        numbers = comparison.seeds(seeds)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    workers = jobs or os.cpu_count() or 1
    if broken:
        fault_reports = report.check_faults(len(numbers), workers)
        if as_json:
            print(json.dumps([asdict(row) for row in fault_reports]))
        else:
            table = Table("seeded fault", "found as", "on seed", "after states", "and seconds", box=None)
            for row in fault_reports:
                found = row.breach or "[bold]not found[/bold]"
                table.add_row(row.name, found, str(row.seed), str(row.states), f"{row.seconds:.1f}")
            out.print(table)
        if not all(row.breach for row in fault_reports):
            raise typer.Exit(1)
        return
    started = time.perf_counter()
    results = report.check_seeds(numbers, flips, workers)
    if as_json:
        print(
            json.dumps({"states": dict(results.states), "breaches": dict(results.violations)}, sort_keys=True)
        )
    else:
        table = Table("kind of state", "checked", box=None)
        for kind, count in sorted(results.states.items(), key=lambda item: -item[1]):
            table.add_row(kind, str(count))
        out.print(table)
        out.print(f"{results.state_count} states of {len(numbers)} seeds", end="")
        out.print(f" in {time.perf_counter() - started:.0f} s, {sum(results.violations.values())} violations")
    for description in results.descriptions:
        print(description, file=sys.stderr)
    if results.violations:
        raise typer.Exit(1)


def disk(
    directory: Annotated[Path, typer.Argument(help="the directory to write to; it must not exist")],
    as_json: AsJson = False,
) -> None:
    """Measure the store on a real disk: appends, compared with a raw file; a long log; a large snapshot.

    Example: crowpost lab disk /var/tmp/store-measure
    """
    from crowpost.lab.crash_consistency import benchmark

    rows = benchmark.measure(directory)
    if as_json:
        print(json.dumps(rows, sort_keys=True))
        return
    table = Table("what", "figure", "unit", box=None)
    for row in rows:
        table.add_row(row["what"], f"{row['figure']:,.4g}", row["unit"])
    out.print(table)


def swarm(
    members: Annotated[int, typer.Option(min=2, max=5000)] = 100,
    seconds: Annotated[float, typer.Option(min=60.0, help="simulated duration of each run")] = 450.0,
    seeds: Annotated[int, typer.Option(min=1, help="number of runs, with seeds from 1 on")] = 8,
    loss: Annotated[
        float, typer.Option(min=0.0, max=1.0, help="fraction of the datagrams that is lost")
    ] = 0.1,
    starved: Annotated[
        float,
        typer.Option(min=0.0, max=1.0, help="fraction of the members that are starved of processor time"),
    ] = 0.05,
    kills: Annotated[
        int, typer.Option(min=0, help="number of members killed in each run, one after another")
    ] = 10,
    jobs: Annotated[int, typer.Option(min=0, help="worker processes; 0: one for each core")] = 0,
) -> None:
    """Measure membership in simulated time: detection, false deaths and bytes, as one line of JSON.

    Example: crowpost lab swarm --members 1000 --loss 0.2
    """
    from crowpost.lab.membership.measurement import measure_all

    if kills >= members:
        raise typer.BadParameter(f"{kills} kills need more than {members} members")
    workers = jobs or os.cpu_count() or 1
    results = measure_all(members, seconds, seeds, loss=loss, starved=starved, kills=kills, jobs=workers)
    print(json.dumps(results))
