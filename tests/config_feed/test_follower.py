"""A follower whose servers the test plays."""

from __future__ import annotations

import random
from itertools import pairwise

import pytest

from crowpost.config_feed.apply_status import ApplyState
from crowpost.config_feed.documents import DocumentHeader
from crowpost.config_feed.frames import cluster_tag, encode
from crowpost.config_feed.messages import (
    ApplyReport,
    BodyChunk,
    DocumentHeaders,
    Heartbeat,
    Hello,
)
from crowpost.config_feed.tuning import Tuning
from tests.config_feed.harness import CLUSTER_TAG, PlayedFollower, PlayedServer, doc


def test_headers_come_from_both_servers_and_the_body_once_from_the_nearer() -> None:
    p = PlayedFollower()
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
    p = PlayedFollower()
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
    p = PlayedFollower()
    d = doc(1, b"0123456789")
    for server in ("a", "b"):
        p.say(server, DocumentHeaders((d.header,)))
    p.say("a", BodyChunk(d.header.key, 0, b"01"))
    p.follower.lost(p.connection_ids["a"], p.now)
    p._take()
    assert [(f.offset, f.length) for f in p.fetches("b")] == [(2, 8)]


def test_a_body_that_does_not_match_its_header_is_never_applied_and_fetched_elsewhere() -> None:
    p = PlayedFollower()
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


def test_chunks_of_two_servers_that_do_not_fit_are_followed_by_a_body_from_one() -> None:
    p = PlayedFollower()
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


def test_a_header_whose_body_no_server_has_does_not_stop_an_honest_one() -> None:
    p = PlayedFollower()
    lie = DocumentHeader("all", 1, 99, b"\x01" * 32, 4, "x", "", "p-east")
    p.say("a", DocumentHeaders((lie,)))
    p.say("b", DocumentHeaders((doc(6, b"good").header,)))
    p.say("a", BodyChunk(lie.key, 0, b"evil"))
    p.to(p.now + 1_500.0)
    p.say("b", BodyChunk(doc(6, b"good").header.key, 0, b"good"))
    assert p.versions() == [6]


def test_damaged_frames_are_skipped_and_too_many_close_the_connection() -> None:
    p = PlayedFollower()
    good = encode(DocumentHeaders((doc().header,)), CLUSTER_TAG)
    bad = good[:-3] + bytes([good[-3] ^ 16]) + good[-2:]
    for _ in range(2):
        p.say("a", bad)
    assert p.follower.counts["dropped_checksum"] == 2 and not p.disconnects
    p.say("a", good)
    assert p.fetches("a")
    p.say("a", bad)
    assert p.disconnects == [p.connection_ids["a"]]


def test_another_clusters_server_is_left_at_once() -> None:
    p = PlayedFollower()
    p.say("a", encode(DocumentHeaders((doc().header,)), cluster_tag("elsewhere")))
    assert p.disconnects == [p.connection_ids["a"]] and p.follower.counts["dropped_cluster"] == 1
    assert not p.fetches("a")


def test_a_document_that_is_too_large_is_not_asked_for() -> None:
    p = PlayedFollower(Tuning(max_document_bytes=1_000))
    p.say("a", DocumentHeaders((doc(1, b"x" * 1_001).header,)))
    p.wait(5_000.0)
    assert not p.fetches("a") and p.follower.counts["dropped_too_large"] == 1
    p.give("a", doc(2, b"x" * 1_000))
    assert p.versions() == [2]


def test_older_and_repeated_documents_change_nothing() -> None:
    p = PlayedFollower()
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
    p = PlayedFollower()
    p.say("a", DocumentHeaders((doc(1, b"0123").header,)))
    p.say("a", BodyChunk(doc(1, b"0123").header.key, 0, b"01"))
    p.say("a", DocumentHeaders((doc(2, b"4567").header,)))
    p.say("a", BodyChunk(doc(1, b"0123").header.key, 2, b"23"))
    assert p.applied == []
    p.say("a", BodyChunk(doc(2, b"4567").header.key, 0, b"4567"))
    assert p.versions() == [2] and p.follower.counts["coalesced"] == 1


