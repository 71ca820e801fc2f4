"""The newest whole document of each scope, shared by the follower and the hub of one process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from crowpost.config_feed.documents import (
    Conflict,
    Document,
    DocumentHeader,
    FeedError,
    Subscription,
    VersionKey,
    scopes_of,
)
from crowpost.config_feed.tuning import Tuning

CONFLICTS = 64  # remembered at the most


def rule_between(kept: DocumentHeader, dropped: DocumentHeader) -> str:
    """By which rule the one holds and not the other; "" where they are no two answers.

    Two answers are documents of one scope and era that were written by two writers, or two bodies for one
    version.  A newer version by the same writer is no conflict, nor is any after a rise of the era.
    """
    if kept.epoch != dropped.epoch or (kept.digest == dropped.digest and kept.version == dropped.version):
        return ""
    if kept.writer != dropped.writer:
        return "writer" if kept.version == dropped.version else "version"
    return "digest" if kept.version == dropped.version else ""


class DocumentTable:
    """Documents by scope, bounded in number and bytes; it only ever moves on to a higher rank."""

    def __init__(self, tuning: Tuning | None = None) -> None:
        self._tuning = tuning or Tuning()
        self.documents: dict[str, Document] = {}
        self.conflicts: list[Conflict] = []
        self.bytes = 0
        self._prints: dict[str, int] = {}
        self._all = 0  # XOR of all of them

    def get(self, scope: str) -> Document | None:
        return self.documents.get(scope)

    def put(self, document: Document) -> bool:
        """Take a document; False where one of the same rank or a higher one is held already.

        FeedError where the body is not the head's, is too large, or the table is full.
        """
        header, tuning = document.header, self._tuning
        held = self.documents.get(header.scope)
        if held is not None:
            self.compare(header)
            if header.rank <= held.header.rank:
                return False
        if not document.whole:
            raise FeedError(
                f"{header.scope} version {header.version}: the body is not the one that its head names"
            )
        if header.size > tuning.max_document_bytes:
            raise FeedError(f"{header.scope}: {header.size} bytes, {tuning.max_document_bytes} at the most")
        more = header.size - (held.header.size if held is not None else 0)
        if (
            held is None and len(self.documents) >= tuning.max_documents
        ) or self.bytes + more > tuning.max_table_bytes:
            raise FeedError(f"{header.scope}: the table of documents is full")
        self.documents[header.scope] = document
        self.bytes += more
        print_ = _print(header.key)
        self._all ^= self._prints.get(header.scope, 0) ^ print_
        self._prints[header.scope] = print_
        return True

    def compare(self, header: DocumentHeader) -> Conflict | None:
        """Remember a second answer to what is held; a conflict that was not known before."""
        held = self.documents.get(header.scope)
        if held is None:
            return None
        kept, dropped = (held.header, header) if held.header.rank > header.rank else (header, held.header)
        rule = rule_between(kept, dropped)
        if not rule:
            return None
        conflict = Conflict(kept, dropped, rule)
        if conflict in self.conflicts:
            return None
        self.conflicts.append(conflict)
        del self.conflicts[:-CONFLICTS]
        return conflict

    def headers(self, interest: Subscription) -> list[DocumentHeader]:
        """The heads that a follower of that interest is meant to hold."""
        if interest.all_scopes:
            return [document.header for document in self.documents.values()]
        scopes = scopes_of(interest.region, interest.service, interest.node)
        return [self.documents[scope].header for scope in scopes if scope in self.documents]

    def newer(self, interest: Subscription, version_vector: Iterable[VersionKey]) -> list[DocumentHeader]:
        """The heads that a follower lacks, or holds another answer to."""
        held = {key.scope: key for key in version_vector}
        found = []
        for header in self.headers(interest):
            key = held.get(header.scope)
            if key is None or (
                key != header.key and (key.epoch, key.version) <= (header.epoch, header.version)
            ):
                found.append(header)
        return found

    def digest(self, interest: Subscription) -> int:
        """One number for all versions held among those of an interest."""
        if interest.all_scopes:
            return self._all
        found = 0
        for scope in scopes_of(interest.region, interest.service, interest.node):
            found ^= self._prints.get(scope, 0)
        return found


def _print(key: VersionKey) -> int:
    text = f"{key.scope} {key.epoch} {key.version} ".encode() + key.digest
    return int.from_bytes(hashlib.sha256(text).digest()[:7], "big")
