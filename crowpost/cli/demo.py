"""`crowpost demo`: a short run of servers, discovery and nodes on this machine, in under half a minute."""

from __future__ import annotations

from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

BAR_COLUMNS = 24  # width of the longest bar


def demo(seed: Annotated[int, typer.Option(min=0)] = 1) -> None:
    """Start servers, discovery and nodes on loopback, send traffic, kill a server, and print the results."""
    from crowpost.cli.lab_output import print_result, report_violations
    from crowpost.lab.live.play import play_live
    from crowpost.lab.scenario import load

    out = console()
    scenario = load("demo")
    out.print(f"{scenario.about}.  {scenario.duration_s:g} s of traffic on loopback.\n")
    result = play_live(scenario, seed, lambda text: out.print(f"  {text}"))
    out.print()
    out.print(_requests_by_second(result))
    out.print()
    print_result(scenario, result, scenario.duration_s)
    lines = [line for _, _, line in result["log"] if "ejected" in line or "returns" in line]
    if lines:
        out.print("\nlog lines of the nodes:")
        for line in lines[:8]:
            out.print(f"  {line}")
    out.print("\nNext: `crowpost lab list`, `crowpost lab run burst`, and docs/lab.md.")
    report_violations([result])


def _requests_by_second(result: dict[str, Any]) -> Table:
    """Return a table of the requests per second that each front server received.

    The requests of the killed server fall to none and return after its restart.
    """
    from crowpost.lab.measure import ENDS

    names = result["servers"][0]
    table = Table("second", *names, "served", box=None)
    series = result["series"]
    largest = max((max(second[0]) for second in series["sends"]), default=1) or 1
    for index, second in enumerate(series["sends"][: len(series["served"])]):
        bars = [
            "#" * max(1, round(count / largest * BAR_COLUMNS / 2)) + f" {count}" if count else "-"
            for count in second[0]
        ]
        requests = sum(series[end][index] for end in ENDS)
        table.add_row(str(index + 1), *bars, f"{series['served'][index]} of {requests}")
    return table
