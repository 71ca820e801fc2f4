"""The connections that a distribution server accepted, and their index by scope."""

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
    """An accepted connection; `hello` is set once a follower has sent its Hello.  Times in ms."""

    number: int
    reader: FrameReader
    last_received_at: float
    bucket: TokenBucket
    hello: Hello | None = None
    subscription: Subscription = field(default_factory=Subscription)
    # Headers to send, by scope.
    pending_headers: dict[str, DocumentHeader] = field(default_factory=dict)
    fetch_queue: deque[FetchRequest] = field(default_factory=deque)
    # When the write buffer became full; infinite while it has space.
    blocked_at: float = math.inf
    # Whether the connection is in the queue of the SendScheduler.
    is_queued: bool = False
    is_closed: bool = False

    @property
    def is_blocked(self) -> bool:
        """Whether the write buffer is full."""
        return not math.isinf(self.blocked_at)

    @property
    def has_data(self) -> bool:
        """Whether there are headers or bodies to send."""
        return bool(self.fetch_queue or self.pending_headers)


class SubscriptionIndex:
    """Finds the connections whose followers subscribe to a scope."""

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

    def subscribers(self, scope: str) -> Iterator[FollowerConnection]:
        """Yield the connections that subscribe to a scope, those that subscribe to all scopes last."""
        yield from self._by_scope.get(scope, {}).values()
        yield from self._all_scopes.values()
