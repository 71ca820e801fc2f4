"""Hash tables of identities: one in memory, and the file through which another process reads it.

The file is written and read, not mapped: a mapped file that is cut, or whose disk fails, ends the process.
"""

from __future__ import annotations

import logging
import os
import struct
import sys
from collections.abc import Sequence
from io import FileIO

log = logging.getLogger(__name__)

MAX_USED_FRACTION = 0.75
WORD_BYTES = 8
GENERATIONS = 2
# A table begins with the time of its last rotation in ms and the index of its current generation.
ROTATED_AT, CURRENT, HEADER_WORDS = 0, 1, 2
EMPTY, REMOVED = 0, 2**64 - 1
# How many places of a file are read at once: most identities are found among the first of them.
PLACES_PER_READ = 8


def table_bytes(slots: int) -> int:
    """Return the size of a table with this many places in each generation, in bytes."""
    return WORD_BYTES * (HEADER_WORDS + GENERATIONS * slots)


def first_word(generation: int, slots: int) -> int:
    """Return the index of the first place of a generation."""
    return HEADER_WORDS + generation * slots


def generations_with(rotated_at: int, current: int, now_ms: int, lifetime_ms: int) -> Sequence[int]:
    """Return the generations that may hold identities which are not forgotten yet.

    An identity is forgotten one to two lifetimes after it was added.  The process of a table that is only
    read may have ended, so that nobody rotates it.
    """
    age_ms = now_ms - rotated_at
    if age_ms >= 2 * lifetime_ms:
        return ()
    return (current,) if age_ms >= lifetime_ms else (current, 1 - current)


class TableFile:
    """The file of a table.  No failure of the disk is raised; what cannot be read is None.

    file: open for reading and writing; kept open, as it holds the lock of the process that writes.
    """

    def __init__(self, file: FileIO) -> None:
        self._file = file
        self._failed = False

    def write(self, word: int, data: bytes) -> None:
        """Write from this word on; a failure is logged once."""
        try:
            os.pwrite(self._file.fileno(), data, WORD_BYTES * word)
        except OSError as error:
            if not self._failed:
                log.warning("the other process cannot be told which requests were sent: %s", error)
            self._failed = True

    def has_been_cut(self, words: int) -> bool:
        """Return whether the file is shorter than this many words."""
        try:
            return os.fstat(self._file.fileno()).st_size < WORD_BYTES * words
        except OSError:
            return False

    def read(self, word: int, count: int) -> Sequence[int] | None:
        """Return words; None if they are not there."""
        try:
            data = os.pread(self._file.fileno(), WORD_BYTES * count, WORD_BYTES * word)
        except OSError:
            return None
        if len(data) != WORD_BYTES * count:
            return None
        return struct.unpack(f"={count}Q", data)


class IdentityTable:
    """The identities that this process has added, in two generations of an open-addressing hash table.

    memory: `table_bytes(slots)` bytes, zero at first; file: where another process reads the table.
    """

    def __init__(self, memory: memoryview, slots: int, file: TableFile | None = None) -> None:
        self._words = memory.cast("Q")
        self._slots = slots
        self._file = file
        self._max_used = int(MAX_USED_FRACTION * slots)
        self._used = 0

    def contains(self, identity: int, now_ms: int, lifetime_ms: int) -> bool:
        """Return whether an identity was added, and not more than one to two lifetimes ago."""
        words = self._words
        generations = generations_with(words[ROTATED_AT], words[CURRENT], now_ms, lifetime_ms)
        return any(words[self._find(generation, identity)] == identity for generation in generations)

    def is_full(self) -> bool:
        """Return whether the current generation has no room."""
        return self._used >= self._max_used

    def add(self, identity: int) -> None:
        """Add an identity; there must be room."""
        if self._file is not None and self._file.has_been_cut(len(self._words)):
            self._file.write(0, self._words.tobytes())
        self._set(self._find(self._words[CURRENT], identity), identity)
        self._used += 1

    def remove(self, identity: int) -> None:
        """Forget an identity."""
        for generation in range(GENERATIONS):
            place = self._find(generation, identity)
            if self._words[place] == identity:
                self._set(place, REMOVED)

    def rotate(self, now_ms: int, lifetime_ms: int) -> None:
        """Forget the identities that were added more than one to two lifetimes ago."""
        age_ms = now_ms - self._words[ROTATED_AT]
        if age_ms < lifetime_ms:
            return
        next_generation = 1 - self._words[CURRENT]
        self._clear(next_generation)
        if age_ms >= 2 * lifetime_ms:
            self._clear(1 - next_generation)
        self._set(CURRENT, next_generation)
        self._set(ROTATED_AT, now_ms)
        self._used = 0

    def recover(self, now_ms: int) -> None:
        """Continue the table that an earlier process has left in the file, or begin a new one."""
        assert self._file is not None
        found = self._file.read(0, len(self._words))
        if found is None or found[CURRENT] >= GENERATIONS or found[ROTATED_AT] > now_ms:
            self._file.write(0, bytes(WORD_BYTES * len(self._words)))
            return
        for place, word in enumerate(found):
            if word:
                self._words[place] = word
        start = first_word(found[CURRENT], self._slots)
        self._used = self._slots - found[start : start + self._slots].count(EMPTY)

    def _set(self, place: int, word: int) -> None:
        self._words[place] = word
        if self._file is not None:
            self._file.write(place, word.to_bytes(WORD_BYTES, sys.byteorder))

    def _clear(self, generation: int) -> None:
        start = first_word(generation, self._slots)
        zeros = bytes(WORD_BYTES * self._slots)
        self._words[start : start + self._slots] = memoryview(zeros).cast("Q")
        if self._file is not None:
            self._file.write(start, zeros)

    def _find(self, generation: int, identity: int) -> int:
        """Return the place of an identity, or the empty place where it would be added."""
        words = self._words
        slots = self._slots
        start = first_word(generation, slots)
        slot = identity % slots
        found = words[start + slot]
        while found != identity and found != EMPTY:  # noqa: PLR1714  a tuple costs more, at each request
            slot = (slot + 1) % slots
            found = words[start + slot]
        return start + slot


class ForeignTable:
    """The table of another process, read from its file."""

    def __init__(self, file: TableFile, slots: int) -> None:
        self._file = file
        self._slots = slots

    def contains(self, identity: int, now_ms: int, lifetime_ms: int) -> bool:
        """Return whether the other process has added an identity, as far as its file can be read."""
        header = self._file.read(0, HEADER_WORDS)
        if header is None or header[CURRENT] >= GENERATIONS:
            return False
        generations = generations_with(header[ROTATED_AT], header[CURRENT], now_ms, lifetime_ms)
        return any(self._holds(generation, identity) for generation in generations)

    def _holds(self, generation: int, identity: int) -> bool:
        start = first_word(generation, self._slots)
        slot = identity % self._slots
        for _ in range(0, self._slots, PLACES_PER_READ):
            count = min(PLACES_PER_READ, self._slots - slot)
            words = self._file.read(start + slot, count)
            if words is None:
                return False
            for word in words:
                if word == identity:
                    return True
                if word == EMPTY:
                    return False
            slot = (slot + count) % self._slots
        return False
