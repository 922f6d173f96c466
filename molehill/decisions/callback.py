"""A callback that the relay holds, its states, and what its delivery is worth over time."""

from typing import TYPE_CHECKING, Optional

from molehill import interface as it
from molehill.interface import Effect

if TYPE_CHECKING:
    from molehill.decisions.endpoint import Attempt

# WAITING_FOR_KEY: an earlier one of its key is not over, or the key rests; QUEUED: may be launched; OUT: a launch has no
# outcome yet; OVER: it has its final answer.
WAITING_FOR_KEY, QUEUED, OUT, OVER = "turn", "queued", "out", "over"
WAITING = (WAITING_FOR_KEY, QUEUED)


class Callback:
    """One callback from its arrival to its final answer. All times are nanoseconds of the relay's clock."""

    def __init__(
        self, new: it.NewCallback, category: it.Category, payoff: float, over_share: bool
    ) -> None:
        """`new`: as it was taken on; `category`: its settings; `over_share`: beyond its tenant's quota."""
        self.id = new.callback
        self.category = category
        self.payoff = payoff
        self.lane = (new.category, over_share)
        self.key: Optional[str] = None  # set where its order within the key counts
        self.due = new.abandon_at
        self.goal = new.abandon_at - category.abandon + category.goal
        self.stale = self.due  # from then on it loses no more by waiting
        self.late = False  # queued since it was stale
        self.destination = new.destination
        self.state: Optional[str] = None
        self.launches = new.launches
        self.attempt: Optional[Attempt] = None  # the one that is out
        self.kept = False  # found untried by a restart
        self.may_have_run = False
        self.zone: Optional[int] = (
            None  # once it may have run, the only zone where a repeat is known; None: any
        )
        # a repeat is known till then
        self.repeat_until = self.due if category.effect is Effect.IDEMPOTENT else 0

    def worth(self, at: int, halving: bool) -> float:
        """The payoff of a delivery at that time; `halving`: it halves with each further span to the goal."""
        late = at - self.goal
        if late <= 0:
            return self.payoff
        if at >= self.due:
            return 0.0
        category = self.category
        if halving:
            fallen = 0.5 ** (late / category.goal) if category.goal else 0.0
            return self.payoff * max(category.late_share, fallen)
        span = max(1, category.abandon - category.goal)
        return self.payoff * (1.0 - (1.0 - category.late_share) * late / span)
