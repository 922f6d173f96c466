"""Times in the log, and how they are told from one process to the next.

A process goes by the monotonic clock alone, which nobody steps, and which runs on until the machine is booted anew. The log holds
times of a clock that outlasts a reboot: the monotonic one plus an epoch. The epoch is chosen once, so that these times are near
Unix time, and stands in a `clock` record with the boot's id; later processes of the same boot take it from there, so that a step of
the wall clock between or during them moves nothing. After a reboot only the wall clock tells how long the machine was down. Then
it is taken as it is, but never as earlier than the latest time in the log: a span may be cut short or drawn out by as much as the wall
clock was stepped meanwhile, and drawn out by no more than from the last record to the reboot.
"""

import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import Iterable

KIND = "clock"
# kind of record -> its keys that hold times of the log's clock
TIMES = {
    "taken": ("due", "ran_at"),
    "launch": ("at",),
    "end": ("at",),
    "rest": ("until",),
    "health": ("at",),
}
SEEN = "at"  # key of records that tell when they were written
SEEN_IN_LINE = re.compile(rb'"at":(\d{1,20})\b')
CLOCK_LINE = b'{"k":"clock"'
# ns by which the latest time in the log may lie ahead of a clock that is believed
STEP_MOST = 1_000_000_000


class Base(Enum):
    """Where the epoch came from."""

    FIRST = "nothing was logged yet"
    SAME_BOOT = "the log's own clock"
    REBOOTED = "wall clock: the machine was booted anew"
    UNKNOWN = "wall clock: the log tells of no usable clock"


@dataclass(frozen=True, slots=True)
class LogClock:
    """`epoch`: nanoseconds to add to the monotonic clock; `base`: how it was found."""

    epoch: int
    base: Base

    def record(self, machine) -> dict:
        """What later processes find it by."""
        return {
            "k": KIND,
            "boot": machine.boot_id,
            "epoch": self.epoch,
            SEEN: machine.clock() + self.epoch,
        }

    def to_log(self, record: dict) -> dict:
        """A record of the core, with its times as the log holds them."""
        return shifted(record, self.epoch)

    def from_log(self, record: dict) -> dict:
        """The reverse of `to_log`."""
        return shifted(record, -self.epoch)


def shifted(record: dict, by: int) -> dict:
    """The record with its times moved; absent and null ones stay."""
    keys = TIMES.get(record["k"], ())
    moved = {key: record[key] + by for key in keys if record.get(key) is not None}
    return {**record, **moved} if moved else record


def is_time(value) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def find(lines: Iterable[bytes], machine) -> LogClock:
    """The clock of the log whose records these are, as lines of JSON."""
    told, latest, empty = None, None, True
    for line in lines:
        empty = False
        seen = SEEN_IN_LINE.search(line)
        if seen is not None:
            latest = max(int(seen[1]), latest or 0)
        if line.startswith(CLOCK_LINE):
            told = json.loads(line)
    now, wall = machine.clock(), machine.wall()
    if told is None:
        epoch = wall - now if latest is None else max(wall, latest) - now
        return LogClock(epoch, Base.FIRST if empty else Base.UNKNOWN)
    if not is_whole(told):
        return LogClock(wall - now, Base.UNKNOWN)
    if told["boot"] != machine.boot_id:
        return LogClock(max(wall, latest) - now, Base.REBOOTED)
    if latest > told["epoch"] + now + STEP_MOST:
        return LogClock(wall - now, Base.UNKNOWN)
    return LogClock(told["epoch"], Base.SAME_BOOT)


def is_whole(record: dict) -> bool:
    """Whether a `clock` record has what it is to have."""
    boot = record.get("boot")
    return (
        isinstance(boot, str)
        and boot != ""
        and is_time(record.get("epoch"))
        and is_time(record.get(SEEN))
    )
