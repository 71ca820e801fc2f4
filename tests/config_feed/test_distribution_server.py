"""The distribution server, with followers whose messages the tests send."""

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
from tests.config_feed.harness import CLUSTER_TAG, HEADER, KEY, ServerHarness, doc


def test_follower_receives_newer_headers_on_connect_and_later_ones_of_its_scopes() -> None:
    harness = ServerHarness()
    for document in (
        doc(5),
        doc(2, scope="region/east"),
        doc(9, scope="region/west"),
        doc(4, scope="node/n2"),
    ):
        harness.announce(document)
    harness.connect(1, "n1", doc(5))
    harness.connect(2, "n2", doc(4))
    harness.connect(3, "r2", all_scopes=True)
    assert (
        harness.header_versions(1) == [2]
        and sorted(harness.header_versions(2)) == [2, 4, 5]
        and sorted(harness.header_versions(3)) == [2, 4, 5, 9]
    )
    harness.announce(doc(10, scope="region/west"))
    harness.announce(doc(6))
    assert (
        harness.header_versions(1) == [2, 6]
        and harness.header_versions(2)[-1] == 6
        and harness.header_versions(3)[-2:] == [10, 6]
    )


def test_a_blocked_connection_gets_only_the_newest_header_once_it_is_writable() -> None:
    harness = ServerHarness()
    harness.connect(1, "n1")
    harness.distribution_server.blocked(1, True, harness.now)
    for version in range(1, 50):
        harness.announce(doc(version))
    harness.advance_to(5_000.0)
    assert harness.header_versions(1) == []
    harness.distribution_server.blocked(1, False, harness.now)
    harness.take_output()
    assert harness.header_versions(1) == [49]


def test_blocked_and_unresponsive_connections_are_closed_after_a_timeout() -> None:
    harness = ServerHarness()
    harness.connect(1, "n1")
    harness.connect(2, "n2")
    harness.distribution_server.blocked(1, True, harness.now)
    for _ in range(20):
        harness.advance_to(harness.now + 1_500.0)
        harness.send(1, Heartbeat(0))
    assert harness.disconnects == [2, 1] or harness.disconnects == [1, 2]
    assert harness.distribution_server.followers == 0


def test_bodies_are_sent_in_chunks_within_the_limits_of_the_connection_and_of_the_server() -> None:
    tuning = Tuning(server_bytes_per_s=50_000.0, server_burst_bytes=50_000.0)
    tuning = replace(tuning, connection_bytes_per_s=4_000.0, connection_burst_bytes=30_000.0)
    harness = ServerHarness(tuning)
    document = doc(1, random.Random(1).randbytes(100_000))
    harness.announce(document)
    for connection_id in range(1, 11):
        harness.connect(connection_id, f"n{connection_id}")
        harness.send(connection_id, FetchRequest(document.header.key, 0, 100_000))
    for _ in range(60):
        sent = sum(
            len(chunk.data) for connection_id in range(1, 11) for chunk in harness.chunks(connection_id)
        )
        assert sent <= 50_000 + harness.now / 1000.0 * 50_000 + tuning.chunk_bytes
        for connection_id in range(1, 11):
            received = sum(len(chunk.data) for chunk in harness.chunks(connection_id))
            assert received <= 30_000 + harness.now / 1000.0 * 4_000 + tuning.chunk_bytes
            harness.send(connection_id, Heartbeat(0))
        harness.advance_to(harness.now + 500.0)
    for connection_id in range(1, 11):
        assert b"".join(chunk.data for chunk in harness.chunks(connection_id)) == document.body
        assert all(len(chunk.data) <= tuning.chunk_bytes for chunk in harness.chunks(connection_id))


def test_fetches_beyond_the_queue_are_answered_as_busy() -> None:
    harness = ServerHarness(
        Tuning(
            server_bytes_per_s=1_000.0, server_burst_bytes=1_000.0, max_queued_fetches=5, concurrent_bodies=2
        )
    )
    document = doc(1, b"x" * 5_000)
    harness.announce(document)
    for connection_id in range(1, 31):
        harness.connect(connection_id, f"n{connection_id}")
    for connection_id in range(1, 31):
        for _ in range(80):
            harness.send(connection_id, FetchRequest(document.header.key, 0, 5_000))
    busy = sum(
        isinstance(m, BodyUnavailable) and m.why == "busy"
        for messages in harness.sent.values()
        for m in messages
    )
    assert busy == harness.distribution_server.counts["busy"] >= 30 * (80 - 64)


def test_a_fetch_of_a_replaced_document_is_answered_as_gone() -> None:
    harness = ServerHarness()
    harness.announce(doc(1, b"one"))
    harness.connect(1, "n1")
    harness.announce(doc(2, b"two"))
    harness.send(1, FetchRequest(doc(1, b"one").header.key, 0, 3))
    assert harness.sent[1][-1] == BodyUnavailable(doc(1, b"one").header.key, "gone")


def test_connections_beyond_the_limit_are_rejected() -> None:
    harness = ServerHarness(Tuning(max_connections=3))
    for connection_id in range(1, 5):
        harness.connect(connection_id, f"n{connection_id}")
    assert (
        harness.disconnects == [4]
        and harness.sent[4] == [Goodbye("full")]
        and harness.distribution_server.followers == 3
    )


def test_only_a_publisher_accepts_publish_requests() -> None:
    harness = ServerHarness()
    harness.distribution_server.accepted(1, 0.0)
    harness.send(1, PublishRequest(8, "all", b"", "me", ""))
    assert harness.sent[1] == [PublishRejected(8, "a relay takes no documents; publish to a publisher")]
    harness = ServerHarness(accepts_publishes=True)
    harness.distribution_server.accepted(1, 0.0)
    harness.distribution_server.received(1, encode(PublishRequest(8, "all", b"", "me", ""), CLUSTER_TAG), 0.0)
    ((connection_id, request),) = harness.distribution_server.take().requests
    harness.distribution_server.answer(connection_id, PublishAccepted(request.number, HEADER), 1.0)
    harness.take_output()
    assert harness.sent[1] == [PublishAccepted(8, HEADER)]


def test_unexpected_or_damaged_messages_close_the_connection_of_a_follower() -> None:
    harness = ServerHarness()
    harness.distribution_server.accepted(1, 0.0)
    harness.send(1, FetchRequest(KEY, 0, 1))
    harness.distribution_server.accepted(2, 0.0)
    harness.distribution_server.received(2, encode(Heartbeat(0), cluster_tag("other")), 0.0)
    harness.take_output()
    assert harness.disconnects == [1, 2] and harness.distribution_server.counts["dropped_cluster"] == 1


def test_a_server_that_was_suspended_disconnects_no_follower() -> None:
    harness = ServerHarness()
    harness.connect(1, "n1")
    harness.now += 60_000.0
    harness.distribution_server.tick(harness.now)
    harness.advance_to(harness.now + 5_000.0)
    assert harness.disconnects == [] and harness.distribution_server.counts["slept"] == 1
    harness.advance_to(harness.now + 20_000.0)
    assert harness.disconnects == [1]
