"""The node as a follower of the feed: what comes is checked, taken whole or refused, and kept on disk.

Only imported where it is on.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from crowpost.feed.carrier import Carrier
from crowpost.feed.config import FeedConfig
from crowpost.feed.model import WHY_BYTES, Document
from crowpost.feed.shelf import Shelf
from crowpost.node.configuration import ConfigError
from crowpost.node.overlays import Live, Overlays


class Feeding:
    """Joins this node to the feed.  take_over: is given what may change while the node runs, once it has."""

    def __init__(self, config: FeedConfig, overlays: Overlays, take_over: Callable[[Live], None]) -> None:
        self._overlays, self._take_over = overlays, take_over
        self._loop = asyncio.get_running_loop()
        self._carrier = Carrier(config, self._document, kept=overlays.kept)
        self._shelf: Shelf | None = None
        self._thread: ThreadPoolExecutor | None = None  # one: what is newer is written later
        if config.directory is not None:
            self._shelf = Shelf(config.directory, (config.cluster, config.name))
            self._thread = ThreadPoolExecutor(1, thread_name_prefix="feed")
        self._refused: dict[str, int] = {}  # the version refused last, by scope, until one is taken
        self._taken = 0
        self._unkept = 0  # documents in force that the disk did not take
        self._longest_us = self._most_cpu_us = 0  # that a document has held the loop up, and its work alone

    def start(self) -> None:
        """Begin to watch; the documents kept are in force already."""
        tell = self._carrier.tell
        for note in self._overlays.notes:
            tell("note", text=note)
        for head in self._overlays.heads():
            tell("kept", scope=head.scope, era=head.era, version=head.version, digest=head.digest.hex()[:16])
        self._carrier.start()

    def rebase(self, discovery: tuple[str, int]) -> tuple[str, int]:
        """The file, replaced by hand, names this discovery: which one holds, as documents go before it."""
        holds = self._overlays.rebase(discovery).discovery
        if holds != discovery:
            self._carrier.tell("note", text="a document of the feed names discovery and goes before the file")
        return holds

    def _document(self, document: Document) -> None:
        """A document came whole: in force from here on, or refused with a line."""
        head, began, cpu, why = document.head, time.perf_counter(), time.thread_time(), ""
        try:
            proposal = self._overlays.propose(document)
            self._take_over(proposal.live)
            self._overlays.take(proposal)
        except ConfigError as error:
            why = " ".join(str(error).split()).encode()[:WHY_BYTES].decode(errors="ignore")
        spent_us = round(1e6 * (time.perf_counter() - began))
        self._longest_us = max(self._longest_us, spent_us)
        self._most_cpu_us = max(self._most_cpu_us, round(1e6 * (time.thread_time() - cpu)))
        told: dict[str, Any] = {
            "scope": head.scope,
            "era": head.era,
            "version": head.version,
            "digest": head.digest.hex()[:16],
        }
        told |= {"author": head.author, "reason": head.reason, "took_us": spent_us}
        if why:
            self._refused[head.scope] = head.version
            self._carrier.tell("refused", **told, why=why)
            self._carrier.applied(head, why)
            return
        self._refused.pop(head.scope, None)
        self._taken += 1
        self._carrier.tell("in force", **told)
        if self._shelf is None or self._thread is None:
            self._carrier.applied(head, "")
            return
        # Told to be in force once it also survives a restart.
        self._loop.run_in_executor(self._thread, self._shelf.write, document).add_done_callback(
            lambda work: self._written(document, work)
        )

    def _written(self, document: Document, work: asyncio.Future[None]) -> None:
        head = document.head
        error = work.exception()
        if error is not None:
            self._unkept += 1
            why = getattr(error, "strerror", None) or str(error)
            self._carrier.tell("unkept", scope=head.scope, version=head.version, why=why)
        self._carrier.applied(head, "")

    def figures(self) -> dict[str, float]:
        """Figures by name and label, for the second address."""
        counts = self._carrier.follower.counts
        return {
            **{f'feed_version{{scope="{h.scope}"}}': h.version for h in self._overlays.heads()},
            **{f'feed_refused_version{{scope="{scope}"}}': v for scope, v in self._refused.items()},
            "feed_taken": self._taken,
            "feed_refused": len(self._refused),
            "feed_unkept": self._unkept,
            "feed_longest_us": self._longest_us,
            "feed_most_cpu_us": self._most_cpu_us,
            'feed_bytes{way="in"}': counts["bytes_in"],
            'feed_bytes{way="out"}': counts["bytes_out"],
            "feed_dials": counts["dials"],
            "feed_dropped": sum(n for name, n in counts.items() if name.startswith("dropped_")),
        }

    async def close(self) -> None:
        """End the watches, and let what is being written be whole."""
        if self._thread is not None:
            self._thread.shutdown(wait=True)
        await self._carrier.close()
