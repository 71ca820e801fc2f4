"""Scopes of documents: `all`, `region/R`, `service/S` and `node/N`, from the widest to the narrowest."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from crowpost.config_feed.errors import FeedError

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_KINDS = ("all", "region", "service", "node")  # from the widest scope to the narrowest


def parse_scope(scope: str) -> tuple[str, str]:
    """Return kind and name of a scope; the name of `all` is empty.  Raise FeedError if it is invalid."""
    kind, slash, name = scope.partition("/")
    if scope == "all":
        return "all", ""
    if kind not in _KINDS[1:] or not slash or not _NAME.fullmatch(name):
        raise FeedError(f"not a scope (all, region/R, service/S or node/N): {scope[:80]!r}")
    return kind, name


def scopes_for_node(region: str, service: str, node: str) -> tuple[str, ...]:
    """Return the scopes that apply to a node, from the widest to the narrowest; an empty name adds none."""
    named = (("region", region), ("service", service), ("node", node))
    return ("all", *(f"{kind}/{name}" for kind, name in named if name))


def applies_to_node(scope: str, region: str, service: str, node: str) -> bool:
    """Return whether documents of a scope apply to a node of that region, service and name."""
    return scope in scopes_for_node(region, service, node)


def order_scopes(scopes: Iterable[str]) -> list[str]:
    """Return the scopes from the widest to the narrowest; a later document overrides an earlier one."""
    return sorted(scopes, key=lambda scope: (_KINDS.index(parse_scope(scope)[0]), scope))


@dataclass(frozen=True, slots=True)
class Subscription:
    """The documents that a follower receives: those that apply to one node, or all documents."""

    region: str = ""
    service: str = ""
    node: str = ""
    all_scopes: bool = False

    def includes(self, scope: str) -> bool:
        """Return whether documents of a scope belong to the subscription."""
        return self.all_scopes or applies_to_node(scope, self.region, self.service, self.node)
