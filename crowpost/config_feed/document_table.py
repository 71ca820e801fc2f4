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
    if kept.era != dropped.era or kept.digest == dropped.digest and kept.version == dropped.version:
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
        head, tuning = document.head, self._tuning
        held = self.documents.get(head.scope)
        if held is not None:
            self.compare(head)
            if head.rank <= held.head.rank:
                return False
        if not document.whole:
            raise FeedError(
                f"{head.scope} version {head.version}: the body is not the one that its head names"
            )
        if head.size > tuning.max_document_bytes:
            raise FeedError(f"{head.scope}: {head.size} bytes, {tuning.max_document_bytes} at the most")
        more = head.size - (held.head.size if held is not None else 0)
        if (
            held is None
            and len(self.documents) >= tuning.max_documents
            or self.bytes + more > tuning.max_table_bytes
        ):
            raise FeedError(f"{head.scope}: the table of documents is full")
        self.documents[head.scope] = document
        self.bytes += more
        print_ = _print(head.mark)
        self._all ^= self._prints.get(head.scope, 0) ^ print_
        self._prints[head.scope] = print_
        return True

    def compare(self, head: DocumentHeader) -> Conflict | None:
        """Remember a second answer to what is held; a conflict that was not known before."""
        held = self.documents.get(head.scope)
        if held is None:
            return None
        kept, dropped = (held.head, head) if held.head.rank > head.rank else (head, held.head)
        rule = rule_between(kept, dropped)
        if not rule:
            return None
        conflict = Conflict(kept, dropped, rule)
        if conflict in self.conflicts:
            return None
        self.conflicts.append(conflict)
        del self.conflicts[:-CONFLICTS]
        return conflict

    def heads(self, interest: Subscription) -> list[DocumentHeader]:
        """The heads that a follower of that interest is meant to hold."""
        if interest.everything:
            return [document.head for document in self.documents.values()]
        scopes = scopes_of(interest.region, interest.service, interest.node)
        return [self.documents[scope].head for scope in scopes if scope in self.documents]

    def newer(self, interest: Subscription, vector: Iterable[VersionKey]) -> list[DocumentHeader]:
        """The heads that a follower lacks, or holds another answer to."""
        held = {mark.scope: mark for mark in vector}
        found = []
        for head in self.heads(interest):
            mark = held.get(head.scope)
            if mark is None or mark != head.mark and (mark.era, mark.version) <= (head.era, head.version):
                found.append(head)
        return found

    def digest(self, interest: Subscription) -> int:
        """One number for all versions held among those of an interest."""
        if interest.everything:
            return self._all
        found = 0
        for scope in scopes_of(interest.region, interest.service, interest.node):
            found ^= self._prints.get(scope, 0)
        return found


def _print(mark: VersionKey) -> int:
    text = f"{mark.scope} {mark.era} {mark.version} ".encode() + mark.digest
    return int.from_bytes(hashlib.sha256(text).digest()[:7], "big")
