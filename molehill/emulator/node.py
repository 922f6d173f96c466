"""One relay's machine: its disk, its place in the network, and its processes.

The relay's own code runs unchanged in greenlets (`process.py`), one for each process; its poller
returns control to the virtual clock. A killed process is never resumed, so whatever it was doing
stays unfinished. Two processes at once are an upgrade; from outside they are one relay.
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
HANDOVER_READ_SPAN = 5 * MS  # by then a process has read what another sent before it ended


class Node:
    """A relay's machine with its processes.

    `read_settings()` returns the relay's current configuration in the form of its file.
    `disk_capacity` is the size in bytes of the folder that outlives a process.
    """

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
        # processes: those that are up; owner: the one that holds the folder
        self.start_count, self.processes, self.owner, self.running = 0, [], None, None
        self.descriptor_limit, self.descriptor_share, self.frozen_until, self.ended_tasks = (
            1 << 30,
            1.0,
            0,
            [],
        )
        self.folder_lock, self.handover_listener = Lock(), HandoverListener()
        self.wall_step = 0  # offset of the wall clock in nanoseconds
        # called with (node) when the relay is gone; the disk is as the relay left it
        self.on_kill = []
        self.on_ready = []  # called with (node, process) when a process can serve
        self.machine.make_sock = RelaySocket

    @property
    def process(self):
        """The `relay.Process` that owns the folder, or None."""
        return self.owner and self.owner.relay_process

    @property
    def up(self) -> bool:
        """Whether a process serves, or will serve without a new start."""
        return any(process.serving or process.relay_process is None for process in self.processes)

    # Interface of the machine

    def clock(self) -> int:
        """Return the monotonic time in nanoseconds."""
        return self.world.now

    def wall_clock(self) -> int:
        """Return the Unix time that this machine reads; a fault may step it."""
        return self.world.now + self.wall_step

    def step(self, what: str, size: int = 0) -> int:
        """Count a step of the running process; return how much of a write is done."""
        return self.running.step(what, size) if self.running is not None else size

    def lock(self, folder: str):
        """Lock the folder: return a descriptor, or None while another process holds the lock."""
        self.step("lock")
        if self.folder_lock.holders:
            return None
        self.folder_lock = Lock()
        return Descriptor(self.running, self.folder_lock).fd

    # Processes

    def start(self, kill_in=None, hang_at=None) -> EmulatedProcess:
        """Start a process: the relay's only one, or its successor in an upgrade.

        It is killed after `kill_in` of its steps, or hangs as `hang_at` (step, span in ns) says.
        """
        self.start_count += 1
        process = EmulatedProcess(self, self.start_count)
        process.kill_at, process.hang_at = kill_in, hang_at
        self.processes.append(process)
        if self.owner is None or self.owner.state is not UP:
            self.take_over(process, by_handover=False)
        process.resume(process.main)
        return process

    def take_over(self, process, by_handover: bool) -> None:
        """Make `process` the owner of the folder.

        `by_handover`: it received the whole state of its predecessor, so nothing changed for other
        parties.
        """
        if process is not self.owner:
            self.owner = process
            self.world.tell(
                self.name, "took over" if by_handover else "started", life=process.number
            )
            process.by_handover = by_handover

    def ready(self, process) -> None:
        """Record that a process can serve, and call the `on_ready` callbacks."""
        self.world.tell(
            self.name, "serves on" if process.by_handover else "ready", life=process.number
        )
        for callback in self.on_ready:
            callback(self, process)

    def signal(self, number: int) -> None:
        """Send a signal to the process that owns the folder."""
        if self.owner is not None and self.owner.state is UP:
            self.world.tell(self.name, "signal", number=number)
            self.owner.signal(number)

    def freeze(self, span: int) -> None:
        """Stop all processes of the machine for `span` nanoseconds."""
        self.frozen_until = self.world.now + span
        self.world.tell(self.name, "frozen", until=self.frozen_until)
        for process in self.processes:
            if process.waiting_task is not None:
                process.wake_at(self.frozen_until)

    def report_hang(self, process, until: int) -> None:
        """Record that a process hangs until `until`.

        The relay hangs with it if that process serves, or if it has received everything from the
        one that did.
        """
        if (
            process is self.owner
            or self.owner.relay_process is not None
            and self.owner.relay_process.handed_over
        ):
            self.world.tell(self.name, "frozen", until=until)
        elif self.world.now + HANDOVER_READ_SPAN < until:
            self.world.after(HANDOVER_READ_SPAN, self.report_hang, process, until)

    def kill(self) -> None:
        """Kill the process that owns the folder."""
        if self.owner is not None:
            self.owner.kill()

    def kill_in(self, steps: int) -> None:
        """Kill the process that owns the folder after so many of its steps."""
        if self.owner is not None:
            self.owner.kill_at = self.owner.steps + steps

    def process_ended(self, process) -> None:
        """Handle the end of a process; the relay is gone too unless another took over."""
        self.processes.remove(process)
        if process is self.owner:
            self.announce_gone(process)
        elif self.owner.relay_process is not None and self.owner.state is UP:
            self.world.tell(self.name, "one of two gone", life=process.number)
            self.world.after(HANDOVER_READ_SPAN, self.check_orphan)
        else:
            self.notify_gone()

    def check_orphan(self) -> None:
        """Report the relay as gone if the remaining process had handed over to the dead one."""
        if self.owner.state is UP and self.owner.relay_process.handed_over and not self.up:
            self.announce_gone(self.owner)

    def announce_gone(self, process) -> None:
        """Record the end of the relay and call the `on_kill` callbacks."""
        self.world.tell(
            self.name, process.state if process.state is not UP else "killed", life=process.number
        )
        self.notify_gone()

    def notify_gone(self) -> None:
        """Call the `on_kill` callbacks."""
        for callback in self.on_kill:
            callback(self)

    def sizes(self) -> dict[str, int]:
        """Return the row counts of the owner; see `EmulatedProcess.sizes`."""
        return self.owner.sizes()
