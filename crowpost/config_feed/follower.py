"""The watching side: a node, a relay upstream, a publisher that follows the other's scopes.  Without I/O.

Feed it bytes and times that never go back; `take` what follows.  Links are numbers that it gives out itself
with each Dial; the carrier connects, says `connected` or `lost`, and passes on what comes as it comes.

Heads come from all servers that are watched, bodies from one (`fetching`).  Each beat carries a digest of the
versions held, and where digests go on differing the vector is sent again: so no loss lasts.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import (
    PACKET_OVERHEAD_BYTES,
    ApplyState,
    ApplyStatus,
    Conflict,
    ConnectRequest,
    Document,
    DocumentHeader,
    FeedError,
    FeedEvent,
    Subscription,
    UpstreamServer,
    order,
    shorten,
)
from crowpost.config_feed.fetch_scheduler import FetchScheduler
from crowpost.config_feed.frames import FrameError, cluster_tag, encode
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
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_connections import UpstreamConnection, UpstreamConnections


@dataclass
class Output:
    """What a call left to be done, in the order of the fields."""

    dials: list[ConnectRequest] = field(default_factory=list)
    sends: list[tuple[int, bytes]] = field(default_factory=list)  # link and frame
    hangups: list[int] = field(default_factory=list)  # links to close once what was sent is out
    apply: list[Document] = field(default_factory=list)  # whole; to be answered by `applied`
    events: list[FeedEvent] = field(default_factory=list)


class Follower:
    """Watches a few servers at once and brings each wanted document in whole, once, from the nearest.

    interest: which documents.  judged: whether each document handed out in `Output.apply` is answered with
    `applied` (a node); a relay or publisher says False: what is whole is held, and its hub announces it.
    kept: last good documents from disk, in force from the start.  birth: random, new for each process.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        servers: Iterable[UpstreamServer],
        interest: Subscription,
        *,
        role: str = "node",
        region: str = "",
        zone: str = "",
        judged: bool = True,
        rng: Random,
        instance_id: int,
        now: float,
        tuning: Tuning | None = None,
        table: DocumentTable | None = None,
        kept: Iterable[Document] = (),
    ) -> None:
        self.cluster, self.name, self.interest = cluster, name, interest
        self.tuning = tuning = tuning or Tuning()
        self.table = DocumentTable(tuning) if table is None else table
        # bytes_in, bytes_out, bodies, fetches, taken_over, coalesced, known, dropped_KIND, dials, lost ...
        self.counts: Counter[str] = Counter()
        self._role, self._region, self._zone, self._birth = role, region, zone, instance_id
        self._judged, self._rng, self._tag = judged, rng, cluster_tag(cluster)
        rate, saved = tuning.bytes_per_s, tuning.burst_bytes
        if interest.all_scopes:
            rate, saved = tuning.relay_bytes_per_s, tuning.relay_burst_bytes
        self.bucket = TokenBucket(rate, saved, now)
        self._upstreams = UpstreamConnections(servers, region, zone, rng, self._tag, tuning, now)
        at_once = tuning.relay_concurrent_fetches if interest.all_scopes else tuning.concurrent_fetches
        self._fetches = FetchScheduler(
            self._upstreams, self.table, self.bucket, self.counts, tuning, at_once, self._ask, self._tell
        )
        self._standings: dict[str, ApplyStatus] = {}
        self._in_force: dict[str, Document] = {}
        self._judging: dict[str, Document] = {}  # handed out and not answered yet
        self._counter = 0
        self._closed = False
        self._clock, self._due = MonotonicClock(now, tuning.suspend_threshold_ms), now
        self._out = Output()
        for document in kept:
            if interest.includes(document.header.scope) and self.table.put(document):
                self._in_force[document.header.scope] = document
                self._stand(document.header, ApplyState.IN_FORCE if judged else ApplyState.HELD, "")
        self._due = self._next()

    # ------------------------------------------------------------ how it stands

    def in_force(self, scope: str) -> Document | None:
        """The last good document of a scope."""
        return self._in_force.get(scope)

    def apply_statuses(self) -> list[ApplyStatus]:
        """How this process stands to each document, from the widest scope."""
        return [self._standings[scope] for scope in order(self._standings)]

    def conflicts(self) -> list[Conflict]:
        """Two answers to one version that it has seen, and the rule that chose."""
        return list(self.table.conflicts)

    @property
    def watched(self) -> list[str]:
        """Addresses of the servers whose watch is up, the nearest first."""
        return [
            connection.place.server.address
            for connection in self._upstreams.open_links()
            if connection.greeted
        ]

    # ------------------------------------------------------------ in and out

    def connected(self, connection: int, now: float) -> None:
        """A dialled link is up."""
        now = self._enter(now)
        found = self._upstreams.connections.get(connection)
        if found is not None and not found.open:
            self._upstreams.opened(found, now)
            found.beat_at = now + self.tuning.heartbeat_ms * (0.5 + 0.5 * self._rng.random())
            found.vector_at, found.vector_wait = now + self.tuning.resync_ms, self.tuning.resync_ms
            self._hello(found, now)
        self._after(now)

    def lost(self, connection: int, now: float) -> None:
        """A link failed to come up, or is gone; also after a hang-up of one's own (then it says nothing)."""
        now = self._enter(now)
        found = self._upstreams.connections.get(connection)
        if found is not None:
            self._drop(found, now, "failed" if not found.open else "closed", hang_up=False)
        self._after(now)

    def received(self, connection: int, data: bytes, now: float) -> None:
        """Bytes came in on a link, in any portions."""
        now = self._enter(now)
        found = self._upstreams.connections.get(connection)
        if found is not None and found.open:
            self.counts["bytes_in"] += len(data)
            for message, size in found.reader.feed(data):
                if connection not in self._upstreams.connections:
                    break
                self._handle(found, message, now, size)
        self._after(now)

    def handle(self, connection: int, message: Message | FrameError, now: float, size: int = 0) -> None:
        """One message, or why there is none; `received` does the same.  size: bytes of its frame."""
        now = self._enter(now)
        found = self._upstreams.connections.get(connection)
        if found is not None and found.open:
            self._handle(found, message, now, size)
        self._after(now)

    def tick(self, now: float) -> None:
        """Do what is due."""
        now = self._enter(now)
        for connection in list(self._upstreams.connections.values()):
            if now >= self._upstreams.deadline(connection):
                self._drop(connection, now, "silent" if connection.greeted else "no answer")
            elif now >= connection.beat_at:
                connection.beat_at = now + self.tuning.heartbeat_ms * (0.9 + 0.1 * self._rng.random())
                self._send(connection, Heartbeat(self.table.digest(self.interest)), now)
        self._after(now)

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        return self._clock.given(self._next())

    def _next(self) -> float:
        return math.inf if self._closed else min(self._upstreams.next_at(), self._fetches.next_at())

    def take(self) -> Output:
        """All that is to be done since the last call."""
        out, self._out = self._out, Output()
        return out

    def close(self, now: float, why: str = "in order") -> None:
        """Say good-bye on all links and dial no more."""
        now = self._enter(now)
        for connection in list(self._upstreams.connections.values()):
            if connection.open:
                self._send(connection, Goodbye(why), now)
            self._drop(connection, now, why)
        self._closed = True

    def _enter(self, now: float) -> float:
        """The time to go by.  After standing still nobody else is to blame."""
        still = self._clock.enter(now, self._due)
        now = self._clock.now
        if still:
            self._upstreams.shift(still)
            self._fetches.shift(still)
            self.counts["slept"] += 1
            self._tell("slept", now, {"ms": round(still, 1)})
        return now

    def _after(self, now: float) -> None:
        if not self._closed:
            surplus = self._upstreams.surplus()
            if surplus is not None:
                self._send(surplus, Goodbye("a nearer one is watched"), now)
                self._drop(surplus, now, "a nearer one is watched", failed=False)
            for connection in self._upstreams.dial(now):
                self.counts["dials"] += 1
                self._out.dials.append(ConnectRequest(connection.number, connection.place.server.address))
            self._fetches.tick(now)
            while self._fetches.hopeless:
                self._drop(self._fetches.hopeless.pop(), now, "it holds back what was asked")
                self._fetches.tick(now)
        self._due = self._next()

    # ------------------------------------------------------------ links

    def _send(self, connection: UpstreamConnection, message: Message, now: float) -> None:
        frame = encode(message, self._tag)
        self.counts["bytes_out"] += len(frame)
        if not isinstance(message, FetchRequest):  # paid when it was decided upon
            self.bucket.spend(len(frame) + PACKET_OVERHEAD_BYTES, now)
        self._out.sends.append((connection.number, frame))

    def _ask(self, connection: UpstreamConnection, fetch: FetchRequest) -> None:
        self._send(connection, fetch, self._clock.now)

    def _tell(self, kind: str, at: float, values: dict[str, object]) -> None:
        self._out.events.append(FeedEvent(kind, at, values))

    def _hello(self, connection: UpstreamConnection, now: float) -> None:
        interest = self.interest
        version_vector = tuple(header.key for header in self.table.headers(interest))
        who = self.name, self._role, self._region, self._zone, interest.service, interest.all_scopes
        hello = Hello(*who, instance_id=self._birth, version_vector=version_vector)
        self._send(connection, hello, now)

    def _drop(
        self, connection: UpstreamConnection, now: float, why: str, hang_up: bool = True, failed: bool = True
    ) -> None:
        self._upstreams.drop(connection, now, failed)
        self._fetches.gone(connection, now)
        self.counts["lost" if connection.greeted else "unreached"] += 1
        if hang_up:
            self._out.hangups.append(connection.number)
        self._tell("lost", now, {"server": connection.place.server.address, "why": why})

    def _handle(
        self, connection: UpstreamConnection, message: Message | FrameError, now: float, size: int
    ) -> None:
        if isinstance(message, FrameError):
            self._foreign(connection, message, now)
            return
        connection.heard = now
        if not isinstance(message, BodyChunk):  # paid when it was asked for
            self.bucket.spend(size + PACKET_OVERHEAD_BYTES, now)
        match message:
            case Hello():
                self._greeted(connection, message, now)
            case DocumentHeaders(headers):
                for header in headers:
                    self._offered(connection, header, now)
            case BodyChunk():
                document = self._fetches.piece(connection, message, now)
                if document is not None:
                    self._whole(connection, document, now)
            case BodyUnavailable(key, why):
                self.counts["absent_" + ("busy" if why == "busy" else "gone")] += 1
                self._fetches.absent(connection, key, why == "busy", now)
            case Heartbeat(digest):
                self._compare(connection, digest, now)
            case Goodbye(why):
                self._drop(connection, now, f"bye: {why}")
            case _:
                self.counts["dropped_unexpected"] += 1

    def _foreign(self, connection: UpstreamConnection, error: FrameError, now: float) -> None:
        """A damaged frame is left out, as what it told comes again; after too many the link is given up."""
        self.counts[f"dropped_{error.kind}"] += 1
        self._tell("dropped", now, {"what": error.kind, "server": connection.name, "why": str(error)})
        connection.damaged += 1
        if error.fatal or connection.damaged >= self.tuning.max_damaged_frames:
            self._drop(connection, now, str(error))

    def _greeted(self, connection: UpstreamConnection, hello: Hello, now: float) -> None:
        if hello.instance_id == self._birth and hello.name == self.name:
            connection.place.failures = 16  # its own hub
            self._drop(connection, now, "this process itself")
            return
        if not connection.greeted:
            connection.greeted, connection.name = True, hello.name
            self._tell("linked", now, {"server": hello.name, "address": connection.place.server.address})
            if self._standings:
                self._send(connection, self._report(self.apply_statuses()), now)

    def _compare(self, connection: UpstreamConnection, digest: int, now: float) -> None:
        """Digests that go on differing: one of the two lacks something.  Ask less and less often.

        That they differ once is news that is on its way.
        """
        differed, connection.differs = connection.differs, digest != self.table.digest(self.interest)
        if not connection.differs:
            connection.vector_wait = self.tuning.resync_ms
        elif (
            differed
            and now >= connection.vector_at
            and not any(s in self._fetches.pending for s in connection.offers)
        ):
            connection.vector_at = now + connection.vector_wait
            connection.vector_wait = min(2.0 * connection.vector_wait, self.tuning.max_resync_ms)
            self.counts["vectors"] += 1
            self._hello(connection, now)

    # ------------------------------------------------------------ documents

    def _offered(self, connection: UpstreamConnection, header: DocumentHeader, now: float) -> None:
        if not self.interest.includes(header.scope):
            self.counts["dropped_unwanted"] += 1
            return
        conflict = self.table.compare(header)
        if conflict is not None:
            self._conflict(conflict, now)
        if self._fetches.offered(connection, header, now):
            connection.vector_wait = self.tuning.resync_ms

    def _conflict(self, conflict: Conflict, now: float) -> None:
        self.counts["conflicts"] += 1
        kept, dropped = conflict.kept, conflict.dropped
        self._tell(
            "conflict",
            now,
            {
                "scope": kept.scope,
                "era": kept.epoch,
                "kept": [kept.version, kept.writer],
                "dropped": [dropped.version, dropped.writer],
                "rule": conflict.rule,
            },
        )

    def _whole(self, connection: UpstreamConnection, document: Document, now: float) -> None:
        header = document.header
        try:
            taken = self.table.put(document)
        except FeedError as error:
            self.counts["dropped_full"] += 1
            self._tell("dropped", now, {"what": "full", "scope": header.scope, "why": str(error)})
            self._fetches.forget(header.scope, header)
            return
        if not taken:
            self.counts["dropped_older"] += 1
            return
        self._tell(
            "whole", now, {"scope": header.scope, "version": header.version, "server": connection.name}
        )
        if not self._judged:
            self._out.apply.append(document)
            self._stand(header, ApplyState.HELD, "")
            self._report_all(header.scope, now)
        elif header.scope not in self._judging:
            self._judging[header.scope] = document
            self._out.apply.append(document)

    def applied(self, scope: str, header: DocumentHeader, refused: str, now: float) -> None:
        """The answer to a document handed out: in force where `refused` is "", else why not, in one line."""
        now = self._enter(now)
        document = self._judging.get(scope)
        if document is None or document.header != header:
            return
        del self._judging[scope]
        if refused:
            self.counts["refused"] += 1
        else:
            self._in_force[scope] = document
        self._stand(header, ApplyState.REFUSED if refused else ApplyState.IN_FORCE, shorten(refused))
        self._tell("standing", now, {"scope": scope, "version": header.version, "refused": shorten(refused)})
        newest = self.table.get(scope)
        if newest is not None and newest.header.rank > header.rank:  # came meanwhile
            self._judging[scope] = newest
            self._out.apply.append(newest)
        self._report_all(scope, now)
        self._after(now)

    def _stand(self, header: DocumentHeader, state: ApplyState, why: str) -> None:
        self._standings[header.scope] = ApplyStatus(header.key, state, why)
        self._counter += 1

    def _report_all(self, scope: str, now: float) -> None:
        report = self._report([self._standings[scope]])
        for connection in self._upstreams.open_links():
            if connection.greeted:
                self._send(connection, report, now)

    def _report(self, apply_statuses: list[ApplyStatus]) -> ApplyReport:
        return ApplyReport(self.name, self._birth, self._counter, tuple(apply_statuses))
