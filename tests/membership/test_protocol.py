"""Tests of the protocol under faults: real cores in simulated time."""

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
from crowpost.membership.errors import InvalidMessageError, MembershipError, SyncRejectedError
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
BAD_NETWORK = NetworkConditions(loss_rate=0.05, duplicate_rate=0.05, straggler_rate=0.05)


def joined_cluster(
    count: int, seed: int = 1, conditions: NetworkConditions | None = None
) -> SimulatedCluster:
    """Return a cluster of processes that joined through the first three and know each other."""
    cluster = SimulatedCluster(seed, conditions)
    contacts = [cluster.start("n0").address]
    for i in range(1, count):
        process = cluster.start(f"n{i}", contacts)
        if i < 3:
            contacts.append(process.address)
    cluster.run(15_000)
    assert cluster.views_agree()
    return cluster


def observed_deaths(cluster: SimulatedCluster, member: str = "") -> list[tuple[str, str]]:
    """Return (observer, member) of each change to dead, for all members or for one."""
    deaths = [(observer, c.name) for observer, c in cluster.history if c.after == "dead"]
    return [death for death in deaths if not member or death[1] == member]


def states_seen_by(process: SimulatedProcess) -> dict[str, str]:
    return {m.name: m.state for m in process.core.view.members.values()}


def run_until_views_agree(cluster: SimulatedCluster, within_ms: float) -> None:
    """Run the cluster until all views agree; fail the test after `within_ms`."""
    for _ in range(int(within_ms / 500)):
        if cluster.views_agree():
            return
        cluster.run(500)
    states = {
        p.name: {n: s for n, s in states_seen_by(p).items() if s != "present"} for p in cluster.running()
    }
    pytest.fail(f"views differ after {within_ms} ms: {states}")


# ---------------------------------------------------------------- regular operation


def test_all_members_learn_of_a_death_and_a_leave_is_not_reported_as_a_death() -> None:
    cluster = joined_cluster(20)
    cluster.kill("n7")
    n8 = cluster.processes["n8"]
    n8.core.leave(cluster.engine.now)
    cluster.process_output(n8)
    cluster.run(12_000)
    for process in cluster.running():
        if process is not n8:
            assert states_seen_by(process)["n7"] == "dead" and states_seen_by(process)["n8"] == "left"
    n8.up = False
    cluster.run(20_000)
    assert observed_deaths(cluster, "n8") == []
    dead = cluster.processes["n0"].core.view.members["n7"]
    assert "no answer" in dead.reason and dead.origin in cluster.processes


def test_all_members_learn_of_a_phase_change() -> None:
    cluster = joined_cluster(8)
    n3 = cluster.processes["n3"]
    n3.core.announce_phase(Phase.LEAVING, cluster.engine.now, "drained")
    cluster.process_output(n3)
    cluster.run(3_000)
    assert {states_seen_by(p)["n3"] for p in cluster.running()} == {"leaving"}
    n3.core.announce_phase(Phase.PRESENT, cluster.engine.now)
    cluster.process_output(n3)
    cluster.run(3_000)
    assert {states_seen_by(p)["n3"] for p in cluster.running()} == {"present"}


def test_a_join_needs_one_live_contact_and_members_do_not_depend_on_contacts_later() -> None:
    cluster = joined_cluster(6)
    late = cluster.start("late", ["10.9.9.1:1", "10.9.9.2:1", cluster.processes["n1"].address])
    run_until_views_agree(cluster, 20_000)
    for i in range(3):
        cluster.kill(f"n{i}")
    run_until_views_agree(cluster, 20_000)
    assert len(late.core.view.members) == 7


def test_a_cluster_forms_when_all_processes_start_at_once() -> None:
    cluster = SimulatedCluster(3)
    addresses = [f"10.0.0.{i}:7000" for i in range(3)]
    for i in range(80):
        cluster.start(f"n{i}", addresses, address=addresses[i] if i < 3 else "")
    run_until_views_agree(cluster, 20_000)
    assert observed_deaths(cluster) == []


