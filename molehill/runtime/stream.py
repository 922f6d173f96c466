"""TCP connections for tasks of any protocol, and the budget of file descriptors.

Sockets come from the scheduler's machine, so the same code runs on the kernel and in the emulator.
Deadlines are nanoseconds on the scheduler's clock.
"""

import contextlib
import errno
import socket
from typing import Callable

from molehill.runtime.buffer import Buffer
from molehill.runtime.scheduler import CANCELLED, READ, READY, WRITE


class ConnectionBroken(Exception):
    """The connection is unusable: closed, reset, or closed by this side during the operation."""


class ConnectionRefused(ConnectionBroken):
    """Nobody listens at the peer's address."""


class NoDescriptor(ConnectionBroken):
    """The descriptor budget of this process is exhausted."""


class LocalError(NoDescriptor):
    """This machine lacks a resource for the connection; the error says nothing about the peer."""


# Errors of connect(2) and send(2) that this machine causes: no local port, no route, no buffer, or
# a rule of its firewall.
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
# Errors of connect(2) after which the connection attempt continues in the background.
IN_PROGRESS_ERRNOS = (errno.EINPROGRESS, errno.EINTR, errno.EALREADY)


class TimedOut(Exception):
    """The deadline of the operation has passed."""


def to_connection_error(error: Exception) -> ConnectionBroken:
    """Converts the error of a system call to LocalError or, if not local, ConnectionBroken.

    A refused connection is a ConnectionRefused.
    """
    code = getattr(error, "errno", None)
    if code == errno.ECONNREFUSED:
        return ConnectionRefused(str(error))
    return (LocalError if code in LOCAL_ERRNOS else ConnectionBroken)(str(error))


class DescriptorBudget:
    """Counts the descriptors of each kind, within a limit for all and limits for some kinds."""

    def __init__(self, limit: int, kind_limits=None):
        self.limit, self.kind_limits = limit, kind_limits or {}
        self.used: dict[str, int] = {}
        # Name in CLOSE_ORDER -> function that closes one idle connection; returns whether it did.
        self.idle_closers: dict[str, Callable[[], bool]] = {}

    def total(self) -> int:
        """Returns the number of descriptors in use, of all kinds."""
        return sum(self.used.values())

    # Client connections that nobody needs are closed first. Then connections to hosts, whose loss
    # costs a handshake; then client connections on which a request may still come.
    CLOSE_ORDER = ("left client", "host", "client")

    def acquire(self, kind: str, reserve: int = 0) -> bool:
        """Counts one more descriptor of that kind if `reserve` others remain free.

        Closes idle connections to make room; returns False if that is not enough.
        """
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
        """Counts one descriptor of that kind less."""
        self.used[kind] -= 1


