"""Membership by the hard cases: each is a fault that a fleet meets, on the real cores in simulated time."""

from __future__ import annotations

import contextlib
import random
import zlib
from collections.abc import Callable
from dataclasses import replace

import pytest

from crowpost.lab.membership.simulation import CLUSTER, NetworkConditions, SimulatedCluster, SimulatedProcess
from crowpost.membership import sync
from crowpost.membership.core import MembershipCore
from crowpost.membership.errors import InvalidMessageError, MembershipError, SyncRefusedError
from crowpost.membership.model import WIRE_VERSION, Liveness, Phase, Profile, StateUpdate
from crowpost.membership.outbox import DATAGRAM_OVERHEAD_BYTES
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.wire import (
    HEADER,
    MAGIC,
    Message,
    MessageKind,
    Sender,
    cluster_tag,
    decode_datagram,
    decode_update,
    encode_datagram,
    encode_frame,
    encode_update,
    pack,
)

TAG = cluster_tag(CLUSTER)
RICH = NetworkConditions(loss_rate=0.05, duplicate_rate=0.05, straggler_rate=0.05)


def swarm(count: int, seed: int = 1, conditions: NetworkConditions | None = None) -> SimulatedCluster:
    """So many processes that all join by the first three, and have met."""
    made = SimulatedCluster(seed, conditions)
    contacts = [made.start("n0").address]
    for i in range(1, count):
        process = made.start(f"n{i}", contacts)
        if i < 3:
            contacts.append(process.address)
    made.run(15_000)
    assert made.views_agree()
    return made


def deaths(made: SimulatedCluster, of: str = "") -> list[tuple[str, str]]:
    """Observer and member of every change to dead."""
    found = [(seen, c.name) for seen, c in made.history if c.after == "dead"]
    return [pair for pair in found if not of or pair[1] == of]


def states(process: SimulatedProcess) -> dict[str, str]:
    return {m.name: m.state for m in process.core.view.members.values()}


def settle(made: SimulatedCluster, within_ms: float) -> None:
    """Go on until all agree."""
    for _ in range(int(within_ms / 500)):
        if made.views_agree():
            return
        made.run(500)
    told = {p.name: {n: s for n, s in states(p).items() if s != "present"} for p in made.running()}
    pytest.fail(f"no one view after {within_ms} ms: {told}")


# ---------------------------------------------------------------- ordinary life


def test_a_death_is_known_to_all_and_a_good_bye_is_no_death() -> None:
    made = swarm(20)
    made.kill("n7")
    n8 = made.processes["n8"]
    n8.core.leave(made.engine.now)
    made.process_output(n8)
    made.run(12_000)
    for process in made.running():
        if process is not n8:
            assert states(process)["n7"] == "dead" and states(process)["n8"] == "left"
    n8.up = False
    made.run(20_000)
    assert deaths(made, "n8") == []
    dead = made.processes["n0"].core.view.members["n7"]
    assert "no answer" in dead.reason and dead.origin in made.processes


def test_a_phase_is_told_to_all() -> None:
    made = swarm(8)
    n3 = made.processes["n3"]
    n3.core.announce_phase(Phase.LEAVING, made.engine.now, "drained")
    made.process_output(n3)
    made.run(3_000)
    assert {states(p)["n3"] for p in made.running()} == {"leaving"}
    n3.core.announce_phase(Phase.PRESENT, made.engine.now)
    made.process_output(n3)
    made.run(3_000)
    assert {states(p)["n3"] for p in made.running()} == {"present"}


def test_joining_needs_only_one_contact_that_lives_and_goes_on_when_all_are_gone() -> None:
    made = swarm(6)
    late = made.start("late", ["10.9.9.1:1", "10.9.9.2:1", made.processes["n1"].address])
    settle(made, 20_000)
    for i in range(3):
        made.kill(f"n{i}")
    settle(made, 20_000)
    assert len(late.core.view.members) == 7


def test_all_start_at_once() -> None:
    made = SimulatedCluster(3)
    addresses = [f"10.0.0.{i}:7000" for i in range(3)]
    for i in range(80):
        made.start(f"n{i}", addresses, address=addresses[i] if i < 3 else "")
    settle(made, 20_000)
    assert deaths(made) == []


