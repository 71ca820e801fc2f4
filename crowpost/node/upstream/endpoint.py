"""An endpoint as it is listed, and the idle connections to it."""

from __future__ import annotations

import bisect
import math
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

WORTH_WAITING = 0.1  # of a server's usual answer time: beyond it a new connection is dialled beside the wait
SMOOTHING = 0.125  # of the usual answer time, as for TCP's smoothed round trip (RFC 6298)


class IdleConnection(Protocol):
    """What is kept idle for an endpoint."""

    idle_since: float  # seconds, in the loop's time


ConnectionT = TypeVar("ConnectionT", bound=IdleConnection)


def _idle_since(connection: IdleConnection) -> float:
    return connection.idle_since


@dataclass(slots=True, eq=False)
class Peer(Generic[ConnectionT]):
    """A server process as it is listed, and this node's idle connections to it, by `idle_since`."""

    name: str
    address: tuple[str, int]
    started_ms: float
    idle: list[ConnectionT] = field(default_factory=list)
    current: bool = True  # False once drained, gone or restarted: its connections are not kept
    answer_s: float | None = None  # the smoothed time of its good answers; None before the first
    growing: int = 0  # dials beside a connection that rests

    def most_recent(self, before: float) -> ConnectionT:
        """The idle connection used last of those used before this, or the first that will have been."""
        return self.idle[max(0, bisect.bisect_right(self.idle, before, key=_idle_since) - 1)]

    def keep(self, connection: ConnectionT) -> None:
        """One more idle connection."""
        bisect.insort(self.idle, connection, key=_idle_since)

    def answered(self, took_s: float) -> None:
        """It has given a good answer, so long after the call."""
        before = took_s if self.answer_s is None else self.answer_s
        self.answer_s = before + SMOOTHING * (took_s - before)

    def worth_waiting_s(self) -> float:
        """How long a call may wait for a connection to rest before a handshake is the lesser price."""
        return math.inf if self.answer_s is None else WORTH_WAITING * self.answer_s
