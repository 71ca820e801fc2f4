"""Framing on TCP streams: a length prefix followed by that many bytes."""

from __future__ import annotations

import asyncio

from crowpost.membership.errors import MembershipError
from crowpost.membership.wire import LENGTH_PREFIX, MAX_FRAME_BYTES

# A reader buffers this much of a frame anyway.
LARGE_FRAME_BYTES = 128 * 1024
FRAME_TIMEOUT_S = 3.0  # Time limit for reading a frame, and for opening a connection


async def read_frame(
    reader: asyncio.StreamReader, large_frame_slots: asyncio.Semaphore | None = None
) -> bytes:
    """Read and return the next frame.

    large_frame_slots: bounds how many frames of more than LARGE_FRAME_BYTES are read concurrently; None if
    nothing bounds them.  Raise MembershipError if it is too long, TimeoutError if it is incomplete after
    FRAME_TIMEOUT_S, EOFError if the stream ends.
    """
    async with asyncio.timeout(FRAME_TIMEOUT_S):
        (size,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
        if size > MAX_FRAME_BYTES:
            raise MembershipError(f"a frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}")
        if size <= LARGE_FRAME_BYTES or large_frame_slots is None:
            return await reader.readexactly(size)
        async with large_frame_slots:
            return await reader.readexactly(size)


def write_frame(writer: asyncio.StreamWriter, frame: bytes) -> None:
    """Write a frame without draining the stream."""
    writer.write(LENGTH_PREFIX.pack(len(frame)) + frame)


def stream_bytes(frame: bytes) -> int:
    """Return the size of a frame on a stream, length prefix included."""
    return LENGTH_PREFIX.size + len(frame)
