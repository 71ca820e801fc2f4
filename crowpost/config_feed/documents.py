"""Configuration documents, their headers and version keys.

A document is identified by (scope, epoch, version).  The version increases strictly within its scope.  The
epoch increases when a publisher is restored from a backup, so that what it publishes afterwards is newer.
Wall clocks take no part.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import parse_scope

MAX_NAME_BYTES = 64  # of an author and of a publisher's name
MAX_REASON_BYTES = 200
DIGEST_BYTES = 32  # of SHA-256
DIGEST_PREFIX_BYTES = 8  # enough to tell two bodies apart where no adversary chose them
_MAX_INTEGER = 2**63  # first integer that the wire format does not carry


@dataclass(frozen=True, slots=True)
class VersionKey:
    """A header in short: identifies a document, also among two documents of one version."""

    scope: str
    epoch: int
    version: int
    digest: bytes  # the first DIGEST_PREFIX_BYTES


@dataclass(frozen=True, slots=True)
class DocumentHeader:
    """Everything about a document except its body.  Raise FeedError for values out of bounds.

    The order of the fields is that of the header on the wire and on disk.
    """

    scope: str
    epoch: int
    version: int
    digest: bytes  # SHA-256 of the body
    size: int  # of the body, in bytes
    author: str
    reason: str
    writer: str  # name of the publisher

    def __post_init__(self) -> None:
        parse_scope(self.scope)
        _check_length("author", self.author, MAX_NAME_BYTES)
        _check_length("reason", self.reason, MAX_REASON_BYTES)
        _check_length("writer", self.writer, MAX_NAME_BYTES)
        if len(self.digest) != DIGEST_BYTES:
            raise FeedError(f"a digest of {len(self.digest)} bytes")
        in_bounds = (
            0 <= self.epoch < _MAX_INTEGER
            and 0 < self.version < _MAX_INTEGER
            and 0 <= self.size < _MAX_INTEGER
        )
        if not in_bounds:
            raise FeedError(f"{self.scope}: era, version or size out of bounds")

    @property
    def rank(self) -> tuple[int, int, str, bytes]:
        """The sort key among headers of one scope; the document of the highest rank is the valid one.

        Epoch and version decide.  Where a network partition left two documents of one version, the writer's
        name does, so that all processes choose alike.  The digest is last, for a writer that published two
        bodies as one version.
        """
        return self.epoch, self.version, self.writer, self.digest

    @property
    def key(self) -> VersionKey:
        """The version key of this document."""
        return VersionKey(self.scope, self.epoch, self.version, self.digest[:DIGEST_PREFIX_BYTES])

    def log_fields(self) -> dict[str, object]:
        """Return what log events tell of a document; the keys are part of the log format."""
        return {
            "scope": self.scope,
            "era": self.epoch,
            "version": self.version,
            "digest": self.digest.hex()[:16],
        }


@dataclass(frozen=True, slots=True)
class Document:
    """A header and the body that it describes."""

    header: DocumentHeader
    body: bytes

    @property
    def is_intact(self) -> bool:
        """Whether the body has the size and the digest that the header names."""
        if len(self.body) != self.header.size:
            return False
        return hashlib.sha256(self.body).digest() == self.header.digest


def make_document(
    scope: str, epoch: int, version: int, body: bytes, *, author: str, reason: str, writer: str
) -> Document:
    """Return a document with the digest of its body.  Raise FeedError for values out of bounds."""
    digest = hashlib.sha256(body).digest()
    return Document(DocumentHeader(scope, epoch, version, digest, len(body), author, reason, writer), body)


def _check_length(label: str, text: str, limit: int) -> None:
    if len(text.encode()) > limit:
        raise FeedError(f"{label} is longer than {limit} bytes: {text[:60]!r}")