def test_a_sync_rejects_another_cluster_and_an_incompatible_wire_version() -> None:
    def core(cluster: str) -> MembershipCore:
        return MembershipCore(cluster, Profile("a", "127.0.0.1:1"), (), seed=1, instance_id=5, now=0.0)

    local, remote = core("main"), core("other")
    with pytest.raises(SyncRejectedError, match="this is cluster 'main', not 'other'"):
        sync.handle_response(remote, sync.handle_request(local, sync.make_request(remote), 1.0), 1.0)
    request = bytearray(sync.make_request(local))
    request[2] = WIRE_VERSION + 2
    with pytest.raises(
        SyncRejectedError, match=f"wire version {WIRE_VERSION + 2}, this process speaks {WIRE_VERSION}"
    ):
        sync.handle_response(local, sync.handle_request(local, bytes(request), 1.0), 1.0)


def test_a_datagram_of_the_next_wire_version_with_appended_items_is_accepted() -> None:
    cluster = joined_cluster(3)
    n0, n1 = cluster.processes["n0"], cluster.processes["n1"]
    sender = n1.core.own_update
    body = pack(
        [
            ["n1", sender.instance_id, sender.incarnation, 1, 9_000, 0, "new"],
            7,
            "n0",
            n1.address,
            [],
            {"more": 1},
        ]
    )
    header = HEADER.pack(MAGIC, WIRE_VERSION + 1, int(MessageKind.PING), TAG, zlib.crc32(body))
    n0.core.take_output()
    n0.core.handle_datagram(header + body, cluster.engine.now)
    output = n0.core.take_output()
    assert [address for address, _ in output.datagrams] == [n1.address]
    assert decode_datagram(output.datagrams[0][1], TAG, 1200).kind is MessageKind.ACK


# ---------------------------------------------------------------- restarts and upgrades


@pytest.mark.parametrize("address", ["", "10.7.7.7:7000"])
def test_a_process_that_restarts_before_its_death_is_detected_is_never_seen_dead(address: str) -> None:
    """The new process may have the same address or another one."""
    cluster = joined_cluster(12)
    old = cluster.processes["n5"]
    cluster.kill("n5")
    cluster.run(300)
    new = cluster.start("n5", [cluster.processes["n0"].address], address=address or old.address)
    run_until_views_agree(cluster, 20_000)
    cluster.run(15_000)
    assert cluster.views_agree() and observed_deaths(cluster) == []
    for process in cluster.running():
        member = process.core.view.members["n5"]
        assert member.instance_id == new.core.own_update.instance_id and member.profile.address == new.address


def test_a_restarted_process_keeps_its_name_when_its_contacts_restarted_too() -> None:
    """Seen on real processes: the process synced with contacts whose views were still empty, treated them
    as complete, and then became superseded by its own dead predecessor.
    """
    cluster = joined_cluster(12)
    addresses = {name: cluster.processes[name].address for name in ("n0", "n1", "n2", "n5")}
    for name in addresses:
        cluster.kill(name)
    cluster.run(500)
    contacts = [addresses["n0"], addresses["n1"], addresses["n2"]]
    for name, address in addresses.items():
        cluster.start(name, [c for c in contacts if c != address], address=address)
    run_until_views_agree(cluster, 30_000)
    assert not any(process.core.superseded for process in cluster.running())


def test_a_process_superseded_by_mistake_becomes_active_again() -> None:
    cluster = joined_cluster(8)
    n5 = cluster.processes["n5"]
    successor = replace(n5.core.own_update, instance_id=77, incarnation=n5.core.own_update.incarnation + 1)
    n5.core.apply_update(successor, cluster.engine.now)
    assert n5.core.superseded
    for phase in (Phase.LEAVING, Phase.PRESENT):
        n5.core.announce_phase(phase, cluster.engine.now)
    cluster.process_output(n5)
    cluster.processes["n0"].core.apply_update(successor, cluster.engine.now)
    cluster.run(60_000)
    assert not n5.core.superseded and cluster.views_agree()


def test_the_end_of_a_superseded_process_is_not_reported_as_a_death() -> None:
    cluster = joined_cluster(12)
    old = cluster.processes.pop("n5")
    cluster.processes["n5 before"] = old
    new = cluster.start("n5", [cluster.processes["n0"].address])
    cluster.run(15_000)
    assert old.core.superseded and not new.core.superseded
    assert all(states_seen_by(p).get("n5") == "present" for p in cluster.running())
    old.core.leave(cluster.engine.now)
    cluster.process_output(old)
    cluster.run(2_000)
    old.up = False
    cluster.run(20_000)
    assert observed_deaths(cluster) == [] and all(c.after != "left" for _, c in cluster.history)
    assert cluster.views_agree()


