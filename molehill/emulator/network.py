"""Stream and datagram sockets that behave as the kernel's, between machines of one run.

Modelled are partial reads and writes, full buffers, backlogs, refused connections, resets (also on
closing with unread bytes), half-closed and silent peers, connections that never come up, and a
latency for each connection: connections overtake each other, but the bytes of one never do. A
relay's side has the calls of `socket.socket` that it uses; a stand-in's side has `put`, `close` and
callbacks.
"""

import errno
import select
import socket
from collections import deque

from molehill.config import SECOND

# Bytes in flight and unread in one direction: as in kernels, on a smaller scale.
BUFFER_BYTES = 64 * 1024
MAX_REORDER_DELAY = 50_000_000  # ns: largest delay of a datagram that is reordered
# Unread datagrams that a socket holds: about what kernels hold of small ones.
DATAGRAM_QUEUE_LIMIT = 256
# When a connection request without an answer is sent again, as in kernels.
CONNECT_RETRY_TIMES = (SECOND, 3 * SECOND, 7 * SECOND)
ERRORS = {
    errno.ECONNREFUSED: ConnectionRefusedError,
    errno.ECONNRESET: ConnectionResetError,
    errno.EPIPE: BrokenPipeError,
}


class Machine:
    """A host of the network, with its listeners by address.

    `cut`: it sends nothing and receives nothing.
    """

    def __init__(self, world, name: str):
        self.world, self.name, self.cut, self.boots = world, name, False, 0
        self.listeners, self.socks = {}, set()
        self.failed_connectors = set()  # names of machines whose connections failed here
        self.make_sock = Sock  # class of the sockets of incoming connections

    def vanish(self) -> None:
        """Send nothing from now on; its connections stay open at the other sides."""
        self.cut = True

    def back(self) -> None:
        """Come up again without any knowledge of earlier connections: who writes on one gets a
        reset.
        """
        self.cut, self.boots = False, self.boots + 1

    def die(self) -> None:
        """End the process but not the kernel: connections are reset and new ones refused."""
        for listener in list(self.listeners.values()):
            listener.close()
        for sock in sorted(self.socks, key=lambda s: s.number):
            sock.reset()
        self.socks.clear()


class NetworkPath:
    """The faults on what one machine sends to another.

    Bytes wait until `until`, take `delay` more, and at most `rate` of them a second get through (0:
    unlimited). Datagrams sent before `until` are lost, or arrive at that time where the fault is a
    burst; `lose`, `repeat`, `reorder` and `spoil_bytes` are the shares of the others that this
    happens to.
    """

    def __init__(self, world):
        self.world, self.until, self.delay, self.rate, self.free_at, self.affected_count = (
            world,
            0,
            0,
            0,
            0,
            0,
        )
        self.burst_until, self.lose, self.repeat, self.reorder, self.spoil_bytes = (
            0,
            0.0,
            0.0,
            0.0,
            0.0,
        )

    def datagram_copies(self, when: int, data: bytes) -> list:
        """Return (arrival time, bytes) for each copy of a datagram that would arrive at `when`."""
        chance, now = self.world.chance, self.world.now
        if (
            now < self.until
            and now >= self.burst_until
            or self.lose
            and chance.random() < self.lose
        ):
            self.affected_count += 1
            return []
        if self.spoil_bytes and data and chance.random() < self.spoil_bytes:
            place = chance.randrange(len(data))
            data = (
                data[:place] + bytes([data[place] ^ chance.randrange(1, 256)]) + data[place + 1 :]
            )
            self.affected_count += 1
        times = 1
        if self.repeat and chance.random() < self.repeat:
            self.affected_count, times = self.affected_count + 1, 2
        if self.reorder and chance.random() < self.reorder:
            self.affected_count, when = (
                self.affected_count + 1,
                when + chance.randrange(1, MAX_REORDER_DELAY),
            )
        return [(self.arrival(when, len(data)), data)] * times

    def arrival(self, when: int, size: int) -> int:
        """Return when `size` bytes arrive that would arrive at `when` without a fault."""
        later = max(when, self.until)
        if self.delay:
            later = max(later, when + int(self.delay * (0.5 + self.world.chance.random())))
        if self.rate:
            self.free_at = max(self.free_at, self.world.now) + size * SECOND // self.rate
            later = max(later, self.free_at)
        self.affected_count += later > when
        return later


