"""The store on a real disk, beside a running loop: one thread does the jobs; no fsync holds the loop up."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from crowpost.storage.core import Pace, Store
from crowpost.storage.disk import Disk, words
from crowpost.storage.model import Durability, Found, Job, StoreError
from crowpost.storage.recovery import recover

log = logging.getLogger(__name__)

LOOKS = 4  # at a directory that another process may be writing


def look(path: Path, owner: str = "") -> Found:
    """What a directory holds, without the lock and without a change; a torn end is left where it is.

    Beside a process that writes, which may remove a file between two looks, it is tried a few times.
    """
    disk = Disk(path, lock=False)
    try:
        for left in reversed(range(LOOKS)):
            try:
                return recover(disk.names(), disk.read, owner, bytes(8))[0]
            except StoreError:
                if not left:
                    raise
    finally:
        disk.close()
    raise AssertionError("unreachable")


def open_disk(disk: Disk, owner: str) -> tuple[Found, bytes]:
    """Recover a directory that is locked, and put right what a crash has left; StoreError if it cannot be."""
    found, identity = recover(disk.names(), disk.read, owner, os.urandom(8))
    for operation in found.repairs:
        try:
            disk.perform(operation)
        except OSError as error:
            raise StoreError(f"{disk.path}: {type(operation).__name__} failed: {words(error)}") from None
    return found, identity


@dataclass(frozen=True, slots=True)
class Opened:
    """A locked directory, recovered and put right."""

    disk: Disk
    found: Found
    identity: bytes


def open_locked(path: Path, owner: str) -> Opened:
    """Lock a directory and recover it, which blocks; LockedError or StoreError if it cannot be."""
    disk = Disk(path, lock=True)
    try:
        return Opened(disk, *open_disk(disk, owner))
    except StoreError:
        disk.close()
        raise


def do(disk: Disk, job: Job) -> tuple[str | None, int]:
    """All operations of a job in order; why it ended before its last one, and the bytes of its fills."""
    filled = 0
    for operation in job.operations:
        try:
            filled += disk.perform(operation)
        except OSError as error:
            name = getattr(operation, "file", "the directory")
            return f"{type(operation).__name__.lower()} of {disk.path / name}: {words(error)}", filled
        except Exception as error:
            # A piece that could not be made: without an end of the job the store would wait for ever.
            log.exception("fault in a job of the store")
            return f"{type(operation).__name__.lower()}: {error!r}", filled
    return None, filled


class Keeper:
    """A directory that is written from a running loop."""

    def __init__(self, opened: Opened, pace: Pace | None = None) -> None:
        self._disk, found = opened.disk, opened.found
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._ended = asyncio.Event()
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.core = Store(found, opened.identity, self.now(), pace)
        path = str(self._disk.path)
        for note in found.notes:
            tell("note", path=path, text=note)
        sequence, records = found.snapshot_sequence, len(found.records)
        tell("open", path=path, snapshot=sequence, records=records, fresh=found.fresh)

    def now(self) -> float:
        """Monotonic time in ms."""
        return 1000.0 * self._loop.time()

    def append(self, payload: bytes, durability: Durability) -> int:
        """Take in a record; StoreError once writing has stopped."""
        sequence = self.core.append(payload, durability, self.now())
        self._go_on()
        return sequence

    async def kept(self, sequence: int) -> None:
        """Wait until a record is kept; StoreError if it may never be."""
        if self.core.failed:
            raise StoreError(f"writing has stopped: {self.core.failed}")
        if sequence > self.core.kept:
            waiter: asyncio.Future[None] = self._loop.create_future()
            self._waiters.append((sequence, waiter))
            await waiter

    def snapshot(self, payloads: Iterable[bytes]) -> None:
        """The state after the last record; its pieces are asked for on the thread that writes."""
        self.core.snapshot(payloads)
        self._go_on()

    def _go_on(self) -> None:
        now = self.now()
        job = self.core.take(now)
        if job is not None:
            self._loop.run_in_executor(self._thread, do, self._disk, job).add_done_callback(
                lambda work: self._done(job.number, *work.result())
            )
        due = self.core.next_at()
        if due < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self._loop.call_later(max(0.0, due - now) / 1000.0, self._tick)

    def _tick(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        self._go_on()

    def _done(self, number: int, error: str | None, filled: int) -> None:
        core = self.core
        core.done(number, error, filled)
        if core.failed:
            tell("stopped", why=core.failed)
        over = [w for w in self._waiters if core.failed or w[0] <= core.kept]
        self._waiters = [w for w in self._waiters if w not in over]
        for _, waiter in over:
            if waiter.done():
                continue
            if core.failed:
                waiter.set_exception(StoreError(f"writing has stopped: {core.failed}"))
            else:
                waiter.set_result(None)
        if core.closed or core.failed:
            self._ended.set()
        self._go_on()

    def abandon(self) -> None:
        """Give the directory back without a further word; nothing may have been appended."""
        self._thread.shutdown(wait=True)
        self._disk.close()

    async def close(self) -> None:
        """Write what waits, seal the log, and give the directory back."""
        if not self.core.failed:
            self.core.close()
            self._go_on()
            await self._ended.wait()
        elif self.core.busy:
            await self._ended.wait()
        if self._timer is not None:
            self._timer.cancel()
        self.abandon()


def tell(event: str, **values: object) -> None:
    """One structured line of the log."""
    log.info("state %s", json.dumps({"event": event, **values}))
