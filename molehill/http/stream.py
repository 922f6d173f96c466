"""A connection that speaks HTTP/1.1: reads heads, interim responses and bodies from its buffer."""

from molehill.http.parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, MalformedMessage, Parser
from molehill.runtime.stream import ConnectionBroken, Stream

# bytes of a message besides its body, and some of the next message
HEAD_ALLOWANCE = MAX_HEAD_BYTES + 1024


class HttpStream(Stream):
    """An HTTP/1.1 connection.

    Responses are read, or requests if `reads_responses` is false; `max_body_bytes` limits each
    body.
    """

    def __init__(
        self,
        scheduler,
        sock,
        kind,
        budget,
        reads_responses: bool = True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ):
        super().__init__(scheduler, sock, kind, budget, HEAD_ALLOWANCE + max_body_bytes)
        self.parser, self.interim_count = Parser(self.buffer, reads_responses, max_body_bytes), 0

    def read_head(self, until):
        """Reads a head; raises MalformedMessage, ConnectionBroken and, at `until`, TimedOut."""
        while (head := self.parser.next_head()) is None:
            self.read(until)
        return head

    def unread_bytes(self) -> bytes:
        """Returns what has been read and not used, with the head of an incomplete message."""
        return self.parser.raw_head + super().unread_bytes()

    MAX_INTERIM_RESPONSES = 16  # responses of 1xx before the final one

    def read_response_head(self, until):
        """Reads the head of the final response and skips the interim ones before it.

        Raises MalformedMessage, ConnectionBroken and, at `until`, TimedOut.
        """
        head = self.read_head(until)
        while 100 <= head.status < 200:
            self.parser.start_line_bytes, self.interim_count = b"", self.interim_count + 1
            if self.interim_count > self.MAX_INTERIM_RESPONSES:
                raise MalformedMessage(400, "too many interim responses")
            head = self.read_head(until)
        self.interim_count = 0
        return head

    def read_body(self, head, until) -> bytes:
        """Reads a body of known length or in chunks, or else all up to the end of the connection.

        Raises MalformedMessage, ConnectionBroken and, at `until`, TimedOut.
        """
        if head.is_chunked:
            while (body := self.parser.chunked_body()) is None:
                self.read(until)
            return body
        if head.content_length is not None:
            while len(self.buffer) < head.content_length:
                self.read(until)
            return self.buffer.take(head.content_length)
        head.keep_alive = False
        try:
            while len(self.buffer) <= self.parser.max_body_bytes:
                self.read(until)
        except ConnectionBroken:
            return self.buffer.take(len(self.buffer))
        raise ConnectionBroken("the body is too long")
