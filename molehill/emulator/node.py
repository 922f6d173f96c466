"""One relay's machine: its disk, its place in the network, and its processes: started, told to end, killed, frozen.

The relay's own code runs unchanged in greenlets (`process.py`), one a process; a poller gives the clock back to the world. A killed
one is never resumed: whatever it was in the middle of stays undone. Two at once are an upgrade; from outside they are one relay.
"""

from molehill.config import MS
from molehill.emulator.disk import Disk
from molehill.emulator.process import (
    UP,
    Descriptor,
    EmulatedProcess,
    HandoverListener,
    Lock,
    RelaySocket,
)

SIGTERM, SIGHUP = 15, 1
HANDOVER_READ_SPAN = 5 * MS  # by then a process has read what another said before its end


class Node:
    """`given()`: the relay's configuration as of now, in the file's form. `disk_capacity`: bytes of the folder that lasts."""

    def __init__(self, world, network, name: str, read_settings, disk_capacity: int):
        self.world, self.network, self.name, self.read_settings = (
            world,
            network,
            name,
            read_settings,
        )
        self.machine, self.disk, self.log_lines = (
            network.machine(name),
            Disk(world, disk_capacity),
            [],
        )
        self.disk.step, self.disk.lock = self.step, self.lock
        # lives: those that are up
        self.start_count, self.processes, self.owner, self.running = 0, [], None, None
        self.descriptor_limit, self.descriptor_share, self.frozen_until, self.ended_tasks = (
            1 << 30,
            1.0,
            0,
            [],
        )
        self.folder_lock, self.handover_listener = Lock(), HandoverListener()
        self.wall_step = 0  # nanoseconds by which its wall clock is off
        # each is told (node) when the relay is gone, with the disk as it was left
        self.on_kill = []
        self.on_ready = []  # each is told (node, process) when a process can serve
        self.machine.make_sock = RelaySocket

    @property
    def process(self):
        return self.owner and self.owner.relay_process

    @property
    def up(self) -> bool:
        """Whether a process is there that serves, or that will without being started anew."""
        return any(process.serving or process.relay_process is None for process in self.processes)

    # Its machine

    def clock(self) -> int:
        return self.world.now

    def wall_clock(self) -> int:
        """Unix time as this machine has it; a fault may step it."""
        return self.world.now + self.wall_step

    def step(self, what: str, size: int = 0) -> int:
        return self.running.step(what, size) if self.running is not None else size

    def lock(self, folder: str):
        self.step("lock")
        if self.folder_lock.holders:
            return None
        self.folder_lock = Lock()
        return Descriptor(self.running, self.folder_lock).fd

    # Its processes

    def start(self, kill_in=None, hang_at=None) -> EmulatedProcess:
        """One more process: the relay's, or the next one beside that; to be killed in so many steps, or to hang."""
        self.start_count += 1
        process = EmulatedProcess(self, self.start_count)
        process.kill_at, process.hang_at = kill_in, hang_at
        self.processes.append(process)
        if self.owner is None or self.owner.state is not UP:
            self.take_over(process, by_handover=False)
        process.resume(process.main)
        return process

    def take_over(self, process, by_handover: bool) -> None:
        """It has the folder; `by_handover`: with all that the one before it had, so that for others nothing has changed."""
        if process is not self.owner:
            self.owner = process
            self.world.tell(
                self.name, "took over" if by_handover else "started", life=process.number
            )
            process.by_handover = by_handover

    def ready(self, process) -> None:
        self.world.tell(
            self.name, "serves on" if process.by_handover else "ready", life=process.number
        )
        for callback in self.on_ready:
            callback(self, process)

    def signal(self, number: int) -> None:
        if self.owner is not None and self.owner.state is UP:
            self.world.tell(self.name, "signal", number=number)
            self.owner.signal(number)

    def freeze(self, span: int) -> None:
        self.frozen_until = self.world.now + span
        self.world.tell(self.name, "frozen", until=self.frozen_until)
        for process in self.processes:
            if process.waiting_task is not None:
                process.wake_at(self.frozen_until)

    def report_hang(self, process, until: int) -> None:
        """A process stands still; the relay with it, if that is the one that serves or has all from the one that did."""
        if (
            process is self.owner
            or self.owner.relay_process is not None
            and self.owner.relay_process.handed_over
        ):
            self.world.tell(self.name, "frozen", until=until)
        elif self.world.now + HANDOVER_READ_SPAN < until:
            self.world.after(HANDOVER_READ_SPAN, self.report_hang, process, until)

    def kill(self) -> None:
        """The process that serves."""
        if self.owner is not None:
            self.owner.kill()

    def kill_in(self, steps: int) -> None:
        if self.owner is not None:
            self.owner.kill_at = self.owner.steps + steps

    def process_ended(self, process) -> None:
        """A process is gone; the relay with it, unless another has taken over."""
        self.processes.remove(process)
        if process is self.owner:
            self.announce_gone(process)
        elif self.owner.relay_process is not None and self.owner.state is UP:
            self.world.tell(self.name, "one of two gone", life=process.number)
            self.world.after(HANDOVER_READ_SPAN, self.check_orphan)
        else:
            self.notify_gone()

    def check_orphan(self) -> None:
        """Gone after all, if the process that is left had given all to the one that died."""
        if self.owner.state is UP and self.owner.relay_process.handed_over and not self.up:
            self.announce_gone(self.owner)

    def announce_gone(self, process) -> None:
        self.world.tell(
            self.name, process.state if process.state is not UP else "killed", life=process.number
        )
        self.notify_gone()

    def notify_gone(self) -> None:
        for callback in self.on_kill:
            callback(self)

    def sizes(self) -> dict[str, int]:
        return self.owner.sizes()
