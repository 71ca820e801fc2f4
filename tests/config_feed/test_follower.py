"""The follower, with servers whose messages the tests send."""

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
from tests.config_feed.harness import CLUSTER_TAG, FollowerHarness, ServerHarness, doc


def test_body_is_fetched_once_and_from_the_nearest_server() -> None:
    harness = FollowerHarness()
    assert list(harness.connection_ids) == ["a", "b"]
    document = doc(1, b"body")
    harness.send("b", DocumentHeaders((document.header,)))
    assert not harness.fetches("b")  # the nearest server has time to offer the document, too
    harness.send("a", DocumentHeaders((document.header,)))
    assert [f.length for f in harness.fetches("a")] == [4] and not harness.fetches("b")
    harness.send("a", BodyChunk(document.header.key, 0, b"body"))
    assert harness.applied == [document] and harness.follower.applied_document("all") == document
    harness.advance(10_000.0)
    assert not harness.fetches("b") and len(harness.fetches("a")) == 1


def test_stalled_fetch_continues_on_another_server_at_the_same_offset() -> None:
    harness = FollowerHarness()
    document = doc(1, b"0123456789")
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((document.header,)))
    harness.send("a", BodyChunk(document.header.key, 0, b"0123"))
    harness.advance_to(harness.now + 990.0)
    assert not harness.fetches("b")
    harness.advance_to(harness.now + 20.0)
    assert [(f.offset, f.length) for f in harness.fetches("b")] == [(4, 6)]
    harness.send("b", BodyChunk(document.header.key, 4, b"456789"))
    assert harness.applied == [document] and harness.follower.counts["taken_over"] == 1
    # The stalled server is asked last for a while.
    next_document = doc(2, b"abc")
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((next_document.header,)))
    assert len(harness.fetches("a")) == 1 and len(harness.fetches("b")) == 2


def test_fetch_continues_on_another_server_when_the_connection_is_lost() -> None:
    harness = FollowerHarness()
    document = doc(1, b"0123456789")
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((document.header,)))
    harness.send("a", BodyChunk(document.header.key, 0, b"01"))
    harness.follower.lost(harness.connection_ids["a"], harness.now)
    harness._take_output()
    assert [(f.offset, f.length) for f in harness.fetches("b")] == [(2, 8)]


def test_body_with_wrong_digest_is_not_applied_and_is_fetched_from_another_server() -> None:
    harness = FollowerHarness()
    document = doc(1, b"0123456789")
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((document.header,)))
    harness.send("a", BodyChunk(document.header.key, 0, b"0123456780"))
    assert harness.applied == [] and harness.follower.counts["dropped_digest"] == 1
    assert len(harness.fetches("a")) == 1
    harness.advance_to(harness.now + 1_100.0)
    assert [(f.offset, f.length) for f in harness.fetches("b")] == [(0, 10)]
    harness.send("b", BodyChunk(document.header.key, 0, document.body))
    assert harness.applied == [document]


def test_inconsistent_chunks_of_two_servers_restart_the_fetch_from_one_server() -> None:
    harness = FollowerHarness()
    document = doc(1, b"0123456789")
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((document.header,)))
    harness.send("a", BodyChunk(document.header.key, 0, b"xx"))  # wrong data in a frame with a valid checksum
    harness.advance_to(harness.now + 1_001.0)
    harness.send("b", BodyChunk(document.header.key, 2, b"23456789"))
    assert harness.applied == [] and harness.follower.counts["dropped_digest"] == 1
    harness.advance(5_000.0)
    request = harness.fetches("b")[-1]
    assert (request.offset, request.length) == (0, 10)
    harness.send("b", BodyChunk(document.header.key, 0, document.body))
    assert harness.applied == [document]


