"""One relay as a process of a virtual machine: started, told to end, killed at any step, frozen, started again.

The relay's own code runs unchanged in a greenlet; its poller gives the clock back to the world. A killed one is never
resumed: whatever it was in the middle of stays undone, as for a process.
"""
from greenlet import getcurrent, greenlet

from molehill import config as configuration
from molehill import relay
from molehill.config import MS
from molehill.emulator.disk import Disk
from molehill.emulator.network import Listener, Sock

TURN = 150_000                         # least ns between two looks of a relay's loop: about what a callback costs one core
SIGTERM, SIGHUP = 15, 1
DOWN, UP, ENDED, KILLED = "down", "up", "ended", "killed"


class Poller:
    """select.poll on virtual descriptors: gives the world its turn, and comes back when one is ready or time is up."""

    def __init__(self, node):
        self.node, self.masks = node, {}

    def register(self, fd: int, mask: int) -> None:
        self.masks[fd] = mask

    def unregister(self, fd: int) -> None:
        del self.masks[fd]

    def ready(self) -> list[tuple[int, int]]:
        fds = self.node.place.fds
        found = [(fd, fds[fd].mask() if fd in fds else 32) for fd in sorted(self.masks)]       # 32: not a descriptor
        return [(fd, now) for fd, now in found if now & (self.masks[fd] | 8 | 32)]

    def poll(self, span: int) -> list[tuple[int, int]]:
        node = self.node
        node.park(0 if span == 0 or self.ready() else span * MS)
        return self.ready()


class Signals(Sock):
    """The socket on which each signal comes as a byte; always there, costs no descriptor of the relay's."""

    def mask(self) -> int:
        return 1 if self.inbox else 0

    def recv(self, count: int, flags: int = 0) -> bytes:
        data = bytes(self.inbox[:count])
        del self.inbox[:count]
        return data


class Sink:
    """Log lines, as the timeline shows them."""

    def __init__(self, node):
        self.node = node

    def msg(self, line: str) -> None:
        self.node.lines.append((self.node.world.now, line))
        del self.node.lines[:-500]

    log = debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        return True


