"""Decides when, and with which members, this process syncs its view (anti-entropy)."""

from __future__ import annotations

import math

from crowpost.membership.model import Member
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.view import MembershipView

MIN_SYNC_INTERVAL_MS = 1_000.0  # Between two syncs that are triggered by received datagrams


class SyncPlanner:
    """Collects addresses to sync with, and rate-limits the syncs that received datagrams trigger."""

    def __init__(self, view: MembershipView, settings: ProtocolSettings) -> None:
        self._view = view
        self._settings = settings
        self._addresses: list[str] = []
        # Time since which the digests in received datagrams have differed from this view's; None: they agree.
        self._differs_since_ms: float | None = None
        self._last_sync_ms = -math.inf

    def take(self) -> list[str]:
        """Return the addresses that were requested since the last call."""
        addresses = self._addresses
        self._addresses = []
        return addresses

    def request(self, address: str) -> None:
        """Request a sync with an address, regardless of the time of the last sync."""
        self._addresses.append(address)

    def request_with(self, member: Member | None) -> None:
        """Request a sync with a member, if one is given."""
        if member is not None:
            self.request(member.profile.address)

    def request_limited(self, address: str, now: float) -> None:
        """Request a sync with an address, at most once per minimum interval."""
        interval = min(MIN_SYNC_INTERVAL_MS, self._settings.mismatch_sync_ms)
        if address and now - self._last_sync_ms >= interval:
            self._last_sync_ms = now
            self.request(address)

    def compare_digest(self, other_digest: int, member: Member | None, now: float) -> None:
        """Request a sync with a datagram's sender if views have differed for long: an update was missed."""
        if other_digest == self._view.digest:
            self._differs_since_ms = None
        elif self._differs_since_ms is None:
            self._differs_since_ms = now
        elif member is not None:
            differed_for = now - max(self._differs_since_ms, self._last_sync_ms)
            if differed_for >= self._settings.mismatch_sync_ms:
                self.request_limited(member.profile.address, now)
