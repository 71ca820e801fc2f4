"""A simulated disk that tracks what was not synced, and the states that a power loss may leave of it.

The model is the harshest that a POSIX file system allows.  Of the writes to a file that were not synced, any
sector of 512 bytes may be there or not, in any order, and the file may be as long as if all were.  A name
that was created, renamed or removed is durable only after an fsync of the directory, whatever happened to its
data. Of two changes to one name the earlier comes first.  A failed fsync loses the writes that it should
sync, while reads still show them until the power is lost.
"""

from __future__ import annotations

import copy
import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from crowpost.storage.operations import (
    Append,
    AppendPieces,
    Create,
    Operation,
    Remove,
    Rename,
    Sync,
    SyncDirectory,
)

SECTOR_BYTES = 512  # that a disk writes completely or not at all

Files = dict[str, bytes]  # the content by name: what a machine has after a restart


@dataclass
class Inode:
    """A file's durable content, and the writes that are not synced."""

    durable: bytes = b""
    pending: list[tuple[int, bytes]] = field(default_factory=list)  # offset and data
    lost: list[tuple[int, bytes]] = field(default_factory=list)  # by a failed fsync, and still shown by reads
    size: int = 0

    def seen(self) -> bytes:
        """Return what a read shows."""
        return self.with_pieces(self.lost + self.pending, self.size)

    def with_pieces(self, pieces: list[tuple[int, bytes]], size: int | None = None) -> bytes:
        """Return the durable content with some of the pending writes; bytes between them are zeros."""
        content = bytearray(self.durable)
        for offset, data in pieces:
            content.extend(bytes(max(0, offset - len(content))))
            content[offset : offset + len(data)] = data
        if size is not None:
            content.extend(bytes(max(0, size - len(content))))
        return bytes(content)

    def sectors(self) -> list[tuple[int, bytes]]:
        """Return the pending writes in parts that are written completely or not at all."""
        parts = []
        for offset, data in self.pending:
            while data:
                size = SECTOR_BYTES - offset % SECTOR_BYTES
                parts.append((offset, data[:size]))
                offset += size
                data = data[size:]
        return parts


@dataclass(frozen=True)
class NameChange:
    """A change of the directory that is not synced.

    inode: None if the name is removed.  old_name: the name before a rename.
    """

    name: str
    inode: int | None
    old_name: str = ""


