"""Callback states: order within a key, whether an attempt is allowed, and the final answer."""

from heapq import heappush
from typing import Optional

from molehill import interface
from molehill.decisions.callback import COMPLETED, QUEUED, WAITING_FOR_KEY, WAITING_STATES, Callback
from molehill.decisions.endpoint import Destination
from molehill.decisions.limiter import SECOND
from molehill.decisions.state import State
from molehill.interface import DeliverySemantics

# A client counts its deadline from the time it sent the callback. This span covers the transit to
# the relay and one batch, as batches are at least that far apart.
CLIENT_DELAY = SECOND // 200
REPEAT_WINDOW_SHARE = 15, 16  # of the deduplication window; the rest is for a new connection
LATENCY_DIVISOR = 16  # an expected latency counts up to 1/16 of the class's time limit
REJECT_RETRY_AFTER = SECOND  # by then a queue has become shorter


class Lifecycle:
    """Makes every change of a callback's state."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.callbacks_by_key: dict[str, list[Callback]] = {}  # oldest first
        self.cooldowns: dict[str, int] = {}  # key -> end of its cooldown

    def set_state(self, callback: Callback, new_state: str) -> None:
        """Moves the callback to that state; one without a key skips WAITING_FOR_KEY."""
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
        # After an outage all waiting callbacks are late, and with the oldest first none would be in
        # time again. So those that lose no more value by waiting are sent last. Each attempt
        # moves a callback back by one second in the order.
        callback.is_at_value_floor = self.state.now >= callback.value_floor_at
        queue_key = (callback.queue_group, callback.may_have_run, callback.repeat_zone)
        queues = destination.queues.setdefault(queue_key, ([], []))
        order = callback.target_time + callback.attempts * SECOND
        serial = self.state.timers.next_serial()
        heappush(queues[callback.is_at_value_floor], (order, serial, callback))
        self.state.destinations_to_check[callback.destination] = True

    def add_to_key(self, callback: Callback, key: str) -> None:
        """Adds the callback behind earlier ones of its key."""
        callback.key = key
        self.callbacks_by_key.setdefault(key, []).append(callback)

    def start_key_cooldown(self, key: str, until: int) -> None:
        """Allows no attempt for callbacks of that key until then."""
        self.cooldowns[key] = max(until, self.cooldowns.get(key, 0))
        self.state.schedule(until, self.advance_key, key)

    def advance_key(self, key: Optional[str]) -> None:
        """Rule 5: queues a key's oldest callback if it may be sent.

        All before it have to be completed with no attempt in flight, and the cooldown to be over.
        """
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
        """Rule 2: notes an attempt that may have run.

        From the first one on, a deduplicated callback is sent only where and while hosts recognize
        the repeat.
        """
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
        """Rule 2: whether an attempt is allowed now.

        There has to be time for an answer: else, in a long queue, all callbacks are sent too late.
        """
        latest_end = callback.deadline
        if callback.may_have_run:
            latest_end = min(latest_end, callback.repeat_until)
        endpoints = self.state.ensure_destination(callback.destination).endpoints
        # bounded, so that high latencies measured long ago exclude no callback
        longest_latency = callback.callback_class.time_limit // LATENCY_DIVISOR
        latency = min(
            [longest_latency, *(endpoint.limiter.baseline_latency or 0 for endpoint in endpoints)]
        )
        if callback.attempts >= self.state.settings.max_attempts:
            return False
        return self.state.now + max(CLIENT_DELAY, latency) < latest_end

    def check_deadline(self, callback_id: interface.Id) -> None:
        """Gives a waiting callback up if no attempt is allowed any more."""
        callback = self.state.callbacks_by_id.get(callback_id)
        if callback is None or callback.state not in WAITING_STATES:
            return
        if not self.may_attempt(callback):
            self.give_up(callback)
        elif self.state.now < callback.deadline:
            # The latency that left no time for it has decreased since. The callback may still wait
            # for its key, and nothing else checks its deadline.
            self.state.schedule(callback.deadline, self.check_deadline, callback_id)

    def reject_retry_after(self) -> int:
        """Returns the Retry-After of a rejection in nanoseconds; 0: none."""
        settings = self.state.settings
        return (
            min(REJECT_RETRY_AFTER, settings.max_retry_after) if settings.sends_retry_after else 0
        )

    def give_up(self, callback: Callback) -> None:
        """Completes an undelivered callback: rejects it where that is harmless, else fails it."""
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
