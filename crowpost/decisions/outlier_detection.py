"""Outlier detection: unresponsive and failing endpoints, compared with their peers, and their return."""

from __future__ import annotations

import math
from itertools import islice

from crowpost.decision_api import CloseIdle, EndpointId, HealthCheck, HealthCheckEnded, Log, Outcome
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.estimators import ExpectedLatency
from crowpost.decisions.timers import TimerKind

FAILURE_STEP = 0.3  # Two failures in a row exceed EJECTION_FAILURE_RATE, one never does
EJECTION_FAILURE_RATE = 0.45
# An ejected endpoint must also fail at this multiple of its peers' rate, so that a shared cause ejects none.
PEER_FAILURE_FACTOR = 2.0
MIN_FAILURE_RATE = 0.01  # Lower failure rates do not count in the rate of the peers
RESET_FAILURE_RATE = 0.05  # Below this rate the earlier ejections of an endpoint are forgotten
MAX_EJECTED_FRACTION = 0.34  # Greatest part of the listed endpoints that is ejected at once
# If a greater part is unhealthy, health is ignored, as the endpoints are not the cause.
PANIC_THRESHOLD = 0.5
PANIC_SAMPLE_SIZE = 128  # Most busy endpoints that are examined for the panic threshold
# Parts of the warm-up time: the backoff of the first ejection, which doubles with each further one, and the
# greatest backoff.
MIN_BACKOFF_FRACTION = 0.2
MAX_BACKOFF_FRACTION = 1.0
MAX_BACKOFF_EXPONENT = 10
MIN_BACKOFF_JITTER = 0.75
BACKOFF_JITTER_RANGE = 0.5
DEFAULT_WARM_UP_MS = 10_000.0


def _may_exclude_one_more(unavailable: int, endpoints: int) -> bool:
    """Return whether one more endpoint may be excluded in addition to those that are unavailable already."""
    return unavailable + 1 <= max(1.0, MAX_EJECTED_FRACTION * endpoints)


