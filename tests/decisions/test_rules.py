"""The four rules (see crowpost/decisions) in edge cases, and on seeded random streams of events."""

from __future__ import annotations

import itertools

import pytest

from crowpost import Balancer
from crowpost.decision_api import (
    AttemptEnded,
    Effect,
    EndpointEntry,
    Fail,
    IdempotencyScope,
    InvalidSettingsError,
    ListKind,
    Outcome,
    Readiness,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    TimerFired,
    UnexpectedEventError,
)
from tests.decisions.checker import SimulatedHost

REQUEST_CLASSES = [
    RequestClass("safe", 1000, 3000, effect=Effect.SAFE),
    RequestClass("unsafe", 1000, 3000, effect=Effect.UNSAFE),
    RequestClass(
        "all",
        1000,
        3000,
        effect=Effect.KEYED,
        idempotency_scope=IdempotencyScope.ALL,
        idempotency_window_ms=1500,
    ),
    RequestClass(
        "zone",
        1000,
        3000,
        effect=Effect.KEYED,
        idempotency_scope=IdempotencyScope.ZONE,
        idempotency_window_ms=1500,
    ),
    RequestClass(
        "cell",
        1000,
        3000,
        effect=Effect.KEYED,
        idempotency_scope=IdempotencyScope.CELL,
        idempotency_window_ms=400,
    ),
]


def make(request_class: RequestClass, **more: object) -> SimulatedHost:
    values: dict[str, object] = {
        "answer_slack_ms": 20.0,
        "tick_ms": 5.0,
        "may_check_health": True,
        "max_attempts": 4,
    }
    values.update(more)
    return SimulatedHost(Settings(classes=(request_class,), **values), seed=3)  # type: ignore[arg-type]


