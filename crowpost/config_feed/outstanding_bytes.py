"""Bytes that were requested and paid for, and have not been received yet."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.config_feed.documents import VersionKey
from crowpost.config_feed.token_bucket import TokenBucket

EXPIRY_MS = 30_000.0  # after which bytes that were requested are taken for lost


@dataclass(slots=True)
class _Request:
    size: int  # bytes that are missing
    requested_at: float


class OutstandingBytes:
    """Counts outstanding bytes for each connection and document, and in all in the token bucket."""

    def __init__(self, bucket: TokenBucket) -> None:
        self._bucket = bucket
        self._requests: dict[tuple[int, VersionKey], _Request] = {}

    def add(self, connection_id: int, key: VersionKey, size: int, now: float) -> None:
        """Record that bytes were requested."""
        request = self._requests.setdefault((connection_id, key), _Request(0, now))
        request.size += size
        request.requested_at = now
        self._bucket.outstanding += size

    def receive(self, connection_id: int, key: VersionKey, size: int) -> None:
        """Record that bytes were received."""
        request = self._requests.get((connection_id, key))
        if request is None:
            return
        received = min(size, request.size)
        request.size -= received
        self._bucket.outstanding -= received
        if not request.size:
            del self._requests[connection_id, key]

    def cancel(self, connection_id: int, key: VersionKey) -> None:
        """Record that no more bytes of a document will come on a connection."""
        request = self._requests.pop((connection_id, key), None)
        if request is not None:
            self._bucket.outstanding -= request.size

    def cancel_connection(self, connection_id: int) -> None:
        """Record that no more bytes will come on a connection."""
        for owner, key in [request for request in self._requests if request[0] == connection_id]:
            self.cancel(owner, key)

    def expire(self, now: float) -> None:
        """Cancel what was requested too long ago."""
        old = [request for request, found in self._requests.items() if now - found.requested_at > EXPIRY_MS]
        for owner, key in old:
            self.cancel(owner, key)
