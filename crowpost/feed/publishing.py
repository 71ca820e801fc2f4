"""A publisher: its ledger, the store that keeps it, and the hub that tells of it."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from crowpost.feed.carrier import Carrier
from crowpost.feed.config import FeedConfig
from crowpost.feed.ledger import Check, Ledger, Writers
from crowpost.feed.messages import Publish, Published, Refused
from crowpost.feed.model import Document, FeedError
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability
from crowpost.storage.runner import OpenedStore, StoreRunner, open_store
from crowpost.storage.write_policy import WritePolicy

BYTES_PER_S = 4_000_000.0  # that snapshots take in the mean; what is acknowledged never waits


class Publisher:
    """Takes documents, each acknowledged and told only once it is on the disk.

    check: refuses what no node could take.  restored: the directory is from a backup.
    """

    def __init__(self, config: FeedConfig, check: Check, *, restored: bool = False) -> None:
        self._config, self._restored = config, restored
        opened = self._open()
        try:
            writers = Writers(config.name, config.home, config.publishers)
            records = opened.recovered.payloads()
            self.ledger = Ledger(writers, check, records, config.tuning)
        except FeedError as error:
            opened.disk.close()
            raise FeedError(f"feed.directory: {config.directory}: {error}") from None
        self._store_runner = StoreRunner(opened, WritePolicy(bytes_per_s=BYTES_PER_S))
        self._logged = 0  # bytes of the log as of the last snapshot
        self._work: set[asyncio.Task[None]] = set()
        self.carrier = Carrier(config, self._document, on_publish=self._publish)

    def _open(self) -> OpenedStore:
        config = self._config
        assert config.directory is not None
        try:
            return open_store(config.directory, f"feed {config.cluster} {config.name}")
        except StoreError as error:
            raise FeedError(f"feed.directory: {error}") from None

    async def start(self) -> str:
        """Tell what is published, watch the others, and take documents; returns the address bound."""
        if self._restored:
            self._append(self.ledger.restored())
        for document in self.ledger.documents():
            self.carrier.announce(document)
        bound = await self.carrier.listen()
        self.carrier.start()
        return bound

    # ------------------------------------------------------------ what is asked

    def _publish(self, link: int, asked: Publish) -> None:
        try:
            self._writable()
            record, document = self.ledger.publish(asked, self.carrier.follower.table)
            sequence = self._append(record)
        except (FeedError, StoreError) as error:
            self._refuse(link, asked, str(error))
            return
        work = asyncio.get_running_loop().create_task(self._keep(link, asked, document, sequence))
        self._work.add(work)
        work.add_done_callback(self._work.discard)

    async def _keep(self, link: int, asked: Publish, document: Document, sequence: int) -> None:
        head = document.head
        try:
            await self._store_runner.wait_durable(sequence)
        except StoreError as error:
            self._stopped()
            self._refuse(link, asked, f"{error}; after a restart it may be published or not: ask for status")
            return
        self.carrier.tell(
            "published",
            scope=head.scope,
            era=head.era,
            version=head.version,
            digest=head.digest.hex()[:16],
            size=head.size,
            author=head.author,
            reason=head.reason,
        )
        try:
            self.carrier.announce(document)
        except FeedError as error:
            self.carrier.tell("unheld", scope=head.scope, version=head.version, why=str(error))
        self.carrier.answer(link, Published(asked.number, head))
        self._compact()

    def _refuse(self, link: int, asked: Publish, why: str) -> None:
        self.carrier.tell("refused", scope=asked.scope, author=asked.author, why=why)
        self.carrier.answer(link, Refused(asked.number, why[:900]))

    def _document(self, document: Document) -> None:
        """The other publisher's, or one of this one's own that its state no longer knows of."""
        records = self.ledger.seen(document)
        if records:
            head = document.head
            self.carrier.tell("set_back", scope=head.scope, version=head.version, era=self.ledger.era)
            with suppress(StoreError):  # it is told with the next publish
                for record in records:
                    self._append(record)

    # ------------------------------------------------------------ the store

    def _writable(self) -> None:
        """Before the ledger moves on: a version must not be given out where it cannot be kept."""
        failed = self._store_runner.store.failure
        if failed:
            self._stopped()
            raise StoreError(f"writing has stopped: {failed}; what is in force goes on being told")

    def _stopped(self) -> None:
        """For the status: documents are told, and none are taken."""
        assert self.carrier.hub is not None
        self.carrier.hub.counts["stopped"] = 1

    def _append(self, record: bytes) -> int:
        return self._store_runner.append(record, Durability.ACKNOWLEDGED)

    def _compact(self) -> None:
        store = self._store_runner.store
        if not store.failure and store.counters.log_bytes - self._logged >= self._config.snapshot_bytes:
            self._logged = store.counters.log_bytes
            self._store_runner.write_snapshot(self.ledger.snapshot())

    async def close(self) -> None:
        """Say good-bye, and let what is being written be kept."""
        if self._work:
            await asyncio.wait(self._work, timeout=2.0)
        await self.carrier.close()
        await self._store_runner.close()
