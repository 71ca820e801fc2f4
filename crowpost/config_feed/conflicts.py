"""Detects conflicts: documents of one scope and epoch that are not successive versions of one publisher."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from crowpost.config_feed.documents import DocumentHeader


class ConflictRule(StrEnum):
    """The rule that decides which of two conflicting documents is valid; the values are those on the wire."""

    # The higher version wins.
    VERSION = "version"
    # The versions are equal, and the writer whose name sorts last wins.
    WRITER = "writer"
    # One writer published two bodies as one version, and the higher digest wins.
    DIGEST = "digest"


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two conflicting documents of one scope and epoch, and the rule that decided between them."""

    winner: DocumentHeader
    loser: DocumentHeader
    rule: ConflictRule

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a conflict in log events; the keys are part of the log format."""
        return {
            "scope": self.winner.scope,
            "era": self.winner.epoch,
            "kept": [self.winner.version, self.winner.writer],
            "dropped": [self.loser.version, self.loser.writer],
            "rule": str(self.rule),
        }


def find_conflict(winner: DocumentHeader, loser: DocumentHeader) -> Conflict | None:
    """Return the conflict between two headers of one scope, or None where there is none.

    Documents of one epoch conflict if two writers wrote them, or if they are two bodies for one version.  A
    newer version by the same writer is no conflict, nor is any document of a later epoch.
    """
    same_version = winner.version == loser.version
    if winner.epoch != loser.epoch or (same_version and winner.digest == loser.digest):
        return None
    if winner.writer != loser.writer:
        return Conflict(winner, loser, ConflictRule.WRITER if same_version else ConflictRule.VERSION)
    return Conflict(winner, loser, ConflictRule.DIGEST) if same_version else None
