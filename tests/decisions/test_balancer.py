"""Each exception to the plain draw: it acts on its condition and does not act on the ordinary path."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable

from crowpost import Balancer
from crowpost.decision_api import (
    AttemptEnded,
    BodySent,
    Cancel,
    CloseIdle,
    Effect,
    EndpointEntry,
    EndpointList,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    ListKind,
    Log,
    Outcome,
    Readiness,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Send,
    Settings,
    Subscribe,
    Tenant,
)
from crowpost.decisions.concurrency_limiter import INITIAL_LIMIT
from crowpost.decisions.endpoint_selection import SHARE_EXTRA, SHARE_FACTOR
from tests.decisions.checker import RequestRecord, SimulatedHost

SAFE = RequestClass("r", 1000, 3000)
UNSAFE = RequestClass("w", 1000, 3000, priority_weight=3.0, effect=Effect.UNSAFE)


def make(*classes: RequestClass, servers: int = 6, **more: object) -> SimulatedHost:
    values: dict[str, object] = {"answer_slack_ms": 20.0, "tick_ms": 5.0, "max_attempts": 4, **more}
    host = SimulatedHost(Settings(classes=classes or (SAFE,), **values), seed=9)  # type: ignore[arg-type]
    host.feed_list([EndpointEntry(bytes([i]), zone=i % 3) for i in range(servers)])
    return host


def serve(
    host: SimulatedHost,
    count: int,
    latency: float = 20.0,
    failing: bytes = b"",
    outcome: Outcome = Outcome.ERROR,
) -> None:
    """Serve requests one after another; those that reach the failing endpoint end with the given outcome."""
    for _ in range(count):
        request = host.arrive()
        host.advance(latency)
        for number in host.open_attempts(request):
            is_failing = host.requests[request].attempts[number].entry.server == failing
            host.end(request, number, outcome if is_failing else Outcome.OK)


def end_all(host: SimulatedHost, requests: Iterable[int], outcome: Outcome = Outcome.OK) -> None:
    """End all attempts of the requests that are in flight now."""
    for request in requests:
        for number in list(host.open_attempts(request)):
            host.end(request, number, outcome)


def log_texts(host: SimulatedHost) -> list[str]:
    return [action.text for action in host.actions if isinstance(action, Log)]


def endpoints_sent_to(host: SimulatedHost, start: int) -> list[bytes]:
    return [action.server for action in host.actions[start:] if isinstance(action, Send)]


def test_ordinary_path_draws_by_the_share_vector() -> None:
    """With one request in flight at a time all healthy endpoints are eligible; sends follow the vector."""
    host = make()
    start = len(host.actions)
    serve(host, 3000)
    sends = endpoints_sent_to(host, start)
    assert len(sends) == 3000 and not any(
        isinstance(action, Reject | Cancel | CloseIdle) for action in host.actions
    )
    shares = host.balancer._endpoints.automaton.shares
    for server, share in zip(host.balancer._endpoints.automaton.endpoints, shares, strict=True):
        assert abs(sends.count(server) / 3000 - share) < 0.08
    assert log_texts(host) == []


def test_fast_errors_eject_one_endpoint_and_a_health_check_readmits_it() -> None:
    host = make(may_check_health=True, warm_up_ms=1000.0)
    failing = bytes([2])
    serve(host, 60, failing=failing)
    assert any("0x" not in text and text.startswith("server 02 ejected: error") for text in log_texts(host))
    assert CloseIdle(failing) in host.actions
    for _ in range(60):  # It returns after a health check and one successful trial request
        host.advance(20)
        while host.health_checks:
            host.feed(HealthCheckEnded(host.health_checks.pop(), Outcome.OK, 1.0))
        serve(host, 2)
    assert HealthCheck(failing) in host.actions and "server 02 returns after a good trial" in log_texts(host)


def test_rejected_request_fails_without_retry_or_effect_on_its_endpoint() -> None:
    """Invalid requests of one client, each tried five times, once ejected every endpoint."""
    host = make()
    serve(host, 60)
    averages = list(host.balancer._endpoints.automaton.averages)
    for _ in range(30):
        request = host.arrive()
        start = len(host.actions)
        host.end(request, 0, Outcome.REJECTED)
        assert [type(action) for action in host.actions[start:]] == [Fail]
    assert log_texts(host) == []
    assert host.balancer._endpoints.automaton.averages == averages


def test_half_open_endpoint_gets_no_unsafe_request() -> None:
    host = make(SAFE, UNSAFE, may_check_health=True, warm_up_ms=1000.0)
    failing = bytes([2])
    serve(host, 60, failing=failing)
    host.advance(2000)
    host.health_checks.clear()
    host.feed(HealthCheckEnded(failing, Outcome.OK, 1.0))
    start = len(host.actions)
    for _ in range(40):
        host.end(host.arrive(1), 0, Outcome.OK)
    assert failing not in endpoints_sent_to(host, start)


def test_errors_of_all_endpoints_eject_at_most_a_third() -> None:
    host = make(servers=9)
    for _ in range(100):
        request = host.arrive()
        host.advance(10)
        for number in range(4):
            if (
                number < len(host.requests[request].attempts)
                and host.requests[request].attempts[number].outcome is None
            ):
                host.end(request, number, Outcome.ERROR)
    ejected = {text.split()[1] for text in log_texts(host) if "ejected" in text}
    assert len(ejected) <= 3  # A third of nine


def test_unresponsive_endpoint_is_skipped() -> None:
    host = make()
    serve(host, 60)
    overdue = host.arrive()
    unresponsive = host.requests[overdue].attempts[0].entry.server
    for _ in range(10):
        host.now += 20.0
        done = host.arrive()
        if host.requests[done].attempts[0].entry.server != unresponsive:
            host.end(done, 0, Outcome.OK)
    start = len(host.actions)
    for _ in range(40):
        host.end(host.arrive(), 0, Outcome.OK)
    assert unresponsive not in endpoints_sent_to(host, start)


def test_last_resort_attempt_avoids_unresponsive_endpoint() -> None:
    """Requests once waited for overloaded endpoints, then went to an unresponsive one and timed out there."""
    host = make(UNSAFE, servers=4)
    serve(host, 80, latency=200.0)
    unresponsive = bytes([3])
    start = len(host.actions)
    while unresponsive not in endpoints_sent_to(host, start):
        end_all(host, list(host.requests), Outcome.OK)
        host.arrive()
    for _ in range(12):  # The others respond, so that only this endpoint is unresponsive
        request = host.arrive()
        host.advance(150.0)
        for number in host.open_attempts(request):
            if host.requests[request].attempts[number].entry.server != unresponsive:
                host.end(request, number, Outcome.OK)
    for server in host.balancer._endpoints.listed:
        if server.entry.server != unresponsive:
            server.paused_until = host.balancer._context.now + 60_000.0
    automaton = host.balancer._endpoints.automaton
    shares = [0.97 if server == unresponsive else 0.01 for server in automaton.endpoints]
    automaton._vector.set_members(shares, [0] * len(shares))
    start = len(host.actions)
    for _ in range(8):
        host.arrive()
    host.advance(400.0)
    assert endpoints_sent_to(host, start) and unresponsive not in endpoints_sent_to(host, start)


def test_overdue_attempt_is_hedged_only_if_its_endpoint_is_unresponsive() -> None:
    """Long work on a healthy endpoint was once cancelled and sent again."""
    for responds in (True, False):
        host = make(servers=2)
        serve(host, 60, latency=60.0)
        overdue = host.arrive()
        server = host.requests[overdue].attempts[0].entry.server
        for _ in range(12):
            other = host.arrive()
            host.advance(20)
            for number, attempt in enumerate(host.requests[other].attempts):
                if attempt.outcome is None and (responds or attempt.entry.server != server):
                    host.end(other, number, Outcome.OK)
        assert (len(host.requests[overdue].attempts) == 1) is responds


def test_attempts_in_flight_follow_the_share_vector() -> None:
    host = make(servers=5)
    for _ in range(25):
        host.arrive()
    in_flight = [0] * 5
    for record in host.requests.values():
        for attempt in record.attempts:
            in_flight[attempt.entry.server[0]] += 1
    assert sum(in_flight) == 25
    assert max(in_flight) <= SHARE_EXTRA + SHARE_FACTOR * 25 / 5 + 1


def test_full_endpoint_gets_an_in_flight_limit_and_is_not_ejected() -> None:
    """Many failed connects to live endpoints once ejected these endpoints."""
    host = make(servers=3)
    serve(host, 40)
    requests = [host.arrive() for _ in range(12)]
    full = host.requests[requests[0]].attempts[0].entry.server
    held_before = sum(1 for request in requests if host.requests[request].attempts[0].entry.server == full)
    at_full = [request for request in requests if host.requests[request].attempts[0].entry.server == full]
    host.end(at_full[0], 0, Outcome.OK)  # It responds, so it is not dead
    host.end(at_full[-1], 0, Outcome.CONNECT_FAILED)
    for _ in range(10):
        host.arrive()
    held_after = sum(
        1
        for record in host.requests.values()
        for attempt in record.attempts
        if attempt.outcome is None and attempt.entry.server == full
    )
    assert held_after <= held_before - 1 and not any("ejected" in text for text in log_texts(host))


def test_initial_limit_holds_and_higher_priority_weight_goes_first() -> None:
    host = make(SAFE, UNSAFE, servers=4)
    for _ in range(100):
        host.arrive(0)
    for _ in range(10):
        host.arrive(1)
    sent = [request for request, record in host.requests.items() if record.attempts]
    assert len(sent) <= 6 * 4 + 1
    start = len(host.actions)
    for request in sent[:10]:
        host.end(request, 0, Outcome.OK)
    placed = [action.request for action in host.actions[start:] if isinstance(action, Send)]
    assert placed and all(host.requests[request].request_class is UNSAFE for request in placed[:10])
    for _ in range(60):
        host.advance(20)
    assert any(isinstance(action, Reject) for action in host.actions)


def test_rising_latency_starts_load_shedding_and_recovery_ends_it() -> None:
    host = make(servers=4)
    serve(host, 100, latency=20.0)
    assert log_texts(host) == []
    serve(host, 60, latency=200.0)
    assert any(text.startswith("admission limit on") for text in log_texts(host))
    serve(host, 200, latency=20.0)
    assert log_texts(host)[-1].startswith("admission limit off")


def test_zero_latency_causes_no_division_by_zero() -> None:
    host = make()
    for _ in range(100):
        host.end(host.arrive(), 0, Outcome.OK)
    assert all(record.done_at is not None for record in host.requests.values())


def test_requests_over_the_tenant_quota_have_lower_priority() -> None:
    tenants = (Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0))
    settings = Settings(classes=(SAFE,), tenants=tenants, over_quota_weight=0.1)
    node = Balancer(settings, 5)
    node.handle(EndpointList(ListKind.FULL, (EndpointEntry(b"x"),)), 0.0)
    for i in range(40):
        node.handle(RequestArrived(i, 0, 3000.0, tenant=0), 1.0)
    node.handle(RequestArrived(99, 0, 3000.0, tenant=1), 2.0)
    placed: list[int] = []
    for i in range(6):
        actions = node.handle(AttemptEnded(i, 0, b"x", Outcome.OK, 1.0, True), 2.0)
        placed += [action.request for action in actions if isinstance(action, Send)]
    # The ten within the quota of the first tenant, then that of the other tenant, then those over the quota.
    assert placed == [6, 7, 8, 9, 99, 10]


def test_own_zone_is_preferred_if_cross_zone_requests_have_a_price() -> None:
    for price in (0.0, 0.1):
        host = make(servers=6, cross_zone_price=price, zones=3, zone=1)
        start = len(host.actions)
        serve(host, 60)
        zones = {server[0] % 3 for server in endpoints_sent_to(host, start)}
        assert (zones == {1}) is (price > 0)


def test_list_polls_back_off_after_failures() -> None:
    host = SimulatedHost(Settings(classes=(SAFE,), poll_for_list=True, list_poll_ms=10_000.0), seed=4)
    host.feed_list([EndpointEntry(b"a")], ListKind.CACHED)
    poll_times: list[float] = []
    for _ in range(4000):
        before = host.subscriptions
        host.advance(10)
        if host.subscriptions > before:
            poll_times.append(host.now)
            host.feed(EndpointList(ListKind.FAILED))
    gaps = [later - earlier for earlier, later in itertools.pairwise(poll_times)]
    assert poll_times[0] - 1000.0 <= 3000.0 and max(gaps) <= 5000.0 and gaps[3] > gaps[0]
    assert log_texts(host) == ["server list lost: a call failed or the subscription broke"]
    host.feed(EndpointList(ListKind.CHANGES))
    assert log_texts(host)[-1].startswith("server list found again after")
    polls = host.subscriptions
    for _ in range(2000):
        host.advance(10)
    assert host.subscriptions == polls and Subscribe() in host.actions


def test_first_fast_responses_do_not_set_the_baseline_latency() -> None:
    """Of requests sent together the fast ones return first.

    With those as the baseline a third of the requests of a day was once rejected.
    """
    host = make(servers=30)
    requests = [host.arrive() for _ in range(150)]
    sent = [request for request in requests if host.requests[request].attempts]
    for request in sent[:60]:  # The fast ones
        host.advance(1)
        host.end(request, 0, Outcome.OK)
    for _ in range(10):
        host.advance(20)
    for request in list(host.requests):
        for number in host.open_attempts(request):
            host.end(request, number, Outcome.OK)
    start = len(host.actions)
    serve(host, 150, latency=150.0)
    assert not any(isinstance(action, Reject) for action in host.actions[start:])
    assert not any(
        isinstance(action, Log) and "admission limit on" in action.text for action in host.actions[start:]
    )


def test_overdue_outcome_pauses_its_endpoint_only_if_unresponsive() -> None:
    """At nodes with few requests an overloaded endpoint once kept its full share for tens of seconds."""
    for outcome in (Outcome.OK, Outcome.TIMEOUT):
        for responds in (False, True):
            host = make(servers=5)
            serve(host, 60)
            overdue = host.arrive()
            server = host.requests[overdue].attempts[0].entry.server
            others = [host.arrive() for _ in range(12)]
            host.now += 100.0
            for request in others:  # The unresponsive endpoint answers none of them before the overdue one
                for number in list(host.open_attempts(request)):
                    if responds or host.requests[request].attempts[number].entry.server != server:
                        host.end(request, number, Outcome.OK)
            host.now += 300.0
            host.end(overdue, 0, outcome)
            end_all(host, others, outcome)
            start = len(host.actions)
            serve(host, 25)
            assert (server in endpoints_sent_to(host, start)) is responds
            host.advance(1000)
            start = len(host.actions)
            serve(host, 60)
            assert server in endpoints_sent_to(host, start)


def test_overdue_outcomes_of_all_endpoints_pause_at_most_a_third() -> None:
    """Only endpoints that are slower than their peers are paused.

    The time before an attempt is overdue grows with the latency of all endpoints, and at most a third of them
    is paused.
    """
    host = make(servers=9)
    serve(host, 60)
    requests = [host.arrive() for _ in range(9)]
    assert len({host.requests[request].attempts[0].entry.server for request in requests}) >= 6
    host.now += 600.0
    end_all(host, requests)
    start = len(host.actions)
    for _ in range(60):  # All at one time, during the pauses
        host.end(host.arrive(), 0, Outcome.OK)
    assert len(set(endpoints_sent_to(host, start))) >= 6


def test_limit_growth_is_bounded_by_the_peak_rate() -> None:
    """The limit once doubled beyond the endpoints' capacity before the first slow responses came back."""
    host = make(servers=4)
    serve(host, 100, latency=20.0)
    rate, baseline_latency = 1 / 20.0, 20.0
    for _ in range(400):  # Arrivals exceed the constant rate of responses
        host.arrive()
        host.arrive()
        open_attempts = [
            (request, number) for request in host.requests for number in host.open_attempts(request)
        ]
        host.advance(20)
        if open_attempts:
            host.end(*open_attempts[-1], Outcome.OK)  # A fast response, while older attempts hang
    in_flight = sum(1 for request in host.requests for _ in host.open_attempts(request))
    assert in_flight <= max(1.65 * rate * baseline_latency, 6.0 * 4)


