"""The byte budget of a write policy."""

from __future__ import annotations

import math

import pytest

from crowpost.storage.write_policy import WriteBudget, WritePolicy

POLICY = WritePolicy(bytes_per_s=1_000.0, burst_bytes=500.0)


def test_a_write_within_the_budget_is_not_delayed() -> None:
    budget = WriteBudget(POLICY, 0.0)
    budget.spend(500)
    assert budget.available_at(7.0) == 7.0


def test_an_overdrawn_budget_delays_a_write_until_it_is_refilled() -> None:
    budget = WriteBudget(POLICY, 0.0)
    budget.spend(700)
    assert budget.available_at(7.0) == pytest.approx(200.0)
    budget.refill(150.0)
    assert budget.available_at(160.0) == pytest.approx(200.0)
    assert budget.available_at(300.0) == 300.0


def test_unused_budget_is_saved_up_to_the_burst() -> None:
    budget = WriteBudget(POLICY, 0.0)
    budget.refill(1e9)
    budget.spend(600)
    assert budget.available_at(1e9) == pytest.approx(1e9 + 100.0)


def test_without_a_due_write_nothing_becomes_available() -> None:
    budget = WriteBudget(POLICY, 0.0)
    budget.spend(10_000)
    assert budget.available_at(math.inf) == math.inf
