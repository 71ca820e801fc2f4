"""Saving and restoring what a process has learned, for the next process of the same node."""

from __future__ import annotations

from crowpost.decision_api import EndpointId, RememberedEndpoint, StateRestored
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.learning_automaton import LearnedEndpoint
from crowpost.decisions.outlier_detection import OutlierDetector

TRUST_HALF_LIFE_MS = 60_000.0  # Half-life of the trust in what an earlier process learned
MIN_TRUST = 0.05  # Less counts as none, since an ejection cannot be restored in part


def _trust(age_ms: float) -> float:
    trust: float = 0.5 ** (max(age_ms, 0.0) / TRUST_HALF_LIFE_MS)
    return trust if trust >= MIN_TRUST else 0.0


def remember(endpoints: EndpointSet, first: int, most: int) -> list[RememberedEndpoint]:
    """Return what was learned about at most `most` listed endpoints, from index `first` on."""
    automaton = endpoints.automaton
    listed = endpoints.listed
    return [
        RememberedEndpoint(
            endpoint.entry.server,
            endpoint.entry.started_ms,
            automaton.share(endpoint.index) * len(listed),
            automaton.averages[endpoint.index],
            endpoint.ejected,
        )
        for endpoint in listed[first : first + most]
    ]


def restore(
    event: StateRestored, endpoints: EndpointSet, outliers: OutlierDetector, limiter: ConcurrencyLimiter
) -> None:
    """Restore what an earlier process learned, weighted by age, about endpoints that have not restarted."""
    learned: dict[EndpointId, LearnedEndpoint] = {}
    for remembered in event.endpoints:
        endpoint = endpoints.known.get(remembered.server)
        trust = _trust(remembered.age_ms)
        if endpoint is None or endpoint.index < 0 or not trust:
            continue
        if endpoint.entry.started_ms != remembered.started_ms:
            continue  # The endpoint has restarted since
        learned[remembered.server] = LearnedEndpoint(remembered.share_ratio, remembered.average_ms, trust)
        if remembered.ejected and not endpoint.ejected:
            outliers.restore_ejected(endpoint)
    endpoints.automaton.restore(learned)
    limiter.restore(event.limit_each, _trust(event.limit_age_ms))
