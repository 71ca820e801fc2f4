"""Fault scenarios of the feed, with real followers and distribution servers in a simulated network."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.follower import Follower
from crowpost.config_feed.frames import FRAME_OVERHEAD_BYTES
from crowpost.config_feed.status_merge import merge_statuses
from crowpost.config_feed.tuning import Tuning
from crowpost.lab.feed.network import NetworkConditions
from crowpost.lab.feed.publishing import STEPS
from crowpost.lab.feed.records import put_into
from crowpost.lab.feed.simulation import CASES, Fleet, play

BYTES_PER_S, BURST_BYTES = Tuning().bytes_per_s, Tuning().burst_bytes


def converged_fleet(nodes: int = 21, seed: int = 1, conditions: NetworkConditions | None = None) -> Fleet:
    """Return a fleet in which all processes have a first document."""
    fleet = Fleet(nodes, seed, conditions)
    fleet.publish("all")
    fleet.world.run(5_000.0)
    check_converged(fleet)
    return fleet


def check_converged(fleet: Fleet) -> None:
    """Check that all subscribers applied all acknowledged documents, and no invariant was violated."""
    assert fleet.world.faults == []
    assert fleet.world.unreached() == {}
    assert fleet.world.converged()


def max_latency_s(fleet: Fleet, since: int = 0) -> float:
    """Return the longest time in seconds from a change until a node applied it."""
    return max(ms for change in fleet.world.changes[since:] for ms in change.latency_ms.values()) / 1000.0


def test_simulation_is_deterministic_for_equal_arguments() -> None:
    runs = [play("loss", 7, seed) for seed in (1, 1, 2)]
    assert runs[0] == runs[1] and runs[0]["trace"] != runs[2]["trace"]


@pytest.mark.parametrize("step", STEPS)
def test_publisher_killed_during_a_publish_reuses_no_version(step: str) -> None:
    fleet = converged_fleet()
    world = fleet.world
    fleet.publish("all", crash=step)
    world.run(3_000.0)
    acknowledged = len(world.changes)
    assert acknowledged == (2 if step == "announced" else 1)
    world.restart("p-east")
    world.run(10_000.0)
    versions = {world.processes[name].spec.disk["all"].header.version for name in fleet.nodes}
    # Version 2 survives if it was durable.
    assert versions == ({1} if step in ("received", "appended") else {2})
    fleet.publish("all")
    world.run(3_000.0)
    check_converged(fleet)
    bodies: dict[int, set[bytes]] = {}
    for applied in world.history.values():
        for document in applied:
            bodies.setdefault(document.header.version, set()).add(document.header.digest)
    # No version has two bodies.
    assert all(len(digests) == 1 for digests in bodies.values())


@pytest.mark.parametrize(
    ("case", "within_s"), [("relay-dies", 1.0), ("relay-dark", 2.0), ("relay-half", 2.5)]
)
def test_failed_or_truncating_relay_delays_a_change_by_a_few_seconds_at_most(
    case: str, within_s: float
) -> None:
    result = play(case, 28, 1)
    assert result["unreached"] == 0 and result["faults"] == [] and result["converged"]
    assert result["in_force_s"]["worst"] < within_s and result["changes"] == 25


def test_suspended_relay_is_disconnected_and_used_again_after_it_resumes() -> None:
    fleet = converged_fleet()
    world = fleet.world
    nodes_in_zone = [name for name in fleet.nodes if world.specs[name].zone == "e2"]
    world.suspend("r-e2", 15_000.0)
    for _ in range(5):
        fleet.publish("all")
        world.run(2_000.0)
    unreached_nodes = {name for names in world.unreached().values() for name in names}
    assert unreached_nodes == set() and max_latency_s(fleet, 1) < 1.5
    relay = world.specs["r-e2"].address
    followers = [world.processes[name].follower for name in nodes_in_zone]
    assert nodes_in_zone and all(
        follower is not None and relay not in follower.connected_servers for follower in followers
    )
    world.run(25_000.0)
    assert all(
        follower is not None
        and follower.connected_servers[0] == relay
        and len(follower.connected_servers) == 2
        for follower in followers
    )
    check_converged(fleet)


def test_node_suspended_during_a_change_applies_the_newest_version_after_it_resumes() -> None:
    fleet = converged_fleet()
    world = fleet.world
    fleet.publish("all", size=20_000)
    world.run(4.0)
    world.suspend("n3", 15_000.0)
    for _ in range(3):
        fleet.publish("all")
        world.run(3_000.0)
    world.run(6_500.0)
    check_converged(fleet)
    node = world.processes["n3"].follower
    assert node is not None and node.counts["lost"] == 0 and node.counts["slept"] >= 1


def test_node_restarted_during_a_change_applies_its_cached_version_and_then_the_newest() -> None:
    fleet = converged_fleet()
    world = fleet.world
    for after_ms in (1.0, 3.0, 5.0, 8.0, 40.0):
        fleet.publish("all", size=20_000)
        world.run(12.0 + after_ms)
        world.restart("n3")
        node = world.processes["n3"].follower
        assert node is not None
        cached = node.applied_document("all")
        assert cached is not None and cached.header.version >= world.changes[-1].header.version - 1
        world.run(3_000.0)
        check_converged(fleet)


def test_two_hundred_nodes_restarted_at_once_fetch_each_document_once() -> None:
    fleet = Fleet(200, 1)
    fleet.publish("all")
    fleet.world.run(5_000.0)
    for name in fleet.nodes:
        fleet.world.kill(name)
    fleet.publish("all", size=20_000)
    fleet.world.run(1_000.0)
    for name in fleet.nodes:
        fleet.world.restart(name)
    fleet.world.run(4_000.0)
    check_converged(fleet)
    assert max_latency_s(fleet, 1) < 2.0
    followers = [fleet.world.processes[name].follower for name in fleet.nodes]
    # Each node fetched the body once.
    assert sum(follower.counts["bodies"] for follower in followers if follower is not None) == 200
    servers = [fleet.world.processes[f"r-{zone}"].distribution_server for _, zone in fleet.zones]
    connection_counts = [
        distribution_server.followers for distribution_server in servers if distribution_server is not None
    ]
    # The connections are spread over the relays.
    assert max(connection_counts) < 2 * 2 * 200 / 7


def test_damaged_documents_are_never_applied() -> None:
    fleet = converged_fleet()
    world = fleet.world
    world.network.damage_fraction = {"r-e1": 0.2, "r-w1": 0.2, "p-east": 0.1}
    for index in range(20):
        fleet.publish(*fleet.scope(), size=2_000 + 500 * index)
        world.run(1_500.0)
    world.network.damage_fraction = {}
    world.run(20_000.0)
    check_converged(fleet)
    dropped = [
        core.counts["dropped_checksum"] + core.counts["dropped_magic"] + core.counts["dropped_oversized"]
        for process in world.processes.values()
        for core in (process.follower, process.distribution_server)
        if core is not None
    ]
    assert sum(dropped) > 20


def test_two_publishes_in_one_millisecond_get_two_versions() -> None:
    fleet = converged_fleet()
    for _ in range(2):
        fleet.publish("all")
    fleet.world.run(2_000.0)
    check_converged(fleet)
    assert [change.header.version for change in fleet.world.changes] == [1, 2, 3]
    assert all(fleet.world.specs[name].disk["all"].header.version == 3 for name in fleet.nodes)


def test_regions_partitioned_for_an_hour_keep_working_and_converge_afterwards() -> None:
    fleet = Fleet(2, 1, regions=(("east", ("e1",)), ("west", ("w1",))))
    world = fleet.world
    fleet.publish("all")
    world.run(5_000.0)
    world.network.partition("east", "west")
    for index in range(6):
        fleet.publish("region/east")
        fleet.publish("region/west", "p-west")
        if index == 2:
            fleet.publish("all")
        world.run(600_000.0)
    in_force = world.specs["n1"].disk
    assert in_force["region/west"].header.version == 6 and in_force["all"].header.version == 1
    assert list(world.unreached()) == ["all 2"]
    world.network.heal("east", "west")
    world.run(13_000.0)
    check_converged(fleet)
    for name in ("p-east", "p-west", "r-e1", "r-w1"):
        table = world.processes[name].follower.table  # type: ignore[union-attr]
        assert {scope: document.header.version for scope, document in table.documents.items()} == {
            "all": 2,
            "region/east": 6,
            "region/west": 6,
        }
        assert table.conflicts == []


def test_conflict_after_a_partition_is_resolved_alike_and_shown_in_the_status() -> None:
    fleet = converged_fleet(14)
    world = fleet.world
    world.network.partition("east", "west")
    world.run(6_000.0)
    fleet.publish("all", "p-east")
    # A configuration error: both publishers use their own region as the home region.
    fleet.publishing.authorities["p-west"] = replace(
        fleet.publishing.authorities["p-west"], home_region="west"
    )
    fleet.publish("all", "p-west")
    world.run(5_000.0)
    assert len({world.specs[name].disk["all"].header.digest for name in fleet.nodes}) == 2
    world.network.heal("east", "west")
    world.run(30_000.0)
    assert world.faults == [] and world.converged()
    assert {world.specs[name].disk["all"].header.writer for name in fleet.nodes} == {"p-west"}
    servers = [process for process in world.processes.values() if process.distribution_server is not None]
    statuses = [
        server.distribution_server.status(world.engine.now + server.offset)
        for server in servers
        if server.distribution_server is not None
    ]
    # The servers of the losing region and the merged status of all servers show the conflict.
    for status in [merge_statuses(statuses), *(status for status in statuses if status["region"] == "east")]:
        conflicts = status["conflicts"]
        assert isinstance(conflicts, list)
        pairs = {(conflict["kept"]["writer"], conflict["dropped"]["writer"]) for conflict in conflicts}
        assert pairs == {("p-west", "p-east")} and "writer" in {conflict["rule"] for conflict in conflicts}


def test_clock_jumps_do_not_prevent_convergence() -> None:
    fleet = converged_fleet()
    world = fleet.world
    for name in ("n1", "r-e1", "p-east", "n2", "r-w1"):
        for by_ms in (3_600_000.0, -3_600_000.0, -5_000.0, 15_000.0):
            world.jump_clock(name, by_ms)
            fleet.publish("all")
            world.run(4_000.0)
    world.run(10_000.0)
    check_converged(fleet)
    assert max_latency_s(fleet, 1) < 13.0


def test_nodes_stay_within_rate_and_burst_of_their_byte_budget() -> None:
    fleet = converged_fleet(14)
    world = fleet.world
    followers = {name: world.processes[name].follower for name in fleet.nodes}
    byte_counts = {name: [0] for name in fleet.nodes}
    # 120 changes of 4 kB in a minute exceed the budget of a node.
    for index in range(240):
        if index % 2:
            fleet.publish(
                ("all", "region/east", "region/west")[index // 2 % 3],
                "p-west" if index // 2 % 3 == 2 else "p-east",
                4_000,
            )
        world.run(250.0)
        for name, follower in followers.items():
            assert follower is not None
            byte_counts[name].append(follower.counts["bytes_in"] + follower.counts["bytes_out"])
    for counts in byte_counts.values():
        for index, first in enumerate(counts):
            for last_index in range(index + 1, len(counts)):
                assert (
                    counts[last_index] - first
                    <= BURST_BYTES + BYTES_PER_S * 0.25 * (last_index - index) + 4_200
                )
    world.run(60_000.0)
    check_converged(fleet)
    assert max_latency_s(fleet, 1) < 60.0


FAULTS = (
    "kill",
    "restart",
    "suspend",
    "partition",
    "damage",
    "truncate",
    "publish",
    "publish",
    "publish",
    "clock_jump",
    "crash",
)


class ByteBudgetMonitor:
    """Measures the largest excess of each node instance over its mean byte rate.

    An instance is excluded once its clock has jumped, as its seconds differ from those of the simulation.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._min_excess: dict[Follower, float] = {}
        self.max_excess = 0.0
        self.excluded: set[Follower | None] = set()
        self._sample()

    def _sample(self) -> None:
        world = self._fleet.world
        for name in self._fleet.nodes:
            follower = world.processes[name].follower
            assert follower is not None
            if follower in self.excluded:
                continue
            excess = (
                follower.counts["bytes_in"]
                + follower.counts["bytes_out"]
                - BYTES_PER_S * world.engine.now / 1000.0
            )
            self._min_excess[follower] = min(self._min_excess.get(follower, excess), excess)
            self.max_excess = max(self.max_excess, excess - self._min_excess[follower])
        world.engine.after(250.0, self._sample)


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_never_apply_older_or_damaged_documents(seed: int) -> None:
    """Checks that no node applies an older version or a damaged body, and all agree after the last fault."""
    rng = random.Random(seed)
    conditions = NetworkConditions(
        loss_fraction=rng.choice((0.0, 0.05, 0.2)), starved_fraction=rng.choice((0.0, 0.1))
    )
    fleet = Fleet(10, seed, conditions)
    world = fleet.world
    monitor = ByteBudgetMonitor(fleet)
    fleet.publish("all")
    world.run(3_000.0)
    world.start_starvation()
    names = list(world.processes)
    for _ in range(25):
        name = rng.choice(names)
        process = world.processes[name]
        match rng.choice(FAULTS):
            case "kill":
                world.kill(name, unreachable=rng.random() < 0.5)
            case "restart":
                world.restart(name)
            case "suspend":
                world.suspend(name, rng.uniform(100.0, 20_000.0))
            case "partition":
                world.network.heal("east", "west") if world.network.partitions else world.network.partition(
                    "east", "west"
                )
            case "damage":
                world.network.damage_fraction[name] = rng.choice((0.0, 0.3))
            case "truncate":
                process.truncates_bodies = not process.truncates_bodies
            case "clock_jump":
                world.jump_clock(name, rng.uniform(-60_000.0, 60_000.0))
                monitor.excluded.add(process.follower)
            case "crash":
                fleet.publish("region/west", "p-west", crash=rng.choice(STEPS))
            case _:
                scope, publisher = fleet.scope()
                fleet.publish(scope, publisher, size=rng.choice((10, 2_000, 40_000)))
        world.run(rng.choice((1.0, 100.0, 1_000.0, 5_000.0)))
    if world.network.partitions:
        world.network.heal("east", "west")
    world.network.damage_fraction = {}
    for name in names:
        world.processes[name].truncates_bodies = False
    # Suspended processes resume; one may still be killed during a publish that the suspension delayed.
    world.run(20_000.0)
    for name in names:
        if not world.processes[name].up:
            world.restart(name)
    world.run(60_000.0)
    check_converged(fleet)
    assert 0.0 < monitor.max_excess <= BURST_BYTES + 4_200  # one frame of headers may exceed the burst
    for name in fleet.nodes:
        ranks: dict[str, tuple[int, int, str, bytes]] = {}
        for document in world.history.get(name, []):
            header = document.header
            assert document.is_intact and header.rank > ranks.get(header.scope, (0, 0, "", b""))
            ranks[header.scope] = header.rank


