"""Polling for the endpoint list, and asking again after discovery has failed."""

from __future__ import annotations

import math

from crowpost.decision_api import ListKind, Log, Subscribe
from crowpost.decisions.context import Context
from crowpost.decisions.timers import TimerKind

REPLY_FRACTION = 0.5  # of the poll interval, after which a poll without a reply is made again
MIN_BACKOFF_FRACTION = 0.1  # of the poll interval, after the first failure; doubles with each
MAX_BACKOFF_FRACTION = 0.5
MAX_BACKOFF_EXPONENT = 10
MIN_BACKOFF_JITTER = 0.5
BACKOFF_JITTER_RANGE = 0.5
FIRST_POLL_FRACTION = 0.3  # of the poll interval, within which nodes spread their first polls


class ListPoller:
    """Plans the polls for the endpoint list."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._subscribed = False
        self._failures = 0  # in a row
        self._poll_at = math.inf

    def on_failed(self) -> None:
        """Poll again, later each time: discovery is down or refuses, and the last list is kept."""
        self._subscribed = False
        self._failures += 1
        if self._failures == 1:
            text = "server list lost: a call failed or the subscription broke"
            self._context.actions.append(Log(text))
        self._plan_poll(self._backoff_ms())

    def on_list(self, kind: ListKind) -> None:
        """Take in that a list has come."""
        if kind is not ListKind.CACHED:
            self._subscribed = True
            if self._failures:
                text = f"server list found again after {self._failures} failed calls"
                self._context.actions.append(Log(text))
                self._failures = 0
        elif self._context.settings.poll_for_list:
            # All nodes may start at once: spread their first polls, well inside the time to ask.
            spread = self._context.rng.random() * FIRST_POLL_FRACTION
            self._plan_poll(spread * self._context.settings.list_poll_ms)

    def on_timer(self) -> None:
        """Poll, unless a later poll has been planned instead."""
        if self._context.now < self._poll_at:
            return
        self._poll_at = math.inf
        if not self._subscribed:
            self._context.actions.append(Subscribe())
            self._plan_poll(REPLY_FRACTION * self._context.settings.list_poll_ms)  # in case no reply comes

    def _plan_poll(self, pause_ms: float) -> None:
        """Plan a poll; one is planned at a time, and a new plan replaces the old.

        Guards against polls that multiply while the list is out of reach: a timer for each failed poll beside
        the one that guards the poll itself doubled them with every backoff, on every node at once.
        """
        self._poll_at = self._context.now + pause_ms
        self._context.timers.at(self._poll_at, TimerKind.POLL_LIST)

    def _backoff_ms(self) -> float:
        interval = self._context.settings.list_poll_ms
        doubled = 2.0 ** min(self._failures - 1, MAX_BACKOFF_EXPONENT)
        backoff = min(MAX_BACKOFF_FRACTION * interval, MIN_BACKOFF_FRACTION * interval * doubled)
        return backoff * (MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * self._context.rng.random())
