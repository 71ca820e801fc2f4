"""Which endpoints are eligible for an attempt, and the draw among them.

The draw is rejection sampling: a draw from the whole share vector is repeated while it hits an endpoint that
is not eligible.  The result is distributed as the vector conditioned on the eligible endpoints, at a cost
that does not grow with their number.  After several draws without success all endpoints are examined.
"""

from __future__ import annotations

from crowpost.decision_api import Effect, IdempotencyScope
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_set import EndpointSet, Scope
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.request_state import Request

# An endpoint is skipped once more of this node's attempts are in flight there than its share of all, times
# SHARE_FACTOR, plus SHARE_EXTRA.
SHARE_FACTOR = 1.25
SHARE_EXTRA = 0.5
# Requests of all nodes that may queue at an endpoint, by its average latency against the baseline.
MAX_QUEUED_AT_ENDPOINT = 4.0
MIN_LOCAL_ENDPOINTS = 2  # With fewer fit endpoints in the subset or zone, those outside it are used as well
HEAVY_UNITS = 2.0  # A request of this many times the mean work avoids slow endpoints
MAX_DRAWS = 12  # All endpoints are examined after this many draws


class EndpointSelector:
    """Determines the eligible endpoints of a request and draws one of them."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointSet,
        outliers: OutlierDetector,
        limiter: ConcurrencyLimiter,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._outliers = outliers
        self._limiter = limiter
        self._any_class_repeats = any(each.effect is not Effect.UNSAFE for each in context.settings.classes)
        # These values stay the same for all endpoints during one draw.
        self._max_queued = 0.0
        self._overdue_after = 0.0
        self._mean_latency = 0.0
        self._warm_rate: float | None = None  # Computed at most once, for the first warming endpoint
        self._in_flight = 0

    # ------------------------------------------------------------ the rules

    def may_continue(self, request: Request) -> bool:
        """Return whether a further attempt may be made at all: rule 2 without the idempotency scope."""
        settings = self._context.settings
        first = request.first_risky_attempt()
        if request.body_consumed:
            return False
        if first is not None and request.in_flight and not settings.may_hedge:
            return False
        if first is not None and request.request_class.effect is Effect.UNSAFE:
            return False
        return self._context.now < request.window_end_ms() - settings.tick_ms

    def scope_of(self, request: Request) -> Scope | None:
        """Return the zone or cell that a further attempt must stay in; None if there is no restriction."""
        request_class = request.request_class
        if (
            request_class.effect is not Effect.KEYED
            or request_class.idempotency_scope is IdempotencyScope.ALL
        ):
            return None
        first = request.first_risky_attempt()
        if first is None:
            return None
        by_zone = request_class.idempotency_scope is IdempotencyScope.ZONE
        return request_class.idempotency_scope, first.entry.zone if by_zone else first.entry.cell

    def is_permitted(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether rules 2 and 3 permit an attempt of this request at this endpoint."""
        if not endpoint.listed or not self.may_continue(request):
            return False
        scope = self.scope_of(request)
        if scope is None:
            return True
        by_zone = scope[0] is IdempotencyScope.ZONE
        return scope[1] == (endpoint.entry.zone if by_zone else endpoint.entry.cell)

    def may_go_anywhere(self, request: Request) -> bool:
        """Return whether any endpoint may take a further attempt."""
        in_scope = self._endpoints.in_scope(self.scope_of(request))
        listed = self._endpoints.listed
        return self.may_continue(request) and any(listed[index].listed for index in in_scope)

    # ------------------------------------------------------------ the draw

    def draw(self, request: Request, last_resort: bool, in_flight: int) -> Endpoint | None:
        """Return the endpoint of the request's next attempt; None if none is eligible."""
        listed = self._endpoints.listed
        automaton = self._endpoints.automaton
        if not listed or not self.may_continue(request):
            return None
        self._overdue_after = self._outliers.expected.overdue_after()
        self._warm_rate = None
        self._mean_latency = automaton.mean() or 0.0
        self._in_flight = in_flight
        self._max_queued = max(1.0, MAX_QUEUED_AT_ENDPOINT / self._limiter.sharers)
        in_panic = self._outliers.in_panic()
        if not in_panic and self.scope_of(request) is None:
            endpoint = self._draw_from_vector(request, last_resort)
            if endpoint is not None:
                return endpoint
        pool = self._pool(request, last_resort, in_panic)
        return listed[automaton.draw_among(pool, self._context.rng.random())] if pool else None

    def _draw_from_vector(self, request: Request, last_resort: bool) -> Endpoint | None:
        """Draw up to MAX_DRAWS times from the vector; return None if too few draws hit eligible endpoints."""
        listed = self._endpoints.listed
        draw = self._endpoints.automaton.draw
        random = self._context.rng.random
        needed = 1 if self._endpoints.subset is None else MIN_LOCAL_ENDPOINTS
        found: list[Endpoint] = []
        for _ in range(MAX_DRAWS):
            endpoint = listed[draw(random())]
            if endpoint in found or request.has_tried(endpoint):
                continue
            if not self._is_eligible(request, endpoint, last_resort):
                continue
            if request.units >= HEAVY_UNITS and not self._is_fast(endpoint):
                continue
            found.append(endpoint)
            if len(found) == needed:
                return found[0]
        return None

    def _pool(self, request: Request, last_resort: bool, in_panic: bool) -> list[int]:
        """Return the indices that the draw is conditioned on; this examines every endpoint."""
        listed = self._endpoints.listed
        in_scope = self._endpoints.in_scope(self.scope_of(request))
        allowed = [index for index in in_scope if self._is_allowed(request, listed[index])]
        if in_panic:
            fit = allowed  # The cause is common to all endpoints, so their health shows nothing
        elif last_resort:
            # This is the last attempt: an overloaded endpoint may still answer in time, an unresponsive one
            # will not.
            unresponsive = self._outliers.is_unresponsive
            overdue_after = self._overdue_after
            fit = [index for index in allowed if not unresponsive(listed[index], overdue_after)] or allowed
        else:
            fit = [index for index in allowed if self._is_fit(request, listed[index])]
        fresh = [index for index in fit if not request.has_tried(listed[index])]
        pool = self.prefer_local(fresh if fresh or (request.in_flight and not last_resort) else fit)
        if request.units < HEAVY_UNITS:
            return pool
        return [index for index in pool if self._is_fast(listed[index])] or pool

    def prefer_local(self, fit: list[int]) -> list[int]:
        """Return the fit endpoints of the subset, or if too few those of the zone, or else all.

        The zone is preferred only where a request to another zone has a price.
        """
        in_subset = self._endpoints.in_subset
        subset = [index for index in fit if in_subset[index]]
        if len(subset) >= MIN_LOCAL_ENDPOINTS:
            return subset
        settings = self._context.settings
        if not settings.cross_zone_price:
            return fit
        listed = self._endpoints.listed
        same_zone = [index for index in fit if listed[index].entry.zone == settings.zone]
        return same_zone if len(same_zone) >= MIN_LOCAL_ENDPOINTS else fit

    # ------------------------------------------------------------ one endpoint

    def _is_fast(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is not known to be slower than the mean."""
        return (self._endpoints.automaton.averages[endpoint.index] or 0.0) <= self._mean_latency

    def _is_eligible(self, request: Request, endpoint: Endpoint, last_resort: bool) -> bool:
        if not self._is_allowed(request, endpoint):
            return False
        if last_resort:
            return not self._outliers.is_unresponsive(endpoint, self._overdue_after)
        return self._is_fit(request, endpoint)

    def _is_allowed(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether rules 3 and 4 allow an attempt; rule 2 is checked in `draw`."""
        slow_start = self._endpoints.slow_start
        now = self._context.now
        if not endpoint.listed or not slow_start.is_warming_up(endpoint, now):
            return endpoint.listed
        if self._warm_rate is None:
            self._warm_rate = self._endpoints.rate_of_warm_endpoint()
        return slow_start.permits(endpoint, request.units, self._warm_rate, now)

    def _is_fit(self, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is healthy, not paused, and below its limits for attempts in flight."""
        if endpoint.ejected or self._outliers.is_unresponsive(endpoint, self._overdue_after):
            return False
        in_flight = len(endpoint.in_flight)
        if endpoint.half_open and (in_flight or (self._any_class_repeats and not request.is_repeatable())):
            return False  # One trial request at a time, and only of a class that can be repeated
        if endpoint.paused_until > self._context.now or in_flight + 1 > endpoint.in_flight_limit:
            return False
        return self._has_capacity(endpoint, in_flight)

    def _has_capacity(self, endpoint: Endpoint, in_flight: int) -> bool:
        """Return whether the endpoint has less in flight than its share of all in-flight requests allows."""
        endpoints = self._endpoints
        average = endpoints.automaton.averages[endpoint.index]
        if average and in_flight * (1.0 - self._limiter.load.baseline_latency / average) > self._max_queued:
            # By Little's law this many of its requests are queued there.  An endpoint that is overloaded for
            # long stays slow for long, and its own average shows that before the mean of all endpoints does.
            return False
        share = endpoints.automaton.share(endpoint.index)
        if average and average > self._mean_latency:
            share *= self._mean_latency / average
        if in_flight > SHARE_EXTRA + SHARE_FACTOR * share * self._in_flight:
            return False
        total_in_flight = endpoints.reports.in_flight
        if not total_in_flight or not endpoints.reports.is_fresh(endpoint, self._context.now):
            return True
        return (
            in_flight + endpoint.in_flight_elsewhere <= SHARE_EXTRA + SHARE_FACTOR * share * total_in_flight
        )
