"""Servers in simulated time: slots, a waiting room, connections, slow start, contention and faults.

A server is a G/G/k queue whose service rate changes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from crowpost.decision_api import EndpointEntry, Outcome, Readiness
from crowpost.lab.cores import Contention, Cores
from crowpost.lab.engine import Engine
from crowpost.lab.scenario import Kind, Limits, Tier

if TYPE_CHECKING:
    from crowpost.lab.nodes import SimNode, SimulatedRequest

ERROR_MS = 1.0  # duration of a call that fails at once
WARM_UP_STEPS = 12  # times that the rate of a server is updated while it is warming up
OVERLOAD_SLACK = 1.2  # margin of the load budget of a server that is warming up, for random variation


@dataclass(slots=True, eq=False)
class Call:
    """One attempt as its server sees it."""

    request: SimulatedRequest
    number: int
    node: SimNode
    server: SimServer
    epoch: int  # server process that the connection leads to
    sent: float
    work: float = 0.0  # work in ms that no core has been given yet
    informed: bool = True  # whether the sending node knows of the server's present process
    calls_left: int = 0
    ended: bool = False  # its outcome has been reported to the node
    cancelled: bool = False
    child_request: SimulatedRequest | None = None  # the call to the next tier that it waits for


@dataclass(slots=True)
class ActiveFaults:
    """Faults that are active on a server; they combine."""

    errors: float = 0.0
    spoilt: float = 0.0
    slower: float = 1.0
    taken: float = 0.0  # share of the machine that a neighbour uses
    paused: bool = False
    unresponsive: bool = False
    idle_ms: float | None = None  # closes idle connections after this long


@dataclass(slots=True)
class ServerCounts:
    """Counts of a server over the run."""

    calls: int = 0
    served: int = 0
    rejected: int = 0


@dataclass(slots=True)
class WarmingServerLoad:
    """Work sent to a server that is warming up within the last window, for rule 4."""

    window: deque[tuple[float, float, bool]] = field(default_factory=deque)
    total: float = 0.0
    from_informed: float = 0.0

    def add(self, now: float, work: float, informed: bool, span: float) -> None:
        """Add work that arrives, and remove what is older than the window `span` in ms."""
        self.window.append((now, work, informed))
        self.total += work
        self.from_informed += work if informed else 0.0
        while self.window[0][0] < now - span:
            _, expired, was_informed = self.window.popleft()
            self.total -= expired
            self.from_informed -= expired if was_informed else 0.0


class SimServer:
    """One server. Its id stays the same over restarts; `epoch` counts its processes."""

    def __init__(
        self,
        engine: Engine,
        tier: Tier,
        stage: int,
        kind: Kind,
        kind_index: int,
        name: bytes,
        zone: int,
        cell: int,
        rng: Random,
        limits: Limits,
    ) -> None:
        self.engine, self.tier, self.stage, self.kind = engine, tier, stage, kind
        self.name, self.zone, self.cell, self.kind_index = name, zone, cell, kind_index
        self.rng, self.limits = rng, limits
        self.place = 0  # index in its tier
        self.speed = kind.speed[0] + (kind.speed[1] - kind.speed[0]) * rng.random()
        self.up = True
        self.overloaded = False
        self.draining = False
        self.epoch = 0
        self.started = 0.0  # 0: before the run, so it is warm
        self.faults = ActiveFaults()
        self.counts = ServerCounts()
        self.connections = 0
        self.node: SimNode | None = None  # its own node, for calls to the next tier
        self.on_answer: Callable[[Call, Outcome], None]
        self.on_overload: Callable[[SimServer, float], None]
        self.report: tuple[float, ...] = (0.0, 0.0, 0.0)
        self._report_at = -1e9
        self.report_delay = 0.0
        self._errors = deque[float]()
        self._slots: set[Call] = set()
        self._queue: deque[Call] = deque()
        self._warming_load = WarmingServerLoad()
        self.contention = Contention(engine, tier.crowding, kind.cores, self.retime)
        self._cores = Cores(engine, kind.cores, self.rate, self._update_contention)

    # ------------------------------------------------------------ rate

    def warm_up_fraction(self) -> float:
        """Return the part of its full capacity that the server has now."""
        if not self.started:
            return 1.0
        age = (self.engine.now - self.started) / self.kind.warm_up_ms
        return min(1.0, self.kind.cold_from + (1.0 - self.kind.cold_from) * max(age, 0.0))

    def rate(self) -> float:
        """Return the work in ms that each core does in a ms."""
        faults = self.faults
        if faults.paused or not self.up:
            return 0.0
        return (
            self.speed
            * self.warm_up_fraction()
            * (1.0 - faults.taken)
            / (faults.slower * self.contention.slower)
        )

    def backlog(self) -> float:
        """Return the work in ms ahead of a call that arrives now, except calls waiting for the next tier."""
        return self._cores.backlog() + sum(call.work for call in self._queue)

    def outstanding(self) -> int:
        """Return the number of calls that are waiting or in work."""
        return len(self._slots) + len(self._queue)

    def retime(self) -> None:
        """Recompute the ends of running work after a change of the rate."""
        self._cores.retime()

    def _update_contention(self) -> None:
        self.contention.watch(self._cores.waiting + len(self._queue), self._cores.busy)

    # ------------------------------------------------------------ calls

    def connect(self) -> None:
        """Accept a connection: its handshake takes time of a core."""
        self.connections += 1
        self._cores.compute(self.kind.handshake_work_ms, _no_op)

    def check_health(self, on_done: Callable[[], None]) -> None:
        """Answer a health check, which takes time of a core as well."""
        self._cores.compute(self.kind.probe_work_ms, on_done)

    def receive(self, call: Call) -> None:
        """Receive a call whose last byte has arrived."""
        if call.epoch != self.epoch or not self.up:
            self.on_answer(call, Outcome.RESET)
            return
        if self.faults.unresponsive:
            self.connections -= 1  # the call is never answered
            return
        self.counts.calls += 1
        work = self._draw_work(call)
        if self.started and self.warm_up_fraction() < 1.0 and self._overloads(call, work):
            return
        errors = self.faults.errors or self.kind.error_rate
        if errors and self.rng.random() < errors:
            self._errors.append(self.engine.now)
            self.engine.after(ERROR_MS, self.on_answer, call, Outcome.ERROR)
        elif len(self._slots) < self.kind.slots:
            self._start(call, work)
        elif len(self._queue) < self.kind.waiting_room:
            call.work = work
            self._queue.append(call)
            self._update_contention()
        else:
            self.counts.rejected += 1
            self.on_answer(call, Outcome.FULL)

    def _draw_work(self, call: Call) -> float:
        noise = 0.8 + 0.4 * self.rng.random()
        return call.request.work * self.tier.work_part * noise

    def _overloads(self, call: Call, work: float) -> bool:
        """Return whether a call overloads a server that is warming up (rule 4); it then stops permanently."""
        limits = self.limits
        self._warming_load.add(self.engine.now, work, call.informed, limits.overload_window_ms)
        capacity = self.speed * self.kind.cores * self.warm_up_fraction()
        budget = OVERLOAD_SLACK * limits.overload_factor * capacity * limits.overload_window_ms
        if self._warming_load.total <= budget:
            return False
        informed = self._warming_load.from_informed / self._warming_load.total
        self.overloaded = True
        self.stop()
        self.on_overload(self, informed)
        return True

    def _start(self, call: Call, work: float) -> None:
        self._slots.add(call)
        call.calls_left = call.request.calls[self.stage]
        half = 0.5 * work if call.calls_left else work
        call.work = work - half
        self._cores.compute(half, lambda: self._call_next_tier(call, self.epoch))

    def _call_next_tier(self, call: Call, epoch: int) -> None:
        """Make the calls to the next tier that the request needs, then do the second half of the work."""
        if epoch != self.epoch:
            return
        if call.calls_left and self.node is not None:
            call.calls_left -= 1
            call.child_request = self.node.accept_from_server(
                call, lambda served: self._next_tier_answered(call, epoch, served)
            )
        else:
            self._cores.compute(call.work, lambda: self._answer(call, epoch, Outcome.OK))

    def _next_tier_answered(self, call: Call, epoch: int, served: bool) -> None:
        call.child_request = None
        if served:
            self._call_next_tier(call, epoch)
        else:
            self._answer(call, epoch, Outcome.ERROR)

    def _answer(self, call: Call, epoch: int, outcome: Outcome) -> None:
        if epoch != self.epoch:
            return
        self._slots.discard(call)
        if outcome is Outcome.OK:
            self.counts.served += 1
            if self.faults.spoilt and self.rng.random() < self.faults.spoilt:
                outcome = Outcome.RESET
        else:
            self._errors.append(self.engine.now)
        while self._queue and len(self._slots) < self.kind.slots:
            waiting = self._queue.popleft()
            if not (waiting.cancelled and self.tier.drops_cancelled):
                self._start(waiting, waiting.work)
        if self.faults.unresponsive:
            self.connections -= 1
        else:
            self.on_answer(call, outcome)

    @property
    def work(self) -> float:
        """Work in ms of a core of speed 1 that the server has accepted over the run."""
        return self._cores.done_work

    def load(self) -> tuple[float, ...]:
        """Return the load report: outstanding, backlog, errors a second; refreshed every report interval."""
        now = self.engine.now
        if now - self._report_at >= self.tier.report_ms + self.report_delay:
            self._report_at = now
            while self._errors and self._errors[0] < now - 1000.0:
                self._errors.popleft()
            self.report = (
                float(self.outstanding()),
                float(self._cores.waiting + len(self._queue)),
                float(len(self._errors)),
            )
        return self.report

    # ------------------------------------------------------------ process

    def stop(self) -> list[Call]:
        """End the process and return its unfinished calls; the node of each sees a reset."""
        unfinished = [*self._slots, *self._queue]
        unfinished.sort(key=lambda call: (call.sent, call.request.id, call.number))
        self._slots.clear()
        self._queue.clear()
        self._cores.clear()
        self.contention.clear()
        self.up = False
        self.epoch += 1
        self.connections = 0
        if self.node is not None:
            self.node.stop()
            self.node = None
        for call in unfinished:
            self.on_answer(call, Outcome.RESET)
        return unfinished

    def start(self) -> None:
        """Start a new process, which warms up."""
        if self.overloaded:
            return
        self.up, self.draining = True, False
        self.started = self.engine.now
        self._warming_load = WarmingServerLoad()
        self.retime()
        for step in range(1, WARM_UP_STEPS + 1):
            self.engine.after(step * self.kind.warm_up_ms / WARM_UP_STEPS, self._warm, self.epoch)

    def _warm(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.retime()

    def entry(self) -> EndpointEntry:
        """Return the row of the server in the endpoint list."""
        if not self.up:
            readiness = Readiness.GONE
        else:
            readiness = Readiness.DRAINING if self.draining else Readiness.READY
        return EndpointEntry(self.name, readiness, 1.0, self.kind_index, self.zone, self.cell, self.started)


def _no_op() -> None:
    """Do nothing: no call follows a handshake."""
