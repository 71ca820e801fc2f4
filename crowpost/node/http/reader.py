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
    """What a reader hands on: a message whole, or, if its body is long, begun, in pieces, and ended."""

    def on_head(self, message: Message) -> None: ...

    def on_message(self, message: Message) -> None: ...

    def on_stream_start(self, message: Message) -> None: ...

    def on_stream_data(self, piece: bytes) -> None: ...

    def on_stream_end(self, message: Message) -> None: ...


class MessageParser:
    """Feeds bytes to httptools and hands on messages, within the size limits.

    The limits are kept here because the parser itself would collect a header without end.
    """

    __slots__ = (
        "_stream_immediately",
        "_body",
        "_failure",
        "_head_bytes_left",
        "_head_bytes",
        "_in_body",
        "_message",
        "_parser",
        "_receiver",
        "_stopped",
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
        self._stream_immediately = (
            False  # the first piece of a long answer is wanted at once, a request's at a full hold
        )
        self._streaming = False
        self._message: Message | None = None
        self._body: list[bytes] = []
        self.body_size = 0  # of the present message, as far as it has come

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is not whole yet."""
        return self._message is not None

    @property
    def in_body(self) -> bool:
        """Whether the head has come whole, and the body not."""
        return self._message is not None and self._in_body

    @property
    def awaits_unsized_body(self) -> bool:
        """Whether a body is coming in that nothing is handed on of, and that may yet be long."""
        message = self._message
        return self.in_body and not self._streaming and message is not None and message.content_length is None

    def feed(self, data: bytes) -> None:
        """Take in bytes; MessageError if they cannot belong to a message that is taken."""
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
        """Read no further message, not even of the bytes at hand: a flood may hold thousands."""
        self._stopped = True

    def feed_eof(self) -> None:
        """The sender has ended: an answer without a length is whole now, as HTTP has it."""
        message = self._message
        if message is None or not self._in_body or self._failure is not None:
            return
        if CONTENT_LENGTH not in message.headers and TRANSFER_ENCODING not in message.headers:
            self.on_message_complete()

    def start_streaming(self) -> None:
        """Wait no longer for the whole body: what has come of it is handed on as the first piece."""
        if self._message is not None and not self._streaming:
            self._message.body = b"".join(self._body)
            self._body.clear()
            self._streaming = True
            self._receiver.on_stream_start(self._message)

    # What httptools calls.

    def on_message_begin(self) -> None:
        if self._stopped:
            raise MessageError(400, "no further message is read")  # ends the parser; `feed` knows why
        self._message = Message()
        self._body.clear()
        self.body_size = 0
        self._head_bytes = 0
        self._streaming = False

    def on_url(self, part: bytes) -> None:
        if self._message is not None:
            self._message.target += part
            self._count_head_bytes(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._message is None:
            return
        self._count_head_bytes(len(name) + len(value))
        if self._in_body:
            return  # a trailer: what it says was not known when the head was acted on
        name = name.lower()
        if name in self._message.headers:
            self._message.repeated_headers.add(name)
        self._message.headers[name] = value.strip(b" \t")  # the parser leaves what may stand behind a value

    def on_headers_complete(self) -> None:
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
        message = self._message
        if message is None or self._failure is not None:
            return
        self._message, self._in_body, self._head_bytes_left = None, False, MAX_HEAD
        self._stream_immediately = False
        if self._streaming:
            self._receiver.on_stream_end(message)
            return
        message.body = b"".join(self._body)
        self._body.clear()
        if not 100 <= message.status < 200:  # an interim answer is no answer
            self._receiver.on_message(message)

    def _count_head_bytes(self, size: int) -> None:
        """A head that came whole in one piece is measured here, before it is taken."""
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> None:
        if self._failure is None:
            self._failure = MessageError(status, text)
        self._body.clear()
