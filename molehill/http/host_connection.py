"""A connection to a host: an HTTP/1.1 connection that carries one call after another.

An answer names no call, so a late copy of an earlier answer looks like the answer to the call that
is out. The connection remembers its answers with 200, and a copy is recognized by its body.
"""

from itertools import count

from molehill.http.answer_variety import body_digest
from molehill.http.parser import Head, MalformedMessage
from molehill.http.stream import HttpStream

# answers that a connection remembers at most: it is not used again after so many
MAX_REMEMBERED_ANSWERS = 256
STATUS_LINE_START = b"HTTP/1."
connection_numbers = count(1)


class HostConnection(HttpStream):
    """A connection to a host.

    `number`: identifies it among the connections of this process; `calls_written`: the calls that
    it has carried, in this process and in those that handed it over; `answer_digests`: of the
    answers to them.
    """

    def __init__(self, scheduler, sock, kind, budget):
        super().__init__(scheduler, sock, kind, budget)
        self.number, self.calls_written = next(connection_numbers), 0
        self.answer_digests: set[int] = set()

    @property
    def has_answered(self) -> bool:
        """Returns whether an earlier call was answered, so that parts of its answer may come."""
        return bool(self.answer_digests)

    def remember_answer(self, body: bytes) -> None:
        """Remembers an answer with 200 by its body."""
        self.answer_digests.add(body_digest(body))

    def repeats_earlier_answer(self, head: Head, body: bytes) -> bool:
        """Returns whether an answer has the status and the body of an earlier one."""
        return head.status == 200 and body_digest(body) in self.answer_digests

    def raise_if_merged(self, body: bytes) -> None:
        """Raises MalformedMessage if the answer that was read last holds the start of another one.

        Part of an earlier answer and the answer behind it may read as one whole answer.
        """
        if not self.has_answered:
            return
        behind_it = self.buffer.peek(len(STATUS_LINE_START) - 1)
        if STATUS_LINE_START in self.parser.raw_head[1:] + body + behind_it:
            raise MalformedMessage(400, "two answers that ran together")

    def handover_row(self) -> dict:
        """Returns what the next process has to know of this connection."""
        return {"calls": self.calls_written, "answers": sorted(self.answer_digests)}

    def has_room_for_answers(self) -> bool:
        """Returns whether the answer to another call can be remembered."""
        return len(self.answer_digests) < MAX_REMEMBERED_ANSWERS
