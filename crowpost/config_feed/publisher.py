"""A publisher: its publication log, the store for the log, and the transport that announces documents."""

from __future__ import annotations

import asyncio
import secrets
import time
from contextlib import suppress

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import PublishAccepted, PublishRejected, PublishRequest
from crowpost.config_feed.publication_log import Check, PublicationLog
from crowpost.config_feed.transport import FeedTransport
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import OpenedStore, StoreRunner, open_store
from crowpost.storage.write_policy import WritePolicy

SNAPSHOT_BYTES_PER_S = 4_000_000.0  # mean write rate of snapshots; publication records never wait for it
MAX_REJECTION_CHARACTERS = 900  # limit for the reason in a PublishRejected
CLOSE_TIMEOUT_S = 2.0  # limit for waiting until publications in progress are durable


# An epoch that begins with a restore holds the time in ms and so many random bits: less than 2**63 in all.
EPOCH_RANDOM_BITS = 20


def restored_epoch() -> int:
    """Return an epoch that no other restore begins, and that is higher than those of earlier restores.

    A backup may be restored more than once, also where nothing is left that knows the epochs of before.
    """
    return (time.time_ns() // 1_000_000 << EPOCH_RANDOM_BITS) | secrets.randbits(EPOCH_RANDOM_BITS)


class Publisher:
    """Accepts documents, and acknowledges and announces each of them only once it is durable.

    check: rejects documents that no node could apply.  restored: whether the directory is from a backup.
    """

    def __init__(self, config: FeedConfig, check: Check, *, restored: bool = False) -> None:
        self._config = config
        self._restored = restored
        opened = self._open()
        try:
            authority = WriteAuthority(config.name, config.home_region, config.publishers)
            records = opened.recovered.payloads()
            self.log = PublicationLog(authority, check, records, config.tuning)
        except FeedError as error:
            opened.disk.close()
            raise FeedError(f"feed.directory: {config.directory}: {error}") from error
        self._store_runner = StoreRunner(opened, WritePolicy(bytes_per_s=SNAPSHOT_BYTES_PER_S))
        # Bytes written to the store's log until the last snapshot.
        self._logged_at_snapshot = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.transport = FeedTransport(config, self._document_received, on_publish=self._publish)

    def _open(self) -> OpenedStore:
        config = self._config
        assert config.directory is not None
        try:
            return open_store(config.directory, f"feed {config.cluster} {config.name}")
        except StoreError as error:
            raise FeedError(f"feed.directory: {error}") from error

    async def start(self) -> str:
        """Announce the published documents, follow the other publishers and accept documents.

        Return the bound address.
        """
        if self._restored:
            self._append(self.log.begin_epoch(restored_epoch()))
        for document in self.log.documents():
            self.transport.announce(document)
        bound = await self.transport.listen()
        self.transport.start()
        return bound

    # ------------------------------------------------------------ requests

    def _publish(self, connection_id: int, request: PublishRequest) -> None:
        try:
            self._check_writable()
            record, document = self.log.publish(request, self.transport.follower.table)
            sequence = self._append(record)
        except (FeedError, StoreError) as error:
            self._reject(connection_id, request, str(error))
            return
        acknowledging = self._acknowledge(connection_id, request, document, sequence)
        task = asyncio.get_running_loop().create_task(acknowledging)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _acknowledge(
        self, connection_id: int, request: PublishRequest, document: Document, sequence: int
    ) -> None:
        """Announce and acknowledge a document once its record is durable."""
        header = document.header
        try:
            await self._store_runner.wait_durable(sequence)
        except StoreError as error:
            self._mark_stopped()
            why = f"{error}; after a restart it may be published or not: ask for status"
            self._reject(connection_id, request, why)
            return
        self.transport.log_event(
            "published",
            **header.log_fields(),
            size=header.size,
            author=header.author,
            reason=header.reason,
        )
        try:
            self.transport.announce(document)
        except FeedError as error:
            self.transport.log_event("unheld", scope=header.scope, version=header.version, why=str(error))
        self.transport.answer(connection_id, PublishAccepted(request.number, header))
        self._compact()

    def _reject(self, connection_id: int, request: PublishRequest, why: str) -> None:
        self.transport.log_event("refused", scope=request.scope, author=request.author, why=why)
        rejection = PublishRejected(request.number, why[:MAX_REJECTION_CHARACTERS])
        self.transport.answer(connection_id, rejection)

    def _document_received(self, document: Document) -> None:
        """Adopt a received document of this publisher that its own state lacks."""
        records = self.log.adopt(document)
        if not records:
            return
        header = document.header
        self.transport.log_event("set_back", scope=header.scope, version=header.version, era=self.log.epoch)
        # A failed store is reported on the next publish request.
        with suppress(StoreError):
            for record in records:
                self._append(record)

    # ------------------------------------------------------------ store

    def _check_writable(self) -> None:
        """Raise StoreError before the log assigns a version that could not be made durable."""
        failed = self._store_runner.store.failure
        if failed:
            self._mark_stopped()
            raise StoreError(f"writing has stopped: {failed}; what is in force goes on being told")

    def _mark_stopped(self) -> None:
        """Show in the status that documents are served but no longer accepted."""
        assert self.transport.distribution_server is not None
        self.transport.distribution_server.counts["stopped"] = 1

    def _append(self, record: bytes) -> int:
        return self._store_runner.append(record, Durability.ACKNOWLEDGED)

    def _compact(self) -> None:
        """Replace the store's log by a snapshot once it has grown to the configured size."""
        store = self._store_runner.store
        if store.failure:
            return
        if store.counters.log_bytes - self._logged_at_snapshot >= self._config.snapshot_bytes:
            self._logged_at_snapshot = store.counters.log_bytes
            self._store_runner.write_snapshot(self.log.snapshot())

    async def close(self) -> None:
        """Wait until publications in progress are durable, then close all connections and the store."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        await self.transport.close()
        await self._store_runner.close()
