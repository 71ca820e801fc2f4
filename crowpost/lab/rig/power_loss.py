"""Simulates what a power loss leaves of unsynced writes: more than was synced, never less."""

from __future__ import annotations

from pathlib import Path
from random import Random

from crowpost.storage.file_format import (
    TEMPORARY_SUFFIX,
    FileKind,
    log_file_name,
    parse_file_name,
    snapshot_file_name,
)

MAX_WRITE_BYTES = 3_000  # size of an unfinished write


def leave_unsynced_writes(directory: Path, rng: Random) -> str:
    """Add traces of unfinished writes to the state directory of an ended process; return what was added."""
    logs = sorted(
        (parsed.sequence, path)
        for path in directory.iterdir()
        if (parsed := parse_file_name(path.name)) is not None and parsed.kind is FileKind.LOG
    )
    if not logs:
        return "nothing, as there was no log"
    first_sequence, last_log = logs[-1]
    match rng.randrange(5):
        case 0:
            data, added = bytes(rng.randrange(1, MAX_WRITE_BYTES)), "zeros at the end of the log"
        case 1:
            data, added = (
                rng.randbytes(rng.randrange(1, MAX_WRITE_BYTES)),
                "random bytes at the end of the log",
            )
        case 2:
            content = last_log.read_bytes()
            start = rng.randrange(len(content))
            data, added = (
                content[start : start + rng.randrange(1, MAX_WRITE_BYTES)],
                "a repeated part of the log",
            )
        case 3:
            (directory / (snapshot_file_name(first_sequence) + TEMPORARY_SUFFIX)).write_bytes(
                rng.randbytes(rng.randrange(MAX_WRITE_BYTES))
            )
            return "a snapshot with its temporary name"
        case _:
            (directory / log_file_name(10**12)).write_bytes(bytes(rng.randrange(40)))
            return "a log without its header"
    with last_log.open("ab") as file:
        file.write(data)
    return added
