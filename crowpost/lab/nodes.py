"""Nodes in simulated time: a policy behind the module's events and actions, and its connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Protocol

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    EndpointEntry,
    EndpointId,
    EndpointList,
    Event,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    ListKind,
    Log,
    NodesPresent,
    Outcome,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    StateRestored,
    Subscribe,
    TimerFired,
)
from crowpost.lab.engine import Engine, Planned
from crowpost.lab.machines import Call, SimServer
from crowpost.lab.rules import Tried

if TYPE_CHECKING:
    from crowpost.lab.platform import Platform

PROBE_TIMEOUT_MS = 400.0


class Policy(Protocol):
    """What decides: the decision module, a baseline, or an earlier version."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """The actions that follow from an event at a time in ms."""
        ...


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request as one node has it, and all that happened to it."""

    id: int
    kind: RequestClass
    class_index: int
    arrived: float
    deadline: float
    work: float  # of the whole request, in ms of a core of speed 1
    calls: tuple[int, ...]  # of the next tier, for each stage
    reply: Callable[[str, float], None]
    top: int = 0  # the client's request that it belongs to
    tenant: int = 0
    hint: float = 0.0
    is_repeat: bool = False
    answered: str | None = None
    gone: bool = False
    tried: list[Tried] = field(default_factory=list)
    out: list[Call] = field(default_factory=list)
    story: list[tuple[float, str, EndpointId]] = field(default_factory=list)

    def story_lines(self) -> list[str]:
        """All that happened to it, a line each."""
        who = f"request {self.id} ({self.kind.name}, deadline {self.deadline:.1f})"
        return [
            f"  {self.arrived:10.1f} {who} arrives",
            *(f"  {at:10.1f} {what} {server.decode()}".rstrip() for at, what, server in self.story),
        ]


@dataclass(slots=True)
class Connection:
    """A connection to a server's process, idle since a time in ms."""

    epoch: int
    idle_since: float


@dataclass(slots=True)
class NodeTally:
    """What a node did over the run."""

    requests: int = 0
    attempts: int = 0
    copies: int = 0  # attempts sent while another was out
    handshakes: int = 0
    probes: int = 0
    refused: int = 0
    failed: int = 0
    log: list[tuple[float, str]] = field(default_factory=list)


