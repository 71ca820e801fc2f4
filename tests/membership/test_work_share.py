"""Tests of the work share that follows from a view."""

from __future__ import annotations

from crowpost.membership.core import MembershipCore
from crowpost.membership.model import Liveness, Phase, Profile, StateUpdate
from crowpost.membership.work_share import WorkShare, WorkShareTracker, assign_indexes


def test_nodes_keep_their_preferred_indexes_and_the_others_get_the_free_ones() -> None:
    preferred: dict[str, int | None] = {f"n{i}": i for i in range(40)}
    assert assign_indexes(preferred) == preferred
    del preferred["n3"], preferred["n20"]
    after = assign_indexes(preferred)
    assert sorted(after.values()) == list(range(38))
    assert {n for n in preferred if after[n] != preferred[n]} == {"n38", "n39"}
    without_preference = assign_indexes({f"m{i}": None for i in range(50)})
    assert sorted(without_preference.values()) == list(range(50))
    without_m7 = assign_indexes({f"m{i}": None for i in range(50) if i != 7})
    assert sum(without_m7[n] != without_preference[n] for n in without_m7) < 25


class TrackedView:
    """A view that tests modify directly, and a tracker of it."""

    def __init__(self, nodes: int, **options: float) -> None:
        self.core = MembershipCore(
            "t", Profile("n0", "127.0.0.1:1", facts={"ordinal": "0"}), (), seed=1, instance_id=1, now=0.0
        )
        self.core.announce_phase(Phase.PRESENT, 0.0)
        self.tracker = WorkShareTracker("node", "0", WorkShare(nodes, 0), **options)
        for i in range(1, nodes):
            self.set_member(f"n{i}", 1, Liveness.ALIVE, 0.0)

    def set_member(
        self, name: str, incarnation: int, liveness: Liveness, now: float, phase: Phase = Phase.PRESENT
    ) -> None:
        profile = Profile(name, "127.0.0.1:1", facts={"ordinal": name[1:]})
        update = StateUpdate(name, 7, incarnation, phase, liveness, name, "", profile)
        member = self.core.view.get(name)
        if member is None:
            self.core.view.add(profile, update, now)
        else:
            self.core.view.apply(member, update, now)

    def update(self, now: float) -> WorkShare | None:
        return self.tracker.update(self.core.view.members, "n0", now)


def test_a_death_counts_after_the_settling_time_and_a_leave_at_once() -> None:
    view = TrackedView(8)
    assert view.update(0.0) is None
    view.set_member("n7", 1, Liveness.SUSPECT, 10.0)
    assert view.update(10.0) is None
    view.set_member("n7", 1, Liveness.DEAD, 20.0)
    assert view.update(20.0) is None and view.tracker.next_due_ms == 1_020.0
    assert view.update(1_020.0) == WorkShare(7, 0)
    view.set_member("n6", 2, Liveness.ALIVE, 1_030.0, Phase.LEAVING)
    assert view.update(1_030.0) == WorkShare(6, 0)
    view.set_member("n6", 3, Liveness.ALIVE, 1_040.0)
    assert view.update(1_040.0) == WorkShare(7, 0)


def test_the_hold_time_of_a_flapping_node_doubles_with_each_death() -> None:
    view = TrackedView(4)
    view.update(0.0)
    hold_times = []
    now, incarnation = 0.0, 1
    for _ in range(5):
        view.set_member("n3", incarnation, Liveness.DEAD, now)
        view.update(now)
        view.update(now + 1_000.0)
        incarnation, now = incarnation + 1, now + 2_000.0
        view.set_member("n3", incarnation, Liveness.ALIVE, now)
        share = view.update(now)
        hold_times.append(0.0 if share else view.tracker.next_due_ms - now)
        if share is None:
            now = view.tracker.next_due_ms
            assert view.update(now) == WorkShare(4, 0)
    assert hold_times == [0.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0]


def test_a_view_that_shrinks_below_the_minimum_fraction_is_treated_as_a_partition() -> None:
    view = TrackedView(40)
    view.update(0.0)
    for i in range(1, 40):
        view.set_member(f"n{i}", 1, Liveness.DEAD, 10.0)
    view.update(10.0)
    assert view.update(5_000.0) == WorkShare(10, 0)


def test_members_of_other_roles_and_tiers_do_not_count() -> None:
    view = TrackedView(3)
    for name, role, tier in (("x", "directory", "0"), ("y", "node", "1")):
        profile = Profile(name, "127.0.0.1:1", role=role, facts={"stage": tier})
        view.core.apply_update(StateUpdate(name, 7, 1, Phase.PRESENT, Liveness.ALIVE, name, "", profile), 0.0)
    assert view.update(1.0) is None and view.tracker.share == WorkShare(3, 0)
