"""`crowpost demo`: the main job on this machine, in under half a minute, ending by itself."""

from __future__ import annotations

from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

BAR = 24  # columns of the longest bar


def demo(seed: Annotated[int, typer.Option(min=0)] = 1) -> None:
    """Start servers, discovery and nodes on loopback, send traffic, kill a server, show what nodes did."""
    from crowpost.cli.lab_output import show, stories
    from crowpost.lab.live.play import play_live
    from crowpost.lab.scenario import load

    out = console()
    scenario = load("demo")
    out.print(f"{scenario.about}.  {scenario.duration_s:g} s of traffic on loopback.\n")
    result = play_live(scenario, seed, lambda text: out.print(f"  {text}"))
    out.print()
    out.print(_by_second(result))
    out.print()
    show(scenario, result, scenario.duration_s)
    lines = [line for _, _, line in result["log"] if "ejected" in line or "returns" in line]
    if lines:
        out.print("\nwhat the nodes said of it:")
        for line in lines[:8]:
            out.print(f"  {line}")
    out.print("\nNext: `crowpost lab list`, `crowpost lab run burst`, and docs/lab.md.")
    stories([result])


def _by_second(result: dict[str, Any]) -> Table:
    """Requests that each front server received, by second; the killed one falls to nothing and comes back."""
    from crowpost.lab.measure import ENDS

    names = result["servers"][0]
    table = Table("second", *names, "served", box=None)
    series = result["series"]
    most = max((max(second[0]) for second in series["sends"]), default=1) or 1
    for i, second in enumerate(series["sends"][: len(series["served"])]):
        bars = ["#" * max(1, round(n / most * BAR / 2)) + f" {n}" if n else "-" for n in second[0]]
        asked = sum(series[end][i] for end in ENDS)
        table.add_row(str(i + 1), *bars, f"{series['served'][i]} of {asked}")
    return table
