"""The results of crash consistency checks: states tried by kind, and violations found."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

MAX_DESCRIPTIONS = 20


class ViolationFoundError(Exception):
    """The first violation was found, where one is enough."""


@dataclass
class CheckResults:
    """States tried and violations, by kind."""

    states: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    descriptions: list[str] = field(default_factory=list)  # of the first violations
    stop_at_first: bool = False

    @property
    def state_count(self) -> int:
        """Number of states tried."""
        return sum(self.states.values())

    def add(self, other: CheckResults) -> None:
        """Add the results of another run."""
        self.states += other.states
        self.violations += other.violations
        self.descriptions = (self.descriptions + other.descriptions)[:MAX_DESCRIPTIONS]

    def record_violation(self, kind: str, description: str) -> None:
        """Record a violation.  Raise ViolationFoundError if the first one is to end the run."""
        self.violations[kind] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{kind}: {description}")
        if self.stop_at_first:
            raise ViolationFoundError
