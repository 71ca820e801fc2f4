"""`crowpost lab live` and `storm`: real node processes on loopback sockets."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from crowpost.cli.lab_output import AsJson, OutFolder, Which, out, run_folder, show, stories
from crowpost.cli.terminal import console
from crowpost.lab.runs import RunFolderError
from crowpost.lab.scenario import load


def live(
    scenario: Which,
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: OutFolder = None,
    state: Annotated[bool, typer.Option("--state", help="front nodes keep a state directory each")] = False,
    as_json: AsJson = False,
) -> None:
    """Play a scenario on loopback sockets around real node processes; exit code 1 if a rule was broken."""
    from crowpost.lab.live.play import play_live

    played = load(scenario)
    kept = run_folder(folder, played)
    began = time.perf_counter()
    err = console(stderr=True)
    result = play_live(played, seed, err.print, state=state)
    if kept is not None:
        kept.add(result)
    if as_json:
        print(json.dumps(result, sort_keys=True))
    else:
        show(played, result, time.perf_counter() - began)
        late = result["generator_late_ms"]
        out.print(
            f"requests left late by {late['p50']:.1f} ms (median), {late['p99']:.1f} (99%), "
            f"{late['most']:.1f} at most   largest node {result['node_memory_mb']:.1f} MB"
        )
    stories([result])


def storm(
    name: Annotated[str, typer.Argument(help="a shipped storm by name, or a TOML file; `list` lists them")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    folder: Annotated[Path | None, typer.Option("--out", help="keep the history and all files here")] = None,
    as_json: AsJson = False,
) -> None:
    """Real processes with faults between them; exit code 1 if a check of the history fails.

    Example: crowpost lab storm small --seed 3 --out kept
    """
    from crowpost.lab.rig import plan
    from crowpost.lab.rig.fault_injection import play
    from crowpost.lab.rig.processes import ProcessError

    if name == "list":
        table = Table("name", "processes", "seconds", "about", box=None)
        for found in (plan.load(known) for known in plan.shipped()):
            table.add_row(found.name, str(found.processes), f"{found.duration_s:g}", found.about)
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
            f"{result['changes']} changes of state   one view {result['settled_s']} s after the last trouble"
        )
        out.print(
            f"deaths {result['deaths']}   first held after {result['first_p50_s']} s (median), "
            f"{result['first_p99_s']} (99%)   "
            f"by all after {result['everywhere_p50_s']}, {result['everywhere_p99_s']}"
        )
        dropped = {k: n for k, n in sorted(result["counts"].items()) if k.startswith("dropped_")}
        out.print("dropped  " + "   ".join(f"{k.removeprefix('dropped_')} {n}" for k, n in dropped.items()))
    for breach in result["breaches"]:
        print(breach, file=sys.stderr)
    if result["breaches"]:
        raise typer.Exit(1)
