"""Remembers the requests for which an attempt was begun, so that none of them runs a second time.

A client may send a request again on another connection, while the first is running or after its client has
left.  A request that may have run must not run again unless its class allows it.  The identities of such
requests are kept in a hash table of a fixed size.  Two processes that serve the same address during an
upgrade see each other's table, in files of a directory that they share.
"""

from __future__ import annotations

import fcntl
import logging
import mmap
import os
from enum import Enum
from hashlib import blake2b

log = logging.getLogger(__name__)

# pathlib is not imported: with what it needs, it takes 0.7 MB of each process.
Directory = str | os.PathLike[str]

# The fewest and the most places of one generation of identities, and the share of them that may be used.
MIN_SLOTS = 1 << 13
MAX_SLOTS = 1 << 17
MAX_USED_FRACTION = 0.75
# The share of the memory limit that the two generations may take.
MEMORY_FRACTION = 1 / 48
WORD_BYTES = 8
GENERATIONS = 2
# A table begins with the time of its last rotation in ms and the index of its current generation.
_ROTATED_AT, _CURRENT, _HEADER_WORDS = 0, 1, 2
_EMPTY, _REMOVED = 0, 2**64 - 1

# The processes that may serve one address at the same time.
MAX_PROCESSES = 2


class AddResult(Enum):
    """What came of adding identities."""

    ADDED = "added"
    # One of them was added before.
    KNOWN = "known"
    # There is no room for more; the table forgets nothing early to make room.
    FULL = "full"


def identity_of(text: bytes) -> int:
    """Return the identity of a request id or idempotency key: 64 bits of a hash, the same in each process."""
    value = int.from_bytes(blake2b(text, digest_size=WORD_BYTES).digest(), "big")
    return value if value not in (_EMPTY, _REMOVED) else 1


def slots_for(memory_limit: float) -> int:
    """Return the places of one generation, a power of two, for a memory limit in bytes."""
    slots = MAX_SLOTS
    while slots > MIN_SLOTS and GENERATIONS * WORD_BYTES * slots > MEMORY_FRACTION * memory_limit:
        slots //= 2
    return slots


def table_bytes(slots: int) -> int:
    """Return the size of a table, in bytes."""
    return WORD_BYTES * (_HEADER_WORDS + GENERATIONS * slots)


class IdentityTable:
    """The identities that one process has added, in two generations of an open-addressing hash table.

    memory: `table_bytes(slots)` bytes, zero at first.
    """

    def __init__(self, memory: mmap.mmap, slots: int) -> None:
        self._words = memoryview(memory).cast("Q")
        self._slots = slots
        self._max_used = int(MAX_USED_FRACTION * slots)
        self._used = 0

    def contains(self, identity: int, now_ms: int, lifetime_ms: int) -> bool:
        """Return whether an identity was added, and not more than one to two lifetimes ago.

        The process of a table that is only read may have ended, so that nobody rotates it.
        """
        age_ms = now_ms - self._words[_ROTATED_AT]
        if age_ms >= 2 * lifetime_ms:
            return False
        current = self._words[_CURRENT]
        if self._words[self._find(current, identity)] == identity:
            return True
        return age_ms < lifetime_ms and self._words[self._find(1 - current, identity)] == identity

    def is_full(self) -> bool:
        """Return whether the current generation has no room."""
        return self._used >= self._max_used

    def add(self, identity: int) -> None:
        """Add an identity; there must be room."""
        self._words[self._find(self._words[_CURRENT], identity)] = identity
        self._used += 1

    def remove(self, identity: int) -> None:
        """Forget an identity."""
        for generation in (0, 1):
            slot = self._find(generation, identity)
            if self._words[slot] == identity:
                self._words[slot] = _REMOVED

    def rotate(self, now_ms: int, lifetime_ms: int) -> None:
        """Forget the identities that were added more than one to two lifetimes ago."""
        age_ms = now_ms - self._words[_ROTATED_AT]
        if age_ms < lifetime_ms:
            return
        next_generation = 1 - self._words[_CURRENT]
        self._clear(next_generation)
        if age_ms >= 2 * lifetime_ms:
            self._clear(1 - next_generation)
        self._words[_CURRENT] = next_generation
        self._words[_ROTATED_AT] = now_ms
        self._used = 0

    def recover(self) -> None:
        """Continue a table that an earlier process has left."""
        start = self._start(self._words[_CURRENT])
        self._used = self._slots - self._words[start : start + self._slots].tolist().count(_EMPTY)

    def _start(self, generation: int) -> int:
        return _HEADER_WORDS + generation * self._slots

    def _clear(self, generation: int) -> None:
        start = self._start(generation)
        self._words[start : start + self._slots] = memoryview(bytes(WORD_BYTES * self._slots)).cast("Q")

    def _find(self, generation: int, identity: int) -> int:
        """Return the place of an identity, or the empty place where it would be added."""
        words = self._words
        slots = self._slots
        start = _HEADER_WORDS + generation * slots
        slot = identity % slots
        found = words[start + slot]
        while found != identity and found != _EMPTY:  # noqa: PLR1714  a tuple costs more, at each request
            slot = (slot + 1) % slots
            found = words[start + slot]
        return start + slot


