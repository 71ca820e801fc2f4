"""What a power loss may leave of writes that no fsync had covered: more than was kept, never less."""

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

MOST = 3_000  # bytes of an unfinished write


def leave(directory: Path, rng: Random) -> str:
    """Change a directory whose process has ended; says how."""
    logs = sorted(
        (parsed.sequence, path)
        for path in directory.iterdir()
        if (parsed := parse_file_name(path.name)) is not None and parsed.kind is FileKind.LOG
    )
    if not logs:
        return "there was no log"
    first, last = logs[-1]
    match rng.randrange(5):
        case 0:
            data, how = bytes(rng.randrange(1, MOST)), "a longer log without its data"
        case 1:
            data, how = rng.randbytes(rng.randrange(1, MOST)), "sectors of something else"
        case 2:
            whole = last.read_bytes()
            at = rng.randrange(len(whole))
            data, how = whole[at : at + rng.randrange(1, MOST)], "a piece of the log once more"
        case 3:
            (directory / (snapshot_file_name(first) + TEMPORARY_SUFFIX)).write_bytes(
                rng.randbytes(rng.randrange(MOST))
            )
            return "a snapshot that had not got its name"
        case _:
            (directory / log_file_name(10**12)).write_bytes(bytes(rng.randrange(40)))
            return "a log that had not got its head"
    with last.open("ab") as file:
        file.write(data)
    return how
