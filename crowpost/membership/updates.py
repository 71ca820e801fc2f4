"""State updates: what this process announces of itself, and how it applies what others say."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

from crowpost.membership import counters
from crowpost.membership.broadcast_queue import BroadcastQueue
from crowpost.membership.failure_detector import FailureDetector
from crowpost.membership.model import Liveness, Member, Phase, Profile, StateUpdate
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.suspicion import suspicion_timeout_ms
from crowpost.membership.timers import TimerKind, TimerQueue
from crowpost.membership.view import MembershipView

IMMEDIATE_PROBERS = 5.0  # members, in the mean, that probe a newly suspected member at once
CONFIRMATION_TRANSMIT_FRACTION = 0.5  # of the usual transmissions, for a confirmation of a suspicion
MIN_SUSPICION_MS = 1_000.0  # that a member is suspected here before another's word makes it dead
STARTUP_GRACE_MS = 5_000.0  # after its start a process takes over its name; later a newer one replaces it
NON_ACCUSER_FACTOR = 1.5  # of a suspicion's timeout, at a process that has not accused the member itself
NON_ACCUSER_JITTER = 0.5


class UpdateProcessor:
    """Applies state updates on this process and on all other members.

    joined: this process has synced with another, or is the first of its cluster.
    superseded: a newer process of the same name has taken its place.
    needs_sync: an update arrived that cannot be applied without a sync.
    """

    def __init__(
        self,
        own_update: StateUpdate,
        local_member: Member,
        view: MembershipView,
        settings: ProtocolSettings,
        rng: random.Random,
        counts: Counter[str],
        timers: TimerQueue,
        now: float,
    ) -> None:
        self.own_update = own_update
        self.local_member = local_member
        self.view = view
        self.broadcasts = BroadcastQueue(settings)
        self.joined = False
        self.superseded = False
        self.needs_sync = False
        self.gossip_scheduled = False
        self.log_messages: list[str] = []
        self.detector: FailureDetector  # set by the owner of both
        self._started_ms = now
        self._settings = settings
        self._rng = rng
        self._counts = counts
        self._timers = timers

    @property
    def left(self) -> bool:
        """Whether this process has announced that it left."""
        return self.own_update.liveness is Liveness.LEFT

    # ------------------------------------------------------------ updates on this process

    def announce(
        self,
        now: float,
        min_incarnation: int = 0,
        *,
        phase: Phase | None = None,
        liveness: Liveness | None = None,
        reason: str = "",
        profile: Profile | None = None,
    ) -> None:
        """Announce another state of this process, under the next incarnation or `min_incarnation`."""
        own = self.own_update
        self.own_update = replace(
            own,
            incarnation=max(min_incarnation, own.incarnation + 1),
            phase=own.phase if phase is None else phase,
            liveness=own.liveness if liveness is None else liveness,
            reason=reason,
            profile=profile or own.profile,
        )
        if not self.superseded:
            self.view.apply(self.local_member, self.own_update, now)
            self.broadcast(self.own_update, now)

    def _apply_to_self(self, update: StateUpdate, now: float) -> None:
        """Apply an update on this process's name: refute it, or yield to a newer process of that name."""
        own = self.own_update
        about_successor = update.instance_id == self.local_member.instance_id
        if self.superseded and about_successor and update.liveness >= Liveness.DEAD:
            self._take_place_back(update, now)
        elif self.left or update.incarnation < own.incarnation:
            return
        elif update.instance_id == own.instance_id:
            if not self.superseded and (update.liveness, update.phase) != (Liveness.ALIVE, own.phase):
                self._refute(update, now)
        elif update.liveness >= Liveness.DEAD or now - self._started_ms < STARTUP_GRACE_MS:
            # The predecessor is gone, or this process is about to take over its name.
            self.announce(now, update.incarnation + 1)
        elif (update.incarnation, update.instance_id) > (own.incarnation, own.instance_id):
            self._yield_to(update, now)
        else:
            self.announce(now, update.incarnation + 1)

    def _refute(self, update: StateUpdate, now: float) -> None:
        self._counts[counters.REFUTED] += 1
        self.detector.adjust_local_health(1)
        self.announce(now, update.incarnation + 1)

    def _take_place_back(self, update: StateUpdate, now: float) -> None:
        name = self.own_update.name
        self.log_messages.append(f"{name}: the newer process is {update.liveness.label}; active again")
        self.superseded = False
        # Announcements that were made while superseded were not sent to anybody.
        self.announce(now, update.incarnation + 1)

    def _yield_to(self, update: StateUpdate, now: float) -> None:
        if update.profile is None and update.instance_id != self.local_member.instance_id:
            self.needs_sync = True
            return
        if not self.superseded:
            self.superseded = True
            self._counts[counters.SUPERSEDED] += 1
            self.log_messages.append(f"{update.name}: superseded by a newer process of this name")
        if self.view.supersedes(update, self.local_member):
            self.view.apply(self.local_member, update, now)

    # ------------------------------------------------------------ updates on others

    def apply(self, update: StateUpdate, now: float, *, from_sync: bool = False) -> None:
        """Apply an update.

        A death that comes from a sync is applied as a suspicion: after a network partition each side holds
        the other dead, and each member must first get the chance to refute that.
        """
        if update.name == self.local_member.name:
            self._apply_to_self(update, now)
            return
        member = self.view.get(update.name)
        if member is None:
            self._add_member(update, now)
            return
        same_process = update.instance_id == member.instance_id
        if update.liveness is Liveness.DEAD and member.alive and same_process:
            if from_sync:
                update = replace(update, liveness=Liveness.SUSPECT)
            elif self._must_defer_death(member, now):
                self._defer_death(member, update, now)
                return
        if not self.view.supersedes(update, member):
            if same_process and self._is_same_suspicion(update, member):
                self.confirm_suspicion(member, update.origin, now)
        elif same_process or update.profile is not None:
            self._accept(member, update, now)
        else:
            self._counts[counters.LACKING] += 1

    @staticmethod
    def _is_same_suspicion(update: StateUpdate, member: Member) -> bool:
        suspected = member.liveness is Liveness.SUSPECT
        return suspected and update.precedence == (member.incarnation, Liveness.SUSPECT)

    @staticmethod
    def _must_defer_death(member: Member, now: float) -> bool:
        return member.liveness is Liveness.ALIVE or now - member.state_since_ms < MIN_SUSPICION_MS

    def _defer_death(self, member: Member, update: StateUpdate, now: float) -> None:
        """Suspect a member that another declared dead; the death takes effect if it does not refute that.

        Without this a death that was declared behind a partition, just before its end, held at all members
        until it was refuted, though all of them could reach the member.
        """
        if update.incarnation < member.incarnation:
            return
        self.apply(replace(update, liveness=Liveness.SUSPECT), now)
        if member.liveness is Liveness.SUSPECT and math.isinf(member.death_due_ms):
            member.death_due_ms = member.state_since_ms + MIN_SUSPICION_MS
            member.suspicion_generation += 1
            self._schedule_suspicion_timeout(member, now)

    def _add_member(self, update: StateUpdate, now: float) -> None:
        if update.profile is None:
            self._counts[counters.LACKING] += 1
            return
        if update.liveness < Liveness.DEAD and self.view.alive_count >= self._settings.max_members:
            self.view.rejected_updates += 1
            return
        member = self.view.add(update.profile, update, now)
        if member is not None:
            self.broadcast(update, now)
            self._on_liveness(member, Liveness.ALIVE, now)
            if member.alive:
                self.detector.add_target(member.name)

    def _accept(self, member: Member, update: StateUpdate, now: float) -> None:
        before = member.liveness
        self.view.apply(member, update, now)
        self.broadcast(update, now)
        self._on_liveness(member, before, now)

    def _on_liveness(self, member: Member, before: Liveness, now: float) -> None:
        """Begin or end a suspicion, and the probes of a member, after an update was accepted."""
        member.suspicion_generation += 1
        if member.liveness is Liveness.SUSPECT:
            self._begin_suspicion(member, now)
        else:
            member.death_due_ms = math.inf
            member.suspected_by = frozenset()
            member.failed_probes = 0
        if before is Liveness.SUSPECT and member.liveness is Liveness.ALIVE:
            self._counts[counters.FALSE_SUSPICIONS] += 1
        elif before is Liveness.DEAD and member.alive:
            self._counts[counters.RETURNED] += 1
        if before >= Liveness.DEAD and member.alive:
            self.detector.add_target(member.name)

    # ------------------------------------------------------------ suspicions and deaths

    def _begin_suspicion(self, member: Member, now: float) -> None:
        member.suspected_by = frozenset((member.origin,))
        self._schedule_suspicion_timeout(member, now)
        by_another = member.origin != self.local_member.name
        if by_another and self._rng.random() * self.view.alive_count < IMMEDIATE_PROBERS:
            # A few of all members probe it at once, so that confirmations need not wait for its turn.
            self.detector.probe(member, now)

    def suspect(self, member: Member, now: float) -> None:
        """Suspect a member that did not answer the probes of this process."""
        self._counts[counters.SUSPICIONS] += 1
        update = replace(
            member.to_update(include_profile=False),
            liveness=Liveness.SUSPECT,
            origin=self.local_member.name,
            reason=f"{member.failed_probes} probes without answer",
        )
        self.apply(update, now)

    def confirm_suspicion(self, member: Member, accuser: str, now: float) -> None:
        """Count an independent accuser of a suspected member, which shortens the suspicion's timeout."""
        enough = len(member.suspected_by) > self._settings.expected_confirmations
        if accuser in member.suspected_by or enough:
            return
        member.suspected_by |= {accuser}
        member.suspicion_generation += 1
        self._schedule_suspicion_timeout(member, now)
        update = replace(member.to_update(include_profile=False), origin=accuser)
        self.broadcast(update, now, CONFIRMATION_TRANSMIT_FRACTION)

    def _schedule_suspicion_timeout(self, member: Member, now: float) -> None:
        timeout = suspicion_timeout_ms(
            self._settings,
            self.view.alive_count,
            len(member.suspected_by),
            self.detector.local_health_score,
        )
        if self.local_member.name not in member.suspected_by:
            # The final probes are left to the accusers, as long as they act.
            timeout *= NON_ACCUSER_FACTOR + NON_ACCUSER_JITTER * self._rng.random()
        due = max(now, min(member.state_since_ms + timeout, member.death_due_ms))
        generation = member.suspicion_generation
        self._timers.schedule(due, TimerKind.SUSPICION_TIMEOUT, member.name, generation)

    def on_suspicion_timeout(self, name: str, generation: int, now: float) -> None:
        """End a suspicion: the member is dead unless it answers the final probes of this process.

        The refutation may have missed just this process, for example if it hardly ran meanwhile.
        """
        member = self.view.get(name)
        if member is None or member.suspicion_generation != generation:
            return
        if member.liveness is not Liveness.SUSPECT:
            return
        member.suspicion_generation += 1
        if now >= member.death_due_ms:
            self._mark_dead(member, now, member.origin, member.reason)
        else:
            self.detector.probe_before_death(member, now)

    def declare_dead(self, member: Member, now: float) -> None:
        """Declare a member dead that did not answer the final probes of this process."""
        self._counts[counters.DECLARED_DEAD] += 1
        reason = f"no answer, accused by {len(member.suspected_by)}"
        self._mark_dead(member, now, self.local_member.name, reason)

    def _mark_dead(self, member: Member, now: float, origin: str, reason: str) -> None:
        update = member.to_update(include_profile=False)
        self._accept(member, replace(update, liveness=Liveness.DEAD, origin=origin, reason=reason), now)

    # ------------------------------------------------------------ dissemination

    def broadcast(self, update: StateUpdate, now: float, transmit_fraction: float = 1.0) -> None:
        """Queue an update for gossip, and schedule a round of gossip if none is."""
        self.broadcasts.enqueue(update, self.view.alive_count, transmit_fraction)
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            delay = self._rng.random() * self._settings.gossip_interval_ms
            self._timers.schedule(now + delay, TimerKind.GOSSIP)
