"""Rate pacing: a token bucket at the rate that an endpoint tells or that was learnt from its refusals."""

from molehill.decisions.limiter import SECOND, Limiter

DEPTH = 0.3  # seconds of the rate that may go at once: a limiter has at least that depth
# a fifth of an even part with nothing left, five with all: even with half, a span's mean
SPREAD = 5.0
# calls a second, at least, likewise: where an even part is a call in a minute
SELDOM, OFTEN = 1 / 3, 2.0
MOST_HALVINGS = 6  # of SELDOM
# of the rate for a lone one where a call takes several: it waits thrice as long, no more
LONE = 1 / 3


def allowed_rate(limiter: Limiter, relays: int, fullness: float) -> float:
    """Calls a second; 0: without bound. `fullness`: what waits, as a share of what one call takes."""
    told, learnt = limiter.told_rate, limiter.learnt_rate
    if limiter.told_share is None:
        return min(learnt, told) if learnt and told else learnt or told
    part = told / relays
    # Danger: refused calls use the limit up, and what all wait for, tried again each few seconds, leaves nothing for anyone.
    # Each further bad round in a row halves how often, to the part's own least.
    seldom = SELDOM / 2 ** min(max(0, limiter.bad_rounds - 1), MOST_HALVINGS)
    low, high = max(part / SPREAD, seldom), max(part * SPREAD, OFTEN)
    rate = min(told, low * max(1.0, high / low) ** limiter.told_share)
    if part > SELDOM:  # else nothing gathers in time
        # Danger: small calls spend a limit counted in calls. One waits for more to go with it, unless much is left: half of it
        # is a span's mean where all is used. Keys' lines go one by one, never full.
        rate *= min(1.0, max(LONE, fullness, 2.0 * limiter.told_share - 1.0))
    return rate


def wait_for_credit(limiter: Limiter, rate: float, now: int) -> int:
    """Fills the bucket up to now; how many nanoseconds till it allows a call, 0 where it does."""
    if not rate:
        limiter.credit, limiter.credit_at = 1.0, now
        return 0
    credit = limiter.credit + rate * (now - limiter.credit_at) / SECOND
    limiter.credit, limiter.credit_at = min(max(1.0, rate * DEPTH), credit), now
    if limiter.credit >= 1.0:
        return 0
    return int((1.0 - limiter.credit) / rate * SECOND) + 1
