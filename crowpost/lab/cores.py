"""The cores of a server, whose rate changes, and the crowd before them that turns it slow.

Work is counted in ms of a core of speed 1.  What has begun keeps its core: a change of rate moves its end.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from crowpost.lab.engine import Engine, Planned
from crowpost.lab.scenario import Crowding


@dataclass(slots=True, eq=False)
class Segment:
    """Work for a core."""

    left: float
    then: Callable[[], None]
    since: float = 0.0
    planned: Planned | None = None


class Cores:
    """Cores that take segments in the order in which they come; `rate` tells what each does in a ms."""

    def __init__(
        self, engine: Engine, count: int, rate: Callable[[], float], moved: Callable[[], None]
    ) -> None:
        self.engine, self.count = engine, count
        self.done_work = 0.0  # ms of work taken on, over the run
        self._rate_now, self._moved = rate, moved
        self._rate = rate()
        self._running: list[Segment] = []
        self._ready: deque[Segment] = deque()

    @property
    def busy(self) -> int:
        """Cores at work."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Segments that wait for a core."""
        return len(self._ready)

    def backlog(self) -> float:
        """Work in ms that stands before a segment that comes now."""
        return sum(s.left for s in self._running) + sum(s.left for s in self._ready)

    def compute(self, work: float, then: Callable[[], None]) -> None:
        """Do so much work, then make the call."""
        self.done_work += work
        segment = Segment(work, then)
        if len(self._running) < self.count:
            self._run(segment)
        else:
            self._ready.append(segment)
            self._moved()

    def _run(self, segment: Segment) -> None:
        segment.since = self.engine.now
        self._running.append(segment)
        if self._rate:
            segment.planned = self.engine.after(segment.left / self._rate, self._done, segment)

    def _done(self, segment: Segment) -> None:
        self._running.remove(segment)
        if self._ready:
            self._run(self._ready.popleft())
        self._moved()
        segment.then()

    def retime(self) -> None:
        """The rate may have changed: move the ends of what runs."""
        now, old = self.engine.now, self._rate
        rate = self._rate = self._rate_now()
        for segment in self._running:
            segment.left = max(0.0, segment.left - (now - segment.since) * old)
            segment.since = now
            if segment.planned is not None:
                Engine.cancel(segment.planned)
            segment.planned = self.engine.after(segment.left / rate, self._done, segment) if rate else None

    def clear(self) -> None:
        """The process ends: nothing of it is done any more."""
        for segment in self._running:
            if segment.planned is not None:
                Engine.cancel(segment.planned)
        self._running.clear()
        self._ready.clear()


class Contention:
    """Too many waiting for too long turn a server slow, until it has rested or its time is over."""

    def __init__(self, engine: Engine, law: Crowding | None, cores: int, changed: Callable[[], None]) -> None:
        self.engine, self.law, self._cores, self._changed = engine, law, cores, changed
        self.slow_until = 0.0
        self.slow_ms = 0.0  # over the run
        self._since: float | None = None  # when too many began to wait
        self._rested_since: float | None = None

    @property
    def slower(self) -> float:
        """By how much the server is slower now."""
        return self.law.slower if self.law is not None and self.slow_until > self.engine.now else 1.0

    def watch(self, waiting: int, busy: int) -> None:
        """So many wait and so many cores are at work now."""
        law, now = self.law, self.engine.now
        if law is None:
            return
        if self.slow_until > now:
            if busy + waiting > self._cores:
                self._rested_since = None
            elif self._rested_since is None:
                self._rested_since = now
                self.engine.after(law.rest_ms, self._rested, now)
        elif waiting <= law.waiting_per_core * self._cores:
            self._since = None
        elif self._since is None:
            self._since = now
            self.engine.after(law.after_ms, self._crowded, now)

    def _crowded(self, since: float) -> None:
        if self._since != since or self.law is None:
            return
        self._since, self._rested_since = None, None
        self.slow_until = self.engine.now + self.law.at_most_ms
        self.slow_ms -= self.engine.now
        self._changed()
        self.engine.at(self.slow_until, self._recover, self.slow_until)

    def _rested(self, since: float) -> None:
        if self._rested_since == since:
            self._recover(self.slow_until)

    def _recover(self, until: float) -> None:
        if self.slow_until == until and until:
            self.clear()
            self._changed()

    def clear(self) -> None:
        """Nothing is held against the server any more."""
        if self.slow_until:
            self.slow_ms += self.engine.now
        self.slow_until, self._since, self._rested_since = 0.0, None, None
