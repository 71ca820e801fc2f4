"""A node's last good documents on its disk: one file for each scope, replaced whole.

Not the store: there are four documents at the most and each replaces the one before, so a log has nothing to
add; and two processes of one node, as in an upgrade, may both write here without a lock, since each file is
whole by itself and an older one is made good by the next watch.  All of it blocks.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgpack

from crowpost.config_feed.documents import Document, DocumentHeader, FeedError

SUFFIX, NEW = ".document", ".new"
FORMAT = 1


class DocumentCache:
    """A directory of documents.  owner: the cluster and the node whose it is."""

    def __init__(self, directory: Path, owner: tuple[str, str]) -> None:
        self._directory, self._owner = directory, list(owner)

    def read(self) -> tuple[list[Document], list[str]]:
        """The documents that are whole, and a line for each file that is not.

        FeedError where the directory cannot be made or read, or is another node's.
        """
        documents, notes = [], []
        try:
            self._directory.mkdir(mode=0o750, exist_ok=True)
            paths = sorted(self._directory.glob(f"*{SUFFIX}"))
        except OSError as error:
            raise FeedError(f"{self._directory}: {error.strerror}") from None
        for path in paths:
            try:
                version, owner, header, body = msgpack.unpackb(path.read_bytes())
                document = Document(DocumentHeader(*header), body)
                if version != FORMAT or not document.whole or path.name != _file(document.header.scope):
                    raise ValueError
            except (OSError, ValueError, TypeError, msgpack.exceptions.UnpackException):
                notes.append(f"{path.name} is damaged and was not used: the feed will bring it again")
                continue
            if owner != self._owner:
                raise FeedError(f"{self._directory}: the directory belongs to {owner[1]!r} of {owner[0]!r}")
            documents.append(document)
        return documents, notes

    def write(self, document: Document) -> None:
        """Put a document in the place of its scope's last; it is on the disk afterwards, or OSError."""
        header = document.header
        row: list[Any] = [header.scope, header.epoch, header.version, header.digest, header.size]
        row += [header.author, header.reason, header.writer]
        path = self._directory / _file(header.scope)
        new = path.with_name(f"{path.name}.{os.getpid()}{NEW}")
        try:
            with new.open("wb") as file:
                file.write(msgpack.packb([FORMAT, self._owner, row, document.body]))
                file.flush()
                os.fsync(file.fileno())
            new.rename(path)
        except OSError:
            new.unlink(missing_ok=True)
            raise
        descriptor = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _file(scope: str) -> str:
    """A scope holds no character that a file name may not, other than its one slash."""
    return scope.replace("/", "=") + SUFFIX
