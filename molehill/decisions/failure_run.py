"""The failed calls of a route since its last successful answer.

A route is a destination, or a single endpoint where the kind's routes are separate. Times are in
nanoseconds of the relay's clock.
"""

from typing import Optional

from molehill.interface import Result

# Failures without a successful answer in between that show an outage: one to which no answer came in
# time, or this many answered with an error or a refusal, or of any kind. Single errors are ordinary,
# and two failed connects where hosts have few connections.
OUTAGE_ERROR_ANSWERS, OUTAGE_LOST_CALLS = 2, 3


class FailureRun:
    """Counts failed calls until one succeeds."""

    # handed over to the next process: key in the row -> attribute
    HANDED_OVER = {
        "failed": "failures",
        "silent": "silent_failures",
        "error_answers": "error_answers",
        "idle_resets": "idle_resets",
        "answered_at": "answered_at",
        "first_sent_at": "first_sent_at",
        "last_failed_at": "last_failed_at",
    }

    def __init__(self) -> None:
        self.failures = 0  # without idle_resets
        self.silent_failures = 0  # those to which no answer came in time
        self.error_answers = 0  # those that the host answered
        # calls lost with a connection that had been idle, which may concern the connection alone
        self.idle_resets = 0
        self.answered_at: Optional[int] = None  # the last successful answer; None: never
        # when the first failed call was sent, and when the last one ended
        self.first_sent_at, self.last_failed_at = 0, 0

    def handover_row(self) -> dict:
        """Returns the run for the next process of this relay; empty before the first call."""
        if not self.failures and self.answered_at is None:
            return {}
        return {key: getattr(self, name) for key, name in self.HANDED_OVER.items()}

    def restore_row(self, row: dict) -> None:
        """Restores the run of an earlier process; what the row lacks stays as it is."""
        for key, name in self.HANDED_OVER.items():
            if key in row:
                setattr(self, name, row[key])

    def count_failure(self, result: Result, sent_at: int, now: int) -> None:
        """Counts a failed call that was sent at that time."""
        if not self.failures:
            self.first_sent_at = sent_at
        self.last_failed_at = now
        self.failures += 1
        self.silent_failures += result is Result.TIMEOUT
        self.error_answers += result in (Result.ERROR, Result.REFUSED)

    def count_idle_reset(self) -> None:
        """Counts a call lost with its connection, which had been idle."""
        self.idle_resets += 1

    def count_success(self, now: int) -> None:
        """Ends the run with a successful answer."""
        self.failures = self.silent_failures = self.error_answers = self.idle_resets = 0
        self.answered_at = now

    def shows_outage(self, now: int, min_span: int) -> bool:
        """Whether the route has failed for at least `min_span` nanoseconds, as far as is known.

        Several hosts share a route's failures, so these may be too few at each of them.
        """
        lost_calls = self.failures + self.idle_resets if self.failures else 0
        is_failing = (
            self.silent_failures > 0
            or self.error_answers >= OUTAGE_ERROR_ANSWERS
            or lost_calls >= OUTAGE_LOST_CALLS
        )
        return is_failing and self.unanswered_span(now) >= min_span

    def unanswered_span(self, now: int) -> int:
        """Returns the nanoseconds since the last successful answer.

        Before the first one it is the span of the failures.
        """
        if self.answered_at is None:
            return self.last_failed_at - self.first_sent_at
        return now - self.answered_at
