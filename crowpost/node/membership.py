"""The node as a member of its cluster.

Announces the phase of the node, and notifies the decision module of how many nodes share the work.  This
module is imported only if membership is configured.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from crowpost.decision_api import NodesPresent, Settings
from crowpost.membership import counters
from crowpost.membership.configuration import MembershipConfig
from crowpost.membership.model import Phase, StateChange
from crowpost.membership.transport import MembershipTransport
from crowpost.membership.work_share import INDEX_FACT, STAGE_FACT, WorkShare, WorkShareTracker

CHECK_INTERVAL_S = 0.25  # interval between checks of the phase of the node and of its share of the work

# Member states that are reported as metrics.
REPORTED_STATES = ("joining", "present", "suspected", "leaving", "left", "dead")


class Membership:
    """Joins this node to its cluster.

    current_phase: returns the phase of the node.
    post: posts events for the decision module.
    on_incarnation: called with each new incarnation, which the next process must exceed.
    """

    def __init__(
        self,
        config: MembershipConfig,
        settings: Settings,
        current_phase: Callable[[], Phase],
        post: Callable[[NodesPresent], None],
        on_incarnation: Callable[[int], None] = lambda _: None,
    ) -> None:
        self._config = config
        self._current_phase = current_phase
        self._post = post
        self._on_incarnation = on_incarnation
        self._reported_incarnation = 0
        self._loop = asyncio.get_running_loop()
        self._transport = MembershipTransport(config, self._on_change)
        stage = str(settings.tier)
        self._facts = {STAGE_FACT: stage, INDEX_FACT: str(settings.node_index)}
        self._share_tracker = WorkShareTracker(
            config.role,
            stage,
            WorkShare(settings.node_count, settings.node_index),
            settle_ms=config.settle_ms,
            min_node_fraction=config.min_node_fraction,
        )
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, incarnation: int = 1) -> None:
        """Bind and start to join; raise OSError if the address cannot be bound."""
        await self._transport.start(self._facts, incarnation)
        self._check()

    def _check(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
        self._announce_phase()
        incarnation = self._transport.core.own_update.incarnation
        if incarnation != self._reported_incarnation:
            self._reported_incarnation = incarnation
            self._on_incarnation(incarnation)
        if self._transport.now() >= self._share_tracker.next_due_ms:
            self._update_share()

    def _announce_phase(self) -> None:
        phase = self._current_phase()
        announced = self._transport.core.own_update.phase
        if phase is Phase.JOINING and announced is not Phase.JOINING:
            # A node that has been ready does not go back to joining when its endpoint list becomes empty.
            phase = Phase.PRESENT
        if phase is not announced:
            self._transport.announce_phase(phase)

    def _on_change(self, _changes: list[StateChange]) -> None:
        self._update_share()

    def _update_share(self) -> None:
        core = self._transport.core
        if not self._config.share_work or core.superseded or core.left:
            return
        if not core.joined:
            # Before the join, the view contains only this node, which would take all of the work.
            return
        share = self._share_tracker.update(core.view.members, core.local_member.name, self._transport.now())
        if share is not None:
            self._post(NodesPresent(share.node_count, share.node_index))

    def metrics(self) -> dict[str, float]:
        """Return the metrics of membership by name and label."""
        core = self._transport.core
        counts = core.counts
        states = Counter(member.state for member in core.view.members.values())
        dropped = sum(count for name, count in counts.items() if name.startswith(counters.DROPPED_PREFIX))
        return {
            **{f'members{{state="{state}"}}': states[state] for state in REPORTED_STATES},
            "members_probes": counts[counters.PROBES],
            "members_probes_failed": counts[counters.PROBES_FAILED],
            "members_false_suspicions": counts[counters.FALSE_SUSPICIONS],
            'members_datagrams{way="in"}': counts[counters.DATAGRAMS_IN],
            'members_datagrams{way="out"}': counts[counters.DATAGRAMS_OUT],
            'members_bytes{way="in"}': counts[counters.BYTES_IN],
            'members_bytes{way="out"}': counts[counters.BYTES_OUT],
            "members_dropped": dropped,
            "members_awareness": core.local_health_score,
            "members_view_digest": core.view.digest,
            "members_share_of": self._share_tracker.share.node_count,
        }

    async def close(self) -> None:
        """Leave the cluster and close the transport."""
        if self._timer is not None:
            self._timer.cancel()
        await self._transport.close()
