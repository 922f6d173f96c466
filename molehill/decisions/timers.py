"""Work that is due at a time of the relay's clock, in the order of its times."""

from heapq import heappop, heappush
from typing import Any, Callable, Optional

Work = Optional[Callable[[Any], None]]


class Timers:
    """`serial` numbers what has an order of its own besides: of two due at one time the one set first goes first."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Work, Any]] = []
        self.serial = 0
        self.wake_at: Optional[int] = None  # as was asked for last

    def next_serial(self) -> int:
        """A number that was not given before."""
        self.serial += 1
        return self.serial

    def at(self, when: int, work: Work, subject: Any) -> None:
        """`work(subject)` at that time; None: the destination of that number is to be looked at."""
        heappush(self.heap, (when, self.next_serial(), work, subject))

    def take_due(self, now: int) -> Optional[tuple[Work, Any]]:
        """The first that is due, taken off; None if none is."""
        if not self.heap or self.heap[0][0] > now:
            return None
        _, _, work, subject = heappop(self.heap)
        return work, subject

    def wake_after(self, now: int) -> Optional[int]:
        """In how many nanoseconds the relay has to come back, where it was not told so before."""
        if not self.heap:
            return None
        first = self.heap[0][0]
        if self.wake_at is not None and self.wake_at > now and first >= self.wake_at:
            return None
        self.wake_at = max(first, now + 1)
        return self.wake_at - now
