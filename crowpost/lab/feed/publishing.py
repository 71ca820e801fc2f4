"""Simulated publishers: the real publication log, on a simulated disk with slow fsync."""

from __future__ import annotations

from functools import partial

from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import PublishRequest
from crowpost.config_feed.publication_log import PublicationLog
from crowpost.config_feed.write_authority import WriteAuthority
from crowpost.lab.feed.process import Process
from crowpost.lab.feed.world import World

FSYNC_MS = (2.0, 10.0)  # range of the duration
STEPS = ("received", "appended", "synced", "announced")  # steps of a publication, in order


class Publishing:
    """The publication logs of all publishers; a killed publisher keeps the records that were synced.

    A document is acknowledged and announced only after its record is synced.
    authorities: by publisher; two that disagree lead to conflicts.
    """

    def __init__(self, world: World, authorities: dict[str, WriteAuthority]) -> None:
        self.authorities = authorities
        self._world = world
        self._synced: dict[str, list[bytes]] = {}  # records on the disk, by publisher
        self._logs: dict[str, PublicationLog] = {}  # logs of running publishers
        self._synced_at: dict[str, float] = {}
        world.on_killed = self._discard_log

    def _discard_log(self, name: str) -> None:
        self._logs.pop(name, None)

    def _log(self, name: str) -> PublicationLog:
        if name not in self._logs:
            records = self._synced.setdefault(name, [])
            authority = self.authorities[name]
            self._logs[name] = PublicationLog(authority, _accept_any, records, self._world.tuning)
        return self._logs[name]

    def publish(self, by: str, scope: str, body: bytes, crash: str = "") -> None:
        """Publish a document at a publisher.

        crash: the step at which the publisher is killed, if any.
        """
        world = self._world
        process = world.processes[by]
        if process.suspended:
            process.inbox.append(partial(self.publish, by, scope, body, crash))
            return
        if not process.up or self._crashes(process, crash, "received"):
            return
        assert process.follower is not None
        request = PublishRequest(1, scope, body, "ops", "a change", process.spec.region)
        try:
            record, document = self._log(by).publish(request, process.follower.table)
        except FeedError as error:
            world.faults.append(f"{by} rejects: {error}")
            return
        if self._crashes(process, crash, "appended"):
            return
        at = max(self._synced_at.get(by, 0.0), world.engine.now + world.rng.uniform(*FSYNC_MS))
        self._synced_at[by] = at
        world.engine.at(at, world.call, process, partial(self._acknowledge, process, record, document, crash))

    def _crashes(self, process: Process, crash: str, step: str) -> bool:
        if crash == step:
            self._world.kill(process.name)
        return crash == step

    def _acknowledge(self, process: Process, record: bytes, document: Document, crash: str) -> None:
        world = self._world
        header = document.header
        assert process.distribution_server is not None
        self._synced[process.name].append(record)
        process.spec.disk[header.scope] = document
        if self._crashes(process, crash, "synced"):
            return
        world.acknowledged(header)
        try:
            process.distribution_server.announce(document, world.engine.now + process.offset)
        except FeedError as error:
            world.faults.append(f"{process.name} cannot store a document that it acknowledged: {error}")
        if crash == "announced":
            world.perform_output(process)
            world.kill(process.name)


def _accept_any(scope: str, body: bytes) -> None:
    """Accept any body: the bodies of a simulation are not configurations."""
    del scope, body
