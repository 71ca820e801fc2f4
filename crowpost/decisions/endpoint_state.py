"""What a node knows about one endpoint."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field

from crowpost.decision_api import EndpointEntry, RequestId

AttemptKey = tuple[RequestId, int]  # Request id, and number of the attempt within the request


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint.  Times are milliseconds."""

    entry: EndpointEntry
    listed: bool = True
    started_at: float = 0.0  # Start of its warm-up, 0 if that is long ago
    index: int = -1  # Position in the learning automaton, -1 while it is not there
    in_flight: dict[AttemptKey, float] = field(default_factory=dict)  # Time of sending, oldest first
    last_response_at: float = -math.inf
    failure_rate: float = 0.0  # Exponential moving average
    ejected: bool = False
    half_open: bool = False  # Returning from an ejection, with one trial request at a time
    ejections: int = 0  # Consecutive ejections; the exponent of the ejection backoff
    paused_until: float = -math.inf
    in_flight_limit: float = math.inf  # Finite once the endpoint has rejected an attempt as full
    slow_start_tokens: float = 0.0  # Tokens, one for a request of mean work
    slow_start_tokens_at: float = 0.0
    in_flight_elsewhere: float = 0.0  # Requests of other nodes, by the last load report
    reported_at: float = -math.inf
    _shard_hash: tuple[int, int] = (-1, 0)  # Round and hash of the last call of shard_hash

    def shard_hash(self, shard_round: int) -> int:
        """Return the endpoint's hash of 48 bits for a round of shards, which is the same at every node."""
        if self._shard_hash[0] != shard_round:
            hashed = self.entry.server + shard_round.to_bytes(4, "big")
            digest = hashlib.blake2b(hashed, digest_size=6).digest()
            self._shard_hash = shard_round, int.from_bytes(digest, "big")
        return self._shard_hash[1]