class SimulatedDisk:
    """Executes a store's operations in memory.

    fail: the number of the operation that fails, and its errno.
    """

    def __init__(self, files: Files | None = None, fail: tuple[int, int] | None = None) -> None:
        self.inodes = [Inode(data, size=len(data)) for data in (files or {}).values()]
        self.durable = {name: i for i, name in enumerate(files or {})}
        self.current = dict(self.durable)
        self.changes: list[NameChange] = []
        self.operations = 0
        self.fail = fail

    def names(self) -> list[str]:
        """Return the names of the files as a process sees them."""
        return list(self.current)

    def read(self, name: str) -> bytes:
        """Return the content of a file as a process sees it."""
        return self.inodes[self.current[name]].seen()

    def seen(self) -> Files:
        """Return all files as a process sees them; they are left if it is killed while the machine runs."""
        return {name: self.inodes[i].seen() for name, i in self.current.items()}

    def survivor(self) -> SimulatedDisk:
        """Return the same disk for another process, after this one has ended while the machine runs."""
        other = copy.deepcopy(self)
        other.fail = None
        return other

    def steps(self, operation: Operation) -> list[Operation]:
        """Return the operation in steps between which the power may be lost."""
        if isinstance(operation, AppendPieces):
            return [Append(operation.file, piece) for piece in operation.pieces]
        return [operation]

    def perform(self, operation: Operation) -> int:
        """Execute one operation.  Raise OSError if it is the one that fails."""
        if isinstance(operation, AppendPieces):
            return sum(self.perform(step) for step in self.steps(operation)) or 0
        failing = self.fail is not None and self.operations == self.fail[0]
        self.operations += 1
        if failing and self.fail is not None:
            self._fail(operation, self.fail[1])
        match operation:
            case Create(file, data):
                if file in self.current:
                    raise FileExistsError(errno.EEXIST, "it exists", file)
                self.inodes.append(Inode())
                self._change_name(NameChange(file, len(self.inodes) - 1))
                self._write(file, data)
            case Append(file, data):
                self._write(file, data)
                return len(data)
            case Sync(file):
                inode = self._inode(file)
                inode.durable = inode.with_pieces(inode.pending)
                inode.pending = []
            case SyncDirectory():
                self.durable = dict(self.current)
                self.changes = []
            case Rename(file, new_name):
                self._change_name(NameChange(new_name, self.current[file], file))
            case Remove(file):
                self._change_name(NameChange(file, None))
        return 0

    def _fail(self, operation: Operation, number: int) -> None:
        """Write one half of an Append; lose what a Sync should make durable, though reads still show it."""
        if isinstance(operation, Append):
            self._write(operation.file, operation.data[: len(operation.data) // 2])
        if isinstance(operation, Sync):
            inode = self._inode(operation.file)
            inode.lost = inode.lost + inode.pending
            inode.pending = []
        raise OSError(number, "the disk failed")

    def _inode(self, file: str) -> Inode:
        if file not in self.current:
            raise FileNotFoundError(errno.ENOENT, "it does not exist", file)
        return self.inodes[self.current[file]]

    def _write(self, file: str, data: bytes) -> None:
        inode = self._inode(file)
        if data:
            inode.pending.append((inode.size, data))
            inode.size += len(data)

    def _change_name(self, change: NameChange) -> None:
        self.changes.append(change)
        _apply_change(self.current, change)

    # ------------------------------------------------------------ what a power loss may leave

    def crash_states(self, rng: Random, samples: int) -> Iterator[tuple[str, Files]]:
        """Yield the states that a power loss may leave, with their kinds; `samples` of random ones."""
        every = list(range(len(self.changes)))
        none: dict[int, list[tuple[int, bytes]]] = {}
        parts = {i: inode.sectors() for i, inode in enumerate(self.inodes) if inode.pending}
        yield "nothing unsynced", self._state([], none)
        yield "all unsynced", self._state(every, parts)
        if not parts and not every:
            return
        yield "names without data", self._state(every, none)
        yield "data without names", self._state([], parts)
        yield "sizes without data", self._state(every, none, sized=True)
        for skip in every:
            yield "a name missing", self._state([c for c in every if c != skip], parts)
            yield "a single name", self._state([skip], parts)
        for i, sectors in parts.items():
            for cut in range(len(sectors)):
                yield "torn", self._state(every, {**parts, i: sectors[:cut]})
                yield "a sector missing", self._state(every, {**parts, i: sectors[:cut] + sectors[cut + 1 :]})
                yield "later without earlier", self._state(every, {**parts, i: sectors[cut:]})
                yield "torn, with its size", self._state(every, {**parts, i: sectors[:cut]}, sized=True)
            yield "a file missing", self._state(every, {j: s for j, s in parts.items() if j != i})
        for _ in range(samples):
            some = {i: [s for s in sectors if rng.random() < 0.5] for i, sectors in parts.items()}
            names = [c for c in every if rng.random() < 0.5]
            yield "any part", self._state(names, some, sized=rng.random() < 0.5)

    def _state(
        self, changes: list[int], parts: dict[int, list[tuple[int, bytes]]], *, sized: bool = False
    ) -> Files:
        names = dict(self.durable)
        for number in changes:
            _apply_change(names, self.changes[number])
        files = {}
        for name, i in names.items():
            inode = self.inodes[i]
            size = inode.size if sized and inode.pending else None
            files[name] = inode.with_pieces(parts.get(i, []), size)
        return files


def _apply_change(names: dict[str, int], change: NameChange) -> None:
    """Apply a change; a rename also removes the old name, since no file system leaves both or neither."""
    if change.inode is None:
        names.pop(change.name, None)
        return
    if change.old_name:
        if names.get(change.old_name) != change.inode:
            return
        del names[change.old_name]
    names[change.name] = change.inode
