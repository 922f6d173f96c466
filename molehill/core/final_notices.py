"""Decides when the final notice of a callback may be sent.

A call and a later notice use separate connections, and nothing orders these: a platform may read
the notice before a host reads the call. So a notice waits until the hosts of calls that were given
up have read them or never will, for as long as the rules allow. This module does no input or output
and reads no clock; all times are nanoseconds of the relay's clock.
"""

from typing import Iterable, Optional

from molehill.config import MS

# From the last byte of a call whose connection broke to the notice
BROKEN_CALL_DELAY = 100 * MS
# After the deadline of the callback: the rules allow 300 ms, of which a process may stall for 150
LATEST_AFTER_DEADLINE = 150 * MS
# The same for a call written after the deadline, as this process stalled before the write; the
# rules then allow 350 ms
LATEST_AFTER_LATE_WRITE = 200 * MS
# After a start: the rules allow 1.5 s
LATEST_AFTER_START = 1200 * MS


class FinalNotices:
    """Keeps the calls that were given up and may still be read by their hosts.

    `connect_timeout`: nanoseconds after which a host has received a call that was written, or the
    connection counts as never established.
    """

    def __init__(self, connect_timeout: int):
        self.connect_timeout = connect_timeout
        # call that was given up, and whose host is not known to have read it -> callback ids
        self.given_up_calls: dict[int, list[str]] = {}

    def not_before(self, callback) -> int:
        """Returns the time before which the callback's notice may not be sent."""
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
        """Records that a call with this callback has ended.

        `written_at`, `unread_until`: as in `events.CallEnded`. `may_still_run`: the host may still
        run the callback.
        """
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
        """Forgets a call about which nothing more will be known; returns its callback ids."""
        return self.given_up_calls.pop(call, [])

    def delay_after_recovery(self, callback, sent_at: int) -> None:
        """Delays the notice for an earlier process's call that ended without an answer.

        `sent_at`: when that process sent the callback.
        """
        callback.notice_not_before = max(callback.notice_not_before, sent_at + self.connect_timeout)

    def extend_after_start(self, callbacks: Iterable, now: int) -> None:
        """Allows a later notice for callbacks that were accepted by an earlier process."""
        for callback in callbacks:
            callback.notice_not_after = now + LATEST_AFTER_START
