"""Messages with descriptors between two processes of one relay, over a Unix socket that keeps each message whole."""

import json
import socket

from molehill.runtime.scheduler import CUT, READ, READY, WRITE
from molehill.runtime.stream import Broken, Late

# of a message: a connection's whole buffer and some; less than a socket takes at once
MOST = 160 * 1024


class Line:
    def __init__(self, scheduler, sock):
        sock.setblocking(False)
        self.scheduler, self.sock = scheduler, sock

    def _wait(self, mask, until) -> None:
        came = self.scheduler.wait(self.sock.fileno(), mask, until)
        if came == CUT:
            raise Broken("cut")
        if came != READY:
            raise Late()

    def send(self, message: dict, until: int, body: bytes = b"", fd=None) -> None:
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
                self._wait(WRITE, until)
            except OSError as error:
                raise Broken(str(error)) from None

    def receive(self, until: int):
        """The next message, its body, and its descriptor or None; raises Broken or Late."""
        while True:
            try:
                data, fds, flags, _ = socket.recv_fds(self.sock, MOST, 4)
                break
            except BlockingIOError:
                self._wait(READ, until)
            except OSError as error:
                raise Broken(str(error)) from None
        line, _, body = data.partition(b"\n")
        try:
            message = json.loads(line)
            if (
                not isinstance(message, dict)
                or len(fds) > 1
                or flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)
            ):
                raise ValueError
        except ValueError:
            for fd in fds:
                self.scheduler.machine.close(fd)
            raise Broken("no message" if data else "ended") from None
        return message, body, fds[0] if fds else None

    def last_words(self) -> list[dict]:
        """Ends the line for both sides, then gives what had come on it before: nothing can come after that."""
        found = []
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
            while True:
                message, _, fd = self.receive(0)
                found.append(message)
                if fd is not None:
                    self.scheduler.machine.close(fd)
        except (OSError, Broken, Late):
            return found

    def close(self) -> None:
        self.scheduler.cut(self.sock.fileno())
        self.sock.close()
