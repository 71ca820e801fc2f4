"""The four rules, checked on every action of every node during a run.

The checks implement the published pages independently: they share no code with the module. A breach contains
the whole history of its request, from arrival to the last answer.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from crowpost.decision_api import (
    Effect,
    EndpointEntry,
    EndpointId,
    IdempotencyScope,
    Outcome,
    Readiness,
    Settings,
)

if TYPE_CHECKING:
    from crowpost.lab.nodes import SimNode, SimulatedRequest

# Outcomes that prove that an attempt never ran, by the protocol page.
NEVER_RAN_OUTCOMES = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(slots=True)
class Breach:
    """A broken rule: time in ms, rule, node, and the history of the request, a line for each event."""

    at_ms: float
    rule: int
    node: str
    text: str
    history: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the breach as it is printed."""
        return [f"{self.at_ms:.1f} ms: rule {self.rule} broken by {self.node}: {self.text}", *self.history]


@dataclass(slots=True)
class SentAttempt:
    """One attempt as the checker records it."""

    entry: EndpointEntry
    sent: float
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Return whether the outcome leaves it possible that the attempt ran."""
        return self.outcome is None or self.outcome not in NEVER_RAN_OUTCOMES


class Rules:
    """Records what each node was notified of and checks its actions against that. Times are ms."""

    def __init__(self, grace_ms: float, slack_ms: float, max_breaches: int = 20) -> None:
        self.breaches: list[Breach] = []
        self.count = 0
        self._grace, self._slack, self._max_breaches = grace_ms, slack_ms, max_breaches

    def _record(
        self, now: float, rule: int, node: SimNode, text: str, request: SimulatedRequest | None
    ) -> None:
        self.count += 1
        if len(self.breaches) < self._max_breaches:
            history = request.history_lines() if request is not None else []
            self.breaches.append(Breach(now, rule, node.name, text, history))

    def list_updated(self, node: SimNode, entry: EndpointEntry, now: float) -> None:
        """Record a list entry that a node was notified of: from now on the node knows it."""
        known = node.known.get(entry.server)
        node.known[entry.server] = entry
        if entry.readiness is Readiness.READY:
            node.not_ready_since.pop(entry.server, None)
        elif known is None or known.readiness is Readiness.READY:
            node.not_ready_since[entry.server] = now

    def check_send(
        self, node: SimNode, request: SimulatedRequest, server: EndpointId, settings: Settings, now: float
    ) -> None:
        """Check an attempt before it is added to the request."""
        entry = node.known.get(server)
        if entry is None:
            self._record(now, 3, node, f"sent to {server!r}, which no list has named", request)
            return
        since = node.not_ready_since.get(server)
        if since is not None and now - since > self._grace:
            self._record(
                now, 3, node, f"sent {now - since:.0f} ms after the list marked it not ready", request
            )
        if request.answered is not None:
            self._record(now, 1, node, "sent for a request that has its final answer", request)
        if len(request.sent_attempts) >= settings.max_attempts:
            self._record(now, 2, node, f"more than {settings.max_attempts} attempts", request)
        possibly_run = [attempt for attempt in request.sent_attempts if attempt.may_have_run()]
        if not possibly_run:
            return
        kind = request.kind
        if not settings.may_hedge and any(attempt.outcome is None for attempt in possibly_run):
            self._record(now, 2, node, "two attempts at once", request)
        if kind.effect is Effect.UNSAFE:
            self._record(now, 2, node, "an unsafe request sent again, though it may have run", request)
        elif kind.effect is Effect.KEYED:
            first = possibly_run[0]
            if now - first.sent > kind.idempotency_window_ms:
                self._record(
                    now, 2, node, f"{now - first.sent:.0f} ms after the first, past the window", request
                )
            for other in possibly_run:
                if kind.idempotency_scope is IdempotencyScope.ZONE and entry.zone != other.entry.zone:
                    self._record(now, 2, node, "a retry in another zone", request)
                if kind.idempotency_scope is IdempotencyScope.CELL and entry.cell != other.entry.cell:
                    self._record(now, 2, node, "a retry in another cell", request)

    def check_reject(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """Check a rejection: it promises the client that a retry does no harm."""
        possibly_run = any(attempt.may_have_run() for attempt in request.sent_attempts)
        repeatable = request.kind.effect is Effect.SAFE or (
            request.kind.effect is Effect.KEYED and request.kind.idempotency_scope is IdempotencyScope.ALL
        )
        if possibly_run and not repeatable:
            self._record(now, 2, node, "rejected, though it may have run", request)

    def check_answer(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """Check a final answer before it is recorded."""
        if request.answered is not None:
            self._record(now, 1, node, "a second final answer", request)
        elif now > request.deadline + self._slack:
            self._record(
                now, 1, node, f"answered {now - request.deadline:.0f} ms after its deadline", request
            )

    def check_answered(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """Check that a request has its final answer once the deadline and the slack have passed."""
        if request.answered is None and not request.abandoned:
            self._record(now, 1, node, "no final answer", request)

    def check_overload(
        self, node_names: str, server: EndpointId, informed: float, now: float, node: SimNode
    ) -> None:
        """Check an overload of a server that warms up.

        It is a breach if two thirds of the load came from informed nodes.
        """
        if informed >= 2 / 3:
            text = (
                f"cold server {server.decode()} overloaded, {informed:.0%} by informed nodes ({node_names})"
            )
            self._record(now, 4, node, text, None)

    def invalid_action(self, node: SimNode, text: str, request: SimulatedRequest | None, now: float) -> None:
        """Record an action that the settings or the protocol do not allow."""
        self._record(now, 0, node, text, request)
