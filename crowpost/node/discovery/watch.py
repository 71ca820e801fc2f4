"""One watch of the endpoint list: a streamed HTTP response, cut into lines and JSON objects."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any, cast

import httptools

log = logging.getLogger(__name__)

MAX_LIST_BYTES = 4 * 1024 * 1024  # some ten thousand endpoints, over one line or several


class ObjectAssembler:
    """Assembles JSON objects from lines: an object may come indented, over several lines."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = 0

    def in_object(self) -> bool:
        """Return whether an object has begun and is not complete."""
        return bool(self._lines)

    def take(self, line: bytes) -> Any:
        """Return the object that ends with this line, None if none does.

        Raise ValueError if no object can.  Only the first line and those that may be the last are parsed, so
        that many lines cost no more than one.
        """
        self._lines.append(line)
        self._size += len(line)
        if self._size > MAX_LIST_BYTES:
            raise ValueError(f"a list of more than {MAX_LIST_BYTES} bytes")
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

    def __init__(
        self, target: bytes, host: bytes, on_line: Callable[[bytes], None], on_closed: Callable[[], None]
    ) -> None:
        self._request = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, host)
        self._on_line = on_line
        self._on_closed = on_closed
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = b""
        self.objects = ObjectAssembler()
        self.answered = False  # it has sent a list, or said that nothing has changed
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        self.transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Parse what comes in."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            log.warning("discovery: the response cannot be read: %s", error)
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  asyncio passes it
        """Report the end of the watch."""
        self._on_closed()

    def on_headers_complete(self) -> None:
        """Close the watch if it was refused; called by httptools, as are the two methods below."""
        if self._parser.get_status_code() != 200:
            self.close()

    def on_body(self, part: bytes) -> None:
        """Cut the body into lines."""
        *lines, self._partial_line = (self._partial_line + part).split(b"\n")
        for line in lines:
            self._on_line(line)
        if len(self._partial_line) > MAX_LIST_BYTES:
            log.warning("discovery: a line of more than %d bytes", MAX_LIST_BYTES)
            self.close()

    def on_message_complete(self) -> None:
        """Close the watch, as discovery has ended it."""
        self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
