"""Protocols between exchanges, client connections and the listener.

They serve type checkers only: nothing here is imported while a node runs.
"""

from __future__ import annotations

from typing import Protocol

from crowpost.node.byte_budget import ByteBudget
from crowpost.node.downstream.connection import ClientConnection
from crowpost.node.downstream.exchange import Exchange
from crowpost.node.downstream.refusals import RefusalLog
from crowpost.node.http.message import Message
from crowpost.node.metrics import Metrics
from crowpost.node.reading import ReadScheduler


class ExchangeListener(Protocol):
    """The part of the listener that an exchange uses."""

    closing: bool
    metrics: Metrics
    budget: ByteBudget

    def now(self) -> float:
        """Return monotonic time in seconds."""


class ExchangeConnection(Protocol):
    """The part of its client connection that an exchange uses."""

    @property
    def listener(self) -> ExchangeListener:
        """The listener that accepted this connection."""

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether this is the last request received on the connection so far."""

    def accepts_output_of(self, exchange: Exchange) -> bool:
        """Return whether output of this exchange can be written to the client now."""

    def client_has_left(self) -> bool:
        """Return whether the client has closed its end, even if the node has not read up to there."""

    def on_client_left(self) -> None:
        """Close the connection after `client_has_left` has found that the client closed its end."""

    def flush(self) -> None:
        """Write the output that can be sent now."""

    def abort(self, *, reset: bool = False) -> None:
        """Close immediately; with `reset`, send a TCP reset."""


class LingeringConnection(Protocol):
    """The part of a client connection that its lingering close uses."""

    def has_recent_activity(self, *, receiving_until: float) -> bool:
        """Return whether the client has just sent something or has yet to read the last output."""

    def abort(self, *, reset: bool = False) -> None:
        """Close immediately; with `reset`, send a TCP reset."""


class ConnectionListener(ExchangeListener, Protocol):
    """The part of the listener that a client connection uses."""

    reads: ReadScheduler
    refusals: RefusalLog

    def opened(self, connection: ClientConnection) -> None:
        """Register an accepted connection."""

    def closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""

    def route(self, message: Message, exchange: Exchange) -> None:
        """Start handling a request; raise MessageError if the node does not serve it."""

    def count_rejection(self) -> None:
        """Count a request that was rejected because the connection or memory limit was reached."""

    def class_index_of(self, message: Message) -> int | None:
        """Return the index of the class that a head names; None if it names none."""

    def check(self, message: Message) -> None:
        """Raise MessageError if the node would not serve a request with this head."""
