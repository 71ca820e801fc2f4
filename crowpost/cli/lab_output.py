"""Shared parts of the `crowpost lab` commands: options, run folders, and the output of results."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from crowpost.cli.terminal import console
from crowpost.lab.runs import Folder
from crowpost.lab.scenario import Scenario

out = console()
ScenarioArgument = Annotated[
    str, typer.Argument(help="name of a scenario in the package, or a TOML file", show_default=False)
]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
OutFolder = Annotated[Path | None, typer.Option("--out", help="write the results to this run folder")]


def open_run_folder(folder: Path | None, scenario: Scenario) -> Folder | None:
    """Return the run folder for the results, prepared for a scenario; None if none is given."""
    if folder is None:
        return None
    run_folder = Folder(folder)
    run_folder.begin(scenario)
    return run_folder


def print_result(scenario: Scenario, result: dict[str, Any], elapsed_s: float) -> None:
    """Print the result of a run for people.  elapsed_s: how long the run took."""
    parts, prices = result["parts"], result["prices"]
    out.print(
        f"[bold]{scenario.name}[/bold]  seed {result['seed']}  {result['policy']}  run in {elapsed_s:.1f} s"
    )
    out.print(f"G {result['goal']:.3f}   served {result['served']:.3f}", end="")
    out.print(f"   worst 10 s {parts['worst_window']:.3f} (from {parts['worst_window_from_s']} s)", end="")
    out.print(f"   worst class {parts['worst_class']:.3f}   worst tenant {parts['worst_tenant']:.3f}")
    out.print("prices   " + "   ".join(f"{name} {price:.4f}" for name, price in prices.items()))
    out.print("requests " + "   ".join(f"{end} {count}" for end, count in result["ends"].items()))
    out.print("latency  " + "   ".join(f"{name} {ms:.0f} ms" for name, ms in result["latency_ms"].items()))
    out.print(
        f"calls {result['calls']}   attempts {result['attempts']} ({result['attempts_each']:.2f} a call, "
        f"{result['copies']} hedged)   handshakes {result['handshakes']}   "
        f"probes {result['probes']}   servers slowed by overload {result['crowded_s']:.0f} s"
    )


def report_violations(results: list[dict[str, Any]]) -> None:
    """Print the events that led to each rule violation; exit with code 1 if there are any."""
    failed = [result for result in results if result["breaches"]]
    for result in failed:
        print(
            f"{result['policy']}, seed {result['seed']}: {result['breaches']} rule violations",
            file=sys.stderr,
        )
        for story in result["stories"]:
            print("\n".join(story), file=sys.stderr)
    if failed:
        raise typer.Exit(1)
