"""The close of a client connection after its last response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from crowpost.node.downstream import timeouts

if TYPE_CHECKING:
    from crowpost.node.downstream.interfaces import LingeringConnection


class LingeringClose:
    """Closes a connection once its client has had time to read the last response.

    A close with unread input sends a reset, which could reach the client before the response, so the
    connection discards input for a while.
    """

    def __init__(self, connection: LingeringConnection, now: float) -> None:
        self._connection = connection
        self._until = now + timeouts.MAX_LINGER_S
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(timeouts.LINGER_S, self._check)

    def cancel(self) -> None:
        """Do nothing more, as the connection is lost."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._connection.has_recent_activity(receiving_until=self._until):
            self._timer = self._loop.call_later(timeouts.LINGER_S, self._check)
        else:
            self._connection.abort()
