"""Records, durability, and the recovered content of a directory; nothing here does I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from crowpost.storage.operations import Operation

FORMAT_VERSION = 2  # the previous version is migrated; a newer one is rejected
MAX_RECORD_BYTES = 1 << 24  # a larger length in a frame header is treated as corruption
RETAINED_SNAPSHOTS = 2  # the newest, and one to fall back to if it is corrupt


class Durability(Enum):
    """When a record becomes durable."""

    # Synced at once, by an fsync shared with all waiting records.
    ACKNOWLEDGED = "acknowledged"
    # Written within `WritePolicy.max_delay_ms`; a power loss may lose the last of these records.
    DELAYED = "delayed"


@dataclass(frozen=True, slots=True)
class Record:
    """One record of the log."""

    sequence: int
    payload: bytes


@dataclass(frozen=True, slots=True, order=True)
class StoredFile:
    """A log segment with the sequence number of its first record, or a snapshot with that of its last."""

    sequence: int
    name: str


@dataclass(slots=True)
class RecoveredState:
    """The recovered content of a directory.

    identity: 8 random bytes that identify the files of one directory.  repairs: operations to execute before
    anything is written.  notes: findings to report to an operator.
    """

    owner: str
    identity: bytes
    snapshot_sequence: int = 0  # 0 if there is no snapshot
    snapshot: list[bytes] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)  # all records after the snapshot, without a gap
    next_sequence: int = 1
    segments: list[StoredFile] = field(default_factory=list)  # sorted by sequence number
    snapshots: list[StoredFile] = field(default_factory=list)  # sorted; the last one was read
    tail_bytes: int = 0  # size of the last segment, without a torn tail
    repairs: list[Operation] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    format_version: int = FORMAT_VERSION
    is_new: bool = False  # True if the directory held no store

    @property
    def last_sequence(self) -> int:
        """The sequence number of the last record; 0 if there is none."""
        return self.next_sequence - 1

    def payloads(self) -> list[bytes]:
        """Return the pieces of the snapshot and the records after it."""
        return [*self.snapshot, *(record.payload for record in self.records)]
