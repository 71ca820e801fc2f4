"""The disk operations that the core and recovery return; nothing here does I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Create:
    """Create a file that must not exist yet, with this content."""

    label: ClassVar[str] = "creation"
    file: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Append:
    """Append bytes to a file."""

    label: ClassVar[str] = "append"
    file: str
    data: bytes


@dataclass(frozen=True, slots=True)
class AppendPieces:
    """Append pieces to a file; each piece is generated just before it is written."""

    label: ClassVar[str] = "generated append"
    file: str
    pieces: Iterable[bytes]


@dataclass(frozen=True, slots=True)
class Sync:
    """Call fsync on a file."""

    label: ClassVar[str] = "fsync"
    file: str


@dataclass(frozen=True, slots=True)
class SyncDirectory:
    """Call fsync on the directory, which makes created, renamed and removed names durable."""

    label: ClassVar[str] = "fsync of the directory"


@dataclass(frozen=True, slots=True)
class Rename:
    """Rename a file, replacing a file that has the new name."""

    label: ClassVar[str] = "rename"
    file: str
    new_name: str


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a file."""

    label: ClassVar[str] = "removal"
    file: str


Operation = Create | Append | AppendPieces | Sync | SyncDirectory | Rename | Remove


def describe(operation: Operation, directory: object) -> str:
    """Return a description of an operation for an error message.  directory: the path of the directory."""
    if isinstance(operation, SyncDirectory):
        return f"{operation.label} {directory}"
    return f"{operation.label} of {directory}/{operation.file}"


@dataclass(frozen=True, slots=True)
class Job:
    """Operations to execute in order, up to the first that fails.

    number: identifies the job when its result is reported.  last_sequence: sequence number of the last record
    that is durable once all operations are done.
    """

    number: int
    operations: tuple[Operation, ...]
    last_sequence: int


@dataclass(frozen=True, slots=True)
class JobResult:
    """The result of executing a job.

    error: description of the operation that failed and its error; None if none failed.  generated_bytes:
    bytes written by AppendPieces, whose size the core cannot know in advance.
    """

    error: str | None = None
    generated_bytes: int = 0
