"""The newest complete document of each scope, shared by the follower and distribution server of a process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from crowpost.config_feed.conflicts import Conflict, find_conflict
from crowpost.config_feed.documents import Document, DocumentHeader, VersionKey
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import Subscription, scopes_for_node
from crowpost.config_feed.tuning import Tuning

MAX_CONFLICTS = 64  # the oldest conflicts beyond this number are dropped
_FINGERPRINT_BYTES = 7  # fits into an integer of the wire format


class DocumentTable:
    """Documents by scope, limited in number and bytes; only a document of higher rank replaces another."""

    def __init__(self, tuning: Tuning | None = None) -> None:
        self._tuning = tuning or Tuning()
        self.documents: dict[str, Document] = {}
        self.conflicts: list[Conflict] = []
        # Total size of all bodies.
        self.bytes = 0
        # The fingerprint of each document, by scope.
        self._fingerprints: dict[str, int] = {}
        # XOR of all fingerprints.
        self._digest = 0

    def get(self, scope: str) -> Document | None:
        """Return the document of a scope, or None."""
        return self.documents.get(scope)

    def put(self, document: Document) -> bool:
        """Store a document.  Return False where one of the same or a higher rank is already stored.

        Raise FeedError where the body does not match the header or is too large, or the table is full.
        """
        header = document.header
        current = self.documents.get(header.scope)
        if current is not None:
            self.record_conflict(header)
            if header.rank <= current.header.rank:
                return False
        self._check(document, current)
        self.documents[header.scope] = document
        self.bytes += header.size - (current.header.size if current is not None else 0)
        fingerprint = _fingerprint(header.key)
        self._digest ^= self._fingerprints.get(header.scope, 0) ^ fingerprint
        self._fingerprints[header.scope] = fingerprint
        return True

    def _check(self, document: Document, current: Document | None) -> None:
        header = document.header
        tuning = self._tuning
        if not document.is_intact:
            raise FeedError(f"{header.scope} version {header.version}: the body does not match its header")
        if header.size > tuning.max_document_bytes:
            raise FeedError(f"{header.scope}: {header.size} bytes, {tuning.max_document_bytes} at most")
        added_bytes = header.size - (current.header.size if current is not None else 0)
        no_scope_left = current is None and len(self.documents) >= tuning.max_documents
        if no_scope_left or self.bytes + added_bytes > tuning.max_table_bytes:
            raise FeedError(f"{header.scope}: the document table is full")

    def record_conflict(self, header: DocumentHeader) -> Conflict | None:
        """Record a conflict between a header and the stored one.  Return it if it was not known before."""
        current = self.documents.get(header.scope)
        if current is None:
            return None
        if current.header.rank > header.rank:
            conflict = find_conflict(current.header, header)
        else:
            conflict = find_conflict(header, current.header)
        if conflict is None or conflict in self.conflicts:
            return None
        self.conflicts.append(conflict)
        del self.conflicts[:-MAX_CONFLICTS]
        return conflict

    def headers(self, subscription: Subscription) -> list[DocumentHeader]:
        """Return the headers of the documents that a subscription includes."""
        if subscription.all_scopes:
            return [document.header for document in self.documents.values()]
        scopes = scopes_for_node(subscription.region, subscription.service, subscription.node)
        return [self.documents[scope].header for scope in scopes if scope in self.documents]

    def newer(self, subscription: Subscription, version_vector: Iterable[VersionKey]) -> list[DocumentHeader]:
        """Return the headers to send to a follower with this version vector.

        These are the documents that the follower lacks, and those of the same or a newer version than its own
        that differ from it.
        """
        known = {key.scope: key for key in version_vector}
        found = []
        for header in self.headers(subscription):
            key = known.get(header.scope)
            if key is None or (
                key != header.key and (key.epoch, key.version) <= (header.epoch, header.version)
            ):
                found.append(header)
        return found

    def digest(self, subscription: Subscription) -> int:
        """Return one number that identifies all stored versions of a subscription."""
        if subscription.all_scopes:
            return self._digest
        found = 0
        for scope in scopes_for_node(subscription.region, subscription.service, subscription.node):
            found ^= self._fingerprints.get(scope, 0)
        return found


def _fingerprint(key: VersionKey) -> int:
    text = f"{key.scope} {key.epoch} {key.version} ".encode() + key.digest
    return int.from_bytes(hashlib.sha256(text).digest()[:_FINGERPRINT_BYTES], "big")