@pytest.mark.parametrize("first", [0, 1])
def test_conflicts_are_recorded_and_resolved_alike_in_either_order(first: int) -> None:
    p = PlayedFollower()
    answers = [doc(3, b"of the east", by="p-east"), doc(3, b"of the west", by="p-west")]
    p.give("a", answers[first])
    p.give("b", answers[1 - first])
    assert p.follower.applied_document("all") == answers[1]
    (conflict,) = p.follower.table.conflicts
    assert (conflict.winner, conflict.loser) == (answers[1].header, answers[0].header)
    assert conflict.rule == "writer" and p.follower.counts["conflicts"] == 1


def test_a_rejected_version_leaves_the_last_good_one_applied_until_a_new_version() -> None:
    p = PlayedFollower()
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


def test_apply_statuses_go_to_both_servers_on_change_and_all_of_them_to_a_new_one() -> None:
    p = PlayedFollower()
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


def test_cached_documents_are_applied_without_any_server() -> None:
    p = PlayedFollower(cached_documents=[doc(3, b"kept"), doc(1, b"of another", scope="node/other")])
    assert (
        p.follower.applied_document("all") == doc(3, b"kept")
        and p.follower.applied_document("node/other") is None
    )
    hello = next(m for _, m in p.seen if isinstance(m, Hello))
    assert hello.version_vector == (doc(3, b"kept").header.key,)


def test_differing_digests_send_the_version_vector_less_and_less_often() -> None:
    p = PlayedFollower()
    hellos = len([m for _, m in p.seen if isinstance(m, Hello)])
    times = []
    for _ in range(60):
        p.to(p.now + 2_000.0)
        before = len(p.seen)
        for server in ("a", "b"):
            p.say(server, Heartbeat(1 if server == "a" else 0))
        times += [p.now for connection_id, m in p.seen[before:] if isinstance(m, Hello)]
    assert hellos == 2 and 4 <= len(times) <= 7  # of 60 beats
    gaps = [after - before for before, after in pairwise(times)]
    assert gaps == sorted(gaps)


def test_a_silent_server_is_disconnected_and_one_with_heartbeats_is_not() -> None:
    p = PlayedFollower()
    for _ in range(4):
        p.to(p.now + 1_400.0)
        p.say("a", Heartbeat(0))
    assert p.disconnects == [p.connection_ids["b"]]


def test_a_follower_that_was_suspended_disconnects_no_server() -> None:
    p = PlayedFollower()
    p.now += 15_000.0
    p.follower.tick(p.now)
    p._take()
    assert not p.disconnects and p.follower.counts["slept"] == 1
    p.give("a", doc(1, b"news"))
    assert p.versions() == [1]


def test_a_clock_that_goes_back_by_an_hour_stops_nothing() -> None:
    p = PlayedFollower()
    p.wait(5_000.0)
    p.now -= 3_600_000.0
    beats = len([m for _, m in p.seen if isinstance(m, Heartbeat)])
    p.wait(10_000.0)
    assert len([m for _, m in p.seen if isinstance(m, Heartbeat)]) >= beats + 8 and not p.disconnects
    p.give("a", doc(1, b"news"))
    assert p.versions() == [1]
    p.to(p.now + 6_000.0)  # and who says nothing is still found out
    assert len(p.disconnects) == 2
    s = PlayedServer()
    s.watch(1, "n1")
    s.to(5_000.0)
    s.now -= 3_600_000.0
    s.say(1, Heartbeat(0))  # the first that it is given by the new time
    beats = len([m for m in s.said[1] if isinstance(m, Heartbeat)])
    s.to(s.now + 10_000.0)
    assert len([m for m in s.said[1] if isinstance(m, Heartbeat)]) >= beats + 4
    s.to(s.now + 15_000.0)
    assert s.disconnects == [1]


def test_no_more_is_requested_than_the_tokens_allow() -> None:
    tuning = Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0)
    p = PlayedFollower(tuning)
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


def test_requested_bytes_that_arrive_late_and_at_once_stay_within_the_tokens() -> None:
    p = PlayedFollower(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
    d = doc(1, b"x" * 3_000)
    p.say("a", DocumentHeaders((d.header,)))
    p.wait(25_000.0)  # alive, and no body: it is asked for again as far as may be
    asked = p.fetches("a")
    assert len(asked) > 1 and sum(f.length for f in asked) <= 10_000
    for f in asked:
        p.say("a", BodyChunk(f.key, f.offset, d.body[f.offset : f.offset + f.length]))
    assert p.versions() == [1]


def test_a_server_whose_outstanding_bytes_leave_no_tokens_for_another_is_disconnected() -> None:
    p = PlayedFollower(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
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