class Node:
    """`given()`: the relay's configuration as of now, in the file's form. `disk_most`: bytes of the folder that lasts."""

    def __init__(self, world, network, name: str, given, disk_most: int):
        self.world, self.network, self.name, self.given = world, network, name, given
        self.place, self.disk, self.lines = network.machine(name), Disk(world, disk_most), []
        self.disk.step, self.state, self.process = self.step, DOWN, None
        self.life, self.steps, self.kill_at, self.frozen_until = 0, 0, None, 0
        self.wakes, self.woke, self.parked, self.main, self.graves = 0, 0, None, None, []
        self.on_kill = []              # each is told (node) of a kill, with the disk as it was left
        self.place.make_sock = lambda network, machine: TaskSock(self)

    # The machine that is handed to the relay

    def clock(self) -> int:
        return self.world.now

    def poller(self) -> Poller:
        self.polling = Poller(self)
        return self.polling

    def tcp_socket(self, address):
        self.step("socket")
        if len(self.place.fds) >= self.place.most_fds:
            raise OSError(24, "no descriptor is left")
        sock = TaskSock(self)
        sock.own(self.place.give_fd(sock))
        return sock

    # Its life

    def start(self) -> None:
        self.life += 1
        self.state, self.kill_at = UP, None
        self.disk.start()
        self.main = greenlet(self._live, parent=self.world.hub)
        self.world.tell(self.name, "started", life=self.life)
        self._resume(self.main)

    def _live(self) -> None:
        config = configuration.check(self.given(), {})
        self.place.most_fds = config.sockets + configuration.STANDING
        self.process = relay.Process(config, self, Sink(self), self._load_again)
        self.signals = Signals(self.network, self.place)
        self.signals.own(self.place.give_fd(self.signals))
        self.signals.poke = self.poke
        self.process.clients.listen()
        self.process.begin(self.signals)
        self.world.tell(self.name, "ready", life=self.life)
        self.process.run()

    def _load_again(self, before):
        return configuration.check(self.given(), {})

    def _resume(self, task) -> None:
        """Runs the relay up to its next wait; what it lets escape is a crash."""
        task.switch()
        if self.state is UP and self.main.dead:
            self.state = ENDED
            self.world.tell(self.name, "ended", life=self.life)
            self.place.die()
            for told in self.on_kill:
                told(self)

    def park(self, span: int) -> None:
        """The relay's loop has nothing to do for so long, unless something becomes ready."""
        self.parked = getcurrent()
        self._wake_at(self.world.now + span)
        self.world.hub.switch()

    def _wake_at(self, when: int) -> None:
        self.wakes += 1
        self.world.at(max(when, self.woke + TURN, self.frozen_until), self._wake, self.wakes)

    def _wake(self, number: int) -> None:
        if number != self.wakes or self.parked is None or self.state is not UP:
            return
        if self.world.now < self.frozen_until:
            return self._wake_at(self.frozen_until)
        task, self.parked, self.woke = self.parked, None, self.world.now
        self._resume(task)

    def poke(self, fd: int) -> None:
        """A descriptor of the relay's may have become ready."""
        if self.parked is not None and fd in self.polling.masks \
                and self.place.fds[fd].mask() & (self.polling.masks[fd] | 8):
            self._wake_at(self.world.now)

    def signal(self, number: int) -> None:
        if self.state is UP:
            self.world.tell(self.name, "signal", number=number)
            self.signals.inbox.append(number)
            self.signals.changed()

    def freeze(self, span: int) -> None:
        self.frozen_until = self.world.now + span
        self.world.tell(self.name, "frozen", until=self.frozen_until)
        if self.parked is not None:
            self._wake_at(self.frozen_until)

    # Its death

    def step(self, what: str, size: int = 0) -> int:
        """One step at which a kill may fall; gives how much of a write is done, all but at a kill in its middle."""
        self.steps += 1
        if self.kill_at is not None and self.steps >= self.kill_at and getcurrent() is not self.world.hub:
            part = self.world.chance.randrange(size + 1) if what == "write" else 0
            if part:
                self.kill_at = self.steps + 1      # the part goes in, and the step after it is the last
                return part
            self.kill()
        return size

    def kill(self) -> None:
        """SIGKILL, from outside or in the middle of one of its own steps."""
        if self.state is not UP:
            return
        self.state, self.parked, self.kill_at = KILLED, None, None
        self.graves.append(self.process)           # never resumed, never run by a destructor before the world's end
        self.world.tell(self.name, "killed", life=self.life)
        self.place.die()
        for told in self.on_kill:
            told(self)
        if getcurrent() is not self.world.hub:
            self.graves.append(getcurrent())
            self.world.hub.switch()

    def sizes(self) -> dict[str, int]:
        """How many rows each map of the relay has that has to be empty again once nothing is held."""
        core, http = self.process.core, self.process
        counted = http.budget.total() + 1          # the socket of signals is not in the budget
        return {"held": len(core.held), "calls": len(core.calls), "parked": len(core.parked), "owed_keys": len(core.owed_keys),
                "used": core.used, "open": core.open, "module held": len(core.module.held), "streams": len(http.hosts.streams),
                "notices": len(http.notices.waiting), "aborted": len(http.hosts.aborted),
                "descriptors not counted": len(self.place.fds) - counted, "idle clients not open":
                sum(conn not in http.clients.conns for rows in http.clients.idle.values() for conn in rows)}


class TaskSock(Sock, Listener):
    """A socket before it is known whether it dials or listens; each call that the world can see is a step."""

    def __init__(self, node):
        Sock.__init__(self, node.network, node.place)
        self.node, self.listening, self.poke = node, False, node.poke
        self.address, self.backlog, self.waiting, self.accepted = None, 0, [], None

    def listen(self, backlog: int) -> None:
        self.listening = True
        Listener.listen(self, backlog)

    def mask(self) -> int:
        return Listener.mask(self) if self.listening else Sock.mask(self)

    def close(self) -> None:
        (Listener if self.listening else Sock).close(self)

    def forget(self) -> None:
        if self.peer is not None and not self.closed:
            self.world.tell(self.node.name, "hung up", conn=self.peer.number)
        Sock.forget(self)

    def send(self, data) -> int:
        self.node.step("send")
        count = Sock.send(self, data)
        self.node.step("sent")
        return count

