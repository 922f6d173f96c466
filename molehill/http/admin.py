"""The admin server: a separate listener for operators, with one request on each connection.

Answers come from memory, so a request costs about as much as its bytes. The resources of its users
are bounded: file descriptors (reserved, so that clients and operators can't starve each other),
bytes of a head, and time.
"""

import errno

from molehill.config import MAX_ADMIN_CONNECTIONS, MS, SECOND
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.runtime.scheduler import READ
from molehill.runtime.stream import (
    TRANSIENT_ERRNOS,
    ConnectionBroken,
    DescriptorBudget,
    TimedOut,
    end_sending_and_drain,
    open_listener,
)

# for a whole request: twice what an answer may take, so that slow but genuine users are served
REQUEST_TIMEOUT = 2 * SECOND
# Bytes after a request are read and discarded, so that its sender sees the answer.
LINGER_TIMEOUT, MAX_LINGER_BYTES = 200 * MS, 16 * 1024
RETRY_DELAY = 20 * MS  # while no connection can be accepted


class AdminServer:
    """Serves /ready and /metrics to operators."""

    def __init__(self, scheduler, address, is_ready, figures):
        """Listens on `address`.

        `is_ready()`: whether this process can serve clients; `figures()`: the text of the metrics.
        """
        self.scheduler, self.clock = scheduler, scheduler.clock
        self.pages = {
            "/ready": lambda: (200, b"ready\n") if is_ready() else (503, b"not ready\n"),
            "/metrics": lambda: (200, figures().encode()),
        }
        # `reading_streams`: those without a complete head, the oldest first
        self.connection_budget, self.reading_streams = DescriptorBudget(MAX_ADMIN_CONNECTIONS), {}
        self.address, self.listener, self.is_closed = address, None, False
        self.listen()
        scheduler.spawn_supervised(self.serve_listener)

    def listen(self) -> None:
        """Opens the listener unless a transient error prevents it; other OSErrors are raised."""
        try:
            self.listener = open_listener(self.scheduler.machine, self.address)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRNOS:
                raise

    def serve_listener(self) -> None:
        """Opens the listener if that has failed, then accepts connections."""
        while self.listener is None and not self.is_closed:
            self.scheduler.sleep_until(self.clock() + RETRY_DELAY)
            self.listen()
        self.accept_connections()

    def accept_connections(self) -> None:
        """Accepts connections until the listener is closed."""
        while self.listener is not None:
            # Connections without a complete request could use up all file descriptors that are
            # reserved for operators. The oldest of them is closed.
            if not self.connection_budget.acquire("admin"):
                if self.reading_streams:
                    oldest = next(iter(self.reading_streams))
                    del self.reading_streams[oldest]
                    oldest.close()
                else:
                    self.scheduler.sleep_until(self.clock() + RETRY_DELAY)
                continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.connection_budget.release("admin")
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self.scheduler.wait(self.listener.fileno(), READ)
                else:
                    self.scheduler.sleep_until(self.clock() + RETRY_DELAY)
                continue
            stream = HttpStream(
                self.scheduler, sock, "admin", self.connection_budget, reads_responses=False
            )
            self.reading_streams[stream] = True
            self.scheduler.spawn(self.serve_connection, stream)
            # Its bytes that have arrived are read before another connection can displace it.
            self.scheduler.yield_now()

    def serve_connection(self, stream) -> None:
        """Answers one request, then closes the connection."""
        until = self.clock() + REQUEST_TIMEOUT
        try:
            try:
                status, body = self.respond(stream.read_head(until))
            except http.MalformedMessage as error:
                status, body = 400, str(error).encode()
            self.reading_streams.pop(stream, None)
            stream.send(
                http.build_response(
                    status, (("Allow", "GET"),) if status == 405 else (), body, close=True
                ),
                until,
            )
            end_sending_and_drain(stream, LINGER_TIMEOUT, MAX_LINGER_BYTES)
        except (ConnectionBroken, TimedOut, OSError):
            pass
        finally:
            self.reading_streams.pop(stream, None)
            stream.close()

    def respond(self, head):
        """Returns status and body of the answer to a request."""
        method, target, _ = head.start_line
        page = self.pages.get(target.partition("?")[0])
        if page is None:
            return 404, b"only /ready and /metrics are here\n"
        return page() if method == "GET" else (405, b"only GET is served here\n")

    def close(self) -> None:
        """Closes the listener; connections in progress are still served."""
        listener, self.listener, self.is_closed = self.listener, None, True
        if listener is not None:
            self.scheduler.cancel_wait(listener.fileno())
            listener.close()
