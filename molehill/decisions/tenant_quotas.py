"""Tenant quotas: a token bucket for each tenant, at this relay's even share of its quota."""

from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

BURST_SECONDS = 2.0  # seconds of the quota; allows bursts


class TenantQuotas:
    """Finds callbacks beyond their tenant's quota; they have less value but are not rejected."""

    def __init__(self, tenant_count: int) -> None:
        # tokens, and when they were counted
        self.buckets = [[float("inf"), 0] for _ in range(tenant_count)]

    def add_buckets(self, tenant_count: int) -> None:
        """Adds buckets for new settings with that many tenants; existing tenants keep theirs."""
        missing_count = tenant_count - len(self.buckets)
        self.buckets += [[float("inf"), 0] for _ in range(missing_count)]

    def is_over_quota(self, settings: Settings, tenant: int, now: int) -> bool:
        """Whether another callback exceeds that tenant's quota; takes a token if it does not."""
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
