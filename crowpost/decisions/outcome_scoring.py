"""What an outcome says of its server, its class and the load."""

from __future__ import annotations

from crowpost.decision_api import AttemptEnded, Outcome
from crowpost.decisions.concurrency_limiter import Admission
from crowpost.decisions.endpoint_set import Fleet
from crowpost.decisions.outlier_detection import Health, patience
from crowpost.decisions.request_state import Attempt, Request

FULL_PAUSE = 0.02  # a server that was full rests for this part of the aim
LATE_REST = 2.0  # one that gave no other answer during a call that ends late rests this many times as long
# A server that turned a call away gets fewer at once; the ceiling rises by this much for each full turn.
CEILING_DOWN = 0.9
CEILING_UP = 0.25


def expected(units: float) -> float:
    """The latency of so much work, in those of mean work: half of it hangs on the work."""
    return 0.5 + 0.5 * units


class Judge:
    """Learns from outcomes; `calls_out` counts those that still wait at a server."""

    def __init__(self, fleet: Fleet, health: Health, admission: Admission) -> None:
        self.fleet, self.health, self.admission = fleet, health, admission
        self.patience = health.patience
        self.class_patience = [patience() for _ in fleet.settings.classes]

    def late(self, request: Request) -> float:
        """How long an attempt may take; heavy work longer, by what its cost hint foretells.

        Guards against second copies of what is merely heavy: the dearest there are, on a calm day a twelfth
        of all work with one attempt in a hundred.
        """
        return self.class_patience[request.class_index].late() * expected(max(1.0, request.units))

    def judge(self, attempt: Attempt, event: AttemptEnded, request: Request | None, calls_out: int) -> None:
        outcome, elapsed, server, now = event.outcome, event.elapsed_ms, attempt.server, self.fleet.now
        charge, name = self.fleet.automaton.charge, server.entry.server
        if outcome is Outcome.REJECTED:
            # Says nothing of the server but that it is there: counted as failures, one caller's wrong
            # requests ejected every server in turn.
            server.heard = now
            return
        if elapsed > self.patience.late() and now - server.heard >= elapsed:
            # All that is known of it is this one late outcome: where calls are few, an average of
            # seven spans most of a minute, and what crowded or stopped the server is still there.
            self.health.rest_if_spared(server, LATE_REST * elapsed)
        current = attempt.entry.started_ms == server.entry.started_ms
        if outcome is Outcome.OK:
            self.served_in(elapsed, attempt, request, calls_out)
        elif outcome is Outcome.FULL or (
            outcome is Outcome.CONNECT_FAILED and now - server.heard < self.patience.late()
        ):
            # A server that answers others but takes no further call, or no further connection, is full, not
            # dead.  Without a ceiling thousands of calls a second bounced off such servers, at the cost of
            # a handshake each, and the ejection of full servers pushed over the rest.
            server.ceiling = max(1.0, CEILING_DOWN * min(server.ceiling, len(server.out)))
            self.health.rest(server, FULL_PAUSE * self.fleet.aim)
            self.fleet.sent.add(-attempt.units, now)  # what is turned away is no load that servers bear
            charge(name, elapsed)
            self.admission.feel(1.0, calls_out)
        elif outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED):
            if outcome is Outcome.ERROR:
                server.heard = now
            charge(name, elapsed)
            if current:
                self.health.failed(server, outcome)
        elif outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            # What was given up took at least this long: leaving it out would shorten patience for the next.
            if request is None:
                return  # withdrawn because another copy was quicker
            self.patience.observe(elapsed)
            self.class_patience[request.class_index].observe(elapsed)
            self.admission.feel(elapsed / request.kind.latency_objective_ms, calls_out)
            charge(name, elapsed)
            if current and elapsed >= self.patience.late():
                self.health.failed(server, outcome)

    def served_in(self, elapsed: float, attempt: Attempt, request: Request | None, calls_out: int) -> None:
        """An answer, or the beginning of a long one."""
        server, aim = attempt.server, self.fleet.aim
        server.heard = self.fleet.now
        server.ceiling += CEILING_UP / server.ceiling
        self.patience.observe(elapsed)
        if request is not None:
            self.class_patience[request.class_index].observe(elapsed)
            aim = request.kind.latency_objective_ms
        # Heavy work says little of its server or the load: what the cost hint foretold is half taken out.
        usual = elapsed / expected(attempt.units)
        self.admission.calm_down(usual)
        self.admission.feel(elapsed / aim, calls_out)
        self.fleet.automaton.learn(server.entry.server, usual)
        self.health.succeeded(server)
