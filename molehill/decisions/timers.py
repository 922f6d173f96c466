"""Work that is due at a time of the relay's clock, in the order of its times."""

from heapq import heappop, heappush
from typing import Any, Callable, Optional

Task = Optional[Callable[[Any], None]]


class Timers:
    """`serial` numbers what has an order of its own besides: of two due at one time the one set first goes first."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Task, Any]] = []
        self.serial = 0
        self.wake_at: Optional[int] = None  # as was asked for last

    def next_serial(self) -> int:
        """A number that was not given before."""
        self.serial += 1
        return self.serial

    def schedule(self, when: int, task: Task, argument: Any) -> None:
        """`task(argument)` at that time; None: the destination of that number is to be looked at."""
        heappush(self.heap, (when, self.next_serial(), task, argument))

    def pop_due(self, now: int) -> Optional[tuple[Task, Any]]:
        """The first that is due, taken off; None if none is."""
        if not self.heap or self.heap[0][0] > now:
            return None
        _, _, task, argument = heappop(self.heap)
        return task, argument

    def next_wake_delay(self, now: int) -> Optional[int]:
        """In how many nanoseconds the relay has to come back, where it was not told so before."""
        if not self.heap:
            return None
        first_at = self.heap[0][0]
        if self.wake_at is not None and self.wake_at > now and first_at >= self.wake_at:
            return None
        self.wake_at = max(first_at, now + 1)
        return self.wake_at - now
