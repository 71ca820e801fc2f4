"""Baseline policies for comparisons, behind the module's own events and actions.

All keep the four rules, place a request when it arrives, retry a failed attempt where the rules allow it, and
differ only in the choice of the server. Only the policy that sees the true state limits the requests that it
admits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowpost.decision_api import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Effect,
    EndpointEntry,
    EndpointId,
    EndpointList,
    Event,
    Fail,
    IdempotencyScope,
    ListKind,
    Outcome,
    Readiness,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    ResponseStarted,
    Send,
    Settings,
)
from crowpost.lab.machines import SimServer
from crowpost.lab.platform import Platform

EWMA_TIME_CONSTANT_MS = 5000.0  # time constant of the decay of a peak EWMA


@dataclass(slots=True)
class EndpointState:
    """What a baseline knows of an endpoint."""

    entry: EndpointEntry
    in_flight: int = 0
    cost: float = 0.0  # peak EWMA of latencies, ms
    cost_at: float = 0.0


@dataclass(slots=True)
class OpenRequest:
    """A request without its final answer."""

    kind: RequestClass
    deadline: float
    work_hint: float
    sent_attempts: list[tuple[EndpointEntry, float, Outcome | None]] = field(default_factory=list)

    def possibly_run(self) -> list[tuple[EndpointEntry, float, Outcome | None]]:
        """Return the attempts that may have run."""
        return [
            attempt for attempt in self.sent_attempts if attempt[2] is None or attempt[2] not in NEVER_RAN
        ]


class BaselinePolicy:
    """Places each request at once and retries where allowed; a subclass chooses among the allowed servers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.endpoints: dict[EndpointId, EndpointState] = {}
        self.ready: list[EndpointState] = []
        self.open_requests: dict[int, OpenRequest] = {}
        self.now = 0.0

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return the endpoint of the next attempt, of those that the rules allow."""
        raise NotImplementedError

    def admits(self, allowed: list[EndpointState], request: OpenRequest) -> bool:
        """Return whether a new request is accepted at all."""
        return True

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that follow from an event."""
        self.now = now
        if isinstance(event, RequestArrived):
            kind = self.settings.classes[event.class_index]
            request = OpenRequest(kind, now + event.budget_ms, event.cost_hint_ms or 1.0)
            self.open_requests[event.request] = request
            return self._place(event.request, request)
        if isinstance(event, AttemptEnded):
            return self._ended(event)
        if isinstance(event, EndpointList):
            self._list(event)
        elif isinstance(event, RequestAbandoned | ResponseStarted):
            self.open_requests.pop(event.request, None)
        return []

    def _list(self, event: EndpointList) -> None:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.ready = []
            for state in self.endpoints.values():
                state.entry = EndpointEntry(state.entry.server, Readiness.GONE)
        for entry in event.entries:
            known = self.endpoints.setdefault(entry.server, EndpointState(entry, cost_at=self.now))
            known.entry = entry
        self.ready = [state for state in self.endpoints.values() if state.entry.readiness is Readiness.READY]

    def _ended(self, event: AttemptEnded) -> list[Action]:
        state = self.endpoints[event.server]
        state.in_flight -= 1
        self.learn(state, event)
        request = self.open_requests.get(event.request)
        if request is None:
            return []
        entry, sent, _ = request.sent_attempts[event.attempt]
        request.sent_attempts[event.attempt] = (entry, sent, event.outcome)
        if event.finished:
            del self.open_requests[event.request]
            return []
        if event.outcome is Outcome.REJECTED or self.now >= request.deadline - self.settings.tick_ms:
            return self._give_up(event.request, request)
        return self._place(event.request, request)

    def learn(self, state: EndpointState, event: AttemptEnded) -> None:
        """Learn from the end of an attempt; by default nothing."""

    def _place(self, number: int, request: OpenRequest) -> list[Action]:
        allowed: list[EndpointState] = []
        if len(request.sent_attempts) < self.settings.max_attempts:
            allowed = [state for state in self.ready if self._permitted(request, state)]
        if not allowed or not (request.sent_attempts or self.admits(allowed, request)):
            return self._give_up(number, request)
        state = self.choose(allowed, request)
        state.in_flight += 1
        request.sent_attempts.append((state.entry, self.now, None))
        return [Send(number, state.entry.server)]

    def _permitted(self, request: OpenRequest, state: EndpointState) -> bool:
        """Return whether rules 2 and 4 allow an attempt; rule 3 holds as only ready endpoints are offered."""
        possibly_run = request.possibly_run()
        kind = request.kind
        if possibly_run:
            if kind.effect is Effect.UNSAFE:
                return False
            first, sent, _ = possibly_run[0]
            if kind.effect is Effect.KEYED:
                if self.now - sent >= kind.idempotency_window_ms - self.settings.tick_ms:
                    return False
                if kind.idempotency_scope is IdempotencyScope.CELL and state.entry.cell != first.cell:
                    return False
                if kind.idempotency_scope is IdempotencyScope.ZONE and state.entry.zone != first.zone:
                    return False
        return self._warm_enough(state)

    def _warm_enough(self, state: EndpointState) -> bool:
        """Return whether a server that warms up has less than half the mean in flight, to avoid overload."""
        start = state.entry.started_ms
        if not start or self.now - start >= self.settings.warm_up_ms:
            return True
        mean = sum(other.in_flight for other in self.ready) / len(self.ready)
        return state.in_flight <= max(0.0, 0.5 * mean)

    def _give_up(self, number: int, request: OpenRequest) -> list[Action]:
        del self.open_requests[number]
        kind = request.kind
        repeatable = kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and kind.idempotency_scope is IdempotencyScope.ALL
        )
        if request.possibly_run() and not repeatable:
            return [Fail(number)]
        return [Reject(number)]


