"""Configuration documents, their headers and version keys.

A document is identified by (scope, epoch, version).  The version increases strictly within its scope.  The
epoch increases when a publisher is restored from a backup, so that what it publishes afterwards is newer.
Wall clocks are not used.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import parse_scope

MAX_NAME_BYTES = 64  # limit for the names of authors and publishers
MAX_REASON_BYTES = 200
DIGEST_BYTES = 32  # size of a SHA-256 digest
DIGEST_PREFIX_BYTES = 8  # enough to distinguish bodies that no adversary chose
_MAX_INTEGER = 2**63  # exclusive bound of the integers in the wire format


@dataclass(frozen=True, slots=True)
class VersionKey:
    """Short form of a header: identifies a document, and distinguishes two documents of one version."""

    scope: str
    epoch: int
    version: int
    digest: bytes  # only the first DIGEST_PREFIX_BYTES


@dataclass(frozen=True, slots=True)
class DocumentHeader:
    """The metadata of a document.  Raise FeedError for values out of bounds.

    The order of the fields is that of the header on the wire and on disk.
    """

    scope: str
    epoch: int
    version: int
    digest: bytes  # SHA-256 of the body
    size: int  # length of the body in bytes
    author: str
    reason: str
    writer: str  # name of the publisher that assigned the version

    def __post_init__(self) -> None:
        parse_scope(self.scope)
        _check_length("author", self.author, MAX_NAME_BYTES)
        _check_length("reason", self.reason, MAX_REASON_BYTES)
        _check_length("writer", self.writer, MAX_NAME_BYTES)
        if len(self.digest) != DIGEST_BYTES:
            raise FeedError(f"the digest has a wrong length of {len(self.digest)} bytes")
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

        Epoch and version come first.  A network partition can leave two documents of one version; then the
        writer's name decides, so that all processes choose the same one.  The digest comes last, for a writer
        that published two bodies as one version.
        """
        return self.epoch, self.version, self.writer, self.digest

    @property
    def key(self) -> VersionKey:
        """The version key of this document."""
        return VersionKey(self.scope, self.epoch, self.version, self.digest[:DIGEST_PREFIX_BYTES])

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a document in log events; the keys are part of the log format."""
        return {
            "scope": self.scope,
            "era": self.epoch,
            "version": self.version,
            "digest": self.digest.hex()[:16],
        }


@dataclass(frozen=True, slots=True)
class Document:
    """A configuration document: header and body."""

    header: DocumentHeader
    body: bytes

    @property
    def is_intact(self) -> bool:
        """Whether size and digest of the body match the header."""
        if len(self.body) != self.header.size:
            return False
        return hashlib.sha256(self.body).digest() == self.header.digest


def make_document(
    scope: str, epoch: int, version: int, body: bytes, *, author: str, reason: str, writer: str
) -> Document:
    """Return a document whose header has the size and digest of the body.

    Raise FeedError for values out of bounds.
    """
    digest = hashlib.sha256(body).digest()
    return Document(DocumentHeader(scope, epoch, version, digest, len(body), author, reason, writer), body)


def _check_length(label: str, text: str, limit: int) -> None:
    if len(text.encode()) > limit:
        raise FeedError(f"{label} is longer than {limit} bytes: {text[:60]!r}")
