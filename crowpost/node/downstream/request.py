"""Validation of client requests, and their translation into the terms of the settings."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from crowpost.decision_api import Effect, Settings
from crowpost.node.http.message import (
    CLASS,
    COST_HINT,
    DEADLINE,
    IDEMPOTENCY_KEY,
    REQUEST_ID,
    RETRY,
    TENANT,
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
    # A hash of the item that the path names; 0 if it names none.
    key: int
    budget_ms: float
    cost_hint_ms: float | None
    is_repeat: bool


class RequestParser:
    """Reads a request's class, tenant, deadline and cost hint from its headers."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}

    def class_index_of(self, message: Message) -> int | None:
        """Return the index of the class that a head names; None if it names none."""
        return self._classes.get(message.headers.get(CLASS, b""))

    def parse(self, message: Message, path: bytes, waited_s: float = 0.0) -> ClientRequest:
        """Return the request; raise MessageError if a header is missing, repeated or out of range.

        waited_s: the seconds of its deadline that have passed since the request arrived.
        """
        headers = message.headers
        required = [REQUEST_ID, CLASS, DEADLINE, *([TENANT] if self._tenants else [])]
        for name in required:
            if not headers.get(name) or name in message.repeated_headers:
                raise MessageError(400, f"{name.decode()} is missing or repeated")
        class_index = self._classes.get(headers[CLASS])
        tenant = self._tenants.get(headers[TENANT]) if self._tenants else 0
        if class_index is None or tenant is None:
            raise MessageError(400, "unknown class or tenant")
        _check_method(message, self._settings.classes[class_index].effect)
        cost_hint = headers.get(COST_HINT)
        item = path.removeprefix(b"/api").removeprefix(b"/")
        return ClientRequest(
            message=message,
            class_index=class_index,
            tenant=tenant,
            key=int.from_bytes(blake2b(item, digest_size=8).digest(), "big") if item else 0,
            budget_ms=1000.0 * (_parse_number(headers[DEADLINE], "deadline", MAX_DEADLINE_S) - waited_s),
            cost_hint_ms=_parse_cost_hint_ms(cost_hint),
            is_repeat=headers.get(RETRY) == b"1",
        )


def normalize_path(message: Message) -> bytes:
    """Return the path of a request without its query.

    A target in absolute form (RFC 9112, section 3.2.2) is replaced in the message by its origin form.
    """
    scheme, separator, rest = message.target.partition(b"://")
    if separator and scheme.lower() in (b"http", b"https"):
        slash = rest.find(b"/")
        message.target = rest[slash:] if slash >= 0 else b"/"
    return message.target.partition(b"?")[0]


def is_api_path(path: bytes) -> bool:
    """Return whether requests with this path are forwarded."""
    return path == b"/api" or path.startswith(b"/api/")


def _check_method(message: Message, effect: Effect) -> None:
    """Raise MessageError unless method, idempotency key and body fit the effect of the request class.

    Whether a request may be retried depends on its effect.
    """
    keyed = IDEMPOTENCY_KEY in message.headers
    safe = effect is Effect.SAFE
    if (
        message.method != (b"GET" if safe else b"POST")
        or keyed != (effect is Effect.KEYED)
        or (safe and (message.body or message.upload is not None))
        or IDEMPOTENCY_KEY in message.repeated_headers
    ):
        raise MessageError(400, "method or key does not fit the class")


def _parse_cost_hint_ms(text: bytes | None) -> float | None:
    """Return a cost hint, or None for an invalid one: a bad hint is no reason to reject a request."""
    try:
        return None if text is None else _parse_number(text, "cost hint", MAX_COST_HINT_US) / 1000.0
    except MessageError:
        return None


def _parse_number(text: bytes, name: str, maximum: float) -> float:
    """Return a positive number; raise MessageError if the text is not one or exceeds the maximum."""
    try:
        # float() accepts underscores between digits, which are not valid in these headers.
        value = float(text) if b"_" not in text else -1.0
    except ValueError:
        value = -1.0
    if not 0.0 < value <= maximum or value == float("inf"):
        raise MessageError(400, f"bad {name}")
    return value
