"""Execution of a store's jobs on a separate thread, so that no fsync blocks the event loop."""

from __future__ import annotations

import asyncio
import json
import logging
import os
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from crowpost.storage.core import Store
from crowpost.storage.disk import Disk, describe_os_error
from crowpost.storage.errors import StoreError
from crowpost.storage.file_format import IDENTITY_BYTES
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import Job, JobResult, Operation, describe
from crowpost.storage.recovery import recover
from crowpost.storage.write_policy import WritePolicy

log = logging.getLogger(__name__)

INSPECT_ATTEMPTS = 4  # another process may be writing to the directory meanwhile


# ---------------------------------------------------------------- opening


def inspect_store(path: Path, owner: str = "") -> RecoveredState:
    """Return the content of a directory without locking or changing it; a torn tail is not truncated.

    A process that writes to the directory may remove a file while it is being read, so recovery is attempted
    up to INSPECT_ATTEMPTS times.
    """
    disk = Disk(path, lock=False)
    try:
        for _ in range(INSPECT_ATTEMPTS - 1):
            try:
                return recover(disk.names(), disk.read, owner, bytes(IDENTITY_BYTES))
            except StoreError:
                continue
        return recover(disk.names(), disk.read, owner, bytes(IDENTITY_BYTES))
    finally:
        disk.close()


def recover_disk(disk: Disk, owner: str) -> RecoveredState:
    """Recover a locked directory and execute the repairs.  Raise StoreError if either fails."""
    state = recover(disk.names(), disk.read, owner, os.urandom(IDENTITY_BYTES))
    for operation in state.repairs:
        try:
            disk.perform(operation)
        except OSError as error:
            raise StoreError(_describe_failure(disk, operation, error)) from error
    return state


def _describe_failure(disk: Disk, operation: Operation, error: OSError) -> str:
    return f"{describe(operation, disk.path)}: {describe_os_error(error)}"


@dataclass(frozen=True, slots=True)
class OpenedStore:
    """A locked directory that has been recovered and repaired."""

    disk: Disk
    recovered: RecoveredState


def open_store(path: Path, owner: str) -> OpenedStore:
    """Lock a directory and recover it.  This call blocks.

    Raise DirectoryLockedError if another process holds the lock, and StoreError if recovery fails.
    """
    disk = Disk(path, lock=True)
    try:
        return OpenedStore(disk, recover_disk(disk, owner))
    except StoreError:
        disk.close()
        raise


# ---------------------------------------------------------------- running


def execute_job(disk: Disk, job: Job) -> JobResult:
    """Execute the operations of a job in order, up to the first that fails."""
    generated = 0
    for operation in job.operations:
        try:
            generated += disk.perform(operation)
        except OSError as error:
            return JobResult(_describe_failure(disk, operation, error), generated)
        except Exception as error:  # a generator may raise anything, and every job needs a result
            log.exception("unexpected error in a job of the store")
            return JobResult(f"{describe(operation, disk.path)}: {error!r}", generated)
    return JobResult(generated_bytes=generated)


@dataclass(frozen=True, slots=True)
class _Waiter:
    """A task that waits for a record to become durable."""

    sequence: int
    future: asyncio.Future[None]


class StoreRunner:
    """A store in an open directory, used from a running event loop."""

    def __init__(self, opened: OpenedStore, policy: WritePolicy | None = None) -> None:
        recovered = opened.recovered
        self._disk = opened.disk
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")
        self._ended = asyncio.Event()
        self._waiters: list[_Waiter] = []
        self.store = Store(recovered, self.now(), policy)
        path = str(self._disk.path)
        for note in recovered.notes:
            log_event("note", path=path, text=note)
        log_event(
            "open",
            path=path,
            snapshot=recovered.snapshot_sequence,
            records=len(recovered.records),
            fresh=recovered.is_new,
        )

    def now(self) -> float:
        """Return monotonic time in ms."""
        return 1000.0 * self._loop.time()

    def append(self, payload: bytes, durability: Durability) -> int:
        """Accept a record and return its sequence number.  Raise StoreError if writing has stopped."""
        sequence = self.store.append(payload, durability, self.now())
        self._run_next_job()
        return sequence

    async def wait_durable(self, sequence: int) -> None:
        """Wait until a record is durable.  Raise StoreError if writing has stopped, or stops meanwhile."""
        self.store.require_no_failure()
        if sequence > self.store.durable_sequence:
            future: asyncio.Future[None] = self._loop.create_future()
            self._waiters.append(_Waiter(sequence, future))
            await future

    def write_snapshot(self, pieces: Iterable[bytes]) -> None:
        """Request a snapshot of the state after the last record; the writing thread generates the pieces."""
        self.store.write_snapshot(pieces)
        self._run_next_job()

    def _run_next_job(self) -> None:
        now = self.now()
        job = self.store.next_job(now)
        if job is not None:
            work = self._loop.run_in_executor(self._thread, execute_job, self._disk, job)
            work.add_done_callback(lambda done: self._on_job_done(job.number, done))
        self._schedule(self.store.next_job_at(), now)

    def _schedule(self, due: float, now: float) -> None:
        if due >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        self._timer = self._loop.call_later(max(0.0, due - now) / 1000.0, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_at = float("inf")
        self._run_next_job()

    def _on_job_done(self, number: int, done: asyncio.Future[JobResult]) -> None:
        self.store.complete_job(number, done.result())
        if self.store.failure:
            log_event("stopped", why=self.store.failure)
        self._notify_waiters()
        if self.store.closed or self.store.failure:
            self._ended.set()
        self._run_next_job()

    def _notify_waiters(self) -> None:
        store = self.store
        waiting: list[_Waiter] = []
        for waiter in self._waiters:
            if not store.failure and waiter.sequence > store.durable_sequence:
                waiting.append(waiter)
            elif waiter.future.done():
                continue
            elif store.failure:
                waiter.future.set_exception(StoreError(f"writing has stopped: {store.failure}"))
            else:
                waiter.future.set_result(None)
        self._waiters = waiting

    def release(self) -> None:
        """Release the directory without writing; no record may have been appended."""
        self._thread.shutdown(wait=True)
        self._disk.close()

    def abandon(self) -> None:
        """Release the directory without writing more; no job may be running."""
        if self._timer is not None:
            self._timer.cancel()
        self.release()

    async def close(self) -> None:
        """Write the waiting records, seal the log and release the directory."""
        if not self.store.failure:
            self.store.close()
            self._run_next_job()
            await self._ended.wait()
        elif self.store.busy:
            await self._ended.wait()
        self.abandon()


def log_event(event: str, **values: object) -> None:
    """Log one structured line with an event and its values."""
    log.info("state %s", json.dumps({"event": event, **values}))
