"""Polling for the endpoint list, and retries after discovery has failed."""

from __future__ import annotations

import math

from crowpost.decision_api import ListKind, Log, Subscribe
from crowpost.decisions.context import Context
from crowpost.decisions.timers import TimerKind

REPLY_FRACTION = 0.5  # Part of the poll interval after which a poll without a reply is repeated
# Parts of the poll interval: the backoff after the first failure, which doubles with each further one, and
# the greatest backoff.
MIN_BACKOFF_FRACTION = 0.1
MAX_BACKOFF_FRACTION = 0.5
MAX_BACKOFF_EXPONENT = 10
MIN_BACKOFF_JITTER = 0.5
BACKOFF_JITTER_RANGE = 0.5
FIRST_POLL_FRACTION = 0.3  # Part of the poll interval over which nodes spread their first polls


class ListPoller:
    """Schedules the polls for the endpoint list."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._subscribed = False
        self._failures = 0  # Consecutive failures
        self._poll_at = math.inf

    def on_failed(self) -> None:
        """Poll again after a growing backoff, as discovery is down or rejects; the last list stays."""
        self._subscribed = False
        self._failures += 1
        if self._failures == 1:
            text = "server list lost: a call failed or the subscription broke"
            self._context.actions.append(Log(text))
        self._schedule_poll(self._backoff_ms())

    def on_list(self, kind: ListKind) -> None:
        """Record that a list has arrived; if it is only a cached one, schedule the first poll."""
        if kind is not ListKind.CACHED:
            self._subscribed = True
            if self._failures:
                text = f"server list found again after {self._failures} failed calls"
                self._context.actions.append(Log(text))
                self._failures = 0
        elif self._context.settings.poll_for_list:
            # All nodes may start at once: spread their first polls, well within the poll interval.
            fraction = self._context.rng.random() * FIRST_POLL_FRACTION
            self._schedule_poll(fraction * self._context.settings.list_poll_ms)

    def on_timer(self) -> None:
        """Poll, unless a later poll has been scheduled instead."""
        if self._context.now < self._poll_at:
            return
        self._poll_at = math.inf
        if not self._subscribed:
            self._context.actions.append(Subscribe())
            # Repeat the poll if no reply comes.
            self._schedule_poll(REPLY_FRACTION * self._context.settings.list_poll_ms)

    def _schedule_poll(self, pause_ms: float) -> None:
        """Schedule a poll in place of the one that is scheduled, if any.

        Polls would multiply otherwise while discovery is unreachable: a timer for each failed poll, added
        to the timer that repeats a poll without a reply, doubled them with every backoff, on all nodes at
        once.
        """
        self._poll_at = self._context.now + pause_ms
        self._context.timers.at(self._poll_at, TimerKind.POLL_LIST)

    def _backoff_ms(self) -> float:
        interval = self._context.settings.list_poll_ms
        doubled = 2.0 ** min(self._failures - 1, MAX_BACKOFF_EXPONENT)
        backoff = min(MAX_BACKOFF_FRACTION * interval, MIN_BACKOFF_FRACTION * interval * doubled)
        return backoff * (MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * self._context.rng.random())
