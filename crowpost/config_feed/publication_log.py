"""The publications of a publisher as records for a store.  It does no I/O.

A document counts as published once its record is durable; until then it is announced to no follower.  So a
version that any process has seen is on the disk, and is never assigned to another body.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgpack

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader, make_document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.message_codec import header_row
from crowpost.config_feed.messages import ANY_VERSION, PublishRequest
from crowpost.config_feed.scopes import order_scopes
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.write_authority import WriteAuthority

DOCUMENT_RECORD = 1
EPOCH_RECORD = 2
FIRST_EPOCH = 1

Check = Callable[[str, bytes], None]
"""Validates scope and body; raises FeedError, in one line, for a document that no node could apply."""


class PublicationLog:
    """Keeps the current and the previous document of each scope, as of the last record.

    records: the records of a store, beginning with its snapshot.  Raise FeedError for an unreadable record.
    """

    def __init__(
        self,
        authority: WriteAuthority,
        check: Check,
        records: Iterable[bytes] = (),
        tuning: Tuning | None = None,
    ) -> None:
        self._authority = authority
        self._check = check
        self._tuning = tuning or Tuning()
        self.epoch = FIRST_EPOCH
        self._current: dict[str, Document] = {}
        self._previous: dict[str, Document] = {}
        for record in records:
            self._replay(record)

    def documents(self) -> list[Document]:
        """Return the current document of each scope."""
        return [self._current[scope] for scope in order_scopes(self._current)]

    # ------------------------------------------------------------ publishing

    def publish(self, request: PublishRequest, table: DocumentTable) -> tuple[bytes, Document]:
        """Return the record and the document of a request; announce it only once the record is durable.

        table: all documents that this process knows.  Raise FeedError, in one line, where the request is
        rejected.
        """
        scope = request.scope
        newest = self._newest(scope, table)
        self._authority.check(scope, newest, request.region)
        version = newest.version if newest is not None else 0
        if request.if_version not in (ANY_VERSION, version):
            raise FeedError(f"{scope} is at version {version} and not at {request.if_version}")
        body = self._previous_body(scope) if request.rollback else request.body
        self._check_size(scope, body, table)
        self._check(scope, body)
        document = make_document(
            scope,
            max(self.epoch, newest.epoch if newest is not None else 0),
            version + 1,
            body,
            author=request.author,
            reason=request.reason,
            writer=self._authority.name,
        )
        return self._append(document), document

    def _newest(self, scope: str, table: DocumentTable) -> DocumentHeader | None:
        documents = (self._current.get(scope), table.get(scope))
        known = [document.header for document in documents if document is not None]
        return max(known, key=_rank) if known else None

    def _previous_body(self, scope: str) -> bytes:
        if scope not in self._previous:
            raise FeedError(f"{scope} has no document before the one in force")
        return self._previous[scope].body

    def _check_size(self, scope: str, body: bytes, table: DocumentTable) -> None:
        """Raise FeedError if the tables have no room, as an accepted document must be announced."""
        tuning = self._tuning
        documents = {**table.documents, **self._current}
        if len(body) > tuning.max_document_bytes:
            raise FeedError(f"{scope}: {len(body)} bytes, {tuning.max_document_bytes} at the most")
        others = [document.header.size for other, document in documents.items() if other != scope]
        total = sum(others) + len(body)
        if total > tuning.max_table_bytes or len(documents.keys() | {scope}) > tuning.max_documents:
            raise FeedError(
                f"{scope}: all documents together would be {total} bytes in {len(documents)} scopes"
            )

    # ------------------------------------------------------------ after a restore

    def begin_epoch(self, at_least: int = 0) -> bytes:
        """Begin the next epoch and return its record; documents of a later epoch are newer than all others.

        Called when the state was restored from a backup.  at_least: the number of the epoch, if it is higher
        than the next one: a backup does not know the epochs that were begun after it.
        """
        self.epoch = max(self.epoch + 1, at_least)
        return bytes(msgpack.packb([EPOCH_RECORD, self.epoch]))

    def adopt(self, document: Document) -> list[bytes]:
        """Adopt a document received from other processes.  Return its records, or none if it is not adopted.

        A received document of this publisher that is newer than its own last one shows that the state was
        restored from an older backup.  The document is adopted and the next epoch begun, as further lost
        documents may exist that were not received.
        """
        header = document.header
        current = self._current.get(header.scope)
        if header.writer != self._authority.name:
            return []
        if current is not None and current.header.rank >= header.rank:
            return []
        records = [self._append(document)]
        if header.epoch >= self.epoch:
            self.epoch = header.epoch
            records.append(self.begin_epoch())
        return records

    # ------------------------------------------------------------ records

    def snapshot(self) -> Iterator[bytes]:
        """Return the current state as records; later publications are not part of it."""
        return _snapshot(self.epoch, dict(self._previous), self.documents())

    def _append(self, document: Document) -> bytes:
        self._put(document)
        return _document_record(document)

    def _put(self, document: Document) -> None:
        scope = document.header.scope
        if scope in self._current:
            self._previous[scope] = self._current[scope]
        self._current[scope] = document

    def _replay(self, record: bytes) -> None:
        try:
            self._replay_row(*msgpack.unpackb(record))
        except FeedError:
            raise
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise FeedError(f"a record that cannot be read: {error}") from error

    def _replay_row(self, kind: int, *row: Any) -> None:
        if kind == EPOCH_RECORD:
            self.epoch = int(row[0])
            return
        if kind != DOCUMENT_RECORD:
            raise FeedError(f"a record of unknown kind {kind!r}, written by a newer version")
        document = Document(DocumentHeader(*row[0]), row[1])
        if not document.is_intact:
            scope = document.header.scope
            raise FeedError(f"{scope}: a record whose body does not match its header")
        self._put(document)


def _rank(header: DocumentHeader) -> tuple[int, int, str, bytes]:
    return header.rank


def _snapshot(epoch: int, previous: dict[str, Document], current: list[Document]) -> Iterator[bytes]:
    yield bytes(msgpack.packb([EPOCH_RECORD, epoch]))
    for document in current:
        scope = document.header.scope
        if scope in previous:
            yield _document_record(previous[scope])
        yield _document_record(document)


def _document_record(document: Document) -> bytes:
    return bytes(msgpack.packb([DOCUMENT_RECORD, header_row(document.header), document.body]))
