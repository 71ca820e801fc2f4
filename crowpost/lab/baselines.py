"""Policies to compare with, behind the module's own events and actions.

All keep the four rules, place a request when it arrives, repeat a failed attempt where the rules allow it,
and differ only in which server they choose.  Only the one that
sees the true state limits what it admits.
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

EWMA_MS = 5000.0  # the time over which a peak EWMA forgets


@dataclass(slots=True)
class Arm:
    """What a plain policy knows of a server."""

    entry: EndpointEntry
    out: int = 0
    cost: float = 0.0  # peak EWMA of latencies, ms
    cost_at: float = 0.0


@dataclass(slots=True)
class Open:
    """A request without its final answer."""

    kind: RequestClass
    deadline: float
    units: float
    tried: list[tuple[EndpointEntry, float, Outcome | None]] = field(default_factory=list)

    def risky(self) -> list[tuple[EndpointEntry, float, Outcome | None]]:
        """Attempts that may have run."""
        return [t for t in self.tried if t[2] is None or t[2] not in NEVER_RAN]


class Plain:
    """Place at once, repeat where allowed; a subclass chooses among the allowed servers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.arms: dict[EndpointId, Arm] = {}
        self.listed: list[Arm] = []
        self.open: dict[int, Open] = {}
        self.now = 0.0

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        """The server of the next attempt, of those that the rules allow."""
        raise NotImplementedError

    def admits(self, allowed: list[Arm], request: Open) -> bool:
        """Whether a new request is taken on at all."""
        return True

    def handle(self, event: Event, now: float) -> list[Action]:
        """The actions that follow from an event."""
        self.now = now
        if isinstance(event, RequestArrived):
            kind = self.settings.classes[event.class_index]
            request = Open(kind, now + event.budget_ms, event.cost_hint_ms or 1.0)
            self.open[event.request] = request
            return self._place(event.request, request)
        if isinstance(event, AttemptEnded):
            return self._ended(event)
        if isinstance(event, EndpointList):
            self._list(event)
        elif isinstance(event, RequestAbandoned | ResponseStarted):
            self.open.pop(event.request, None)
        return []

    def _list(self, event: EndpointList) -> None:
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            self.listed = []
            for arm in self.arms.values():
                arm.entry = EndpointEntry(arm.entry.server, Readiness.GONE)
        for entry in event.entries:
            known = self.arms.setdefault(entry.server, Arm(entry, cost_at=self.now))
            known.entry = entry
        self.listed = [a for a in self.arms.values() if a.entry.readiness is Readiness.READY]

    def _ended(self, event: AttemptEnded) -> list[Action]:
        arm = self.arms[event.server]
        arm.out -= 1
        self.learn(arm, event)
        request = self.open.get(event.request)
        if request is None:
            return []
        entry, sent, _ = request.tried[event.attempt]
        request.tried[event.attempt] = (entry, sent, event.outcome)
        if event.finished:
            del self.open[event.request]
            return []
        if event.outcome is Outcome.REJECTED or self.now >= request.deadline - self.settings.tick_ms:
            return self._give_up(event.request, request)
        return self._place(event.request, request)

    def learn(self, arm: Arm, event: AttemptEnded) -> None:
        """An attempt's end, for policies that remember."""

    def _place(self, number: int, request: Open) -> list[Action]:
        allowed: list[Arm] = []
        if len(request.tried) < self.settings.max_attempts:
            allowed = [a for a in self.listed if self._permitted(request, a)]
        if not allowed or not (request.tried or self.admits(allowed, request)):
            return self._give_up(number, request)
        arm = self.choose(allowed, request)
        arm.out += 1
        request.tried.append((arm.entry, self.now, None))
        return [Send(number, arm.entry.server)]

    def _permitted(self, request: Open, arm: Arm) -> bool:
        """Rules 2 and 4; rule 3 is kept by the list of those that are ready."""
        risky = request.risky()
        kind = request.kind
        if risky:
            if kind.effect is Effect.UNSAFE:
                return False
            first, sent, _ = risky[0]
            if kind.effect is Effect.KEYED:
                if self.now - sent >= kind.idempotency_window_ms - self.settings.tick_ms:
                    return False
                if kind.idempotency_scope is IdempotencyScope.CELL and arm.entry.cell != first.cell:
                    return False
                if kind.idempotency_scope is IdempotencyScope.ZONE and arm.entry.zone != first.zone:
                    return False
        return self._warm_enough(arm)

    def _warm_enough(self, arm: Arm) -> bool:
        """A cold server has at most half as many calls out as the mean of all, so none is pushed over."""
        start = arm.entry.started_ms
        if not start or self.now - start >= self.settings.warm_up_ms:
            return True
        mean = sum(a.out for a in self.listed) / len(self.listed)
        return arm.out <= max(0.0, 0.5 * mean)

    def _give_up(self, number: int, request: Open) -> list[Action]:
        del self.open[number]
        kind = request.kind
        harmless = kind.effect is Effect.SAFE or (
            kind.effect is Effect.KEYED and kind.idempotency_scope is IdempotencyScope.ALL
        )
        if request.risky() and not harmless:
            return [Fail(number)]
        return [Reject(number)]


