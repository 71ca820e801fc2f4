"""One watch of the endpoint list: a streamed HTTP response, split into lines and JSON objects."""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable
from typing import Any, cast

import httptools

from crowpost.node.reading import READ_BYTES, ConnectionReader, ReadScheduler

log = logging.getLogger(__name__)

# Called with a watch and a complete line of it.
OnLine = Callable[["Watch", bytes], None]
# Called with a watch after the lines of one read have been delivered.
OnRead = Callable[["Watch"], None]
# Called once, with a watch whose connection has ended.
OnClosed = Callable[["Watch"], None]

# Called with each JSON object, before the one that contains it; returns what takes its place.
ObjectHook = Callable[[dict[str, Any]], Any]

STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
# Enough for about ten thousand endpoints, over one line or several.
MAX_LIST_BYTES = 4 * 1024 * 1024
# The work of a line that is not empty, which may change the list, as a number of parsed parts.
PARTS_PER_LINE = 64


def depth_change(line: bytes) -> int:
    """Return how many more objects a line opens than it closes; strings of JSON do not span lines."""
    outside_strings = STRING.sub(b"", line)
    return outside_strings.count(b"{") - outside_strings.count(b"}")


class ObjectAssembler:
    """Assembles JSON objects from lines: an object may be indented and span several lines.

    object_hook: replaces each object as soon as it is parsed, as for `json.loads`.
    """

    def __init__(self, object_hook: ObjectHook | None = None) -> None:
        self._object_hook = object_hook
        # The lines of an incomplete object, as one piece: thousands of short lines would take far more.
        self._text = bytearray()
        # How many objects of these lines are open.
        self._depth = 0

    def in_object(self) -> bool:
        """Return whether an object has begun and is not complete."""
        return bool(self._text)

    def take(self, line: bytes) -> Any:
        """Return the object that ends with this line; None if it is still incomplete.

        Raise ValueError if the lines cannot form an object.  Only the first line and the one that closes the
        object are parsed, so that an object over many lines costs no more than one on a single line.
        """
        is_first = not self._text
        if len(self._text) + len(line) > MAX_LIST_BYTES:
            raise ValueError(f"the list is longer than {MAX_LIST_BYTES} bytes")
        if is_first:
            # A list on one line is parsed without a copy.
            complete = self._parse(line)
            if complete is not None:
                return complete
        self._text += line
        self._text += b"\n"
        self._depth += depth_change(line)
        if is_first or self._depth > 0:
            return None
        complete = self._parse(self._text)
        if complete is not None:
            self._text.clear()
            self._depth = 0
        return complete

    def _parse(self, text: bytes | bytearray) -> Any:
        decoded = text.decode()
        try:
            return json.loads(decoded, object_hook=self._object_hook)
        except json.JSONDecodeError as error:
            if error.pos < len(decoded.rstrip()):
                raise
            return None
        except RecursionError as error:
            raise ValueError("the list is nested too deeply") from error


class Watch(asyncio.BufferedProtocol):
    """One watch on one connection.

    on_line: called with each complete line; on_read: called after the lines of each read; on_closed: called
    once, at the end of the connection; reads: schedules the reads of all connections of the node.
    """

    def __init__(
        self,
        target: bytes,
        host: bytes,
        on_line: OnLine,
        on_closed: OnClosed,
        on_read: OnRead = lambda _: None,
        reads: ReadScheduler | None = None,
        object_hook: ObjectHook | None = None,
    ) -> None:
        self._on_read = on_read
        self._reads = reads
        self._reader: ConnectionReader | None = None
        # The work of the present read, in parsed parts.
        self._work = 0
        self._request = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, host)
        self._on_line = on_line
        self._on_closed = on_closed
        # Only while the connection is open: it refers to this object.
        self._parser: httptools.HttpResponseParser | None = None
        # The parts of the body from the current read, and the incomplete line from earlier ones.
        self._parts: list[bytes] = []
        self._partial_line = bytearray()
        self.objects = ObjectAssembler(object_hook)
        # Whether the watch has delivered a list, or an empty line that means no change.
        self.answered = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        # uvloop's transports are not subclasses of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        self._parser = httptools.HttpResponseParser(self)
        if self._reads is not None:
            self._reader = ConnectionReader(self.transport, self._reads)
        self.transport.write(self._request)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  asyncio's signature
        """Return the buffer of the next read."""
        assert self._reads is not None
        return self._reads.buffer[: self._max_read_bytes()]

    def _max_read_bytes(self) -> int:
        return READ_BYTES if self._reader is None else self._reader.max_read_bytes(READ_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        assert self._reads is not None
        filled = nbytes == self._max_read_bytes()
        self.data_received(self._reads.buffer[:nbytes])
        if self._reader is not None:
            self._reader.finish_read(nbytes, self._work, filled=filled)

    def data_received(self, data: bytes | memoryview) -> None:
        """Parse received bytes."""
        self._work = 0
        self._parse(data)
        self._on_read(self)

    def _parse(self, data: bytes | memoryview) -> None:
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
        self._reader = None
        self._on_closed(self)

    def on_headers_complete(self) -> None:
        """Close the watch unless the status is 200; httptools calls this and the next two methods."""
        assert self._parser is not None
        if self._parser.get_status_code() != 200:
            self.close()

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        self._parts.append(part)
        self._work += 1

    def _split_lines(self) -> None:
        """Split the body into lines once for each read: a list may arrive in chunks of a byte."""
        if not self._parts:
            return
        *lines, rest = b"".join(self._parts).split(b"\n")
        self._parts.clear()
        if lines:
            self._partial_line += lines[0]
            lines[0] = bytes(self._partial_line)
            self._partial_line.clear()
        self._partial_line += rest
        for line in lines:
            self._work += PARTS_PER_LINE if line else 1
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