class Network:
    """All machines of a run, and the paths between them."""

    def __init__(self, world, latency=(200_000, 800_000), partial_share: float = 0.02):
        """`latency`: least and most nanoseconds one way, drawn for each connection.

        `partial_share`: share of reads and writes that the kernel does only in part.
        """
        self.world, self.latency, self.partial_share, self.numbers = (
            world,
            latency,
            partial_share,
            0,
        )
        self.machines: dict[str, Machine] = {}
        self.machines_by_address: dict[tuple, Machine] = {}  # address -> its machine
        # address -> the datagram socket bound to it
        self.datagram_sockets: dict[tuple, Datagrams] = {}
        # (from, to) -> its faults; absent: there never was one
        self.paths: dict[tuple, NetworkPath] = {}

    def machine(self, name: str) -> Machine:
        """Return the machine of that name, and create it if needed."""
        return self.machines.setdefault(name, Machine(self.world, name))

    def deliver_datagram(self, address, data: bytes, sender) -> None:
        box = self.datagram_sockets.get(address)
        if box is not None and not box.machine.cut:
            box.receive_datagram(data, sender)

    def path_between(self, a: str, b: str) -> NetworkPath:
        """Return the path from machine `a` to machine `b`, and create it if needed."""
        return self.paths.setdefault((a, b), NetworkPath(self.world))

    def number(self) -> int:
        self.numbers += 1
        return self.numbers

    def address_seen_by(self, relay: str, address, party: str):
        """Return the address that the relay is given for a party: here the real one."""
        return address

    def partial_count(self, count: int) -> int:
        """Return how many of `count` bytes one call transfers."""
        chance = self.world.chance
        return (
            chance.randrange(1, count + 1)
            if count > 1 and chance.random() < self.partial_share
            else count
        )

    def connect(self, machine, address, came=None, ended=None, broke=None, up=None) -> "Sock":
        """Open a stand-in's connection; the callbacks are those of Sock."""
        sock = Sock(self, machine)
        sock.listen_to(came, ended, broke, up)
        sock.dial(address)
        return sock

    def serve(self, machine, address, accepted, backlog=1024) -> "Listener":
        """Open a stand-in's listener; accepted(sock) is called for each new connection."""
        listener = Listener(self, machine)
        listener.bind(address)
        listener.listen(backlog)
        listener.accepted = accepted
        return listener


class SocketBase:
    """What all sockets share."""

    def __init__(self, network, machine):
        self.network, self.world, self.machine, self.number = (
            network,
            network.world,
            machine,
            network.number(),
        )
        self.closed = False

    def setblocking(self, flag) -> None:
        pass

    def setsockopt(self, *_) -> None:
        pass

    def changed(self) -> None:
        """Called when the socket may have become ready."""

    def forget(self) -> None:
        """Remove the socket from its machine."""
        self.closed = True
        self.machine.socks.discard(self)


