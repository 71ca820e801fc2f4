"""What a node keeps of servers, requests and attempts: facts only, no decision."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import crowpost.decision_api as api


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of a server."""

    entry: api.EndpointEntry
    listed: bool = True
    index: int = -1  # in the automaton's order, -1 while it is not there
    out: dict[tuple[api.RequestId, int], float] = field(default_factory=dict)  # oldest first
    heard: float = -math.inf
    fail: float = 0.0
    ejected: bool = False
    trial: bool = False
    strikes: int = 0
    rest_until: float = -math.inf
    ceiling: float = math.inf  # calls of ours that it is known to bear, once it has turned one away
    tokens: float = 0.0  # cold budget, in calls of mean work
    tokens_at: float = 0.0
    others: float = 0.0  # calls of other nodes that it holds, by its last load report
    told: float = -math.inf  # when that came
    marked: tuple[int, int] = (-1, 0)  # the last turn of homes that a mark was asked for, and that mark

    def mark(self, turn: int) -> int:
        """48 bits that are the server's own in each turn of homes, the same at every node."""
        if self.marked[0] != turn:
            digest = hashlib.blake2b(self.entry.server + turn.to_bytes(4, "big"), digest_size=6).digest()
            self.marked = turn, int.from_bytes(digest, "big")
        return self.marked[1]


class Reports:
    """Calls that servers hold, of all nodes together, by load reports no older than `span` ms.

    column: where in a report the calls stand; None where no report tells of them.
    """

    def __init__(self, column: int | None, span: float) -> None:
        self._column, self._span = column, span
        self._told: dict[api.EndpointId, Server] = {}  # servers with a report, as of the last look
        self._held = self._share = 0.0  # calls that those hold, and their share of the vector

    @property
    def held(self) -> float:
        """Calls of all nodes that servers hold, for a share of one; 0 where no fresh report tells."""
        return self._held / self._share if self._share else 0.0

    def fresh(self, server: Server, now: float) -> bool:
        """Whether the server's last report still tells of now."""
        return now - server.told <= self._span

    def look(self, now: float, share: Callable[[int], float]) -> None:
        """Leave out what has grown old; share: of the vector, by a server's index."""
        oldest = now - self._span
        self._told = {n: s for n, s in self._told.items() if s.index >= 0 and s.told >= oldest}
        self._held = sum([len(s.out) + s.others for s in self._told.values()])
        self._share = sum([share(s.index) for s in self._told.values()])

    def count(self, server: Server, by: int) -> None:
        """A call of this node's went out to the server, or came back."""
        self._held += by if server.entry.server in self._told else 0

    def note(self, server: Server, load: Sequence[float], now: float, share: Callable[[int], float]) -> None:
        """What a server holds for other nodes: all that it reports less what is out there from here."""
        if self._column is not None and self._column < len(load):
            known, name = server.others, server.entry.server
            server.others = max(0.0, load[self._column] - len(server.out))
            server.told = now
            if name in self._told:
                self._held += server.others - known
            elif server.index >= 0:
                self._told[name] = server
                self._held += server.others + len(server.out)
                self._share += share(server.index)


@dataclass(slots=True)
class Attempt:
    """One send: where, when, and how it ended (None while out)."""

    server: Server
    entry: api.EndpointEntry  # the server's row as it was then
    sent: float
    units: float = 1.0
    ended: api.Outcome | None = None

    def may_have_run(self) -> bool:
        return self.ended is None or self.ended not in api.NEVER_RAN


@dataclass(slots=True)
class Request:
    """A request that this node owes an answer."""

    id: api.RequestId
    kind: api.RequestClass
    class_index: int
    deadline: float
    units: float  # work, as a multiple of the mean request's
    priority_weight: float
    seq: int
    streamed: bool = False  # its body is passed on as it comes
    chance: float = 0.0  # in [0, 1): takes the fraction of the limit of calls out
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    hold_until: float = 0.0
    waiting: bool = False
    started: bool = False
    body_consumed: bool = False  # its streamed body has gone

    def repeatable(self) -> bool:
        return self.kind.effect is not api.Effect.UNSAFE and not self.streamed

    def risky(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.may_have_run()), None)

    def window_end_ms(self) -> float:
        """When the window for a further attempt is over; infinite where there is none, or none has begun."""
        first = self.risky()
        if first is None or self.kind.effect is not api.Effect.KEYED:
            return math.inf
        return first.sent + self.kind.idempotency_window_ms

    def tried(self, server: Server) -> bool:
        return any(a.server is server for a in self.attempts)
