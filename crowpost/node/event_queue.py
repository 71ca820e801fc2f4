"""The queue of events for the decision module."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from crowpost.decision_api import Event


class EventQueue:
    """Delivers events one at a time, in the order in which they were posted.

    Executing an action may post the next event.  It is queued until the decision module has returned, as the
    module's state is consistent only then.
    """

    def __init__(self) -> None:
        self.delivering = False
        self._events: deque[Event] = deque()
        self._handle: Callable[[Event], None] | None = None
        self._on_empty: Callable[[], None] | None = None

    def connect(self, handle: Callable[[Event], None], on_empty: Callable[[], None]) -> None:
        """Deliver events to `handle`, and call `on_empty` whenever the queue has become empty."""
        self._handle = handle
        self._on_empty = on_empty

    def post(self, event: Event) -> None:
        """Deliver an event now, or after the events that are being delivered."""
        self._events.append(event)
        if self.delivering:
            return
        assert self._handle is not None
        assert self._on_empty is not None
        self.delivering = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self.delivering = False
            self._on_empty()