class Listener(SocketBase):
    """A listening stream socket."""

    def __init__(self, network, machine):
        super().__init__(network, machine)
        self.address, self.backlog, self.waiting, self.accepted = None, 0, [], None

    def bind(self, address) -> None:
        self.address = tuple(address)

    def getsockname(self):
        return self.address

    def listen(self, backlog: int) -> None:
        self.backlog = backlog
        self.machine.listeners[self.address] = self
        self.network.machines_by_address[self.address] = self.machine

    def add_connection(self, sock) -> bool:
        """Queue or accept an incoming connection; return False if the backlog is full."""
        if len(self.waiting) >= self.backlog:
            return False
        if self.accepted is not None:
            self.accepted(sock)
        else:
            self.waiting.append(sock)
            self.changed()
        return True

    def accept(self):
        if self.waiting:
            return self.waiting.pop(0), ("127.0.0.1", 1)
        raise BlockingIOError(errno.EAGAIN, "no connection is waiting")

    def mask(self) -> int:
        return select.POLLIN if self.waiting else 0

    def close(self) -> None:
        if not self.closed:
            if self.machine.listeners.get(self.address) is self:
                del self.machine.listeners[self.address]
            for sock in self.waiting:  # as kernels do with connections that were never accepted
                sock.reset()
            self.waiting = []
            self.forget()


class Datagrams(SocketBase):
    """A datagram socket.

    A relay's side has the calls of `socket.socket`; a stand-in's gets came(socket, data, address).
    """

    def __init__(self, network, machine):
        super().__init__(network, machine)
        self.address, self.inbox, self.came, self.lost = None, deque(), None, 0
        machine.socks.add(self)

    def bind(self, address) -> None:
        self.address = tuple(address)
        self.network.datagram_sockets[self.address] = self
        self.network.machines_by_address.setdefault(self.address, self.machine)

    def getsockname(self):
        return self.address

    def sendto(self, data, address) -> int:
        """Send a datagram.

        One that finds no socket, or no room in it, is lost without an error for its sender.
        """
        network, address = self.network, tuple(address)
        there = network.datagram_sockets.get(address)
        due = self.world.now + self.world.chance.randrange(*network.latency)
        path = (
            network.paths.get((self.machine.name, there.machine.name))
            if there is not None
            else None
        )
        if not self.machine.cut:
            for when, copy in (
                path.datagram_copies(due, bytes(data))
                if path is not None
                else ((due, bytes(data)),)
            ):
                self.world.at(when, network.deliver_datagram, address, copy, self.address)
        return len(data)

    def receive_datagram(self, data: bytes, sender) -> None:
        if self.came is not None:
            self.came(self, data, sender)
        elif len(self.inbox) < DATAGRAM_QUEUE_LIMIT:
            self.inbox.append((data, sender))
            self.changed()
        else:
            self.lost += 1

    def recvfrom(self, count: int):
        if self.inbox:
            data, sender = self.inbox.popleft()
            return data[:count], sender
        raise BlockingIOError(errno.EAGAIN, "no data")

    def mask(self) -> int:
        return select.POLLOUT | (select.POLLIN if self.inbox else 0)

    def close(self) -> None:
        if not self.closed:
            if self.network.datagram_sockets.get(self.address) is self:
                del self.network.datagram_sockets[self.address]
            self.forget()

    reset = close


FRESH, DIALLING, OPEN, FAILED = "fresh", "dialling", "open", "failed"