def test_peak_rate_of_few_responses_is_below_the_true_rate() -> None:
    """At full size the highest of many short counts, twice the true rate, kept the limit too high."""
    host = make(node_count=100)
    limiter = host.balancer._limiter
    serve(host, 60, latency=400.0)  # 2.5 responses per second
    true_rate = 1 / 400.0
    assert limiter.load.is_baseline_known() and 0.0 < limiter.load.peak_rate < true_rate


def test_fractional_limit_admits_that_fraction_of_requests() -> None:
    """At full size limits of one request per node, over four hundred nodes, were far too high."""
    host = make()
    limiter = host.balancer._limiter
    sent = 0
    for _ in range(400):
        limiter.limit = 0.3
        request = host.arrive()
        if host.requests[request].attempts:
            sent += 1
            host.end(request, 0, Outcome.OK)
        else:
            host.advance(100.0)  # The request has waited its full time and is rejected
    assert 80 <= sent <= 160


def test_sparse_responses_signal_overload_at_lower_latency() -> None:
    """At full size the endpoints were overloaded before five responses showed twice the baseline latency."""
    load_ratios = []
    for gap_ms in (5.0, 2000.0):
        host = make()
        balancer = host.balancer
        for latency in [20.0] * 60 + [32.0] * 60:
            request = host.arrive()
            host.advance(latency)
            host.end(request, 0, Outcome.OK)
            host.advance(gap_ms)
        load_ratios.append(balancer._limiter.load.load_ratio)
    assert load_ratios[0] < 1.0 < load_ratios[1]


