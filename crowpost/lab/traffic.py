"""Clients: open-loop arrivals drawn in advance, retries, and the end of each request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np
from numpy.random import PCG64, Generator, SeedSequence

from crowpost.decision_api import Effect, IdempotencyScope, RequestClass
from crowpost.lab.measure import Measure
from crowpost.lab.scenario import Class, Scenario
from crowpost.lab.scenario import Clients as ClientSettings

if TYPE_CHECKING:
    from crowpost.lab.nodes import SimNode, SimulatedRequest
    from crowpost.lab.platform import Platform


@dataclass(slots=True, eq=False)
class PlannedRequest:
    """A client's request: its first try and all retries. Times are ms, work ms of a core of speed 1."""

    index: int
    due: float
    class_index: int
    tenant: int
    work: float
    hint: float
    calls: tuple[int, ...]
    patience: float  # how long the client waits for each try
    random_value: float  # in [0, 1): determines the random choices of this client
    within_quota: bool = True  # whether it is within its tenant's quota
    tries: int = 0
    done: bool = False
    in_time: bool = False


def _draw_work(kind: Class, count: int, rng: Generator) -> np.ndarray:
    if kind.work_spread == "constant" or kind.work_cv == 0.0:
        return np.full(count, kind.work_ms)
    if kind.work_spread == "exponential":
        return rng.exponential(kind.work_ms, count)
    sigma = np.sqrt(np.log1p(kind.work_cv**2))
    return rng.lognormal(np.log(kind.work_ms) - 0.5 * sigma**2, sigma, count)


def _draw_due_times(
    scenario: Scenario, rng: Generator, bursts: tuple[tuple[float, float, float], ...]
) -> np.ndarray:
    """Return due times in ms: a Poisson process thinned by the rate at each time, or equal distances."""
    traffic, end = scenario.traffic, scenario.duration_s
    swing = 1.0 + traffic.burst_swing if traffic.arrivals == "bursty" else 1.0
    changes = [(phase.from_s, phase.to_s, phase.times) for phase in traffic.phases] + list(bursts)
    peak = traffic.requests_per_s * swing
    for _, _, times in changes:
        peak *= max(1.0, times)
    if traffic.arrivals == "steady":
        points = np.arange(1, int(peak * end) + 1) / peak
    else:
        points = np.sort(rng.uniform(0.0, end, rng.poisson(peak * end)))
    rate = np.full(len(points), traffic.requests_per_s)
    if traffic.arrivals == "bursty":
        # A high and a low rate alternate, each for an exponential time: a Markov-modulated Poisson process of
        # two states.
        edges = np.cumsum(rng.exponential(traffic.burst_mean_s, 2 + int(4 * end / traffic.burst_mean_s)))
        high = np.searchsorted(edges, points) % 2 == 0
        rate *= np.where(high, swing, 1.0 - traffic.burst_swing)
    for start, stop, times in changes:
        rate *= np.where((points >= start) & (points < stop), times, 1.0)
    if traffic.arrivals == "steady":
        # Keep each point at which the summed rate passes an integer: equal distances at every rate.
        kept = np.diff(np.floor(np.cumsum(rate / peak)), prepend=0.0) > 0
    else:
        kept = rng.uniform(0.0, peak, len(points)) < rate
    return points[kept] * 1000.0


def draw(scenario: Scenario, seed: SeedSequence) -> list[PlannedRequest]:
    """Return all requests of a run, the same for every policy."""
    rng = Generator(PCG64(seed))
    bursts = tuple(
        (fault.at_s, fault.at_s + fault.for_s, fault.size)
        for fault in scenario.faults
        if fault.kind == "burst"
    )
    times = _draw_due_times(scenario, rng, bursts)
    count = len(times)
    shares = np.array([request_class.share for request_class in scenario.classes])
    class_indices = rng.choice(len(shares), count, p=shares / shares.sum())
    work = np.zeros(count)
    for i, kind in enumerate(scenario.classes):
        selected = class_indices == i
        work[selected] = _draw_work(kind, int(selected.sum()), rng)
    tenants = np.zeros(count, dtype=int)
    if scenario.tenants:
        tenant_shares = np.array([tenant_settings.share for tenant_settings in scenario.tenants])
        tenants = rng.choice(len(tenant_shares), count, p=tenant_shares / tenant_shares.sum())
    hints = work * rng.uniform(0.85, 1.15, count)
    calls = []
    for tier in scenario.tiers:
        low, high = tier.calls
        mean = rng.uniform(low, high, count)
        base_calls = np.floor(mean)
        calls.append((base_calls + (rng.uniform(0.0, 1.0, count) < mean - base_calls)).astype(int))
    low, high = scenario.clients.patience
    patience = rng.uniform(low, high, count)
    random_value = rng.uniform(0.0, 1.0, count)
    tokens = [tenant_settings.quota_per_s for tenant_settings in scenario.tenants]
    since = [0.0] * len(tokens)
    planned_requests = []
    for i in range(count):
        kind, tenant, now = scenario.classes[class_indices[i]], int(tenants[i]), float(times[i])
        planned = PlannedRequest(
            i,
            now,
            int(class_indices[i]),
            tenant,
            max(float(work[i]), 0.1),
            max(float(hints[i]), 0.1),
            tuple(int(tier_calls[i]) for tier_calls in calls),
            float(patience[i]) * kind.deadline_ms,
            float(random_value[i]),
        )
        if scenario.tenants and scenario.tenants[tenant].quota_per_s:
            quota = scenario.tenants[tenant].quota_per_s
            tokens[tenant] = min(quota, tokens[tenant] + (now - since[tenant]) * quota / 1000.0)
            since[tenant] = now
            planned.within_quota = tokens[tenant] >= 1.0
            tokens[tenant] -= 1.0 if planned.within_quota else 0.0
        planned_requests.append(planned)
    return planned_requests