def endpoint_entries(count: int) -> list[EndpointEntry]:
    return [EndpointEntry(bytes([i]), zone=i % 2, cell=i // 2) for i in range(count)]


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("may_hedge", [True, False])
def test_rules_hold_on_random_streams(seed: int, may_hedge: bool) -> None:
    for tier in (0, 1):
        settings = Settings(
            classes=tuple(REQUEST_CLASSES),
            tier=tier,
            tiers=2,
            answer_slack_ms=20.0,
            tick_ms=5.0,
            may_hedge=may_hedge,
            may_check_health=True,
            poll_for_list=bool(seed % 2),
            max_attempts=2 + seed % 4,
        )
        host = SimulatedHost(settings, seed)
        host.feed_list(endpoint_entries(8), ListKind.CACHED)
        host.feed_random_events(1500)
        assert sum(isinstance(action, Send) for action in host.actions) > 100
        assert all(record.done_at is not None for record in host.requests.values())


def test_request_is_rejected_if_no_endpoint_is_known() -> None:
    host = make(REQUEST_CLASSES[1])
    host.arrive()
    for _ in range(400):
        host.advance(10)
    assert [type(action) for action in host.actions if isinstance(action, Reject | Fail)] == [Reject]


def test_unsafe_request_is_retried_after_connect_failure_and_failed_after_error() -> None:
    host = make(REQUEST_CLASSES[1])
    host.feed_list(endpoint_entries(4))
    first = host.arrive()
    host.end(first, 0, Outcome.CONNECT_FAILED)
    assert len(host.requests[first].attempts) == 2
    host.end(first, 1, Outcome.ERROR)
    assert isinstance(host.actions[-1], Fail) and len(host.requests[first].attempts) == 2


@pytest.mark.parametrize(("index", "answer_type"), [(2, Reject), (3, Fail), (4, Fail)])
def test_keyed_request_stays_in_its_idempotency_scope_and_window(index: int, answer_type: type) -> None:
    host = make(REQUEST_CLASSES[index], may_hedge=False)
    host.feed_list(endpoint_entries(6))
    request = host.arrive()
    host.end(request, 0, Outcome.ERROR)
    assert len(host.requests[request].attempts) == 2  # SimulatedHost has checked the idempotency scope
    host.now += REQUEST_CLASSES[index].idempotency_window_ms
    host.end(request, 1, Outcome.ERROR)
    assert len(host.requests[request].attempts) == 2
    assert any(isinstance(action, answer_type) for action in host.actions)


def test_no_hedged_request_without_may_hedge() -> None:
    for may_hedge in (False, True):
        host = make(REQUEST_CLASSES[0], may_hedge=may_hedge)
        host.feed_list(endpoint_entries(4))
        for _ in range(20):
            done = host.arrive()
            host.advance(20)
            host.end(done, 0, Outcome.OK)
        request = host.arrive()
        attempt_counts = [len(host.requests[request].attempts)]
        for _ in range(30):
            host.now += 10  # Only the module's timers fire: timeouts are not delivered
            host.fire_due_timers()
            attempt_counts.append(len(host.requests[request].attempts))
        assert (attempt_counts[-1] > 1) is may_hedge


def test_draining_gone_and_unlisted_endpoints_get_no_attempts() -> None:
    host = make(REQUEST_CLASSES[0])
    host.feed_list(endpoint_entries(4))
    unavailable = [EndpointEntry(bytes([0]), Readiness.DRAINING), EndpointEntry(bytes([1]), Readiness.GONE)]
    host.feed_list(unavailable, ListKind.CHANGES)
    for _ in range(40):
        host.end(host.arrive(), 0, Outcome.OK)
    host.feed_list([endpoint_entries(4)[3]], ListKind.FULL)
    for _ in range(10):
        request = host.arrive()
        assert host.requests[request].attempts[0].entry.server == bytes([3])
        host.end(request, 0, Outcome.OK)


def test_burst_keeps_the_budget_of_a_warming_endpoint() -> None:
    warm_up_ms, initial_fraction = 8000.0, 0.3
    host = make(REQUEST_CLASSES[0], warm_up_ms=warm_up_ms, slow_start_fraction=initial_fraction, node_count=1)
    host.feed_list(endpoint_entries(4))
    sent_to_warming: list[tuple[float, float]] = []
    warm_per_s = 0.0
    for step in itertools.count():
        if step == 400:  # After one request each 5 ms one endpoint restarts and the rate triples
            host.feed_list([EndpointEntry(bytes([0]), started_ms=host.now)], ListKind.CHANGES)
            warm_per_s = 200 / 4
        if step == 800:
            break
        host.now += 5
        for _ in range(3 if step >= 400 else 1):
            request = host.arrive()
            server = host.requests[request].attempts[0].entry.server
            if step >= 400 and server == bytes([0]):
                sent_to_warming.append((host.now, host.now - host.entries[server].started_ms))
            host.end(request, 0, Outcome.OK)
    assert sent_to_warming  # The warming endpoint does get its part
    for window_start, _ in sent_to_warming:
        window = [age for sent_at, age in sent_to_warming if window_start <= sent_at < window_start + 1000]
        capacity = initial_fraction + (1 - initial_fraction) * window[0] / warm_up_ms
        # The rate that a warm endpoint served before the burst is taken as its capacity.
        assert len(window) <= 3 * capacity * 3 * warm_per_s


def test_outdated_events_are_ignored_and_impossible_events_raise() -> None:
    balancer = Balancer(Settings(classes=(REQUEST_CLASSES[0],)), seed=1)
    assert balancer.handle(RequestAbandoned(77), 1.0) == []
    assert balancer.handle(TimerFired(9), 1.0) == []
    with pytest.raises(UnexpectedEventError, match="was not out"):
        balancer.handle(AttemptEnded(5, 0, b"x", Outcome.OK, 1.0, True), 2.0)
    with pytest.raises(UnexpectedEventError, match="unknown class"):
        balancer.handle(RequestArrived(6, 9, 100.0), 2.0)
    balancer.handle(RequestArrived(7, 0, 100.0), 2.0)
    with pytest.raises(UnexpectedEventError, match="twice"):
        balancer.handle(RequestArrived(7, 0, 100.0), 2.0)


def test_identical_events_give_identical_actions() -> None:
    logs = []
    for _ in range(2):
        host = make(REQUEST_CLASSES[0])
        host.feed_list(endpoint_entries(6))
        host.feed_random_events(400)
        logs.append(host.actions)
    assert logs[0] == logs[1]


def test_send_enforces_the_rules_by_itself() -> None:
    """No part of the module requests these sends at present, but `_send` must reject them all the same."""
    for may_hedge in (False, True):
        host = make(REQUEST_CLASSES[0], may_hedge=may_hedge, max_attempts=2)
        host.feed_list(endpoint_entries(3))
        balancer = host.balancer
        send = balancer._dispatcher._send
        request = balancer._table.requests[host.arrive()]
        first = request.attempts[0].entry.server
        other, drained = (
            endpoint for endpoint in balancer._endpoints.listed if endpoint.entry.server != first
        )
        host.feed_list([EndpointEntry(drained.entry.server, Readiness.DRAINING)], ListKind.CHANGES)
        assert not send(request, drained)
        assert send(request, other) is may_hedge  # A second attempt while the first is in flight
        assert not may_hedge or not send(request, other)  # No more than max_attempts
        request.deadline = host.now + 1.0
        assert not send(request, other)
        balancer._dispatcher.finish_unserved(request)
        actions = len(balancer._context.actions)
        balancer._dispatcher.finish_unserved(request)
        assert len(balancer._context.actions) == actions  # Only one final answer
        assert not send(request, other)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("classes", ()),
        ("max_attempts", 0),
        ("node_count", 0),
        ("warm_up_ms", -1.0),
        ("tick_ms", float("nan")),
    ],
)
def test_error_of_a_setting_out_of_range_names_the_field(field: str, value: object) -> None:
    values: dict[str, object] = {"classes": (REQUEST_CLASSES[0],), field: value}
    with pytest.raises(InvalidSettingsError, match=field):
        Settings(**values)  # type: ignore[arg-type]
    with pytest.raises(InvalidSettingsError, match="latency_objective_ms"):
        RequestClass("x", -5.0, 100.0)
