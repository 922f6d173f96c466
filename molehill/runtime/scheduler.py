"""Tasks as greenlets over select.poll: one loop, one waiter a descriptor, timers on a heap.

A task runs until it waits. Whatever escapes a task is counted and logged, and ends that task alone.
"""

import select
from collections import deque
from heapq import heappop, heappush

from greenlet import GreenletExit, getcurrent, greenlet

from molehill.config import MS
from molehill.invariants import check_invariant

READ, WRITE = select.POLLIN, select.POLLOUT
# what a wait gives: the descriptor moved, time is up, taken away
READY, TIMED_OUT, CANCELLED = "ready", "late", "cut"


class Waiter:
    """One wait of a task; `arrived_after`: what it waits for on its descriptor was not there at that time."""

    __slots__ = ("task", "fd", "is_pending", "arrived_after")

    def __init__(self, task, fd, arrived_after):
        self.task, self.fd, self.is_pending, self.arrived_after = task, fd, True, arrived_after


class Scheduler:
    def __init__(self, machine):
        """`machine`: the clock, pollers, sockets and disk to run on, as of molehill/runtime/kernel.py."""
        self.machine, self.clock, self.poller = machine, machine.clock, machine.poller()
        self.ready_tasks, self.timers, self.timer_count = deque(), [], 0
        self.waiters: dict[int, Waiter] = {}
        self.stopped, self.hub = False, getcurrent()
        self.polled_at = self.clock()
        self.arrived_after = self.polled_at  # what the last look told of was not there at that time
        self.longest_stall = 0  # since whoever tells it set it back

    def spawn(self, work, *args):
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

    RESTART_DELAY = 100 * MS  # before work that has to go on is begun anew

    def spawn_supervised(self, work):
        """A task that the relay can't do without: begun anew if it fails, until it returns."""

        def supervise():
            finished = False
            while not finished:
                try:
                    work()
                    finished = True
                except Exception as error:
                    check_invariant(False, "kept_task", work=work.__qualname__, error=repr(error))
                    self.sleep_until(self.clock() + self.RESTART_DELAY)

        return self.spawn(supervise)

    def call_at(self, when, work, *args):
        """Calls work(*args) in the loop itself at that time; it may not wait."""
        self.timer_count += 1
        heappush(self.timers, (when, self.timer_count, work, args))

    def wait(self, fd=None, mask=0, deadline=None):
        """Parks the current task until its descriptor is ready, the time is up, or `resume` is called on it."""
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
        return self.wait(deadline=deadline)

    def last_wait_arrived_after(self) -> int:
        """What ended the current task's last wait on a descriptor was not there at that time."""
        return getcurrent().waiter.arrived_after

    def yield_now(self):
        """Lets all others that are ready go first."""
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
        """Ends the wait that a task is in, if it is in one."""
        waiter = getattr(task, "waiter", None)
        if waiter is not None:
            self._wake(waiter, value)

    def cancel_wait(self, fd):
        """Ends the wait on a descriptor that is about to be closed."""
        waiter = self.waiters.get(fd)
        if waiter is not None:
            self._wake(waiter, CANCELLED)

    # a loop that has nothing to do still looks at the clock once a second
    MAX_POLL_TIMEOUT = 1000 * MS

    def run(self):
        while not self.stopped:
            try:
                self.run_once()
            except Exception as error:  # whatever it is, the relay goes on
                check_invariant(False, "loop", error=repr(error))

    # between two looks at the descriptors while there is work
    POLL_INTERVAL = 20 * MS

    def run_once(self, block=True):
        """One round: descriptors, then every task that is ready, then due timers.

        Danger: after a standstill, or a long round, a wait's time is up while what it waits for lies there unread. So what
        has come is taken first: an answer is not thrown away for a time-out, nor a callback ended that was delivered.
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
            # danger: the longer no look is taken, the less is known of how old that is which it tells of
            if self.clock() - self.polled_at >= self.POLL_INTERVAL:
                self._poll_descriptors(0)
        # Danger: a standstill in the midst of those tasks; what came meanwhile is not read yet. So what was due at the look is.
        queued_count = len(self.ready_tasks)
        while self.timers and self.timers[0][0] <= round_start:
            _, _, work, args = heappop(self.timers)
            try:
                work(*args)
            except Exception as error:
                check_invariant(
                    False, "timer", work=getattr(work, "__qualname__", str(work)), error=repr(error)
                )
        # a task whose time is up goes on before those that can wait
        self.ready_tasks.rotate(len(self.ready_tasks) - queued_count)

    def _poll_descriptors(self, timeout):
        """Wakes the tasks whose descriptors are ready; waits for up to `timeout` for the first of them."""
        poll_start = self.clock()
        ready_descriptors = self.poller.poll(-(-timeout // MS))
        now = self.clock()
        # since the last look this loop was busy or stood still
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
