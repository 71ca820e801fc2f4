"""The membership of one process, without I/O: datagrams, ticks and times in; datagrams, exchanges and
changes out.

SWIM (Das, Gupta, Motivala, 2002): every period one member is probed, directly and through helpers; one that
does not answer is suspected, and dead once a time has passed in which it did not refute that.  Lifeguard
(Dadgar et al., 2018): the time of a suspicion shrinks with independent accusers, and a process that notices
its own slowness probes less often and waits longer.  Two additions: a member is suspected only once it has
failed a second look, and a process that was stopped moves all of its deadlines on by as long as it slept,
so that on waking it accuses nobody.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from enum import IntEnum

from fawngw.members.gossip import Gossip
from fawngw.members.model import Change, Claim, Member, Phase, Profile, Tuning, Verdict
from fawngw.members.view import View
from fawngw.members.wire import Foreign, Kind, Message, Sender, claim_row, datagram, pack, read_datagram, tag

AWARENESS_MOST = 4  # of one's own slowness: periods and waits are up to five times as long
STEPS = (0.3, 0.6)  # parts of a period after which helpers are asked
NACK_AT = 0.25  # part of a period after which a helper says that it got no answer
LOOKS = 2  # probes in a row, a period apart, that a member fails before it is suspected
WITNESSES = 5.0  # members, in the mean, that look at a newly suspected one at once
LAST_LOOKS = 3  # at the most, before a suspected member is declared dead
CONFIRM_PART = 0.5  # of the usual repeats, for one more accuser of a member that is suspected already
HEAR_OUT_MS = 1_000.0  # that a member is suspected here at the least before another's word makes it dead
BYSTANDER = 1.5  # times a suspicion's length, for one that has not accused the member itself
LATE = 0.5  # part of a period by which a timer may be late before this process calls itself slow
WINDOW = 512  # datagrams of a sender that may overtake each other; older ones are replays
TELL_MS = 1_000.0  # between two tellings of one member what is held of it
FORGET_EVERY_MS = 60_000.0
FAREWELLS = 8  # members that a departure is told directly
HEAD_ROOM = 270  # bytes of a datagram that are kept for its head: the longest names and addresses fit


class Timer(IntEnum):
    """What a timer is for."""

    ROUND = 0
    STEP = 1
    SUSPICION = 2
    GOSSIP = 3
    SYNC = 4
    REJOIN = 5
    JOIN = 6
    FORGET = 7
    NACK = 8
    JUDGE = 9


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

    requester: str
    address: str
    number: int  # the requester's own
    subject: str


@dataclass
class Output:
    """What a call of the core left to be done.  exchanges: addresses to exchange tables with."""

    datagrams: list[tuple[str, bytes]] = field(default_factory=list)
    exchanges: list[str] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


class Members:
    """Feed it datagrams and ticks with times in ms that never go back; `take` what follows from them.

    contacts: addresses of members to join by, any of which may be down.  birth: 32 random bits, new for
    each process.
    """

    def __init__(
        self,
        cluster: str,
        profile: Profile,
        contacts: tuple[str, ...],
        *,
        seed: int,
        birth: int,
        now: float,
        tuning: Tuning | None = None,
    ) -> None:
        self.cluster, self.tuning = cluster, tuning or Tuning()
        self.rng = random.Random(seed)
        self.view = View(self.tuning)
        self.counts: Counter[str] = Counter()
        self.awareness = 0
        self.yielded = False  # a newer process of the same name stands for this one
        self.joined = not contacts
        self._tag = tag(cluster)
        self._contacts = tuple(c for c in contacts if c != profile.address)
        self._claim_of_self = Claim(
            profile.name, birth, 1, Phase.JOINING, Verdict.NONE, profile.name, "", profile
        )
        me = self.view.add(profile, self._claim_of_self, now)
        assert me is not None  # the table is empty
        self.me = me
        self.gossip = Gossip(self.tuning)
        self._ring: list[str] = []
        self._place = 0
        self._again: Member | None = None  # failed its last probe: looked at a second time
        self._probes: dict[int, _Probe] = {}  # under way, by number
        self._errands: dict[int, _Errand] = {}
        self._counter = self._number = 0
        self._timers: list[tuple[float, int, Timer, str, int]] = []
        self._set = 0
        self._gossiping = False
        self._differs: float | None = None  # since when the views of others have not been this one
        self._synced = -math.inf
        self._out = Output()
        self._at(now + self.rng.random() * self.tuning.probe_ms, Timer.ROUND)
        self._at(now + self.rng.random() * self.tuning.sync_ms, Timer.SYNC)
        self._at(now + (0.5 + self.rng.random()) * self.tuning.rejoin_ms, Timer.REJOIN)
        self._at(now + FORGET_EVERY_MS, Timer.FORGET)
        if self._contacts:
            self._at(now, Timer.JOIN, "", 0)
        else:
            self.joined = True

    # ------------------------------------------------------------ in and out

    @property
    def me_claim(self) -> Claim:
        """What this process says of itself."""
        return self._claim_of_self

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        return self._timers[0][0] if self._timers else math.inf

    def take(self) -> Output:
        """All that is to be done since the last call."""
        out, self._out = self._out, Output()
        out.changes, self.view.changes = self.view.changes, []
        return out

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._notice_sleep(now)
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, name, number = heapq.heappop(self._timers)
            match kind:
                case Timer.ROUND:
                    self._round(now)
                case Timer.STEP:
                    self._step(number, now)
                case Timer.JUDGE:
                    self._judge(number, now)
                case Timer.SUSPICION:
                    self._expire(name, number, now)
                case Timer.GOSSIP:
                    self._spread(now)
                case Timer.SYNC:
                    self._at(now + (0.5 + self.rng.random()) * self.tuning.sync_ms, Timer.SYNC)
                    self._exchange_with(self._any())
                case Timer.REJOIN:
                    self._call_the_dead(now)
                case Timer.JOIN:
                    self._join(number, now)
                case Timer.FORGET:
                    self._at(now + FORGET_EVERY_MS, Timer.FORGET)
                    self.view.forget(now, self.me.name)
                case Timer.NACK:
                    errand = self._errands.pop(number, None)
                    if errand is not None:
                        self._send(errand.address, Kind.NACK, now, errand.number, errand.subject)

    def handle(self, data: bytes, now: float) -> None:
        """Take in a datagram; what is none of this cluster's is counted and dropped."""
        self._notice_sleep(now)
        self.counts["bytes_in"] += len(data)
        self.counts["datagrams_in"] += 1
        try:
            message = read_datagram(data, self._tag, self.tuning.datagram_bytes)
        except Foreign as error:
            self.counts[f"dropped_{error.kind}"] += 1
            return
        self._hear(message, now)

    def _at(self, when: float, kind: Timer, name: str = "", number: int = 0) -> None:
        self._set += 1
        heapq.heappush(self._timers, (when, self._set, kind, name, number))

    def _notice_sleep(self, now: float) -> None:
        """A timer that is late tells of one's own slowness: what others did meanwhile cannot be judged."""
        late = now - self.next_at()
        if late < LATE * self.tuning.probe_ms:
            return
        self._aware(1)
        self.counts["late"] += 1
        # Equal shifts keep the order: the heap stays one.
        self._timers = [(when + late, *rest) for when, *rest in self._timers]  # type: ignore[misc]
        for probe in self._probes.values():
            probe.answered = True  # void: its answer may have come and gone unread
        self._again = None

    def _aware(self, by: int) -> None:
        self.awareness = min(max(self.awareness + by, 0), AWARENESS_MOST)

    # ------------------------------------------------------------ what this process says of itself

    def declare(self, phase: Phase, now: float, why: str = "") -> None:
        """Say of oneself: joining, present or leaving."""
        if phase is not self._claim_of_self.phase and self._claim_of_self.verdict is Verdict.NONE:
            self._restate(now, self._claim_of_self.incarnation + 1, phase=phase, why=why)

    def set_facts(self, facts: dict[str, str], now: float) -> None:
        """Replace the facts that this process carries; MemberError beyond the bounds."""
        profile = replace(self._claim_of_self.profile or self.me.profile, facts=facts)
        self._restate(now, self._claim_of_self.incarnation + 1, profile=profile)

    def leave(self, now: float, why: str = "in order") -> None:
        """Say good-bye: an orderly end, which nobody takes for a death."""
        if self.yielded or self._claim_of_self.verdict is Verdict.LEFT:
            return
        self._restate(now, self._claim_of_self.incarnation + 1, verdict=Verdict.LEFT, why=why)
        others = [m for m in self.view.members.values() if m.alive and m is not self.me]
        for member in self.rng.sample(others, min(FAREWELLS, len(others))):
            self._send(member.profile.address, Kind.GOSSIP, now)

    @property
    def left(self) -> bool:
        """Whether this process has said good-bye."""
        return self._claim_of_self.verdict is Verdict.LEFT

    def _restate(self, now: float, incarnation: int, **changed: object) -> None:
        claim = replace(self._claim_of_self, incarnation=incarnation, **changed)  # type: ignore[arg-type]
        self._claim_of_self = claim
        if not self.yielded:
            self.view.set(self.me, claim, now)
            self._pass_on(claim, now)

    def _about_me(self, claim: Claim, now: float) -> None:
        """A claim on this process's name: refute it, or give way to a newer process of the same name."""
        own = self._claim_of_self
        if claim.birth == own.birth:
            if self.left or claim.incarnation < own.incarnation or self.yielded:
                return
            if claim.verdict or claim.phase is not own.phase:
                self.counts["refuted"] += 1
                self._aware(1)
                self._restate(now, claim.incarnation + 1)
        elif self.left or claim.incarnation < own.incarnation:
            return
        elif not self.joined or not claim.verdict < Verdict.DEAD:
            # Either this process has just started and takes over, or the one that took over has ended.
            if self.yielded:
                self._out.notes.append(
                    f"{own.name}: the newer process is {claim.verdict.name.lower()}, back in place"
                )
            self.yielded = False
            self._restate(now, claim.incarnation + 1)
        elif (claim.incarnation, claim.birth) > (own.incarnation, own.birth):
            self._give_way(claim, now)
        else:
            self._restate(now, claim.incarnation + 1)

    def _give_way(self, claim: Claim, now: float) -> None:
        if claim.profile is None and claim.birth != self.me.birth:
            self._exchange_with(self._any())
            return
        if not self.yielded:
            self.yielded = True
            self.counts["yielded"] += 1
            self._out.notes.append(f"{claim.name}: a newer process of this name stands for it now")
        if self.view.wins(claim, self.me):
            self.view.set(self.me, claim, now)

    # ------------------------------------------------------------ claims on others

    def claim(self, claim: Claim, now: float, *, from_table: bool = False) -> None:
        """Take in a claim.  from_table: a death in an exchanged table is only a suspicion here.

        After a cut each side holds the other dead; were that taken over, all would be dead for all until
        each had refuted it.
        """
        if claim.name == self.me.name:
            self._about_me(claim, now)
            return
        member = self.view.get(claim.name)
        if member is None:
            self._newcomer(claim, now)
            return
        same = claim.birth == member.birth
        if claim.verdict is Verdict.DEAD and member.alive and same:
            if from_table:
                claim = replace(claim, verdict=Verdict.SUSPECTED)
            elif member.verdict is Verdict.NONE or now - member.since < HEAR_OUT_MS:
                self._condemn(member, claim, now)
                return
        if not self.view.wins(claim, member):
            confirms = same and claim.rank == (member.incarnation, Verdict.SUSPECTED)
            if confirms and member.verdict is Verdict.SUSPECTED:
                self._confirm(member, claim.by, now)
            return
        if claim.birth != member.birth and claim.profile is None:
            self.counts["lacking"] += 1
            return
        was = member.verdict
        self.view.set(member, claim, now)
        self._pass_on(claim if claim.profile else replace(claim, profile=None), now)
        self._follow(member, was, now)

    def _condemn(self, member: Member, claim: Claim, now: float) -> None:
        """A death of which this process had no inkling: the member is heard out before it holds.

        Guards against what is said behind a cut just before it ends: without this a member that all could
        reach was dead for all until it had refuted that.
        """
        if claim.incarnation < member.incarnation:
            return
        self.claim(replace(claim, verdict=Verdict.SUSPECTED), now)
        if member.verdict is Verdict.SUSPECTED and math.isinf(member.condemned):
            member.condemned = member.since + HEAR_OUT_MS
            member.timer += 1
            self._plan_expiry(member, now)

    def _newcomer(self, claim: Claim, now: float) -> None:
        if claim.profile is None:
            self.counts["lacking"] += 1
            return
        if claim.verdict < Verdict.DEAD and self.view.alive >= self.tuning.most_members:
            self.view.refused += 1
            return
        member = self.view.add(claim.profile, claim, now)
        if member is not None:
            self._pass_on(claim, now)
            self._follow(member, Verdict.NONE, now)
            if member.alive:
                self._enter_ring(member.name)

    def _enter_ring(self, name: str) -> None:
        at = self.rng.randrange(len(self._ring) + 1)
        self._ring.insert(at, name)
        self._place += at < self._place

    def _follow(self, member: Member, was: Verdict, now: float) -> None:
        """After a claim has won: begin or end a suspicion, and the probing of the member."""
        member.timer += 1
        if member.verdict is Verdict.SUSPECTED:
            member.accusers = frozenset((member.by,))
            self._plan_expiry(member, now)
            if member.by != self.me.name and self.rng.random() * self.view.alive < WITNESSES:
                # A few of all who hear of it look at once, so that it need not wait for their turns.
                self._look(member, now)
        else:
            member.condemned = math.inf
            member.accusers = frozenset()
            member.doubts = 0
        if was is Verdict.SUSPECTED and member.verdict is Verdict.NONE:
            self.counts["false_suspicions"] += 1
        elif was is Verdict.DEAD and member.alive:
            self.counts["returned"] += 1
        if was >= Verdict.DEAD and member.alive:
            self._enter_ring(member.name)

    def _confirm(self, member: Member, accuser: str, now: float) -> None:
        if accuser in member.accusers or len(member.accusers) > self.tuning.confirmations:
            return
        member.accusers |= {accuser}
        member.timer += 1
        self._plan_expiry(member, now)
        self._pass_on(replace(member.claim(full=False), by=accuser), now, CONFIRM_PART)

    def _plan_expiry(self, member: Member, now: float) -> None:
        t = self.tuning
        least = t.suspicion * t.probe_ms * max(1.0, math.log10(max(self.view.alive, 1)))
        wanted = min(t.confirmations, self.view.alive - 2)
        open_part = 0.0
        if wanted >= 1:
            open_part = max(0.0, 1.0 - math.log(len(member.accusers)) / math.log(wanted + 1))
        wait = least * (1.0 + (t.suspicion_most - 1.0) * open_part) * (1.0 + self.awareness / 2)
        if self.me.name not in member.accusers:
            # Those who saw nothing themselves leave the last look to those who did, as long as they act.
            wait *= BYSTANDER + 0.5 * self.rng.random()
        due = min(member.since + wait, member.condemned)
        self._at(max(now, due), Timer.SUSPICION, member.name, member.timer)

    def _expire(self, name: str, number: int, now: float) -> None:
        """The time of a suspicion is over: dead, unless the member answers a last look of this process's own.

        The refutation may have missed just this process, as it does one that hardly runs.
        """
        member = self.view.get(name)
        if member is None or member.timer != number or member.verdict is not Verdict.SUSPECTED:
            return
        member.timer += 1
        if now >= member.condemned:
            self._bury(member, now, member.by, member.why)
            return
        # One that is slow itself does not trust a single look.
        self._look(member, now, last=1 + min(self.awareness, LAST_LOOKS - 1))

    def _bury(self, member: Member, now: float, by: str, why: str) -> None:
        claim = replace(member.claim(full=False), verdict=Verdict.DEAD, by=by, why=why)
        self.view.set(member, claim, now)
        self._pass_on(claim, now)
        self._follow(member, Verdict.SUSPECTED, now)

    def _pass_on(self, claim: Claim, now: float, part: float = 1.0) -> None:
        self.gossip.add(claim, self.view.alive, part)
        if not self._gossiping:
            self._gossiping = True
            self._at(now + self.rng.random() * self.tuning.gossip_ms, Timer.GOSSIP)

    # ------------------------------------------------------------ probes

    def _round(self, now: float) -> None:
        self._at(now + self._period(), Timer.ROUND)
        if self.yielded or self.left:
            return
        member = self._again or self._next()
        self._again = None
        if member is not None:
            self._look(member, now)

    def _period(self) -> float:
        return self.tuning.probe_ms * (1 + self.awareness)

    def _look(self, member: Member, now: float, *, last: int = 0) -> None:
        """Begin a probe; last: the member is dead if so many in a row fail, this one being the first."""
        self._number = (self._number + 1) % 2**32
        self._probes[self._number] = _Probe(member, self._number, member.timer, last)
        self.counts["probes"] += 1
        self._ping(member, self._number, now)
        period = self._period()
        for part in STEPS:
            self._at(now + part * period, Timer.STEP, "", self._number)
        self._at(now + period, Timer.JUDGE, "", self._number)

    def _next(self) -> Member | None:
        """The next member in a shuffled order that all are gone through in."""
        for _ in range(len(self._ring) + 1):
            if self._place >= len(self._ring):
                self._ring = [n for n in self._ring if (m := self.view.get(n)) is not None and m.alive]
                self.rng.shuffle(self._ring)
                self._place = 0
                if not self._ring:
                    return None
            member = self.view.get(self._ring[self._place])
            self._place += 1
            if member is not None and member.alive and member is not self.me:
                return member
        return None

    def _ping(self, member: Member, number: int, now: float) -> None:
        # One that is suspected is told so at once, and refutes it with its answer.
        told = [member.claim(full=False)] if member.verdict else []
        self._send(member.profile.address, Kind.PING, now, number, member.name, told)

    def _step(self, number: int, now: float) -> None:
        """No answer yet: once more directly, and through some helpers."""
        probe = self._probes.get(number)
        if probe is None or probe.answered:
            return
        self._ping(probe.member, number, now)
        for _ in range(self.tuning.helpers):
            helper = self._any()
            if helper is not None and helper is not probe.member:
                probe.asked += 1
                self._send(helper.profile.address, Kind.ASK, now, number, probe.member.name)

    def _judge(self, number: int, now: float) -> None:
        """The time of a probe is over."""
        probe = self._probes.pop(number)
        member = probe.member
        if probe.last and probe.suspicion == member.timer:
            # A look that this process slept through decides nothing; one that was answered is followed by the
            # refutation, or is made again.
            if probe.answered or probe.last > 1:
                self._look(member, now, last=probe.last - (not probe.answered))
            else:
                self.counts["declared_dead"] += 1
                self._bury(member, now, self.me.name, f"no answer, accused by {len(member.accusers)}")
            return
        if probe.answered or not member.alive:
            return
        self.counts["probes_failed"] += 1
        if probe.asked and not probe.nacks:
            self._aware(1)  # not even helpers were heard: the fault may be here
        member.doubts += 1
        if member.verdict is Verdict.NONE and member.doubts >= LOOKS:
            self.counts["suspicions"] += 1
            why = f"{member.doubts} probes without answer"
            claim = replace(member.claim(full=False), verdict=Verdict.SUSPECTED, by=self.me.name, why=why)
            self.claim(claim, now)
        elif member.verdict is Verdict.SUSPECTED:
            self._confirm(member, self.me.name, now)
        else:
            self._again = member

    def _any(self) -> Member | None:
        """Some other member that is alive; None where there is none."""
        for _ in range(8):
            if not self._ring:
                return None
            member = self.view.get(self._ring[self.rng.randrange(len(self._ring))])
            if member is not None and member.alive and member is not self.me:
                return member
        return None

    # ------------------------------------------------------------ datagrams

    def _send(
        self,
        address: str,
        kind: Kind,
        now: float,
        number: int = 0,
        subject: str = "",
        first: list[Claim] | None = None,
    ) -> None:
        if self.yielded:
            return  # the newer process speaks for this name
        self._counter = (self._counter + 1) % 2**32
        own = self._claim_of_self
        sender = Sender(own.name, own.birth, own.incarnation, own.phase, self._counter, self.view.digest)
        rows = [pack(claim_row(claim)) for claim in first or ()]
        rows += self.gossip.take(self.tuning.datagram_bytes - HEAD_ROOM - sum(map(len, rows)), now)
        reply_to = self.me.profile.address if kind in (Kind.PING, Kind.ASK) else ""
        data = datagram(Message(kind, sender, number, subject, reply_to), self._tag, rows)
        self.gossip.spend(len(data), now)
        self.counts["bytes_out"] += len(data)
        self.counts["datagrams_out"] += 1
        self._out.datagrams.append((address, data))

    def _hear(self, message: Message, now: float) -> None:
        s = message.sender
        if s.name == self.me.name:
            if s.birth != self._claim_of_self.birth:
                self._about_me(Claim(s.name, s.birth, s.incarnation, s.phase, Verdict.NONE, s.name), now)
            return
        member = self.view.get(s.name)
        reply_to = message.reply_to or (member.profile.address if member is not None else "")
        if member is not None and member.birth == s.birth:
            if s.counter + WINDOW <= member.counter:
                self.counts["dropped_replayed"] += 1
                return
            member.counter = max(member.counter, s.counter)
            member.heard, member.doubts = now, 0
            if s.incarnation > member.incarnation or s.phase is not member.phase:
                self.claim(Claim(s.name, s.birth, s.incarnation, s.phase, Verdict.NONE, s.name), now)
        elif member is not None and (s.incarnation, s.birth) < (member.incarnation, member.birth):
            # A process that was replaced, or one that has yet to learn of its name's history, or a replay.
            self.counts["dropped_outdated"] += 1
            self._tell(member, reply_to, now)
            return
        else:
            self._exchange_at(reply_to, now)  # its profile is not known here
        for claim in message.claims:
            self.claim(claim, now)
        self._answer(message, member, reply_to, now)
        self._compare(s, member, now)

    def _answer(self, message: Message, member: Member | None, reply_to: str, now: float) -> None:
        match message.kind:
            case Kind.PING if reply_to:
                if message.subject == self.me.name:
                    wrong = (
                        member is not None
                        and member.verdict
                        and message.sender.incarnation <= member.incarnation
                    )
                    told = [member.claim(full=False)] if wrong and member is not None else []
                    self._send(reply_to, Kind.ACK, now, message.number, self.me.name, told)
                    return
                self.counts["dropped_misdirected"] += 1  # the address belonged to another before
            case Kind.ASK if reply_to:
                subject = self.view.get(message.subject)
                if subject is not None:
                    self._number = (self._number + 1) % 2**32
                    self._errands[self._number] = _Errand(
                        message.sender.name, reply_to, message.number, message.subject
                    )
                    self._ping(subject, self._number, now)
                    self._at(now + NACK_AT * self.tuning.probe_ms, Timer.NACK, "", self._number)
            case Kind.ACK:
                self._acknowledged(message, now)
            case Kind.NACK:
                if (probe := self._probes.get(message.number)) is not None:
                    probe.nacks += 1
        if member is not None and member.verdict and message.sender.incarnation <= member.incarnation:
            self._tell(member, reply_to or member.profile.address, now)

    def _acknowledged(self, message: Message, now: float) -> None:
        errand = self._errands.pop(message.number, None)
        if errand is not None:
            self._send(errand.address, Kind.ACK, now, errand.number, errand.subject)
            return
        probe = self._probes.get(message.number)
        if probe is None or probe.member.name != message.subject:
            return
        if not probe.answered:
            probe.answered = True
            probe.member.doubts = 0
            self._aware(-1)

    def _tell(self, member: Member, address: str, now: float) -> None:
        """Tell a process what is held of it, so that it can refute that, or learn whom it replaces."""
        if address and now - member.told_at >= TELL_MS:
            member.told_at = now
            self._send(address, Kind.GOSSIP, now, 0, "", [member.claim()])

    def _spread(self, now: float) -> None:
        self._gossiping = len(self.gossip) > 0 and not self.yielded
        if not self._gossiping:
            return
        self._at(now + self.tuning.gossip_ms, Timer.GOSSIP)
        if self.gossip.may_spend(now):
            for _ in range(self.tuning.fanout):
                member = self._any()
                if member is not None and len(self.gossip):
                    self._send(member.profile.address, Kind.GOSSIP, now)

    # ------------------------------------------------------------ exchanges of tables

    def _compare(self, sender: Sender, member: Member | None, now: float) -> None:
        """Views that go on differing are exchanged: a claim may have missed somebody."""
        if sender.digest == self.view.digest:
            self._differs = None
        elif self._differs is None:
            self._differs = now
        elif member is not None and now - max(self._differs, self._synced) >= self.tuning.mismatch_ms:
            self._exchange_at(member.profile.address, now)

    def _exchange_at(self, address: str, now: float) -> None:
        if address and now - self._synced >= min(TELL_MS, self.tuning.mismatch_ms):
            self._synced = now
            self._out.exchanges.append(address)

    def _exchange_with(self, member: Member | None) -> None:
        if member is not None:
            self._out.exchanges.append(member.profile.address)

    def _join(self, tries: int, now: float) -> None:
        """Ask a contact for its table, another one each time, until one has answered."""
        if self.joined:
            return
        for contact in self.rng.sample(self._contacts, min(len(self._contacts), 2)):
            self._out.exchanges.append(contact)
        wait = min(500.0 * 1.5**tries, self.tuning.rejoin_ms) * (0.5 + self.rng.random())
        self._at(now + wait, Timer.JOIN, "", tries + 1)

    def _call_the_dead(self, now: float) -> None:
        """Ask now and then after one that is held dead: after a cut nobody else would."""
        self._at(now + (0.5 + self.rng.random()) * self.tuning.rejoin_ms, Timer.REJOIN)
        if self.yielded:
            self._exchange_with(self._any())  # how does the newer process fare?
            return
        dead = [m for m in self.view.members.values() if m.verdict is Verdict.DEAD and m is not self.me]
        if dead:
            member = self.rng.choice(dead)
            self._number = (self._number + 1) % 2**32
            self._ping(member, self._number, now)
        elif self.view.alive == 1 and self._contacts:
            self._out.exchanges.append(self.rng.choice(self._contacts))
