"""The open requests of a node, and their attempts."""

from __future__ import annotations

from crowpost.decision_api import RequestId
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import AttemptKey, Endpoint
from crowpost.decisions.request_state import Attempt, Request


class RequestTable:
    """Open requests and attempts.

    An attempt is waiting while its endpoint works on it, and streaming while a long body is being sent or a
    long response is being received.
    """

    def __init__(self, endpoints: EndpointSet) -> None:
        self._endpoints = endpoints
        self.requests: dict[RequestId, Request] = {}
        self.waiting: dict[AttemptKey, Attempt] = {}
        self.streaming: dict[AttemptKey, Attempt] = {}

    def start_waiting(self, key: AttemptKey, attempt: Attempt, now: float) -> None:
        """Count an attempt as in flight at its endpoint."""
        attempt.endpoint.in_flight[key] = now
        self._endpoints.count_in_flight(attempt.endpoint, 1)
        self.waiting[key] = attempt

    def stop_waiting(self, key: AttemptKey, endpoint: Endpoint) -> None:
        """Count an attempt as no longer in flight at its endpoint."""
        if endpoint.in_flight.pop(key, None) is not None:
            self._endpoints.count_in_flight(endpoint, -1)
