"""`crowpost lab overhead`: the latency and processor time that a node adds to a call."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

EFFECTS = ("safe", "keyed", "unsafe")


def parse_numbers(
    text: str, option: str, minimum: float, maximum: float, *, whole: bool = False
) -> list[float]:
    """Return the numbers of a comma-separated list.  Raise typer.Exit with code 2 for an invalid one."""
    parsed = []
    for part in text.split(",") if text.strip() else []:
        try:
            value = float(part)
        except ValueError:
            value = -1.0
        if not minimum <= value <= maximum or (whole and value != int(value)):
            kind = "whole number" if whole else "number"
            exit_invalid(f"{option}: {part.strip()!r} is no {kind} from {minimum:g} to {maximum:g}")
        parsed.append(value)
    return parsed


def exit_invalid(text: str) -> None:
    """Print a one-line message and exit with code 2."""
    print(f"crowpost: {text}", file=sys.stderr)
    raise typer.Exit(2)


def overhead(
    servers: Annotated[str, typer.Option(help="servers in each tier, comma-separated")] = "10,100",
    rates: Annotated[
        str, typer.Option(help="calls a second of open loops, comma-separated; '' for none")
    ] = "41,150",
    callers: Annotated[str, typer.Option(help="clients of closed loops, comma-separated; '' for none")] = "4",
    chains: Annotated[str, typer.Option(help="numbers of tiers with a node each, comma-separated")] = "1",
    against: Annotated[str, typer.Option(help="git revisions to compare with, comma-separated")] = "",
    seconds: Annotated[float, typer.Option(help="duration of each arm of each case")] = 20.0,
    effect: Annotated[str, typer.Option(help="effect of the calls: safe, keyed or unsafe")] = "safe",
    seed: Annotated[int, typer.Option(min=0)] = 1,
    profile: Annotated[
        bool, typer.Option("--profile", help="run the nodes under a profiler, which is slower")
    ] = False,
    folder: Annotated[
        Path | None, typer.Option("--out", help="write the record and a page with plots to this folder")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
) -> None:
    """Measure what a node adds to a call, with direct calls and calls through nodes in turn in one run.

    Exit code 1 if any call did not get exactly one successful answer.

    Example: crowpost lab overhead --servers 10 --rates 41 --against HEAD~3
    """
    from crowpost.lab.overhead.platform import Case, RunSettings
    from crowpost.lab.overhead.runner import run_cases
    from crowpost.lab.overhead.versions import OverheadError

    if effect not in EFFECTS:
        exit_invalid(f"--effect: {effect!r} is none of {', '.join(EFFECTS)}")
    if not 1.0 <= seconds <= 600.0:
        exit_invalid(f"--seconds: {seconds:g} is not from 1 to 600")
    sizes = [int(number) for number in parse_numbers(servers, "--servers", 1, 1000, whole=True)]
    depths = [int(number) for number in parse_numbers(chains, "--chains", 1, 25, whole=True)]
    loops = [(rate, 0) for rate in parse_numbers(rates, "--rates", 0.1, 5000)]
    loops += [(0.0, int(number)) for number in parse_numbers(callers, "--callers", 1, 100, whole=True)]
    if not sizes or not depths or not loops:
        exit_invalid("--servers, --chains, and --rates or --callers must name some")
    cases = [Case(size, depth, *loop) for size in sizes for depth in depths for loop in loops]
    revisions = [name.strip() for name in against.split(",") if name.strip()]
    err = console(stderr=True)
    slices: list[list[dict[str, Any]]] = []
    try:
        record = run_cases(
            cases,
            revisions,
            RunSettings(seconds, EFFECTS.index(effect), seed, profile),
            report_progress=err.print,
            on_run=lambda _run, result: slices.append(result["slices"]),
        )
    except OverheadError as error:
        exit_invalid(str(error))
        return
    if folder is not None:
        _write_results(folder, record, slices)
    if as_json:
        print(json.dumps(record))
    else:
        console().print(_table(record["runs"]))
        if profile:
            console().print(_profiles(record["profiles"]))
    if any(run["extra"] or set(run["ends"]) != {"served"} for run in record["runs"]):
        for run in record["runs"]:
            print(f"{run['version']}: ends {run['ends']}, {run['extra']} surplus answers", file=sys.stderr)
        raise typer.Exit(1)


def _table(runs: list[dict[str, Any]]) -> Table:
    from crowpost.lab.overhead.report import HEADS, row

    table = Table(*HEADS, box=None)
    for run in runs:
        table.add_row(*row(run))
    return table


def _profiles(profiles: list[dict[str, Any]]) -> Table:
    table = Table("version", "servers", "chain", "calls", "share", "cause", "function calls a call", box=None)
    for profile in profiles:
        for part in profile["parts"]:
            table.add_row(
                profile["version"],
                str(profile["servers"]),
                str(profile["chain"]),
                str(profile["requests"]),
                f"{part['share']:.1%}",
                part["cause"],
                f"{part['calls_per_request']:g}",
            )
    return table


def _write_results(folder: Path, record: dict[str, Any], slices: list[list[dict[str, Any]]]) -> None:
    from crowpost.lab.overhead.report import page

    try:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "overhead.json").write_text(json.dumps(record, indent=1) + "\n", encoding="utf-8")
        (folder / "overhead.html").write_text(page(record, slices), encoding="utf-8")
    except OSError as error:
        exit_invalid(f"--out: {folder}: {error.strerror}")
