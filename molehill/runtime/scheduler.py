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
READY, LATE, CUT = "ready", "late", "cut"


class Waiter:
    """One wait of a task; `came_after`: what it waits for on its descriptor was not there at that time."""

    __slots__ = ("task", "fd", "live", "came_after")

    def __init__(self, task, fd, came_after):
        self.task, self.fd, self.live, self.came_after = task, fd, True, came_after


class Scheduler:
    def __init__(self, machine):
        """`machine`: the clock, pollers, sockets and disk to run on, as of molehill/runtime/kernel.py."""
        self.machine, self.clock, self.poll = machine, machine.clock, machine.poller()
        self.ready, self.timers, self.serial = deque(), [], 0
        self.waiting: dict[int, Waiter] = {}
        self.stopped, self.hub = False, getcurrent()
        self.looked = self.clock()
        self.came_after = self.looked  # what the last look told of was not there at that time
        self.most_stood = 0  # since whoever tells it set it back

    def spawn(self, work, *args):
        task = greenlet(self._run_task, parent=self.hub)
        self.ready.append((task, (work, args)))
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

    AGAIN = 100 * MS  # before work that has to go on is begun anew

    def spawn_kept(self, work):
        """A task that the relay can't do without: begun anew if it fails, until it returns."""

        def kept():
            done = False
            while not done:
                try:
                    work()
                    done = True
                except Exception as error:
                    check_invariant(False, "kept_task", work=work.__qualname__, error=repr(error))
                    self.sleep(self.clock() + self.AGAIN)

        return self.spawn(kept)

    def at(self, when, work, *args):
        """Calls work(*args) in the loop itself at that time; it may not wait."""
        self.serial += 1
        heappush(self.timers, (when, self.serial, work, args))

    def wait(self, fd=None, mask=0, until=None):
        """Parks the current task until its descriptor is ready, the time is up, or `resume` is called on it."""
        waiter = Waiter(getcurrent(), fd, self.clock())
        if fd is not None:
            check_invariant(fd not in self.waiting, "one_waiter_a_descriptor", fd=fd)
            self.waiting[fd] = waiter
            self.poll.register(fd, mask)
        waiter.task.waiter = waiter
        if until is not None:
            self.at(until, self._wake, waiter, LATE)
        return self.hub.switch()

    def sleep(self, until):
        return self.wait(until=until)

    def task_came_after(self) -> int:
        """What ended the current task's last wait on a descriptor was not there at that time."""
        return getcurrent().waiter.came_after

    def pause(self):
        """Lets all others that are ready go first."""
        self.ready.append((getcurrent(), READY))
        self.hub.switch()

    def _wake(self, waiter, value):
        if not waiter.live:
            return
        waiter.live = False
        if waiter.fd is not None and self.waiting.get(waiter.fd) is waiter:
            del self.waiting[waiter.fd]
            self.poll.unregister(waiter.fd)
        self.ready.append((waiter.task, value))

    def resume(self, task, value=READY):
        """Ends the wait that a task is in, if it is in one."""
        waiter = getattr(task, "waiter", None)
        if waiter is not None:
            self._wake(waiter, value)

    def cut(self, fd):
        """Ends the wait on a descriptor that is about to be closed."""
        waiter = self.waiting.get(fd)
        if waiter is not None:
            self._wake(waiter, CUT)

    # a loop that has nothing to do still looks at the clock once a second
    LONGEST = 1000 * MS

    def run(self):
        while not self.stopped:
            try:
                self.turn()
            except Exception as error:  # whatever it is, the relay goes on
                check_invariant(False, "loop", error=repr(error))

    # between two looks at the descriptors while there is work
    LOOK_AGAIN = 20 * MS

    def turn(self, block=True):
        """One round: descriptors, then every task that is ready, then due timers.

        Danger: after a standstill, or a long round, a wait's time is up while what it waits for lies there unread. So what
        has come is taken first: an answer is not thrown away for a time-out, nor a callback ended that was delivered.
        """
        span = self.LONGEST
        if self.ready or not block:
            span = 0
        elif self.timers:
            span = max(0, min(span, self.timers[0][0] - self.clock()))
        self._look(span)
        begun = self.looked
        for _ in range(len(self.ready)):
            task, value = self.ready.popleft()
            task.switch(value)
            # danger: the longer no look is taken, the less is known of how old that is which it tells of
            if self.clock() - self.looked >= self.LOOK_AGAIN:
                self._look(0)
        # Danger: a standstill in the midst of those tasks; what came meanwhile is not read yet. So what was due at the look is.
        queued = len(self.ready)
        while self.timers and self.timers[0][0] <= begun:
            _, _, work, args = heappop(self.timers)
            try:
                work(*args)
            except Exception as error:
                check_invariant(
                    False, "timer", work=getattr(work, "__qualname__", str(work)), error=repr(error)
                )
        # a task whose time is up goes on before those that can wait
        self.ready.rotate(len(self.ready) - queued)

    def _look(self, span):
        """Wakes the tasks whose descriptors are ready; waits for up to `span` for the first of them."""
        before = self.clock()
        ready = self.poll.poll(-(-span // MS))
        now = self.clock()
        # since the last look this loop was busy or stood still
        stood = before - self.looked + max(0, now - before - span)
        self.looked, self.came_after = now, now - stood
        self.most_stood = max(self.most_stood, stood)
        for fd, _ in ready:
            waiter = self.waiting.get(fd)
            if check_invariant(waiter is not None, "waiter_of_a_descriptor", fd=fd):
                waiter.came_after = max(waiter.came_after, self.came_after)
                self._wake(waiter, READY)
            else:
                self.poll.unregister(fd)
