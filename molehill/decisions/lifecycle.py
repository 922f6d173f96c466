"""A callback's way through its states: per-key order, what may be launched still, and its final answer."""

from heapq import heappush
from typing import Optional

from molehill import interface
from molehill.decisions.callback import COMPLETED, QUEUED, WAITING_FOR_KEY, WAITING_STATES, Callback
from molehill.decisions.endpoint import Destination
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.interface import DeliverySemantics

# a client counts from when it sent: its way here and one batch, as batches are no closer
CLIENT_DELAY = SECOND // 200
REPEAT_WINDOW_SHARE = 15, 16  # of a repeat's window: a new connection takes its time
LATENCY_DIVISOR = 16  # of the span to its end that a call's latency counts at most
REJECT_RETRY_AFTER = SECOND  # a queue thins by then


class Lifecycle:
    """Every change of a callback's state."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.callbacks_by_key: dict[str, list[Callback]] = {}  # the oldest of a key first
        self.cooldowns: dict[str, int] = {}  # key -> until when it rests

    def set_state(self, callback: Callback, new_state: str) -> None:
        """Into that state."""
        if new_state is WAITING_FOR_KEY and callback.key is None:
            new_state = QUEUED
        old_state, callback.state = callback.state, new_state
        destination = self.state.ensure_destination(callback.destination)
        destination.waiting_count += (new_state in WAITING_STATES) - (old_state in WAITING_STATES)
        if new_state is QUEUED:
            self._enqueue(callback, destination)
        elif new_state is COMPLETED and old_state is not COMPLETED:
            if callback.call is None:
                del self.state.callbacks_by_id[callback.id]
            self.advance_key(callback.key)

    def _enqueue(self, callback: Callback, destination: Destination) -> None:
        # Danger: after an outage all that waits is late alike, and oldest first nothing is in time again.
        # What loses no more by waiting goes after the rest. One whose launch failed yields a second.
        callback.is_at_value_floor = self.state.now >= callback.value_floor_at
        queue_key = (callback.queue_group, callback.may_have_run, callback.repeat_zone)
        queues = destination.queues.setdefault(queue_key, ([], []))
        order = callback.target_time + callback.attempts * SECOND
        serial = self.state.timers.next_serial()
        heappush(queues[callback.is_at_value_floor], (order, serial, callback))
        self.state.destinations_to_check[callback.destination] = True

    def add_to_key(self, callback: Callback, key: str) -> None:
        """Behind those of its key that came before."""
        callback.key = key
        self.callbacks_by_key.setdefault(key, []).append(callback)

    def start_key_cooldown(self, key: str, until: int) -> None:
        """Nothing of that key is launched until then."""
        self.cooldowns[key] = max(until, self.cooldowns.get(key, 0))
        self.state.schedule(until, self.advance_key, key)

    def advance_key(self, key: Optional[str]) -> None:
        """Rule 5: a key's oldest goes once all before it are over, with no launch out, and the key rested."""
        if key is None:
            return
        callbacks = self.callbacks_by_key.get(key, [])
        while callbacks and callbacks[0].state is COMPLETED and callbacks[0].call is None:
            callbacks.pop(0)
        cooled_down = self.cooldowns.get(key, 0) <= self.state.now
        if callbacks and cooled_down and callbacks[0].state is WAITING_FOR_KEY:
            self.set_state(callbacks[0], QUEUED)
        elif not callbacks and cooled_down:
            self.callbacks_by_key.pop(key, None)
            self.cooldowns.pop(key, None)

    def mark_may_have_run(self, callback: Callback, sent_at: int, zone: Optional[int]) -> None:
        """Rule 2: from the first such launch on, a deduplicated one goes only where and while it is known."""
        callback_class = callback.callback_class
        if not callback.may_have_run and callback_class.semantics is DeliverySemantics.DEDUPLICATED:
            callback.repeat_zone = None if callback_class.deduplicated_everywhere else zone
            numerator, denominator = REPEAT_WINDOW_SHARE
            callback.repeat_until = (
                sent_at + callback_class.deduplication_window * numerator // denominator
            )
            self.state.schedule(callback.repeat_until, self.check_deadline, callback.id)
        callback.may_have_run = True

    def may_attempt(self, callback: Callback) -> bool:
        """Rule 2: whether it may be launched now. Danger: in a long queue all go too late for an answer."""
        latest_end = callback.deadline
        if callback.may_have_run:
            latest_end = min(latest_end, callback.repeat_until)
        endpoints = self.state.ensure_destination(callback.destination).endpoints
        # bounded, so that a slow spell long past shuts nobody out
        longest_latency = callback.callback_class.time_limit // LATENCY_DIVISOR
        latency = min(
            [longest_latency, *(endpoint.limiter.baseline_latency or 0 for endpoint in endpoints)]
        )
        if callback.attempts >= self.state.settings.max_attempts:
            return False
        return self.state.now + max(CLIENT_DELAY, latency) < latest_end

    def check_deadline(self, callback_id: interface.Id) -> None:
        """Its time may be over now."""
        callback = self.state.callbacks_by_id.get(callback_id)
        if callback is None or callback.state not in WAITING_STATES:
            return
        if not self.may_attempt(callback):
            self.give_up(callback)
        elif self.state.now < callback.deadline:
            # Danger: too late by a latency that has fallen since, it may wait for its turn, and nothing else looks at it.
            self.state.schedule(callback.deadline, self.check_deadline, callback_id)

    def reject_retry_after(self) -> int:
        """When a rejected one may come again; 0: not told."""
        settings = self.state.settings
        return (
            min(REJECT_RETRY_AFTER, settings.max_retry_after) if settings.sends_retry_after else 0
        )

    def give_up(self, callback: Callback) -> None:
        """The final answer for what is not delivered: rejected where that is harmless, else failed."""
        callback_class = callback.callback_class
        reject_before = callback.deadline - (CLIENT_DELAY if callback.may_have_run else 0)
        repeats_dropped_everywhere = (
            callback_class.semantics is DeliverySemantics.DEDUPLICATED
            and callback_class.deduplicated_everywhere
        )
        repeatable = (
            callback_class.semantics is DeliverySemantics.IDEMPOTENT or repeats_dropped_everywhere
        )
        if self.state.now < reject_before and (not callback.may_have_run or repeatable):
            self.state.actions.append(interface.Reject(callback.id, self.reject_retry_after()))
        else:
            self.state.actions.append(interface.Fail(callback.id))
        self.set_state(callback, COMPLETED)
