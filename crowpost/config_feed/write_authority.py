"""Defines which publisher may write which scope."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from crowpost.config_feed.documents import DocumentHeader
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import parse_scope


@dataclass(frozen=True, slots=True)
class WriteAuthority:
    """Checks the writer of a scope.

    The publisher of a region writes the scopes of the region and its nodes; the publisher of the home region
    writes all others.
    """

    name: str  # name of this publisher
    home_region: str
    publishers: Mapping[str, str]  # names of the publishers by region

    def check(self, scope: str, current: DocumentHeader | None, region: str) -> None:
        """Raise FeedError, naming the right publisher, where this one may not write a scope.

        current: the current document of the scope; the writer of a node's scope never changes.  region: the
        region that the node is configured for, given with the first document of its scope.
        """
        kind, name = parse_scope(scope)
        if kind == "node" and current is not None:
            writer = current.writer
            why = "which wrote it first"
        elif kind == "node" and not region:
            raise FeedError(f"{scope}: its first document needs the region that the node is configured for")
        else:
            writer_region = {"node": region, "region": name}.get(kind, self.home_region)
            if writer_region not in self.publishers:
                known = ", ".join(self.publishers)
                raise FeedError(f"no publisher for region {writer_region!r}; there are {known}")
            writer = self.publishers[writer_region]
            why = f"the publisher of {writer_region}"
        if writer != self.name:
            raise FeedError(f"{scope} is written by {writer}, {why}, and not by {self.name}")