def test_header_without_a_matching_body_does_not_block_another_document() -> None:
    harness = FollowerHarness()
    false_header = DocumentHeader("all", 1, 99, b"\x01" * 32, 4, "x", "", "p-east")
    harness.send("a", DocumentHeaders((false_header,)))
    harness.send("b", DocumentHeaders((doc(6, b"good").header,)))
    harness.send("a", BodyChunk(false_header.key, 0, b"evil"))
    harness.advance_to(harness.now + 1_500.0)
    harness.send("b", BodyChunk(doc(6, b"good").header.key, 0, b"good"))
    assert harness.applied_versions() == [6]


def test_damaged_frames_are_skipped_and_too_many_close_the_connection() -> None:
    harness = FollowerHarness()
    good = encode(DocumentHeaders((doc().header,)), CLUSTER_TAG)
    bad = good[:-3] + bytes([good[-3] ^ 16]) + good[-2:]
    for _ in range(2):
        harness.send("a", bad)
    assert harness.follower.counts["dropped_checksum"] == 2 and not harness.disconnects
    harness.send("a", good)
    assert harness.fetches("a")
    harness.send("a", bad)
    assert harness.disconnects == [harness.connection_ids["a"]]


def test_server_of_another_cluster_is_disconnected() -> None:
    harness = FollowerHarness()
    harness.send("a", encode(DocumentHeaders((doc().header,)), cluster_tag("elsewhere")))
    assert (
        harness.disconnects == [harness.connection_ids["a"]]
        and harness.follower.counts["dropped_cluster"] == 1
    )
    assert not harness.fetches("a")


def test_too_large_document_is_not_fetched() -> None:
    harness = FollowerHarness(Tuning(max_document_bytes=1_000))
    harness.send("a", DocumentHeaders((doc(1, b"x" * 1_001).header,)))
    harness.advance(5_000.0)
    assert not harness.fetches("a") and harness.follower.counts["dropped_too_large"] == 1
    harness.deliver("a", doc(2, b"x" * 1_000))
    assert harness.applied_versions() == [2]


def test_older_and_repeated_documents_are_ignored() -> None:
    harness = FollowerHarness()
    old, new = doc(4, b"old"), doc(5, b"new")
    harness.deliver("a", new)
    fetch_count = len(harness.fetches("a"))
    for replay in (
        DocumentHeaders((old.header,)),
        BodyChunk(old.header.key, 0, b"old"),
        DocumentHeaders((new.header,)),
    ):
        harness.send("a", replay)
    harness.send("b", BodyChunk(new.header.key, 0, b"new"))
    harness.advance_to(harness.now + 3_000.0)
    assert (
        harness.applied_versions() == [5]
        and len(harness.fetches("a")) == fetch_count
        and not harness.fetches("b")
    )
    counts = harness.follower.counts
    assert counts["dropped_older"] == 1 and counts["known"] == 1 and counts["dropped_unasked"] == 2
    # A publisher restored from a backup begins a new epoch, which is newer than any version before.
    harness.deliver("a", doc(1, b"restored", epoch=2))
    assert harness.follower.applied_document("all") == doc(1, b"restored", epoch=2)


def test_newer_version_replaces_a_fetch_in_progress() -> None:
    harness = FollowerHarness()
    harness.send("a", DocumentHeaders((doc(1, b"0123").header,)))
    harness.send("a", BodyChunk(doc(1, b"0123").header.key, 0, b"01"))
    harness.send("a", DocumentHeaders((doc(2, b"4567").header,)))
    harness.send("a", BodyChunk(doc(1, b"0123").header.key, 2, b"23"))
    assert harness.applied == []
    harness.send("a", BodyChunk(doc(2, b"4567").header.key, 0, b"4567"))
    assert harness.applied_versions() == [2] and harness.follower.counts["coalesced"] == 1


@pytest.mark.parametrize("first", [0, 1])
def test_conflict_is_recorded_and_resolved_independently_of_order(first: int) -> None:
    harness = FollowerHarness()
    documents = [doc(3, b"of the east", writer="p-east"), doc(3, b"of the west", writer="p-west")]
    harness.deliver("a", documents[first])
    harness.deliver("b", documents[1 - first])
    assert harness.follower.applied_document("all") == documents[1]
    (conflict,) = harness.follower.table.conflicts
    assert (conflict.winner, conflict.loser) == (documents[1].header, documents[0].header)
    assert conflict.rule == "writer" and harness.follower.counts["conflicts"] == 1


