"""Rate pacing: a token bucket at the rate that a host advertises or that refusals showed."""

from molehill.decisions.limiter import SECOND, Limiter

BURST_SECONDS = 0.3  # seconds of the rate, sent at once; limits allow at least such a burst
# 1/5 of an even share with nothing left of the limit, 5 with all of it left; with half left, which
# is the mean over a span, the rate is the even share
RATE_SPREAD = 5.0
# calls a second, the least with nothing and with all left, where an even share is a call a minute
LOW_RATE_FLOOR, HIGH_RATE_FLOOR = 1 / 3, 2.0
MAX_FLOOR_HALVINGS = 6  # of LOW_RATE_FLOOR
# of the rate, for one callback where a call takes several: it waits three times as long, no more
SMALL_CALL_SHARE = 1 / 3


def allowed_rate(limiter: Limiter, relay_count: int, call_fill: float) -> float:
    """Returns calls a second; 0: no limit.

    `call_fill`: number of waiting callbacks, as a share of those that fit in one call.
    """
    advertised, learned = limiter.advertised_rate, limiter.learned_rate
    if limiter.advertised_share_left is None:
        return min(learned, advertised) if learned and advertised else learned or advertised
    even_share = advertised / relay_count
    # Refused calls use up the limit: while all relays wait for it, retries every few seconds leave
    # nothing for any of them. Each further consecutive bad round halves this floor, down to the
    # least rate for an even share.
    low_floor = LOW_RATE_FLOOR / 2 ** min(max(0, limiter.bad_rounds - 1), MAX_FLOOR_HALVINGS)
    low_rate, high_rate = (
        max(even_share / RATE_SPREAD, low_floor),
        max(even_share * RATE_SPREAD, HIGH_RATE_FLOOR),
    )
    rate = min(
        advertised, low_rate * max(1.0, high_rate / low_rate) ** limiter.advertised_share_left
    )
    if even_share > LOW_RATE_FLOOR:  # else no others arrive in time
        # Small calls use up a limit that counts calls. So a callback waits for more to be sent with
        # it, unless much of the limit is left: half is the mean over a span in which all of it is
        # used. The wait is bounded, as callbacks of one key are sent one by one and never fill a
        # call.
        rate *= min(
            1.0, max(SMALL_CALL_SHARE, call_fill, 2.0 * limiter.advertised_share_left - 1.0)
        )
    return rate


def delay_until_credit(limiter: Limiter, rate: float, now: int) -> int:
    """Fills the bucket up to now; returns the nanoseconds until it allows a call, or 0."""
    if not rate:
        limiter.credit, limiter.credit_updated_at = 1.0, now
        return 0
    credit = limiter.credit + rate * (now - limiter.credit_updated_at) / SECOND
    limiter.credit, limiter.credit_updated_at = min(max(1.0, rate * BURST_SECONDS), credit), now
    if limiter.credit >= 1.0:
        return 0
    return int((1.0 - limiter.credit) / rate * SECOND) + 1
