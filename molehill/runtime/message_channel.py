"""Messages with descriptors between two processes of one relay, over a Unix socket that keeps each message whole."""

import json
import socket

from molehill.runtime.scheduler import CANCELLED, READ, READY, WRITE
from molehill.runtime.stream import ConnectionBroken, TimedOut

# of a message: a connection's whole buffer and some; less than a socket takes at once
MAX_MESSAGE_BYTES = 160 * 1024


class MessageChannel:
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
        """Sends it whole, a descriptor with it; raises Broken or Late."""
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
        """The next message, its body, and its descriptor or None; raises Broken or Late."""
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
        """Ends the line for both sides, then gives what had come on it before: nothing can come after that."""
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
        self.scheduler.cancel_wait(self.sock.fileno())
        self.sock.close()
