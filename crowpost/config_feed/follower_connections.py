"""Connections that a distribution server accepted, and the index of them by scope."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from crowpost.config_feed.documents import DocumentHeader
from crowpost.config_feed.frames import FrameReader
from crowpost.config_feed.messages import FetchRequest, Hello
from crowpost.config_feed.scopes import Subscription, scopes_for_node
from crowpost.config_feed.token_bucket import TokenBucket


@dataclass(slots=True, eq=False)
class FollowerConnection:
    """An accepted connection; it has a `hello` once it is a follower's.  Times in ms."""

    number: int
    reader: FrameReader
    last_received_at: float
    bucket: TokenBucket
    hello: Hello | None = None
    subscription: Subscription = field(default_factory=Subscription)
    pending_headers: dict[str, DocumentHeader] = field(default_factory=dict)  # to be sent, by scope
    fetch_queue: deque[FetchRequest] = field(default_factory=deque)
    blocked_at: float = math.inf  # since when the socket accepts no more
    is_queued: bool = False  # for sending
    is_closed: bool = False

    @property
    def is_blocked(self) -> bool:
        """Whether the socket accepts no more for now."""
        return not math.isinf(self.blocked_at)

    @property
    def has_data(self) -> bool:
        """Whether headers or bodies are to be sent."""
        return bool(self.fetch_queue or self.pending_headers)


class SubscriptionIndex:
    """Finds the connections whose followers watch a scope."""

    def __init__(self) -> None:
        self._by_scope: dict[str, dict[int, FollowerConnection]] = {}
        self._all_scopes: dict[int, FollowerConnection] = {}

    def add(self, connection: FollowerConnection) -> None:
        """Add a connection under its subscription."""
        subscription = connection.subscription
        if subscription.all_scopes:
            self._all_scopes[connection.number] = connection
            return
        for scope in scopes_for_node(subscription.region, subscription.service, subscription.node):
            self._by_scope.setdefault(scope, {})[connection.number] = connection

    def remove(self, connection: FollowerConnection) -> None:
        """Remove a connection."""
        self._all_scopes.pop(connection.number, None)
        subscription = connection.subscription
        for scope in scopes_for_node(subscription.region, subscription.service, subscription.node):
            group = self._by_scope.get(scope)
            if group is None:
                continue
            group.pop(connection.number, None)
            if not group:
                del self._by_scope[scope]

    def watching(self, scope: str) -> Iterator[FollowerConnection]:
        """Yield the connections that watch a scope, those of all scopes last."""
        yield from self._by_scope.get(scope, {}).values()
        yield from self._all_scopes.values()
