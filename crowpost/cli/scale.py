"""`crowpost lab scale`: measured costs of duties by size and rate, and the effects of faults."""

from __future__ import annotations

import json
import shlex
import sys
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

from crowpost.cli.terminal import console


def scale(
    file: Annotated[
        str, typer.Option("--target", help="a target file; default: the one in the package")
    ] = "",
    short: Annotated[bool, typer.Option("--short", help="a short run of about five minutes")] = False,
    sizes: Annotated[
        str, typer.Option(help="numbers of members, comma-separated; default: those of the target file")
    ] = "",
    duties: Annotated[
        str, typer.Option(help="some of idle,membership,changes,configuration,simulated, or `none`")
    ] = "",
    troubles: Annotated[
        str,
        typer.Option(help="kinds of faults, comma-separated, or `none`; default: those of the target file"),
    ] = "",
    seed: Annotated[int | None, typer.Option(min=0)] = None,
    folder: Annotated[
        Path | None, typer.Option("--out", help="write record.json and page.html to this folder")
    ] = None,
    add: Annotated[bool, typer.Option("--add", help="merge the results into the record in --out")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="print the record as JSON")] = False,
) -> None:
    """Measure the costs of duties with 95% intervals, and the effects of faults over time.

    Simulated nodes run together with real ones.

    Examples: crowpost lab scale --short --out results
    crowpost lab scale --duties membership --sizes 790 --troubles none --out results --add
    """
    from crowpost.lab.scale import record as records
    from crowpost.lab.scale.page import page
    from crowpost.lab.scale.run import Choice, run_parts
    from crowpost.lab.scale.target import ScaleError, load

    target = load(file or None)
    choice = Choice(short, _sizes(sizes), _names(duties), _names(troubles), seed)
    if add and folder is None:
        raise ScaleError("--add requires --out")
    if folder is not None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ScaleError(f"--out: {error}") from None
        if add and (folder / "record.json").exists():
            # Raises an error before the run if the results cannot be added to this record.
            records.read(folder / "record.json")
    err = console(stderr=True)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=err, transient=True) as display:
        task = display.add_task("")

        def progress(done: int, of: int, name: str) -> None:
            display.update(task, description=f"{done}/{of} {name}")

        results = run_parts(target, choice, display.console.print, progress)
    previous_record = None
    if folder is not None and add and (folder / "record.json").exists():
        previous_record = records.read(folder / "record.json")
    command = " ".join(["crowpost", *(shlex.quote(word) for word in sys.argv[1:])])
    record = records.build_record(
        results, choice.run(target).seed if seed is None else seed, command, previous_record
    )
    if folder is not None:
        records.write(folder / "record.json", record)
        (folder / "page.html").write_text(page(record), encoding="utf-8")
    if as_json:
        print(json.dumps(record, sort_keys=True))
    else:
        show(record)


def _sizes(text: str) -> tuple[int, ...] | None:
    from crowpost.lab.scale.target import MOST_MEMBERS, ScaleError

    if not text:
        return None
    try:
        sizes = tuple(int(part) for part in text.split(","))
    except ValueError:
        raise ScaleError(f"--sizes: not comma-separated numbers: {text!r}") from None
    if not all(2 <= size <= MOST_MEMBERS for size in sizes):
        raise ScaleError(f"--sizes: from 2 to {MOST_MEMBERS} members, not {text!r}")
    return sizes


def _names(text: str) -> tuple[str, ...] | None:
    if not text:
        return None
    return () if text == "none" else tuple(part.strip() for part in text.split(","))


def show(record: dict[str, Any]) -> None:
    """Print a record as tables."""
    from crowpost.lab.scale.page import table

    out = console()
    fits = Table("duty", "measure", "at x = 0", "slope", "for each", "from", "form", box=None)
    for row in table(record):
        fits.add_row(*row)
    out.print(fits)
    for name, duty in record["duties"].items():
        for comparison in duty["agreement"]:
            if not comparison["agree"]:
                values = f"simulated {comparison['hollow'][0]:.4g}, real {comparison['real'][0]:.4g}"
                out.print(f"{name} {comparison['x']:g}: {comparison['measure']} differs, {values}")
    if record["troubles"]:
        columns = (
            "fault",
            "members",
            "hit",
            "datagrams",
            "bytes a member",
            "max. B/s",
            "views agree after s",
        )
        faults = Table(*columns, "s after its end", "source", box=None)
        for fault in record["troubles"]:
            figures = (
                fault["members"],
                fault["victims"],
                fault["messages"],
                f"{fault['bytes_per_member']:.0f}",
            )
            more_figures = (
                fault["most_bytes_per_s"],
                fault["settled_s"],
                fault["settled_after_s"],
                fault["source"],
            )
            faults.add_row(fault["kind"], *map(str, (*figures, *more_figures)))
        out.print(faults)
    for omitted in record["left_out"]:
        out.print(f"left out: {omitted['duty']} {omitted['x']:g} {omitted['process']}: {omitted['why']}")
