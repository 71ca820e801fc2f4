"""The distribution server of relays and publishers.  It does no I/O.

A distribution server sends document headers to all followers that subscribe to them, sends bodies on request,
and collects apply reports.  The transport identifies each accepted connection by a number, which is unrelated
to the connection numbers of a Follower.  Two token buckets limit the bytes sent: one for each connection,
which is a part of its follower's byte budget, and one for the whole server.  Bodies are sent to a few
connections at once; further connections wait in a queue.
"""

from __future__ import annotations

import math
from collections import Counter

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document
from crowpost.config_feed.errors import FrameError
from crowpost.config_feed.follower_connections import FollowerConnection, SubscriptionIndex
from crowpost.config_feed.follower_status import FollowerStatusTable, server_status
from crowpost.config_feed.frames import (
    MAX_HEADERS_PER_FRAME,
    PACKET_OVERHEAD_BYTES,
    FrameReader,
    cluster_tag,
    encode,
)
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
    PublishRejected,
    PublishRequest,
    StatusRequest,
    StatusResponse,
)
from crowpost.config_feed.monotonic_clock import MonotonicClock
from crowpost.config_feed.outputs import FeedEvent, ServerOutput
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.send_scheduler import SendScheduler
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning

HEARTBEAT_GROUPS = 8  # each round of heartbeats goes to an eighth of the connections
MAX_QUEUED_FETCHES = 64  # limit for each connection
MIN_FRAME_LIMIT_BYTES = 524_288  # large enough for a version vector of all scopes
PUBLISH_OVERHEAD_BYTES = 65_536  # allowance for the fields of a publish request other than its body
RELAY_REJECTION = "a relay takes no documents; publish to a publisher"


