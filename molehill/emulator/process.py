"""One process of a relay: its greenlet, its descriptors and its steps, and its links to another
process.

A descriptor is one process's number for a kernel object (a socket, a lock, an end of a message
channel). The object lives until its last reference is closed: descriptors of other processes count,
and so do those in messages that nobody has read yet.
"""

import array
import errno
import socket

from greenlet import getcurrent, greenlet

from molehill import config as configuration
from molehill import relay
from molehill.config import MS
from molehill.emulator.network import Datagrams, Listener, Sock

# Least ns between two passes of a relay's loop: about the time that a callback costs one core.
MIN_LOOP_INTERVAL = 150_000
FIRST_DESCRIPTOR = 3  # after the standard streams
# Enough for the standard streams, log, discovery, notices, listener, and a few connections.
MIN_DESCRIPTORS = 24
# Unread messages that a channel between processes holds: a few more than in kernels.
MESSAGE_QUEUE_LIMIT = 64
UP, ENDED, KILLED = "up", "ended", "killed"


class Descriptor:
    """A process's reference to a kernel object.

    Calls are forwarded to `file`, which lists its references in `holders`. Calls with an effect
    that others can see are steps of the process.
    """

    def __init__(self, process, file):
        self.process, self.file, self.fd = process, file, process.allocate_descriptor(self)
        file.holders.append(self)

    def __getattr__(self, name):
        return getattr(self.file, name)

    def fileno(self) -> int:
        return self.fd

    def send(self, data) -> int:
        self.process.step("send")
        count = self.file.send(data)
        self.process.step("sent")
        return count

    def accept(self):
        if self.file.waiting and len(self.process.descriptors) >= self.process.descriptor_limit():
            raise OSError(errno.EMFILE, "too many open descriptors")
        file, address = self.file.accept()
        return Descriptor(self.process, file), address

    def sendmsg(self, parts, ancillary) -> int:
        self.process.step("send")
        numbers = array.array("i", ancillary[0][2])
        self.file.put(b"".join(parts), [self.process.descriptors[fd].file for fd in numbers])
        self.process.step("sent")
        return sum(map(len, parts))

    def recvmsg(self, count, room):
        data, files = self.file.take()
        numbers = array.array("i", [Descriptor(self.process, file).fd for file in files])
        for file in files:
            release_reference(file, self.file)
        self.process.step("received")
        return (
            data,
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, numbers.tobytes())] if files else [],
            0,
            None,
        )

    def close(self) -> None:
        if self.fd >= 0:
            del self.process.descriptors[self.fd]
            self.fd = -1
            release_reference(self.file, self)


def release_reference(file, holder, how="close") -> None:
    """Drop one reference to `file`; the last one closes it, by its method `how` if it has that."""
    file.holders.remove(holder)
    if not file.holders:
        getattr(file, how, file.close)()


class KernelObject:
    """What descriptors refer to."""

    def __init__(self):
        self.holders = []

    def setblocking(self, flag) -> None:
        pass

    def mask(self) -> int:
        return 0

    def changed(self) -> None:
        for holder in list(self.holders):
            if isinstance(holder, Descriptor):
                holder.process.wake_if_ready(holder.fd)

    def close(self) -> None:
        pass


class RelaySocket(KernelObject, Sock, Listener):
    """A TCP socket of a relay, before it is known whether it connects or listens."""

    def __init__(self, network, machine):
        Sock.__init__(self, network, machine)
        KernelObject.__init__(self)
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
        """Half-close the connection and record it.

        This is the protocol's other way to give up a call: sending ends and the connection stays.
        """
        Sock.shutdown(self, how)
        if self.is_shut_down:
            self._record_hang_up()

    def forget(self) -> None:
        if not self.closed and not self.is_shut_down:
            self._record_hang_up()
        Sock.forget(self)

    def _record_hang_up(self) -> None:
        if self.peer is not None:
            self.world.tell(self.machine.name, "hung up", conn=self.peer.number)


