"""A publisher with two relays on one machine, and a node that follows them, for case 10."""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from pathlib import Path

from stand_ins_2 import HOST, PYTHON, CannotRunError, Discovery, Node, Program, Record, Server, free_port

from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.messages import PublishAccepted, PublishRejected, PublishRequest
from crowpost.config_feed.request_reply import request_reply

CLUSTER = "c1"
REGION = "north"
ANSWER_S = 10.0  # the limit of `crowpost feed publish`
START_S = 15.0


class Site:
    """The publisher and its relays, which run on one machine.

    Each document names another address of discovery, so which one a node applies shows at discovery.
    """

    def __init__(self, folder: Path, record: Record, programs: list[Program]) -> None:
        self.folder = folder
        self.ledger = folder / "ledger"
        self.record = record
        self.publisher = Program("publisher", record, folder / "publisher.log")
        self.relays = [Program(f"relay-{i}", record, folder / f"relay-{i}.log") for i in range(2)]
        self._port = free_port()
        self._relay_ports = [free_port() for _ in self.relays]
        programs += [self.publisher, *self.relays]
        self._write_files()

    def _write_files(self) -> None:
        common = f'[feed]\ncluster = "{CLUSTER}"\nregion = "{REGION}"\n'
        (self.folder / "publisher.toml").write_text(
            f'{common}name = "pub-n"\nrole = "publisher"\nlisten = "{HOST}:{self._port}"\n'
            f'directory = {json.dumps(str(self.ledger))}\nhome = "{REGION}"\n'
            f'publishers = {{{REGION} = "pub-n"}}\n{self._upstreams(self._relay_ports)}'
        )
        for number, port in enumerate(self._relay_ports):
            (self.folder / f"relay-{number}.toml").write_text(
                f'{common}name = "relay-{number}"\nrole = "relay"\nlisten = "{HOST}:{port}"\n'
                f"{self._upstreams([self._port])}"
            )
        (self.folder / "node-feed.toml").write_text(
            f'{common}service = "sms"\ndirectory = {json.dumps(str(self.folder / "documents"))}\n'
            f"{self._upstreams(self._relay_ports)}"
        )

    @staticmethod
    def _upstreams(ports: list[int]) -> str:
        return "".join(
            f'[[feed.upstreams]]\naddress = "{HOST}:{port}"\nregion = "{REGION}"\n' for port in ports
        )

    def start_publisher(self, *options: str) -> None:
        """Start the publisher."""
        file = str(self.folder / "publisher.toml")
        self.publisher.start([PYTHON, "-m", "crowpost.config_feed", file, *options])

    def start_relays(self) -> None:
        """Start the relays."""
        for relay in self.relays:
            relay.start([PYTHON, "-m", "crowpost.config_feed", str(self.folder / f"{relay.name}.toml")])

    async def lose_machine(self) -> None:
        """End all its processes outright, and lose the publisher's directory."""
        for program in (self.publisher, *self.relays):
            await program.kill()
        shutil.rmtree(self.ledger)
        self.record.say("the machine is lost, with the publisher's directory")

    async def publish(
        self, discovery: Discovery | None = None, *, if_version: int = -1
    ) -> PublishAccepted | PublishRejected:
        """Publish a document for `all` that names this discovery; None: roll back."""
        body = b"" if discovery is None else json.dumps({"discovery": discovery.address}).encode()
        rollback = discovery is None
        request = PublishRequest(1, "all", body, "operator", "moved", "", if_version, rollback)
        until = time.monotonic() + START_S
        while True:
            try:
                answer = await request_reply(f"{HOST}:{self._port}", request, CLUSTER, ANSWER_S)
            except FeedError as error:
                if time.monotonic() > until:
                    raise CannotRunError(f"the publisher does not answer: {error}") from error
                await asyncio.sleep(0.1)  # it is starting
                continue
            assert isinstance(answer, PublishAccepted | PublishRejected)
            return answer

    def make_node(self, discovery: Discovery) -> Node:
        """Return a node on another machine, which follows the relays."""
        node = Node("n0", self.folder, self.record, discovery.address)
        node.environment["NODE_FEED"] = str(self.folder / "node-feed.toml")
        return node


async def start_agents(count: int) -> list[Discovery]:
    """Start two servers, and this number of discovery agents that list them."""
    servers = [Server(f"s{i}") for i in range(2)]
    for server in servers:
        await server.start()
    agents = [Discovery() for _ in range(count)]
    for agent in agents:
        await agent.start([server.row() for server in servers])
    return agents


async def wait_watched(agent: Discovery, limit_s: float) -> bool:
    """Return whether the node opened a watch at this agent within the limit."""
    try:
        await asyncio.wait_for(agent.opened.wait(), limit_s)
    except TimeoutError:
        return False
    return True
