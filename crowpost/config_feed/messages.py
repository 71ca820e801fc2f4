"""What followers and hubs, and commands, say to each other; `wire` turns it into bytes and back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from crowpost.config_feed.documents import ApplyStatus, DocumentHeader, VersionKey


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message of either side, and again a follower's whenever digests differ: what it holds."""

    name: str
    role: str  # node, relay or publisher
    region: str = ""
    zone: str = ""
    service: str = ""
    all_scopes: bool = False  # it follows all scopes
    instance_id: int = 0  # random, tells two processes of one name apart
    version_vector: tuple[VersionKey, ...] = ()


@dataclass(frozen=True, slots=True)
class DocumentHeaders:
    """Documents that the server holds and the follower does not, as far as the server knows."""

    headers: tuple[DocumentHeader, ...]


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """Send these bytes of a body."""

    key: VersionKey
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """A piece of a body."""

    key: VersionKey
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BodyUnavailable:
    """A fetch that is not answered: the server holds another document by now, or has too much to do."""

    key: VersionKey
    why: str  # "gone" or "busy"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Alive; and the digest of the versions held among those that the follower watches."""

    digest: int


@dataclass(frozen=True, slots=True)
class ApplyReport:
    """How a follower stands to its documents; of two reports of one birth the higher counter is the later."""

    name: str
    instance_id: int
    counter: int
    apply_statuses: tuple[ApplyStatus, ...]


@dataclass(frozen=True, slots=True)
class StatusRequest:
    """Tell what is held here, who watches, and how they stand."""

    number: int = 0


@dataclass(frozen=True, slots=True)
class StatusResponse:
    """The answer: a map as `status.py` writes and reads it."""

    number: int
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class PublishRequest:
    """Publish a body, or with `back` the body before the one in force, as a new version."""

    number: int
    scope: str
    body: bytes
    author: str
    reason: str
    region: str = ""  # for the first publish of a node's scope: the region that it is configured for
    if_version: int = -1  # publish only if this is the version now, 0: if there is none; -1: in any case
    back: bool = False


@dataclass(frozen=True, slots=True)
class PublishAccepted:
    """Durable: kept through a crash from now on."""

    number: int
    header: DocumentHeader


@dataclass(frozen=True, slots=True)
class PublishRejected:
    """A request that is not met, and why, in one line."""

    number: int
    why: str


@dataclass(frozen=True, slots=True)
class Goodbye:
    """An orderly end of the link: no failure of either side."""

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
