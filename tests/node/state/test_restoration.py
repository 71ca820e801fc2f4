"""How the balancer uses restored state, depending on its age and plausibility."""

from __future__ import annotations

import pytest

from crowpost import Balancer
from crowpost.decision_api import (
    EndpointEntry,
    EndpointList,
    ListKind,
    RememberedEndpoint,
    RequestClass,
    Settings,
    StateRestored,
)
from tests.node.state.helpers import remembered

REQUEST_CLASS = RequestClass("r", 1000, 3000)


MINUTE = 60_000.0


def make_balancer(servers: int = 4, started: float = 5.0) -> Balancer:
    balancer = Balancer(Settings(classes=(REQUEST_CLASS,)), seed=1)
    rows = tuple(EndpointEntry(bytes([i]), started_ms=started) for i in range(servers))
    balancer.handle(EndpointList(ListKind.FULL, rows), 100_000.0)
    return balancer


def shares(balancer: Balancer) -> list[float]:
    return [m.share_ratio for m in balancer.remember(0, 100)]


def test_trust_in_restored_state_decays_with_its_age() -> None:
    fresh, older, old = make_balancer(), make_balancer(), make_balancer()
    learned = [remembered(0, 2.0, 10.0), *(remembered(i, 2 / 3, 30.0) for i in (1, 2, 3))]
    for balancer, age in ((fresh, 0.0), (older, MINUTE), (old, 60 * MINUTE)):
        rows = tuple(
            RememberedEndpoint(m.server, 5.0, m.share_ratio, m.average_ms, age_ms=age) for m in learned
        )
        balancer.handle(StateRestored(rows, 12.0, age), 100_001.0)
    assert shares(fresh)[0] == pytest.approx(2.0) and shares(older)[0] == pytest.approx(1.5)
    assert shares(old) == pytest.approx([1.0] * 4)
    assert [m.average_ms for m in fresh.remember(0, 2)] == [10.0, 30.0]
    assert [m.average_ms for m in older.remember(0, 2)] == [17.5, 27.5]
    assert old.remember(0, 1)[0].average_ms is None
    assert fresh.limit == pytest.approx(48.0) and older.limit == pytest.approx(36.0)
    assert old.limit == pytest.approx(24.0)


def test_nothing_is_restored_for_an_endpoint_that_has_restarted() -> None:
    balancer = make_balancer()
    rows = (remembered(0, 3.0), remembered(1, 1 / 3, started=4.0, ejected=True), remembered(9, 5.0))
    balancer.handle(StateRestored(rows), 100_001.0)
    known = balancer.remember(0, 4)
    assert known[0].average_ms == 20.0 and known[1].average_ms is None and not known[1].ejected
    assert len(known) == 4  # a remembered endpoint that is not listed is not added


def test_ejections_are_restored_for_at_most_a_third_of_the_endpoints() -> None:
    balancer = make_balancer(9)
    rows = tuple(remembered(i, 1.0, ejected=i < 6) for i in range(9))
    balancer.handle(StateRestored(rows), 100_001.0)
    assert sum(m.ejected for m in balancer.remember(0, 9)) == 3


def test_a_restored_limit_is_bounded() -> None:
    for limit_each, limit in ((1000.0, 48.0), (0.01, 12.0), (0.0, 24.0)):
        balancer = make_balancer()
        balancer.handle(StateRestored((), limit_each), 100_001.0)
        assert balancer.limit == pytest.approx(limit)


def test_wrong_restored_shares_keep_the_minimum_and_the_sum() -> None:
    balancer = make_balancer()
    rows = (remembered(0, 1e9), remembered(1, 0.0), remembered(2, 0.0), remembered(3, 0.0, 1e9))
    balancer.handle(StateRestored(rows), 100_001.0)
    assert sum(shares(balancer)) == pytest.approx(4.0) and min(shares(balancer)) >= 0.4 - 1e-9
