"""The cores of a server, whose rate changes, and the contention of waiting work that slows it down.

Work is counted in ms of a core of speed 1. Running work keeps its core: a change of rate moves its end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from crowpost.lab.engine import Engine, Planned
from crowpost.lab.scenario import Crowding


@dataclass(slots=True, eq=False)
class Segment:
    """A piece of work for one core."""

    remaining: float
    on_done: Callable[[], None]
    since: float = 0.0
    planned: Planned | None = None


class Cores:
    """Cores that run segments in order of arrival; `rate` returns the work in ms that each does in a ms."""

    def __init__(
        self, engine: Engine, count: int, rate: Callable[[], float], on_change: Callable[[], None]
    ) -> None:
        self.engine, self.count = engine, count
        self.done_work = 0.0  # ms of work accepted over the run
        self._current_rate, self._on_change = rate, on_change
        self._rate = rate()
        self._running: list[Segment] = []
        self._queue: deque[Segment] = deque()

    @property
    def busy(self) -> int:
        """Number of cores at work."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of segments that wait for a core."""
        return len(self._queue)

    def backlog(self) -> float:
        """Return the work in ms ahead of a segment that arrives now."""
        return sum(segment.remaining for segment in self._running) + sum(
            segment.remaining for segment in self._queue
        )

    def compute(self, work: float, on_done: Callable[[], None]) -> None:
        """Do this much work, then call `on_done`."""
        self.done_work += work
        segment = Segment(work, on_done)
        if len(self._running) < self.count:
            self._run(segment)
        else:
            self._queue.append(segment)
            self._on_change()

    def _run(self, segment: Segment) -> None:
        segment.since = self.engine.now
        self._running.append(segment)
        if self._rate:
            segment.planned = self.engine.after(segment.remaining / self._rate, self._done, segment)

    def _done(self, segment: Segment) -> None:
        self._running.remove(segment)
        if self._queue:
            self._run(self._queue.popleft())
        self._on_change()
        segment.on_done()

    def retime(self) -> None:
        """Recompute the ends of running segments after a possible change of the rate."""
        now, old = self.engine.now, self._rate
        rate = self._rate = self._current_rate()
        for segment in self._running:
            segment.remaining = max(0.0, segment.remaining - (now - segment.since) * old)
            segment.since = now
            if segment.planned is not None:
                Engine.cancel(segment.planned)
            segment.planned = (
                self.engine.after(segment.remaining / rate, self._done, segment) if rate else None
            )

    def clear(self) -> None:
        """Drop all work: the process has ended."""
        for segment in self._running:
            if segment.planned is not None:
                Engine.cancel(segment.planned)
        self._running.clear()
        self._queue.clear()


class Contention:
    """Slows a server once too many wait for too long, until it has rested or the time limit is reached."""

    def __init__(
        self, engine: Engine, crowding: Crowding | None, cores: int, on_change: Callable[[], None]
    ) -> None:
        self.engine, self.crowding, self._cores, self._on_change = engine, crowding, cores, on_change
        self.slow_until = 0.0
        self.slow_ms = 0.0  # total over the run
        self._since: float | None = None  # when too many began to wait
        self._rested_since: float | None = None

    @property
    def slower(self) -> float:
        """Factor by which the server is slower now."""
        return (
            self.crowding.slower if self.crowding is not None and self.slow_until > self.engine.now else 1.0
        )

    def watch(self, waiting: int, busy: int) -> None:
        """Update with the number of waiting calls and of busy cores."""
        crowding, now = self.crowding, self.engine.now
        if crowding is None:
            return
        if self.slow_until > now:
            if busy + waiting > self._cores:
                self._rested_since = None
            elif self._rested_since is None:
                self._rested_since = now
                self.engine.after(crowding.rest_ms, self._end_if_rested, now)
        elif waiting <= crowding.waiting_per_core * self._cores:
            self._since = None
        elif self._since is None:
            self._since = now
            self.engine.after(crowding.after_ms, self._start_slowdown, now)

    def _start_slowdown(self, since: float) -> None:
        if self._since != since or self.crowding is None:
            return
        self._since, self._rested_since = None, None
        self.slow_until = self.engine.now + self.crowding.at_most_ms
        self.slow_ms -= self.engine.now
        self._on_change()
        self.engine.at(self.slow_until, self._end_slowdown, self.slow_until)

    def _end_if_rested(self, since: float) -> None:
        if self._rested_since == since:
            self._end_slowdown(self.slow_until)

    def _end_slowdown(self, until: float) -> None:
        if self.slow_until == until and until:
            self.clear()
            self._on_change()

    def clear(self) -> None:
        """End the slowdown and forget what was observed."""
        if self.slow_until:
            self.slow_ms += self.engine.now
        self.slow_until, self._since, self._rested_since = 0.0, None, None
