"""Quotas of tenants, enforced at the first tier."""

from __future__ import annotations

import math

from crowpost.decisions.context import Context
from crowpost.decisions.estimators import TokenBucket


class TenantQuotas:
    """Token buckets for this node's part of each tenant's quota."""

    def __init__(self, context: Context, node_count: int) -> None:
        self._context = context
        self._buckets = [TokenBucket(tenant.quota_per_s, math.inf) for tenant in context.settings.tenants]
        self.set_nodes(node_count)

    def set_nodes(self, node_count: int) -> None:
        """Split the quotas over this number of nodes."""
        for tenant, bucket in zip(self._context.settings.tenants, self._buckets, strict=True):
            bucket.per_s = tenant.quota_per_s / node_count

    def take(self, tenant: int) -> bool:
        """Count a request; return whether it is within its tenant's quota or the tenant has none."""
        is_known = not self._context.settings.tier and 0 <= tenant < len(self._buckets)
        return not is_known or self._buckets[tenant].take(self._context.now)
