"""`crowpost state`: what a state directory holds, whether it is whole, and a copy that can be opened."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

app = typer.Typer(help="State directories: what a process keeps for the next one.", no_args_is_help=True)
out = console()
Directory = Annotated[Path, typer.Argument(help="a state directory", show_default=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]


def _ago(at_ms: float) -> str:
    seconds = time.time() - at_ms / 1000.0
    if seconds < 0.0:
        return f"{-seconds:.0f} s in the future"
    return f"{seconds:.0f} s" if seconds < 600.0 else f"{seconds / 60.0:.0f} min"


def _require_store(directory: Path) -> None:
    """End in one line, with exit code 1, where nothing of a store is; changes nothing, not even by a lock."""
    from crowpost.store.disk import Disk
    from crowpost.store.recover import store_files

    disk = Disk(directory, lock=False)
    try:
        held = store_files(disk.names(), disk.read)
    finally:
        disk.close()
    if not held:
        print(f"crowpost: {directory}: there is no store", file=sys.stderr)
        raise typer.Exit(1)


@app.command()
def show(directory: Directory, as_json: AsJson = False) -> None:
    """What a node would find there.  Changes nothing, and may be asked while the node runs.

    Example: crowpost state show /var/lib/crowpost/n3
    """
    from crowpost.node.kept import read
    from crowpost.store.carrier import look

    _require_store(directory)
    found = look(directory)
    kept = read(found)
    servers: list[dict[str, Any]] = [
        {
            "server": name.decode(errors="replace"),
            "share": round(memory.share_ratio, 3),
            "average_ms": memory.average_ms,
            "ejected": memory.ejected,
            "started_ms": memory.started_ms,
            "at_ms": at,
        }
        for name, (at, memory) in sorted(kept.servers.items())
    ]
    told: dict[str, Any] = {
        "owner": found.owner,
        "format": found.format,
        "last_record": found.next_sequence - 1,
        "snapshot": found.snapshot_sequence,
        "evacuated": kept.evacuated,
        "incarnation": kept.incarnation,
        "list_version": kept.generation,
        "listed": len(kept.instances),
        "limit_each": kept.limit.each,
        "limit_at_ms": kept.limit.at,
        "servers": servers,
        "notes": found.notes,
    }
    if as_json:
        print(json.dumps(told, sort_keys=True))
        return
    out.print(
        f"state of {found.owner}, format {found.format}, up to record {found.next_sequence - 1}", end=""
    )
    out.print(f" (snapshot of {found.snapshot_sequence})" if found.snapshots else " (no snapshot)")
    out.print(f"drain        {'emptied by staff until rejoin' if kept.evacuated else 'serving'}")
    out.print(f"list         version {kept.generation}, {len(kept.instances)} servers")
    age = f", {_ago(kept.limit.at)} ago" if kept.limit.at else ""
    out.print(f"limit        {kept.limit.each:.2f} calls for each unit of capacity{age}")
    out.print(f"incarnation  {kept.incarnation}")
    for note in found.notes:
        out.print(f"note         {note}")
    if servers:
        table = Table("server", "share of the mean", "average ms", "ejected", "known for", box=None)
        for row in servers:
            average = "-" if row["average_ms"] is None else f"{row['average_ms']:.1f}"
            ejected = "yes" if row["ejected"] else ""
            table.add_row(row["server"], f"{row['share']:.2f}", average, ejected, _ago(row["at_ms"]))
        out.print(table)


@app.command()
def verify(directory: Directory, as_json: AsJson = False) -> None:
    """Read every byte; exit code 1 if it holds no store, or one that a starting process would refuse
    or find anything amiss in.

    Example: crowpost state verify /var/lib/crowpost/n3
    """
    from crowpost.store.disk import Disk
    from crowpost.store.repair import verify as read_all

    _require_store(directory)
    disk = Disk(directory, lock=False)
    try:
        told = read_all(disk.names(), disk.read)
    finally:
        disk.close()
    notes = told.found.notes if told.found is not None else []
    if as_json:
        rows = [
            {"name": f.name, "bytes": f.bytes, "first": f.first, "last": f.last, "sealed": f.sealed}
            | {"damage": f.damage, "at": f.at if f.damage else None}
            for f in told.files
        ]
        print(json.dumps({"files": rows, "refused": told.refused, "notes": notes}, sort_keys=True))
    else:
        table = Table("file", "bytes", "records", "end", "", box=None)
        for f in told.files:
            records = f"{f.first} to {f.last}" if f.last > f.first else str(f.first)
            end = "sealed" if f.sealed else "open"
            table.add_row(
                f.name, str(f.bytes), records, end, f"{f.damage} at byte {f.at}" if f.damage else "whole"
            )
        out.print(table)
        for note in notes:
            out.print(f"note: {note}")
        if told.refused:
            out.print(f"refused: {told.refused}")
            out.print(f"`crowpost state repair {directory}` lists what can be saved, and copies first")
        elif not notes:
            out.print("whole")
    if told.refused or notes:
        raise typer.Exit(1)


@app.command()
def repair(
    directory: Directory,
    to: Annotated[
        Path | None, typer.Option(help="the copy; default: the directory's name and the time")
    ] = None,
    owner: Annotated[str, typer.Option(help="whose it is, where its own file cannot be read")] = "",
    as_json: AsJson = False,
) -> None:
    """Copy the directory, and write what can be saved of it beside the copy; lists what that leaves out.

    The directory itself stays as it is: move it away and the repaired one to its place when you agree.

    Example: crowpost state repair /var/lib/crowpost/n3
    """
    from crowpost.store.repair import copy_and_repair

    _require_store(directory)
    stamp = time.strftime("%Y%m%d-%H%M%S")
    copy = to or directory.with_name(f"{directory.name}-copy-{stamp}")
    saved = copy_and_repair(directory, copy, owner)
    repaired = copy.with_name(f"{copy.name}-repaired")
    if as_json:
        told = {"copy": str(copy), "repaired": str(repaired), "snapshot": saved.base, "last": saved.last}
        print(json.dumps({**told, "dropped": saved.dropped}, sort_keys=True))
        return
    out.print(f"copied as it was to {copy}")
    for line in saved.dropped:
        out.print(f"dropped: {line}")
    if not saved.dropped:
        out.print("dropped: nothing")
    start = f"the snapshot of {saved.base} and " if saved.base else ""
    out.print(f"{repaired} holds {start}records up to {saved.last}; to use it:")
    out.print(f"    mv {directory} {directory}.bad && mv {repaired} {directory}")
