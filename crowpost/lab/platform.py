"""A whole platform in simulated time, built from a scenario, a seed and a policy that determine the run."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import numpy as np

from crowpost.decision_api import EndpointEntry, EndpointId, ListKind, Outcome, Settings
from crowpost.lab.engine import Engine
from crowpost.lab.machines import Call, SimServer
from crowpost.lab.measure import Measure
from crowpost.lab.node_settings import node_settings, request_classes
from crowpost.lab.nodes import Policy, SimNode, SimulatedRequest
from crowpost.lab.rules import Rules
from crowpost.lab.scenario import Kind, Scenario
from crowpost.lab.traffic import Clients, PlannedRequest, choose_node, draw

# Builds the policy of a node from its settings, a seed of its own, the platform and the index of the tier.
PolicyFactory = Callable[[Settings, int, "Platform", int], Policy]
SAMPLE_MS = 1000.0
FRONT_NOTICE_MS = 2500.0  # time in which the front would notice that a node has died


class Platform:
    """Servers, nodes, discovery and clients of one run."""

    def __init__(self, scenario: Scenario, seed: int, policy: PolicyFactory) -> None:
        self.scenario, self.seed, self.engine = scenario, seed, Engine()
        limits = scenario.limits
        # Separate random streams for each purpose, so that the draws of a policy never change its
        # environment.
        streams = np.random.SeedSequence([seed, 0x0C20]).spawn(4)
        self.rng = Random(int(streams[0].generate_state(2, np.uint64)[0]))
        self._policy_seeds = Random(int(streams[1].generate_state(2, np.uint64)[0]))
        self._discovery_rng = Random(int(streams[2].generate_state(2, np.uint64)[0]))
        self.classes = request_classes(scenario)
        self.rules = Rules(limits.drain_grace_ms + 50.0, limits.answer_slack_ms + 50.0)
        self.on_new_node: Callable[[SimNode], None] = lambda _node: None
        self.measure = Measure(int(np.ceil(scenario.duration_s)))
        self.policy = policy
        self.servers: dict[EndpointId, SimServer] = {}
        self.tiers: list[list[SimServer]] = [[] for _ in scenario.tiers]
        # attempts to each server in the current second
        self.sends: list[list[int]] = [[] for _ in scenario.tiers]
        for stage, tier in enumerate(scenario.tiers):
            for i in range(tier.servers):
                self.new_server(stage, tier.kind_index(i), i)
        self.nodes: list[list[SimNode]] = [[] for _ in scenario.tiers]
        self.retired: list[SimNode] = []
        self.draining_nodes: list[SimNode] = []  # replaced, but still with open requests
        self.requests = 0
        self.stalled_until = 0.0
        self.hot_nodes: tuple[float, int] | None = (
            None  # share of the traffic, and number of nodes that receive it
        )
        self.samples: dict[str, list[Any]] = {"calls_out": [], "limit": [], "sends": [], "sends_slow": []}
        for i in range(scenario.nodes):
            self.nodes[0].append(self.new_node(f"n{i}", 0, i % scenario.network.zones, i))
        for stage, servers in enumerate(self.tiers[:-1]):
            for i, server in enumerate(servers):
                server.node = self.new_node(f"n-{server.name.decode()}", stage + 1, server.zone, i)
        self.clients = Clients(self, draw(scenario, streams[3]))
        self.engine.after(SAMPLE_MS, self._sample)

    # ------------------------------------------------------------ building

    def new_server(self, stage: int, kind_index: int, place: int) -> SimServer:
        """Add a warm server to a tier, not announced yet; `place` determines its zone and cell."""
        tier = self.scenario.tiers[stage]
        kind: Kind = tier.kinds[kind_index]
        zone, cell = place % self.scenario.network.zones, place // tier.cell_size
        rng = Random(self.rng.getrandbits(64))
        name = f"{tier.name}-{len(self.tiers[stage])}".encode()
        server = SimServer(
            self.engine, tier, stage, kind, kind_index, name, zone, cell, rng, self.scenario.limits
        )
        server.on_answer = self._answered
        server.on_overload = self._on_overload
        server.place = len(self.tiers[stage])
        self.servers[server.name] = server
        self.tiers[stage].append(server)
        self.sends[stage].append(0)
        return server

    def new_node(self, name: str, stage: int, zone: int, node_index: int) -> SimNode:
        """Return a new node that knows nothing but the present endpoint list."""
        settings = node_settings(self.scenario, stage, node_index, zone)
        policy = self.policy(settings, self._policy_seeds.getrandbits(63), self, stage)
        entries = [server.entry() for server in self.tiers[stage] if server.up]
        rng = Random(self._policy_seeds.getrandbits(63))
        node = SimNode(self, name, stage, zone, settings, policy, rng, entries)
        self.on_new_node(node)
        return node

    def restart_node(self, place: int, down_ms: float) -> None:
        """Kill a front node and start it again without state."""
        old = self.nodes[0][place]
        for request in list(old.requests.values()):
            self.clients.node_killed(request)
        old.stop()
        self.retired.append(old)

        def start_again() -> None:
            self.nodes[0][place] = self.new_node(old.name, 0, old.zone, place)

        self.engine.after(down_ms, start_again)

    def upgrade_node(self, place: int) -> None:
        """Replace a front node by a new process; the old one answers the requests that it has accepted."""
        old = self.nodes[0][place]
        self.retired.append(old)
        self.draining_nodes.append(old)
        self.nodes[0][place] = self.new_node(old.name, 0, old.zone, place)

    # ------------------------------------------------------------ server processes

    def start_server(self, server: SimServer) -> None:
        """Start a process that warms up, with a node of its own if there is a next tier, and announce it."""
        server.start()
        if not server.up:
            return
        if server.stage + 1 < len(self.tiers):
            name = f"n-{server.name.decode()}"
            server.node = self.new_node(name, server.stage + 1, server.zone, server.place)
        self.announce(server, self.scenario.discovery.add_ms)

    def stop_server(self, server: SimServer) -> None:
        """End a process; the nodes are notified after a delay."""
        if server.node is not None:
            self.retired.append(server.node)
        server.stop()
        self.announce(server, self.scenario.discovery.gone_ms)

    def drain_server(self, server: SimServer) -> None:
        """Begin a planned stop: announce that the server drains."""
        server.draining = True
        self.announce(server, self.scenario.discovery.drain_ms)

    def announce(self, server: SimServer, span: tuple[float, float]) -> None:
        """Notify each node of the tier with a delay of its own, and none before a stall of discovery ends."""
        entry = server.entry()
        for node in self.live_nodes(server.stage):
            delay = self._discovery_rng.uniform(*span)
            when = max(self.engine.now + delay, self.stalled_until)
            self.engine.at(when, self._update_list, node, entry)

    def _update_list(self, node: SimNode, entry: EndpointEntry) -> None:
        if self.engine.now < self.stalled_until:
            self.engine.at(self.stalled_until, self._update_list, node, entry)
        elif entry.started_ms >= node.known.get(entry.server, entry).started_ms:
            node.update_list(ListKind.CHANGES, (entry,))

    def live_nodes(self, stage: int) -> list[SimNode]:
        """Return the nodes that send to a tier at present."""
        if stage == 0:
            return [node for node in self.nodes[0] if node.up] + [
                node for node in self.draining_nodes if node.requests
            ]
        return [server.node for server in self.tiers[stage - 1] if server.node is not None]

    # ------------------------------------------------------------ requests

    def choose_front_node(self, planned: PlannedRequest) -> SimNode | None:
        """Return the node for a try: evenly among the nodes that are up, except for the hot nodes' share."""
        nodes = [node for node in self.nodes[0] if node.up]
        if not nodes:
            return None
        return nodes[choose_node(planned, len(nodes), self.hot_nodes)]

    def new_client_request(
        self, planned: PlannedRequest, reply: Callable[[str, float], None]
    ) -> SimulatedRequest:
        """Return the request that a node receives for a client's try."""
        self.requests += 1
        now, kind = self.engine.now, self.classes[planned.class_index]
        is_repeat = self.scenario.clients.marks_retry and planned.tries > 1
        return SimulatedRequest(
            self.requests,
            kind,
            planned.class_index,
            now,
            now + planned.patience,
            planned.work,
            planned.calls,
            reply,
            planned.index,
            planned.tenant,
            planned.hint,
            is_repeat,
        )

    def new_request(
        self, parent: SimulatedRequest, stage: int, reply: Callable[[str, float], None]
    ) -> SimulatedRequest:
        """Return a server's call to the next tier, with the deadline of the request that it is for."""
        self.requests += 1
        kind, now = parent.kind, self.engine.now
        deadline = max(parent.deadline, now + 1.0)
        return SimulatedRequest(
            self.requests,
            kind,
            parent.class_index,
            now,
            deadline,
            parent.work,
            parent.calls,
            reply,
            parent.client_request,
            parent.tenant,
            parent.hint,
        )

    def one_way(self, from_zone: int, to_zone: int, rng: Random) -> float:
        """Return a one-way delay in ms between two machines."""
        network = self.scenario.network
        base = network.one_way_ms if from_zone == to_zone else network.cross_zone_ms
        return base * (1.0 + network.jitter * rng.random())

    def record_send(self, stage: int, server: SimServer) -> None:
        """Count an attempt that was sent to a server."""
        self.sends[stage][server.place] += 1

    def _answered(self, call: Call, outcome: Outcome) -> None:
        call.node.send_answer(call, outcome)

    def _on_overload(self, server: SimServer, informed_share: float) -> None:
        nodes = self.live_nodes(server.stage)
        if nodes:
            node_names = f"{len(nodes)} nodes"
            self.rules.check_overload(node_names, server.name, informed_share, self.engine.now, nodes[0])
        self.announce(server, self.scenario.discovery.gone_ms)

    # ------------------------------------------------------------ the run

    def _sample(self) -> None:
        self.samples["calls_out"].append(
            [sum(server.outstanding() for server in tier) for tier in self.tiers]
        )
        limits = [getattr(node.policy, "limit", None) for node in self.live_nodes(0)]
        known = [limit for limit in limits if isinstance(limit, float)]
        self.samples["limit"].append(round(sum(known), 3) if known else None)
        self.samples["sends"].append([list(counts) for counts in self.sends])
        slow_servers = [
            [server.place for server in tier if server.faults.slower > 1.0] for tier in self.tiers
        ]
        self.samples["sends_slow"].append(
            [sum(counts[i] for i in places) for counts, places in zip(self.sends, slow_servers, strict=True)]
        )
        self.sends = [[0] * len(tier) for tier in self.tiers]
        if self.engine.now < self.scenario.duration_s * 1000.0:
            self.engine.after(SAMPLE_MS, self._sample)

    def run(self) -> None:
        """Run to the last arrival, and on for the longest time that a client may wait for it."""
        end = self.scenario.duration_s * 1000.0
        self.engine.run(end)
        longest = max(kind.deadline_ms for kind in self.classes)
        self.engine.run(end + (self.scenario.clients.retries + 1) * 2.0 * longest)
