"""Tests of the broadcast queue."""

from __future__ import annotations

from crowpost.membership.broadcast_queue import BroadcastQueue
from crowpost.membership.model import Liveness, Phase, StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.wire import encode_update, pack

MEMBERS = 9  # At this number each update is sent exactly `retransmit_multiplier` times
SETTINGS = ProtocolSettings(retransmit_multiplier=3.0, send_rate_bytes_per_s=1_000.0, burst_bytes=100.0)


def make_update(name: str, liveness: Liveness = Liveness.ALIVE, incarnation: int = 1) -> StateUpdate:
    return StateUpdate(name, 7, incarnation, Phase.PRESENT, liveness, name)


def packed(update: StateUpdate) -> bytes:
    return pack(encode_update(update))


def test_an_update_is_sent_a_limited_number_of_times() -> None:
    queue = BroadcastQueue(SETTINGS)
    queue.enqueue(make_update("a"), MEMBERS)
    assert [queue.take(1_000, 0.0) for _ in range(4)] == [[packed(make_update("a"))]] * 3 + [[]]
    assert len(queue) == 0


def test_a_later_update_on_a_member_replaces_the_earlier_one() -> None:
    queue = BroadcastQueue(SETTINGS)
    queue.enqueue(make_update("a"), MEMBERS)
    queue.enqueue(make_update("a", incarnation=2), MEMBERS)
    assert len(queue) == 1
    assert queue.take(1_000, 0.0) == [packed(make_update("a", incarnation=2))]


def test_deaths_and_refutations_are_sent_before_suspicions() -> None:
    queue = BroadcastQueue(SETTINGS)
    updates = [make_update("a", Liveness.DEAD), make_update("b", Liveness.SUSPECT), make_update("c")]
    for update in updates:
        queue.enqueue(update, MEMBERS)
    assert queue.take(1_000, 0.0) == [packed(updates[2]), packed(updates[0]), packed(updates[1])]


def test_updates_are_taken_only_up_to_the_maximum_size() -> None:
    queue = BroadcastQueue(SETTINGS)
    for name in "abc":
        queue.enqueue(make_update(name), MEMBERS)
    size = len(packed(make_update("a")))
    assert len(queue.take(2 * size + 1, 0.0)) == 2


def test_the_budget_refills_at_its_rate_up_to_the_burst() -> None:
    queue = BroadcastQueue(SETTINGS)
    queue.record_sent(150, 0.0)
    assert not queue.has_budget(50.0)
    assert queue.has_budget(51.0)
    assert queue.has_budget(10_000.0)
    queue.record_sent(100, 10_000.0)
    assert not queue.has_budget(10_000.0)


def test_a_few_updates_are_still_sent_while_the_budget_is_overdrawn() -> None:
    queue = BroadcastQueue(SETTINGS)
    for index in range(50):
        queue.enqueue(make_update(f"n{index}"), MEMBERS)
    queue.record_sent(1_000, 0.0)
    assert 0 < len(queue.take(1_200, 0.0)) < 20
