"""Server health, always against peers: lateness, silence, ejection, rests, and the way back."""

from __future__ import annotations

import math
from itertools import islice

from crowpost.decision_api import Action, CloseIdle, EndpointId, HealthCheck, HealthCheckEnded, Log, Outcome
from crowpost.decisions.endpoint_set import Fleet
from crowpost.decisions.estimators import Spread
from crowpost.decisions.request_state import Server
from crowpost.decisions.timers import Timers

FAIL_STEP = 0.3  # two failures in a row cross FAIL_EJECT, one never does
FAIL_EJECT = 0.45
FAIL_VS_PEERS = 2.0  # and it must fail at twice the peers' rate, so that a shared cause ejects nobody
FAIL_LEAST = 0.01  # less counts for nothing among peers
EJECT_MOST = 0.34  # part of the fleet that may be out at once
PANIC = 0.5  # with more than this part unhealthy, health is ignored: the cause is not the servers
SAMPLE = 128  # servers with calls out that are looked at for it, in fleets where there are more
DEVIATIONS = 4.0  # patience = mean + this many mean deviations, as in TCP's time-out
LATE_LEAST = 2.0  # and at least this many means, for work that always takes the same time
EJECT_FIRST = 0.2  # first time out, as a part of the cold time; doubles up to EJECT_LONGEST cold times
EJECT_LONGEST = 1.0
RETURN = 2  # the kind of the timer that brings a server back


def patience() -> Spread:
    """What an attempt may take before it is late, by the latencies of those served."""
    return Spread(DEVIATIONS, LATE_LEAST)


def _can_spare(out: int, servers: int) -> bool:
    """Whether one more of these servers may be left out beside those that are."""
    return out + 1 <= max(1.0, EJECT_MOST * servers)


class Health:
    """Who is avoided, and for how long."""

    def __init__(self, fleet: Fleet, timers: Timers) -> None:
        self.fleet, self.timers, self.patience = fleet, timers, patience()
        self.actions: list[Action] = []  # of the present event
        self._suspect: dict[EndpointId, Server] = {}  # failing, ejected or resting, lately

    def _suspects(self) -> list[Server]:
        """Listed servers that something is held against."""
        for name, s in list(self._suspect.items()):
            if not (s.ejected or s.fail > FAIL_LEAST or s.rest_until > self.fleet.now):
                del self._suspect[name]
        return [s for s in self._suspect.values() if s.index >= 0]

    def silent(self, server: Server, late: float) -> bool:
        """Attempts overdue against what peers answer in count before they end."""
        if not server.out:
            return False
        since = max(next(iter(server.out.values())), server.heard)
        return self.fleet.now - since > late / math.sqrt(len(server.out))

    def panic(self) -> bool:
        """Whether more than half of the listed servers are ejected or silent."""
        most, busy = PANIC * len(self.fleet.arms), self.fleet.busy
        if len(self._suspect) + len(busy) <= most:
            return False  # only a server with calls out can be silent
        late = self.patience.late()
        silent = sum(
            not s.ejected and s.index >= 0 and self.silent(s, late) for s in islice(busy.values(), SAMPLE)
        )
        return sum(s.ejected for s in self._suspects()) + silent * max(1.0, len(busy) / SAMPLE) > most

    def unhealthy(self) -> int:
        """Listed servers that are avoided at the last event."""
        late = self.patience.late()
        return sum(1 for s in self.fleet.arms if s.ejected or self.silent(s, late))

    def rest(self, server: Server, span: float) -> None:
        """Skip a server for a while."""
        server.rest_until = self.fleet.now + span
        self._suspect[server.entry.server] = server

    def rest_if_spared(self, server: Server, span: float) -> None:
        """The same, unless too many of those that would take its calls are out already.

        Where crossing zones has a price those are the own zone's: resting by the whole fleet's number sent
        a zone's calls across.
        """
        fleet = self.fleet
        home = fleet.home is not None and len(fleet.home) > 1
        out = [s for s in self._suspects() if s.ejected or s.rest_until > fleet.now]
        near = sum(fleet.at_home[s.index] for s in out) if home else len(out)
        if _can_spare(near, len(fleet.home or ()) if home else len(fleet.arms)):
            self.rest(server, span)

    def succeeded(self, server: Server) -> None:
        server.fail -= FAIL_STEP * server.fail
        if server.trial:
            server.trial = False
            self.actions.append(Log(f"server {server.entry.server.hex()} returns after a good trial"))
        elif not server.ejected and server.fail < 0.05:
            server.strikes = 0

    def failed(self, server: Server, outcome: Outcome) -> None:
        """Outlier ejection: against peers, at most a part of the fleet, longer each time."""
        server.fail += FAIL_STEP * (1.0 - server.fail)
        name = server.entry.server
        self._suspect[name] = server
        if server.ejected:
            return
        peers = len(self.fleet.arms) - (server.index >= 0)
        suspects = self._suspects()
        norm = sum(s.fail for s in suspects if s is not server and not s.ejected) / peers if peers else 1.0
        if server.trial or (
            server.fail >= FAIL_EJECT
            and server.fail >= FAIL_VS_PEERS * norm
            and _can_spare(sum(s.ejected for s in suspects), len(self.fleet.arms))
        ):
            server.ejected, server.trial = True, False
            text = f"server {name.hex()} ejected: {outcome.value}"
            self.actions.append(Log(f"{text}, fail {server.fail:.2f} against {norm:.2f} of its peers"))
            # Idle connections may lead to a dead process; a fresh one proves by failing that nothing ran.
            self.actions.append(CloseIdle(name))
            self._schedule_return(server)

    def recall_ejected(self, server: Server) -> None:
        """An earlier process had ejected it: out until a probe or a trial, where it can be spared."""
        if _can_spare(sum(s.ejected for s in self._suspects()), len(self.fleet.arms)):
            server.fail, server.ejected = FAIL_EJECT, True
            self._suspect[server.entry.server] = server
            self._schedule_return(server)

    def _schedule_return(self, server: Server) -> None:
        cold = self.fleet.settings.warm_up_ms or 10_000.0
        pause = min(EJECT_LONGEST * cold, EJECT_FIRST * cold * 2.0 ** min(server.strikes, 10))
        server.strikes += 1
        when = self.fleet.now + pause * (0.75 + 0.5 * self.fleet.rng.random())
        self.timers.at(when, RETURN, server.entry.server)

    def try_return(self, name: EndpointId) -> None:
        server = self.fleet.servers.get(name)
        if server is not None and server.ejected:
            if self.fleet.settings.may_check_health and server.listed:
                self.actions.append(HealthCheck(name))
            else:
                self._admit_trial(server)

    def _admit_trial(self, server: Server) -> None:
        server.ejected, server.trial, server.fail = False, True, FAIL_STEP

    def on_probe(self, event: HealthCheckEnded) -> None:
        server = self.fleet.servers.get(event.server)
        if server is None:
            return
        self.fleet.note_load(server, event.load)
        if not server.ejected:
            return  # news of a server that has changed meanwhile
        if event.outcome is Outcome.OK:
            self._admit_trial(server)
        else:
            server.strikes = min(server.strikes, 1)  # probes are cheap: keep asking at a steady pace
            self._schedule_return(server)
