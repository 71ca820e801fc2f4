"""The faults of a scenario, scheduled as calls on the simulated platform."""

from __future__ import annotations

from collections.abc import Callable

from crowpost.lab.machines import ActiveFaults, SimServer
from crowpost.lab.platform import Platform
from crowpost.lab.scenario import Fault

DRAIN_MS = 2500.0  # time between the drain and the stop of a server, in which calls can finish
JOIN_DRAIN_MS = 1500.0


class Faults:
    """The faults of one run. The affected servers are drawn from the random stream of the platform."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        kinds: dict[str, Callable[[Fault], None]] = {
            "errors": lambda fault: self._set(fault, "errors", fault.size),
            "spoilt": lambda fault: self._set(fault, "spoilt", fault.size),
            "slow": lambda fault: self._set(fault, "slower", max(fault.size, 1e-3)),
            "silent": lambda fault: self._set(fault, "unresponsive", True),
            "early_close": lambda fault: self._set(fault, "idle_ms", fault.pause_ms),
            "neighbour": self._neighbour,
            "pauses": self._pauses,
            "crash": self._crash,
            "release": self._release,
            "join": self._join,
            "zone_loss": self._zone_loss,
            "discovery_stall": self._discovery_stall,
            "reports_late": self._reports_late,
            "hot_caller": self._hot_caller,
            "restart_nodes": self._restart_nodes,
            "upgrade_nodes": self._upgrade_nodes,
            "burst": lambda _fault: None,  # drawn with the arrivals
        }
        for fault in platform.scenario.faults:
            platform.engine.at(fault.at_s * 1000.0, kinds[fault.kind], fault)

    def _servers_by_tier(self, fault: Fault) -> list[list[SimServer]]:
        platform = self._platform
        chosen: list[list[SimServer]] = []
        for tier, servers in zip(platform.scenario.tiers, platform.tiers, strict=True):
            if fault.tier in ("", tier.name):
                running = [server for server in servers if server.up]
                count = min(len(running), max(1, round(fault.part * len(running))))
                chosen.append(platform.rng.sample(running, count))
        return chosen

    def _affected_servers(self, fault: Fault) -> list[SimServer]:
        return [server for servers in self._servers_by_tier(fault) for server in servers]

    def _set(self, fault: Fault, name: str, value: float | bool) -> None:
        normal = getattr(ActiveFaults(), name)
        for server in self._affected_servers(fault):
            setattr(server.faults, name, value)
            server.retime()
            self._platform.engine.after(fault.for_s * 1000.0, self._reset, server, name, normal)

    @staticmethod
    def _reset(server: SimServer, name: str, normal: object) -> None:
        setattr(server.faults, name, normal)
        server.retime()

    def _neighbour(self, fault: Fault) -> None:
        for server in self._affected_servers(fault):
            self._toggle_neighbour(server, fault, self._platform.engine.now + fault.for_s * 1000.0, True)

    def _toggle_neighbour(self, server: SimServer, fault: Fault, end: float, begins: bool) -> None:
        engine = self._platform.engine
        active = begins and engine.now < end
        server.faults.taken = fault.size if active else 0.0
        server.retime()
        if engine.now < end:
            span = fault.every_ms * (0.5 + self._platform.rng.random())
            engine.at(min(engine.now + span, end), self._toggle_neighbour, server, fault, end, not begins)

    def _pauses(self, fault: Fault) -> None:
        engine = self._platform.engine
        for server in self._affected_servers(fault):
            start = engine.now + fault.every_ms * self._platform.rng.random()
            engine.at(start, self._pause, server, fault, engine.now + fault.for_s * 1000.0)

    def _pause(self, server: SimServer, fault: Fault, end: float) -> None:
        engine = self._platform.engine
        if engine.now >= end:
            return
        server.faults.paused = True
        server.retime()
        engine.after(fault.pause_ms, self._reset, server, "paused", False)
        engine.after(fault.pause_ms + fault.every_ms, self._pause, server, fault, end)

    def _crash(self, fault: Fault) -> None:
        for server in self._affected_servers(fault):
            self._platform.stop_server(server)
            self._platform.engine.after(fault.down_ms, self._platform.start_server, server)

    def _release(self, fault: Fault) -> None:
        """Restart the process of each server, an equal part of every tier in each batch."""
        engine = self._platform.engine
        for servers in self._servers_by_tier(fault):
            for i, server in enumerate(servers):
                when = (i * fault.steps // len(servers)) * fault.for_s * 1000.0 / fault.steps
                engine.after(when, self._platform.drain_server, server)
                engine.after(when + DRAIN_MS, self._platform.stop_server, server)
                engine.after(when + DRAIN_MS + fault.down_ms, self._platform.start_server, server)

    def _join(self, fault: Fault) -> None:
        """Replace servers permanently by new ones with new names."""
        platform, engine = self._platform, self._platform.engine
        for servers in self._servers_by_tier(fault):
            for i, server in enumerate(servers):
                when = i * fault.for_s * 1000.0 / len(servers)
                engine.after(when, platform.drain_server, server)
                engine.after(when + JOIN_DRAIN_MS, platform.stop_server, server)
                engine.after(when, self._start_replacement, server)

    def _start_replacement(self, gone: SimServer) -> None:
        platform = self._platform
        platform.start_server(platform.new_server(gone.stage, gone.kind_index, gone.place))

    def _zone_loss(self, fault: Fault) -> None:
        """Make the servers of the last zone unresponsive; later each starts as a new process and warms up."""
        platform = self._platform
        zone = platform.scenario.network.zones - 1
        for servers in platform.tiers:
            for server in servers:
                if server.zone == zone and server.up:
                    server.faults.unresponsive = True
                    platform.engine.after(fault.for_s * 1000.0, self._restore_server, server)

    def _restore_server(self, server: SimServer) -> None:
        server.faults.unresponsive = False
        if server.up:
            self._platform.stop_server(server)
        self._platform.start_server(server)

    def _discovery_stall(self, fault: Fault) -> None:
        platform = self._platform
        platform.stalled_until = max(platform.stalled_until, platform.engine.now + fault.for_s * 1000.0)

    def _reports_late(self, fault: Fault) -> None:
        for servers in self._platform.tiers:
            for server in servers:
                server.report_delay = fault.pause_ms
                self._platform.engine.after(fault.for_s * 1000.0, setattr, server, "report_delay", 0.0)

    def _hot_caller(self, fault: Fault) -> None:
        platform = self._platform
        platform.hot_nodes = (fault.size, max(1, round(fault.part * platform.scenario.nodes)))
        platform.engine.after(fault.for_s * 1000.0, setattr, platform, "hot_nodes", None)

    def _choose_nodes(self, fault: Fault) -> list[int]:
        running = [i for i, node in enumerate(self._platform.nodes[0]) if node.up]
        count = min(len(running), max(1, round(fault.part * len(running))))
        return self._platform.rng.sample(running, count)

    def _restart_nodes(self, fault: Fault) -> None:
        for place in self._choose_nodes(fault):
            self._platform.restart_node(place, fault.down_ms)

    def _upgrade_nodes(self, fault: Fault) -> None:
        for place in self._choose_nodes(fault):
            self._platform.upgrade_node(place)
