"""The core of a node: the clock, the request table, and the only caller of the decision module.

Every decision is the module's.  This turns what happens on sockets into its events, one at a time and in
order, and carries out its actions.
"""

from __future__ import annotations

import asyncio
import logging
import math
import signal
import socket
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from crowpost.decision_api import (
    Action,
    AttemptEnded,
    BodySent,
    Cancel,
    CloseIdle,
    Effect,
    EndpointId,
    EndpointList,
    Event,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    ListKind,
    Log,
    Outcome,
    Reject,
    RequestAbandoned,
    RequestArrived,
    RequestId,
    ResponseStarted,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
)
from crowpost.decisions import Balancer
from crowpost.node import management
from crowpost.node.callers import Callers, ClientRequest, adopt
from crowpost.node.config import Config, ConfigError, read_discovery
from crowpost.node.discovery import Discovery, ListError, Listing
from crowpost.node.drain import Drain, Phase
from crowpost.node.exchange import Exchange
from crowpost.node.http import CLASS, CONTENT_TYPE, REQUEST_ID, Message, Sink, load_report, request_head
from crowpost.node.management import Management, Reply
from crowpost.node.metrics import Metrics
from crowpost.node.servers import Servers
from crowpost.node.upstream import Call

if TYPE_CHECKING:
    from crowpost.node.feeding import Feeding
    from crowpost.node.keeping import Keeping
    from crowpost.node.membership import Membership
    from crowpost.node.overlays import Live

log = logging.getLogger(__name__)

# A caller's time counts from its send, so the last of it goes to the network and a busy core.
RESERVE_MS = 25.0
RESERVE_MOST = 0.2  # of a short budget
GUARD_MS = 10.0  # after the budget's end, within the reserve: the module must have answered by then
PROBE_MS = 250.0
CALL_PART = 0.4  # of the time to ask again: a call for the list has failed before the next is made
# Whatever the settings allow after a failed call, news counts as told 6 s after discovery could be reached: a
# call that is given up then (FIRST_LINE_S) and the longest pause, half of this, must be over before.
MUST_ASK_MOST_MS = 5_200.0

CALLERS_PART = 0.4  # of all descriptors
BODIES_PART = 0.25  # of the memory, for the bodies of open requests; as much again may be in buffers
SERVERS_PART = 0.45  # the rest is kept for new connections, discovery and the process itself

ADOPT_WAIT_S = 1.0  # for discovery's first word, before an inherited listener is accepted from
MANAGEMENT_PART = 1 / 12  # of all descriptors, for peers of the second address: dozens may be silent
MANAGEMENT_LEAST = 2
SHARED_PART = 0.5  # of the limits, for each of two processes that are one node during an upgrade


class Clock:
    """Unix time in milliseconds, advanced by the monotonic clock: never backwards, and comparable with the
    start times of servers, whatever is done to the system's clock."""

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def now(self) -> float:
        return 1000.0 * (self._base + time.monotonic())


@dataclass(slots=True)
class Pending:
    """A request that a caller waits for."""

    message: Message
    exchange: Exchange
    effect: Effect
    budget: float  # milliseconds from its last byte on
    head: bytes
    deadline: float = math.inf  # while a long body comes in
    timer: asyncio.TimerHandle | None = None
    attempts: int = 0
    started: int | None = None  # the attempt whose long answer the caller is getting
    started_ms: float = 0.0  # which had taken so long until then

    @property
    def uploading(self) -> bool:
        return self.message.upload is not None and not self.message.upload.ended


