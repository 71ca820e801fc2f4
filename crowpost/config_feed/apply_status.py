"""The apply status of a document at one process: stored, applied or rejected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from crowpost.config_feed.documents import VersionKey

MAX_REJECTION_BYTES = 200  # limit for the rejection reason in a report


class ApplyState(StrEnum):
    """The state of a document at one process; the values are those on the wire and in `--json`."""

    # Relays and publishers forward a document without validating it.
    STORED = "held"
    APPLIED = "in force"
    # The last good document stays applied.
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class ApplyStatus:
    """The state of the newest document of a scope that a process received completely."""

    key: VersionKey
    state: ApplyState
    why: str = ""  # reason for a rejection


def shorten_reason(why: str) -> str:
    """Return a rejection reason truncated to MAX_REJECTION_BYTES."""
    return why.encode()[:MAX_REJECTION_BYTES].decode(errors="ignore")
