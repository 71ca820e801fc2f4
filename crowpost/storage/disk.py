"""A directory on a real disk: its lock, its operations, and its error messages.  All calls block."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path

from crowpost.storage.errors import DirectoryLockedError, StoreError
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

LOCK_FILE = "lock"
_DIRECTORY_MODE = 0o750
_FILE_MODE = 0o640
_DESCRIPTIONS = {
    errno.ENOSPC: "the disk is full",
    errno.EDQUOT: "the quota of the disk is used up",
    errno.EROFS: "the disk is read-only",
    errno.EACCES: "permission denied",
    errno.EIO: "the disk reports an input/output error",
    errno.EFBIG: "the file would be larger than allowed",
}


def describe_os_error(error: OSError) -> str:
    """Return a one-line description of a disk error."""
    if not error.errno:
        return str(error)
    return _DESCRIPTIONS.get(error.errno, os.strerror(error.errno))


class Disk:
    """One directory.

    lock: create the directory if it does not exist, and lock it, so that only one process at a time uses it;
    `close` or the end of the process releases the lock.  Raise DirectoryLockedError if another process holds
    the lock, and StoreError if the directory cannot be opened.
    """

    def __init__(self, path: Path, *, lock: bool) -> None:
        self.path = path
        self._files: dict[str, int] = {}
        self._lock: int | None = None
        self._directory: int | None = None
        try:
            if lock:
                path.mkdir(mode=_DIRECTORY_MODE, exist_ok=True)
                self._lock = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._directory = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        except BlockingIOError as error:
            self.close()
            raise DirectoryLockedError(f"{path}: another process has this state directory") from error
        except OSError as error:
            self.close()
            raise StoreError(f"{path}: {describe_os_error(error)}") from error

    def names(self) -> list[str]:
        """Return the names of the files.  Raise StoreError if the directory cannot be read."""
        try:
            return [entry.name for entry in os.scandir(self.path) if entry.is_file(follow_symlinks=False)]
        except OSError as error:
            raise StoreError(f"{self.path}: {describe_os_error(error)}") from error

    def read(self, name: str) -> bytes:
        """Return the content of a file.  Raise StoreError if it cannot be read."""
        try:
            return (self.path / name).read_bytes()
        except OSError as error:
            raise StoreError(f"{self.path / name}: {describe_os_error(error)}") from error

    def perform(self, operation: Operation) -> int:
        """Execute one operation and return the bytes written for AppendPieces, 0 for any other.

        Raise OSError if it cannot be completed.
        """
        match operation:
            case Create(file, data):
                flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND | os.O_CLOEXEC
                self._files[file] = os.open(self.path / file, flags, _FILE_MODE)
                self._write(file, data)
            case Append(file, data):
                self._write(file, data)
            case AppendPieces(file, pieces):
                return sum(self._write(file, piece) for piece in pieces)
            case Sync(file):
                os.fsync(self._descriptor(file))
            case SyncDirectory():
                assert self._directory is not None
                os.fsync(self._directory)
            case Rename(file, new_name):
                os.rename(self.path / file, self.path / new_name)
                self._close_file(file)
            case Remove(file):
                os.unlink(self.path / file)
                self._close_file(file)
        return 0

    def _descriptor(self, name: str) -> int:
        if name not in self._files:
            self._files[name] = os.open(self.path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        return self._files[name]

    def _write(self, name: str, data: bytes) -> int:
        """Write all the data: after a partial write the next call continues, or raises the disk error."""
        descriptor = self._descriptor(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
        return len(data)

    def _close_file(self, name: str) -> None:
        descriptor = self._files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._files):
            self._close_file(name)
        for descriptor in (self._directory, self._lock):
            if descriptor is not None:
                os.close(descriptor)
        self._directory = None
        self._lock = None
