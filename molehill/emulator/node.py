"""One relay's machine: its disk, its place in the network, and its processes: started, told to end, killed, frozen.

The relay's own code runs unchanged in greenlets (`life.py`), one a process; a poller gives the clock back to the world. A killed
one is never resumed: whatever it was in the middle of stays undone. Two at once are an upgrade; from outside they are one relay.
"""

from molehill.config import MS
from molehill.emulator.disk import Disk
from molehill.emulator.life import UP, Descriptor, Life, Lock, Meeting, TaskSock

SIGTERM, SIGHUP = 15, 1
SOON = 5 * MS  # by then a process has read what another said before its end


class Node:
    """`given()`: the relay's configuration as of now, in the file's form. `disk_most`: bytes of the folder that lasts."""

    def __init__(self, world, network, name: str, given, disk_most: int):
        self.world, self.network, self.name, self.given = world, network, name, given
        self.place, self.disk, self.lines = network.machine(name), Disk(world, disk_most), []
        self.disk.step, self.disk.lock = self.step, self.lock
        # lives: those that are up
        self.life, self.lives, self.owner, self.acting = 0, [], None, None
        self.most_fds, self.fds_share, self.frozen_until, self.graves = 1 << 30, 1.0, 0, []
        self.locked, self.meeting = Lock(), Meeting()
        self.wall_step = 0  # nanoseconds by which its wall clock is off
        # each is told (node) when the relay is gone, with the disk as it was left
        self.on_kill = []
        self.on_ready = []  # each is told (node, life) when a process can serve
        self.place.make_sock = TaskSock

    @property
    def process(self):
        return self.owner and self.owner.process

    @property
    def up(self) -> bool:
        """Whether a process is there that serves, or that will without being started anew."""
        return any(life.serving or life.process is None for life in self.lives)

    # Its machine

    def clock(self) -> int:
        return self.world.now

    def wall_clock(self) -> int:
        """Unix time as this machine has it; a fault may step it."""
        return self.world.now + self.wall_step

    def step(self, what: str, size: int = 0) -> int:
        return self.acting.step(what, size) if self.acting is not None else size

    def lock(self, folder: str):
        self.step("lock")
        if self.locked.holders:
            return None
        self.locked = Lock()
        return Descriptor(self.acting, self.locked).fd

    # Its processes

    def start(self, kill_in=None, hang_at=None) -> Life:
        """One more process: the relay's, or the next one beside that; to be killed in so many steps, or to hang."""
        self.life += 1
        life = Life(self, self.life)
        life.kill_at, life.hang_at = kill_in, hang_at
        self.lives.append(life)
        if self.owner is None or self.owner.state is not UP:
            self.takes_over(life, warm=False)
        life.resume(life.main)
        return life

    def takes_over(self, life, warm: bool) -> None:
        """It has the folder; `warm`: with all that the one before it had, so that for others nothing has changed."""
        if life is not self.owner:
            self.owner = life
            self.world.tell(self.name, "took over" if warm else "started", life=life.number)
            life.warm = warm

    def ready(self, life) -> None:
        self.world.tell(self.name, "serves on" if life.warm else "ready", life=life.number)
        for told in self.on_ready:
            told(self, life)

    def signal(self, number: int) -> None:
        if self.owner is not None and self.owner.state is UP:
            self.world.tell(self.name, "signal", number=number)
            self.owner.signal(number)

    def freeze(self, span: int) -> None:
        self.frozen_until = self.world.now + span
        self.world.tell(self.name, "frozen", until=self.frozen_until)
        for life in self.lives:
            if life.parked is not None:
                life.wake_at(self.frozen_until)

    def hangs(self, life, until: int) -> None:
        """A process stands still; the relay with it, if that is the one that serves or has all from the one that did."""
        if life is self.owner or self.owner.process is not None and self.owner.process.handed_over:
            self.world.tell(self.name, "frozen", until=until)
        elif self.world.now + SOON < until:
            self.world.after(SOON, self.hangs, life, until)

    def kill(self) -> None:
        """The process that serves."""
        if self.owner is not None:
            self.owner.kill()

    def kill_in(self, steps: int) -> None:
        if self.owner is not None:
            self.owner.kill_at = self.owner.steps + steps

    def lost(self, life) -> None:
        """A process is gone; the relay with it, unless another has taken over."""
        self.lives.remove(life)
        if life is self.owner:
            self.gone(life)
        elif self.owner.process is not None and self.owner.state is UP:
            self.world.tell(self.name, "one of two gone", life=life.number)
            self.world.after(SOON, self.orphaned)
        else:
            self.tell_gone()

    def orphaned(self) -> None:
        """Gone after all, if the process that is left had given all to the one that died."""
        if self.owner.state is UP and self.owner.process.handed_over and not self.up:
            self.gone(self.owner)

    def gone(self, life) -> None:
        self.world.tell(
            self.name, life.state if life.state is not UP else "killed", life=life.number
        )
        self.tell_gone()

    def tell_gone(self) -> None:
        for told in self.on_kill:
            told(self)

    def sizes(self) -> dict[str, int]:
        return self.owner.sizes()
