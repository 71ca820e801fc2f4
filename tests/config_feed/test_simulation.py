"""The feed by its hard cases: each is a fault that a fleet meets, on the real cores in simulated time."""

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
from crowpost.lab.feed.simulation import CASES, Fleet, play, put_into

RATE, SAVED = Tuning().bytes_per_s, Tuning().burst_bytes


def fleet(nodes: int = 21, seed: int = 1, conditions: NetworkConditions | None = None) -> Fleet:
    """A fleet that holds a first document everywhere."""
    made = Fleet(nodes, seed, conditions)
    made.publish("all")
    made.world.run(5_000.0)
    settled(made)
    return made


def settled(made: Fleet) -> None:
    """All that was acknowledged is in force wherever it is owed, and no invariant was broken."""
    assert made.world.faults == []
    assert made.world.unreached() == {}
    assert made.world.converged()


def worst(made: Fleet, since: int = 0) -> float:
    """Seconds from a change to the last that had it."""
    return max(ms for change in made.world.changes[since:] for ms in change.latency_ms.values()) / 1000.0


def test_equal_arguments_give_an_equal_run() -> None:
    runs = [play("loss", 7, seed) for seed in (1, 1, 2)]
    assert runs[0] == runs[1] and runs[0]["trace"] != runs[2]["trace"]


@pytest.mark.parametrize("step", STEPS)
def test_a_publisher_killed_at_a_step_of_a_publish(step: str) -> None:
    made = fleet()
    world = made.world
    made.publish("all", crash=step)
    world.run(3_000.0)
    acknowledged = len(world.changes)
    assert acknowledged == (2 if step == "announced" else 1)
    world.restart("p-east")
    world.run(10_000.0)
    held = {world.processes[name].spec.disk["all"].header.version for name in made.nodes}
    assert held == ({1} if step in ("received", "appended") else {2})  # as far as it was on the disk
    made.publish("all")
    world.run(3_000.0)
    settled(made)
    bodies: dict[int, set[bytes]] = {}
    for taken in world.history.values():
        for document in taken:
            bodies.setdefault(document.header.version, set()).add(document.header.digest)
    assert all(len(found) == 1 for found in bodies.values())  # no version was given out twice


@pytest.mark.parametrize(
    ("case", "within_s"), [("relay-dies", 1.0), ("relay-dark", 2.0), ("relay-half", 2.5)]
)
def test_a_relay_that_dies_or_sends_half_costs_about_a_second(case: str, within_s: float) -> None:
    found = play(case, 28, 1)
    assert found["unreached"] == 0 and found["faults"] == [] and found["converged"]
    assert found["in_force_s"]["worst"] < within_s and found["changes"] == 25


def test_a_relay_that_stalls_is_disconnected_and_used_again() -> None:
    made = fleet()
    world = made.world
    near = [name for name in made.nodes if world.specs[name].zone == "e2"]
    world.suspend("r-e2", 15_000.0)
    for _ in range(5):
        made.publish("all")
        world.run(2_000.0)
    settled_but = {name for names in world.unreached().values() for name in names}
    assert settled_but == set() and worst(made, 1) < 1.5
    relay = world.specs["r-e2"].address
    watched = [world.processes[name].follower for name in near]
    assert near and all(f is not None and relay not in f.connected_servers for f in watched)
    world.run(25_000.0)
    assert all(
        f is not None and f.connected_servers[0] == relay and len(f.connected_servers) == 2 for f in watched
    )
    settled(made)


def test_a_node_that_sleeps_amid_a_change_wakes_to_the_newest() -> None:
    made = fleet()
    world = made.world
    made.publish("all", size=20_000)
    world.run(4.0)
    world.suspend("n3", 15_000.0)
    for _ in range(3):
        made.publish("all")
        world.run(3_000.0)
    world.run(6_500.0)
    settled(made)
    node = world.processes["n3"].follower
    assert node is not None and node.counts["lost"] == 0 and node.counts["slept"] >= 1


def test_a_node_that_restarts_amid_a_change_holds_the_last_good_one_and_then_the_newest() -> None:
    made = fleet()
    world = made.world
    for after_ms in (1.0, 3.0, 5.0, 8.0, 40.0):
        made.publish("all", size=20_000)
        world.run(12.0 + after_ms)
        world.restart("n3")
        node = world.processes["n3"].follower
        assert node is not None
        kept = node.applied_document("all")
        assert kept is not None and kept.header.version >= world.changes[-1].header.version - 1
        world.run(3_000.0)
        settled(made)


def test_two_hundred_nodes_that_are_back_at_once() -> None:
    made = Fleet(200, 1)
    made.publish("all")
    made.world.run(5_000.0)
    for name in made.nodes:
        made.world.kill(name)
    made.publish("all", size=20_000)
    made.world.run(1_000.0)
    for name in made.nodes:
        made.world.restart(name)
    made.world.run(4_000.0)
    settled(made)
    assert worst(made, 1) < 2.0
    cores = [made.world.processes[name].follower for name in made.nodes]
    assert sum(core.counts["bodies"] for core in cores if core is not None) == 200  # each asked once
    hubs = [made.world.processes[f"r-{zone}"].distribution_server for _, zone in made.zones]
    connection_ids = [
        distribution_server.followers for distribution_server in hubs if distribution_server is not None
    ]
    assert max(connection_ids) < 2 * 2 * 200 / 7  # no relay is left with all of them


