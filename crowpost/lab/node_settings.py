"""The bootstrap settings of a scenario's nodes, the same in simulated time and on sockets."""

from __future__ import annotations

from crowpost.decision_api import Effect, IdempotencyScope, RequestClass, Settings, Tenant
from crowpost.lab.scenario import REPORT_COLUMNS, Scenario


def request_classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """The classes as the module knows them."""
    return tuple(
        RequestClass(
            c.name,
            c.latency_objective_ms,
            c.deadline_ms,
            c.priority_weight,
            0.0,
            Effect(c.effect),
            IdempotencyScope(c.group),
            c.idempotency_window_ms if c.effect == "keyed" else 0.0,
        )
        for c in scenario.classes
    )


def node_settings(scenario: Scenario, stage: int, node_index: int, zone: int) -> Settings:
    """The settings of a node that sends into the tier `stage`."""
    limits, kinds = scenario.limits, scenario.tiers[stage].kinds
    wished = sum(t.share for t in scenario.tenants)
    return Settings(
        classes=request_classes(scenario),
        tenants=tuple(Tenant(t.name, t.share / wished, t.quota_per_s) for t in scenario.tenants),
        node_count=scenario.nodes if stage == 0 else scenario.tiers[stage - 1].servers,
        node_index=node_index,
        tier=stage,
        tiers=len(scenario.tiers),
        zone=zone,
        zones=scenario.network.zones,
        max_attempts=limits.max_attempts,
        may_hedge=limits.second_copies,
        may_cancel=limits.cancel,
        may_check_health=limits.probes,
        retry_after=limits.retry_after,
        max_retry_after_ms=limits.max_retry_after_ms,
        priority_by_work=True,
        over_quota_weight=min((t.over_quota_worth for t in scenario.tenants), default=1.0),
        answer_slack_ms=limits.answer_slack_ms,
        drain_grace_ms=limits.drain_grace_ms,
        slow_start_fraction=min(k.cold_from for k in kinds),
        warm_up_ms=max(k.warm_up_ms for k in kinds),
        overload_factor=limits.overload_factor,
        overload_window_ms=limits.overload_window_ms,
        connect_timeout_ms=scenario.network.connect_timeout_ms,
        load_report_columns=REPORT_COLUMNS,
    )
