"""What calls, connections, races and the connection pool need of each other.

For type checkers only: nothing here is imported while a node runs.
"""

from __future__ import annotations

from typing import Protocol

from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import Endpoint, UpstreamConnection
from crowpost.node.upstream.keep_alive import KeepAlive
from crowpost.node.upstream.race import OnDialled


class IdleConnection(Protocol):
    """A connection that can be kept idle."""

    idle_since: float  # seconds, in the loop's time


class CallConnection(Protocol):
    """What a call needs of the connection that carries it."""

    def abort(self) -> None:
        """Close at once."""

    def discard_response(self, deadline: float) -> None:
        """Read the response away until the deadline, in the loop's time."""


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that opened it."""

    keep_alive: KeepAlive
    discarding: set[UpstreamConnection]

    def opened(self, connection: UpstreamConnection) -> None:
        """Count a connection that has come up."""

    def closed(self, connection: UpstreamConnection) -> None:
        """Forget a connection that has ended."""

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call."""


class RacePool(Protocol):
    """What a race needs of the connection pool."""

    def dial(
        self,
        endpoint: Endpoint,
        on_dialled: OnDialled,
    ) -> None:
        """Open a connection and pass it on; None if it does not come up in time."""

    def dial_for(self, endpoint: Endpoint, call: Call) -> None:
        """Have the call carried by a new connection."""

    def dispatch(self, call: Call, connection: UpstreamConnection) -> None:
        """Have the connection carry the call, if it still may."""

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call."""

    def return_unused(self, connection: UpstreamConnection) -> None:
        """Keep a connection that was taken up and carried nothing."""

    def has_spare_capacity(self) -> bool:
        """Return whether one more connection may be opened."""
