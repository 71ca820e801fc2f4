"""The document table: limits, replacement by rank, and digests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from crowpost.config_feed.document_table import DocumentTable
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import Subscription
from crowpost.config_feed.tuning import Tuning
from tests.config_feed.harness import doc


def test_table_is_limited_and_only_newer_documents_replace_others() -> None:
    table = DocumentTable(Tuning(max_documents=2, max_table_bytes=100))
    assert table.put(doc(2, b"x" * 40)) and not table.put(doc(1, b"y")) and not table.put(doc(2, b"x" * 40))
    with pytest.raises(FeedError, match="the body does not match its header"):
        table.put(replace(doc(3, b"x"), body=b"y"))
    with pytest.raises(FeedError, match="full"):
        table.put(doc(1, b"x" * 61, scope="region/east"))
    assert table.put(doc(1, b"x" * 60, scope="region/east")) and table.bytes == 100
    with pytest.raises(FeedError, match="full"):
        table.put(doc(1, b"", scope="region/west"))
    assert table.put(doc(3, b"")) and table.bytes == 60
    other = DocumentTable()
    for document in (doc(1, b"x" * 60, scope="region/east"), doc(3, b"")):
        other.put(document)
    all_scopes = Subscription(all_scopes=True)
    assert table.digest(all_scopes) == other.digest(all_scopes) != 0
    assert table.digest(Subscription("west")) == DocumentTable().digest(Subscription()) ^ other.digest(
        Subscription("west")
    )
