"""Documents, their heads and scopes, how far a process has got with them, and the bounds on all of it.

A document is known by (scope, era, version).  The version rises strictly in its scope; the era rises when
a publisher is restored from a backup, so that what it publishes then passes for newer.  Wall clocks take no
part.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

WIRE_VERSION = 1
MAX_NAME_BYTES = 64
MAX_REASON_BYTES = 200
MAX_REJECTION_BYTES = 200
PACKET_OVERHEAD_BYTES = 40  # bytes of TCP and IP around a frame, counted against the budgets
DIGEST_PREFIX_BYTES = 8  # bytes of a digest that tell two bodies apart where no adversary chose them
_WORD = 2**63
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_KINDS = ("all", "region", "service", "node")  # from the widest scope to the narrowest


class FeedError(ValueError):
    """A document, scope, message or setting that cannot be meant; its text is one line."""


def split_scope(scope: str) -> tuple[str, str]:
    """Kind and name of 'all', 'region/R', 'service/S' or 'node/N'; FeedError for anything else."""
    kind, slash, name = scope.partition("/")
    if scope == "all":
        return "all", ""
    if kind not in _KINDS[1:] or not slash or not _NAME.fullmatch(name):
        raise FeedError(f"not a scope (all, region/R, service/S or node/N): {scope[:80]!r}")
    return kind, name


def wanted(scope: str, region: str, service: str, node: str) -> bool:
    """Whether a document of this scope is meant for a node of that region, service and name."""
    return scope in scopes_of(region, service, node)


def scopes_of(region: str, service: str, node: str) -> tuple[str, ...]:
    """The scopes that are meant for a node, from the widest to the narrowest; an empty name has none."""
    named = (("region", region), ("service", service), ("node", node))
    return ("all", *(f"{kind}/{name}" for kind, name in named if name))


def order(scopes: Iterable[str]) -> list[str]:
    """The scopes from the widest to the narrowest: what comes later goes over what came before."""
    return sorted(scopes, key=lambda scope: (_KINDS.index(split_scope(scope)[0]), scope))


@dataclass(frozen=True, slots=True)
class DocumentHeader:
    """What there is to know of a document without its body."""

    scope: str
    epoch: int
    version: int
    digest: bytes  # SHA-256 of the body
    size: int  # of the body, in bytes
    author: str
    reason: str
    writer: str  # the publisher's name

    def __post_init__(self) -> None:
        split_scope(self.scope)
        for label, text, most in (
            ("author", self.author, MAX_NAME_BYTES),
            ("reason", self.reason, MAX_REASON_BYTES),
            ("writer", self.writer, MAX_NAME_BYTES),
        ):
            if len(text.encode()) > most:
                raise FeedError(f"{label} is longer than {most} bytes: {text[:60]!r}")
        if len(self.digest) != 32:
            raise FeedError(f"a digest of {len(self.digest)} bytes")
        if not (0 <= self.epoch < _WORD and 0 < self.version < _WORD and 0 <= self.size < _WORD):
            raise FeedError(f"{self.scope}: era, version or size out of bounds")

    @property
    def rank(self) -> tuple[int, int, str, bytes]:
        """Of two heads of one scope the one of the higher rank holds.

        Era and version decide; only where a cut left two answers for one version, the writer's name does, so
        that all processes choose alike.  The digest comes last, for a writer that answered twice itself.
        """
        return self.epoch, self.version, self.writer, self.digest

    @property
    def key(self) -> VersionKey:
        return VersionKey(self.scope, self.epoch, self.version, self.digest[:DIGEST_PREFIX_BYTES])


@dataclass(frozen=True, slots=True)
class VersionKey:
    """A head in short: which document, told apart from another answer to the same version."""

    scope: str
    epoch: int
    version: int
    digest: bytes  # the first PREFIX bytes


@dataclass(frozen=True, slots=True)
class Document:
    """A head and the body that it names."""

    header: DocumentHeader
    body: bytes

    @property
    def whole(self) -> bool:
        """Whether the body is the one that the head names."""
        return len(self.body) == self.header.size and hashlib.sha256(self.body).digest() == self.header.digest


def make_document(
    scope: str, epoch: int, version: int, body: bytes, *, author: str, reason: str, writer: str
) -> Document:
    """A document with its digest; FeedError for fields out of their bounds."""
    digest = hashlib.sha256(body).digest()
    return Document(DocumentHeader(scope, epoch, version, digest, len(body), author, reason, writer), body)


class ApplyState(StrEnum):
    """How a node stands to a document."""

    HELD = "held"  # by a relay or publisher, which passes it on and judges nothing
    IN_FORCE = "in force"
    REFUSED = "refused"  # the last good one stays in force


@dataclass(frozen=True, slots=True)
class ApplyStatus:
    """How one process stands to the newest document of a scope that it got whole."""

    key: VersionKey
    state: ApplyState
    why: str = ""  # it was refused


def shorten(why: str) -> str:
    """As much of a reason as a report carries."""
    return why.encode()[:MAX_REJECTION_BYTES].decode(errors="ignore")


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two answers for one scope in one era: which one holds, which one does not, and by which rule."""

    kept: DocumentHeader
    dropped: DocumentHeader
    rule: str  # "version": the higher; "writer": of equal versions the later name; "digest": of one writer


@dataclass(frozen=True, slots=True)
class Subscription:
    """Which documents a follower watches: those meant for one node, or all there are."""

    region: str = ""
    service: str = ""
    node: str = ""
    all_scopes: bool = False

    def includes(self, scope: str) -> bool:
        return self.all_scopes or wanted(scope, self.region, self.service, self.node)


@dataclass(frozen=True, slots=True)
class UpstreamServer:
    """A hub that may be watched.  tier: those of a lower one are always tried first."""

    address: str
    region: str = ""
    zone: str = ""
    tier: int = 0


@dataclass(frozen=True, slots=True)
class ConnectRequest:
    """Connect to an address; the link is this number from now on."""

    connection_id: int
    address: str


@dataclass(frozen=True, slots=True)
class FeedEvent:
    """Something that a log line should tell; values are plain."""

    kind: str  # linked, lost, whole, taken_over, conflict, dropped, slept, standing
    at: float  # ms
    values: dict[str, object]
