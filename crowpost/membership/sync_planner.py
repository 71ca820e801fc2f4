"""When and with whom this process syncs its view (anti-entropy)."""

from __future__ import annotations

import math

from crowpost.membership.model import Member
from crowpost.membership.settings import ProtocolSettings
from crowpost.membership.view import MembershipView

MIN_SYNC_INTERVAL_MS = 1_000.0  # between two syncs that received datagrams ask for


class SyncPlanner:
    """Collects the addresses to sync with."""

    def __init__(self, view: MembershipView, settings: ProtocolSettings) -> None:
        self._view = view
        self._settings = settings
        self._addresses: list[str] = []
        self._differs_since_ms: float | None = None  # since when other views have differed from this one
        self._last_sync_ms = -math.inf

    def take(self) -> list[str]:
        """Return the addresses that were requested since the last call."""
        addresses = self._addresses
        self._addresses = []
        return addresses

    def request(self, address: str) -> None:
        """Sync with an address, whenever the last sync was."""
        self._addresses.append(address)

    def request_with(self, member: Member | None) -> None:
        """Sync with a member, where there is one."""
        if member is not None:
            self.request(member.profile.address)

    def request_limited(self, address: str, now: float) -> None:
        """Sync with an address unless this process has just done so with some other."""
        interval = min(MIN_SYNC_INTERVAL_MS, self._settings.mismatch_sync_ms)
        if address and now - self._last_sync_ms >= interval:
            self._last_sync_ms = now
            self.request(address)

    def compare_digest(self, other_digest: int, member: Member | None, now: float) -> None:
        """Sync with the sender of a datagram if views have differed for long: an update was missed."""
        if other_digest == self._view.digest:
            self._differs_since_ms = None
        elif self._differs_since_ms is None:
            self._differs_since_ms = now
        elif member is not None:
            waited = now - max(self._differs_since_ms, self._last_sync_ms)
            if waited >= self._settings.mismatch_sync_ms:
                self.request_limited(member.profile.address, now)
