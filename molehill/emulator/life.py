"""One process of a relay: its greenlet, its descriptors, its steps; and what passes between two processes of one machine.

A descriptor is one process's number for something of the kernel's (a socket, a lock, an end of a line). What it stands for
lives until the last number for it is closed: those of other processes count, and those in a message that nobody has read.
"""

import array
import errno
import socket

from greenlet import getcurrent, greenlet

from molehill import config as configuration
from molehill import relay
from molehill.config import MS
from molehill.emulator.network import Datagrams, Listener, Sock

# least ns between two looks of a relay's loop: about what a callback costs one core
TURN = 150_000
LEAST_FD = 3  # after the standard streams
# standard streams, log, discovery, notices, listener, and a few connections
LEAST_FDS = 24
# messages that a line between two processes takes in unread, a few more than kernels do
LETTERS = 64
UP, ENDED, KILLED = "up", "ended", "killed"


class Descriptor:
    """Calls go to what it stands for (`file`, which has `holders`); those that others can see are steps of the process."""

    def __init__(self, life, file):
        self.life, self.file, self.fd = life, file, life.give_fd(self)
        file.holders.append(self)

    def __getattr__(self, name):
        return getattr(self.file, name)

    def fileno(self) -> int:
        return self.fd

    def send(self, data) -> int:
        self.life.step("send")
        count = self.file.send(data)
        self.life.step("sent")
        return count

    def accept(self):
        if self.file.waiting and len(self.life.fds) >= self.life.most_fds():
            raise OSError(errno.EMFILE, "no descriptor is left")
        file, address = self.file.accept()
        return Descriptor(self.life, file), address

    def sendmsg(self, parts, ancillary) -> int:
        self.life.step("send")
        numbers = array.array("i", ancillary[0][2])
        self.file.put(b"".join(parts), [self.life.fds[fd].file for fd in numbers])
        self.life.step("sent")
        return sum(map(len, parts))

    def recvmsg(self, count, room):
        data, files = self.file.take()
        numbers = array.array("i", [Descriptor(self.life, file).fd for file in files])
        for file in files:
            let_go(file, self.file)
        self.life.step("received")
        return (
            data,
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, numbers.tobytes())] if files else [],
            0,
            None,
        )

    def close(self) -> None:
        if self.fd >= 0:
            del self.life.fds[self.fd]
            self.fd = -1
            let_go(self.file, self)


def let_go(file, holder, how="close") -> None:
    file.holders.remove(holder)
    if not file.holders:
        getattr(file, how, file.close)()


class Held:
    """What descriptors stand for."""

    def __init__(self):
        self.holders = []

    def setblocking(self, flag) -> None:
        pass

    def mask(self) -> int:
        return 0

    def changed(self) -> None:
        for holder in list(self.holders):
            if isinstance(holder, Descriptor):
                holder.life.poke(holder.fd)

    def close(self) -> None:
        pass


class TaskSock(Held, Sock, Listener):
    """A socket before it is known whether it dials or listens."""

    def __init__(self, network, machine):
        Sock.__init__(self, network, machine)
        Held.__init__(self)
        self.listening, self.address, self.backlog, self.waiting, self.accepted = (
            False,
            None,
            0,
            [],
            None,
        )

    def listen(self, backlog: int) -> None:
        self.listening = True
        Listener.listen(self, backlog)

    def mask(self) -> int:
        return Listener.mask(self) if self.listening else Sock.mask(self)

    def close(self) -> None:
        (Listener if self.listening else Sock).close(self)

    def reset(self) -> None:
        self.close() if self.listening else Sock.reset(self)

    def shutdown(self, how) -> None:
        """The protocol's other way to give a call up: the sending ends, and the connection stays."""
        Sock.shutdown(self, how)
        if self.shut:
            self._tell_hung_up()

    def forget(self) -> None:
        if not self.closed and not self.shut:
            self._tell_hung_up()
        Sock.forget(self)

    def _tell_hung_up(self) -> None:
        if self.peer is not None:
            self.world.tell(self.machine.name, "hung up", conn=self.peer.number)


class TaskDatagrams(Held, Datagrams):
    def __init__(self, network, machine):
        Datagrams.__init__(self, network, machine)
        Held.__init__(self)

    mask, close = Datagrams.mask, Datagrams.close


class Signals(Held):
    """The socket on which each signal comes as a byte."""

    def __init__(self):
        super().__init__()
        self.inbox = bytearray()

    def mask(self) -> int:
        return 1 if self.inbox else 0

    def recv(self, count: int, flags: int = 0) -> bytes:
        if not self.inbox:
            raise BlockingIOError(errno.EAGAIN, "nothing came")
        data = bytes(self.inbox[:count])
        del self.inbox[:count]
        return data


class Lock(Held):
    """Of a folder: there while any process holds it."""


