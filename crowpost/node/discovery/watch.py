"""One watch of the endpoint list: a streamed HTTP response, split into lines and JSON objects."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import httptools

log = logging.getLogger(__name__)

# Called with a watch and a complete line of it.
OnLine = Callable[["Watch", bytes], None]
# Called once, with a watch whose connection has ended.
OnClosed = Callable[["Watch"], None]

# Enough for about ten thousand endpoints, over one line or several.
MAX_LIST_BYTES = 4 * 1024 * 1024


class ObjectAssembler:
    """Assembles JSON objects from lines: an object may be indented and span several lines."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = 0

    def in_object(self) -> bool:
        """Return whether an object has begun and is not complete."""
        return bool(self._lines)

    def take(self, line: bytes) -> Any:
        """Return the object that ends with this line; None if it is still incomplete.

        Raise ValueError if the lines cannot form an object.  Only the first line and those that may end an
        object are parsed, so that an object over many lines costs no more than one on a single line.
        """
        self._lines.append(line)
        self._size += len(line)
        if self._size > MAX_LIST_BYTES:
            raise ValueError(f"the list is longer than {MAX_LIST_BYTES} bytes")
        if len(self._lines) > 1 and not line.rstrip().endswith(b"}"):
            return None
        text = b"\n".join(self._lines).decode()
        try:
            complete = json.loads(text)
        except json.JSONDecodeError as error:
            if error.pos < len(text.rstrip()):
                raise
            return None
        self._lines.clear()
        self._size = 0
        return complete


class Watch(asyncio.Protocol):
    """One watch on one connection.

    on_line: called with each complete line; on_closed: called once, at the end of the connection.
    """

    def __init__(self, target: bytes, host: bytes, on_line: OnLine, on_closed: OnClosed) -> None:
        self._request = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, host)
        self._on_line = on_line
        self._on_closed = on_closed
        # Only while the connection is open: it refers to this object.
        self._parser: httptools.HttpResponseParser | None = None
        # The parts of the body from the current read, and the incomplete line from earlier ones.
        self._parts: list[bytes] = []
        self._partial_line = bytearray()
        self.objects = ObjectAssembler()
        # Whether the watch has delivered a list, or an empty line that means no change.
        self.answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery: the response cannot be read: %s", error)
            self._split_lines()
            self.close()
        else:
            self._split_lines()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio's signature
        """Report the end of the watch."""
        self._parser = None
        self._on_closed(self)

    def on_headers_complete(self) -> None:
        """Close the watch unless the status is 200; httptools calls this and the next two methods."""
        assert self._parser is not None
        if self._parser.get_status_code() != 200:
            self.close()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._parts.append(part)

    def _split_lines(self) -> None:
        """Split the body into lines once for each read: a list may arrive in chunks of a byte."""
        if not self._parts:
            return
        *lines, rest = b"".join(self._parts).split(b"\n")
        self._parts.clear()
        if lines:
            lines[0] = bytes(self._partial_line) + lines[0]
            self._partial_line.clear()
        self._partial_line += rest
        for line in lines:
            self._on_line(self, line)
        if len(self._partial_line) > MAX_LIST_BYTES:
            log.warning("discovery: a line is longer than %d bytes", MAX_LIST_BYTES)
            self.close()

    def on_message_complete(self) -> None:
        """Close the watch, as discovery has ended it."""
        self._split_lines()
        self.close()

    def close(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abort()
