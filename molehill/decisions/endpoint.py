"""State of an endpoint, of its destination, and of a call in flight.

Times are in nanoseconds of the relay's clock.
"""

from molehill import interface
from molehill.decisions.limiter import SECOND, Limiter

# HEALTHY: limited by the window alone. EJECTED: gets one probe at a time. SLOW_START: answers again
# and is limited by the rate of slow start. The values are written to the log and handed over.
HEALTHY, EJECTED, SLOW_START = "open", "closed", "ramp"

CALLBACK_RATE_SPAN = 60 * SECOND  # over a minute, bursts average out
MIN_CALLBACK_RATE_SPAN = 10 * SECOND  # a younger destination counts as this old


class Endpoint:
    """One host of the list, with what this relay measured of it."""

    __slots__ = (
        "id",
        "zone",
        "callbacks_per_call",
        "destination",
        "is_serving",
        "limiter",
        "state",
        "calls_in_flight",
        "failure_share",
        "next_call_at",
        "state_since",
        "idle_since",
        "kind",
        "failures_since_success",
        "failing_since",
    )

    # handed over to the next process: key in the row -> attribute
    HANDED_OVER = {
        "h_state": "state",
        "h_bad": "failure_share",
        "h_next": "next_call_at",
        "h_since": "state_since",
        "h_free": "idle_since",
        "h_fails": "failures_since_success",
        "h_failing": "failing_since",
    }

    def __init__(
        self,
        entry: interface.HostEntry,
        callbacks_per_call: int,
        kind: int,
        limiter: Limiter,
        state: str,
        now: int,
    ) -> None:
        self.id = entry.host
        self.zone = entry.zone
        self.destination = entry.destination  # its number
        self.kind = kind
        self.callbacks_per_call = callbacks_per_call  # at most, in one call
        self.limiter = limiter  # its own, or shared by its destination
        self.is_serving = False  # listed as serving
        self.state, self.state_since = state, now
        self.calls_in_flight = 0
        self.failure_share = 0.0  # share of its calls that failed, smoothed
        self.next_call_at = 0  # no call is allowed before this time
        self.idle_since = 0  # since when a connection to it is idle; 0: none
        # failed calls since its last successful answer, and when the first of them was sent
        self.failures_since_success, self.failing_since = 0, 0

    def handover_row(self) -> dict:
        """Returns the learned state for the next process of this relay."""
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def restore_row(self, row: dict) -> None:
        """Restores the learned state of an earlier process; an unknown state is read as ejected."""
        for key, name in self.HANDED_OVER.items():
            setattr(self, name, row[key])
        self.state = next(
            (state for state in (HEALTHY, SLOW_START) if state == self.state), EJECTED
        )

    def count_failure(self, sent_at: int) -> None:
        """Counts a failed call that was sent at that time."""
        if not self.failures_since_success:
            self.failing_since = sent_at
        self.failures_since_success += 1

    def idle_time(self, now: int, max_idle: int) -> int:
        """Returns how long its connection has been idle.

        0: it has none, because idle connections are closed after `max_idle`.
        """
        span = now - self.idle_since
        return span if span < max_idle else 0


class Call:
    """A call in flight, with one or several callbacks."""

    __slots__ = (
        "endpoint",
        "pending_callbacks",
        "sent_at",
        "outcome_counted",
        "timeout",
        "time_limit",
        "idle_time",
    )

    def __init__(self, endpoint: Endpoint, sent_at: int, timeout: int, idle_time: int = 0) -> None:
        self.endpoint = endpoint
        self.pending_callbacks = 0  # without an outcome yet
        self.sent_at, self.timeout = sent_at, timeout
        self.time_limit = timeout  # its timeout, or less if a callback's deadline cuts it
        self.outcome_counted = False  # for the endpoint's health
        # how long its connection had been idle before it; 0: a new connection
        self.idle_time = idle_time


class Destination:
    """A group of endpoints, each of which can take the callbacks for this destination."""

    def __init__(self, now: int) -> None:
        self.endpoints: list[Endpoint] = []  # listed as serving
        self.queues: dict = {}  # heaps of queued callbacks, by group of interchangeable ones
        self.limiter = Limiter(now)
        self.calls_in_flight = 0
        self.waiting_count = 0  # callbacks without a call in flight
        self.is_degraded = False  # its last answer was slow or a failure
        self.recent_callbacks, self.recent_callbacks_since = 0.0, now
        self.known_endpoint_count = 0  # listed or not
        self.usual_endpoint_count = 0  # most endpoints that recently were serving at once

    def count_callback(self, now: int) -> None:
        """Counts a callback that arrived for this destination."""
        if now - self.recent_callbacks_since > CALLBACK_RATE_SPAN:
            self.recent_callbacks /= 2
            self.recent_callbacks_since = now - CALLBACK_RATE_SPAN // 2
        self.recent_callbacks += 1

    def callback_rate(self, now: int) -> float:
        """Returns this relay's callbacks a second for this destination."""
        span = max(now - self.recent_callbacks_since, MIN_CALLBACK_RATE_SPAN)
        return max(1.0, self.recent_callbacks) * SECOND / span
