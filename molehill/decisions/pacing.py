"""Rate pacing: a token bucket at the rate that an endpoint tells or that was learnt from its refusals."""

from molehill.decisions.limiter import SECOND, Limiter

BURST_SECONDS = 0.3  # seconds of the rate that may go at once: a limiter has at least that depth
# a fifth of an even part with nothing left, five with all: even with half, a span's mean
RATE_SPREAD = 5.0
# calls a second, at least, likewise: where an even part is a call in a minute
LOW_RATE_FLOOR, HIGH_RATE_FLOOR = 1 / 3, 2.0
MAX_FLOOR_HALVINGS = 6  # of LOW_RATE_FLOOR
# of the rate for a lone one where a call takes several: it waits thrice as long, no more
SMALL_CALL_SHARE = 1 / 3


def allowed_rate(limiter: Limiter, relay_count: int, call_fill: float) -> float:
    """Calls a second; 0: without bound. `call_fill`: what waits, as a share of what one call takes."""
    advertised, learned = limiter.advertised_rate, limiter.learned_rate
    if limiter.advertised_share_left is None:
        return min(learned, advertised) if learned and advertised else learned or advertised
    even_share = advertised / relay_count
    # Danger: refused calls use the limit up, and what all wait for, tried again each few seconds, leaves nothing for anyone.
    # Each further bad round in a row halves how often, to the part's own least.
    low_floor = LOW_RATE_FLOOR / 2 ** min(max(0, limiter.bad_rounds - 1), MAX_FLOOR_HALVINGS)
    low_rate, high_rate = (
        max(even_share / RATE_SPREAD, low_floor),
        max(even_share * RATE_SPREAD, HIGH_RATE_FLOOR),
    )
    rate = min(
        advertised, low_rate * max(1.0, high_rate / low_rate) ** limiter.advertised_share_left
    )
    if even_share > LOW_RATE_FLOOR:  # else nothing gathers in time
        # Danger: small calls spend a limit counted in calls. One waits for more to go with it, unless much is left: half of it
        # is a span's mean where all is used. Keys' lines go one by one, never full.
        rate *= min(
            1.0, max(SMALL_CALL_SHARE, call_fill, 2.0 * limiter.advertised_share_left - 1.0)
        )
    return rate


def delay_until_credit(limiter: Limiter, rate: float, now: int) -> int:
    """Fills the bucket up to now; how many nanoseconds till it allows a call, 0 where it does."""
    if not rate:
        limiter.credit, limiter.credit_updated_at = 1.0, now
        return 0
    credit = limiter.credit + rate * (now - limiter.credit_updated_at) / SECOND
    limiter.credit, limiter.credit_updated_at = min(max(1.0, rate * BURST_SECONDS), credit), now
    if limiter.credit >= 1.0:
        return 0
    return int((1.0 - limiter.credit) / rate * SECOND) + 1
