"""Caches a node's last good documents on disk: one file for each scope, replaced atomically.

The store of `crowpost.storage` is not used: there are at most four documents and each replaces its
predecessor, so a log would add nothing.  Two processes of one node, as during an upgrade, may both write
without a lock, since each file is complete by itself and the feed replaces an older one when the node next
connects.  All calls block.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgpack

from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.message_codec import header_row

DOCUMENT_SUFFIX = ".document"
TEMPORARY_SUFFIX = ".new"
FORMAT = 1


class DocumentCache:
    """A directory of cached documents.  owner: the cluster and the node that the directory belongs to."""

    def __init__(self, directory: Path, owner: tuple[str, str]) -> None:
        self._directory = directory
        self._owner = list(owner)

    def load(self) -> tuple[list[Document], list[str]]:
        """Return the intact documents, and a one-line note for each damaged file.

        Raise FeedError where the directory cannot be made or read, or belongs to another node.
        """
        documents: list[Document] = []
        notes: list[str] = []
        for path in self._files():
            try:
                document, owner = _read_file(path)
            except (OSError, ValueError, TypeError, msgpack.exceptions.UnpackException):
                notes.append(f"{path.name} is damaged and was not used: it will be fetched again")
                continue
            if owner != self._owner:
                raise FeedError(f"{self._directory}: the directory belongs to {owner[1]!r} of {owner[0]!r}")
            documents.append(document)
        return documents, notes

    def _files(self) -> list[Path]:
        try:
            self._directory.mkdir(mode=0o750, exist_ok=True)
            return sorted(self._directory.glob(f"*{DOCUMENT_SUFFIX}"))
        except OSError as error:
            raise FeedError(f"{self._directory}: {error.strerror}") from error

    def store(self, document: Document) -> None:
        """Replace the document of a scope durably.  Raise OSError where writing fails."""
        path = self._directory / _file_name(document.header.scope)
        temporary = path.with_name(f"{path.name}.{os.getpid()}{TEMPORARY_SUFFIX}")
        row = [FORMAT, self._owner, header_row(document.header), document.body]
        try:
            with temporary.open("wb") as file:
                file.write(msgpack.packb(row))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
        except OSError:
            temporary.unlink(missing_ok=True)
            raise
        descriptor = os.open(self._directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def _read_file(path: Path) -> tuple[Document, list[str]]:
    """Return the document of a file and its owner.  Raise ValueError where the file is damaged."""
    version, owner, header, body = msgpack.unpackb(path.read_bytes())
    document = Document(DocumentHeader(*header), body)
    if version != FORMAT or not document.is_intact or path.name != _file_name(document.header.scope):
        raise ValueError(f"{path.name} is damaged")
    return document, owner


def _file_name(scope: str) -> str:
    """Return the file name of a scope; the slash is its only character that a file name may not have."""
    return scope.replace("/", "=") + DOCUMENT_SUFFIX
