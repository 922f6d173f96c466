"""Slow start: how often an endpoint that was away is called while it warms up, and how long a failing one rests."""

from molehill.decisions.endpoint import SLOW_START, Destination, Endpoint
from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

CAPACITY_OVER_DEMAND = (
    1.7  # relays that saw no failure bring calls too: those that did may bring two thirds
)
REFUSAL_BACKOFF = (
    SECOND * 3 // 10
)  # where a refusal tells no wait; 1 s idles much of a small allowance
BACKOFF_GROWTH = (
    4  # of the rest with each bad round in a row; doubling still pushed returning destinations over
)
MAX_BACKOFF_ROUNDS = 4


def call_interval(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int
) -> int:
    """Rule 4: the span between two calls to an endpoint that was away, in nanoseconds.

    What it can do is about what is asked of it, and a relay's fair part is what that relay is asked for, or an even part of a
    told rate. Danger: it can do no more for its siblings being away, so each endpoint counts for its part of a usual list.
    """
    slow_start_time = settings.slow_start_time
    cold_share = settings.cold_capacity_share or 1.0  # no such rule: as warm as ever
    warm_share = 0.0
    if slow_start_time and endpoint.state is SLOW_START:
        warm_share = (now - endpoint.state_since) / slow_start_time
    limiter = endpoint.limiter
    usual_count = max(1, destination.usual_endpoint_count, len(destination.endpoints))
    sharing_count = usual_count if limiter is destination.limiter else 1
    advertised_rate = limiter.advertised_rate / settings.relay_count / sharing_count
    capacity = max(
        CAPACITY_OVER_DEMAND * destination.callback_rate(now) / usual_count, advertised_rate
    )
    allowed_rate = capacity * (settings.overload_multiple or 1.0)
    rate = allowed_rate * (cold_share + (1.0 - cold_share) * min(1.0, warm_share))
    return int(min(SECOND / rate, slow_start_time or SECOND))


def backoff(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int, random: float
) -> int:
    """How long a failing endpoint rests, in nanoseconds; `random`: a number drawn from 0 to 1.

    Danger: many relays with few callbacks each try a strained destination often, or all at the end of a told wait, and push it
    over as it returns. Each rests half its time between two, longer each round.
    """
    longest_backoff = call_interval(settings, endpoint, destination, now)
    explained_rounds = (
        2 if endpoint.limiter.advertised_rate else 1
    )  # a told limit explains one refusal
    rounds = min(endpoint.limiter.bad_rounds - explained_rounds, MAX_BACKOFF_ROUNDS)
    span = REFUSAL_BACKOFF
    if rounds >= 0:
        first_backoff = max(
            REFUSAL_BACKOFF, min(SECOND / destination.callback_rate(now), longest_backoff)
        )
        span = min(first_backoff * BACKOFF_GROWTH**rounds, longest_backoff)
    return int(span * (0.5 + random))
