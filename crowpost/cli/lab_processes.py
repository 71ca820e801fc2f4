"""`crowpost lab live` and `storm`: runs of real processes on loopback sockets."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from crowpost.cli.lab_output import (
    AsJson,
    OutFolder,
    ScenarioArgument,
    open_run_folder,
    out,
    print_result,
    report_violations,
)
from crowpost.cli.terminal import console
from crowpost.lab.runs import RunFolderError
from crowpost.lab.scenario import load


def live(
    scenario: ScenarioArgument,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: OutFolder = None,
    state: Annotated[bool, typer.Option("--state", help="give each front node a state directory")] = False,
    as_json: AsJson = False,
) -> None:
    """Run a scenario with real node processes on loopback sockets; exit code 1 if a rule was violated."""
    from crowpost.lab.live.play import play_live

    loaded = load(scenario)
    run_folder = open_run_folder(folder, loaded)
    started = time.perf_counter()
    err = console(stderr=True)
    result = play_live(loaded, seed, err.print, state=state)
    if run_folder is not None:
        run_folder.add(result)
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        print_result(loaded, result, time.perf_counter() - started)
        late = result["generator_late_ms"]
        out.print(
            f"delay of sent requests {late['p50']:.1f} ms (median), {late['p99']:.1f} (99%), "
            f"{late['most']:.1f} at most   largest node {result['node_memory_mb']:.1f} MB"
        )
    report_violations([result])


def storm(
    name: Annotated[
        str,
        typer.Argument(
            help="name of a fault-injection run in the package, or a TOML file; `list` lists them"
        ),
    ],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: Annotated[
        Path | None, typer.Option("--out", help="write the history and all files to this folder")
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Run real processes with injected faults between them; exit code 1 if a check of the history fails.

    Example: crowpost lab storm small --seed 3 --out results
    """
    from crowpost.lab.rig import plan
    from crowpost.lab.rig.fault_injection import play
    from crowpost.lab.rig.processes import ProcessError

    if name == "list":
        table = Table("name", "processes", "seconds", "about", box=None)
        for fault_run in (plan.load(known) for known in plan.shipped()):
            table.add_row(
                fault_run.name, str(fault_run.processes), f"{fault_run.duration_s:g}", fault_run.about
            )
        out.print(table)
        return
    err = console(stderr=True)
    try:
        result = play(plan.load(name), seed, folder, err.print)
    except (ProcessError, OSError) as error:
        raise RunFolderError(f"{name}: {error}") from None
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        out.print(
            f"[bold]{result['storm']}[/bold]  seed {seed}  {result['processes']} processes  "
            f"{result['changes']} changes of state   views agree {result['settled_s']} s after the last fault"
        )
        out.print(
            f"deaths {result['deaths']}   first held after {result['first_p50_s']} s (median), "
            f"{result['first_p99_s']} (99%)   "
            f"known to all after {result['everywhere_p50_s']}, {result['everywhere_p99_s']}"
        )
        dropped = {
            counter: count
            for counter, count in sorted(result["counts"].items())
            if counter.startswith("dropped_")
        }
        out.print(
            "dropped  "
            + "   ".join(f"{counter.removeprefix('dropped_')} {count}" for counter, count in dropped.items())
        )
    for breach in result["breaches"]:
        print(breach, file=sys.stderr)
    if result["breaches"]:
        raise typer.Exit(1)
