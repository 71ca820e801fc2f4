"""A node: its life cycle and its signals.

The decision module makes every decision.  The node translates socket activity into events for the module and
carries out the actions of the module; `dispatcher`, `request_table` and `attempt` do that work.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import socket
from collections.abc import Awaitable
from dataclasses import replace
from typing import TYPE_CHECKING

from crowpost.decision_api import EndpointList, ListKind
from crowpost.decisions import Balancer
from crowpost.node.admin import AdminAction, AdminResponse, AdminServer
from crowpost.node.attempt import AttemptSender
from crowpost.node.byte_budget import ByteBudget, budget_bytes
from crowpost.node.clock import Clock
from crowpost.node.configuration import Config, ConfigError, read_discovery
from crowpost.node.discovery.client import DiscoveryClient
from crowpost.node.discovery.endpoint_list import ListError, Listing
from crowpost.node.dispatcher import Dispatcher, HealthChecker
from crowpost.node.downstream.acceptor import listen_when_possible
from crowpost.node.downstream.listener import Listener
from crowpost.node.downstream.sockets import adopt_listening_socket
from crowpost.node.drain import Drain, Phase
from crowpost.node.event_queue import EventQueue
from crowpost.node.memory_monitor import MemoryMonitor
from crowpost.node.metrics import Metrics
from crowpost.node.reading import ReadScheduler
from crowpost.node.request_table import RequestTable
from crowpost.node.resource_shares import divide
from crowpost.node.sent_requests import open_sent_requests, slots_for
from crowpost.node.upstream.pool import ConnectionPool

if TYPE_CHECKING:
    from crowpost.node.config_feed import NodeConfigFeed
    from crowpost.node.configuration_overlays import ReloadableSettings
    from crowpost.node.membership import Membership
    from crowpost.node.state.writer import NodeStateWriter

log = logging.getLogger(__name__)

# Timeout of a request for the endpoint list, as a fraction of the interval between two of them: a request has
# failed before the next one starts.
LIST_CALL_FRACTION = 0.4
# Upper bound of `list_poll_ms`, regardless of the settings after a failed call.  A change of the list must
# be known 6 s after discovery becomes reachable; by then a request that times out (FIRST_LINE_TIMEOUT_S) and
# the longest pause, which is half of this interval, must be over.
MAX_LIST_POLL_MS = 5_200.0

# Maximum wait for the first list from discovery before an inherited listening socket is accepted from.
FIRST_LIST_TIMEOUT_S = 1.0


class Node:
    """A load balancer node: one process with its listeners, connection pool and decision module."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self._loop = asyncio.get_running_loop()
        self._clock = Clock()
        self._events = EventQueue()
        self._done = asyncio.Event()
        self._address = config.listen
        self._initial_list_done = False  # discovery has sent a list, or FIRST_LIST_TIMEOUT_S is over
        self._membership: Membership | None = None
        self._state_writer: NodeStateWriter | None = None
        self._config_feed: NodeConfigFeed | None = None
        self._inherited_socket: socket.socket | None = None
        if config.accept_fd is not None:
            self._inherited_socket = adopt_listening_socket(config.accept_fd)
        shares = divide(config.limits, shared=self._inherited_socket is not None)
        self._metrics = Metrics([request_class.name for request_class in config.settings.classes])
        self._balancer = self._make_balancer()
        host = b"%s:%d" % (config.listen[0].encode(), config.listen[1])
        health_check = b"GET /health HTTP/1.1\r\nHost: %s\r\n\r\n" % host
        reads = ReadScheduler()
        self._pool = ConnectionPool(
            connect_timeout_s=config.settings.connect_timeout_ms / 1000.0,
            idle_timeout_s=config.conn_idle_ms / 1000.0,
            max_connections=shares.endpoint_connections,
            probe_request=health_check if config.settings.may_check_health else None,
            reads=reads,
        )
        sent_requests = open_sent_requests(
            max(max(each.deadline_ms, each.idempotency_window_ms) for each in config.settings.classes),
            config.shared_directory,
            config.name,
            slots_for(shares.memory_bytes),
        )
        budget = ByteBudget(budget_bytes(shares.memory_bytes, shares.connections))
        self._max_connections = shares.connections
        self._memory = MemoryMonitor(budget, shares.memory_bytes, self._unopened_connections)
        self._requests = RequestTable(config.settings, self._clock, self._events, host, sent_requests)
        self._listener = Listener(
            config.settings,
            self._requests.add,
            self.ready,
            self._metrics,
            max_connections=shares.client_connections,
            budget=budget,
            reads=reads,
        )
        self._drain = Drain(
            self._listener,
            longest_s=max(request_class.deadline_ms for request_class in config.settings.classes) / 1000.0,
            handed_over=self._inherited_socket is not None,
            fail_remaining=self._requests.fail_remaining,
            on_finished=self.stop,
        )
        self._requests.time_left_s = self._drain.time_left_s
        self._admin = self._make_admin_server(shares.admin_connections)
        self._discovery = self._make_discovery_client(reads)
        self._connect_dispatcher(health_check)

    def _unopened_connections(self) -> int:
        opened = self._listener.connection_count() + self._pool.connection_count()
        return max(0, self._max_connections - opened)

    def _make_balancer(self) -> Balancer:
        settings = self._config.settings
        list_poll_ms = min(settings.list_poll_ms, MAX_LIST_POLL_MS)
        return Balancer(replace(settings, list_poll_ms=list_poll_ms), self._config.seed)

    def _make_admin_server(self, max_connections: int) -> AdminServer:
        return AdminServer(
            {
                b"/api/ready": AdminAction(b"GET", lambda: AdminResponse(200 if self.ready() else 503)),
                b"/api/telemetry": AdminAction(b"GET", self._telemetry),
                b"/api/evacuate": AdminAction(b"POST", self._evacuate),
                b"/api/rejoin": AdminAction(b"POST", self._rejoin),
            },
            max_connections=max_connections,
        )

    def _make_discovery_client(self, reads: ReadScheduler) -> DiscoveryClient:
        settings = self._config.settings
        return DiscoveryClient(
            self._config.discovery,
            self._config.naming,
            pushed=not settings.poll_for_list,
            seed=self._config.seed,
            call_timeout_s=LIST_CALL_FRACTION * settings.list_poll_ms / 1000.0,
            on_list=self._on_list,
            on_failed=lambda: self._events.post(EndpointList(ListKind.FAILED)),
            reads=reads,
        )

    def _connect_dispatcher(self, health_check: bytes) -> None:
        columns = self._config.settings.load_report_columns
        attempts = AttemptSender(
            self._requests, self._pool, self._clock, self._events, self._metrics, columns
        )
        health_checker = HealthChecker(self._pool, self._clock, self._events, health_check, columns)
        Dispatcher(
            self._balancer,
            self._clock,
            self._events,
            attempts,
            health_checker,
            lambda: self._discovery.subscribe(),
        )

    async def start(self) -> tuple[str, int]:
        """Start and listen; return the address for clients.

        An inherited listening socket is accepted from only once the node is ready.  Raise ConfigError if a
        configured address or directory cannot be used.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self.terminate)
        self._loop.add_signal_handler(signal.SIGHUP, self.reconfigure)
        known = self._open_state(self._config.known)
        self._config = replace(self._config, known=None)
        if known is not None:
            self._pool.update(known)
            self._events.post(known.event(cached=True))
        if self._state_writer is not None:
            self._events.post(self._state_writer.state.restored_event(self._clock.now()))
        self._discovery.start(known.version if known is not None else 0)
        self._start_feed()
        self._reload_if_replaced()
        if self._config.management is not None:
            try:
                self.admin_address = await listen_when_possible(self._listen_for_operators)
            except OSError as error:
                raise ConfigError(f"NODE_MANAGEMENT cannot be used: {error}") from error
            log.info("node %s is managed on %s:%d", self._config.name, *self.admin_address)
        await self._start_membership()
        if self._config.accept_fd is None:
            try:
                await listen_when_possible(self._listen_for_clients)
            except OSError as error:
                raise ConfigError(f"NODE_LISTEN cannot be used: {error}") from error
        elif self._inherited_socket is not None:
            # The socket is None if discovery has already sent a list and the socket is accepted from.
            self._address = self._inherited_socket.getsockname()[:2]
            self._loop.call_later(FIRST_LIST_TIMEOUT_S, self._on_initial_list_done)
        return self._address

    async def _listen_for_operators(self) -> tuple[str, int]:
        assert self._config.management is not None
        return self._admin.listen(self._config.management)

    async def _listen_for_clients(self) -> None:
        self._accept(self._config.listen)

    def _open_state(self, known: Listing | None) -> Listing | None:
        """Open the state directory, if one is configured.

        Return the endpoint list of the state directory, or that of the configuration if it supersedes it.
        """
        if self._config.state is None:
            return known
        from crowpost.node.state.records import pack_instance
        from crowpost.node.state.writer import NodeStateWriter
        from crowpost.storage.errors import StoreError

        def drain(evacuated: bool) -> bool:
            return self._drain.evacuate() if evacuated else self._drain.rejoin()

        self._config.naming.pack = pack_instance
        self._state_writer = NodeStateWriter(self._config.state, self._balancer, self._clock.now, drain)
        try:
            self._state_writer.open()
            raw = self._state_writer.state.endpoint_list()
            stored = self._config.naming.read(raw) if raw is not None else None
        except (StoreError, ListError) as error:
            raise ConfigError(f"NODE_STATE: {self._config.state.directory}: {error}") from error
        if self._state_writer.state.evacuated:
            log.info("the node was evacuated and stays so until rejoin")
            self._drain.evacuate()
        if stored is not None and not (known is not None and known.supersedes(stored)):
            return stored
        if known is not None:
            self._state_writer.record_initial_list(known.version, known.packed)
        return known

    async def _start_membership(self) -> None:
        """Join the cluster if membership is configured; otherwise no membership module is imported."""
        if self._config.members is None:
            return
        from crowpost.membership.model import Phase as MemberPhase
        from crowpost.node.membership import Membership

        def phase() -> MemberPhase:
            if self._drain.phase is not Phase.SERVING:
                return MemberPhase.LEAVING
            return MemberPhase.PRESENT if self.ready() else MemberPhase.JOINING

        state_writer = self._state_writer
        on_incarnation = state_writer.record_incarnation if state_writer is not None else lambda _: None
        self._membership = Membership(
            self._config.members, self._config.settings, phase, self._events.post, on_incarnation
        )
        membership = self._membership
        incarnation = state_writer.state.incarnation + 1 if state_writer is not None else 1
        try:
            await listen_when_possible(lambda: membership.start(incarnation))
        except OSError as error:
            raise ConfigError(f"NODE_MEMBERS: members.listen cannot be used: {error}") from error

    def _start_feed(self) -> None:
        """Follow the configuration feed if there is one; otherwise no feed module is imported."""
        if self._config.feed is None or self._config.overlays is None:
            return
        from crowpost.node.config_feed import NodeConfigFeed

        self._config_feed = NodeConfigFeed(self._config.feed, self._config.overlays, self._apply_reloadable)
        self._config_feed.start()

    def _accept(self, at: tuple[str, int] | socket.socket) -> None:
        self._address = self._listener.listen(at)
        log.info("node %s listens on %s:%d", self._config.name, *self._address)

    def _on_initial_list_done(self) -> None:
        """Accept from an inherited socket, after the first list or FIRST_LIST_TIMEOUT_S."""
        self._initial_list_done = True
        terminating = self._drain.phase is Phase.TERMINATING
        if self._inherited_socket is not None and self._pool.has_endpoints() and not terminating:
            inherited = self._inherited_socket
            self._inherited_socket = None
            self._accept(inherited)

    def ready(self) -> bool:
        """Return whether the node is ready for client traffic."""
        serving = self._drain.phase is Phase.SERVING
        return serving and self._listener.listening() and self._pool.has_endpoints()

    def stop(self) -> None:
        """End now, even with open connections.

        Stop reading from clients, since no new request would get a response.
        """
        self._listener.close()
        self._done.set()

    async def wait(self) -> None:
        """Serve until SIGTERM, then until every accepted request has its response."""
        await self._done.wait()
        self._admin.close()
        self._memory.close()
        self._discovery.close()
        self._listener.close()
        self._pool.close()
        if self._config_feed is not None:
            await self._config_feed.close()
        if self._membership is not None:
            await self._membership.close()
        if self._state_writer is not None:
            await self._state_writer.close()

    def reconfigure(self) -> None:
        """Reload a replaced configuration file (SIGHUP): discovery may have another address."""
        try:
            address = read_discovery(self._config.path)
        except ConfigError as error:
            text = "the new configuration cannot be used, the discovery address is unchanged: %s"
            log.error(text, error)  # noqa: TRY400  the text of the error is sufficient
            return
        if self._config_feed is not None:
            address = self._config_feed.rebase(address)
        log.info("discovery address changed to %s:%d", *address)
        self._discovery.move(address)

    def _apply_reloadable(self, reloadable: ReloadableSettings) -> None:
        """Apply the reloadable settings from a document of the feed."""
        self._pool.connect_timeout_s = reloadable.connect_timeout_ms / 1000.0
        if reloadable.discovery != self._discovery.address:
            log.info("discovery address changed to %s:%d by the configuration feed", *reloadable.discovery)
            self._discovery.move(reloadable.discovery)

    def _reload_if_replaced(self) -> None:
        """Reload a configuration file that was replaced during the start, before signals were handled."""
        try:
            address = read_discovery(self._config.path)
        except ConfigError:
            # Only the environment names discovery, or the file is still being written and SIGHUP follows.
            return
        if address != self._config.discovery:
            log.info("the configuration was replaced during the start")
            self.reconfigure()

    def _on_list(self, listing: Listing) -> None:
        if self._state_writer is not None:
            self._state_writer.record_packed_list(listing.complete, listing.version, listing.packed)
            # Not kept while the list is applied, which needs memory too.
            listing.packed.clear()
        self._pool.update(listing)
        self._events.post(listing.event())
        if listing.entries:
            self._memory.check()
        self._on_initial_list_done()

    def _evacuate(self) -> AdminResponse | Awaitable[AdminResponse]:
        return self._respond_to_drain(done=self._drain.evacuate(), evacuated=True)

    def _rejoin(self) -> AdminResponse | Awaitable[AdminResponse]:
        return self._respond_to_drain(done=self._drain.rejoin(), evacuated=False)

    def _respond_to_drain(self, *, done: bool, evacuated: bool) -> AdminResponse | Awaitable[AdminResponse]:
        """Return the response once the drain state is stored; 409 if the change was not possible."""
        if not done:
            return AdminResponse(409)
        if self._state_writer is None:
            return AdminResponse(200)
        return self._store_drain(self._state_writer, evacuated)

    @staticmethod
    async def _store_drain(state_writer: NodeStateWriter, evacuated: bool) -> AdminResponse:
        failure = await state_writer.record_evacuation(evacuated)
        return AdminResponse(
            200, f"done, but a restart may forget it: {failure}\n".encode() if failure else b""
        )

    def _telemetry(self) -> AdminResponse:
        balancer = self._balancer
        rendered = self._metrics.render(
            active=self._requests.active_count(),
            pool_size=balancer.pool_size,
            pool_ejected=balancer.pool_ejected,
            more={
                "accept_failures": self._listener.accept_failures(),
                "memory_scarce": self._memory.scarce_checks,
            }
            | {
                name: value
                for part in (self._membership, self._state_writer, self._config_feed)
                if part is not None
                for name, value in part.metrics().items()
            },
        )
        return AdminResponse(200, rendered)

    def terminate(self) -> None:
        """Begin the graceful shutdown (SIGTERM): become unready, respond to pending and new requests, end."""
        self._drain.terminate()
        if self._state_writer is not None:
            # Close the state at once, as another process of this node may be waiting for its directory.
            self._state_writer.close()
