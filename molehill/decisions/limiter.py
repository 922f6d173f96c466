"""The concurrency window of a destination or of a single endpoint, led by latency, with its pauses and its rate.

The window opens while answers are about as fast as the best of late, and closes a little with each that is slow or bad.
"""

from typing import Optional

from molehill.decisions.callback import Callback
from molehill.interface import DeliverySemantics

SECOND = 1_000_000_000

INITIAL_WINDOW, MIN_WINDOW = 2.0, 1.0  # calls out at once
DECREASE_FACTOR = 0.9  # of the window with a slow or bad answer
REFUSAL_DECREASE_FACTOR = 0.5  # with one that was turned away
SLOW_LATENCY_MULTIPLE = 2.0  # of the best latency: what is slower is slow
BASELINE_SPAN = 5 * SECOND  # in which the best latency is looked for, twice
SERVED_RATE_SPAN = 2 * SECOND  # for served rates: no shorter than spans that allowances count in
LEARNED_RATE_STEP = (
    0.1  # calls a second for a good answer: a small allowance is regained in seconds
)
MIN_LEARNED_RATE = 0.5  # calls a second: one call in two seconds still learns that there is room
ADVERTISED_SHARE_SMOOTHING = (
    0.25  # smoothing: what is told is up to a second old, and falls and rises with each span
)
TIMEOUT_DEVIATIONS = 6  # of latency beyond its mean that an answer may take; TCP: 4
MIN_TIMEOUT = SECOND  # below this a new connection's handshakes would read as silence
MAX_TIMEOUT_DOUBLINGS = 2  # of the time-out while nothing comes


class Limiter:
    """Window, pauses and rate of one route. Times are nanoseconds of the relay's clock, rates are calls a second."""

    # what is handed over to the next process: the row's key -> the field
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
        self.reset(now, advertised_rate)

    def reset(self, now: int, advertised_rate: float) -> None:
        """Forgets all that was measured."""
        self.window = INITIAL_WINDOW
        self.is_doubling = True  # until the first slow or bad answer
        self.calls_in_flight = 0
        self.last_used_at = now
        self.paused_until = 0
        self.retry_after_until = 0  # what is left of a pause beyond it is a rest
        self.latency: Optional[int] = None  # smoothed
        self.deviation = 0  # of the latency, smoothed
        self.baseline_latency: Optional[int] = None  # of this baseline
        self.previous_baseline_latency: Optional[int] = None  # of the baseline before
        self.baseline_since = now
        self.learned_rate = 0.0  # from refusals; 0: none
        self.advertised_rate = advertised_rate  # by answers or the list; 0: none
        self.advertised_share_left: Optional[float] = (
            None  # of the told rate that is left, smoothed; None: not told
        )
        self.credit, self.credit_updated_at = 0.0, now  # calls that the rate allows now
        self.served_count, self.served_since, self.served_rate = 0, now, 0.0
        # Rounds in a row in which something failed: failures of calls that were out together count once
        self.bad_rounds, self.bad_round_at = 0, 0

    def handover_row(self) -> dict:
        """What was measured, for the next process of this relay."""
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def restore_row(self, row: dict) -> None:
        """What an earlier process measured; keys that this one does not know are passed over."""
        for key, value in row.items():
            if key in self.HANDED_OVER:
                setattr(self, self.HANDED_OVER[key], value)

    def update_baseline(self, latest_latency: int, now: int) -> int:
        """The least latency of this baseline and the one before, smoothed as TCP smooths round trips, with an answer that
        took that long."""
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
        """Counts a good answer's latency. Danger: tails beyond any tolerance read as slow. Slow is what is slow itself and in
        the mean."""
        baseline = self.update_baseline(latest_latency, now)
        return (
            min(latest_latency, self.latency or latest_latency) > SLOW_LATENCY_MULTIPLE * baseline
        )

    def count_success(self, now: int) -> None:
        """One good answer more."""
        self.bad_rounds = 0
        self.served_count += 1
        span = now - self.served_since
        if span >= SERVED_RATE_SPAN:
            self.served_rate = self.served_count * SECOND / span
            self.served_count, self.served_since = 0, now
        if self.learned_rate:
            self.learned_rate += LEARNED_RATE_STEP

    def count_failure(self, sent_at: int, now: int) -> None:
        """One failure more, of a call sent at that time."""
        if sent_at >= self.bad_round_at:
            self.bad_rounds, self.bad_round_at = self.bad_rounds + 1, now

    def increase(self, max_window: float) -> None:
        """The window after a fast answer."""
        self.window = min(
            self.window + (1.0 if self.is_doubling else 1.0 / self.window), max_window
        )

    def decrease(self, factor: float) -> None:
        """The window after a slow or bad answer."""
        self.window = max(MIN_WINDOW, self.window * factor)
        self.is_doubling = False

    def learn_rate_from_refusal(
        self, now: int, relay_count: int, limits_are_advertised: bool
    ) -> None:
        """Danger: at an allowance latency stays flat. So the rate served becomes the rate that is kept to. Where answers tell
        allowances and none was told, there is none: refused at a drain or a full queue."""
        span = max(SECOND, now - self.served_since)
        served_rate = max(self.served_rate, self.served_count * SECOND / span)
        if self.advertised_rate or not limits_are_advertised:
            lowered_rate = DECREASE_FACTOR * min(served_rate, self.learned_rate or served_rate)
            self.learned_rate = max(
                MIN_LEARNED_RATE, self.advertised_rate / relay_count, lowered_rate
            )
        self.credit, self.credit_updated_at = 0.0, now

    def set_advertised(self, rate: float, share_left: Optional[float]) -> None:
        """What an answer tells of its allowance; zero and None where it tells nothing.

        Danger: refused calls use a told limit up, and many relays that each learn from refusals alone run into it all day. So
        each calls at its even part, more while much is left, less while little is.
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
        """How long a call for that callback may take: learnt as TCP learns it, doubled while nothing comes.

        What may not be repeated is over with it, so it waits for its goal time at least. Danger: to the end, those out at hosts
        that hang hold all slots.
        """
        target_latency = callback.callback_class.target_latency
        span = (
            self.latency + TIMEOUT_DEVIATIONS * self.deviation if self.latency else target_latency
        )
        span = max(span, MIN_TIMEOUT) << min(self.bad_rounds, MAX_TIMEOUT_DOUBLINGS)
        if callback.callback_class.semantics is DeliverySemantics.AT_MOST_ONCE:
            return min(max(span, target_latency), callback.deadline - now)
        return span
