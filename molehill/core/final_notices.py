"""When the notice that ends a callback may go.

A call and the notice behind it go by connections of their own, and nothing orders these: a platform may read the notice before a host
reads the call. So a notice waits until the hosts of calls that were given up have read them or never will, as long as the rules leave.
No input, output or clock here; all times are nanoseconds of the relay's clock.
"""

from typing import Iterable, Optional

from molehill.config import MS

# Between the last byte of a call whose connection broke and the notice
AFTER_BROKEN_CALL = 100 * MS
# Behind the callback's time: the rules leave 300 ms, of which a process may be held up for 150
LATEST = 150 * MS
# the same where a call was written that late, as this process was held up before the write; of 350 ms
LATEST_HELD_UP = 200 * MS
# Behind a start: the rules leave 1.5 s
LATEST_AFTER_START = 1200 * MS


class FinalNotices:
    """Keeps what may be read late. `connect_time_out`: by when a host has a call that was written, or its connection counts as
    never up."""

    def __init__(self, connect_time_out: int):
        self.connect_time_out = connect_time_out
        # calls that were given up, their hosts not known to have read them -> ids
        self.given_up: dict[int, list[str]] = {}

    def not_before(self, callback) -> int:
        """The time before which the callback's notice may not go."""
        latest = max(callback.due + LATEST, callback.notice_latest)
        return min(callback.earliest_notice(), latest)

    def call_ended(
        self,
        callback,
        call: int,
        written_at: Optional[int],
        unread_until: Optional[int],
        doubt: bool,
    ) -> None:
        """A call of it has its outcome. `written_at`, `unread_until`: as of `ev.Ended`; `doubt`: it may run still."""
        if written_at is not None and written_at >= callback.due:
            callback.notice_latest = callback.due + LATEST_HELD_UP
        if unread_until is not None:
            callback.may_be_read(call, unread_until)
            self.given_up.setdefault(call, []).append(callback.id)
        elif doubt and written_at is not None:
            callback.notice_from = max(callback.notice_from, written_at + AFTER_BROKEN_CALL)

    def host_done(self, call: int) -> list[str]:
        """Nothing more will be known of the host of that call; the ids that it was for."""
        return self.given_up.pop(call, [])

    def recovered(self, callback, launched_at: int) -> None:
        """A call of it by an earlier process ended without an answer; that process launched it then."""
        callback.notice_from = max(callback.notice_from, launched_at + self.connect_time_out)

    def started(self, callbacks: Iterable, now: int) -> None:
        """These outlived a process that was ended."""
        for callback in callbacks:
            callback.notice_latest = now + LATEST_AFTER_START
