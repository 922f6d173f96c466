"""Converts between the times of a process and the times in the log, which later processes read.

A process uses only the monotonic clock, which is never stepped, and which runs on until the machine
reboots. The log holds times of a clock that outlasts a reboot: the monotonic clock plus an epoch.
The epoch is chosen once, so that these times are near Unix time, and is kept in a `clock` record
with the boot id. Later processes of the same boot take it from there, so that a step of the wall
clock between or during them changes no time. After a reboot only the wall clock tells how long the
machine was down. It is then used as it is, but never as earlier than the latest time in the log: a
time span may be shortened or lengthened by as much as the wall clock was stepped meanwhile, and
lengthened by no more than the time from the last record to the reboot.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Iterable

RECORD_KIND = "clock"
# kind of record -> its keys whose values are times of the log's clock
TIME_KEYS = {
    "taken": ("due", "ran_at"),
    "launch": ("at",),
    "end": ("at",),
    "rest": ("until",),
    "health": ("at",),
    "lease": ("current", "missed"),
}
WRITTEN_AT_KEY = "at"  # key of the time at which a record was written
WRITTEN_AT_PATTERN = re.compile(rb'"at":(\d{1,20})\b')
CLOCK_LINE_PREFIX = b'{"k":"clock"'
# nanoseconds by which the latest time in the log may be ahead of a logged clock that is trusted
MAX_CLOCK_STEP = 1_000_000_000


class EpochSource(Enum):
    """How the epoch was found; the values are written to a log line."""

    NEW_LOG = "nothing was logged yet"
    SAME_BOOT = "the log's own clock"
    REBOOTED = "wall clock: the machine was booted anew"
    UNKNOWN = "wall clock: the log tells of no usable clock"


@dataclass(frozen=True, slots=True)
class LogClock:
    """The clock of the log.

    `epoch`: nanoseconds to add to the monotonic clock. `source`: how it was found.
    """

    epoch: int
    source: EpochSource

    def as_record(self, machine) -> dict:
        """Returns the `clock` record by which later processes find this clock."""
        return {
            "k": RECORD_KIND,
            "boot": machine.boot_id,
            "epoch": self.epoch,
            WRITTEN_AT_KEY: machine.clock() + self.epoch,
        }

    def to_log(self, record: dict) -> dict:
        """Returns a record of the core with its times converted to the log's clock."""
        return shift_times(record, self.epoch)

    def from_log(self, record: dict) -> dict:
        """Returns a record of the log with its times converted to the monotonic clock."""
        return shift_times(record, -self.epoch)


def shift_times(record: dict, offset: int) -> dict:
    """Returns the record with `offset` nanoseconds added to its times; null times stay null."""
    keys = TIME_KEYS.get(record["k"], ())
    shifted = {key: record[key] + offset for key in keys if record.get(key) is not None}
    return {**record, **shifted} if shifted else record


def is_time(value) -> bool:
    """Whether a value of a record is a time: an int, and not a bool."""
    return isinstance(value, int) and not isinstance(value, bool)


def find_clock(lines: Iterable[bytes], machine) -> LogClock:
    """Returns the clock of a log, given the JSON lines of its records."""
    clock_record, latest, is_empty = None, None, True
    for line in lines:
        is_empty = False
        written_at = WRITTEN_AT_PATTERN.search(line)
        if written_at is not None:
            latest = max(int(written_at[1]), latest or 0)
        if line.startswith(CLOCK_LINE_PREFIX):
            clock_record = json.loads(line)
    now, wall = machine.clock(), machine.wall_clock()
    if clock_record is None:
        epoch = wall - now if latest is None else max(wall, latest) - now
        return LogClock(epoch, EpochSource.NEW_LOG if is_empty else EpochSource.UNKNOWN)
    if not is_complete(clock_record):
        return LogClock(wall - now, EpochSource.UNKNOWN)
    if clock_record["boot"] != machine.boot_id:
        return LogClock(max(wall, latest) - now, EpochSource.REBOOTED)
    if latest > clock_record["epoch"] + now + MAX_CLOCK_STEP:
        return LogClock(wall - now, EpochSource.UNKNOWN)
    return LogClock(clock_record["epoch"], EpochSource.SAME_BOOT)


def is_complete(record: dict) -> bool:
    """Whether a `clock` record has a boot id and both times."""
    boot = record.get("boot")
    return (
        isinstance(boot, str)
        and boot != ""
        and is_time(record.get("epoch"))
        and is_time(record.get(WRITTEN_AT_KEY))
    )
