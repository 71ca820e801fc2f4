"""The number of requests in flight at endpoints, from the load reports in their responses."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from crowpost.decision_api import EndpointId
from crowpost.decisions.endpoint_state import Endpoint


class LoadReports:
    """The number of requests of all nodes in flight at endpoints, by reports no older than `max_age_ms`.

    column: position of that number in a report; None if reports do not contain it.
    """

    def __init__(self, column: int | None, max_age_ms: float) -> None:
        self._column = column
        self._max_age_ms = max_age_ms
        self._reporting: dict[EndpointId, Endpoint] = {}  # Endpoints with a fresh report
        self._in_flight = 0.0  # Requests in flight at these endpoints
        self._share = 0.0  # Sum of their shares in the vector

    @property
    def in_flight(self) -> float:
        """Requests of all nodes in flight at all endpoints, scaled up by share; 0 if no report is fresh."""
        return self._in_flight / self._share if self._share else 0.0

    def is_fresh(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether the endpoint's last report is recent enough to be used."""
        return now - endpoint.reported_at <= self._max_age_ms

    def refresh(self, now: float, share: Callable[[int], float]) -> None:
        """Drop reports that are too old.  share: returns the share of an endpoint by its index."""
        oldest = now - self._max_age_ms
        self._reporting = {
            name: endpoint
            for name, endpoint in self._reporting.items()
            if endpoint.index >= 0 and endpoint.reported_at >= oldest
        }
        reporting = self._reporting.values()
        self._in_flight = sum(
            [len(endpoint.in_flight) + endpoint.in_flight_elsewhere for endpoint in reporting]
        )
        self._share = sum([share(endpoint.index) for endpoint in reporting])

    def count(self, endpoint: Endpoint, change: int) -> None:
        """Count an attempt of this node that has started (1) or ended (-1) at an endpoint."""
        self._in_flight += change if endpoint.entry.server in self._reporting else 0

    def record(
        self, endpoint: Endpoint, load: Sequence[float], now: float, share: Callable[[int], float]
    ) -> None:
        """Record a report: what is in flight at the endpoint, except the requests of this node."""
        if self._column is None or self._column >= len(load):
            return
        before = endpoint.in_flight_elsewhere
        name = endpoint.entry.server
        endpoint.in_flight_elsewhere = max(0.0, load[self._column] - len(endpoint.in_flight))
        endpoint.reported_at = now
        if name in self._reporting:
            self._in_flight += endpoint.in_flight_elsewhere - before
        elif endpoint.index >= 0:
            self._reporting[name] = endpoint
            self._in_flight += endpoint.in_flight_elsewhere + len(endpoint.in_flight)
            self._share += share(endpoint.index)
