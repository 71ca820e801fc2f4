"""What a node knows of one endpoint."""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass, field

from crowpost.decision_api import EndpointEntry, RequestId

AttemptKey = tuple[RequestId, int]  # the request and the number of its attempt


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint.  Times are milliseconds."""

    entry: EndpointEntry
    listed: bool = True
    index: int = -1  # in the automaton's order, -1 while it is not there
    in_flight: dict[AttemptKey, float] = field(default_factory=dict)  # by time of sending, oldest first
    last_response_at: float = -math.inf
    failure_rate: float = 0.0  # an exponential average
    ejected: bool = False
    half_open: bool = False  # back from an ejection: one trial request at a time
    ejections: int = 0  # in a row; the exponent of the ejection backoff
    paused_until: float = -math.inf
    in_flight_limit: float = math.inf  # that it is known to bear, once it has refused an attempt
    slow_start_tokens: float = 0.0  # in requests of mean work
    slow_start_tokens_at: float = 0.0
    in_flight_elsewhere: float = 0.0  # requests of other nodes that it holds, by its last load report
    reported_at: float = -math.inf
    _shard_hash: tuple[int, int] = (-1, 0)  # the last round that a hash was asked for, and that hash

    def shard_hash(self, shard_round: int) -> int:
        """Return 48 bits that are the endpoint's own in each round of shards, the same at every node."""
        if self._shard_hash[0] != shard_round:
            hashed = self.entry.server + shard_round.to_bytes(4, "big")
            digest = hashlib.blake2b(hashed, digest_size=6).digest()
            self._shard_hash = shard_round, int.from_bytes(digest, "big")
        return self._shard_hash[1]
