"""Counts bytes that were requested, and their tokens spent, but not received yet."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.config_feed.documents import VersionKey
from crowpost.config_feed.token_bucket import TokenBucket

EXPIRY_MS = 30_000.0  # requested bytes that are outstanding for longer count as lost


@dataclass(slots=True)
class _Request:
    size: int  # number of bytes still missing
    requested_at: float


class OutstandingBytes:
    """Counts outstanding bytes for each connection and document, and their sum in the token bucket."""

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
        """Record that no more bytes of a document are expected on a connection."""
        request = self._requests.pop((connection_id, key), None)
        if request is not None:
            self._bucket.outstanding -= request.size

    def cancel_connection(self, connection_id: int) -> None:
        """Record that no more bytes are expected on a connection."""
        for number, key in [request_key for request_key in self._requests if request_key[0] == connection_id]:
            self.cancel(number, key)

    def expire(self, now: float) -> None:
        """Cancel requests that are older than EXPIRY_MS."""
        expired = [
            request_key
            for request_key, request in self._requests.items()
            if now - request.requested_at > EXPIRY_MS
        ]
        for connection_id, key in expired:
            self.cancel(connection_id, key)
