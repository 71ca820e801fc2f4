"""Protocols between calls, connections, races and the connection pool.

For type checkers only: no module imports this one at run time.
"""

from __future__ import annotations

from typing import Protocol

from crowpost.node.reading import ReadScheduler
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import Endpoint, UpstreamConnection
from crowpost.node.upstream.keep_alive import KeepAlive
from crowpost.node.upstream.race import OnDialled


class IdleConnection(Protocol):
    """A connection that the pool can keep idle."""

    idle_since: float  # seconds, in the loop's time


class CallConnection(Protocol):
    """The methods of a connection that a call uses."""

    def abort(self) -> None:
        """Close immediately."""

    def drop_response_body(self) -> None:
        """Read the response to its end, but keep nothing of its body."""

    def discard_response(self, deadline: float) -> None:
        """Read and discard the response until the deadline, in the loop's time."""


class ConnectionOwner(Protocol):
    """The attributes of the pool that a connection uses."""

    keep_alive: KeepAlive
    reads: ReadScheduler
    discarding: set[UpstreamConnection]

    def opened(self, connection: UpstreamConnection) -> None:
        """Register a connection that was established."""

    def closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that was closed."""

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call."""


class RacePool(Protocol):
    """The methods of the connection pool that a race uses."""

    def dial(
        self,
        endpoint: Endpoint,
        on_dialled: OnDialled,
    ) -> None:
        """Open a connection and pass it to `on_dialled`, or why it is not established in time."""

    def dial_for(self, endpoint: Endpoint, call: Call) -> None:
        """Carry the call on a new connection."""

    def dispatch(self, call: Call, connection: UpstreamConnection) -> None:
        """Carry the call on the connection, if the call may still be sent."""

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call."""

    def return_unused(self, connection: UpstreamConnection) -> None:
        """Keep a connection that was taken from the pool and carried no call."""

    def has_spare_capacity(self) -> bool:
        """Return whether one more connection may be opened without closing another."""
