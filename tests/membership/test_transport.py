"""Tests of membership on sockets: real transports, and a real node."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from crowpost.lab.rig.processes import node_config
from crowpost.membership.configuration import MembershipConfig
from crowpost.membership.errors import MembershipError
from crowpost.membership.model import Phase
from crowpost.membership.query import query
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.transport import MembershipTransport
from crowpost.membership.wire import MessageKind
from tests.membership.files import MINIMAL_FILE
from tests.node.stubs import HOST, WAIT_TIMEOUT_S, StubServer, reply, row, run, running_node

FAST_PROTOCOL = ProtocolSettings(
    probe_interval_ms=40.0, gossip_interval_ms=15.0, sync_interval_ms=500.0, dead_probe_interval_ms=200.0
)


def config(name: str, join: tuple[str, ...] = (), **options: Any) -> MembershipConfig:
    return MembershipConfig("t", name, f"{HOST}:0", join=join, protocol=FAST_PROTOCOL, **options)


class Cluster:
    """Members on one event loop; tests wait for a state by the members' own change events."""

    def __init__(self) -> None:
        self.transports: list[MembershipTransport] = []
        self.changed = asyncio.Event()

    async def add(self, name: str, join: tuple[str, ...] = ()) -> str:
        transport = MembershipTransport(config(name, join), lambda _: self.changed.set())
        self.transports.append(transport)
        address = await transport.start()
        transport.announce_phase(Phase.PRESENT)
        return address

    async def wait_for_state(self, name: str, state: str) -> None:
        """Wait until all other members have recorded this state of a member."""

        def all_views_match() -> bool:
            views = [t.core.view.members for t in self.transports if t.core.local_member.name != name]
            return all(name in view and view[name].state == state for view in views)

        while not all_views_match():
            self.changed.clear()
            await asyncio.wait_for(self.changed.wait(), WAIT_TIMEOUT_S)

    def close(self) -> None:
        for transport in self.transports:
            transport.abort()


def test_members_on_sockets_join_detect_a_death_and_a_leave_and_answer_queries() -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            for name in "bcd":
                await cluster.add(name, (f"{HOST}:1", first))
            for name in "abcd":
                await cluster.wait_for_state(name, "present")
            dead = cluster.transports.pop()
            dead.abort()
            await cluster.wait_for_state("d", "dead")
            view = await query(first, MessageKind.VIEW, "")
            assert {m["name"]: m["state"] for m in view["members"]}["d"] == "dead"
            await query(cluster.transports[1].core.local_member.profile.address, MessageKind.LEAVE, "t")
            await cluster.wait_for_state("b", "left")
            assert cluster.transports[1].leave_requested.is_set()
        finally:
            cluster.close()

    run(main())


def test_an_invalid_frame_ends_only_its_connection() -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            host, port = first.rsplit(":", 1)
            for junk in (b"", b"GET / HTTP/1.1\r\n\r\n", b"\xff\xff\xff\xff", b"\0\0\0\x04junk", b"\0\0"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(junk)
                writer.write_eof()
                assert await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S) == b""
                writer.close()
            with pytest.raises(MembershipError, match="closed|bytes read"):
                await query(first, MessageKind.LEAVE, "another cluster")
            await cluster.add("b", (first,))
            await cluster.wait_for_state("b", "present")
        finally:
            cluster.close()

    run(main())


def test_a_node_announces_that_it_is_ready_and_that_it_drains(tmp_path: Path) -> None:
    async def main() -> None:
        cluster = Cluster()
        try:
            first = await cluster.add("a")
            member = MembershipConfig(
                "t",
                "node",
                f"{HOST}:0",
                join=(first,),
                protocol=FAST_PROTOCOL,
                share_work=True,
                settle_ms=1.0,
            )
            async with StubServer([reply("200 OK")]) as server:
                async with running_node(row("s", server.address), members=member) as running:
                    await cluster.wait_for_state("node", "present")
                    telemetry = (await running.manage("GET", "/api/telemetry")).body.decode()
                    assert 'edge_node_members{state="present"} 2\n' in telemetry
                    await running.manage("POST", "/api/evacuate")
                    await cluster.wait_for_state("node", "leaving")
                    await running.manage("POST", "/api/rejoin")
                    await cluster.wait_for_state("node", "present")
                await cluster.wait_for_state("node", "left")
        finally:
            cluster.close()

    run(main())


def test_no_membership_module_is_imported_while_membership_is_off() -> None:
    names = ("membership", "members", "msgpack")
    loaded = f"[m for m in sys.modules if any(name in m for name in {names})]"
    code = f"import sys, crowpost.__main__; print({loaded})"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"


def test_a_node_with_an_invalid_membership_file_reports_it_and_exits_with_2(tmp_path: Path) -> None:
    raw = json.dumps(node_config(0, 2))
    (tmp_path / "c.json").write_text(raw)
    (tmp_path / "m.toml").write_text(
        MINIMAL_FILE.replace("127.0.0.1:0", "203.0.113.1:7946")
    )  # Not an address of this machine
    for members, error in (
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
        result = subprocess.run(
            [sys.executable, "-m", "crowpost"],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert result.returncode == 2 and result.stderr.splitlines()[-1].startswith(f"crowpost: {error}")
