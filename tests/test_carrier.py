"""Membership on sockets: real carriers, a real node, the files that configure them, and the command."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from crowpost.cli.members import disagreements
from crowpost.lab.rig.processes import node_config
from crowpost.members.carrier import Carrier, ask
from crowpost.members.config import MembersConfig, load
from crowpost.members.core import Members
from crowpost.members.model import Claim, MemberError, Phase, Profile, Tuning, Verdict
from crowpost.members.presence import Presence, Share, seats
from crowpost.members.wire import Kind
from tests.node.stubs import HOST, PATIENCE_S, StubServer, reply, row, run, world
from tests.test_cli import crowpost

QUICK = Tuning(probe_ms=40.0, gossip_ms=15.0, sync_ms=500.0, rejoin_ms=200.0)


def config(name: str, join: tuple[str, ...] = (), **more: Any) -> MembersConfig:
    return MembersConfig("t", name, f"{HOST}:0", join=join, tuning=QUICK, **more)


class Cluster:
    """Carriers on one loop, which wait for what they are to hold by their own events."""

    def __init__(self) -> None:
        self.carriers: list[Carrier] = []
        self.changed = asyncio.Event()

    async def add(self, name: str, join: tuple[str, ...] = ()) -> str:
        carrier = Carrier(config(name, join), lambda _: self.changed.set())
        self.carriers.append(carrier)
        address = await carrier.start()
        carrier.declare(Phase.PRESENT)
        return address

    async def until(self, name: str, state: str) -> None:
        """Until all others hold this of a member."""

        def told() -> bool:
            views = [c.core.view.members for c in self.carriers if c.core.me.name != name]
            return all(name in v and v[name].state == state for v in views)

        while not told():
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), PATIENCE_S)

    def close(self) -> None:
        for carrier in self.carriers:
            carrier.abort()


def test_members_on_sockets_join_see_a_death_and_a_leaving_and_answer_the_command() -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            for name in "bcd":
                await cluster.add(name, (f"{HOST}:1", first))
            for name in "abcd":
                await cluster.until(name, "present")
            dead = cluster.carriers.pop()
            dead.abort()
            await cluster.until("d", "dead")
            view = await ask(first, Kind.VIEW, "")
            assert {m["name"]: m["state"] for m in view["members"]}["d"] == "dead"
            await ask(cluster.carriers[1].core.me.profile.address, Kind.LEAVE, "t")
            await cluster.until("b", "left")
            assert cluster.carriers[1].leaving.is_set()
        finally:
            cluster.close()

    run(main())


def test_bytes_that_are_no_frame_end_their_connection_and_nothing_else() -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            host, port = first.rsplit(":", 1)
            for junk in (b"", b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\x04junk", b"\0\0"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(junk)
                writer.write_eof()
                assert await asyncio.wait_for(reader.read(), PATIENCE_S) == b""
                writer.close()
            with pytest.raises(MemberError, match="closed|bytes read"):
                await ask(first, Kind.LEAVE, "another cluster")
            await cluster.add("b", (first,))
            await cluster.until("b", "present")
        finally:
            cluster.close()

    run(main())


def test_a_node_that_is_a_member_says_when_it_is_ready_and_when_it_drains(tmp_path: Path) -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            member = MembersConfig(
                "t", "node", f"{HOST}:0", join=(first,), tuning=QUICK, feed=True, settle_ms=1.0
            )
            async with StubServer([reply("200 OK")]) as server:
                async with world(row("s", server.address), members=member) as w:
                    await cluster.until("node", "present")
                    figures = (await w.manage("GET", "/api/telemetry")).body.decode()
                    assert 'edge_node_members{state="present"} 2\n' in figures
                    await w.manage("POST", "/api/evacuate")
                    await cluster.until("node", "leaving")
                    await w.manage("POST", "/api/rejoin")
                    await cluster.until("node", "present")
                await cluster.until("node", "left")
        finally:
            cluster.close()

    run(main())


def test_with_membership_off_nothing_of_it_is_imported() -> None:
    code = (
        "import sys, crowpost.__main__; print([m for m in sys.modules if 'members' in m or 'msgpack' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_node_whose_file_for_membership_cannot_be_used_says_so_and_ends_with_2(tmp_path: Path) -> None:
    raw = json.dumps(node_config(0, 2))
    (tmp_path / "c.json").write_text(raw)
    (tmp_path / "m.toml").write_text(
        GOOD.replace("127.0.0.1:0", "203.0.113.1:7946")
    )  # no address of this machine
    for members, said in (
        ("none.toml", "NODE_MEMBERS: "),
        ("m.toml", "NODE_MEMBERS: members.listen cannot be used: "),
    ):
        environment = {
            **os.environ,
            "NODE_NAME": "n",
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": f"{HOST}:9",
            "NODE_CONFIG": str(tmp_path / "c.json"),
            "NODE_MEMBERS": str(tmp_path / members),
        }
        done = subprocess.run(
            [sys.executable, "-m", "crowpost"],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == 2 and done.stderr.splitlines()[-1].startswith(f"crowpost: {said}")


# ---------------------------------------------------------------- configuration

GOOD = '[members]\ncluster = "c"\nname = "n"\nlisten = "127.0.0.1:0"\n'


def test_a_file_is_read_whole(tmp_path: Path) -> None:
    file = tmp_path / "m.toml"
    file.write_text(
        GOOD
        + 'join = ["127.0.0.1:1"]\nfeed = true\n[members.facts]\nrack = "7"\n[members.tuning]\nhelpers = 2\n'
    )
    found = load(str(file))
    assert (found.join, found.feed, found.facts, found.tuning.helpers) == (
        ("127.0.0.1:1",),
        True,
        {"rack": "7"},
        2,
    )
    file.write_text('[members]\ncluster = "c"\nlisten = "127.0.0.1:0"\n')
    assert load(str(file), "from-the-environment").name == "from-the-environment"


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("", "members: the table is missing"),
        ("x", "Expected '='"),
        ("[members]\n", "members.cluster: is missing"),
        (GOOD + "wrong = 1\n", "members.wrong: no such key; known are cluster"),
        (GOOD + 'join = "a:1"\n', "members.join: a list of addresses"),
        (GOOD + 'join = ["a"]\n', "members.join: not an IPv4 address and a port: 'a'"),
        (GOOD + "feed = 1\n", "members.feed: true or false"),
        (GOOD + "least_part = 2\n", "members.least_part: a number from 0 to 1, not 2"),
        (GOOD + "[members.tuning]\nprobe_ms = 0\n", "members.tuning.probe_ms: a number from 0.001"),
        (GOOD + "[members.tuning]\nhelpers = 1.5\n", "members.tuning.helpers: a whole number"),
        (GOOD + "[members.tuning]\nspeed = 1\n", "members.tuning.speed: no such key"),
        (GOOD + "[members.facts]\na = 1\n", "members.facts: a table of texts"),
        (GOOD.replace('"n"', f'"{"n" * 65}"'), "name is longer than 64 bytes"),
    ],
)
def test_what_a_file_cannot_mean_is_said_with_file_and_key(tmp_path: Path, text: str, said: str) -> None:
    file = tmp_path / "m.toml"
    file.write_text(text)
    done = crowpost("members", "run", str(file))
    assert done.returncode == 2 and said in done.stderr and str(file) in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_the_command_says_in_one_line_whom_it_cannot_reach() -> None:
    done = crowpost("members", "--at", f"{HOST}:1")
    assert done.returncode == 2 and done.stderr.startswith(f"crowpost: {HOST}:1: ")
    done = crowpost("members", "--at", "nowhere")
    assert (done.returncode, done.stderr) == (2, "crowpost: not an IPv4 address and a port: 'nowhere'\n")


def test_compare_names_who_holds_what_else() -> None:
    def view(**states: str) -> dict[str, Any]:
        more = {"since_ms": 5.0, "said_by": "x", "why": "w"}
        return {"members": [{"name": n, "state": s, **more} for n, s in states.items()]}

    views = {
        "a": view(a="present", b="present", gone="dead"),
        "b": view(a="present", b="present"),
        "c": view(a="dead", b="present"),
    }
    found = disagreements(views)
    assert [(one["about"], one["most"], one["holders"]) for one in found] == [("a", "present", 2)]
    assert [(o["observer"], o["state"], o["since_ms"]) for o in found[0]["others"]] == [("c", "dead", 5.0)]
    assert json.dumps(found)


# ---------------------------------------------------------------- what decisions are told


def test_places_are_kept_by_who_wished_for_them_and_the_rest_fill_up() -> None:
    wishes: dict[str, int | None] = {f"n{i}": i for i in range(40)}
    assert seats(wishes) == wishes
    del wishes["n3"], wishes["n20"]
    after = seats(wishes)
    assert sorted(after.values()) == list(range(38))
    assert {n for n in wishes if after[n] != wishes[n]} == {"n38", "n39"}
    nameless = seats({f"m{i}": None for i in range(50)})
    assert sorted(nameless.values()) == list(range(50))
    fewer = seats({f"m{i}": None for i in range(50) if i != 7})
    assert sum(fewer[n] != nameless[n] for n in fewer) < 25


class Told:
    """A view by hand, and what a presence makes of it."""

    def __init__(self, nodes: int, **more: float) -> None:
        self.core = Members(
            "t", Profile("n0", "127.0.0.1:1", facts={"ordinal": "0"}), (), seed=1, birth=1, now=0.0
        )
        self.core.declare(Phase.PRESENT, 0.0)
        self.presence = Presence("node", "0", Share(nodes, 0), **more)
        for i in range(1, nodes):
            self.hold(f"n{i}", 1, Verdict.NONE, 0.0)

    def hold(
        self, name: str, incarnation: int, verdict: Verdict, now: float, phase: Phase = Phase.PRESENT
    ) -> None:
        profile = Profile(name, "127.0.0.1:1", facts={"ordinal": name[1:]})
        claim = Claim(name, 7, incarnation, phase, verdict, name, "", profile)
        member = self.core.view.get(name)
        if member is None:
            self.core.view.add(profile, claim, now)
        else:
            self.core.view.set(member, claim, now)

    def look(self, now: float) -> Share | None:
        return self.presence.look(self.core.view.members, "n0", now)


def test_a_death_counts_after_a_while_and_a_good_bye_at_once() -> None:
    told = Told(8)
    assert told.look(0.0) is None
    told.hold("n7", 1, Verdict.SUSPECTED, 10.0)
    assert told.look(10.0) is None
    told.hold("n7", 1, Verdict.DEAD, 20.0)
    assert told.look(20.0) is None and told.presence.next_at == 1_020.0
    assert told.look(1_020.0) == Share(7, 0)
    told.hold("n6", 2, Verdict.NONE, 1_030.0, Phase.LEAVING)
    assert told.look(1_030.0) == Share(6, 0)
    told.hold("n6", 3, Verdict.NONE, 1_040.0)
    assert told.look(1_040.0) == Share(7, 0)


def test_one_that_flaps_counts_later_each_time() -> None:
    told = Told(4)
    told.look(0.0)
    waits = []
    now, incarnation = 0.0, 1
    for _ in range(5):
        told.hold("n3", incarnation, Verdict.DEAD, now)
        told.look(now)
        told.look(now + 1_000.0)
        incarnation, now = incarnation + 1, now + 2_000.0
        told.hold("n3", incarnation, Verdict.NONE, now)
        share = told.look(now)
        waits.append(0.0 if share else told.presence.next_at - now)
        if share is None:
            now = told.presence.next_at
            assert told.look(now) == Share(4, 0)
    assert waits == [0.0, 4_000.0, 8_000.0, 16_000.0, 32_000.0]


def test_a_view_that_shrinks_too_far_is_taken_for_a_cut() -> None:
    told = Told(40)
    told.look(0.0)
    for i in range(1, 40):
        told.hold(f"n{i}", 1, Verdict.DEAD, 10.0)
    told.look(10.0)
    assert told.look(5_000.0) == Share(10, 0)


def test_other_roles_and_stages_do_not_count() -> None:
    told = Told(3)
    for name, role, stage in (("x", "directory", "0"), ("y", "node", "1")):
        profile = Profile(name, "127.0.0.1:1", role=role, facts={"stage": stage})
        told.core.claim(Claim(name, 7, 1, Phase.PRESENT, Verdict.NONE, name, "", profile), 0.0)
    assert told.look(1.0) is None and told.presence.share == Share(3, 0)