def test_documents_damaged_on_the_way_are_never_applied() -> None:
    made = fleet()
    world = made.world
    world.network.damage_fraction = {"r-e1": 0.2, "r-w1": 0.2, "p-east": 0.1}
    for i in range(20):
        made.publish(*made.scope(), size=2_000 + 500 * i)
        world.run(1_500.0)
    world.network.damage_fraction = {}
    world.run(20_000.0)
    settled(made)
    dropped = [
        core.counts["dropped_checksum"] + core.counts["dropped_magic"] + core.counts["dropped_oversized"]
        for process in world.processes.values()
        for core in (process.follower, process.distribution_server)
        if core is not None
    ]
    assert sum(dropped) > 20


def test_two_publishes_in_one_millisecond_are_two_versions() -> None:
    made = fleet()
    for _ in range(2):
        made.publish("all")
    made.world.run(2_000.0)
    settled(made)
    assert [change.header.version for change in made.world.changes] == [1, 2, 3]
    assert all(made.world.specs[name].disk["all"].header.version == 3 for name in made.nodes)


def test_regions_cut_for_an_hour_go_on_and_are_joined_without_loss() -> None:
    made = Fleet(2, 1, regions=(("east", ("e1",)), ("west", ("w1",))))
    world = made.world
    made.publish("all")
    world.run(5_000.0)
    world.network.partition("east", "west")
    for i in range(6):
        made.publish("region/east")
        made.publish("region/west", "p-west")
        if i == 2:
            made.publish("all")
        world.run(600_000.0)
    in_force = world.specs["n1"].disk
    assert in_force["region/west"].header.version == 6 and in_force["all"].header.version == 1
    assert list(world.unreached()) == ["all 2"]
    world.network.heal("east", "west")
    world.run(13_000.0)
    settled(made)
    for name in ("p-east", "p-west", "r-e1", "r-w1"):
        table = world.processes[name].follower.table  # type: ignore[union-attr]
        assert {s: d.header.version for s, d in table.documents.items()} == {
            "all": 2,
            "region/east": 6,
            "region/west": 6,
        }
        assert table.conflicts == []


def test_two_answers_after_a_cut_are_shown_everywhere_and_one_holds() -> None:
    made = fleet(14)
    world = made.world
    world.network.partition("east", "west")
    world.run(6_000.0)
    made.publish("all", "p-east")
    made.publishing.authorities["p-west"] = replace(
        made.publishing.authorities["p-west"], home_region="west"
    )  # configured wrongly
    made.publish("all", "p-west")
    world.run(5_000.0)
    assert len({world.specs[name].disk["all"].header.digest for name in made.nodes}) == 2
    world.network.heal("east", "west")
    world.run(30_000.0)
    assert world.faults == [] and world.converged()
    assert {world.specs[name].disk["all"].header.writer for name in made.nodes} == {"p-west"}
    hubs = [process for process in world.processes.values() if process.distribution_server is not None]
    told = [
        p.distribution_server.status(world.engine.now + p.offset)
        for p in hubs
        if p.distribution_server is not None
    ]
    # All whose answer had to give way know of both, and so does a status that asks all.
    for status in [merge_statuses(told), *(status for status in told if status["region"] == "east")]:
        found = status["conflicts"]
        assert isinstance(found, list)
        pairs = {(c["kept"]["writer"], c["dropped"]["writer"]) for c in found}
        assert pairs == {("p-west", "p-east")} and "writer" in {c["rule"] for c in found}


def test_clocks_that_jump_harm_nobody() -> None:
    made = fleet()
    world = made.world
    for name in ("n1", "r-e1", "p-east", "n2", "r-w1"):
        for by_ms in (3_600_000.0, -3_600_000.0, -5_000.0, 15_000.0):
            world.jump_clock(name, by_ms)
            made.publish("all")
            world.run(4_000.0)
    world.run(10_000.0)
    settled(made)
    assert worst(made, 1) < 13.0


