"""The discovery client: keeps at most one watch and reports each list and each failure."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import replace

from crowpost.node.discovery.endpoint_list import ListError, Listing, Naming
from crowpost.node.discovery.watch import Watch

log = logging.getLogger(__name__)

# A watch sends an empty line every 2 s: after two missing ones its machine is cut off, or discovery is down.
# News counts as told after 6 s whether it came or not, so a new watch must bring it before that.
SILENCE_S = 4.5
# A new watch brings its first line at once, or an empty one after 2 s.  After a start beside another process,
# and after SIGHUP, news counts as told sooner than otherwise; and after a call that is given up a pause may
# follow, before the next one brings what counts as told in 6 s.
FIRST_LINE_S = 2.5
# Pause before the agent is watched anew: doubled while it fails, and less by chance, as all lose it at once.
REWATCH_S = 0.25
REWATCH_MOST_S = 1.0  # beside a silence this still brings the news in time


class DiscoveryClient:
    """Keeps at most one watch; tells of each list, and once of each call or watch that failed.

    Where lists are pushed the watch is on the machine's own agent: it costs nothing, is kept up without
    being asked for, and its breaks say nothing of the list.
    """

    def __init__(
        self,
        address: tuple[str, int],
        naming: Naming,
        *,
        pushed: bool,
        seed: int,
        call_timeout_s: float,
        on_list: Callable[[Listing], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.address = address
        self._naming = naming
        self._pushed = pushed
        self._call_timeout_s = call_timeout_s
        self._on_list = on_list
        self._on_failed = on_failed
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(seed)
        self._failures = 0  # since the last line of a watch
        self._version = 0
        self._watch: Watch | None = None
        self._call: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, version: int) -> None:
        """Begin from the version of the known list."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch from the last version on; replaces a watch that is still there."""
        self.close()
        self._call = self._loop.create_task(self._open())

    def move(self, address: tuple[str, int]) -> None:
        """Discovery has another address: go on there from the last version, if the old one was watched."""
        self.address = address
        if self._pushed or self._watch is not None:
            self.subscribe()

    def close(self) -> None:
        """Drop the watch without a word."""
        watch, self._watch = self._watch, None
        if self._call is not None:
            self._call.cancel()
            self._call = None
        self._expect(None)
        if watch is not None:
            watch.close()

    async def _open(self) -> None:
        host, port = self.address
        target = b"/v1/endpoints?watch=1&from=%d" % self._version
        watch = Watch(
            target,
            b"%s:%d" % (host.encode(), port),
            lambda line: self._line(watch, line),
            lambda: self._lost(watch),
        )
        self._watch = watch
        self._expect(min(self._call_timeout_s, FIRST_LINE_S))
        try:
            await self._loop.create_connection(lambda: watch, host, port)
        except OSError:
            self._lost(watch)

    def _expect(self, seconds: float | None) -> None:
        """A cut link says nothing: without a word in this time the watch has failed."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if seconds is None else self._loop.call_later(seconds, self._fail)

    def _line(self, watch: Watch, line: bytes) -> None:
        if watch is not self._watch:
            return  # a late line of a watch that was given up
        if not line.strip():
            if not watch.objects.in_object():
                self._told()
                if not (watch.answered or self._pushed):
                    # Nothing is new, which answers the call; unanswered it would soon be made again.
                    watch.answered = True
                    self._on_list(Listing(self._version, False, (), {}))
            return
        try:
            raw = watch.objects.take(line)
            if raw is None:
                return  # time runs on: what trickles in is no better than silence
            listing = replace(self._naming.read(raw), raw=raw["instances"])
        except (ValueError, ListError) as error:
            log.warning("discovery: bad line: %s", error)
            self._fail()
            return
        self._told()
        watch.answered = True
        self._version = listing.version
        self._on_list(listing)

    def _told(self) -> None:
        """The watch has said something whole."""
        self._failures = 0
        self._expect(SILENCE_S)

    def _lost(self, watch: Watch) -> None:
        if watch is self._watch:
            self._fail()

    def _fail(self) -> None:
        self.close()
        if self._pushed:
            pause = min(REWATCH_MOST_S, REWATCH_S * 2.0 ** min(self._failures, 10))
            self._failures += 1
            self._timer = self._loop.call_later(pause * (0.5 + 0.5 * self._random.random()), self.subscribe)
        else:
            self._on_failed()
