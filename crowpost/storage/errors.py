"""The errors of the storage package; each has a one-line message."""

from __future__ import annotations


class StoreError(Exception):
    """A state directory cannot be used; the message says what to do where that is known."""


class CorruptionError(StoreError):
    """The content of a file is not what was written and synced.

    offset: position of the first invalid byte.  reason: what is invalid there.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class OwnerMismatchError(StoreError):
    """The directory belongs to another owner: a configuration error, not corruption."""


class DirectoryLockedError(StoreError):
    """Another process holds the lock of the directory."""
