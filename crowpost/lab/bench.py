"""The cost of a decision: processor time and memory of the module alone, by the number of servers."""

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

MAX_IN_FLIGHT = 4  # calls in flight at once
STEP_MS = 5.0  # time between two requests
PolicyBuilder = Callable[[Settings, int], Policy]


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost at one number of servers.

    us of processor time for a request from arrival to outcome, ms for a change of the list and for the
    slowest change of a mass replacement, bytes for each server and for each open request.
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
    """Return list entries of this many servers, of three kinds."""
    names = (f"s-{first + i}".encode() for i in range(count))
    return tuple(
        EndpointEntry(name, kind=i % 3, cell=i // 6, started_ms=started_ms) for i, name in enumerate(names)
    )


class LoadDriver:
    """Sends one policy a steady stream of requests; each is answered while the next few are in flight."""

    def __init__(self, policy: Policy, seed: int) -> None:
        self.policy, self.rng = policy, Random(seed)
        self.now, self.number = 1.0, 0
        self.in_flight: deque[tuple[int, bytes, float]] = deque()
        self.timers: list[tuple[float, int]] = []

    def feed(self, event: Event) -> None:
        """Pass one event to the policy, and record the sends and timers that follow."""
        for action in self.policy.handle(event, self.now):
            if isinstance(action, Send):
                self.in_flight.append((action.request, action.server, self.now))
            elif isinstance(action, SetTimer):
                self.timers.append((action.at_ms, action.token))

    def requests(self, count: int) -> None:
        """Pass this many requests through the policy, from arrival to outcome."""
        for _ in range(count):
            self.now += STEP_MS
            for due in [timer for timer in self.timers if timer[0] <= self.now]:
                self.timers.remove(due)
                self.feed(TimerFired(due[1]))
            self.number += 1
            self.feed(RequestArrived(self.number, self.number % 2, 6000.0))
            while len(self.in_flight) > MAX_IN_FLIGHT:
                request, server, sent = self.in_flight.popleft()
                elapsed = (self.now - sent) * (0.5 + self.rng.random())
                self.feed(AttemptEnded(request, 0, server, Outcome.OK, elapsed, True, (2.0,)))


def _longest_ms(calls: list[Callable[[], None]]) -> float:
    longest = 0.0
    for call in calls:
        began = time.process_time()
        call()
        longest = max(longest, time.process_time() - began)
    return longest * 1000.0


def cost(build_policy: PolicyBuilder, servers: int, requests: int = 2000) -> Cost:
    """Return the measured cost at one number of servers."""
    driver = LoadDriver(build_policy(_settings(), 1), 1)
    driver.feed(EndpointList(ListKind.FULL, rows(servers)))
    driver.requests(max(200, servers // 20))
    began = time.process_time()
    driver.requests(requests)
    request_us = (time.process_time() - began) / requests * 1e6
    # Mass replacement: 60% of the servers are replaced within 7 s, in 35 list updates.
    batch = max(1, servers * 6 // 10 // 35)
    changes = []
    for i in range(min(35, servers)):
        replaced = rows(batch, i * batch)
        removed = tuple(EndpointEntry(entry.server, Readiness.GONE) for entry in replaced)
        added = rows(batch, servers + i * batch, started_ms=driver.now)
        changes.append(EndpointList(ListKind.CHANGES, removed + added))
    began = time.process_time()

    def change(event: EndpointList) -> Callable[[], None]:
        return lambda: driver.feed(event)

    longest_change_ms = _longest_ms([change(event) for event in changes])
    change_ms = (time.process_time() - began) / len(changes) * 1000.0
    return Cost(servers, request_us, change_ms, longest_change_ms, *_memory(build_policy, servers))


def _memory(build_policy: PolicyBuilder, servers: int) -> tuple[float, float]:
    tracemalloc.start()
    try:
        policy = build_policy(_settings(), 1)
        endpoint_list = EndpointList(ListKind.FULL, rows(servers))
        before = tracemalloc.get_traced_memory()[0]
        policy.handle(endpoint_list, 1.0)
        list_bytes = tracemalloc.get_traced_memory()[0] - before
        open_requests = 300
        before = tracemalloc.get_traced_memory()[0]
        for i in range(open_requests):
            policy.handle(RequestArrived(i, 0, 6000.0), 1.0)
        request_bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    return list_bytes / servers, request_bytes / open_requests
