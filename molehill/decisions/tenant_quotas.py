"""Tenant quotas: a token bucket for each, at this relay's even part of its quota."""

from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

BURST_SECONDS = 2.0  # seconds of the quota, for clumps


class TenantQuotas:
    """Which callbacks are beyond the share of their tenant; such are worth less, and are not turned away for it."""

    def __init__(self, tenant_count: int) -> None:
        self.buckets = [
            [float("inf"), 0] for _ in range(tenant_count)
        ]  # tokens, and when they were counted

    def add_buckets(self, tenant_count: int) -> None:
        """For new settings with that many tenants; those that were there keep their buckets."""
        missing = tenant_count - len(self.buckets)
        self.buckets += [[float("inf"), 0] for _ in range(missing)]

    def is_over_quota(self, settings: Settings, tenant: int, now: int) -> bool:
        """Whether one more callback of that tenant is beyond its quota; takes a token where it is not."""
        quota = settings.tenants[tenant].quota if tenant < len(settings.tenants) else None
        if not quota:
            return False
        rate = quota / settings.relay_count
        bucket = self.buckets[tenant]
        tokens = bucket[0] + rate * (now - bucket[1]) / SECOND
        bucket[:] = (min(max(1.0, BURST_SECONDS * rate), tokens), now)
        if bucket[0] < 1.0:
            return True
        bucket[0] -= 1
        return False