def test_a_superseded_process_becomes_active_when_its_successor_dies() -> None:
    cluster = joined_cluster(8)
    old = cluster.processes.pop("n5")
    cluster.processes["n5 before"] = old
    new = cluster.start("n5", [cluster.processes["n0"].address])
    cluster.run(5_000)
    assert old.core.superseded
    new.up = False
    cluster.run(40_000)
    assert not old.core.superseded
    for process in cluster.running():
        member = process.core.view.members["n5"]
        assert member.state == "present" and member.instance_id == old.core.own_update.instance_id


def test_a_wall_clock_that_jumps_changes_nothing() -> None:
    """The start time is for display only: a process started in 2000 replaces one started in 2040."""
    cluster = joined_cluster(5)
    cluster.kill("n4")
    cluster.start("n4", [cluster.processes["n0"].address], started_s=2_208_988_800.0)
    run_until_views_agree(cluster, 15_000)
    cluster.kill("n4")
    new = cluster.start("n4", [cluster.processes["n0"].address], started_s=946_684_800.0)
    run_until_views_agree(cluster, 15_000)
    assert cluster.processes["n1"].core.view.members["n4"].instance_id == new.core.own_update.instance_id


# ---------------------------------------------------------------- slow machines and network faults


@pytest.mark.parametrize("seed", range(4))
def test_a_process_that_was_paused_for_15_s_declares_no_member_dead(seed: int) -> None:
    cluster = joined_cluster(16, seed)
    cluster.pause("n6", 15_000.0)
    cluster.run(14_900)
    assert all(states_seen_by(p)["n6"] == "dead" for p in cluster.running() if p.name != "n6")
    cluster.history.clear()
    cluster.run(30_000)
    assert observed_deaths(cluster) == [] and cluster.views_agree()


def test_starved_members_are_not_declared_dead() -> None:
    cluster = joined_cluster(30, 5, NetworkConditions(loss_rate=0.1, starved_fraction=0.1))
    cluster.starve()
    cluster.run(300_000)
    assert observed_deaths(cluster) == []


def test_a_one_way_link_causes_no_death() -> None:
    cluster = joined_cluster(10)
    cluster.may_pass = lambda sender, receiver: (sender, receiver) != ("n2", "n3")
    cluster.run(60_000)
    assert observed_deaths(cluster) == [] and cluster.views_agree()


@pytest.mark.parametrize(("count", "side_size", "for_s"), [(24, 12, 30), (100, 10, 150)])
def test_a_cluster_recovers_from_a_partition(count: int, side_size: int, for_s: int) -> None:
    """The smaller side probes less often while it gets no answers, so it needs longer to declare the members
    of the larger side dead.
    """
    cluster = joined_cluster(count, 2)
    side = {f"n{i}" for i in range(side_size)}
    cluster.may_pass = lambda sender, receiver: (sender in side) == (receiver in side)
    cluster.run(1_000 * for_s)
    for process in cluster.running():
        alive = {n for n, s in states_seen_by(process).items() if s == "present"}
        assert alive == (side if process.name in side else set(cluster.processes) - side)
    cluster.may_pass = lambda sender, receiver: True
    cluster.history.clear()
    run_until_views_agree(cluster, 30_000)
    assert observed_deaths(cluster) == [], "no member is declared dead when the sides rejoin"


@pytest.mark.parametrize("seed", range(3))
def test_a_death_declared_across_a_partition_just_before_it_ends_does_not_spread(seed: int) -> None:
    """Seen on real processes: the smaller side declared a member dead a second before the partition ended,
    and then all members accepted that death.
    """
    cluster = joined_cluster(40, seed)
    side = {f"n{i}" for i in range(6)}
    cluster.may_pass = lambda sender, receiver: (sender in side) == (receiver in side)
    for _ in range(200):  # Until the smaller side has declared a death that is still being broadcast
        cluster.run(500)
        if any(o in side for o, c in cluster.history if c.after == "dead" and c.name not in side):
            break
    cluster.may_pass = lambda sender, receiver: True
    cluster.history.clear()
    cluster.run(30_000)
    false_deaths = [(o, name) for o, name in observed_deaths(cluster) if (o in side) == (name in side)]
    assert false_deaths == [] and cluster.views_agree()


