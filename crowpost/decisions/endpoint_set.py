"""What a node knows of its servers: the list, homes, cold starts, and load reports."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import crowpost.decision_api as api
from crowpost.decisions.estimators import Rate
from crowpost.decisions.learning_automaton import Automaton
from crowpost.decisions.request_state import Reports, Server
from crowpost.decisions.subsetting import deal

HOME = 6  # servers that a node keeps to, up to twice as many: of so few half may fail and leave a choice
HOME_COVER = 3  # nodes that must share each server at the least, for their walks to cancel out
# By load reports budgets hold of all nodes' calls: where many share a server, each sees too few of its own.
HELD_COLUMN = "outstanding"  # calls that a server holds, in its load reports
REPORT_AIMS = 1.0  # a report older than this many aims says nothing of now
LOOK = 0.02  # part of the aim between looks at what only time moves: cold starts and the age of reports
FORGET = 2  # once so many times the listed servers are known, and some more, those long gone are forgotten


class Fleet:
    """The servers of the list, in the automaton's order as `arms`."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng, self.now = settings, rng, 0.0
        self.aim = min(c.latency_objective_ms for c in settings.classes)
        self.nodes, self.node_index = settings.node_count, settings.node_index
        self.automaton = Automaton(self.nodes)
        self.servers: dict[api.EndpointId, Server] = {}
        self.arms: list[Server] = []
        self.at_home: list[bool] = []  # in the same order: whether the node keeps to this server
        self.home: list[int] | None = None  # indices of those, None where it is all
        self.busy: dict[api.EndpointId, Server] = {}  # those with calls of ours out
        self.sent = Rate(settings.warm_up_ms or 1000.0)  # units sent to warm servers
        self.cold: list[Server] = []  # as of the last look, like these two
        self.capacity = 0.0  # of the listed servers, in warm ones
        self._look_at = -math.inf
        self._groups: dict[tuple[api.IdempotencyScope, int], list[int]] = {}
        columns = settings.load_report_columns
        column = columns.index(HELD_COLUMN) if HELD_COLUMN in columns else None
        self.reports = Reports(column, REPORT_AIMS * self.aim)

    # ------------------------------------------------------------ the list

    def take(self, event: api.EndpointList) -> None:
        """Take in a list, or changes of it."""
        if event.kind is not api.ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for name, server in self.servers.items():
                if name not in named:
                    server.listed = False
        for entry in event.entries:
            self._take_entry(entry)
        listed = {name: s for name, s in self.servers.items() if s.listed}
        hints = self.settings.capacity_hints
        weights = {n: max(s.entry.capacity_hint, 1e-3) if hints else 1.0 for n, s in listed.items()}
        for server in self.arms:
            server.index = -1
        self.automaton.resize(weights, {name: s.entry.kind for name, s in listed.items()})
        self.arms = [listed[name] for name in self.automaton.servers]
        self._groups = {}
        for i, server in enumerate(self.arms):
            server.index = i
        self._choose_home()
        self.cold = [s for s in self.arms if self.is_cold(s)]
        self._look_at = -math.inf
        if len(self.servers) > FORGET * len(self.arms) + 100:
            # A fleet of short lives must not be remembered for ever.
            kept = {n: s for n, s in self.servers.items() if s.listed or s.out or s.ejected}
            leaving = {n: s for n, s in self.servers.items() if s.entry.readiness is api.Readiness.DRAINING}
            self.servers = kept | leaving

    def follow_nodes(self, nodes: int, node_index: int) -> None:
        """So many nodes share the servers now, and this one has this place among them."""
        self.nodes, self.node_index = nodes, node_index
        self.automaton.set_steps(nodes)
        self._choose_home()

    def _take_entry(self, entry: api.EndpointEntry) -> None:
        server, now = self.servers.get(entry.server), self.now
        ready = entry.readiness is api.Readiness.READY
        if server is None:
            server = self.servers[entry.server] = Server(entry, ready)
            server.tokens, server.tokens_at = self.rng.random(), now
        elif entry.started_ms > server.entry.started_ms:
            # A restarted process: what was held against the old one is void; it is cold again.
            server.fail, server.strikes, server.ejected, server.trial = 0.0, 0, False, False
            server.tokens, server.tokens_at = self.rng.random(), now
            server.heard, server.told = now, -math.inf
        server.entry, server.listed = entry, ready

    def in_group(self, bound: tuple[api.IdempotencyScope, int] | None) -> Sequence[int]:
        """The listed servers of a zone or cell, or all."""
        if bound is None:
            return range(len(self.arms))
        if bound not in self._groups:
            zone, number = bound[0] is api.IdempotencyScope.ZONE, bound[1]
            places = ((s.entry.zone if zone else s.entry.cell) for s in self.arms)
            self._groups[bound] = [i for i, place in enumerate(places) if place == number]
        return self._groups[bound]

    def _choose_home(self) -> None:
        """Where many nodes call many servers, each keeps to a home of a few, of every kind in proportion.

        Guards against views so sparse that no node meets a server again within the day's troubles, and
        against connections that grow with nodes times servers.  The servers of each kind are dealt to homes
        by hash, anew for each turn of nodes: each server is met once in a turn, and so all are met alike.
        """
        settings, arms = self.settings, self.arms
        priced, zone = settings.cross_zone_price > 0, settings.zone
        near = [i for i, s in enumerate(arms) if not priced or s.entry.zone == zone]
        # A power of two: their number, which all homes hang on, must not follow every change of the list.
        # Few nodes keep to larger homes: with none at all each would open connections to every server.
        most = min(len(near) // HOME, self.nodes // HOME_COVER)
        homes = 1 << max(0, most.bit_length() - 1)
        if homes > 1:
            turn, place = divmod(self.node_index, homes)
            kinds: dict[int, list[int]] = {}
            for i in near:
                kinds.setdefault(arms[i].entry.kind, []).append(i)
            dealt = [(k, deal([arms[i].mark(turn) for i in k], homes)) for k in kinds.values()]
            near = [i for k, homes_of in dealt for i, home in zip(k, homes_of, strict=True) if home == place]
        whole = len(near) in (0, len(arms))
        self.home = None if whole else sorted(near)
        self.at_home = [whole and bool(near)] * len(arms)
        for i in self.home or ():
            self.at_home[i] = True
        self.automaton.keep_to(self.home)

    # ------------------------------------------------------------ cold starts and load reports

    def look(self) -> bool:
        """Count anew what time moves, if it is time to; whether the capacity may have changed."""
        if self.now < self._look_at:
            return False
        self._look_at = self.now + LOOK * self.aim
        changed = bool(self.cold) or not self.capacity
        self.cold = [s for s in self.cold if self.is_cold(s)]
        self.capacity = len(self.arms) - len(self.cold) + sum(self.ramp(s) for s in self.cold)
        self.reports.look(self.now, self.automaton.share)
        return changed

    def count_out(self, server: Server, by: int) -> None:
        """A call of ours went out to the server, or came back."""
        if by > 0 or not server.out:
            (self.busy.setdefault if by > 0 else self.busy.pop)(server.entry.server, server)
        self.reports.count(server, by)

    def is_cold(self, server: Server) -> bool:
        start = server.entry.started_ms
        return start > 0 and self.now - start < self.settings.warm_up_ms

    def ramp(self, server: Server) -> float:
        """The part of its capacity that a cold server has by now at the least."""
        low, age = self.settings.slow_start_fraction, self.now - server.entry.started_ms
        return low + (1.0 - low) * max(age, 0.0) / self.settings.warm_up_ms

    def warm_flow(self) -> float:
        """Units a millisecond that this node sends a warm server; over all servers while none is warm."""
        return self.sent.per_ms(self.now) / (len(self.arms) - len(self.cold) or len(self.arms))

    def cold_allows(self, server: Server, units: float, flow: float) -> bool:
        """Rule 4: a cold server gets the rising part of what this node sends a warm one.

        Every node does so alone; together they then send it its part of what warm servers bear, which
        leaves the multiple that the rule allows as a margin for chance and for heavy requests.
        """
        ramp = self.ramp(server)
        most = max(1.0, ramp * flow * self.settings.overload_window_ms)
        server.tokens = min(most, server.tokens + ramp * flow * (self.now - server.tokens_at))
        server.tokens_at = self.now
        return server.tokens >= min(units, most)

    def note_load(self, server: Server, load: Sequence[float]) -> None:
        self.reports.note(server, load, self.now, self.automaton.share)
