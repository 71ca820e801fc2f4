"""How far a process has got with a document: stored, applied or rejected."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from crowpost.config_feed.documents import VersionKey

MAX_REJECTION_BYTES = 200  # of the reason in a report


class ApplyState(StrEnum):
    """The state of a document at one process; the values are those on the wire and in `--json`."""

    STORED = "held"  # by a relay or publisher, which passes it on and does not validate it
    APPLIED = "in force"
    REJECTED = "refused"  # the last good document stays applied


@dataclass(frozen=True, slots=True)
class ApplyStatus:
    """The state of the newest document of a scope that a process received completely."""

    key: VersionKey
    state: ApplyState
    why: str = ""  # it was rejected


def shorten_reason(why: str) -> str:
    """Return as much of a reason as a report carries."""
    return why.encode()[:MAX_REJECTION_BYTES].decode(errors="ignore")