def test_limit_falls_within_a_few_objectives_in_overload() -> None:
    """At full size, with all requests overdue, the limit fell by only a tenth every five seconds."""
    host = make(node_count=600)
    balancer = host.balancer
    serve(host, 12, latency=50.0)
    before = balancer.limit
    started = host.now
    while host.now - started < 15_000.0:  # Fifteen latency objectives in which every request times out
        requests = [host.arrive() for _ in range(3)]
        host.advance(1000.0)
        end_all(host, requests, Outcome.TIMEOUT)
    assert before >= 6.0 and balancer.limit < 0.7


def test_limit_keeps_one_request_per_endpoint_and_remaining_tier() -> None:
    """A first tier with a baseline latency from a lucky start once rejected 40% of the requests of a day.

    Its limit had fallen to one request for each endpoint.
    """
    slow = RequestClass("r", 1500, 4000)
    host = make(slow, servers=4, tiers=3, tier=0)
    serve(host, 60, latency=50.0)  # Baseline latency
    serve(host, 60, latency=200.0)  # Overload against the baseline, though well within the objective
    assert any(text.startswith("admission limit on") for text in log_texts(host))
    requests = [host.arrive() for _ in range(30)]
    assert sum(1 for request in requests for _ in host.open_attempts(request)) >= 3 * 4 - 1


