"""The bootstrap settings of a scenario's nodes, the same in simulated time and on sockets."""

from __future__ import annotations

from crowpost.decision_api import Effect, IdempotencyScope, RequestClass, Settings, Tenant
from crowpost.lab.scenario import REPORT_COLUMNS, Scenario


def request_classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """Return the request classes as the decision module defines them."""
    return tuple(
        RequestClass(
            request_class.name,
            request_class.latency_objective_ms,
            request_class.deadline_ms,
            request_class.priority_weight,
            0.0,
            Effect(request_class.effect),
            IdempotencyScope(request_class.group),
            request_class.idempotency_window_ms if request_class.effect == "keyed" else 0.0,
        )
        for request_class in scenario.classes
    )


def node_settings(scenario: Scenario, stage: int, node_index: int, zone: int) -> Settings:
    """Return the settings of a node that sends to the tier of index `stage`."""
    limits, kinds = scenario.limits, scenario.tiers[stage].kinds
    total_share = sum(tenant.share for tenant in scenario.tenants)
    return Settings(
        classes=request_classes(scenario),
        tenants=tuple(
            Tenant(tenant.name, tenant.share / total_share, tenant.quota_per_s) for tenant in scenario.tenants
        ),
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
        over_quota_weight=min((tenant.over_quota_worth for tenant in scenario.tenants), default=1.0),
        answer_slack_ms=limits.answer_slack_ms,
        drain_grace_ms=limits.drain_grace_ms,
        slow_start_fraction=min(kind.cold_from for kind in kinds),
        warm_up_ms=max(kind.warm_up_ms for kind in kinds),
        overload_factor=limits.overload_factor,
        overload_window_ms=limits.overload_window_ms,
        connect_timeout_ms=scenario.network.connect_timeout_ms,
        load_report_columns=REPORT_COLUMNS,
    )