def test_no_node_passes_its_bytes_and_what_was_saved_up() -> None:
    made = fleet(14)
    world = made.world
    cores = {name: world.processes[name].follower for name in made.nodes}
    sums = {name: [0] for name in made.nodes}
    for i in range(240):  # a hundred and twenty changes of 4 kB in a minute: more than the budget allows
        if i % 2:
            made.publish(
                ("all", "region/east", "region/west")[i // 2 % 3],
                "p-west" if i // 2 % 3 == 2 else "p-east",
                4_000,
            )
        world.run(250.0)
        for name, core in cores.items():
            assert core is not None
            sums[name].append(core.counts["bytes_in"] + core.counts["bytes_out"])
    for seen in sums.values():
        for i, first in enumerate(seen):
            for j in range(i + 1, len(seen)):
                assert seen[j] - first <= SAVED + RATE * 0.25 * (j - i) + 4_200
    world.run(60_000.0)
    settled(made)
    assert worst(made, 1) < 60.0


FAULTS = (
    "kill",
    "restart",
    "freeze",
    "cut",
    "damage",
    "mute",
    "publish",
    "publish",
    "publish",
    "jump",
    "crash",
)


class Budget:
    """Watches that no life of a node passes its bytes a second and what it had saved up.

    One whose clock jumped is left out from then on: its seconds are not those of the world.
    """

    def __init__(self, made: Fleet) -> None:
        self._made = made
        self._least: dict[Follower, float] = {}
        self.most = 0.0
        self.jumped: set[Follower | None] = set()
        self._look()

    def _look(self) -> None:
        world = self._made.world
        for name in self._made.nodes:
            core = world.processes[name].follower
            assert core is not None
            if core in self.jumped:
                continue
            over = core.counts["bytes_in"] + core.counts["bytes_out"] - RATE * world.engine.now / 1000.0
            self._least[core] = min(self._least.get(core, over), over)
            self.most = max(self.most, over - self._least[core])
        world.engine.after(250.0, self._look)


@pytest.mark.parametrize("seed", range(8))
def test_random_faults(seed: int) -> None:
    """Never an older version, never a body that is not its head's, and all agree after the last fault."""
    rng = random.Random(seed)
    conditions = NetworkConditions(
        loss_fraction=rng.choice((0.0, 0.05, 0.2)), starved_fraction=rng.choice((0.0, 0.1))
    )
    made = Fleet(10, seed, conditions)
    world = made.world
    budget = Budget(made)
    made.publish("all")
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
            case "freeze":
                world.suspend(name, rng.uniform(100.0, 20_000.0))
            case "cut":
                world.network.heal("east", "west") if world.network.partitions else world.network.partition(
                    "east", "west"
                )
            case "damage":
                world.network.damage_fraction[name] = rng.choice((0.0, 0.3))
            case "mute":
                process.truncates_bodies = not process.truncates_bodies
            case "jump":
                world.jump_clock(name, rng.uniform(-60_000.0, 60_000.0))
                budget.jumped.add(process.follower)
            case "crash":
                made.publish("region/west", "p-west", crash=rng.choice(STEPS))
            case _:
                scope, by = made.scope()
                made.publish(scope, by, size=rng.choice((10, 2_000, 40_000)))
        world.run(rng.choice((1.0, 100.0, 1_000.0, 5_000.0)))
    if world.network.partitions:
        world.network.heal("east", "west")
    world.network.damage_fraction = {}
    for name in names:
        world.processes[name].truncates_bodies = False
    world.run(20_000.0)  # those that stand still wake up, and may yet be killed amid a publish that waited
    for name in names:
        if not world.processes[name].up:
            world.restart(name)
    world.run(60_000.0)
    settled(made)
    assert 0.0 < budget.most <= SAVED + 4_200  # one frame of heads beyond it
    for name in made.nodes:
        ranks: dict[str, tuple[int, int, str, bytes]] = {}
        for document in world.history.get(name, []):
            header = document.header
            assert document.is_intact and header.rank > ranks.get(header.scope, (0, 0, "", b""))
            ranks[header.scope] = header.rank


def test_every_case_of_the_measurements_runs() -> None:
    with pytest.raises(FeedError, match="no case 'nothing'"):
        play("nothing", 7, 1)
    for case in ("burst-loss", "publisher-killed", "zone", "all-back"):
        found = play(case, 7, 1)
        assert found["unreached"] == 0 and found["faults"] == [] and found["in_force_s"]["worst"] < 13.0
    assert len(CASES) >= 13
    assert FRAME_OVERHEAD_BYTES == 16


def test_the_command_keeps_a_record_and_says_in_one_line_what_it_cannot_do(tmp_path: Path) -> None:
    def crowpost(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "crowpost.cli.main", "lab", "feed", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)

    file = tmp_path / "feed.json"
    put_into(file, play("all-back", 7, 2))
    put_into(file, {**play("all-back", 7, 1), "trace": "of an older run"})
    done = crowpost("all-back", "--nodes", "7", "--seed", "1", "--json", "--into", str(file))
    assert done.returncode == 0, done.stderr
    record = json.loads(file.read_text())
    assert [run["seed"] for run in record["runs"]] == [1, 2] and record["schema"] == 1
    assert record["runs"][0] == json.loads(done.stdout)["runs"][0]
    # Why members do not pass changes on: what that would cost a node grows with their number.
    costs = [row["gossip_standings_bytes"] for row in record["gossip"]]
    assert costs == sorted(costs) and costs[0] > 100 * record["gossip"][0]["feed_standing_bytes"]
    done = crowpost("--table", str(file))
    assert done.returncode == 0 and done.stdout.splitlines()[2].startswith("| all-back | 7 | 1 | 3 |")
    done = crowpost("nothing")
    assert done.returncode == 2 and len(done.stderr.splitlines()) == 1, done.stderr
    file.write_text("[]")
    with pytest.raises(FeedError, match="no record of runs"):
        put_into(file, record["runs"][0])
    assert file.read_text() == "[]"
