"""State updates: the announcements of this process, and the updates received from other members."""

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

IMMEDIATE_PROBERS = 5.0  # Mean number of members that probe a newly suspected member at once
# A confirmation of a suspicion is sent this fraction of the usual number of times.
CONFIRMATION_TRANSMIT_FRACTION = 0.5
# A member is suspected here for at least this long before a death declared by another takes effect.
MIN_SUSPICION_MS = 1_000.0
# For this long after its start a process takes over its name from another process of that name.  After that
# it is the one that is replaced by a newer process.
STARTUP_GRACE_MS = 5_000.0
# Multiple of the suspicion timeout, plus jitter, at a process that has not accused the member itself.
NON_ACCUSER_FACTOR = 1.5
NON_ACCUSER_JITTER = 0.5


class UpdateProcessor:
    """Applies state updates on this process and on all other members.

    joined: this process has synced with another member, or is the first member of its cluster.
    superseded: a newer process of the same name has replaced it.
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
        self.detector: FailureDetector  # Set by MembershipCore after construction
        self._started_ms = now
        self._settings = settings
        self._rng = rng
        self._counts = counts
        self._timers = timers

    @property
    def left(self) -> bool:
        """Whether this process has announced that it has left."""
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
        """Announce a new state of this process, with the next incarnation or at least `min_incarnation`."""
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
        """Apply an update on this process's name: refute it, or become superseded by a newer process."""
        own = self.own_update
        about_successor = update.instance_id == self.local_member.instance_id
        if self.superseded and about_successor and update.liveness >= Liveness.DEAD:
            self._resume_after_successor(update, now)
        elif self.left or update.incarnation < own.incarnation:
            return
        elif update.instance_id == own.instance_id:
            if not self.superseded and (update.liveness, update.phase) != (Liveness.ALIVE, own.phase):
                self._refute(update, now)
        elif update.liveness >= Liveness.DEAD or now - self._started_ms < STARTUP_GRACE_MS:
            # The other process has ended, or this one has just started and takes over the name.
            self.announce(now, update.incarnation + 1)
        elif (update.incarnation, update.instance_id) > (own.incarnation, own.instance_id):
            self._become_superseded(update, now)
        else:
            self.announce(now, update.incarnation + 1)

    def _refute(self, update: StateUpdate, now: float) -> None:
        self._counts[counters.REFUTED] += 1
        self.detector.adjust_local_health(1)
        self.announce(now, update.incarnation + 1)

    def _resume_after_successor(self, update: StateUpdate, now: float) -> None:
        name = self.own_update.name
        self.log_messages.append(f"{name}: the newer process is {update.liveness.label}; active again")
        self.superseded = False
        # Announcements made while superseded were not sent.
        self.announce(now, update.incarnation + 1)

    def _become_superseded(self, update: StateUpdate, now: float) -> None:
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

        A death learned by a sync is applied as a suspicion: after a network partition each side considers the
        other dead, and each member must first get the chance to refute that.
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
            self._counts[counters.MISSING_PROFILE] += 1

    @staticmethod
    def _is_same_suspicion(update: StateUpdate, member: Member) -> bool:
        suspected = member.liveness is Liveness.SUSPECT
        return suspected and update.precedence == (member.incarnation, Liveness.SUSPECT)

    @staticmethod
    def _must_defer_death(member: Member, now: float) -> bool:
        return member.liveness is Liveness.ALIVE or now - member.state_since_ms < MIN_SUSPICION_MS

    def _defer_death(self, member: Member, update: StateUpdate, now: float) -> None:
        """Suspect a member that another declared dead; the death takes effect unless the member refutes it.

        Without this a death declared on the other side of a partition, just before the partition ended,
        was accepted by all members until it was refuted, although all of them could reach the member.
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
            self._counts[counters.MISSING_PROFILE] += 1
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
        """Start or end a suspicion, and start to probe a returned member, after an update was accepted."""
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
            # A few members probe it at once: confirmations must not wait for its turn in the probe order.
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
        """Record an independent accuser of a suspected member, which shortens the suspicion timeout."""
        fully_confirmed = len(member.suspected_by) > self._settings.expected_confirmations
        if accuser in member.suspected_by or fully_confirmed:
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
            # The accusers send the final probes; this process does so only if they do not.
            timeout *= NON_ACCUSER_FACTOR + NON_ACCUSER_JITTER * self._rng.random()
        due = max(now, min(member.state_since_ms + timeout, member.death_due_ms))
        generation = member.suspicion_generation
        self._timers.schedule(due, TimerKind.SUSPICION_TIMEOUT, member.name, generation)

    def on_suspicion_timeout(self, name: str, generation: int, now: float) -> None:
        """End a suspicion: the member is dead unless it answers the final probes of this process.

        The refutation may have reached all members but this one, for example if it got little CPU time.
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
        """Declare a member dead after it has not answered the final probes of this process."""
        self._counts[counters.DECLARED_DEAD] += 1
        reason = f"no answer, accused by {len(member.suspected_by)}"
        self._mark_dead(member, now, self.local_member.name, reason)

    def _mark_dead(self, member: Member, now: float, origin: str, reason: str) -> None:
        update = member.to_update(include_profile=False)
        self._accept(member, replace(update, liveness=Liveness.DEAD, origin=origin, reason=reason), now)

    # ------------------------------------------------------------ dissemination

    def broadcast(self, update: StateUpdate, now: float, transmit_fraction: float = 1.0) -> None:
        """Queue an update for gossip, and schedule a gossip round unless one is scheduled."""
        self.broadcasts.enqueue(update, self.view.alive_count, transmit_fraction)
        if not self.gossip_scheduled:
            self.gossip_scheduled = True
            delay = self._rng.random() * self._settings.gossip_interval_ms
            self._timers.schedule(now + delay, TimerKind.GOSSIP)