def test_another_cluster_is_refused_with_its_name_and_so_is_a_far_wire_version() -> None:
    def core(cluster: str) -> MembershipCore:
        return MembershipCore(cluster, Profile("a", "127.0.0.1:1"), (), seed=1, instance_id=5, now=0.0)

    ours, theirs = core("main"), core("other")
    with pytest.raises(SyncRefusedError, match="this is cluster 'main', not 'other'"):
        sync.handle_response(theirs, sync.handle_request(ours, sync.make_request(theirs), 1.0), 1.0)
    old = bytearray(sync.make_request(ours))
    old[2] = WIRE_VERSION + 2
    with pytest.raises(
        SyncRefusedError, match=f"wire version {WIRE_VERSION + 2}, this process speaks {WIRE_VERSION}"
    ):
        sync.handle_response(ours, sync.handle_request(ours, bytes(old), 1.0), 1.0)


def test_a_neighbouring_wire_version_that_appends_to_its_messages_is_understood() -> None:
    made = swarm(3)
    n0, n1 = made.processes["n0"], made.processes["n1"]
    s = n1.core.own_update
    body = pack(
        [["n1", s.instance_id, s.incarnation, 1, 9_000, 0, "new"], 7, "n0", n1.address, [], {"more": 1}]
    )
    head = HEADER.pack(MAGIC, WIRE_VERSION + 1, int(MessageKind.PING), TAG, zlib.crc32(body))
    n0.core.take_output()
    n0.core.handle_datagram(head + body, made.engine.now)
    out = n0.core.take_output()
    assert [address for address, _ in out.datagrams] == [n1.address]
    assert decode_datagram(out.datagrams[0][1], TAG, 1200).kind is MessageKind.ACK


# ---------------------------------------------------------------- restarts and upgrades


@pytest.mark.parametrize("address", ["", "10.7.7.7:7000"])
def test_a_process_back_under_its_name_before_its_death_was_noticed(address: str) -> None:
    """Also at another address; for the others it was never dead."""
    made = swarm(12)
    old = made.processes["n5"]
    made.kill("n5")
    made.run(300)
    new = made.start("n5", [made.processes["n0"].address], address=address or old.address)
    settle(made, 20_000)
    made.run(15_000)
    assert made.views_agree() and deaths(made) == []
    for process in made.running():
        held = process.core.view.members["n5"]
        assert held.instance_id == new.core.own_update.instance_id and held.profile.address == new.address


def test_one_that_comes_back_by_contacts_that_know_nothing_yet_keeps_its_name() -> None:
    """Seen on real processes: it took an empty table for the whole, and gave way to its own dead
    predecessor.
    """
    made = swarm(12)
    old = {name: made.processes[name].address for name in ("n0", "n1", "n2", "n5")}
    for name in old:
        made.kill(name)
    made.run(500)
    contacts = [old["n0"], old["n1"], old["n2"]]
    for name, address in old.items():
        made.start(name, [c for c in contacts if c != address], address=address)
    settle(made, 30_000)
    assert not any(process.core.superseded for process in made.running())


def test_one_that_gave_way_by_mistake_comes_back_whatever_it_said_meanwhile() -> None:
    made = swarm(8)
    n5 = made.processes["n5"]
    other = replace(n5.core.own_update, instance_id=77, incarnation=n5.core.own_update.incarnation + 1)
    n5.core.apply_update(other, made.engine.now)
    assert n5.core.superseded
    for phase in (Phase.LEAVING, Phase.PRESENT):
        n5.core.announce_phase(phase, made.engine.now)
    made.process_output(n5)
    made.processes["n0"].core.apply_update(other, made.engine.now)
    made.run(60_000)
    assert not n5.core.superseded and made.views_agree()


