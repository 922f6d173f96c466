"""When the notice that ends a callback may go.

A call and the notice behind it go by connections of their own, and nothing orders these: a platform may read the notice before a host
reads the call. So a notice waits until the hosts of calls that were given up have read them or never will, as long as the rules leave.
No input, output or clock here; all times are nanoseconds of the relay's clock.
"""

from typing import Iterable, Optional

from molehill.config import MS

# Between the last byte of a call whose connection broke and the notice
BROKEN_CALL_DELAY = 100 * MS
# Behind the callback's time: the rules leave 300 ms, of which a process may be held up for 150
LATEST_AFTER_DEADLINE = 150 * MS
# the same where a call was written that late, as this process was held up before the write; of 350 ms
LATEST_AFTER_LATE_WRITE = 200 * MS
# Behind a start: the rules leave 1.5 s
LATEST_AFTER_START = 1200 * MS


class FinalNotices:
    """Keeps what may be read late. `connect_timeout`: by when a host has a call that was written, or its connection counts as
    never up."""

    def __init__(self, connect_timeout: int):
        self.connect_timeout = connect_timeout
        # calls that were given up, their hosts not known to have read them -> ids
        self.given_up_calls: dict[int, list[str]] = {}

    def not_before(self, callback) -> int:
        """The time before which the callback's notice may not go."""
        latest = max(callback.deadline + LATEST_AFTER_DEADLINE, callback.notice_not_after)
        return min(callback.earliest_notice(), latest)

    def call_ended(
        self,
        callback,
        call: int,
        written_at: Optional[int],
        unread_until: Optional[int],
        may_still_run: bool,
    ) -> None:
        """A call of it has its outcome. `written_at`, `unread_until`: as of `ev.CallEnded`; `may_still_run`: it may run still."""
        if written_at is not None and written_at >= callback.deadline:
            callback.notice_not_after = callback.deadline + LATEST_AFTER_LATE_WRITE
        if unread_until is not None:
            callback.add_unread_call(call, unread_until)
            self.given_up_calls.setdefault(call, []).append(callback.id)
        elif may_still_run and written_at is not None:
            callback.notice_not_before = max(
                callback.notice_not_before, written_at + BROKEN_CALL_DELAY
            )

    def pop_call(self, call: int) -> list[str]:
        """Nothing more will be known of the host of that call; the ids that it was for."""
        return self.given_up_calls.pop(call, [])

    def delay_after_recovery(self, callback, sent_at: int) -> None:
        """A call of it by an earlier process ended without an answer; that process launched it then."""
        callback.notice_not_before = max(callback.notice_not_before, sent_at + self.connect_timeout)

    def extend_after_start(self, callbacks: Iterable, now: int) -> None:
        """These outlived a process that was ended."""
        for callback in callbacks:
            callback.notice_not_after = now + LATEST_AFTER_START
