"""Errors of the decision interface."""

from __future__ import annotations


class DecisionApiError(Exception):
    """Base class of the errors of the decision interface."""


class UnexpectedEventError(DecisionApiError, ValueError):
    """An event that cannot be true: it names a request, attempt or class that never existed."""


class InvalidSettingsError(DecisionApiError, ValueError):
    """Settings that cannot be meant; the text names the field."""


class SettingsError(DecisionApiError):
    """A setting that is missing or cannot be read.

    Attributes:
        key: its path.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"settings: {key} {problem}")
        self.key = key
