"""How long the relay may go by the host list that it has.

Discovery's news counts as known some time after discovery had it, whether or not it arrived. So a
list is leased: each answer renews the lease, and how the requests after it fare tells when the
lease runs out. Without a lease no call is begun, as any host may be one that is to get none.

While discovery can't be reached, nothing counts as known, and the lease is suspended. That does not
hold for news from a time in which discovery took requests and answered none: the lease runs out all
the same, and stays so until discovery answers, also over a restart.

Plain data, no input or output; times are nanoseconds of the relay's clock.
"""

from enum import Enum
from typing import Optional

from molehill.config import MS, SECOND

UNTOLD_LIMIT = 6 * SECOND  # after discovery had news
HELD_LIMIT = 2 * SECOND  # after the hold of a request that waited for the news
MOVED_LIMIT = 4 * SECOND  # after discovery moved
HANDOVER_LIMIT = 2 * SECOND  # after this process took over from an earlier one
# The process may be held up for so long between the check of a call and its first byte.
WRITE_DELAY = 150 * MS


class ListOutcome(Enum):
    """How a request for the host list ended; the values are the names in the log's counts."""

    ANSWERED = "answered"
    OUTDATED = "outdated"  # by another answer on the same connection
    UNREADABLE = "unreadable"
    SILENT = "silent"
    STOPPED = "stopped in the middle"
    NOT_CONNECTED = "not connected"
    INTERRUPTED = "interrupted"  # given up for a request that is answered at once
    FAILED = "failed"
    LOCAL_ERROR = "local error"  # this machine could not connect; discovery might have answered


# discovery could not be reached, or refused the request
UNREACHABLE_OUTCOMES = (ListOutcome.NOT_CONNECTED, ListOutcome.FAILED)
# an answer was written, and what it held is lost
LOST_OUTCOMES = (ListOutcome.OUTDATED, ListOutcome.UNREADABLE)


class ListLease:
    """The lease on the host list of one process."""

    def __init__(self) -> None:
        # when the list was last known to be current; None: an earlier process may have known more
        self.current_at: Optional[int] = None
        self.expires_at: Optional[int] = None  # None: suspended
        self.unreachable_at: Optional[int] = None  # the last request failed then
        self.is_unanswered = False  # a request that was sent has got no answer
        self.hold = 0  # of the last request
        self.was_answered = False  # this process, or the one that handed over to it
        self.has_missed_news = False  # discovery could be reached, and answered nothing

    def started(self, now: int) -> None:
        """Takes the list of a first start as current."""
        self.current_at = now

    def taken_over(self, now: int) -> None:
        """Takes over the list of an earlier process, which knew its age."""
        self.current_at, self.was_answered = now + HANDOVER_LIMIT - UNTOLD_LIMIT, True

    def restore_missed_news(self) -> None:
        """Starts without a lease, as an earlier process had missed news."""
        self.has_missed_news, self.expires_at = True, 0

    def answered(self, now: int) -> None:
        """Renews the lease: the list is current."""
        self.current_at, self.expires_at, self.was_answered = now, now + UNTOLD_LIMIT, True
        self.unreachable_at, self.is_unanswered, self.has_missed_news = None, False, False

    def request_sent(self, now: int, hold: int) -> None:
        """Counts from a request that discovery may hold for `hold` until there is news.

        The hold of an earlier request that got no answer does not count any more.
        """
        was_owed = self._owes_news()
        expires_at = self._expect_news(now)
        if hold and not was_owed:
            self.expires_at = max(expires_at, now + hold + HELD_LIMIT)
        self.hold = hold

    def _owes_news(self) -> bool:
        """Returns whether the lease runs towards its end already."""
        return self.expires_at is not None and (self.is_unanswered or self.has_missed_news)

    def _expect_news(self, now: int) -> int:
        """Counts from the last time at which nothing counted as known, if it does not count yet.

        Returns when the lease runs out.
        """
        contacts = [at for at in (self.current_at, self.unreachable_at) if at is not None]
        expires_at = max([now, *(at + UNTOLD_LIMIT for at in contacts)])
        if self._owes_news():
            self._expire_by(expires_at)
        else:
            self.expires_at, self.is_unanswered = expires_at, True
        return expires_at

    def request_ended(self, now: int, outcome: ListOutcome, began_at: Optional[int]) -> None:
        """Applies the end of a request other than an answer.

        `began_at`: when the first bytes of an answer came that stopped, up to which the list was
        current; None for other outcomes.
        """
        if outcome is ListOutcome.SILENT:
            # After a start without any answer, or of a watch, this may be a discovery that is busy.
            self.has_missed_news |= self.was_answered and not self.hold
        elif outcome in UNREACHABLE_OUTCOMES and not self.has_missed_news:
            self.expires_at, self.unreachable_at, self.is_unanswered = None, now, False
        elif outcome is ListOutcome.LOCAL_ERROR:
            self._expect_news(now)
        elif outcome in LOST_OUTCOMES:
            self._expire_by(now)
        elif began_at is not None and self.current_at is not None:
            self.current_at = max(self.current_at, began_at)
            self._expire_by(self.current_at + UNTOLD_LIMIT)

    def discovery_moved(self, now: int) -> None:
        """Limits the lease, as the news of the new address counts as known soon."""
        self._expire_by(now + MOVED_LIMIT)

    def _expire_by(self, limit: int) -> None:
        self.expires_at = limit if self.expires_at is None else min(limit, self.expires_at)
        self.is_unanswered = True

    def is_suspended(self) -> bool:
        """Returns whether the list may be used without a limit."""
        return self.expires_at is None

    def has_expired(self, now: int, grace: int) -> bool:
        """Returns whether a call that is begun now may reach a host that is to get none.

        `grace`: for how long a draining host may get calls after its drain is known.
        """
        return self.expires_at is not None and now >= self.expires_at + max(0, grace - WRITE_DELAY)
