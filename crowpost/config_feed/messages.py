"""Messages between followers, distribution servers and commands; `message_codec` encodes them.

The fields have the order of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from crowpost.config_feed.apply_status import ApplyStatus
from crowpost.config_feed.documents import DocumentHeader, VersionKey

ANY_VERSION = -1  # value of `if_version` for a publish request without a precondition


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of either side; a follower sends it again while the digests differ."""

    name: str
    role: str  # node, relay or publisher
    region: str = ""
    zone: str = ""
    service: str = ""
    all_scopes: bool = False  # whether the follower subscribes to all scopes
    instance_id: int = 0  # random number that distinguishes processes of the same name
    version_vector: tuple[VersionKey, ...] = ()  # keys of the documents that the follower has


@dataclass(frozen=True, slots=True)
class DocumentHeaders:
    """Headers of documents that the server has and, to its knowledge, the follower lacks."""

    headers: tuple[DocumentHeader, ...]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A request for a byte range of a body."""

    key: VersionKey
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A byte range of a body."""

    key: VersionKey
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BodyUnavailable:
    """The answer to a fetch that is not served: the server no longer has the document, or is overloaded."""

    key: VersionKey
    why: str  # "gone" or "busy"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Shows that the sender is alive; has a digest of its versions of the follower's subscription."""

    digest: int


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """The apply statuses of a follower; the later of two reports of one instance has the higher counter."""

    name: str
    instance_id: int
    counter: int
    apply_statuses: tuple[ApplyStatus, ...]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A request for the documents, followers and apply statuses known to a server."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """The answer to a status request; `follower_status.server_status` builds its value."""

    number: int
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """A request to publish a body, or with `rollback` the previous body of the scope, as a new version."""

    number: int
    scope: str
    body: bytes
    author: str
    reason: str
    # The region that the node is configured for; only needed with the first document of a node's scope.
    region: str = ""
    # Publish only if this is the current version; 0 requires that the scope has no document yet.
    if_version: int = ANY_VERSION
    rollback: bool = False


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """The answer to a publish request whose document is now durable: it survives a crash."""

    number: int
    header: DocumentHeader


@dataclass(frozen=True, slots=True)
class PublishRejected:
    """The answer to a rejected publish request, with the reason in one line."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Goodbye:
    """Announces an orderly close of the connection, which is no failure of either side."""

    why: str = ""


Message = (
    Hello
    | DocumentHeaders
    | FetchRequest
    | BodyChunk
    | BodyUnavailable
    | Heartbeat
    | ApplyReport
    | StatusRequest
    | StatusResponse
    | PublishRequest
    | PublishAccepted
    | PublishRejected
    | Goodbye
)