def test_a_rejected_version_leaves_the_last_good_one_applied_until_a_new_version() -> None:
    harness = FollowerHarness()
    harness.deliver("a", doc(1, b"good"))
    harness.rejection = "no such key: speeed"
    harness.deliver("a", doc(2, b"bad"))
    assert harness.follower.applied_document("all") == doc(1, b"good")
    (apply_status,) = harness.follower.apply_statuses()
    assert (apply_status.key.version, apply_status.state, apply_status.why) == (
        2,
        ApplyState.REJECTED,
        "no such key: speeed",
    )
    reports = [m for _, m in harness.sent if isinstance(m, ApplyReport)]
    assert reports[-1].apply_statuses == (apply_status,) and reports[-1].counter > reports[0].counter
    harness.rejection = ""
    harness.deliver("a", doc(3, b"good"))
    assert harness.follower.applied_document("all") == doc(3, b"good")


def test_apply_statuses_are_sent_to_all_servers_on_change_and_to_new_connections() -> None:
    harness = FollowerHarness()
    harness.deliver("a", doc(1, b"x"))
    harness.deliver("a", doc(1, b"y", scope="service/s1"))
    assert sorted(connection_id for connection_id, m in harness.sent if isinstance(m, ApplyReport)) == sorted(
        list(harness.connection_ids.values()) * 2
    )
    lost = harness.connection_ids["b"]
    harness.follower.lost(lost, harness.now)
    harness._take_output()
    harness.advance_to(harness.now + 2_000.0)
    assert harness.connection_ids["b"] != lost
    harness.follower.connected(harness.connection_ids["b"], harness.now)
    harness.send("b", Hello("b", "relay"))
    (report,) = [
        m
        for connection_id, m in harness.sent
        if isinstance(m, ApplyReport) and connection_id == harness.connection_ids["b"]
    ]
    assert [s.key.scope for s in report.apply_statuses] == ["all", "service/s1"]


def test_cached_documents_are_applied_without_any_server() -> None:
    harness = FollowerHarness(cached_documents=[doc(3, b"kept"), doc(1, b"of another", scope="node/other")])
    assert (
        harness.follower.applied_document("all") == doc(3, b"kept")
        and harness.follower.applied_document("node/other") is None
    )
    hello = next(m for _, m in harness.sent if isinstance(m, Hello))
    assert hello.version_vector == (doc(3, b"kept").header.key,)


def test_version_vector_is_sent_at_increasing_intervals_while_digests_differ() -> None:
    harness = FollowerHarness()
    hellos = len([m for _, m in harness.sent if isinstance(m, Hello)])
    times = []
    for _ in range(60):
        harness.advance_to(harness.now + 2_000.0)
        before = len(harness.sent)
        for server in ("a", "b"):
            harness.send(server, Heartbeat(1 if server == "a" else 0))
        times += [harness.now for connection_id, m in harness.sent[before:] if isinstance(m, Hello)]
    # The server sent 60 heartbeats with a differing digest.
    assert hellos == 2 and 4 <= len(times) <= 7
    gaps = [after - before for before, after in pairwise(times)]
    assert gaps == sorted(gaps)


def test_unresponsive_server_is_disconnected_and_one_with_heartbeats_is_not() -> None:
    harness = FollowerHarness()
    for _ in range(4):
        harness.advance_to(harness.now + 1_400.0)
        harness.send("a", Heartbeat(0))
    assert harness.disconnects == [harness.connection_ids["b"]]


