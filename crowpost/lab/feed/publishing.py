"""How a simulated publisher keeps what it publishes: the real ledger, on a disk that takes its time."""

from __future__ import annotations

from functools import partial

from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import PublishRequest
from crowpost.config_feed.publication_log import PublicationLog
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.feed.process import Process
from crowpost.lab.feed.world import World

FSYNC_MS = (2.0, 10.0)
STEPS = ("received", "appended", "synced", "announced")  # of a publish, in order


class Publishing:
    """The ledgers of all publishers; of what one appended a kill leaves what was synced, and no more.

    A document is acknowledged and announced only once it was synced.  The world keeps count.  writers: by
    publisher, whom it holds to be whose writer; two that do not agree give two answers.
    """

    def __init__(self, world: World, writers: dict[str, WriteAuthority]) -> None:
        self._world, self.writers = world, writers
        self._synced: dict[str, list[bytes]] = {}  # records on the disk, by publisher
        self._ledgers: dict[str, PublicationLog] = {}  # of the life at hand
        self._synced_at: dict[str, float] = {}
        world.killed = self._killed

    def _killed(self, name: str) -> None:
        self._ledgers.pop(name, None)

    def _ledger(self, name: str) -> PublicationLog:
        if name not in self._ledgers:
            records = self._synced.setdefault(name, [])
            self._ledgers[name] = PublicationLog(self.writers[name], _anything, records, self._world.tuning)
        return self._ledgers[name]

    def publish(self, by: str, scope: str, body: bytes, crash: str = "") -> None:
        """Publish at a publisher; crash: the step at which it is killed."""
        world = self._world
        process = world.processes[by]
        if process.frozen:
            process.mailbox.append(partial(self.publish, by, scope, body, crash))
            return
        if not process.up or self._crashes(process, crash, "received"):
            return
        assert process.follower is not None
        region = process.spec.region
        asked = PublishRequest(1, scope, body, "ops", "a change", region)
        try:
            record, document = self._ledger(by).publish(asked, process.follower.table)
        except FeedError as error:
            world.faults.append(f"{by} refuses: {error}")
            return
        if self._crashes(process, crash, "appended"):
            return
        at = max(self._synced_at.get(by, 0.0), world.engine.now + world.rng.uniform(*FSYNC_MS))
        self._synced_at[by] = at
        world.engine.at(at, world.call, process, partial(self._keep, process, record, document, crash))

    def _crashes(self, process: Process, crash: str, step: str) -> bool:
        if crash == step:
            self._world.kill(process.name)
        return crash == step

    def _keep(self, process: Process, record: bytes, document: Document, crash: str) -> None:
        world, header = self._world, document.header
        assert process.distribution_server is not None
        self._synced[process.name].append(record)
        process.spec.disk[header.scope] = document
        if self._crashes(process, crash, "synced"):
            return
        world.acknowledged(header)
        try:
            process.distribution_server.announce(document, world.engine.now + process.offset)
        except FeedError as error:
            world.faults.append(f"{process.name} cannot hold what it acknowledged: {error}")
        if crash == "announced":
            world.after(process)
            world.kill(process.name)


def _anything(scope: str, body: bytes) -> None:
    """Bodies here are no configuration: any will do."""
