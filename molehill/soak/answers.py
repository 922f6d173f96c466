"""Builds the stand-ins' answers, and writes some of them a second time."""

import asyncio
from itertools import count
from random import Random

from molehill.soak.history import Copied, History
from molehill.soak.plan import Copies

SAME_BODY = b"accepted"


def build_response(status: int, headers: str = "", body: bytes = b"") -> bytes:
    """Returns an HTTP/1.1 response; each line of `headers` ends with CRLF."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class AnswerCopier:
    """Writes copies of answers as a plan says, on the connection of the answer."""

    def __init__(self, copies: Copies, history: History, rng: Random):
        self.copies, self.history, self.rng = copies, history, rng
        self.body_numbers, self.tasks = count(), set()

    def next_body(self) -> bytes:
        """Returns the body of the next answer with 200."""
        return b"%016x" % next(self.body_numbers) if self.copies.distinct_bodies else SAME_BODY

    def copy_later(self, writer, data: bytes, *facts) -> None:
        """May write `data` once more after a delay; `facts`: fields of the `Copied` event."""
        if self.rng.random() >= self.copies.share:
            return
        delay = self.rng.uniform(0, self.copies.max_delay)
        if self.rng.random() < self.copies.cut_share:
            data = data[: self.rng.randrange(1, len(data))]
        task = asyncio.create_task(self._write_copy(writer, data, delay, facts))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write_copy(self, writer, data: bytes, delay: float, facts) -> None:
        await asyncio.sleep(delay)
        if not writer.is_closing():
            self.history.record(Copied, *facts)
            writer.write(data)
