"""How long the relay may go by the host list that it has.

Discovery's news counts as known some time after discovery had it, whether or not it arrived. So a
list is leased: each answer renews the lease, and how the requests after it fare tells when the
lease runs out. Without a lease no call is begun, as any host may be one that is to get none.

A request that fails after it was sent tells nothing: a discovery that has too many requests turns
one away just as one that is down does. Only where no connection to discovery comes up, nothing
counts as known, and the lease is suspended. That does not hold for news that was missed before: the
lease runs out all the same, and stays so until discovery answers, also over a restart.

Plain data, no input or output; times are nanoseconds of the relay's clock.
"""

from enum import Enum
from typing import Optional

from molehill.config import MS, SECOND

UNTOLD_LIMIT = 6 * SECOND  # after discovery had news
HELD_LIMIT = 2 * SECOND  # after the hold of a request that waited for the news
MOVED_LIMIT = 4 * SECOND  # after discovery moved
HANDOVER_LIMIT = 2 * SECOND  # after this process took over from an earlier one
# A request that is out for longer waits for news, and no more for its turn.
TURN_LIMIT = 2500 * MS
# The process may be held up for so long between the check of a call and its first byte.
WRITE_DELAY = 150 * MS


class ListOutcome(Enum):
    """How a request for the host list ended; the values are the names in the log's counts."""

    ANSWERED = "answered"
    OUTDATED = "outdated"  # by another answer on the same connection
    UNREADABLE = "unreadable"
    SILENT = "silent"
    STOPPED = "stopped in the middle"
    CONNECTING_LATE = "connection late"  # made anew, before the settings' time for it was over
    NOT_CONNECTED = "not connected"  # in the settings' time
    UNREACHABLE = "unreachable"  # the connection was refused, or broke before the request
    INTERRUPTED = "interrupted"  # given up for a request that is answered at once
    DISCARDED = "discarded"  # given up with an answer, or a part of one, that was not read
    FAILED = "failed"  # after it was sent; discovery may be up
    LOCAL_ERROR = "local error"  # this machine could not connect; discovery might have answered


UNREACHABLE_OUTCOMES = (ListOutcome.NOT_CONNECTED, ListOutcome.UNREACHABLE)
# no request was sent, and discovery might have answered one
UNPROVEN_OUTCOMES = (ListOutcome.LOCAL_ERROR, ListOutcome.CONNECTING_LATE)
# an answer was written, and what it held is lost
LOST_OUTCOMES = (ListOutcome.OUTDATED, ListOutcome.UNREADABLE, ListOutcome.DISCARDED)


def earliest(*times: Optional[int]) -> Optional[int]:
    """Returns the earliest of these times, None if none is known."""
    return min((time for time in times if time is not None), default=None)


