"""Errors of the decision interface."""

from __future__ import annotations


class DecisionApiError(Exception):
    """Base class of the errors of the decision interface."""


class UnexpectedEventError(DecisionApiError, ValueError):
    """An impossible event: it names a request, attempt or class that does not exist."""


class InvalidSettingsError(DecisionApiError, ValueError):
    """A setting that is out of range; the message names the field."""


class SettingsError(DecisionApiError):
    """A setting that is missing or cannot be parsed.

    Attributes:
        key: Path of the setting.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"settings: {key} {problem}")
        self.key = key
