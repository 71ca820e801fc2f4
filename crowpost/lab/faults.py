"""What goes wrong, and when: each fault of a scenario becomes planned calls on the platform."""

from __future__ import annotations

from collections.abc import Callable

from crowpost.lab.machines import SimServer, Trouble
from crowpost.lab.platform import Platform
from crowpost.lab.scenario import Fault

DRAIN_MS = 2500.0  # a planned end leaves calls this long to finish
JOIN_DRAIN_MS = 1500.0


class Faults:
    """The faults of one run.  Which servers they hit is drawn from the platform's own stream."""

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        kinds: dict[str, Callable[[Fault], None]] = {
            "errors": lambda f: self._set(f, "errors", f.size),
            "spoilt": lambda f: self._set(f, "spoilt", f.size),
            "slow": lambda f: self._set(f, "slower", max(f.size, 1e-3)),
            "silent": lambda f: self._set(f, "cut", True),
            "early_close": lambda f: self._set(f, "idle_ms", f.pause_ms),
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

    def _by_tier(self, fault: Fault) -> list[list[SimServer]]:
        platform = self._platform
        chosen: list[list[SimServer]] = []
        for tier, servers in zip(platform.scenario.tiers, platform.tiers, strict=True):
            if fault.tier in ("", tier.name):
                standing = [s for s in servers if s.up]
                count = min(len(standing), max(1, round(fault.part * len(standing))))
                chosen.append(platform.world.sample(standing, count))
        return chosen

    def _victims(self, fault: Fault) -> list[SimServer]:
        return [server for servers in self._by_tier(fault) for server in servers]

    def _set(self, fault: Fault, name: str, value: float | bool) -> None:
        calm = getattr(Trouble(), name)
        for server in self._victims(fault):
            setattr(server.trouble, name, value)
            server.retime()
            self._platform.engine.after(fault.for_s * 1000.0, self._reset, server, name, calm)

    @staticmethod
    def _reset(server: SimServer, name: str, calm: object) -> None:
        setattr(server.trouble, name, calm)
        server.retime()

    def _neighbour(self, fault: Fault) -> None:
        for server in self._victims(fault):
            self._take_turn(server, fault, self._platform.engine.now + fault.for_s * 1000.0, True)

    def _take_turn(self, server: SimServer, fault: Fault, end: float, on: bool) -> None:
        engine = self._platform.engine
        active = on and engine.now < end
        server.trouble.taken = fault.size if active else 0.0
        server.retime()
        if engine.now < end:
            span = fault.every_ms * (0.5 + self._platform.world.random())
            engine.at(min(engine.now + span, end), self._take_turn, server, fault, end, not on)

    def _pauses(self, fault: Fault) -> None:
        engine = self._platform.engine
        for server in self._victims(fault):
            start = engine.now + fault.every_ms * self._platform.world.random()
            engine.at(start, self._pause, server, fault, engine.now + fault.for_s * 1000.0)

    def _pause(self, server: SimServer, fault: Fault, end: float) -> None:
        engine = self._platform.engine
        if engine.now >= end:
            return
        server.trouble.paused = True
        server.retime()
        engine.after(fault.pause_ms, self._reset, server, "paused", False)
        engine.after(fault.pause_ms + fault.every_ms, self._pause, server, fault, end)

    def _crash(self, fault: Fault) -> None:
        for server in self._victims(fault):
            self._platform.stop_server(server)
            self._platform.engine.after(fault.down_ms, self._platform.start_server, server)

    def _release(self, fault: Fault) -> None:
        """The same machines with a new process each, an even part of every tier in each turn."""
        engine = self._platform.engine
        for servers in self._by_tier(fault):
            for i, server in enumerate(servers):
                when = (i * fault.steps // len(servers)) * fault.for_s * 1000.0 / fault.steps
                engine.after(when, self._platform.drain_server, server)
                engine.after(when + DRAIN_MS, self._platform.stop_server, server)
                engine.after(when + DRAIN_MS + fault.down_ms, self._platform.start_server, server)

    def _join(self, fault: Fault) -> None:
        """Machines leave for good, and new ones with new names come in their place."""
        platform, engine = self._platform, self._platform.engine
        for servers in self._by_tier(fault):
            for i, server in enumerate(servers):
                when = i * fault.for_s * 1000.0 / len(servers)
                engine.after(when, platform.drain_server, server)
                engine.after(when + JOIN_DRAIN_MS, platform.stop_server, server)
                engine.after(when, self._newcomer, server)

    def _newcomer(self, gone: SimServer) -> None:
        platform = self._platform
        platform.start_server(platform.new_server(gone.stage, gone.kind_index, gone.place))

    def _zone_loss(self, fault: Fault) -> None:
        """The servers of the last zone fall silent; once back, each is a new, cold process."""
        platform = self._platform
        zone = platform.scenario.network.zones - 1
        for servers in platform.tiers:
            for server in servers:
                if server.zone == zone and server.up:
                    server.trouble.cut = True
                    platform.engine.after(fault.for_s * 1000.0, self._zone_back, server)

    def _zone_back(self, server: SimServer) -> None:
        server.trouble.cut = False
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
        platform.hot = (fault.size, max(1, round(fault.part * platform.scenario.nodes)))
        platform.engine.after(fault.for_s * 1000.0, setattr, platform, "hot", None)

    def _some_nodes(self, fault: Fault) -> list[int]:
        standing = [i for i, n in enumerate(self._platform.nodes[0]) if n.up]
        count = min(len(standing), max(1, round(fault.part * len(standing))))
        return self._platform.world.sample(standing, count)

    def _restart_nodes(self, fault: Fault) -> None:
        for place in self._some_nodes(fault):
            self._platform.restart_node(place, fault.down_ms)

    def _upgrade_nodes(self, fault: Fault) -> None:
        for place in self._some_nodes(fault):
            self._platform.upgrade_node(place)