class RandomChoice(Plain):
    """Any allowed server, all alike."""

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        return allowed[int(self.rng.random() * len(allowed))]


class RoundRobin(Plain):
    """One after another, from a start of its own."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = int(self.rng.random() * 1000)

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        self.turn += 1
        return allowed[self.turn % len(allowed)]


class LeastOutstanding(Plain):
    """The fewest calls of this node out; ties by chance."""

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        fewest = min(a.out for a in allowed)
        tied = [a for a in allowed if a.out == fewest]
        return tied[int(self.rng.random() * len(tied))]


class PeakEwma(Plain):
    """Power of two choices with peak EWMA: of two drawn, the one of less decayed peak latency times calls.

    The estimator that service meshes use: a latency above the average replaces it, one below decays it.
    """

    def learn(self, arm: Arm, event: AttemptEnded) -> None:
        if event.outcome is Outcome.CANCELLED:
            return
        latency = event.elapsed_ms
        if event.outcome in (Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.RESET):
            latency = max(latency, 2.0 * arm.cost)  # a quick failure is no quick answer
        if latency > arm.cost:
            arm.cost = latency
        else:
            keep = math.exp(-(self.now - arm.cost_at) / EWMA_MS)
            arm.cost = arm.cost * keep + latency * (1.0 - keep)
        arm.cost_at = self.now

    def _load(self, arm: Arm) -> float:
        cost = arm.cost * math.exp(-(self.now - arm.cost_at) / (4.0 * EWMA_MS))
        return (cost + 1.0) * (arm.out + 1)

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        one = allowed[int(self.rng.random() * len(allowed))]
        two = allowed[int(self.rng.random() * len(allowed))]
        return min(one, two, key=self._load)


class TrueState(Plain):
    """Sees every server as it is: the least work before a call at its rate, and refuses what must be late.

    No real node can do this; it marks what a policy might reach at the most.
    """

    def __init__(self, settings: Settings, seed: int, platform: Platform) -> None:
        super().__init__(settings, seed)
        self.platform = platform

    def _expected(self, arm: Arm, request: Open) -> float:
        server: SimServer = self.platform.servers[arm.entry.server]
        rate = server.rate() * (1.0 - server.trouble.errors) * server.kind.cores
        if rate <= 0.0 or server.trouble.cut or not server.up:
            return math.inf
        work = request.units * server.tier.work_part
        waiting = server.backlog() + 0.5 * work * max(0, server.outstanding() - server.kind.cores)
        full = server.outstanding() >= server.kind.slots + server.kind.waiting_room
        return math.inf if full else (waiting + work) / rate

    def _warm_enough(self, arm: Arm) -> bool:
        return True  # a cold server's rate is seen as it is, and no more is sent than is soon done

    def admits(self, allowed: list[Arm], request: Open) -> bool:
        if self.settings.tier:
            return True
        best = min(self._expected(a, request) for a in allowed)
        return best <= 0.5 * request.kind.latency_objective_ms

    def choose(self, allowed: list[Arm], request: Open) -> Arm:
        return min(allowed, key=lambda a: (self._expected(a, request), a.out, a.entry.server))


def names() -> Iterable[str]:
    """The baselines by name."""
    return ("random", "round-robin", "least-outstanding", "p2c-peak-ewma", "true-state")
