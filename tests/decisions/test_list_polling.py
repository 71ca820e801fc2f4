"""Polls for the endpoint list while discovery is unreachable."""

from __future__ import annotations

from crowpost.decision_api import EndpointEntry, EndpointList, ListKind, RequestClass, Settings
from tests.decisions.checker import SimulatedHost

POLLING = Settings(
    classes=(RequestClass("r", 1000, 3000),), poll_for_list=True, list_poll_ms=4000.0, tick_ms=5.0
)


def test_discovery_outage_does_not_multiply_polls() -> None:
    """Every failed poll once left a second timer behind, so that polls doubled with each backoff.

    Their count finally overflowed a float and stopped the instance.
    """
    host = SimulatedHost(POLLING, seed=5)
    host.feed_list([EndpointEntry(b"a")], ListKind.CACHED)
    replies = 0
    polls_per_second = []
    for _ in range(60):
        before = host.subscriptions
        for _ in range(20):
            host.advance(50.0)
            while replies < host.subscriptions:
                replies += 1
                host.feed(EndpointList(ListKind.FAILED))
        polls_per_second.append(host.subscriptions - before)
    assert max(polls_per_second) <= 3, polls_per_second
    assert sum(polls_per_second[-20:]) >= 5  # Polling continues during the outage


def test_poll_without_reply_is_repeated() -> None:
    host = SimulatedHost(POLLING, seed=5)
    host.feed_list([EndpointEntry(b"a")], ListKind.CACHED)
    for _ in range(400):
        host.advance(50.0)
    assert 20_000 / 4000.0 <= host.subscriptions <= 20_000 / 2000.0 + 1


def test_thousands_of_failures_keep_backoff_bounded() -> None:
    host = SimulatedHost(POLLING, seed=5)
    host.feed_list([EndpointEntry(b"a")], ListKind.CACHED)
    for _ in range(3000):
        host.feed(EndpointList(ListKind.FAILED))
    assert host.balancer._poller._backoff_ms() <= 0.5 * POLLING.list_poll_ms
