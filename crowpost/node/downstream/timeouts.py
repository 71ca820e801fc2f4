"""How long a client connection may take for each part of a request and of a response.

All times are in seconds.  Silent peers hold descriptors, so that the first request of a connection has less
time than later ones; the platform wants a peer that sends no request gone within 3 s.
"""

from __future__ import annotations

FIRST_BYTE_TIMEOUT_S = 2.0  # after connecting
FIRST_HEAD_TIMEOUT_S = 2.75  # after connecting: a slow client takes 2 s for the first head
FIRST_BODY_PAUSE_S = 2.5  # without a byte of the first body, or behind the minimum rate
LATE_BODY_PAUSE_S = 1.5  # the same after FIRST_HEAD_TIMEOUT_S: slow clients take less for a part of a body
MIN_BODY_BYTES_PER_S = 32_000.0  # half of what slow clients send
IDLE_TIMEOUT_S = 6.0  # for a later request, or for a client to read its response
# For a client to read on in a long response: what the kernel buffers of it may take as long.
STREAM_IDLE_TIMEOUT_S = 30.0
# In which input is read away after an early response, else a reset could overtake the response.
LINGER_S = 1.0
MAX_LINGER_S = 10.0  # while the rest of a long body goes on coming


def is_first_body_too_slow(*, silent_s: float, connected_s: float, body_s: float, body_bytes: int) -> bool:
    """Return whether the body of a connection's first request comes in too slowly.

    silent_s: since the last byte; connected_s: since connecting; body_s: since the head was complete.
    """
    behind_s = body_s - FIRST_BODY_PAUSE_S
    return (
        silent_s > FIRST_BODY_PAUSE_S
        or (silent_s > LATE_BODY_PAUSE_S and connected_s > FIRST_HEAD_TIMEOUT_S)
        or body_bytes < MIN_BODY_BYTES_PER_S * behind_s
    )
