"""Timeouts of a client connection for each part of a request and of a response.

All times are in seconds.  Peers that send nothing hold descriptors, so the first request of a connection has
less time than later ones; the platform requires that a peer that sends no request is gone within 3 s.
"""

from __future__ import annotations

# From the connection's start to its first byte.
FIRST_BYTE_TIMEOUT_S = 2.0
# From the connection's start to the end of the first head: a slow client takes 2 s for it.
FIRST_HEAD_TIMEOUT_S = 2.75
# The longest pause within the first body, and the time that it may lag behind the minimum rate.
FIRST_BODY_PAUSE_S = 2.5
# The longest pause within the first body later than FIRST_HEAD_TIMEOUT_S after the connection's start: slow
# clients take less than this for a part of a body.
LATE_BODY_PAUSE_S = 1.5
# Half of the rate at which slow clients send.
MIN_BODY_BYTES_PER_S = 32_000.0
# The time for each step of a later request, and for a client to read its response.
IDLE_TIMEOUT_S = 6.0
# The longest pause of a client in reading a streamed response: it may take this long to read the part that
# the kernel has buffered.
STREAM_IDLE_TIMEOUT_S = 30.0
# How long input is discarded after the last response: a close with unread input sends a reset, which could
# reach the client before the response.
LINGER_S = 1.0
# The same limit while the rest of a long body keeps arriving.
MAX_LINGER_S = 10.0


def is_first_body_too_slow(
    *, since_last_byte_s: float, since_connect_s: float, since_head_s: float, body_bytes: int
) -> bool:
    """Return whether the body of a connection's first request arrives too slowly.

    since_head_s: the seconds since the head was complete.
    """
    counted_s = since_head_s - FIRST_BODY_PAUSE_S
    return (
        since_last_byte_s > FIRST_BODY_PAUSE_S
        or (since_last_byte_s > LATE_BODY_PAUSE_S and since_connect_s > FIRST_HEAD_TIMEOUT_S)
        or body_bytes < MIN_BODY_BYTES_PER_S * counted_s
    )
