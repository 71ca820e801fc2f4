"""The errors of the storage package; the text of each is one line."""

from __future__ import annotations


class StoreError(Exception):
    """A state directory cannot be used; the text names what to do where that is known."""


class CorruptionError(StoreError):
    """A file's content is not what was written and synced.

    offset: the byte at which the content stops being valid.  reason: what is wrong there.
    """

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset}: {reason}")
        self.file = file
        self.offset = offset
        self.reason = reason


class OwnerMismatchError(StoreError):
    """The directory belongs to another owner: a mistake of the configuration, not corruption."""


class DirectoryLockedError(StoreError):
    """Another process holds the lock of the directory."""
