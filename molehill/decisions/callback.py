"""A pending callback, its states, and the value of its delivery over time."""

from typing import TYPE_CHECKING, Optional

from molehill import interface
from molehill.interface import DeliverySemantics

if TYPE_CHECKING:
    from molehill.decisions.endpoint import Call

# WAITING_FOR_KEY: an earlier callback of its key is not completed, or the key is in its cooldown.
# QUEUED: may be sent. IN_FLIGHT: an attempt has no outcome yet. COMPLETED: it has its final answer.
WAITING_FOR_KEY, QUEUED, IN_FLIGHT, COMPLETED = "turn", "queued", "out", "over"
WAITING_STATES = (WAITING_FOR_KEY, QUEUED)


class Callback:
    """One callback from its arrival to its final answer; times are in nanoseconds."""

    def __init__(
        self,
        new_callback: interface.NewCallback,
        callback_class: interface.CallbackClass,
        value: float,
        over_quota: bool,
    ) -> None:
        """Makes a callback that has no state yet.

        `value` is what a delivery in time is worth; `over_quota`: it exceeds its tenant's quota.
        """
        self.id = new_callback.callback
        self.callback_class = callback_class
        self.value = value
        self.queue_group = (new_callback.callback_class, over_quota)
        self.key: Optional[str] = None  # set if its class is ordered
        self.deadline = new_callback.deadline
        self.target_time = (
            new_callback.deadline - callback_class.time_limit + callback_class.target_latency
        )
        self.value_floor_at = self.deadline  # from then on its value stays constant
        self.is_at_value_floor = False  # it was queued after value_floor_at
        self.destination = new_callback.destination
        self.state: Optional[str] = None
        self.attempts = new_callback.attempts
        self.call: Optional[Call] = None  # in flight
        self.untried_at_restart = False  # a restart found it without an attempt
        self.may_have_run = False
        # once it may have run, the only zone whose hosts recognize a repeat; None: any
        self.repeat_zone: Optional[int] = None
        # until then a repeat is harmless
        self.repeat_until = (
            self.deadline if callback_class.semantics is DeliverySemantics.IDEMPOTENT else 0
        )

    def value_at(self, time: int, value_halves: bool) -> float:
        """Returns the value of a delivery at that time; 0 from the deadline on.

        After its target time it halves every target_latency (`value_halves`) or falls linearly.
        """
        lateness = time - self.target_time
        if lateness <= 0:
            return self.value
        if time >= self.deadline:
            return 0.0
        callback_class = self.callback_class
        if value_halves:
            remaining_share = (
                0.5 ** (lateness / callback_class.target_latency)
                if callback_class.target_latency
                else 0.0
            )
            return self.value * max(callback_class.late_value_share, remaining_share)
        span = max(1, callback_class.time_limit - callback_class.target_latency)
        return self.value * (1.0 - (1.0 - callback_class.late_value_share) * lateness / span)
