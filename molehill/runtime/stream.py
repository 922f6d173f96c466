"""One TCP connection for the tasks of any protocol: connect, read into its buffer, write all; the budget of sockets.

Sockets come from the machine that the scheduler was handed, so the same code runs on the kernel and in the emulator.
"""

import contextlib
import errno
import socket
from typing import Callable

from molehill.runtime.buffer import Buffer
from molehill.runtime.scheduler import CANCELLED, READ, READY, WRITE


class ConnectionBroken(Exception):
    """The connection is of no more use: closed, reset, or cut by this side."""


class NoDescriptor(ConnectionBroken):
    """This process has no descriptor to spare."""


class LocalError(NoDescriptor):
    """This machine lacks what a connection needs: it tells nothing of the other side."""


# Errors of connect(2) and send(2) that are this machine's own: no local port, no route, no buffer, a rule of its firewall.
LOCAL_ERRNOS = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EPERM,
    errno.EACCES,
)
# of connect(2): it goes on by itself
IN_PROGRESS_ERRNOS = (errno.EINPROGRESS, errno.EINTR, errno.EALREADY)


class TimedOut(Exception):
    """The time that was given is up."""


def to_connection_error(error: Exception) -> ConnectionBroken:
    """What a failed call on a connection means: this machine's own trouble, or the connection's."""
    return (LocalError if getattr(error, "errno", None) in LOCAL_ERRNOS else ConnectionBroken)(
        str(error)
    )


class DescriptorBudget:
    """Counts the descriptors of each kind, within one figure for all and one for kinds that have their own."""

    def __init__(self, limit: int, kind_limits=None):
        self.limit, self.kind_limits = limit, kind_limits or {}
        self.used: dict[str, int] = {}
        # name in CLOSE_ORDER -> closes one idle connection and tells whether it did
        self.idle_closers: dict[str, Callable[[], bool]] = {}

    def total(self) -> int:
        return sum(self.used.values())

    # Clients' connections that nobody needs go first. Then those to hosts, whose loss costs a handshake; then such of
    # clients as a request may yet come on.
    CLOSE_ORDER = ("left client", "host", "client")

    def acquire(self, kind: str, reserve: int = 0) -> bool:
        """One more of that kind, leaving `reserve` free for others; idle connections make room."""
        while self.used.get(kind, 0) >= self.kind_limits.get(kind, self.limit):
            if not self._make_room([name for name in self.CLOSE_ORDER if name.endswith(kind)]):
                return False
        while self.total() + 1 + reserve > self.limit:
            if not self._make_room(self.CLOSE_ORDER):
                return False
        self.used[kind] = self.used.get(kind, 0) + 1
        return True

    def _make_room(self, names) -> bool:
        return any(self.idle_closers[name]() for name in names if name in self.idle_closers)

    def release(self, kind: str) -> None:
        self.used[kind] -= 1


