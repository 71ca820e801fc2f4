"""Errors of the membership package; the text of each is one line."""

from __future__ import annotations

from enum import StrEnum


class MembershipError(ValueError):
    """A member, message or setting is invalid."""


class InvalidMessageReason(StrEnum):
    """Why received bytes are not a valid message; the values are part of counter names (`dropped_...`)."""

    SHORT = "short"
    MAGIC = "magic"
    WIRE = "wire"
    CLUSTER = "cluster"
    CHECKSUM = "checksum"
    KIND = "kind"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"


class InvalidMessageError(MembershipError):
    """Received bytes are not a valid message of this cluster."""

    def __init__(self, reason: InvalidMessageReason, text: str) -> None:
        super().__init__(text)
        self.reason = reason


class SyncRejectedError(MembershipError):
    """The other process rejected an anti-entropy sync; the text is its reason."""
