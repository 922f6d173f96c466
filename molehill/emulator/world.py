"""The virtual clock: a heap of what is due, and the one loop that jumps from one due time to the next.

Relays run as greenlets of their own, woken by this loop when their pollers say so; all other parties are callbacks.
"""

import hashlib
from heapq import heappop, heappush
from random import Random

from greenlet import getcurrent

from molehill.config import MS, SECOND

START = 1_800_000_000 * SECOND  # Unix time at which each run begins: any fixed moment does
TRACE_KEPT = 20_000  # events kept for the timeline; the digest covers all


class World:
    """`now`: nanoseconds; `chance`: the one source of randomness; `trace`: (time, who, what, facts), the newest last."""

    def __init__(self, seed: int):
        self.now, self.chance, self.hub = START, Random(seed), getcurrent()
        self.heap, self.serial, self.events = [], 0, 0
        self.trace, self.digest, self.failure = [], hashlib.blake2b(digest_size=16), None
        self.watchers = []  # each is told of every event, and may raise Breach

    def at(self, when: int, work, *args) -> None:
        """Calls work(*args) at that time, at once if it is past; what is due together runs as it was asked for."""
        self.serial += 1
        heappush(self.heap, (max(when, self.now), self.serial, work, args))

    def after(self, span: int, work, *args) -> None:
        self.at(self.now + span, work, *args)

    def tell(self, who: str, what: str, **facts) -> None:
        """Records an event that could be seen from outside: in the digest, the timeline, and to the watchers."""
        self.events += 1
        self.digest.update(f"{self.now} {who} {what} {facts}\n".encode())
        self.trace.append((self.now, who, what, facts))
        if len(self.trace) > 2 * TRACE_KEPT:
            del self.trace[:TRACE_KEPT]
        for watcher in self.watchers:
            watcher(self.now, who, what, facts)

    def run(self, until: int) -> None:
        """Plays up to that time, or to the first breach (kept in `failure` by whoever finds it)."""
        while self.heap and self.heap[0][0] <= until and self.failure is None:
            self.now, _, work, args = heappop(self.heap)
            work(*args)
        if self.failure is None:
            self.now = max(self.now, until)

    def milliseconds(self) -> float:
        return (self.now - START) / MS
