"""What exchanges, connections and the listener need of each other.

For type checkers only: nothing here is imported while a node runs.
"""

from __future__ import annotations

from typing import Protocol

from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.http.body import ByteBudget
from crowpost.node.http.message import Message
from crowpost.node.metrics import Metrics


class ExchangeListener(Protocol):
    """What an exchange needs of the listener that its connection belongs to."""

    closing: bool
    metrics: Metrics
    budget: ByteBudget

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def release_body(self, exchange: Exchange) -> None:
        """Return the bytes of a request's body to the budget."""


class ExchangeConnection(Protocol):
    """What an exchange needs of the connection that its request came on."""

    reserved_bytes: int

    @property
    def listener(self) -> ExchangeListener:
        """The listener that accepted this connection."""

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no request has come behind this one."""

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange would be written now."""

    def client_has_left(self) -> bool:
        """Return whether the client has left while the connection is not read."""

    def on_client_left(self) -> None:
        """Close a connection whose client has left unseen."""

    def flush(self) -> None:
        """Write the output that is due."""

    def abort(self, *, reset: bool = False) -> None:
        """Close at once, with a reset if asked for."""


class ConnectionListener(ExchangeListener, Protocol):
    """What a client connection needs of the listener that accepted it."""

    def opened(self, connection: ClientConnection) -> None:
        """Count a connection that has been accepted."""

    def closed(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""

    def route(self, message: Message, exchange: Exchange) -> None:
        """Begin the work on a request; raise MessageError if it is not taken."""

    def check(self, message: Message) -> None:
        """Raise MessageError if a request with this head would not be taken."""
