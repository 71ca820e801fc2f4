"""A disk that remembers what no fsync has covered, and the states that a power loss may leave of it.

The model is the harshest that a POSIX file system allows.  Of the writes to a file that no fsync has covered
any sector of 512 bytes may be there or not, in any order, and the file may be as long as if all were; a
name that was made, changed or removed is kept only by an fsync of the directory, whatever became of its
data.  Of two changes to one name the earlier comes first.  An fsync that fails loses what it was to keep,
while reads go on showing it until the power is gone.
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

SECTOR = 512  # bytes that a disk writes whole or not at all

Files = dict[str, bytes]  # a state: what a machine wakes up with


@dataclass
class Inode:
    """A file's content on the disk, and what is on its way there."""

    durable: bytes = b""
    pending: list[tuple[int, bytes]] = field(default_factory=list)  # offset and data
    lost: list[tuple[int, bytes]] = field(default_factory=list)  # by an fsync that failed, and still shown
    size: int = 0

    def seen(self) -> bytes:
        """What a read shows."""
        return self.with_pieces(self.lost + self.pending, self.size)

    def with_pieces(self, pieces: list[tuple[int, bytes]], size: int | None = None) -> bytes:
        """The durable content with some of what was on its way; bytes between are zeros."""
        content = bytearray(self.durable)
        for offset, data in pieces:
            content.extend(bytes(max(0, offset - len(content))))
            content[offset : offset + len(data)] = data
        if size is not None:
            content.extend(bytes(max(0, size - len(content))))
        return bytes(content)

    def sectors(self) -> list[tuple[int, bytes]]:
        """What is on its way, in parts that are written whole or not at all."""
        parts = []
        for offset, data in self.pending:
            while data:
                room = SECTOR - offset % SECTOR
                parts.append((offset, data[:room]))
                offset, data = offset + room, data[room:]
        return parts


@dataclass(frozen=True)
class NameChange:
    """A change of the directory that is on its way.  inode None: the name goes; was: its name until then."""

    name: str
    inode: int | None
    was: str = ""


class SimulatedDisk:
    """Does a store's operations in memory.  fail: the number of the operation that fails, and how."""

    def __init__(self, files: Files | None = None, fail: tuple[int, int] | None = None) -> None:
        self.inodes = [Inode(data, size=len(data)) for data in (files or {}).values()]
        self.durable = {name: i for i, name in enumerate(files or {})}
        self.names_now = dict(self.durable)
        self.changes: list[NameChange] = []
        self.operations = 0
        self.fail = fail

    def names(self) -> list[str]:
        """Files as a process sees them."""
        return list(self.names_now)

    def read(self, name: str) -> bytes:
        """A file as a process sees it."""
        return self.inodes[self.names_now[name]].seen()

    def seen(self) -> Files:
        """All files as a process sees them: what is left after its end, while the machine runs on."""
        return {name: self.inodes[i].seen() for name, i in self.names_now.items()}

    def survivor(self) -> SimulatedDisk:
        """The same disk for another process: this one has ended, and the machine runs on."""
        other = copy.deepcopy(self)
        other.fail = None
        return other

    def steps(self, operation: Operation) -> list[Operation]:
        """The operation in steps between which the power may go."""
        if isinstance(operation, AppendPieces):
            return [Append(operation.file, piece) for piece in operation.pieces]
        return [operation]

    def perform(self, operation: Operation) -> int:
        """Do one operation; OSError where this is the one that fails."""
        if isinstance(operation, AppendPieces):
            return sum(self.perform(step) for step in self.steps(operation)) or 0
        failing = self.fail is not None and self.operations == self.fail[0]
        self.operations += 1
        if failing and self.fail is not None:
            self._fail(operation, self.fail[1])
        match operation:
            case Create(file, data):
                if file in self.names_now:
                    raise FileExistsError(errno.EEXIST, "it exists", file)
                self.inodes.append(Inode())
                self._name(NameChange(file, len(self.inodes) - 1))
                self._write(file, data)
            case Append(file, data):
                self._write(file, data)
                return len(data)
            case Sync(file):
                inode = self._inode(file)
                inode.durable, inode.pending = inode.with_pieces(inode.pending), []
            case SyncDirectory():
                self.durable, self.changes = dict(self.names_now), []
            case Rename(file, new_name):
                self._name(NameChange(new_name, self.names_now[file], file))
            case Remove(file):
                self._name(NameChange(file, None))
        return 0

    def _fail(self, operation: Operation, number: int) -> None:
        """Of a write half comes through; what an fsync was to keep is lost, and shown till the power goes."""
        if isinstance(operation, Append):
            self._write(operation.file, operation.data[: len(operation.data) // 2])
        if isinstance(operation, Sync):
            inode = self._inode(operation.file)
            inode.lost, inode.pending = inode.lost + inode.pending, []
        raise OSError(number, "the disk failed")

    def _inode(self, file: str) -> Inode:
        if file not in self.names_now:
            raise FileNotFoundError(errno.ENOENT, "it does not exist", file)
        return self.inodes[self.names_now[file]]

    def _write(self, file: str, data: bytes) -> None:
        inode = self._inode(file)
        if data:
            inode.pending.append((inode.size, data))
            inode.size += len(data)

    def _name(self, change: NameChange) -> None:
        self.changes.append(change)
        _change(self.names_now, change)

    # ------------------------------------------------------------ what a power loss may leave

    def crash_states(self, rng: Random, samples: int) -> Iterator[tuple[str, Files]]:
        """States with the name of their kind; `samples` of the random ones."""
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
            _change(names, self.changes[number])
        files = {}
        for name, i in names.items():
            inode = self.inodes[i]
            size = inode.size if sized and inode.pending else None
            files[name] = inode.with_pieces(parts.get(i, []), size)
        return files


def _change(names: dict[str, int], change: NameChange) -> None:
    """A rename takes the old name away with it: no file system leaves both behind, or neither."""
    if change.inode is None:
        names.pop(change.name, None)
        return
    if change.was:
        if names.get(change.was) != change.inode:
            return
        del names[change.was]
    names[change.name] = change.inode
