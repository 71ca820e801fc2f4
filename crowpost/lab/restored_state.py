"""State that front nodes leave to their next process on a simulated platform, in memory instead of on disk.

Variants of a policy, by a suffix of its name: `+state` restores the state as it was written, `+state-old`
makes it an hour older, and `+state-wrong` keeps its age but gives each endpoint the values of another one, a
limit that is far off, and ejections of endpoints without a fault.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import cast

from crowpost.decision_api import StateRestored
from crowpost.decisions import Balancer
from crowpost.lab.nodes import SimNode
from crowpost.lab.platform import Platform
from crowpost.node.state.node_state import NodeState
from crowpost.node.state.records import LearnedEndpoints, LearnedLimit

WRITE_INTERVAL_MS = 1_000.0  # the default interval of a real node
HOUR_MS = 3_600_000.0
WRONG_LIMIT_FACTORS = (0.2, 5.0)
WRONG_EJECTION_PROBABILITY = 0.3
UNCHANGED = "+state"
OLD = "+state-old"
WRONG = "+state-wrong"
VARIANTS = (UNCHANGED, OLD, WRONG)


class FrontNodeStates:
    """Records what each front node learns, and restores it to the next process."""

    def __init__(self, platform: Platform, variant: str, seed: int) -> None:
        self._platform = platform
        self._variant = variant
        self._rng = Random(f"memory {seed}")
        self._states: dict[str, NodeState] = {}
        platform.engine.after(WRITE_INTERVAL_MS, self._write)
        platform.on_new_node = self._restore

    def _write(self) -> None:
        engine = self._platform.engine
        engine.after(WRITE_INTERVAL_MS, self._write)
        for node in self._platform.nodes[0]:
            if node.up:
                state = self._states.setdefault(node.name, NodeState())
                balancer = cast(Balancer, node.policy)
                state.apply(LearnedEndpoints(engine.now, balancer.remember(0, balancer.pool_size)))
                state.apply(LearnedLimit(engine.now, balancer.limit_each))

    def _restore(self, node: SimNode) -> None:
        state = self._states.get(node.name)
        if node.stage == 0 and state is not None:
            node.notify(self._apply_variant(state.restored_event(self._platform.engine.now)))

    def _apply_variant(self, event: StateRestored) -> StateRestored:
        """Return the event as the variant changes it."""
        if self._variant == OLD:
            return _aged(event)
        if self._variant == WRONG:
            return self._shuffled(event)
        return event

    def _shuffled(self, event: StateRestored) -> StateRestored:
        shuffled_endpoints = list(event.endpoints)
        self._rng.shuffle(shuffled_endpoints)
        endpoints = tuple(
            replace(
                endpoint,
                share_ratio=other.share_ratio,
                average_ms=other.average_ms,
                ejected=self._rng.random() < WRONG_EJECTION_PROBABILITY,
            )
            for endpoint, other in zip(event.endpoints, shuffled_endpoints, strict=True)
        )
        limit = event.limit_each * self._rng.choice(WRONG_LIMIT_FACTORS)
        return StateRestored(endpoints, limit, event.limit_age_ms)


def _aged(event: StateRestored) -> StateRestored:
    endpoints = tuple(replace(endpoint, age_ms=endpoint.age_ms + HOUR_MS) for endpoint in event.endpoints)
    return StateRestored(endpoints, event.limit_each, event.limit_age_ms + HOUR_MS)