class Sock(SocketBase):
    """One side of a connection.

    A stand-in's side is driven by callbacks: up(sock), came(sock, data, sent_at), ended(sock),
    broke(sock). `sent_at` is when the other side wrote the first of these bytes.
    """

    def __init__(self, network, machine):
        super().__init__(network, machine)
        self.state, self.peer, self.boots, self.error, self.eof, self.is_shut_down = (
            FRESH,
            None,
            machine.boots,
            None,
            False,
            False,
        )
        self.inbox, self.bytes_in_flight, self.delay, self.last_arrival = bytearray(), 0, 0, 0
        # A stand-in's side: bytes that wait for room; whether it closes after them.
        self.outbox, self.close_when_sent = bytearray(), False
        self.on_came = self.on_ended = self.on_broke = self.on_up = None
        machine.socks.add(self)

    def listen_to(self, came=None, ended=None, broke=None, up=None) -> None:
        self.on_came, self.on_ended, self.on_broke, self.on_up = came, ended, broke, up

    # Connecting

    def connect_ex(self, address) -> int:
        if self.state is FRESH:
            self.dial(tuple(address))
            return errno.EINPROGRESS
        return self.error or 0

    def dial(self, address) -> None:
        self.state, self.delay = DIALLING, self.world.chance.randrange(*self.network.latency)
        self._send_connect(tuple(address), 0)

    def _send_connect(self, address, tries: int) -> None:
        there = self.network.machines_by_address.get(address)
        path = (
            self.network.paths.get((self.machine.name, there.name)) if there is not None else None
        )
        if path is not None and path.until > self.world.now:
            path.affected_count += 1  # the request is lost; the kernel repeats it
        elif not self.closed and not self.machine.cut:
            self.world.after(self.delay, self._receive_connect, address)
        if tries < len(CONNECT_RETRY_TIMES):
            self.world.after(
                CONNECT_RETRY_TIMES[tries] - (CONNECT_RETRY_TIMES[tries - 1] if tries else 0),
                self._retry_connect,
                address,
                tries + 1,
            )

    def _retry_connect(self, address, tries: int) -> None:
        if self.state is DIALLING and not self.closed:
            self._send_connect(address, tries)

    def _receive_connect(self, address) -> None:
        """Handle a connection request at the remote machine."""
        machine = self.network.machines_by_address.get(address)
        if self.closed or self.state is not DIALLING or self.peer is not None:
            return
        if machine is not None and (machine.cut or address not in machine.listeners):
            machine.failed_connectors.add(self.machine.name)
        if machine is not None and machine.cut:
            return
        listener = machine.listeners.get(address) if machine is not None else None
        if listener is None:
            self.world.after(self.delay, self._connect_failed, errno.ECONNREFUSED)
            return
        other = machine.make_sock(self.network, machine)
        other.state, other.delay, other.peer = OPEN, self.delay, self
        self.peer = other
        if listener.add_connection(other):
            path = self.network.paths.get((machine.name, self.machine.name))
            due = self.world.now + self.delay
            self.world.at(path.arrival(due, 0) if path is not None else due, self._connected)
        else:
            other.forget()  # backlog full: the request is dropped without an answer
            self.peer = None

    def _connected(self) -> None:
        if self.closed or self.state is not DIALLING or self.machine.cut:
            return
        self.state = OPEN
        self.changed()
        if self.on_up is not None:
            self.on_up(self)

    def _connect_failed(self, code: int) -> None:
        if not self.closed and not self.machine.cut:
            self.state, self.error = FAILED, code
            self._broken()

    def getsockopt(self, level, option) -> int:
        if option != socket.SO_ERROR:
            raise OSError(errno.ENOPROTOOPT, "socket option is not supported")
        return self.error or 0

    # Bytes

    def room(self) -> int:
        return (
            BUFFER_BYTES - self.bytes_in_flight - len(self.peer.inbox)
            if self.peer is not None
            else 0
        )

    def send(self, data) -> int:
        self._check(writing=True)
        count = min(len(data), self.room())
        if count <= 0:
            raise BlockingIOError(errno.EAGAIN, "buffer is full")
        count = self.network.partial_count(count)
        self._transmit(bytes(data[:count]))
        return count

    def _check(self, writing=False) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "closed")
        if self.error:
            raise ERRORS.get(self.error, OSError)(self.error, "connection failed")
        if self.state is not OPEN:
            raise OSError(errno.ENOTCONN, "not connected")
        if writing and self.is_shut_down:
            raise BrokenPipeError(errno.EPIPE, "sending side is shut down")

    def _transmit(self, data: bytes) -> None:
        self.bytes_in_flight += len(data)
        self._send_in_order(self.peer._receive, data, self.world.now, size=len(data))

    def _send_in_order(self, work, *args, size: int = 0) -> None:
        """Schedule `work` at the peer; what is sent in one direction arrives in the order of
        sending.
        """
        due = self.world.now + self.delay
        path = self.network.paths.get((self.machine.name, self.peer.machine.name))
        self.last_arrival = max(
            self.last_arrival, path.arrival(due, size) if path is not None else due
        )
        self.world.at(self.last_arrival, work, *args)

    def _is_gone(self) -> bool:
        """Return whether this side can receive nothing.

        If its machine no longer knows the connection, the peer gets a reset.
        """
        if self.machine.cut:
            return True
        if self.closed or self.boots != self.machine.boots:
            if self.peer is not None and not self.peer.closed:
                self.world.after(self.delay, self.peer._receive_reset)
            return True
        return False

    def _receive(self, data: bytes, sent_at: int) -> None:
        if self.machine.cut:  # not acknowledged: it stays in the sender's buffer
            return
        self.peer.bytes_in_flight -= len(data)
        if self._is_gone():
            return
        if self.on_came is not None:
            self.on_came(self, data, sent_at)
            self.world.after(self.delay, self.peer._peer_has_read)
            return
        self.inbox += data
        self.changed()

    def _receive_end(self) -> None:
        if not self._is_gone():
            self.eof = True
            self.changed()
            if self.on_ended is not None:
                self.on_ended(self)

    def _receive_reset(self) -> None:
        if (
            not self.closed
            and not self.machine.cut
            and self.boots == self.machine.boots
            and not self.error
        ):
            self.error = errno.ECONNRESET  # what arrived earlier can still be read
            self._broken()

    def _broken(self) -> None:
        self.changed()
        if self.on_broke is not None:
            self.on_broke(self)

    def _peer_has_read(self) -> None:
        if self.closed:
            return
        self.changed()
        self._flush()

    def recv(self, count: int, flags: int = 0) -> bytes:
        if self.inbox:
            peek = flags & socket.MSG_PEEK
            data = bytes(
                self.inbox[
                    : count if peek else self.network.partial_count(min(count, len(self.inbox)))
                ]
            )
            if not peek:
                del self.inbox[: len(data)]
                self.world.after(self.delay, self.peer._peer_has_read)
            return data
        self._check()
        if self.eof:
            return b""
        raise BlockingIOError(errno.EAGAIN, "no data")

    def recv_into(self, space) -> int:
        data = self.recv(len(space))
        space[: len(data)] = data
        return len(data)

    def mask(self) -> int:
        if self.error:
            return select.POLLIN | select.POLLOUT | select.POLLERR
        if self.state is not OPEN:
            return 0
        return (select.POLLIN if self.inbox or self.eof else 0) | (
            select.POLLOUT if self.room() > 0 else 0
        )

    # Closing

    def shutdown(self, how) -> None:
        self._check(writing=True)
        if how in (socket.SHUT_WR, socket.SHUT_RDWR):
            self.is_shut_down = True
            self._send_in_order(self.peer._receive_end)

    def close(self) -> None:
        if self.closed:
            return
        if self.state is OPEN and not self.error and not self.machine.cut:
            if self.inbox:  # as kernels do: unread bytes turn the close into a reset
                self._send_in_order(self.peer._receive_reset)
            elif not self.is_shut_down:
                self._send_in_order(self.peer._receive_end)
        self.forget()

    def reset(self) -> None:
        """Abort the connection; what was already sent may still arrive before the reset."""
        if not self.closed:
            if self.peer is not None and not self.machine.cut and not self.error:
                self._send_in_order(self.peer._receive_reset)
            self.forget()

    # A stand-in's interface

    def put(self, data: bytes, then_close: bool = False) -> None:
        """Send all of `data` as room becomes available; then close the connection if asked to."""
        self.outbox += data
        self.close_when_sent = self.close_when_sent or then_close
        self._flush()

    def _flush(self) -> None:
        if self.closed or self.error or self.state is not OPEN or self.is_shut_down:
            return
        while self.outbox and (count := min(len(self.outbox), self.room())) > 0:
            self._transmit(bytes(self.outbox[:count]))
            del self.outbox[:count]
        if self.close_when_sent and not self.outbox:
            self.close()
