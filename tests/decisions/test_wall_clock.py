"""Tests of start times that a machine whose clock was set wrong has told."""

from __future__ import annotations

import pytest

from crowpost.decision_api import EndpointEntry, ListKind
from tests.decisions.test_balancer import make

WARM_UP_MS = 8000.0
SECOND_MS = 1000.0
HOUR_MS = 3_600_000.0
NAME = bytes([0])


@pytest.mark.parametrize("error_ms", [-HOUR_MS, HOUR_MS, 5 * SECOND_MS])
def test_a_restart_that_is_told_with_a_wrong_time_warms_up_from_when_it_was_told(error_ms: float) -> None:
    """Guards against a cold endpoint that gets full load at once, or none for an hour."""
    host = make(warm_up_ms=WARM_UP_MS)
    host.now = 10 * HOUR_MS
    host.feed_list([EndpointEntry(NAME)], ListKind.FULL)
    host.now += 10 * SECOND_MS
    host.feed_list([EndpointEntry(NAME, started_ms=host.now + error_ms)], ListKind.CHANGES)
    endpoint = host.balancer._endpoints.known[NAME]
    slow_start = host.balancer._endpoints.slow_start
    assert slow_start.is_warming_up(endpoint, host.now)
    assert slow_start.is_warming_up(endpoint, host.now + WARM_UP_MS - 1.0)
    assert not slow_start.is_warming_up(endpoint, host.now + WARM_UP_MS)


def test_a_restart_is_recognised_although_the_clock_of_its_machine_was_set_back() -> None:
    host = make(warm_up_ms=WARM_UP_MS)
    host.now = 10 * HOUR_MS
    host.feed_list([EndpointEntry(NAME, started_ms=host.now)], ListKind.FULL)
    host.now += 60 * SECOND_MS
    host.feed_list([EndpointEntry(NAME, started_ms=host.now - HOUR_MS)], ListKind.CHANGES)
    endpoint = host.balancer._endpoints.known[NAME]
    assert host.balancer._endpoints.slow_start.is_warming_up(endpoint, host.now)


def test_an_old_start_in_the_first_list_of_a_process_is_believed() -> None:
    host = make(warm_up_ms=WARM_UP_MS)
    host.now = 10 * HOUR_MS
    host.now += 10 * SECOND_MS
    started = host.now - 2 * WARM_UP_MS
    host.feed_list([EndpointEntry(NAME, started_ms=started)], ListKind.FULL)
    endpoint = host.balancer._endpoints.known[NAME]
    assert not host.balancer._endpoints.slow_start.is_warming_up(endpoint, host.now)