def test_a_follower_that_was_suspended_disconnects_no_server() -> None:
    harness = FollowerHarness()
    harness.now += 15_000.0
    harness.follower.tick(harness.now)
    harness._take_output()
    assert not harness.disconnects and harness.follower.counts["slept"] == 1
    harness.deliver("a", doc(1, b"news"))
    assert harness.applied_versions() == [1]


def test_clock_set_back_by_an_hour_interrupts_neither_follower_nor_server() -> None:
    harness = FollowerHarness()
    harness.advance(5_000.0)
    harness.now -= 3_600_000.0
    heartbeats = len([m for _, m in harness.sent if isinstance(m, Heartbeat)])
    harness.advance(10_000.0)
    assert (
        len([m for _, m in harness.sent if isinstance(m, Heartbeat)]) >= heartbeats + 8
        and not harness.disconnects
    )
    harness.deliver("a", doc(1, b"news"))
    assert harness.applied_versions() == [1]
    # Unresponsive servers are still detected.
    harness.advance_to(harness.now + 6_000.0)
    assert len(harness.disconnects) == 2
    server_harness = ServerHarness()
    server_harness.connect(1, "n1")
    server_harness.advance_to(5_000.0)
    server_harness.now -= 3_600_000.0
    server_harness.send(1, Heartbeat(0))  # the first call with the new time
    heartbeats = len([m for m in server_harness.sent[1] if isinstance(m, Heartbeat)])
    server_harness.advance_to(server_harness.now + 10_000.0)
    assert len([m for m in server_harness.sent[1] if isinstance(m, Heartbeat)]) >= heartbeats + 4
    server_harness.advance_to(server_harness.now + 15_000.0)
    assert server_harness.disconnects == [1]


def test_requested_bytes_stay_within_the_token_bucket() -> None:
    tuning = Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0)
    harness = FollowerHarness(tuning)
    body = random.Random(1).randbytes(30_000)
    document = doc(1, body)
    harness.send("a", DocumentHeaders((document.header,)))
    started_at, answered = harness.now, 0
    while not harness.applied:
        for server in ("a", "b"):
            harness.send(server, Heartbeat(0))
        requests = harness.fetches("a")
        if answered < len(requests):
            request = requests[answered]
            answered += 1
            harness.send(
                "a",
                BodyChunk(
                    request.key, request.offset, body[request.offset : request.offset + request.length]
                ),
            )
        total = sum(request.length for request in requests)
        assert total <= 10_000 + (harness.now - started_at) / 1000.0 * 1_000.0
        harness.advance_to(harness.now + 500.0)
    assert 18_000.0 < harness.now - started_at < 40_000.0


def test_repeated_requests_for_late_bytes_stay_within_the_token_bucket() -> None:
    harness = FollowerHarness(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
    document = doc(1, b"x" * 3_000)
    harness.send("a", DocumentHeaders((document.header,)))
    # No bytes of the body arrive, so it is requested again as far as the tokens allow.
    harness.advance(25_000.0)
    requests = harness.fetches("a")
    assert len(requests) > 1 and sum(request.length for request in requests) <= 10_000
    for request in requests:
        harness.send(
            "a",
            BodyChunk(
                request.key, request.offset, document.body[request.offset : request.offset + request.length]
            ),
        )
    assert harness.applied_versions() == [1]


def test_stalled_server_whose_outstanding_bytes_exhaust_the_tokens_is_disconnected() -> None:
    harness = FollowerHarness(Tuning(bytes_per_s=1_000.0, burst_bytes=10_000.0))
    document, first = doc(1, b"x" * 8_000), harness.connection_ids["a"]
    for server in ("a", "b"):
        harness.send(server, DocumentHeaders((document.header,)))
    harness.advance(12_000.0)
    assert harness.disconnects[0] == first
    while not harness.applied and harness.now < 60_000.0:
        for request in harness.fetches("b"):
            harness.send(
                "b",
                BodyChunk(
                    request.key,
                    request.offset,
                    document.body[request.offset : request.offset + request.length],
                ),
            )
        harness.advance(1_000.0)
    assert harness.applied_versions() == [1]
