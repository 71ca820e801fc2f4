"""The endpoints that a node knows: the list, its subset, capacity, and load reports."""

from __future__ import annotations

import math
from collections.abc import Sequence

from crowpost.decision_api import (
    EndpointEntry,
    EndpointId,
    EndpointList,
    IdempotencyScope,
    ListKind,
    Readiness,
)
from crowpost.decisions.context import Context
from crowpost.decisions.endpoint_state import Endpoint
from crowpost.decisions.estimators import Rate
from crowpost.decisions.learning_automaton import LearningAutomaton
from crowpost.decisions.load_reports import LoadReports
from crowpost.decisions.slow_start import SlowStart, believed_start
from crowpost.decisions.subsetting import choose_subset

# The column of a load report with the number of requests in flight at the endpoint.  Load reports cover the
# requests of all nodes: where many nodes share an endpoint, each alone sees too few of them for a limit.
IN_FLIGHT_COLUMN = "outstanding"
MAX_REPORT_AGE_OBJECTIVES = 1.0  # Greatest age of a load report that is used, in latency objectives
REFRESH_FRACTION = 0.02  # Time between refreshes of time-dependent state, as a part of the latency objective
# Departed endpoints are dropped once this many times the listed endpoints, plus the extra, are known.
MAX_KNOWN_FACTOR = 2
MAX_KNOWN_EXTRA = 100
MIN_CAPACITY_HINT = 1e-3
DEFAULT_RATE_SPAN_MS = 1000.0

Scope = tuple[IdempotencyScope, int]  # Kind and number of the zone or cell that a repeat must stay in


