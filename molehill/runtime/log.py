"""structlog to standard error that never blocks the loop: lines wait in a bounded row while nobody reads."""

import os
import select
from collections import deque
from datetime import datetime, timezone

import structlog

# a pipe that polls as writable takes so many bytes whole (PIPE_BUF)
PIECE = 4096
LINES_KEPT = 1000  # beyond it the oldest are dropped and counted


class Sink:
    """What structlog's logger writes to."""

    def __init__(self, fd: int = 2):
        self.fd, self.part, self.dropped = fd, b"", 0
        self.lines: deque[bytes] = deque()
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def msg(self, line: str) -> None:
        if len(self.lines) >= LINES_KEPT:
            self.lines.popleft()
            self.dropped += 1
        self.lines.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        """Writes what the descriptor takes now; whether all is written."""
        while self.part or self.lines:
            self.part = self.part or self.lines.popleft()
            if not any(mask & select.POLLOUT for _, mask in self.poll.poll(0)):
                return False
            try:
                self.part = self.part[os.write(self.fd, self.part[:PIECE]) :]
            except BlockingIOError:
                return False
            except OSError:  # nobody will ever read it
                self.part = b""
                self.lines.clear()
        return True


def logger(sink, name: str, clock):
    """structlog on a sink, with the relay's own clock (nanoseconds, Unix time) in each line."""

    def stamp(_, __, line):
        line["timestamp"] = (
            datetime.fromtimestamp(clock() / 1e9, timezone.utc).isoformat().replace("+00:00", "Z")
        )
        return line

    made = structlog.wrap_logger(
        sink,
        processors=[
            structlog.processors.add_log_level,
            stamp,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"], sort_keys=True
            ),
        ],
    )
    return made.bind(relay=name)
