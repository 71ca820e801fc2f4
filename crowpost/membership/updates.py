"""Claims: what this process says of itself, what it takes over from others, how long a suspicion lasts."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

from crowpost.membership.broadcast_queue import Gossip
from crowpost.membership.failure_detector import Prober
from crowpost.membership.model import Claim, Member, Phase, Profile, Tuning, Verdict
from crowpost.membership.timers import Schedule, Timer
from crowpost.membership.view import View

WITNESSES = 5.0  # members, in the mean, that look at a newly suspected one at once
CONFIRM_PART = 0.5  # of the usual repeats, for one more accuser of a member that is suspected already
HEAR_OUT_MS = 1_000.0  # that a member is suspected here at the least before another's word makes it dead
YOUNG_MS = 5_000.0  # after its start a process takes over its name; later it gives way to a newer one
BYSTANDER = 1.5  # times a suspicion's length, for one that has not accused the member itself


class Claims:
    """The claims that hold, of this process and of all others.

    joined: whether this process has met the others, or is to be the first.  yielded: a newer process of the
    same name stands for it.  wants_table: a claim came that cannot be understood without an exchange of
    tables.
    """

    def __init__(
        self,
        own: Claim,
        me: Member,
        view: View,
        tuning: Tuning,
        rng: random.Random,
        counts: Counter[str],
        schedule: Schedule,
        now: float,
    ) -> None:
        self.own, self.me, self.view = own, me, view
        self.gossip = Gossip(tuning)
        self.joined = self.yielded = self.wants_table = False
        self.spreading = False  # a round of gossip is planned
        self.notes: list[str] = []
        self._began = now
        self._tuning, self._rng, self._counts, self._schedule = tuning, rng, counts, schedule
        self.prober: Prober  # set by the owner of both

    @property
    def left(self) -> bool:
        """Whether this process has said good-bye."""
        return self.own.verdict is Verdict.LEFT

    # ------------------------------------------------------------ of this process

    def restate(
        self,
        now: float,
        incarnation: int = 0,
        *,
        phase: Phase | None = None,
        verdict: Verdict | None = None,
        why: str = "",
        profile: Profile | None = None,
    ) -> None:
        """Say something else of oneself, under a new incarnation: at the least the next."""
        own = self.own
        self.own = replace(
            own,
            incarnation=max(incarnation, own.incarnation + 1),
            phase=own.phase if phase is None else phase,
            verdict=own.verdict if verdict is None else verdict,
            why=why,
            profile=profile or own.profile,
        )
        if not self.yielded:
            self.view.set(self.me, self.own, now)
            self.pass_on(self.own, now)

    def _about_me(self, claim: Claim, now: float) -> None:
        """A claim on this process's name: refute it, or give way to a newer process of the same name."""
        own = self.own
        if self.yielded and claim.birth == self.me.birth and claim.verdict >= Verdict.DEAD:
            # Whatever this process has said of itself meanwhile, nobody heard it.
            end = claim.verdict.name.lower()
            self.notes.append(f"{own.name}: the newer process is {end}, back in place")
            self.yielded = False
            self.restate(now, claim.incarnation + 1)
        elif self.left or claim.incarnation < own.incarnation:
            return
        elif claim.birth == own.birth:
            if (claim.verdict or claim.phase is not own.phase) and not self.yielded:
                self._counts["refuted"] += 1
                self.prober.aware(1)
                self.restate(now, claim.incarnation + 1)
        elif claim.verdict >= Verdict.DEAD or now - self._began < YOUNG_MS:
            # The one that had the name is gone, or its place is being taken over by this process.
            self.restate(now, claim.incarnation + 1)
        elif (claim.incarnation, claim.birth) > (own.incarnation, own.birth):
            self._give_way(claim, now)
        else:
            self.restate(now, claim.incarnation + 1)

    def _give_way(self, claim: Claim, now: float) -> None:
        if claim.profile is None and claim.birth != self.me.birth:
            self.wants_table = True
            return
        if not self.yielded:
            self.yielded = True
            self._counts["yielded"] += 1
            self.notes.append(f"{claim.name}: a newer process of this name stands for it now")
        if self.view.wins(claim, self.me):
            self.view.set(self.me, claim, now)

    # ------------------------------------------------------------ of others

    def take(self, claim: Claim, now: float, *, from_table: bool = False) -> None:
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
            suspects = claim.rank == (member.incarnation, Verdict.SUSPECTED)
            if same and suspects and member.verdict is Verdict.SUSPECTED:
                self.confirm(member, claim.by, now)
        elif same or claim.profile is not None:
            self._let_hold(member, claim, now)
        else:
            self._counts["lacking"] += 1

    def _let_hold(self, member: Member, claim: Claim, now: float) -> None:
        was = member.verdict
        self.view.set(member, claim, now)
        self.pass_on(claim, now)
        self._follow(member, was, now)

    def _condemn(self, member: Member, claim: Claim, now: float) -> None:
        """A death of which this process had no inkling: the member is heard out before it holds.

        Guards against what is said behind a cut just before it ends: without this a member that all could
        reach was dead for all until it had refuted that.
        """
        if claim.incarnation < member.incarnation:
            return
        self.take(replace(claim, verdict=Verdict.SUSPECTED), now)
        if member.verdict is Verdict.SUSPECTED and math.isinf(member.condemned):
            member.condemned = member.since + HEAR_OUT_MS
            member.timer += 1
            self._plan_expiry(member, now)

    def _newcomer(self, claim: Claim, now: float) -> None:
        if claim.profile is None:
            self._counts["lacking"] += 1
            return
        if claim.verdict < Verdict.DEAD and self.view.alive >= self._tuning.most_members:
            self.view.refused += 1
            return
        member = self.view.add(claim.profile, claim, now)
        if member is not None:
            self.pass_on(claim, now)
            self._follow(member, Verdict.NONE, now)
            if member.alive:
                self.prober.enter(member.name)

    def _follow(self, member: Member, was: Verdict, now: float) -> None:
        """After a claim has won: begin or end a suspicion, and the probing of the member."""
        member.timer += 1
        if member.verdict is Verdict.SUSPECTED:
            member.accusers = frozenset((member.by,))
            self._plan_expiry(member, now)
            if member.by != self.me.name and self._rng.random() * self.view.alive < WITNESSES:
                # A few of all who hear of it look at once, so that it need not wait for their turns.
                self.prober.look(member, now)
        else:
            member.condemned = math.inf
            member.accusers = frozenset()
            member.doubts = 0
        if was is Verdict.SUSPECTED and member.verdict is Verdict.NONE:
            self._counts["false_suspicions"] += 1
        elif was is Verdict.DEAD and member.alive:
            self._counts["returned"] += 1
        if was >= Verdict.DEAD and member.alive:
            self.prober.enter(member.name)

    # ------------------------------------------------------------ suspicions

    def accuse(self, member: Member, now: float) -> None:
        """This process suspects a member."""
        self._counts["suspicions"] += 1
        why = f"{member.doubts} probes without answer"
        self.take(replace(member.claim(full=False), verdict=Verdict.SUSPECTED, by=self.me.name, why=why), now)

    def confirm(self, member: Member, accuser: str, now: float) -> None:
        """One more accuser of a member that is suspected: its time gets shorter."""
        if accuser in member.accusers or len(member.accusers) > self._tuning.confirmations:
            return
        member.accusers |= {accuser}
        member.timer += 1
        self._plan_expiry(member, now)
        self.pass_on(replace(member.claim(full=False), by=accuser), now, CONFIRM_PART)

    def _plan_expiry(self, member: Member, now: float) -> None:
        t = self._tuning
        least = t.suspicion * t.probe_ms * max(1.0, math.log10(max(self.view.alive, 1)))
        wanted = min(t.confirmations, self.view.alive - 2)
        open_part = 0.0
        if wanted >= 1:
            open_part = max(0.0, 1.0 - math.log(len(member.accusers)) / math.log(wanted + 1))
        wait = least * (1.0 + (t.suspicion_most - 1.0) * open_part) * (1.0 + self.prober.awareness / 2)
        if self.me.name not in member.accusers:
            # Those who saw nothing themselves leave the last look to those who did, as long as they act.
            wait *= BYSTANDER + 0.5 * self._rng.random()
        due = min(member.since + wait, member.condemned)
        self._schedule.at(max(now, due), Timer.SUSPICION, member.name, member.timer)

    def expire(self, name: str, number: int, now: float) -> None:
        """The time of a suspicion is over: dead, unless the member answers a last look of this process's own.

        The refutation may have missed just this process, as it does one that hardly runs.
        """
        member = self.view.get(name)
        if member is None or member.timer != number or member.verdict is not Verdict.SUSPECTED:
            return
        member.timer += 1
        if now >= member.condemned:
            self._bury(member, now, member.by, member.why)
        else:
            self.prober.last_look(member, now)

    def bury(self, member: Member, now: float) -> None:
        """The last look has failed: this process declares the member dead."""
        self._counts["declared_dead"] += 1
        self._bury(member, now, self.me.name, f"no answer, accused by {len(member.accusers)}")

    def _bury(self, member: Member, now: float, by: str, why: str) -> None:
        self._let_hold(member, replace(member.claim(full=False), verdict=Verdict.DEAD, by=by, why=why), now)

    def pass_on(self, claim: Claim, now: float, part: float = 1.0) -> None:
        """Tell others, with what goes anyway and in rounds of gossip."""
        self.gossip.add(claim, self.view.alive, part)
        if not self.spreading:
            self.spreading = True
            self._schedule.at(now + self._rng.random() * self._tuning.gossip_ms, Timer.GOSSIP)
