"""The emulator's world on the kernel's clock: the same calls (`now`, `at`, `after`, `tell`, `chance`), one loop over epoll a process.

Spans are monotonic. `now` counts from START once `begin` has said when that was, as on the virtual clock. What is told goes to this
process's history: a line of JSON [monotonic ns, process, who, what, facts], stamped *before* an act is done and *after* a thing is
seen; so of two events one of which led to the other, the stamps are in order, whichever processes they stand in.
"""

import select
import time
from heapq import heappop, heappush
from random import Random

import msgspec

from molehill.config import MS, SECOND
from molehill.emulator.world import START

LATENESS_INTERVAL = 10 * MS  # how often a loop looks at how late it is
FLUSH_INTERVAL = 50 * MS  # how long lines of the history wait at most
TIME_BEFORE_BEGIN = 10_000 * SECOND  # until `begin`, the run is that far off
IN, OUT, HANGUP = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
encode = msgspec.json.Encoder().encode


class World:
    """`max_lateness`: by how much this loop was late at most since `begin`, timers and turns alike."""

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
        )  # the last look of the loop, and the one before
        self.lateness_due = self.now + LATENESS_INTERVAL  # of the next beat
        self.at(self.lateness_due, self.measure_lateness)
        self.after(FLUSH_INTERVAL, self.flush_periodically)

    @property
    def now(self) -> int:
        return START + time.monotonic_ns() - self.zero

    def begin(self, zero: int) -> None:
        """The run starts at that reading of the monotonic clock; what is due already stays as far off as it was."""
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
        """Danger: a rig that is late itself takes its own lateness for a relay's; so each process measures its own."""
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
        """No byte that is read in this turn came before: the last look found none."""
        return self.previous_poll

    def run_once(self) -> None:
        entered = self.now
        wait = max(0, min(self.heap[0][0] - entered, SECOND)) if self.heap else SECOND
        ready = self.poll.poll(wait / SECOND)
        now = self.now
        blocked = now - entered > MS
        self.previous_poll, self.last_poll = now if blocked else self.last_poll, now
        for fd, mask in ready:
            handler = self.handlers.get(fd)
            if handler is not None:  # else ended by one before it in this turn
                handler(mask)
        while self.heap and self.heap[0][0] <= self.now and not self.stopped:
            _, _, work, args = heappop(self.heap)
            work(*args)

    def run(self) -> None:
        while not self.stopped:
            self.run_once()
        self.flush()