class SentRequests:
    """The identities of the requests that this node has begun to send, also by its other process.

    own: the table of this process; others: the tables of the other processes, which are only read;
    lifetime_ms: how long identities are remembered at least.
    """

    def __init__(self, own: IdentityTable, others: list[IdentityTable], lifetime_ms: float) -> None:
        self._own = own
        self._others = others
        self._lifetime_ms = int(lifetime_ms)

    def contains(self, identity: int, now_ms: float) -> bool:
        """Return whether an attempt of such a request was begun, by this or the other process.

        now_ms: monotonic time, the same clock in all processes.
        """
        now = int(now_ms)
        return self._own.contains(identity, now, self._lifetime_ms) or self._was_added_elsewhere(
            identity, now
        )

    def _was_added_elsewhere(self, identity: int, now_ms: int) -> bool:
        return any(table.contains(identity, now_ms, self._lifetime_ms) for table in self._others)

    def try_add(self, identities: tuple[int, ...], now_ms: float) -> AddResult:
        """Add the identities of a request whose first attempt begins; nothing changes unless it is ADDED."""
        now = int(now_ms)
        self._own.rotate(now, self._lifetime_ms)
        for identity in identities:
            if self.contains(identity, now):
                return AddResult.KNOWN
        if self._own.is_full():
            return AddResult.FULL
        for identity in identities:
            self._own.add(identity)
        if self._others and any(self._was_added_elsewhere(identity, now) for identity in identities):
            # The other process has added one at the same moment: at most one of the two sends it.
            self.remove(identities)
            return AddResult.KNOWN
        return AddResult.ADDED

    def remove(self, identities: tuple[int, ...]) -> None:
        """Forget a request that is known not to have run."""
        for identity in identities:
            self._own.remove(identity)


def open_sent_requests(
    lifetime_ms: float, directory: Directory | None, node: str, slots: int
) -> SentRequests:
    """Return an empty table, or one that is shared with the other process of this node.

    directory: where the shared files are; None if there is no other process; slots: the places of one
    generation, unless an earlier process has decided.
    """
    if directory is not None:
        try:
            return _open_shared(lifetime_ms, directory, node, slots)
        except OSError as error:
            log.warning("requests sent by the other process are not known: %s", error)
    return SentRequests(IdentityTable(mmap.mmap(-1, table_bytes(slots)), slots), [], lifetime_ms)


def _open_shared(lifetime_ms: float, directory: Directory, node: str, slots: int) -> SentRequests:
    own: IdentityTable | None = None
    others = []
    for index in range(MAX_PROCESSES):
        name = f"sent-requests-{identity_of(node.encode()):016x}.{index}"
        with open(os.path.join(directory, name), "a+b") as file:
            # The first process decides: the processes of an upgrade may have different memory limits.
            slots = _slots_of(os.fstat(file.fileno()).st_size) or slots
            size = table_bytes(slots)
            # Reserves the space: a write to a mapping without space would end the process.
            os.posix_fallocate(file.fileno(), 0, size)
            # The mapping has a descriptor of its own, which holds the lock until the process ends.
            table = IdentityTable(mmap.mmap(file.fileno(), size), slots)
            if own is None and _try_lock(file.fileno()):
                table.recover()
                own = table
            else:
                others.append(table)
    if own is None:
        raise BlockingIOError(f"{MAX_PROCESSES} processes use the files in {directory} already")
    return SentRequests(own, others, lifetime_ms)


def _slots_of(size: int) -> int | None:
    """Return the places of one generation in a file of this size; None if it is not the size of a table."""
    slots = MIN_SLOTS
    while slots <= MAX_SLOTS:
        if table_bytes(slots) == size:
            return slots
        slots *= 2
    return None


def _try_lock(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True
