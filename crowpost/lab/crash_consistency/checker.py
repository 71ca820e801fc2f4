"""A store at work on a simulated disk, the power loss at every step of it, and what must hold afterwards.

Records are numbered and their content follows from the number, so that whatever is recovered can be checked
against what was written: all that was acknowledged, nothing invented, no gap, and the same a second time.
"""

from __future__ import annotations

import errno
import hashlib
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from crowpost.lab.crash_consistency.seeded_faults import FAULTS
from crowpost.lab.crash_consistency.simulated_disk import SimulatedDisk
from crowpost.storage.core import Store
from crowpost.storage.errors import StoreError
from crowpost.storage.model import Durability, RecoveredState
from crowpost.storage.operations import JobResult
from crowpost.storage.recovery import recover
from crowpost.storage.write_policy import WritePolicy

OWNER = "n0"
RECORDS = 36  # of each of two processes, one after the other
POLICY = WritePolicy(segment_bytes=1_500, bytes_per_s=1e9, burst_bytes=1e9)
AGAIN = 8  # one of so many recoveries is itself broken off, and one of so many of those once more
DEPTH = 2
SAMPLES = 3
BREACHES_KEPT = 20


def payload(number: int, seed: int) -> bytes:
    """The content of a record, of 1 to 700 bytes."""
    digest = hashlib.blake2b(b"%d %d" % (number, seed), digest_size=32).digest()
    return digest * (1 + digest[0] % 22) if digest[1] % 3 else digest[: 1 + digest[2] % 31]


def state(number: int, seed: int) -> list[bytes]:
    """The pieces of a snapshot after a record."""
    return [b"%d" % number, *(payload(n, seed)[:64] for n in range(max(1, number - 8), number + 1))]


@dataclass
class Tally:
    """States tried by kind, and what was found wrong with any."""

    states: Counter[str] = field(default_factory=Counter)
    breaches: Counter[str] = field(default_factory=Counter)
    stories: list[str] = field(default_factory=list)
    stop: bool = False  # at the first breach

    def add(self, other: Tally) -> None:
        self.states += other.states
        self.breaches += other.breaches
        self.stories = (self.stories + other.stories)[:BREACHES_KEPT]

    def breach(self, what: str, story: str) -> None:
        self.breaches[what] += 1
        if len(self.stories) < BREACHES_KEPT:
            self.stories.append(f"{what}: {story}")
        if self.stop:
            raise BreachFound


class BreachFound(Exception):  # noqa: N818 - it ends a play that was to end so
    """The first breach, where one is enough."""


def do_jobs(disk: SimulatedDisk, store: Store, done: Callable[[], None]) -> Iterator[None]:
    """Do all that a store hands out, a step at a time; done is called once it knows how a job has ended."""
    while (job := store.next_job(1e6)) is not None:
        filled, error = 0, None
        for operation in job.operations:
            try:
                for step in disk.steps(operation):
                    filled += disk.perform(step)
                    yield
            except OSError as failed:
                error = str(failed)
                break
        store.complete_job(job.number, JobResult(error, filled))
        done()
        yield