def test_responses_of_idle_endpoints_do_not_set_the_baseline_latency() -> None:
    """Idle endpoints give the first responses; the usual mean latency was twice that of these."""
    host = make(RequestClass("r", 1500, 4000))
    serve(host, 12, latency=50.0)
    serve(host, 60, latency=150.0)
    assert not any(text.startswith("admission limit on") for text in log_texts(host))


def _report_in_flight_elsewhere(host: SimulatedHost, in_flight: dict[bytes, float]) -> None:
    """Serve until every endpoint has reported its in-flight requests of other nodes."""
    reported: set[bytes] = set()
    while len(reported) < len(host.balancer._endpoints.automaton.endpoints):
        request = host.arrive()
        host.advance(2)
        for number in host.open_attempts(request):
            server = host.requests[request].attempts[number].entry.server
            reported.add(server)
            host.end(request, number, Outcome.OK, load=(1.0 + in_flight.get(server, 2.0),))


def test_endpoint_loaded_by_other_nodes_gets_no_requests() -> None:
    host = make(load_report_columns=("outstanding",), node_count=8)
    overloaded = b"\x02"
    _report_in_flight_elsewhere(host, {overloaded: 15.0})
    start = len(host.actions)
    for _ in range(40):
        end_all(host, [host.arrive()])
    sent = endpoints_sent_to(host, start)
    assert len(sent) == 40 and overloaded not in sent


