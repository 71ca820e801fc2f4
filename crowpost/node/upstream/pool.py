"""The connection pool: holds connections to all listed endpoints and selects one for each call."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable

from crowpost.decision_api import EndpointId, Outcome, Readiness
from crowpost.node.discovery.endpoint_list import Listing
from crowpost.node.http.message import Message
from crowpost.node.reading import ReadScheduler
from crowpost.node.upstream.call import Call
from crowpost.node.upstream.connection import CarryResult, Endpoint, UpstreamConnection
from crowpost.node.upstream.dial_failure import DialFailure
from crowpost.node.upstream.endpoint import EndpointConnections
from crowpost.node.upstream.keep_alive import KeepAlive
from crowpost.node.upstream.race import ConnectionRace, OnDialled

log = logging.getLogger(__name__)

# The pool closes idle connections after this fraction of the time after which servers close them: a request
# must never be in flight when the server closes the connection.
IDLE_TIMEOUT_FRACTION = 0.5
SWEEP_INTERVAL_S = 1.0
# Minimum time between a response and the next call on its connection: unsolicited bytes that some servers
# send after a response arrive within this time.
REUSE_DELAY_S = 0.01


class ConnectionPool:
    """All listed endpoints and every open connection to them.

    probe_request: a request that shows whether an idle connection still works; None if health checks are not
    allowed; reads: schedules the reads of all connections of the node; None for a scheduler of its own.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        idle_timeout_s: float,
        max_connections: int,
        probe_request: bytes | None = None,
        reads: ReadScheduler | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.reads = reads or ReadScheduler()
        self.connect_timeout_s = connect_timeout_s  # timeout of later dials; may be changed at any time
        self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * idle_timeout_s
        self.keep_alive = KeepAlive(self._idle_timeout_s)
        self._max_connections = max_connections
        self._probe_request = probe_request
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._connections: set[UpstreamConnection] = set()
        self.discarding: set[UpstreamConnection] = set()  # connections that read and discard a response
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def update(self, listing: Listing) -> None:
        """Apply an endpoint list or a change of it.

        If the address or start time of an endpoint has changed, its old connections belong to a dead process.
        """
        if listing.complete:
            for server in self._endpoints.keys() - {entry.server for entry in listing.entries}:
                self._remove(server)
        for entry in listing.entries:
            if entry.readiness is not Readiness.READY:
                self._remove(entry.server)
                continue
            endpoint = self._endpoints.get(entry.server)
            address = listing.addresses[entry.server]
            if endpoint is None or endpoint.address != address or endpoint.started_ms != entry.started_ms:
                self._remove(entry.server)
                self._endpoints[entry.server] = EndpointConnections(
                    entry.server.decode(errors="replace"), address, entry.started_ms
                )

    def _remove(self, server: EndpointId) -> None:
        endpoint = self._endpoints.pop(server, None)
        if endpoint is not None:
            endpoint.listed = False
            self._abort_idle(list(endpoint.idle))

    def has_endpoints(self) -> bool:
        """Return whether any endpoint is listed as ready."""
        return bool(self._endpoints)

    def start(self, call: Call, server: EndpointId, *, idempotent: bool = True) -> None:
        """Start a call; it does not finish before this returns.

        A call that is not idempotent is carried on an idle connection that the server may have dropped only
        after a probe on that connection succeeds: a probe costs the server less than a new handshake.
        """
        endpoint = self._endpoints.get(server)
        if endpoint is None:
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
            return
        now = self._loop.time()
        reusable_since = now - REUSE_DELAY_S
        while endpoint.idle:
            connection = endpoint.most_recent(reusable_since)
            idle_s = now - connection.idle_since
            may_be_stale = not idempotent and idle_s > self.keep_alive.trusted_s(now)
            if may_be_stale and self._probe_request is None:
                break
            endpoint.idle.remove(connection)
            if not connection.usable():
                continue
            if may_be_stale and self._probe_request is not None:
                self._probe_then_carry(connection, call, self._probe_request)
            elif connection.idle_since <= reusable_since:
                match connection.carry(call):
                    case CarryResult.CONNECTION_USELESS:
                        continue
                    case CarryResult.NOT_WANTED:
                        self.return_unused(connection)
                        self._loop.call_soon(call.finish, Outcome.NOT_SENT)
            else:
                self._carry_after_delay(connection, call)
            return
        self.dial_for(endpoint, call)

    def _probe_then_carry(self, connection: UpstreamConnection, call: Call, probe: bytes) -> None:
        """Carry the call on this connection if a probe on it gets a response, else on a new connection."""
        endpoint = connection.endpoint

        def on_probed(_: Outcome, response: Message | None) -> None:
            if response is not None and connection in endpoint.idle:
                endpoint.idle.remove(connection)
                self._carry_after_delay(connection, call)
            elif not endpoint.listed:
                call.finish(Outcome.CONNECT_FAILED)
            elif not call.finished:
                self.dial_for(endpoint, call)

        probe_call = Call(lambda _: probe, self.connect_timeout_s, on_probed)
        if connection.carry(probe_call) is not CarryResult.WRITTEN:
            probe_call.finish(Outcome.CONNECT_FAILED)

    def _carry_after_delay(self, connection: UpstreamConnection, call: Call) -> None:
        """Carry the call once the connection has been idle for `REUSE_DELAY_S`.

        A second response, or other unsolicited bytes that a server sends after a response, would be taken for
        the response to a call that is written before they arrive.  While no call is in flight, they close the
        connection instead.
        """
        wait_s = connection.idle_since + REUSE_DELAY_S - self._loop.time()
        if wait_s <= 0.0:
            self.dispatch(call, connection)
        else:
            ConnectionRace(self, connection, call, wait_s)

    def dial_for(self, endpoint: Endpoint, call: Call) -> None:
        """Carry the call on a new connection."""
        if not self._make_room():
            log.warning("connection limit reached, cannot connect to %s", endpoint.name)
            self._loop.call_soon(call.finish, Outcome.CONNECT_FAILED)
            return

        def on_dialled(result: UpstreamConnection | DialFailure) -> None:
            if isinstance(result, DialFailure):
                call.finish(result.value)
            else:
                self.dispatch(call, result)

        self.dial(endpoint, on_dialled)

    def dial(self, endpoint: Endpoint, on_dialled: OnDialled) -> None:
        """Open a connection and pass it to `on_dialled`, or why it is not established in time."""
        task = self._loop.create_task(self._connect(endpoint, on_dialled))
        self._dial_tasks.add(task)
        task.add_done_callback(self._dial_tasks.discard)

    async def _connect(self, endpoint: Endpoint, on_dialled: OnDialled) -> None:
        host, port = endpoint.address
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(endpoint, self), host, port
                )
        except OSError as error:  # TimeoutError is one of them
            on_dialled(DialFailure.of(error))
            return
        except UnicodeError:
            # A host in the list that is no host name.
            on_dialled(DialFailure.ENDPOINT)
            return
        on_dialled(connection)

    def dispatch(self, call: Call, connection: UpstreamConnection) -> None:
        """Carry the call on a connection that was just established or checked, if the call may still be sent.

        Conditions may have changed since the decision: the endpoint drains or has restarted, the request has
        its response or its client has disconnected, or the retry window has passed.
        """
        if not connection.endpoint.listed:
            connection.abort()
            call.finish(Outcome.CONNECT_FAILED)
        elif not connection.usable():
            call.finish(Outcome.CONNECT_FAILED)
        elif call.finished:
            self.release(connection)
        else:
            self._carry_if_wanted(connection, call)

    def _carry_if_wanted(self, connection: UpstreamConnection, call: Call) -> None:
        match connection.carry(call):
            case CarryResult.CONNECTION_USELESS:
                self._carry_elsewhere(connection, call)
            case CarryResult.NOT_WANTED:
                self.release(connection)
                call.finish(Outcome.NOT_SENT)

    def _carry_elsewhere(self, connection: UpstreamConnection, call: Call) -> None:
        """Carry a call on a new connection, as unread bytes have made this one useless."""
        if connection.used:
            self.dial_for(connection.endpoint, call)
        else:
            call.finish(Outcome.CONNECT_FAILED)

    def opened(self, connection: UpstreamConnection) -> None:
        """Register a connection that was established."""
        self._connections.add(connection)

    def closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that was closed."""
        self._connections.discard(connection)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call if its endpoint is still the same process, else close it."""
        now = self._loop.time()
        # No unsolicited response can arrive on a connection that has not carried a call.
        connection.idle_since = now if connection.used else now - REUSE_DELAY_S
        self.return_unused(connection)

    def return_unused(self, connection: UpstreamConnection) -> None:
        """Keep a connection that was taken from the pool and carried no call; `idle_since` is unchanged."""
        if connection.endpoint.listed and connection.usable():
            connection.endpoint.add_idle(connection)
        else:
            connection.abort()

    def close_idle(self, server: EndpointId) -> None:
        """Close the idle connections to an endpoint."""
        endpoint = self._endpoints.get(server)
        if endpoint is not None:
            self._abort_idle(list(endpoint.idle))

    def close(self) -> None:
        """Close every connection and cancel every dial."""
        self._sweeper.cancel()
        for endpoint in self._endpoints.values():
            endpoint.listed = False
        for task in list(self._dial_tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def _abort_idle(self, connections: Iterable[UpstreamConnection]) -> None:
        for connection in connections:
            connection.endpoint.idle.remove(connection)
            connection.abort()

    def _idle_connections(self) -> list[UpstreamConnection]:
        return [connection for endpoint in self._endpoints.values() for connection in endpoint.idle]

    def connection_count(self) -> int:
        """Return the number of established connections."""
        return len(self._connections)

    def has_spare_capacity(self) -> bool:
        """Return whether one more connection may be opened without closing another."""
        return len(self._connections) + len(self._dial_tasks) < self._max_connections

    def _make_room(self) -> bool:
        """Return whether one more connection may be opened, closing another one if necessary.

        A connection that discards a response is closed first, else the one that has been idle longest.
        """
        if self.has_spare_capacity():
            return True
        if self.discarding:
            next(iter(self.discarding)).abort()
            return True
        oldest = min(self._idle_connections(), key=lambda connection: connection.idle_since, default=None)
        if oldest is None:
            return False
        self._abort_idle([oldest])
        return True

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        before = self._loop.time() - self._idle_timeout_s
        self._abort_idle([c for c in self._idle_connections() if c.idle_since < before])
        now = self._loop.time()
        for connection in [c for c in self._connections if c.is_stalled(now)]:
            log.warning("endpoint %s: a streamed body has stalled", connection.endpoint.name)
            connection.fail()
