"""The budget of retries and hedged requests."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.1  # Retries and hedged requests allowed for each request that arrives
MAX_TOKENS = 10.0


class RetryBudget:
    """A token budget: an arriving request adds a part of a token, a retry or hedged request takes one."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS / 2

    def earn(self) -> None:
        """Add the tokens for a request that has arrived."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def allows(self) -> bool:
        """Return whether a whole token is available."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take a token."""
        self._tokens -= 1.0
