"""The write path of a store, without I/O: it accepts records and returns jobs of disk operations.

There is one job at a time.  Records that arrive while it is executed become the next job, so that one fsync
serves them all.  After any failed operation nothing more is written: it is not known which data a failed
fsync has lost, and a second fsync would succeed without writing it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from crowpost.storage.errors import StoreError
from crowpost.storage.file_format import (
    HEADER_BYTES,
    TEMPORARY_SUFFIX,
    FileKind,
    FrameCodec,
    FrameKind,
    Header,
    encode_snapshot,
    log_file_name,
    snapshot_file_name,
)
from crowpost.storage.model import RETAINED_SNAPSHOTS, Durability, Record, RecoveredState, StoredFile
from crowpost.storage.operations import (
    Append,
    AppendPieces,
    Create,
    Job,
    JobResult,
    Operation,
    Remove,
    Rename,
    Sync,
    SyncDirectory,
)
from crowpost.storage.write_policy import WriteBudget, WritePolicy


@dataclass(slots=True)
class WriteCounters:
    """Number of records, bytes, jobs and snapshots written since the start."""

    records: int = 0
    bytes: int = 0
    log_bytes: int = 0  # the part of `bytes` that was written to the log, not to snapshots
    jobs: int = 0
    snapshots: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A snapshot to be written: the state after the record `sequence`, in pieces."""

    sequence: int
    pieces: Iterable[bytes]


