"""The disk operations that the core asks for, what recovery finds, and the errors; nothing here does I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

FORMAT = 2  # of the directory; the one before is migrated, a newer one refused
RECORD_BYTES = 1 << 24  # of one record at the most: a length beyond that is damage
SNAPSHOTS_KEPT = 2  # the last, and one that may stand in for it


class StoreError(Exception):
    """A directory that cannot be used; its text is one line that names what to do."""


class DamagedError(StoreError):
    """What was kept is no longer as it was written."""

    def __init__(self, file: str, offset: int, what: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset}: {what}")
        self.file, self.offset, self.what = file, offset, what


class ForeignError(StoreError):
    """The directory is another's: a mistake of the configuration, and no damage."""


class Durability(Enum):
    """When a record is held to be kept."""

    ACKNOWLEDGED = "acknowledged"  # told after its fsync, which it shares with all that wait at the time
    SOON = "soon"  # written within `soon_ms`; a power loss may take the last of these


# ---------------------------------------------------------------- operations, done one after another


@dataclass(frozen=True, slots=True)
class Create:
    """Make a file that must not exist, with these first bytes."""

    file: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Append:
    """Write bytes at a file's end."""

    file: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Fill:
    """Write pieces at a file's end that are only made while they are written."""

    file: str
    pieces: Iterable[bytes]


@dataclass(frozen=True, slots=True)
class Sync:
    """fsync of a file."""

    file: str


@dataclass(frozen=True, slots=True)
class SyncDirectory:
    """fsync of the directory: names that were made, changed or removed are kept from then on."""


@dataclass(frozen=True, slots=True)
class Rename:
    """Give a file another name, in place of whatever has it."""

    file: str
    to: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a name."""

    file: str


Operation = Create | Append | Fill | Sync | SyncDirectory | Rename | Remove


@dataclass(frozen=True, slots=True)
class Job:
    """Operations to be done in order, up to the first that fails.  number: to be named when it has ended."""

    number: int
    operations: tuple[Operation, ...]
    through: int  # the last record that is kept once all are done


# ---------------------------------------------------------------- what was found


@dataclass(frozen=True, slots=True)
class Record:
    """One record of the log."""

    sequence: int
    payload: bytes


@dataclass(slots=True)
class Found:
    """What a directory holds.  repairs: to be done before anything is written; notes: to be told."""

    owner: str
    snapshot_sequence: int = 0
    snapshot: list[bytes] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)  # after the snapshot, without a gap
    next_sequence: int = 1
    segments: list[tuple[int, str]] = field(default_factory=list)  # first sequence and file, in order
    snapshots: list[tuple[int, str]] = field(default_factory=list)  # of which the last was taken
    tail_bytes: int = 0  # of the last segment, without a torn end
    repairs: list[Operation] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    format: int = FORMAT
    fresh: bool = False  # there was no store here
