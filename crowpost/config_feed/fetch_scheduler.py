"""Schedules the fetches of document bodies.

Each body is requested once, from the nearest server that offers it, and from another one if it stalls.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader, VersionKey
from crowpost.config_feed.frames import PACKET_OVERHEAD_BYTES
from crowpost.config_feed.messages import BodyChunk, FetchRequest
from crowpost.config_feed.outstanding_bytes import OutstandingBytes
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_connections import UpstreamConnection, UpstreamConnections

# Size of a FetchRequest, and of a BodyChunk without its data.
REQUEST_OVERHEAD_BYTES = 110 + PACKET_OVERHEAD_BYTES
MIN_REQUEST_BYTES = 4_096  # smallest request, or the rest of the body, that is sent when tokens are short
MAX_BACKOFF_DOUBLINGS = 6  # limits the backoff while no server sends the body
NO_SOURCE = 0  # is never a connection number, as these begin at 1

EmitEvent = Callable[[str, float, dict[str, object]], None]


@dataclass(slots=True, eq=False)
class PendingFetch:
    """The fetch of a document that is newer than the stored one; times in ms."""

    header: DocumentHeader
    first_offered_at: float
    body: bytearray = field(default_factory=bytearray)
    # The connection on which the body is requested.
    source: int = NO_SOURCE
    # Offset up to which bytes were requested.
    requested_until: int = 0
    # Time of the last request or received byte.
    progress_at: float = 0.0
    # Number of successive stalls without a received byte.
    stall_count: int = 0
    # Connections that sent chunks of the body.
    contributors: set[int] = field(default_factory=set)
    # Fetch the whole body from one server, because chunks of several servers did not match the digest.
    single_source: bool = False

    @property
    def awaits_bytes(self) -> bool:
        """Whether requested bytes have not been received yet."""
        if self.source == NO_SOURCE:
            return False
        return len(self.body) < self.requested_until or not self.header.size

    def release_source(self) -> None:
        """Let any server be asked for the rest of the body."""
        self.source = NO_SOURCE
        self.requested_until = len(self.body)

    def count_stall(self) -> None:
        """Double the wait before the next request."""
        self.stall_count = min(self.stall_count + 1, MAX_BACKOFF_DOUBLINGS)

    def accepts_chunks_from(self, connection_id: int) -> bool:
        """Return whether a chunk received on a connection may be appended to the body."""
        return not (self.single_source and self.contributors) or connection_id in self.contributors


class FetchScheduler:
    """Decides which bodies to fetch, and from which server.

    Tokens for all bytes of a request are spent before it is sent.  max_concurrent: the number of bodies that
    are fetched at once.
    """

    def __init__(
        self,
        connections: UpstreamConnections,
        table: DocumentTable,
        bucket: TokenBucket,
        counts: Counter[str],
        tuning: Tuning,
        max_concurrent: int,
        send_request: Callable[[UpstreamConnection, FetchRequest], None],
        emit: EmitEvent,
    ) -> None:
        self._connections = connections
        self._table = table
        self._bucket = bucket
        self._counts = counts
        self._tuning = tuning
        self._max_concurrent = max_concurrent
        self._send_request = send_request
        self._emit = emit
        # The fetches in progress or waiting, by scope.
        self.pending: dict[str, PendingFetch] = {}
        self.stalled_connections: list[UpstreamConnection] = []
        """Connections to close, because their outstanding bytes leave no tokens to ask another server."""
        self._outstanding = OutstandingBytes(bucket)
        self._retry_at = math.inf

    # ------------------------------------------------------------ offers

    def offer(self, connection: UpstreamConnection, header: DocumentHeader, now: float) -> bool:
        """Record that a server offers a document.  Return whether it is newer and is to be fetched."""
        stored = self._table.get(header.scope)
        if stored is not None and header.rank <= stored.header.rank:
            connection.offered_headers.pop(header.scope, None)
            is_stored = header.rank == stored.header.rank
            self._counts["known" if is_stored else "dropped_older"] += 1
            return False
        if header.size > self._tuning.max_document_bytes:
            self._counts["dropped_too_large"] += 1
            self._emit("dropped", now, {"what": "too_large", "scope": header.scope, "size": header.size})
            return False
        if header.scope not in self.pending and len(self.pending) >= self._tuning.max_documents:
            self._counts["dropped_full"] += 1
            return False
        connection.offered_headers[header.scope] = header
        self._choose_document(header.scope, now)
        return True

    def _choose_document(self, scope: str, now: float) -> None:
        """Fetch the offered document of the highest rank.

        If no server offers one any more, keep the fetch in progress with the bytes received so far.
        """
        best = self._best_offer(scope)
        fetch = self.pending.get(scope)
        if best is None or (fetch is not None and fetch.header == best):
            return
        if fetch is not None and fetch.header.rank < best.rank:
            self._counts["coalesced"] += 1
        self.pending[scope] = PendingFetch(best, now)

    def _best_offer(self, scope: str) -> DocumentHeader | None:
        best: DocumentHeader | None = None
        for connection in self._connections.connections.values():
            header = connection.offered_headers.get(scope)
            if header is None or connection.rejected_headers.get(scope) == header:
                continue
            if best is None or header.rank > best.rank:
                best = header
        return best

    def connection_lost(self, connection: UpstreamConnection, now: float) -> None:
        """Continue the fetches of a closed connection with other servers."""
        self._outstanding.cancel_connection(connection.number)
        for scope, fetch in self.pending.items():
            if fetch.source == connection.number:
                fetch.release_source()
            if scope in connection.offered_headers:
                self._choose_document(scope, now)

    def body_unavailable(
        self, connection: UpstreamConnection, key: VersionKey, busy: bool, now: float
    ) -> None:
        """Continue a fetch with another server; this one is busy or no longer has the document."""
        self._outstanding.cancel(connection.number, key)
        fetch = self.pending.get(key.scope)
        if fetch is None or fetch.source != connection.number or fetch.header.key != key:
            return
        fetch.release_source()
        if busy:
            connection.slow_until = now + self._tuning.slow_server_ms
            fetch.progress_at = now
            fetch.count_stall()
        else:
            connection.offered_headers.pop(key.scope, None)
            self._choose_document(key.scope, now)

    # ------------------------------------------------------------ received bodies

    def receive_chunk(self, connection: UpstreamConnection, chunk: BodyChunk, now: float) -> Document | None:
        """Append a chunk to its body.  Return the document once it is complete and intact."""
        self._outstanding.receive(connection.number, chunk.key, len(chunk.data))
        fetch = self.pending.get(chunk.key.scope)
        if fetch is None or fetch.header.key != chunk.key:
            self._counts["dropped_unasked"] += 1
            return None
        received = len(fetch.body)
        if chunk.offset > received:
            self._counts["dropped_gap"] += 1
            if fetch.source == connection.number:  # a frame was lost, so request again from its offset
                fetch.release_source()
            return None
        data = chunk.data[received - chunk.offset : fetch.header.size - chunk.offset]
        if not data and fetch.header.size:
            self._counts["dropped_replayed"] += 1
            return None
        if data and not fetch.accepts_chunks_from(connection.number):
            return None
        fetch.body += data
        fetch.contributors.add(connection.number)
        fetch.progress_at = now
        fetch.stall_count = 0
        if len(fetch.body) < fetch.header.size:
            return None
        return self._complete(connection, fetch, now)

    def _complete(self, connection: UpstreamConnection, fetch: PendingFetch, now: float) -> Document | None:
        header = fetch.header
        document = Document(header, bytes(fetch.body))
        if not document.is_intact:
            self._restart(connection, fetch, now)
            return None
        del self.pending[header.scope]
        for other in self._connections.connections.values():
            offered = other.offered_headers.get(header.scope)
            if offered is not None and offered.rank <= header.rank:
                del other.offered_headers[header.scope]
            other.rejected_headers.pop(header.scope, None)
        self._counts["bodies"] += 1
        return document

    def _restart(self, connection: UpstreamConnection, fetch: PendingFetch, now: float) -> None:
        """Restart the fetch of a body that does not match its header, from a single server."""
        header = fetch.header
        self._counts["dropped_digest"] += 1
        self._emit("dropped", now, {"what": "digest", "scope": header.scope, "version": header.version})
        restarted = PendingFetch(header, fetch.first_offered_at, progress_at=now, single_source=True)
        restarted.stall_count = fetch.stall_count
        restarted.count_stall()
        self.pending[header.scope] = restarted
        if len(fetch.contributors) == 1:
            connection.rejected_headers[header.scope] = header
            self._choose_document(header.scope, now)

    def reject(self, header: DocumentHeader) -> None:
        """Ignore the current offers of a document that cannot be stored, until the server reconnects."""
        for connection in self._connections.connections.values():
            if connection.offered_headers.get(header.scope) == header:
                connection.rejected_headers[header.scope] = header

    # ------------------------------------------------------------ requests

    def tick(self, now: float) -> None:
        """Send the requests that are due."""
        self._retry_at = math.inf
        if not self.pending:
            return
        self._outstanding.expire(now)
        connections = self._connections.open_connections()
        in_progress = sum(fetch.source != NO_SOURCE for fetch in self.pending.values())
        for fetch in sorted(self.pending.values(), key=lambda fetch: fetch.first_offered_at):
            in_progress -= fetch.source != NO_SOURCE
            if in_progress >= self._max_concurrent:
                break
            self._schedule(fetch, connections, now)
            in_progress += fetch.source != NO_SOURCE

    def _schedule(self, fetch: PendingFetch, connections: list[UpstreamConnection], now: float) -> None:
        sources = _sources(fetch, connections, now)
        if not sources:
            return  # wait for an offer, which follows a new connection or a differing digest
        due = self._due_at(fetch, connections, sources, now)
        if now < due:
            self._retry_at = min(self._retry_at, due)
            return
        stalled = fetch.awaits_bytes
        if stalled:
            self._counts["stalled"] += 1
            source = self._replace_source(fetch, sources, now)
        else:
            current = [source for source in sources if source.number == fetch.source]
            source = (current or sources)[0]
        self._request(fetch, source, stalled, now)

    def _due_at(
        self,
        fetch: PendingFetch,
        connections: list[UpstreamConnection],
        sources: list[UpstreamConnection],
        now: float,
    ) -> float:
        """Return when the next request for a body is due."""
        tuning = self._tuning
        if fetch.awaits_bytes:
            return fetch.progress_at + tuning.stall_timeout_ms * 2.0**fetch.stall_count
        if fetch.source != NO_SOURCE:  # all requested bytes were received; request the next ones at once
            return -math.inf
        if fetch.stall_count:
            return fetch.progress_at + tuning.stall_timeout_ms * 2.0 ** (fetch.stall_count - 1)
        nearest = min(connections, key=lambda connection: connection.slow_until > now)
        if nearest not in sources:
            return fetch.first_offered_at + tuning.prefer_nearest_ms
        return -math.inf

    def _replace_source(
        self, fetch: PendingFetch, sources: list[UpstreamConnection], now: float
    ) -> UpstreamConnection:
        """Return another server for a stalled fetch, or the same one if no other offers the document."""
        for connection in sources:
            if connection.number == fetch.source:
                connection.slow_until = now + self._tuning.slow_server_ms
        others = [connection for connection in sources if connection.number != fetch.source]
        source = (others or sources)[0]
        if not others:
            fetch.count_stall()
        if not fetch.accepts_chunks_from(source.number):
            fetch.body.clear()
            fetch.contributors.clear()
        return source

    def _request(self, fetch: PendingFetch, source: UpstreamConnection, stalled: bool, now: float) -> None:
        """Request the rest of a body, as far as the tokens allow."""
        received = len(fetch.body)
        missing = fetch.header.size - received
        minimum = min(missing, MIN_REQUEST_BYTES)
        cost = min(missing + self._overhead(missing), self._bucket.burst)
        if self._bucket.refill(now) < cost:
            affordable_at = self._bucket.available_at(minimum + 2 * REQUEST_OVERHEAD_BYTES, now)
            if affordable_at > now:
                self._retry_at = min(self._retry_at, affordable_at)
                if stalled:
                    self._close_if_blocking(fetch, source, minimum)
                    fetch.release_source()  # the server is chosen once there are tokens
                return
        length = int(min(missing, max(minimum, self._bucket.tokens - 2 * REQUEST_OVERHEAD_BYTES)))
        self._bucket.spend(length + self._overhead(length), now)
        if stalled and fetch.source not in (NO_SOURCE, source.number):
            self._counts["taken_over"] += 1
            event = {"scope": fetch.header.scope, "at": received, "server": source.name}
            self._emit("taken_over", now, event)
        fetch.source = source.number
        fetch.requested_until = received + length
        fetch.progress_at = now
        self._outstanding.add(source.number, fetch.header.key, length, now)
        self._counts["fetches"] += 1
        self._send_request(source, FetchRequest(fetch.header.key, received, length))
        stall_at = now + self._tuning.stall_timeout_ms * 2.0**fetch.stall_count
        self._retry_at = min(self._retry_at, stall_at)

    def _overhead(self, length: int) -> int:
        """Return the size of a request and of the frames of its chunks, without the chunk data."""
        chunks = 1 + length // self._tuning.chunk_bytes
        return REQUEST_OVERHEAD_BYTES * (1 + chunks)

    def _close_if_blocking(self, fetch: PendingFetch, source: UpstreamConnection, minimum: int) -> None:
        """Close a stalled connection whose outstanding bytes leave no tokens to ask another server."""
        stalled = self._connections.connections.get(fetch.source)
        if stalled is None or stalled is source or stalled in self.stalled_connections:
            return
        available = self._bucket.burst - self._bucket.outstanding
        if available < minimum + 2 * REQUEST_OVERHEAD_BYTES:
            self.stalled_connections.append(stalled)

    def next_at(self) -> float:
        """Return when `tick` is due next, in ms."""
        return self._retry_at

    def shift(self, by_ms: float) -> None:
        """Move all deadlines by the time for which this process was suspended."""
        for fetch in self.pending.values():
            fetch.progress_at += by_ms
            fetch.first_offered_at += by_ms


def _sources(
    fetch: PendingFetch, connections: list[UpstreamConnection], now: float
) -> list[UpstreamConnection]:
    """Return the servers that offer a document, the nearest first, but slow servers after all others."""
    header = fetch.header
    found = [
        connection
        for connection in connections
        if connection.offered_headers.get(header.scope) == header
        and connection.rejected_headers.get(header.scope) != header
    ]
    # The sort is stable, so it keeps the order by nearness.
    found.sort(key=lambda connection: connection.slow_until > now)
    return found