class RelayDatagramSocket(KernelObject, Datagrams):
    """A UDP socket of a relay."""

    def __init__(self, network, machine):
        Datagrams.__init__(self, network, machine)
        KernelObject.__init__(self)

    mask, close = Datagrams.mask, Datagrams.close


class Signals(KernelObject):
    """A socket on which each signal arrives as one byte."""

    def __init__(self):
        super().__init__()
        self.inbox = bytearray()

    def mask(self) -> int:
        return 1 if self.inbox else 0

    def recv(self, count: int, flags: int = 0) -> bytes:
        if not self.inbox:
            raise BlockingIOError(errno.EAGAIN, "no data")
        data = bytes(self.inbox[:count])
        del self.inbox[:count]
        return data


class Lock(KernelObject):
    """The lock of a folder, held while any process has a descriptor of it."""


class MessageSocket(KernelObject):
    """One end of a channel that keeps message boundaries and passes descriptors.

    An unread message holds the descriptors that are passed in it.
    """

    def __init__(self):
        super().__init__()
        self.inbox, self.peer, self.is_closed = [], None, False

    def send(self, data) -> int:
        self.put(bytes(data), [])
        return len(data)

    def put(self, data, files) -> None:
        if self.is_closed or self.peer.is_closed:
            raise BrokenPipeError(errno.EPIPE, "channel is closed")
        if len(self.peer.inbox) >= MESSAGE_QUEUE_LIMIT:
            raise BlockingIOError(errno.EAGAIN, "queue is full")
        for file in files:
            file.holders.append(self.peer)
        self.peer.inbox.append((data, files))
        self.peer.changed()

    def take(self):
        if self.inbox:
            found = self.inbox.pop(0)
            self.peer.changed()
            return found
        if self.is_closed or self.peer.is_closed:
            return b"", []
        raise BlockingIOError(errno.EAGAIN, "no data")

    def mask(self) -> int:
        is_closed = self.is_closed or self.peer.is_closed
        return (1 if self.inbox or is_closed else 0) | (
            4 if is_closed or len(self.peer.inbox) < MESSAGE_QUEUE_LIMIT else 0
        )

    def shutdown(self, how) -> None:
        self.is_closed = self.peer.is_closed = True
        self.peer.changed()

    def close(self) -> None:
        self.shutdown(socket.SHUT_RDWR)
        while self.inbox:
            for file in self.inbox.pop(0)[1]:
                release_reference(file, self)


class HandoverListener(KernelObject):
    """The listener at which a relay's next process connects to the one that serves."""

    def __init__(self):
        super().__init__()
        self.waiting, self.is_closed = [], False

    def connect(self):
        """Return the connecting side's end of a new channel."""
        if self.is_closed:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "no process is listening")
        if self.waiting:
            raise BlockingIOError(errno.EAGAIN, "a connection is waiting already")
        ours, theirs = MessageSocket(), MessageSocket()
        ours.peer, theirs.peer = theirs, ours
        self.waiting.append(theirs)
        self.changed()
        return ours

    def accept(self):
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "no connection is waiting")
        return self.waiting.pop(0), None

    def mask(self) -> int:
        return 1 if self.waiting else 0

    def close(self) -> None:
        self.is_closed = True
        for end in self.waiting:
            end.close()


class Poller:
    """`select.poll` on virtual descriptors.

    It returns control to the virtual clock until a descriptor is ready or the time is up.
    """

    def __init__(self, process):
        self.process, self.masks = process, {}

    def register(self, fd: int, mask: int) -> None:
        self.masks[fd] = mask

    def unregister(self, fd: int) -> None:
        del self.masks[fd]

    def ready(self) -> list[tuple[int, int]]:
        descriptors = self.process.descriptors
        # 32: POLLNVAL
        found = [
            (fd, descriptors[fd].mask() if fd in descriptors else 32) for fd in sorted(self.masks)
        ]
        return [(fd, now) for fd, now in found if now & (self.masks[fd] | 8 | 32)]

    def poll(self, span: int) -> list[tuple[int, int]]:
        self.process.wait_up_to(0 if span == 0 or self.ready() else span * MS)
        return self.ready()


