"""Requests that endpoints hold, by the load reports that come with their responses."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from crowpost.decision_api import EndpointId
from crowpost.decisions.endpoint_state import Endpoint


class LoadReports:
    """Requests that endpoints hold, of all nodes together, by reports no older than `max_age_ms`.

    column: where in a report the number of requests stands; None where no report tells of it.
    """

    def __init__(self, column: int | None, max_age_ms: float) -> None:
        self._column = column
        self._max_age_ms = max_age_ms
        self._reporting: dict[EndpointId, Endpoint] = {}  # with a fresh report, as of the last refresh
        self._held = 0.0  # requests that those hold
        self._share = 0.0  # the sum of their shares of the vector

    @property
    def held(self) -> float:
        """Requests of all nodes that endpoints hold, for a share of one; 0 where no report is fresh."""
        return self._held / self._share if self._share else 0.0

    def is_fresh(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's last report is recent enough to be used."""
        return now - endpoint.reported_at <= self._max_age_ms

    def refresh(self, now: float, share: Callable[[int], float]) -> None:
        """Drop reports that are too old.  share: of the vector, by an endpoint's index."""
        oldest = now - self._max_age_ms
        self._reporting = {
            name: endpoint
            for name, endpoint in self._reporting.items()
            if endpoint.index >= 0 and endpoint.reported_at >= oldest
        }
        reporting = self._reporting.values()
        self._held = sum([len(endpoint.in_flight) + endpoint.in_flight_elsewhere for endpoint in reporting])
        self._share = sum([share(endpoint.index) for endpoint in reporting])

    def count(self, endpoint: Endpoint, change: int) -> None:
        """Count an attempt of this node that the endpoint has got (1) or ended (-1)."""
        self._held += change if endpoint.entry.server in self._reporting else 0

    def record(
        self, endpoint: Endpoint, load: Sequence[float], now: float, share: Callable[[int], float]
    ) -> None:
        """Take in a report: what an endpoint holds less what this node has in flight there."""
        if self._column is None or self._column >= len(load):
            return
        before = endpoint.in_flight_elsewhere
        name = endpoint.entry.server
        endpoint.in_flight_elsewhere = max(0.0, load[self._column] - len(endpoint.in_flight))
        endpoint.reported_at = now
        if name in self._reporting:
            self._held += endpoint.in_flight_elsewhere - before
        elif endpoint.index >= 0:
            self._reporting[name] = endpoint
            self._held += endpoint.in_flight_elsewhere + len(endpoint.in_flight)
            self._share += share(endpoint.index)
