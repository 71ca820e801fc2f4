"""The address and the location of a distribution server that a follower may connect to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamServer:
    """A distribution server; servers of a lower tier are always tried first."""

    address: str  # host:port
    region: str = ""
    zone: str = ""
    tier: int = 0
