"""Slow start: how often an endpoint that was away is called while it warms up, and how long a failing one rests."""

from molehill.decisions.endpoint import SLOW_START, Destination, Endpoint
from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

BUDGET = 1.7  # relays that saw no failure bring calls too: those that did may bring two thirds
REFUSED_PAUSE = (
    SECOND * 3 // 10
)  # where a refusal tells no wait; 1 s idles much of a small allowance
REST_GROWTH = (
    4  # of the rest with each bad round in a row; doubling still pushed returning destinations over
)
MOST_REST_ROUNDS = 4


def call_gap(settings: Settings, endpoint: Endpoint, destination: Destination, now: int) -> int:
    """Rule 4: the span between two calls to an endpoint that was away, in nanoseconds.

    What it can do is about what is asked of it, and a relay's fair part is what that relay is asked for, or an even part of a
    told rate. Danger: it can do no more for its siblings being away, so each endpoint counts for its part of a usual list.
    """
    ramp_time = settings.ramp_time
    cold = settings.cold_from or 1.0  # no such rule: as warm as ever
    warm = 0.0
    if ramp_time and endpoint.state is SLOW_START:
        warm = (now - endpoint.state_since) / ramp_time
    limiter = endpoint.limiter
    usual = max(1, destination.usual, len(destination.endpoints))
    sharing = usual if limiter is destination.limiter else 1
    told = limiter.told_rate / settings.relays / sharing
    capacity = max(BUDGET * destination.request_rate(now) / usual, told)
    allowed = capacity * (settings.fall_multiple or 1.0)
    rate = allowed * (cold + (1.0 - cold) * min(1.0, warm))
    return int(min(SECOND / rate, ramp_time or SECOND))


def rest(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int, random: float
) -> int:
    """How long a failing endpoint rests, in nanoseconds; `random`: a number drawn from 0 to 1.

    Danger: many relays with few callbacks each try a strained destination often, or all at the end of a told wait, and push it
    over as it returns. Each rests half its time between two, longer each round.
    """
    longest = call_gap(settings, endpoint, destination, now)
    explained = 2 if endpoint.limiter.told_rate else 1  # a told limit explains one refusal
    rounds = min(endpoint.limiter.bad_rounds - explained, MOST_REST_ROUNDS)
    span = REFUSED_PAUSE
    if rounds >= 0:
        first = max(REFUSED_PAUSE, min(SECOND / destination.request_rate(now), longest))
        span = min(first * REST_GROWTH**rounds, longest)
    return int(span * (0.5 + random))