class Stream:
    """A connection with a read buffer of at most `buffer_size` bytes.

    `kind` is the kind under which the budget counts it; the caller has acquired it there.
    """

    def __init__(self, scheduler, sock, kind: str, budget: DescriptorBudget, buffer_size: int):
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # not a TCP socket, e.g. in tests
        self.scheduler, self.sock, self.kind, self.budget = scheduler, sock, kind, budget
        self.buffer, self.is_open, self.idle_since = Buffer(buffer_size), True, 0
        self.known_empty_at = scheduler.clock()  # last time at which nothing is known to lie unread
        self.arrived_after = self.known_empty_at  # what was read last had not arrived at that time

    def close(self) -> None:
        """Closes the connection; a task that waits on it gets ConnectionBroken."""
        if self.is_open:
            self.is_open = False
            self.scheduler.cancel_wait(self.sock.fileno())
            self.budget.release(self.kind)
            with contextlib.suppress(OSError):  # Linux frees the descriptor even if close(2) fails
                self.sock.close()

    def detach(self):
        """Detaches the socket for another process; returns it and the bytes not consumed yet.

        For users of the stream in this process the connection breaks.
        """
        data, sock = self.unread_bytes(), self.sock
        self.is_open = False
        self.scheduler.cancel_wait(sock.fileno())
        self.budget.release(self.kind)
        return sock, data

    def unread_bytes(self) -> bytes:
        """Returns the bytes that were read from the socket and not consumed yet."""
        return self.buffer.peek(len(self.buffer))

    def restore_unread(self, data: bytes) -> None:
        """Fills the buffer with what another process had read and not consumed.

        A head that the other process had already taken from its buffer, together with all bytes
        after it, may be more than a buffer holds. Such a connection is closed, so that the takeover
        continues.
        """
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
        """Connects the socket; raises LocalError, ConnectionBroken or TimedOut."""
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
        """Writes all of `data`. If it raises, the last byte has not been sent.

        Raises LocalError, ConnectionBroken or TimedOut.
        """
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
        """Reads some more bytes into the buffer.

        Raises ConnectionBroken, also at the end of the stream and on a full buffer, or TimedOut.
        """
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
        """Returns the next unread byte, None if there is none, or b"" at the end or if broken."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) if self.is_open else b""
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_quiet(self) -> bool:
        """Returns whether an idle connection has neither ended nor received unrequested bytes."""
        return not len(self.buffer) and self._peek() is None

    def has_unread(self) -> bool:
        """Returns whether bytes are waiting in the socket."""
        return bool(self._peek())

    def has_ended(self) -> bool:
        """Returns whether the stream has ended or is broken, with nothing left to read."""
        return self._peek() == b""

    def peer_has_closed(self) -> bool:
        """Returns whether the peer has ended the connection, also where its bytes lie unread."""
        unread = self._peek()
        if unread is None:
            return False
        return not unread or self.scheduler.machine.has_hung_up(self.sock)


def drain(stream, deadline: int, max_bytes: int) -> None:
    """Reads and discards what arrives until `deadline`, or until `max_bytes` bytes have.

    Raises ConnectionBroken, also at the end of the stream, or TimedOut.
    """
    drained_bytes = 0
    while drained_bytes < max_bytes and stream.scheduler.clock() < deadline:
        drained_bytes += len(stream.buffer.take(len(stream.buffer)))
        stream.read(deadline)
        stream.scheduler.yield_now()


def end_sending_and_drain(stream, timeout: int, max_bytes: int) -> None:
    """Shuts down the sending side, then reads and discards what still arrives.

    Stops after `timeout` nanoseconds or `max_bytes` bytes; raises ConnectionBroken or TimedOut.
    A connection that is closed while bytes lie unread is reset, and the peer may never see the
    answer.
    """
    stream.sock.shutdown(socket.SHUT_WR)
    drain(stream, stream.scheduler.clock() + timeout, max_bytes)


BACKLOG = 1024
# Errors of socket(2), bind(2) and listen(2) whose cause ends without intervention. A process that was
# killed a moment ago may still have the address.
TRANSIENT_ERRNOS = (
    errno.EADDRINUSE,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EAGAIN,
    errno.EINTR,
)


def open_listener(machine, address) -> socket.socket:
    """Returns a non-blocking listener at this address; raises OSError."""
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
    """Opens a socket for a connection to another party and counts it in the budget.

    `factory` makes the stream of it. Raises NoDescriptor if the budget is exhausted, LocalError if
    the machine gives no socket.
    """
    if not budget.acquire(kind, reserve):
        raise NoDescriptor("no socket to spare")
    try:
        sock = scheduler.machine.tcp_socket(address)
    except OSError as error:
        budget.release(kind)
        raise LocalError(str(error)) from None
    return factory(scheduler, sock, kind, budget)


def connect_stream(scheduler, address, kind, budget, factory, deadline, reserve=0) -> Stream:
    """Opens and connects a stream; closes it on failure. Raises as open_stream and connect do."""
    stream = open_stream(scheduler, address, kind, budget, factory, reserve)
    try:
        stream.connect(address, deadline)
    except (ConnectionBroken, TimedOut):
        stream.close()
        raise
    return stream


class PersistentConnection:
    """A connection that is kept between requests and reopened when it is no longer usable.

    `get_address()` gives the peer's address, which may change. `close` may be called at any time,
    also while the connection is being established; its user then gets ConnectionBroken.
    """

    def __init__(self, scheduler, get_address, kind, budget, factory):
        self.scheduler, self.get_address, self.kind, self.budget = (
            scheduler,
            get_address,
            kind,
            budget,
        )
        self.factory, self.stream = factory, None

    def get_stream(self, deadline) -> Stream:
        """Returns the connected stream, if needed a new one; raises as connect_stream does."""
        if self.stream is None or not self.stream.is_quiet():
            self.close()
            address = self.get_address()
            stream = self.stream = open_stream(
                self.scheduler, address, self.kind, self.budget, self.factory
            )
            stream.connect(address, deadline)
        return self.stream

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
