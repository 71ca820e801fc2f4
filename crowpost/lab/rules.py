"""The four rules, checked on every action of every node while a run goes on.

This is a reading of the published pages of its own: it shares no code with the module.  A breach holds the
whole story of its request, from arrival to last answer.
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

# The outcomes that prove that an attempt never ran, by the protocol page.
PROOFS = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(slots=True)
class Breach:
    """A broken rule: when (ms), which, by whom, and the story of the request, a line each."""

    at_ms: float
    rule: int
    node: str
    text: str
    story: list[str] = field(default_factory=list)

    def lines(self) -> list[str]:
        """The breach as it is printed."""
        return [f"{self.at_ms:.1f} ms: rule {self.rule} broken by {self.node}: {self.text}", *self.story]


@dataclass(slots=True)
class Tried:
    """One attempt in the checker's own books."""

    entry: EndpointEntry
    sent: float
    outcome: Outcome | None = None

    def may_have_run(self) -> bool:
        """Nothing proves that it did not."""
        return self.outcome is None or self.outcome not in PROOFS


class Rules:
    """Keeps what each node was told and holds its actions against it.  Times are ms."""

    def __init__(self, grace_ms: float, slack_ms: float, most: int = 20) -> None:
        self.breaches: list[Breach] = []
        self.count = 0
        self._grace, self._slack, self._most = grace_ms, slack_ms, most

    def _break(
        self, now: float, rule: int, node: SimNode, text: str, request: SimulatedRequest | None
    ) -> None:
        self.count += 1
        if len(self.breaches) < self._most:
            story = request.story_lines() if request is not None else []
            self.breaches.append(Breach(now, rule, node.name, text, story))

    def told(self, node: SimNode, entry: EndpointEntry, now: float) -> None:
        """A node's list has named a server: from now on it knows."""
        known = node.known.get(entry.server)
        node.known[entry.server] = entry
        if entry.readiness is Readiness.READY:
            node.leaving.pop(entry.server, None)
        elif known is None or known.readiness is Readiness.READY:
            node.leaving[entry.server] = now

    def sent(
        self, node: SimNode, request: SimulatedRequest, server: EndpointId, settings: Settings, now: float
    ) -> None:
        """An attempt, before it is entered in the books."""
        entry = node.known.get(server)
        if entry is None:
            self._break(now, 3, node, f"sent to {server!r}, which no list has named", request)
            return
        since = node.leaving.get(server)
        if since is not None and now - since > self._grace:
            self._break(now, 3, node, f"sent {now - since:.0f} ms after the node was told it leaves", request)
        if request.answered is not None:
            self._break(now, 1, node, "sent for a request that has its final answer", request)
        if len(request.tried) >= settings.max_attempts:
            self._break(now, 2, node, f"more than {settings.max_attempts} attempts", request)
        risky = [t for t in request.tried if t.may_have_run()]
        if not risky:
            return
        kind = request.kind
        if not settings.may_hedge and any(t.outcome is None for t in risky):
            self._break(now, 2, node, "two attempts at once", request)
        if kind.effect is Effect.UNSAFE:
            self._break(now, 2, node, "an unsafe request sent again, though it may have run", request)
        elif kind.effect is Effect.KEYED:
            first = risky[0]
            if now - first.sent > kind.idempotency_window_ms:
                self._break(
                    now, 2, node, f"{now - first.sent:.0f} ms after the first, past the window", request
                )
            for other in risky:
                if kind.idempotency_scope is IdempotencyScope.ZONE and entry.zone != other.entry.zone:
                    self._break(now, 2, node, "a repeat in another zone", request)
                if kind.idempotency_scope is IdempotencyScope.CELL and entry.cell != other.entry.cell:
                    self._break(now, 2, node, "a repeat in another cell", request)

    def refused(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """A refusal promises that trying again does no harm."""
        risky = any(t.may_have_run() for t in request.tried)
        harmless = request.kind.effect is Effect.SAFE or (
            request.kind.effect is Effect.KEYED and request.kind.idempotency_scope is IdempotencyScope.ALL
        )
        if risky and not harmless:
            self._break(now, 2, node, "refused, though it may have run", request)

    def answered(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """A final answer, before it is entered."""
        if request.answered is not None:
            self._break(now, 1, node, "a second final answer", request)
        elif now > request.deadline + self._slack:
            self._break(now, 1, node, f"answered {now - request.deadline:.0f} ms after its deadline", request)

    def overdue(self, node: SimNode, request: SimulatedRequest, now: float) -> None:
        """The deadline and the slack have passed."""
        if request.answered is None and not request.gone:
            self._break(now, 1, node, "no final answer", request)

    def fell(self, node_names: str, server: EndpointId, told: float, now: float, cause: SimNode) -> None:
        """A cold server has fallen; the rule is broken if two thirds of its load came from those who knew."""
        if told >= 2 / 3:
            text = f"cold server {server.decode()} pushed over, {told:.0%} by nodes that knew ({node_names})"
            self._break(now, 4, cause, text, None)

    def bad_action(self, node: SimNode, text: str, request: SimulatedRequest | None, now: float) -> None:
        """An action that the settings or the protocol do not allow."""
        self._break(now, 0, node, text, request)
