"""One node's decisions: events in, actions out.  It joins the parts; what each decides is in its own file."""

from __future__ import annotations

import math
import random
from bisect import insort
from collections.abc import Callable
from typing import Any

import crowpost.decision_api as api
from crowpost.decision_api import ListKind, Outcome, RequestId
from crowpost.decisions.concurrency_limiter import Admission
from crowpost.decisions.endpoint_selection import Placing
from crowpost.decisions.endpoint_set import Fleet
from crowpost.decisions.outcome_scoring import Judge
from crowpost.decisions.outlier_detection import RETURN, Health
from crowpost.decisions.request_state import Attempt, Request, Server
from crowpost.decisions.timers import Timers

HOLD = 0.1  # part of the aim that a request may wait here for a place: a refused client tries again in time
AGAIN = 0.02  # part of the aim between looks at waiting requests
RETRY_EARN = 0.1  # retries and second copies for each arrival
RETRY_MOST = 10.0
MEMORY_HALF_MS = 60_000.0  # in which the trust in what an earlier process knew halves
MEMORY_LEAST = 0.05  # less trust than this counts as none: an ejection is whole, however old
HEDGE, LIST, RECHECK = 0, 1, 3  # kinds of timers, beside RETURN


def _trust(age_ms: float) -> float:
    trust: float = 0.5 ** (max(age_ms, 0.0) / MEMORY_HALF_MS)
    return trust if trust >= MEMORY_LEAST else 0.0


