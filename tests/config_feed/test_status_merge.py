"""Statuses of several servers, merged."""

from __future__ import annotations

from crowpost.config_feed.apply_status import ApplyState, ApplyStatus
from crowpost.config_feed.messages import (
    ApplyReport,
    StatusRequest,
    StatusResponse,
)
from crowpost.config_feed.status_merge import merge_statuses
from tests.config_feed.harness import PlayedServer, doc


def test_statuses_of_two_servers_are_merged_by_counter_and_age() -> None:
    one, two = PlayedServer(), PlayedServer()
    new, old = doc(2, b"new"), doc(1, b"old")
    one.announce(new)
    two.announce(old)
    for s in (one, two):
        s.watch(1, "n1")
        s.watch(2, "n2")
        s.watch(3, "gone")
    for s, d, counter in ((one, new, 5), (two, old, 4)):
        s.say(1, ApplyReport("n1", 1, counter, (ApplyStatus(d.header.key, ApplyState.APPLIED),)))
    two.say(2, ApplyReport("n2", 2, 1, (ApplyStatus(new.header.key, ApplyState.REJECTED, "no"),)))
    two.say(2, ApplyReport("n2", 2, 0, (ApplyStatus(old.header.key, ApplyState.APPLIED),)))  # an older report
    two.say(2, ApplyReport("n1", 1, 9, ()))  # it speaks for another
    for s in (one, two):
        s.distribution_server.lost(3, 10.0)
    for statuses in (
        [one.distribution_server.status(20.0), two.distribution_server.status(20.0)],
        [two.distribution_server.status(20.0), one.distribution_server.status(20.0)],
    ):
        found = merge_statuses(statuses)
        assert found["heads"]["all"]["version"] == 2
        n1, n2, gone = (found["followers"][name] for name in ("n1", "n2", "gone"))
        assert n1["lags"] == [] and n1["standings"][0]["version"] == 2
        assert n2["refused"] == {"all": "no"} and n2["lags"] == []
        assert gone["lags"] == ["all"] and not gone["linked"]
    # It is also what goes over the wire.
    one.distribution_server.accepted(9, 20.0)
    one.say(9, StatusRequest(4))
    answer = one.said[9][0]
    assert (
        isinstance(answer, StatusResponse)
        and merge_statuses([answer.value])["followers"]["n1"]["counter"] == 5
    )
