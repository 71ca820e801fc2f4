"""Clients: open-loop arrivals drawn ahead, their repeats, and what becomes of each first try."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np
from numpy.random import PCG64, Generator, SeedSequence

from crowpost.decision_api import Effect, IdempotencyScope, RequestClass
from crowpost.lab.measure import Measure
from crowpost.lab.scenario import Class, Scenario
from crowpost.lab.scenario import Clients as Habits

if TYPE_CHECKING:
    from crowpost.lab.nodes import SimNode, SimulatedRequest
    from crowpost.lab.platform import Platform


@dataclass(slots=True, eq=False)
class PlannedRequest:
    """A client's first try and all its repeats.  Times are ms, work ms of a core of speed 1."""

    index: int
    due: float
    class_index: int
    tenant: int
    work: float
    hint: float
    calls: tuple[int, ...]
    patience: float  # how long each try is waited for
    luck: float  # in [0, 1): fixes what this client does by chance
    inside: bool = True  # within its tenant's quota
    tries: int = 0
    done: bool = False
    in_time: bool = False


def _works(kind: Class, count: int, rng: Generator) -> np.ndarray:
    if kind.work_spread == "constant" or kind.work_cv == 0.0:
        return np.full(count, kind.work_ms)
    if kind.work_spread == "exponential":
        return rng.exponential(kind.work_ms, count)
    sigma = np.sqrt(np.log1p(kind.work_cv**2))
    return rng.lognormal(np.log(kind.work_ms) - 0.5 * sigma**2, sigma, count)


def _times(scenario: Scenario, rng: Generator, extra: tuple[tuple[float, float, float], ...]) -> np.ndarray:
    """Due times in ms: a Poisson process thinned by the rate at each moment, or one at even distances."""
    traffic, end = scenario.traffic, scenario.duration_s
    swing = 1.0 + traffic.burst_swing if traffic.arrivals == "bursty" else 1.0
    changes = [(p.from_s, p.to_s, p.times) for p in traffic.phases] + list(extra)
    peak = traffic.requests_per_s * swing
    for _, _, times in changes:
        peak *= max(1.0, times)
    if traffic.arrivals == "steady":
        points = np.arange(1, int(peak * end) + 1) / peak
    else:
        points = np.sort(rng.uniform(0.0, end, rng.poisson(peak * end)))
    rate = np.full(len(points), traffic.requests_per_s)
    if traffic.arrivals == "bursty":
        # A high and a low rate in turn, each held for an exponential time: the usual MMPP of two states.
        edges = np.cumsum(rng.exponential(traffic.burst_mean_s, 2 + int(4 * end / traffic.burst_mean_s)))
        high = np.searchsorted(edges, points) % 2 == 0
        rate *= np.where(high, swing, 1.0 - traffic.burst_swing)
    for start, stop, times in changes:
        rate *= np.where((points >= start) & (points < stop), times, 1.0)
    if traffic.arrivals == "steady":
        # Keep each point at which the summed rate passes a whole number: even distances at every rate.
        kept = np.diff(np.floor(np.cumsum(rate / peak)), prepend=0.0) > 0
    else:
        kept = rng.uniform(0.0, peak, len(points)) < rate
    return points[kept] * 1000.0


def draw(scenario: Scenario, seed: SeedSequence) -> list[PlannedRequest]:
    """All first tries of a run, the same for every policy."""
    rng = Generator(PCG64(seed))
    bursts = tuple((f.at_s, f.at_s + f.for_s, f.size) for f in scenario.faults if f.kind == "burst")
    times = _times(scenario, rng, bursts)
    count = len(times)
    shares = np.array([c.share for c in scenario.classes])
    kinds = rng.choice(len(shares), count, p=shares / shares.sum())
    work = np.zeros(count)
    for i, kind in enumerate(scenario.classes):
        mine = kinds == i
        work[mine] = _works(kind, int(mine.sum()), rng)
    tenants = np.zeros(count, dtype=int)
    if scenario.tenants:
        parts = np.array([t.share for t in scenario.tenants])
        tenants = rng.choice(len(parts), count, p=parts / parts.sum())
    hints = work * rng.uniform(0.85, 1.15, count)
    calls = []
    for tier in scenario.tiers:
        low, high = tier.calls
        mean = rng.uniform(low, high, count)
        whole = np.floor(mean)
        calls.append((whole + (rng.uniform(0.0, 1.0, count) < mean - whole)).astype(int))
    low, high = scenario.clients.patience
    patience = rng.uniform(low, high, count)
    luck = rng.uniform(0.0, 1.0, count)
    tokens = [t.quota_per_s for t in scenario.tenants]
    since = [0.0] * len(tokens)
    planned_requests = []
    for i in range(count):
        kind, tenant, now = scenario.classes[kinds[i]], int(tenants[i]), float(times[i])
        planned = PlannedRequest(
            i,
            now,
            int(kinds[i]),
            tenant,
            max(float(work[i]), 0.1),
            max(float(hints[i]), 0.1),
            tuple(int(c[i]) for c in calls),
            float(patience[i]) * kind.deadline_ms,
            float(luck[i]),
        )
        if scenario.tenants and scenario.tenants[tenant].quota_per_s:
            quota = scenario.tenants[tenant].quota_per_s
            tokens[tenant] = min(quota, tokens[tenant] + (now - since[tenant]) * quota / 1000.0)
            since[tenant] = now
            planned.inside = tokens[tenant] >= 1.0
            tokens[tenant] -= 1.0 if planned.inside else 0.0
        planned_requests.append(planned)
    return planned_requests


