"""A publisher: its ledger, the store that keeps it, and the hub that tells of it."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document, FeedError
from crowpost.config_feed.messages import PublishAccepted, PublishRejected, PublishRequest
from crowpost.config_feed.publication_log import Check, PublicationLog, WriteAuthority
from crowpost.config_feed.transport import FeedTransport
from crowpost.storage.core import Pace
from crowpost.storage.model import Durability, StoreError
from crowpost.storage.runner import Keeper, Opened, open_locked

BYTES_PER_S = 4_000_000.0  # that snapshots take in the mean; what is acknowledged never waits


class Publisher:
    """Takes documents, each acknowledged and told only once it is on the disk.

    check: refuses what no node could take.  restored: the directory is from a backup.
    """

    def __init__(self, config: FeedConfig, check: Check, *, restored: bool = False) -> None:
        self._config, self._restored = config, restored
        opened = self._open()
        try:
            writers = WriteAuthority(config.name, config.home, config.publishers)
            records = [*opened.found.snapshot, *(r.payload for r in opened.found.records)]
            self.ledger = PublicationLog(writers, check, records, config.tuning)
        except FeedError as error:
            opened.disk.close()
            raise FeedError(f"feed.directory: {config.directory}: {error}") from None
        self._keeper = Keeper(opened, Pace(bytes_per_s=BYTES_PER_S))
        self._logged = 0  # bytes of the log as of the last snapshot
        self._work: set[asyncio.Task[None]] = set()
        self.carrier = FeedTransport(config, self._document, on_publish=self._publish)

    def _open(self) -> Opened:
        config = self._config
        assert config.directory is not None
        try:
            return open_locked(config.directory, f"feed {config.cluster} {config.name}")
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

    def _publish(self, connection_id: int, asked: PublishRequest) -> None:
        try:
            self._writable()
            record, document = self.ledger.publish(asked, self.carrier.follower.table)
            sequence = self._append(record)
        except (FeedError, StoreError) as error:
            self._refuse(connection_id, asked, str(error))
            return
        work = asyncio.get_running_loop().create_task(self._keep(connection_id, asked, document, sequence))
        self._work.add(work)
        work.add_done_callback(self._work.discard)

    async def _keep(
        self, connection_id: int, asked: PublishRequest, document: Document, sequence: int
    ) -> None:
        header = document.header
        try:
            await self._keeper.kept(sequence)
        except StoreError as error:
            self._stopped()
            self._refuse(
                connection_id, asked, f"{error}; after a restart it may be published or not: ask for status"
            )
            return
        self.carrier.tell(
            "published",
            scope=header.scope,
            era=header.epoch,
            version=header.version,
            digest=header.digest.hex()[:16],
            size=header.size,
            author=header.author,
            reason=header.reason,
        )
        try:
            self.carrier.announce(document)
        except FeedError as error:
            self.carrier.tell("unheld", scope=header.scope, version=header.version, why=str(error))
        self.carrier.answer(connection_id, PublishAccepted(asked.number, header))
        self._compact()

    def _refuse(self, connection_id: int, asked: PublishRequest, why: str) -> None:
        self.carrier.tell("refused", scope=asked.scope, author=asked.author, why=why)
        self.carrier.answer(connection_id, PublishRejected(asked.number, why[:900]))

    def _document(self, document: Document) -> None:
        """The other publisher's, or one of this one's own that its state no longer knows of."""
        records = self.ledger.seen(document)
        if records:
            header = document.header
            self.carrier.tell("set_back", scope=header.scope, version=header.version, era=self.ledger.epoch)
            with suppress(StoreError):  # it is told with the next publish
                for record in records:
                    self._append(record)

    # ------------------------------------------------------------ the store

    def _writable(self) -> None:
        """Before the ledger moves on: a version must not be given out where it cannot be kept."""
        failed = self._keeper.core.failed
        if failed:
            self._stopped()
            raise StoreError(f"writing has stopped: {failed}; what is in force goes on being told")

    def _stopped(self) -> None:
        """For the status: documents are told, and none are taken."""
        assert self.carrier.distribution_server is not None
        self.carrier.distribution_server.counts["stopped"] = 1

    def _append(self, record: bytes) -> int:
        return self._keeper.append(record, Durability.ACKNOWLEDGED)

    def _compact(self) -> None:
        core = self._keeper.core
        if not core.failed and core.written.logged - self._logged >= self._config.snapshot_bytes:
            self._logged = core.written.logged
            self._keeper.snapshot(self.ledger.snapshot())

    async def close(self) -> None:
        """Say good-bye, and let what is being written be kept."""
        if self._work:
            await asyncio.wait(self._work, timeout=2.0)
        await self.carrier.close()
        await self._keeper.close()
