"""What front nodes keep for their next process, on a simulated platform: the node's own records, on no disk.

Variants of a policy by what is behind its name: `+state`, as it was kept; `+state-old`, an hour older;
`+state-wrong`, fresh, and given to other servers than it was learned of, with a limit that is far off and
ejections of servers that nothing is wrong with.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import cast

from crowpost.decision_api import StateRestored
from crowpost.decisions import Balancer
from crowpost.lab.nodes import SimNode
from crowpost.lab.platform import Platform
from crowpost.node.kept import Kept, Learned, Limit

EVERY_MS = 1_000.0  # as a real node does by default
HOUR_MS = 3_600_000.0
WRONG_LIMITS = (0.2, 5.0)  # times what was learned
VARIANTS = ("+state", "+state-old", "+state-wrong")


class FrontMemory:
    """Each front node keeps what it learns; the process that comes after it is told."""

    def __init__(self, platform: Platform, variant: str, seed: int) -> None:
        self._platform, self._variant = platform, variant
        self._rng = Random(f"memory {seed}")
        self._kept: dict[str, Kept] = {}
        platform.engine.after(EVERY_MS, self._write)
        platform.on_new_node = self._born

    def _write(self) -> None:
        engine = self._platform.engine
        engine.after(EVERY_MS, self._write)
        for node in self._platform.nodes[0]:
            if node.up:
                kept = self._kept.setdefault(node.name, Kept())
                balancer = cast(Balancer, node.policy)
                kept.apply(Learned(engine.now, balancer.remember(0, balancer.pool_size)))
                kept.apply(Limit(engine.now, balancer.limit_each))

    def _born(self, node: SimNode) -> None:
        kept = self._kept.get(node.name)
        if node.stage == 0 and kept is not None:
            node.hear(self._changed(kept.remembered(self._platform.engine.now)))

    def _changed(self, told: StateRestored) -> StateRestored:
        if self._variant == "+state-old":
            rows = tuple(replace(m, age_ms=m.age_ms + HOUR_MS) for m in told.endpoints)
            return StateRestored(rows, told.limit_each, told.limit_age_ms + HOUR_MS)
        if self._variant == "+state":
            return told
        others = list(told.endpoints)
        self._rng.shuffle(others)
        rows = tuple(
            replace(m, share_ratio=o.share_ratio, average_ms=o.average_ms, ejected=self._rng.random() < 0.3)
            for m, o in zip(told.endpoints, others, strict=True)
        )
        return StateRestored(rows, told.limit_each * self._rng.choice(WRONG_LIMITS), told.limit_age_ms)