class LogSink:
    """Collects the relay's log lines for the timeline."""

    def __init__(self, node):
        self.node = node

    def msg(self, line: str) -> None:
        self.node.log_lines.append((self.node.world.now, line))
        del self.node.log_lines[:-500]

    log = debug = info = warning = error = critical = exception = msg

    def flush(self) -> bool:
        return True


class EmulatedProcess:
    """A process of `node`, and the machine interface that the relay's code is given."""

    def __init__(self, node, number: int):
        self.node, self.world, self.name, self.number, self.state = (
            node,
            node.world,
            node.name,
            number,
            UP,
        )
        self.disk, self.clock, self.wall_clock, self.boot_id, self.descriptors = (
            node.disk,
            node.clock,
            node.wall_clock,
            "emulated",
            {},
        )
        self.relay_process, self.signals, self.steps, self.by_handover = None, None, 0, False
        self.kill_at, self.hang_at = None, None  # step of the kill; (step, span in ns) of the hang
        self.wake_serial, self.last_wake_at, self.waiting_task = 0, 0, None
        self.main = greenlet(self._run_relay, parent=node.world.hub)

    @property
    def serving(self) -> bool:
        """Whether the relay is down if this process ends."""
        return (
            self.state is UP
            and self.relay_process is not None
            and not self.relay_process.handed_over
        )

    # Machine interface for the relay

    def poller(self) -> Poller:
        self.current_poller = Poller(self)
        return self.current_poller

    @staticmethod
    def has_hung_up(sock) -> bool:
        """Return whether the peer has ended the connection, also where its bytes lie unread."""
        return bool(sock.error or sock.eof)

    def descriptor_limit(self) -> int:
        """Return the limit of the machine; under a fault a share of it, but enough to start."""
        node = self.node
        return (
            node.descriptor_limit
            if node.descriptor_share >= 1.0
            else max(MIN_DESCRIPTORS, int(node.descriptor_limit * node.descriptor_share))
        )

    def allocate_descriptor(self, descriptor) -> int:
        """Return the lowest free number, as kernels do."""
        fd = FIRST_DESCRIPTOR
        while fd in self.descriptors:
            fd += 1
        self.descriptors[fd] = descriptor
        return fd

    def tcp_socket(self, address):
        return self._socket(RelaySocket)

    def udp_socket(self, address):
        return self._socket(RelayDatagramSocket)

    def _socket(self, kind):
        self.step("socket")
        if len(self.descriptors) >= self.descriptor_limit():
            raise OSError(errno.EMFILE, "too many open descriptors")
        return Descriptor(self, kind(self.node.network, self.node.machine))

    def listen_for_successor(self, folder: str) -> Descriptor:
        self.step("meet")
        self.node.handover_listener = HandoverListener()
        return Descriptor(self, self.node.handover_listener)

    def connect_to_predecessor(self, folder: str) -> Descriptor:
        self.step("reach")
        return Descriptor(self, self.node.handover_listener.connect())

    def socket_from_descriptor(self, fd: int) -> Descriptor:
        return self.descriptors[fd]

    def close(self, fd: int) -> None:
        self.descriptors[fd].close()

    # Execution

    def _run_relay(self) -> None:
        """Start and run the relay as `python -m molehill` does."""
        node, sink = self.node, LogSink(self.node)
        config = configuration.parse_config(node.read_settings(), {})
        node.descriptor_limit = (
            config.sockets
            + configuration.RESERVED_DESCRIPTORS
            + (configuration.FLEET_SOCKETS if config.fleet else 0)
        )
        self.signals = Descriptor(self, Signals())
        start = relay.Startup(config, self, sink)
        if not start.wait_until_ready(config, self.signals):
            return
        node.take_over(self, by_handover=start.handover is not None)
        self.relay_process = relay.Process(
            config,
            self,
            sink,
            lambda before: configuration.parse_config(node.read_settings(), {}),
            start,
        )
        self.relay_process.clients.listen(start.handover and start.handover.listener)
        self.relay_process.begin_serving(self.signals)
        node.ready(self)
        self.relay_process.run()

    def resume(self, task) -> None:
        """Run `task` up to its next wait. An exception that it lets escape is a crash."""
        self.node.running = self
        task.switch()
        self.node.running = None
        if self.state is UP and self.main.dead:
            self.terminate(ENDED)

    def wait_up_to(self, span: int) -> None:
        """Suspend the relay's loop for `span` ns, or until a descriptor becomes ready."""
        self.waiting_task = getcurrent()
        self.wake_at(self.world.now + span)
        self.world.hub.switch()

    def wake_at(self, when: int) -> None:
        self.wake_serial += 1
        self.world.at(
            max(when, self.last_wake_at + MIN_LOOP_INTERVAL, self.node.frozen_until),
            self._wake,
            self.wake_serial,
        )

    def _wake(self, number: int) -> None:
        if number != self.wake_serial or self.waiting_task is None or self.state is not UP:
            return
        if self.world.now < self.node.frozen_until:
            return self.wake_at(self.node.frozen_until)
        task, self.waiting_task, self.last_wake_at = self.waiting_task, None, self.world.now
        self.resume(task)

    def wake_if_ready(self, fd: int) -> None:
        """Wake the loop if it polls `fd` and that is ready now."""
        if (
            self.waiting_task is not None
            and fd in self.current_poller.masks
            and self.descriptors[fd].mask() & (self.current_poller.masks[fd] | 8)
        ):
            self.wake_at(self.world.now)

    def signal(self, number: int) -> None:
        if self.state is UP:
            self.signals.file.inbox.append(number)
            self.signals.file.changed()

    # Kills and hangs

    def step(self, what: str, size: int = 0) -> int:
        """Count a step, at which a kill or a hang may occur.

        Returns how many of `size` bytes are done: all of them, unless a kill falls into the middle
        of a write.
        """
        self.steps += 1
        if (
            self.kill_at is not None
            and self.steps >= self.kill_at
            and getcurrent() is not self.world.hub
        ):
            part = self.world.chance.randrange(size + 1) if what == "write" else 0
            if part:
                # The part is written, and the process is killed at the next step.
                self.kill_at = self.steps + 1
                return part
            self.kill()
        if (
            self.hang_at is not None
            and self.steps >= self.hang_at[0]
            and getcurrent() is not self.world.hub
        ):
            span, self.hang_at = self.hang_at[1], None
            self.world.after(span, self.resume_after_hang, getcurrent())
            self.node.report_hang(self, self.world.now + span)
            self.world.hub.switch()
        return size

    def resume_after_hang(self, task) -> None:
        if self.state is UP:
            self.resume(task)

    def kill(self) -> None:
        """Kill the process as SIGKILL does, from outside or in the middle of its own step."""
        if self.state is not UP:
            return
        self.terminate(KILLED)
        if getcurrent() is not self.world.hub:
            self.node.ended_tasks.append(getcurrent())
            self.world.hub.switch()

    def terminate(self, how: str) -> None:
        """Release what the process held, as the kernel does when a process ends."""
        self.state, self.waiting_task, self.kill_at = how, None, None
        # Kept so that no destructor resumes the greenlet before the end of the run.
        self.node.ended_tasks.append(self)
        self.node.process_ended(self)
        for descriptor in sorted(self.descriptors.values(), key=lambda d: d.fd):
            release_reference(descriptor.file, descriptor, "reset")
        self.descriptors.clear()

    def sizes(self) -> dict[str, int]:
        """Return the row count of each map of the relay that must be empty once nothing is held."""
        core, http = self.relay_process.core, self.relay_process
        # The signal socket and the lock are not in the budget.
        counted = http.budget.total() + 2
        if http.handover_server is not None:
            # Nor are the admin listener and the handover listener.
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
            "descriptors not counted": len(self.descriptors) - counted,
            "idle clients not open": sum(
                conn not in http.clients.connections
                for rows in http.clients.idle_connections.values()
                for conn in rows
            ),
        }
