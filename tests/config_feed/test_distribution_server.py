"""A distribution server whose followers the test plays."""

from __future__ import annotations

import random
from dataclasses import replace

from crowpost.config_feed.frames import cluster_tag, encode
from crowpost.config_feed.messages import (
    BodyUnavailable,
    FetchRequest,
    Goodbye,
    Heartbeat,
    PublishAccepted,
    PublishRejected,
    PublishRequest,
)
from crowpost.config_feed.tuning import Tuning
from tests.config_feed.harness import CLUSTER_TAG, HEADER, KEY, PlayedServer, doc


def test_a_watch_begins_with_what_is_newer_and_goes_on_with_what_is_meant_for_it() -> None:
    s = PlayedServer()
    for d in (doc(5), doc(2, scope="region/east"), doc(9, scope="region/west"), doc(4, scope="node/n2")):
        s.announce(d)
    s.watch(1, "n1", doc(5))
    s.watch(2, "n2", doc(4))
    s.watch(3, "r2", all_scopes=True)
    assert s.headers(1) == [2] and sorted(s.headers(2)) == [2, 4, 5] and sorted(s.headers(3)) == [2, 4, 5, 9]
    s.announce(doc(10, scope="region/west"))
    s.announce(doc(6))
    assert s.headers(1) == [2, 6] and s.headers(2)[-1] == 6 and s.headers(3)[-2:] == [10, 6]


def test_a_blocked_connection_gets_only_the_newest_header_once_it_is_writable() -> None:
    s = PlayedServer()
    s.watch(1, "n1")
    s.distribution_server.blocked(1, True, s.now)
    for version in range(1, 50):
        s.announce(doc(version))
    s.to(5_000.0)
    assert s.headers(1) == []
    s.distribution_server.blocked(1, False, s.now)
    s.take()
    assert s.headers(1) == [49]


def test_a_connection_blocked_for_long_is_closed_and_so_is_a_silent_one() -> None:
    s = PlayedServer()
    s.watch(1, "n1")
    s.watch(2, "n2")
    s.distribution_server.blocked(1, True, s.now)
    for _ in range(20):
        s.to(s.now + 1_500.0)
        s.say(1, Heartbeat(0))
    assert s.disconnects == [2, 1] or s.disconnects == [1, 2]
    assert s.distribution_server.followers == 0


def test_bodies_are_sent_in_chunks_within_the_limits_of_the_connection_and_of_the_server() -> None:
    tuning = Tuning(server_bytes_per_s=50_000.0, server_burst_bytes=50_000.0)
    tuning = replace(tuning, connection_bytes_per_s=4_000.0, connection_burst_bytes=30_000.0)
    s = PlayedServer(tuning)
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


def test_fetches_beyond_the_queue_are_answered_as_busy() -> None:
    s = PlayedServer(
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


def test_a_fetch_of_a_replaced_document_is_answered_as_gone() -> None:
    s = PlayedServer()
    s.announce(doc(1, b"one"))
    s.watch(1, "n1")
    s.announce(doc(2, b"two"))
    s.say(1, FetchRequest(doc(1, b"one").header.key, 0, 3))
    assert s.said[1][-1] == BodyUnavailable(doc(1, b"one").header.key, "gone")


def test_connections_beyond_the_limit_are_rejected() -> None:
    s = PlayedServer(Tuning(max_connections=3))
    for connection_id in range(1, 5):
        s.watch(connection_id, f"n{connection_id}")
    assert s.disconnects == [4] and s.said[4] == [Goodbye("full")] and s.distribution_server.followers == 3


def test_only_a_publisher_accepts_publish_requests() -> None:
    s = PlayedServer()
    s.distribution_server.accepted(1, 0.0)
    s.say(1, PublishRequest(8, "all", b"", "me", ""))
    assert s.said[1] == [PublishRejected(8, "a relay accepts no documents; publish to a publisher")]
    s = PlayedServer(accepts_publishes=True)
    s.distribution_server.accepted(1, 0.0)
    s.distribution_server.received(1, encode(PublishRequest(8, "all", b"", "me", ""), CLUSTER_TAG), 0.0)
    ((connection_id, request),) = s.distribution_server.take().requests
    s.distribution_server.answer(connection_id, PublishAccepted(request.number, HEADER), 1.0)
    s.take()
    assert s.said[1] == [PublishAccepted(8, HEADER)]


def test_messages_out_of_place_or_damaged_close_a_followers_connection() -> None:
    s = PlayedServer()
    s.distribution_server.accepted(1, 0.0)
    s.say(1, FetchRequest(KEY, 0, 1))
    s.distribution_server.accepted(2, 0.0)
    s.distribution_server.received(2, encode(Heartbeat(0), cluster_tag("other")), 0.0)
    s.take()
    assert s.disconnects == [1, 2] and s.distribution_server.counts["dropped_cluster"] == 1


def test_a_server_that_was_suspended_disconnects_no_follower() -> None:
    s = PlayedServer()
    s.watch(1, "n1")
    s.now += 60_000.0
    s.distribution_server.tick(s.now)
    s.to(s.now + 5_000.0)
    assert s.disconnects == [] and s.distribution_server.counts["slept"] == 1
    s.to(s.now + 20_000.0)
    assert s.disconnects == [1]
