"""Slow start: the call rate of a returning endpoint, and the backoff of a failing one."""

from math import sqrt

from molehill.decisions.endpoint import SLOW_START, Destination, Endpoint
from molehill.decisions.limiter import SECOND
from molehill.interface import Settings

# Relays that saw no failure call a returning host too, so those that saw one may send two thirds of
# the calls.
CAPACITY_OVER_DEMAND = 1.7
REFUSAL_BACKOFF = SECOND * 3 // 10  # without a Retry-After; 1 s leaves much of a low limit unused
# factor with each consecutive bad round; doubling still overloaded returning destinations
BACKOFF_GROWTH = 4
MAX_BACKOFF_ROUNDS = 4


def call_interval(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int
) -> int:
    """Rule 4: returns the nanoseconds between two calls to an ejected or returning endpoint.

    Its capacity is about the demand for it, and a relay's fair share of that is the demand at this
    relay, or an even share of an advertised rate. The capacity is no higher while other endpoints
    of the destination are missing, so each endpoint counts for its share of the usual list.
    """
    slow_start_time = settings.slow_start_time
    cold_share = settings.cold_capacity_share or 1.0  # not set: never cold
    warm_share = 0.0
    is_warming = bool(slow_start_time and endpoint.state is SLOW_START)
    if slow_start_time and is_warming:
        warm_share = min(1.0, (now - endpoint.state_since) / slow_start_time)
    limiter = endpoint.limiter
    usual_count = _usual_count(destination)
    sharing_count = usual_count if limiter is destination.limiter else 1
    advertised_rate = limiter.advertised_rate / settings.relay_count / sharing_count
    capacity = max(
        CAPACITY_OVER_DEMAND * destination.callback_rate(now) / usual_count, advertised_rate
    )
    warm_rate = capacity * (settings.overload_multiple or 1.0)
    rate = warm_rate * (cold_share + (1.0 - cold_share) * warm_share)
    longest_interval = slow_start_time or SECOND
    if not slow_start_time or not is_warming or warm_share >= 1.0:
        return int(min(SECOND / rate, longest_interval))
    growth = warm_rate * (1.0 - cold_share) * SECOND / slow_start_time
    return int(min(_time_of_one_call(rate, growth) * SECOND, longest_interval))


def _time_of_one_call(rate: float, growth: float) -> float:
    """Returns the seconds in which a growing rate allows one call.

    `rate`: calls a second at first; `growth`: by how much it increases in a second. With the first
    rate alone, a seldom called endpoint would wait for most of its slow start.
    """
    return 2.0 / (rate + sqrt(rate * rate + 2.0 * growth))


def route_call_interval(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int
) -> int:
    """Returns the nanoseconds between two calls to the endpoint's route, all its hosts together."""
    interval = call_interval(settings, endpoint, destination, now)
    is_shared = endpoint.limiter is destination.limiter
    return interval // _usual_count(destination) if is_shared else interval


def _usual_count(destination: Destination) -> int:
    return max(1, destination.usual_endpoint_count, len(destination.endpoints))


def backoff(
    settings: Settings, endpoint: Endpoint, destination: Destination, now: int, random: float
) -> int:
    """Returns the backoff of a failing endpoint in nanoseconds; `random` is a number from 0 to 1.

    Many relays with few callbacks each would retry an overloaded destination often, or all at the
    end of a Retry-After, and overload it again as it returns. So each waits half to one and a half
    times the span, which grows with each round.
    """
    longest_backoff = call_interval(settings, endpoint, destination, now)
    # an advertised limit explains one refusal
    explained_rounds = 2 if endpoint.limiter.advertised_rate else 1
    rounds = min(endpoint.limiter.bad_rounds - explained_rounds, MAX_BACKOFF_ROUNDS)
    span = REFUSAL_BACKOFF
    if rounds >= 0:
        first_backoff = max(
            REFUSAL_BACKOFF, min(SECOND / destination.callback_rate(now), longest_backoff)
        )
        span = min(first_backoff * BACKOFF_GROWTH**rounds, longest_backoff)
    return int(span * (0.5 + random))