class OutlierDetector:
    """Decides which endpoints are avoided, and for how long."""

    def __init__(self, context: Context, endpoints: EndpointSet) -> None:
        self._context = context
        self._endpoints = endpoints
        self.expected = ExpectedLatency()
        self._suspects: dict[EndpointId, Endpoint] = {}  # Failing, ejected or paused endpoints

    # ------------------------------------------------------------ state

    def _listed_suspects(self) -> list[Endpoint]:
        """Return the listed endpoints that are failing, ejected or paused, and drop the others."""
        now = self._context.now
        for name, endpoint in list(self._suspects.items()):
            is_failing = endpoint.failure_rate > MIN_FAILURE_RATE
            if not (endpoint.ejected or is_failing or endpoint.paused_until > now):
                del self._suspects[name]
        return [endpoint for endpoint in self._suspects.values() if endpoint.index >= 0]

    def is_unresponsive(self, endpoint: Endpoint, overdue_after: float) -> bool:
        """Return whether an endpoint has not responded for longer than its peers take.

        The time allowed shrinks with the square root of the number of its attempts in flight, so that they
        count before they end.
        """
        if not endpoint.in_flight:
            return False
        since = max(next(iter(endpoint.in_flight.values())), endpoint.last_response_at)
        return self._context.now - since > overdue_after / math.sqrt(len(endpoint.in_flight))

    def in_panic(self) -> bool:
        """Return whether more than half of the listed endpoints are ejected or unresponsive."""
        busy = self._endpoints.busy
        threshold = PANIC_THRESHOLD * len(self._endpoints.listed)
        if len(self._suspects) + len(busy) <= threshold:
            return False  # Only a busy endpoint can be unresponsive
        overdue_after = self.expected.overdue_after()
        unresponsive = sum(
            not endpoint.ejected and endpoint.index >= 0 and self.is_unresponsive(endpoint, overdue_after)
            for endpoint in islice(busy.values(), PANIC_SAMPLE_SIZE)
        )
        ejected = sum(endpoint.ejected for endpoint in self._listed_suspects())
        return ejected + unresponsive * max(1.0, len(busy) / PANIC_SAMPLE_SIZE) > threshold

    def count_unhealthy(self) -> int:
        """Return how many listed endpoints are avoided at the current event."""
        overdue_after = self.expected.overdue_after()
        return sum(
            1
            for endpoint in self._endpoints.listed
            if endpoint.ejected or self.is_unresponsive(endpoint, overdue_after)
        )

    # ------------------------------------------------------------ pauses

    def pause(self, endpoint: Endpoint, span_ms: float) -> None:
        """Skip an endpoint for a time span."""
        endpoint.paused_until = self._context.now + span_ms
        self._suspects[endpoint.entry.server] = endpoint

    def pause_if_allowed(self, endpoint: Endpoint, span_ms: float) -> None:
        """Pause an endpoint, unless too many of those that would take its requests are unavailable already.

        With a subset only its endpoints count.  Where requests to other zones have a price these are in the
        node's own zone: when the whole set was counted, pauses sent the zone's requests to other zones.
        """
        endpoints = self._endpoints
        now = self._context.now
        has_subset = endpoints.subset is not None and len(endpoints.subset) > 1
        avoided = [
            suspect for suspect in self._listed_suspects() if suspect.ejected or suspect.paused_until > now
        ]
        unavailable = (
            sum(endpoints.in_subset[suspect.index] for suspect in avoided) if has_subset else len(avoided)
        )
        total = len(endpoints.subset or ()) if has_subset else len(endpoints.listed)
        if _may_exclude_one_more(unavailable, total):
            self.pause(endpoint, span_ms)

    # ------------------------------------------------------------ ejection

    def record_success(self, endpoint: Endpoint) -> None:
        """Record that an endpoint has served a request."""
        endpoint.failure_rate -= FAILURE_STEP * endpoint.failure_rate
        if endpoint.half_open:
            endpoint.half_open = False
            text = f"server {endpoint.entry.server.hex()} returns after a good trial"
            self._context.actions.append(Log(text))
        elif not endpoint.ejected and endpoint.failure_rate < RESET_FAILURE_RATE:
            endpoint.ejections = 0

    def record_failure(self, endpoint: Endpoint, outcome: Outcome) -> None:
        """Record a failure, and eject the endpoint if it is an outlier.

        An outlier fails more than its peers.  At most a part of the listed endpoints is ejected at once, and
        an endpoint stays ejected for longer each time.
        """
        endpoint.failure_rate += FAILURE_STEP * (1.0 - endpoint.failure_rate)
        self._suspects[endpoint.entry.server] = endpoint
        if endpoint.ejected:
            return
        listed = len(self._endpoints.listed)
        peers = listed - (endpoint.index >= 0)
        suspects = self._listed_suspects()
        failing = sum(
            suspect.failure_rate for suspect in suspects if suspect is not endpoint and not suspect.ejected
        )
        peer_rate = failing / peers if peers else 1.0
        if endpoint.half_open or (
            endpoint.failure_rate >= EJECTION_FAILURE_RATE
            and endpoint.failure_rate >= PEER_FAILURE_FACTOR * peer_rate
            and _may_exclude_one_more(sum(suspect.ejected for suspect in suspects), listed)
        ):
            self._eject(endpoint, outcome, peer_rate)

    def _eject(self, endpoint: Endpoint, outcome: Outcome, peer_rate: float) -> None:
        endpoint.ejected = True
        endpoint.half_open = False
        name = endpoint.entry.server
        text = f"server {name.hex()} ejected: {outcome.value}"
        text += f", fail {endpoint.failure_rate:.2f} against {peer_rate:.2f} of its peers"
        self._context.actions.append(Log(text))
        # Idle connections may lead to a dead process.  A failure to connect proves that nothing was executed.
        self._context.actions.append(CloseIdle(name))
        self._schedule_return(endpoint)

    def restore_ejected(self, endpoint: Endpoint) -> None:
        """Eject an endpoint that an earlier process had ejected, unless too many are ejected already."""
        ejected = sum(suspect.ejected for suspect in self._listed_suspects())
        if _may_exclude_one_more(ejected, len(self._endpoints.listed)):
            endpoint.failure_rate = EJECTION_FAILURE_RATE
            endpoint.ejected = True
            self._suspects[endpoint.entry.server] = endpoint
            self._schedule_return(endpoint)

    # ------------------------------------------------------------ return from ejection

    def _schedule_return(self, endpoint: Endpoint) -> None:
        context = self._context
        warm_up_ms = context.settings.warm_up_ms or DEFAULT_WARM_UP_MS
        doubled = 2.0 ** min(endpoint.ejections, MAX_BACKOFF_EXPONENT)
        backoff = min(MAX_BACKOFF_FRACTION * warm_up_ms, MIN_BACKOFF_FRACTION * warm_up_ms * doubled)
        endpoint.ejections += 1
        jitter = MIN_BACKOFF_JITTER + BACKOFF_JITTER_RANGE * context.rng.random()
        context.timers.at(context.now + backoff * jitter, TimerKind.RETURN_ENDPOINT, endpoint.entry.server)

    def try_return(self, name: EndpointId) -> None:
        """End the ejection backoff of an endpoint: a health check where allowed, else a trial request."""
        endpoint = self._endpoints.known.get(name)
        if endpoint is None or not endpoint.ejected:
            return
        if self._context.settings.may_check_health and endpoint.listed:
            self._context.actions.append(HealthCheck(name))
        else:
            self._make_half_open(endpoint)

    def _make_half_open(self, endpoint: Endpoint) -> None:
        endpoint.ejected = False
        endpoint.half_open = True
        endpoint.failure_rate = FAILURE_STEP

    def on_health_check_ended(self, event: HealthCheckEnded) -> None:
        """Admit trial requests after a successful health check; schedule another one after a failed one."""
        endpoint = self._endpoints.known.get(event.server)
        if endpoint is None:
            return
        self._endpoints.record_load(endpoint, event.load)
        if not endpoint.ejected:
            return  # It has returned in the meantime
        if event.outcome is Outcome.OK:
            self._make_half_open(endpoint)
        else:
            # Health checks are cheap, so they are repeated without a growing backoff.
            endpoint.ejections = min(endpoint.ejections, 1)
            self._schedule_return(endpoint)
