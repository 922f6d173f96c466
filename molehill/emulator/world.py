"""The virtual clock: a heap of scheduled work, and one loop that jumps from one due time to the
next.

Each relay runs in greenlets of its own, which this loop resumes when their pollers ask for it; all
other parties are callbacks.
"""

import hashlib
from heapq import heappop, heappush
from random import Random

from greenlet import getcurrent

from molehill.config import MS, SECOND

START = 1_800_000_000 * SECOND  # Unix time at which each run begins; any fixed value works
TRACE_KEPT = 20_000  # events kept for the timeline; the digest covers all events


class World:
    """The clock, the randomness and the record of events of one run.

    `now` is the time in nanoseconds, `chance` the only source of randomness, and `trace` the newest
    events as (time, who, what, facts), oldest first.
    """

    def __init__(self, seed: int):
        self.now, self.chance, self.hub = START, Random(seed), getcurrent()
        self.heap, self.serial, self.events = [], 0, 0
        self.trace, self.digest, self.failure = [], hashlib.blake2b(digest_size=16), None
        self.watchers = []  # called with (now, who, what, facts) of every event

    def at(self, when: int, work, *args) -> None:
        """Call work(*args) at that time, or as soon as possible if it has passed.

        Work that is due at the same time runs in the order in which it was scheduled.
        """
        self.serial += 1
        heappush(self.heap, (max(when, self.now), self.serial, work, args))

    def after(self, span: int, work, *args) -> None:
        """Call work(*args) after `span` nanoseconds."""
        self.at(self.now + span, work, *args)

    def tell(self, who: str, what: str, **facts) -> None:
        """Record an externally visible event: in the digest, the trace, and with the watchers."""
        self.events += 1
        self.digest.update(f"{self.now} {who} {what} {facts}\n".encode())
        self.trace.append((self.now, who, what, facts))
        if len(self.trace) > 2 * TRACE_KEPT:
            del self.trace[:TRACE_KEPT]
        for watcher in self.watchers:
            watcher(self.now, who, what, facts)

    def run(self, until: int) -> None:
        """Run up to that time, or until a watcher sets `failure`."""
        while self.heap and self.heap[0][0] <= until and self.failure is None:
            self.now, _, work, args = heappop(self.heap)
            work(*args)
        if self.failure is None:
            self.now = max(self.now, until)

    def milliseconds(self) -> float:
        """Return the time since the start of the run in milliseconds."""
        return (self.now - START) / MS
