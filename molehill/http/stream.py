"""A connection that speaks HTTP/1.1: heads, interim answers and bodies off its one buffer."""

from molehill.http.parser import BODY_MOST, HEAD_MOST, Malformed, Parser
from molehill.runtime.stream import Broken, Stream

MORE = HEAD_MOST + 1024  # bytes of one message beside its body, and some of the next


class HttpStream(Stream):
    """What is read are answers, or requests where `answers` is false; `most`: bytes of a body."""

    def __init__(self, scheduler, sock, kind, budget, answers: bool = True, most: int = BODY_MOST):
        super().__init__(scheduler, sock, kind, budget, MORE + most)
        self.parser, self.interim = Parser(self.buffer, answers, most), 0

    def head(self, until):
        while (head := self.parser.head()) is None:
            self.read(until)
        return head

    def unread_message(self) -> bytes:
        return self.parser.raw + super().unread_message()

    INTERIM_MOST = 16  # answers of 1xx before the real one; more is no answer

    def answer(self, until):
        """The head of an answer; interim ones before it are passed over."""
        head = self.head(until)
        while 100 <= head.status < 200:
            self.parser.line, self.interim = b"", self.interim + 1
            if self.interim > self.INTERIM_MOST:
                raise Malformed(400, "interim answers without end")
            head = self.head(until)
        self.interim = 0
        return head

    def body(self, head, until) -> bytes:
        """A body of told length or in chunks; where nothing is told, all up to the end of the stream."""
        if head.chunked:
            while (body := self.parser.chunked()) is None:
                self.read(until)
            return body
        if head.length is not None:
            while len(self.buffer) < head.length:
                self.read(until)
            return self.buffer.take(head.length)
        head.keep = False
        try:
            while len(self.buffer) <= self.parser.most:
                self.read(until)
        except Broken:
            return self.buffer.take(len(self.buffer))
        raise Broken("the body is too long")
