"""Sends one request to a distribution server on a separate connection, and returns the answer."""

from __future__ import annotations

import asyncio

from crowpost.config_feed.configuration import split_address
from crowpost.config_feed.errors import FeedError, FrameError
from crowpost.config_feed.frames import FrameReader, cluster_tag, encode
from crowpost.config_feed.messages import (
    Goodbye,
    Message,
    PublishAccepted,
    PublishRejected,
    PublishRequest,
    StatusRequest,
    StatusResponse,
)

READ_BYTES = 1 << 16


async def request_reply(
    address: str, request: StatusRequest | PublishRequest, cluster: str, timeout_s: float
) -> Message:
    """Return the answer of a relay or publisher.  Raise FeedError, in one line, if there is none in time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*split_address(address))
            try:
                writer.write(encode(request, cluster_tag(cluster)))
                return await _read_answer(address, reader, request)
            finally:
                writer.close()
    except TimeoutError as error:
        raise FeedError(f"{address}: no answer within {timeout_s:g} s") from error
    except OSError as error:
        raise FeedError(f"{address}: {error.strerror or error}") from error


async def _read_answer(
    address: str, reader: asyncio.StreamReader, request: StatusRequest | PublishRequest
) -> Message:
    expected: tuple[type[Message], ...] = (PublishAccepted, PublishRejected)
    if isinstance(request, StatusRequest):
        expected = (StatusResponse,)
    frames = FrameReader(None)
    while data := await reader.read(READ_BYTES):
        for item, _ in frames.feed(data):
            if isinstance(item, FrameError):
                raise FeedError(f"{address}: {item}")
            if isinstance(item, expected):
                return item
            if isinstance(item, Goodbye):
                raise FeedError(f"{address}: {item.why}")
    raise FeedError(f"{address}: connection closed without an answer")
