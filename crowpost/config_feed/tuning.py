"""Times and bounds of followers and distribution servers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in ms and bounds, for followers and hubs; the figures are measured in docs/feed.md."""

    upstream_connections: int = 2  # servers that a follower watches at once
    heartbeat_ms: float = 2_000.0  # a link says at least so often that it is alive
    server_timeout_ms: float = 4_500.0  # a server that says nothing for so long is given up
    follower_timeout_ms: float = 20_000.0  # a follower may sleep for longer than a server
    connect_timeout_ms: float = 2_000.0  # for a connection, and for the first word on it
    backoff_ms: float = 250.0  # before a server is dialled again, doubled each time, with jitter
    max_backoff_ms: float = 4_000.0
    nearer_server_check_ms: float = 45_000.0  # between looks whether a nearer server is back, in the mean
    prefer_nearest_ms: float = (
        250.0  # that the nearer server has to tell of a document which the other told of
    )
    stall_timeout_ms: float = 1_000.0  # without a byte of a body until the other server is asked for the rest
    slow_server_ms: float = 10_000.0  # that a server which let a body wait is asked last
    resync_ms: float = 2_000.0  # between vectors sent for a differing digest, doubled each time
    max_resync_ms: float = 64_000.0
    suspend_threshold_ms: float = 500.0  # a tick that comes later than so: this process stood still
    bytes_per_s: float = 3_300.0  # of a node, both ways: a third of its 10 kB/s for all control
    burst_bytes: float = 100_000.0  # of that, saved up in quiet for a burst
    connection_bytes_per_s: float = 3_300.0  # that a hub sends to one node
    connection_burst_bytes: float = 100_000.0
    relay_bytes_per_s: float = 200_000.0  # of a relay or publisher that follows, and sent to one of these
    relay_burst_bytes: float = 2_000_000.0
    server_bytes_per_s: float = 4_000_000.0  # that a hub sends in all
    server_burst_bytes: float = 4_000_000.0
    chunk_bytes: int = 16_384  # of a body in one frame, so that a stall shows
    max_document_bytes: int = 262_144
    max_documents: int = 4_096
    max_table_bytes: int = 33_554_432  # of bodies held
    concurrent_bodies: int = 32  # bodies that a hub serves at once; others queue
    max_queued_fetches: int = 4_096  # fetches that wait at a hub; any more are told that it is busy
    concurrent_fetches: int = 4  # bodies that a follower of few scopes fetches at once
    relay_concurrent_fetches: int = 32  # and one of all scopes
    max_connections: int = 2_048  # links that a hub takes
    max_damaged_frames: int = 3  # frames of a link that may be damaged until it is given up
    status_timeout_ms: float = 2_000.0  # that a status may take
