"""The apply status of each document at one process."""

from __future__ import annotations

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus, shorten_reason
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.scopes import order_scopes


class ApplyTracker:
    """Tracks which documents are being applied, and which were applied or rejected."""

    def __init__(self) -> None:
        # Number of status changes; reports carry it as their counter.
        self.changes = 0
        self._statuses: dict[str, ApplyStatus] = {}
        self._applied: dict[str, Document] = {}
        self._in_progress: dict[str, Document] = {}

    def applied_document(self, scope: str) -> Document | None:
        """Return the document last applied for a scope, or None."""
        return self._applied.get(scope)

    def status(self, scope: str) -> ApplyStatus:
        """Return the status of a scope.  Raise KeyError where the scope has none."""
        return self._statuses[scope]

    def statuses(self) -> list[ApplyStatus]:
        """Return all statuses, from the widest scope to the narrowest."""
        return [self._statuses[scope] for scope in order_scopes(self._statuses)]

    def restore(self, document: Document, state: ApplyState) -> None:
        """Record a document that was applied by an earlier process."""
        self._applied[document.header.scope] = document
        self._set(document.header, state)

    def set_stored(self, header: DocumentHeader) -> None:
        """Record a document that this process forwards but does not apply."""
        self._set(header, ApplyState.STORED)

    def is_applying(self, scope: str) -> bool:
        """Return whether a document of a scope is being applied."""
        return scope in self._in_progress

    def begin(self, document: Document) -> None:
        """Record that a document is being applied."""
        self._in_progress[document.header.scope] = document

    def finish(self, header: DocumentHeader, rejection: str) -> bool:
        """Record the result of applying a document; a non-empty `rejection` is the reason for a rejection.

        Return False where this document is not being applied.
        """
        document = self._in_progress.get(header.scope)
        if document is None or document.header != header:
            return False
        del self._in_progress[header.scope]
        if rejection:
            self._set(header, ApplyState.REJECTED, shorten_reason(rejection))
        else:
            self._applied[header.scope] = document
            self._set(header, ApplyState.APPLIED)
        return True

    def _set(self, header: DocumentHeader, state: ApplyState, why: str = "") -> None:
        self._statuses[header.scope] = ApplyStatus(header.key, state, why)
        self.changes += 1