def test_two_processes_of_one_node_are_one_member_and_the_old_ones_end_is_no_death() -> None:
    made = swarm(12)
    old = made.processes.pop("n5")
    made.processes["n5 before"] = old
    new = made.start("n5", [made.processes["n0"].address])
    made.run(15_000)
    assert old.core.superseded and not new.core.superseded
    assert all(states(p).get("n5") == "present" for p in made.running())
    old.core.leave(made.engine.now)
    made.process_output(old)
    made.run(2_000)
    old.up = False
    made.run(20_000)
    assert deaths(made) == [] and all(c.after != "left" for _, c in made.history)
    assert made.views_agree()


def test_the_old_process_of_an_upgrade_takes_its_place_back_when_the_new_one_dies() -> None:
    made = swarm(8)
    old = made.processes.pop("n5")
    made.processes["n5 before"] = old
    new = made.start("n5", [made.processes["n0"].address])
    made.run(5_000)
    assert old.core.superseded
    new.up = False
    made.run(40_000)
    assert not old.core.superseded
    for process in made.running():
        held = process.core.view.members["n5"]
        assert held.state == "present" and held.instance_id == old.core.own_update.instance_id


def test_a_wall_clock_that_jumps_changes_nothing() -> None:
    """The start is shown only: one from the year 2000 replaces one from 2040 all the same."""
    made = swarm(5)
    made.kill("n4")
    made.start("n4", [made.processes["n0"].address], started_s=2_208_988_800.0)
    settle(made, 15_000)
    made.kill("n4")
    new = made.start("n4", [made.processes["n0"].address], started_s=946_684_800.0)
    settle(made, 15_000)
    assert made.processes["n1"].core.view.members["n4"].instance_id == new.core.own_update.instance_id


# ---------------------------------------------------------------- bad machines and bad links


@pytest.mark.parametrize("seed", range(4))
def test_one_that_was_stopped_for_15_s_wakes_and_nobody_dies_of_it(seed: int) -> None:
    made = swarm(16, seed)
    made.pause("n6", 15_000.0)
    made.run(14_900)
    assert all(states(p)["n6"] == "dead" for p in made.running() if p.name != "n6")
    made.history.clear()
    made.run(30_000)
    assert deaths(made) == [] and made.views_agree()


def test_many_that_stand_still_again_and_again_do_not_die_of_it() -> None:
    made = swarm(30, 5, NetworkConditions(loss_rate=0.1, starved_fraction=0.1))
    made.starve()
    made.run(300_000)
    assert deaths(made) == []


def test_a_link_that_works_one_way_only_kills_nobody() -> None:
    made = swarm(10)
    made.may_pass = lambda a, b: (a, b) != ("n2", "n3")
    made.run(60_000)
    assert deaths(made) == [] and made.views_agree()


@pytest.mark.parametrize(("count", "cut", "for_s"), [(24, 12, 30), (100, 10, 150)])
def test_parts_that_were_cut_off_come_together_by_themselves(count: int, cut: int, for_s: int) -> None:
    """The few probe less often while they hear nobody, so they need longer to hold the many dead."""
    made = swarm(count, 2)
    side = {f"n{i}" for i in range(cut)}
    made.may_pass = lambda a, b: (a in side) == (b in side)
    made.run(1_000 * for_s)
    for process in made.running():
        alive = {n for n, s in states(process).items() if s == "present"}
        assert alive == (side if process.name in side else set(made.processes) - side)
    made.may_pass = lambda a, b: True
    made.history.clear()
    settle(made, 30_000)
    assert deaths(made) == [], "nobody dies of the joining"


@pytest.mark.parametrize("seed", range(3))
def test_what_was_said_behind_a_cut_just_before_it_ends_kills_nobody(seed: int) -> None:
    """Seen on real processes: the few had declared a death a second before, and then it was one for all."""
    made = swarm(40, seed)
    side = {f"n{i}" for i in range(6)}
    made.may_pass = lambda a, b: (a in side) == (b in side)
    for _ in range(200):  # until one of the few has declared a death, and its news is still on the way
        made.run(500)
        if any(seen in side for seen, c in made.history if c.after == "dead" and c.name not in side):
            break
    made.may_pass = lambda a, b: True
    made.history.clear()
    made.run(30_000)
    wrong = [(seen, name) for seen, name in deaths(made) if (seen in side) == (name in side)]
    assert wrong == [] and made.views_agree()


