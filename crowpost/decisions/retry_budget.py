"""The budget of retries and hedged requests."""

from __future__ import annotations

TOKENS_PER_REQUEST = 0.1  # retries and hedged requests for each request that arrives
MAX_TOKENS = 10.0


class RetryBudget:
    """Tokens that each arriving request earns a part of, and each retry or hedged request costs one of."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS / 2

    def earn(self) -> None:
        """Take in that a request has arrived."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def allows(self) -> bool:
        """Return whether there is a whole token."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take a token."""
        self._tokens -= 1.0
