"""An independent check of the four rules (see crowpost/decisions) over a seeded random stream of events.

It shares no code with the module.  It simulates a minimal host, not any real service, which answers the
module's actions with legal outcomes in unusual orders and asserts the rules on every action.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from crowpost import Balancer
from crowpost.decision_api import (
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    EndpointEntry,
    EndpointId,
    EndpointList,
    Event,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    IdempotencyScope,
    ListKind,
    Outcome,
    Readiness,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestClass,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)

NEVER_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass
class AttemptRecord:
    entry: EndpointEntry
    sent_at: float
    times_out_at: float
    outcome: Outcome | None = None


@dataclass
class RequestRecord:
    request_class: RequestClass
    deadline: float
    done_at: float | None = None
    attempts: list[AttemptRecord] = field(default_factory=list)

    def maybe_executed(self) -> list[AttemptRecord]:
        return [
            attempt
            for attempt in self.attempts
            if attempt.outcome is None or attempt.outcome not in NEVER_EXECUTED
        ]


class SimulatedHost:
    """Feeds events to a balancer and checks the actions it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.balancer = Balancer(settings, seed)
        self.now = 1000.0
        self.requests: dict[int, RequestRecord] = {}
        self.entries: dict[EndpointId, EndpointEntry] = {}
        self.timers: list[tuple[float, int]] = []
        self.health_checks: list[EndpointId] = []
        self.subscriptions = 0
        self.actions: list[Action] = []
        self.next_id = 1
        self.open_requests: set[int] = set()

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def arrive(self, class_index: int = 0, budget: float | None = None, hint: float | None = None) -> int:
        request_class = self.settings.classes[class_index]
        budget = request_class.deadline_ms if budget is None else budget
        request = self.next_id
        self.next_id += 1
        self.requests[request] = RequestRecord(request_class, self.now + budget)
        self.open_requests.add(request)
        self.feed(RequestArrived(request, class_index, budget, cost_hint_ms=hint))
        return request

    def end(self, request: int, number: int, outcome: Outcome, load: tuple[float, ...] = ()) -> None:
        record = self.requests[request]
        attempt = record.attempts[number]
        attempt.outcome = outcome
        if outcome is Outcome.OK and record.done_at is None:
            record.done_at = self.now
        finished = record.done_at is not None
        elapsed = self.now - attempt.sent_at
        self.feed(AttemptEnded(request, number, attempt.entry.server, outcome, elapsed, finished, load))

    def open_attempts(self, request: int) -> Iterator[int]:
        """Yield the numbers of the open attempts, including those sent during the iteration."""
        return (
            number
            for number, attempt in enumerate(self.requests[request].attempts)
            if attempt.outcome is None
        )

    def feed_list(self, entries: list[EndpointEntry], kind: ListKind = ListKind.FULL) -> None:
        if kind is not ListKind.CHANGES:
            self.entries = {}
        self.entries.update({entry.server: entry for entry in entries})
        self.feed(EndpointList(kind, tuple(entries)))

    def _check(self, action: Action) -> None:
        match action:
            case Send(request, server, timeout_ms):
                self._check_send(request, server, timeout_ms)
            case Reject(request, _) | Fail(request):
                record = self.requests[request]
                assert record.done_at is None, "rule 1: second final answer"
                assert (
                    self.now <= record.deadline + self.settings.answer_slack_ms
                ), "rule 1: answer after the deadline"
                record.done_at = self.now
                if (
                    isinstance(action, Reject)
                    and record.maybe_executed()
                    and record.request_class.effect is not Effect.SAFE
                ):
                    assert (
                        record.request_class.effect is Effect.KEYED
                    ), "rule 2: rejection of an unsafe request that may have been executed"
                    assert (
                        record.request_class.idempotency_scope is IdempotencyScope.ALL
                    ), "rule 2: rejection needs the idempotency scope ALL"
            case SetTimer(token, at_ms):
                self.timers.append((at_ms, token))
            case Cancel(request, number, _):
                assert self.settings.may_cancel and number < len(self.requests[request].attempts)
            case HealthCheck(server):
                assert self.settings.may_check_health and server in self.entries
                self.health_checks.append(server)
            case Subscribe():
                self.subscriptions += 1

    def _check_send(self, request: int, server: EndpointId, timeout_ms: float) -> None:
        record = self.requests[request]
        assert record.done_at is None, "rule 1: attempt for a finished request"
        assert self.now < record.deadline and timeout_ms >= 0.0
        assert len(record.attempts) < self.settings.max_attempts
        entry = self.entries.get(server)
        assert (
            entry is not None and entry.readiness is Readiness.READY
        ), "rule 3: attempt at an endpoint that is not ready"
        maybe_executed = record.maybe_executed()
        if maybe_executed:
            request_class = record.request_class
            assert request_class.effect is not Effect.UNSAFE, "rule 2: repeat of an unsafe request"
            if not self.settings.may_hedge:
                assert all(
                    attempt.outcome is not None for attempt in record.attempts
                ), "two attempts at once without hedging"
            if request_class.effect is Effect.KEYED:
                for other in maybe_executed:
                    assert (
                        self.now - other.sent_at < request_class.idempotency_window_ms
                    ), "rule 2: outside the idempotency window"
                    if request_class.idempotency_scope is IdempotencyScope.CELL:
                        assert entry.cell == other.entry.cell, "rule 2: outside the idempotency scope (cell)"
                    if request_class.idempotency_scope is IdempotencyScope.ZONE:
                        assert entry.zone == other.entry.zone, "rule 2: outside the idempotency scope (zone)"
        times_out_at = min(record.deadline, self.now + timeout_ms) if timeout_ms else record.deadline
        record.attempts.append(AttemptRecord(entry, self.now, times_out_at))

    # ---------------------------------------------------------------- time

    def advance(self, span_ms: float) -> None:
        """Advance the time, end attempts that have timed out, and fire due timers."""
        self.now += span_ms
        self.open_requests = {
            request
            for request in self.open_requests
            if self.requests[request].done_at is None
            or any(attempt.outcome is None for attempt in self.requests[request].attempts)
        }
        for request in sorted(self.open_requests):
            for number, attempt in enumerate(self.requests[request].attempts):
                if attempt.outcome is None and attempt.times_out_at <= self.now:
                    self.end(request, number, Outcome.TIMEOUT)
        self.fire_due_timers()
        for record in self.requests.values():
            assert (
                record.done_at is not None or self.now <= record.deadline + self.settings.answer_slack_ms
            ), "rule 1: no answer in time"

    def fire_due_timers(self) -> None:
        """Fire the due timers of the module, without ending attempts."""
        due = [timer for timer in self.timers if timer[0] <= self.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.now]
        for _, token in due:
            self.feed(TimerFired(token))

    def feed_random_events(self, steps: int) -> None:
        """Feed a seeded random stream of all legal events."""
        rng = self.rng
        outcomes = list(Outcome)
        for _ in range(steps):
            choice = rng.random()
            open_attempts = [
                (request, number)
                for request in sorted(self.open_requests)
                for number in self.open_attempts(request)
            ]
            if choice < 0.35:
                index = rng.randrange(len(self.settings.classes))
                self.arrive(index, rng.choice([None, 30.0, 400.0]))
            elif choice < 0.65 and open_attempts:
                request, number = rng.choice(open_attempts)
                self.end(request, number, rng.choice([*outcomes, Outcome.OK, Outcome.OK]))
            elif choice < 0.7:
                self._feed_random_list()
            elif choice < 0.73:
                request = rng.randrange(1, self.next_id + 1)
                record = self.requests.get(request)
                if record is not None and record.done_at is None:
                    record.done_at = self.now
                self.feed(RequestAbandoned(request))
            elif choice < 0.76 and self.health_checks:
                self.feed(HealthCheckEnded(self.health_checks.pop(), rng.choice(outcomes), 5.0))
            else:
                self.advance(rng.choice([0.0, 5.0, 5.0, 10.0, 15.0]))
        for _ in range(2000):
            self.advance(10.0)

    def _feed_random_list(self) -> None:
        rng = self.rng
        kind = rng.choice(list(ListKind))
        if kind is ListKind.FAILED:
            self.feed(EndpointList(kind))
            return
        entries = []
        for i in range(12):
            if rng.random() < 0.6:
                started = rng.choice([0.0, self.now - 200.0])
                entries.append(
                    EndpointEntry(
                        bytes([i]), rng.choice(list(Readiness)), 1.0 + i % 2, 0, i % 3, i // 4, started
                    )
                )
        self.feed_list(entries, kind)
