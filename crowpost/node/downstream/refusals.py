"""Counts the requests that clients sent in vain, so that the log has a line for each reason and interval.

A client can send thousands of requests a second that are not served; a line for each of them would fill the
log and hide everything else.
"""

from __future__ import annotations

import logging
from collections import Counter

log = logging.getLogger(__name__)

# The most reasons with a line of their own in one interval; a reason may contain what a client sent.
MAX_REASONS = 8
OTHER_REASONS = "other reasons"


class RefusalLog:
    """The reasons for which requests were not served since they were last logged."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def count(self, reason: str) -> None:
        """Count one request that was not served."""
        known = reason in self._counts or len(self._counts) < MAX_REASONS
        self._counts[reason if known else OTHER_REASONS] += 1

    def write(self) -> None:
        """Log each reason with its number of requests, and start anew."""
        for reason, count in self._counts.items():
            times = f" ({count} times)" if count > 1 else ""
            log.info("%s%s", reason, times)
        self._counts.clear()
