"""Errors of the membership package; the text of each is one line."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(ValueError):
    """A member, message or setting that cannot be used."""


class InvalidMessageReason(StrEnum):
    """Why received bytes are no valid message; the values are parts of counter names (`dropped_...`)."""

    SHORT = "short"
    MAGIC = "magic"
    WIRE = "wire"
    CLUSTER = "cluster"
    CHECKSUM = "checksum"
    KIND = "kind"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class InvalidMessageError(MembershipError):
    """Received bytes are no valid message of this cluster."""

    def __init__(self, reason: InvalidMessageReason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


class SyncRefusedError(MembershipError):
    """The other process refused an anti-entropy sync; the text is its reason."""
