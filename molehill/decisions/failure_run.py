"""The failed calls of a route since its last successful answer.

A route is a destination, or a single endpoint where the kind's routes are separate. Times are in
nanoseconds of the relay's clock.
"""

from typing import Optional

from molehill.interface import Result


class FailureRun:
    """Counts failed calls until one succeeds."""

    # handed over to the next process: key in the row -> attribute
    HANDED_OVER = {
        "failed": "failures",
        "silent": "silent_failures",
        "answered_at": "answered_at",
    }

    def __init__(self) -> None:
        self.failures = 0
        self.silent_failures = 0  # those to which no answer came in time
        self.answered_at: Optional[int] = None  # the last successful answer; None: never

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

    def count_failure(self, result: Result) -> None:
        """Counts a failed call."""
        self.failures += 1
        self.silent_failures += result is Result.TIMEOUT

    def count_success(self, now: int) -> None:
        """Ends the run with a successful answer."""
        self.failures = self.silent_failures = 0
        self.answered_at = now

    def unanswered_span(self, now: int) -> float:
        """Returns the nanoseconds since the last successful answer; infinite without one."""
        return float("inf") if self.answered_at is None else now - self.answered_at
