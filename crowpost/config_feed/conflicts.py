"""Conflicts: two documents of one scope and epoch that are not successive versions of one publisher."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from crowpost.config_feed.documents import DocumentHeader


class ConflictRule(StrEnum):
    """The rule by which one of two documents is the valid one; the values are those on the wire."""

    VERSION = "version"  # the higher version
    WRITER = "writer"  # of equal versions the later name of the writer
    DIGEST = "digest"  # of two bodies that one writer published as one version


@dataclass(frozen=True, slots=True)
class Conflict:
    """Two documents for one scope in one epoch: the valid one, the other, and the deciding rule."""

    winner: DocumentHeader
    loser: DocumentHeader
    rule: ConflictRule

    def log_fields(self) -> dict[str, object]:
        """Return what log events tell of a conflict; the keys are part of the log format."""
        return {
            "scope": self.winner.scope,
            "era": self.winner.epoch,
            "kept": [self.winner.version, self.winner.writer],
            "dropped": [self.loser.version, self.loser.writer],
            "rule": str(self.rule),
        }


def find_conflict(winner: DocumentHeader, loser: DocumentHeader) -> Conflict | None:
    """Return the conflict between two headers of one scope, or None where they do not conflict.

    Documents conflict if two writers wrote them in one epoch, or if they are two bodies for one version.  A
    newer version by the same writer is no conflict, nor is any document of a later epoch.
    """
    same_version = winner.version == loser.version
    if winner.epoch != loser.epoch or (same_version and winner.digest == loser.digest):
        return None
    if winner.writer != loser.writer:
        return Conflict(winner, loser, ConflictRule.WRITER if same_version else ConflictRule.VERSION)
    return Conflict(winner, loser, ConflictRule.DIGEST) if same_version else None