class ListLease:
    """The lease on the host list of one process.

    `current_at`: when the list was last known to be current, None: never. `pending_at`: when news
    that discovery may have counts as known, None: nothing does. `missed_at`: when news that was
    missed does, None: none was missed.
    """

    def __init__(self) -> None:
        self.current_at: Optional[int] = None
        self.pending_at: Optional[int] = None
        self.missed_at: Optional[int] = None
        self.unreachable_at: Optional[int] = None  # discovery could not be reached then
        self.is_unanswered = False  # a request that was sent has got no answer
        self.was_answered = False  # this process, or the one that handed over to it
        # an earlier process may have been told more than the log has
        self.is_restored = True

    @property
    def expires_at(self) -> Optional[int]:
        """When the lease runs out; None: it is suspended."""
        return earliest(self.pending_at, self.missed_at)

    def started(self, now: int) -> None:
        """Takes the list of a first start as current."""
        self.current_at = now if self.current_at is None else self.current_at
        self.is_restored = False

    def taken_over(self, now: int) -> None:
        """Takes over the list of an earlier process, which knew its age."""
        self.current_at, self.was_answered = now + HANDOVER_LIMIT - UNTOLD_LIMIT, True
        self.missed_at, self.is_restored = None, False

    def restore(self, current_at: Optional[int], missed_at: Optional[int]) -> None:
        """Starts from what an earlier process has logged."""
        self.current_at, self.missed_at = current_at, missed_at

    def answered(self, now: int) -> None:
        """Renews the lease: the list is current."""
        self.current_at, self.pending_at, self.was_answered = now, now + UNTOLD_LIMIT, True
        self.unreachable_at, self.missed_at = None, None
        self.is_unanswered = self.is_restored = False

    def request_sent(self, now: int, hold: int) -> None:
        """Counts from a request that discovery may hold for `hold` until there is news.

        The hold of an earlier request that got no answer does not count any more.
        """
        is_owed = self.is_unanswered or self.missed_at is not None
        limit = now if self.is_restored else max(now, self._untold_limit(now))
        if is_owed:
            self._count_by(limit)
        else:
            self.pending_at = max(limit, now + hold + HELD_LIMIT) if hold else limit
        self.is_unanswered = True

    def _untold_limit(self, now: int) -> int:
        """Returns when news counts as known that came since nothing counted as known.

        That is `now` if this process does not know when its list was current.
        """
        contacts = [at for at in (self.current_at, self.unreachable_at) if at is not None]
        return max(contacts) + UNTOLD_LIMIT if contacts else now

    def request_ended(
        self, now: int, outcome: ListOutcome, began_at: Optional[int] = None, held_for: int = 0
    ) -> None:
        """Applies the end of a request other than an answer.

        `began_at`: when the first bytes of an answer came that stopped, up to which the list was
        current; None for other outcomes. `held_for`: how long a request that discovery may hold was
        out.
        """
        if outcome is ListOutcome.SILENT:
            # After a start without any answer, discovery may be busy with all who start.
            if self.was_answered:
                self._miss_by(self.pending_at)
        elif outcome is ListOutcome.FAILED:
            self._request_failed(now, held_for)
        elif outcome in UNREACHABLE_OUTCOMES:
            self.pending_at, self.unreachable_at = None, now
            self.is_unanswered = self.is_restored = False
        elif outcome in UNPROVEN_OUTCOMES:
            self._count_by(now if self.is_restored else max(now, self._untold_limit(now)))
        elif outcome in LOST_OUTCOMES:
            self._miss_by(now)
        elif began_at is not None and self.current_at is not None:
            if not self.is_restored:
                self.current_at = max(self.current_at, began_at)
            self._miss_by(self.current_at + UNTOLD_LIMIT)

    def _request_failed(self, now: int, held_for: int) -> None:
        """Counts from the last time at which the list was current.

        A request that waited for news would have brought it up to the moment at which it failed,
        unless it was ignored, and then its own limit holds.
        """
        if held_for >= TURN_LIMIT:
            self.current_at = now
        limit = self._untold_limit(now)
        self.pending_at = limit if self.is_restored else earliest(limit, self.pending_at)
        if self.current_at is not None and self.pending_at is not None:
            self.current_at = self.pending_at - UNTOLD_LIMIT
        self.is_unanswered, self.is_restored = True, False

    def discovery_moved(self, now: int) -> None:
        """Limits the lease, as the news of the new address counts as known soon."""
        self._count_by(now + MOVED_LIMIT)

    def _count_by(self, limit: int) -> None:
        self.pending_at, self.is_unanswered = earliest(limit, self.pending_at), True

    def _miss_by(self, limit: Optional[int]) -> None:
        self.missed_at, self.is_unanswered = earliest(limit, self.missed_at), True

    def as_restored(self) -> tuple[Optional[int], Optional[int]]:
        """Returns what `restore` takes."""
        return self.current_at, self.missed_at

    def is_suspended(self) -> bool:
        """Returns whether the list may be used without a limit."""
        return self.expires_at is None

    def has_expired(self, now: int, grace: int) -> bool:
        """Returns whether a call that is begun now may reach a host that is to get none.

        `grace`: for how long a draining host may get calls after its drain is known.
        """
        expires_at = self.expires_at
        return expires_at is not None and now >= expires_at + max(0, grace - WRITE_DELAY)