class Balancer:
    """The decisions of one node.  Feed it events in order; carry out the actions it returns."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self._timers = Timers()
        self._fleet = Fleet(settings, random.Random(seed))
        self._health = Health(self._fleet, self._timers)
        self._admission = Admission(self._fleet, self._health)
        self._placing = Placing(self._fleet, self._health, self._admission)
        self._judge = Judge(self._fleet, self._health, self._admission)
        self._actions: list[api.Action] = []
        self._now = 0.0
        self._wake = math.inf  # of the one timer outside for the earliest in here
        self._requests: dict[RequestId, Request] = {}
        self._attempts: dict[tuple[RequestId, int], Attempt] = {}
        # Those whose server does not work on them: a long body still goes up, or a long answer comes down.
        self._moving: dict[tuple[RequestId, int], Attempt] = {}
        self._queue: list[tuple[float, int, Request]] = []  # by worth, then age
        self._seq = 0
        self._cost = 0.0  # mean cost hint
        self._retry_tokens = RETRY_MOST / 2
        self._recheck_at = math.inf
        self._subscribed = False
        self._asks_failed = 0
        self._ask_at = math.inf  # when the list is asked for next
        self._on: dict[type, Callable[[Any], None]] = {
            api.AttemptEnded: self._on_ended,
            api.RequestArrived: self._on_arrival,
            api.TimerFired: self._on_timer,
            api.EndpointList: self._on_list,
            api.RequestAbandoned: self._on_gone,
            api.HealthCheckEnded: self._health.on_probe,
            api.ResponseStarted: self._on_started,
            api.BodySent: self._on_body_sent,
            api.NodesPresent: self._on_nodes,
            api.StateRestored: self._on_remembered,
        }

    # ------------------------------------------------------------ events

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Return the actions that follow from an event at a time in ms, or raise UnexpectedEventError."""
        self._actions = self._health.actions = []
        self._now = self._fleet.now = now
        on = self._on.get(type(event))
        if on is not None:  # the module makes no use of messages from peers
            on(event)
        if self._fleet.look():
            self._admission.follow_capacity()
        self._drain()
        if self._timers.earliest() < self._wake:
            self._wake = self._timers.earliest()
            self._seq += 1
            self._actions.append(api.SetTimer(self._seq, self._wake))
        return self._actions

    @property
    def pool_size(self) -> int:
        """Servers in the list."""
        return len(self._fleet.arms)

    @property
    def pool_ejected(self) -> int:
        """Listed servers that are avoided at the last event: those held to be unhealthy."""
        return self._health.unhealthy()

    @property
    def limit(self) -> float:
        """Calls that may be out at once."""
        return self._admission.limit

    @property
    def limit_each(self) -> float:
        """The same for each unit of capacity that is this node's part."""
        return self._admission.limit_each

    def remember(self, first: int, most: int) -> list[api.RememberedEndpoint]:
        """What has been learned of so many listed servers, from one place in the list on."""
        servers, average = self._fleet.arms, self._fleet.automaton.average
        return [
            api.RememberedEndpoint(
                s.entry.server,
                s.entry.started_ms,
                self._fleet.automaton.share(s.index) * len(servers),
                average[s.index],
                s.ejected,
            )
            for s in servers[first : first + most]
        ]

    def _on_timer(self, event: api.TimerFired) -> None:
        self._wake = math.inf
        while (due := self._timers.pop_due(self._now)) is not None:
            kind, subject = due
            if kind == RECHECK:
                self._recheck_at = math.inf
                for _, _, waiting in list(self._queue):
                    if waiting.hold_until <= self._now:
                        self._expire(waiting)
            elif kind == LIST:
                if self._now >= self._ask_at:  # else a later call has been planned instead
                    self._ask_for_list()
            elif kind == RETURN and isinstance(subject, bytes):
                self._health.try_return(subject)
            elif kind == HEDGE and isinstance(subject, int):
                request = self._requests.get(subject)  # none if it has finished
                if request is not None and request.out and not request.waiting and not request.started:
                    self._hedge(request)

    def _on_nodes(self, event: api.NodesPresent) -> None:
        self._fleet.follow_nodes(event.present, event.node_index)
        self._admission.follow_nodes()

    def _on_remembered(self, event: api.StateRestored) -> None:
        """Weigh what an earlier process of this node knew: by age, and only of the same starts of servers."""
        known: dict[api.EndpointId, tuple[float, float | None, float]] = {}
        for memory in event.servers:
            server, trust = self._fleet.servers.get(memory.server), _trust(memory.age_ms)
            if server is None or server.index < 0 or not trust:
                continue
            if server.entry.started_ms != memory.started_ms:
                continue  # another process than the one that it was learned of
            known[memory.server] = memory.ratio, memory.average_ms, trust
            if memory.ejected and not server.ejected:
                self._health.recall_ejected(server)
        self._fleet.automaton.recall(known)
        self._admission.recall(event.limit_each, _trust(event.limit_age_ms))

    # ------------------------------------------------------------ the server list

    def _on_list(self, event: api.EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            # Discovery is down or refuses: keep the last list and ask again, later each time.
            self._subscribed = False
            self._asks_failed += 1
            if self._asks_failed == 1:
                self._actions.append(api.Log("server list lost: a call failed or the subscription broke"))
            self._plan_ask(self._ask_pause())
            return
        if event.kind is ListKind.CACHED:
            if self.settings.poll_for_list:
                # All nodes may start at once: spread their first calls, well inside the time to ask.
                self._plan_ask(self._fleet.rng.random() * 0.3 * self.settings.list_poll_ms)
        else:
            self._subscribed = True
            if self._asks_failed:
                text = f"server list found again after {self._asks_failed} failed calls"
                self._actions.append(api.Log(text))
                self._asks_failed = 0
        self._fleet.take(event)
        self._fleet.look()
        self._admission.follow_capacity()

    def _plan_ask(self, pause: float) -> None:
        """One call for the list is planned at a time; a new plan replaces the old.

        Guards against calls that multiply while the list is out of reach: a timer for each failed call
        beside the one that guards the call itself doubled them with every pause, on every node at once.
        """
        self._ask_at = self._now + pause
        self._timers.at(self._ask_at, LIST)

    def _ask_for_list(self) -> None:
        self._ask_at = math.inf
        if not self._subscribed:
            self._actions.append(api.Subscribe())
            self._plan_ask(0.5 * self.settings.list_poll_ms)  # in case no reply comes

    def _ask_pause(self) -> float:
        longest = 0.5 * self.settings.list_poll_ms
        pause = min(longest, 0.1 * self.settings.list_poll_ms * 2.0 ** min(self._asks_failed - 1, 10))
        return pause * (0.5 + 0.5 * self._fleet.rng.random())

    # ------------------------------------------------------------ requests

    def _on_arrival(self, event: api.RequestArrived) -> None:
        settings, number = self.settings, event.request
        if not 0 <= event.class_index < len(settings.classes):
            raise api.UnexpectedEventError(f"request {number} is of unknown class {event.class_index}")
        if number in self._requests:
            raise api.UnexpectedEventError(f"request {number} arrived twice")
        kind = settings.classes[event.class_index]
        units = 1.0
        if event.cost_hint_ms is not None and event.cost_hint_ms > 0:
            self._cost += (event.cost_hint_ms - self._cost) * (0.02 if self._cost else 1.0)
            units = event.cost_hint_ms / self._cost
        priority_weight = kind.priority_weight if settings.priority_by_work else kind.priority_weight / units
        priority_weight *= 1.0 if self._admission.within_share(event.tenant) else settings.over_quota_weight
        deadline = math.inf if event.streamed else self._now + event.budget_ms
        self._seq += 1
        request = Request(
            number, kind, event.class_index, deadline, units, priority_weight, self._seq, event.streamed
        )
        request.chance = self._fleet.rng.random()
        self._requests[number] = request
        self._retry_tokens = min(RETRY_MOST, self._retry_tokens + RETRY_EARN)
        # At the front a request waits a part of its aim; further in, its work so far would be lost.
        hold = HOLD * kind.latency_objective_ms if settings.tier == 0 else 0.5 * event.budget_ms
        self._wait(request, min(hold, 0.5 * event.budget_ms))

    def _wait(self, request: Request, hold: float) -> None:
        request.hold_until = self._now + hold
        request.waiting = True
        insort(self._queue, (-request.priority_weight, request.seq, request))

    def _leave_queue(self, request: Request) -> None:
        if request.waiting:
            request.waiting = False
            self._queue.remove((-request.priority_weight, request.seq, request))

    def _drain(self) -> None:
        """Place what waits, the most worthy first."""
        i = tries = 0
        while i < len(self._queue) and tries < 3:
            request = self._queue[i][2]
            if not self._admission.has_room(len(self._attempts), request.chance):
                break  # and none of less worth by the luck of its chance
            if not self._place(request, False):
                tries += 1
                i += 1
        if self._queue:
            look = min(self._now + AGAIN * self._fleet.aim, min(q[2].hold_until for q in self._queue))
            if look < self._recheck_at:
                self._recheck_at = look
                self._timers.at(look, RECHECK)

    def _expire(self, request: Request) -> None:
        """A request has waited long enough: a last attempt anywhere the rules allow, or an answer."""
        room = self._admission.has_room(len(self._attempts), request.chance)
        if not (room and self._place(request, True)):
            self._finish(request)

    def _place(self, request: Request, last_resort: bool) -> bool:
        server = self._placing.draw(request, last_resort, len(self._attempts))
        return server is not None and self._send(request, server)

    # ------------------------------------------------------------ the one path that sends

    def _send(self, request: Request, server: Server) -> bool:
        """Send an attempt.  Rules 1 to 3 are enforced here; the draw has kept rule 4."""
        if (
            self._requests.get(request.id) is not request
            or request.started
            or request.deadline - self._now <= self.settings.tick_ms
            or len(request.attempts) >= self.settings.max_attempts
            or not self._placing.permitted(request, server)
        ):
            return False
        self._leave_queue(request)
        send = api.Send(request.id, server.entry.server, 0.0, request.window_end_ms() - self.settings.tick_ms)
        key = (request.id, len(request.attempts))
        attempt = Attempt(server, server.entry, self._now, request.units)
        request.attempts.append(attempt)
        request.out += 1
        if request.streamed:
            self._moving[key] = attempt
        else:
            self._out(key, attempt)
        server.tokens -= request.units
        self._fleet.sent.add(request.units, self._now)
        self._watch(request)
        self._actions.append(send)
        return True

    # From `_out` to `_back` an attempt is a call that waits at its server.

    def _out(self, key: tuple[RequestId, int], attempt: Attempt) -> None:
        attempt.server.out[key] = self._now
        self._fleet.count_out(attempt.server, 1)
        self._attempts[key] = attempt

    def _back(self, key: tuple[RequestId, int], server: Server) -> None:
        if server.out.pop(key, None) is not None:
            self._fleet.count_out(server, -1)

    def _watch(self, request: Request) -> None:
        look = self._now + self._judge.late(request)
        more = request.repeatable() and len(request.attempts) < self.settings.max_attempts
        if more and look + self._judge.class_patience[request.class_index].mean < request.deadline:
            self._timers.at(look, HEDGE, request.id)

    def _hedge(self, request: Request) -> None:
        """A late attempt gets a second copy, or is withdrawn and repeated where copies are forbidden.

        Only if its server has fallen silent: a server that goes on answering others is merely busy with
        long work, and giving that up would waste it and feed the next queue (seen as 14% of attempts timed
        out on a quiet day).  And only while the budget lasts and nothing is strained.
        """
        late = self._judge.late(request)
        if not all(self._health.silent(a.server, late) for a in request.attempts if a.ended is None):
            self._watch(request)
        elif self._retry_tokens >= 1.0 and self._admission.strain < 1.0:
            if not self.settings.may_hedge:
                self._abandon(request, None)
            elif self._place(request, False):
                self._retry_tokens -= 1.0

    # ------------------------------------------------------------ the one path that answers

    def _finish(self, request: Request) -> None:
        """The final answer to a request that is not served: a refusal where rule 2 allows it."""
        if self._requests.pop(request.id, None) is None:
            return
        self._leave_queue(request)
        effect, group = request.kind.effect, request.kind.group
        harmless = effect is api.Effect.SAFE or (
            effect is api.Effect.KEYED and group is api.IdempotencyScope.ALL
        )
        rejected = any(a.ended is Outcome.REJECTED for a in request.attempts)
        if rejected or (request.risky() is not None and not harmless):
            self._actions.append(api.Fail(request.id))
        else:
            wait = min(0.2 * request.kind.latency_objective_ms, self.settings.max_retry_after_ms)
            self._actions.append(api.Reject(request.id, wait if self.settings.retry_after else 0.0))
        self._abandon(request, None)

    def _abandon(self, request: Request, keep: int | None) -> None:
        if self.settings.may_cancel and request.out:
            for number, attempt in enumerate(request.attempts):
                if attempt.ended is None and number != keep:
                    self._actions.append(api.Cancel(request.id, number, keep is not None))

    # ------------------------------------------------------------ outcomes

    def _on_ended(self, event: api.AttemptEnded) -> None:
        key = (event.request, event.attempt)
        moving = self._moving.pop(key, None)
        attempt = moving or self._attempts.pop(key, None)
        if attempt is None:
            raise api.UnexpectedEventError(f"attempt {key[1]} of request {key[0]} was not out")
        attempt.ended = event.outcome
        self._fleet.note_load(attempt.server, event.load)
        self._back(key, attempt.server)
        request = self._requests.get(event.request)
        if moving is None or event.outcome is Outcome.FULL:
            self._judge.judge(attempt, event, request, len(self._attempts))
        elif event.outcome not in (Outcome.OK, Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT):
            # Its time tells of the client as much as of the server.
            self._health.failed(attempt.server, event.outcome)
        if request is None:
            return
        request.out -= 1
        request.body_consumed |= event.body_consumed
        if event.finished:
            del self._requests[request.id]
            self._leave_queue(request)
            self._abandon(request, event.attempt)
        elif not request.out and not request.waiting and not request.started:
            self._again_or_finish(request, event.outcome)

    def _again_or_finish(self, request: Request, outcome: Outcome) -> None:
        left = request.deadline - self._now
        mean = self._judge.class_patience[request.class_index].mean
        # An attempt that no server saw costs nothing to repeat.
        costs = request.risky() is not None or outcome is Outcome.FULL
        if (
            outcome is not Outcome.REJECTED
            and len(request.attempts) < self.settings.max_attempts
            and left > max(mean, 2 * self.settings.tick_ms)
            and (not costs or self._retry_tokens >= 1.0)
            and self._placing.anywhere(request)
        ):
            self._retry_tokens -= 1.0 if costs else 0.0
            self._wait(request, min(HOLD * request.kind.latency_objective_ms, 0.5 * left))
        else:
            self._finish(request)

    def _on_started(self, event: api.ResponseStarted) -> None:
        key = (event.request, event.attempt)
        attempt = self._attempts.get(key)
        if key in self._moving:
            return  # the server answers before it has the whole body
        if attempt is None:
            raise api.UnexpectedEventError(f"attempt {key[1]} of request {key[0]} was not out")
        attempt.server.heard = self._now
        request = self._requests.get(event.request)
        if request is None:
            return
        if not request.kind.stream:
            # A long answer: the work is done, and how long the bytes take is the client's affair.
            self._moving[key] = self._attempts.pop(key)
            self._back(key, attempt.server)
            self._judge.served_in(event.elapsed_ms, attempt, request, len(self._attempts))
        request.started = True
        self._leave_queue(request)
        self._abandon(request, event.attempt)

    def _on_body_sent(self, event: api.BodySent) -> None:
        key = (event.request, event.attempt)
        if key not in self._moving:
            raise api.UnexpectedEventError(f"attempt {key[1]} of request {key[0]} was sending no body")
        self._out(key, self._moving.pop(key))

    def _on_gone(self, event: api.RequestAbandoned) -> None:
        request = self._requests.pop(event.request, None)
        if request is not None:  # else it finished a moment ago
            self._leave_queue(request)
            self._abandon(request, None)
