"""`crowpost lab scale`: what duties cost by size and rate, and what troubles set off, measured."""

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
    file: Annotated[str, typer.Option("--target", help="a target file; default: the shipped one")] = "",
    short: Annotated[bool, typer.Option("--short", help="the small form: about five minutes")] = False,
    sizes: Annotated[str, typer.Option(help="members, with commas; default: of the file")] = "",
    duties: Annotated[str, typer.Option(help="idle,membership,changes,configuration,simulated; `none`")] = "",
    troubles: Annotated[str, typer.Option(help="kinds, with commas; `none`; default: of the file")] = "",
    seed: Annotated[int | None, typer.Option(min=0)] = None,
    folder: Annotated[Path | None, typer.Option("--out", help="keep record.json and page.html here")] = None,
    add: Annotated[bool, typer.Option("--add", help="lay the results over the record in --out")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="print the record as JSON")] = False,
) -> None:
    """Hollow processes beside real ones: slopes of the duties with 95% intervals, and troubles over time.

    Examples: crowpost lab scale --short --out kept
    crowpost lab scale --duties membership --sizes 790 --troubles none --out kept --add
    """
    from crowpost.lab.scale import record as records
    from crowpost.lab.scale.page import page
    from crowpost.lab.scale.run import Choice, run_parts
    from crowpost.lab.scale.target import ScaleError, load

    target = load(file or None)
    choice = Choice(short, _sizes(sizes), _names(duties), _names(troubles), seed)
    if add and folder is None:
        raise ScaleError("--add: there is no --out to add to")
    if folder is not None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise ScaleError(f"--out: {error}") from None
        if add and (folder / "record.json").exists():
            records.read(folder / "record.json")  # one that cannot be added to is told of before the run
    err = console(stderr=True)
    columns = (SpinnerColumn(), TextColumn("{task.description}"), TimeElapsedColumn())
    with Progress(*columns, console=err, transient=True) as shown:
        task = shown.add_task("")

        def progress(done: int, of: int, name: str) -> None:
            shown.update(task, description=f"{done}/{of} {name}")

        piece = run_parts(target, choice, shown.console.print, progress)
    before = None
    if folder is not None and add and (folder / "record.json").exists():
        before = records.read(folder / "record.json")
    command = " ".join(["crowpost", *(shlex.quote(word) for word in sys.argv[1:])])
    record = records.build_record(piece, choice.run(target).seed if seed is None else seed, command, before)
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
        found = tuple(int(part) for part in text.split(","))
    except ValueError:
        raise ScaleError(f"--sizes: numbers with commas, not {text!r}") from None
    if not all(2 <= size <= MOST_MEMBERS for size in found):
        raise ScaleError(f"--sizes: from 2 to {MOST_MEMBERS} members, not {text!r}")
    return found


def _names(text: str) -> tuple[str, ...] | None:
    if not text:
        return None
    return () if text == "none" else tuple(part.strip() for part in text.split(","))


def show(record: dict[str, Any]) -> None:
    """The record as tables."""
    from crowpost.lab.scale.page import table

    out = console()
    fits = Table("duty", "measure", "at x = 0", "slope", "for each", "from", "form", box=None)
    for row in table(record):
        fits.add_row(*row)
    out.print(fits)
    for name, duty in record["duties"].items():
        for both in duty["agreement"]:
            if not both["agree"]:
                sides = f"hollow {both['hollow'][0]:.4g}, real {both['real'][0]:.4g}"
                out.print(f"{name} {both['x']:g}: {both['measure']} differs, {sides}")
    if record["troubles"]:
        heads = ("trouble", "members", "hit", "datagrams", "bytes a member", "most B/s", "one view after s")
        found = Table(*heads, "and after its end", "source", box=None)
        for t in record["troubles"]:
            figures = (t["members"], t["victims"], t["messages"], f"{t['bytes_per_member']:.0f}")
            more = (t["most_bytes_per_s"], t["settled_s"], t["settled_after_s"], t["source"])
            found.add_row(t["kind"], *map(str, (*figures, *more)))
        out.print(found)
    for left in record["left_out"]:
        out.print(f"left out: {left['duty']} {left['x']:g} {left['process']}: {left['why']}")
