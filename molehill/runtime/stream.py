"""One TCP connection for the tasks of any protocol: connect, read into its buffer, write all; the budget of sockets.

Sockets come from the machine that the scheduler was handed, so the same code runs on the kernel and in the emulator.
"""

import contextlib
import errno
import socket
from typing import Callable

from molehill.runtime.buffer import Buffer
from molehill.runtime.scheduler import CUT, READ, READY, WRITE


class Broken(Exception):
    """The connection is of no more use: closed, reset, or cut by this side."""


class Short(Broken):
    """This process has no descriptor to spare."""


class LocalError(Short):
    """This machine lacks what a connection needs: it tells nothing of the other side."""


# Errors of connect(2) and send(2) that are this machine's own: no local port, no route, no buffer, a rule of its firewall.
OWN_ERRORS = (
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
UNDER_WAY = (errno.EINPROGRESS, errno.EINTR, errno.EALREADY)


class Late(Exception):
    """The time that was given is up."""


def broken_by(error: Exception) -> Broken:
    """What a failed call on a connection means: this machine's own trouble, or the connection's."""
    return (LocalError if getattr(error, "errno", None) in OWN_ERRORS else Broken)(str(error))


class Budget:
    """Counts the descriptors of each kind, within one figure for all and one for kinds that have their own."""

    def __init__(self, most: int, quotas=None):
        self.most, self.quotas = most, quotas or {}
        self.used: dict[str, int] = {}
        # name in ORDER -> closes one idle connection and tells whether it did
        self.idlers: dict[str, Callable[[], bool]] = {}

    def total(self) -> int:
        return sum(self.used.values())

    # Clients' connections that nobody needs go first. Then those to hosts, whose loss costs a handshake; then such of
    # clients as a request may yet come on.
    ORDER = ("left client", "host", "client")

    def take(self, kind: str, spare: int = 0) -> bool:
        """One more of that kind, leaving `spare` free for others; idle connections make room."""
        while self.used.get(kind, 0) >= self.quotas.get(kind, self.most):
            if not self._make_room([name for name in self.ORDER if name.endswith(kind)]):
                return False
        while self.total() + 1 + spare > self.most:
            if not self._make_room(self.ORDER):
                return False
        self.used[kind] = self.used.get(kind, 0) + 1
        return True

    def _make_room(self, names) -> bool:
        return any(self.idlers[name]() for name in names if name in self.idlers)

    def give(self, kind: str) -> None:
        self.used[kind] -= 1


class Stream:
    """A connection with one buffer of `most` bytes; `kind` is what it counts as in the budget."""

    def __init__(self, scheduler, sock, kind: str, budget: Budget, most: int):
        sock.setblocking(False)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # not a TCP socket, as in tests
        self.scheduler, self.sock, self.kind, self.budget = scheduler, sock, kind, budget
        self.buffer, self.open, self.idle_since = Buffer(most), True, 0
        self.empty_at = scheduler.clock()  # nothing lay unread then, as far as is known
        self.came_after = self.empty_at  # what was read last was not there at that time

    def close(self) -> None:
        if self.open:
            self.open = False
            self.scheduler.cut(self.sock.fileno())
            self.budget.give(self.kind)
            with contextlib.suppress(OSError):  # Linux frees the descriptor all the same
                self.sock.close()

    def detach(self):
        """Its socket and what is unread of its message, for another process: to its users here it breaks."""
        data, sock = self.unread_message(), self.sock
        self.open = False
        self.scheduler.cut(sock.fileno())
        self.budget.give(self.kind)
        return sock, data

    def unread_message(self) -> bytes:
        return self.buffer.peek(len(self.buffer))

    def refill(self, data: bytes) -> None:
        """What another process had read and not used. Danger: a head that it had taken off its buffer and all behind it may be
        more than a buffer holds; such a connection is closed, and the process that takes over goes on."""
        while data:
            with self.buffer.space() as space:
                count = min(len(space), len(data))
                if not count:
                    return self.close()
                space[:count] = data[:count]
            self.buffer.filled(count)
            data = data[count:]

    def _wait(self, mask, until) -> None:
        came = self.scheduler.wait(self.sock.fileno(), mask, until)
        if came == CUT or not self.open:
            raise Broken("cut")
        if came != READY:
            raise Late()

    def connect(self, address, until) -> None:
        try:
            code = self.sock.connect_ex(address)
            if code in UNDER_WAY:
                self._wait(WRITE, until)
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except (OSError, OverflowError, UnicodeError) as error:
            raise broken_by(error) from None
        if code and code != errno.EISCONN:
            raise broken_by(OSError(code, errno.errorcode.get(code, str(code))))

    def send(self, data: bytes, until) -> None:
        """Writes all; where it raises, the last byte has not gone."""
        view = memoryview(data)
        while view:
            if not self.open:
                raise Broken("cut")
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self._wait(WRITE, until)
            except OSError as error:
                raise broken_by(error) from None

    def read(self, until) -> None:
        """Some more bytes into the buffer; Broken at the end of the stream."""
        while True:
            if not self.open:
                raise Broken("cut")
            space = self.buffer.space()
            room = len(space)
            if not room:
                raise Broken("more than a message holds")
            try:
                count = self.sock.recv_into(space)
            except BlockingIOError:
                space.release()
                self._wait(READ, until)
                self.empty_at = self.scheduler.task_came_after()
                continue
            except OSError as error:
                raise Broken(str(error)) from None
            finally:
                space.release()
            if not count:
                raise Broken("ended")
            self.came_after = self.empty_at
            if count < room:
                self.empty_at = self.scheduler.clock()
            self.buffer.filled(count)
            return

    def _peek(self):
        """What lies unread: None for nothing, b"" for the end of the stream or a broken one."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) if self.open else b""
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def quiet(self) -> bool:
        """Whether nothing has come on an idle connection: neither its end nor bytes that nobody asked for."""
        return not len(self.buffer) and self._peek() is None

    def unread(self) -> bool:
        """Whether bytes lie there to be read."""
        return bool(self._peek())

    def ended(self) -> bool:
        return self._peek() == b""


def finish(stream, span: int, most: int) -> None:
    """Ends the sending, then reads away what still comes, so long and so much at most.

    Danger: closed over bytes that lie unread, a connection is reset, and the other side may never see the answer.
    """
    stream.sock.shutdown(socket.SHUT_WR)
    until, read = stream.scheduler.clock() + span, 0
    while read < most and stream.scheduler.clock() < until:
        read += len(stream.buffer.take(len(stream.buffer)))
        stream.read(until)
        stream.scheduler.pause()


BACKLOG = 1024
# Errors of socket(2), bind(2) and listen(2) that pass by themselves
PASSING = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)


def listening(machine, address) -> socket.socket:
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


def opened(scheduler, address, kind, budget, make, spare=0) -> Stream:
    """A socket for a connection to another party, counted in the budget; `make` is the kind of Stream it becomes."""
    if not budget.take(kind, spare):
        raise Short("no socket to spare")
    try:
        sock = scheduler.machine.tcp_socket(address)
    except OSError as error:
        budget.give(kind)
        raise LocalError(str(error)) from None
    return make(scheduler, sock, kind, budget)


def connected(scheduler, address, kind, budget, make, until, spare=0) -> Stream:
    stream = opened(scheduler, address, kind, budget, make, spare)
    try:
        stream.connect(address, until)
    except (Broken, Late):
        stream.close()
        raise
    return stream


class Single:
    """The one connection to the party at an address that may change, kept between requests and made anew once it is
    of no more use. Closed at any time, also while it comes up, it breaks under whoever uses it."""

    def __init__(self, scheduler, address, kind, budget, make):
        self.scheduler, self.address, self.kind, self.budget = scheduler, address, kind, budget
        self.make, self.stream = make, None

    def get(self, until) -> Stream:
        if self.stream is None or not self.stream.quiet():
            self.close()
            address = self.address()
            stream = self.stream = opened(
                self.scheduler, address, self.kind, self.budget, self.make
            )
            stream.connect(address, until)
        return self.stream

    def close(self) -> None:
        if self.stream is not None:
            self.stream.close()
            self.stream = None
