"""The serving side, of relays and publishers: heads to all that watch, bodies on demand, standings collected.

Without I/O.  Links are numbers of the carrier's choice, one for each connection that it accepted; they have
nothing to do with those of a follower.  What a hub sends is bounded twice: for each link by a part of its
follower's budget, and in all by its own; bodies are served to a few links at once, and others queue.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from dataclasses import dataclass, field

from crowpost.config_feed import messages
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import (
    PACKET_OVERHEAD_BYTES,
    Document,
    DocumentHeader,
    FeedEvent,
    Subscription,
    scopes_of,
)
from crowpost.config_feed.follower_status import FollowerStatusTable, hub_status
from crowpost.config_feed.frames import MAX_HEADERS_PER_FRAME, FrameError, FrameReader, cluster_tag, encode
from crowpost.config_feed.messages import (
    ApplyReport,
    BodyChunk,
    BodyUnavailable,
    DocumentHeaders,
    FetchRequest,
    Heartbeat,
    Hello,
    Message,
    PublishRejected,
    PublishRequest,
)
from crowpost.config_feed.monotonic_clock import MonotonicClock
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning

SLICES = 8  # a beat goes to an eighth of the links at a time
JOBS = 64  # fetches of one link that wait
LEAST_FRAME = 524_288  # a vector of all scopes fits


@dataclass
class Output:
    """What a call left to be done, in the order of the fields."""

    sends: list[tuple[int, bytes]] = field(default_factory=list)
    hangups: list[int] = field(default_factory=list)  # links to close once what was sent is out
    requests: list[tuple[int, PublishRequest]] = field(default_factory=list)  # answer each with `answer`
    events: list[FeedEvent] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class FollowerConnection:
    """A connection that was accepted; `hello` once it is a follower's."""

    number: int
    reader: FrameReader
    heard: float
    bucket: TokenBucket
    hello: Hello | None = None
    interest: Subscription = field(default_factory=Subscription)
    pending: dict[str, DocumentHeader] = field(
        default_factory=dict
    )  # to be told; a newer one replaces an older one
    jobs: deque[FetchRequest] = field(default_factory=deque)
    blocked_at: float = math.inf
    queued: bool = False  # it stands in a queue of the hub


