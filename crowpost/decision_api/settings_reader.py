"""Read the settings of an instance from pairs of path and value.

The simulator's protocol and a real node's configuration hold the same object, so one reader serves both.
"""

from __future__ import annotations

from collections.abc import Mapping

from crowpost.decision_api.errors import SettingsError
from crowpost.decision_api.settings import (
    MIN_DURATION_MS,
    Effect,
    IdempotencyScope,
    RequestClass,
    Settings,
    Tenant,
)


class _SettingsTable:
    """Typed and checked look-ups in pairs of path and value."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def text(self, key: str, default: str | None = None) -> str:
        """Return the text of a key; raise SettingsError if it is missing and has no default."""
        value = self.values.get(key, default)
        if value is None:
            raise SettingsError(key, "is missing")
        return value

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        """Return a finite number of at least `low`; raise SettingsError otherwise."""
        raw = self.values.get(key, "")
        if raw == "":
            if default is None:
                raise SettingsError(key, "is missing")
            return default
        try:
            value = float(raw)
        except ValueError as error:
            raise SettingsError(key, f"is not a number: {raw!r}") from error
        if not low <= value < float("inf"):
            raise SettingsError(key, f"is out of range: {raw}")
        return value

    def integer(self, key: str, default: int | None = None, low: int = 0) -> int:
        """Return a whole number of at least `low`; raise SettingsError otherwise."""
        value = self.number(key, default, low)
        if value != int(value):
            raise SettingsError(key, f"is not a whole number: {value}")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return whether a key is true; raise SettingsError if it is neither true nor false."""
        raw = self.values.get(key, "")
        if raw == "":
            return default
        if raw not in ("true", "false"):
            raise SettingsError(key, f"is neither true nor false: {raw!r}")
        return raw == "true"

    def names(self, key: str) -> tuple[str, ...]:
        """Return the names in a comma-separated value."""
        raw = self.values.get(key, "")
        return tuple(raw.split(",")) if raw else ()


def _effect(table: _SettingsTable, key: str) -> Effect:
    raw = table.text(key)
    try:
        return Effect(raw)
    except ValueError as error:
        raise SettingsError(key, f"is an unknown effect: {raw!r}") from error


def _idempotency_scope(table: _SettingsTable, key: str) -> IdempotencyScope:
    raw = table.text(key, "all")
    try:
        return IdempotencyScope(raw)
    except ValueError as error:
        raise SettingsError(key, f"is an unknown group: {raw!r}") from error


def _request_class(table: _SettingsTable, path: str) -> RequestClass:
    effect = _effect(table, f"{path}.effect")
    keyed = effect is Effect.KEYED
    return RequestClass(
        name=table.text(f"{path}.name", ""),
        latency_objective_ms=table.number(f"{path}.aimMs", low=MIN_DURATION_MS),
        deadline_ms=table.number(f"{path}.deadlineMs", low=MIN_DURATION_MS),
        priority_weight=table.number(f"{path}.worth", 1.0),
        late_value_fraction=table.number(f"{path}.lateShare", 0.0),
        effect=effect,
        idempotency_scope=_idempotency_scope(table, f"{path}.group"),
        idempotency_window_ms=table.number(f"{path}.windowMs", None if keyed else 0.0),
        stream=table.flag(f"{path}.stream", False),
        objective_stretch=table.number(f"{path}.aimStretch", 0.0),
    )


def _tenant(table: _SettingsTable, path: str) -> Tenant:
    return Tenant(
        name=table.text(f"{path}.name", ""),
        fraction=table.number(f"{path}.fraction"),
        quota_per_s=table.number(f"{path}.quotaPerS", 0.0),
    )


def read_settings(values: Mapping[str, str]) -> Settings:
    """Return the settings in pairs of path and value; raise SettingsError, with the key, if one is wrong.

    Unknown keys are ignored.
    """
    table = _SettingsTable(values)
    count = table.integer("profiles.count")
    if count < 1:
        raise SettingsError("profiles.count", "must be at least 1")
    classes = tuple(_request_class(table, f"profiles.{i}") for i in range(count))
    return Settings(
        classes=classes,
        tenants=tuple(_tenant(table, f"tenants.{i}") for i in range(table.integer("tenants.count", 0))),
        node_count=table.integer("balancers", 1, 1),
        node_index=table.integer("ordinal", 0),
        tier=table.integer("stage", 0),
        tiers=max(1, len(table.names("layers"))),
        zone=table.integer("locality", 0),
        zones=max(1, len(table.names("azs"))),
        max_attempts=table.integer("policyLimits.tryLimit", 1, 1),
        may_hedge=table.flag("policyLimits.mayDuplicate", False),
        may_cancel=table.flag("policyLimits.cancel", False),
        may_check_health=table.flag("policyLimits.probes", False),
        retry_after=table.flag("policyLimits.retryAfter", False),
        max_retry_after_ms=table.number("policyLimits.maxRetryAfterMs", 0.0),
        priority_by_work=table.text("worthBy", "request") == "work",
        over_quota_weight=table.number("overShareWorth", 1.0),
        poll_for_list=table.text("registryMode", "pushed") == "on_request",
        list_poll_ms=table.number("guarantees.mustAskInMs", 10_000.0, 1.0),
        capacity_hints=table.text("weights", "off") != "off",
        passes_deadline=table.flag("familyInfo.passesDeadline", True),
        answer_slack_ms=table.number("guarantees.answerSlackMs", 0.0),
        drain_grace_ms=table.number("guarantees.stopSendingWithinMs", 0.0),
        slow_start_fraction=table.number("guarantees.startCapacity", 0.3),
        warm_up_ms=table.number("guarantees.coldMs", 0.0),
        overload_factor=table.number("guarantees.fallMultiple", 3.0),
        overload_window_ms=table.number("guarantees.overloadForMs", 1000.0),
        connect_timeout_ms=table.number("policyLimits.connectTimeoutMs", 250.0),
        tick_ms=table.number("tickMs", 1.0),
        cross_zone_price=table.number("tariffs.crossZone", 0.0),
        load_report_columns=table.names("loadInfo.columns"),
    )
