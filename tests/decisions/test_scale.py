"""The module in large fleets: the shares of the plain formulas, draws alike, and a cost that stays flat."""

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


class Reference:
    """The vector by the plain formulas: every share written anew at every payoff."""

    def __init__(self, like: LearningAutomaton) -> None:
        self.like = like
        self.names: list[bytes] = []
        self.p: list[float] = []
        self.average: list[float | None] = []
        self.kinds: list[int] = []

    def mean(self) -> float | None:
        known = [a for a in self.average if a is not None]
        return sum(known) / len(known) if known else None

    def learn(self, name: bytes, latency: float) -> None:
        i, mean = self.names.index(name), self.mean()
        if mean is None:
            self.average = [latency] * len(self.average)
            return
        old = self.average[i]
        start = mean if old is None else old
        self.average[i] = start + self.like.alpha * (latency - start)
        if latency >= (self.mean() or latency):
            return
        r, theta = len(self.p), self.like.theta
        low = FLOOR_FRACTION / r
        mine = self.p[i]
        self.p = [x + theta * (low - x) for x in self.p]
        self.p[i] = mine + theta * (1.0 - (r - 1) * low - mine)
        step, kind = self.like.theta_kind, self.kinds[i]
        if step:
            same = sum(x for x, k in zip(self.p, self.kinds, strict=True) if k == kind)
            others = sum(k != kind for k in self.kinds)
            grow = 1.0 + step * (1.0 - same - low * others) / same
            pairs = zip(self.p, self.kinds, strict=True)
            self.p = [x * grow if k == kind else x + step * (low - x) for x, k in pairs]

    def resize(self, kinds: dict[bytes, int]) -> None:
        stay = [n for n in self.names if n in kinds]
        ratios = [self.p[self.names.index(n)] for n in stay]
        averages = [self.average[self.names.index(n)] for n in stay]
        new = [n for n in kinds if n not in self.names]
        unit = NEWCOMER_FRACTION * sum(ratios) / len(stay) if stay else 1.0
        self.names, self.average = stay + new, averages + [None] * len(new)
        self.kinds = [kinds[n] for n in self.names]
        p, low = ratios + [unit] * len(new), FLOOR_FRACTION / len(self.names)
        held: set[int] = set()
        while True:  # lift what stands below the floor, then share out the rest
            scale = (1.0 - low * len(held)) / sum(x for i, x in enumerate(p) if i not in held)
            below = {i for i, x in enumerate(p) if i not in held and x * scale < low}
            if not below:
                self.p = [low if i in held else x * scale for i, x in enumerate(p)]
                return
            held |= below


