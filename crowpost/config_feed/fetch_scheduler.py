"""Bodies on their way: each is asked once, of the nearest server that has it, and of another if it stalls."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import HEADERS, Document, DocumentHeader, VersionKey
from crowpost.config_feed.messages import BodyChunk, FetchRequest
from crowpost.config_feed.token_bucket import TokenBucket
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_connections import UpstreamConnection, UpstreamConnections

ASKING = 110 + HEADERS  # bytes of a Fetch in practice, and of a Body around its piece
LEAST = 4_096  # bytes worth asking for while there are few tokens
OWED_MS = 30_000.0  # that bytes which were asked for may yet come; after that they are taken for lost
RETRIES = 6  # doublings of the wait when nobody gives a body

Tell = Callable[[str, float, dict[str, object]], None]


@dataclass(slots=True, eq=False)
class PendingFetch:
    """A document that is known to be newer than the one held."""

    head: DocumentHeader
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
        self._watches, self._table, self._bucket = watches, table, bucket
        self._counts, self._tuning, self._at_once = counts, tuning, at_once
        self._ask, self._tell = ask, tell
        self.wants: dict[str, PendingFetch] = {}
        self.hopeless: list[
            UpstreamConnection
        ] = []  # to be given up: what they owe leaves no room to ask another
        self._owed: dict[
            tuple[int, VersionKey], tuple[int, float]
        ] = {}  # by link: bytes yet to come, asked when
        self._retry_at = math.inf

    # ------------------------------------------------------------ what is told

    def offered(self, link: UpstreamConnection, head: DocumentHeader, now: float) -> bool:
        """A server holds a document; whether that is news here."""
        held = self._table.get(head.scope)
        if held is not None and head.rank <= held.head.rank:
            link.offers.pop(head.scope, None)
            if head.rank == held.head.rank:
                self._counts["known"] += 1
            else:
                self._counts["dropped_older"] += 1
            return False
        if head.size > self._tuning.max_document_bytes:
            self._counts["dropped_too_large"] += 1
            self._tell("dropped", now, {"what": "too_large", "scope": head.scope, "size": head.size})
            return False
        if head.scope not in self.wants and len(self.wants) >= self._tuning.max_documents:
            self._counts["dropped_full"] += 1
            return False
        link.offers[head.scope] = head
        self._choose(head.scope, now)
        return True

    def _choose(self, scope: str, now: float) -> None:
        """Want the best that anybody offers; what nobody offers for now is kept as far as it came."""
        best: DocumentHeader | None = None
        for link in self._watches.links.values():
            head = link.offers.get(scope)
            if head is None or link.bad.get(scope) == head:
                continue
            if best is None or head.rank > best.rank:
                best = head
        want = self.wants.get(scope)
        if best is None or want is not None and want.head == best:
            return
        if want is not None and want.head.rank < best.rank:
            self._counts["coalesced"] += 1
        self.wants[scope] = PendingFetch(best, now)

    def gone(self, link: UpstreamConnection, now: float) -> None:
        """A link is no more: what was asked there is asked elsewhere, from where it came to."""
        for key in [key for key in self._owed if key[0] == link.number]:
            self._settle(key)
        for scope, want in self.wants.items():
            if want.source == link.number:
                want.source, want.until = 0, len(want.body)
            if scope in link.offers:
                self._choose(scope, now)

    def absent(self, link: UpstreamConnection, mark: VersionKey, busy: bool, now: float) -> None:
        """A server does not give what was asked."""
        self._settle((link.number, mark))
        scope = mark.scope
        want = self.wants.get(scope)
        if want is None or want.source != link.number or want.head.mark != mark:
            return
        want.source, want.until = 0, len(want.body)
        if busy:
            link.slow_until = now + self._tuning.slow_server_ms
            want.progress_at, want.waits = now, min(want.waits + 1, RETRIES)
        else:
            link.offers.pop(scope, None)
            self._choose(scope, now)

    # ------------------------------------------------------------ what comes

    def piece(self, link: UpstreamConnection, body: BodyChunk, now: float) -> Document | None:
        """A piece of a body; the document, once it is whole and the body is the head's."""
        self._settle((link.number, body.mark), len(body.data))
        want = self.wants.get(body.mark.scope)
        if want is None or want.head.mark != body.mark:
            self._counts["dropped_unasked"] += 1
            return None
        have = len(want.body)
        if body.offset > have:
            self._counts["dropped_gap"] += 1
            if want.source == link.number:
                want.source, want.until = 0, have  # a frame was dropped on the way: from there again
            return None
        fresh = body.data[have - body.offset : have - body.offset + want.head.size - have]
        if not fresh:
            if want.head.size:
                self._counts["dropped_replayed"] += 1
                return None
        elif want.alone and want.givers and link.number not in want.givers:
            return None
        want.body += fresh
        want.givers.add(link.number)
        want.progress_at, want.waits = now, 0
        if len(want.body) < want.head.size:
            return None
        return self._whole(link, want, now)

    def _whole(self, link: UpstreamConnection, want: PendingFetch, now: float) -> Document | None:
        head = want.head
        document = Document(head, bytes(want.body))
        if document.whole:
            del self.wants[head.scope]
            for other in self._watches.links.values():
                offer = other.offers.get(head.scope)
                if offer is not None and offer.rank <= head.rank:
                    del other.offers[head.scope]
                other.bad.pop(head.scope, None)
            self._counts["bodies"] += 1
            return document
        self._counts["dropped_digest"] += 1
        self._tell("dropped", now, {"what": "digest", "scope": head.scope, "version": head.version})
        again = self.wants[head.scope] = PendingFetch(head, want.first_at, progress_at=now, alone=True)
        again.waits = min(want.waits + 1, RETRIES)
        if len(want.givers) == 1:
            link.bad[head.scope] = head
            self._choose(head.scope, now)
        return None

    def _settle(self, key: tuple[int, VersionKey], size: int | None = None) -> None:
        """Bytes that were owed came; None: no more of them will."""
        left, at = self._owed.pop(key, (0, 0.0))
        came = left if size is None else min(size, left)
        self._bucket.owed -= came
        if left > came:
            self._owed[key] = left - came, at

    def forget(self, scope: str, head: DocumentHeader) -> None:
        """What came whole cannot be held: no server is asked for it again until its link is new."""
        for link in self._watches.links.values():
            if link.offers.get(scope) == head:
                link.bad[scope] = head

    # ------------------------------------------------------------ whom to ask

    def _sources(
        self, want: PendingFetch, links: list[UpstreamConnection], now: float
    ) -> list[UpstreamConnection]:
        """Servers that offer it, the one to ask first in front."""
        scope, head = want.head.scope, want.head
        found = [n for n in links if n.offers.get(scope) == head and n.bad.get(scope) != head]
        found.sort(key=lambda link: link.slow_until > now)  # stable: then by nearness
        return found

    def tick(self, now: float) -> None:
        """Ask for what is due."""
        self._retry_at = math.inf
        if not self.wants:
            return
        for key in [key for key, (_, at) in self._owed.items() if now - at > OWED_MS]:
            self._settle(key)
        links = self._watches.open_links()
        under_way = sum(want.source != 0 for want in self.wants.values())
        for want in sorted(self.wants.values(), key=lambda want: want.first_at):
            under_way -= want.source != 0
            if under_way >= self._at_once:
                break
            self._look(want, links, now)
            under_way += want.source != 0

    def _look(self, want: PendingFetch, links: list[UpstreamConnection], now: float) -> None:
        tuning = self._tuning
        sources = self._sources(want, links, now)
        if not sources:
            return  # a link that comes up, or a digest that differs, brings it back
        stalled = False
        if want.source:
            if len(want.body) < want.until or not want.head.size:
                due = want.progress_at + tuning.stall_timeout_ms * 2.0**want.waits
                if now < due:
                    self._retry_at = min(self._retry_at, due)
                    return
                stalled = True
                self._counts["stalled"] += 1
            # else: what the tokens allowed came, and there is more
        elif want.waits:
            due = want.progress_at + tuning.stall_timeout_ms * 2.0 ** (want.waits - 1)
            if now < due:
                self._retry_at = min(self._retry_at, due)
                return
        elif min(links, key=lambda link: link.slow_until > now) not in sources:  # the first that is not slow
            due = want.first_at + tuning.prefer_nearest_ms
            if now < due:
                self._retry_at = min(self._retry_at, due)
                return
        source = sources[0]
        if stalled:
            for link in sources:
                if link.number == want.source:
                    link.slow_until = now + tuning.slow_server_ms
            others = [link for link in sources if link.number != want.source]
            if others:
                source = others[0]
            else:
                want.waits = min(want.waits + 1, RETRIES)
            if want.alone and want.givers and source.number not in want.givers:
                want.body.clear()
                want.givers.clear()
        elif want.source:
            source = next((link for link in sources if link.number == want.source), source)
        self._request(want, source, stalled, now)

    def _request(self, want: PendingFetch, source: UpstreamConnection, stalled: bool, now: float) -> None:
        have = len(want.body)
        left = want.head.size - have
        pieces = 1 + left // self._tuning.chunk_bytes
        least = min(left, LEAST)
        cost = min(left + ASKING * (1 + pieces), self._bucket.saved)
        if self._bucket.refill(now) < cost:
            when = self._bucket.when(least + 2 * ASKING, now)
            if when > now:
                self._retry_at = min(self._retry_at, when)
                if stalled:
                    self._give_up(want, source, least)
                    want.source, want.until = 0, have  # it is decided already whom to ask then
                return
        length = int(min(left, max(least, self._bucket.tokens - 2 * ASKING)))
        pieces = 1 + length // self._tuning.chunk_bytes
        self._bucket.spend(length + ASKING * (1 + pieces), now)
        if stalled and want.source and want.source != source.number:
            self._counts["taken_over"] += 1
            self._tell("taken_over", now, {"scope": want.head.scope, "at": have, "server": source.name})
        want.source, want.until, want.progress_at = source.number, have + length, now
        key = source.number, want.head.mark
        self._owed[key] = self._owed.get(key, (0, now))[0] + length, now
        self._bucket.owed += length
        self._counts["fetches"] += 1
        self._ask(source, FetchRequest(want.head.mark, have, length))
        self._retry_at = min(self._retry_at, now + self._tuning.stall_timeout_ms * 2.0**want.waits)

    def _give_up(self, want: PendingFetch, source: UpstreamConnection, least: int) -> None:
        """What a server owes and holds back counts as saved up; if that leaves no room, the server goes."""
        stalled = self._watches.links.get(want.source)
        room = self._bucket.saved - self._bucket.owed
        if stalled not in (None, source, *self.hopeless) and room < least + 2 * ASKING:
            assert stalled is not None
            self.hopeless.append(stalled)

    def next_at(self) -> float:
        """When `tick` is due; what comes or goes meanwhile calls it at once."""
        return self._retry_at

    def shift(self, by: float) -> None:
        """This process stood still."""
        for want in self.wants.values():
            want.progress_at += by
            want.first_at += by
