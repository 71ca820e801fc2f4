"""A hollow node that follows configuration: the real follower and transport of `crowpost.config_feed`.

It has no node that would apply a document: a complete document counts as applied at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.documents import Document
from crowpost.config_feed.transport import FeedTransport
from crowpost.config_feed.upstream_server import UpstreamServer
from crowpost.lab.scale.hollow import Cut
from crowpost.lab.scale.places import Place

SCOPE = "all"


class HollowFollower:
    """One follower.  It listens nowhere, so it has no address."""

    def __init__(self, place: Place, cut: Cut) -> None:
        self._place = place
        self._transport: FeedTransport | None = None
        self.address = ""

    @property
    def transport(self) -> FeedTransport:
        assert self._transport is not None
        return self._transport

    async def start(self, settings: Mapping[str, Any]) -> str:
        """settings: `cluster`, `region`, and `upstreams`, each an address and a zone."""
        upstreams = [
            UpstreamServer(address, settings["region"], zone) for address, zone in settings["upstreams"]
        ]
        near = upstreams[self._place.zone % len(upstreams)].zone
        config = FeedConfig(
            settings["cluster"],
            self._place.name,
            region=settings["region"],
            zone=near,
            upstreams=tuple(upstreams),
        )
        self._transport = FeedTransport(config, self._apply)
        self._transport.start()
        return self.address

    def _apply(self, document: Document) -> None:
        self.transport.apply_finished(document.header, "")

    def row(self) -> bytes:
        """Followers need not know each other."""
        return b""

    def acquaint(self, rows: list[bytes]) -> None:
        """They do not meet."""

    def go(self) -> None:
        """They run from their start."""

    def counts(self) -> dict[str, float]:
        counts = self.transport.follower.counts
        return {"bytes": counts["bytes_out"], "bytes_in": counts["bytes_in"], "documents": counts["bodies"]}

    def look(self) -> str:
        """Servers watched, and the version in force."""
        follower = self.transport.follower
        held = follower.applied_document(SCOPE)
        return f"{len(follower.connected_servers)} {0 if held is None else held.header.version}"

    def awareness(self) -> int:
        """A follower does not judge itself."""
        return 0

    async def end(self, in_order: bool) -> None:
        await self.transport.close()
