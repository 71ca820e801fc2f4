"""`crowpost lab capacity`: the capacity page for the planned size, rendered from committed records."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer


def capacity(
    docs: Annotated[
        Path,
        typer.Option(
            help="the folder of the page; its subfolder capacity/ holds the records and assumptions"
        ),
    ] = Path("docs"),
    target: Annotated[str, typer.Option(help="a target file; default: the one in the package")] = "",
    write: Annotated[bool, typer.Option("--write", help="write the page")] = False,
    check: Annotated[
        bool,
        typer.Option(
            "--check", help="print the differences between page and records; exit code 1 if there are any"
        ),
    ] = False,
) -> None:
    """Print, write or check the page of what the planned size needs for each role, from committed records.

    Example: crowpost lab capacity --check
    """
    from crowpost.lab.capacity import page, records
    from crowpost.lab.scale.target import load

    if write and check:
        raise typer.BadParameter("--write and --check cannot be combined")
    parsed_target = load(target or None)
    if write:
        print(page.write(docs, parsed_target))
        return
    if check:
        differences = page.check(docs, parsed_target)
        for line in differences:
            print(line, file=sys.stderr)
        if differences:
            raise typer.Exit(1)
        return
    print(page.render(parsed_target, records.read(docs / page.FOLDER))[0], end="")
