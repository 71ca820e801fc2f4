"""Tests of the estimate of when a client sent the last byte of a body."""

from __future__ import annotations

import math

import pytest

from crowpost.node.http.last_byte import MAX_UNREAD_BYTES, WINDOW_S, LastByteEstimate

PAUSED = math.inf


@pytest.mark.parametrize(
    ("piece", "interval_s"), [(640, 0.01), (4096, 0.064), (16_384, 0.256), (65_536, 1.0)]
)
@pytest.mark.parametrize("length", [1_000_000, 32_000_000, None])
def test_a_client_that_sends_slowly_has_not_sent_its_last_byte(
    length: int | None, piece: int, interval_s: float
) -> None:
    estimate = LastByteEstimate(length, 0.0)
    now = 0.0
    for _ in range(int(1_000_000 / piece)):
        estimate.record_read(piece, now, 0.0)
        assert now - estimate.earliest() <= interval_s + 2 * WINDOW_S
        now += interval_s


@pytest.mark.parametrize("length", [3_000_000, None])
def test_the_time_counts_from_the_start_while_a_server_takes_a_short_body_slowly(length: int | None) -> None:
    estimate = LastByteEstimate(length, 0.0)
    for step in range(40):
        now = 0.25 * step
        estimate.record_read(16_384, now, now - 0.001)
        estimate.record_waiting(now + 0.2, PAUSED)
        assert estimate.earliest() == 0.0


def test_a_body_of_which_too_much_is_unread_is_incomplete() -> None:
    estimate = LastByteEstimate(MAX_UNREAD_BYTES + 1000, 0.0)
    assert estimate.earliest() == math.inf
    estimate.record_read(2000, 7.0, 6.999)
    assert estimate.earliest() == 0.0


@pytest.mark.parametrize("length", [32_000_000, None])
def test_what_was_read_late_was_not_sent_early(length: int | None) -> None:
    """A server that takes a long body in some seconds does not end its request too early."""
    estimate = LastByteEstimate(length, 0.0)
    piece = 65_536
    for step in range(480):
        now = 0.02 * step
        estimate.record_read(piece, now, now - 0.001)
    unread_s = 0.02 * MAX_UNREAD_BYTES / piece
    assert now - estimate.earliest() == pytest.approx(unread_s, rel=0.2)


def test_a_client_that_rests_sends_the_rest_later() -> None:
    estimate = LastByteEstimate(100_000, 0.0)
    estimate.record_read(50_000, 0.0, 0.0)
    estimate.record_waiting(4.0, 0.0)
    assert estimate.earliest() == pytest.approx(4.0 - WINDOW_S)
