"""Times, rates and limits of followers and distribution servers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in ms, rates and limits; docs/feed.md shows the measurements behind the defaults.

    `configuration.TUNING_KEYS` holds the key of each field in the table [feed.tuning].
    """

    upstream_connections: int = 2  # number of servers that a follower connects to
    heartbeat_ms: float = 2_000.0  # longest interval between heartbeats on a connection
    server_timeout_ms: float = 4_500.0  # a connection to a server is closed after this time without a byte
    follower_timeout_ms: float = 20_000.0  # likewise for a follower, which may be suspended for longer
    connect_timeout_ms: float = 2_000.0  # limit for connecting and receiving the first message
    backoff_ms: float = 250.0  # initial wait before reconnecting to a server; doubles each time, with jitter
    max_backoff_ms: float = 4_000.0
    nearer_server_check_ms: float = 45_000.0  # mean interval between attempts to connect to a nearer server
    prefer_nearest_ms: float = 250.0  # wait for the nearest server to offer what another one offered
    stall_timeout_ms: float = 1_000.0  # another server is asked after this time without a byte of a body
    slow_server_ms: float = 10_000.0  # a stalled server is asked last for this time
    resync_ms: float = 2_000.0  # initial wait between version vectors while digests differ; doubles each time
    max_resync_ms: float = 64_000.0
    suspend_threshold_ms: float = 500.0  # a tick that is later than this means a suspension of the process
    bytes_per_s: float = 3_300.0  # a node, both directions: a third of its 10 kB/s for all control traffic
    burst_bytes: float = 100_000.0  # burst of a node after idle time
    connection_bytes_per_s: float = 3_300.0  # send rate of a server to one node
    connection_burst_bytes: float = 100_000.0
    relay_bytes_per_s: float = 200_000.0  # a relay or publisher as a follower; also the send rate to it
    relay_burst_bytes: float = 2_000_000.0
    server_bytes_per_s: float = 4_000_000.0  # send rate of a server on all connections together
    server_burst_bytes: float = 4_000_000.0
    chunk_bytes: int = 16_384  # data of a body in one frame; small enough that a stall is noticed
    max_document_bytes: int = 262_144
    max_documents: int = 4_096
    max_table_bytes: int = 33_554_432  # limit for all bodies in a table together
    concurrent_bodies: int = 32  # bodies that a server sends at once; others are queued
    max_queued_fetches: int = 4_096  # queue length of a server; further fetches are answered with "busy"
    concurrent_fetches: int = 4  # bodies that a follower of few scopes fetches at once
    relay_concurrent_fetches: int = 32  # likewise for a follower of all scopes
    max_connections: int = 2_048  # connections that a server accepts
    max_damaged_frames: int = 3  # a connection is closed after so many damaged frames
    status_timeout_ms: float = 2_000.0  # limit for the answer to a status request
