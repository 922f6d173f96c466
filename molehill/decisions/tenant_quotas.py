"""Tenant quotas: a token bucket for each, at this relay's even part of its quota."""

from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

DEPTH = 2.0  # seconds of the quota, for clumps


class TenantQuotas:
    """Which callbacks are beyond the share of their tenant; such are worth less, and are not turned away for it."""

    def __init__(self, tenants: int) -> None:
        self.buckets = [
            [float("inf"), 0] for _ in range(tenants)
        ]  # tokens, and when they were counted

    def grow(self, tenants: int) -> None:
        """For new settings with that many tenants; those that were there keep their buckets."""
        missing = tenants - len(self.buckets)
        self.buckets += [[float("inf"), 0] for _ in range(missing)]

    def is_over(self, settings: Settings, tenant: int, now: int) -> bool:
        """Whether one more callback of that tenant is beyond its quota; takes a token where it is not."""
        quota = settings.tenants[tenant].quota if tenant < len(settings.tenants) else None
        if not quota:
            return False
        rate = quota / settings.relays
        bucket = self.buckets[tenant]
        tokens = bucket[0] + rate * (now - bucket[1]) / SECOND
        bucket[:] = (min(max(1.0, DEPTH * rate), tokens), now)
        if bucket[0] < 1.0:
            return True
        bucket[0] -= 1
        return False
