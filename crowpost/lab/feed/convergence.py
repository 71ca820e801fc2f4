"""Checks whether followers agree on the documents that they watch."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from crowpost.config_feed.documents import DocumentHeader
from crowpost.config_feed.follower import Follower


def have_converged(followers: Sequence[Follower]) -> bool:
    """Return whether each follower has the highest document of each scope that it watches."""
    newest = _newest_headers(followers)
    return all(_has_all(follower, newest) for follower in followers)


def _newest_headers(followers: Iterable[Follower]) -> dict[str, DocumentHeader]:
    newest: dict[str, DocumentHeader] = {}
    for follower in followers:
        for scope, document in follower.table.documents.items():
            if scope not in newest or document.header.rank > newest[scope].rank:
                newest[scope] = document.header
    return newest


def _has_all(follower: Follower, headers: dict[str, DocumentHeader]) -> bool:
    for scope, header in headers.items():
        if not follower.subscription.includes(scope):
            continue
        stored = follower.table.get(scope)
        if stored is None or stored.header != header:
            return False
    return True
