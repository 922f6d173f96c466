"""structlog to standard error that never blocks the loop: lines wait in a bounded row while nobody reads."""

import os
import select
from collections import deque
from datetime import datetime, timezone

import structlog

# a pipe that polls as writable takes so many bytes whole (PIPE_BUF)
MAX_WRITE_BYTES = 4096
MAX_QUEUED_LINES = 1000  # beyond it the oldest are dropped and counted


class Sink:
    """What structlog's logger writes to."""

    def __init__(self, fd: int = 2):
        self.fd, self.partial_line, self.dropped = fd, b"", 0
        self.lines: deque[bytes] = deque()
        self.poller = select.poll()
        self.poller.register(fd, select.POLLOUT)

    def msg(self, line: str) -> None:
        if len(self.lines) >= MAX_QUEUED_LINES:
            self.lines.popleft()
            self.dropped += 1
        self.lines.append(line.encode("utf-8", "replace") + b"\n")
        self.flush()

    log = debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        """Writes what the descriptor takes now; whether all is written."""
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
            except OSError:  # nobody will ever read it
                self.partial_line = b""
                self.lines.clear()
        return True


def make_logger(sink, name: str, clock):
    """structlog on a sink, with the relay's own clock (nanoseconds, Unix time) in each line."""

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
