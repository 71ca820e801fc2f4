"""The results of crash consistency checks: checked states and violations, counted by kind."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

MAX_DESCRIPTIONS = 20


class ViolationFoundError(Exception):
    """A violation was found, and the run stops at the first one."""


@dataclass
class CheckResults:
    """Checked states and violations, counted by kind."""

    states: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    descriptions: list[str] = field(default_factory=list)  # the first MAX_DESCRIPTIONS violations
    stop_at_first: bool = False

    @property
    def state_count(self) -> int:
        """Number of checked states."""
        return sum(self.states.values())

    def add(self, other: CheckResults) -> None:
        """Add the results of another run."""
        self.states += other.states
        self.violations += other.violations
        self.descriptions = (self.descriptions + other.descriptions)[:MAX_DESCRIPTIONS]

    def record_violation(self, kind: str, description: str) -> None:
        """Record a violation.  Raise ViolationFoundError if the run stops at the first one."""
        self.violations[kind] += 1
        if len(self.descriptions) < MAX_DESCRIPTIONS:
            self.descriptions.append(f"{kind}: {description}")
        if self.stop_at_first:
            raise ViolationFoundError
