"""The module with many endpoints: shares and draws equal to the plain formulas, at a constant cost."""

from __future__ import annotations

import random
import sys
from collections import Counter
from types import FrameType

import pytest

from crowpost import Balancer, LearningAutomaton
from crowpost.decision_api import EndpointEntry, EndpointList, ListKind, Readiness, Settings
from crowpost.decisions.estimators import ExpectedLatency, TokenBucket
from crowpost.decisions.fenwick_tree import WeightedGroup
from crowpost.decisions.learning_automaton import FLOOR_FRACTION, NEWCOMER_FRACTION
from crowpost.decisions.share_vector import with_floor
from crowpost.decisions.timers import Timers
from crowpost.lab.bench import LoadDriver, _settings, rows


class PlainAutomaton:
    """The learning automaton by the plain formulas, which recompute every share at every payoff."""

    def __init__(self, automaton: LearningAutomaton) -> None:
        self.automaton = automaton
        self.names: list[bytes] = []
        self.shares: list[float] = []
        self.averages: list[float | None] = []
        self.kinds: list[int] = []

    def mean(self) -> float | None:
        known = [average for average in self.averages if average is not None]
        return sum(known) / len(known) if known else None

    def record_response(self, name: bytes, latency: float) -> None:
        index, mean = self.names.index(name), self.mean()
        if mean is None:
            self.averages = [latency] * len(self.averages)
            return
        old = self.averages[index]
        start = mean if old is None else old
        self.averages[index] = start + self.automaton.alpha * (latency - start)
        if latency >= (self.mean() or latency):
            return
        count, theta = len(self.shares), self.automaton.theta
        p_min = FLOOR_FRACTION / count
        own_share = self.shares[index]
        self.shares = [share + theta * (p_min - share) for share in self.shares]
        self.shares[index] = own_share + theta * (1.0 - (count - 1) * p_min - own_share)
        theta_kind, kind = self.automaton.theta_kind, self.kinds[index]
        if theta_kind:
            kind_share = sum(
                share for share, other_kind in zip(self.shares, self.kinds, strict=True) if other_kind == kind
            )
            others = sum(other_kind != kind for other_kind in self.kinds)
            factor = 1.0 + theta_kind * (1.0 - kind_share - p_min * others) / kind_share
            pairs = zip(self.shares, self.kinds, strict=True)
            self.shares = [
                share * factor if other_kind == kind else share + theta_kind * (p_min - share)
                for share, other_kind in pairs
            ]

    def set_endpoints(self, kinds: dict[bytes, int]) -> None:
        staying = [name for name in self.names if name in kinds]
        ratios = [self.shares[self.names.index(name)] for name in staying]
        averages = [self.averages[self.names.index(name)] for name in staying]
        new = [name for name in kinds if name not in self.names]
        unit = NEWCOMER_FRACTION * sum(ratios) / len(staying) if staying else 1.0
        self.names, self.averages = staying + new, averages + [None] * len(new)
        self.kinds = [kinds[name] for name in self.names]
        shares, p_min = ratios + [unit] * len(new), FLOOR_FRACTION / len(self.names)
        at_floor: set[int] = set()
        while True:  # Raise shares below the floor to it, and scale the others to the rest
            scale = (1.0 - p_min * len(at_floor)) / sum(
                ratio for i, ratio in enumerate(shares) if i not in at_floor
            )
            below = {i for i, ratio in enumerate(shares) if i not in at_floor and ratio * scale < p_min}
            if not below:
                self.shares = [p_min if i in at_floor else ratio * scale for i, ratio in enumerate(shares)]
                return
            at_floor |= below