def test_outdated_load_report_is_ignored() -> None:
    host = make(load_report_columns=("outstanding",), node_count=8)
    overloaded = b"\x02"
    _report_in_flight_elsewhere(host, {overloaded: 15.0})
    host.advance(1.5 * SAFE.latency_objective_ms)
    start = len(host.actions)
    serve(host, 200, latency=2.0)
    assert overloaded in endpoints_sent_to(host, start)


def test_limit_follows_the_capacity_of_leaving_and_warming_endpoints() -> None:
    """Ten endpoints may hold sixty requests, five of them half of that, before any latency shows it."""
    for staying, half_warm, capacity in ((10, 0, 1.0), (5, 0, 0.5), (5, 5, 0.8)):
        host = make(servers=10, warm_up_ms=10_000.0, slow_start_fraction=0.2)
        host.advance(20_000.0)
        rows = [
            EndpointEntry(bytes([i]), Readiness.READY if i < staying else Readiness.DRAINING)
            for i in range(10)
        ]
        host.feed_list(rows, ListKind.CHANGES)
        new = [EndpointEntry(bytes([20 + i]), started_ms=host.now - 5000.0) for i in range(half_warm)]
        host.feed_list(new, ListKind.CHANGES)
        assert abs(host.balancer.limit - INITIAL_LIMIT * 10 * capacity) < 1e-6


