"""`crowpost lab capacity`: the page of the size that is coming, from its records."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer


def capacity(
    docs: Annotated[
        Path, typer.Option(help="the folder of the page; its records and assumptions are in capacity/")
    ] = Path("docs"),
    target: Annotated[str, typer.Option(help="a target file; default: the one shipped")] = "",
    write: Annotated[bool, typer.Option("--write", help="write the page")] = False,
    check: Annotated[
        bool, typer.Option("--check", help="say where page and records part; exit code 1 if they do")
    ] = False,
) -> None:
    """What the coming size needs of each role, from committed records: printed, written or checked.

    Example: crowpost lab capacity --check
    """
    from crowpost.lab.capacity import page, records
    from crowpost.lab.scale.target import load

    if write and check:
        raise typer.BadParameter("--write and --check: one of them")
    wanted = load(target or None)
    if write:
        print(page.write(docs, wanted))
        return
    if check:
        found = page.check(docs, wanted)
        for line in found:
            print(line, file=sys.stderr)
        if found:
            raise typer.Exit(1)
        return
    print(page.render(wanted, records.read(docs / page.FOLDER))[0], end="")
