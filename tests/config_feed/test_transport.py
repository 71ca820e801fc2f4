"""The transport of the feed: what it logs."""

from __future__ import annotations

import json
import logging

import pytest

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.transport import FeedTransport
from tests.node.stubs import run


def test_an_event_whose_values_hold_a_time_or_an_event_of_their_own_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # As `taken_over` does, with the offset at which a body is taken over.
    async def play() -> None:
        transport = FeedTransport(FeedConfig("c", "n1"), lambda document: None)
        transport.log_event("taken_over", 5.0, scope="all", at=7, server="r1")
        await transport.close()

    with caplog.at_level(logging.INFO):
        run(play())
    event = json.loads(caplog.messages[0].removeprefix("feed "))
    assert event == {"event": "taken_over", "at_ms": 5.0, "by": "n1", "scope": "all", "at": 7, "server": "r1"}
