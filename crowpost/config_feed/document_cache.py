"""A node's last good documents on its disk: one file for each scope, replaced as a whole.

This is not the store of `crowpost.storage`: there are four documents at the most and each replaces the one
before, so a log has nothing to add.  Two processes of one node, as in an upgrade, may both write without a
lock, since each file is complete by itself and an older one is corrected by the next watch.  All calls block.
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
    """A directory of documents.  owner: the cluster and the node that it belongs to."""

    def __init__(self, directory: Path, owner: tuple[str, str]) -> None:
        self._directory = directory
        self._owner = list(owner)

    def load(self) -> tuple[list[Document], list[str]]:
        """Return the documents that are intact, and a note in one line for each file that is not.

        Raise FeedError where the directory cannot be made or read, or belongs to another node.
        """
        documents: list[Document] = []
        notes: list[str] = []
        for path in self._files():
            try:
                document, owner = _read_file(path)
            except (OSError, ValueError, TypeError, msgpack.exceptions.UnpackException):
                notes.append(f"{path.name} is damaged and was not used: the feed will bring it again")
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
        """Replace the document of a scope; it is durable on return.  Raise OSError otherwise."""
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
    """Return the document of a file and the owner that it names; raise ValueError where it is damaged."""
    version, owner, header, body = msgpack.unpackb(path.read_bytes())
    document = Document(DocumentHeader(*header), body)
    if version != FORMAT or not document.is_intact or path.name != _file_name(document.header.scope):
        raise ValueError(f"{path.name} is damaged")
    return document, owner


def _file_name(scope: str) -> str:
    """Return the file name of a scope; its one slash is the only character that a name may not hold."""
    return scope.replace("/", "=") + DOCUMENT_SUFFIX
