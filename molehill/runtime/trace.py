"""Trace of the steps of each callback, as lines of JSON in a file of bounded size.

Tracing is off unless the configuration names a file.

A line has `at` (nanoseconds of the relay's clock), `step` (`Step`), `id` and further fields of that
step. Once the file holds half of the permitted bytes it replaces the previous one (`FILE.1`), so
both together stay within the limit. Each line is written when the step happens and outlasts a kill.
A line that can't be written is lost, and the relay continues.
"""

import json
from enum import Enum
from typing import Any, Optional


class Step(Enum):
    """The steps of a callback, its calls and its connections; the file contains the values."""

    HANDED_IN = "handed in"
    ANSWERED = "answered"
    ANSWER_WRITTEN = "answer written"
    WITHDRAWN = "withdrawn"
    CALL_WRITTEN = "call written"
    COPY_SKIPPED = "copy skipped"
    CALL_ENDED = "call ended"
    HOST_ENDED_CONNECTION = "host ended connection"
    ENDED = "ended"
    NOTICE_WRITTEN = "notice written"
    NOTICE_ANSWERED = "notice answered"
    CONNECTION_CLOSED = "connection closed"


class NoTrace:
    """Replaces Trace when tracing is off."""

    is_on = False

    def record(self, step: Step, callback_id: Optional[str], **facts: Any) -> None:
        """Does nothing."""


class Trace:
    """Writes the steps to a file. The constructor raises OSError if the file can't be opened."""

    is_on = True

    def __init__(self, machine, path: str, max_bytes: int):
        """`machine`: as in molehill/runtime/kernel.py; `max_bytes`: for the file and FILE.1."""
        self.machine, self.path, self.max_file_bytes = machine, path, max_bytes // 2
        self.fd, self.size = -1, 0
        self._open(truncate=False)

    def _open(self, truncate: bool) -> None:
        disk = self.machine.disk
        self.fd = disk.open(self.path, truncate=truncate)
        self.size = 0 if truncate else len(disk.read(self.path))
        disk.seek(self.fd, self.size)

    def record(self, step: Step, callback_id: Optional[str], **facts: Any) -> None:
        """Writes one line; `callback_id` is None for a step of a connection."""
        row = {"at": self.machine.clock(), "step": step.value, "id": callback_id, **facts}
        line = json.dumps(row, separators=(",", ":")).encode("ascii") + b"\n"
        try:
            if self.size + len(line) > self.max_file_bytes:
                self._rotate()
            self.size += self.machine.disk.write(self.fd, line)
        except OSError:
            return

    def _rotate(self) -> None:
        disk = self.machine.disk
        disk.rename(self.path, self.path + ".1")
        disk.close(self.fd)
        self._open(truncate=True)


NO_TRACE = NoTrace()
