"""HTTP/1.1 framing in both directions: whole messages or long ones in pieces in, bytes out.

Parsing is httptools'; this adds the size limits, the bookkeeping that tells a whole message from a part, and
the way of a long body from one socket to another.
"""

from __future__ import annotations

import json
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import httptools

MAX_BODY = 64 * 1024  # that is held whole
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


class MessageError(Exception):
    """A message that cannot be taken; a request of this form is answered with the status."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or answer: whole, or the head of a long one and the first bytes of its body."""

    start: bytes = b""  # a request's target
    method: bytes = b""
    status: int = 0
    version: str = "1.1"
    headers: dict[bytes, bytes] = field(default_factory=dict)
    repeated: set[bytes] = field(default_factory=set)
    body: bytes = b""
    keep_alive: bool = False
    upload: Upload | None = None  # the body of a request too long to be held

    @property
    def length(self) -> int | None:
        """The length of the body, where the head tells it."""
        text = self.headers.get(CONTENT_LENGTH)
        return None if text is None else int(text)


class Receiver(Protocol):
    """What a reader hands on: a message whole, or, if its body is long, begun, in pieces, and ended."""

    def on_head(self, message: Message) -> None: ...

    def on_whole(self, message: Message) -> None: ...

    def on_long(self, message: Message) -> None: ...

    def on_piece(self, piece: bytes) -> None: ...

    def on_end(self, message: Message) -> None: ...


