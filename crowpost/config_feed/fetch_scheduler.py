"""Bodies on their way: each is asked once, of the nearest server that has it, and of another if it stalls."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import PACKET_OVERHEAD_BYTES, Document, DocumentHeader, VersionKey
from crowpost.config_feed.messages import BodyChunk, FetchRequest
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_connections import UpstreamConnection, UpstreamConnections

ASKING = 110 + PACKET_OVERHEAD_BYTES  # bytes of a Fetch in practice, and of a Body around its piece
LEAST = 4_096  # bytes worth asking for while there are few tokens
OWED_MS = 30_000.0  # that bytes which were asked for may yet come; after that they are taken for lost
RETRIES = 6  # doublings of the wait when nobody gives a body

Tell = Callable[[str, float, dict[str, object]], None]


@dataclass(slots=True, eq=False)
class PendingFetch:
    """A document that is known to be newer than the one held."""

    header: DocumentHeader
    first_at: float  # when it was first told of
    body: bytearray = field(default_factory=bytearray)
    source: int = 0  # link that was asked; 0: none
    until: int = 0  # bytes asked for so far
    progress_at: float = 0.0  # asked, or got something
    waits: int = 0  # in a row without a byte
    givers: set[int] = field(default_factory=set)
    alone: bool = False  # pieces of two servers did not fit: all of it from one


class FetchScheduler:
    """What is wanted, and of whom it is asked; every byte asked for is paid from the budget first."""

    def __init__(
        self,
        watches: UpstreamConnections,
        table: DocumentTable,
        bucket: TokenBucket,
        counts: Counter[str],
        tuning: Tuning,
        at_once: int,
        ask: Callable[[UpstreamConnection, FetchRequest], None],
        tell: Tell,
    ) -> None:
        self._upstreams, self._table, self._bucket = watches, table, bucket
        self._counts, self._tuning, self._at_once = counts, tuning, at_once
        self._ask, self._tell = ask, tell
        self.pending: dict[str, PendingFetch] = {}
        self.hopeless: list[
            UpstreamConnection
        ] = []  # to be given up: what they owe leaves no room to ask another
        self._owed: dict[
            tuple[int, VersionKey], tuple[int, float]
        ] = {}  # by link: bytes yet to come, asked when
        self._retry_at = math.inf

    # ------------------------------------------------------------ what is told

    def offered(self, connection: UpstreamConnection, header: DocumentHeader, now: float) -> bool:
        """A server holds a document; whether that is news here."""
        held = self._table.get(header.scope)
        if held is not None and header.rank <= held.header.rank:
            connection.offers.pop(header.scope, None)
            if header.rank == held.header.rank:
                self._counts["known"] += 1
            else:
                self._counts["dropped_older"] += 1
            return False
        if header.size > self._tuning.max_document_bytes:
            self._counts["dropped_too_large"] += 1
            self._tell("dropped", now, {"what": "too_large", "scope": header.scope, "size": header.size})
            return False
        if header.scope not in self.pending and len(self.pending) >= self._tuning.max_documents:
            self._counts["dropped_full"] += 1
            return False
        connection.offers[header.scope] = header
        self._choose(header.scope, now)
        return True

    def _choose(self, scope: str, now: float) -> None:
        """Want the best that anybody offers; what nobody offers for now is kept as far as it came."""
        best: DocumentHeader | None = None
        for connection in self._upstreams.connections.values():
            header = connection.offers.get(scope)
            if header is None or connection.bad.get(scope) == header:
                continue
            if best is None or header.rank > best.rank:
                best = header
        fetch = self.pending.get(scope)
        if best is None or (fetch is not None and fetch.header == best):
            return
        if fetch is not None and fetch.header.rank < best.rank:
            self._counts["coalesced"] += 1
        self.pending[scope] = PendingFetch(best, now)

    def gone(self, connection: UpstreamConnection, now: float) -> None:
        """A link is no more: what was asked there is asked elsewhere, from where it came to."""
        for key in [key for key in self._owed if key[0] == connection.number]:
            self._settle(key)
        for scope, fetch in self.pending.items():
            if fetch.source == connection.number:
                fetch.source, fetch.until = 0, len(fetch.body)
            if scope in connection.offers:
                self._choose(scope, now)

    def absent(self, connection: UpstreamConnection, key: VersionKey, busy: bool, now: float) -> None:
        """A server does not give what was asked."""
        self._settle((connection.number, key))
        scope = key.scope
        fetch = self.pending.get(scope)
        if fetch is None or fetch.source != connection.number or fetch.header.key != key:
            return
        fetch.source, fetch.until = 0, len(fetch.body)
        if busy:
            connection.slow_until = now + self._tuning.slow_server_ms
            fetch.progress_at, fetch.waits = now, min(fetch.waits + 1, RETRIES)
        else:
            connection.offers.pop(scope, None)
            self._choose(scope, now)

    # ------------------------------------------------------------ what comes

    def piece(self, connection: UpstreamConnection, body: BodyChunk, now: float) -> Document | None:
        """A piece of a body; the document, once it is whole and the body is the head's."""
        self._settle((connection.number, body.key), len(body.data))
        fetch = self.pending.get(body.key.scope)
        if fetch is None or fetch.header.key != body.key:
            self._counts["dropped_unasked"] += 1
            return None
        have = len(fetch.body)
        if body.offset > have:
            self._counts["dropped_gap"] += 1
            if fetch.source == connection.number:
                fetch.source, fetch.until = 0, have  # a frame was dropped on the way: from there again
            return None
        fresh = body.data[have - body.offset : have - body.offset + fetch.header.size - have]
        if not fresh:
            if fetch.header.size:
                self._counts["dropped_replayed"] += 1
                return None
        elif fetch.alone and fetch.givers and connection.number not in fetch.givers:
            return None
        fetch.body += fresh
        fetch.givers.add(connection.number)
        fetch.progress_at, fetch.waits = now, 0
        if len(fetch.body) < fetch.header.size:
            return None
        return self._whole(connection, fetch, now)

    def _whole(self, connection: UpstreamConnection, fetch: PendingFetch, now: float) -> Document | None:
        header = fetch.header
        document = Document(header, bytes(fetch.body))
        if document.whole:
            del self.pending[header.scope]
            for other in self._upstreams.connections.values():
                offer = other.offers.get(header.scope)
                if offer is not None and offer.rank <= header.rank:
                    del other.offers[header.scope]
                other.bad.pop(header.scope, None)
            self._counts["bodies"] += 1
            return document
        self._counts["dropped_digest"] += 1
        self._tell("dropped", now, {"what": "digest", "scope": header.scope, "version": header.version})
        again = self.pending[header.scope] = PendingFetch(header, fetch.first_at, progress_at=now, alone=True)
        again.waits = min(fetch.waits + 1, RETRIES)
        if len(fetch.givers) == 1:
            connection.bad[header.scope] = header
            self._choose(header.scope, now)
        return None

    def _settle(self, key: tuple[int, VersionKey], size: int | None = None) -> None:
        """Bytes that were owed came; None: no more of them will."""
        left, at = self._owed.pop(key, (0, 0.0))
        came = left if size is None else min(size, left)
        self._bucket.owed -= came
        if left > came:
            self._owed[key] = left - came, at

    def forget(self, scope: str, header: DocumentHeader) -> None:
        """What came whole cannot be held: no server is asked for it again until its link is new."""
        for connection in self._upstreams.connections.values():
            if connection.offers.get(scope) == header:
                connection.bad[scope] = header

    # ------------------------------------------------------------ whom to ask

    def _sources(
        self, fetch: PendingFetch, connections: list[UpstreamConnection], now: float
    ) -> list[UpstreamConnection]:
        """Servers that offer it, the one to ask first in front."""
        scope, header = fetch.header.scope, fetch.header
        found = [n for n in connections if n.offers.get(scope) == header and n.bad.get(scope) != header]
        found.sort(key=lambda connection: connection.slow_until > now)  # stable: then by nearness
        return found

    def tick(self, now: float) -> None:
        """Ask for what is due."""
        self._retry_at = math.inf
        if not self.pending:
            return
        for key in [key for key, (_, at) in self._owed.items() if now - at > OWED_MS]:
            self._settle(key)
        connections = self._upstreams.open_links()
        under_way = sum(fetch.source != 0 for fetch in self.pending.values())
        for fetch in sorted(self.pending.values(), key=lambda fetch: fetch.first_at):
            under_way -= fetch.source != 0
            if under_way >= self._at_once:
                break
            self._look(fetch, connections, now)
            under_way += fetch.source != 0

    def _look(self, fetch: PendingFetch, connections: list[UpstreamConnection], now: float) -> None:
        tuning = self._tuning
        sources = self._sources(fetch, connections, now)
        if not sources:
            return  # a link that comes up, or a digest that differs, brings it back
        stalled = False
        if fetch.source:
            if len(fetch.body) < fetch.until or not fetch.header.size:
                due = fetch.progress_at + tuning.stall_timeout_ms * 2.0**fetch.waits
                if now < due:
                    self._retry_at = min(self._retry_at, due)
                    return
                stalled = True
                self._counts["stalled"] += 1
            # else: what the tokens allowed came, and there is more
        elif fetch.waits:
            due = fetch.progress_at + tuning.stall_timeout_ms * 2.0 ** (fetch.waits - 1)
            if now < due:
                self._retry_at = min(self._retry_at, due)
                return
        elif (
            min(connections, key=lambda connection: connection.slow_until > now) not in sources
        ):  # the first that is not slow
            due = fetch.first_at + tuning.prefer_nearest_ms
            if now < due:
                self._retry_at = min(self._retry_at, due)
                return
        source = sources[0]
        if stalled:
            for connection in sources:
                if connection.number == fetch.source:
                    connection.slow_until = now + tuning.slow_server_ms
            others = [connection for connection in sources if connection.number != fetch.source]
            if others:
                source = others[0]
            else:
                fetch.waits = min(fetch.waits + 1, RETRIES)
            if fetch.alone and fetch.givers and source.number not in fetch.givers:
                fetch.body.clear()
                fetch.givers.clear()
        elif fetch.source:
            source = next((connection for connection in sources if connection.number == fetch.source), source)
        self._request(fetch, source, stalled, now)

    def _request(self, fetch: PendingFetch, source: UpstreamConnection, stalled: bool, now: float) -> None:
        have = len(fetch.body)
        left = fetch.header.size - have
        pieces = 1 + left // self._tuning.chunk_bytes
        least = min(left, LEAST)
        cost = min(left + ASKING * (1 + pieces), self._bucket.saved)
        if self._bucket.refill(now) < cost:
            when = self._bucket.when(least + 2 * ASKING, now)
            if when > now:
                self._retry_at = min(self._retry_at, when)
                if stalled:
                    self._give_up(fetch, source, least)
                    fetch.source, fetch.until = 0, have  # it is decided already whom to ask then
                return
        length = int(min(left, max(least, self._bucket.tokens - 2 * ASKING)))
        pieces = 1 + length // self._tuning.chunk_bytes
        self._bucket.spend(length + ASKING * (1 + pieces), now)
        if stalled and fetch.source and fetch.source != source.number:
            self._counts["taken_over"] += 1
            self._tell("taken_over", now, {"scope": fetch.header.scope, "at": have, "server": source.name})
        fetch.source, fetch.until, fetch.progress_at = source.number, have + length, now
        key = source.number, fetch.header.key
        self._owed[key] = self._owed.get(key, (0, now))[0] + length, now
        self._bucket.owed += length
        self._counts["fetches"] += 1
        self._ask(source, FetchRequest(fetch.header.key, have, length))
        self._retry_at = min(self._retry_at, now + self._tuning.stall_timeout_ms * 2.0**fetch.waits)

    def _give_up(self, fetch: PendingFetch, source: UpstreamConnection, least: int) -> None:
        """What a server owes and holds back counts as saved up; if that leaves no room, the server goes."""
        stalled = self._upstreams.connections.get(fetch.source)
        room = self._bucket.saved - self._bucket.owed
        if stalled not in (None, source, *self.hopeless) and room < least + 2 * ASKING:
            assert stalled is not None
            self.hopeless.append(stalled)

    def next_at(self) -> float:
        """When `tick` is due; what comes or goes meanwhile calls it at once."""
        return self._retry_at

    def shift(self, by: float) -> None:
        """This process stood still."""
        for fetch in self.pending.values():
            fetch.progress_at += by
            fetch.first_at += by
