"""Pipelined requests: which of one connection's requests are worked on, and how many may wait."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import islice

from crowpost.node.downstream.exchange import Exchange
from crowpost.node.http.message import MAX_BODY, Message

MAX_CONCURRENT = 2  # requests of one connection that are worked on at once; later ones wait
MAX_PIPELINED = 32  # requests of one connection in all; later ones are not accepted


def next_waiting(exchanges: Iterable[Exchange]) -> Exchange | None:
    """Return the first exchange whose request waits behind others, if few enough are worked on."""
    first = list(islice(exchanges, MAX_CONCURRENT))
    return next((exchange for exchange in first if exchange.message is not None), None)


def exceeds_limits(exchanges: Sequence[Exchange], message: Message) -> bool:
    """Return whether with this request too many requests, or bytes of their bodies, would wait."""
    # The buffer of a long body is counted only once it is worked on.
    max_requests = MAX_PIPELINED if message.upload is None else MAX_CONCURRENT
    if len(exchanges) >= max_requests:
        return True
    waiting = [exchange.message for exchange in exchanges if exchange.message is not None]
    waiting_bytes = sum(len(earlier.body) for earlier in waiting)
    return waiting_bytes > 0 and waiting_bytes + len(message.body) > MAX_BODY
