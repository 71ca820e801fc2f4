"""Probes: whom this process looks at, through whom, and what a look that failed means."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from crowpost.membership.model import Claim, Member, Tuning, Verdict
from crowpost.membership.timers import Schedule, Timer
from crowpost.membership.view import View
from crowpost.membership.wire import Kind, Message

AWARENESS_MOST = 4  # of one's own slowness: periods and waits are up to five times as long
STEPS = (0.3, 0.6)  # parts of a period after which helpers are asked
NACK_AT = 0.25  # part of a period after which a helper says that it got no answer
LOOKS = 2  # probes in a row, a period apart, that a member fails before it is suspected
LAST_LOOKS = 3  # at the most, before a suspected member is declared dead

# Address, kind, time, number, subject, and claims that go first: sends a datagram.
Send = Callable[[str, Kind, float, int, str, list[Claim]], None]


class Failed(Enum):
    """What follows from a look that failed."""

    ACCUSE = "accuse"
    CONFIRM = "confirm"
    BURY = "bury"


@dataclass(slots=True)
class _Probe:
    member: Member
    number: int
    suspicion: int  # its generation when the probe began
    last: int = 0  # so many failed looks, this one included, decide that suspicion; 0: it is not the matter
    answered: bool = False
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _Errand:
    """An indirect probe that this process makes for another."""

    address: str
    number: int  # the requester's own
    subject: str


class Prober:
    """Goes through the members in a shuffled order, one each period, and knows how slow this process is."""

    def __init__(
        self,
        view: View,
        me: Member,
        tuning: Tuning,
        rng: random.Random,
        counts: Counter[str],
        schedule: Schedule,
        send: Send,
    ) -> None:
        self._view, self._me, self._tuning, self._rng = view, me, tuning, rng
        self._counts, self._schedule, self._send = counts, schedule, send
        self.awareness = 0
        self.ring: list[str] = []
        self._place = 0
        self._again: Member | None = None  # failed its last probe: looked at a second time
        self._probes: dict[int, _Probe] = {}  # under way, by number
        self._errands: dict[int, _Errand] = {}
        self._number = 0

    # ------------------------------------------------------------ one's own slowness

    def aware(self, by: int) -> None:
        """Take this process for slower or quicker."""
        self.awareness = min(max(self.awareness + by, 0), AWARENESS_MOST)

    def slept(self) -> None:
        """This process stood still: what came of the looks under way is not known."""
        self.aware(1)
        for probe in self._probes.values():
            probe.answered = True
        self._again = None

    def period(self) -> float:
        """Time in ms between two looks."""
        return self._tuning.probe_ms * (1 + self.awareness)

    # ------------------------------------------------------------ whom

    def enter(self, name: str) -> None:
        """From now on this member is looked at, too, and asked for help."""
        at = self._rng.randrange(len(self.ring) + 1)
        self.ring.insert(at, name)
        self._place += at < self._place

    def any(self) -> Member | None:
        """Some other member that is alive; None where there is none."""
        for _ in range(8):
            if not self.ring:
                return None
            member = self._view.get(self.ring[self._rng.randrange(len(self.ring))])
            if member is not None and member.alive and member is not self._me:
                return member
        return None

    def _next(self) -> Member | None:
        """The next member in a shuffled order that all are gone through in."""
        for _ in range(len(self.ring) + 1):
            if self._place >= len(self.ring):
                self.ring = [n for n in self.ring if (m := self._view.get(n)) is not None and m.alive]
                self._rng.shuffle(self.ring)
                self._place = 0
                if not self.ring:
                    return None
            member = self._view.get(self.ring[self._place])
            self._place += 1
            if member is not None and member.alive and member is not self._me:
                return member
        return None

    # ------------------------------------------------------------ looks

    def round(self, now: float) -> None:
        """Look at the next member."""
        member = self._again or self._next()
        self._again = None
        if member is not None:
            self.look(member, now)

    def look(self, member: Member, now: float, *, last: int = 0) -> None:
        """Begin a probe; last: the member is dead if so many in a row fail, this one being the first."""
        number = self._new_number()
        self._probes[number] = _Probe(member, number, member.timer, last)
        self._counts["probes"] += 1
        self._ping(member, number, now)
        period = self.period()
        for part in STEPS:
            self._schedule.at(now + part * period, Timer.STEP, "", number)
        self._schedule.at(now + period, Timer.JUDGE, "", number)

    def last_look(self, member: Member, now: float) -> None:
        """Begin the looks that decide a suspicion; one that is slow itself does not trust a single one."""
        self.look(member, now, last=1 + min(self.awareness, LAST_LOOKS - 1))

    def call(self, member: Member, now: float) -> None:
        """A probe of which nothing follows, but for what its answer says."""
        self._ping(member, self._new_number(), now)

    def _new_number(self) -> int:
        self._number = (self._number + 1) % 2**32
        return self._number

    def _ping(self, member: Member, number: int, now: float) -> None:
        # One that is suspected is told so at once, and refutes it with its answer.
        told = [member.claim(full=False)] if member.verdict else []
        self._send(member.profile.address, Kind.PING, now, number, member.name, told)

    def step(self, number: int, now: float) -> None:
        """No answer yet: once more directly, and through some helpers."""
        probe = self._probes.get(number)
        if probe is None or probe.answered:
            return
        self._ping(probe.member, number, now)
        for _ in range(self._tuning.helpers):
            helper = self.any()
            if helper is not None and helper is not probe.member:
                probe.asked += 1
                self._send(helper.profile.address, Kind.ASK, now, number, probe.member.name, [])

    def judge(self, number: int, now: float) -> tuple[Failed, Member] | None:
        """The time of a probe is over; what follows, if anything does."""
        probe = self._probes.pop(number)
        member = probe.member
        if probe.last and probe.suspicion == member.timer:
            # A look that this process slept through decides nothing; one that was answered is followed by the
            # refutation, or is made again.
            if probe.answered or probe.last > 1:
                self.look(member, now, last=probe.last - (not probe.answered))
                return None
            return Failed.BURY, member
        if probe.answered or not member.alive:
            return None
        self._counts["probes_failed"] += 1
        if probe.asked and not probe.nacks:
            self.aware(1)  # not even helpers were heard: the fault may be here
        member.doubts += 1
        if member.verdict is Verdict.SUSPECTED:
            return Failed.CONFIRM, member
        if member.doubts >= LOOKS:
            return Failed.ACCUSE, member
        self._again = member
        return None

    # ------------------------------------------------------------ answers and errands

    def acknowledged(self, message: Message, now: float) -> None:
        """An answer to a probe of this process, or to one that it made for another."""
        errand = self._errands.pop(message.number, None)
        if errand is not None:
            self._send(errand.address, Kind.ACK, now, errand.number, errand.subject, [])
            return
        probe = self._probes.get(message.number)
        if probe is not None and probe.member.name == message.subject and not probe.answered:
            probe.answered = True
            probe.member.doubts = 0
            self.aware(-1)

    def not_acknowledged(self, message: Message) -> None:
        """A helper got no answer, but could say so."""
        probe = self._probes.get(message.number)
        if probe is not None:
            probe.nacks += 1

    def help(self, message: Message, address: str, now: float) -> None:
        """Another asks this process to probe a member for it."""
        subject = self._view.get(message.subject)
        if subject is None:
            return
        number = self._new_number()
        self._errands[number] = _Errand(address, message.number, message.subject)
        self._ping(subject, number, now)
        self._schedule.at(now + NACK_AT * self._tuning.probe_ms, Timer.NACK, "", number)

    def give_up(self, number: int, now: float) -> None:
        """A probe for another was not answered in time."""
        errand = self._errands.pop(number, None)
        if errand is not None:
            self._send(errand.address, Kind.NACK, now, errand.number, errand.subject, [])
