"""What a process has learned, for the next process of the same node."""

from __future__ import annotations

from crowpost.decision_api import EndpointId, RememberedEndpoint, StateRestored
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.learning_automaton import LearnedEndpoint
from crowpost.decisions.outlier_detection import OutlierDetector

TRUST_HALF_LIFE_MS = 60_000.0  # in which the trust in what an earlier process learned halves
MIN_TRUST = 0.05  # less counts as none: an ejection is whole, however old


def _trust(age_ms: float) -> float:
    trust: float = 0.5 ** (max(age_ms, 0.0) / TRUST_HALF_LIFE_MS)
    return trust if trust >= MIN_TRUST else 0.0


def remember(endpoints: EndpointSet, first: int, most: int) -> list[RememberedEndpoint]:
    """Return what has been learned of so many listed endpoints, from one place in the list on."""
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
    """Weigh what an earlier process learned: by age, and only of endpoints that were not restarted since."""
    learned: dict[EndpointId, LearnedEndpoint] = {}
    for memory in event.endpoints:
        endpoint = endpoints.known.get(memory.server)
        trust = _trust(memory.age_ms)
        if endpoint is None or endpoint.index < 0 or not trust:
            continue
        if endpoint.entry.started_ms != memory.started_ms:
            continue  # another process than the one that it was learned of
        learned[memory.server] = LearnedEndpoint(memory.share_ratio, memory.average_ms, trust)
        if memory.ejected and not endpoint.ejected:
            outliers.restore_ejected(endpoint)
    endpoints.automaton.restore(learned)
    limiter.restore(event.limit_each, _trust(event.limit_age_ms))