def test_simulation_cases_converge_and_an_unknown_case_is_rejected() -> None:
    with pytest.raises(FeedError, match="no case 'nothing'"):
        play("nothing", 7, 1)
    for case in ("burst-loss", "publisher-killed", "zone", "all-back"):
        result = play(case, 7, 1)
        assert result["unreached"] == 0 and result["faults"] == [] and result["in_force_s"]["worst"] < 13.0
    assert len(CASES) >= 13
    assert FRAME_OVERHEAD_BYTES == 16


def test_command_updates_the_record_file_and_reports_errors_in_one_line(tmp_path: Path) -> None:
    def crowpost(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "crowpost.cli.main", "lab", "feed", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)

    file = tmp_path / "feed.json"
    put_into(file, play("all-back", 7, 2))
    put_into(file, {**play("all-back", 7, 1), "trace": "of an older run"})
    result = crowpost("all-back", "--nodes", "7", "--seed", "1", "--json", "--into", str(file))
    assert result.returncode == 0, result.stderr
    record = json.loads(file.read_text())
    assert [run["seed"] for run in record["runs"]] == [1, 2] and record["schema"] == 1
    assert record["runs"][0] == json.loads(result.stdout)["runs"][0]
    # Documents are not distributed by gossip, as its cost for a node grows with the number of members.
    costs = [row["gossip_standings_bytes"] for row in record["gossip"]]
    assert costs == sorted(costs) and costs[0] > 100 * record["gossip"][0]["feed_standing_bytes"]
    result = crowpost("--table", str(file))
    assert result.returncode == 0 and result.stdout.splitlines()[2].startswith("| all-back | 7 | 1 | 3 |")
    result = crowpost("nothing")
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1, result.stderr
    file.write_text("[]")
    with pytest.raises(FeedError, match="no record of runs"):
        put_into(file, record["runs"][0])
    assert file.read_text() == "[]"
