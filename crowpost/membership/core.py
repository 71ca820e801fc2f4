"""The membership protocol of one process, without I/O.

Its input is received datagrams and the current time.  Its output is datagrams to send, addresses to sync
with, and changes of the membership view.

Sources: SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips, Currey, 2018).  Two rules are
added: a member is suspected only after a second failed probe, and a process that was paused postpones its
timers by the length of the pause, so that it suspects no member when it runs again.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

from crowpost.membership import counters
from crowpost.membership.broadcast_queue import BroadcastQueue
from crowpost.membership.errors import InvalidMessageError
from crowpost.membership.failure_detector import FailureDetector, ProbeVerdict
from crowpost.membership.model import Liveness, Member, Phase, Profile, StateChange, StateUpdate
from crowpost.membership.outbox import Outbox, OutgoingDatagram
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.sync_planner import SyncPlanner
from crowpost.membership.timers import Timer, TimerKind, TimerQueue
from crowpost.membership.updates import UpdateProcessor
from crowpost.membership.view import MembershipView
from crowpost.membership.wire import Message, MessageKind, Sender, cluster_tag, decode_datagram

# In protocol periods.  A timer that runs later than this shows that the process was paused.
MAX_TIMER_DELAY_FRACTION = 0.5
# Datagrams from one sender may be reordered within this many; older ones are treated as replays.
REPLAY_WINDOW = 512
# Between two datagrams that notify a member of its recorded state.
MIN_NOTIFY_INTERVAL_MS = 1_000.0
REMOVE_EXPIRED_INTERVAL_MS = 60_000.0
MAX_LEAVE_RECIPIENTS = 8  # Members that receive the leave message directly
FIRST_JOIN_RETRY_MS = 500.0
JOIN_BACKOFF_FACTOR = 1.5
CONTACTS_PER_JOIN = 2


@dataclass(frozen=True, slots=True)
class Output:
    """The actions and events that the core has produced since the last `take_output`."""

    datagrams: list[OutgoingDatagram]
    sync_addresses: list[str]
    changes: list[StateChange]
    log_messages: list[str]


class MembershipCore:
    """The protocol state of one process.

    Call `handle_datagram` for each received datagram, and `tick` at the time that `next_due_ms` returns; then
    carry out what `take_output` returns.  Times are in ms and monotonic.

    contacts: addresses of members to join through, any of which may be down.
    instance_id: 32 random bits, new for each process.
    incarnation: the initial incarnation.  If it is higher than that of the process that had this name before,
        the other members accept this process at once.
    """

    def __init__(
        self,
        cluster: str,
        profile: Profile,
        contacts: tuple[str, ...],
        *,
        seed: int,
        instance_id: int,
        now: float,
        settings: ProtocolSettings | None = None,
        incarnation: int = 1,
    ) -> None:
        self.cluster = cluster
        self.settings = settings or ProtocolSettings()
        self.rng = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.view = MembershipView(self.settings)
        self._tag = cluster_tag(cluster)
        self._contacts = tuple(contact for contact in contacts if contact != profile.address)
        self._timers = TimerQueue()
        self._sync_planner = SyncPlanner(self.view, self.settings)
        own_update = StateUpdate(
            profile.name, instance_id, incarnation, Phase.JOINING, Liveness.ALIVE, profile.name, "", profile
        )
        local_member = self.view.add(profile, own_update, now)
        assert local_member is not None  # An empty view has room for it
        self.local_member = local_member
        shared_state = (self.settings, self.rng, self.counts, self._timers)
        self.updates = UpdateProcessor(own_update, local_member, self.view, *shared_state, now)
        self._outbox = Outbox(self.updates, self.settings, self.counts, self._tag)
        self.detector = FailureDetector(self.view, local_member, *shared_state, self._outbox.send)
        self.updates.detector = self.detector
        self.updates.joined = not self._contacts
        self._schedule_first_timers(now)

    def _schedule_first_timers(self, now: float) -> None:
        settings = self.settings
        probe_delay = self.rng.random() * settings.probe_interval_ms
        self._timers.schedule(now + probe_delay, TimerKind.PROBE_ROUND)
        sync_delay = self.rng.random() * settings.sync_interval_ms
        self._timers.schedule(now + sync_delay, TimerKind.SYNC)
        self._schedule_with_jitter(TimerKind.PROBE_DEAD, settings.dead_probe_interval_ms, now)
        self._timers.schedule(now + REMOVE_EXPIRED_INTERVAL_MS, TimerKind.REMOVE_EXPIRED)
        if self._contacts:
            self._timers.schedule(now, TimerKind.JOIN)

    def _schedule_with_jitter(self, kind: TimerKind, interval_ms: float, now: float) -> None:
        """Schedule a timer after 0.5 to 1.5 intervals."""
        self._timers.schedule(now + (0.5 + self.rng.random()) * interval_ms, kind)

    # ------------------------------------------------------------ state

    @property
    def own_update(self) -> StateUpdate:
        """The state update that this process announces about itself."""
        return self.updates.own_update

    @property
    def joined(self) -> bool:
        """Whether this process has synced with another member, or is the first member of its cluster."""
        return self.updates.joined

    @property
    def superseded(self) -> bool:
        """Whether a newer process of the same name has replaced this one."""
        return self.updates.superseded

    @property
    def left(self) -> bool:
        """Whether this process has announced that it has left."""
        return self.updates.left

    @property
    def local_health_score(self) -> int:
        """The local health score, from 0 (healthy) to 4 (this process appears to be slow)."""
        return self.detector.local_health_score

    # ------------------------------------------------------------ input and output

    def next_due_ms(self) -> float:
        """Return the time at which `tick` must be called next."""
        return self._timers.next_due_ms()

    def take_output(self) -> Output:
        """Return the output produced since the last call."""
        if self.updates.needs_sync:
            self.updates.needs_sync = False
            self._sync_planner.request_with(self.detector.random_peer())
        output = Output(
            self._outbox.take(), self._sync_planner.take(), self.view.changes, self.updates.log_messages
        )
        self.view.changes = []
        self.updates.log_messages = []
        return output

    def tick(self, now: float) -> None:
        """Run the timers that are due."""
        self._detect_pause(now)
        while (timer := self._timers.pop_due(now)) is not None:
            self._run_timer(timer, now)

    def _run_timer(self, timer: Timer, now: float) -> None:
        match timer.kind:
            case TimerKind.INDIRECT_PROBE:
                self.detector.send_indirect_probes(timer.number, now)
            case TimerKind.PROBE_TIMEOUT:
                self._on_probe_timeout(timer.number, now)
            case TimerKind.SUSPICION_TIMEOUT:
                self.updates.on_suspicion_timeout(timer.name, timer.number, now)
            case TimerKind.GOSSIP:
                self._send_gossip(now)
            case TimerKind.JOIN:
                self._join(timer.number, now)
            case TimerKind.PING_REQ_TIMEOUT:
                self.detector.on_ping_req_timeout(timer.number, now)
            case _:
                self._run_periodic_timer(timer.kind, now)

    def _run_periodic_timer(self, kind: TimerKind, now: float) -> None:
        match kind:
            case TimerKind.PROBE_ROUND:
                self._timers.schedule(now + self.detector.probe_interval_ms(), kind)
                if not self.superseded and not self.left:
                    self.detector.start_round(now)
            case TimerKind.SYNC:
                self._schedule_with_jitter(kind, self.settings.sync_interval_ms, now)
                self._sync_planner.request_with(self.detector.random_peer())
            case TimerKind.PROBE_DEAD:
                self._schedule_with_jitter(kind, self.settings.dead_probe_interval_ms, now)
                self._probe_dead_member(now)
            case TimerKind.REMOVE_EXPIRED:
                self._timers.schedule(now + REMOVE_EXPIRED_INTERVAL_MS, kind)
                self.view.remove_expired(now, self.local_member.name)

    def handle_datagram(self, data: bytes, now: float) -> None:
        """Process a received datagram; count and drop it if it is invalid or from another cluster."""
        self._detect_pause(now)
        self.counts[counters.BYTES_IN] += len(data)
        self.counts[counters.DATAGRAMS_IN] += 1
        try:
            message = decode_datagram(data, self._tag, self.settings.max_datagram_bytes)
        except InvalidMessageError as error:
            self.counts[counters.dropped(error.reason)] += 1
            return
        self._process_message(message, now)

    def apply_update(self, update: StateUpdate, now: float, *, from_sync: bool = False) -> None:
        """Apply a state update; `from_sync` marks one received by a sync and not in a datagram."""
        self.updates.apply(update, now, from_sync=from_sync)

    def mark_joined(self) -> None:
        """Record that this process has synced with another member."""
        self.updates.joined = True

    def preload_members(self, updates: Iterable[StateUpdate], now: float) -> None:
        """Start with these members already known, as if the join were long ago; for simulations."""
        for update in updates:
            if update.name == self.local_member.name or update.profile is None:
                continue
            self.view.add(update.profile, update, now)
            self.detector.probe_order.append(update.name)
        self.rng.shuffle(self.detector.probe_order)
        self.mark_joined()
        self.take_output()
        self.updates.broadcasts = BroadcastQueue(self.settings)  # Empty: the others know all of it

    def _detect_pause(self, now: float) -> None:
        """Postpone all timers if the next one is so late that this process must have been paused."""
        delay = now - self.next_due_ms()
        if delay >= MAX_TIMER_DELAY_FRACTION * self.settings.probe_interval_ms:
            self.counts[counters.LATE] += 1
            self._timers.postpone_all(delay)
            self.detector.on_process_paused()

    def _on_probe_timeout(self, number: int, now: float) -> None:
        failure = self.detector.on_probe_timeout(number, now)
        if failure is None:
            return
        match failure.verdict:
            case ProbeVerdict.SUSPECT:
                self.updates.suspect(failure.member, now)
            case ProbeVerdict.CONFIRM_SUSPICION:
                self.updates.confirm_suspicion(failure.member, self.local_member.name, now)
            case ProbeVerdict.DECLARE_DEAD:
                self.updates.declare_dead(failure.member, now)

    # ------------------------------------------------------------ announcements

    def announce_phase(self, phase: Phase, now: float, reason: str = "") -> None:
        """Announce the phase of this process if it has changed."""
        if phase is not self.own_update.phase and not self.left:
            self.updates.announce(now, phase=phase, reason=reason)

    def set_facts(self, facts: dict[str, str], now: float) -> None:
        """Replace the facts of this process; raise MembershipError if they exceed the limits."""
        profile = self.own_update.profile or self.local_member.profile
        self.updates.announce(now, profile=replace(profile, facts=facts))

    def leave(self, now: float, reason: str = "in order") -> None:
        """Announce that this process leaves, so that the others do not declare it dead when it exits."""
        if self.superseded or self.left:
            return
        self.updates.announce(now, liveness=Liveness.LEFT, reason=reason)
        others = [m for m in self.view.members.values() if m.alive and m is not self.local_member]
        for member in self.rng.sample(others, min(MAX_LEAVE_RECIPIENTS, len(others))):
            self._outbox.send(member.profile.address, MessageKind.GOSSIP, now)

    # ------------------------------------------------------------ datagrams

    def _process_message(self, message: Message, now: float) -> None:
        sender = message.sender
        if sender.name == self.local_member.name:
            if sender.instance_id != self.own_update.instance_id:
                self.apply_update(sender.to_update(), now)
            return
        member = self.view.get(sender.name)
        reply_to = message.reply_to or (member.profile.address if member is not None else "")
        if not self._accept_sender(sender, member, reply_to, now):
            return
        for update in message.updates:
            self.apply_update(update, now)
        self._respond(message, member, reply_to, now)
        self._sync_planner.compare_digest(sender.view_digest, member, now)

    def _accept_sender(self, sender: Sender, member: Member | None, reply_to: str, now: float) -> bool:
        """Record the sender's own state from a datagram; return False if the datagram must be dropped."""
        if member is not None and member.instance_id == sender.instance_id:
            if sender.datagram_counter + REPLAY_WINDOW <= member.datagram_counter:
                self.counts[counters.DROPPED_REPLAYED] += 1
                return False
            member.datagram_counter = max(member.datagram_counter, sender.datagram_counter)
            member.last_heard_ms = now
            member.failed_probes = 0
            if sender.incarnation > member.incarnation or sender.phase is not member.phase:
                self.apply_update(sender.to_update(), now)
            return True
        if member is not None:
            recorded = (member.incarnation, member.instance_id)
            if (sender.incarnation, sender.instance_id) < recorded:
                # The sender was replaced by a newer process, does not know its predecessor's incarnation yet,
                # or the datagram is a replay.
                self.counts[counters.DROPPED_OUTDATED] += 1
                self._notify(member, reply_to, now)
                return False
        self._sync_planner.request_limited(reply_to, now)  # To learn the sender's profile
        return True

    def _respond(self, message: Message, member: Member | None, reply_to: str, now: float) -> None:
        """Handle a datagram by its kind, and notify its sender of a state that it has not refuted yet."""
        match message.kind:
            case MessageKind.PING if reply_to:
                if message.target == self.local_member.name:
                    self._send_ack(message, member, reply_to, now)
                    return
                # Another member had this address before.
                self.counts[counters.DROPPED_MISDIRECTED] += 1
            case MessageKind.PING_REQ if reply_to:
                self.detector.on_ping_req(message, reply_to, now)
            case MessageKind.ACK:
                self.detector.on_ack(message, now)
            case MessageKind.NACK:
                self.detector.on_nack(message)
        if member is not None and _must_refute(message.sender, member):
            self._notify(member, reply_to or member.profile.address, now)

    def _send_ack(self, message: Message, member: Member | None, reply_to: str, now: float) -> None:
        to_refute = []
        if member is not None and _must_refute(message.sender, member):
            to_refute.append(member.to_update(include_profile=False))
        target = self.local_member.name
        self._outbox.send(reply_to, MessageKind.ACK, now, message.number, target, to_refute)

    def _notify(self, member: Member, address: str, now: float) -> None:
        """Send a process its recorded state, so that it can refute it or learn which process it replaces."""
        if address and now - member.notified_at_ms >= MIN_NOTIFY_INTERVAL_MS:
            member.notified_at_ms = now
            self._outbox.send(address, MessageKind.GOSSIP, now, 0, "", [member.to_update()])

    def _send_gossip(self, now: float) -> None:
        """Send queued broadcasts to a few random members, and schedule the next gossip round."""
        broadcasts = self.updates.broadcasts
        self.updates.gossip_scheduled = len(broadcasts) > 0 and not self.superseded
        if not self.updates.gossip_scheduled:
            return
        self._timers.schedule(now + self.settings.gossip_interval_ms, TimerKind.GOSSIP)
        if not broadcasts.has_budget(now):
            return
        for _ in range(self.settings.gossip_fanout):
            member = self.detector.random_peer()
            if member is not None and len(broadcasts):
                self._outbox.send(member.profile.address, MessageKind.GOSSIP, now)

    # ------------------------------------------------------------ joins

    def _join(self, attempts: int, now: float) -> None:
        """Sync with some of the contacts, with exponential backoff, until one has answered."""
        if self.joined:
            return
        for contact in self.rng.sample(self._contacts, min(len(self._contacts), CONTACTS_PER_JOIN)):
            self._sync_planner.request(contact)
        backoff = FIRST_JOIN_RETRY_MS * JOIN_BACKOFF_FACTOR**attempts
        interval = min(backoff, self.settings.dead_probe_interval_ms)
        delay = interval * (0.5 + self.rng.random())
        self._timers.schedule(now + delay, TimerKind.JOIN, "", attempts + 1)

    def _probe_dead_member(self, now: float) -> None:
        """Ping a dead member: after a network partition nothing else reconnects the two sides."""
        if self.superseded:
            # The sync shows whether the newer process is still alive.
            self._sync_planner.request_with(self.detector.random_peer())
            return
        members = self.view.members.values()
        dead = [m for m in members if m.liveness is Liveness.DEAD and m is not self.local_member]
        if dead:
            self.detector.ping_dead_member(self.rng.choice(dead), now)
        elif self.view.alive_count == 1 and self._contacts:
            self._sync_planner.request(self.rng.choice(self._contacts))


def _must_refute(sender: Sender, member: Member) -> bool:
    """Return whether a sender is recorded as not alive and has not refuted that yet."""
    return member.liveness is not Liveness.ALIVE and sender.incarnation <= member.incarnation
