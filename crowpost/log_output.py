"""Writes the log of a node without ever waiting for whoever reads it.

Standard error may be a pipe that nobody reads, or a file on a full disk.  A write that waited would stop the
event loop, so a line that cannot be written at once is dropped, and the number of dropped lines is logged
before the next line that can be written.  The rate of lines is limited too: a peer may cause thousands a
second.
"""

from __future__ import annotations

import contextlib
import logging
import os
import select
import stat
import time

STANDARD_ERROR = 2
# A write of up to this many bytes to a pipe is either complete or not done at all (POSIX, PIPE_BUF).
MAX_LINE_BYTES = 4096
# Kept of the beginning of a longer text; the rest is kept of its end, where a traceback names its error.
KEPT_START_BYTES = 1024
CUT_MARK = b"\n... cut ...\n"

# The lines of informational level that are written in a second, and after a quiet time at once.
MAX_LINES_PER_S = 500.0
MAX_BURST_LINES = 2000.0


class RateLimit:
    """A token bucket: limits a rate in events a second, with a burst after a quiet time."""

    def __init__(self, per_s: float, burst: float) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated_at = 0.0

    def permits(self, now: float) -> bool:
        """Return whether one more event is within the limit, and count it; now: monotonic time in s."""
        earned = self._per_s * (now - self._updated_at)
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LogOutput(logging.Handler):
    """A logging handler that writes lines to a descriptor and never waits."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = _non_blocking_copy(descriptor)
        self._writable = select.poll()
        self._writable.register(self._descriptor, select.POLLOUT)
        self._rate = RateLimit(MAX_LINES_PER_S, MAX_BURST_LINES)
        # Lines that were not written, in all and since the last line that was.
        self.dropped = 0
        self._newly_dropped = 0
        # The end of a line of which only a part was written.
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or drop it if that is not possible at once."""
        if record.levelno < logging.WARNING and not self._rate.permits(time.monotonic()):
            self._drop()
            return
        if self._newly_dropped and not self._write(self._dropped_line(record)):
            self._drop()
            return
        self._newly_dropped = 0
        if not self._write(self.format(record)):
            self._drop()

    def _dropped_line(self, record: logging.LogRecord) -> str:
        text = f"{self._newly_dropped} lines of the log were dropped"
        return self.format(logging.LogRecord(record.name, logging.WARNING, "", 0, text, None, None))

    def _drop(self) -> None:
        self.dropped += 1
        self._newly_dropped += 1

    def _write(self, text: str) -> bool:
        """Write a line and return True; return False if that would wait or fails.

        Of a line that was written in part, the rest goes before the next line.
        """
        if self._rest:
            self._rest = self._rest[self._write_some(self._rest) :]
        if self._rest:
            return False
        data = _shortened(text.encode(errors="replace"))
        written = self._write_some(data)
        if written:
            self._rest = data[written:]
        return written > 0

    def _write_some(self, data: bytes) -> int:
        """Return how many of the bytes were written at once."""
        with contextlib.suppress(OSError):
            if self._writable.poll(0):
                return os.write(self._descriptor, data)
        return 0


def _non_blocking_copy(descriptor: int) -> int:
    """Return a descriptor of the same pipe whose writes do not wait, or the same one.

    Another process may share the descriptor, so its own flags are left as they are.  If it is closed, a file
    that is opened later could get its number: nothing is logged then.
    """
    try:
        is_pipe = stat.S_ISFIFO(os.fstat(descriptor).st_mode)
    except OSError:
        return os.open(os.devnull, os.O_WRONLY | os.O_CLOEXEC)
    if is_pipe:
        with contextlib.suppress(OSError):
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    return descriptor


def _shortened(line: bytes) -> bytes:
    """Return a line with its end, cut in its middle if it is too long to be written at once."""
    if len(line) >= MAX_LINE_BYTES:
        kept_end = MAX_LINE_BYTES - KEPT_START_BYTES - len(CUT_MARK) - 1
        line = line[:KEPT_START_BYTES] + CUT_MARK + line[-kept_end:]
    return line + b"\n"


def install() -> None:
    """Log to standard error from now on, informational lines and above."""
    output = LogOutput(STANDARD_ERROR)
    output.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.setLevel(logging.INFO)
    root.addHandler(output)
