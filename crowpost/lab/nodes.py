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
from crowpost.lab.rules import SentAttempt

if TYPE_CHECKING:
    from crowpost.lab.platform import Platform

HEALTH_CHECK_TIMEOUT_MS = 400.0


class Policy(Protocol):
    """A decision maker: the decision module, a baseline, or an earlier version."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that follow from an event at a time in ms."""
        ...


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A request as one node sees it, with its history."""

    id: int
    kind: RequestClass
    class_index: int
    arrived: float
    deadline: float
    work: float  # work of the whole request, in ms of a core of speed 1
    calls: tuple[int, ...]  # calls to the next tier, by tier index
    reply: Callable[[str, float], None]
    client_request: int = 0  # index of the client request that it belongs to
    tenant: int = 0
    hint: float = 0.0
    is_repeat: bool = False
    answered: str | None = None
    abandoned: bool = False
    sent_attempts: list[SentAttempt] = field(default_factory=list)
    in_flight: list[Call] = field(default_factory=list)
    history: list[tuple[float, str, EndpointId]] = field(default_factory=list)

    def history_lines(self) -> list[str]:
        """Return the history of the request, a line for each event."""
        label = f"request {self.id} ({self.kind.name}, deadline {self.deadline:.1f})"
        return [
            f"  {self.arrived:10.1f} {label} arrives",
            *(f"  {at:10.1f} {event} {server.decode()}".rstrip() for at, event, server in self.history),
        ]


@dataclass(slots=True)
class Connection:
    """A connection to a server process, idle since a time in ms."""

    epoch: int
    idle_since: float


@dataclass(slots=True)
class NodeCounts:
    """Counts of a node over the run."""

    requests: int = 0
    attempts: int = 0
    hedges: int = 0  # attempts sent while another was in flight
    handshakes: int = 0
    health_checks: int = 0
    rejected: int = 0
    failed: int = 0
    log: list[tuple[float, str]] = field(default_factory=list)


class SimNode:
    """One node: passes events to its policy, performs the actions, and has them checked by the rules."""

    def __init__(
        self,
        platform: Platform,
        name: str,
        stage: int,
        zone: int,
        settings: Settings,
        policy: Policy,
        rng: Random,
        entries: Iterable[EndpointEntry],
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
        self.not_ready_since: dict[EndpointId, float] = {}
        self.requests: dict[int, SimulatedRequest] = {}
        self.counts = NodeCounts()
        self._calls: dict[tuple[int, int], Call] = {}  # calls in flight, by request id and attempt
        self._idle: dict[EndpointId, list[Connection]] = {}
        self._version = 0
        self.update_list(ListKind.FULL, tuple(entries))

    # ------------------------------------------------------------ events

    def update_list(self, kind: ListKind, entries: tuple[EndpointEntry, ...]) -> None:
        """Apply a change of the endpoint list that has reached this node."""
        if not self.up:
            return
        now = self.engine.now
        for entry in entries:
            self.rules.list_updated(self, entry, now)
        self._version += 1
        self._feed(EndpointList(kind, entries, self._version))

    def notify(self, event: NodesPresent | StateRestored) -> None:
        """Pass on a change of the nodes present, or the restored state of the previous process."""
        self._feed(event)

    def accept(self, request: SimulatedRequest) -> None:
        """Accept a request whose last byte has arrived; `request.reply` gets its final answer."""
        self.counts.requests += 1
        self.requests[request.id] = request
        self.engine.at(request.deadline, self._deadline_passed, request)
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

    def accept_from_server(self, call: Call, on_end: Callable[[bool], None]) -> SimulatedRequest:
        """Accept a call to the next tier from this node's server, with the deadline of its own request."""
        parent = call.request
        request = self.platform.new_request(parent, self.stage, lambda kind, _: on_end(kind == "ok"))
        # The node is on the same machine, so there is no delay; a scheduled call avoids recursion.
        self.engine.at(self.engine.now, self._accept_if_up, request)
        return request

    def _accept_if_up(self, request: SimulatedRequest) -> None:
        if self.up and not request.abandoned:
            self.accept(request)

    def abandon(self, request: SimulatedRequest) -> None:
        """Abandon a request because its client has disconnected; no answer is due."""
        if request.answered is None and not request.abandoned:
            request.abandoned = True
            if self.up and self.requests.pop(request.id, None) is not None:
                request.history.append((self.engine.now, "the client disconnects", b""))
                self._feed(RequestAbandoned(request.id))

    def stop(self) -> None:
        """Kill the process: its requests get no answer from it, and its calls are dropped."""
        self.up = False
        for call in self._calls.values():
            call.ended = True
        self._calls.clear()
        for request in self.requests.values():
            request.abandoned = True
        self.requests.clear()
        for server, connections in self._idle.items():
            target = self.platform.servers[server]
            target.connections -= sum(1 for connection in connections if connection.epoch == target.epoch)
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
            self.engine.at(action.at_ms, self._timer_fired, action.token)
        elif isinstance(action, Reject):
            request = self.requests.get(action.request)
            if request is not None:
                self.rules.check_reject(self, request, self.engine.now)
                self.counts.rejected += 1
                self._answer(request, "refused", action.retry_after_ms)
        elif isinstance(action, Fail):
            request = self.requests.get(action.request)
            if request is not None:
                self.counts.failed += 1
                self._answer(request, "failed", 0.0)
        elif isinstance(action, Cancel):
            self._cancel(action)
        elif isinstance(action, HealthCheck):
            self._check_health(action.server)
        elif isinstance(action, CloseIdle):
            self._close_idle(action.server)
        elif isinstance(action, Log):
            if len(self.counts.log) < 200:
                self.counts.log.append((self.engine.now, action.text))
        elif isinstance(action, Subscribe):
            self.engine.after(1.0, self.update_list, ListKind.CHANGES, ())

    def _timer_fired(self, token: int) -> None:
        self._feed(TimerFired(token))

    def _answer(self, request: SimulatedRequest, kind: str, retry_after: float) -> None:
        now = self.engine.now
        self.rules.check_answer(self, request, now)
        request.history.append((now, f"answered: {kind}", b""))
        if request.answered is None:
            request.answered = kind
            del self.requests[request.id]
            self.engine.at(now, request.reply, kind, retry_after)

    def _deadline_passed(self, request: SimulatedRequest) -> None:
        """End attempts that are still in flight as timed out once the client no longer waits."""
        if not self.up:
            return
        for call in list(request.in_flight):
            call.cancelled = True  # its connection is closed
            self._ended(call, Outcome.TIMEOUT, ())
        self.engine.after(self.settings.answer_slack_ms, self._check_answered, request)

    def _check_answered(self, request: SimulatedRequest) -> None:
        if self.up:
            self.rules.check_answered(self, request, self.engine.now)

    # ------------------------------------------------------------ attempts

    def _send(self, action: Send) -> None:
        engine, now = self.engine, self.engine.now
        request = self.requests.get(action.request)
        if request is None:
            self.rules.invalid_action(
                self, f"a send for request {action.request}, which is not open", None, now
            )
            return
        self.rules.check_send(self, request, action.server, self.settings, now)
        server = self.platform.servers[action.server]
        entry = self.known.get(action.server, server.entry())
        call = Call(request, len(request.sent_attempts), self, server, server.epoch, now)
        call.informed = entry.started_ms >= server.started
        self.counts.attempts += 1
        self.counts.hedges += 1 if request.in_flight else 0
        request.sent_attempts.append(SentAttempt(entry, now))
        request.history.append((now, f"attempt {call.number} to", action.server))
        request.in_flight.append(call)
        self._calls[request.id, call.number] = call
        self.platform.record_send(self.stage, server)
        one_way = self.platform.one_way(self.zone, server.zone, self.rng)
        if self._idle_connection(server):
            engine.after(one_way, self._deliver, call, True)
            return
        network = self.platform.scenario.network
        if server.faults.unresponsive:
            engine.after(network.connect_timeout_ms, self._ended, call, Outcome.CONNECT_FAILED, ())
        elif not server.up or server.connections >= server.kind.connections:
            engine.after(2.0 * one_way, self._ended, call, Outcome.CONNECT_FAILED, ())
        else:
            self.counts.handshakes += 1
            server.connect()
            engine.after((1.0 + 2.0 * network.handshake_round_trips) * one_way, self._deliver, call, False)

    def _deliver(self, call: Call, reused: bool) -> None:
        """Deliver the last byte of the request, or end the call if the server's process is gone."""
        server = call.server
        if server.epoch == call.epoch and server.up:
            server.receive(call)
        else:
            self._ended(call, Outcome.RESET if reused else Outcome.CONNECT_FAILED, ())

    def send_answer(self, call: Call, outcome: Outcome) -> None:
        """Send the answer of a server to this node, with the network delay."""
        one_way = self.platform.one_way(self.zone, call.server.zone, self.rng)
        load = call.server.load() if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) else ()
        self.engine.after(one_way, self._answer_arrived, call, outcome, load)

    def _answer_arrived(self, call: Call, outcome: Outcome, load: tuple[float, ...]) -> None:
        server = call.server
        if outcome is not Outcome.RESET and server.epoch == call.epoch and self.up and not call.cancelled:
            self._idle.setdefault(server.name, []).append(Connection(call.epoch, self.engine.now))
        elif server.epoch == call.epoch:
            server.connections -= 1
        self._ended(call, outcome, load)

    def _ended(self, call: Call, outcome: Outcome, load: tuple[float, ...]) -> None:
        if call.ended or not self.up:
            return
        call.ended = True
        now, request = self.engine.now, call.request
        request.in_flight.remove(call)
        del self._calls[request.id, call.number]
        request.sent_attempts[call.number].outcome = outcome
        request.history.append((now, f"attempt {call.number} ends: {outcome.value},", call.server.name))
        served = outcome is Outcome.OK and request.answered is None and not request.abandoned
        if served:
            self._answer(request, "ok", 0.0)
        finished = request.answered is not None or request.abandoned
        event = AttemptEnded(
            request.id, call.number, call.server.name, outcome, now - call.sent, finished, load
        )
        self._feed(event)

    def _cancel(self, action: Cancel) -> None:
        call = self._calls.get((action.request, action.attempt))
        if call is None or call.cancelled or action.answered:
            # The late answer to a request that has its final answer is read and discarded, and the connection
            # kept.
            return
        call.cancelled = True
        self.engine.at(self.engine.now, self._ended, call, Outcome.CANCELLED, ())

    # ------------------------------------------------------------ connections and probes

    def _idle_connection(self, server: SimServer) -> bool:
        """Take the latest idle connection that its server has not closed; return whether there was one."""
        idle = self._idle.get(server.name)
        if not idle:
            return False
        longest = self.platform.scenario.network.idle_ms
        if server.faults.idle_ms is not None:
            longest = min(longest, server.faults.idle_ms)
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

    def _check_health(self, name: EndpointId) -> None:
        now = self.engine.now
        if not self.settings.may_check_health:
            self.rules.invalid_action(self, "a health check, which the settings forbid", None, now)
            return
        self.counts.health_checks += 1
        server = self.platform.servers[name]
        one_way = self.platform.one_way(self.zone, server.zone, self.rng)
        if server.faults.unresponsive or not server.up:
            delay = HEALTH_CHECK_TIMEOUT_MS if server.faults.unresponsive else 2.0 * one_way
            end = Outcome.TIMEOUT if server.faults.unresponsive else Outcome.CONNECT_FAILED
            self.engine.after(delay, self._health_check_ended, name, end, now, ())
            return
        timeout: Planned = self.engine.after(
            HEALTH_CHECK_TIMEOUT_MS, self._health_check_ended, name, Outcome.TIMEOUT, now, ()
        )

        def done() -> None:
            if timeout[2] is not None and self.engine.now < timeout[0]:
                Engine.cancel(timeout)
                self.engine.after(one_way, self._health_check_ended, name, Outcome.OK, now, server.load())

        server.check_health(done)

    def _health_check_ended(
        self, name: EndpointId, outcome: Outcome, since: float, load: tuple[float, ...]
    ) -> None:
        self._feed(HealthCheckEnded(name, outcome, self.engine.now - since, load))