@pytest.mark.parametrize(("count", "deaths", "within_ms"), [(60, 9, 9_000), (20, 14, 14_000)])
def test_many_simultaneous_deaths_are_known_about_as_soon_as_one(
    count: int, deaths: int, within_ms: int
) -> None:
    """Seen on sixty real processes: probes used up the byte budget, and no update was broadcast for ten
    seconds.
    """
    cluster = joined_cluster(count, 3, NetworkConditions(loss_rate=0.1))
    for i in range(deaths):
        cluster.kill(f"n{i}")
    cluster.run(within_ms)
    for process in cluster.running():
        assert {n for n, s in states_seen_by(process).items() if s == "dead"} == {
            f"n{i}" for i in range(deaths)
        }


def test_a_flapping_member_is_finally_seen_in_its_actual_state() -> None:
    cluster = joined_cluster(10, 4, BAD_NETWORK)
    for _ in range(4):
        cluster.kill("n4")
        cluster.run(9_000)
        cluster.start("n4", [cluster.processes["n0"].address], address=cluster.processes["n4"].address)
        cluster.run(4_000)
    run_until_views_agree(cluster, 20_000)
    assert {c.name for _, c in cluster.history if c.after == "dead"} == {"n4"}


def test_loss_duplicates_and_reordering_cause_no_false_death() -> None:
    cluster = joined_cluster(20, 6, NetworkConditions(loss_rate=0.2, duplicate_rate=0.2, straggler_rate=0.1))
    cluster.run(120_000)
    assert observed_deaths(cluster) == []
    cluster.kill("n9")
    run_until_views_agree(cluster, 30_000)


# ---------------------------------------------------------------- invalid bytes


def test_datagrams_replayed_from_an_hour_ago_change_nothing() -> None:
    cluster = joined_cluster(6)
    recorded: list[tuple[str, bytes]] = []
    send = cluster.send

    def record_and_send(process: SimulatedProcess, address: str, data: bytes) -> None:
        recorded.append((address, data))
        send(process, address, data)

    cluster.send = record_and_send  # type: ignore[method-assign]
    cluster.start("gone", [cluster.processes["n0"].address])
    cluster.run(5_000)
    cluster.kill("gone")
    cluster.run(20_000)
    cluster.send = send  # type: ignore[method-assign]
    cluster.run(3_600_000)
    before = {p.name: states_seen_by(p) for p in cluster.running()}
    cluster.history.clear()
    for address, data in recorded:
        cluster.deliver(address, data)
    cluster.run(20_000)
    assert {p.name: states_seen_by(p) for p in cluster.running()} == before and cluster.history == []
    assert sum(p.core.counts["dropped_replayed"] for p in cluster.running()) > 100


def test_damaged_truncated_oversized_and_foreign_datagrams_are_counted_and_dropped() -> None:
    cluster = joined_cluster(4)
    n0, n1 = cluster.processes["n0"], cluster.processes["n1"]
    valid_datagrams: list[bytes] = []
    for _ in range(40):
        cluster.run(100)
        n1.core._outbox.send(n0.address, MessageKind.GOSSIP, cluster.engine.now, 0, "", [n1.core.own_update])
        valid_datagrams += [datagram.data for datagram in n1.core._outbox.take()]
    rng = random.Random(7)
    before, counts = states_seen_by(n0), n0.core.counts.copy()
    attempts = 0
    for data in valid_datagrams:
        for _ in range(50):
            damaged = bytearray(data)
            match rng.randrange(4):
                case 0:
                    damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
                case 1:
                    del damaged[rng.randrange(len(damaged)) :]
                case 2:
                    damaged = bytearray(rng.randbytes(rng.randrange(1500)))
                case _:
                    damaged += bytes(1201 - len(damaged))
            n0.core.handle_datagram(bytes(damaged), cluster.engine.now)
            attempts += 1
    dropped = sum(v - counts[k] for k, v in n0.core.counts.items() if k.startswith("dropped_"))
    assert (
        states_seen_by(n0) == before and dropped >= 0.98 * attempts
    )  # A flipped bit in the wire version may result in a compatible version
    n0.core.handle_datagram(
        encode_frame(MessageKind.GOSSIP, cluster_tag("other"), b"\x95"), cluster.engine.now
    )
    assert n0.core.counts["dropped_cluster"] >= 1


