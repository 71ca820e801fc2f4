"""Many decision modules with simulated endpoints, in simulated time: what all of them together send."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost import Balancer
from crowpost.decision_api import (
    Action,
    AttemptEnded,
    EndpointEntry,
    EndpointId,
    EndpointList,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)


@dataclass
class Work:
    """One attempt at an endpoint."""

    node: int
    request: int
    attempt: int
    units: float
    sent_at: float


@dataclass
class SimServer:
    """An endpoint that works on `slots` attempts at once, queues a few, and rejects more as full."""

    slots: int
    mean_ms: float
    max_queued: int
    started: float = 0.0
    warm_up_ms: float = 0.0
    initial_fraction: float = 1.0
    busy: int = 0
    queue: deque[Work] = field(default_factory=deque)
    received: list[tuple[float, float]] = field(default_factory=list)  # Arrival times in ms and units of work

    def restart(self, now: float, warm_up_ms: float, initial_fraction: float) -> None:
        """Start a new process, which warms up and has no attempts in flight."""
        self.started, self.warm_up_ms, self.initial_fraction = now, warm_up_ms, initial_fraction

    def speed(self, now: float) -> float:
        """Return the part of its full capacity that the endpoint has now."""
        if not self.warm_up_ms or now >= self.started + self.warm_up_ms:
            return 1.0
        return self.initial_fraction + (1.0 - self.initial_fraction) * (now - self.started) / self.warm_up_ms

    def per_ms(self) -> float:
        """Return the units of work per ms that the endpoint can do when warm."""
        return self.slots / self.mean_ms


class Fleet:
    """The nodes of one tier, and the endpoints that they call; times are ms."""

    def __init__(self, settings: list[Settings], servers: dict[EndpointId, SimServer], seed: int) -> None:
        self.now = 0.0
        self.servers = servers
        self.rng = random.Random(seed)
        self.nodes = [Balancer(node_settings, 1000 * seed + i) for i, node_settings in enumerate(settings)]
        self.entries: dict[EndpointId, EndpointEntry] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._ids = itertools.count(1)
        self._units: dict[int, float] = {}
        self._attempts: dict[int, int] = {}
        self.served = 0

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self._events, (when, next(self._event_numbers), callback))

    def run(self, until: float) -> None:
        """Run all scheduled calls up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    def feed_list(self, *entries: EndpointEntry) -> None:
        """Feed the list with these endpoints, and those before, to all nodes at once."""
        self.entries |= {entry.server: entry for entry in entries}
        for node in range(len(self.nodes)):
            self.feed(node, EndpointList(ListKind.FULL, tuple(self.entries.values())))

    def feed(self, node: int, event: Event) -> None:
        for action in self.nodes[node].handle(event, self.now):
            self._carry_out(node, action)

    def _carry_out(self, node: int, action: Action) -> None:
        match action:
            case SetTimer(token, at_ms):
                self.at(max(at_ms, self.now), lambda: self.feed(node, TimerFired(token)))
            case Send(request, server):
                number = self._attempts.get(request, 0)
                self._attempts[request] = number + 1
                work = Work(node, request, number, self._units[request], self.now)
                self._receive(server, work)

    def send_request(self, node: int, units: float, hinted: bool) -> None:
        """Send a request to a node."""
        request = next(self._ids)
        self._units[request] = units
        hint = 100.0 * units if hinted else None
        self.feed(node, RequestArrived(request, 0, 2000.0, cost_hint_ms=hint))

    def _receive(self, name: EndpointId, work: Work) -> None:
        server = self.servers[name]
        server.received.append((self.now, work.units))
        if server.busy < server.slots:
            self._serve(name, work)
        elif len(server.queue) < server.max_queued:
            server.queue.append(work)
        else:
            self.at(self.now + 1.0, lambda: self._end(name, work, Outcome.FULL))

    def _serve(self, name: EndpointId, work: Work) -> None:
        server = self.servers[name]
        server.busy += 1
        duration_ms = server.mean_ms * work.units * self.rng.uniform(0.5, 1.5) / server.speed(self.now)

        def done() -> None:
            server.busy -= 1
            if server.queue:
                self._serve(name, server.queue.popleft())
            self._end(name, work, Outcome.OK)

        self.at(self.now + duration_ms, done)

    def _end(self, name: EndpointId, work: Work, outcome: Outcome) -> None:
        event = AttemptEnded(
            work.request, work.attempt, name, outcome, self.now - work.sent_at, outcome is Outcome.OK
        )
        self.served += outcome is Outcome.OK
        self.feed(work.node, event)


def max_excess_work(
    received: list[tuple[float, float]], span_ms: float, budget_at: Callable[[float], float]
) -> float:
    """Return the most work in any window beyond its budget and a margin; below 0 if there is none.

    The budget is that at the start of the window.  The margin for chance, as the operators define it, is
    twice the square root of the budget, plus 2.
    """
    worst, first, work = -float("inf"), 0, 0.0
    for at_ms, units in received:
        work += units
        while received[first][0] <= at_ms - span_ms:
            work -= received[first][1]
            first += 1
        budget = budget_at(received[first][0])
        worst = max(worst, work - budget - 2.0 * budget**0.5 - 2.0)
    return worst
