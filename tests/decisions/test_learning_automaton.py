"""The learning automaton alone: hand-worked values, and its invariants under any sequence of calls."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crowpost.decisions.learning_automaton import (
    ALPHA,
    FLOOR_FRACTION,
    MAX_FAILURE_FACTOR,
    NEWCOMER_FRACTION,
    THETA_FRACTION,
    LearningAutomaton,
)

NAMES = [bytes([i]) for i in range(40)]


def automaton_with(*weights: float) -> LearningAutomaton:
    automaton = LearningAutomaton()
    automaton.set_endpoints({NAMES[i]: weight for i, weight in enumerate(weights)})
    return automaton


def test_update_by_hand_worked_values() -> None:
    automaton = automaton_with(1, 1, 1, 1)
    assert automaton.shares == [0.25] * 4
    # The first response sets every average, and does not pay off against itself.
    automaton.record_response(NAMES[0], 100.0)
    assert automaton.averages == [100.0] * 4 and automaton.shares == [0.25] * 4
    assert automaton.record_response(NAMES[1], 60.0)
    assert automaton.averages[1] == pytest.approx(100 + ALPHA * (60 - 100))
    assert automaton.averages[0] == automaton.averages[2] == automaton.averages[3] == 100.0
    theta, p_min = THETA_FRACTION / 4, FLOOR_FRACTION / 4
    assert automaton.shares[1] == pytest.approx(0.25 + theta * (1 - 3 * p_min - 0.25))
    assert automaton.shares[0] == pytest.approx(0.25 + theta * (p_min - 0.25))
    before = list(automaton.shares)
    assert not automaton.record_response(NAMES[2], 500.0)  # A miss updates the average but not the vector
    assert automaton.shares == before and automaton.averages[2] == pytest.approx(100 + ALPHA * 400)


@pytest.mark.parametrize("nodes", [1, 3, 40, 1000])
@pytest.mark.parametrize("servers", [2, 10, 40])
def test_theta_grows_with_the_nodes_and_stays_well_below_alpha(nodes: int, servers: int) -> None:
    """At full size, with the theta of a single node, two hundred nodes drew uniformly all day."""
    automaton = LearningAutomaton(nodes)
    automaton.set_endpoints(dict.fromkeys(NAMES[:servers], 1.0))
    assert automaton.theta <= automaton.alpha / 10 and ALPHA <= automaton.alpha <= 0.5
    assert automaton.theta == pytest.approx(min(automaton.alpha / 10, max(0.06, 0.02 * nodes) / servers))
    assert automaton.theta_kind == 0.0
    automaton.set_endpoints(
        dict.fromkeys(NAMES[:servers], 1.0), {name: i % 2 for i, name in enumerate(NAMES[:servers])}
    )
    assert automaton.theta_kind == pytest.approx(min(automaton.alpha / 3, 0.01 * nodes))


def test_payoff_raises_the_shares_of_the_listed_kind() -> None:
    """At full size each endpoint got too few requests to tell it from another, but their kinds differed."""
    automaton = LearningAutomaton(node_count=30)
    automaton.set_endpoints(dict.fromkeys(NAMES[:6], 1.0), {name: i // 3 for i, name in enumerate(NAMES[:6])})
    automaton.record_response(NAMES[5], 100.0)
    assert automaton.record_response(NAMES[0], 50.0)
    p_min = FLOOR_FRACTION / 6
    assert sum(automaton.shares) == pytest.approx(1.0) and min(automaton.shares) >= p_min
    assert (
        automaton.shares[0]
        > automaton.shares[1]
        == automaton.shares[2]
        > 1 / 6
        > automaton.shares[3]
        == automaton.shares[4]
        == automaton.shares[5]
    )
    for _ in range(200):  # The floor holds for the other kind as well
        automaton.record_response(NAMES[0], 1.0)
        assert sum(automaton.shares) == pytest.approx(1.0) and min(automaton.shares) >= p_min * (1 - 1e-9)


def test_many_nodes_with_few_requests_each_shift_load_from_slow_endpoints() -> None:
    """Each of sixty nodes sends every endpoint six requests; half of the endpoints take twice as long."""
    rng = random.Random(4)
    slow_share = 0.0
    for _ in range(60):
        automaton = LearningAutomaton(node_count=60)
        automaton.set_endpoints(dict.fromkeys(NAMES[:20], 1.0))
        for _ in range(120):
            index = automaton.draw_among(range(20), rng.random())
            automaton.record_response(NAMES[index], rng.expovariate(1.0) * (2.0 if index < 10 else 1.0))
        slow_share += sum(automaton.shares[:10]) / 60
    assert slow_share < 0.43  # It was 0.49 with the step size of a single node


def test_failures_are_no_payoff_and_hardly_move_the_threshold() -> None:
    automaton = automaton_with(1, 1, 1)
    automaton.record_response(NAMES[0], 100.0)
    before = list(automaton.shares)
    automaton.record_failure(NAMES[1], 1.0)  # A fast error counts as the mean
    assert automaton.shares == before and automaton.mean() == pytest.approx(100.0)
    automaton.record_failure(NAMES[1], 1e6)  # A long failure is capped
    assert automaton.averages[1] == pytest.approx(100 + ALPHA * (MAX_FAILURE_FACTOR * 100 - 100))


def test_draw_follows_the_vector_conditioned_on_the_eligible() -> None:
    automaton = automaton_with(1, 2, 3, 4)
    rng = random.Random(5)
    counts = [0] * 4
    for _ in range(20_000):
        counts[automaton.draw_among([1, 3], rng.random())] += 1
    assert counts[0] == counts[2] == 0
    assert counts[1] / 20_000 == pytest.approx(
        automaton.shares[1] / (automaton.shares[1] + automaton.shares[3]), abs=0.02
    )
    assert automaton.draw_among([2], 0.999999) == 2


def test_no_endpoint_and_one_endpoint() -> None:
    automaton = LearningAutomaton()
    automaton.set_endpoints({})
    assert automaton.shares == [] and automaton.mean() is None
    assert not automaton.record_response(NAMES[0], 5.0)
    automaton.set_endpoints({NAMES[0]: 1.0})
    for latency in (5.0, 4.0, 9.0, 1.0):
        automaton.record_response(NAMES[0], latency)
    assert automaton.shares == pytest.approx([1.0])


def test_floor_with_many_endpoints() -> None:
    automaton = LearningAutomaton()
    automaton.set_endpoints({i.to_bytes(2, "big"): 1.0 for i in range(500)})
    assert sum(automaton.shares) == pytest.approx(1.0)
    assert min(automaton.shares) >= FLOOR_FRACTION / 500


def test_new_and_staying_endpoints() -> None:
    automaton = automaton_with(1, 2, 4)
    automaton.set_endpoints({NAMES[0]: 1, NAMES[1]: 2, NAMES[2]: 4, NAMES[3]: 2})
    assert automaton.shares[1] / automaton.shares[0] == pytest.approx(2) and automaton.shares[
        2
    ] / automaton.shares[1] == pytest.approx(2)
    assert automaton.shares[3] / automaton.shares[1] == pytest.approx(NEWCOMER_FRACTION)
    automaton.set_endpoints({NAMES[1]: 2, NAMES[3]: 2})
    assert automaton.shares[1] / automaton.shares[0] == pytest.approx(NEWCOMER_FRACTION) and sum(
        automaton.shares
    ) == pytest.approx(1)


def test_slow_endpoint_loses_share_and_regains_it() -> None:
    automaton = automaton_with(1, 1, 1, 1)
    rng = random.Random(11)

    def run(slow_factor: float) -> float:
        """Return the endpoint's mean share over the second half of a run."""
        sum_of_shares = 0.0
        for step in range(3000):
            index = automaton.draw_among(range(4), rng.random())
            factor = slow_factor if index == 0 else 1.0
            # The latency of each endpoint grows with its share, as in a queue.
            automaton.record_response(
                NAMES[index], rng.expovariate(1.0) * 20 * factor / (1.05 - min(automaton.shares[index], 1.0))
            )
            sum_of_shares += automaton.shares[0] if step >= 1500 else 0.0
        return sum_of_shares / 1500

    assert run(4.0) < 0.17  # An equal endpoint would have 0.25
    assert run(1.0) > 0.22


operations = st.lists(
    st.one_of(
        st.tuples(st.just("response"), st.integers(0, 39), st.floats(0.01, 1e5)),
        st.tuples(st.just("failure"), st.integers(0, 39), st.floats(0.0, 1e5)),
        st.tuples(st.just("endpoints"), st.integers(0, 2**40 - 1), st.floats(0.1, 8.0)),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(operations)
def test_sum_and_floor_hold_after_any_sequence(steps: list[tuple[str, int, float]]) -> None:
    automaton = automaton_with(1, 1, 1)
    for operation, number, value in steps:
        if operation == "response":
            automaton.record_response(NAMES[number], value)
        elif operation == "failure":
            automaton.record_failure(NAMES[number], value)
        else:
            automaton.set_endpoints(
                {name: (value if i % 2 else 1.0) for i, name in enumerate(NAMES) if number >> i & 1}
            )
        if automaton.shares:
            assert sum(automaton.shares) == pytest.approx(1.0)
            assert min(automaton.shares) >= FLOOR_FRACTION / len(automaton.shares) - 1e-12
