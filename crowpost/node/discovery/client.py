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
# A change of the list must be known after 6 s, so that a new watch must bring it before that.
SILENCE_TIMEOUT_S = 4.5
# A new watch brings its first line at once, or an empty one after 2 s.  After a start beside another process,
# and after SIGHUP, a change must be known sooner than otherwise; and a pause may follow a call that is given
# up, before the next call brings the change within the 6 s.
FIRST_LINE_TIMEOUT_S = 2.5
# The backoff before the agent is watched again: doubled while it fails, with jitter, as all nodes lose it at
# once.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 1.0  # behind a silence this still brings a change in time


class DiscoveryClient:
    """Keeps at most one watch; reports each list, and once each call or watch that failed.

    Where lists are pushed, the watch is on the machine's own agent: it costs nothing, is kept open without
    `subscribe`, and its failures are not reported, as they say nothing of the list.

    call_timeout_s: for the first line of a watch.
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
        """Start from the version of the known list."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch from the last version on, in place of a watch that is still open."""
        self.close()
        self._call = self._loop.create_task(self._open_watch())

    def move(self, address: tuple[str, int]) -> None:
        """Follow discovery to another address, from the last version on, if the old address was watched."""
        self.address = address
        if self._pushed or self._watch is not None:
            self.subscribe()

    def close(self) -> None:
        """Close the watch without a report."""
        watch = self._watch
        self._watch = None
        if self._call is not None:
            self._call.cancel()
            self._call = None
        self._set_timeout(None)
        if watch is not None:
            watch.close()

    async def _open_watch(self) -> None:
        host, port = self.address
        target = b"/v1/endpoints?watch=1&from=%d" % self._version
        watch = Watch(
            target,
            b"%s:%d" % (host.encode(), port),
            lambda line: self._on_line(watch, line),
            lambda: self._on_closed(watch),
        )
        self._watch = watch
        self._set_timeout(min(self._call_timeout_s, FIRST_LINE_TIMEOUT_S))
        try:
            await self._loop.create_connection(lambda: watch, host, port)
        except OSError:
            self._on_closed(watch)

    def _set_timeout(self, seconds: float | None) -> None:
        """Let the watch fail unless something complete comes in this time: a cut link says nothing."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if seconds is None else self._loop.call_later(seconds, self._fail)

    def _on_line(self, watch: Watch, line: bytes) -> None:
        if watch is not self._watch:
            return  # a late line of an earlier watch
        if not line.strip():
            self._on_empty_line(watch)
            return
        try:
            raw = watch.objects.take(line)
            if raw is None:
                return  # the timeout goes on: a part of a list is no better than silence
            listing = replace(self._naming.read(raw), raw=raw["instances"])
        except (ValueError, ListError) as error:
            log.warning("discovery: bad line: %s", error)
            self._fail()
            return
        self._on_progress()
        watch.answered = True
        self._version = listing.version
        self._on_list(listing)

    def _on_empty_line(self, watch: Watch) -> None:
        if watch.objects.in_object():
            return
        self._on_progress()
        if not (watch.answered or self._pushed):
            # Nothing has changed, which answers the call; unanswered it would soon be made again.
            watch.answered = True
            self._on_list(Listing(self._version, False, (), {}))

    def _on_progress(self) -> None:
        """Note that the watch has sent something complete."""
        self._failures = 0
        self._set_timeout(SILENCE_TIMEOUT_S)

    def _on_closed(self, watch: Watch) -> None:
        if watch is self._watch:
            self._fail()

    def _fail(self) -> None:
        self.close()
        if not self._pushed:
            self._on_failed()
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(self._failures, 10))
        self._failures += 1
        jitter = 0.5 + 0.5 * self._random.random()
        self._timer = self._loop.call_later(backoff_s * jitter, self.subscribe)
