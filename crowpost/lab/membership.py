"""Membership among the front nodes of a simulated platform: the real cores, in the platform's own time."""

from __future__ import annotations

from crowpost.decision_api import NodesPresent
from crowpost.lab.nodes import SimNode
from crowpost.lab.platform import Platform
from crowpost.lab.swim import Process, Swarm, Weather
from crowpost.members.model import Change
from crowpost.members.presence import ORDINAL, STAGE, Presence, Share

LOOK_MS = 250.0  # as often as a real node looks at what is due
WEATHER = Weather(loss=0.01, delay=(0.2, 1.0))


class FrontMembership:
    """Each front node is a member; what it holds of the others goes to its module."""

    def __init__(self, platform: Platform, seed: int) -> None:
        self._platform = platform
        self._swarm = Swarm(seed, WEATHER, engine=platform.engine)
        self._swarm.keep_history = False
        self._swarm.watch = self._changed
        self._presence: dict[str, Presence] = {}
        self._nodes: dict[str, SimNode] = {}
        for node in platform.nodes[0]:
            self._start(node, contacts=())
        self._swarm.acquaint()
        platform.engine.after(LOOK_MS, self._look)

    def _start(self, node: SimNode, contacts: tuple[str, ...]) -> None:
        settings = node.settings
        self._nodes[node.name] = node
        self._presence[node.name] = Presence(
            "node", str(settings.tier), Share(settings.node_count, settings.node_index)
        )
        facts = {STAGE: str(settings.tier), ORDINAL: str(settings.node_index)}
        self._swarm.start(node.name, contacts, facts=facts)

    def _look(self) -> None:
        """Follow the platform: which nodes have died, and which are back; then what is due."""
        self._platform.engine.after(LOOK_MS, self._look)
        for node in self._platform.nodes[0]:
            known = self._nodes[node.name]
            if known is not node:
                living = [p.address for p in self._swarm.living()]
                self._start(node, tuple(living[:3]))
            elif not node.up:
                self._swarm.kill(node.name)
        for process in self._swarm.living():
            if self._platform.engine.now >= self._presence[process.name].next_at:
                self._feed(process)

    def _changed(self, process: Process, change: Change) -> None:
        self._feed(process)

    def _feed(self, process: Process) -> None:
        core = process.core
        if not core.joined or process.name not in self._presence:
            return
        share = self._presence[process.name].look(core.view.members, process.name, self._platform.engine.now)
        if share is not None:
            self._nodes[process.name].hear(NodesPresent(share.present, share.node_index))
