"""A call that waits for an idle connection or a new one, whichever is ready first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from crowpost.decision_api import Outcome
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import UpstreamConnection
from crowpost.node.upstream.dial_failure import DialFailure

if TYPE_CHECKING:
    from crowpost.node.upstream.interfaces import RacePool

# Maximum number of concurrent dials to one endpoint in parallel to waits: each costs the endpoint a
# handshake, and may never be established.
MAX_EXTRA_DIALS = 4

# Called with a new connection, or with the reason why it was not established in time.
OnDialled = Callable[[UpstreamConnection | DialFailure], None]


class ConnectionRace:
    """A call that waits for an idle connection to become reusable, possibly with a dial in parallel.

    The connection that is ready first carries the call; the other one is kept for a later call.
    """

    def __init__(self, pool: RacePool, connection: UpstreamConnection, call: Call, wait_s: float) -> None:
        self._pool = pool
        self._endpoint = connection.endpoint
        self._call = call
        self._idle_connection: UpstreamConnection | None = connection
        self._dialling = False
        self._decided = False
        connection.on_lost = self._on_idle_lost
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._on_reusable)
        if wait_s > self._endpoint.max_wait_s() and self._may_dial():
            self._dialling = True
            self._endpoint.extra_dials += 1
            pool.dial(self._endpoint, self._on_dialled)

    def _may_dial(self) -> bool:
        wanted = not self._call.finished and self._call.may_write()
        return wanted and self._endpoint.extra_dials < MAX_EXTRA_DIALS and self._pool.has_spare_capacity()

    def _stop_waiting(self) -> UpstreamConnection | None:
        """Stop waiting for the idle connection and return it; None if it is closed."""
        self._timer.cancel()
        connection = self._idle_connection
        self._idle_connection = None
        if connection is not None:
            connection.on_lost = None
        return connection

    def _on_reusable(self) -> None:
        connection = self._stop_waiting()
        assert connection is not None
        self._decided = True
        self._pool.dispatch(self._call, connection)

    def _on_idle_lost(self) -> None:
        """Handle that the idle connection was closed, or received bytes while no call was in flight."""
        self._stop_waiting()
        if self._call.finished or not self._endpoint.listed:
            self._decided = True
            self._call.finish(Outcome.CONNECT_FAILED)
        elif not self._dialling:
            self._decided = True
            self._pool.dial_for(self._endpoint, self._call)

    def _on_dialled(self, result: UpstreamConnection | DialFailure) -> None:
        self._endpoint.extra_dials -= 1
        self._dialling = False
        if isinstance(result, DialFailure):
            if not self._decided and self._idle_connection is None:
                self._decided = True
                self._call.finish(result.value)
        elif self._decided:
            self._pool.release(result)
        else:
            self._decided = True
            idle_connection = self._stop_waiting()
            if idle_connection is not None:
                self._pool.return_unused(idle_connection)
            self._pool.dispatch(self._call, result)
