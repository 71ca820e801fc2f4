"""The log events of the transport."""

from __future__ import annotations

import json
import logging

import pytest

from crowpost.config_feed.configuration import FeedConfig
from crowpost.config_feed.transport import FeedTransport
from tests.node.stubs import run


def test_event_with_values_named_like_the_parameters_of_log_event_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # The event `taken_over` has a value `at`: the offset from which another server sends the body.
    async def scenario() -> None:
        transport = FeedTransport(FeedConfig("c", "n1"), lambda document: None)
        transport.log_event("taken_over", 5.0, scope="all", at=7, server="r1")
        await transport.close()

    with caplog.at_level(logging.INFO):
        run(scenario())
    event = json.loads(caplog.messages[0].removeprefix("feed "))
    assert event == {"event": "taken_over", "at_ms": 5.0, "by": "n1", "scope": "all", "at": 7, "server": "r1"}
