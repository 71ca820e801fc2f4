"""How a simulated publisher keeps what it publishes: an append, a sync that takes its time, then the word."""

from __future__ import annotations

from functools import partial

from fawngw.feed.model import Document, FeedError, make_document
from fawngw.lab.feedprocess import Process
from fawngw.lab.feedworld import World

FSYNC_MS = (2.0, 10.0)
STEPS = ("received", "appended", "synced", "announced")  # of a publish, in order


class Publishing:
    """A stand-in for the ledger: of what it appended a kill leaves what was synced, and no more.

    A document is acknowledged and announced only once it was synced.  The world keeps count.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._appended: dict[str, list[Document]] = {}  # by publisher: not synced yet
        self._synced_at: dict[str, float] = {}
        world.killed = self._killed

    def _killed(self, name: str) -> None:
        self._appended.pop(name, None)

    def publish(self, by: str, scope: str, body: bytes, era: int = 1, crash: str = "") -> None:
        """Publish at a publisher; crash: the step at which it is killed."""
        world = self._world
        process = world.processes[by]
        if process.frozen:
            process.mailbox.append(partial(self.publish, by, scope, body, era, crash))
            return
        if not process.up or self._crashes(process, crash, "received"):
            return
        assert process.follower is not None
        known = [document.head for document in self._appended.get(by, []) if document.head.scope == scope]
        held = process.follower.table.get(scope)
        if held is not None:
            known.append(held.head)
        newest = max(known, key=lambda head: head.rank, default=None)
        version = 1
        if newest is not None and newest.era >= era:
            era, version = newest.era, newest.version + 1
        document = make_document(scope, era, version, body, author="ops", reason="a change", writer=by)
        self._appended.setdefault(by, []).append(document)
        if self._crashes(process, crash, "appended"):
            return
        at = max(self._synced_at.get(by, 0.0), world.engine.now + world.rng.uniform(*FSYNC_MS))
        self._synced_at[by] = at
        world.engine.at(at, world.call, process, partial(self._synced, process, document, crash))

    def _crashes(self, process: Process, crash: str, step: str) -> bool:
        if crash == step:
            self._world.kill(process.name)
        return crash == step

    def _synced(self, process: Process, document: Document, crash: str) -> None:
        world, head = self._world, document.head
        assert process.hub is not None
        self._appended[process.name].remove(document)
        process.spec.disk[head.scope] = document
        if self._crashes(process, crash, "synced"):
            return
        world.acknowledged(head)
        try:
            process.hub.announce(document, world.engine.now + process.offset)
        except FeedError as error:
            world.faults.append(f"{process.name} cannot hold what it acknowledged: {error}")
        if crash == "announced":
            world.after(process)
            world.kill(process.name)