@pytest.mark.parametrize(("count", "gone", "within_ms"), [(60, 9, 9_000), (20, 14, 14_000)])
def test_many_deaths_at_once_are_known_about_as_soon_as_one(count: int, gone: int, within_ms: int) -> None:
    """Seen on sixty real processes: probes used up the budget of bytes, and nothing was passed on for ten
    seconds.
    """
    made = swarm(count, 3, NetworkConditions(loss_rate=0.1))
    for i in range(gone):
        made.kill(f"n{i}")
    made.run(within_ms)
    for process in made.running():
        assert {n for n, s in states(process).items() if s == "dead"} == {f"n{i}" for i in range(gone)}


def test_a_member_that_flaps_ends_as_it_stands() -> None:
    made = swarm(10, 4, RICH)
    for _ in range(4):
        made.kill("n4")
        made.run(9_000)
        made.start("n4", [made.processes["n0"].address], address=made.processes["n4"].address)
        made.run(4_000)
    settle(made, 20_000)
    assert {c.name for _, c in made.history if c.after == "dead"} == {"n4"}


def test_loss_duplicates_and_reordering_together() -> None:
    made = swarm(20, 6, NetworkConditions(loss_rate=0.2, duplicate_rate=0.2, straggler_rate=0.1))
    made.run(120_000)
    assert deaths(made) == []
    made.kill("n9")
    settle(made, 30_000)


# ---------------------------------------------------------------- bytes that are no good


def test_datagrams_replayed_from_an_hour_ago_change_nothing() -> None:
    made = swarm(6)
    kept: list[tuple[str, bytes]] = []
    send = made.send

    def tap(process: SimulatedProcess, address: str, data: bytes) -> None:
        kept.append((address, data))
        send(process, address, data)

    made.send = tap  # type: ignore[method-assign]
    made.start("gone", [made.processes["n0"].address])
    made.run(5_000)
    made.kill("gone")
    made.run(20_000)
    made.send = send  # type: ignore[method-assign]
    made.run(3_600_000)
    before = {p.name: states(p) for p in made.running()}
    made.history.clear()
    for address, data in kept:
        made.deliver(address, data)
    made.run(20_000)
    assert {p.name: states(p) for p in made.running()} == before and made.history == []
    assert sum(p.core.counts["dropped_replayed"] for p in made.running()) > 100


def test_damaged_cut_oversized_and_foreign_datagrams_are_counted_and_dropped() -> None:
    made = swarm(4)
    n0, n1 = made.processes["n0"], made.processes["n1"]
    good: list[bytes] = []
    for _ in range(40):
        made.run(100)
        n1.core._outbox.send(n0.address, MessageKind.GOSSIP, made.engine.now, 0, "", [n1.core.own_update])
        good += [datagram.data for datagram in n1.core._outbox.take()]
    rng = random.Random(7)
    before, counts = states(n0), n0.core.counts.copy()
    tries = 0
    for data in good:
        for _ in range(50):
            bad = bytearray(data)
            match rng.randrange(4):
                case 0:
                    bad[rng.randrange(len(bad))] ^= 1 << rng.randrange(8)
                case 1:
                    del bad[rng.randrange(len(bad)) :]
                case 2:
                    bad = bytearray(rng.randbytes(rng.randrange(1500)))
                case _:
                    bad += bytes(1201 - len(bad))
            n0.core.handle_datagram(bytes(bad), made.engine.now)
            tries += 1
    dropped = sum(v - counts[k] for k, v in n0.core.counts.items() if k.startswith("dropped_"))
    assert states(n0) == before and dropped >= 0.98 * tries  # a flip of a version may make a neighbour's
    n0.core.handle_datagram(encode_frame(MessageKind.GOSSIP, cluster_tag("other"), b"\x95"), made.engine.now)
    assert n0.core.counts["dropped_cluster"] >= 1


