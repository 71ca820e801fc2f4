"""The membership of one process, without I/O: datagrams, ticks and times in; datagrams, exchanges and changes
out.

SWIM (Das, Gupta, Motivala, 2002): every period one member is probed, directly and through helpers; one that
does not answer is suspected, and dead once a time has passed in which it did not refute that.  Lifeguard
(Dadgar et al., 2018): the time of a suspicion shrinks with independent accusers, and a process that notices
its own slowness probes less often and waits longer.  Two additions: a member is suspected only once it has
failed a second look, and a process that was stopped moves all of its deadlines on by as long as it slept,
so that on waking it accuses nobody.  `claims` holds what is held of whom, `probing` who is looked at.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from crowpost.membership.broadcast_queue import Gossip
from crowpost.membership.failure_detector import Failed, Prober
from crowpost.membership.model import Change, Claim, Member, Phase, Profile, Tuning, Verdict
from crowpost.membership.timers import Schedule, Timer
from crowpost.membership.updates import Claims
from crowpost.membership.view import View
from crowpost.membership.wire import (
    Foreign,
    Kind,
    Message,
    Sender,
    claim_row,
    datagram,
    pack,
    read_datagram,
    tag,
)

LATE = 0.5  # part of a period by which a timer may be late before this process calls itself slow
WINDOW = 512  # datagrams of a sender that may overtake each other; older ones are replays
TELL_MS = 1_000.0  # between two tellings of one member what is held of it
FORGET_EVERY_MS = 60_000.0
FAREWELLS = 8  # members that a departure is told directly
JOIN_FIRST_MS = 500.0  # until other contacts are asked; half as long again each time
HEAD_ROOM = 270  # bytes of a datagram that are kept for its head: the longest names and addresses fit


@dataclass
class Output:
    """What a call of the core left to be done.  exchanges: addresses to exchange tables with."""

    datagrams: list[tuple[str, bytes]] = field(default_factory=list)
    exchanges: list[str] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


class Members:
    """Feed it datagrams and ticks with times in ms that never go back; `take` what follows from them.

    contacts: addresses of members to join by, any of which may be down.  birth: 32 random bits, new for each
    process.  incarnation: to begin with; beyond its predecessor's, the others take it for the newer at once.
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
        incarnation: int = 1,
    ) -> None:
        self.cluster, self.tuning = cluster, tuning or Tuning()
        self.rng = random.Random(seed)
        self.view = View(self.tuning)
        self.counts: Counter[str] = Counter()
        self._tag = tag(cluster)
        self._contacts = tuple(c for c in contacts if c != profile.address)
        own = Claim(profile.name, birth, incarnation, Phase.JOINING, Verdict.NONE, profile.name, "", profile)
        me = self.view.add(profile, own, now)
        assert me is not None  # the table is empty
        self.me = me
        self._schedule = Schedule()
        self.claims = Claims(own, me, self.view, self.tuning, self.rng, self.counts, self._schedule, now)
        self.prober = Prober(self.view, me, self.tuning, self.rng, self.counts, self._schedule, self._send)
        self.claims.prober = self.prober
        self.claims.joined = not self._contacts
        self._counter = 0
        self._differs: float | None = None  # since when the views of others have not been this one
        self._synced = -math.inf
        self._out = Output()
        self._schedule.at(now + self.rng.random() * self.tuning.probe_ms, Timer.ROUND)
        self._schedule.at(now + self.rng.random() * self.tuning.sync_ms, Timer.SYNC)
        self._schedule.at(now + (0.5 + self.rng.random()) * self.tuning.rejoin_ms, Timer.REJOIN)
        self._schedule.at(now + FORGET_EVERY_MS, Timer.FORGET)
        if self._contacts:
            self._schedule.at(now, Timer.JOIN)

    # ------------------------------------------------------------ how it stands

    @property
    def me_claim(self) -> Claim:
        """What this process says of itself."""
        return self.claims.own

    @property
    def joined(self) -> bool:
        """Whether this process has met the others, or is the first."""
        return self.claims.joined

    @joined.setter
    def joined(self, value: bool) -> None:
        self.claims.joined = value

    @property
    def yielded(self) -> bool:
        """Whether a newer process of the same name stands for this one."""
        return self.claims.yielded

    @property
    def left(self) -> bool:
        """Whether this process has said good-bye."""
        return self.claims.left

    @property
    def awareness(self) -> int:
        """How slow this process holds itself to be, from 0 to 4."""
        return self.prober.awareness

    @property
    def gossip(self) -> Gossip:
        """What is still to be passed on."""
        return self.claims.gossip

    # ------------------------------------------------------------ in and out

    def next_at(self) -> float:
        """When `tick` is due next, in ms."""
        return self._schedule.next_at()

    def take(self) -> Output:
        """All that is to be done since the last call."""
        if self.claims.wants_table:
            self.claims.wants_table = False
            self._exchange_with(self.prober.any())
        out, self._out = self._out, Output()
        out.changes, self.view.changes = self.view.changes, []
        out.notes, self.claims.notes = self.claims.notes, []
        return out

    def tick(self, now: float) -> None:
        """Do what is due."""
        self._notice_sleep(now)
        while (due := self._schedule.pop_due(now)) is not None:
            kind, name, number = due
            match kind:
                case Timer.ROUND:
                    self._schedule.at(now + self.prober.period(), Timer.ROUND)
                    if not self.yielded and not self.left:
                        self.prober.round(now)
                case Timer.STEP:
                    self.prober.step(number, now)
                case Timer.JUDGE:
                    self._judge(number, now)
                case Timer.SUSPICION:
                    self.claims.expire(name, number, now)
                case Timer.GOSSIP:
                    self._spread(now)
                case Timer.SYNC:
                    self._schedule.at(now + (0.5 + self.rng.random()) * self.tuning.sync_ms, Timer.SYNC)
                    self._exchange_with(self.prober.any())
                case Timer.REJOIN:
                    self._call_the_dead(now)
                case Timer.JOIN:
                    self._join(number, now)
                case Timer.FORGET:
                    self._schedule.at(now + FORGET_EVERY_MS, Timer.FORGET)
                    self.view.forget(now, self.me.name)
                case Timer.NACK:
                    self.prober.give_up(number, now)

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

    def claim(self, claim: Claim, now: float, *, from_table: bool = False) -> None:
        """Take in a claim; from_table: of an exchanged table."""
        self.claims.take(claim, now, from_table=from_table)

    def _notice_sleep(self, now: float) -> None:
        """A timer that is late tells of one's own slowness: what others did meanwhile cannot be judged."""
        late = now - self.next_at()
        if late >= LATE * self.tuning.probe_ms:
            self.counts["late"] += 1
            self._schedule.shift(late)
            self.prober.slept()

    def _judge(self, number: int, now: float) -> None:
        found = self.prober.judge(number, now)
        if found is None:
            return
        failed, member = found
        match failed:
            case Failed.ACCUSE:
                self.claims.accuse(member, now)
            case Failed.CONFIRM:
                self.claims.confirm(member, self.me.name, now)
            case Failed.BURY:
                self.claims.bury(member, now)

    # ------------------------------------------------------------ what this process says of itself

    def declare(self, phase: Phase, now: float, why: str = "") -> None:
        """Say of oneself: joining, present or leaving."""
        if phase is not self.me_claim.phase and not self.left:
            self.claims.restate(now, phase=phase, why=why)

    def set_facts(self, facts: dict[str, str], now: float) -> None:
        """Replace the facts that this process carries; MemberError beyond the bounds."""
        self.claims.restate(now, profile=replace(self.me_claim.profile or self.me.profile, facts=facts))

    def leave(self, now: float, why: str = "in order") -> None:
        """Say good-bye: an orderly end, which nobody takes for a death."""
        if self.yielded or self.left:
            return
        self.claims.restate(now, verdict=Verdict.LEFT, why=why)
        others = [m for m in self.view.members.values() if m.alive and m is not self.me]
        for member in self.rng.sample(others, min(FAREWELLS, len(others))):
            self._send(member.profile.address, Kind.GOSSIP, now)

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
        own = self.me_claim
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
            if s.birth != self.me_claim.birth:
                self.claim(Claim(s.name, s.birth, s.incarnation, s.phase, Verdict.NONE, s.name), now)
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
                    told = [member.claim(full=False)] if member is not None and _owes(member, message) else []
                    self._send(reply_to, Kind.ACK, now, message.number, self.me.name, told)
                    return
                self.counts["dropped_misdirected"] += 1  # the address belonged to another before
            case Kind.ASK if reply_to:
                self.prober.help(message, reply_to, now)
            case Kind.ACK:
                self.prober.acknowledged(message, now)
            case Kind.NACK:
                self.prober.not_acknowledged(message)
        if member is not None and _owes(member, message):
            self._tell(member, reply_to or member.profile.address, now)

    def _tell(self, member: Member, address: str, now: float) -> None:
        """Tell a process what is held of it, so that it can refute that, or learn whom it replaces."""
        if address and now - member.told_at >= TELL_MS:
            member.told_at = now
            self._send(address, Kind.GOSSIP, now, 0, "", [member.claim()])

    def _spread(self, now: float) -> None:
        self.claims.spreading = len(self.gossip) > 0 and not self.yielded
        if not self.claims.spreading:
            return
        self._schedule.at(now + self.tuning.gossip_ms, Timer.GOSSIP)
        if self.gossip.may_spend(now):
            for _ in range(self.tuning.fanout):
                member = self.prober.any()
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
        wait = min(JOIN_FIRST_MS * 1.5**tries, self.tuning.rejoin_ms) * (0.5 + self.rng.random())
        self._schedule.at(now + wait, Timer.JOIN, "", tries + 1)

    def _call_the_dead(self, now: float) -> None:
        """Ask now and then after one that is held dead: after a cut nobody else would."""
        self._schedule.at(now + (0.5 + self.rng.random()) * self.tuning.rejoin_ms, Timer.REJOIN)
        if self.yielded:
            self._exchange_with(self.prober.any())  # how does the newer process fare?
            return
        dead = [m for m in self.view.members.values() if m.verdict is Verdict.DEAD and m is not self.me]
        if dead:
            self.prober.call(self.rng.choice(dead), now)
        elif self.view.alive == 1 and self._contacts:
            self._out.exchanges.append(self.rng.choice(self._contacts))


def _owes(member: Member, message: Message) -> bool:
    """Whether something is held of a datagram's sender that it has yet to refute."""
    return bool(member.verdict) and message.sender.incarnation <= member.incarnation