def test_an_unknown_sender_without_a_valid_address_is_not_answered() -> None:
    cluster = joined_cluster(3)
    core = cluster.processes["n0"].core
    core.take_output()
    unknown_sender = Sender("x", 1, 1, Phase.PRESENT, 1, 0)
    core.handle_datagram(
        encode_datagram(Message(MessageKind.PING, unknown_sender, 1, "n0", "nowhere"), TAG, []),
        cluster.engine.now,
    )
    output = core.take_output()
    assert core.counts["dropped_malformed"] == 1 and not output.sync_addresses and not output.datagrams
    core.handle_datagram(
        encode_datagram(Message(MessageKind.PING, unknown_sender, 1, "n0", "10.1.1.1:5"), TAG, []),
        cluster.engine.now,
    )
    output = core.take_output()
    assert output.sync_addresses == ["10.1.1.1:5"] and [address for address, _ in output.datagrams] == [
        "10.1.1.1:5"
    ]


def test_messages_of_random_values_are_dropped() -> None:
    """The checksum does not protect against a faulty sender: types and limits must be checked as well."""
    cluster = joined_cluster(3)
    core = cluster.processes["n0"].core
    rng = random.Random(3)

    def noise(depth: int = 0) -> object:
        kinds: list[Callable[[], object]] = [
            lambda: rng.randrange(-5, 2**33),
            lambda: "x" * rng.randrange(80),
            lambda: rng.random(),
            lambda: None,
            lambda: b"\xff",
            lambda: [noise(depth + 1) for _ in range(rng.randrange(8))] if depth < 4 else 0,
            lambda: {str(i): noise(depth + 1) for i in range(3)} if depth < 4 else 0,
        ]
        return rng.choice(kinds)()

    before = states_seen_by(cluster.processes["n0"])
    for _ in range(3_000):
        sender = ["n1", noise(), noise(), noise(), noise(), noise()]
        body = pack([sender, noise(), noise(), noise(), [noise(), noise()]])
        core.handle_datagram(encode_frame(MessageKind(rng.randrange(1, 6)), TAG, body), cluster.engine.now)
        frame = encode_frame(MessageKind(rng.choice([16, 17, 18])), TAG, pack([noise(), noise(), noise()]))
        sync.handle_request(core, frame, cluster.engine.now)
        for handle_frame in (sync.handle_response, sync.handle_completion):
            with contextlib.suppress(MembershipError):  # A frame with an empty list is valid
                handle_frame(core, frame, cluster.engine.now)
    assert states_seen_by(cluster.processes["n0"]) == before


def test_the_limits_of_a_profile_are_checked_on_creation_and_on_decoding() -> None:
    for invalid_field in (
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
            Profile(**{"name": "a", "address": "127.0.0.1:1", **invalid_field})  # type: ignore[arg-type]
    largest = Profile(
        "n" * 64, "255.255.255.255:65535", "z" * 32, "r" * 16, facts={f"{i}" * 24: "v" * 64 for i in range(6)}
    )
    update = StateUpdate(
        largest.name, 2**32 - 1, 2**32 - 1, Phase.PRESENT, Liveness.DEAD, "b" * 64, "w" * 64, largest
    )
    row = encode_update(update)
    assert decode_update(row) == update and len(pack(row)) < 1_200 - DATAGRAM_OVERHEAD_BYTES
    with pytest.raises(InvalidMessageError):
        decode_update(encode_update(replace(update, reason="w" * 65)))


def test_a_full_view_rejects_members_and_counts_them() -> None:
    cluster = SimulatedCluster(1, settings=ProtocolSettings(max_members=5, max_dead_members=2))
    first = cluster.start("n0")
    for i in range(1, 9):
        cluster.start(f"n{i}", [first.address])
    cluster.run(10_000)
    assert first.core.view.alive_count == 5 and first.core.view.rejected_updates > 0


# ---------------------------------------------------------------- determinism


def test_equal_seeds_give_equal_histories() -> None:
    def history(seed: int) -> list[object]:
        cluster = joined_cluster(12, seed, BAD_NETWORK)
        cluster.kill("n3")
        cluster.run(20_000)
        return [*cluster.history, cluster.engine.handled]

    assert history(9) == history(9) != history(10)
