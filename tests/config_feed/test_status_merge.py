"""Merging the statuses of several servers."""

from __future__ import annotations

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.messages import (
    ApplyReport,
    StatusRequest,
    StatusResponse,
)
from crowpost.config_feed.status_merge import merge_statuses
from tests.config_feed.harness import ServerHarness, doc


def test_statuses_of_two_servers_are_merged_by_counter_and_age() -> None:
    first, second = ServerHarness(), ServerHarness()
    new, old = doc(2, b"new"), doc(1, b"old")
    first.announce(new)
    second.announce(old)
    for harness in (first, second):
        harness.connect(1, "n1")
        harness.connect(2, "n2")
        harness.connect(3, "gone")
    for harness, document, counter in ((first, new, 5), (second, old, 4)):
        harness.send(
            1, ApplyReport("n1", 1, counter, (ApplyStatus(document.header.key, ApplyState.APPLIED),))
        )
    second.send(2, ApplyReport("n2", 2, 1, (ApplyStatus(new.header.key, ApplyState.REJECTED, "no"),)))
    # An older report of the same instance.
    second.send(2, ApplyReport("n2", 2, 0, (ApplyStatus(old.header.key, ApplyState.APPLIED),)))
    second.send(2, ApplyReport("n1", 1, 9, ()))  # a report in the name of another follower
    for harness in (first, second):
        harness.distribution_server.lost(3, 10.0)
    for statuses in (
        [first.distribution_server.status(20.0), second.distribution_server.status(20.0)],
        [second.distribution_server.status(20.0), first.distribution_server.status(20.0)],
    ):
        found = merge_statuses(statuses)
        assert found["heads"]["all"]["version"] == 2
        n1, n2, gone = (found["followers"][name] for name in ("n1", "n2", "gone"))
        assert n1["lags"] == [] and n1["standings"][0]["version"] == 2
        assert n2["refused"] == {"all": "no"} and n2["lags"] == []
        assert gone["lags"] == ["all"] and not gone["linked"]
    # A status response on the wire has the same content.
    first.distribution_server.accepted(9, 20.0)
    first.send(9, StatusRequest(4))
    answer = first.sent[9][0]
    assert (
        isinstance(answer, StatusResponse)
        and merge_statuses([answer.value])["followers"]["n1"]["counter"] == 5
    )
