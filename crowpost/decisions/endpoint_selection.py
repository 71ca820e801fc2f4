"""Which servers an attempt may go to, and the draw among them.

A draw from the whole vector, made again while it falls on a server that may not be drawn, is a draw
conditioned on those that may, and costs the same in any fleet.  When several fall beside, all are looked at.
"""

from __future__ import annotations

from crowpost.decision_api import Effect, IdempotencyScope
from crowpost.decisions.concurrency_limiter import Admission
from crowpost.decisions.endpoint_set import Fleet
from crowpost.decisions.outlier_detection import Health
from crowpost.decisions.request_state import Request, Server

# A node's calls on one server may exceed its share of all calls out by this much before it is skipped.
BUDGET_TIMES = 1.25
BUDGET_PLUS = 0.5
WAITING_MOST = 4.0  # calls that may wait at a server, over all nodes, by its average against the calmest
LOCAL_LEAST = 2  # fewer servers than this in the zone are no fleet to keep to
HEAVY = 2.0  # from so many times the mean work on, a request is too heavy for a slow server
DRAWS = 12  # draws that may fall beside before all servers are looked at


class Placing:
    """Eligibility and the draw, for one request at a time."""

    def __init__(self, fleet: Fleet, health: Health, admission: Admission) -> None:
        self.fleet, self.health, self.admission = fleet, health, admission
        self._can_repeat = any(c.effect is not Effect.UNSAFE for c in fleet.settings.classes)
        # These hold for all servers at the moment of a draw.
        self._most_waiting = self._late = self._mean = 0.0
        self._flow: float | None = None  # counted once, and only if a server is cold
        self._calls_out = 0

    def may_go_on(self, request: Request) -> bool:
        """Rule 2 but for its groups: whether a further attempt may be made at all."""
        settings, first = self.fleet.settings, request.risky()
        if request.body_consumed or (first is not None and request.out and not settings.may_hedge):
            return False
        unsafe = first is not None and request.kind.effect is Effect.UNSAFE
        return not unsafe and self.fleet.now < request.window_end_ms() - settings.tick_ms

    def bound(self, request: Request) -> tuple[IdempotencyScope, int] | None:
        """The zone or cell that a further attempt must stay in; None: any server will do, or none at all."""
        first = request.risky() if request.kind.effect is Effect.KEYED else None
        if first is None or request.kind.group is IdempotencyScope.ALL:
            return None
        zone = request.kind.group is IdempotencyScope.ZONE
        return request.kind.group, first.entry.zone if zone else first.entry.cell

    def permitted(self, request: Request, server: Server) -> bool:
        """Rules 2 and 3: whether a further attempt of this request may go to this server at all."""
        if not server.listed or not self.may_go_on(request):
            return False
        bound, entry = self.bound(request), server.entry
        return bound is None or bound[1] == (entry.zone if bound[0] is IdempotencyScope.ZONE else entry.cell)

    def anywhere(self, request: Request) -> bool:
        """Whether any server may take a further attempt."""
        group = self.fleet.in_group(self.bound(request))
        return self.may_go_on(request) and any(self.fleet.arms[i].listed for i in group)

    def draw(self, request: Request, last_resort: bool, calls_out: int) -> Server | None:
        """The server of the request's next attempt; None where none may be drawn."""
        fleet, automaton = self.fleet, self.fleet.automaton
        if not fleet.arms or not self.may_go_on(request):
            return None
        self._late, self._flow = self.health.patience.late(), None
        self._mean, self._calls_out = automaton.mean() or 0.0, calls_out
        self._most_waiting = max(1.0, WAITING_MOST / self.admission.sharers)
        panic = self.health.panic()
        if self.bound(request) is None and not panic:
            needed, found = 1 if fleet.home is None else LOCAL_LEAST, list[Server]()
            for _ in range(DRAWS):
                server = fleet.arms[automaton.pick(fleet.rng.random())]
                if server in found or request.tried(server) or not self._may(request, server, last_resort):
                    continue
                if request.units >= HEAVY and not self._quick(server):
                    continue
                found.append(server)
                if len(found) == needed:
                    return found[0]
        pool = self._pool(request, last_resort, panic)
        return fleet.arms[automaton.draw(pool, fleet.rng.random())] if pool else None

    def _pool(self, request: Request, last_resort: bool, panic: bool) -> list[int]:
        """Indices that the draw is conditioned on, by a look at every server."""
        arms = self.fleet.arms
        allowed = [i for i in self.fleet.in_group(self.bound(request)) if self._allowed(request, arms[i])]
        if panic:
            fit = allowed  # something that all servers share is wrong: health is no guide
        elif last_resort:
            # It is now or never: a crowded server may still answer in time, a silent one will not.
            fit = [i for i in allowed if not self.health.silent(arms[i], self._late)] or allowed
        else:
            fit = [i for i in allowed if self._fit(request, arms[i])]
        fresh = [i for i in fit if not request.tried(arms[i])]
        pool = self.near(fresh if fresh or (request.out and not last_resort) else fit)
        quick = [i for i in pool if self._quick(arms[i])] if request.units >= HEAVY else []
        return quick or pool

    def near(self, fit: list[int]) -> list[int]:
        """The home's servers while two of them are fit, else, where crossing has a price, the zone's."""
        home = [i for i in fit if self.fleet.at_home[i]]
        if len(home) >= LOCAL_LEAST:
            return home
        if not self.fleet.settings.cross_zone_price:
            return fit
        own = [i for i in fit if self.fleet.arms[i].entry.zone == self.fleet.settings.zone]
        return own if len(own) >= LOCAL_LEAST else fit

    # ------------------------------------------------------------ one server

    def _quick(self, server: Server) -> bool:
        """No slower than the mean, as far as is known: heavy work elsewhere would be late for sure."""
        return (self.fleet.automaton.average[server.index] or 0.0) <= self._mean

    def _may(self, request: Request, server: Server, last_resort: bool) -> bool:
        if not self._allowed(request, server):
            return False
        return not self.health.silent(server, self._late) if last_resort else self._fit(request, server)

    def _allowed(self, request: Request, server: Server) -> bool:
        """Rules 3 and 4; rule 2 is the request's own."""
        if not server.listed or not self.fleet.is_cold(server):
            return server.listed
        if self._flow is None:
            self._flow = self.fleet.warm_flow()
        return self.fleet.cold_allows(server, request.units, self._flow)

    def _fit(self, request: Request, server: Server) -> bool:
        """Healthy, rested, and within what it should hold."""
        if server.ejected or self.health.silent(server, self._late):
            return False
        fleet, out = self.fleet, len(server.out)
        if server.trial and (out or (self._can_repeat and not request.repeatable())):
            return False  # a returning server gets one call at a time, and none that could be lost for good
        if server.rest_until > fleet.now or out + 1 > server.ceiling:
            return False
        slow = fleet.automaton.average[server.index]
        if slow and out * (1.0 - self.admission.calm / slow) > self._most_waiting:
            # By Little's law this part of its calls waits there; a server crowded for long turns slow
            # for long, and its own average tells so before the mean of all does.
            return False
        share = fleet.automaton.share(server.index)
        if slow and slow > self._mean:
            share *= self._mean / slow
        if out > BUDGET_PLUS + BUDGET_TIMES * share * self._calls_out:
            return False
        held = fleet.reports.held
        if not held or not fleet.reports.fresh(server, fleet.now):
            return True
        return out + server.others <= BUDGET_PLUS + BUDGET_TIMES * share * held
