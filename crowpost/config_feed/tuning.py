"""Times and bounds of followers and distribution servers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in ms, rates and bounds; docs/feed.md shows the measurements behind the defaults.

    `configuration.TUNING_KEYS` holds the key of each field in the table [feed.tuning].
    """

    upstream_connections: int = 2  # servers that a follower watches at once
    heartbeat_ms: float = 2_000.0  # longest interval between heartbeats on a connection
    server_timeout_ms: float = 4_500.0  # without a byte from a server until its connection is closed
    follower_timeout_ms: float = 20_000.0  # the same of a follower, which may be suspended for longer
    connect_timeout_ms: float = 2_000.0  # for a connection, and for the first message on it
    backoff_ms: float = 250.0  # before a server is connected to again, doubled each time, with jitter
    max_backoff_ms: float = 4_000.0
    nearer_server_check_ms: float = 45_000.0  # mean interval between attempts to reach a nearer server
    prefer_nearest_ms: float = 250.0  # wait for the nearest server to offer what another one offered
    stall_timeout_ms: float = 1_000.0  # without a byte of a body until another server is asked for the rest
    slow_server_ms: float = 10_000.0  # for how long a server that stalled is asked last
    resync_ms: float = 2_000.0  # between version vectors sent for a differing digest, doubled each time
    max_resync_ms: float = 64_000.0
    suspend_threshold_ms: float = 500.0  # a later tick than that means that this process was suspended
    bytes_per_s: float = 3_300.0  # of a node, both ways: a third of its 10 kB/s for all control traffic
    burst_bytes: float = 100_000.0  # of that, saved up while idle
    connection_bytes_per_s: float = 3_300.0  # that a server sends to one node
    connection_burst_bytes: float = 100_000.0
    relay_bytes_per_s: float = 200_000.0  # of a relay or publisher as a follower, and sent to one of these
    relay_burst_bytes: float = 2_000_000.0
    server_bytes_per_s: float = 4_000_000.0  # that a server sends in all
    server_burst_bytes: float = 4_000_000.0
    chunk_bytes: int = 16_384  # of a body in one frame, so that a stall is noticed
    max_document_bytes: int = 262_144
    max_documents: int = 4_096
    max_table_bytes: int = 33_554_432  # of all bodies in a table
    concurrent_bodies: int = 32  # bodies that a server sends at once; further ones are queued
    max_queued_fetches: int = 4_096  # fetches that wait at a server; further ones are answered as busy
    concurrent_fetches: int = 4  # bodies that a follower of few scopes fetches at once
    relay_concurrent_fetches: int = 32  # the same of a follower of all scopes
    max_connections: int = 2_048  # that a server accepts
    max_damaged_frames: int = 3  # on a connection until it is closed
    status_timeout_ms: float = 2_000.0  # within which a status is to be answered
