"""`crowpost lab overhead`: what a node adds to a call."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer
from rich.table import Table

from fawngw.cli.terminal import console

EFFECTS = ("safe", "keyed", "unsafe")


def numbers(text: str, what: str, least: float, most: float) -> list[float]:
    """Numbers with commas between; typer.Exit with code 2 and one line for anything else."""
    found = []
    for part in text.split(",") if text.strip() else []:
        try:
            value = float(part)
        except ValueError:
            value = -1.0
        if not least <= value <= most:
            unusable(f"{what}: {part.strip()!r} is no number from {least:g} to {most:g}")
        found.append(value)
    return found


def unusable(text: str) -> None:
    """End with one plain line and exit code 2."""
    print(f"crowpost: {text}", file=sys.stderr)
    raise typer.Exit(2)


def overhead(
    servers: Annotated[str, typer.Option(help="servers in each tier, with commas")] = "10,100",
    rates: Annotated[
        str, typer.Option(help="calls a second of open loops, with commas; '' for none")
    ] = "41,150",
    callers: Annotated[str, typer.Option(help="callers of closed loops, with commas; '' for none")] = "4",
    chains: Annotated[str, typer.Option(help="how many tiers with a node each, with commas")] = "1",
    against: Annotated[str, typer.Option(help="git revisions to play in turn, with commas")] = "",
    seconds: Annotated[float, typer.Option(min=1.0, max=600.0, help="of each arm of each case")] = 20.0,
    effect: Annotated[str, typer.Option(help="of the calls: safe, keyed or unsafe")] = "safe",
    seed: Annotated[int, typer.Option(min=0)] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
) -> None:
    """What a node adds to a call: direct calls and calls through nodes, in turn within one run.

    Example: crowpost lab overhead --servers 10 --rates 41 --against HEAD~3
    """
    from fawngw.lab.overhead.play import Case, OverheadError, play

    if effect not in EFFECTS:
        unusable(f"--effect: {effect!r} is none of {', '.join(EFFECTS)}")
    sizes = [int(n) for n in numbers(servers, "--servers", 1, 1000)]
    depths = [int(n) for n in numbers(chains, "--chains", 1, 25)]
    loops = [(rate, 0) for rate in numbers(rates, "--rates", 0.1, 5000)]
    loops += [(0.0, int(n)) for n in numbers(callers, "--callers", 1, 100)]
    if not sizes or not depths or not loops:
        unusable("--servers, --chains, and --rates or --callers must name something")
    cases = [Case(size, depth, *loop) for size in sizes for depth in depths for loop in loops]
    revisions = [name.strip() for name in against.split(",") if name.strip()]
    err = console(stderr=True)
    try:
        record = play(cases, revisions, seconds=seconds, kind=EFFECTS.index(effect), seed=seed, say=err.print)
    except OverheadError as error:
        unusable(str(error))
        return
    if as_json:
        print(json.dumps(record))
    else:
        console().print(_table(record["runs"]))
    if any(run["extra"] or set(run["ends"]) != {"served"} for run in record["runs"]):
        for run in record["runs"]:
            print(f"{run['version']}: ends {run['ends']}, {run['extra']} answers too many", file=sys.stderr)
        raise typer.Exit(1)


def _table(runs: list[dict[str, Any]]) -> Table:
    heads = ("version", "servers", "chain", "loop", "requests", "direct p50", "p99", "through p50", "p99")
    more = ("added p50", "p90", "p99", "95%", "p99.9 ms", "machine p50", "p99", "core us", "calls/s")
    table = Table(*heads, *more, box=None)

    def ms(value: float | None) -> str:
        return "-" if value is None else f"{value:.2f}"

    for run in runs:
        span = run["added_95"]["p99_ms"]
        table.add_row(
            run["version"],
            str(run["servers"]),
            str(run["chain"]),
            f"{run['rate']:g}/s" if run["rate"] else f"{run['callers']} callers",
            str(run["requests"]),
            ms(run["direct"]["p50_ms"]),
            ms(run["direct"]["p99_ms"]),
            ms(run["through"]["p50_ms"]),
            ms(run["through"]["p99_ms"]),
            *(ms(run["added"][name]) for name in ("p50_ms", "p90_ms", "p99_ms")),
            "-" if span is None else f"[{span[0]:.2f}, {span[1]:.2f}]",
            ms(run["added"]["p999_ms"]),
            ms(run["machine_moves"]["p50_ms"]),
            ms(run["machine_moves"]["p99_ms"]),
            "-" if run["core_us_per_request"] is None else f"{run['core_us_per_request']:.0f}",
            f"{run['requests_per_s']:.0f}",
        )
    return table
