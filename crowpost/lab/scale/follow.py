"""A simulated node that follows configuration, with the real follower and transport of `config_feed`.

There is no node to apply a document, so a complete document counts as applied at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document
from crowpost.config_feed.transport import FeedTransport
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.scale.places import Place
from crowpost.lab.scale.simulated_nodes import RegionPartition

SCOPE = "all"


class SimulatedFollower:
    """One follower; it does not listen, so it has no address."""

    def __init__(self, place: Place, partition: RegionPartition) -> None:
        self._place = place
        self._transport: FeedTransport | None = None
        self.address = ""

    @property
    def transport(self) -> FeedTransport:
        """Return the transport of a started follower."""
        assert self._transport is not None
        return self._transport

    async def start(self, settings: Mapping[str, Any]) -> str:
        """Start the follower and return its empty address.

        settings: `cluster`, `region`, and `upstreams`, a list of address and zone.
        """
        upstreams = [
            UpstreamServer(address, settings["region"], zone) for address, zone in settings["upstreams"]
        ]
        nearest_zone = upstreams[self._place.zone % len(upstreams)].zone
        config = FeedConfig(
            settings["cluster"],
            self._place.name,
            region=settings["region"],
            zone=nearest_zone,
            upstreams=tuple(upstreams),
        )
        self._transport = FeedTransport(config, self._apply)
        self._transport.start()
        return self.address

    def _apply(self, document: Document) -> None:
        self.transport.apply_finished(document.header, "")

    def peer_record(self) -> bytes:
        """Return nothing: followers need not know each other."""
        return b""

    def introduce(self, peer_records: list[bytes]) -> None:
        """Do nothing: followers do not communicate with each other."""

    def activate(self) -> None:
        """Do nothing: followers run from their start."""

    def counts(self) -> dict[str, float]:
        """Return the measured counters."""
        counts = self.transport.follower.counts
        return {"bytes": counts["bytes_out"], "bytes_in": counts["bytes_in"], "documents": counts["bodies"]}

    def view_summary(self) -> str:
        """Return the number of watched servers and the version in force."""
        follower = self.transport.follower
        applied = follower.applied_document(SCOPE)
        return f"{len(follower.connected_servers)} {0 if applied is None else applied.header.version}"

    def local_health_score(self) -> int:
        """Return 0: a follower has no local health score."""
        return 0

    async def end(self, graceful: bool) -> None:
        """Close the connections, in the same way whether graceful or not."""
        await self.transport.close()
