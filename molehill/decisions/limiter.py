"""The concurrency window of a destination or of a single endpoint, led by latency, with its pauses and its rate.

The window opens while answers are about as fast as the best of late, and closes a little with each that is slow or bad.
"""

from typing import Optional

from molehill.decisions.callback import Callback
from molehill.interface import Effect

SECOND = 1_000_000_000

WINDOW_AT_START, LEAST_WINDOW = 2.0, 1.0  # calls out at once
DECREASE = 0.9  # of the window with a slow or bad answer
REFUSAL_DECREASE = 0.5  # with one that was turned away
TOLERANCE = 2.0  # of the best latency: what is slower is slow
BASELINE = 5 * SECOND  # in which the best latency is looked for, twice
RATE_SPAN = 2 * SECOND  # for served rates: no shorter than spans that allowances count in
RATE_STEP = 0.1  # calls a second for a good answer: a small allowance is regained in seconds
LEAST_RATE = 0.5  # calls a second: one call in two seconds still learns that there is room
TOLD_SHARE_GAIN = (
    0.25  # smoothing: what is told is up to a second old, and falls and rises with each span
)
DEVIATIONS = 6  # of latency beyond its mean that an answer may take; TCP: 4
LEAST_TIME_OUT = SECOND  # below this a new connection's handshakes would read as silence
MOST_DOUBLINGS = 2  # of the time-out while nothing comes


class Limiter:
    """Window, pauses and rate of one route. Times are nanoseconds of the relay's clock, rates are calls a second."""

    # what is handed over to the next process: the row's key -> the field
    HANDED_OVER = {
        "limit": "window",
        "fresh": "doubling",
        "paused": "paused_until",
        "used": "used_at",
        "waits": "told_wait_until",
        "smooth": "latency",
        "dev": "deviation",
        "now_best": "best",
        "last_best": "best_before",
        "window_at": "baseline_since",
        "pace": "learnt_rate",
        "told": "told_rate",
        "credit": "credit",
        "credit_at": "credit_at",
        "left": "told_share",
        "count": "served",
        "count_at": "served_since",
        "served": "served_rate",
        "rounds": "bad_rounds",
        "bad_at": "bad_round_at",
    }

    def __init__(self, now: int, told_rate: float = 0.0) -> None:
        self.reset(now, told_rate)

    def reset(self, now: int, told_rate: float) -> None:
        """Forgets all that was measured."""
        self.window = WINDOW_AT_START
        self.doubling = True  # until the first slow or bad answer
        self.calls_out = 0
        self.used_at = now
        self.paused_until = 0
        self.told_wait_until = 0  # what is left of a pause beyond it is a rest
        self.latency: Optional[int] = None  # smoothed
        self.deviation = 0  # of the latency, smoothed
        self.best: Optional[int] = None  # of this baseline
        self.best_before: Optional[int] = None  # of the baseline before
        self.baseline_since = now
        self.learnt_rate = 0.0  # from refusals; 0: none
        self.told_rate = told_rate  # by answers or the list; 0: none
        self.told_share: Optional[float] = (
            None  # of the told rate that is left, smoothed; None: not told
        )
        self.credit, self.credit_at = 0.0, now  # calls that the rate allows now
        self.served, self.served_since, self.served_rate = 0, now, 0.0
        # Rounds in a row in which something failed: failures of calls that were out together count once
        self.bad_rounds, self.bad_round_at = 0, 0

    def rows(self) -> dict:
        """What was measured, for the next process of this relay."""
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def take_over(self, row: dict) -> None:
        """What an earlier process measured; keys that this one does not know are passed over."""
        for key, value in row.items():
            if key in self.HANDED_OVER:
                setattr(self, self.HANDED_OVER[key], value)

    def best_latency(self, took: int, now: int) -> int:
        """The least latency of this baseline and the one before, smoothed as TCP smooths round trips, with an answer that
        took that long."""
        if self.latency:
            self.deviation += (abs(took - self.latency) - self.deviation) // 4
            self.latency += (took - self.latency) // 8
        else:
            self.deviation += took // 2
            self.latency = took
        age = now - self.baseline_since
        if age > BASELINE:
            self.best_before = self.best if age <= 2 * BASELINE else None
            self.best, self.baseline_since = None, now
        self.best = min(self.latency, self.best or self.latency)
        return min(self.best, self.best_before or self.best)

    def is_slow(self, took: int, now: int) -> bool:
        """Counts a good answer's latency. Danger: tails beyond any tolerance read as slow. Slow is what is slow itself and in
        the mean."""
        best = self.best_latency(took, now)
        return min(took, self.latency or took) > TOLERANCE * best

    def count_served(self, now: int) -> None:
        """One good answer more."""
        self.bad_rounds = 0
        self.served += 1
        span = now - self.served_since
        if span >= RATE_SPAN:
            self.served_rate = self.served * SECOND / span
            self.served, self.served_since = 0, now
        if self.learnt_rate:
            self.learnt_rate += RATE_STEP

    def count_bad(self, sent: int, now: int) -> None:
        """One failure more, of a call sent at that time."""
        if sent >= self.bad_round_at:
            self.bad_rounds, self.bad_round_at = self.bad_rounds + 1, now

    def open(self, most: float) -> None:
        """The window after a fast answer."""
        self.window = min(self.window + (1.0 if self.doubling else 1.0 / self.window), most)

    def shut(self, by: float) -> None:
        """The window after a slow or bad answer."""
        self.window = max(LEAST_WINDOW, self.window * by)
        self.doubling = False

    def rate_after_refusal(self, now: int, relays: int, tells_limit: bool) -> None:
        """Danger: at an allowance latency stays flat. So the rate served becomes the rate that is kept to. Where answers tell
        allowances and none was told, there is none: refused at a drain or a full queue."""
        span = max(SECOND, now - self.served_since)
        served = max(self.served_rate, self.served * SECOND / span)
        if self.told_rate or not tells_limit:
            lowered = DECREASE * min(served, self.learnt_rate or served)
            self.learnt_rate = max(LEAST_RATE, self.told_rate / relays, lowered)
        self.credit, self.credit_at = 0.0, now

    def told(self, rate: float, share: Optional[float]) -> None:
        """What an answer tells of its allowance; zero and None where it tells nothing.

        Danger: refused calls use a told limit up, and many relays that each learn from refusals alone run into it all day. So
        each calls at its even part, more while much is left, less while little is.
        """
        self.told_rate = rate or self.told_rate
        if share is None:
            return
        if self.told_share is None:
            self.told_share = share
        else:
            self.told_share += (share - self.told_share) * TOLD_SHARE_GAIN

    def time_out(self, callback: Callback, now: int) -> int:
        """How long a call for that callback may take: learnt as TCP learns it, doubled while nothing comes.

        What may not be repeated is over with it, so it waits for its goal time at least. Danger: to the end, those out at hosts
        that hang hold all slots.
        """
        goal = callback.category.goal
        span = self.latency + DEVIATIONS * self.deviation if self.latency else goal
        span = max(span, LEAST_TIME_OUT) << min(self.bad_rounds, MOST_DOUBLINGS)
        if callback.category.effect is Effect.AT_MOST_ONCE:
            return min(max(span, goal), callback.due - now)
        return span
