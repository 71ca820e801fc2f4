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
import time
from enum import Enum
from hashlib import blake2b
from io import FileIO

from crowpost.node.identity_table import (
    EMPTY,
    GENERATIONS,
    REMOVED,
    WORD_BYTES,
    ForeignTable,
    IdentityTable,
    TableFile,
    table_bytes,
)

log = logging.getLogger(__name__)

# pathlib is not imported: with what it needs, it takes 0.7 MB of each process.
Directory = str | os.PathLike[str]

# The fewest and the most places of one generation of identities.
MIN_SLOTS = 1 << 13
MAX_SLOTS = 1 << 17
# The share of the memory limit that the two generations may take.
MEMORY_FRACTION = 1 / 48

# The processes that may serve one address at the same time.
MAX_PROCESSES = 2
FILE_MODE = 0o600


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
    return value if value not in (EMPTY, REMOVED) else 1


def slots_for(memory_limit: float) -> int:
    """Return the places of one generation, a power of two, for a memory limit in bytes."""
    slots = MAX_SLOTS
    while slots > MIN_SLOTS and GENERATIONS * WORD_BYTES * slots > MEMORY_FRACTION * memory_limit:
        slots //= 2
    return slots


class SentRequests:
    """The identities of the requests that this node has begun to send, also by its other process.

    own: the table of this process; others: the tables of the other processes, which are only read;
    lifetime_ms: how long identities are remembered at least.
    """

    def __init__(self, own: IdentityTable, others: list[ForeignTable], lifetime_ms: float) -> None:
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
    return SentRequests(IdentityTable(_memory_of(slots), slots), [], lifetime_ms)


def _memory_of(slots: int) -> memoryview:
    """Return zeroed memory for a table, whose pages are taken as they are written."""
    return memoryview(mmap.mmap(-1, table_bytes(slots)))


def _open_shared(lifetime_ms: float, directory: Directory, node: str, slots: int) -> SentRequests:
    own: IdentityTable | None = None
    others = []
    for index in range(MAX_PROCESSES):
        name = f"sent-requests-{identity_of(node.encode()):016x}.{index}"
        descriptor = os.open(os.path.join(directory, name), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        file = FileIO(descriptor, "r+")
        # The first process decides: the processes of an upgrade may have different memory limits.
        slots = _slots_of(os.fstat(descriptor).st_size) or slots
        # Reserves the space, so that no later write lacks it.
        os.posix_fallocate(descriptor, 0, table_bytes(slots))
        if own is None and _try_lock(descriptor):
            own = IdentityTable(_memory_of(slots), slots, TableFile(file))
            own.recover(int(1000.0 * time.monotonic()))
        else:
            others.append(ForeignTable(TableFile(file), slots))
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
