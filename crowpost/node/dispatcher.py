"""The event dispatcher: passes events to the decision module and carries out the actions it returns.

No other part of the node passes events to the module.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    EndpointId,
    Event,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    Log,
    Outcome,
    Reject,
    RequestArrived,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from crowpost.decisions import Balancer
from crowpost.node.attempt import AttemptSender
from crowpost.node.clock import Clock
from crowpost.node.event_queue import EventQueue
from crowpost.node.http.load_report import parse_load_report
from crowpost.node.http.message import Message
from crowpost.node.request_table import RequestTable
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

HEALTH_CHECK_TIMEOUT_MS = 250.0


class HealthChecker:
    """Sends health checks and reports their outcomes."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        events: EventQueue,
        request: bytes,
        load_report_columns: Sequence[str],
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._events = events
        self._request = request
        self._load_report_columns = load_report_columns

    def check(self, server: EndpointId) -> None:
        """Send one health check to a server."""
        sent_at_ms = self._clock.now()

        def on_finished(outcome: Outcome, response: Message | None) -> None:
            load = parse_load_report(response, self._load_report_columns)
            self._events.post(HealthCheckEnded(server, outcome, self._clock.now() - sent_at_ms, load))

        call = Call(lambda _: self._request, HEALTH_CHECK_TIMEOUT_MS / 1000.0, on_finished)
        self._pool.start(call, server)


class Dispatcher:
    """Passes each event to the decision module, and carries out the actions that it returns.

    subscribe: opens a watch of the endpoint list.
    """

    def __init__(
        self,
        balancer: Balancer,
        clock: Clock,
        events: EventQueue,
        attempts: AttemptSender,
        health_checker: HealthChecker,
        subscribe: Callable[[], None],
    ) -> None:
        self._balancer = balancer
        self._clock = clock
        self._events = events
        self._attempts = attempts
        self._requests: RequestTable = attempts.requests
        self._pool: ConnectionPool = attempts.pool
        self._health_checker = health_checker
        self._subscribe = subscribe
        self._loop = asyncio.get_running_loop()
        # Once all events are handled, the module has been notified of every closed request.
        events.connect(self._handle, self._requests.just_closed.clear)

    def _handle(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(event, self._clock.now())
        except Exception:
            # A fault of the module on one event must fail no more than one request.
            log.exception("the decision module failed on %s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._requests.respond_internal_error(event.request)
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                # A fault in one action must fail no more than one request.
                log.exception("fault while carrying out %s", type(action).__name__)
                if isinstance(action, Send | Reject | Fail):
                    self._requests.respond_internal_error(action.request)

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self._attempts.send(action)
            case SetTimer(token, at_ms):
                delay_s = max(0.0, at_ms - self._clock.now()) / 1000.0
                self._loop.call_later(delay_s, self._events.post, TimerFired(token))
            case Reject():
                self._reject(action)
            case Fail(request):
                self._requests.respond(request, 502)
            case Cancel():
                self._cancel(action)
            case HealthCheck(server):
                self._health_checker.check(server)
            case CloseIdle(server):
                self._pool.close_idle(server)
            case Subscribe():
                self._subscribe()
            case Log(text):
                log.info("%s", text)

    def _reject(self, action: Reject) -> None:
        seconds = action.retry_after_ms / 1000.0
        extra = b"Retry-After: %.3f\r\n" % seconds if seconds else b""
        self._requests.respond(action.request, 503, extra=extra)

    def _cancel(self, action: Cancel) -> None:
        call = self._requests.calls.get((action.request, action.attempt))
        if call is None:
            return
        if action.answered:
            call.discard_response(Outcome.CANCELLED)
        else:
            call.abort(Outcome.CANCELLED)