class DistributionServer:
    """Serves a table of documents.  publishes: whether Publish is passed on, or refused with `instead`."""

    def __init__(
        self,
        cluster: str,
        name: str,
        *,
        role: str = "relay",
        region: str = "",
        zone: str = "",
        table: DocumentTable,
        publishes: bool = False,
        instead: str = "a relay takes no documents; publish to a publisher",
        instance_id: int = 0,
        now: float,
        tuning: Tuning | None = None,
    ) -> None:
        self.cluster, self.name, self.role, self.region, self.zone = cluster, name, role, region, zone
        self.table, self.tuning = table, tuning or Tuning()
        # bytes_in, bytes_out, bodies_out, followers, busy, dropped_KIND ...
        self.counts: Counter[str] = Counter()
        self._publishes, self._instead, self._birth = publishes, instead, instance_id
        self._tag = cluster_tag(cluster)
        self._connections: dict[int, FollowerConnection] = {}
        self._by_scope: dict[str, dict[int, FollowerConnection]] = {}
        self._everything: dict[int, FollowerConnection] = {}
        self._waiting: deque[FollowerConnection] = deque()  # with jobs; in the order they came
        self._parked: dict[int, FollowerConnection] = {}  # something to send, and no tokens or a full socket
        self._parked_at = math.inf
        self._bucket = TokenBucket(self.tuning.server_bytes_per_s, self.tuning.server_burst_bytes, now)
        self.wall = FollowerStatusTable(2 * self.tuning.max_connections)
        self._slice_ms = self.tuning.heartbeat_ms / SLICES
        self._slice, self._slice_at = 0, now + self._slice_ms
        self._clock = MonotonicClock(now, self.tuning.suspend_threshold_ms)
        self._closed = False
        self._out = Output()

    # ------------------------------------------------------------ in and out

    @property
    def followers(self) -> int:
        """Links that watch."""
        return sum(connection.hello is not None for connection in self._connections.values())

    def accepted(self, connection_id: int, now: float) -> None:
        """A connection came in."""
        now = self._enter(now)
        if self._closed or len(self._connections) >= self.tuning.max_connections:
            self.counts["turned_away"] += 1
            self._out.sends.append(
                (connection_id, encode(messages.Goodbye("closing" if self._closed else "full"), self._tag))
            )
            self._out.hangups.append(connection_id)
            return
        tuning = self.tuning
        reader = FrameReader(self._tag, max(tuning.max_document_bytes + 65_536, LEAST_FRAME))
        bucket = TokenBucket(tuning.connection_bytes_per_s, tuning.connection_burst_bytes, now)
        self._connections[connection_id] = FollowerConnection(connection_id, reader, now, bucket)

    def lost(self, connection_id: int, now: float) -> None:
        """A connection is gone."""
        self._lost(connection_id, self._enter(now))

    def _lost(self, connection_id: int, now: float) -> None:
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return
        self._unindex(connection)
        self._parked.pop(connection_id, None)
        connection.jobs.clear()
        connection.pending.clear()
        if connection.hello is not None:
            self.wall.unlinked(connection.hello.name, connection_id)
            self._tell("lost", now, {"follower": connection.hello.name})

    def blocked(self, connection_id: int, blocked: bool, now: float) -> None:
        """The link's socket takes no more for now (its buffer is over the limit), or does again."""
        now = self._enter(now)
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.blocked_at = min(connection.blocked_at, now) if blocked else math.inf
            if not blocked:
                self._wake(connection)
                self._pump(now)

    def received(self, connection_id: int, data: bytes, now: float) -> None:
        """Bytes came in on a link, in any portions."""
        now = self._enter(now)
        connection = self._connections.get(connection_id)
        if connection is not None:
            self.counts["bytes_in"] += len(data)
            for message, size in connection.reader.feed(data):
                if connection_id not in self._connections:
                    break
                self._handle(connection, message, now, size)
            self._pump(now)

    def handle(self, connection_id: int, message: Message | FrameError, now: float, size: int = 0) -> None:
        """One message, or why there is none; `received` does the same.  size: bytes of its frame."""
        now = self._enter(now)
        connection = self._connections.get(connection_id)
        if connection is not None:
            self._handle(connection, message, now, size)
            self._pump(now)

    def answer(self, connection_id: int, message: Message, now: float) -> None:
        """Answer a request: Published or Refused.  A link that is gone by now is no error."""
        if connection_id in self._connections:
            self._send(self._connections[connection_id], message, self._enter(now))

    def announce(self, document: Document, now: float) -> bool:
        """Hold a document and tell all that watch its scope; False where the table holds a newer one.

        A document that a Follower with the same table brought in is told all the same.
        FeedError where it cannot be held.
        """
        now = self._enter(now)
        header = document.header
        held = self.table.get(header.scope)
        if (held is None or held.header != header) and not self.table.put(document):
            return False
        frame = encode(DocumentHeaders((header,)), self._tag)
        for group in (self._by_scope.get(header.scope, {}), self._everything):
            for connection in group.values():
                if not connection.pending and self._may_send(connection, now):
                    self._send_frame(connection, frame, now)
                else:
                    connection.pending[header.scope] = header
                    self._park(connection, now)
        return True

    def tick(self, now: float) -> None:
        """Do what is due."""
        now = self._enter(now)
        if now >= self._slice_at:
            self._beat(now)
        if now >= self._parked_at:
            for connection in list(self._parked.values()):
                self._wake(connection)
        self._pump(now)

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        return self._clock.given(self._next())

    def _next(self) -> float:
        return math.inf if self._closed else min(self._slice_at, self._parked_at)

    def status(self, now: float) -> dict[str, object]:
        """What is held, who watches, how they stand and which conflicts were seen; see `status.merge`."""
        return self._status(self._enter(now))

    def _status(self, now: float) -> dict[str, object]:
        who = self.name, self.role, self.region, self.zone
        return hub_status(who, self.table, self.wall, self.counts, now)

    def close(self, now: float, why: str = "in order") -> None:
        """Say good-bye on all links."""
        now = self._enter(now)
        for connection in list(self._connections.values()):
            self._send(connection, messages.Goodbye(why), now)
            self._hang_up(connection, now, why)
        self._closed = True

    def take(self) -> Output:
        """All that is to be done since the last call."""
        out, self._out = self._out, Output()
        return out

    def _enter(self, now: float) -> float:
        """The time to go by.  After standing still no follower is to blame."""
        still = self._clock.enter(now, self._next())
        if still:
            for connection in self._connections.values():
                connection.heard += still
            self.counts["slept"] += 1
        return self._clock.now

    def _tell(self, kind: str, at: float, values: dict[str, object]) -> None:
        self._out.events.append(FeedEvent(kind, at, values))

    # ------------------------------------------------------------ messages

    def _handle(
        self, connection: FollowerConnection, message: Message | FrameError, now: float, size: int
    ) -> None:
        if isinstance(message, FrameError):
            # A follower that comes back tells all again; what a damaged frame told would be missed.
            self.counts[f"dropped_{message.kind}"] += 1
            self._tell("dropped", now, {"what": message.kind, "why": str(message)})
            self._hang_up(connection, now, str(message))
            return
        connection.heard = now
        match message:
            case Hello():
                self._greet(connection, message, now)
            case Heartbeat() if connection.hello is not None:
                self.wall.heard(connection.hello.name, now)
            case FetchRequest() if connection.hello is not None:
                if len(connection.jobs) >= JOBS or len(self._waiting) >= self.tuning.max_queued_fetches:
                    self.counts["busy"] += 1
                    self._send(connection, BodyUnavailable(message.key, "busy"), now)
                else:
                    connection.jobs.append(message)
                    self._wake(connection)
            case ApplyReport(name) if connection.hello is not None and name == connection.hello.name:
                self.wall.report(message, now)
            case messages.StatusRequest(number):
                self._send(connection, messages.StatusResponse(number, self._status(now)), now)
            case PublishRequest(number):
                if self._publishes:
                    self._out.requests.append((connection.number, message))
                else:
                    self._send(connection, PublishRejected(number, self._instead), now)
            case messages.Goodbye(why):
                self._hang_up(connection, now, why)
            case _:
                self.counts["dropped_unexpected"] += 1
                self._hang_up(connection, now, "a message out of place")

    def _greet(self, connection: FollowerConnection, hello: Hello, now: float) -> None:
        tuning = self.tuning
        if connection.hello is None:
            node = hello.name if hello.role == "node" else ""
            connection.hello = hello
            connection.interest = Subscription(hello.region, hello.service, node, hello.all_scopes)
            if hello.all_scopes:
                connection.bucket = TokenBucket(tuning.relay_bytes_per_s, tuning.relay_burst_bytes, now)
                self._everything[connection.number] = connection
            else:
                for scope in scopes_of(hello.region, hello.service, node):
                    self._by_scope.setdefault(scope, {})[connection.number] = connection
            self.counts["followers"] += 1
            self.wall.linked(hello, connection.number, now)
            self._send(
                connection, Hello(self.name, self.role, self.region, self.zone, instance_id=self._birth), now
            )
            self._tell("linked", now, {"follower": hello.name, "role": hello.role})
        connection.pending = {
            header.scope: header for header in self.table.newer(connection.interest, hello.version_vector)
        }
        self._wake(connection)

    def _unindex(self, connection: FollowerConnection) -> None:
        self._everything.pop(connection.number, None)
        interest = connection.interest
        for scope in scopes_of(interest.region, interest.service, interest.node):
            group = self._by_scope.get(scope)
            if group is not None:
                group.pop(connection.number, None)
                if not group:
                    del self._by_scope[scope]

    def _hang_up(self, connection: FollowerConnection, now: float, why: str) -> None:
        self._out.hangups.append(connection.number)
        self._lost(connection.number, now)

    # ------------------------------------------------------------ sending

    def _send(self, connection: FollowerConnection, message: Message, now: float) -> None:
        self._send_frame(connection, encode(message, self._tag), now)

    def _send_frame(self, connection: FollowerConnection, frame: bytes, now: float) -> None:
        connection.bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self._bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self.counts["bytes_out"] += len(frame)
        self._out.sends.append((connection.number, frame))

    def _may_send(self, connection: FollowerConnection, now: float) -> bool:
        if not math.isinf(connection.blocked_at):
            return False
        return self._bucket.refill(now) > 0.0 and connection.bucket.refill(now) > 0.0

    def _wake(self, connection: FollowerConnection) -> None:
        """Something is to be sent on this link: it takes its place in the queue."""
        self._parked.pop(connection.number, None)
        if not connection.queued and (connection.jobs or connection.pending):
            connection.queued = True
            self._waiting.append(connection)

    def _park(self, connection: FollowerConnection, now: float) -> None:
        """It cannot be sent now."""
        if not connection.queued:
            self._parked[connection.number] = connection
            if math.isinf(connection.blocked_at):
                self._parked_at = min(self._parked_at, self._ready_at(connection, now))

    def _ready_at(self, connection: FollowerConnection, now: float) -> float:
        return max(self._bucket.when(1.0, now), connection.bucket.when(1.0, now), now + 1.0)

    def _pump(self, now: float) -> None:
        """Serve the queue: a few links in turn, a piece each, as long as the tokens last."""
        serving: deque[FollowerConnection] = deque()
        while serving or self._waiting:
            while self._waiting and len(serving) < self.tuning.concurrent_bodies:
                serving.append(self._waiting.popleft())
            connection = serving.popleft()
            if connection.number not in self._connections:
                continue
            if not self._may_send(connection, now):
                connection.queued = False
                self._park(connection, now)
                continue
            self._serve(connection, now)
            if connection.jobs or connection.pending:
                serving.append(connection)
            else:
                connection.queued = False
        self._parked_at = math.inf
        for connection in self._parked.values():
            if math.isinf(connection.blocked_at):
                self._parked_at = min(self._parked_at, self._ready_at(connection, now))

    def _serve(self, connection: FollowerConnection, now: float) -> None:
        """One frame: heads go before bodies."""
        if connection.pending:
            scopes = list(connection.pending)[:MAX_HEADERS_PER_FRAME]
            self._send(
                connection, DocumentHeaders(tuple(connection.pending.pop(scope) for scope in scopes)), now
            )
            return
        job = connection.jobs.popleft()
        held = self.table.get(job.key.scope)
        if held is None or held.header.key != job.key or job.offset > held.header.size:
            self.counts["gone"] += 1
            self._send(connection, BodyUnavailable(job.key, "gone"), now)
            return
        length = min(job.length, held.header.size - job.offset)
        piece = held.body[job.offset : job.offset + min(length, self.tuning.chunk_bytes)]
        self._send(connection, BodyChunk(job.key, job.offset, piece), now)
        if len(piece) < length:
            connection.jobs.appendleft(FetchRequest(job.key, job.offset + len(piece), length - len(piece)))
        else:
            self.counts["bodies_out"] += 1

    def _beat(self, now: float) -> None:
        """A beat to a part of the links; those that say or take nothing any more are dropped."""
        self._slice = (self._slice + 1) % SLICES
        self._slice_at = max(self._slice_at + self._slice_ms, now + 0.5 * self._slice_ms)
        tuning = self.tuning
        for connection in [w for w in self._connections.values() if w.number % SLICES == self._slice]:
            if now - connection.heard > tuning.follower_timeout_ms:
                self._hang_up(connection, now, "silent")
            elif now - connection.blocked_at > tuning.follower_timeout_ms:
                self._hang_up(connection, now, "takes nothing")
            elif connection.hello is not None and math.isinf(connection.blocked_at):
                self._send(connection, Heartbeat(self.table.digest(connection.interest)), now)
