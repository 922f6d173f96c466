"""The concurrency window of a destination or a single endpoint, with its pauses and its rate.

Latency controls the window: it increases while answers are about as fast as the best recent ones,
and decreases a little with each slow answer or failure.
"""

from typing import Optional

from molehill.decisions.callback import Callback
from molehill.decisions.failure_run import FailureRun
from molehill.interface import DeliverySemantics

SECOND = 1_000_000_000

INITIAL_WINDOW, MIN_WINDOW = 2.0, 1.0  # calls in flight
DECREASE_FACTOR = 0.9  # on the window, for a slow answer or a failure
REFUSAL_DECREASE_FACTOR = 0.5  # on the window, for a refusal
SLOW_LATENCY_MULTIPLE = 2.0  # of the best latency; anything slower is slow
BASELINE_SPAN = 5 * SECOND  # the best latency is that of the current span and the one before
SERVED_RATE_SPAN = 2 * SECOND  # not shorter than the spans that hosts' limits are counted in
LEARNED_RATE_STEP = 0.1  # calls a second per success; a low limit is regained within seconds
MIN_LEARNED_RATE = 0.5  # calls a second; one call in two seconds still finds out about spare room
# the advertised share is up to a second old, and falls and rises within each span of the limit
ADVERTISED_SHARE_SMOOTHING = 0.25
TIMEOUT_DEVIATIONS = 6  # added to the mean latency; TCP adds 4
MIN_TIMEOUT = SECOND  # with less, the handshakes of a new connection would count as a timeout
MAX_TIMEOUT_DOUBLINGS = 2  # while no answer arrives


