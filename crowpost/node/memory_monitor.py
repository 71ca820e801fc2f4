"""Keeps a process below its memory limit: adapts the byte budget to the memory that the process really has.

The byte budget counts what requests and responses hold.  Endpoint lists, tables, fragments that the allocator
keeps and whatever else grows are seen only in the memory of the process as a whole.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from crowpost.node.byte_budget import CONNECTION_BYTES, MEMORY_PER_BYTE, MIN_BUDGET_BYTES, ByteBudget

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
# The part of the limit that stays free: memory may grow between two checks.
RESERVE_FRACTION = 0.04
# The least time between two returns of free memory, each of which takes milliseconds and a line of the log.
TRIM_INTERVAL_S = 10.0
STATUS_FILE = "/proc/self/status"
# The pages that count: those of the process alone, and those of files in memory.
COUNTED_FIELDS = (b"RssAnon:", b"RssShmem:")


def resident_bytes() -> int | None:
    """Return the anonymous and shared memory of this process; None where the system does not tell."""
    try:
        with open(STATUS_FILE, "rb") as file:
            status = file.read()
        return sum(_kilobytes(status, field) for field in COUNTED_FIELDS) * 1024
    except (OSError, ValueError):
        return None


def _kilobytes(status: bytes, field: bytes) -> int:
    start = status.index(field) + len(field)
    return int(status[start : status.index(b"kB", start)])


def trim_heap() -> None:
    """Return free memory between used pieces of the heap to the system, where the C library can do that."""
    # Imported only where it is needed: most processes never get here.
    import ctypes

    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)


class MemoryMonitor:
    """Lowers the limit of the byte budget while the process has little memory left.

    memory_limit: of the process, in bytes; unopened_connections: returns how many more may be opened.
    """

    def __init__(
        self, budget: ByteBudget, memory_limit: float, unopened_connections: Callable[[], int]
    ) -> None:
        self._budget = budget
        self._unopened_connections = unopened_connections
        self._most = budget.limit
        self._available = (1.0 - RESERVE_FRACTION) * memory_limit
        self._loop = asyncio.get_running_loop()
        self._trimmed_at = -TRIM_INTERVAL_S
        # How often memory was scarce when it was checked.
        self.scarce_checks = 0
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_again)

    def close(self) -> None:
        """Check no more."""
        self._timer.cancel()

    def _check_again(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check_again)
        self.check()

    def check(self) -> None:
        """Adapt the budget now, as a component may have grown."""
        resident = resident_bytes()
        if resident is None:
            return
        now = self._loop.time()
        if self._permitted(resident) < self._most and now - self._trimmed_at >= TRIM_INTERVAL_S:
            self._trimmed_at = now
            trim_heap()
            resident = resident_bytes() or resident
            if self._permitted(resident) < self._most:
                log.warning("memory is scarce: %d bytes, of %d reserved", resident, self._budget.reserved)
        self._budget.limit = self._permitted(resident)
        self.scarce_checks += self._budget.limit < self._most

    def _permitted(self, resident: int) -> int:
        """Return how many bytes may be reserved: those that are, and as many more as there is memory for."""
        connections = CONNECTION_BYTES * self._unopened_connections()
        room = (self._available - resident - connections) / MEMORY_PER_BYTE
        return max(MIN_BUDGET_BYTES, min(self._most, int(self._budget.reserved + room)))
