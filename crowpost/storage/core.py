"""The writing side of a store, without I/O: records and times in; jobs of disk operations out, one at a time.

While a job is being done further records wait and become the next one, so that an fsync is shared by all that
came meanwhile.  After any operation that failed nothing more is written: what an fsync that failed has lost
is not known, and asking again would only hide it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from crowpost.storage.file_format import (
    HEAD_BYTES,
    LOG,
    NEW,
    SNAPSHOT,
    FrameKind,
    Framer,
    head,
    log_name,
    snapshot_name,
    snapshot_pieces,
)
from crowpost.storage.model import (
    SNAPSHOTS_KEPT,
    Append,
    Create,
    Durability,
    Fill,
    Found,
    Job,
    Operation,
    Remove,
    Rename,
    StoreError,
    Sync,
    SyncDirectory,
)


@dataclass(frozen=True, slots=True)
class Pace:
    """How much is written, and how soon."""

    segment_bytes: int = 4 << 20  # a log of this size is ended and the next begun
    bytes_per_s: float = 262_144.0  # in the mean; acknowledged records never wait for it
    burst_bytes: float = 1 << 20  # that may be saved up for a burst
    soon_ms: float = 200.0  # that a record which need not be acknowledged waits for company


@dataclass(slots=True)
class Written:
    """Counts since the start."""

    records: int = 0
    bytes: int = 0
    logged: int = 0  # of these, other than snapshots
    jobs: int = 0
    snapshots: int = 0


class Store:
    """Feed it records, ends of jobs, and times in ms that never go back; do what `take` hands out.

    found: by recovery, its repairs done.  identity: of the directory.
    """

    def __init__(self, found: Found, identity: bytes, now: float, pace: Pace | None = None) -> None:
        self.pace, self._identity = pace or Pace(), identity
        self.next_sequence = found.next_sequence
        self.kept = found.next_sequence - 1  # the last record that is on the disk for sure
        self.failed = ""  # why nothing is written any more
        self.closed = False
        self.written = Written()
        self._segments, self._snapshots = list(found.segments), list(found.snapshots)
        self._open(self._segments[-1], found.tail_bytes)
        self._waiting: list[tuple[int, bytes]] = []
        self._due = math.inf
        self._urgent = False
        self._snapshot: tuple[int, Iterable[bytes]] | None = None
        self._job: Job | None = None
        self._jobs = 0
        self._closing = self._sealing = False
        self._budget, self._budget_at = self.pace.burst_bytes, now

    def _open(self, segment: tuple[int, str], size: int) -> None:
        first, self._log = segment
        self._framer, self._log_bytes = Framer(head(LOG, self._identity, first)), size

    # ------------------------------------------------------------ what comes in

    def append(self, payload: bytes, durability: Durability, now: float) -> int:
        """Take in a record; returns its sequence, which is kept once `kept` has reached it.

        StoreError once writing has stopped.
        """
        self._check()
        sequence = self.next_sequence
        self.next_sequence += 1
        self._waiting.append((sequence, payload))
        self._due = min(self._due, now + self.pace.soon_ms)
        self._urgent |= durability is Durability.ACKNOWLEDGED
        return sequence

    def snapshot(self, payloads: Iterable[bytes]) -> None:
        """The state after the last record taken in; its pieces are made while they are written.

        Once it is kept, logs and snapshots that nothing needs any more are removed.  A later one replaces one
        that has not been begun.
        """
        self._check()
        self._snapshot = self.next_sequence - 1, payloads

    def close(self) -> None:
        """Write what waits and seal the log; `closed` once that is done."""
        self._closing = True

    def done(self, number: int, error: str | None = None, filled: int = 0) -> None:
        """A job has ended: with all its operations done, or at the first that failed.

        filled: bytes of what was only made while it was written.
        """
        job, self._job = self._job, None
        if job is None or job.number != number:
            raise StoreError(f"job {number} was not being done")
        self._budget -= filled
        self.written.bytes += filled
        if error is not None:
            self.failed = error
            self._waiting.clear()
            self._snapshot = None
            return
        self.kept = job.through
        self.closed = self._closing and not self._waiting and self._snapshot is None and self._sealing

    def _check(self) -> None:
        if self.failed:
            raise StoreError(f"writing has stopped: {self.failed}")
        if self._closing:
            raise StoreError("the store has been closed")

    # ------------------------------------------------------------ what is to be done

    @property
    def busy(self) -> bool:
        """Whether a job is being done."""
        return self._job is not None

    @property
    def log_bytes(self) -> int:
        """Size of the log that is being written."""
        return self._log_bytes

    def next_at(self) -> float:
        """When `take` should be asked next, in ms; infinity while a job is being done or nothing waits."""
        if self._job is not None or self.failed or self.closed:
            return math.inf
        if self._urgent or self._closing:
            return -math.inf
        due = self._budget_at if self._snapshot is not None else self._due
        if due < math.inf and self._budget < 0.0:
            due = max(due, self._budget_at - 1000.0 * self._budget / self.pace.bytes_per_s)
        return due

    def take(self, now: float) -> Job | None:
        """The next job, if one is due."""
        pace = self.pace
        self._budget += (now - self._budget_at) * pace.bytes_per_s / 1000.0
        self._budget, self._budget_at = min(self._budget, pace.burst_bytes), now
        if self.next_at() > now:
            return None
        operations: list[Operation] = []
        if self._waiting:
            operations += self._write_waiting()
        through = self.next_sequence - 1
        self._sealing = self._closing and self._snapshot is None
        if self._snapshot is not None:
            operations += self._write_snapshot(*self._snapshot)
            self._snapshot = None
        elif self._closing or self._log_bytes >= pace.segment_bytes:
            operations += self._seal()
            if not self._closing:
                operations += self._begin_log()
        self._jobs += 1
        self.written.jobs += 1
        self._job = Job(self._jobs, tuple(operations), through)
        return self._job

    def _write_waiting(self) -> list[Operation]:
        frames = [self._framer.frame(FrameKind.RECORD, n, self.kept, data) for n, data in self._waiting]
        data = b"".join(frames)
        self._count(len(data))
        self._log_bytes += len(data)
        self.written.records += len(frames)
        self._waiting.clear()
        self._due, self._urgent = math.inf, False
        return [Append(self._log, data), Sync(self._log)]

    def _seal(self) -> list[Operation]:
        """End the log: all before this is kept, as the operations before it have said."""
        last = self.next_sequence - 1
        frame = self._framer.frame(FrameKind.SEAL, last, last)
        self._count(len(frame))
        self._log_bytes += len(frame)
        return [Append(self._log, frame), Sync(self._log)]

    def _begin_log(self) -> list[Operation]:
        first = self.next_sequence
        name = log_name(first)
        self._segments.append((first, name))
        self._open(self._segments[-1], HEAD_BYTES)
        return [Create(name, head(LOG, self._identity, first)), Sync(name), SyncDirectory()]

    def _write_snapshot(self, sequence: int, payloads: Iterable[bytes]) -> list[Operation]:
        """The state, whole before it gets its name; then what nothing needs any more goes."""
        name = snapshot_name(sequence)
        if self._snapshots and self._snapshots[-1][0] == sequence:
            return []  # nothing has come since the last one
        new = name + NEW
        operations: list[Operation] = [
            Create(new, head(SNAPSHOT, self._identity, sequence)),
            Fill(new, snapshot_pieces(self._identity, sequence, payloads)),
            Sync(new),
            Rename(new, name),
            SyncDirectory(),
        ]
        self.written.snapshots += 1
        self._snapshots.append((sequence, name))
        if self._log_bytes > HEAD_BYTES and self._segments[-1][0] <= sequence:
            operations += [*self._seal(), *self._begin_log()]
        return operations + self._compact()

    def _compact(self) -> list[Operation]:
        """Remove snapshots beyond those kept, and logs whose records the oldest of those holds."""
        old, self._snapshots = self._snapshots[:-SNAPSHOTS_KEPT], self._snapshots[-SNAPSHOTS_KEPT:]
        base = self._snapshots[0][0] if len(self._snapshots) == SNAPSHOTS_KEPT else 0
        ends = [first - 1 for first, _ in self._segments[1:]]
        gone = sum(end <= base for end in ends)
        logs, self._segments = self._segments[:gone], self._segments[gone:]
        return [Remove(name) for _, name in (*old, *logs)]

    def _count(self, size: int) -> None:
        self._budget -= size
        self.written.bytes += size
        self.written.logged += size
