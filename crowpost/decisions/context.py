"""State that all parts of one instance share: settings, time, randomness, timers and pending actions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from crowpost.decision_api import Action, Settings
from crowpost.decisions.timers import Timers


@dataclass(slots=True)
class Context:
    """Settings, and the state of the current event.  Times are milliseconds on the host's clock."""

    settings: Settings
    rng: random.Random
    now: float = 0.0  # Time of the current event
    actions: list[Action] = field(default_factory=list)  # Actions that follow from it
    timers: Timers = field(default_factory=Timers)
    latency_objective_ms: float = field(init=False)  # The least of all request classes
    _last_number: int = 0

    def __post_init__(self) -> None:
        self.latency_objective_ms = min(each.latency_objective_ms for each in self.settings.classes)

    def next_number(self) -> int:
        """Return a number greater than all before; it orders requests by age and identifies host timers."""
        self._last_number += 1
        return self._last_number