class Reader:
    """Feeds bytes to httptools and hands on messages, within the size limits.

    The limits are kept here because the parser itself would collect a header without end.
    """

    __slots__ = (
        "_at_once",
        "_body",
        "_failure",
        "_head_left",
        "_head_size",
        "_in_body",
        "_message",
        "_parser",
        "_receiver",
        "_stopped",
        "_streaming",
        "body_size",
    )

    def __init__(self, receiver: Receiver, *, requests: bool) -> None:
        self._receiver = receiver
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser
        self._parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self._failure: MessageError | None = None
        self._stopped = False
        self._head_left = MAX_HEAD
        self._head_size = 0
        self._in_body = False
        self._at_once = (
            False  # the first piece of a long answer is wanted at once, a request's at a full hold
        )
        self._streaming = False
        self._message: Message | None = None
        self._body: list[bytes] = []
        self.body_size = 0  # of the present message, as far as it has come

    @property
    def within(self) -> bool:
        """Whether a message has begun and is not whole yet."""
        return self._message is not None

    @property
    def in_body(self) -> bool:
        """Whether the head has come whole, and the body not."""
        return self._message is not None and self._in_body

    @property
    def open_ended(self) -> bool:
        """Whether a body is coming in that nothing is handed on of, and that may yet be long."""
        message = self._message
        return self.in_body and not self._streaming and message is not None and message.length is None

    def feed(self, data: bytes) -> None:
        """Take in bytes; MessageError if they cannot belong to a message that is taken."""
        if not self._in_body:
            self._head_left -= len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._stopped:
                return
            if self._failure is None:
                raise MessageError(400, f"malformed message: {error}") from None
        if self._failure is not None:
            raise self._failure
        if not self._in_body and self._head_left < 0:
            raise MessageError(400, "the head is too large")

    def stop(self) -> None:
        """Read no further message, not even of the bytes at hand: a flood may hold thousands."""
        self._stopped = True

    def finish(self) -> None:
        """The sender has ended: an answer without a length is whole now, as HTTP has it."""
        message = self._message
        if message is None or not self._in_body or self._failure is not None:
            return
        if CONTENT_LENGTH not in message.headers and TRANSFER_ENCODING not in message.headers:
            self.on_message_complete()

    def hand_on(self) -> None:
        """Wait no longer for the whole body: what has come of it is handed on as the first piece."""
        if self._message is not None and not self._streaming:
            self._message.body = b"".join(self._body)
            self._body.clear()
            self._streaming = True
            self._receiver.on_long(self._message)

    # What httptools calls.

    def on_message_begin(self) -> None:
        if self._stopped:
            raise MessageError(400, "no further message is read")  # ends the parser; `feed` knows why
        self._message = Message()
        self._body.clear()
        self.body_size = 0
        self._head_size = 0
        self._streaming = False

    def on_url(self, part: bytes) -> None:
        if self._message is not None:
            self._message.start += part
            self._measure(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._message is None:
            return
        self._measure(len(name) + len(value))
        if self._in_body:
            return  # a trailer: what it says was not known when the head was acted on
        name = name.lower()
        if name in self._message.headers:
            self._message.repeated.add(name)
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
        if HOST in message.repeated:
            self._fail(400, "two hosts")
        if isinstance(parser, httptools.HttpRequestParser):
            message.method = parser.get_method()
        else:
            message.status = parser.get_status_code()
            self._at_once = (message.length or 0) > MAX_BODY
        message.keep_alive = parser.should_keep_alive()
        if self._failure is None:
            self._receiver.on_head(message)

    def on_body(self, part: bytes) -> None:
        if self._failure is not None:
            return
        self.body_size += len(part)
        if self._streaming:
            self._receiver.on_piece(part)
            return
        self._body.append(part)
        if self._at_once or self.body_size > MAX_BODY:
            self.hand_on()

    def on_message_complete(self) -> None:
        message = self._message
        if message is None or self._failure is not None:
            return
        self._message, self._in_body, self._head_left = None, False, MAX_HEAD
        self._at_once = False
        if self._streaming:
            self._receiver.on_end(message)
            return
        message.body = b"".join(self._body)
        self._body.clear()
        if not 100 <= message.status < 200:  # an interim answer is no answer
            self._receiver.on_whole(message)

    def _measure(self, size: int) -> None:
        """A head that came whole in one piece is measured here, before it is taken."""
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._fail(400, "the head is too large")

    def _fail(self, status: int, text: str) -> None:
        if self._failure is None:
            self._failure = MessageError(status, text)
        self._body.clear()


class Sink(Protocol):
    """Where the pieces of a long body go."""

    def piece(self, data: bytes) -> None: ...

    def last(self) -> None: ...


class Upload:
    """A request's body too long to be held: its pieces go to the one attempt that carries it.

    Until there is one, and while that one takes nothing, the caller's connection is not read.
    """

    def __init__(self, first: bytes, length: int | None, pace: Callable[[bool], None]) -> None:
        self.length = length
        self.ended = False  # its last byte has come
        self.spent = False  # it has begun to go to a server, and is held no longer
        self.on_end: Callable[[], None] | None = None
        self._held = [first]
        self._pace = pace  # whether the caller's connection is to be read
        self._sink: Sink | None = None
        pace(False)

    def feed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.piece(data)
        elif not self.spent:
            self._held.append(data)

    def finish(self) -> None:
        self.ended = True
        if self.on_end is not None:
            self.on_end()
        if self._sink is not None:
            self._sink.last()

    def attach(self, sink: Sink) -> None:
        """From here on the sink has every piece, once."""
        self.spent, self._sink = True, sink
        held, self._held = self._held, []
        for data in held:
            sink.piece(data)
        if self.ended:
            sink.last()
        self._pace(True)

    def detach(self) -> None:
        """Nobody wants the rest."""
        self._sink = None
        self._pace(True)

    def pace(self, go_on: bool) -> None:
        """The sink takes more, or does not."""
        if self._sink is not None and not self.ended:
            self._pace(go_on)


class Budget:
    """The bytes that long bodies and held ones may take in this node at once."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self._waiting: deque[tuple[int, Callable[[], None]]] = deque()

    def take(self, size: int) -> bool:
        """Whether there was room for so many more."""
        if self.held + size > self.most:
            return False
        self.held += size
        return True

    def take_when_free(self, size: int, then: Callable[[], None]) -> None:
        """Take so many as soon as there is room, in the order of asking."""
        if not self._waiting and self.take(size):
            then()
        else:
            self._waiting.append((size, then))

    def give(self, size: int) -> None:
        self.held -= size
        while self._waiting and self.take(self._waiting[0][0]):
            self._waiting.popleft()[1]()


def chunk(data: bytes) -> bytes:
    """A piece of a body in chunked coding; without data the end of the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer(status: int, body: bytes = b"", extra: bytes = b"", *, close: bool = False) -> bytes:
    """An answer to a caller; extra holds whole header lines."""
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        _REASONS[status],
        len(body),
        extra,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def long_answer_head(message: Message, *, version: str, close: bool) -> tuple[bytes, bool]:
    """The head of a long answer of a server's as its caller gets it, and whether the body goes in chunks."""
    kind = message.headers.get(CONTENT_TYPE)
    lines = [b"HTTP/1.1 200 OK\r\n", b"Content-Type: %s\r\n" % kind if kind else b""]
    chunked = message.length is None and version == "1.1"
    if message.length is not None:
        lines.append(b"Content-Length: %d\r\n" % message.length)
    elif chunked:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    lines.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(lines), chunked


def load_report(message: Message | None, columns: Sequence[str]) -> tuple[float, ...]:
    """The load report of an answer, in the order of the columns; empty where there is none that can be read.

    A report only advises: one that is malformed spoils neither its answer nor the connection.
    """
    raw = message.headers.get(LOAD) if message is not None else None
    if raw is None or not columns:
        return ()
    try:
        report = json.loads(raw)
        values = tuple(float(report[name]) for name in columns)
    except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
        return ()
    return values if all(math.isfinite(value) and value >= 0.0 for value in values) else ()


def request_head(message: Message, host: bytes) -> bytes:
    """The part of an attempt's head that is the same for each attempt: all but the deadline."""
    lines = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (message.method, message.start, host)]
    lines.append(b"X-Request-Id: %s\r\n" % message.headers[REQUEST_ID])
    key = message.headers.get(IDEMPOTENCY_KEY)
    if key is not None:
        lines.append(b"Idempotency-Key: %s\r\n" % key)
    kind = message.headers.get(CONTENT_TYPE)
    if kind is not None:
        lines.append(b"Content-Type: %s\r\n" % kind)
    if message.upload is not None:
        length = message.length
        lines.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length
        )
    elif message.body or message.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(lines)
