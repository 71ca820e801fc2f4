"""Converts messages to and from rows of MessagePack values.

Decoding checks types and bounds strictly, and ignores items that a newer wire version appends to a row.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import IntEnum
from typing import Any, TypeVar

from crowpost.config_feed.apply_status import MAX_REJECTION_BYTES, ApplyState, ApplyStatus
from crowpost.config_feed.documents import (
    DIGEST_BYTES,
    DIGEST_PREFIX_BYTES,
    MAX_NAME_BYTES,
    MAX_REASON_BYTES,
    DocumentHeader,
    VersionKey,
)
from crowpost.config_feed.errors import FrameError
from crowpost.config_feed.messages import (
    ANY_VERSION,
    ApplyReport,
    BodyChunk,
    BodyUnavailable,
    DocumentHeaders,
    FetchRequest,
    Goodbye,
    Heartbeat,
    Hello,
    Message,
    PublishAccepted,
    PublishRejected,
    PublishRequest,
    StatusRequest,
    StatusResponse,
)
from crowpost.config_feed.scopes import parse_scope

MAX_BODY_BYTES = 4_000_000  # limit for the data of a document in a message
MAX_SCOPE_BYTES = 80
MAX_PUBLISH_REJECTION_BYTES = 1_000
_MAX_INTEGER = 2**63  # exclusive bound of valid integers


class MessageKind(IntEnum):
    """The kind of a message; the values are those in the frame header."""

    HELLO = 1
    DOCUMENT_HEADERS = 2
    FETCH_REQUEST = 3
    BODY_CHUNK = 4
    BODY_UNAVAILABLE = 5
    HEARTBEAT = 6
    APPLY_REPORT = 7
    STATUS_REQUEST = 8
    STATUS_RESPONSE = 9
    PUBLISH_REQUEST = 10
    PUBLISH_ACCEPTED = 11
    PUBLISH_REJECTED = 12
    GOODBYE = 13


KINDS: Mapping[type[Any], MessageKind] = {
    Hello: MessageKind.HELLO,
    DocumentHeaders: MessageKind.DOCUMENT_HEADERS,
    FetchRequest: MessageKind.FETCH_REQUEST,
    BodyChunk: MessageKind.BODY_CHUNK,
    BodyUnavailable: MessageKind.BODY_UNAVAILABLE,
    Heartbeat: MessageKind.HEARTBEAT,
    ApplyReport: MessageKind.APPLY_REPORT,
    StatusRequest: MessageKind.STATUS_REQUEST,
    StatusResponse: MessageKind.STATUS_RESPONSE,
    PublishRequest: MessageKind.PUBLISH_REQUEST,
    PublishAccepted: MessageKind.PUBLISH_ACCEPTED,
    PublishRejected: MessageKind.PUBLISH_REJECTED,
    Goodbye: MessageKind.GOODBYE,
}
"""The kind of each message type."""

T = TypeVar("T")


# ---------------------------------------------------------------- writing


def header_row(header: DocumentHeader) -> list[Any]:
    """Return the row of a header in frames and files."""
    return [
        header.scope,
        header.epoch,
        header.version,
        header.digest,
        header.size,
        header.author,
        header.reason,
        header.writer,
    ]


def _key_row(key: VersionKey) -> list[Any]:
    return [key.scope, key.epoch, key.version, key.digest]


def _status_row(status: ApplyStatus) -> list[Any]:
    return [_key_row(status.key), str(status.state), status.why]


def message_row(message: Message) -> list[Any]:  # noqa: C901, PLR0911, PLR0912 - one case for each message type
    """Return the row of plain values of a message."""
    match message:
        case Hello(name, role, region, zone, service, all_scopes, instance_id, version_vector):
            vector = [_key_row(key) for key in version_vector]
            return [name, role, region, zone, service, all_scopes, instance_id, vector]
        case DocumentHeaders(headers):
            return [[header_row(header) for header in headers]]
        case FetchRequest(key, offset, length):
            return [_key_row(key), offset, length]
        case BodyChunk(key, offset, data):
            return [_key_row(key), offset, data]
        case BodyUnavailable(key, why):
            return [_key_row(key), why]
        case Heartbeat(digest):
            return [digest]
        case ApplyReport(name, instance_id, counter, statuses):
            return [name, instance_id, counter, [_status_row(status) for status in statuses]]
        case StatusRequest(number):
            return [number]
        case StatusResponse(number, value):
            return [number, value]
        case PublishRequest(number, scope, body, author, reason, region, if_version, rollback):
            return [number, scope, body, author, reason, region, if_version, rollback]
        case PublishAccepted(number, header):
            return [number, header_row(header)]
        case PublishRejected(number, why):
            return [number, why]
        case Goodbye(why):
            return [why]


# ---------------------------------------------------------------- reading


def _read_text(value: Any, limit: int = MAX_NAME_BYTES) -> str:
    if not isinstance(value, str) or len(value.encode()) > limit:
        raise FrameError("malformed", "expected a text within its length limit")
    return value


def _read_integer(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < _MAX_INTEGER:
        raise FrameError("malformed", "expected an integer within its bounds")
    return value


def _read_bytes(value: Any, limit: int) -> bytes:
    if not isinstance(value, bytes) or len(value) > limit:
        raise FrameError("malformed", "expected bytes within their length limit")
    return value


def _read_list(value: Any, read: Callable[[Any], T]) -> tuple[T, ...]:
    if not isinstance(value, list):
        raise FrameError("malformed", "expected a list")
    return tuple(read(item) for item in value)


def _read_key(row: Any) -> VersionKey:
    scope, epoch, version, digest, *_ = row
    parse_scope(_read_text(scope, MAX_SCOPE_BYTES))
    if len(_read_bytes(digest, DIGEST_PREFIX_BYTES)) != DIGEST_PREFIX_BYTES:
        raise FrameError("malformed", "a version key with a short digest")
    return VersionKey(scope, _read_integer(epoch), _read_integer(version), digest)


def _read_header(row: Any) -> DocumentHeader:
    scope, epoch, version, digest, size, author, reason, writer, *_ = row
    return DocumentHeader(
        _read_text(scope, MAX_SCOPE_BYTES),
        _read_integer(epoch),
        _read_integer(version),
        _read_bytes(digest, DIGEST_BYTES),
        _read_integer(size),
        _read_text(author),
        _read_text(reason, MAX_REASON_BYTES),
        _read_text(writer),
    )


def _read_apply_status(row: Any) -> ApplyStatus:
    key, state, why, *_ = row
    return ApplyStatus(_read_key(key), ApplyState(state), _read_text(why, MAX_REJECTION_BYTES))


def _read_hello(row: Any) -> Hello:
    name, role, region, zone, service, all_scopes, instance_id, version_vector, *_ = row
    return Hello(
        _read_text(name),
        _read_text(role),
        _read_text(region),
        _read_text(zone),
        _read_text(service),
        all_scopes is True,
        _read_integer(instance_id),
        _read_list(version_vector, _read_key),
    )


def _read_headers(row: Any) -> DocumentHeaders:
    return DocumentHeaders(_read_list(row[0], _read_header))


def _read_fetch_request(row: Any) -> FetchRequest:
    return FetchRequest(_read_key(row[0]), _read_integer(row[1]), _read_integer(row[2]))


def _read_body_chunk(row: Any) -> BodyChunk:
    return BodyChunk(_read_key(row[0]), _read_integer(row[1]), _read_bytes(row[2], MAX_BODY_BYTES))


def _read_body_unavailable(row: Any) -> BodyUnavailable:
    return BodyUnavailable(_read_key(row[0]), _read_text(row[1]))


def _read_heartbeat(row: Any) -> Heartbeat:
    return Heartbeat(_read_integer(row[0]))


def _read_apply_report(row: Any) -> ApplyReport:
    statuses = _read_list(row[3], _read_apply_status)
    return ApplyReport(_read_text(row[0]), _read_integer(row[1]), _read_integer(row[2]), statuses)


def _read_status_request(row: Any) -> StatusRequest:
    return StatusRequest(_read_integer(row[0]))


def _read_status_response(row: Any) -> StatusResponse:
    if not isinstance(row[1], dict):
        raise FrameError("malformed", "expected a status that is a map")
    return StatusResponse(_read_integer(row[0]), row[1])


def _read_publish_request(row: Any) -> PublishRequest:
    number, scope, body, author, reason, region, if_version, rollback, *_ = row
    parse_scope(_read_text(scope, MAX_SCOPE_BYTES))
    if if_version != ANY_VERSION:
        _read_integer(if_version)
    return PublishRequest(
        _read_integer(number),
        scope,
        _read_bytes(body, MAX_BODY_BYTES),
        _read_text(author),
        _read_text(reason, MAX_REASON_BYTES),
        _read_text(region),
        if_version,
        rollback is True,
    )


def _read_publish_accepted(row: Any) -> PublishAccepted:
    return PublishAccepted(_read_integer(row[0]), _read_header(row[1]))


def _read_publish_rejected(row: Any) -> PublishRejected:
    return PublishRejected(_read_integer(row[0]), _read_text(row[1], MAX_PUBLISH_REJECTION_BYTES))


def _read_goodbye(row: Any) -> Goodbye:
    return Goodbye(_read_text(row[0], MAX_REJECTION_BYTES))


_READERS: Mapping[MessageKind, Callable[[Any], Message]] = {
    MessageKind.HELLO: _read_hello,
    MessageKind.DOCUMENT_HEADERS: _read_headers,
    MessageKind.FETCH_REQUEST: _read_fetch_request,
    MessageKind.BODY_CHUNK: _read_body_chunk,
    MessageKind.BODY_UNAVAILABLE: _read_body_unavailable,
    MessageKind.HEARTBEAT: _read_heartbeat,
    MessageKind.APPLY_REPORT: _read_apply_report,
    MessageKind.STATUS_REQUEST: _read_status_request,
    MessageKind.STATUS_RESPONSE: _read_status_response,
    MessageKind.PUBLISH_REQUEST: _read_publish_request,
    MessageKind.PUBLISH_ACCEPTED: _read_publish_accepted,
    MessageKind.PUBLISH_REJECTED: _read_publish_rejected,
    MessageKind.GOODBYE: _read_goodbye,
}


def read_message(kind: MessageKind, row: Any) -> Message:
    """Return the message of a row.

    Raise FeedError, ValueError, TypeError or IndexError for a row of another shape.
    """
    return _READERS[kind](row)
