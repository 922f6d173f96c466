"""Tasks as greenlets over select.poll: one loop, one waiter per descriptor, timers on a heap.

A task runs until it waits. An exception that escapes a task is counted and logged, and ends that
task alone. All times are nanoseconds on the machine's monotonic clock.
"""

import select
from collections import deque
from heapq import heappop, heappush

from greenlet import GreenletExit, getcurrent, greenlet

from molehill.config import MS
from molehill.invariants import check_invariant

READ, WRITE = select.POLLIN, select.POLLOUT
# Results of a wait: the descriptor is ready, the deadline has passed, the wait was cancelled.
READY, TIMED_OUT, CANCELLED = "ready", "late", "cut"


class Waiter:
    """One wait of a task.

    `arrived_after`: a time at which what it waits for on its descriptor had not arrived yet.
    """

    __slots__ = ("task", "fd", "is_pending", "arrived_after")

    def __init__(self, task, fd, arrived_after):
        self.task, self.fd, self.is_pending, self.arrived_after = task, fd, True, arrived_after


class Scheduler:
    """Runs tasks and timers in one loop. `hub` is the greenlet of the loop itself."""

    def __init__(self, machine):
        """`machine`: the clock, pollers, sockets and disk, as in molehill/runtime/kernel.py."""
        self.machine, self.clock, self.poller = machine, machine.clock, machine.poller()
        self.ready_tasks, self.timers, self.timer_count = deque(), [], 0
        self.waiters: dict[int, Waiter] = {}
        self.stopped, self.hub = False, getcurrent()
        self.polled_at = self.clock()
        # A time at which nothing of what the last poll reported had arrived yet.
        self.arrived_after = self.polled_at
        self.longest_stall = 0  # nanoseconds; reset by whoever reports it

    def spawn(self, work, *args):
        """Starts a task that runs work(*args); returns its greenlet."""
        task = greenlet(self._run_task, parent=self.hub)
        self.ready_tasks.append((task, (work, args)))
        return task

    def _run_task(self, job):
        work, args = job
        try:
            work(*args)
        except GreenletExit:
            pass
        except Exception as error:
            check_invariant(
                False, "task", work=getattr(work, "__qualname__", str(work)), error=repr(error)
            )

    RESTART_DELAY = 100 * MS  # before supervised work that failed is restarted

    def spawn_supervised(self, work):
        """Starts a task that the relay depends on: it is restarted on failure until it returns."""

        def supervise():
            has_returned = False
            while not has_returned:
                try:
                    work()
                    has_returned = True
                except Exception as error:
                    check_invariant(False, "kept_task", work=work.__qualname__, error=repr(error))
                    self.sleep_until(self.clock() + self.RESTART_DELAY)

        return self.spawn(supervise)

    def call_at(self, when, work, *args):
        """Calls work(*args) in the loop itself at time `when`; `work` must not wait."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, work, args))

    def wait(self, fd=None, mask=0, deadline=None):
        """Suspends the current task until its descriptor is ready, the deadline, or `resume`.

        Returns READY, TIMED_OUT, CANCELLED (see `cancel_wait`) or the value passed to `resume`.
        """
        waiter = Waiter(getcurrent(), fd, self.clock())
        if fd is not None:
            check_invariant(fd not in self.waiters, "one_waiter_a_descriptor", fd=fd)
            self.waiters[fd] = waiter
            self.poller.register(fd, mask)
        waiter.task.waiter = waiter
        if deadline is not None:
            self.call_at(deadline, self._wake, waiter, TIMED_OUT)
        return self.hub.switch()

    def sleep_until(self, deadline):
        """Suspends the current task until the deadline, or until `resume`."""
        return self.wait(deadline=deadline)

    def last_wait_arrived_after(self) -> int:
        """Returns a time at which what ended the current task's last wait had not arrived yet."""
        return getcurrent().waiter.arrived_after

    def yield_now(self):
        """Lets all other tasks that are ready run first."""
        self.ready_tasks.append((getcurrent(), READY))
        self.hub.switch()

    def _wake(self, waiter, value):
        if not waiter.is_pending:
            return
        waiter.is_pending = False
        if waiter.fd is not None and self.waiters.get(waiter.fd) is waiter:
            del self.waiters[waiter.fd]
            self.poller.unregister(waiter.fd)
        self.ready_tasks.append((waiter.task, value))

    def resume(self, task, value=READY):
        """Ends the current wait of a task, if there is one; the wait returns `value`."""
        waiter = getattr(task, "waiter", None)
        if waiter is not None:
            self._wake(waiter, value)

    def cancel_wait(self, fd):
        """Ends the wait on a descriptor that is about to be closed; the wait returns CANCELLED."""
        waiter = self.waiters.get(fd)
        if waiter is not None:
            self._wake(waiter, CANCELLED)

    MAX_POLL_TIMEOUT = 1000 * MS  # an idle loop still checks the clock once a second

    def run(self):
        """Runs rounds until `stopped` is set; an exception of a round does not end the loop."""
        while not self.stopped:
            try:
                self.run_once()
            except Exception as error:  # whatever it is, the relay keeps running
                check_invariant(False, "loop", error=repr(error))

    POLL_INTERVAL = 20 * MS  # after which descriptors are polled again while tasks are ready

    def run_once(self, block=True):
        """Runs one round: polls the descriptors, then runs every ready task, then due timers.

        After a stall, or a long round, the deadline of a wait may have passed while what it waits
        for lies unread in the socket. So arrivals are handled first: otherwise an answer would be
        discarded for a timeout, and a callback ended although it was delivered.
        """
        timeout = self.MAX_POLL_TIMEOUT
        if self.ready_tasks or not block:
            timeout = 0
        elif self.timers:
            timeout = max(0, min(timeout, self.timers[0][0] - self.clock()))
        self._poll_descriptors(timeout)
        round_start = self.polled_at
        for _ in range(len(self.ready_tasks)):
            task, value = self.ready_tasks.popleft()
            task.switch(value)
            # The longer the gap between two polls, the less is known about the age of what the
            # next one reports.
            if self.clock() - self.polled_at >= self.POLL_INTERVAL:
                self._poll_descriptors(0)
        # If the loop stalled while these tasks ran, what arrived meanwhile is not read yet. So only
        # timers that were due at the poll at the start of this round run now.
        queued_count = len(self.ready_tasks)
        while self.timers and self.timers[0][0] <= round_start:
            _, _, work, args = heappop(self.timers)
            try:
                work(*args)
            except Exception as error:
                check_invariant(
                    False, "timer", work=getattr(work, "__qualname__", str(work)), error=repr(error)
                )
        # Tasks whose deadline has passed run before those that can wait.
        self.ready_tasks.rotate(len(self.ready_tasks) - queued_count)

    def _poll_descriptors(self, timeout):
        """Wakes the tasks whose descriptors are ready; waits up to `timeout` for the first one."""
        poll_start = self.clock()
        ready_descriptors = self.poller.poll(-(-timeout // MS))
        now = self.clock()
        # For this long since the last poll the loop was busy or stalled.
        stalled = poll_start - self.polled_at + max(0, now - poll_start - timeout)
        self.polled_at, self.arrived_after = now, now - stalled
        self.longest_stall = max(self.longest_stall, stalled)
        for fd, _ in ready_descriptors:
            waiter = self.waiters.get(fd)
            if check_invariant(waiter is not None, "waiter_of_a_descriptor", fd=fd):
                waiter.arrived_after = max(waiter.arrived_after, self.arrived_after)
                self._wake(waiter, READY)
            else:
                self.poller.unregister(fd)
