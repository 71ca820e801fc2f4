"""Reading from connections in turns, so that peers with much input do not hold up the others.

A peer can send input faster than it is processed, and in pieces of a byte.  A connection that has caused much
work, or has more input waiting, is therefore not read from again until its next turn, and the work of all
turns in one iteration of the event loop is limited.  The reads of such a connection become smaller, as no
other peer is served before a read has been processed.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque

# The most bytes of one read.
READ_BYTES = 64 * 1024
# Work is counted in parsed parts (a piece of a body, a header), of about a microsecond each.
# A message is counted as this many parts: it is answered as well.
PARTS_PER_MESSAGE = 16
# The work of passing on this many bytes is counted as one part.
BYTES_PER_PART = 1024
# A read that caused more work than this ends the turn of its connection.
MAX_PARTS_PER_READ = 256
# After a read that caused more work than this, the next one is smaller, but not smaller than MIN_READ_BYTES.
MAX_PARTS_OF_LARGE_READ = 1024
MIN_READ_BYTES = 1024
# The most work that waiting connections may cause in one iteration of the event loop, as far as their last
# reads predict it.
MAX_PARTS_PER_ITERATION = 4096


class ReadScheduler:
    """Gives turns to connections with much input, in the order in which they asked for one.

    loop: the event loop; None for the running one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        # Received bytes; shared, since each read is processed before the next one.
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._loop = loop or asyncio.get_running_loop()
        self._waiting: deque[ConnectionReader] = deque()

    def add(self, reader: ConnectionReader) -> None:
        """Give the reader a turn in a later iteration of the event loop."""
        if not self._waiting:
            self._loop.call_soon(self._give_turns)
        self._waiting.append(reader)

    def _give_turns(self) -> None:
        parts = 0
        for _ in range(len(self._waiting)):
            if parts and parts + self._waiting[0].last_parts > MAX_PARTS_PER_ITERATION:
                break
            reader = self._waiting.popleft()
            parts += reader.last_parts
            reader.begin_turn()
        if self._waiting:
            self._loop.call_soon(self._give_turns)


class ConnectionReader:
    """Reads from a transport while neither flow control nor the scheduler has paused it."""

    __slots__ = (
        "_awaits_turn",
        "_paused",
        "_read_limit",
        "_scheduler",
        "_transport",
        "last_parts",
        "resumed_at",
    )

    def __init__(self, transport: asyncio.Transport, scheduler: ReadScheduler) -> None:
        self._transport = transport
        self._scheduler = scheduler
        self._paused = False
        self._awaits_turn = False
        # The work that the last read caused.
        self.last_parts = 0
        # The most bytes of the next read.
        self._read_limit = READ_BYTES
        # When reading was last resumed, in seconds of `time.monotonic`.
        self.resumed_at = 0.0

    @property
    def reading(self) -> bool:
        """Whether neither flow control nor the scheduler has paused reading."""
        return not self._paused and not self._awaits_turn

    @property
    def paused(self) -> bool:
        """Whether flow control has paused reading."""
        return self._paused

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading for flow control."""
        if paused is not self._paused:
            self._paused = paused
            self._update()

    def max_read_bytes(self, limit: int) -> int:
        """Return the most bytes of the next read, at most `limit`."""
        return min(limit, self._read_limit)

    def finish_read(self, size: int, parts: int, *, filled: bool) -> None:
        """End the turn of the connection after a read that caused much work or left input waiting.

        size: the bytes that were read; parts: the parsed parts; filled: whether they filled the buffer.
        """
        self.last_parts = parts + size // BYTES_PER_PART
        if self.last_parts > MAX_PARTS_OF_LARGE_READ:
            self._read_limit = max(MIN_READ_BYTES, size * MAX_PARTS_OF_LARGE_READ // self.last_parts)
        elif self._read_limit < READ_BYTES and self.last_parts < MAX_PARTS_OF_LARGE_READ // 2:
            self._read_limit = min(READ_BYTES, 2 * self._read_limit)
        if self._awaits_turn or not (filled or self.last_parts > MAX_PARTS_PER_READ):
            return
        self._awaits_turn = True
        self._scheduler.add(self)
        self._update()

    def begin_turn(self) -> None:
        """Read again, unless flow control has paused reading."""
        self._awaits_turn = False
        self._update()

    def _update(self) -> None:
        if self._transport.is_closing():
            return
        reading = self.reading
        if reading is self._transport.is_reading():
            return
        if reading:
            self.resumed_at = time.monotonic()
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
