"""An event loop on real sockets whose clock skips the time in which nothing happens.

Timeouts of many seconds are tested in little more time than the work during them takes.  The clock runs at
least as fast as the system clock, so that a test that waits for an event that never occurs still ends.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

QUIET_S = 0.0005  # real time without an event, after which no event is assumed to be in transit
MIN_SKIP_S = 0.02  # shortest skip; timers may be late by this much
MAX_TEST_S = 600.0  # time limit of a test, by the skipping clock


class _Clock:
    def __init__(self) -> None:
        self._monotonic, self._time = time.monotonic, time.time
        self.skipped = 0.0

    def monotonic(self) -> float:
        return self._monotonic() + self.skipped

    def time(self) -> float:
        return self._time() + self.skipped


class _Selector(selectors.DefaultSelector):
    def __init__(self, clock: _Clock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None or timeout <= 0.0:
            return list(super().select(timeout))
        ready = list(super().select(min(timeout, QUIET_S)))
        if not ready:
            self._clock.skipped += max(timeout, MIN_SKIP_S)
        return ready


@contextmanager
def _patched(clock: _Clock) -> Iterator[None]:
    with (
        mock.patch.object(time, "monotonic", clock.monotonic),
        mock.patch.object(time, "time", clock.time),
    ):
        yield


def run_with_skipping_clock(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on a clock that skips the time in which nothing happens."""
    clock = _Clock()
    with (
        _patched(clock),
        asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(_Selector(clock))) as runner,
    ):
        runner.run(asyncio.wait_for(main, MAX_TEST_S))
