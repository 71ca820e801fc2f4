"""The discovery client: keeps at most one watch, and reports each list and each failure."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable

from crowpost.node.discovery.endpoint_list import ListError, Listing, Naming
from crowpost.node.discovery.watch import Watch
from crowpost.node.reading import ReadScheduler

log = logging.getLogger(__name__)

# Discovery sends an empty line every 2 s on a watch: if two are missing, discovery is down or its machine is
# partitioned from the node.  A change of the list must be known within 6 s, so the remaining time is left for
# a new watch to deliver it.
IDLE_TIMEOUT_S = 4.5
# A new watch receives its first line immediately, or an empty one after 2 s.  After a start beside another
# process and after SIGHUP, a change must be known sooner than otherwise.  A pause may also follow a call that
# timed out, and the next call must still deliver the change within the 6 s.
FIRST_LINE_TIMEOUT_S = 2.5
# The backoff before the local agent is watched again is doubled with each failure, with jitter because all
# nodes lose the agent at the same time.
MIN_BACKOFF_S = 0.25
# After IDLE_TIMEOUT_S, a backoff of this length still delivers a change of the list in time.
MAX_BACKOFF_S = 1.0


class DiscoveryClient:
    """Keeps at most one watch; reports each list, and each failed call or watch once.

    If lists are pushed, the watch is on the machine's own agent: it costs nothing, is kept open without
    `subscribe`, and its failures are not reported, as they say nothing about the list.

    call_timeout_s: the timeout for the first line of a watch, unless lists are pushed; reads: schedules the
    reads of all connections.
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
        reads: ReadScheduler,
    ) -> None:
        self.address = address
        self._naming = naming
        self._pushed = pushed
        self._call_timeout_s = call_timeout_s
        self._on_list = on_list
        self._on_failed = on_failed
        self._reads = reads
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(seed)
        # Failures since a watch last sent a complete list or an empty line.
        self._failures = 0
        self._version = 0
        self._opened_at = 0.0
        # Whether a line of the present read was a complete list, or empty.
        self._progressed = False
        self._watch: Watch | None = None
        self._call: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, version: int) -> None:
        """Start with the version of the list that is already known."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Open a watch from the last known version on, replacing any open watch."""
        self.close()
        self._call = self._loop.create_task(self._open_watch())

    def move(self, address: tuple[str, int]) -> None:
        """Use another address; if the old one was watched, watch there from the last known version on."""
        self.address = address
        if self._pushed or self._watch is not None:
            self.subscribe()

    def close(self) -> None:
        """Close the watch without reporting a failure."""
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
        authority = b"%s:%d" % (host.encode(), port)
        watch = Watch(
            target,
            authority,
            self._on_line,
            self._on_closed,
            self._on_read,
            self._reads,
            self._naming.shorten,
        )
        self._watch = watch
        self._opened_at = self._loop.time()
        # A pushed list has no interval of calls that a timeout could be a part of.
        call_timeout_s = math.inf if self._pushed else self._call_timeout_s
        self._set_timeout(min(call_timeout_s, FIRST_LINE_TIMEOUT_S))
        try:
            await self._loop.create_connection(lambda: watch, host, port)
        except OSError:
            self._on_closed(watch)

    def _set_timeout(self, seconds: float | None) -> None:
        """Fail the watch unless a complete list or empty line arrives in time: a partition sends no close."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None if seconds is None else self._loop.call_later(seconds, self._fail)

    def _on_line(self, watch: Watch, line: bytes) -> None:
        if watch is not self._watch:
            return  # a late line of a watch that has been replaced
        if not line.strip():
            self._on_empty_line(watch)
            return
        try:
            raw = watch.objects.take(line)
            if raw is None:
                return  # the timeout keeps running: a part of a list does not count as progress
            listing = self._naming.read(raw)
            del raw
        except (ValueError, ListError) as error:
            log.warning("discovery: invalid line in a watch: %s", error)
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
            # The empty line means that nothing has changed.  It is reported as the answer to the call, which
            # would otherwise soon be repeated.
            watch.answered = True
            self._on_list(Listing(self._version, False, (), {}))

    def _on_progress(self) -> None:
        """Reset the failures after a complete list or an empty line; the timeout follows after this read."""
        self._failures = 0
        self._progressed = True

    def _on_read(self, watch: Watch) -> None:
        """Reset the timeout, once for all lines of a read: a cancelled timer keeps its memory for a while."""
        if watch is self._watch and self._progressed:
            self._set_timeout(IDLE_TIMEOUT_S)
        self._progressed = False

    def _on_closed(self, watch: Watch) -> None:
        if watch is self._watch:
            self._fail()

    def _fail(self) -> None:
        self.close()
        if not self._pushed:
            self._on_failed()
            return
        self._timer = self._loop.call_later(self._backoff_s(), self.subscribe)

    def _backoff_s(self) -> float:
        """Return how long to wait before the local agent is watched again after a failure.

        A watch that has worked for a while is replaced at once: what the agent has meanwhile counts as told.
        """
        if not self._failures and self._loop.time() - self._opened_at >= MAX_BACKOFF_S:
            return 0.0
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** min(self._failures, 10))
        self._failures += 1
        return backoff_s * (0.5 + 0.5 * self._random.random())
