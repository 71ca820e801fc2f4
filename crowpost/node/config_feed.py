"""The node as a follower of the feed: what comes is checked, taken whole or refused, and kept on disk.

Only imported where it is on.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.document_cache import DocumentCache
from crowpost.config_feed.documents import MAX_REJECTION_BYTES, Document
from crowpost.config_feed.transport import FeedTransport
from crowpost.node.config import ConfigError
from crowpost.node.configuration_overlays import ConfigurationOverlays, ReloadableSettings


class NodeConfigFeed:
    """Joins this node to the feed.  take_over: is given what may change while the node runs, once it has."""

    def __init__(
        self,
        config: FeedConfig,
        overlays: ConfigurationOverlays,
        take_over: Callable[[ReloadableSettings], None],
    ) -> None:
        self._overlays, self._take_over = overlays, take_over
        self._loop = asyncio.get_running_loop()
        self._carrier = FeedTransport(config, self._document, kept=overlays.kept)
        self._shelf: DocumentCache | None = None
        self._thread: ThreadPoolExecutor | None = None  # one: what is newer is written later
        if config.directory is not None:
            self._shelf = DocumentCache(config.directory, (config.cluster, config.name))
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
        for header in self._overlays.headers():
            tell(
                "kept",
                scope=header.scope,
                era=header.epoch,
                version=header.version,
                digest=header.digest.hex()[:16],
            )
        self._carrier.start()

    def rebase(self, discovery: tuple[str, int]) -> tuple[str, int]:
        """The file, replaced by hand, names this discovery: which one holds, as documents go before it."""
        holds = self._overlays.rebase(discovery).discovery
        if holds != discovery:
            self._carrier.tell("note", text="a document of the feed names discovery and goes before the file")
        return holds

    def _document(self, document: Document) -> None:
        """A document came whole: in force from here on, or refused with a line."""
        header, began, cpu, why = document.header, time.perf_counter(), time.thread_time(), ""
        try:
            proposal = self._overlays.propose(document)
            self._take_over(proposal.live)
            self._overlays.take(proposal)
        except ConfigError as error:
            why = " ".join(str(error).split()).encode()[:MAX_REJECTION_BYTES].decode(errors="ignore")
        spent_us = round(1e6 * (time.perf_counter() - began))
        self._longest_us = max(self._longest_us, spent_us)
        self._most_cpu_us = max(self._most_cpu_us, round(1e6 * (time.thread_time() - cpu)))
        told: dict[str, Any] = {
            "scope": header.scope,
            "era": header.epoch,
            "version": header.version,
            "digest": header.digest.hex()[:16],
        }
        told |= {"author": header.author, "reason": header.reason, "took_us": spent_us}
        if why:
            self._refused[header.scope] = header.version
            self._carrier.tell("refused", **told, why=why)
            self._carrier.applied(header, why)
            return
        self._refused.pop(header.scope, None)
        self._taken += 1
        self._carrier.tell("in force", **told)
        if self._shelf is None or self._thread is None:
            self._carrier.applied(header, "")
            return
        # Told to be in force once it also survives a restart.
        self._loop.run_in_executor(self._thread, self._shelf.write, document).add_done_callback(
            lambda work: self._written(document, work)
        )

    def _written(self, document: Document, work: asyncio.Future[None]) -> None:
        header = document.header
        error = work.exception()
        if error is not None:
            self._unkept += 1
            why = getattr(error, "strerror", None) or str(error)
            self._carrier.tell("unkept", scope=header.scope, version=header.version, why=why)
        self._carrier.applied(header, "")

    def figures(self) -> dict[str, float]:
        """Figures by name and label, for the second address."""
        counts = self._carrier.follower.counts
        return {
            **{f'feed_version{{scope="{h.scope}"}}': h.version for h in self._overlays.headers()},
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
