"""Messages with file descriptors between two processes of one relay.

The messages are sent over a Unix socket of type SOCK_SEQPACKET, which keeps message boundaries.
"""

import json
import socket

from molehill.runtime.scheduler import CANCELLED, READ, READY, WRITE
from molehill.runtime.stream import ConnectionBroken, TimedOut

# Room for a connection's whole buffer and a header; less than a socket accepts at once.
MAX_MESSAGE_BYTES = 160 * 1024


class MessageChannel:
    """Sends and receives messages, each a JSON object, a body and at most one descriptor."""

    def __init__(self, scheduler, sock):
        sock.setblocking(False)
        self.scheduler, self.sock = scheduler, sock

    def _wait(self, mask, deadline) -> None:
        outcome = self.scheduler.wait(self.sock.fileno(), mask, deadline)
        if outcome == CANCELLED:
            raise ConnectionBroken("cut")
        if outcome != READY:
            raise TimedOut()

    def send(self, message: dict, deadline: int, body: bytes = b"", fd=None) -> None:
        """Sends one message, with a descriptor if given; raises ConnectionBroken or TimedOut.

        `deadline`: nanoseconds on the scheduler's clock.
        """
        data = json.dumps(message, separators=(",", ":")).encode("ascii") + b"\n" + body
        while True:
            try:
                if fd is None:
                    self.sock.send(data)
                else:
                    socket.send_fds(self.sock, [data], [fd])
                return
            except BlockingIOError:
                self._wait(WRITE, deadline)
            except OSError as error:
                raise ConnectionBroken(str(error)) from None

    def receive(self, deadline: int):
        """Returns the next message, its body, and its descriptor or None.

        Raises ConnectionBroken, also for malformed messages, or TimedOut at the deadline.
        """
        while True:
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 4)
                break
            except BlockingIOError:
                self._wait(READ, deadline)
            except OSError as error:
                raise ConnectionBroken(str(error)) from None
        header, _, body = data.partition(b"\n")
        try:
            message = json.loads(header)
            if (
                not isinstance(message, dict)
                or len(fds) > 1
                or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)
            ):
                raise ValueError
        except ValueError:
            for fd in fds:
                self.scheduler.machine.close(fd)
            raise ConnectionBroken("no message" if data else "ended") from None
        return message, body, fds[0] if fds else None

    def drain_after_shutdown(self) -> list[dict]:
        """Shuts the connection down in both directions, then returns the messages already received.

        Nothing can arrive after the shutdown, so the list is final.
        """
        messages = []
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
            while True:
                message, _, fd = self.receive(0)
                messages.append(message)
                if fd is not None:
                    self.scheduler.machine.close(fd)
        except (OSError, ConnectionBroken, TimedOut):
            return messages

    def close(self) -> None:
        """Closes the socket; a task that waits on it gets ConnectionBroken."""
        self.scheduler.cancel_wait(self.sock.fileno())
        self.sock.close()
