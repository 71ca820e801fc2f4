"""What a decision costs: processor time and memory of the module alone, by the size of its fleet."""

from __future__ import annotations

import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from crowpost.decision_api import (
    AttemptEnded,
    Effect,
    EndpointEntry,
    EndpointList,
    Event,
    ListKind,
    Outcome,
    Readiness,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from crowpost.lab.nodes import Policy

OUT = 4  # calls out at once
STEP_MS = 5.0  # between two requests
Make = Callable[[Settings, int], Policy]


@dataclass(frozen=True, slots=True)
class Cost:
    """One size of fleet.

    us of processor time for a request from arrival to outcome, ms for a change of the list and for the
    dearest of those in a storm, bytes for each server and for each request that is open.
    """

    servers: int
    request_us: float
    change_ms: float
    storm_most_ms: float
    server_bytes: float
    request_bytes: float


def _settings() -> Settings:
    classes = (
        RequestClass("look", 2500.0, 6000.0),
        RequestClass("book", 2500.0, 6000.0, 5.0, 0.0, Effect.UNSAFE),
    )
    return Settings(classes, max_attempts=5, may_check_health=True, load_report_columns=("outstanding",))


def rows(count: int, first: int = 0, started_ms: float = 0.0) -> tuple[EndpointEntry, ...]:
    """A list of so many servers of three kinds."""
    names = (f"s-{first + i}".encode() for i in range(count))
    return tuple(
        EndpointEntry(n, kind=i % 3, cell=i // 6, started_ms=started_ms) for i, n in enumerate(names)
    )


class Drive:
    """Feeds one policy a steady stream: each request is answered while the next few are out."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.policy, self.rng = policy, Random(seed)
        self.now, self.number = 1.0, 0
        self.out: deque[tuple[int, bytes, float]] = deque()
        self.timers: list[tuple[float, int]] = []

    def feed(self, event: Event) -> None:
        """One event, and its sends and timers."""
        for action in self.policy.handle(event, self.now):
            if isinstance(action, Send):
                self.out.append((action.request, action.server, self.now))
            elif isinstance(action, SetTimer):
                self.timers.append((action.at_ms, action.token))

    def requests(self, count: int) -> None:
        """So many requests from arrival to outcome."""
        for _ in range(count):
            self.now += STEP_MS
            for due in [t for t in self.timers if t[0] <= self.now]:
                self.timers.remove(due)
                self.feed(TimerFired(due[1]))
            self.number += 1
            self.feed(RequestArrived(self.number, self.number % 2, 6000.0))
            while len(self.out) > OUT:
                request, server, sent = self.out.popleft()
                elapsed = (self.now - sent) * (0.5 + self.rng.random())
                self.feed(AttemptEnded(request, 0, server, Outcome.OK, elapsed, True, (2.0,)))


def _dearest(work: list[Callable[[], None]]) -> float:
    most = 0.0
    for call in work:
        began = time.process_time()
        call()
        most = max(most, time.process_time() - began)
    return most * 1000.0


def cost(make: Make, servers: int, requests: int = 2000) -> Cost:
    """Measure one size of fleet."""
    drive = Drive(make(_settings(), 1), 1)
    drive.feed(EndpointList(ListKind.FULL, rows(servers)))
    drive.requests(max(200, servers // 20))
    began = time.process_time()
    drive.requests(requests)
    request_us = (time.process_time() - began) / requests * 1e6
    # A storm: six in ten are replaced within seven seconds, in 35 pushes.
    batch = max(1, servers * 6 // 10 // 35)
    changes = []
    for i in range(min(35, servers)):
        names = rows(batch, i * batch)
        gone = tuple(EndpointEntry(r.server, Readiness.GONE) for r in names)
        new = rows(batch, servers + i * batch, started_ms=drive.now)
        changes.append(EndpointList(ListKind.CHANGES, gone + new))
    began = time.process_time()

    def change(event: EndpointList) -> Callable[[], None]:
        return lambda: drive.feed(event)

    storm = _dearest([change(event) for event in changes])
    change_ms = (time.process_time() - began) / len(changes) * 1000.0
    return Cost(servers, request_us, change_ms, storm, *_memory(make, servers))


def _memory(make: Make, servers: int) -> tuple[float, float]:
    tracemalloc.start()
    try:
        policy = make(_settings(), 1)
        listed = EndpointList(ListKind.FULL, rows(servers))
        before = tracemalloc.get_traced_memory()[0]
        policy.handle(listed, 1.0)
        taken = tracemalloc.get_traced_memory()[0] - before
        open_requests = 300
        before = tracemalloc.get_traced_memory()[0]
        for i in range(open_requests):
            policy.handle(RequestArrived(i, 0, 6000.0), 1.0)
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    return taken / servers, held / open_requests
