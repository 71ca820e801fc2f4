"""`crowpost state`: show, verify and repair a state directory."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from rich.table import Table

from crowpost.cli.terminal import console

if TYPE_CHECKING:
    from crowpost.node.state.node_state import NodeState
    from crowpost.storage.model import RecoveredState
    from crowpost.storage.verification import FileReport, VerificationReport

app = typer.Typer(
    help="State directories, which keep the state of a process across restarts.", no_args_is_help=True
)
out = console()
Directory = Annotated[Path, typer.Argument(help="a state directory", show_default=False)]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]
MINUTES_FROM_S = 600.0  # ages of at least this are shown in minutes


def _format_age(at_ms: float) -> str:
    seconds = time.time() - at_ms / 1000.0
    if seconds < 0.0:
        return f"{-seconds:.0f} s in the future"
    return f"{seconds:.0f} s" if seconds < MINUTES_FROM_S else f"{seconds / 60.0:.0f} min"


def _require_store(directory: Path) -> None:
    """Exit with a one-line message and code 1 if the directory holds no store; do not change or lock it."""
    from crowpost.storage.disk import Disk
    from crowpost.storage.recovery import find_store_files

    disk = Disk(directory, lock=False)
    try:
        files = find_store_files(disk.names(), disk.read)
    finally:
        disk.close()
    if not files:
        print(f"crowpost: {directory}: there is no store", file=sys.stderr)
        raise typer.Exit(1)


# ---------------------------------------------------------------- show


@app.command()
def show(directory: Directory, as_json: AsJson = False) -> None:
    """Print the state that a node would recover.  Changes nothing, and may be used while the node runs.

    Example: crowpost state show /var/lib/crowpost/n3
    """
    from crowpost.node.state.node_state import read_node_state
    from crowpost.storage.runner import inspect_store

    _require_store(directory)
    recovered = inspect_store(directory)
    state = read_node_state(recovered)
    if as_json:
        print(json.dumps(_state_values(recovered, state), sort_keys=True))
    else:
        _print_state(recovered, state)


def _endpoint_rows(state: NodeState) -> list[dict[str, Any]]:
    return [
        {
            "server": name.decode(errors="replace"),
            "share": round(dated.endpoint.share_ratio, 3),
            "average_ms": dated.endpoint.average_ms,
            "ejected": dated.endpoint.ejected,
            "started_ms": dated.endpoint.started_ms,
            "at_ms": dated.at_ms,
        }
        for name, dated in sorted(state.learned.items(), key=lambda item: item[0])
    ]


def _state_values(recovered: RecoveredState, state: NodeState) -> dict[str, Any]:
    """Return the values that --json prints; the keys are a public interface."""
    return {
        "owner": recovered.owner,
        "format": recovered.format_version,
        "last_record": recovered.last_sequence,
        "snapshot": recovered.snapshot_sequence,
        "evacuated": state.evacuated,
        "incarnation": state.incarnation,
        "list_version": state.generation,
        "listed": len(state.instances),
        "limit_each": state.limit.per_unit,
        "limit_at_ms": state.limit.at_ms,
        "servers": _endpoint_rows(state),
        "notes": recovered.notes,
    }


def _print_state(recovered: RecoveredState, state: NodeState) -> None:
    last = recovered.last_sequence
    out.print(f"state of {recovered.owner}, format {recovered.format_version}, up to record {last}", end="")
    has_snapshot = bool(recovered.snapshots)
    out.print(f" (snapshot of {recovered.snapshot_sequence})" if has_snapshot else " (no snapshot)")
    out.print(f"drain        {'emptied by staff until rejoin' if state.evacuated else 'serving'}")
    out.print(f"list         version {state.generation}, {len(state.instances)} servers")
    age = f", {_format_age(state.limit.at_ms)} ago" if state.limit.at_ms else ""
    out.print(f"limit        {state.limit.per_unit:.2f} calls for each unit of capacity{age}")
    out.print(f"incarnation  {state.incarnation}")
    for note in recovered.notes:
        out.print(f"note         {note}")
    rows = _endpoint_rows(state)
    if not rows:
        return
    table = Table("server", "share of the mean", "average ms", "ejected", "age", box=None)
    for row in rows:
        average = "-" if row["average_ms"] is None else f"{row['average_ms']:.1f}"
        ejected = "yes" if row["ejected"] else ""
        table.add_row(row["server"], f"{row['share']:.2f}", average, ejected, _format_age(row["at_ms"]))
    out.print(table)


# ---------------------------------------------------------------- verify


@app.command()
def verify(directory: Directory, as_json: AsJson = False) -> None:
    """Verify every file; exit code 1 if there is no store, recovery rejects it, or there are notes.

    Example: crowpost state verify /var/lib/crowpost/n3
    """
    from crowpost.storage.disk import Disk
    from crowpost.storage.verification import verify as verify_files

    _require_store(directory)
    disk = Disk(directory, lock=False)
    try:
        report = verify_files(disk.names(), disk.read)
    finally:
        disk.close()
    if as_json:
        values = {
            "files": [_file_values(file) for file in report.files],
            "refused": report.recovery_error,
            "notes": report.notes,
        }
        print(json.dumps(values, sort_keys=True))
    else:
        _print_report(directory, report)
    if report.recovery_error or report.notes:
        raise typer.Exit(1)


def _file_values(file: FileReport) -> dict[str, Any]:
    """Return the values that --json prints for a file; the keys are a public interface."""
    return {
        "name": file.name,
        "bytes": file.bytes,
        "first": file.first_sequence,
        "last": file.last_sequence,
        "sealed": file.sealed,
        "damage": file.damage,
        "at": file.damage_offset if file.damage else None,
    }


def _print_report(directory: Path, report: VerificationReport) -> None:
    table = Table("file", "bytes", "records", "end", "", box=None)
    for file in report.files:
        has_several_records = file.last_sequence > file.first_sequence
        records = (
            f"{file.first_sequence} to {file.last_sequence}"
            if has_several_records
            else str(file.first_sequence)
        )
        end = "sealed" if file.sealed else "open"
        damage = f"{file.damage} at byte {file.damage_offset}" if file.damage else "intact"
        table.add_row(file.name, str(file.bytes), records, end, damage)
    out.print(table)
    for note in report.notes:
        out.print(f"note: {note}")
    if report.recovery_error:
        out.print(f"rejected: {report.recovery_error}")
        out.print(f"`crowpost state repair {directory}` copies the directory and lists what cannot be saved")
    elif not report.notes:
        out.print("intact")


# ---------------------------------------------------------------- repair


@app.command()
def repair(
    directory: Directory,
    to: Annotated[
        Path | None, typer.Option(help="path of the copy; default: the name of the directory with the time")
    ] = None,
    owner: Annotated[str, typer.Option(help="owner of the directory, if its store file cannot be read")] = "",
    as_json: AsJson = False,
) -> None:
    """Copy the directory, write a repaired one beside the copy, and print what the repair drops.

    The directory itself is not changed: to use the repaired one, move it to the place of the original.

    Example: crowpost state repair /var/lib/crowpost/n3
    """
    from crowpost.storage.repair import copy_and_repair, repaired_path

    _require_store(directory)
    stamp = time.strftime("%Y%m%d-%H%M%S")
    copy = to or directory.with_name(f"{directory.name}-copy-{stamp}")
    saved = copy_and_repair(directory, copy, owner)
    repaired = repaired_path(copy)
    if as_json:
        values = {
            "copy": str(copy),
            "repaired": str(repaired),
            "snapshot": saved.snapshot_sequence,
            "last": saved.last_sequence,
            "dropped": saved.dropped,
        }
        print(json.dumps(values, sort_keys=True))
        return
    out.print(f"copied unchanged to {copy}")
    for line in saved.dropped or ["nothing"]:
        out.print(f"dropped: {line}")
    start = f"the snapshot of {saved.snapshot_sequence} and " if saved.snapshot_sequence else ""
    out.print(f"{repaired} holds {start}records up to {saved.last_sequence}; to use it:")
    out.print(f"    mv {directory} {directory}.bad && mv {repaired} {directory}")
