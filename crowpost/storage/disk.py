"""A directory on a real disk: the lock, the operations, and errors in words.  All of it blocks."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path

from crowpost.storage.model import (
    Append,
    Create,
    Fill,
    Operation,
    Remove,
    Rename,
    StoreError,
    Sync,
    SyncDirectory,
)

LOCK = "lock"
_WORDS = {
    errno.ENOSPC: "the disk is full",
    errno.EDQUOT: "the quota of the disk is used up",
    errno.EROFS: "the disk is read-only",
    errno.EACCES: "permission denied",
    errno.EIO: "the disk reports an input/output error",
    errno.EFBIG: "the file would be larger than allowed",
}


class LockedError(StoreError):
    """Another process has the directory."""


def words(error: OSError) -> str:
    """One line for an error of the disk."""
    return _WORDS.get(error.errno or 0, os.strerror(error.errno) if error.errno else str(error))


class Disk:
    """One directory.  With `lock` only one process at a time has it; it is given back by `close`, or by the
    process's end, however that comes.
    """

    def __init__(self, path: Path, *, lock: bool) -> None:
        self.path = path
        self._files: dict[str, int] = {}
        self._lock: int | None = None
        self._directory: int | None = None
        try:
            if lock:
                path.mkdir(mode=0o750, exist_ok=True)
                self._lock = os.open(path / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o640)
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except BlockingIOError:
            self.close()
            raise LockedError(f"{path}: another process has this state directory") from None
        except OSError as error:
            self.close()
            raise StoreError(f"{path}: {words(error)}") from None

    def names(self) -> list[str]:
        """Files of the directory; StoreError where it cannot be read."""
        try:
            return [entry.name for entry in os.scandir(self.path) if entry.is_file(follow_symlinks=False)]
        except OSError as error:
            raise StoreError(f"{self.path}: {words(error)}") from None

    def read(self, name: str) -> bytes:
        """The whole content of a file; StoreError where it cannot be read."""
        try:
            return (self.path / name).read_bytes()
        except OSError as error:
            raise StoreError(f"{self.path / name}: {words(error)}") from None

    def perform(self, operation: Operation) -> int:
        """Do one operation; returns the bytes written of a Fill.  OSError if it cannot be done whole."""
        match operation:
            case Create(file, data):
                flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
                self._files[file] = os.open(self.path / file, flags, 0o640)
                self._write(file, data)
            case Append(file, data):
                self._write(file, data)
            case Fill(file, pieces):
                return sum(self._write(file, piece) for piece in pieces)
            case Sync(file):
                os.fsync(self._file(file))
            case SyncDirectory():
                assert self._directory is not None
                os.fsync(self._directory)
            case Rename(file, to):
                os.rename(self.path / file, self.path / to)
                self._forget(file)
            case Remove(file):
                os.unlink(self.path / file)
                self._forget(file)
        return 0

    def _file(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        return self._files[name]

    def _write(self, name: str, data: bytes) -> int:
        """All of it: a write may take less than it was given, and says why only when asked again."""
        descriptor, left = self._file(name), memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]
        return len(data)

    def _forget(self, name: str) -> None:
        descriptor = self._files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Give everything back."""
        for name in list(self._files):
            self._forget(name)
        for descriptor in (self._directory, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._directory = self._lock = None
