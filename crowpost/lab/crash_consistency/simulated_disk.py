"""A simulated disk that tracks unsynced data, and the states that a power loss may leave on it.

The model is the worst case that a POSIX file system allows.  Of the unsynced writes to a file, any sector of
512 bytes may be present or missing, in any order, and the file may be as long as if all were present.  A name
that was created, renamed or removed is durable only after an fsync of the directory, even if the data of the
file is durable.  Two changes to one name are applied in order.  A failed fsync loses the writes that it
should have synced, while reads still return them until the power loss.
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

SECTOR_BYTES = 512  # unit that a disk writes completely or not at all

Files = dict[str, bytes]  # content of the files by name, for example after a restart of the machine


@dataclass
class Inode:
    """The durable content of a file, and its unsynced writes."""

    durable: bytes = b""
    pending: list[tuple[int, bytes]] = field(default_factory=list)  # unsynced writes: offset and data
    # Writes lost by a failed fsync: reads return them until the power loss.
    lost: list[tuple[int, bytes]] = field(default_factory=list)
    size: int = 0

    def visible_content(self) -> bytes:
        """Return the content that a read returns."""
        return self.with_writes(self.lost + self.pending, self.size)

    def with_writes(self, writes: list[tuple[int, bytes]], size: int | None = None) -> bytes:
        """Return the durable content with some of the unsynced writes, extended with zeros to a size."""
        content = bytearray(self.durable)
        for offset, data in writes:
            content.extend(bytes(max(0, offset - len(content))))
            content[offset : offset + len(data)] = data
        if size is not None:
            content.extend(bytes(max(0, size - len(content))))
        return bytes(content)

    def sectors(self) -> list[tuple[int, bytes]]:
        """Return the pending writes, split at sector boundaries."""
        sectors = []
        for offset, data in self.pending:
            while data:
                size = SECTOR_BYTES - offset % SECTOR_BYTES
                sectors.append((offset, data[:size]))
                offset += size
                data = data[size:]
        return sectors


@dataclass(frozen=True)
class NameChange:
    """An unsynced change of a name in the directory.

    inode: index of the file; None if the name is removed.  old_name: the name before a rename, else empty.
    """

    name: str
    inode: int | None
    old_name: str = ""


class SimulatedDisk:
    """A disk in memory that executes the operations of a store.

    fail: the index of the operation that fails, and its errno.
    """

    def __init__(self, files: Files | None = None, fail: tuple[int, int] | None = None) -> None:
        self.inodes = [Inode(data, size=len(data)) for data in (files or {}).values()]
        self.durable = {name: index for index, name in enumerate(files or {})}
        self.current = dict(self.durable)
        self.changes: list[NameChange] = []
        self.operations = 0
        self.fail = fail

    def names(self) -> list[str]:
        """Return the names of the files as a process sees them."""
        return list(self.current)

    def read(self, name: str) -> bytes:
        """Return the content of a file as a process sees it."""
        return self.inodes[self.current[name]].visible_content()

    def visible_files(self) -> Files:
        """Return all files as a process sees them; a kill of the process does not change them."""
        return {name: self.inodes[index].visible_content() for name, index in self.current.items()}

    def survivor(self) -> SimulatedDisk:
        """Return a copy of the disk for the next process, after the end of this one without a power loss."""
        other = copy.deepcopy(self)
        other.fail = None
        return other

    def steps(self, operation: Operation) -> list[Operation]:
        """Return the operation as steps; a power loss may occur between them."""
        if isinstance(operation, AppendPieces):
            return [Append(operation.file, piece) for piece in operation.pieces]
        return [operation]

    def perform(self, operation: Operation) -> int:
        """Execute one operation, and return the bytes appended.  Raise OSError if it is the one to fail."""
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
                inode.durable = inode.with_writes(inode.pending)
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
        """Raise OSError after half of an Append, or after a Sync has lost the pending writes."""
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

    # ------------------------------------------------------------ states after a power loss

    def crash_states(self, rng: Random, samples: int) -> Iterator[tuple[str, Files]]:
        """Yield the states that a power loss may leave, each with its kind, and `samples` random ones."""
        all_changes = list(range(len(self.changes)))
        no_sectors: dict[int, list[tuple[int, bytes]]] = {}
        sectors_by_inode = {
            index: inode.sectors() for index, inode in enumerate(self.inodes) if inode.pending
        }
        yield "nothing unsynced", self._state([], no_sectors)
        yield "all unsynced", self._state(all_changes, sectors_by_inode)
        if not sectors_by_inode and not all_changes:
            return
        yield "names without data", self._state(all_changes, no_sectors)
        yield "data without names", self._state([], sectors_by_inode)
        yield "sizes without data", self._state(all_changes, no_sectors, sized=True)
        for skip in all_changes:
            yield (
                "a name missing",
                self._state([change for change in all_changes if change != skip], sectors_by_inode),
            )
            yield "a single name", self._state([skip], sectors_by_inode)
        for index, sectors in sectors_by_inode.items():
            for cut in range(len(sectors)):
                yield "torn", self._state(all_changes, {**sectors_by_inode, index: sectors[:cut]})
                yield (
                    "a sector missing",
                    self._state(all_changes, {**sectors_by_inode, index: sectors[:cut] + sectors[cut + 1 :]}),
                )
                yield (
                    "later without earlier",
                    self._state(all_changes, {**sectors_by_inode, index: sectors[cut:]}),
                )
                yield (
                    "torn, with its size",
                    self._state(all_changes, {**sectors_by_inode, index: sectors[:cut]}, sized=True),
                )
            yield (
                "a file missing",
                self._state(
                    all_changes,
                    {
                        other: other_sectors
                        for other, other_sectors in sectors_by_inode.items()
                        if other != index
                    },
                ),
            )
        for _ in range(samples):
            chosen_sectors = {
                index: [sector for sector in sectors if rng.random() < 0.5]
                for index, sectors in sectors_by_inode.items()
            }
            chosen_changes = [change for change in all_changes if rng.random() < 0.5]
            yield "any part", self._state(chosen_changes, chosen_sectors, sized=rng.random() < 0.5)

    def _state(
        self, changes: list[int], sectors_by_inode: dict[int, list[tuple[int, bytes]]], *, sized: bool = False
    ) -> Files:
        names = dict(self.durable)
        for number in changes:
            _apply_change(names, self.changes[number])
        files = {}
        for name, index in names.items():
            inode = self.inodes[index]
            size = inode.size if sized and inode.pending else None
            files[name] = inode.with_writes(sectors_by_inode.get(index, []), size)
        return files


def _apply_change(names: dict[str, int], change: NameChange) -> None:
    """Apply a change.  A rename also removes the old name: no file system leaves both names or neither."""
    if change.inode is None:
        names.pop(change.name, None)
        return
    if change.old_name:
        if names.get(change.old_name) != change.inode:
            return
        del names[change.old_name]
    names[change.name] = change.inode