def test_node_uses_capacity_that_load_reports_show_to_be_unused() -> None:
    """Until the baseline latency is known, the limit is an estimate for all nodes.

    Load reports show how much of it the other nodes use.
    """
    for others, expected in ((0.0, INITIAL_LIMIT * 4), (0.5 * INITIAL_LIMIT, 0.5 * INITIAL_LIMIT * 4)):
        host = make(servers=4, node_count=2, load_report_columns=("outstanding",))
        for _ in range(8):
            request = host.arrive()
            host.advance(2.0)
            for number in host.open_attempts(request):
                host.end(request, number, Outcome.OK, load=(1.0 + others,))
        requests = [host.arrive() for _ in range(60)]
        assert (
            abs(sum(1 for request in requests if any(True for _ in host.open_attempts(request))) - expected)
            <= 2
        )


def test_limit_of_a_node_may_cover_less_than_one_endpoint() -> None:
    host = make(servers=10, node_count=10)
    gone = [EndpointEntry(bytes([i]), Readiness.DRAINING) for i in range(6)]
    host.feed_list(gone, ListKind.CHANGES)
    assert abs(host.balancer.limit - INITIAL_LIMIT * 0.4) < 1e-6


# Streamed bodies and long responses


def _send_streamed_request(host: SimulatedHost, request_class: RequestClass) -> int:
    request = host.next_id
    host.next_id += 1
    host.requests[request] = RequestRecord(request_class, math.inf)
    host.open_requests.add(request)
    host.feed(RequestArrived(request, 0, request_class.deadline_ms, body_streamed=True))
    return request


def test_streaming_body_does_not_count_as_waiting_and_is_not_hedged() -> None:
    host = make()
    serve(host, 60)
    request = _send_streamed_request(host, SAFE)
    assert not host.balancer._table.waiting, "it counts as a waiting attempt"
    start = len(host.actions)
    host.advance(2 * SAFE.deadline_ms)  # The budget runs only from the last byte of the body
    assert not endpoints_sent_to(host, start) and not any(
        isinstance(action, Reject | Fail) for action in host.actions[start:]
    )
    host.feed(BodySent(request, 0))
    assert len(host.balancer._table.waiting) == 1
    host.end(request, 0, Outcome.OK)
    assert not host.balancer._table.waiting and not host.balancer._table.requests


def test_consumed_body_is_rejected_and_unconsumed_body_is_retried() -> None:
    for consumed in (True, False):
        host = make()
        request = _send_streamed_request(host, SAFE)
        (number,) = host.open_attempts(request)
        server = host.requests[request].attempts[number].entry.server
        start = len(host.actions)
        host.requests[request].attempts[number].outcome = Outcome.CONNECT_FAILED
        host.feed(
            AttemptEnded(request, number, server, Outcome.CONNECT_FAILED, 5.0, False, body_consumed=consumed)
        )
        assert bool(endpoints_sent_to(host, start)) is not consumed
        assert any(isinstance(action, Reject) for action in host.actions[start:]) is consumed