class Stream:
    """A connection with one buffer of `buffer_size` bytes; `kind` is what it counts as in the budget."""

    def __init__(self, scheduler, sock, kind: str, budget: DescriptorBudget, buffer_size: int):
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # not a TCP socket, as in tests
        self.scheduler, self.sock, self.kind, self.budget = scheduler, sock, kind, budget
        self.buffer, self.is_open, self.idle_since = Buffer(buffer_size), True, 0
        self.known_empty_at = scheduler.clock()  # nothing lay unread then, as far as is known
        self.arrived_after = self.known_empty_at  # what was read last was not there at that time

    def close(self) -> None:
        if self.is_open:
            self.is_open = False
            self.scheduler.cancel_wait(self.sock.fileno())
            self.budget.release(self.kind)
            with contextlib.suppress(OSError):  # Linux frees the descriptor all the same
                self.sock.close()

    def detach(self):
        """Its socket and what is unread of its message, for another process: to its users here it breaks."""
        data, sock = self.unread_bytes(), self.sock
        self.is_open = False
        self.scheduler.cancel_wait(sock.fileno())
        self.budget.release(self.kind)
        return sock, data

    def unread_bytes(self) -> bytes:
        return self.buffer.peek(len(self.buffer))

    def restore_unread(self, data: bytes) -> None:
        """What another process had read and not used. Danger: a head that it had taken off its buffer and all behind it may be
        more than a buffer holds; such a connection is closed, and the process that takes over goes on."""
        while data:
            with self.buffer.free_space() as space:
                count = min(len(space), len(data))
                if not count:
                    return self.close()
                space[:count] = data[:count]
            self.buffer.mark_filled(count)
            data = data[count:]

    def _wait(self, mask, deadline) -> None:
        outcome = self.scheduler.wait(self.sock.fileno(), mask, deadline)
        if outcome == CANCELLED or not self.is_open:
            raise ConnectionBroken("cut")
        if outcome != READY:
            raise TimedOut()

    def connect(self, address, deadline) -> None:
        try:
            code = self.sock.connect_ex(address)
            if code in IN_PROGRESS_ERRNOS:
                self._wait(WRITE, deadline)
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except (OSError, OverflowError, UnicodeError) as error:
            raise to_connection_error(error) from None
        if code and code != errno.EISCONN:
            raise to_connection_error(OSError(code, errno.errorcode.get(code, str(code))))

    def send(self, data: bytes, deadline) -> None:
        """Writes all; where it raises, the last byte has not gone."""
        view = memoryview(data)
        while view:
            if not self.is_open:
                raise ConnectionBroken("cut")
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._wait(WRITE, deadline)
            except OSError as error:
                raise to_connection_error(error) from None

    def read(self, deadline) -> None:
        """Some more bytes into the buffer; Broken at the end of the stream."""
        while True:
            if not self.is_open:
                raise ConnectionBroken("cut")
            space = self.buffer.free_space()
            capacity = len(space)
            if not capacity:
                raise ConnectionBroken("more than a message holds")
            try:
                count = self.sock.recv_into(space)
            except BlockingIOError:
                space.release()
                self._wait(READ, deadline)
                self.known_empty_at = self.scheduler.last_wait_arrived_after()
                continue
            except OSError as error:
                raise ConnectionBroken(str(error)) from None
            finally:
                space.release()
            if not count:
                raise ConnectionBroken("ended")
            self.arrived_after = self.known_empty_at
            if count < capacity:
                self.known_empty_at = self.scheduler.clock()
            self.buffer.mark_filled(count)
            return

    def _peek(self):
        """What lies unread: None for nothing, b"" for the end of the stream or a broken one."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) if self.is_open else b""
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_quiet(self) -> bool:
        """Whether nothing has come on an idle connection: neither its end nor bytes that nobody asked for."""
        return not len(self.buffer) and self._peek() is None

    def has_unread(self) -> bool:
        """Whether bytes lie there to be read."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        return self._peek() == b""


def end_sending_and_drain(stream, timeout: int, max_bytes: int) -> None:
    """Ends the sending, then reads away what still comes, so long and so much at most.

    Danger: closed over bytes that lie unread, a connection is reset, and the other side may never see the answer.
    """
    stream.sock.shutdown(socket.SHUT_WR)
    deadline, drained = stream.scheduler.clock() + timeout, 0
    while drained < max_bytes and stream.scheduler.clock() < deadline:
        drained += len(stream.buffer.take(len(stream.buffer)))
        stream.read(deadline)
        stream.scheduler.yield_now()


BACKLOG = 1024
# Errors of socket(2), bind(2) and listen(2) that pass by themselves
TRANSIENT_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EINTR,
)


def open_listener(machine, address) -> socket.socket:
    """A listener there that does not block."""
    sock = machine.tcp_socket(address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def open_stream(scheduler, address, kind, budget, factory, reserve=0) -> Stream:
    """A socket for a connection to another party, counted in the budget; `factory` is the kind of Stream it becomes."""
    if not budget.acquire(kind, reserve):
        raise NoDescriptor("no socket to spare")
    try:
        sock = scheduler.machine.tcp_socket(address)
    except OSError as error:
        budget.release(kind)
        raise LocalError(str(error)) from None
    return factory(scheduler, sock, kind, budget)


def connect_stream(scheduler, address, kind, budget, factory, deadline, reserve=0) -> Stream:
    stream = open_stream(scheduler, address, kind, budget, factory, reserve)
    try:
        stream.connect(address, deadline)
    except (ConnectionBroken, TimedOut):
        stream.close()
        raise
    return stream


class PersistentConnection:
    """The one connection to the party at an address that may change, kept between requests and made anew once it is
    of no more use. Closed at any time, also while it comes up, it breaks under whoever uses it."""

    def __init__(self, scheduler, get_address, kind, budget, factory):
        self.scheduler, self.get_address, self.kind, self.budget = (
            scheduler,
            get_address,
            kind,
            budget,
        )
        self.factory, self.stream = factory, None

    def get_stream(self, deadline) -> Stream:
        if self.stream is None or not self.stream.is_quiet():
            self.close()
            address = self.get_address()
            stream = self.stream = open_stream(
                self.scheduler, address, self.kind, self.budget, self.factory
            )
            stream.connect(address, deadline)
        return self.stream

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
