"""Injects faults of a machine into a relay: a stepped wall clock, failing socket calls or disk.

The rig writes the faults in force as JSON into a control file, by a rename; the relay's process
reads it every few milliseconds. So a fault outlasts restarts of the process until the rig ends it.
Only failures that the kernel documents are injected.

| key | meaning |
| --- | --- |
| `wall_ms` | offset of the wall clock in ms |
| `accept` | errno that all these calls fail with |
| `connect` | errno that half of these calls fail with, the first in any case |
| `disk` | errno: a write takes half and then fails; files can't be created, truncated or renamed |
| `slow_ms` | delay of each write to the disk in ms |
| `files` | errno: plain writes succeed; files can't be created, truncated or renamed |
"""

import errno
import json
import os
import socket
import time
from random import Random

from molehill.config import MS
from molehill.runtime.kernel import Disk, Kernel

CONTROL_POLL_INTERVAL = 5 * MS  # how often the control file is read
FAILURE_SHARES = {"accept": 1.0, "connect": 0.5}  # share of these calls that fail


class Control:
    """The faults in force, read from the control file.

    Each failure of a call is reported once on standard error, where the relay's log lines go.
    """

    def __init__(self, path: str):
        self.path, self.polled_at, self.stamp, self.faults, self.reported = path, 0, None, {}, set()

    def report(self, call: str, code: int) -> None:
        """Writes a line about the first failure of this call with this errno."""
        if (call, code) not in self.reported:
            self.reported.add((call, code))
            os.write(2, f"shim: {call} fails with {errno.errorcode[code]}\n".encode())

    def now(self) -> dict:
        """Returns the faults in force; reads the file again if it has changed."""
        at = time.monotonic_ns()
        if at - self.polled_at >= CONTROL_POLL_INTERVAL:
            self.polled_at = at
            try:
                stamp = os.stat(self.path).st_mtime_ns
                if stamp != self.stamp:
                    with open(self.path, encoding="utf-8") as file:
                        self.faults, self.stamp = json.load(file), stamp
            except FileNotFoundError:
                pass
        return self.faults


def write_control(path, faults: dict) -> None:
    """Used by the rig: replaces the faults in force."""
    new = f"{path}.new"
    with open(new, "w", encoding="utf-8") as file:
        json.dump(faults, file)
    os.rename(new, path)


class FailingDisk(Disk):
    """A disk whose operations fail as the control file says."""

    def __init__(self, control: Control):
        self.control, self.half = control, set()

    def check(self, what: str, *keys: str) -> None:
        """Raises OSError if one of the faults `keys` is in force."""
        faults = self.control.now()
        for key in keys:
            if faults.get(key):
                self.control.report(what, faults[key])
                raise OSError(faults[key], what)

    def open(self, path: str, truncate: bool = False) -> int:
        if truncate:
            self.check("open", "disk", "files")
        return Disk.open(path, truncate)

    def truncate(self, fd: int, size: int) -> None:
        self.check("ftruncate", "disk", "files")
        Disk.truncate(fd, size)

    def rename(self, old: str, new: str) -> None:
        self.check("rename", "disk", "files")
        Disk.rename(old, new)

    def write(self, fd: int, data) -> int:
        """Writes half of the data first, then fails, as a device does that fails in the middle."""
        time.sleep(self.control.now().get("slow_ms", 0) / 1000)
        if not self.control.now().get("disk"):
            self.half.discard(fd)
            return Disk.write(fd, data)
        if fd in self.half or len(data) < 2:
            self.half.discard(fd)
            self.check("write", "disk")
        self.half.add(fd)
        return Disk.write(fd, bytes(data)[: len(data) // 2])


class FailingCalls:
    """Decides which socket calls fail: the first after a fault has begun, then a random share."""

    def __init__(self, control: Control, random: Random):
        self.control = control
        self.random = random
        self.failing: dict[str, int] = {}  # call -> errno of the fault that has already failed one

    def error(self, call: str) -> int:
        """Returns the errno that this call fails with, or 0 if it is to be made."""
        code = self.control.now().get(call) or 0
        first = code != self.failing.get(call, 0)
        self.failing[call] = code
        if not code:
            return 0
        if not first and self.random.random() >= FAILURE_SHARES[call]:
            return 0
        self.control.report(call, code)
        return code


class FailingSocket(socket.socket):
    """A TCP socket whose accept and connect fail as `calls` decides.

    EINTR leaves the connection in progress, as the kernel does; other errors make no call.
    """

    calls: FailingCalls  # those of the process, set by ShimmedKernel

    def accept(self):
        code = self.calls.error("accept")
        if code:
            raise OSError(code, "accept")
        return super().accept()

    def connect_ex(self, address):
        code = self.calls.error("connect")
        if code == errno.EINTR:
            done = super().connect_ex(address)
            return code if done == errno.EINPROGRESS else done
        return code or super().connect_ex(address)


class ShimmedKernel(Kernel):
    """A kernel with faults. `path`: the control file; `clock`, `wall_clock`: as for Kernel."""

    def __init__(self, path: str, clock=None, wall_clock=None):
        super().__init__(clock, wall_clock)
        self.control, true_wall = Control(path), self.wall_clock
        self.wall_clock = lambda: true_wall() + int(self.control.now().get("wall_ms", 0) * MS)
        self.disk = FailingDisk(self.control)
        FailingSocket.calls = FailingCalls(self.control, Random(path))

    @staticmethod
    def tcp_socket(address) -> socket.socket:
        return FailingSocket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