class Node:
    """One real node."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self._config = config
        self._loop = asyncio.get_running_loop()
        self._clock = Clock()
        list_poll_ms = min(settings.list_poll_ms, MUST_ASK_MOST_MS)
        self._balancer = Balancer(replace(settings, list_poll_ms=list_poll_ms), config.seed)
        self._events: deque[Event] = deque()
        self._handling = False
        self._requests: dict[RequestId, Pending] = {}
        self._calls: dict[tuple[RequestId, int], Call] = {}  # also those of finished requests
        self._struck: dict[RequestId, Pending] = {}  # finished, and the module may not know yet
        self._last_id = 0
        self._host = b"%s:%d" % (config.listen[0].encode(), config.listen[1])
        self._probe_text = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % self._host
        self._done = asyncio.Event()
        self._address = config.listen
        self._told = False  # discovery has spoken, or has had its time
        self._membership: Membership | None = None
        self._keeping: Keeping | None = None
        self._feeding: Feeding | None = None
        self._listener = adopt(config.accept_fd) if config.accept_fd is not None else None
        part = 1.0 if self._listener is None else SHARED_PART
        sockets = int(part * config.limits.sockets)
        self._metrics = Metrics([kind.name for kind in settings.classes])
        self._servers = Servers(
            connect_s=settings.connect_timeout_ms / 1000.0,
            idle_s=config.conn_idle_ms / 1000.0,
            most_open=int(SERVERS_PART * sockets),
            probe=self._probe_text if settings.may_check_health else None,
        )
        self._callers = Callers(
            settings,
            self._take,
            self.ready,
            self._metrics,
            most=int(CALLERS_PART * sockets),
            most_bytes=int(BODIES_PART * part * config.limits.memory_mb * 1_000_000),
        )
        self._drain = Drain(
            self._callers,
            longest_s=max(kind.deadline_ms for kind in settings.classes) / 1000.0,
            handed_over=self._listener is not None,
            fail_rest=self._fail_rest,
            left=self.stop,
        )
        self._management = Management(
            {
                b"/api/ready": management.Call(b"GET", lambda: Reply(200 if self.ready() else 503)),
                b"/api/telemetry": management.Call(b"GET", self._telemetry),
                b"/api/evacuate": management.Call(
                    b"POST", lambda: self._by_staff(self._drain.evacuate(), True)
                ),
                b"/api/rejoin": management.Call(b"POST", lambda: self._by_staff(self._drain.rejoin(), False)),
            },
            most=max(MANAGEMENT_LEAST, int(MANAGEMENT_PART * sockets)),
        )
        self._discovery = Discovery(
            config.discovery,
            config.naming,
            pushed=not settings.poll_for_list,
            seed=config.seed,
            call_s=CALL_PART * settings.list_poll_ms / 1000.0,
            on_list=self._on_list,
            on_failed=lambda: self._post(EndpointList(ListKind.FAILED)),
        )

    async def start(self) -> tuple[str, int]:
        """Listen; returns the clients' address.  An inherited listener is accepted from only once ready."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, self.reconfigure)
        known = self._open_state(self._config.known)
        if known is not None:
            self._servers.update(known)
            self._post(known.event(cached=True))
        if self._keeping is not None:
            self._post(self._keeping.kept.remembered(self._clock.now()))
        self._discovery.start(known.version if known is not None else 0)
        self._follow()
        self._catch_up()
        if self._config.management is not None:
            try:
                self.management = await self._management.listen(self._config.management)
            except OSError as error:
                raise ConfigError(f"NODE_MANAGEMENT cannot be used: {error}") from None
            log.info("node %s is managed on %s:%d", self._config.name, *self.management)
        await self._join()
        if self._config.accept_fd is None:
            await self._accept(self._config.listen)
        elif self._listener is not None:  # else discovery has spoken meanwhile
            self._address = self._listener.getsockname()[:2]
            self._loop.call_later(ADOPT_WAIT_S, self._hear)
        return self._address

    def _open_state(self, known: Listing | None) -> Listing | None:
        """The state directory, where it is configured; the newer of its list and the configuration's."""
        if self._config.state is None:
            return known
        from crowpost.node.keeping import Keeping
        from crowpost.store.model import StoreError

        def drain(evacuated: bool) -> bool:
            return self._drain.evacuate() if evacuated else self._drain.rejoin()

        self._keeping = Keeping(self._config.state, self._balancer, self._clock.now, drain)
        try:
            self._keeping.open()
            raw = self._keeping.kept.listing()
            kept = self._config.naming.read(raw) if raw is not None else None
        except (StoreError, ListError) as error:
            raise ConfigError(f"NODE_STATE: {self._config.state.directory}: {error}") from None
        if self._keeping.kept.evacuated:
            log.info("the node was emptied by staff and stays so until rejoin")
            self._drain.evacuate()
        if kept is None or (known is not None and known.version > kept.version):
            return known
        return kept

    async def _join(self) -> None:
        """Membership, where it is configured; nothing of it is imported where it is not."""
        if self._config.members is None:
            return
        from crowpost.members.model import Phase as MemberPhase
        from crowpost.node.membership import Membership

        def phase() -> MemberPhase:
            if self._drain.phase is not Phase.SERVING:
                return MemberPhase.LEAVING
            return MemberPhase.PRESENT if self.ready() else MemberPhase.JOINING

        keeping = self._keeping
        note = keeping.note_incarnation if keeping is not None else lambda incarnation: None
        self._membership = Membership(self._config.members, self._config.settings, phase, self._post, note)
        try:
            await self._membership.start(keeping.kept.incarnation + 1 if keeping is not None else 1)
        except OSError as error:
            raise ConfigError(f"NODE_MEMBERS: members.listen cannot be used: {error}") from None

    def _follow(self) -> None:
        """The feed of configuration, where it is configured; nothing of it is imported where it is not."""
        if self._config.feed is None or self._config.overlays is None:
            return
        from crowpost.node.feeding import Feeding

        self._feeding = Feeding(self._config.feed, self._config.overlays, self._take_over)
        self._feeding.start()

    async def _accept(self, at: tuple[str, int] | socket.socket) -> None:
        self._address = await self._callers.listen(at)
        log.info("node %s listens on %s:%d", self._config.name, *self._address)

    def _hear(self) -> None:
        """What discovery had to say at the start is known: clients may come, where servers are listed."""
        self._told = True
        leaving = self._drain.phase is Phase.LEAVING
        if self._listener is not None and self._servers.any_listed() and not leaving:
            listener, self._listener = self._listener, None
            self._accepting = self._loop.create_task(self._accept(listener))

    def ready(self) -> bool:
        """Whether clients may be sent here."""
        return self._drain.phase is Phase.SERVING and self._callers.listening() and self._servers.any_listed()

    def stop(self) -> None:
        """End now, whatever is open; nothing more is read from callers, as nobody would answer it."""
        self._callers.close()
        self._done.set()

    async def wait(self) -> None:
        """Serve until SIGTERM, then until everything taken is answered."""
        await self._done.wait()
        self._management.close()
        self._discovery.close()
        self._callers.close()
        self._servers.close()
        if self._feeding is not None:
            await self._feeding.close()
        if self._membership is not None:
            await self._membership.close()
        if self._keeping is not None:
            await self._keeping.close()

    # ------------------------------------------------------------ events in, actions out

    def _post(self, event: Event) -> None:
        """Hand an event to the module.

        Carrying out an action may bring the next event; that waits its turn, because the module's own state
        is between two decisions only when it has returned.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False
            self._struck.clear()

    def _handle(self, event: Event) -> None:
        try:
            actions = self._balancer.handle(event, self._clock.now())
        except Exception:
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, RequestArrived | AttemptEnded):
                self._answer_fault(event.request)
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                log.exception("fault while carrying out %s", type(action).__name__)
                if isinstance(action, Send | Reject | Fail):
                    self._answer_fault(action.request)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer(token, at_ms):
                delay = max(0.0, at_ms - self._clock.now()) / 1000.0
                self._loop.call_later(delay, self._post, TimerFired(token))
            case Reject(request, retry_after_ms):
                retry = b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms else b""
                self._finish(request, 503, extra=retry)
            case Fail(request):
                self._finish(request, 502)
            case Cancel(request, attempt, answered):
                call = self._calls.get((request, attempt))
                if call is not None and answered:
                    call.leave(Outcome.CANCELLED)
                elif call is not None:
                    call.give_up(Outcome.CANCELLED)
            case HealthCheck(server):
                self._probe(server)
            case CloseIdle(server):
                self._servers.close_idle(server)
            case Subscribe():
                self._discovery.subscribe()
            case Log(text):
                log.info("%s", text)

    # ------------------------------------------------------------ requests

    def _take(self, asked: ClientRequest, exchange: Exchange) -> None:
        """A valid request of a caller's: from here on it is owed one answer."""
        self._last_id += 1
        request = self._last_id
        budget = self._budget(asked.budget_ms)
        pending = self._requests[request] = Pending(
            asked.message,
            exchange,
            self._config.settings.classes[asked.class_index].effect,
            budget,
            request_head(asked.message, self._host),
        )
        upload = asked.message.upload
        if upload is None:
            self._set_deadline(request, pending)
        else:
            upload.on_end = lambda: self._body_came(request, asked.budget_ms)
        exchange.on_gone = lambda: self._gone(request)
        self._post(
            RequestArrived(
                request,
                asked.class_index,
                budget,
                asked.tenant,
                asked.key,
                asked.cost_hint_ms,
                asked.is_repeat,
                body_streamed=upload is not None,
            )
        )

    def _budget(self, asked_ms: float) -> float:
        """The time that the module has for a request whose last byte is here."""
        budget = min(asked_ms, 1000.0 * self._drain.time_left_s())
        return max(1.0, budget - min(RESERVE_MS, RESERVE_MOST * budget))

    def _set_deadline(self, request: RequestId, pending: Pending) -> None:
        pending.deadline = self._clock.now() + pending.budget
        pending.timer = self._loop.call_later((pending.budget + GUARD_MS) / 1000.0, self._overdue, request)

    def _body_came(self, request: RequestId, asked_ms: float) -> None:
        """The last byte of a long body is here: its time begins."""
        pending = self._requests.get(request)
        if pending is not None and pending.started is None:
            pending.budget = self._budget(asked_ms)
            self._set_deadline(request, pending)
            call = self._calls.get((request, pending.attempts - 1))
            if call is not None:
                call.expire_in(pending.budget / 1000.0)

    def _close(self, request: RequestId) -> Pending | None:
        """Strike a request off the table; None if it has been answered already."""
        pending = self._requests.pop(request, None)
        if pending is not None:
            if pending.timer is not None:
                pending.timer.cancel()
            pending.exchange.on_gone = None
            if self._handling:
                self._struck[request] = pending
        return pending

    def _finish(self, request: RequestId, status: int, body: bytes = b"", extra: bytes = b"") -> None:
        pending = self._close(request)
        if pending is not None:
            if status != 200:
                headers = pending.message.headers
                log.info(
                    "request %s (%s) answered %d after %d attempts, %.0f ms of its time left",
                    headers[REQUEST_ID].decode(errors="replace"),
                    headers[CLASS].decode(errors="replace"),
                    status,
                    pending.attempts,
                    pending.deadline - self._clock.now(),
                )
            pending.exchange.answer(status, body, extra)

    def _gone(self, request: RequestId) -> None:
        pending = self._close(request)
        if pending is None:
            return
        self._post(RequestAbandoned(request))
        if pending.uploading or pending.started is not None:
            # Neither can become whole any more, whatever the module may withdraw.
            for key in [key for key in self._calls if key[0] == request]:
                self._calls[key].give_up(Outcome.CANCELLED)

    def _overdue(self, request: RequestId) -> None:
        """The module owed an answer by now: the caller gets one all the same, before its time is over."""
        log.error("request %d was not answered in time", request)
        self._answer_fault(request)

    def _answer_fault(self, request: RequestId) -> None:
        if request in self._requests:
            self._finish(request, 500)
            self._post(RequestAbandoned(request))

    # ------------------------------------------------------------ attempts

    def _wanted(self, request: RequestId) -> Pending | None:
        """An open request whose caller has not left by now."""
        pending = self._requests.get(request)
        if pending is not None:
            pending.exchange.notice_end()
        return self._requests.get(request)

    def _send(self, action: Send) -> None:
        request, server = action.request, action.server
        pending = self._wanted(request)
        if pending is None:
            # Its caller left while this was decided, and the module does not know yet.
            struck = self._struck[request]
            self._post(AttemptEnded(request, struck.attempts, server, Outcome.NOT_SENT, 0.0, True))
            struck.attempts += 1
            return
        number = pending.attempts
        pending.attempts += 1
        left = pending.deadline - self._clock.now()
        if left <= 0.0:
            self._post(AttemptEnded(request, number, server, Outcome.NOT_SENT, 0.0, False))
            return
        timeout = min(action.timeout_ms, left) if action.timeout_ms > 0 else left
        sent = self._clock.now()
        head, message, upload = pending.head, pending.message, pending.message.upload

        def render(seconds: float) -> bytes:
            wait = seconds if upload is None else pending.budget / 1000.0
            return b"%sX-Deadline: %.3f\r\n\r\n%s" % (head, wait, message.body)

        def may_write() -> bool:
            """A repeat has its window; and nobody may have it any more, cancelled or not."""
            wanted = self._wanted(request) is pending and pending.started is None
            return wanted and self._clock.now() < action.before_ms

        def written() -> None:
            nonlocal sent
            self._metrics.tried()
            if upload is not None and pending.started is None:
                sent = self._clock.now()  # before that its server had no work to do
                self._post(BodySent(request, number))

        def begin(answer: Message, pace: Callable[[bool], None]) -> Sink | None:
            return self._begin(request, number, server, self._clock.now() - sent, answer, pace)

        def done(outcome: Outcome, answer: Message | None) -> None:
            if outcome is not Outcome.OK:
                log.info(
                    "request %s attempt %d to %s: %s%s after %.0f ms, %s",
                    message.headers[REQUEST_ID].decode(errors="replace"),
                    number,
                    server.decode(errors="replace"),
                    outcome.value,
                    f" ({answer.status})" if answer is not None else "",
                    self._clock.now() - sent,
                    call.path,
                )
            self._ended(
                request, number, server, sent, outcome, answer, spent=upload is not None and upload.spent
            )

        call = self._servers.call(
            server,
            render,
            timeout / 1000.0,
            done,
            repeatable=pending.effect is not Effect.UNSAFE and upload is None,
            on_written=written,
            begin=begin,
            upload=upload,
            may_write=may_write,
        )
        self._calls[request, number] = call

    def _begin(
        self,
        request: RequestId,
        number: int,
        server: EndpointId,
        elapsed: float,
        answer: Message,
        pace: Callable[[bool], None],
    ) -> Sink | None:
        """A long answer has begun: from here on this attempt is the caller's, and none beside it."""
        pending = self._requests.get(request)
        if pending is None or pending.started is not None:
            return None
        if pending.timer is not None:
            pending.timer.cancel()
        pending.started, pending.started_ms = number, elapsed
        pending.exchange.begin(answer, pace)
        self._post(ResponseStarted(request, number, server, elapsed))
        return pending.exchange

    def _ended(
        self,
        request: RequestId,
        number: int,
        server: EndpointId,
        sent: float,
        outcome: Outcome,
        answer: Message | None,
        *,
        spent: bool,
    ) -> None:
        self._calls.pop((request, number), None)
        pending = self._requests.get(request)
        elapsed = self._clock.now() - sent
        if pending is not None and pending.started == number:
            elapsed = pending.started_ms
            self._close(request)
            if outcome is Outcome.OK:
                pending.exchange.last()
            else:
                pending.exchange.break_off()
        elif outcome is Outcome.OK and answer is not None and (pending is None or pending.started is None):
            kind = answer.headers.get(CONTENT_TYPE)
            self._finish(request, 200, answer.body, b"Content-Type: %s\r\n" % kind if kind else b"")
        finished = request not in self._requests
        load = load_report(answer, self._config.settings.load_report_columns)
        self._post(AttemptEnded(request, number, server, outcome, elapsed, finished, load, spent))

    def _probe(self, server: EndpointId) -> None:
        sent = self._clock.now()

        def done(outcome: Outcome, answer: Message | None) -> None:
            load = load_report(answer, self._config.settings.load_report_columns)
            self._post(HealthCheckEnded(server, outcome, self._clock.now() - sent, load))

        self._servers.call(server, lambda _: self._probe_text, PROBE_MS / 1000.0, done)

    # ------------------------------------------------------------ the list

    def reconfigure(self) -> None:
        """SIGHUP: the configuration file was replaced, and discovery may have moved."""
        try:
            address = read_discovery(self._config.path)
        except ConfigError as error:
            log.error("the new configuration cannot be used, discovery stays where it was: %s", error)
            return
        if self._feeding is not None:
            address = self._feeding.rebase(address)
        log.info("discovery is at %s:%d now", *address)
        self._discovery.move(address)

    def _take_over(self, live: Live) -> None:
        """A document of the feed came into force: what may change while the node runs is this now."""
        self._servers.connect_s = live.connect_timeout_ms / 1000.0
        if live.discovery != self._discovery.address:
            log.info("discovery is at %s:%d now, as the feed says", *live.discovery)
            self._discovery.move(live.discovery)

    def _catch_up(self) -> None:
        """Follow a configuration that was replaced while this process started and took no signals."""
        try:
            address = read_discovery(self._config.path)
        except ConfigError:
            return  # only the environment names discovery, or the file is being written: its signal follows
        if address != self._config.discovery:
            log.info("the configuration was replaced during the start")
            self.reconfigure()

    def _on_list(self, listing: Listing) -> None:
        self._servers.update(listing)
        self._post(listing.event())
        if self._keeping is not None:
            self._keeping.note_list(listing.whole, listing.version, listing.raw)
        self._hear()

    # ------------------------------------------------------------ staff, and the end

    def _by_staff(self, done: bool, evacuated: bool) -> Reply | Awaitable[Reply]:
        """The answer to a drain that is done, once it is kept; 409 where it could not be."""
        if not done:
            return Reply(409)
        return Reply(200) if self._keeping is None else self._kept_by_staff(self._keeping, evacuated)

    @staticmethod
    async def _kept_by_staff(keeping: Keeping, evacuated: bool) -> Reply:
        why = await keeping.keep_drain(evacuated)
        return Reply(200, f"done, but a restart may forget it: {why}\n".encode() if why else b"")

    def _telemetry(self) -> Reply:
        balancer = self._balancer
        figures = self._metrics.render(
            active=sum(not pending.uploading for pending in self._requests.values()),
            pool_size=balancer.pool_size,
            pool_ejected=balancer.pool_ejected,
            more={
                name: value
                for part in (self._membership, self._keeping, self._feeding)
                if part is not None
                for name, value in part.figures().items()
            },
        )
        return Reply(200, figures)

    def terminate(self) -> None:
        """SIGTERM: no longer ready; answer what is here and what still comes, then end."""
        self._drain.leave()
        if self._keeping is not None:
            self._keeping.close()  # at once: a process beside this one may be waiting for the directory

    def _fail_rest(self) -> None:
        """Few moments are left before SIGKILL: an answer that promises nothing beats none."""
        for request in [r for r, pending in self._requests.items() if pending.started is None]:
            self._answer_fault(request)