class EndpointSet:
    """All known endpoints by id, and the listed ones in the order of the learning automaton."""

    def __init__(self, context: Context) -> None:
        settings = context.settings
        self._context = context
        self.settings = settings
        self.node_count = settings.node_count
        self.node_index = settings.node_index
        self.automaton = LearningAutomaton(self.node_count)
        self.slow_start = SlowStart(settings)
        self.known: dict[EndpointId, Endpoint] = {}
        self.listed: list[Endpoint] = []
        self.in_subset: list[bool] = []  # Whether the subset contains it, in the order of `listed`
        self.subset: list[int] | None = None  # Indices of the subset; None if it is all endpoints
        self.busy: dict[EndpointId, Endpoint] = {}  # Endpoints with attempts of this node in flight
        self.send_rate = Rate(settings.warm_up_ms or DEFAULT_RATE_SPAN_MS)  # Units of work sent
        self.warming_up: list[Endpoint] = []  # State of the last refresh
        self.capacity = 0.0  # Capacity of the listed endpoints at the last refresh, in units of a warm one
        self._refresh_at = -math.inf
        self._has_list = False  # Whether discovery has told a list: what it tells later is new
        self._by_scope: dict[Scope, list[int]] = {}
        columns = settings.load_report_columns
        column = columns.index(IN_FLIGHT_COLUMN) if IN_FLIGHT_COLUMN in columns else None
        self.reports = LoadReports(column, MAX_REPORT_AGE_OBJECTIVES * context.latency_objective_ms)

    # ------------------------------------------------------------ the list

    def apply(self, event: EndpointList) -> None:
        """Apply a full endpoint list, or changes to one."""
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for name, endpoint in self.known.items():
                if name not in named:
                    endpoint.listed = False
        for entry in event.entries:
            self._apply_entry(entry)
        self._rebuild_listed()
        self._choose_subset()
        self.warming_up = [endpoint for endpoint in self.listed if self.is_warming_up(endpoint)]
        self._refresh_at = -math.inf
        self._has_list = self._has_list or event.kind is not ListKind.CACHED
        self._drop_departed()

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint = self.known.get(entry.server)
        now = self._context.now
        is_ready = entry.readiness is Readiness.READY
        if endpoint is None:
            endpoint = self.known[entry.server] = Endpoint(entry, is_ready)
            endpoint.started_at = believed_start(entry.started_ms, now, told_at_once=self._has_list)
            endpoint.slow_start_tokens = self._context.rng.random()
            endpoint.slow_start_tokens_at = now
        elif entry.started_ms not in (0.0, endpoint.entry.started_ms):
            # The process was restarted: failures of the old one no longer count, and it warms up again.
            endpoint.started_at = believed_start(entry.started_ms, now, told_at_once=self._has_list)
            endpoint.failure_rate = 0.0
            endpoint.ejections = 0
            endpoint.ejected = False
            endpoint.half_open = False
            endpoint.slow_start_tokens = self._context.rng.random()
            endpoint.slow_start_tokens_at = now
            endpoint.last_response_at = now
            endpoint.reported_at = -math.inf
        if entry.started_ms <= 0.0:
            endpoint.started_at = 0.0
        endpoint.entry = entry
        endpoint.listed = is_ready

    def _rebuild_listed(self) -> None:
        listed = {name: endpoint for name, endpoint in self.known.items() if endpoint.listed}
        if self.settings.capacity_hints:
            weights = {
                name: max(endpoint.entry.capacity_hint, MIN_CAPACITY_HINT)
                for name, endpoint in listed.items()
            }
        else:
            weights = dict.fromkeys(listed, 1.0)
        for endpoint in self.listed:
            endpoint.index = -1
        self.automaton.set_endpoints(
            weights, {name: endpoint.entry.kind for name, endpoint in listed.items()}
        )
        self.listed = [listed[name] for name in self.automaton.endpoints]
        self._by_scope = {}
        for index, endpoint in enumerate(self.listed):
            endpoint.index = index

    def _drop_departed(self) -> None:
        """Drop departed endpoints once there are many, as short-lived endpoints would fill the memory."""
        if len(self.known) <= MAX_KNOWN_FACTOR * len(self.listed) + MAX_KNOWN_EXTRA:
            return
        kept = {
            name: endpoint
            for name, endpoint in self.known.items()
            if endpoint.listed or endpoint.in_flight or endpoint.ejected
        }
        draining = {
            name: endpoint
            for name, endpoint in self.known.items()
            if endpoint.entry.readiness is Readiness.DRAINING
        }
        self.known = kept | draining

    def set_nodes(self, node_count: int, node_index: int) -> None:
        """Set how many nodes share the endpoints, and the index of this node among them."""
        self.node_count = node_count
        self.node_index = node_index
        self.automaton.set_steps(node_count)
        self._choose_subset()

    def in_scope(self, scope: Scope | None) -> Sequence[int]:
        """Return the indices of the listed endpoints in a zone or cell, or of all if scope is None."""
        if scope is None:
            return range(len(self.listed))
        if scope not in self._by_scope:
            by_zone = scope[0] is IdempotencyScope.ZONE
            number = scope[1]
            places = ((endpoint.entry.zone if by_zone else endpoint.entry.cell) for endpoint in self.listed)
            self._by_scope[scope] = [index for index, place in enumerate(places) if place == number]
        return self._by_scope[scope]

    def _choose_subset(self) -> None:
        settings = self.settings
        same_zone_only = settings.cross_zone_price > 0
        candidates = [
            index
            for index, endpoint in enumerate(self.listed)
            if not same_zone_only or endpoint.entry.zone == settings.zone
        ]
        chosen = choose_subset(self.listed, candidates, self.node_count, self.node_index)
        is_full_set = len(chosen) in (0, len(self.listed))
        self.subset = None if is_full_set else sorted(chosen)
        self.in_subset = [is_full_set and bool(chosen)] * len(self.listed)
        for index in self.subset or ():
            self.in_subset[index] = True
        self.automaton.restrict_to(self.subset)

    # ------------------------------------------------------------ capacity and load reports

    def refresh(self) -> bool:
        """Recompute time-dependent state if that is due; return whether the capacity may have changed."""
        now = self._context.now
        if now < self._refresh_at:
            return False
        self._refresh_at = now + REFRESH_FRACTION * self._context.latency_objective_ms
        may_have_changed = bool(self.warming_up) or not self.capacity
        self.warming_up = [endpoint for endpoint in self.warming_up if self.is_warming_up(endpoint)]
        fraction = self.slow_start.capacity_fraction
        warming = sum(fraction(endpoint, now) for endpoint in self.warming_up)
        self.capacity = len(self.listed) - len(self.warming_up) + warming
        self.reports.refresh(now, self.automaton.share)
        return may_have_changed

    def count_in_flight(self, endpoint: Endpoint, change: int) -> None:
        """Count an attempt of this node that has started (1) or ended (-1) at an endpoint."""
        if change > 0:
            self.busy.setdefault(endpoint.entry.server, endpoint)
        elif not endpoint.in_flight:
            self.busy.pop(endpoint.entry.server, endpoint)
        self.reports.count(endpoint, change)

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint was started less than the warm-up time ago."""
        return self.slow_start.is_warming_up(endpoint, self._context.now)

    def rate_of_warm_endpoint(self) -> float:
        """Return the units sent per millisecond to a warm endpoint, or to any endpoint while none is warm."""
        warm = len(self.listed) - len(self.warming_up)
        return self.send_rate.per_ms(self._context.now) / (warm or len(self.listed))

    def record_load(self, endpoint: Endpoint, load: Sequence[float]) -> None:
        """Record the load report that came with a response."""
        self.reports.record(endpoint, load, self._context.now, self.automaton.share)
