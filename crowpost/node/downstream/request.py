"""Requests of clients, checked and translated into the terms of the settings."""

from __future__ import annotations

from dataclasses import dataclass

from crowpost.node.http.message import (
    Message,
    MessageError,
)

MAX_DEADLINE_S = 3600.0
MAX_COST_HINT_US = 1e9


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A valid request in the terms of the settings."""

    message: Message
    class_index: int
    tenant: int
    key: int
    budget_ms: float
    cost_hint_ms: float | None
    is_repeat: bool


def normalize_path(message: Message) -> bytes:
    """The path of a request; a target that names the host as well is brought to the usual form."""
    scheme, mark, rest = message.target.partition(b"://")
    if mark and scheme.lower() in (b"http", b"https"):
        slash = rest.find(b"/")
        message.target = rest[slash:] if slash >= 0 else b"/"
    return message.target.partition(b"?")[0]


def is_api_path(path: bytes) -> bool:
    return path == b"/api" or path.startswith(b"/api/")


def parse_cost_hint_ms(text: bytes | None) -> float | None:
    """A hint is a guess: one that cannot be read is none, and no reason to turn the request down."""
    try:
        return None if text is None else parse_number(text, "cost hint", MAX_COST_HINT_US) / 1000.0
    except MessageError:
        return None


def parse_number(text: bytes, what: str, most: float) -> float:
    try:
        value = float(text) if b"_" not in text else -1.0  # Python's own grouping is none of HTTP's
    except ValueError:
        value = -1.0
    if not 0.0 < value <= most or value == float("inf"):
        raise MessageError(400, f"bad {what}")
    return value
