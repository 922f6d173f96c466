"""A connection to discovery, whose answer may be held for long but then comes without long gaps."""

from typing import Optional

from molehill.config import MS, SECOND
from molehill.http.stream import HttpStream

MIN_ANSWER_DURATION = 5 * SECOND  # for all of an answer from its first bytes on
# An answer that has begun goes on within this. Its contents count as known 6 s after it stopped.
STALL_TIMEOUT = 1500 * MS


class ListStream(HttpStream):
    """A connection to discovery; an answer that has begun is not waited for as a watch is."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.began_at: Optional[int] = None  # when the first bytes of the present answer came
        self.reads_body = False
        # of the present answer: the longest gap between its bytes, and the time for all of it
        self.stall_timeout, self.answer_timeout = STALL_TIMEOUT, MIN_ANSWER_DURATION

    def expect_answer(self, stall_timeout: int, answer_timeout: int) -> None:
        """Prepares for the answer to a new request; both limits count from its first bytes on."""
        self.began_at, self.reads_body = None, False
        self.stall_timeout, self.answer_timeout = stall_timeout, answer_timeout

    def read(self, deadline):
        """Reads as Stream.read does, until `deadline` only while no answer has begun."""
        if not self.reads_body and not len(self.buffer):
            self.began_at = None  # nothing came yet, or an interim response only
        if self.began_at is not None:
            now = self.scheduler.clock()
            deadline = min(self.began_at + self.answer_timeout, now + self.stall_timeout)
        super().read(deadline)
        if self.began_at is None:
            self.began_at = self.scheduler.clock()

    def read_body(self, head, until) -> bytes:
        """Reads a body as HttpStream.read_body does; its head is the beginning of the answer."""
        self.reads_body = True
        return super().read_body(head, until)
