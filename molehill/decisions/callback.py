"""A callback that the relay holds, its states, and what its delivery is worth over time."""

from typing import TYPE_CHECKING, Optional

from molehill import interface
from molehill.interface import DeliverySemantics

if TYPE_CHECKING:
    from molehill.decisions.endpoint import Call

# WAITING_FOR_KEY: an earlier one of its key is not over, or the key rests; QUEUED: may be launched; IN_FLIGHT: a launch has no
# outcome yet; COMPLETED: it has its final answer.
WAITING_FOR_KEY, QUEUED, IN_FLIGHT, COMPLETED = "turn", "queued", "out", "over"
WAITING_STATES = (WAITING_FOR_KEY, QUEUED)


class Callback:
    """One callback from its arrival to its final answer. All times are nanoseconds of the relay's clock."""

    def __init__(
        self,
        new_callback: interface.NewCallback,
        callback_class: interface.CallbackClass,
        value: float,
        over_quota: bool,
    ) -> None:
        """`new_callback`: as it was taken on; `callback_class`: its settings; `over_quota`: beyond its tenant's quota."""
        self.id = new_callback.callback
        self.callback_class = callback_class
        self.value = value
        self.queue_group = (new_callback.callback_class, over_quota)
        self.key: Optional[str] = None  # set where its order within the key counts
        self.deadline = new_callback.deadline
        self.target_time = (
            new_callback.deadline - callback_class.time_limit + callback_class.target_latency
        )
        self.value_floor_at = self.deadline  # from then on it loses no more by waiting
        self.is_at_value_floor = False  # queued since it was stale
        self.destination = new_callback.destination
        self.state: Optional[str] = None
        self.attempts = new_callback.attempts
        self.call: Optional[Call] = None  # the one that is out
        self.untried_at_restart = False  # found untried by a restart
        self.may_have_run = False
        self.repeat_zone: Optional[int] = (
            None  # once it may have run, the only zone where a repeat is known; None: any
        )
        # a repeat is known till then
        self.repeat_until = (
            self.deadline if callback_class.semantics is DeliverySemantics.IDEMPOTENT else 0
        )

    def value_at(self, time: int, value_halves: bool) -> float:
        """The payoff of a delivery at that time; `value_halves`: it halves with each further span to the goal."""
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
