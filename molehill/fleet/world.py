"""The emulator's world on the real clock, with an epoll loop per process.

The interface is the same: `now`, `at`, `after`, `tell`, `chance`.
Times are in ns and monotonic. `now` counts from START once `begin` has set the origin, as on the
virtual clock. Events go to the history of this process: a line of JSON [monotonic ns, process, who,
what, facts]. An event is stamped *before* an action is done and *after* a thing is observed. So the
stamps of cause and effect are in order, even if two processes wrote them.
"""

import select
import time
from heapq import heappop, heappush
from random import Random

import msgspec

from molehill.config import MS, SECOND
from molehill.emulator.world import START

LATENESS_INTERVAL = 10 * MS  # interval at which a loop measures its lateness
FLUSH_INTERVAL = 50 * MS  # the longest that lines of the history are buffered
TIME_BEFORE_BEGIN = 10_000 * SECOND  # before `begin` is called, the run begins that much later
IN, OUT, HANGUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
encode = msgspec.json.Encoder().encode


class World:
    """`max_lateness`: largest lateness of timers and turns since `begin`, in ns."""

    def __init__(self, name: str, seed, path=None):
        self.name, self.chance = name, Random(f"{seed} {name}")
        self.heap, self.serial, self.failure, self.watchers = [], 0, None, []
        self.zero, self.begun, self.stopped, self.max_lateness = (
            time.monotonic_ns() + TIME_BEFORE_BEGIN,
            False,
            False,
            0,
        )
        self.poll, self.handlers = select.epoll(), {}
        self.file, self.lines = path and open(path, "ab", buffering=0), []
        self.last_poll = self.previous_poll = (
            self.now
        )  # when the loop polled last, and the time before
        self.lateness_due = self.now + LATENESS_INTERVAL  # when `measure_lateness` is due next
        self.at(self.lateness_due, self.measure_lateness)
        self.after(FLUSH_INTERVAL, self.flush_periodically)

    @property
    def now(self) -> int:
        return START + time.monotonic_ns() - self.zero

    def begin(self, zero: int) -> None:
        """Sets the start of the run, a reading of the monotonic clock.

        Pending timers keep their distance from now.
        """
        shift, self.zero, self.begun, self.max_lateness = self.zero - zero, zero, True, 0
        self.heap = [(when + shift, *rest) for when, *rest in self.heap]
        self.last_poll, self.previous_poll, self.lateness_due = (
            self.last_poll + shift,
            self.previous_poll + shift,
            self.lateness_due + shift,
        )

    def at(self, when: int, work, *args) -> None:
        self.serial += 1
        heappush(self.heap, (when, self.serial, work, args))

    def after(self, span: int, work, *args) -> None:
        self.at(self.now + span, work, *args)

    def tell(self, who: str, what: str, **facts) -> None:
        stamp = time.monotonic_ns()
        self.lines.append(encode([stamp, self.name, who, what, facts]))
        for watcher in self.watchers:
            watcher(START + stamp - self.zero, who, what, facts)

    def flush(self) -> None:
        lines, self.lines = self.lines, []
        if lines and self.file:
            self.file.write(b"\n".join(lines) + b"\n")

    def flush_periodically(self) -> None:
        self.flush()
        self.after(FLUSH_INTERVAL, self.flush_periodically)

    def measure_lateness(self) -> None:
        """Measures how late this loop is.

        Each process does so, because a rig that is late would take its own lateness for a relay's.
        """
        now = self.now
        self.max_lateness, self.lateness_due = (
            max(self.max_lateness, now - self.lateness_due),
            now + LATENESS_INTERVAL,
        )
        self.at(self.lateness_due, self.measure_lateness)

    # Descriptors

    def watch(self, fd: int, mask: int, handler) -> None:
        if fd in self.handlers:
            self.poll.modify(fd, mask)
        else:
            self.poll.register(fd, mask)
        self.handlers[fd] = handler

    def forget(self, fd: int) -> None:
        if self.handlers.pop(fd, None) is not None:
            self.poll.unregister(fd)

    def earliest_arrival(self) -> int:
        """Earliest possible arrival of bytes read in this turn: the previous poll found none."""
        return self.previous_poll

    def run_once(self) -> None:
        """Polls once, then calls the handlers that are ready and the timers that are due."""
        entered = self.now
        wait = max(0, min(self.heap[0][0] - entered, SECOND)) if self.heap else SECOND
        ready = self.poll.poll(wait / SECOND)
        now = self.now
        blocked = now - entered > MS
        self.previous_poll, self.last_poll = now if blocked else self.last_poll, now
        for fd, mask in ready:
            handler = self.handlers.get(fd)
            if handler is not None:  # otherwise an earlier handler of this turn removed it
                handler(mask)
        while self.heap and self.heap[0][0] <= self.now and not self.stopped:
            _, _, work, args = heappop(self.heap)
            work(*args)

    def run(self) -> None:
        while not self.stopped:
            self.run_once()
        self.flush()
