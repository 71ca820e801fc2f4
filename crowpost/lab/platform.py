"""A whole platform in simulated time, built from a scenario, a seed and a policy: one seed, one run."""

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
from crowpost.lab.traffic import Clients, PlannedRequest, draw, spread

# Builds a node's policy from its settings, a seed of its own, and the node's place on the platform.
PolicyFactory = Callable[[Settings, int, "Platform", int], Policy]
SAMPLE_MS = 1000.0
FRONT_NOTICE_MS = 2500.0  # until the front notices that a node has died


class Platform:
    """Servers, nodes, discovery and clients of one run."""

    def __init__(self, scenario: Scenario, seed: int, policy: PolicyFactory) -> None:
        self.scenario, self.seed, self.engine = scenario, seed, Engine()
        limits = scenario.limits
        # A stream of chance for each concern, so that one policy's draws never move another's world.
        streams = np.random.SeedSequence([seed, 0x0C20]).spawn(4)
        self.world = Random(int(streams[0].generate_state(2, np.uint64)[0]))
        self._policy_seeds = Random(int(streams[1].generate_state(2, np.uint64)[0]))
        self._news = Random(int(streams[2].generate_state(2, np.uint64)[0]))
        self.classes = request_classes(scenario)
        self.rules = Rules(limits.drain_grace_ms + 50.0, limits.answer_slack_ms + 50.0)
        self.on_new_node: Callable[[SimNode], None] = lambda _node: None
        self.measure = Measure(int(np.ceil(scenario.duration_s)))
        self.policy = policy
        self.servers: dict[EndpointId, SimServer] = {}
        self.tiers: list[list[SimServer]] = [[] for _ in scenario.tiers]
        self.sends: list[list[int]] = [[] for _ in scenario.tiers]  # to each server within this second
        for stage, tier in enumerate(scenario.tiers):
            for i in range(tier.servers):
                self.new_server(stage, tier.kind_index(i), i)
        self.nodes: list[list[SimNode]] = [[] for _ in scenario.tiers]
        self.retired: list[SimNode] = []
        self.leaving: list[SimNode] = []  # replaced, but still with requests of their own
        self.requests = 0
        self.stalled_until = 0.0
        self.hot: tuple[float, int] | None = None  # share of traffic, nodes that share it
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
        """A further server of a tier, warm, and known to nobody yet; zone and cell go by its place."""
        tier = self.scenario.tiers[stage]
        kind: Kind = tier.kinds[kind_index]
        zone, cell = place % self.scenario.network.zones, place // tier.cell_size
        rng = Random(self.world.getrandbits(64))
        name = f"{tier.name}-{len(self.tiers[stage])}".encode()
        server = SimServer(
            self.engine, tier, stage, kind, kind_index, name, zone, cell, rng, self.scenario.limits
        )
        server.on_answer = self._answered
        server.on_fall = self._fell
        server.place = len(self.tiers[stage])
        self.servers[server.name] = server
        self.tiers[stage].append(server)
        self.sends[stage].append(0)
        return server

    def new_node(self, name: str, stage: int, zone: int, node_index: int) -> SimNode:
        """A node that starts from nothing but the list as it is now."""
        settings = node_settings(self.scenario, stage, node_index, zone)
        policy = self.policy(settings, self._policy_seeds.getrandbits(63), self, stage)
        rows = [s.entry() for s in self.tiers[stage] if s.up]
        rng = Random(self._policy_seeds.getrandbits(63))
        node = SimNode(self, name, stage, zone, settings, policy, rng, rows)
        self.on_new_node(node)
        return node

    def restart_node(self, place: int, down_ms: float) -> None:
        """A front node is killed, and comes back knowing nothing."""
        old = self.nodes[0][place]
        for request in list(old.requests.values()):
            self.clients.lost(request)
        old.stop()
        self.retired.append(old)

        def back() -> None:
            self.nodes[0][place] = self.new_node(old.name, 0, old.zone, place)

        self.engine.after(down_ms, back)

    def upgrade_node(self, place: int) -> None:
        """A new process takes over the listener; the old one answers what it has taken."""
        old = self.nodes[0][place]
        self.retired.append(old)
        self.leaving.append(old)
        self.nodes[0][place] = self.new_node(old.name, 0, old.zone, place)

    # ------------------------------------------------------------ servers come and go

    def start_server(self, server: SimServer) -> None:
        """A process starts, cold, with a node of its own where there is a next tier; the list follows."""
        server.start()
        if not server.up:
            return
        if server.stage + 1 < len(self.tiers):
            name = f"n-{server.name.decode()}"
            server.node = self.new_node(name, server.stage + 1, server.zone, server.place)
        self.announce(server, self.scenario.discovery.add_ms)

    def stop_server(self, server: SimServer) -> None:
        """A process ends; the list learns it late."""
        if server.node is not None:
            self.retired.append(server.node)
        server.stop()
        self.announce(server, self.scenario.discovery.gone_ms)

    def drain_server(self, server: SimServer) -> None:
        """A planned end begins."""
        server.draining = True
        self.announce(server, self.scenario.discovery.drain_ms)

    def announce(self, server: SimServer, span: tuple[float, float]) -> None:
        """Tell each node of the tier, each with a delay of its own, and none before a stall ends."""
        entry = server.entry()
        for node in self.live_nodes(server.stage):
            late = self._news.uniform(*span)
            when = max(self.engine.now + late, self.stalled_until)
            self.engine.at(when, self._tell, node, entry)

    def _tell(self, node: SimNode, entry: EndpointEntry) -> None:
        if self.engine.now < self.stalled_until:
            self.engine.at(self.stalled_until, self._tell, node, entry)
        elif entry.started_ms >= node.known.get(entry.server, entry).started_ms:
            node.tell(ListKind.CHANGES, (entry,))

    def live_nodes(self, stage: int) -> list[SimNode]:
        """The nodes that send into a tier at the moment."""
        if stage == 0:
            return [n for n in self.nodes[0] if n.up] + [n for n in self.leaving if n.requests]
        return [s.node for s in self.tiers[stage - 1] if s.node is not None]

    # ------------------------------------------------------------ requests

    def choose_front(self, planned: PlannedRequest) -> SimNode | None:
        """The front spreads tries evenly over the nodes that are up, but for a hot caller's."""
        nodes = [n for n in self.nodes[0] if n.up]
        if not nodes:
            return None
        return nodes[spread(planned, len(nodes), self.hot)]

    def new_client_request(
        self, planned: PlannedRequest, reply: Callable[[str, float], None]
    ) -> SimulatedRequest:
        """A client's try as the node gets it."""
        self.requests += 1
        now, kind = self.engine.now, self.classes[planned.class_index]
        marked = self.scenario.clients.marks_retry and planned.tries > 1
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
            marked,
        )

    def new_request(
        self, above: SimulatedRequest, stage: int, reply: Callable[[str, float], None]
    ) -> SimulatedRequest:
        """A server's call of the next tier, within the time of the request that it is for."""
        self.requests += 1
        kind, now = above.kind, self.engine.now
        deadline = max(above.deadline, now + 1.0)
        return SimulatedRequest(
            self.requests,
            kind,
            above.class_index,
            now,
            deadline,
            above.work,
            above.calls,
            reply,
            above.top,
            above.tenant,
            above.hint,
        )

    def one_way(self, here: int, there: int, rng: Random) -> float:
        """A delay in ms between two machines."""
        network = self.scenario.network
        base = network.one_way_ms if here == there else network.cross_zone_ms
        return base * (1.0 + network.jitter * rng.random())

    def count_send(self, stage: int, server: SimServer) -> None:
        """An attempt was sent to this server."""
        self.sends[stage][server.place] += 1

    def _answered(self, call: Call, outcome: Outcome) -> None:
        call.node.answer_from(call, outcome)

    def _fell(self, server: SimServer, told: float) -> None:
        nodes = self.live_nodes(server.stage)
        if nodes:
            names = f"{len(nodes)} nodes"
            self.rules.fell(names, server.name, told, self.engine.now, nodes[0])
        self.announce(server, self.scenario.discovery.gone_ms)

    # ------------------------------------------------------------ the run

    def _sample(self) -> None:
        self.samples["calls_out"].append([sum(s.outstanding() for s in t) for t in self.tiers])
        limits = [getattr(n.policy, "limit", None) for n in self.live_nodes(0)]
        known = [limit for limit in limits if isinstance(limit, float)]
        self.samples["limit"].append(round(sum(known), 3) if known else None)
        self.samples["sends"].append([list(counts) for counts in self.sends])
        slow = [[s.place for s in tier if s.trouble.slower > 1.0] for tier in self.tiers]
        self.samples["sends_slow"].append(
            [sum(counts[i] for i in places) for counts, places in zip(self.sends, slow, strict=True)]
        )
        self.sends = [[0] * len(t) for t in self.tiers]
        if self.engine.now < self.scenario.duration_s * 1000.0:
            self.engine.after(SAMPLE_MS, self._sample)

    def run(self) -> None:
        """Play to the end: the last arrival, and the longest time that anybody waits for it."""
        end = self.scenario.duration_s * 1000.0
        self.engine.run(end)
        longest = max(c.deadline_ms for c in self.classes)
        self.engine.run(end + (self.scenario.clients.retries + 1) * 2.0 * longest)
