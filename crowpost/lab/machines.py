"""Servers in simulated time: slots, a waiting room, connections, cold starts, crowding and faults.

A server is a queue of the field's ordinary kind, a G/G/k station whose rate changes.
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

ERROR_MS = 1.0  # a quick error takes this long
COLD_STEPS = 12  # a cold server's rate is set anew this often until it is warm
FALL_SLACK = 1.2  # what chance may add to the budget of a cold server


@dataclass(slots=True, eq=False)
class Call:
    """One attempt as its server sees it."""

    request: SimulatedRequest
    number: int
    node: SimNode
    server: SimServer
    epoch: int  # of the server's process that the connection leads to
    sent: float
    work: float = 0.0  # left for the half in hand
    told: bool = True  # the node that sent it knows of the server's present process
    calls_left: int = 0
    over: bool = False  # its outcome has been given to the node
    cancelled: bool = False
    below: SimulatedRequest | None = None  # the call that it waits for in the next tier


@dataclass(slots=True)
class Trouble:
    """What is wrong with a server at the moment; the parts add up."""

    errors: float = 0.0
    spoilt: float = 0.0
    slower: float = 1.0
    taken: float = 0.0  # share of the machine that a neighbour has
    paused: bool = False
    cut: bool = False  # the machine says nothing
    idle_ms: float | None = None  # closes idle connections after this long


@dataclass(slots=True)
class Tally:
    """What a server did over the run."""

    calls: int = 0
    served: int = 0
    turned_away: int = 0


@dataclass(slots=True)
class Pressure:
    """Work sent to a cold server within the last window, for rule 4."""

    window: deque[tuple[float, float, bool]] = field(default_factory=deque)
    total: float = 0.0
    from_told: float = 0.0

    def add(self, now: float, work: float, told: bool, span: float) -> None:
        """Count work that comes in; what came before the span falls out."""
        self.window.append((now, work, told))
        self.total += work
        self.from_told += work if told else 0.0
        while self.window[0][0] < now - span:
            _, gone, knew = self.window.popleft()
            self.total -= gone
            self.from_told -= gone if knew else 0.0


class SimServer:
    """One server.  Its id stays the same over restarts; `epoch` counts its processes."""

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
        self.place = 0  # in its tier
        self.speed = kind.speed[0] + (kind.speed[1] - kind.speed[0]) * rng.random()
        self.up = True
        self.fallen = False
        self.draining = False
        self.epoch = 0
        self.started = 0.0  # 0: long ago
        self.trouble = Trouble()
        self.tally = Tally()
        self.connections = 0
        self.node: SimNode | None = None  # its own, for the next tier
        self.on_answer: Callable[[Call, Outcome], None]
        self.on_fall: Callable[[SimServer, float], None]
        self.report: tuple[float, ...] = (0.0, 0.0, 0.0)
        self._report_at = -1e9
        self.report_delay = 0.0
        self._errors = deque[float]()
        self._slots: set[Call] = set()
        self._room: deque[Call] = deque()
        self._pressure = Pressure()
        self.crowd = Contention(engine, tier.crowding, kind.cores, self.retime)
        self._cores = Cores(engine, kind.cores, self.rate, self._watch_crowd)

    # ------------------------------------------------------------ rate

    def ramp(self) -> float:
        """The part of its capacity that it has by now."""
        if not self.started:
            return 1.0
        age = (self.engine.now - self.started) / self.kind.warm_up_ms
        return min(1.0, self.kind.cold_from + (1.0 - self.kind.cold_from) * max(age, 0.0))

    def rate(self) -> float:
        """Work in ms that each core does in a ms."""
        trouble = self.trouble
        if trouble.paused or not self.up:
            return 0.0
        return self.speed * self.ramp() * (1.0 - trouble.taken) / (trouble.slower * self.crowd.slower)

    def backlog(self) -> float:
        """Work in ms that stands before a call that comes now, without what waits for the next tier."""
        return self._cores.backlog() + sum(c.work for c in self._room)

    def outstanding(self) -> int:
        """Calls held, waiting or in work."""
        return len(self._slots) + len(self._room)

    def retime(self) -> None:
        """What the rate hangs on has changed."""
        self._cores.retime()

    def _watch_crowd(self) -> None:
        self.crowd.watch(self._cores.waiting + len(self._room), self._cores.busy)

    # ------------------------------------------------------------ calls

    def connect(self) -> None:
        """A new connection: its handshake costs a core."""
        self.connections += 1
        self._cores.compute(self.kind.handshake_work_ms, _nothing)

    def probe(self, then: Callable[[], None]) -> None:
        """A probe costs a core as well."""
        self._cores.compute(self.kind.probe_work_ms, then)

    def take(self, call: Call) -> None:
        """A call's last byte has come."""
        if call.epoch != self.epoch or not self.up:
            self.on_answer(call, Outcome.RESET)
            return
        if self.trouble.cut:
            self.connections -= 1  # nothing is heard of it again
            return
        self.tally.calls += 1
        work = self._work_of(call)
        if self.started and self.ramp() < 1.0 and self._pressed(call, work):
            return
        errors = self.trouble.errors or self.kind.error_rate
        if errors and self.rng.random() < errors:
            self._errors.append(self.engine.now)
            self.engine.after(ERROR_MS, self.on_answer, call, Outcome.ERROR)
        elif len(self._slots) < self.kind.slots:
            self._start(call, work)
        elif len(self._room) < self.kind.waiting_room:
            call.work = work
            self._room.append(call)
            self._watch_crowd()
        else:
            self.tally.turned_away += 1
            self.on_answer(call, Outcome.FULL)

    def _work_of(self, call: Call) -> float:
        noise = 0.8 + 0.4 * self.rng.random()
        return call.request.work * self.tier.work_part * noise

    def _pressed(self, call: Call, work: float) -> bool:
        """Rule 4: whether this call is one more than a cold server bears; it then falls and stays down."""
        limits = self.limits
        self._pressure.add(self.engine.now, work, call.told, limits.overload_window_ms)
        capacity = self.speed * self.kind.cores * self.ramp()
        most = FALL_SLACK * limits.overload_factor * capacity * limits.overload_window_ms
        if self._pressure.total <= most:
            return False
        told = self._pressure.from_told / self._pressure.total
        self.fallen = True
        self.stop()
        self.on_fall(self, told)
        return True

    def _start(self, call: Call, work: float) -> None:
        self._slots.add(call)
        call.calls_left = call.request.calls[self.stage]
        half = 0.5 * work if call.calls_left else work
        call.work = work - half
        self._cores.compute(half, lambda: self._descend(call, self.epoch))

    def _descend(self, call: Call, epoch: int) -> None:
        """Call the next tier as often as the request wants, then do the other half."""
        if epoch != self.epoch:
            return
        if call.calls_left and self.node is not None:
            call.calls_left -= 1
            call.below = self.node.accept_below(call, lambda served: self._back(call, epoch, served))
        else:
            self._cores.compute(call.work, lambda: self._answer(call, epoch, Outcome.OK))

    def _back(self, call: Call, epoch: int, served: bool) -> None:
        call.below = None
        if served:
            self._descend(call, epoch)
        else:
            self._answer(call, epoch, Outcome.ERROR)

    def _answer(self, call: Call, epoch: int, outcome: Outcome) -> None:
        if epoch != self.epoch:
            return
        self._slots.discard(call)
        if outcome is Outcome.OK:
            self.tally.served += 1
            if self.trouble.spoilt and self.rng.random() < self.trouble.spoilt:
                outcome = Outcome.RESET
        else:
            self._errors.append(self.engine.now)
        while self._room and len(self._slots) < self.kind.slots:
            waiting = self._room.popleft()
            if not (waiting.cancelled and self.tier.drops_cancelled):
                self._start(waiting, waiting.work)
        if self.trouble.cut:
            self.connections -= 1
        else:
            self.on_answer(call, outcome)

    @property
    def work(self) -> float:
        """Work in ms of a core of speed 1 that it has taken on over the run."""
        return self._cores.done_work

    def load(self) -> tuple[float, ...]:
        """The load report of an answer: outstanding, backlog, errors a second; refreshed now and then."""
        now = self.engine.now
        if now - self._report_at >= self.tier.report_ms + self.report_delay:
            self._report_at = now
            while self._errors and self._errors[0] < now - 1000.0:
                self._errors.popleft()
            self.report = (
                float(self.outstanding()),
                float(self._cores.waiting + len(self._room)),
                float(len(self._errors)),
            )
        return self.report

    # ------------------------------------------------------------ life

    def stop(self) -> list[Call]:
        """The process ends; what it held is returned, each of which its node sees reset."""
        held = [*self._slots, *self._room]
        held.sort(key=lambda c: (c.sent, c.request.id, c.number))
        self._slots.clear()
        self._room.clear()
        self._cores.clear()
        self.crowd.clear()
        self.up = False
        self.epoch += 1
        self.connections = 0
        if self.node is not None:
            self.node.stop()
            self.node = None
        for call in held:
            self.on_answer(call, Outcome.RESET)
        return held

    def start(self) -> None:
        """A new process, cold."""
        if self.fallen:
            return
        self.up, self.draining = True, False
        self.started = self.engine.now
        self._pressure = Pressure()
        self.retime()
        for step in range(1, COLD_STEPS + 1):
            self.engine.after(step * self.kind.warm_up_ms / COLD_STEPS, self._warm, self.epoch)

    def _warm(self, epoch: int) -> None:
        if epoch == self.epoch:
            self.retime()

    def entry(self) -> EndpointEntry:
        """Its row in the list."""
        if not self.up:
            readiness = Readiness.GONE
        else:
            readiness = Readiness.DRAINING if self.draining else Readiness.READY
        return EndpointEntry(self.name, readiness, 1.0, self.kind_index, self.zone, self.cell, self.started)


def _nothing() -> None:
    """A handshake is followed by no call of its own."""
