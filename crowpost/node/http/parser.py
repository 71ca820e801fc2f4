"""Incremental parsing of HTTP/1.1 messages.

The grammar is httptools'; this adds the size limits and the state that tells a complete message from a part.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from crowpost.node.http.message import (
    CONTENT_LENGTH,
    HOST,
    MAX_BODY,
    MAX_HEAD,
    TRANSFER_ENCODING,
    Message,
    MessageError,
)


class MessageReceiver(Protocol):
    """What a parser calls.

    A message with a short body comes as a whole.  One with a long body comes as a stream: start, data and
    end.
    """

    def on_head(self, message: Message) -> None:
        """Handle a head whose body has not come yet."""

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""

    def on_stream_start(self, message: Message) -> None:
        """Handle the beginning of a message with a long body."""

    def on_stream_data(self, data: bytes) -> None:
        """Handle a part of a long body."""

    def on_stream_end(self, message: Message) -> None:
        """Handle the end of a long body."""


class MessageParser:
    """Parses messages within the size limits, with httptools.

    The limits are kept here because httptools would collect a header without end.

    requests: whether requests are parsed, or responses.
    """

    __slots__ = (
        "_body",
        "_failure",
        "_head_bytes",
        "_head_bytes_left",
        "_in_body",
        "_message",
        "_parser",
        "_receiver",
        "_stopped",
        "_stream_immediately",
        "_streaming",
        "body_size",
    )

    def __init__(self, receiver: MessageReceiver, *, requests: bool) -> None:
        self._receiver = receiver
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self._failure: MessageError | None = None
        self._stopped = False
        self._head_bytes_left = MAX_HEAD
        self._head_bytes = 0
        self._in_body = False
        # A response that is known to be long is streamed from its first byte, a request from MAX_BODY on.
        self._stream_immediately = False
        self._streaming = False
        self._message: Message | None = None
        self._body: list[bytes] = []
        self.body_size = 0  # bytes of the current message, as far as it has come

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._message is not None

    @property
    def in_body(self) -> bool:
        """Whether the head is complete, and the body is not."""
        return self._message is not None and self._in_body

    @property
    def awaits_unsized_body(self) -> bool:
        """Whether a body of unknown length is coming in and is buffered."""
        message = self._message
        return self.in_body and not self._streaming and message is not None and message.content_length is None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise MessageError if they cannot belong to a message that is accepted."""
        if not self._in_body:
            self._head_bytes_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                return
            if self._failure is None:
                raise MessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise self._failure
        if not self._in_body and self._head_bytes_left < 0:
            raise MessageError(400, "the head is too large")

    def stop(self) -> None:
        """Parse no further message, not even of the bytes at hand: a flood may hold thousands."""
        self._stopped = True

    def feed_eof(self) -> None:
        """Note the end of the stream: a response without a length is complete now (RFC 9112, section 6.3)."""
        message = self._message
        if message is None or not self._in_body or self._failure is not None:
            return
        if CONTENT_LENGTH not in message.headers and TRANSFER_ENCODING not in message.headers:
            self.on_message_complete()

    def start_streaming(self) -> None:
        """Stop buffering the body: what has come of it starts a stream."""
        if self._message is not None and not self._streaming:
            self._message.body = b"".join(self._body)
            self._body.clear()
            self._streaming = True
            self._receiver.on_stream_start(self._message)

    def on_message_begin(self) -> None:
        """Begin a message; called by httptools, as are the methods below."""
        if self._stopped:
            raise MessageError(400, "no further message is read")  # ends the parser; `feed` knows why
        self._message = Message()
        self._body.clear()
        self.body_size = 0
        self._head_bytes = 0
        self._streaming = False

    def on_url(self, part: bytes) -> None:
        """Collect the target of a request."""
        if self._message is not None:
            self._message.target += part
            self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are ignored."""
        if self._message is None:
            return
        self._count_head_bytes(len(name) + len(value))
        if self._in_body:
            return  # a trailer: what it says was not known when the head was acted on
        name = name.lower()
        if name in self._message.headers:
            self._message.repeated_headers.add(name)
        self._message.headers[name] = value.strip(b" \t")  # httptools leaves white space behind a value

    def on_headers_complete(self) -> None:
        """Check a complete head and pass it on."""
        message = self._message
        if message is None:
            return
        self._in_body = True
        parser = self._parser
        message.version = parser.get_http_version()
        if parser.should_upgrade():
            self._fail(400, "no other protocol is spoken here")
        if message.version not in ("1.0", "1.1"):
            self._fail(400, "unknown version")
        coding = message.headers.get(TRANSFER_ENCODING)
        if coding is not None and (coding.lower() != b"chunked" or message.version == "1.0"):
            self._fail(400, f"transfer coding {coding!r} in HTTP/{message.version}")
        if HOST in message.repeated_headers:
            self._fail(400, "two hosts")
        if isinstance(parser, httptools.HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
            self._stream_immediately = (message.content_length or 0) > MAX_BODY
        message.keep_alive = parser.should_keep_alive()
        if self._failure is None:
            self._receiver.on_head(message)

    def on_body(self, part: bytes) -> None:
        """Buffer a part of a body, or pass it on."""
        if self._failure is not None:
            return
        self.body_size += len(part)
        if self._streaming:
            self._receiver.on_stream_data(part)
            return
        self._body.append(part)
        if self._stream_immediately or self.body_size > MAX_BODY:
            self.start_streaming()

    def on_message_complete(self) -> None:
        """End a message and pass it on."""
        message = self._message
        if message is None or self._failure is not None:
            return
        self._message = None
        self._in_body = False
        self._head_bytes_left = MAX_HEAD
        self._stream_immediately = False
        if self._streaming:
            self._receiver.on_stream_end(message)
            return
        message.body = b"".join(self._body)
        self._body.clear()
        if not 100 <= message.status < 200:  # interim responses are skipped
            self._receiver.on_message(message)

    def _count_head_bytes(self, size: int) -> None:
        """Measure a head before it is passed on, also one that came in a single read."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> None:
        if self._failure is None:
            self._failure = MessageError(status, text)
        self._body.clear()