class Letters(Held):
    """One end of a line that keeps each message whole, with what is passed in it; what lies unread holds that."""

    def __init__(self):
        super().__init__()
        self.inbox, self.peer, self.over = [], None, False

    def send(self, data) -> int:
        self.put(bytes(data), [])
        return len(data)

    def put(self, data, files) -> None:
        if self.over or self.peer.over:
            raise BrokenPipeError(errno.EPIPE, "ended")
        if len(self.peer.inbox) >= LETTERS:
            raise BlockingIOError(errno.EAGAIN, "no room")
        for file in files:
            file.holders.append(self.peer)
        self.peer.inbox.append((data, files))
        self.peer.changed()

    def take(self):
        if self.inbox:
            found = self.inbox.pop(0)
            self.peer.changed()
            return found
        if self.over or self.peer.over:
            return b"", []
        raise BlockingIOError(errno.EAGAIN, "nothing came")

    def mask(self) -> int:
        over = self.over or self.peer.over
        return (1 if self.inbox or over else 0) | (
            4 if over or len(self.peer.inbox) < LETTERS else 0
        )

    def shutdown(self, how) -> None:
        self.over = self.peer.over = True
        self.peer.changed()

    def close(self) -> None:
        self.shutdown(socket.SHUT_RDWR)
        while self.inbox:
            for file in self.inbox.pop(0)[1]:
                let_go(file, self)


class Meeting(Held):
    """Where the next process of a relay finds the one that serves."""

    def __init__(self):
        super().__init__()
        self.waiting, self.over = [], False

    def offer(self):
        """The asker's end of a new line."""
        if self.over:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "nobody is there")
        if self.waiting:
            raise BlockingIOError(errno.EAGAIN, "somebody waits already")
        ours, theirs = Letters(), Letters()
        ours.peer, theirs.peer = theirs, ours
        self.waiting.append(theirs)
        self.changed()
        return ours

    def accept(self):
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        return self.waiting.pop(0), None

    def mask(self) -> int:
        return 1 if self.waiting else 0

    def close(self) -> None:
        self.over = True
        for end in self.waiting:
            end.close()


class Poller:
    """select.poll on virtual descriptors: gives the world its turn, and comes back when one is ready or time is up."""

    def __init__(self, life):
        self.life, self.masks = life, {}

    def register(self, fd: int, mask: int) -> None:
        self.masks[fd] = mask

    def unregister(self, fd: int) -> None:
        del self.masks[fd]

    def ready(self) -> list[tuple[int, int]]:
        fds = self.life.fds
        # 32: not a descriptor
        found = [(fd, fds[fd].mask() if fd in fds else 32) for fd in sorted(self.masks)]
        return [(fd, now) for fd, now in found if now & (self.masks[fd] | 8 | 32)]

    def poll(self, span: int) -> list[tuple[int, int]]:
        self.life.park(0 if span == 0 or self.ready() else span * MS)
        return self.ready()


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


