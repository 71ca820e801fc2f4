"""Estimates when a client sent the last byte of a body that the node has not read to its end.

The deadline of a request counts from its last byte.  While a server takes a long body slowly, the node does
not read from the client, whose last byte may already wait in the buffers of the kernels.
"""

from __future__ import annotations

import math
from collections import deque

# The receive buffer of a client's socket; Linux reserves twice as much.
RECEIVE_BUFFER_BYTES = 128 * 1024
# The most bytes that a client can have sent and the node has not read: the receive buffer, and the largest
# send buffer to which Linux grows by default.
MAX_UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES + 4 * 1024 * 1024
# The distance between two remembered reads, in bytes.
SAMPLE_BYTES = MAX_UNREAD_BYTES // 16
# While the node reads without a pause, a client's kernel sends what it holds in well under this time.
WINDOW_S = 0.05
# Fewer bytes than this in such a time are all that the client's kernel held.
WINDOW_BYTES = RECEIVE_BUFFER_BYTES // 2


class LastByteEstimate:
    """The earliest time at which the client can have sent the last byte of a body.

    Times are in seconds of any clock.

    length: the bytes of the body, None if they are unknown; now: the time at which reading begins.
    """

    __slots__ = (
        "_earliest",
        "_last_read_at",
        "_length",
        "_samples",
        "_total",
        "_window_bytes",
        "_window_start",
    )

    def __init__(self, length: int | None, now: float) -> None:
        self._length = length
        self._earliest = now
        self._total = 0
        # Earlier reads, as pairs of a time and the bytes that were read until then.
        self._samples: deque[tuple[float, int]] = deque([(now, 0)])
        self._last_read_at = now
        # A time in which the node has read without a pause, and the bytes of these reads.
        self._window_start = now
        self._window_bytes = 0

    def record_read(self, size: int, now: float, reading_since: float) -> None:
        """Record that the node has read this many more bytes of the body.

        reading_since: since when the node has read without a pause.
        """
        self._update_window(size, now, reading_since)
        self._last_read_at = now
        self._total += size
        if self._total - self._samples[-1][1] < SAMPLE_BYTES:
            return
        self._samples.append((now, self._total))
        # At the time of a sample, at most MAX_UNREAD_BYTES more than its bytes can have been sent.
        sent = self._total if self._length is None else self._length
        while len(self._samples) > 1 and self._samples[1][1] <= sent - MAX_UNREAD_BYTES:
            self._samples.popleft()
        if self._samples[0][1] <= sent - MAX_UNREAD_BYTES:
            self._earliest = max(self._earliest, self._samples[0][0])

    def record_waiting(self, now: float, reading_since: float) -> None:
        """Record that the node is waiting for more bytes of the body."""
        self._update_window(0, now, reading_since)

    def _update_window(self, size: int, now: float, reading_since: float) -> None:
        if reading_since > self._window_start:
            self._begin_window(reading_since)
        idle = now - max(self._last_read_at, reading_since) >= WINDOW_S
        if idle:
            # The client's kernel was empty: what has just arrived or is still to come was sent after that.
            self._earliest = max(self._earliest, now - WINDOW_S)
            self._begin_window(now)
        self._window_bytes += size
        if now - self._window_start < WINDOW_S:
            return
        if self._window_bytes < WINDOW_BYTES:
            # Whatever is still to come was sent after the window began.
            self._earliest = max(self._earliest, self._window_start)
        self._begin_window(now)

    def _begin_window(self, start: float) -> None:
        self._window_start = start
        self._window_bytes = 0

    def earliest(self) -> float:
        """Return the time; infinite while too much of a body of known length is left to have been sent."""
        if self._length is not None and self._length - self._total > MAX_UNREAD_BYTES:
            return math.inf
        return self._earliest
