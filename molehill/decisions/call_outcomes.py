"""What the outcome of a call tells about the host that was called."""

from molehill import interface
from molehill.decisions import slow_start
from molehill.decisions.endpoint import Call
from molehill.decisions.limiter import SECOND, TIMEOUT_DEVIATIONS
from molehill.interface import Result

# A timeout that is noticed later than this says nothing about a route: the relay itself stood still,
# and an answer may have come in time.
LATE_TIMEOUT = SECOND // 10


def is_caused_by_host(call: Call, result: Result) -> bool:
    """Whether the outcome tells anything about the host."""
    is_local = result in (Result.NOT_SENT, Result.CANCELLED)
    return not is_local and not is_idle_reset(call, result)


def is_idle_reset(call: Call, result: Result) -> bool:
    """Whether a connection that had been idle broke, perhaps without the host's doing."""
    return result is Result.RESET and call.idle_time > 0


def answer_was_due(call: Call, event: interface.Outcome) -> bool:
    """Whether a call that timed out would have been answered, had the host been well.

    A callback's deadline cuts a timeout short, perhaps before an answer could be expected.
    """
    limiter, expected_within = call.endpoint.limiter, slow_start.REFUSAL_BACKOFF
    if limiter.latency:
        expected_within = limiter.latency + TIMEOUT_DEVIATIONS * limiter.deviation
    return event.duration >= min(call.timeout, expected_within)


def was_noticed_late(call: Call, event: interface.Outcome) -> bool:
    """Whether the relay noticed a timeout so late that the answer may have come in time."""
    return event.duration > call.time_limit + LATE_TIMEOUT
