"""What the nodes of a scenario are told at their start, the same in simulated time and on sockets."""

from __future__ import annotations

from crowpost.interface import Effect, RepeatGroup, RequestClass, Settings, Tenant
from crowpost.lab.scenario import REPORT_COLUMNS, Scenario


def request_classes(scenario: Scenario) -> tuple[RequestClass, ...]:
    """The classes as the module knows them."""
    return tuple(
        RequestClass(
            c.name,
            c.aim_ms,
            c.deadline_ms,
            c.worth,
            0.0,
            Effect(c.effect),
            RepeatGroup(c.group),
            c.window_ms if c.effect == "keyed" else 0.0,
        )
        for c in scenario.classes
    )


def node_settings(scenario: Scenario, stage: int, ordinal: int, zone: int) -> Settings:
    """The settings of a node that sends into the tier `stage`."""
    limits, kinds = scenario.limits, scenario.tiers[stage].kinds
    wished = sum(t.share for t in scenario.tenants)
    return Settings(
        classes=request_classes(scenario),
        tenants=tuple(Tenant(t.name, t.share / wished, t.quota_per_s) for t in scenario.tenants),
        balancers=scenario.nodes if stage == 0 else scenario.tiers[stage - 1].servers,
        ordinal=ordinal,
        stage=stage,
        stages=len(scenario.tiers),
        zone=zone,
        zones=scenario.network.zones,
        max_attempts=limits.max_attempts,
        may_duplicate=limits.second_copies,
        may_cancel=limits.cancel,
        may_probe=limits.probes,
        retry_after=limits.retry_after,
        max_retry_after_ms=limits.max_retry_after_ms,
        worth_by_work=True,
        over_share_worth=min((t.over_quota_worth for t in scenario.tenants), default=1.0),
        answer_slack_ms=limits.answer_slack_ms,
        drain_grace_ms=limits.drain_grace_ms,
        cold_start_share=min(k.cold_from for k in kinds),
        cold_ms=max(k.cold_ms for k in kinds),
        fall_multiple=limits.fall_multiple,
        fall_window_ms=limits.fall_window_ms,
        connect_timeout_ms=scenario.network.connect_timeout_ms,
        load_columns=REPORT_COLUMNS,
    )
