"""Limits on pipelined requests: how many of one connection are in flight, and how many may wait."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import islice

from crowpost.node.downstream.exchange import Exchange
from crowpost.node.http.message import MAX_BODY, Message

# The most requests of one connection that are in flight at once; later ones wait.
MAX_CONCURRENT = 2
# The most requests of one connection, in flight and waiting; later ones are not accepted.
MAX_PIPELINED = 32


def next_waiting(exchanges: Iterable[Exchange]) -> Exchange | None:
    """Return the first exchange whose request waits, if fewer than MAX_CONCURRENT are in flight."""
    first = list(islice(exchanges, MAX_CONCURRENT))
    return next((exchange for exchange in first if exchange.message is not None), None)


def exceeds_limits(exchanges: Sequence[Exchange], message: Message) -> bool:
    """Return whether this request would bring its connection over the limit of requests or body bytes."""
    # A streamed body is counted against the byte budget only once its request is in flight, so none may wait.
    max_requests = MAX_PIPELINED if message.upload is None else MAX_CONCURRENT
    if len(exchanges) >= max_requests:
        return True
    waiting = [exchange.message for exchange in exchanges if exchange.message is not None]
    waiting_bytes = sum(len(earlier.body) for earlier in waiting)
    return waiting_bytes > 0 and waiting_bytes + len(message.body) > MAX_BODY
