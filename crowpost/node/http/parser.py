"""Incremental parsing of HTTP/1.1 messages.

httptools parses the grammar; this module adds the size limits and tracks whether a message is complete.
"""

from __future__ import annotations

from typing import Protocol

import httptools

from crowpost.node.http.message import (
    CONTENT_LENGTH,
    HOST,
    MAX_BODY,
    MAX_HEAD,
    READ_HEADERS,
    TRANSFER_ENCODING,
    Message,
    MessageError,
)
from crowpost.node.reading import PARTS_PER_MESSAGE


class MessageReceiver(Protocol):
    """The callbacks of a parser.

    A message with a short body is delivered as a whole, one with a long body as a stream: start, data, end.
    The parts of a long body that arrive in one read are delivered as one, however small its chunks are.
    """

    def on_head(self, message: Message) -> None:
        """Handle a complete head, before its body."""

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""

    def on_stream_start(self, message: Message) -> None:
        """Handle the head and the first bytes of a message with a long body."""

    def on_stream_data(self, data: bytes) -> None:
        """Handle a part of a long body."""

    def on_stream_end(self, message: Message) -> None:
        """Handle the end of a long body."""


class MessageParser:
    """Parses messages within the size limits, with httptools.

    httptools itself would buffer a header of any length.

    requests: whether to parse requests; otherwise responses.
    """

    __slots__ = (
        "_body_wanted",
        "_buffered",
        "_failure",
        "_head_bytes",
        "_head_bytes_left",
        "_in_body",
        "_message",
        "_parser",
        "_parts",
        "_receiver",
        "_stopped",
        "_stream_immediately",
        "_streaming",
        "body_size",
        "parts",
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
        # Whether the message is a response with a long Content-Length, which is streamed from its first byte.
        # All other bodies are streamed once they exceed MAX_BODY.
        self._stream_immediately = False
        self._streaming = False
        # Whether the bytes of the current body are kept or delivered.
        self._body_wanted = True
        self._message: Message | None = None
        # The parts of the current body from the current call of `feed`.
        self._parts: list[bytes] = []
        # The part of the current body from earlier calls, unless it is streamed.
        self._buffered = bytearray()
        # Bytes of the current body that have been received.
        self.body_size = 0
        # The work of messages, headers and parts of bodies in the last call of `feed`.
        self.parts = 0

    def close(self) -> None:
        """Release everything that the parser holds; nothing can be fed to it afterwards.

        httptools' parser and the receiver refer to this object, which refers to them.  Unless a connection
        breaks this cycle when it closes, they stay in memory until a full garbage collection.
        """
        self._message = None
        # The traceback of a raised error refers to the frames of this object's methods.
        self._failure = None
        self._discard_body()
        del self._parser
        del self._receiver

    @property
    def message(self) -> Message | None:
        """The message that has begun and is not complete yet."""
        return self._message

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not complete yet."""
        return self._message is not None

    @property
    def in_body(self) -> bool:
        """Whether the head is complete and the body is not."""
        return self._message is not None and self._in_body

    @property
    def held_body_bytes(self) -> int:
        """The bytes of the incomplete body that the parser holds."""
        return len(self._buffered)

    @property
    def held_bytes(self) -> int:
        """The bytes of the incomplete message that the parser holds: none once its receiver has the head."""
        if self._message is None or self._streaming:
            return 0
        return self._head_bytes + len(self._buffered)

    @property
    def awaits_unsized_body(self) -> bool:
        """Whether a body of unknown length is being received and buffered."""
        message = self._message
        return self.in_body and not self._streaming and message is not None and message.content_length is None

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes; raise MessageError if the message is malformed, too large or unsupported."""
        self.parts = 0
        try:
            self._feed(data)
        finally:
            if self._message is not None:
                self._deliver_parts()

    def _feed(self, data: bytes | memoryview) -> None:
        if not self._in_body:
            self._head_bytes_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                return
            if self._failure is None:
                raise MessageError(400, f"malformed message: {error}") from error
        if self._failure is not None:
            raise self._failure
        if not self._in_body and self._head_bytes_left < 0:
            raise MessageError(400, "the head is too large")

    def stop(self) -> None:
        """Parse no further message, not even from bytes already received: they may hold thousands."""
        self._stopped = True

    def feed_eof(self) -> None:
        """Handle the end of the stream: it completes a response without a length (RFC 9112, section 6.3)."""
        message = self._message
        if message is None or not self._in_body or self._failure is not None:
            return
        if CONTENT_LENGTH not in message.headers and TRANSFER_ENCODING not in message.headers:
            self.on_message_complete()

    def stream_body(self) -> None:
        """Deliver the current body as a stream from its next byte on, however short it is."""
        self._stream_immediately = True

    def drop_body(self) -> None:
        """Keep and deliver no byte of the current body, only the end of its message."""
        if self._message is not None:
            self._body_wanted = False
            self._discard_body()

    def start_streaming(self) -> None:
        """Stop buffering the body, and deliver the part received so far as the start of a stream."""
        if self._message is not None and not self._streaming:
            self._message.body = self._take_body()
            self._streaming = True
            self._receiver.on_stream_start(self._message)

    def on_message_begin(self) -> None:
        """Begin a message; this and the following `on_` methods are called by httptools."""
        if self._stopped:
            # The exception ends httptools' parsing; `feed` ignores it after `stop`.
            raise MessageError(400, "no further message is parsed")
        self.parts += PARTS_PER_MESSAGE
        self._message = Message()
        self._discard_body()
        self.body_size = 0
        self._head_bytes = 0
        self._streaming = False
        self._body_wanted = True

    def on_url(self, part: bytes) -> None:
        """Collect the target of a request."""
        if self._message is not None:
            self._message.target += part
            self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are ignored."""
        if self._message is None:
            return
        self.parts += 1
        self._count_head_bytes(len(name) + len(value))
        if self._in_body:
            return  # a trailer arrives after the head has been handled, so it is ignored
        name = name.lower()
        if name not in READ_HEADERS:
            return
        if name in self._message.headers:
            self._message.repeated_headers.add(name)
        # httptools keeps trailing white space of a value.
        self._message.headers[name] = value.strip(b" \t")

    def on_headers_complete(self) -> None:
        """Check a complete head and deliver it."""
        message = self._message
        if message is None:
            return
        self._in_body = True
        parser = self._parser
        message.version = parser.get_http_version()
        if parser.should_upgrade():
            self._fail(400, "protocol upgrades are not supported")
        if message.version not in ("1.0", "1.1"):
            self._fail(400, "unsupported HTTP version")
        coding = message.headers.get(TRANSFER_ENCODING)
        if coding is not None and (coding.lower() != b"chunked" or message.version == "1.0"):
            self._fail(400, f"transfer coding {coding!r} in HTTP/{message.version}")
        if HOST in message.repeated_headers:
            self._fail(400, "more than one Host header")
        if isinstance(parser, httptools.HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
            self._stream_immediately = (message.content_length or 0) > MAX_BODY
        message.keep_alive = parser.should_keep_alive()
        message.head_bytes = self._head_bytes
        if self._failure is None:
            self._receiver.on_head(message)

    def on_body(self, part: bytes) -> None:
        """Collect a part of a body."""
        if self._failure is not None:
            return
        self.parts += 1
        self.body_size += len(part)
        if self._body_wanted:
            self._parts.append(part)

    def on_message_complete(self) -> None:
        """End a message and deliver it."""
        message = self._message
        if message is None or self._failure is not None:
            return
        if self._is_streamed():
            self._deliver_parts()
        self._message = None
        self._in_body = False
        self._head_bytes_left = MAX_HEAD
        self._stream_immediately = False
        if self._streaming:
            self._receiver.on_stream_end(message)
            return
        if self.body_size:
            message.body = self._take_body()
        # Interim responses are skipped.
        if not 100 <= message.status < 200:
            self._receiver.on_message(message)

    def _is_streamed(self) -> bool:
        """Return whether the body is delivered as a stream."""
        if self._streaming:
            return True
        return self.body_size > MAX_BODY or (self._stream_immediately and self.body_size > 0)

    def _deliver_parts(self) -> None:
        """Deliver the collected parts of a body as one if it is streamed, else buffer them."""
        if self._streaming:
            if self._parts:
                self._receiver.on_stream_data(self._take_body())
        elif self._is_streamed():
            self.start_streaming()
        elif self._parts:
            self._buffered += b"".join(self._parts)
            self._parts.clear()

    def _take_body(self) -> bytes:
        """Return the buffered bytes and the collected parts of the body, and forget them."""
        if self._buffered:
            self._parts.insert(0, bytes(self._buffered))
        body = self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)
        self._discard_body()
        return body

    def _discard_body(self) -> None:
        self._parts.clear()
        if self._buffered:
            self._buffered = bytearray()

    def _count_head_bytes(self, size: int) -> None:
        """Limit the size of a head before it is delivered, even if it arrives in a single read."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> None:
        if self._failure is None:
            self._failure = MessageError(status, text)
        self._discard_body()
