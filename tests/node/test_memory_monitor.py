"""Tests that the byte budget follows the memory that is left."""

from __future__ import annotations

import asyncio

import pytest

from crowpost.node import memory_monitor
from crowpost.node.byte_budget import CONNECTION_BYTES, MEMORY_PER_BYTE, MIN_BUDGET_BYTES, ByteBudget
from crowpost.node.memory_monitor import RESERVE_FRACTION, MemoryMonitor

LIMIT_BYTES = 64_000_000
AVAILABLE_BYTES = int((1.0 - RESERVE_FRACTION) * LIMIT_BYTES)
BUDGET_BYTES = 8_000_000
CONNECTIONS = 100


@pytest.mark.parametrize(
    ("resident", "reserved", "expected"),
    [
        (16_000_000, 0, BUDGET_BYTES),
        (AVAILABLE_BYTES - 4_000_000, 0, int((4_000_000 - CONNECTION_BYTES * CONNECTIONS) / MEMORY_PER_BYTE)),
        (AVAILABLE_BYTES - CONNECTION_BYTES * CONNECTIONS, 3_000_000, 3_000_000),
        (LIMIT_BYTES, 0, MIN_BUDGET_BYTES),
        (None, 0, BUDGET_BYTES),
    ],
)
def test_the_budget_is_what_there_is_memory_for(
    resident: int | None, reserved: int, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: resident)

    async def main() -> None:
        budget = ByteBudget(BUDGET_BYTES)
        budget.reserved = reserved
        monitor = MemoryMonitor(budget, LIMIT_BYTES, lambda: CONNECTIONS)
        monitor.check()
        assert budget.limit == expected
        assert monitor.scarce_checks == int(expected < BUDGET_BYTES)
        monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: 0)
        monitor.check()
        assert budget.limit == BUDGET_BYTES
        monitor.close()

    asyncio.run(main())


def test_the_memory_of_this_process_is_known() -> None:
    assert (memory_monitor.resident_bytes() or 0) > 1_000_000
