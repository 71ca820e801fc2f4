"""What several commands of `crowpost lab` share: options, run folders, and how results are printed."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from crowpost.cli.terminal import console
from crowpost.lab.runs import Folder
from crowpost.lab.scenario import Scenario

out = console()
Which = Annotated[str, typer.Argument(help="a shipped scenario by name, or a TOML file", show_default=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
OutFolder = Annotated[Path | None, typer.Option("--out", help="keep results in this run folder")]


def run_folder(folder: Path | None, scenario: Scenario) -> Folder | None:
    """Return the run folder that results go to, if one is named."""
    if folder is None:
        return None
    kept = Folder(folder)
    kept.begin(scenario)
    return kept


def show(scenario: Scenario, result: dict[str, Any], took: float) -> None:
    """Print the result of a run as a table; took: the seconds that it was played for."""
    parts, prices = result["parts"], result["prices"]
    out.print(
        f"[bold]{scenario.name}[/bold]  seed {result['seed']}  {result['policy']}  played in {took:.1f} s"
    )
    out.print(f"G {result['goal']:.3f}   served {result['served']:.3f}", end="")
    out.print(f"   worst 10 s {parts['worst_window']:.3f} (from {parts['worst_window_from_s']} s)", end="")
    out.print(f"   worst class {parts['worst_class']:.3f}   worst tenant {parts['worst_tenant']:.3f}")
    out.print("prices   " + "   ".join(f"{name} {price:.4f}" for name, price in prices.items()))
    out.print("requests " + "   ".join(f"{end} {count}" for end, count in result["ends"].items()))
    out.print("latency  " + "   ".join(f"{name} {ms:.0f} ms" for name, ms in result["latency_ms"].items()))
    out.print(
        f"calls {result['calls']}   attempts {result['attempts']} ({result['attempts_each']:.2f} a call, "
        f"{result['copies']} second copies)   handshakes {result['handshakes']}   "
        f"probes {result['probes']}   servers slow from crowding {result['crowded_s']:.0f} s"
    )


def stories(results: list[dict[str, Any]]) -> None:
    """Broken rules, whole; exit code 1 if there are any."""
    broken = [r for r in results if r["breaches"]]
    for result in broken:
        print(
            f"{result['policy']}, seed {result['seed']}: {result['breaches']} broken rules", file=sys.stderr
        )
        for story in result["stories"]:
            print("\n".join(story), file=sys.stderr)
    if broken:
        raise typer.Exit(1)
