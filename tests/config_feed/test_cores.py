"""The feed's messages, and a follower and a hub whose other ends the test plays by hand."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.distribution_server import DistributionServer
from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.documents import Document, DocumentHeader, make_document
from crowpost.config_feed.errors import FeedError, FrameError
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.frames import FRAME_LENGTH, FrameReader, cluster_tag, decode, encode
from crowpost.config_feed.identity import ProcessIdentity
from crowpost.config_feed.message_codec import MessageKind
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
    PublishAccepted,
    PublishRejected,
    PublishRequest,
    StatusRequest,
    StatusResponse,
)
from crowpost.config_feed.scopes import Subscription, applies_to_node, order_scopes, parse_scope
from crowpost.config_feed.status_merge import merge_statuses
from crowpost.config_feed.tuning import Tuning
from crowpost.config_feed.upstream_server import UpstreamServer

T = cluster_tag("c")


def doc(
    version: int = 1, body: bytes = b"{}", *, scope: str = "all", epoch: int = 1, by: str = "p-east"
) -> Document:
    return make_document(scope, epoch, version, body, author="ops", reason="test", writer=by)


# ---------------------------------------------------------------- words and bytes

HEADER = doc(7, b"x" * 40, scope="service/s1").header
KEY = HEADER.key
MESSAGES: list[Message] = [
    Hello("n1", "node", "east", "e1", "s1", False, 7, (KEY,)),
    DocumentHeaders((HEADER, doc(2).header)),
    FetchRequest(KEY, 16, 24),
    BodyChunk(KEY, 16, b"\x00" * 24),
    BodyUnavailable(KEY, "busy"),
    Heartbeat(2**55),
    ApplyReport("n1", 7, 3, (ApplyStatus(KEY, ApplyState.REJECTED, "no such key"),)),
    StatusRequest(9),
    StatusResponse(9, {"name": "r1", "heads": []}),
    PublishRequest(1, "node/n1", b"{}", "me", "why", "east", 4, True),
    PublishAccepted(1, HEADER),
    PublishRejected(1, "publish to p-west"),
    Goodbye("in order"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_message_comes_back_as_it_was_and_no_changed_bit_of_it_does(message: Message) -> None:
    frame = encode(message, T)
    reader = FrameReader(T)
    found = [item for byte in frame for item in reader.feed(bytes([byte]))]
    assert found == [(message, len(frame))]
    body = frame[FRAME_LENGTH.size :]
    for at in range(len(body)):
        for bit in (0, 3, 7):
            damaged = body[:at] + bytes([body[at] ^ (1 << bit)]) + body[at + 1 :]
            with pytest.raises(FrameError):
                decode(damaged, T)
    for cut in range(len(body)):
        with pytest.raises(FrameError):
            decode(body[:cut], T)


def test_every_kind_of_message_is_among_those_tried() -> None:
    assert len({type(m) for m in MESSAGES}) == len(MessageKind)


def test_a_stream_tells_what_is_wrong_with_it() -> None:
    good = encode(Heartbeat(1), T)
    cases = {
        "cluster": encode(Heartbeat(1), cluster_tag("other")),
        "magic": FRAME_LENGTH.pack(20) + b"GET / HTTP/1.1\r\n\r\n..",
        "oversized": FRAME_LENGTH.pack(2_000_000),
        "checksum": good[:-1] + bytes([good[-1] ^ 1]),
        "malformed": FRAME_LENGTH.pack(3) + b"CF\x01",
    }
    for kind, data in cases.items():
        reader = FrameReader(T, 1_000_000)
        found = [item for item, _ in reader.feed(data + good)]
        assert isinstance(found[0], FrameError) and found[0].kind == kind
        # After a frame that is merely damaged the stream goes on; otherwise nothing more is believed.
        assert found[1:] == ([Heartbeat(1)] if not found[0].fatal else [])


def test_scopes() -> None:
    assert order_scopes(["node/n1", "all", "service/b", "region/r", "service/a"]) == [
        "all",
        "region/r",
        "service/a",
        "service/b",
        "node/n1",
    ]
    assert applies_to_node("all", "", "", "") and applies_to_node("region/east", "east", "s", "n")
    assert not applies_to_node("region/west", "east", "s", "n") and not applies_to_node(
        "node/n2", "east", "s", "n"
    )
    for bad in ("", "al", "all/", "region", "region/", "zone/z", "node/a b", "node/" + "x" * 65, "node/a/b"):
        with pytest.raises(FeedError):
            parse_scope(bad)
    with pytest.raises(FeedError, match="reason is longer"):
        make_document("all", 1, 1, b"", author="", reason="x" * 201, writer="")


# ---------------------------------------------------------------- one follower, servers played by hand


class Played:
    """A follower of two servers, each word of which the test says itself."""

    def __init__(
        self, tuning: Tuning | None = None, subscription: Subscription | None = None, **more: object
    ) -> None:
        self.now, self.seen = 0.0, list[tuple[int, Message]]()
        self.applied: list[Document] = []
        self.why = ""
        self.disconnects: list[int] = []
        servers = [
            UpstreamServer("a:1", "east", "e1"),
            UpstreamServer("b:1", "east", "e2"),
            UpstreamServer("c:1", "west", "w1"),
        ]
        self.follower = Follower(
            ProcessIdentity("c", "n1", region="east", zone="e1", instance_id=7),
            servers,
            Subscription("east", "s1", "n1"),
            rng=random.Random(1),
            now=0.0,
            tuning=tuning,
            **more,  # type: ignore[arg-type]
        )
        self.connection_ids: dict[str, int] = {}
        self.to(1_000.0)
        for name, connection_id in list(self.connection_ids.items()):
            self.follower.connected(connection_id, self.now)
            self.say(name, Hello(name, "relay"))

    def to(self, now: float) -> None:
        """Go on to a time, with ticks as they are due."""
        while self.follower.next_at() <= now:
            self.now = max(self.now, self.follower.next_at())
            self.follower.tick(self.now)
            self._take()
        self.now = now
        self.follower.tick(now)
        self._take()

    def wait(self, ms: float) -> None:
        """Go on for so long, with all servers alive and holding what the follower holds."""
        for _ in range(int(ms // 1_000.0)):
            self.to(self.now + 1_000.0)
            for server in self.connection_ids:
                self.say(server, Heartbeat(self.follower.table.digest(self.follower.subscription)))

    def say(self, server: str, message: Message | bytes) -> None:
        data = message if isinstance(message, bytes) else encode(message, T)
        self.follower.received(self.connection_ids[server], data, self.now)
        self._take()

    def _take(self) -> None:
        out = self.follower.take()
        for dial in out.connects:
            self.connection_ids[dial.address[0]] = dial.connection_id
        for connection_id, frame in out.sends:
            self.seen.append((connection_id, decode(frame[FRAME_LENGTH.size :], T)))
        self.disconnects += out.disconnects
        for document in out.apply:
            self.applied.append(document)
            self.follower.apply_finished(document.header, self.why, self.now)
            self._take()

    def fetches(self, server: str) -> list[FetchRequest]:
        return [
            m
            for connection_id, m in self.seen
            if connection_id == self.connection_ids[server] and isinstance(m, FetchRequest)
        ]

    def give(self, server: str, document: Document) -> None:
        """Told of by a server, and given by it."""
        self.say(server, DocumentHeaders((document.header,)))
        self.to(self.now + Tuning().prefer_nearest_ms + 1.0)
        self.say(server, BodyChunk(document.header.key, 0, document.body))

    def versions(self) -> list[int]:
        return [document.header.version for document in self.applied]


def test_heads_come_from_both_servers_and_the_body_once_from_the_nearer() -> None:
    p = Played()
    assert list(p.connection_ids) == ["a", "b"]
    d = doc(1, b"body")
    p.say("b", DocumentHeaders((d.header,)))
    assert not p.fetches("b")  # the nearer is given time to tell of it as well
    p.say("a", DocumentHeaders((d.header,)))
    assert [f.length for f in p.fetches("a")] == [4] and not p.fetches("b")
    p.say("a", BodyChunk(d.header.key, 0, b"body"))
    assert p.applied == [d] and p.follower.applied_document("all") == d
    p.wait(10_000.0)
    assert not p.fetches("b") and len(p.fetches("a")) == 1


def test_a_body_that_stalls_is_taken_over_where_it_stopped() -> None:
    p = Played()
    d = doc(1, b"0123456789")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.say("a", BodyChunk(d.header.key, 0, b"0123"))
    p.to(p.now + 990.0)
    assert not p.fetches("b")
    p.to(p.now + 20.0)
    assert [(f.offset, f.length) for f in p.fetches("b")] == [(4, 6)]
    p.say("b", BodyChunk(d.header.key, 4, b"456789"))
    assert p.applied == [d] and p.follower.counts["taken_over"] == 1
    # The one that stalled is asked last for a while.
    e = doc(2, b"abc")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((e.header,)))
    assert len(p.fetches("a")) == 1 and len(p.fetches("b")) == 2


def test_a_server_that_is_lost_amid_a_body_is_replaced_at_once() -> None:
    p = Played()
    d = doc(1, b"0123456789")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.say("a", BodyChunk(d.header.key, 0, b"01"))
    p.follower.lost(p.connection_ids["a"], p.now)
    p._take()
    assert [(f.offset, f.length) for f in p.fetches("b")] == [(2, 8)]


def test_a_body_that_is_not_its_heads_is_never_applied_and_asked_elsewhere() -> None:
    p = Played()
    d = doc(1, b"0123456789")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.say("a", BodyChunk(d.header.key, 0, b"0123456780"))
    assert p.applied == [] and p.follower.counts["dropped_digest"] == 1
    assert len(p.fetches("a")) == 1
    p.to(p.now + 1_100.0)
    assert [(f.offset, f.length) for f in p.fetches("b")] == [(0, 10)]
    p.say("b", BodyChunk(d.header.key, 0, d.body))
    assert p.applied == [d]


def test_pieces_of_two_servers_that_do_not_fit_are_followed_by_a_whole_from_one() -> None:
    p = Played()
    d = doc(1, b"0123456789")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.say("a", BodyChunk(d.header.key, 0, b"xx"))  # wrong, though its checksum is right
    p.to(p.now + 1_001.0)
    p.say("b", BodyChunk(d.header.key, 2, b"23456789"))
    assert p.applied == [] and p.follower.counts["dropped_digest"] == 1
    p.wait(5_000.0)
    asked = p.fetches("b")[-1]
    assert (asked.offset, asked.length) == (0, 10)
    p.say("b", BodyChunk(d.header.key, 0, d.body))
    assert p.applied == [d]


def test_a_head_whose_body_nobody_has_does_not_stop_an_honest_one() -> None:
    p = Played()
    lie = DocumentHeader("all", 1, 99, b"\x01" * 32, 4, "x", "", "p-east")
    p.say("a", DocumentHeaders((lie,)))
    p.say("b", DocumentHeaders((doc(6, b"good").header,)))
    p.say("a", BodyChunk(lie.key, 0, b"evil"))
    p.to(p.now + 1_500.0)
    p.say("b", BodyChunk(doc(6, b"good").header.key, 0, b"good"))
    assert p.versions() == [6]


def test_damaged_frames_are_left_out_and_too_many_end_the_link() -> None:
    p = Played()
    good = encode(DocumentHeaders((doc().header,)), T)
    bad = good[:-3] + bytes([good[-3] ^ 16]) + good[-2:]
    for _ in range(2):
        p.say("a", bad)
    assert p.follower.counts["dropped_checksum"] == 2 and not p.disconnects
    p.say("a", good)
    assert p.fetches("a")
    p.say("a", bad)
    assert p.disconnects == [p.connection_ids["a"]]


def test_another_clusters_server_is_left_at_once() -> None:
    p = Played()
    p.say("a", encode(DocumentHeaders((doc().header,)), cluster_tag("elsewhere")))
    assert p.disconnects == [p.connection_ids["a"]] and p.follower.counts["dropped_cluster"] == 1
    assert not p.fetches("a")


def test_a_document_that_is_too_large_is_not_asked_for() -> None:
    p = Played(Tuning(max_document_bytes=1_000))
    p.say("a", DocumentHeaders((doc(1, b"x" * 1_001).header,)))
    p.wait(5_000.0)
    assert not p.fetches("a") and p.follower.counts["dropped_too_large"] == 1
    p.give("a", doc(2, b"x" * 1_000))
    assert p.versions() == [2]


def test_what_is_older_or_told_again_changes_nothing() -> None:
    p = Played()
    old, new = doc(4, b"old"), doc(5, b"new")
    p.give("a", new)
    asked = len(p.fetches("a"))
    for replay in (
        DocumentHeaders((old.header,)),
        BodyChunk(old.header.key, 0, b"old"),
        DocumentHeaders((new.header,)),
    ):
        p.say("a", replay)
    p.say("b", BodyChunk(new.header.key, 0, b"new"))
    p.to(p.now + 3_000.0)
    assert p.versions() == [5] and len(p.fetches("a")) == asked and not p.fetches("b")
    counts = p.follower.counts
    assert counts["dropped_older"] == 1 and counts["known"] == 1 and counts["dropped_unasked"] == 2
    p.give("a", doc(1, b"restored", epoch=2))  # a publisher restored from a backup: a new era goes over it
    assert p.follower.applied_document("all") == doc(1, b"restored", epoch=2)


def test_a_newer_version_takes_the_place_of_one_under_way() -> None:
    p = Played()
    p.say("a", DocumentHeaders((doc(1, b"0123").header,)))
    p.say("a", BodyChunk(doc(1, b"0123").header.key, 0, b"01"))
    p.say("a", DocumentHeaders((doc(2, b"4567").header,)))
    p.say("a", BodyChunk(doc(1, b"0123").header.key, 2, b"23"))
    assert p.applied == []
    p.say("a", BodyChunk(doc(2, b"4567").header.key, 0, b"4567"))
    assert p.versions() == [2] and p.follower.counts["coalesced"] == 1


@pytest.mark.parametrize("first", [0, 1])
def test_two_answers_are_shown_and_one_rule_chooses_whichever_came_first(first: int) -> None:
    p = Played()
    answers = [doc(3, b"of the east", by="p-east"), doc(3, b"of the west", by="p-west")]
    p.give("a", answers[first])
    p.give("b", answers[1 - first])
    assert p.follower.applied_document("all") == answers[1]
    (conflict,) = p.follower.conflicts()
    assert (conflict.winner, conflict.loser) == (answers[1].header, answers[0].header)
    assert conflict.rule == "writer" and p.follower.counts["conflicts"] == 1


def test_a_refused_version_leaves_the_last_good_one_and_a_new_version_mends_it() -> None:
    p = Played()
    p.give("a", doc(1, b"good"))
    p.why = "no such key: speeed"
    p.give("a", doc(2, b"bad"))
    assert p.follower.applied_document("all") == doc(1, b"good")
    (apply_status,) = p.follower.apply_statuses()
    assert (apply_status.key.version, apply_status.state, apply_status.why) == (
        2,
        ApplyState.REJECTED,
        "no such key: speeed",
    )
    told = [m for _, m in p.seen if isinstance(m, ApplyReport)]
    assert told[-1].apply_statuses == (apply_status,) and told[-1].counter > told[0].counter
    p.why = ""
    p.give("a", doc(3, b"good"))
    assert p.follower.applied_document("all") == doc(3, b"good")


def test_standings_are_told_to_both_servers_on_change_and_whole_to_a_new_one() -> None:
    p = Played()
    p.give("a", doc(1, b"x"))
    p.give("a", doc(1, b"y", scope="service/s1"))
    assert sorted(connection_id for connection_id, m in p.seen if isinstance(m, ApplyReport)) == sorted(
        list(p.connection_ids.values()) * 2
    )
    lost = p.connection_ids["b"]
    p.follower.lost(lost, p.now)
    p._take()
    p.to(p.now + 2_000.0)
    assert p.connection_ids["b"] != lost
    p.follower.connected(p.connection_ids["b"], p.now)
    p.say("b", Hello("b", "relay"))
    (report,) = [
        m
        for connection_id, m in p.seen
        if isinstance(m, ApplyReport) and connection_id == p.connection_ids["b"]
    ]
    assert [s.key.scope for s in report.apply_statuses] == ["all", "service/s1"]


def test_what_was_kept_is_in_force_without_any_server() -> None:
    p = Played(cached_documents=[doc(3, b"kept"), doc(1, b"of another", scope="node/other")])
    assert (
        p.follower.applied_document("all") == doc(3, b"kept")
        and p.follower.applied_document("node/other") is None
    )
    hello = next(m for _, m in p.seen if isinstance(m, Hello))
    assert hello.version_vector == (doc(3, b"kept").header.key,)


def test_differing_digests_bring_the_vector_less_and_less_often() -> None:
    p = Played()
    hellos = len([m for _, m in p.seen if isinstance(m, Hello)])
    times = []
    for _ in range(60):
        p.to(p.now + 2_000.0)
        before = len(p.seen)
        for server in ("a", "b"):
            p.say(server, Heartbeat(1 if server == "a" else 0))
        times += [p.now for connection_id, m in p.seen[before:] if isinstance(m, Hello)]
    assert hellos == 2 and 4 <= len(times) <= 7  # of 60 beats
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert gaps == sorted(gaps)


def test_a_server_that_falls_silent_is_given_up_and_one_that_beats_is_not() -> None:
    p = Played()
    for _ in range(4):
        p.to(p.now + 1_400.0)
        p.say("a", Heartbeat(0))
    assert p.disconnects == [p.connection_ids["b"]]


def test_a_process_that_slept_blames_nobody() -> None:
    p = Played()
    p.now += 15_000.0
    p.follower.tick(p.now)
    p._take()
    assert not p.disconnects and p.follower.counts["slept"] == 1
    p.give("a", doc(1, b"news"))
    assert p.versions() == [1]


def test_a_clock_that_goes_back_by_an_hour_stops_nothing() -> None:
    p = Played()
    p.wait(5_000.0)
    p.now -= 3_600_000.0
    beats = len([m for _, m in p.seen if isinstance(m, Heartbeat)])
    p.wait(10_000.0)
    assert len([m for _, m in p.seen if isinstance(m, Heartbeat)]) >= beats + 8 and not p.disconnects
    p.give("a", doc(1, b"news"))
    assert p.versions() == [1]
    p.to(p.now + 6_000.0)  # and who says nothing is still found out
    assert len(p.disconnects) == 2
    s = Served()
    s.watch(1, "n1")
    s.to(5_000.0)
    s.now -= 3_600_000.0
    s.say(1, Heartbeat(0))  # the first that it is given by the new time
    beats = len([m for m in s.said[1] if isinstance(m, Heartbeat)])
    s.to(s.now + 10_000.0)
    assert len([m for m in s.said[1] if isinstance(m, Heartbeat)]) >= beats + 4
    s.to(s.now + 15_000.0)
    assert s.disconnects == [1]


def test_no_more_is_asked_for_than_the_tokens_allow() -> None:
    tuning = Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0)
    p = Played(tuning)
    body = random.Random(1).randbytes(30_000)
    d = doc(1, body)
    p.say("a", DocumentHeaders((d.header,)))
    began, given = p.now, 0
    while not p.applied:
        for server in ("a", "b"):
            p.say(server, Heartbeat(0))
        asked = p.fetches("a")
        if given < len(asked):
            f = asked[given]
            given += 1
            p.say("a", BodyChunk(f.key, f.offset, body[f.offset : f.offset + f.length]))
        total = sum(f.length for f in asked)
        assert total <= 10_000 + (p.now - began) / 1000.0 * 1_000.0
        p.to(p.now + 500.0)
    assert 18_000.0 < p.now - began < 40_000.0


def test_what_is_asked_for_and_held_back_may_come_at_once_and_is_within_the_tokens_all_the_same() -> None:
    p = Played(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
    d = doc(1, b"x" * 3_000)
    p.say("a", DocumentHeaders((d.header,)))
    p.wait(25_000.0)  # alive, and no body: it is asked for again as far as may be
    asked = p.fetches("a")
    assert len(asked) > 1 and sum(f.length for f in asked) <= 10_000
    for f in asked:
        p.say("a", BodyChunk(f.key, f.offset, d.body[f.offset : f.offset + f.length]))
    assert p.versions() == [1]


def test_a_server_that_holds_back_so_much_that_no_other_can_be_asked_is_left() -> None:
    p = Played(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
    d, first = doc(1, b"x" * 8_000), p.connection_ids["a"]
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.wait(12_000.0)
    assert p.disconnects[0] == first
    while not p.applied and p.now < 60_000.0:
        for f in p.fetches("b"):
            p.say("b", BodyChunk(f.key, f.offset, d.body[f.offset : f.offset + f.length]))
        p.wait(1_000.0)
    assert p.versions() == [1]


# ---------------------------------------------------------------- one hub, followers played by hand


class Served:
    """A hub whose links the test plays."""

    def __init__(self, tuning: Tuning | None = None, accepts_publishes: bool = False) -> None:
        self.now = 0.0
        self.distribution_server = DistributionServer(
            ProcessIdentity("c", "r1", "relay"),
            DocumentTable(tuning),
            accepts_publishes=accepts_publishes,
            now=0.0,
            tuning=tuning,
        )
        self.said: dict[int, list[Message]] = {}
        self.disconnects: list[int] = []

    def watch(
        self, connection_id: int, name: str, *version_vector: Document, all_scopes: bool = False
    ) -> None:
        self.distribution_server.accepted(connection_id, self.now)
        role = "relay" if all_scopes else "node"
        keys = tuple(document.header.key for document in version_vector)
        self.say(connection_id, Hello(name, role, "east", "e1", "s1", all_scopes, connection_id, keys))

    def say(self, connection_id: int, message: Message) -> None:
        self.distribution_server.received(connection_id, encode(message, T), self.now)
        self.take()

    def take(self) -> None:
        out = self.distribution_server.take()
        for connection_id, frame in out.sends:
            self.said.setdefault(connection_id, []).append(decode(frame[FRAME_LENGTH.size :], T))
        self.disconnects += out.disconnects

    def to(self, now: float) -> None:
        while self.distribution_server.next_at() <= now:
            self.now = max(self.now, self.distribution_server.next_at())
            self.distribution_server.tick(self.now)
            self.take()
        self.now = now

    def announce(self, document: Document) -> None:
        self.distribution_server.announce(document, self.now)
        self.take()

    def headers(self, connection_id: int) -> list[int]:
        return [
            h.version
            for m in self.said.get(connection_id, [])
            if isinstance(m, DocumentHeaders)
            for h in m.headers
        ]

    def pieces(self, connection_id: int) -> list[BodyChunk]:
        return [m for m in self.said.get(connection_id, []) if isinstance(m, BodyChunk)]


def test_a_watch_begins_with_what_is_newer_and_goes_on_with_what_is_meant_for_it() -> None:
    s = Served()
    for d in (doc(5), doc(2, scope="region/east"), doc(9, scope="region/west"), doc(4, scope="node/n2")):
        s.announce(d)
    s.watch(1, "n1", doc(5))
    s.watch(2, "n2", doc(4))
    s.watch(3, "r2", all_scopes=True)
    assert s.headers(1) == [2] and sorted(s.headers(2)) == [2, 4, 5] and sorted(s.headers(3)) == [2, 4, 5, 9]
    s.announce(doc(10, scope="region/west"))
    s.announce(doc(6))
    assert s.headers(1) == [2, 6] and s.headers(2)[-1] == 6 and s.headers(3)[-2:] == [10, 6]


def test_a_link_that_takes_nothing_is_told_the_newest_only_once_it_does() -> None:
    s = Served()
    s.watch(1, "n1")
    s.distribution_server.blocked(1, True, s.now)
    for version in range(1, 50):
        s.announce(doc(version))
    s.to(5_000.0)
    assert s.headers(1) == []
    s.distribution_server.blocked(1, False, s.now)
    s.take()
    assert s.headers(1) == [49]


def test_a_link_that_takes_nothing_for_long_is_dropped_and_so_is_a_silent_one() -> None:
    s = Served()
    s.watch(1, "n1")
    s.watch(2, "n2")
    s.distribution_server.blocked(1, True, s.now)
    for _ in range(20):
        s.to(s.now + 1_500.0)
        s.say(1, Heartbeat(0))
    assert s.disconnects == [2, 1] or s.disconnects == [1, 2]
    assert s.distribution_server.followers == 0


def test_bodies_go_out_in_pieces_within_the_bytes_of_the_link_and_of_the_hub() -> None:
    tuning = Tuning(server_bytes_per_s=50_000.0, server_burst_bytes=50_000.0)
    tuning = replace(tuning, connection_bytes_per_s=4_000.0, connection_burst_bytes=30_000.0)
    s = Served(tuning)
    d = doc(1, random.Random(1).randbytes(100_000))
    s.announce(d)
    for connection_id in range(1, 11):
        s.watch(connection_id, f"n{connection_id}")
        s.say(connection_id, FetchRequest(d.header.key, 0, 100_000))
    for _ in range(60):
        sent = sum(len(piece.data) for connection_id in range(1, 11) for piece in s.pieces(connection_id))
        assert sent <= 50_000 + s.now / 1000.0 * 50_000 + tuning.chunk_bytes
        for connection_id in range(1, 11):
            got = sum(len(piece.data) for piece in s.pieces(connection_id))
            assert got <= 30_000 + s.now / 1000.0 * 4_000 + tuning.chunk_bytes
            s.say(connection_id, Heartbeat(0))
        s.to(s.now + 500.0)
    for connection_id in range(1, 11):
        assert b"".join(piece.data for piece in s.pieces(connection_id)) == d.body
        assert all(len(piece.data) <= tuning.chunk_bytes for piece in s.pieces(connection_id))


def test_fetches_beyond_the_queue_are_told_to_come_again() -> None:
    s = Served(
        Tuning(
            server_bytes_per_s=1_000.0, server_burst_bytes=1_000.0, max_queued_fetches=5, concurrent_bodies=2
        )
    )
    d = doc(1, b"x" * 5_000)
    s.announce(d)
    for connection_id in range(1, 31):
        s.watch(connection_id, f"n{connection_id}")
    for connection_id in range(1, 31):
        for _ in range(80):
            s.say(connection_id, FetchRequest(d.header.key, 0, 5_000))
    busy = sum(isinstance(m, BodyUnavailable) and m.why == "busy" for said in s.said.values() for m in said)
    assert busy == s.distribution_server.counts["busy"] >= 30 * (80 - 64)


def test_what_is_held_no_longer_is_told_to_be_gone() -> None:
    s = Served()
    s.announce(doc(1, b"one"))
    s.watch(1, "n1")
    s.announce(doc(2, b"two"))
    s.say(1, FetchRequest(doc(1, b"one").header.key, 0, 3))
    assert s.said[1][-1] == BodyUnavailable(doc(1, b"one").header.key, "gone")


def test_a_hub_takes_so_many_links_and_turns_others_away() -> None:
    s = Served(Tuning(max_connections=3))
    for connection_id in range(1, 5):
        s.watch(connection_id, f"n{connection_id}")
    assert s.disconnects == [4] and s.said[4] == [Goodbye("full")] and s.distribution_server.followers == 3


def test_only_a_publisher_takes_publishes() -> None:
    s = Served()
    s.distribution_server.accepted(1, 0.0)
    s.say(1, PublishRequest(8, "all", b"", "me", ""))
    assert s.said[1] == [PublishRejected(8, "a relay takes no documents; publish to a publisher")]
    s = Served(accepts_publishes=True)
    s.distribution_server.accepted(1, 0.0)
    s.distribution_server.received(1, encode(PublishRequest(8, "all", b"", "me", ""), T), 0.0)
    ((connection_id, request),) = s.distribution_server.take().requests
    s.distribution_server.answer(connection_id, PublishAccepted(request.number, HEADER), 1.0)
    s.take()
    assert s.said[1] == [PublishAccepted(8, HEADER)]


def test_messages_out_of_place_or_damaged_end_a_followers_link() -> None:
    s = Served()
    s.distribution_server.accepted(1, 0.0)
    s.say(1, FetchRequest(KEY, 0, 1))
    s.distribution_server.accepted(2, 0.0)
    s.distribution_server.received(2, encode(Heartbeat(0), cluster_tag("other")), 0.0)
    s.take()
    assert s.disconnects == [1, 2] and s.distribution_server.counts["dropped_cluster"] == 1


def test_status_of_two_hubs_is_put_together_by_counter_and_age() -> None:
    one, two = Served(), Served()
    new, old = doc(2, b"new"), doc(1, b"old")
    one.announce(new)
    two.announce(old)
    for s in (one, two):
        s.watch(1, "n1")
        s.watch(2, "n2")
        s.watch(3, "gone")
    for s, d, counter in ((one, new, 5), (two, old, 4)):
        s.say(1, ApplyReport("n1", 1, counter, (ApplyStatus(d.header.key, ApplyState.APPLIED),)))
    two.say(2, ApplyReport("n2", 2, 1, (ApplyStatus(new.header.key, ApplyState.REJECTED, "no"),)))
    two.say(2, ApplyReport("n2", 2, 0, (ApplyStatus(old.header.key, ApplyState.APPLIED),)))  # an older report
    two.say(2, ApplyReport("n1", 1, 9, ()))  # it speaks for another
    for s in (one, two):
        s.distribution_server.lost(3, 10.0)
    for statuses in (
        [one.distribution_server.status(20.0), two.distribution_server.status(20.0)],
        [two.distribution_server.status(20.0), one.distribution_server.status(20.0)],
    ):
        found = merge_statuses(statuses)
        assert found["heads"]["all"]["version"] == 2
        n1, n2, gone = (found["followers"][name] for name in ("n1", "n2", "gone"))
        assert n1["lags"] == [] and n1["standings"][0]["version"] == 2
        assert n2["refused"] == {"all": "no"} and n2["lags"] == []
        assert gone["lags"] == ["all"] and not gone["linked"]
    # It is also what goes over the wire.
    one.distribution_server.accepted(9, 20.0)
    one.say(9, StatusRequest(4))
    answer = one.said[9][0]
    assert (
        isinstance(answer, StatusResponse)
        and merge_statuses([answer.value])["followers"]["n1"]["counter"] == 5
    )


def test_a_table_is_bounded_and_only_moves_on() -> None:
    table = DocumentTable(Tuning(max_documents=2, max_table_bytes=100))
    assert table.put(doc(2, b"x" * 40)) and not table.put(doc(1, b"y")) and not table.put(doc(2, b"x" * 40))
    with pytest.raises(FeedError, match="not the one"):
        table.put(replace(doc(3, b"x"), body=b"y"))
    with pytest.raises(FeedError, match="full"):
        table.put(doc(1, b"x" * 61, scope="region/east"))
    assert table.put(doc(1, b"x" * 60, scope="region/east")) and table.bytes == 100
    with pytest.raises(FeedError, match="full"):
        table.put(doc(1, b"", scope="region/west"))
    assert table.put(doc(3, b"")) and table.bytes == 60
    other = DocumentTable()
    for d in (doc(1, b"x" * 60, scope="region/east"), doc(3, b"")):
        other.put(d)
    all_scopes = Subscription(all_scopes=True)
    assert table.digest(all_scopes) == other.digest(all_scopes) != 0
    assert table.digest(Subscription("west")) == DocumentTable().digest(Subscription()) ^ other.digest(
        Subscription("west")
    )


def test_a_hub_that_slept_drops_nobody_for_it() -> None:
    s = Served()
    s.watch(1, "n1")
    s.now += 60_000.0
    s.distribution_server.tick(s.now)
    s.to(s.now + 5_000.0)
    assert s.disconnects == [] and s.distribution_server.counts["slept"] == 1
    s.to(s.now + 20_000.0)
    assert s.disconnects == [1]
