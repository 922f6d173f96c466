"""A queue of tasks, ordered by the time of the relay's clock at which they are due."""

from heapq import heappop, heappush
from typing import Any, Callable, Optional

Task = Optional[Callable[[Any], None]]


class Timers:
    """Tasks by due time; tasks due at the same time run in the order in which they were scheduled.

    `serial` numbers the tasks for that order, and also the entries of other queues. Times are in
    nanoseconds.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Task, Any]] = []
        self.serial = 0
        self.wake_at: Optional[int] = None  # as last requested

    def next_serial(self) -> int:
        """Returns a number higher than all before."""
        self.serial += 1
        return self.serial

    def schedule(self, when: int, task: Task, argument: Any) -> None:
        """Schedules `task(argument)` at that time.

        `task` None: the destination with the number `argument` is checked.
        """
        heappush(self.heap, (when, self.next_serial(), task, argument))

    def pop_due(self, now: int) -> Optional[tuple[Task, Any]]:
        """Removes and returns the first task that is due, with its argument; None if none is."""
        if not self.heap or self.heap[0][0] > now:
            return None
        _, _, task, argument = heappop(self.heap)
        return task, argument

    def next_wake_delay(self, now: int) -> Optional[int]:
        """Returns nanoseconds until the next task; None: no task, or already requested."""
        if not self.heap:
            return None
        first_at = self.heap[0][0]
        if self.wake_at is not None and self.wake_at > now and first_at >= self.wake_at:
            return None
        self.wake_at = max(first_at, now + 1)
        return self.wake_at - now