def may_repeat(kind: RequestClass, end: str, since_first: float) -> bool:
    """Whether a client asks again: by the published pages, and never where that could run a request twice."""
    if end in ("refused", "unreachable") or kind.effect is Effect.SAFE:
        return True
    return (
        kind.effect is Effect.KEYED
        and kind.idempotency_scope is IdempotencyScope.ALL
        and since_first < kind.idempotency_window_ms
    )


def pause_before_next(
    planned: PlannedRequest, habits: Habits, kind: RequestClass, end: str, since: float, retry_after: float
) -> float | None:
    """Return the ms that the client waits before its retry, or None if it gives up.

    since: ms since the request was due.
    """
    if end == "ok" or planned.tries > habits.retries or not may_repeat(kind, end, since):
        return None
    pause = habits.backoff_ms * (0.5 + planned.luck)
    if habits.backoff == "exponential":
        pause *= 2.0 ** (planned.tries - 1)
    elif habits.backoff == "none":
        pause = 1.0
    if retry_after and planned.luck < habits.honour_retry_after:
        pause = max(pause, retry_after * (1.0 + 0.2 * planned.luck))
    return pause


def count(measure: Measure, scenario: Scenario, planned: PlannedRequest, latency: float, end: str) -> None:
    """A first try and its repeats are over, so many ms after it was due."""
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
        priority_weight *= 1.0 if planned.inside else scenario.tenants[planned.tenant].over_quota_worth
    measure.ended(planned.due, latency, end, priority_weight, planned.work, kind.name, tenant, planned.inside)


def spread(planned: PlannedRequest, standing: int, hot: tuple[float, int] | None) -> int:
    """Which of the standing nodes a try goes to: evenly, but for the share that a few hot ones carry."""
    draw = (planned.luck * 7919.0 + planned.tries * 0.618) % 1.0
    if hot is not None:
        share, few = hot
        few = max(1, min(few, standing))
        if draw < share:
            return int(draw / share * few) % few
        draw = (draw - share) / (1.0 - share)
    return min(int(draw * standing), standing - 1)


class Clients:
    """Sends each wish when it is due, whatever became of those before it."""

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
        node = platform.choose_front(planned)
        delay = platform.scenario.network.client_ms
        if node is None:
            platform.engine.after(delay, self._over, planned, "unreachable", 0.0)
            return
        platform.engine.after(delay, self._reach, planned, node)

    def _reach(self, planned: PlannedRequest, node: SimNode) -> None:
        platform = self.platform
        if not node.up:
            self._over(planned, "unreachable", 0.0)
            return
        request: SimulatedRequest = platform.new_client_request(
            planned, lambda kind, after: self._replied(request, kind, after)
        )
        self.open[request] = planned
        node.accept(request)
        platform.engine.at(request.deadline, self._impatient, request)

    def _impatient(self, request: SimulatedRequest) -> None:
        """The client's own time is over; the node learns it by its deadline as well."""
        planned = self.open.pop(request, None)
        if planned is not None:
            self._over(planned, "timed_out", 0.0)

    def lost(self, request: SimulatedRequest) -> None:
        """The node that had it was killed."""
        planned = self.open.pop(request, None)
        if planned is not None:
            self._over(planned, "failed", 0.0)

    def _replied(self, request: SimulatedRequest, kind: str, after: float) -> None:
        self.platform.engine.after(
            self.platform.scenario.network.client_ms, self._heard, request, kind, after
        )

    def _heard(self, request: SimulatedRequest, kind: str, after: float) -> None:
        planned = self.open.pop(request, None)
        if planned is not None:
            self._over(planned, kind, after)

    def _over(self, planned: PlannedRequest, end: str, after: float) -> None:
        """A try is over: count the wish, or plan the next try."""
        platform, habits = self.platform, self.platform.scenario.clients
        now, kind = platform.engine.now, platform.classes[planned.class_index]
        pause = pause_before_next(planned, habits, kind, end, now - planned.due, after)
        if pause is not None:
            platform.engine.after(pause, self._try, planned)
        else:
            count(platform.measure, platform.scenario, planned, now - planned.due, end)
