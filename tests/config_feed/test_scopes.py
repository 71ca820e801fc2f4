"""Scopes of documents: order, nodes that they apply to, and invalid scopes."""

from __future__ import annotations

import pytest

from crowpost.config_feed.documents import make_document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import applies_to_node, order_scopes, parse_scope


def test_scope_order_applicability_and_validation() -> None:
    assert order_scopes(["node/n1", "all", "service/b", "region/r", "service/a"]) == [
        "all",
        "region/r",
        "service/a",
        "service/b",
        "node/n1",
    ]
    assert applies_to_node("all", "", "", "") and applies_to_node("region/east", "east", "s", "n")
    assert not applies_to_node("region/west", "east", "s", "n") and not applies_to_node(
        "node/n2", "east", "s", "n"
    )
    for bad in ("", "al", "all/", "region", "region/", "zone/z", "node/a b", "node/" + "x" * 65, "node/a/b"):
        with pytest.raises(FeedError):
            parse_scope(bad)
    with pytest.raises(FeedError, match="reason is longer"):
        make_document("all", 1, 1, b"", author="", reason="x" * 201, writer="")