def test_a_stranger_that_names_no_address_is_not_answered() -> None:
    made = swarm(3)
    core = made.processes["n0"].core
    core.take_output()
    stranger = Sender("x", 1, 1, Phase.PRESENT, 1, 0)
    core.handle_datagram(
        encode_datagram(Message(MessageKind.PING, stranger, 1, "n0", "nowhere"), TAG, []),
        made.engine.now,
    )
    out = core.take_output()
    assert core.counts["dropped_malformed"] == 1 and not out.sync_addresses and not out.datagrams
    core.handle_datagram(
        encode_datagram(Message(MessageKind.PING, stranger, 1, "n0", "10.1.1.1:5"), TAG, []),
        made.engine.now,
    )
    out = core.take_output()
    assert out.sync_addresses == ["10.1.1.1:5"] and [address for address, _ in out.datagrams] == [
        "10.1.1.1:5"
    ]


def test_well_sealed_nonsense_is_dropped_too() -> None:
    """The checksum is no defence against a program that is wrong: types and bounds are looked at."""
    made = swarm(3)
    core = made.processes["n0"].core
    rng = random.Random(3)

    def junk(depth: int = 0) -> object:
        kinds: list[Callable[[], object]] = [
            lambda: rng.randrange(-5, 2**33),
            lambda: "x" * rng.randrange(80),
            lambda: rng.random(),
            lambda: None,
            lambda: b"\xff",
            lambda: [junk(depth + 1) for _ in range(rng.randrange(8))] if depth < 4 else 0,
            lambda: {str(i): junk(depth + 1) for i in range(3)} if depth < 4 else 0,
        ]
        return rng.choice(kinds)()

    before = states(made.processes["n0"])
    for _ in range(3_000):
        sender = ["n1", junk(), junk(), junk(), junk(), junk()]
        body = pack([sender, junk(), junk(), junk(), [junk(), junk()]])
        core.handle_datagram(encode_frame(MessageKind(rng.randrange(1, 6)), TAG, body), made.engine.now)
        frame = encode_frame(MessageKind(rng.choice([16, 17, 18])), TAG, pack([junk(), junk(), junk()]))
        sync.handle_request(core, frame, made.engine.now)
        for take in (sync.handle_response, sync.handle_completion):
            with contextlib.suppress(MembershipError):  # a list that is empty is no nonsense
                take(core, frame, made.engine.now)
    assert states(made.processes["n0"]) == before


def test_bounds_of_what_a_member_carries_are_kept_on_both_sides() -> None:
    for bad in (
        {"name": "n" * 65},
        {"zone": "z" * 33},
        {"role": "r" * 17},
        {"facts": {f"k{i}": "" for i in range(7)}},
        {"facts": {"k": "v" * 65}},
        {"address": "nowhere"},
        {"address": "127.0.0.1:99999"},
        {"address": "host:1"},
        {"address": "256.0.0.1:1"},
    ):
        with pytest.raises(MembershipError):
            Profile(**{"name": "a", "address": "127.0.0.1:1", **bad})  # type: ignore[arg-type]
    widest = Profile(
        "n" * 64, "255.255.255.255:65535", "z" * 32, "r" * 16, facts={f"{i}" * 24: "v" * 64 for i in range(6)}
    )
    update = StateUpdate(
        widest.name, 2**32 - 1, 2**32 - 1, Phase.PRESENT, Liveness.DEAD, "b" * 64, "w" * 64, widest
    )
    row = encode_update(update)
    assert decode_update(row) == update and len(pack(row)) < 1_200 - DATAGRAM_OVERHEAD_BYTES
    with pytest.raises(InvalidMessageError):
        decode_update(encode_update(replace(update, reason="w" * 65)))


def test_a_full_table_takes_no_more_and_says_so() -> None:
    made = SimulatedCluster(1, settings=ProtocolSettings(max_members=5, max_dead_members=2))
    first = made.start("n0")
    for i in range(1, 9):
        made.start(f"n{i}", [first.address])
    made.run(10_000)
    assert first.core.view.alive_count == 5 and first.core.view.rejected_updates > 0


# ---------------------------------------------------------------- one seed, one run


def test_equal_seeds_give_equal_histories() -> None:
    def history(seed: int) -> list[object]:
        made = swarm(12, seed, RICH)
        made.kill("n3")
        made.run(20_000)
        return [*made.history, made.engine.handled]

    assert history(9) == history(9) != history(10)
