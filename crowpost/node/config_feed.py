"""The node as a follower of the configuration feed.

A received document is validated, applied as a whole or rejected, and cached on disk.  This module is imported
only if a feed is configured.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from crowpost.config_feed.apply_status import shorten_reason
from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.document_cache import DocumentCache
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.transport import FeedTransport
from crowpost.node.configuration import ConfigError
from crowpost.node.configuration_overlays import ConfigurationOverlays, ReloadableSettings


class NodeConfigFeed:
    """Connects this node to the feed.

    reload: called with the reloadable settings before a document counts as applied; it raises ConfigError to
    reject them.
    """

    def __init__(
        self,
        config: FeedConfig,
        overlays: ConfigurationOverlays,
        reload: Callable[[ReloadableSettings], None],
    ) -> None:
        self._overlays = overlays
        self._reload = reload
        self._loop = asyncio.get_running_loop()
        self._transport = FeedTransport(
            config, self._document_received, cached_documents=overlays.cached_documents
        )
        self._cache: DocumentCache | None = None
        # A single thread, so that documents are written in order.
        self._writer: ThreadPoolExecutor | None = None
        if config.directory is not None:
            self._cache = DocumentCache(config.directory, (config.cluster, config.name))
            self._writer = ThreadPoolExecutor(1, thread_name_prefix="feed")
        self._rejected_versions: dict[
            str, int
        ] = {}  # scope -> version; removed when a document of the scope is applied
        self._applied_count = 0
        self._uncached_count = 0  # applied documents that could not be written to disk
        self._longest_us = 0  # longest time that a document has blocked the event loop
        self._longest_cpu_us = 0  # longest CPU time of the loop's thread for a document

    def start(self) -> None:
        """Start to follow the feed; the cached documents are already applied."""
        for note in self._overlays.notes:
            self._transport.log_event("note", text=note)
        for header in self._overlays.headers():
            self._transport.log_event("kept", **header.log_fields())
        self._transport.start()

    def rebase(self, discovery: tuple[str, int]) -> tuple[str, int]:
        """Return the effective discovery address after the file has changed to `discovery`.

        An applied document that sets discovery takes precedence over the file.
        """
        effective = self._overlays.rebase(discovery).discovery
        if effective != discovery:
            text = "a document of the feed sets discovery and takes precedence over the file"
            self._transport.log_event("note", text=text)
        return effective

    def _document_received(self, document: Document) -> None:
        """Apply a document, or reject it with a reason in one line."""
        header = document.header
        started = time.perf_counter()
        cpu_started = time.thread_time()
        rejection = self._apply(document)
        took_us = round(1e6 * (time.perf_counter() - started))
        self._longest_us = max(self._longest_us, took_us)
        self._longest_cpu_us = max(self._longest_cpu_us, round(1e6 * (time.thread_time() - cpu_started)))
        values: dict[str, Any] = {
            **header.log_fields(),
            "author": header.author,
            "reason": header.reason,
            "took_us": took_us,
        }
        if rejection:
            self._rejected_versions[header.scope] = header.version
            self._transport.log_event("refused", **values, why=rejection)
            self._transport.apply_finished(header, rejection)
            return
        self._rejected_versions.pop(header.scope, None)
        self._applied_count += 1
        self._transport.log_event("in force", **values)
        self._write_to_cache(document)

    def _apply(self, document: Document) -> str:
        """Apply a document; return "" if that succeeded, else the reason why it did not."""
        try:
            proposal = self._overlays.propose(document)
            self._reload(proposal.reloadable)
        except ConfigError as error:
            return shorten_reason(" ".join(str(error).split()))
        self._overlays.apply(proposal)
        return ""

    def _write_to_cache(self, document: Document) -> None:
        """Cache a document on disk, and report it as applied once it survives a restart."""
        if self._cache is None or self._writer is None:
            self._transport.apply_finished(document.header, "")
            return
        writing = self._loop.run_in_executor(self._writer, self._cache.store, document)
        writing.add_done_callback(lambda done: self._written(document.header, done))

    def _written(self, header: DocumentHeader, writing: asyncio.Future[None]) -> None:
        error = writing.exception()
        if error is not None:
            self._uncached_count += 1
            why = getattr(error, "strerror", None) or str(error)
            self._transport.log_event("unkept", scope=header.scope, version=header.version, why=why)
        self._transport.apply_finished(header, "")

    def metrics(self) -> dict[str, float]:
        """Return the metrics of the feed, by name and label."""
        counts = self._transport.follower.counts
        versions = {
            f'feed_version{{scope="{header.scope}"}}': header.version for header in self._overlays.headers()
        }
        rejected = {
            f'feed_refused_version{{scope="{scope}"}}': version
            for scope, version in self._rejected_versions.items()
        }
        return {
            **versions,
            **rejected,
            "feed_taken": self._applied_count,
            "feed_refused": len(self._rejected_versions),
            "feed_unkept": self._uncached_count,
            "feed_longest_us": self._longest_us,
            "feed_most_cpu_us": self._longest_cpu_us,
            'feed_bytes{way="in"}': counts["bytes_in"],
            'feed_bytes{way="out"}': counts["bytes_out"],
            "feed_dials": counts["dials"],
            "feed_dropped": sum(count for name, count in counts.items() if name.startswith("dropped_")),
        }

    async def close(self) -> None:
        """Finish writing to the cache, and stop following the feed."""
        if self._writer is not None:
            self._writer.shutdown(wait=True)
        await self._transport.close()
