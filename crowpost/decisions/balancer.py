"""The decisions of one node: creates the parts and dispatches each event to the part that handles it."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    BodySent,
    EndpointList,
    Event,
    HealthCheckEnded,
    ListKind,
    NodesPresent,
    RememberedEndpoint,
    RequestAbandoned,
    RequestArrived,
    ResponseStarted,
    SetTimer,
    Settings,
    StateRestored,
    TimerFired,
)
from crowpost.decisions import learned_state
from crowpost.decisions.attempt_handling import AttemptHandler
from crowpost.decisions.concurrency_limiter import ConcurrencyLimiter
from crowpost.decisions.context import Context
from crowpost.decisions.dispatch import Dispatcher
from crowpost.decisions.endpoint_selection import EndpointSelector
from crowpost.decisions.endpoint_set import EndpointSet
from crowpost.decisions.hedging import Hedger
from crowpost.decisions.list_polling import ListPoller
from crowpost.decisions.outcome_scoring import OutcomeScorer
from crowpost.decisions.outlier_detection import OutlierDetector
from crowpost.decisions.quotas import TenantQuotas
from crowpost.decisions.request_arrival import ArrivalHandler
from crowpost.decisions.request_queue import RequestQueue
from crowpost.decisions.request_table import RequestTable
from crowpost.decisions.retry_budget import RetryBudget
from crowpost.decisions.timers import TimerKind


class Balancer:
    """The decisions of one node.  The host passes events in order and carries out the returned actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._context = context = Context(settings, random.Random(seed))
        self._wake_at = math.inf  # Time of the one host timer, that of the earliest internal timer
        self._endpoints = endpoints = EndpointSet(context)
        self._outliers = outliers = OutlierDetector(context, endpoints)
        self._limiter = limiter = ConcurrencyLimiter(context, endpoints, outliers.expected)
        self._quotas = TenantQuotas(context, endpoints.node_count)
        self._selector = EndpointSelector(context, endpoints, outliers, limiter)
        self._table = RequestTable(endpoints)
        self._queue = RequestQueue(context)
        self._poller = ListPoller(context)
        scorer = OutcomeScorer(context, endpoints, outliers, limiter)
        budget = RetryBudget()
        self._dispatcher = Dispatcher(
            context, self._table, self._queue, endpoints, limiter, self._selector, scorer
        )
        self._hedger = Hedger(context, self._dispatcher, scorer, outliers, limiter, budget)
        arrivals = ArrivalHandler(context, self._table, self._queue, self._quotas, budget)
        attempts = AttemptHandler(
            context, self._table, self._queue, endpoints, self._dispatcher, self._selector, scorer, budget
        )
        # Events without a handler are ignored: the module does not use messages from peers.
        self._handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: attempts.on_attempt_ended,
            RequestArrived: arrivals.on_arrived,
            TimerFired: self._on_timer_fired,
            EndpointList: self._on_endpoint_list,
            RequestAbandoned: attempts.on_abandoned,
            HealthCheckEnded: outliers.on_health_check_ended,
            ResponseStarted: attempts.on_response_started,
            BodySent: attempts.on_body_sent,
            NodesPresent: self._on_nodes_present,
            StateRestored: self._on_state_restored,
        }

    # ------------------------------------------------------------ interface for the host

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that follow from an event at time `now` in ms, or raise UnexpectedEventError."""
        context = self._context
        context.now = now
        context.actions = []
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        if self._endpoints.refresh():
            self._limiter.follow_capacity()
        self._dispatcher.drain_queue()
        earliest = context.timers.earliest()
        if earliest < self._wake_at:
            self._wake_at = earliest
            context.actions.append(SetTimer(context.next_number(), earliest))
        return context.actions

    @property
    def pool_size(self) -> int:
        """The number of listed endpoints."""
        return len(self._endpoints.listed)

    @property
    def pool_ejected(self) -> int:
        """The number of listed endpoints that were avoided as unhealthy at the last event."""
        return self._outliers.count_unhealthy()

    @property
    def limit(self) -> float:
        """The concurrency limit: attempts that may be in flight at once."""
        return self._limiter.limit

    @property
    def limit_each(self) -> float:
        """The concurrency limit for each unit of capacity in this node's part of the endpoints."""
        return self._limiter.limit_each

    def remember(self, first: int, most: int) -> list[RememberedEndpoint]:
        """Return what was learned about at most `most` listed endpoints, from index `first` on."""
        return learned_state.remember(self._endpoints, first, most)

    # ------------------------------------------------------------ events

    def _on_timer_fired(self, _event: TimerFired) -> None:
        self._wake_at = math.inf
        context = self._context
        while (due := context.timers.pop_due(context.now)) is not None:
            kind, subject = due
            if kind == TimerKind.RECHECK_QUEUE:
                for request in self._queue.take_expired():
                    self._dispatcher.expire(request)
            elif kind == TimerKind.POLL_LIST:
                self._poller.on_timer()
            elif kind == TimerKind.RETURN_ENDPOINT and isinstance(subject, bytes):
                self._outliers.try_return(subject)
            elif kind == TimerKind.HEDGE and isinstance(subject, int):
                self._hedger.on_timer(self._table.requests.get(subject))

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if event.kind is ListKind.FAILED:
            self._poller.on_failed()
            return
        self._poller.on_list(event.kind)
        self._endpoints.apply(event)
        self._endpoints.refresh()
        self._limiter.follow_capacity()

    def _on_nodes_present(self, event: NodesPresent) -> None:
        self._endpoints.set_nodes(event.node_count, event.node_index)
        self._limiter.set_nodes()
        self._quotas.set_nodes(event.node_count)

    def _on_state_restored(self, event: StateRestored) -> None:
        learned_state.restore(event, self._endpoints, self._outliers, self._limiter)
