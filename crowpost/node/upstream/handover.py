"""A call that waits for an idle connection or a new one, whichever is ready first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from crowpost.interface import Outcome
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import Connection
from crowpost.node.upstream.endpoint import Peer

GROWING_MOST = 4  # such dials at once to one server: they cost it handshakes, and may never come up


class HandoverPool(Protocol):
    """What a handover needs of the connection pool."""

    def dial(self, peer: Peer[Connection], done: Callable[[Connection | None], None]) -> None:
        """Open a connection and pass it on; None if it does not come up in time."""

    def open_for(self, peer: Peer[Connection], call: Call) -> None:
        """Have the call carried by a new connection."""

    def dispatch(self, call: Call, connection: Connection) -> None:
        """Have the connection carry the call, if it still may."""

    def rest(self, connection: Connection) -> None:
        """Keep a connection for the next call."""

    def put_back(self, connection: Connection) -> None:
        """Keep a connection that was taken up and carried nothing."""

    def spare(self) -> bool:
        """Return whether one more connection may be opened."""


class Handover:
    """A call between its decision and a connection that may carry it: one that rests, or a dial beside it.

    Whichever is there first carries the call; what the other brings is kept for the next one.
    """

    def __init__(self, servers: HandoverPool, connection: Connection, call: Call, left_s: float) -> None:
        self._servers, self._peer, self._call = servers, connection.peer, call
        self._resting: Connection | None = connection
        self._dialling = self._done = False
        connection.on_lost = self._lost
        self._timer = asyncio.get_running_loop().call_later(left_s, self._rested)
        if left_s > self._peer.worth_waiting_s() and self._may_dial():
            self._dialling = True
            self._peer.growing += 1
            servers.dial(self._peer, self._dialled)

    def _may_dial(self) -> bool:
        wanted = not self._call.ended and self._call.may_write()
        return wanted and self._peer.growing < GROWING_MOST and self._servers.spare()

    def _release(self) -> Connection | None:
        """The resting connection, for which nothing is waited any more."""
        self._timer.cancel()
        connection, self._resting = self._resting, None
        if connection is not None:
            connection.on_lost = None
        return connection

    def _rested(self) -> None:
        connection = self._release()
        assert connection is not None
        self._done = True
        self._servers.dispatch(self._call, connection)

    def _lost(self) -> None:
        """The resting connection has ended, or brought what nobody had asked for."""
        self._release()
        if self._call.ended or not self._peer.current:
            self._done = True
            self._call.end(Outcome.CONNECT_FAILED)
        elif not self._dialling:
            self._done = True
            self._servers.open_for(self._peer, self._call)

    def _dialled(self, connection: Connection | None) -> None:
        self._peer.growing -= 1
        self._dialling = False
        if self._done:
            if connection is not None:
                self._servers.rest(connection)
        elif connection is not None:
            self._done = True
            resting = self._release()
            if resting is not None:
                self._servers.put_back(resting)
            self._servers.dispatch(self._call, connection)
        elif self._resting is None:
            self._done = True
            self._call.end(Outcome.CONNECT_FAILED)
