"""structlog output to standard error that never blocks the loop.

Lines wait in a bounded queue while nobody reads them.
"""

import os
import select
from collections import deque
from datetime import datetime, timezone

import structlog

# A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
MAX_WRITE_BYTES = 4096
MAX_QUEUED_LINES = 1000  # above this the oldest lines are dropped and counted


class Sink:
    """The output of structlog's logger: a descriptor and the lines that it has not taken yet."""

    def __init__(self, fd: int = 2):
        self.fd, self.partial_line, self.dropped = fd, b"", 0
        self.lines: deque[bytes] = deque()
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def msg(self, line: str) -> None:
        """Queues a line and writes what the descriptor accepts now."""
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.lines.popleft()
            self.dropped += 1
        self.lines.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        """Writes what the descriptor accepts now; returns whether all lines are written."""
        while self.partial_line or self.lines:
            self.partial_line = self.partial_line or self.lines.popleft()
            if not any(mask & select.POLLOUT for _, mask in self.poller.poll(0)):
                return False
            try:
                self.partial_line = self.partial_line[
                    os.write(self.fd, self.partial_line[:MAX_WRITE_BYTES]) :
                ]
            except BlockingIOError:
                return False
            except OSError:  # the reader is gone for good
                self.partial_line = b""
                self.lines.clear()
        return True


def make_logger(sink, name: str, clock):
    """Returns a structlog logger that writes to a sink and has the relay's name in each line.

    `clock()` gives the time of each line: Unix time in nanoseconds.
    """

    def add_timestamp(_, __, fields):
        fields["timestamp"] = (
            datetime.fromtimestamp(clock() / 1e9, timezone.utc).isoformat().replace("+00:00", "Z")
        )
        return fields

    bound_logger = structlog.wrap_logger(
        sink,
        processors=[
            structlog.processors.add_log_level,
            add_timestamp,
            structlog.processors.KeyValueRenderer(
                key_order=["timestamp", "level", "event"], sort_keys=True
            ),
        ],
    )
    return bound_logger.bind(relay=name)
