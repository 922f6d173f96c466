"""What is kept of an endpoint, of its destination, and of a call that is out. Times are nanoseconds of the relay's clock."""

from molehill import interface
from molehill.decisions.limiter import SECOND, Limiter

# HEALTHY: fed by the window alone; EJECTED: ejected, one trial at a time; SLOW_START: back, fed under the budget of slow start.
# The values are those of the log's and the hand-over's rows.
HEALTHY, EJECTED, SLOW_START = "open", "closed", "ramp"

CALLBACK_RATE_SPAN = 60 * SECOND  # a minute of traffic outweighs its clumps
MIN_CALLBACK_RATE_SPAN = 10 * SECOND  # a new destination is taken as that old


class Endpoint:
    """One host of the list, as this relay knows it."""

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

    # what is handed over to the next process: the row's key -> the field
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
        self.callbacks_per_call = callbacks_per_call  # callbacks that one call takes at most
        self.limiter = limiter  # its own, or its destination's
        self.is_serving = False  # listed as serving
        self.state, self.state_since = state, now
        self.calls_in_flight = 0
        self.failure_share = 0.0  # of its calls, smoothed
        self.next_call_at = 0  # none before
        self.idle_since = 0  # since when a connection to it is idle; 0: none is
        # failed calls since its last good answer, and when the first of them was sent
        self.failures_since_success, self.failing_since = 0, 0

    def handover_row(self) -> dict:
        """What was measured, for the next process of this relay."""
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def restore_row(self, row: dict) -> None:
        """What an earlier process measured."""
        for key, name in self.HANDED_OVER.items():
            setattr(self, name, row[key])
        self.state = next(
            (state for state in (HEALTHY, SLOW_START) if state == self.state), EJECTED
        )

    def count_failure(self, sent_at: int) -> None:
        """A call sent at that time failed."""
        if not self.failures_since_success:
            self.failing_since = sent_at
        self.failures_since_success += 1

    def idle_time(self, now: int, max_idle: int) -> int:
        """How long its idle connection has been so; 0 where there is none, as such are closed after `max_idle`."""
        span = now - self.idle_since
        return span if span < max_idle else 0


class Call:
    """One call that is out, for one callback or several."""

    __slots__ = (
        "endpoint",
        "pending_callbacks",
        "sent_at",
        "outcome_counted",
        "timeout",
        "idle_time",
    )

    def __init__(self, endpoint: Endpoint, sent_at: int, timeout: int, idle_time: int = 0) -> None:
        self.endpoint = endpoint
        self.pending_callbacks = 0  # that have no outcome yet
        self.sent_at, self.timeout = sent_at, timeout
        self.outcome_counted = False  # its outcome has counted for the endpoint
        self.idle_time = (
            idle_time  # how long the connection that it takes had been idle; 0: a new one
        )


class Destination:
    """A group of endpoints that may each take its callbacks."""

    def __init__(self, now: int) -> None:
        self.endpoints: list[Endpoint] = []  # those listed as serving
        self.queues: dict = {}  # heaps of what is queued, by what may go in place of one another
        self.limiter = Limiter(now)
        self.calls_in_flight = 0
        self.waiting_count = 0  # callbacks
        self.is_degraded = False  # its last answer was slow or bad
        self.recent_callbacks, self.recent_callbacks_since = 0.0, now
        self.known_endpoint_count = 0  # endpoints of it, listed or not
        self.usual_endpoint_count = (
            0  # endpoints that were listed as serving at once, the most of late
        )

    def count_callback(self, now: int) -> None:
        """One callback more came for it."""
        if now - self.recent_callbacks_since > CALLBACK_RATE_SPAN:
            self.recent_callbacks /= 2
            self.recent_callbacks_since = now - CALLBACK_RATE_SPAN // 2
        self.recent_callbacks += 1

    def callback_rate(self, now: int) -> float:
        """Callbacks a second, of this relay."""
        span = max(now - self.recent_callbacks_since, MIN_CALLBACK_RATE_SPAN)
        return max(1.0, self.recent_callbacks) * SECOND / span