class DistributionServer:
    """Serves the documents of a table to followers.

    accepts_publishes: whether publish requests are returned in `ServerOutput.requests` or rejected.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        table: DocumentTable,
        *,
        accepts_publishes: bool = False,
        now: float,
        tuning: Tuning | None = None,
    ) -> None:
        self.identity = identity
        self.table = table
        self.tuning = tuning or Tuning()
        self.counts: Counter[str] = Counter()
        """Counters by name: bytes_in, bytes_out, bodies_out, followers, busy, dropped_KIND ..."""
        self.follower_table = FollowerStatusTable(2 * self.tuning.max_connections)
        self._accepts_publishes = accepts_publishes
        self._cluster = cluster_tag(identity.cluster)
        self._connections: dict[int, FollowerConnection] = {}
        self._index = SubscriptionIndex()
        self._bucket = TokenBucket(self.tuning.server_bytes_per_s, self.tuning.server_burst_bytes, now)
        self._scheduler = SendScheduler(self._bucket, self.tuning.concurrent_bodies, self._serve)
        self._heartbeat_interval_ms = self.tuning.heartbeat_ms / HEARTBEAT_GROUPS
        self._heartbeat_group = 0
        self._heartbeat_at = now + self._heartbeat_interval_ms
        self._clock = MonotonicClock(now, self.tuning.suspend_threshold_ms)
        self._closed = False
        self._output = ServerOutput()

    # ------------------------------------------------------------ input

    @property
    def followers(self) -> int:
        """The number of connections on which a follower has sent its Hello."""
        return sum(connection.hello is not None for connection in self._connections.values())

    def accepted(self, connection_id: int, now: float) -> None:
        """Handle an accepted connection; reject it if the server is closed or full."""
        now = self._advance_clock(now)
        if self._closed or len(self._connections) >= self.tuning.max_connections:
            self.counts["turned_away"] += 1
            goodbye = Goodbye("closing" if self._closed else "full")
            self._output.sends.append((connection_id, encode(goodbye, self._cluster)))
            self._output.disconnects.append(connection_id)
            return
        tuning = self.tuning
        max_frame_bytes = max(tuning.max_document_bytes + PUBLISH_OVERHEAD_BYTES, MIN_FRAME_LIMIT_BYTES)
        reader = FrameReader(self._cluster, max_frame_bytes)
        bucket = TokenBucket(tuning.connection_bytes_per_s, tuning.connection_burst_bytes, now)
        self._connections[connection_id] = FollowerConnection(connection_id, reader, now, bucket)

    def lost(self, connection_id: int, now: float) -> None:
        """Handle the loss of a connection."""
        self._remove(connection_id, self._advance_clock(now))

    def _remove(self, connection_id: int, now: float) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return
        connection.is_closed = True
        self._index.remove(connection)
        self._scheduler.remove(connection)
        connection.fetch_queue.clear()
        connection.pending_headers.clear()
        if connection.hello is not None:
            self.follower_table.disconnected(connection.hello.name, connection_id)
            self._emit("lost", now, {"follower": connection.hello.name})

    def blocked(self, connection_id: int, blocked: bool, now: float) -> None:
        """Handle that the write buffer of a connection is full (`blocked`), or has space again."""
        now = self._advance_clock(now)
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        if blocked:
            connection.blocked_at = min(connection.blocked_at, now)
            return
        connection.blocked_at = math.inf
        self._scheduler.enqueue(connection)
        self._scheduler.run(now)

    def received(self, connection_id: int, data: bytes, now: float) -> None:
        """Handle bytes received on a connection; a message may arrive in several parts."""
        now = self._advance_clock(now)
        connection = self._connections.get(connection_id)
        if connection is None:
            return
        self.counts["bytes_in"] += len(data)
        for message, _ in connection.reader.feed(data):
            if connection_id not in self._connections:
                break
            self._handle(connection, message, now)
        self._scheduler.run(now)

    def answer(self, connection_id: int, message: Message, now: float) -> None:
        """Answer a publish request; no effect if the connection has been closed meanwhile."""
        if connection_id in self._connections:
            self._send(self._connections[connection_id], message, self._advance_clock(now))

    def announce(self, document: Document, now: float) -> bool:
        """Store a document and send its header to all followers that subscribe to its scope.

        Return False where the table has a newer one.  A document that is already in the table, because the
        Follower that shares the table fetched it, is announced as well.  Raise FeedError where the document
        cannot be stored.
        """
        now = self._advance_clock(now)
        header = document.header
        stored = self.table.get(header.scope)
        if (stored is None or stored.header != header) and not self.table.put(document):
            return False
        frame = encode(DocumentHeaders((header,)), self._cluster)
        for connection in self._index.subscribers(header.scope):
            if not connection.pending_headers and self._scheduler.may_send(connection, now):
                self._send_frame(connection, frame, now)
            else:
                connection.pending_headers[header.scope] = header
                self._scheduler.defer(connection, now)
        return True

    def tick(self, now: float) -> None:
        """Send the heartbeats and queued data that are due."""
        now = self._advance_clock(now)
        if now >= self._heartbeat_at:
            self._send_heartbeats(now)
        self._scheduler.resume_deferred(now)
        self._scheduler.run(now)

    def next_at(self) -> float:
        """Return when `tick` is due next, in ms."""
        return self._clock.to_external(self._next())

    def _next(self) -> float:
        return math.inf if self._closed else min(self._heartbeat_at, self._scheduler.next_at())

    def status(self, now: float) -> dict[str, object]:
        """Return documents, followers, apply statuses and conflicts, as `status_merge` reads them."""
        return self._status(self._advance_clock(now))

    def _status(self, now: float) -> dict[str, object]:
        return server_status(self.identity, self.table, self.follower_table, self.counts, now)

    def close(self, now: float, why: str = "in order") -> None:
        """Send Goodbye on all connections, close them, and accept no more."""
        now = self._advance_clock(now)
        for connection in list(self._connections.values()):
            self._send(connection, Goodbye(why), now)
            self._disconnect(connection, now)
        self._closed = True

    def take(self) -> ServerOutput:
        """Return what the transport must do, as collected since the last call."""
        output = self._output
        self._output = ServerOutput()
        return output

    def _advance_clock(self, now: float) -> float:
        """Return the time to use.

        The time of a suspension of this process does not count towards the timeouts of followers.
        """
        suspended_ms = self._clock.advance(now, self._next())
        if suspended_ms:
            for connection in self._connections.values():
                connection.last_received_at += suspended_ms
            self.counts["slept"] += 1
        return self._clock.now

    def _emit(self, kind: str, at: float, values: dict[str, object]) -> None:
        self._output.events.append(FeedEvent(kind, at, values))

    # ------------------------------------------------------------ messages

    def _handle(self, connection: FollowerConnection, message: Message | FrameError, now: float) -> None:
        """Handle a received message, or the error of an invalid frame."""
        if isinstance(message, FrameError):
            # The content of a damaged frame is lost; a follower sends its whole state again on reconnecting.
            self.counts[f"dropped_{message.kind}"] += 1
            self._emit("dropped", now, {"what": message.kind, "why": str(message)})
            self._disconnect(connection, now)
            return
        connection.last_received_at = now
        match message:
            case Hello():
                self._handle_hello(connection, message, now)
            case StatusRequest(number):
                self._send(connection, StatusResponse(number, self._status(now)), now)
            case PublishRequest():
                self._handle_publish(connection, message, now)
            case Goodbye():
                self._disconnect(connection, now)
            case Heartbeat() | FetchRequest() | ApplyReport() if connection.hello is not None:
                self._handle_follower_message(connection, connection.hello, message, now)
            case _:
                self._reject(connection, now)

    def _handle_follower_message(
        self,
        connection: FollowerConnection,
        hello: Hello,
        message: Heartbeat | FetchRequest | ApplyReport,
        now: float,
    ) -> None:
        match message:
            case Heartbeat():
                self.follower_table.received(hello.name, now)
            case FetchRequest():
                self._queue_fetch(connection, message, now)
            case ApplyReport(name) if name == hello.name:
                self.follower_table.report(message, now)
            case _:
                self._reject(connection, now)

    def _reject(self, connection: FollowerConnection, now: float) -> None:
        """Close a connection after a message that is not valid at this point of the protocol."""
        self.counts["dropped_unexpected"] += 1
        self._disconnect(connection, now)

    def _handle_publish(self, connection: FollowerConnection, request: PublishRequest, now: float) -> None:
        if self._accepts_publishes:
            self._output.requests.append((connection.number, request))
        else:
            self._send(connection, PublishRejected(request.number, RELAY_REJECTION), now)

    def _queue_fetch(self, connection: FollowerConnection, request: FetchRequest, now: float) -> None:
        server_is_busy = self._scheduler.queue_length >= self.tuning.max_queued_fetches
        if server_is_busy or len(connection.fetch_queue) >= MAX_QUEUED_FETCHES:
            self.counts["busy"] += 1
            self._send(connection, BodyUnavailable(request.key, "busy"), now)
            return
        connection.fetch_queue.append(request)
        self._scheduler.enqueue(connection)

    def _handle_hello(self, connection: FollowerConnection, hello: Hello, now: float) -> None:
        if connection.hello is None:
            self._add_follower(connection, hello, now)
        newer = self.table.newer(connection.subscription, hello.version_vector)
        connection.pending_headers = {header.scope: header for header in newer}
        self._scheduler.enqueue(connection)

    def _add_follower(self, connection: FollowerConnection, hello: Hello, now: float) -> None:
        node = hello.name if hello.role == NODE_ROLE else ""
        connection.hello = hello
        connection.subscription = Subscription(hello.region, hello.service, node, hello.all_scopes)
        if hello.all_scopes:
            tuning = self.tuning
            connection.bucket = TokenBucket(tuning.relay_bytes_per_s, tuning.relay_burst_bytes, now)
        self._index.add(connection)
        self.counts["followers"] += 1
        self.follower_table.connected(hello, connection.number, now)
        own = self.identity
        answer = Hello(own.name, own.role, own.region, own.zone, instance_id=own.instance_id)
        self._send(connection, answer, now)
        self._emit("linked", now, {"follower": hello.name, "role": hello.role})

    def _disconnect(self, connection: FollowerConnection, now: float) -> None:
        self._output.disconnects.append(connection.number)
        self._remove(connection.number, now)

    # ------------------------------------------------------------ sending

    def _send(self, connection: FollowerConnection, message: Message, now: float) -> None:
        self._send_frame(connection, encode(message, self._cluster), now)

    def _send_frame(self, connection: FollowerConnection, frame: bytes, now: float) -> None:
        connection.bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self._bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self.counts["bytes_out"] += len(frame)
        self._output.sends.append((connection.number, frame))

    def _serve(self, connection: FollowerConnection, now: float) -> None:
        """Send one frame of pending data: headers before bodies."""
        if connection.pending_headers:
            scopes = list(connection.pending_headers)[:MAX_HEADERS_PER_FRAME]
            headers = tuple(connection.pending_headers.pop(scope) for scope in scopes)
            self._send(connection, DocumentHeaders(headers), now)
            return
        request = connection.fetch_queue.popleft()
        stored = self.table.get(request.key.scope)
        if stored is None or stored.header.key != request.key or request.offset > stored.header.size:
            self.counts["gone"] += 1
            self._send(connection, BodyUnavailable(request.key, "gone"), now)
            return
        length = min(request.length, stored.header.size - request.offset)
        chunk = stored.body[request.offset : request.offset + min(length, self.tuning.chunk_bytes)]
        self._send(connection, BodyChunk(request.key, request.offset, chunk), now)
        if len(chunk) < length:
            rest = FetchRequest(request.key, request.offset + len(chunk), length - len(chunk))
            connection.fetch_queue.appendleft(rest)
        else:
            self.counts["bodies_out"] += 1

    def _send_heartbeats(self, now: float) -> None:
        """Send heartbeats to one group of connections, and close those that are unresponsive or blocked."""
        self._heartbeat_group = (self._heartbeat_group + 1) % HEARTBEAT_GROUPS
        interval_ms = self._heartbeat_interval_ms
        self._heartbeat_at = max(self._heartbeat_at + interval_ms, now + 0.5 * interval_ms)
        timeout_ms = self.tuning.follower_timeout_ms
        group = [
            connection
            for connection in self._connections.values()
            if connection.number % HEARTBEAT_GROUPS == self._heartbeat_group
        ]
        for connection in group:
            is_unresponsive = now - connection.last_received_at > timeout_ms
            if is_unresponsive or now - connection.blocked_at > timeout_ms:
                self._disconnect(connection, now)
            elif connection.hello is not None and not connection.is_blocked:
                self._send(connection, Heartbeat(self.table.digest(connection.subscription)), now)
