"""Reads the answer to one call, and tells it from late copies of earlier answers.

An answer names no call: what comes on a connection that has answered before may belong to an
earlier call.
"""

from typing import Callable

from molehill.config import MS
from molehill.core import events as ev
from molehill.http import host_responses
from molehill.http.host_connection import HostConnection
from molehill.http.parser import Head, MalformedMessage
from molehill.interface import Result
from molehill.runtime.stream import TimedOut

# for the rest of an answer whose outcome is known: its segments arrive shortly after one another
REMAINDER_TIMEOUT = 250 * MS
START_LINE_BYTES = 64  # enough to hold a status
MAX_COPIES = 16  # of earlier answers before the call's own


class AnswerReader:
    """Reads the answer to a call from its connection.

    `answered_at`: when the head of its answer was read, in nanoseconds of `clock`;
    `outcome_is_known`: that head tells the outcome, whatever follows; `copies_skipped`: answers that
    the connection had carried before.
    """

    def __init__(
        self,
        stream: HostConnection,
        is_bundle: bool,
        clock: Callable[[], int],
        on_copy: Callable[[], None],
    ):
        """`on_copy` is called for each copy that is skipped."""
        self.stream, self.is_bundle, self.clock, self.on_copy = stream, is_bundle, clock, on_copy
        self.answered_at: int | None = None
        self.outcome_is_known, self.copies_skipped = False, 0

    def read(self, until: int) -> tuple[Head, bytes]:
        """Returns the head and the body of the whole answer.

        Raises MalformedMessage, ConnectionBroken and, at `until` or for lack of the rest of an
        answer, TimedOut.
        """
        while self.copies_skipped <= MAX_COPIES:
            head, body = self._read_next(until)
            if not self.stream.repeats_earlier_answer(head, body):
                self.stream.raise_if_merged(body)
                return head, body
            self._skip_copy()
        raise MalformedMessage(400, "too many copies of earlier answers")

    def _read_next(self, until: int) -> tuple[Head, bytes]:
        head = self.stream.read_response_head(until)
        self.answered_at = self.clock()
        has_single_outcome = not self.is_bundle and head.status in (200, 500)
        self.outcome_is_known = has_single_outcome and not self.stream.has_answered
        body_deadline = until
        if has_single_outcome:
            body_deadline = min(until, self.answered_at + REMAINDER_TIMEOUT)
        return head, self.stream.read_body(head, body_deadline)

    def _skip_copy(self) -> None:
        self.answered_at, self.outcome_is_known = None, False
        self.copies_skipped += 1
        self.stream.parser.start_line_bytes = self.stream.parser.raw_head = b""
        self.on_copy()

    def outcome_of_failure(self, error: Exception, until: int) -> ev.AttemptOutcome:
        """Returns the outcome if `read` has raised `error`.

        Part of an answer that refuses a callback proves nothing. Of a malformed or truncated
        answer, only a status line with 200 to a call with one callback counts, and on a connection
        that has answered before not even that. So for such a 200, and for a 500, which proves as
        little as a broken answer, the rest is waited for only REMAINDER_TIMEOUT.
        """
        is_timeout = isinstance(error, TimedOut) and self.clock() >= until
        if is_timeout and not self.outcome_is_known:
            return ev.AttemptOutcome("", Result.TIMEOUT)
        if self._has_first_line_of_200():
            return host_responses.END_BY_STATUS[200]
        if self.outcome_is_known:
            return host_responses.END_BY_STATUS[500]
        return ev.AttemptOutcome("", Result.RESET)

    def _has_first_line_of_200(self) -> bool:
        stream = self.stream
        received = stream.parser.start_line_bytes or stream.buffer.peek(START_LINE_BYTES)
        is_200 = received.startswith(b"HTTP/1.1 200 ") and b"\r\n" in received
        return is_200 and not self.is_bundle and not stream.has_answered

    def is_too_late(self, until: int) -> bool:
        """Returns whether the outcome became known after the deadline of the call."""
        known_at = self.answered_at if self.outcome_is_known else self.clock()
        return known_at is not None and known_at > until
