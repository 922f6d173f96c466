"""What is kept of an endpoint, of its destination, and of a call that is out. Times are nanoseconds of the relay's clock."""

from molehill import interface as it
from molehill.decisions.limiter import SECOND, Limiter

# OPEN: fed by the window alone; CLOSED: ejected, one trial at a time; SLOW_START: back, fed under the budget of slow start.
# The values are those of the log's and the hand-over's rows.
OPEN, CLOSED, SLOW_START = "open", "closed", "ramp"

REQUEST_RATE_SPAN = 60 * SECOND  # a minute of traffic outweighs its clumps
LEAST_REQUEST_SPAN = 10 * SECOND  # a new destination is taken as that old


class Endpoint:
    """One host of the list, as this relay knows it."""

    __slots__ = (
        "id",
        "zone",
        "per_call",
        "destination",
        "up",
        "limiter",
        "state",
        "calls_out",
        "failure_share",
        "next_call_at",
        "state_since",
        "idle_since",
        "kind",
        "failures",
        "failing_since",
    )

    # what is handed over to the next process: the row's key -> the field
    HANDED_OVER = {
        "h_state": "state",
        "h_bad": "failure_share",
        "h_next": "next_call_at",
        "h_since": "state_since",
        "h_free": "idle_since",
        "h_fails": "failures",
        "h_failing": "failing_since",
    }

    def __init__(
        self, entry: it.HostEntry, per_call: int, kind: int, limiter: Limiter, state: str, now: int
    ) -> None:
        self.id = entry.host
        self.zone = entry.zone
        self.destination = entry.destination  # its number
        self.kind = kind
        self.per_call = per_call  # callbacks that one call takes at most
        self.limiter = limiter  # its own, or its destination's
        self.up = False  # listed as serving
        self.state, self.state_since = state, now
        self.calls_out = 0
        self.failure_share = 0.0  # of its calls, smoothed
        self.next_call_at = 0  # none before
        self.idle_since = 0  # since when a connection to it is idle; 0: none is
        # failed calls since its last good answer, and when the first of them was sent
        self.failures, self.failing_since = 0, 0

    def rows(self) -> dict:
        """What was measured, for the next process of this relay."""
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def take_over(self, row: dict) -> None:
        """What an earlier process measured."""
        for key, name in self.HANDED_OVER.items():
            setattr(self, name, row[key])
        self.state = next((state for state in (OPEN, SLOW_START) if state == self.state), CLOSED)

    def count_failure(self, sent: int) -> None:
        """A call sent at that time failed."""
        if not self.failures:
            self.failing_since = sent
        self.failures += 1

    def idle_for(self, now: int, keep: int) -> int:
        """How long its idle connection has been so; 0 where there is none, as such are closed after `keep`."""
        span = now - self.idle_since
        return span if span < keep else 0


class Attempt:
    """One call that is out, for one callback or several."""

    __slots__ = ("endpoint", "callbacks", "sent", "judged", "time_out", "idle")

    def __init__(self, endpoint: Endpoint, sent: int, time_out: int, idle: int = 0) -> None:
        self.endpoint = endpoint
        self.callbacks = 0  # that have no outcome yet
        self.sent, self.time_out = sent, time_out
        self.judged = False  # its outcome has counted for the endpoint
        self.idle = idle  # how long the connection that it takes had been idle; 0: a new one


class Destination:
    """A group of endpoints that may each take its callbacks."""

    def __init__(self, now: int) -> None:
        self.endpoints: list[Endpoint] = []  # those listed as serving
        self.lanes: dict = {}  # heaps of what is queued, by what may go in place of one another
        self.limiter = Limiter(now)
        self.calls_out = 0
        self.waiting = 0  # callbacks
        self.strained = False  # its last answer was slow or bad
        self.requests, self.requests_since = 0.0, now
        self.known = 0  # endpoints of it, listed or not
        self.usual = 0  # endpoints that were listed as serving at once, the most of late

    def count_request(self, now: int) -> None:
        """One callback more came for it."""
        if now - self.requests_since > REQUEST_RATE_SPAN:
            self.requests /= 2
            self.requests_since = now - REQUEST_RATE_SPAN // 2
        self.requests += 1

    def request_rate(self, now: int) -> float:
        """Callbacks a second, of this relay."""
        span = max(now - self.requests_since, LEAST_REQUEST_SPAN)
        return max(1.0, self.requests) * SECOND / span