class Life:
    """A process of `node`'s, and the machine that is handed to it."""

    def __init__(self, node, number: int):
        self.node, self.world, self.name, self.number, self.state = (
            node,
            node.world,
            node.name,
            number,
            UP,
        )
        self.disk, self.clock, self.wall_clock, self.boot_id, self.fds = (
            node.disk,
            node.clock,
            node.wall_clock,
            "emulated",
            {},
        )
        self.process, self.signals, self.steps, self.warm = None, None, 0, False
        self.kill_at, self.hang_at = None, None  # steps; a hang's with its span
        self.wakes, self.woke, self.parked = 0, 0, None
        self.main = greenlet(self._live, parent=node.world.hub)

    @property
    def serving(self) -> bool:
        """Whether the relay is lost if this process is."""
        return self.state is UP and self.process is not None and not self.process.handed_over

    # The machine that is handed to it

    def poller(self) -> Poller:
        self.polling = Poller(self)
        return self.polling

    def most_fds(self) -> int:
        """What its machine gives it; under a fault that share of it, and no less than a start needs."""
        node = self.node
        return (
            node.most_fds
            if node.fds_share >= 1.0
            else max(LEAST_FDS, int(node.most_fds * node.fds_share))
        )

    def give_fd(self, descriptor) -> int:
        """The lowest number that is free, as kernels give."""
        fd = LEAST_FD
        while fd in self.fds:
            fd += 1
        self.fds[fd] = descriptor
        return fd

    def tcp_socket(self, address):
        return self._socket(TaskSock)

    def udp_socket(self, address):
        return self._socket(TaskDatagrams)

    def _socket(self, kind):
        self.step("socket")
        if len(self.fds) >= self.most_fds():
            raise OSError(errno.EMFILE, "no descriptor is left")
        return Descriptor(self, kind(self.node.network, self.node.place))

    def listen_for_successor(self, folder: str) -> Descriptor:
        self.step("meet")
        self.node.meeting = Meeting()
        return Descriptor(self, self.node.meeting)

    def connect_to_predecessor(self, folder: str) -> Descriptor:
        self.step("reach")
        return Descriptor(self, self.node.meeting.offer())

    def socket_from_descriptor(self, fd: int) -> Descriptor:
        return self.fds[fd]

    def close(self, fd: int) -> None:
        self.fds[fd].close()

    # What it does

    def _live(self) -> None:
        """As `python -m molehill` does."""
        node, sink = self.node, Sink(self.node)
        config = configuration.parse_config(node.given(), {})
        node.most_fds = (
            config.sockets
            + configuration.RESERVED_DESCRIPTORS
            + (configuration.FLEET_SOCKETS if config.fleet else 0)
        )
        self.signals = Descriptor(self, Signals())
        start = relay.Startup(config, self, sink)
        if not start.wait_until_ready(config, self.signals):
            return
        node.takes_over(self, warm=start.handover is not None)
        self.process = relay.Process(
            config, self, sink, lambda before: configuration.parse_config(node.given(), {}), start
        )
        self.process.clients.listen(start.handover and start.handover.listener)
        self.process.begin_serving(self.signals)
        node.ready(self)
        self.process.run()

    def resume(self, task) -> None:
        """Runs it up to its next wait; what it lets escape is a crash."""
        self.node.acting = self
        task.switch()
        self.node.acting = None
        if self.state is UP and self.main.dead:
            self.over(ENDED)

    def park(self, span: int) -> None:
        """Its loop has nothing to do for so long, unless something becomes ready."""
        self.parked = getcurrent()
        self.wake_at(self.world.now + span)
        self.world.hub.switch()

    def wake_at(self, when: int) -> None:
        self.wakes += 1
        self.world.at(max(when, self.woke + TURN, self.node.frozen_until), self._wake, self.wakes)

    def _wake(self, number: int) -> None:
        if number != self.wakes or self.parked is None or self.state is not UP:
            return
        if self.world.now < self.node.frozen_until:
            return self.wake_at(self.node.frozen_until)
        task, self.parked, self.woke = self.parked, None, self.world.now
        self.resume(task)

    def poke(self, fd: int) -> None:
        """A descriptor of its own may have become ready."""
        if (
            self.parked is not None
            and fd in self.polling.masks
            and self.fds[fd].mask() & (self.polling.masks[fd] | 8)
        ):
            self.wake_at(self.world.now)

    def signal(self, number: int) -> None:
        if self.state is UP:
            self.signals.file.inbox.append(number)
            self.signals.file.changed()

    # Its death

    def step(self, what: str, size: int = 0) -> int:
        """One step at which a kill or a hang may fall; gives how much of a write is done, all but at a kill in its middle."""
        self.steps += 1
        if (
            self.kill_at is not None
            and self.steps >= self.kill_at
            and getcurrent() is not self.world.hub
        ):
            part = self.world.chance.randrange(size + 1) if what == "write" else 0
            if part:
                # the part goes in, and the step after it is the last
                self.kill_at = self.steps + 1
                return part
            self.kill()
        if (
            self.hang_at is not None
            and self.steps >= self.hang_at[0]
            and getcurrent() is not self.world.hub
        ):
            span, self.hang_at = self.hang_at[1], None
            self.world.after(span, self.goes_on, getcurrent())
            self.node.hangs(self, self.world.now + span)
            self.world.hub.switch()
        return size

    def goes_on(self, task) -> None:
        if self.state is UP:
            self.resume(task)

    def kill(self) -> None:
        """SIGKILL, from outside or in the middle of one of its own steps."""
        if self.state is not UP:
            return
        self.over(KILLED)
        if getcurrent() is not self.world.hub:
            self.node.graves.append(getcurrent())
            self.world.hub.switch()

    def over(self, how: str) -> None:
        """What the kernel does with a process that is gone."""
        self.state, self.parked, self.kill_at = how, None, None
        # never resumed, never run by a destructor before the world's end
        self.node.graves.append(self)
        self.node.lost(self)
        for descriptor in sorted(self.fds.values(), key=lambda d: d.fd):
            let_go(descriptor.file, descriptor, "reset")
        self.fds.clear()

    def sizes(self) -> dict[str, int]:
        """How many rows each map of the relay has that has to be empty again once nothing is held."""
        core, http = self.process.core, self.process
        # the socket of signals and the lock are not in the budget
        counted = http.budget.total() + 2
        if http.handover_server is not None:
            # nor are the operators' door and the meeting place
            counted += 2
        if http.membership is not None:
            counted += http.membership.descriptor_count()
        return {
            "held": len(core.callbacks),
            "calls": len(core.calls),
            "parked": len(core.queued_calls),
            "owed_keys": len(core.keys_awaiting_notice),
            "used": core.log_bytes_used,
            "open": core.open_count,
            "module held": len(core.module.state.callbacks_by_id),
            "streams": len(http.hosts.streams),
            "notices": http.notices.pending_count,
            "aborted": len(http.hosts.aborted),
            "descriptors not counted": len(self.fds) - counted,
            "idle clients not open": sum(
                conn not in http.clients.connections
                for rows in http.clients.idle_connections.values()
                for conn in rows
            ),
        }