@pytest.mark.parametrize("seed", range(6))
def test_shares_are_those_of_the_plain_formulas(seed: int) -> None:
    """On random histories of answers, failures and lists, to 1e-9, averages and their mean as well."""
    rng = random.Random(seed)
    automaton = LearningAutomaton(rng.choice([1, 3, 60]))
    plain = Reference(automaton)
    for _ in range(12):
        kinds = rng.randrange(1, 4)
        listed = {b"%d" % i: i % kinds for i in range(60) if rng.random() < 0.6}
        automaton.set_endpoints(dict.fromkeys(listed, 1.0), listed)
        plain.resize(listed)
        if rng.random() < 0.5:
            automaton.restrict_to(sorted(rng.sample(range(len(listed)), len(listed) // 3)))
        for _ in range(400):
            name = rng.choice(automaton.endpoints)
            latency = rng.expovariate(1.0) * (1 + automaton.endpoints.index(name) % 5)
            automaton.record_response(name, latency)
            plain.learn(name, latency)
        assert automaton.endpoints == plain.names
        assert automaton.shares == pytest.approx(plain.p, abs=1e-9)
        assert automaton.averages == pytest.approx(plain.average, abs=1e-9)
        assert automaton.mean() == pytest.approx(plain.mean(), abs=1e-9)


def test_a_pick_is_a_draw_by_the_shares_also_from_a_home() -> None:
    automaton, rng = LearningAutomaton(3), random.Random(2)
    names = [b"%d" % i for i in range(9)]
    automaton.set_endpoints(dict.fromkeys(names, 1.0), {n: i % 2 for i, n in enumerate(names)})
    for _ in range(60):  # far from even, with offsets and scales in use
        automaton.record_response(rng.choice(names[:3]), 0.5 + rng.random())
        automaton.record_response(rng.choice(names), 1.0 + 2.0 * rng.random())
    for home in (None, [0, 4, 7]):
        automaton.restrict_to(home)
        among = home or range(9)
        total = sum(automaton.share(i) for i in among)
        picked = Counter(automaton.draw(rng.random()) for _ in range(40_000))
        assert set(picked) == set(among)
        for i in among:
            assert picked[i] / 40_000 == pytest.approx(automaton.share(i) / total, abs=0.01)


def test_scales_that_have_faded_are_taken_anew() -> None:
    """A fleet of two fades by a seventh at each payoff: after thousands floating point must still hold."""
    automaton = LearningAutomaton(60)
    automaton.set_endpoints({b"a": 1.0, b"b": 1.0})
    automaton.record_response(b"a", 100.0)
    for i in range(5000):
        automaton.record_response(b"ab"[i % 2 : i % 2 + 1], 100.0 * 0.99**i + 1e-3)
    assert (
        sum(automaton.shares) == pytest.approx(1.0, abs=1e-9)
        and min(automaton.shares) >= FLOOR_FRACTION / 2 - 1e-9
    )


def _calls(servers: int, settings: Settings) -> float:
    """Calls of Python functions a request, a measure of cost that no other load on the machine moves."""
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


def test_a_request_costs_the_same_in_any_fleet() -> None:
    """At 2,000 servers it was sixty times that at ten."""
    few = _calls(10, _settings())
    assert _calls(2000, _settings()) < 1.5 * few


def test_servers_that_are_gone_for_good_are_forgotten() -> None:
    node = Balancer(_settings(), 1)
    for i in range(0, 4000, 40):
        gone = tuple(EndpointEntry(r.server, Readiness.GONE) for r in rows(40, i - 40)) if i else ()
        node.handle(EndpointList(ListKind.CHANGES, gone + rows(40, i)), float(i))
    assert node.pool_size == 40 and len(node._endpoints.known) <= 2 * 40 + 140


def test_the_parts_do_what_they_say() -> None:
    weights = [0.5, 0.0, 2.0, 1.5, 0.25]
    group = WeightedGroup([4, 2, 0, 3], weights)
    group.add(2, 1.0)  # 0.25, 3.0, 0.5, 1.5
    ends = [(0.0, 4), (0.249, 4), (0.25, 2), (3.24, 2), (3.3, 0), (3.75, 3), (5.2, 3), (9.0, 3)]
    assert [group.find(at) for at, _ in ends] == [member for _, member in ends]
    assert group.total == 5.25 and 3 in group and 1 not in group
    assert with_floor([], 0.4) == [] and with_floor([1.0, 0.0], 0.4) == pytest.approx([0.8, 0.2])
    bucket = TokenBucket(2.0, 2.0)
    assert [bucket.take(at) for at in (0.0, 0.0, 0.0, 500.0, 500.0)] == [True, True, False, True, False]
    assert all(TokenBucket(0.0, 0.0).take(0.0) for _ in range(5))
    spread = ExpectedLatency(4.0, 2.0)
    assert spread.overdue_after() == float("inf")
    spread.observe(100.0)
    assert spread.overdue_after() == 300.0
    timers = Timers()
    timers.at(5.0, 1, 7)
    timers.at(5.0, 2, b"x")
    assert timers.earliest() == 5.0 and timers.pop_due(4.0) is None
    assert [timers.pop_due(5.0), timers.pop_due(5.0), timers.pop_due(5.0)] == [(1, 7), (2, b"x"), None]
