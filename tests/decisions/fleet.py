"""Many decision modules before stand-in servers, in simulated time: what all of them together send."""

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
    """One attempt at a server."""

    node: int
    request: int
    attempt: int
    units: float
    sent: float


@dataclass
class SimServer:
    """So many calls at once, a short queue, and a plain 'full' to what is more."""

    slots: int
    mean_ms: float
    queue_most: int
    started: float = 0.0
    warm_up_ms: float = 0.0
    cold_share: float = 1.0
    busy: int = 0
    queue: deque[Work] = field(default_factory=deque)
    got: list[tuple[float, float]] = field(default_factory=list)  # times in ms, and units of work

    def begin(self, now: float, warm_up_ms: float, cold_share: float) -> None:
        """A new process, cold, that holds nothing."""
        self.started, self.warm_up_ms, self.cold_share = now, warm_up_ms, cold_share

    def speed(self, now: float) -> float:
        """The part of its capacity that it has now."""
        if not self.warm_up_ms or now >= self.started + self.warm_up_ms:
            return 1.0
        return self.cold_share + (1.0 - self.cold_share) * (now - self.started) / self.warm_up_ms

    def per_ms(self) -> float:
        """Units of work that it bears once warm."""
        return self.slots / self.mean_ms


class Fleet:
    """The nodes of one tier; times are ms."""

    def __init__(self, settings: list[Settings], servers: dict[EndpointId, SimServer], seed: int) -> None:
        self.now = 0.0
        self.servers = servers
        self.rng = random.Random(seed)
        self.nodes = [Balancer(kept, 1000 * seed + i) for i, kept in enumerate(settings)]
        self.rows: dict[EndpointId, EndpointEntry] = {}
        self._plan: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._units: dict[int, float] = {}
        self._attempts: dict[int, int] = {}
        self.answered = 0

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Plan something."""
        heapq.heappush(self._plan, (when, next(self._order), do))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._plan and self._plan[0][0] <= until:
            self.now, _, do = heapq.heappop(self._plan)
            do()
        self.now = until

    def tell(self, *entries: EndpointEntry) -> None:
        """All nodes hear of these servers at once."""
        self.rows |= {entry.server: entry for entry in entries}
        for node in range(len(self.nodes)):
            self.feed(node, EndpointList(ListKind.FULL, tuple(self.rows.values())))

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
                self._take(server, work)

    def ask(self, node: int, units: float, hinted: bool) -> None:
        """A request at a node."""
        request = next(self._ids)
        self._units[request] = units
        hint = 100.0 * units if hinted else None
        self.feed(node, RequestArrived(request, 0, 2000.0, cost_hint_ms=hint))

    def _take(self, name: EndpointId, work: Work) -> None:
        server = self.servers[name]
        server.got.append((self.now, work.units))
        if server.busy < server.slots:
            self._begin(name, work)
        elif len(server.queue) < server.queue_most:
            server.queue.append(work)
        else:
            self.at(self.now + 1.0, lambda: self._end(name, work, Outcome.FULL))

    def _begin(self, name: EndpointId, work: Work) -> None:
        server = self.servers[name]
        server.busy += 1
        took = server.mean_ms * work.units * self.rng.uniform(0.5, 1.5) / server.speed(self.now)

        def done() -> None:
            server.busy -= 1
            if server.queue:
                self._begin(name, server.queue.popleft())
            self._end(name, work, Outcome.OK)

        self.at(self.now + took, done)

    def _end(self, name: EndpointId, work: Work, outcome: Outcome) -> None:
        event = AttemptEnded(
            work.request, work.attempt, name, outcome, self.now - work.sent, outcome is Outcome.OK
        )
        self.answered += outcome is Outcome.OK
        self.feed(work.node, event)


def heaviest(got: list[tuple[float, float]], span: float, allowed: Callable[[float], float]) -> float:
    """Work of the worst window of this length beyond the budget at its first, and chance; below 0: none.

    Chance is 2 roots of the budget and 2, as the operators put it.
    """
    worst, first, work = -float("inf"), 0, 0.0
    for until, units in got:
        work += units
        while got[first][0] <= until - span:
            work -= got[first][1]
            first += 1
        budget = allowed(got[first][0])
        worst = max(worst, work - budget - 2.0 * budget**0.5 - 2.0)
    return worst