def test_started_long_response_frees_its_slot_and_its_end_causes_no_action() -> None:
    for outcome in (Outcome.OK, Outcome.RESET):
        host = make()
        serve(host, 60)
        request = host.arrive()
        (number,) = host.open_attempts(request)
        server = host.requests[request].attempts[number].entry.server
        host.advance(20.0)
        host.feed(ResponseStarted(request, number, server, 20.0))
        host.requests[request].deadline = host.requests[request].attempts[number].times_out_at = math.inf
        assert not host.balancer._table.waiting and not host.balancer._endpoints.known[server].in_flight
        host.advance(10 * SAFE.deadline_ms)
        start = len(host.actions)
        host.requests[request].done_at = host.now  # Complete or broken, the client has the response
        host.end(request, number, outcome)
        assert (
            not endpoints_sent_to(host, start)
            and not host.balancer._table.requests
            and not host.balancer._table.streaming
        )


def test_heavy_request_becomes_overdue_later() -> None:
    """A twelfth of the work of a day without faults was once hedged requests of heavy work."""
    waits = []
    for hint in (10.0, 80.0):
        host = make()
        for _ in range(80):  # Light work, so that the expected latency is 20 ms
            request = host.arrive(hint=10.0)
            host.advance(20.0)
            host.end(request, 0, Outcome.OK)
        request, started = host.arrive(hint=hint), host.now
        while len(host.requests[request].attempts) < 2:
            host.advance(5.0)
        waits.append(host.now - started)
    assert 20.0 < waits[0] <= 80.0 and waits[1] >= 2.0 * waits[0]


def test_heavy_request_avoids_slow_endpoints_while_a_fast_one_is_fit() -> None:
    """On a day without faults the late requests were heavy work on the slow third of the machines."""
    host = make(servers=4)
    slow = {bytes([0]), bytes([1])}
    for i in range(300):
        heavy = i > 80 and i % 10 == 0
        request = host.arrive(hint=50.0 if heavy else 10.0)
        server = host.requests[request].attempts[0].entry.server
        assert not (heavy and server in slow)
        host.advance((60.0 if server in slow else 20.0) * (2.0 if heavy else 1.0))
        host.end(request, 0, Outcome.OK)
    # Without a fit fast endpoint the slow ones are better than waiting.
    for endpoint in host.balancer._endpoints.listed:
        if endpoint.entry.server not in slow:
            endpoint.paused_until = host.now + 10_000.0
    assert host.requests[host.arrive(hint=50.0)].attempts[0].entry.server in slow


def test_retry_carries_the_end_of_the_idempotency_window() -> None:
    """The idempotency window of rule 2 runs from the first attempt that may have been executed.

    Connecting may take until after its end.
    """
    keyed = RequestClass("k", 1000, 9000, effect=Effect.KEYED, idempotency_window_ms=2000.0)
    host = make(SAFE, keyed)
    for class_index in (0, 1):
        request = host.arrive(class_index=class_index)
        for number, outcome in enumerate((Outcome.CONNECT_FAILED, Outcome.RESET)):
            host.advance(100)
            host.end(request, number, outcome)
        window_start = host.requests[request].attempts[1].sent_at  # The attempt before was never executed
        expected = [math.inf, math.inf, window_start + 2000.0 - 5.0 if class_index else math.inf]
        sends = [action for action in host.actions if isinstance(action, Send) and action.request == request]
        assert [send.before_ms for send in sends] == expected


def test_queued_retry_is_dropped_when_the_client_disconnects() -> None:
    """The only endpoint rejects the request and is paused; the client disconnects before the retry is due."""
    host = make(servers=1)
    request = host.arrive()
    host.end(request, 0, Outcome.FULL)
    assert not list(host.open_attempts(request)), "the retry did not have to wait"
    host.requests[request].done_at = host.now
    host.feed(RequestAbandoned(request))
    start = len(host.actions)
    host.advance(5000)
    assert not any(isinstance(action, Send | Reject | Fail) for action in host.actions[start:])
    assert host.arrive() in {action.request for action in host.actions[start:] if isinstance(action, Send)}
