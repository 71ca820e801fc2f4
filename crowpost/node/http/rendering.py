"""Rendering of requests, responses and chunks as bytes."""

from __future__ import annotations

from crowpost.node.http.message import CONTENT_TYPE, IDEMPOTENCY_KEY, REQUEST_ID, Message

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def render_chunk(data: bytes) -> bytes:
    """Return one chunk in chunked transfer coding; empty data gives the last chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def render_response(status: int, body: bytes = b"", extra: bytes = b"", *, close: bool = False) -> bytes:
    """Return a complete response.

    extra: complete header lines.
    """
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        _REASONS[status],
        len(body),
        extra,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def render_response_head(message: Message, *, version: str, close: bool) -> tuple[bytes, bool]:
    """Return the head of a streamed response, and whether its body uses chunked transfer coding.

    message: the endpoint's response; version: the client's HTTP version.
    """
    content_type = message.headers.get(CONTENT_TYPE)
    lines = [b"HTTP/1.1 200 OK\r\n", b"Content-Type: %s\r\n" % content_type if content_type else b""]
    chunked = message.content_length is None and version == "1.1"
    if message.content_length is not None:
        lines.append(b"Content-Length: %d\r\n" % message.content_length)
    elif chunked:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(lines), chunked


def render_request_head(message: Message, host: bytes) -> bytes:
    """Return the head that all attempts of a request share: everything but the deadline.

    host: the node's own address, as host and port.
    """
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (message.method, message.target, host)]
    lines.append(b"X-Request-Id: %s\r\n" % message.headers[REQUEST_ID])
    key = message.headers.get(IDEMPOTENCY_KEY)
    if key is not None:
        lines.append(b"Idempotency-Key: %s\r\n" % key)
    content_type = message.headers.get(CONTENT_TYPE)
    if content_type is not None:
        lines.append(b"Content-Type: %s\r\n" % content_type)
    if message.upload is not None:
        length = message.content_length
        lines.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        )
    elif message.body or message.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(lines)
