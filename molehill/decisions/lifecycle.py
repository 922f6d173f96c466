"""A callback's way through its states: per-key order, what may be launched still, and its final answer."""

from heapq import heappush
from typing import Optional

from molehill import interface as it
from molehill.decisions.callback import OVER, QUEUED, WAITING, WAITING_FOR_KEY, Callback
from molehill.decisions.endpoint import Destination
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.interface import Effect

# a client counts from when it sent: its way here and one batch, as batches are no closer
CLIENT_WAY = SECOND // 200
KNOWN_SHARE = 15, 16  # of a repeat's window: a new connection takes its time
LATENCY_SHARE = 16  # of the span to its end that a call's latency counts at most
RETURN_AFTER = SECOND  # a queue thins by then


class Lifecycle:
    """Every change of a callback's state."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.keys: dict[str, list[Callback]] = {}  # the oldest of a key first
        self.rests: dict[str, int] = {}  # key -> until when it rests

    def move(self, callback: Callback, to: str) -> None:
        """Into that state."""
        if to is WAITING_FOR_KEY and callback.key is None:
            to = QUEUED
        before, callback.state = callback.state, to
        destination = self.state.destination(callback.destination)
        destination.waiting += (to in WAITING) - (before in WAITING)
        if to is QUEUED:
            self._queue(callback, destination)
        elif to is OVER and before is not OVER:
            if callback.attempt is None:
                del self.state.held[callback.id]
            self.next_of_key(callback.key)

    def _queue(self, callback: Callback, destination: Destination) -> None:
        # Danger: after an outage all that waits is late alike, and oldest first nothing is in time again.
        # What loses no more by waiting goes after the rest. One whose launch failed yields a second.
        callback.late = self.state.now >= callback.stale
        lane = (callback.lane, callback.may_have_run, callback.zone)
        in_time_and_late = destination.lanes.setdefault(lane, ([], []))
        urgency = callback.goal + callback.launches * SECOND
        serial = self.state.timers.next_serial()
        heappush(in_time_and_late[callback.late], (urgency, serial, callback))
        self.state.to_look_at[callback.destination] = True

    def add_to_key(self, callback: Callback, key: str) -> None:
        """Behind those of its key that came before."""
        callback.key = key
        self.keys.setdefault(key, []).append(callback)

    def rest_key(self, key: str, until: int) -> None:
        """Nothing of that key is launched until then."""
        self.rests[key] = max(until, self.rests.get(key, 0))
        self.state.at(until, self.next_of_key, key)

    def next_of_key(self, key: Optional[str]) -> None:
        """Rule 5: a key's oldest goes once all before it are over, with no launch out, and the key rested."""
        if key is None:
            return
        line = self.keys.get(key, [])
        while line and line[0].state is OVER and line[0].attempt is None:
            line.pop(0)
        rested = self.rests.get(key, 0) <= self.state.now
        if line and rested and line[0].state is WAITING_FOR_KEY:
            self.move(line[0], QUEUED)
        elif not line and rested:
            self.keys.pop(key, None)
            self.rests.pop(key, None)

    def set_may_have_run(self, callback: Callback, sent: int, zone: Optional[int]) -> None:
        """Rule 2: from the first such launch on, a deduplicated one goes only where and while it is known."""
        category = callback.category
        if not callback.may_have_run and category.effect is Effect.DEDUPLICATED:
            callback.zone = None if category.all_hosts else zone
            share, whole = KNOWN_SHARE
            callback.repeat_until = sent + category.window * share // whole
            self.state.at(callback.repeat_until, self.time_up, callback.id)
        callback.may_have_run = True

    def may_launch(self, callback: Callback) -> bool:
        """Rule 2: whether it may be launched now. Danger: in a long queue all go too late for an answer."""
        ends = callback.due
        if callback.may_have_run:
            ends = min(ends, callback.repeat_until)
        endpoints = self.state.destination(callback.destination).endpoints
        # bounded, so that a slow spell long past shuts nobody out
        longest = callback.category.abandon // LATENCY_SHARE
        took = min([longest, *(endpoint.limiter.best or 0 for endpoint in endpoints)])
        if callback.launches >= self.state.settings.max_launches:
            return False
        return self.state.now + max(CLIENT_WAY, took) < ends

    def time_up(self, number: it.Id) -> None:
        """Its time may be over now."""
        callback = self.state.held.get(number)
        if callback is None or callback.state not in WAITING:
            return
        if not self.may_launch(callback):
            self.give_up(callback)
        elif self.state.now < callback.due:
            # Danger: too late by a latency that has fallen since, it may wait for its turn, and nothing else looks at it.
            self.state.at(callback.due, self.time_up, number)

    def return_after(self) -> int:
        """When a rejected one may come again; 0: not told."""
        settings = self.state.settings
        return min(RETURN_AFTER, settings.max_return) if settings.tells_return else 0

    def give_up(self, callback: Callback) -> None:
        """The final answer for what is not delivered: rejected where that is harmless, else failed."""
        category = callback.category
        latest = callback.due - (CLIENT_WAY if callback.may_have_run else 0)
        anywhere = category.effect is Effect.DEDUPLICATED and category.all_hosts
        repeatable = category.effect is Effect.IDEMPOTENT or anywhere
        if self.state.now < latest and (not callback.may_have_run or repeatable):
            self.state.actions.append(it.Reject(callback.id, self.return_after()))
        else:
            self.state.actions.append(it.Fail(callback.id))
        self.move(callback, OVER)
