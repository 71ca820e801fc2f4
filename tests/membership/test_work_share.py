"""The share of the work that a view gives."""

from __future__ import annotations

from crowpost.membership.core import MembershipCore
from crowpost.membership.model import Liveness, Phase, Profile, StateUpdate
from crowpost.membership.work_share import WorkShare, WorkShareTracker, assign_indexes


def test_places_are_kept_by_who_wished_for_them_and_the_rest_fill_up() -> None:
    wishes: dict[str, int | None] = {f"n{i}": i for i in range(40)}
    assert assign_indexes(wishes) == wishes
    del wishes["n3"], wishes["n20"]
    after = assign_indexes(wishes)
    assert sorted(after.values()) == list(range(38))
    assert {n for n in wishes if after[n] != wishes[n]} == {"n38", "n39"}
    nameless = assign_indexes({f"m{i}": None for i in range(50)})
    assert sorted(nameless.values()) == list(range(50))
    fewer = assign_indexes({f"m{i}": None for i in range(50) if i != 7})
    assert sum(fewer[n] != nameless[n] for n in fewer) < 25


class Told:
    """A view by hand, and what a presence makes of it."""

    def __init__(self, nodes: int, **more: float) -> None:
        self.core = MembershipCore(
            "t", Profile("n0", "127.0.0.1:1", facts={"ordinal": "0"}), (), seed=1, instance_id=1, now=0.0
        )
        self.core.announce_phase(Phase.PRESENT, 0.0)
        self.tracker = WorkShareTracker("node", "0", WorkShare(nodes, 0), **more)
        for i in range(1, nodes):
            self.hold(f"n{i}", 1, Liveness.ALIVE, 0.0)

    def hold(
        self, name: str, incarnation: int, liveness: Liveness, now: float, phase: Phase = Phase.PRESENT
    ) -> None:
        profile = Profile(name, "127.0.0.1:1", facts={"ordinal": name[1:]})
        update = StateUpdate(name, 7, incarnation, phase, liveness, name, "", profile)
        member = self.core.view.get(name)
        if member is None:
            self.core.view.add(profile, update, now)
        else:
            self.core.view.apply(member, update, now)

    def look(self, now: float) -> WorkShare | None:
        return self.tracker.update(self.core.view.members, "n0", now)


def test_a_death_counts_after_a_while_and_a_good_bye_at_once() -> None:
    told = Told(8)
    assert told.look(0.0) is None
    told.hold("n7", 1, Liveness.SUSPECT, 10.0)
    assert told.look(10.0) is None
    told.hold("n7", 1, Liveness.DEAD, 20.0)
    assert told.look(20.0) is None and told.tracker.next_due_ms == 1_020.0
    assert told.look(1_020.0) == WorkShare(7, 0)
    told.hold("n6", 2, Liveness.ALIVE, 1_030.0, Phase.LEAVING)
    assert told.look(1_030.0) == WorkShare(6, 0)
    told.hold("n6", 3, Liveness.ALIVE, 1_040.0)
    assert told.look(1_040.0) == WorkShare(7, 0)


def test_one_that_flaps_counts_later_each_time() -> None:
    told = Told(4)
    told.look(0.0)
    waits = []
    now, incarnation = 0.0, 1
    for _ in range(5):
        told.hold("n3", incarnation, Liveness.DEAD, now)
        told.look(now)
        told.look(now + 1_000.0)
        incarnation, now = incarnation + 1, now + 2_000.0
        told.hold("n3", incarnation, Liveness.ALIVE, now)
        share = told.look(now)
        waits.append(0.0 if share else told.tracker.next_due_ms - now)
        if share is None:
            now = told.tracker.next_due_ms
            assert told.look(now) == WorkShare(4, 0)
    assert waits == [0.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0]


def test_a_view_that_shrinks_too_far_is_taken_for_a_cut() -> None:
    told = Told(40)
    told.look(0.0)
    for i in range(1, 40):
        told.hold(f"n{i}", 1, Liveness.DEAD, 10.0)
    told.look(10.0)
    assert told.look(5_000.0) == WorkShare(10, 0)


def test_other_roles_and_stages_do_not_count() -> None:
    told = Told(3)
    for name, role, stage in (("x", "directory", "0"), ("y", "node", "1")):
        profile = Profile(name, "127.0.0.1:1", role=role, facts={"stage": stage})
        told.core.apply_update(StateUpdate(name, 7, 1, Phase.PRESENT, Liveness.ALIVE, name, "", profile), 0.0)
    assert told.look(1.0) is None and told.tracker.share == WorkShare(3, 0)
