"""The follower of a node, a relay, or a publisher that follows other publishers.  It does no I/O.

The transport calls it with events, received bytes and times that do not go back (`monotonic_clock` copes with
a clock that does); `take` returns what the transport must do.
The follower assigns a number to each connection that it requests with a ConnectRequest; the transport
connects, calls `connected` or `lost`, and passes on received bytes.

Headers are received from all connected servers, and each body from one of them (`fetch_scheduler`).  Each
heartbeat has a digest of the stored versions; while the digests of both sides differ, the version vector is
sent again, so that lost headers are always repeated.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from random import Random

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus, shorten_reason
from crowpost.config_feed.apply_tracker import ApplyTracker
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader
from crowpost.config_feed.errors import FeedError, FrameError
from crowpost.config_feed.fetch_scheduler import FetchScheduler
from crowpost.config_feed.frames import PACKET_OVERHEAD_BYTES, cluster_tag, encode
from crowpost.config_feed.identity import NODE_ROLE, ProcessIdentity
from crowpost.config_feed.messages import (
    ApplyReport,
    BodyChunk,
    BodyUnavailable,
    DocumentHeaders,
    FetchRequest,
    Goodbye,
    Heartbeat,
    Hello,
    Message,
)
from crowpost.config_feed.monotonic_clock import MonotonicClock
from crowpost.config_feed.outputs import ConnectRequest, FeedEvent, FollowerOutput
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.token_bucket import follower_bucket
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_connections import (
    MAX_FAILURES_COUNTED,
    UpstreamConnection,
    UpstreamConnections,
)
from crowpost.config_feed.upstream_server import UpstreamServer


class Follower:
    """Follows a few servers and fetches each document of a subscription once, from the nearest of them.

    A node applies each document in `FollowerOutput.apply` and then calls `apply_finished`; a relay or
    publisher stores it, and its distribution server announces it.  table: shared with that server;
    cached_documents: last good documents from disk, which count as applied from the start.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        servers: Iterable[UpstreamServer],
        subscription: Subscription,
        *,
        rng: Random,
        now: float,
        tuning: Tuning | None = None,
        table: DocumentTable | None = None,
        cached_documents: Iterable[Document] = (),
    ) -> None:
        tuning = tuning or Tuning()
        self.identity = identity
        self.subscription = subscription
        self.tuning = tuning
        self.table = DocumentTable(tuning) if table is None else table
        self.counts: Counter[str] = Counter()
        """Counters by name.

        They include bytes_in, bytes_out, bodies (completed), fetches (requests sent), taken_over (fetches
        continued on another server), coalesced (fetches replaced by a newer version), dropped_KIND, dials
        (connection attempts), lost, vectors (version vectors sent again) and slept (suspensions).
        """
        self._requires_apply = identity.role == NODE_ROLE
        self._rng = rng
        self._cluster = cluster_tag(identity.cluster)
        self.bucket = follower_bucket(tuning, subscription.all_scopes, now)
        self._connections = UpstreamConnections(
            servers, identity.region, identity.zone, rng, self._cluster, tuning, now
        )
        self._scheduler = FetchScheduler(
            self._connections,
            self.table,
            self.bucket,
            self.counts,
            tuning,
            tuning.relay_concurrent_fetches if subscription.all_scopes else tuning.concurrent_fetches,
            self._send_request,
            self._emit,
        )
        self._tracker = ApplyTracker()
        self._closed = False
        self._clock = MonotonicClock(now, tuning.suspend_threshold_ms)
        self._output = FollowerOutput()
        self._restore(cached_documents)
        self._due = self._next()

    def _restore(self, documents: Iterable[Document]) -> None:
        state = ApplyState.APPLIED if self._requires_apply else ApplyState.STORED
        for document in documents:
            if self.subscription.includes(document.header.scope) and self.table.put(document):
                self._tracker.restore(document, state)

    # ------------------------------------------------------------ state

    def applied_document(self, scope: str) -> Document | None:
        """Return the last good document of a scope, or None."""
        return self._tracker.applied_document(scope)

    def apply_statuses(self) -> list[ApplyStatus]:
        """Return the apply status of each document, from the widest scope to the narrowest."""
        return self._tracker.statuses()

    @property
    def connected_servers(self) -> list[str]:
        """The addresses of the connected servers, the nearest first."""
        return [connection.upstream.server.address for connection in self._ready_connections()]

    def _ready_connections(self) -> list[UpstreamConnection]:
        return [
            connection for connection in self._connections.open_connections() if connection.handshake_done
        ]

    # ------------------------------------------------------------ input

    def connected(self, connection_id: int, now: float) -> None:
        """Handle that a requested connection is open."""
        now = self._advance_clock(now)
        connection = self._connections.connections.get(connection_id)
        if connection is not None and not connection.open:
            self._connections.opened(connection, now)
            heartbeat_ms = self.tuning.heartbeat_ms
            connection.heartbeat_at = now + heartbeat_ms * (0.5 + 0.5 * self._rng.random())
            connection.resync.start(now)
            self._send_hello(connection, now)
        self._advance(now)

    def lost(self, connection_id: int, now: float) -> None:
        """Handle a connection that failed or was closed; no effect if this side disconnected it."""
        now = self._advance_clock(now)
        connection = self._connections.connections.get(connection_id)
        if connection is not None:
            why = "closed" if connection.open else "failed"
            self._remove(connection, now, why)
        self._advance(now)

    def received(self, connection_id: int, data: bytes, now: float) -> None:
        """Handle bytes received on a connection; a message may arrive in several parts."""
        now = self._advance_clock(now)
        connection = self._connections.connections.get(connection_id)
        if connection is not None and connection.open:
            self.counts["bytes_in"] += len(data)
            for message, size in connection.reader.feed(data):
                if connection_id not in self._connections.connections:
                    break
                self._handle(connection, message, now, size)
        self._advance(now)

    def apply_finished(self, header: DocumentHeader, rejection: str, now: float) -> None:
        """Handle the result of applying a document; a non-empty `rejection` is the reason, in one line."""
        now = self._advance_clock(now)
        scope = header.scope
        if not self._tracker.finish(header, rejection):
            return
        if rejection:
            self.counts["refused"] += 1
        values = {"scope": scope, "version": header.version, "refused": shorten_reason(rejection)}
        self._emit("standing", now, values)
        newest = self.table.get(scope)
        # A newer document may have been received meanwhile.
        if newest is not None and newest.header.rank > header.rank:
            self._begin_apply(newest)
        self._broadcast_status(scope, now)
        self._advance(now)

    def tick(self, now: float) -> None:
        """Send the heartbeats and requests that are due, and close unresponsive connections."""
        now = self._advance_clock(now)
        for connection in list(self._connections.connections.values()):
            if now >= self._connections.deadline(connection):
                self._disconnect(
                    connection, now, "unresponsive" if connection.handshake_done else "no handshake"
                )
            elif now >= connection.heartbeat_at:
                heartbeat_ms = self.tuning.heartbeat_ms
                connection.heartbeat_at = now + heartbeat_ms * (0.9 + 0.1 * self._rng.random())
                self._send(connection, Heartbeat(self.table.digest(self.subscription)), now)
        self._advance(now)

    def next_at(self) -> float:
        """Return when `tick` is due next, in ms."""
        return self._clock.to_external(self._next())

    def _next(self) -> float:
        if self._closed:
            return math.inf
        return min(self._connections.next_at(), self._scheduler.next_at())

    def take(self) -> FollowerOutput:
        """Return what the transport must do, as collected since the last call."""
        output = self._output
        self._output = FollowerOutput()
        return output

    def close(self, now: float, why: str = "in order") -> None:
        """Send Goodbye on all connections, close them, and open no more."""
        now = self._advance_clock(now)
        for connection in list(self._connections.connections.values()):
            if connection.open:
                self._send(connection, Goodbye(why), now)
            self._disconnect(connection, now, why)
        self._closed = True

    def _advance_clock(self, now: float) -> float:
        """Return the time to use.

        The time of a suspension of this process does not count towards the timeouts of servers.
        """
        suspended_ms = self._clock.advance(now, self._due)
        now = self._clock.now
        if suspended_ms:
            self._connections.shift(suspended_ms)
            self._scheduler.shift(suspended_ms)
            self.counts["slept"] += 1
            self._emit("slept", now, {"ms": round(suspended_ms, 1)})
        return now

    def _advance(self, now: float) -> None:
        """Open and close connections, and request bodies, as they are due."""
        if not self._closed:
            surplus = self._connections.surplus()
            if surplus is not None:
                why = "a nearer one is watched"
                self._send(surplus, Goodbye(why), now)
                self._disconnect(surplus, now, why, failed=False)
            for connection in self._connections.connect(now):
                self.counts["dials"] += 1
                request = ConnectRequest(connection.number, connection.upstream.server.address)
                self._output.connects.append(request)
            self._scheduler.tick(now)
            while self._scheduler.stalled_connections:
                stalled = self._scheduler.stalled_connections.pop()
                self._disconnect(stalled, now, "requested bytes were not received")
                self._scheduler.tick(now)
        self._due = self._next()

    # ------------------------------------------------------------ connections

    def _send(self, connection: UpstreamConnection, message: Message, now: float) -> None:
        frame = encode(message, self._cluster)
        self.counts["bytes_out"] += len(frame)
        # The scheduler has already spent the tokens of a fetch request.
        if not isinstance(message, FetchRequest):
            self.bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self._output.sends.append((connection.number, frame))

    def _send_request(self, connection: UpstreamConnection, request: FetchRequest) -> None:
        self._send(connection, request, self._clock.now)

    def _emit(self, kind: str, at: float, values: dict[str, object]) -> None:
        self._output.events.append(FeedEvent(kind, at, values))

    def _send_hello(self, connection: UpstreamConnection, now: float) -> None:
        identity = self.identity
        hello = Hello(
            identity.name,
            identity.role,
            identity.region,
            identity.zone,
            self.subscription.service,
            self.subscription.all_scopes,
            identity.instance_id,
            tuple(header.key for header in self.table.headers(self.subscription)),
        )
        self._send(connection, hello, now)

    def _disconnect(self, connection: UpstreamConnection, now: float, why: str, failed: bool = True) -> None:
        self._remove(connection, now, why, failed)
        self._output.disconnects.append(connection.number)

    def _remove(self, connection: UpstreamConnection, now: float, why: str, failed: bool = True) -> None:
        self._connections.remove(connection, now, failed)
        self._scheduler.connection_lost(connection, now)
        self.counts["lost" if connection.handshake_done else "unreached"] += 1
        self._emit("lost", now, {"server": connection.upstream.server.address, "why": why})

    def _handle(
        self, connection: UpstreamConnection, message: Message | FrameError, now: float, size: int
    ) -> None:
        """Handle a received message, or the error of an invalid frame.  size: of the frame in bytes."""
        if isinstance(message, FrameError):
            self._handle_frame_error(connection, message, now)
            return
        connection.last_received_at = now
        # The tokens of a chunk were spent when it was requested.
        if not isinstance(message, BodyChunk):
            self.bucket.spend(size + PACKET_OVERHEAD_BYTES, now)
        match message:
            case Hello():
                self._complete_handshake(connection, message, now)
            case DocumentHeaders(headers):
                for header in headers:
                    self._offer(connection, header, now)
            case BodyChunk():
                self._receive_chunk(connection, message, now)
            case BodyUnavailable():
                self._body_unavailable(connection, message, now)
            case Heartbeat(digest):
                self._compare_digest(connection, digest, now)
            case Goodbye(why):
                self._disconnect(connection, now, f"closed by the server: {why}")
            case _:
                self.counts["dropped_unexpected"] += 1

    def _handle_frame_error(self, connection: UpstreamConnection, error: FrameError, now: float) -> None:
        """Skip a damaged frame, as its content is sent again; close the connection after too many of them."""
        self.counts[f"dropped_{error.kind}"] += 1
        self._emit("dropped", now, {"what": error.kind, "server": connection.name, "why": str(error)})
        connection.damaged_frames += 1
        if error.fatal or connection.damaged_frames >= self.tuning.max_damaged_frames:
            self._disconnect(connection, now, str(error))

    def _complete_handshake(self, connection: UpstreamConnection, hello: Hello, now: float) -> None:
        identity = self.identity
        if hello.instance_id == identity.instance_id and hello.name == identity.name:
            # This is the process's own server: use the longest backoff.
            connection.upstream.failures = MAX_FAILURES_COUNTED
            self._disconnect(connection, now, "connected to this process itself")
            return
        if connection.handshake_done:
            return
        connection.handshake_done = True
        connection.name = hello.name
        self._emit("linked", now, {"server": hello.name, "address": connection.upstream.server.address})
        statuses = self._tracker.statuses()
        if statuses:
            self._send(connection, self._report(statuses), now)

    def _compare_digest(self, connection: UpstreamConnection, digest: int, now: float) -> None:
        """Send the version vector while the digests of both sides differ, with increasing intervals."""
        differs = digest != self.table.digest(self.subscription)
        if not connection.resync.compare(differs, now):
            return
        if any(scope in self._scheduler.pending for scope in connection.offered_headers):
            return
        connection.resync.sent(now)
        self.counts["vectors"] += 1
        self._send_hello(connection, now)

    # ------------------------------------------------------------ documents

    def _offer(self, connection: UpstreamConnection, header: DocumentHeader, now: float) -> None:
        if not self.subscription.includes(header.scope):
            self.counts["dropped_unwanted"] += 1
            return
        conflict = self.table.record_conflict(header)
        if conflict is not None:
            self.counts["conflicts"] += 1
            self._emit("conflict", now, conflict.log_fields())
        if self._scheduler.offer(connection, header, now):
            connection.resync.reset()

    def _receive_chunk(self, connection: UpstreamConnection, chunk: BodyChunk, now: float) -> None:
        document = self._scheduler.receive_chunk(connection, chunk, now)
        if document is not None:
            self._document_received(connection, document, now)

    def _body_unavailable(self, connection: UpstreamConnection, message: BodyUnavailable, now: float) -> None:
        busy = message.why == "busy"
        self.counts["absent_busy" if busy else "absent_gone"] += 1
        self._scheduler.body_unavailable(connection, message.key, busy, now)

    def _document_received(self, connection: UpstreamConnection, document: Document, now: float) -> None:
        header = document.header
        try:
            is_newer = self.table.put(document)
        except FeedError as error:
            self.counts["dropped_full"] += 1
            self._emit("dropped", now, {"what": "full", "scope": header.scope, "why": str(error)})
            self._scheduler.reject(header)
            return
        if not is_newer:
            self.counts["dropped_older"] += 1
            return
        values = {"scope": header.scope, "version": header.version, "server": connection.name}
        self._emit("whole", now, values)
        if not self._requires_apply:
            self._output.apply.append(document)
            self._tracker.set_stored(header)
            self._broadcast_status(header.scope, now)
        elif not self._tracker.is_applying(header.scope):
            self._begin_apply(document)

    def _begin_apply(self, document: Document) -> None:
        self._tracker.begin(document)
        self._output.apply.append(document)

    def _broadcast_status(self, scope: str, now: float) -> None:
        report = self._report([self._tracker.status(scope)])
        for connection in self._ready_connections():
            self._send(connection, report, now)

    def _report(self, statuses: list[ApplyStatus]) -> ApplyReport:
        identity = self.identity
        return ApplyReport(identity.name, identity.instance_id, self._tracker.changes, tuple(statuses))
