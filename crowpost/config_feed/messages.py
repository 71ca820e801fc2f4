"""Messages between followers, distribution servers and commands; `message_codec` encodes them.

The order of the fields is that of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from crowpost.config_feed.apply_status import ApplyStatus
from crowpost.config_feed.documents import DocumentHeader, VersionKey

ANY_VERSION = -1  # a publish request without a precondition


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of either side; a follower sends it again whenever digests differ."""

    name: str
    role: str  # node, relay or publisher
    region: str = ""
    zone: str = ""
    service: str = ""
    all_scopes: bool = False  # the follower watches all scopes
    instance_id: int = 0  # random; tells two processes of one name apart
    version_vector: tuple[VersionKey, ...] = ()  # what the follower has


@dataclass(frozen=True, slots=True)
class DocumentHeaders:
    """Documents that the server has and, as far as it knows, the follower has not."""

    headers: tuple[DocumentHeader, ...]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A request for these bytes of a body."""

    key: VersionKey
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A chunk of a body."""

    key: VersionKey
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BodyUnavailable:
    """A fetch that is not served: the server has another document by now, or is overloaded."""

    key: VersionKey
    why: str  # "gone" or "busy"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life, with a digest of the sender's versions of what the follower watches."""

    digest: int


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """The apply statuses of a follower; of two reports of one instance the higher counter is the later."""

    name: str
    instance_id: int
    counter: int
    apply_statuses: tuple[ApplyStatus, ...]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """A request for the documents, followers and apply statuses that a server knows of."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """The answer to a status request: a map as `follower_status.server_status` makes it."""

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
    region: str = ""  # for the first document of a node's scope: the region that the node is configured for
    if_version: int = ANY_VERSION  # publish only if this is the current version; 0: if there is none
    rollback: bool = False


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """The document is durable: it survives a crash from now on."""

    number: int
    header: DocumentHeader


@dataclass(frozen=True, slots=True)
class PublishRejected:
    """A request that is not met, and the reason in one line."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Goodbye:
    """An orderly end of the connection: no failure of either side."""

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