class RandomChoice(BaselinePolicy):
    """Any allowed server, with equal probability."""

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return any of the allowed endpoints."""
        return allowed[int(self.rng.random() * len(allowed))]


class RoundRobin(BaselinePolicy):
    """Each server in turn, from a random start."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.next_index = int(self.rng.random() * 1000)

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return the next of the allowed endpoints in turn."""
        self.next_index += 1
        return allowed[self.next_index % len(allowed)]


class LeastOutstanding(BaselinePolicy):
    """The server with the fewest calls of this node in flight; ties are broken at random."""

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return one with the fewest calls of this node in flight."""
        fewest = min(state.in_flight for state in allowed)
        tied = [state for state in allowed if state.in_flight == fewest]
        return tied[int(self.rng.random() * len(tied))]


class PeakEwma(BaselinePolicy):
    """Power of two choices with peak EWMA: of two random servers, that of less decayed latency times calls.

    The estimator that service meshes use: a latency above the average replaces it, one below decays it.
    """

    def learn(self, state: EndpointState, event: AttemptEnded) -> None:
        """Add the latency of an ended attempt to the peak EWMA."""
        if event.outcome is Outcome.CANCELLED:
            return
        latency = event.elapsed_ms
        if event.outcome in (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET):
            # A quick failure must not count as a quick answer.
            latency = max(latency, 2.0 * state.cost)
        if latency > state.cost:
            state.cost = latency
        else:
            decay = math.exp(-(self.now - state.cost_at) / EWMA_TIME_CONSTANT_MS)
            state.cost = state.cost * decay + latency * (1.0 - decay)
        state.cost_at = self.now

    def _load(self, state: EndpointState) -> float:
        cost = state.cost * math.exp(-(self.now - state.cost_at) / (4.0 * EWMA_TIME_CONSTANT_MS))
        return (cost + 1.0) * (state.in_flight + 1)

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return the endpoint of less load among two random ones."""
        first = allowed[int(self.rng.random() * len(allowed))]
        second = allowed[int(self.rng.random() * len(allowed))]
        return min(first, second, key=self._load)


class TrueState(BaselinePolicy):
    """Sees the true state of every server: least work ahead at its rate; rejects what would be late.

    No real node can do this; it shows an upper bound of what a policy may reach.
    """

    def __init__(self, settings: Settings, seed: int, platform: Platform) -> None:
        super().__init__(settings, seed)
        self.platform = platform

    def _expected(self, state: EndpointState, request: OpenRequest) -> float:
        server: SimServer = self.platform.servers[state.entry.server]
        rate = server.rate() * (1.0 - server.faults.errors) * server.kind.cores
        if rate <= 0.0 or server.faults.unresponsive or not server.up:
            return math.inf
        work = request.work_hint * server.tier.work_part
        waiting = server.backlog() + 0.5 * work * max(0, server.outstanding() - server.kind.cores)
        full = server.outstanding() >= server.kind.slots + server.kind.waiting_room
        return math.inf if full else (waiting + work) / rate

    def _warm_enough(self, state: EndpointState) -> bool:
        # The true rate of a server that warms up is known, and no more is sent than it soon completes.
        return True

    def admits(self, allowed: list[EndpointState], request: OpenRequest) -> bool:
        """Return whether the best endpoint is expected to meet half of the latency objective."""
        if self.settings.tier:
            return True
        best = min(self._expected(state, request) for state in allowed)
        return best <= 0.5 * request.kind.latency_objective_ms

    def choose(self, allowed: list[EndpointState], request: OpenRequest) -> EndpointState:
        """Return the endpoint that is expected to finish first."""
        return min(
            allowed, key=lambda state: (self._expected(state, request), state.in_flight, state.entry.server)
        )


def names() -> Iterable[str]:
    """Return the names of the baselines."""
    return ("random", "round-robin", "least-outstanding", "p2c-peak-ewma", "true-state")
