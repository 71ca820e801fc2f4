"""What all parts of one instance share: settings, time, randomness, timers and pending actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from crowpost.decision_api import Action, Settings
from crowpost.decisions.timers import Timers


@dataclass(slots=True)
class Context:
    """Settings and the state of the present event.  Times are milliseconds on the host's clock."""

    settings: Settings
    rng: random.Random
    now: float = 0.0  # time of the present event
    actions: list[Action] = field(default_factory=list)  # that follow from the present event
    timers: Timers = field(default_factory=Timers)
    latency_objective_ms: float = field(init=False)  # the least of all classes
    _last_number: int = 0

    def __post_init__(self) -> None:
        self.latency_objective_ms = min(c.latency_objective_ms for c in self.settings.classes)

    def next_number(self) -> int:
        """Return a number greater than all before: the age of requests, and tokens of timers."""
        self._last_number += 1
        return self._last_number
