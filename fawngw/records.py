"""What a node keeps of servers, requests and attempts: facts only, no decision."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import fawngw.interface as api


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of a server."""

    entry: api.ServerEntry
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
    ring: float = -1.0  # its place on this node's ring, in parts of a turn; -1 before it is hashed


@dataclass(slots=True)
class Attempt:
    """One send: where, when, and how it ended (None while out)."""

    server: Server
    entry: api.ServerEntry  # the server's row as it was then
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
    worth: float
    seq: int
    streamed: bool = False  # its body is passed on as it comes
    chance: float = 0.0  # in [0, 1): takes the fraction of the limit of calls out
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    hold_until: float = 0.0
    waiting: bool = False
    started: bool = False
    spent: bool = False  # its streamed body has gone

    def repeatable(self) -> bool:
        return self.kind.effect is not api.Effect.UNSAFE and not self.streamed

    def risky(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.may_have_run()), None)

    def tried(self, server: Server) -> bool:
        return any(a.server is server for a in self.attempts)
