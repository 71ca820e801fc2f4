"""The failure detector: the choice of members to probe, direct and indirect probes, and their outcome.

In each protocol period one member is pinged directly and, if it does not answer, through other members
(ping-req; SWIM, section 3).  The local health score follows Lifeguard, section IV.A.  In addition to both
papers, a member is suspected only after a second probe, one period later, has failed as well.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from crowpost.membership import counters
from crowpost.membership.model import Liveness, Member, StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.timers import TimerKind, TimerQueue
from crowpost.membership.view import MembershipView
from crowpost.membership.wire import Message, MessageKind

MAX_LOCAL_HEALTH_SCORE = 4  # Protocol periods and probe timeouts are up to five times as long
# Fractions of a period after which other members are asked to probe.
INDIRECT_PROBE_FRACTIONS = (0.3, 0.6)
# Fraction of a period after which a helper reports that its ping was not answered.
NACK_FRACTION = 0.25
PROBES_BEFORE_SUSPICION = 2  # Consecutive failed probes
MAX_PROBES_BEFORE_DEATH = 3  # Final probes of a suspected member before it is declared dead
MAX_PEER_DRAWS = 8  # Random draws before the search for a live peer is given up
_NUMBER_END = 2**32

# Sends a datagram.  Arguments: address, kind, time, probe number, target, and the updates to put first.
SendDatagram = Callable[[str, MessageKind, float, int, str, list[StateUpdate]], None]


class ProbeVerdict(Enum):
    """The consequence of a failed probe for the member."""

    SUSPECT = "suspect"
    CONFIRM_SUSPICION = "confirm suspicion"
    DECLARE_DEAD = "declare dead"


@dataclass(frozen=True, slots=True)
class ProbeFailure:
    """A failed probe that has a consequence for the member."""

    verdict: ProbeVerdict
    member: Member


@dataclass(slots=True)
class _Probe:
    member: Member
    number: int
    suspicion_generation: int  # The member's generation when the probe started
    # Consecutive failures, including this probe, after which the member is declared dead; 0: a regular probe.
    final_probes: int = 0
    answered: bool = False
    helpers_asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _IndirectProbe:
    """A probe that this process performs for another."""

    requester_address: str
    requester_number: int
    target: str


class FailureDetector:
    """Probes one member in each protocol period, in shuffled order, and scores its own health."""

    def __init__(
        self,
        view: MembershipView,
        local_member: Member,
        settings: ProtocolSettings,
        rng: random.Random,
        counts: Counter[str],
        timers: TimerQueue,
        send: SendDatagram,
    ) -> None:
        self._view = view
        self._local_member = local_member
        self._settings = settings
        self._rng = rng
        self._counts = counts
        self._timers = timers
        self._send = send
        self.local_health_score = 0  # 0: healthy; increases with signs that this process is slow
        self.probe_order: list[str] = []
        self._next_index = 0
        # The member that failed its last probe and is probed again in the next round.
        self._retry: Member | None = None
        self._probes: dict[int, _Probe] = {}  # In-flight probes by number
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._last_number = 0

    # ------------------------------------------------------------ local health

    def adjust_local_health(self, delta: int) -> None:
        """Add `delta`, which may be negative, to the local health score, within its limits."""
        self.local_health_score = min(max(self.local_health_score + delta, 0), MAX_LOCAL_HEALTH_SCORE)

    def on_process_paused(self) -> None:
        """Ignore all in-flight probes: this process was paused, so their results are unknown."""
        self.adjust_local_health(1)
        for probe in self._probes.values():
            probe.answered = True
        self._retry = None

    def probe_interval_ms(self) -> float:
        """Return the time between two probe rounds."""
        return self._settings.probe_interval_ms * (1 + self.local_health_score)

    # ------------------------------------------------------------ choice of members

    def add_target(self, name: str) -> None:
        """Insert a member at a random position of the probe order (SWIM, section 4.3)."""
        index = self._rng.randrange(len(self.probe_order) + 1)
        self.probe_order.insert(index, name)
        if index < self._next_index:
            self._next_index += 1

    def random_peer(self) -> Member | None:
        """Return a random other member that is alive; None if a few draws found none."""
        for _ in range(MAX_PEER_DRAWS):
            if not self.probe_order:
                return None
            name = self.probe_order[self._rng.randrange(len(self.probe_order))]
            member = self._view.get(name)
            if self._is_alive_peer(member):
                return member
        return None

    def _is_alive_peer(self, member: Member | None) -> bool:
        return member is not None and member.alive and member is not self._local_member

    def _next_target(self) -> Member | None:
        """Return the next live member of the probe order, which is shuffled after each pass."""
        for _ in range(len(self.probe_order) + 1):
            if self._next_index >= len(self.probe_order):
                self._reshuffle()
                if not self.probe_order:
                    return None
            member = self._view.get(self.probe_order[self._next_index])
            self._next_index += 1
            if self._is_alive_peer(member):
                return member
        return None

    def _reshuffle(self) -> None:
        members = (self._view.get(name) for name in self.probe_order)
        self.probe_order = [member.name for member in members if member is not None and member.alive]
        self._rng.shuffle(self.probe_order)
        self._next_index = 0

    # ------------------------------------------------------------ probes

    def start_round(self, now: float) -> None:
        """Probe the next member, or again the one that failed in the last round."""
        member = self._retry or self._next_target()
        self._retry = None
        if member is not None:
            self.probe(member, now)

    def probe(self, member: Member, now: float, *, final_probes: int = 0) -> None:
        """Start a probe.

        If `final_probes` is set, the member is declared dead after that many consecutive failures, including
        this probe.
        """
        number = self._new_number()
        self._probes[number] = _Probe(member, number, member.suspicion_generation, final_probes)
        self._counts[counters.PROBES] += 1
        self._ping(member, number, now)
        interval = self.probe_interval_ms()
        for fraction in INDIRECT_PROBE_FRACTIONS:
            self._timers.schedule(now + fraction * interval, TimerKind.INDIRECT_PROBE, "", number)
        self._timers.schedule(now + interval, TimerKind.PROBE_TIMEOUT, "", number)

    def probe_before_death(self, member: Member, now: float) -> None:
        """Start the final probes of a suspected member; there are more of them if this process is slow."""
        final_probes = 1 + min(self.local_health_score, MAX_PROBES_BEFORE_DEATH - 1)
        self.probe(member, now, final_probes=final_probes)

    def ping_dead_member(self, member: Member, now: float) -> None:
        """Ping a member that is considered dead; a missing answer has no consequence."""
        self._ping(member, self._new_number(), now)

    def _new_number(self) -> int:
        self._last_number = (self._last_number + 1) % _NUMBER_END
        return self._last_number

    def _ping(self, member: Member, number: int, now: float) -> None:
        # The ping notifies a suspected member of the suspicion; its ack carries the refutation.
        suspicion = [] if member.liveness is Liveness.ALIVE else [member.to_update(include_profile=False)]
        self._send(member.profile.address, MessageKind.PING, now, number, member.name, suspicion)

    def send_indirect_probes(self, number: int, now: float) -> None:
        """Ping again, directly and through other members, if the probe is still unanswered."""
        probe = self._probes.get(number)
        if probe is None or probe.answered:
            return
        self._ping(probe.member, number, now)
        for _ in range(self._settings.indirect_probes):
            helper = self.random_peer()
            if helper is not None and helper is not probe.member:
                probe.helpers_asked += 1
                target = probe.member.name
                self._send(helper.profile.address, MessageKind.PING_REQ, now, number, target, [])

    def on_probe_timeout(self, number: int, now: float) -> ProbeFailure | None:
        """End a probe; return the failure if it has a consequence for the member, else None."""
        probe = self._probes.pop(number)
        member = probe.member
        if probe.final_probes and probe.suspicion_generation == member.suspicion_generation:
            return self._end_final_probe(probe, now)
        if probe.answered or not member.alive:
            return None
        self._counts[counters.PROBES_FAILED] += 1
        if probe.helpers_asked and not probe.nacks:
            self.adjust_local_health(1)  # No helper replied either: the fault may be local
        member.failed_probes += 1
        if member.liveness is Liveness.SUSPECT:
            return ProbeFailure(ProbeVerdict.CONFIRM_SUSPICION, member)
        if member.failed_probes >= PROBES_BEFORE_SUSPICION:
            return ProbeFailure(ProbeVerdict.SUSPECT, member)
        self._retry = member
        return None

    def _end_final_probe(self, probe: _Probe, now: float) -> ProbeFailure | None:
        """End a final probe.

        An answered probe is repeated until the refutation arrives.  So is one during which this process was
        paused, since its result is unknown.
        """
        if probe.answered:
            self.probe(probe.member, now, final_probes=probe.final_probes)
            return None
        if probe.final_probes > 1:
            self.probe(probe.member, now, final_probes=probe.final_probes - 1)
            return None
        return ProbeFailure(ProbeVerdict.DECLARE_DEAD, probe.member)

    # ------------------------------------------------------------ answers, and probes for other processes

    def on_ack(self, message: Message, now: float) -> None:
        """Handle the answer to a probe of this process, or to one that it performed for another."""
        indirect = self._indirect_probes.pop(message.number, None)
        if indirect is not None:
            self._reply_to_requester(MessageKind.ACK, indirect, now)
            return
        probe = self._probes.get(message.number)
        if probe is not None and probe.member.name == message.target and not probe.answered:
            probe.answered = True
            probe.member.failed_probes = 0
            self.adjust_local_health(-1)

    def on_nack(self, message: Message) -> None:
        """Handle the report of a helper that its ping was not answered."""
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.nacks += 1

    def on_ping_req(self, message: Message, address: str, now: float) -> None:
        """Probe a member for another process, which gets the result at `address`."""
        target = self._view.get(message.target)
        if target is None:
            return
        number = self._new_number()
        self._indirect_probes[number] = _IndirectProbe(address, message.number, message.target)
        self._ping(target, number, now)
        timeout = NACK_FRACTION * self._settings.probe_interval_ms
        self._timers.schedule(now + timeout, TimerKind.PING_REQ_TIMEOUT, "", number)

    def on_ping_req_timeout(self, number: int, now: float) -> None:
        """Report to the requester that the probe was not answered in time."""
        indirect = self._indirect_probes.pop(number, None)
        if indirect is not None:
            self._reply_to_requester(MessageKind.NACK, indirect, now)

    def _reply_to_requester(self, kind: MessageKind, indirect: _IndirectProbe, now: float) -> None:
        address = indirect.requester_address
        self._send(address, kind, now, indirect.requester_number, indirect.target, [])