class Store:
    """Plans the writes of one directory.

    The owner executes the jobs that `next_job` returns and reports their results.  All times are in ms and
    never decrease.  recovered: the result of recovery, whose repairs have been executed.
    """

    def __init__(self, recovered: RecoveredState, now: float, policy: WritePolicy | None = None) -> None:
        self.policy = policy or WritePolicy()
        self.next_sequence = recovered.next_sequence
        self.durable_sequence = recovered.last_sequence  # sequence number of the last durable record
        self.failure = ""  # the error that stopped all writing; empty if there was none
        self.closed = False
        self.counters = WriteCounters()
        self._identity = recovered.identity
        self._segments = list(recovered.segments)
        self._snapshots = list(recovered.snapshots)
        self._open_segment(self._segments[-1], recovered.tail_bytes)
        self._waiting: list[Record] = []
        self._due = math.inf  # time in ms at which the waiting records are to be written
        self._urgent = False  # True if a waiting record has durability ACKNOWLEDGED
        self._requested_snapshot: SnapshotRequest | None = None
        self._job: Job | None = None
        self._closing = False
        self._sealing = False  # True if the job being executed seals the log
        self._budget = WriteBudget(self.policy, now)

    def _open_segment(self, segment: StoredFile, size: int) -> None:
        self._log = segment.name
        self._log_bytes = size
        self._codec = FrameCodec(self._log_header(segment.sequence))

    def _log_header(self, first_sequence: int) -> Header:
        return Header(FileKind.LOG, self._identity, first_sequence)

    # ------------------------------------------------------------ records and results

    def append(self, payload: bytes, durability: Durability, now: float) -> int:
        """Accept a record and return its sequence number.

        The record is durable once `durable_sequence` is at least that number.  Raise StoreError if writing
        has stopped.
        """
        self._require_open()
        sequence = self.next_sequence
        self.next_sequence += 1
        self._waiting.append(Record(sequence, payload))
        self._due = min(self._due, now + self.policy.max_delay_ms)
        self._urgent |= durability is Durability.ACKNOWLEDGED
        return sequence

    def write_snapshot(self, pieces: Iterable[bytes]) -> None:
        """Request a snapshot of the state after the last accepted record.

        The pieces are generated while they are written.  Once the snapshot is durable, segments and snapshots
        that are no longer needed are removed.  A later request replaces one that has not been started.
        """
        self._require_open()
        self._requested_snapshot = SnapshotRequest(self.next_sequence - 1, pieces)

    def close(self) -> None:
        """Write the waiting records and seal the log; `closed` becomes True once that is done."""
        self._closing = True

    def complete_job(self, number: int, result: JobResult) -> None:
        """Process the result of the job that was being executed."""
        job = self._job
        self._job = None
        if job is None or job.number != number:
            raise StoreError(f"job {number} was not being executed")
        self._budget.spend(result.generated_bytes)
        self.counters.bytes += result.generated_bytes
        if result.error is not None:
            self.failure = result.error
            self._waiting.clear()
            self._requested_snapshot = None
            return
        self.durable_sequence = job.last_sequence
        has_work = bool(self._waiting) or self._requested_snapshot is not None
        self.closed = self._closing and self._sealing and not has_work

    def _require_open(self) -> None:
        self.require_no_failure()
        if self._closing:
            raise StoreError("the store has been closed")

    def require_no_failure(self) -> None:
        """Raise StoreError if writing has stopped."""
        if self.failure:
            raise StoreError(f"writing has stopped: {self.failure}")

    # ------------------------------------------------------------ jobs

    @property
    def busy(self) -> bool:
        """Whether a job is being executed."""
        return self._job is not None

    @property
    def log_bytes(self) -> int:
        """Size of the current log segment."""
        return self._log_bytes

    @property
    def pending_records(self) -> int:
        """Number of records that are not durable yet."""
        return self.next_sequence - 1 - self.durable_sequence

    def next_job_at(self) -> float:
        """Return the time in ms at which the next job is due; infinity if there is none or one is running."""
        if self._job is not None or self.failure or self.closed:
            return math.inf
        if self._urgent or self._closing:
            return -math.inf
        due = self._due if self._requested_snapshot is None else self._budget.refilled_at
        return self._budget.available_at(due)

    def next_job(self, now: float) -> Job | None:
        """Return the next job if one is due, else None."""
        self._budget.refill(now)
        if self.next_job_at() > now:
            return None
        operations: list[Operation] = []
        if self._waiting:
            operations += self._write_records()
        last_sequence = self.next_sequence - 1
        request = self._requested_snapshot
        self._requested_snapshot = None
        self._sealing = self._closing and request is None
        if request is not None:
            operations += self._write_snapshot_file(request)
        elif self._closing:
            operations += self._seal_segment()
        elif self._log_bytes >= self.policy.segment_bytes:
            operations += [*self._seal_segment(), *self._create_segment()]
        self.counters.jobs += 1
        self._job = Job(self.counters.jobs, tuple(operations), last_sequence)
        return self._job

    def _write_records(self) -> list[Operation]:
        synced = self.durable_sequence
        frames = [
            self._codec.encode(FrameKind.RECORD, record.sequence, synced, record.payload)
            for record in self._waiting
        ]
        self._waiting.clear()
        self._due = math.inf
        self._urgent = False
        self.counters.records += len(frames)
        return self._append_to_log(b"".join(frames))

    def _seal_segment(self) -> list[Operation]:
        """End the segment with a seal; the operations before it make all records before it durable."""
        last = self.next_sequence - 1
        return self._append_to_log(self._codec.encode(FrameKind.SEAL, last, last))

    def _append_to_log(self, data: bytes) -> list[Operation]:
        self._budget.spend(len(data))
        self.counters.bytes += len(data)
        self.counters.log_bytes += len(data)
        self._log_bytes += len(data)
        return [Append(self._log, data), Sync(self._log)]

    def _create_segment(self) -> list[Operation]:
        segment = StoredFile(self.next_sequence, log_file_name(self.next_sequence))
        self._segments.append(segment)
        self._open_segment(segment, HEADER_BYTES)
        header = self._log_header(segment.sequence).encode()
        return [Create(segment.name, header), Sync(segment.name), SyncDirectory()]

    def _write_snapshot_file(self, request: SnapshotRequest) -> list[Operation]:
        """Write a snapshot to a temporary file, rename it, and remove the files it makes unnecessary."""
        sequence = request.sequence
        if self._snapshots and self._snapshots[-1].sequence == sequence:
            return []  # no record has been written since the last snapshot
        name = snapshot_file_name(sequence)
        temporary = name + TEMPORARY_SUFFIX
        header = Header(FileKind.SNAPSHOT, self._identity, sequence)
        operations: list[Operation] = [
            Create(temporary, header.encode()),
            AppendPieces(temporary, encode_snapshot(header, request.pieces)),
            Sync(temporary),
            Rename(temporary, name),
            SyncDirectory(),
        ]
        self.counters.snapshots += 1
        self._snapshots.append(StoredFile(sequence, name))
        if self._log_bytes > HEADER_BYTES and self._segments[-1].sequence <= sequence:
            operations += [*self._seal_segment(), *self._create_segment()]
        return operations + self._compact()

    def _compact(self) -> list[Operation]:
        """Remove older snapshots, and the segments whose records the oldest retained snapshot contains."""
        removed = self._snapshots[:-RETAINED_SNAPSHOTS]
        self._snapshots = self._snapshots[-RETAINED_SNAPSHOTS:]
        base = self._snapshots[0].sequence if len(self._snapshots) == RETAINED_SNAPSHOTS else 0
        last_sequences = [following.sequence - 1 for following in self._segments[1:]]
        covered = sum(last <= base for last in last_sequences)
        removed += self._segments[:covered]
        self._segments = self._segments[covered:]
        return [Remove(file.name) for file in removed]
