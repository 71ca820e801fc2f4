"""Checks of the recovered state of a store after a power loss at each step of its work.

Recovery must return all acknowledged records, no record that was not written, and no gap.  The same must hold
after further records and another power loss.
"""

from __future__ import annotations

import errno
from contextlib import suppress
from random import Random

from crowpost.lab.crash_consistency.results import CheckResults, ViolationFoundError
from crowpost.lab.crash_consistency.seeded_faults import FAULTS
from crowpost.lab.crash_consistency.simulated_disk import Files, SimulatedDisk
from crowpost.lab.crash_consistency.workload import (
    LATER_MS,
    OWNER,
    POLICY,
    RECORDS,
    Workload,
    record_payload,
    recover_disk,
    snapshot_pieces,
)
from crowpost.storage.core import Store
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import JobResult
from crowpost.storage.recovery import recover

# One of so many recoveries, chosen at random, is itself interrupted by power losses.  The same holds for the
# recoveries after those, up to MAX_DEPTH.
NESTED_ONE_IN = 8
MAX_DEPTH = 2
RANDOM_STATES = 3  # number of random states that are checked for each power loss
FURTHER_RECORDS = 3  # number of records written after a recovery


class CrashChecker:
    """The checks of one workload with one seed."""

    def __init__(self, seed: int, results: CheckResults, records: int = RECORDS) -> None:
        self._seed = seed
        self._results = results
        self._records = records
        self._rng = Random(f"powerloss {seed}")
        self._identity = self._rng.randbytes(8)
        self._workload = Workload(seed, self._rng, self._identity, records)
        self._checked: set[int] = set()

    # ------------------------------------------------------------ injected faults

    def check_power_losses(self) -> SimulatedDisk:
        """Check a power loss after every step of two processes, and return the disk at the end."""
        disk = SimulatedDisk()
        for close in (False, True):
            for _ in self._workload.run(disk, close=close):
                self._check_crash_states(disk, "", self._workload.durable, 0)
                self._check("the process was killed", disk.survivor(), self._workload.durable)
        return disk

    def check_disk_errors(self) -> None:
        """Check a full disk and a disk error at each operation, followed by a kill or a power loss."""
        for number in range(self._count_operations()):
            for code in (errno.ENOSPC, errno.EIO):
                checker = CrashChecker(self._seed, self._results, self._records)
                checker.check_disk_error(number, code)

    def check_disk_error(self, number: int, code: int) -> None:
        """Let one operation fail with an errno, and check the states that may be left.

        number: index of the operation.  code: the errno.
        """
        disk = SimulatedDisk(fail=(number, code))
        workload = self._workload
        with suppress(OSError):  # an error while the store is opened: the process does not start
            for _ in workload.run(disk):
                pass
        kind = "disk full" if code == errno.ENOSPC else "disk error"
        self._check(f"{kind}, then killed", disk.survivor(), workload.durable)
        for name, files in disk.crash_states(self._rng, 1):
            state = f"{kind}, then power lost: {name}"
            self._check(state, SimulatedDisk(files), workload.durable, MAX_DEPTH)

    def _count_operations(self) -> int:
        """Return the number of operations of one process with this seed; this checker is unaffected."""
        checker = CrashChecker(self._seed, CheckResults(), self._records)
        return checker.run_one_process()

    def run_one_process(self) -> int:
        """Run the workload of one process without a fault, and return the number of disk operations."""
        disk = SimulatedDisk()
        for _ in self._workload.run(disk):
            pass
        return disk.operations

    def check_flipped_bits(self, disk: SimulatedDisk, step: int) -> None:
        """Flip every `step`-th bit of a closed store; recovery must reject the store or note it."""
        files = disk.visible_files()
        number = 0
        for name, data in files.items():
            for bit in range(8 * len(data)):
                number += 1
                if number % step == 0:
                    self._check_flipped_bit(files, name, bit)

    def _check_flipped_bit(self, files: Files, name: str, bit: int) -> None:
        corrupted_data = bytearray(files[name])
        corrupted_data[bit // 8] ^= 1 << bit % 8
        corrupted_files = {**files, name: bytes(corrupted_data)}
        self._results.states["a bit flipped"] += 1
        try:
            recovered = recover(list(corrupted_files), corrupted_files.__getitem__, OWNER, self._identity)
        except StoreError:
            return
        violation = self._find_violation(recovered, self._workload.durable)
        if violation or not recovered.notes:
            description = f"seed {self._seed}, bit {bit} of {name} {violation}"
            self._results.record_violation("a flipped bit passed over", description)

    # ------------------------------------------------------------ checks of one state

    def _check_crash_states(self, disk: SimulatedDisk, prefix: str, durable: int, depth: int) -> None:
        for kind, files in disk.crash_states(self._rng, RANDOM_STATES):
            self._check(prefix + kind, SimulatedDisk(files), durable, depth)

    def _check(self, kind: str, disk: SimulatedDisk, durable: int, depth: int = 0) -> None:
        """Recover the visible content of a disk and check it; then write further records and check again."""
        key = hash((durable, len(disk.changes), frozenset(disk.visible_files().items())))
        if key in self._checked:
            return
        self._checked.add(key)
        self._results.states[kind] += 1
        description = f"seed {self._seed}, {kind}, {durable} durable"
        try:
            recovered = recover_disk(disk, self._identity)
            violation = self._find_violation(recovered, durable)
            if violation:
                text = f"{description}, {recovered.last_sequence} recovered"
                self._results.record_violation(violation, text)
                return
            self._execute_repairs(disk, recovered, durable, depth)
            self._check_further_records(disk, recovered, description)
        except (StoreError, OSError, LookupError) as error:
            self._results.record_violation("refused", f"{description}: {error!r}")

    def _execute_repairs(
        self, disk: SimulatedDisk, recovered: RecoveredState, durable: int, depth: int
    ) -> None:
        """Execute the repairs; in some of the recoveries, check a power loss after each operation."""
        is_interrupted = depth < MAX_DEPTH and self._rng.random() < 1.0 / NESTED_ONE_IN
        for operation in recovered.repairs:
            disk.perform(operation)
            if is_interrupted:
                self._check_crash_states(disk, "in recovery: ", durable, depth + 1)

    def _check_further_records(
        self, disk: SimulatedDisk, recovered: RecoveredState, description: str
    ) -> None:
        """Write further records, lose all unsynced data, and check the recovered state."""
        before = recovered.last_sequence
        last = before + FURTHER_RECORDS
        store = Store(recovered, 0.0, POLICY)
        for number in range(before + 1, last + 1):
            store.append(record_payload(number, self._seed), Durability.ACKNOWLEDGED, 0.0)
        while (job := store.next_job(LATER_MS)) is not None:
            generated = sum(disk.perform(operation) for operation in job.operations)
            store.complete_job(job.number, JobResult(None, generated))
        _, files = next(iter(disk.crash_states(self._rng, 0)))
        recovered_again = recover(list(files), files.__getitem__, OWNER, self._identity)
        violation = self._find_violation(recovered_again, last, appended=last)
        if violation:
            text = f"{description}, {before} before"
            self._results.record_violation(f"{violation} after writing on", text)

    def _find_violation(self, recovered: RecoveredState, durable: int, appended: int | None = None) -> str:
        """Return the kind of the first violation of a recovered state; empty if there is none.

        durable, appended: sequence numbers of the last durable and the last appended record.
        """
        base = recovered.snapshot_sequence
        if recovered.snapshot != (snapshot_pieces(base, self._seed) if recovered.snapshots else []):
            return "a snapshot invented"
        for number, record in enumerate(recovered.records, base + 1):
            if record.sequence != number:
                return "a gap"
            if record.payload != record_payload(number, self._seed):
                return "a record invented"
        last = recovered.last_sequence
        if last != base + len(recovered.records):
            return "a sequence out of step"
        if last > (self._workload.appended if appended is None else appended):
            return "records invented"
        return "acknowledged records lost" if last < durable else ""


def check_seed(
    seed: int, flip_step: int = 29, *, stop_at_first: bool = False, records: int = RECORDS
) -> CheckResults:
    """Run all checks with one seed.  stop_at_first: stop at the first violation."""
    results = CheckResults(stop_at_first=stop_at_first)
    checker = CrashChecker(seed, results, records)
    with suppress(ViolationFoundError):
        disk = checker.check_power_losses()
        checker.check_flipped_bits(disk, flip_step)
        CrashChecker(seed, results, records).check_disk_errors()
    return results


def check_fault(name: str, seeds: int = 20, records: int = RECORDS) -> tuple[int, CheckResults]:
    """Run the checks on a store with a seeded fault, seed after seed, until one finds a violation.

    Return the last seed, which is the number of seeds tried, and the results; results without a violation
    mean that the fault was not found.
    """
    total = CheckResults()
    for seed in range(1, seeds + 1):
        with FAULTS[name]():
            total.add(check_seed(seed, stop_at_first=True, records=records))
        if total.violations:
            break
    return seed, total
