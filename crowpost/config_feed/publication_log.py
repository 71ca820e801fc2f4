"""What a publisher has published, and may publish: records for a store in, versions out.  Without I/O.

A document counts as published once its record is kept; until then nobody is told of it.  So a version that
anybody has seen is on the disk, and is never given to another body.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import astuple, dataclass
from typing import Any

import msgpack

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import (
    Document,
    DocumentHeader,
    FeedError,
    make_document,
    order,
    split_scope,
)
from crowpost.config_feed.messages import PublishRequest
from crowpost.config_feed.tuning import Tuning

DOCUMENT, ERA = 1, 2  # kinds of records
FIRST_ERA = 1

Check = Callable[[str, bytes], None]  # scope and body; FeedError, in a line, for what no node could take


@dataclass(frozen=True, slots=True)
class WriteAuthority:
    """Who writes what: each region's publisher its region and its nodes, the home region's all else."""

    name: str  # of this publisher
    home: str
    publishers: Mapping[str, str]  # name by region

    def check(self, scope: str, held: DocumentHeader | None, region: str) -> None:
        """FeedError that names the right one where this publisher may not write a scope.

        held: its document now, whose writer stays that of a node; region: said with a node's first document.
        """
        kind, name = split_scope(scope)
        if kind == "node" and held is not None:
            right, why = held.writer, "which wrote it first"
        elif kind == "node" and not region:
            raise FeedError(f"{scope}: its first document needs the region that the node is configured for")
        else:
            where = {"node": region, "region": name}.get(kind, self.home)
            if where not in self.publishers:
                raise FeedError(f"no publisher for region {where!r}; there are {', '.join(self.publishers)}")
            right, why = self.publishers[where], f"the publisher of {where}"
        if right != self.name:
            raise FeedError(f"{scope} is written by {right}, {why}, and not by {self.name}")


class PublicationLog:
    """Its documents by scope, each with the one before.

    records: of a store, first those of its snapshot; FeedError for any that cannot be read.
    """

    def __init__(
        self,
        writers: WriteAuthority,
        check: Check,
        records: Iterable[bytes] = (),
        tuning: Tuning | None = None,
    ) -> None:
        self._writers, self._check, self._tuning = writers, check, tuning or Tuning()
        self.epoch = FIRST_ERA
        self._now: dict[str, Document] = {}  # as of the last record
        self._before: dict[str, Document] = {}
        for record in records:
            self._apply(record)

    def documents(self) -> list[Document]:
        """The last of each scope."""
        return [self._now[scope] for scope in order(self._now)]

    # ------------------------------------------------------------ publishing

    def publish(self, asked: PublishRequest, table: DocumentTable) -> tuple[bytes, Document]:
        """The record and the document of a publish; to be told only once the record is kept.

        table: all that is in force as far as this process knows.  FeedError, in a line, for what is refused.
        """
        scope = asked.scope
        known = [d.header for d in (self._now.get(scope), table.get(scope)) if d is not None]
        newest = max(known, key=lambda header: header.rank, default=None)
        self._writers.check(scope, newest, asked.region)
        version = newest.version if newest is not None else 0
        if asked.if_version not in (-1, version):
            raise FeedError(f"{scope} is at version {version} and not at {asked.if_version}")
        body = self._former(scope) if asked.back else asked.body
        self._check_size(scope, body, table)
        self._check(scope, body)
        document = make_document(
            scope,
            max(self.epoch, newest.epoch if newest is not None else 0),
            version + 1,
            body,
            author=asked.author,
            reason=asked.reason,
            writer=self._writers.name,
        )
        return self._record(document), document

    def _former(self, scope: str) -> bytes:
        if scope not in self._before:
            raise FeedError(f"{scope} has no document before the one in force")
        return self._before[scope].body

    def _check_size(self, scope: str, body: bytes, table: DocumentTable) -> None:
        """Room must be there before the record is: what is acknowledged is also told."""
        tuning, held = self._tuning, {**table.documents, **self._now}
        if len(body) > tuning.max_document_bytes:
            raise FeedError(f"{scope}: {len(body)} bytes, {tuning.max_document_bytes} at the most")
        total = sum(d.header.size for s, d in held.items() if s != scope) + len(body)
        if total > tuning.max_table_bytes or len(held.keys() | {scope}) > tuning.max_documents:
            raise FeedError(f"{scope}: all documents together would be {total} bytes in {len(held)} scopes")

    # ------------------------------------------------------------ after a restore

    def restored(self) -> bytes:
        """The state is from a backup: the record of the next era, in which all that is published is newer."""
        self.epoch += 1
        return bytes(msgpack.packb([ERA, self.epoch]))

    def seen(self, document: Document) -> list[bytes]:
        """Records for a document of this publisher's own that came from others and is newer than its last.

        The state was set back: the document is taken over, and the next era begun, as there may have been
        more that nobody told of.
        """
        header = document.header
        held = self._now.get(header.scope)
        if header.writer != self._writers.name or (held is not None and held.header.rank >= header.rank):
            return []
        records = [self._record(document)]
        if header.epoch >= self.epoch:
            self.epoch = header.epoch
            records.append(self.restored())
        return records

    # ------------------------------------------------------------ records

    def snapshot(self) -> Iterator[bytes]:
        """All there is now, as records; what is published meanwhile does not show."""
        epoch, before, now = self.epoch, dict(self._before), self.documents()

        def pieces() -> Iterator[bytes]:
            yield bytes(msgpack.packb([ERA, epoch]))
            for document in now:
                if document.header.scope in before:
                    yield _pack(before[document.header.scope])
                yield _pack(document)

        return pieces()

    def _record(self, document: Document) -> bytes:
        self._put(document)
        return _pack(document)

    def _put(self, document: Document) -> None:
        scope = document.header.scope
        if scope in self._now:
            self._before[scope] = self._now[scope]
        self._now[scope] = document

    def _apply(self, record: bytes) -> None:
        try:
            kind, *row = msgpack.unpackb(record)
            if kind == ERA:
                self.epoch = int(row[0])
                return
            if kind != DOCUMENT:
                raise FeedError(f"a record of kind {kind!r}: a newer version has been here")
            document = Document(DocumentHeader(*row[0]), row[1])
        except FeedError:
            raise
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise FeedError(f"a record that cannot be read: {error}") from None
        if not document.whole:
            raise FeedError(
                f"{document.header.scope}: a record whose body is not the one that its head names"
            )
        self._put(document)


def _pack(document: Document) -> bytes:
    row: list[Any] = [DOCUMENT, list(astuple(document.header)), document.body]
    return bytes(msgpack.packb(row))
