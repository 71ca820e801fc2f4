"""Membership among the front nodes of a simulated platform: real protocol cores in the platform's time."""

from __future__ import annotations

from crowpost.decision_api import NodesPresent
from crowpost.lab.membership.simulation import NetworkConditions, SimulatedCluster, SimulatedProcess
from crowpost.lab.nodes import SimNode
from crowpost.lab.platform import Platform
from crowpost.membership.model import StateChange
from crowpost.membership.work_share import INDEX_FACT, STAGE_FACT, WorkShare, WorkShareTracker

CHECK_INTERVAL_MS = 250.0  # equal to that of a real node
CONDITIONS = NetworkConditions(loss_rate=0.01, delay_ms=(0.2, 1.0))
ROLE = "node"
MAX_CONTACTS = 3


class FrontMembership:
    """Makes each front node a member, and notifies its decision module of how many nodes share the work."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self._platform = platform
        self._cluster = SimulatedCluster(seed, CONDITIONS, engine=platform.engine)
        self._cluster.keep_history = False
        self._cluster.on_change = self._on_change
        self._trackers: dict[str, WorkShareTracker] = {}
        self._nodes: dict[str, SimNode] = {}
        for node in platform.nodes[0]:
            self._start(node, contacts=())
        self._cluster.preload_views()
        platform.engine.after(CHECK_INTERVAL_MS, self._check)

    def _start(self, node: SimNode, contacts: tuple[str, ...]) -> None:
        settings = node.settings
        stage = str(settings.tier)
        configured = WorkShare(settings.node_count, settings.node_index)
        self._nodes[node.name] = node
        self._trackers[node.name] = WorkShareTracker(ROLE, stage, configured)
        facts = {STAGE_FACT: stage, INDEX_FACT: str(settings.node_index)}
        self._cluster.start(node.name, contacts, facts=facts)

    def _check(self) -> None:
        """Kill and restart members as the platform's nodes were, and update the work shares that are due."""
        self._platform.engine.after(CHECK_INTERVAL_MS, self._check)
        for node in self._platform.nodes[0]:
            known = self._nodes[node.name]
            if known is not node:
                addresses = [process.address for process in self._cluster.running()]
                self._start(node, tuple(addresses[:MAX_CONTACTS]))
            elif not node.up:
                self._cluster.kill(node.name)
        for process in self._cluster.running():
            if self._platform.engine.now >= self._trackers[process.name].next_due_ms:
                self._update_share(process)

    def _on_change(self, process: SimulatedProcess, _change: StateChange) -> None:
        self._update_share(process)

    def _update_share(self, process: SimulatedProcess) -> None:
        core = process.core
        if not core.joined or process.name not in self._trackers:
            return
        tracker = self._trackers[process.name]
        share = tracker.update(core.view.members, process.name, self._platform.engine.now)
        if share is not None:
            self._nodes[process.name].notify(NodesPresent(share.node_count, share.node_index))
