"""The node as a member of its cluster: its phase out, and the nodes present in.  Only imported where it is
on.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from crowpost.decision_api import NodesPresent, Settings
from crowpost.members.carrier import Carrier
from crowpost.members.config import MembersConfig
from crowpost.members.model import Change, Phase
from crowpost.members.presence import ORDINAL, STAGE, Presence, Share

LOOK_S = 0.25  # between looks at whether this node is ready, and at what is due


class Membership:
    """Joins this node to its cluster.

    phase: what it says of itself; post: takes events for the module; note: is told of each new incarnation,
    for the next process.
    """

    def __init__(
        self,
        config: MembersConfig,
        settings: Settings,
        phase: Callable[[], Phase],
        post: Callable[[NodesPresent], None],
        note: Callable[[int], None] = lambda incarnation: None,
    ) -> None:
        self._config, self._phase, self._post, self._note = config, phase, post, note
        self._noted = 0
        self._loop = asyncio.get_running_loop()
        self._carrier = Carrier(config, self._changed)
        self._facts = {STAGE: str(settings.tier), ORDINAL: str(settings.node_index)}
        self._presence = Presence(
            config.role,
            str(settings.tier),
            Share(settings.node_count, settings.node_index),
            settle_ms=config.settle_ms,
            least_part=config.least_part,
        )
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, incarnation: int = 1) -> None:
        """Bind and begin to join; OSError where the address cannot be used."""
        await self._carrier.start(self._facts, incarnation)
        self._look()

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK_S, self._look)
        phase = self._phase()
        core = self._carrier.core
        if phase is Phase.JOINING and core.me_claim.phase is not Phase.JOINING:
            phase = Phase.PRESENT  # once ready, a list that has run empty makes no newcomer of a node
        if phase is not core.me_claim.phase:
            self._carrier.declare(phase)
        if core.me_claim.incarnation != self._noted:
            self._noted = core.me_claim.incarnation
            self._note(self._noted)
        if self._carrier.now() >= self._presence.next_at:
            self._feed()

    def _changed(self, changes: list[Change]) -> None:
        self._feed()

    def _feed(self) -> None:
        core = self._carrier.core
        if not self._config.feed or not core.joined or core.yielded or core.left:
            return  # one that has not met the others yet would take itself for the only one
        share = self._presence.look(core.view.members, core.me.name, self._carrier.now())
        if share is not None:
            self._post(NodesPresent(share.present, share.node_index))

    def figures(self) -> dict[str, float]:
        """Figures by name and label, for the second address."""
        core = self._carrier.core
        counts = core.counts
        states = Counter(m.state for m in core.view.members.values())
        named = ("joining", "present", "suspected", "leaving", "left", "dead")
        return {
            **{f'members{{state="{state}"}}': states[state] for state in named},
            "members_probes": counts["probes"],
            "members_probes_failed": counts["probes_failed"],
            "members_false_suspicions": counts["false_suspicions"],
            'members_datagrams{way="in"}': counts["datagrams_in"],
            'members_datagrams{way="out"}': counts["datagrams_out"],
            'members_bytes{way="in"}': counts["bytes_in"],
            'members_bytes{way="out"}': counts["bytes_out"],
            "members_dropped": sum(n for name, n in counts.items() if name.startswith("dropped_")),
            "members_awareness": core.awareness,
            "members_view_digest": core.view.digest,
            "members_share_of": self._presence.share.present,
        }

    async def close(self) -> None:
        """Leave in order."""
        if self._timer is not None:
            self._timer.cancel()
        await self._carrier.close()
