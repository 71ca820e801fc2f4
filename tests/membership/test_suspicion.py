"""Tests of the suspicion timeout."""

from __future__ import annotations

import pytest

from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.suspicion import suspicion_timeout_ms

SETTINGS = ProtocolSettings(
    probe_interval_ms=100.0, suspicion_multiplier=2.0, max_suspicion_factor=5.0, expected_confirmations=3
)


def test_the_timeout_is_longest_with_one_accuser_and_shortest_with_all_expected_confirmations() -> None:
    timeouts = [suspicion_timeout_ms(SETTINGS, 10, accusers, 0) for accusers in (1, 2, 3, 4, 9)]
    assert timeouts == sorted(timeouts, reverse=True)
    assert timeouts[0] == 1_000.0
    assert timeouts[3:] == [200.0, 200.0]


def test_the_timeout_is_shortest_if_no_other_member_can_confirm_the_suspicion() -> None:
    assert suspicion_timeout_ms(SETTINGS, 2, 1, 0) == 200.0


@pytest.mark.parametrize(("alive", "factor"), [(10, 1.0), (100, 2.0), (1_000, 3.0)])
def test_the_timeout_grows_with_the_logarithm_of_the_member_count(alive: int, factor: float) -> None:
    assert suspicion_timeout_ms(SETTINGS, alive, 4, 0) == pytest.approx(200.0 * factor)


def test_a_local_health_score_above_zero_lengthens_the_timeout() -> None:
    assert suspicion_timeout_ms(SETTINGS, 10, 4, 4) == 600.0