@pytest.mark.parametrize("seed", range(6))
def test_shares_equal_those_of_the_plain_formulas(seed: int) -> None:
    """Shares, averages and their mean are equal to within 1e-9 on random histories."""
    rng = random.Random(seed)
    automaton = LearningAutomaton(rng.choice([1, 3, 60]))
    plain = PlainAutomaton(automaton)
    for _ in range(12):
        kinds = rng.randrange(1, 4)
        listed = {b"%d" % i: i % kinds for i in range(60) if rng.random() < 0.6}
        automaton.set_endpoints(dict.fromkeys(listed, 1.0), listed)
        plain.set_endpoints(listed)
        if rng.random() < 0.5:
            automaton.restrict_to(sorted(rng.sample(range(len(listed)), len(listed) // 3)))
        for _ in range(400):
            name = rng.choice(automaton.endpoints)
            latency = rng.expovariate(1.0) * (1 + automaton.endpoints.index(name) % 5)
            automaton.record_response(name, latency)
            plain.record_response(name, latency)
        assert automaton.endpoints == plain.names
        assert automaton.shares == pytest.approx(plain.shares, abs=1e-9)
        assert automaton.averages == pytest.approx(plain.averages, abs=1e-9)
        assert automaton.mean() == pytest.approx(plain.mean(), abs=1e-9)


def test_draws_follow_the_shares_with_and_without_restriction() -> None:
    automaton, rng = LearningAutomaton(3), random.Random(2)
    names = [b"%d" % i for i in range(9)]
    automaton.set_endpoints(dict.fromkeys(names, 1.0), {name: i % 2 for i, name in enumerate(names)})
    for _ in range(60):  # Far from uniform, so that offsets and scales are in use
        automaton.record_response(rng.choice(names[:3]), 0.5 + rng.random())
        automaton.record_response(rng.choice(names), 1.0 + 2.0 * rng.random())
    for restriction in (None, [0, 4, 7]):
        automaton.restrict_to(restriction)
        members = restriction or range(9)
        total = sum(automaton.share(i) for i in members)
        draws = Counter(automaton.draw(rng.random()) for _ in range(40_000))
        assert set(draws) == set(members)
        for i in members:
            assert draws[i] / 40_000 == pytest.approx(automaton.share(i) / total, abs=0.01)


def test_small_scales_are_renormalized() -> None:
    """With two endpoints scales shrink by a seventh at each payoff; precision must hold after thousands."""
    automaton = LearningAutomaton(60)
    automaton.set_endpoints({b"a": 1.0, b"b": 1.0})
    automaton.record_response(b"a", 100.0)
    for i in range(5000):
        automaton.record_response(b"ab"[i % 2 : i % 2 + 1], 100.0 * 0.99**i + 1e-3)
    assert (
        sum(automaton.shares) == pytest.approx(1.0, abs=1e-9)
        and min(automaton.shares) >= FLOOR_FRACTION / 2 - 1e-9
    )


def _function_calls_per_request(servers: int, settings: Settings) -> float:
    """Return the calls of Python functions per request, a cost that does not depend on other load."""
    drive = LoadDriver(Balancer(settings, 1), 1)
    drive.feed(EndpointList(ListKind.FULL, rows(servers)))
    drive.requests(100)
    count = 0

    def called(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event == "call"

    sys.setprofile(called)
    try:
        drive.requests(300)
    finally:
        sys.setprofile(None)
    return count / 300


def test_cost_of_a_request_does_not_grow_with_the_endpoints() -> None:
    """At 2,000 endpoints the cost was once sixty times that at ten."""
    cost_of_ten = _function_calls_per_request(10, _settings())
    assert _function_calls_per_request(2000, _settings()) < 1.5 * cost_of_ten


def test_departed_endpoints_are_dropped() -> None:
    balancer = Balancer(_settings(), 1)
    for i in range(0, 4000, 40):
        gone = tuple(EndpointEntry(entry.server, Readiness.GONE) for entry in rows(40, i - 40)) if i else ()
        balancer.handle(EndpointList(ListKind.CHANGES, gone + rows(40, i)), float(i))
    assert balancer.pool_size == 40 and len(balancer._endpoints.known) <= 2 * 40 + 140


def test_parts_by_hand_worked_values() -> None:
    weights = [0.5, 0.0, 2.0, 1.5, 0.25]
    group = WeightedGroup([4, 2, 0, 3], weights)
    group.add(2, 1.0)  # The weights are now 0.25, 3.0, 0.5 and 1.5
    targets = [(0.0, 4), (0.249, 4), (0.25, 2), (3.24, 2), (3.3, 0), (3.75, 3), (5.2, 3), (9.0, 3)]
    assert [group.find(value) for value, _ in targets] == [member for _, member in targets]
    assert group.total == 5.25 and 3 in group and 1 not in group
    assert with_floor([], 0.4) == [] and with_floor([1.0, 0.0], 0.4) == pytest.approx([0.8, 0.2])
    bucket = TokenBucket(2.0, 2.0)
    assert [bucket.take(value) for value in (0.0, 0.0, 0.0, 500.0, 500.0)] == [True, True, False, True, False]
    assert all(TokenBucket(0.0, 0.0).take(0.0) for _ in range(5))
    expected = ExpectedLatency(4.0, 2.0)
    assert expected.overdue_after() == float("inf")
    expected.observe(100.0)
    assert expected.overdue_after() == 300.0
    timers = Timers()
    timers.at(5.0, 1, 7)
    timers.at(5.0, 2, b"x")
    assert timers.earliest() == 5.0 and timers.pop_due(4.0) is None
    assert [timers.pop_due(5.0), timers.pop_due(5.0), timers.pop_due(5.0)] == [(1, 7), (2, b"x"), None]