def may_retry(kind: RequestClass, end: str, since_first: float) -> bool:
    """Return whether a client retries, by the published pages: never if that could run a request twice."""
    if end in ("refused", "unreachable") or kind.effect is Effect.SAFE:
        return True
    return (
        kind.effect is Effect.KEYED
        and kind.idempotency_scope is IdempotencyScope.ALL
        and since_first < kind.idempotency_window_ms
    )


def retry_delay(
    planned: PlannedRequest,
    client_settings: ClientSettings,
    kind: RequestClass,
    end: str,
    since: float,
    retry_after: float,
) -> float | None:
    """Return the delay in ms of a client's retry, or None if the client gives up.

    since: ms since the request was due.
    """
    if end == "ok" or planned.tries > client_settings.retries or not may_retry(kind, end, since):
        return None
    delay = client_settings.backoff_ms * (0.5 + planned.random_value)
    if client_settings.backoff == "exponential":
        delay *= 2.0 ** (planned.tries - 1)
    elif client_settings.backoff == "none":
        delay = 1.0
    if retry_after and planned.random_value < client_settings.honour_retry_after:
        delay = max(delay, retry_after * (1.0 + 0.2 * planned.random_value))
    return delay


def record_end(
    measure: Measure, scenario: Scenario, planned: PlannedRequest, latency: float, end: str
) -> None:
    """Record the end of a request with all its retries; latency: ms since it was due."""
    kind = scenario.classes[planned.class_index]
    planned.done = True
    if end == "ok":
        planned.in_time = latency <= kind.latency_objective_ms
        end = "served" if planned.in_time else "late"
    elif end == "unreachable":
        end = "failed"
    priority_weight, tenant = kind.priority_weight * planned.work / kind.work_ms, ""
    if scenario.tenants:
        tenant = scenario.tenants[planned.tenant].name
        priority_weight *= 1.0 if planned.within_quota else scenario.tenants[planned.tenant].over_quota_worth
    measure.ended(
        planned.due, latency, end, priority_weight, planned.work, kind.name, tenant, planned.within_quota
    )


def choose_node(planned: PlannedRequest, node_count: int, hot_nodes: tuple[float, int] | None) -> int:
    """Return the index of the node for a try: evenly, except for the share that a few hot nodes receive."""
    position = (planned.random_value * 7919.0 + planned.tries * 0.618) % 1.0
    if hot_nodes is not None:
        share, hot_count = hot_nodes
        hot_count = max(1, min(hot_count, node_count))
        if position < share:
            return int(position / share * hot_count) % hot_count
        position = (position - share) / (1.0 - share)
    return min(int(position * node_count), node_count - 1)


class Clients:
    """Sends each request when it is due, whether earlier ones have ended or not."""

    def __init__(self, platform: Platform, planned_requests: list[PlannedRequest]) -> None:
        self.platform: Platform = platform
        self.planned_requests = planned_requests
        self.open: dict[SimulatedRequest, PlannedRequest] = {}
        for planned in planned_requests:
            platform.engine.at(planned.due, self._try, planned)

    def _try(self, planned: PlannedRequest) -> None:
        platform = self.platform
        if planned.done:
            return
        planned.tries += 1
        platform.measure.tries += 1
        node = platform.choose_front_node(planned)
        delay = platform.scenario.network.client_ms
        if node is None:
            platform.engine.after(delay, self._try_ended, planned, "unreachable", 0.0)
            return
        platform.engine.after(delay, self._arrive, planned, node)

    def _arrive(self, planned: PlannedRequest, node: SimNode) -> None:
        platform = self.platform
        if not node.up:
            self._try_ended(planned, "unreachable", 0.0)
            return
        request: SimulatedRequest = platform.new_client_request(
            planned, lambda kind, after: self._replied(request, kind, after)
        )
        self.open[request] = planned
        node.accept(request)
        platform.engine.at(request.deadline, self._timed_out, request)

    def _timed_out(self, request: SimulatedRequest) -> None:
        """End a try for which the client no longer waits; the node knows by the deadline."""
        planned = self.open.pop(request, None)
        if planned is not None:
            self._try_ended(planned, "timed_out", 0.0)

    def node_killed(self, request: SimulatedRequest) -> None:
        """End a try whose node was killed."""
        planned = self.open.pop(request, None)
        if planned is not None:
            self._try_ended(planned, "failed", 0.0)

    def _replied(self, request: SimulatedRequest, kind: str, after: float) -> None:
        self.platform.engine.after(
            self.platform.scenario.network.client_ms, self._reply_received, request, kind, after
        )

    def _reply_received(self, request: SimulatedRequest, kind: str, after: float) -> None:
        planned = self.open.pop(request, None)
        if planned is not None:
            self._try_ended(planned, kind, after)

    def _try_ended(self, planned: PlannedRequest, end: str, after: float) -> None:
        """End a try: record the end of the request, or schedule a retry."""
        platform, client_settings = self.platform, self.platform.scenario.clients
        now, kind = platform.engine.now, platform.classes[planned.class_index]
        delay = retry_delay(planned, client_settings, kind, end, now - planned.due, after)
        if delay is not None:
            platform.engine.after(delay, self._try, planned)
        else:
            record_end(platform.measure, platform.scenario, planned, now - planned.due, end)
