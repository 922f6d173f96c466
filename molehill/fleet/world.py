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

BEAT = 10 * MS  # how often a loop looks at how late it is
FLUSH = 50 * MS  # how long lines of the history wait at most
BEFORE = 10_000 * SECOND  # until `begin`, the run is that far off
IN, OUT, HUNG = select.EPOLLIN, select.EPOLLOUT, select.EPOLLRDHUP
encode = msgspec.json.Encoder().encode


class World:
    """`late`: by how much this loop was late at most since `begin`, timers and turns alike."""

    def __init__(self, name: str, seed, path=None):
        self.name, self.chance = name, Random(f"{seed} {name}")
        self.heap, self.serial, self.failure, self.watchers = [], 0, None, []
        self.zero, self.begun, self.stopped, self.late = (
            time.monotonic_ns() + BEFORE,
            False,
            False,
            0,
        )
        self.poll, self.handlers = select.epoll(), {}
        self.file, self.lines = path and open(path, "ab", buffering=0), []
        self.looked = self.before = self.now  # the last look of the loop, and the one before
        self.due = self.now + BEAT  # of the next beat
        self.at(self.due, self.beat)
        self.after(FLUSH, self.flush_on)

    @property
    def now(self) -> int:
        return START + time.monotonic_ns() - self.zero

    def begin(self, zero: int) -> None:
        """The run starts at that reading of the monotonic clock; what is due already stays as far off as it was."""
        shift, self.zero, self.begun, self.late = self.zero - zero, zero, True, 0
        self.heap = [(when + shift, *rest) for when, *rest in self.heap]
        self.looked, self.before, self.due = (
            self.looked + shift,
            self.before + shift,
            self.due + shift,
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

    def flush_on(self) -> None:
        self.flush()
        self.after(FLUSH, self.flush_on)

    def beat(self) -> None:
        """Danger: a rig that is late itself takes its own lateness for a relay's; so each process measures its own."""
        now = self.now
        self.late, self.due = max(self.late, now - self.due), now + BEAT
        self.at(self.due, self.beat)

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

    def since(self) -> int:
        """No byte that is read in this turn came before: the last look found none."""
        return self.before

    def turn(self) -> None:
        entered = self.now
        wait = max(0, min(self.heap[0][0] - entered, SECOND)) if self.heap else SECOND
        ready = self.poll.poll(wait / SECOND)
        now = self.now
        blocked = now - entered > MS
        self.before, self.looked = now if blocked else self.looked, now
        for fd, mask in ready:
            handler = self.handlers.get(fd)
            if handler is not None:  # else ended by one before it in this turn
                handler(mask)
        while self.heap and self.heap[0][0] <= self.now and not self.stopped:
            _, _, work, args = heappop(self.heap)
            work(*args)

    def run(self) -> None:
        while not self.stopped:
            self.turn()
        self.flush()