class Limiter:
    """Window, pauses and rate of one route.

    Times are in nanoseconds of the relay's clock, rates in calls a second.
    """

    # handed over to the next process: key in the row -> attribute
    HANDED_OVER = {
        "limit": "window",
        "fresh": "is_doubling",
        "paused": "paused_until",
        "used": "last_used_at",
        "waits": "retry_after_until",
        "smooth": "latency",
        "dev": "deviation",
        "now_best": "baseline_latency",
        "last_best": "previous_baseline_latency",
        "window_at": "baseline_since",
        "pace": "learned_rate",
        "told": "advertised_rate",
        "credit": "credit",
        "credit_at": "credit_updated_at",
        "left": "advertised_share_left",
        "count": "served_count",
        "count_at": "served_since",
        "served": "served_rate",
        "rounds": "bad_rounds",
        "bad_at": "bad_round_at",
    }

    def __init__(self, now: int, advertised_rate: float = 0.0) -> None:
        self.failure_run = FailureRun()
        self.reset(now, advertised_rate)

    def reset(self, now: int, advertised_rate: float) -> None:
        """Forgets all measurements, but not the failures since the last answer."""
        self.window = INITIAL_WINDOW
        self.is_doubling = True  # until the first slow answer or failure
        self.calls_in_flight = 0
        self.last_used_at = now
        self.paused_until = 0
        self.retry_after_until = 0  # a pause beyond this time is a backoff
        self.latency: Optional[int] = None  # smoothed
        self.deviation = 0  # of the latency, smoothed
        self.baseline_latency: Optional[int] = None  # in this span
        self.previous_baseline_latency: Optional[int] = None  # in the span before
        self.baseline_since = now
        self.learned_rate = 0.0  # learned from refusals; 0: none
        self.advertised_rate = advertised_rate  # in answers or the host list; 0: none
        # remaining share of the advertised limit, smoothed; None: not advertised
        self.advertised_share_left: Optional[float] = None
        self.credit, self.credit_updated_at = 0.0, now  # calls that the rate allows now
        self.served_count, self.served_since, self.served_rate = 0, now, 0.0
        # consecutive rounds with a failure; calls in flight together count as one round
        self.bad_rounds, self.bad_round_at = 0, 0

    def handover_row(self) -> dict:
        """Returns the learned state for the next process of this relay."""
        learned = {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}
        return {**learned, **self.failure_run.handover_row()}

    def restore_row(self, row: dict) -> None:
        """Restores the learned state of an earlier process; unknown keys are ignored."""
        for key, value in row.items():
            if key in self.HANDED_OVER:
                setattr(self, self.HANDED_OVER[key], value)
        self.failure_run.restore_row(row)

    def update_baseline(self, latest_latency: int, now: int) -> int:
        """Counts an answer's latency, and returns the least smoothed latency in two spans.

        Latency is smoothed as TCP smooths round-trip times; the spans are this one and the one
        before.
        """
        if self.latency:
            self.deviation += (abs(latest_latency - self.latency) - self.deviation) // 4
            self.latency += (latest_latency - self.latency) // 8
        else:
            self.deviation += latest_latency // 2
            self.latency = latest_latency
        age = now - self.baseline_since
        if age > BASELINE_SPAN:
            self.previous_baseline_latency = (
                self.baseline_latency if age <= 2 * BASELINE_SPAN else None
            )
            self.baseline_latency, self.baseline_since = None, now
        self.baseline_latency = min(self.latency, self.baseline_latency or self.latency)
        return min(self.baseline_latency, self.previous_baseline_latency or self.baseline_latency)

    def is_slow(self, latest_latency: int, now: int) -> bool:
        """Counts the latency of a successful answer; returns whether it shows a slow host.

        Single answers in the tail of the distribution exceed any tolerance, so both this latency
        and the smoothed one have to be slow.
        """
        baseline = self.update_baseline(latest_latency, now)
        return (
            min(latest_latency, self.latency or latest_latency) > SLOW_LATENCY_MULTIPLE * baseline
        )

    def count_success(self, now: int) -> None:
        """Counts a successful answer for the served rate, and ends a row of bad rounds."""
        self.bad_rounds = 0
        self.served_count += 1
        span = now - self.served_since
        if span >= SERVED_RATE_SPAN:
            self.served_rate = self.served_count * SECOND / span
            self.served_count, self.served_since = 0, now
        if self.learned_rate:
            self.learned_rate += LEARNED_RATE_STEP

    def count_failure(self, sent_at: int, now: int) -> None:
        """Counts a failure of a call that was sent at that time."""
        if sent_at >= self.bad_round_at:
            self.bad_rounds, self.bad_round_at = self.bad_rounds + 1, now

    def increase(self, max_window: float) -> None:
        """Increases the window after a fast answer."""
        self.window = min(
            self.window + (1.0 if self.is_doubling else 1.0 / self.window), max_window
        )

    def decrease(self, factor: float) -> None:
        """Decreases the window after a slow answer or a failure."""
        self.window = max(MIN_WINDOW, self.window * factor)
        self.is_doubling = False

    def learn_rate_from_refusal(
        self, now: int, relay_count: int, limits_are_advertised: bool
    ) -> None:
        """Learns a rate from a refusal.

        At a rate limit latency stays flat, so the served rate becomes the learned rate.
        """
        span = max(SECOND, now - self.served_since)
        served_rate = max(self.served_rate, self.served_count * SECOND / span)
        if self.refusal_teaches_rate(limits_are_advertised):
            lowered_rate = DECREASE_FACTOR * min(served_rate, self.learned_rate or served_rate)
            self.learned_rate = max(
                MIN_LEARNED_RATE, self.advertised_rate / relay_count, lowered_rate
            )
        self.credit, self.credit_updated_at = 0.0, now

    def refusal_teaches_rate(self, limits_are_advertised: bool) -> bool:
        """Whether a refusal is due to a rate limit.

        Where limits are advertised and this route's is not, the route has none: the refusal came
        from a draining host or a full queue.
        """
        return bool(self.advertised_rate) or not limits_are_advertised

    def set_advertised(self, rate: float, share_left: Optional[float]) -> None:
        """Sets the limit that an answer advertises; zero and None if it advertises none.

        Refused calls use up an advertised limit too, and many relays that each learn from refusals
        alone exceed it all day. So each relay calls at its even share of the limit, more while much
        is left, less while little is.
        """
        self.advertised_rate = rate or self.advertised_rate
        if share_left is None:
            return
        if self.advertised_share_left is None:
            self.advertised_share_left = share_left
        else:
            self.advertised_share_left += (
                share_left - self.advertised_share_left
            ) * ADVERTISED_SHARE_SMOOTHING

    def call_timeout(self, callback: Callback, now: int) -> int:
        """Returns the timeout of a call for that callback, in nanoseconds.

        It is learned as TCP learns its retransmission timeout, and doubled while no answer arrives.
        A timeout completes a callback that must not be repeated, so it gets its target latency at
        least. It does not get the whole time to its deadline: calls to hosts that hang would then
        take up all of max_calls.
        """
        target_latency = callback.callback_class.target_latency
        span = (
            self.latency + TIMEOUT_DEVIATIONS * self.deviation if self.latency else target_latency
        )
        span = max(span, MIN_TIMEOUT) << min(self.bad_rounds, MAX_TIMEOUT_DOUBLINGS)
        if callback.callback_class.semantics is DeliverySemantics.AT_MOST_ONCE:
            return min(max(span, target_latency), callback.deadline - now)
        return span
