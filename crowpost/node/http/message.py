"""Parsed HTTP/1.1 messages, the header names that a node reads, and the size limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from crowpost.node.errors import NodeError
from crowpost.node.http.body import Upload

# Sizes in bytes.  A body longer than MAX_BODY is streamed, a shorter one is buffered.
MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024

REQUEST_ID = b"x-request-id"
CLASS = b"x-class"
TENANT = b"x-tenant"
DEADLINE = b"x-deadline"
RETRY = b"x-retry"
COST_HINT = b"x-cost-hint"
IDEMPOTENCY_KEY = b"idempotency-key"
NOT_RUN = b"x-not-run"
CONTENT_TYPE = b"content-type"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
EXPECT = b"expect"
HOST = b"host"
LOAD = b"x-load"
# All other headers are dropped when they are parsed: thousands of small ones would take much memory.
READ_HEADERS = frozenset(
    {
        REQUEST_ID,
        CLASS,
        TENANT,
        DEADLINE,
        RETRY,
        COST_HINT,
        IDEMPOTENCY_KEY,
        NOT_RUN,
        CONTENT_TYPE,
        CONTENT_LENGTH,
        TRANSFER_ENCODING,
        EXPECT,
        HOST,
        LOAD,
    }
)


class MessageError(NodeError):
    """A message that cannot be accepted.

    status: the HTTP status of the response to such a request.
    """

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or response: complete, or with only the first bytes of a streamed body."""

    # The request target; empty in a response.
    target: bytes = b""
    method: bytes = b""
    status: int = 0
    version: str = "1.1"
    headers: dict[bytes, bytes] = field(default_factory=dict)
    repeated_headers: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False
    # The bytes of the head that were kept.
    head_bytes: int = 0
    # The body of a request that is too long to be buffered.
    upload: Upload | None = None

    @property
    def size(self) -> int:
        """The bytes that the message holds: its head, and its body or what waits of a streamed one."""
        body_bytes = len(self.body) if self.upload is None else self.upload.buffered_bytes
        return self.head_bytes + body_bytes

    @property
    def content_length(self) -> int | None:
        """The length of the body in bytes; None without a Content-Length header."""
        text = self.headers.get(CONTENT_LENGTH)
        return None if text is None else int(text)