class SimNode:
    """One node: feeds its policy, carries out what it says, and shows every action to the rules."""

    def __init__(
        self,
        platform: Platform,
        name: str,
        stage: int,
        zone: int,
        settings: Settings,
        policy: Policy,
        rng: Random,
        rows: Iterable[EndpointEntry],
    ) -> None:
        self.platform, self.engine, self.rules = platform, platform.engine, platform.rules
        self.name: str = name
        self.stage: int = stage
        self.zone: int = zone
        self.settings: Settings = settings
        self.policy: Policy = policy
        self.rng = rng
        self.up: bool = True
        self.known: dict[EndpointId, EndpointEntry] = {}
        self.leaving: dict[EndpointId, float] = {}
        self.requests: dict[int, SimulatedRequest] = {}
        self.tally = NodeTally()
        self._calls: dict[tuple[int, int], Call] = {}  # those that are out
        self._idle: dict[EndpointId, list[Connection]] = {}
        self._version = 0
        self.tell(ListKind.FULL, tuple(rows))

    # ------------------------------------------------------------ events

    def tell(self, kind: ListKind, rows: tuple[EndpointEntry, ...]) -> None:
        """News of the list has reached this node."""
        if not self.up:
            return
        now = self.engine.now
        for row in rows:
            self.rules.told(self, row, now)
        self._version += 1
        self._feed(EndpointList(kind, rows, self._version))

    def hear(self, event: NodesPresent | StateRestored) -> None:
        """News of its membership has reached this node, or of what its predecessor knew."""
        self._feed(event)

    def accept(self, request: SimulatedRequest) -> None:
        """A request's last byte has come; its final answer goes to `ask.reply`."""
        self.tally.requests += 1
        self.requests[request.id] = request
        self.engine.at(request.deadline, self._overdue, request)
        self._feed(
            RequestArrived(
                request.id,
                request.class_index,
                request.deadline - self.engine.now,
                request.tenant,
                cost_hint_ms=request.hint or None,
                is_repeat=request.is_repeat,
            )
        )

    def accept_below(self, call: Call, then: Callable[[bool], None]) -> SimulatedRequest:
        """A server's call of the next tier, with the time that its own request has left."""
        above = call.request
        request = self.platform.new_request(above, self.stage, lambda kind, _: then(kind == "ok"))
        # Its own node is on the same machine; a call of its own breaks the recursion.
        self.engine.at(self.engine.now, self._accept_late, request)
        return request

    def _accept_late(self, request: SimulatedRequest) -> None:
        if self.up and not request.gone:
            self.accept(request)

    def leave(self, request: SimulatedRequest) -> None:
        """The client has gone away; no answer is owed."""
        if request.answered is None and not request.gone:
            request.gone = True
            if self.up and self.requests.pop(request.id, None) is not None:
                request.story.append((self.engine.now, "the client leaves", b""))
                self._feed(RequestAbandoned(request.id))

    def stop(self) -> None:
        """The process is killed: what it held gets no answer from it, and its calls are withdrawn."""
        self.up = False
        for call in self._calls.values():
            call.over = True
        self._calls.clear()
        for request in self.requests.values():
            request.gone = True
        self.requests.clear()
        for server, connections in self._idle.items():
            target = self.platform.servers[server]
            target.connections -= sum(1 for c in connections if c.epoch == target.epoch)
        self._idle.clear()

    def _feed(self, event: Event) -> None:
        if not self.up:
            return
        for action in self.policy.handle(event, self.engine.now):
            self._act(action)

    # ------------------------------------------------------------ actions

    def _act(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, SetTimer):
            self.engine.at(action.at_ms, self._fire, action.token)
        elif isinstance(action, Reject):
            request = self.requests.get(action.request)
            if request is not None:
                self.rules.refused(self, request, self.engine.now)
                self.tally.refused += 1
                self._answer(request, "refused", action.retry_after_ms)
        elif isinstance(action, Fail):
            request = self.requests.get(action.request)
            if request is not None:
                self.tally.failed += 1
                self._answer(request, "failed", 0.0)
        elif isinstance(action, Cancel):
            self._cancel(action)
        elif isinstance(action, HealthCheck):
            self._probe(action.server)
        elif isinstance(action, CloseIdle):
            self._close_idle(action.server)
        elif isinstance(action, Log):
            if len(self.tally.log) < 200:
                self.tally.log.append((self.engine.now, action.text))
        elif isinstance(action, Subscribe):
            self.engine.after(1.0, self.tell, ListKind.CHANGES, ())

    def _fire(self, token: int) -> None:
        self._feed(TimerFired(token))

    def _answer(self, request: SimulatedRequest, kind: str, retry_after: float) -> None:
        now = self.engine.now
        self.rules.answered(self, request, now)
        request.story.append((now, f"answered: {kind}", b""))
        if request.answered is None:
            request.answered = kind
            del self.requests[request.id]
            self.engine.at(now, request.reply, kind, retry_after)

    def _overdue(self, request: SimulatedRequest) -> None:
        """The client's time is over: attempts still out end as timed out."""
        if not self.up:
            return
        for call in list(request.out):
            call.cancelled = True  # its connection is closed
            self._ended(call, Outcome.TIMEOUT, ())
        self.engine.after(self.settings.answer_slack_ms, self._check, request)

    def _check(self, request: SimulatedRequest) -> None:
        if self.up:
            self.rules.overdue(self, request, self.engine.now)

    # ------------------------------------------------------------ attempts

    def _send(self, action: Send) -> None:
        engine, now = self.engine, self.engine.now
        request = self.requests.get(action.request)
        if request is None:
            self.rules.bad_action(self, f"a send for request {action.request}, which is not open", None, now)
            return
        self.rules.sent(self, request, action.server, self.settings, now)
        server = self.platform.servers[action.server]
        entry = self.known.get(action.server, server.entry())
        call = Call(request, len(request.tried), self, server, server.epoch, now)
        call.told = entry.started_ms >= server.started
        self.tally.attempts += 1
        self.tally.copies += 1 if request.out else 0
        request.tried.append(Tried(entry, now))
        request.story.append((now, f"attempt {call.number} to", action.server))
        request.out.append(call)
        self._calls[request.id, call.number] = call
        self.platform.count_send(self.stage, server)
        one_way = self.platform.one_way(self.zone, server.zone, self.rng)
        if self._idle_connection(server):
            engine.after(one_way, self._reach, call, True)
            return
        network = self.platform.scenario.network
        if server.trouble.cut:
            engine.after(network.connect_timeout_ms, self._ended, call, Outcome.CONNECT_FAILED, ())
        elif not server.up or server.connections >= server.kind.connections:
            engine.after(2.0 * one_way, self._ended, call, Outcome.CONNECT_FAILED, ())
        else:
            self.tally.handshakes += 1
            server.connect()
            engine.after((1.0 + 2.0 * network.handshake_round_trips) * one_way, self._reach, call, False)

    def _reach(self, call: Call, reused: bool) -> None:
        """The request's last byte has come to the server, or nobody is there any more."""
        server = call.server
        if server.epoch == call.epoch and server.up:
            server.take(call)
        else:
            self._ended(call, Outcome.RESET if reused else Outcome.CONNECT_FAILED, ())

    def answer_from(self, call: Call, outcome: Outcome) -> None:
        """A server has ended a call; the news is on its way."""
        one_way = self.platform.one_way(self.zone, call.server.zone, self.rng)
        load = call.server.load() if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) else ()
        self.engine.after(one_way, self._arrived, call, outcome, load)

    def _arrived(self, call: Call, outcome: Outcome, load: tuple[float, ...]) -> None:
        server = call.server
        if outcome is not Outcome.RESET and server.epoch == call.epoch and self.up and not call.cancelled:
            self._idle.setdefault(server.name, []).append(Connection(call.epoch, self.engine.now))
        elif server.epoch == call.epoch:
            server.connections -= 1
        self._ended(call, outcome, load)

    def _ended(self, call: Call, outcome: Outcome, load: tuple[float, ...]) -> None:
        if call.over or not self.up:
            return
        call.over = True
        now, request = self.engine.now, call.request
        request.out.remove(call)
        del self._calls[request.id, call.number]
        request.tried[call.number].outcome = outcome
        request.story.append((now, f"attempt {call.number} ends: {outcome.value},", call.server.name))
        served = outcome is Outcome.OK and request.answered is None and not request.gone
        if served:
            self._answer(request, "ok", 0.0)
        finished = request.answered is not None or request.gone
        event = AttemptEnded(
            request.id, call.number, call.server.name, outcome, now - call.sent, finished, load
        )
        self._feed(event)

    def _cancel(self, action: Cancel) -> None:
        call = self._calls.get((action.request, action.attempt))
        if call is None or call.cancelled or action.answered:
            return  # of an answered request the late answer is read away, and the connection kept
        call.cancelled = True
        self.engine.at(self.engine.now, self._ended, call, Outcome.CANCELLED, ())

    # ------------------------------------------------------------ connections and probes

    def _idle_connection(self, server: SimServer) -> bool:
        """Take the youngest idle connection that its server has not closed meanwhile."""
        idle = self._idle.get(server.name)
        if not idle:
            return False
        longest = self.platform.scenario.network.idle_ms
        if server.trouble.idle_ms is not None:
            longest = min(longest, server.trouble.idle_ms)
        while idle:
            connection = idle.pop()
            if connection.epoch != server.epoch:
                continue
            if self.engine.now - connection.idle_since < longest:
                return True
            server.connections -= 1
        return False

    def _close_idle(self, name: EndpointId) -> None:
        server = self.platform.servers[name]
        for connection in self._idle.pop(name, ()):
            if connection.epoch == server.epoch:
                server.connections -= 1

    def _probe(self, name: EndpointId) -> None:
        now = self.engine.now
        if not self.settings.may_check_health:
            self.rules.bad_action(self, "a probe, which the settings forbid", None, now)
            return
        self.tally.probes += 1
        server = self.platform.servers[name]
        one_way = self.platform.one_way(self.zone, server.zone, self.rng)
        if server.trouble.cut or not server.up:
            late = PROBE_TIMEOUT_MS if server.trouble.cut else 2.0 * one_way
            end = Outcome.TIMEOUT if server.trouble.cut else Outcome.CONNECT_FAILED
            self.engine.after(late, self._probed, name, end, now, ())
            return
        overdue: Planned = self.engine.after(PROBE_TIMEOUT_MS, self._probed, name, Outcome.TIMEOUT, now, ())

        def done() -> None:
            if overdue[2] is not None and self.engine.now < overdue[0]:
                Engine.cancel(overdue)
                self.engine.after(one_way, self._probed, name, Outcome.OK, now, server.load())

        server.probe(done)

    def _probed(self, name: EndpointId, outcome: Outcome, since: float, load: tuple[float, ...]) -> None:
        self._feed(HealthCheckEnded(name, outcome, self.engine.now - since, load))