class Run:
    """One workload from one seed."""

    def __init__(self, seed: int, tally: Tally, records: int = RECORDS) -> None:
        self.seed, self.tally, self.records = seed, tally, records
        self.rng = Random(f"powerloss {seed}")
        self.identity = self.rng.randbytes(8)
        self.appended = 0  # records taken in by the core
        self.kept = 0  # and told to be kept
        self._checked: set[int] = set()

    # ------------------------------------------------------------ the workload

    def work(self, disk: SimulatedDisk, *, orderly: bool = False) -> Iterator[None]:
        """Open, write, take snapshots, close if it is to end in order; pauses after every step of the disk.

        Ends early once the store has stopped writing.
        """
        rng, last = self.rng, self.appended + self.records
        found = recover(disk.names(), disk.read, OWNER, self.identity)
        for operation in found.repairs:
            disk.perform(operation)
            yield
        store = Store(found, 0.0, POLICY)
        while self.appended < last and not store.failure:
            for _ in range(rng.choice((1, 1, 2, 5))):
                sure = Durability.ACKNOWLEDGED if rng.random() < 0.7 else Durability.DELAYED
                self.appended = store.append(payload(self.appended + 1, self.seed), sure, 0.0)
            if rng.random() < 0.15:
                store.write_snapshot(state(self.appended, self.seed))
            yield from self._jobs(disk, store)
        if orderly and not store.failure:
            store.close()
            yield from self._jobs(disk, store)

    def _jobs(self, disk: SimulatedDisk, store: Store) -> Iterator[None]:
        def done() -> None:
            self.kept = store.durable_sequence

        return do_jobs(disk, store, done)

    # ------------------------------------------------------------ what must hold

    def check(self, kind: str, disk: SimulatedDisk, kept: int, depth: int = 0) -> None:
        """Recover from what a disk shows, check what came of it, write on, and check that too."""
        shown = disk.seen()
        key = hash((kept, len(disk.changes), frozenset(shown.items())))
        if key in self._checked:
            return
        self._checked.add(key)
        self.tally.states[kind] += 1
        story = f"seed {self.seed}, {kind}, {kept} kept"
        try:
            found = recover(disk.names(), disk.read, OWNER, self.identity)
            wrong = self.wrong(found, kept)
            if wrong:
                self.tally.breach(wrong, f"{story}, {found.last_sequence} found")
                return
            again = depth < DEPTH and self.rng.random() < 1.0 / AGAIN
            held = found.last_sequence
            for operation in found.repairs:
                disk.perform(operation)
                if again:
                    self._crash(disk, "in recovery: ", kept, depth + 1)
            self._write_on(disk, found, held, story)
        except (StoreError, OSError, LookupError) as error:
            self.tally.breach("refused", f"{story}: {error!r}")

    def _write_on(self, disk: SimulatedDisk, found: RecoveredState, held: int, story: str) -> None:
        """Three more records after recovery, and a power loss that leaves only what was synced."""
        store = Store(found, 0.0, POLICY)
        for number in range(held + 1, held + 4):
            store.append(payload(number, self.seed), Durability.ACKNOWLEDGED, 0.0)
        while (job := store.next_job(1e6)) is not None:
            written = sum(disk.perform(operation) for operation in job.operations)
            store.complete_job(job.number, JobResult(None, written))
        woken = next(iter(disk.crash_states(self.rng, 0)))[1]
        found = recover(list(woken), woken.__getitem__, OWNER, self.identity)
        wrong = self.wrong(found, held + 3, most=held + 3)
        if wrong:
            self.tally.breach(f"{wrong} after writing on", f"{story}, {held} held")

    def wrong(self, found: RecoveredState, kept: int, most: int | None = None) -> str:
        """What is wrong with what was found, in a word; empty for nothing."""
        base = found.snapshot_sequence
        if found.snapshot != (state(base, self.seed) if found.snapshots else []):
            return "a snapshot invented"
        for number, record in enumerate(found.records, base + 1):
            if record.sequence != number:
                return "a gap"
            if record.payload != payload(number, self.seed):
                return "a record invented"
        last = found.last_sequence
        if last != base + len(found.records):
            return "a sequence out of step"
        if last > (self.appended if most is None else most):
            return "records invented"
        return "acknowledged records lost" if last < kept else ""

    def _crash(self, disk: SimulatedDisk, before: str, kept: int, depth: int) -> None:
        for kind, files in disk.crash_states(self.rng, SAMPLES):
            self.check(before + kind, SimulatedDisk(files), kept, depth)

    # ------------------------------------------------------------ what is played

    def power(self) -> SimulatedDisk:
        """The power goes at every step; returns the disk as it is at the end."""
        disk = SimulatedDisk()
        for orderly in (False, True):
            for _ in self.work(disk, orderly=orderly):
                self._crash(disk, "", self.kept, 0)
                self.check("the process was killed", disk.survivor(), self.kept)
        return disk

    def failures(self) -> None:
        """Each operation in turn fails, by a full disk or an error; then the process ends, or power goes."""
        count = self._operations()
        for number in range(count):
            for code in (errno.ENOSPC, errno.EIO):
                run = Run(self.seed, self.tally, self.records)
                disk = SimulatedDisk(fail=(number, code))
                try:
                    for _ in run.work(disk):
                        pass
                except OSError:
                    pass  # while it was opened: it does not start
                kind = "disk full" if code == errno.ENOSPC else "disk error"
                run.check(f"{kind}, then killed", disk.survivor(), run.kept)
                for name, files in disk.crash_states(run.rng, 1):
                    run.check(f"{kind}, then power lost: {name}", SimulatedDisk(files), run.kept, DEPTH)

    def _operations(self) -> int:
        disk = SimulatedDisk()
        for _ in Run(self.seed, Tally(), self.records).work(disk):
            pass
        return disk.operations

    def flips(self, disk: SimulatedDisk, step: int) -> None:
        """One bit flipped in a store that was closed, every `step`-th: an error, or harmless and told."""
        files = disk.seen()
        number = 0
        for name, data in files.items():
            for bit in range(8 * len(data)):
                number += 1
                if number % step:
                    continue
                changed = bytearray(data)
                changed[bit // 8] ^= 1 << bit % 8
                self.tally.states["a bit flipped"] += 1
                flipped = {**files, name: bytes(changed)}
                try:
                    found = recover(list(flipped), flipped.__getitem__, OWNER, self.identity)
                except StoreError:
                    continue
                wrong = self.wrong(found, self.kept)
                if wrong or not found.notes:
                    story = f"seed {self.seed}, bit {bit} of {name}"
                    self.tally.breach("a flipped bit passed over", f"{story} {wrong}")


def play(seed: int, flip_step: int = 29, *, first_breach: bool = False, records: int = RECORDS) -> Tally:
    """All that is played for one seed.  first_breach: only until something is found wrong."""
    tally = Tally(stop=first_breach)
    run = Run(seed, tally, records)
    with suppress(BreachFound):
        disk = run.power()
        run.flips(disk, flip_step)
        Run(seed, tally, records).failures()
    return tally


def play_broken(name: str, seeds: int = 20, records: int = RECORDS) -> tuple[int, Tally]:
    """Play with a fault put in, seed after seed, until it is found; the seeds played and what was tried.

    A tally without a breach: it was not found.
    """
    whole = Tally()
    for seed in range(1, seeds + 1):
        with FAULTS[name]():
            whole.add(play(seed, first_breach=True, records=records))
        if whole.breaches:
            break
    return seed, whole
