"""The operators' door: one more listener, for them alone; one call to a connection, then it is closed.

Answers come from memory, so a call costs about as much as its bytes. What callers may take up is bounded: descriptors
(set aside for them, so that clients and operators can't starve each other), bytes of a head, and time.
"""

import errno

from molehill.config import ADMIN_SEATS, MS, SECOND
from molehill.http import parser as http
from molehill.http.stream import HttpStream
from molehill.runtime.scheduler import READ
from molehill.runtime.stream import PASSING, Broken, Budget, Late, finish, listening

# for a whole call: twice what an answer may take, so a slow but honest one is served
WITHIN = 2 * SECOND
# what comes behind a call is read away, so that the caller sees the answer
LINGER, LINGER_MOST = 200 * MS, 16 * 1024
PAUSE = 20 * MS  # before the next try, where no connection can be taken


class Admin:
    def __init__(self, scheduler, address, ready, figures):
        """`ready()`: whether this process can serve; `figures()`: their text."""
        self.scheduler, self.clock = scheduler, scheduler.clock
        self.pages = {
            "/ready": lambda: (200, b"ready\n") if ready() else (503, b"not ready\n"),
            "/metrics": lambda: (200, figures().encode()),
        }
        # reading: streams without a whole head, the oldest first
        self.seats, self.reading = Budget(ADMIN_SEATS), {}
        self.address, self.listener, self.closed = address, None, False
        self.listen()
        scheduler.spawn_kept(self.serve_listener)

    def listen(self) -> None:
        """Raises OSError where waiting does not help."""
        try:
            self.listener = listening(self.scheduler.machine, self.address)
        except OSError as error:
            if error.errno not in PASSING:
                raise

    def serve_listener(self) -> None:
        while self.listener is None and not self.closed:
            self.scheduler.sleep(self.clock() + PAUSE)
            self.listen()
        self.accept()

    def accept(self) -> None:
        while self.listener is not None:
            # Danger: callers that hold a connection with no whole call take every seat. The one that has had most time goes.
            if not self.seats.take("admin"):
                if self.reading:
                    oldest = next(iter(self.reading))
                    del self.reading[oldest]
                    oldest.close()
                else:
                    self.scheduler.sleep(self.clock() + PAUSE)
                continue
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                self.seats.give("admin")
                if error.errno in (errno.EAGAIN, errno.EWOULDBLOCK):
                    self.scheduler.wait(self.listener.fileno(), READ)
                else:
                    self.scheduler.sleep(self.clock() + PAUSE)
                continue
            stream = HttpStream(self.scheduler, sock, "admin", self.seats, answers=False)
            self.reading[stream] = True
            self.scheduler.spawn(self.serve, stream)
            # what has come on it is read before another can take its seat
            self.scheduler.pause()

    def serve(self, stream) -> None:
        until = self.clock() + WITHIN
        try:
            try:
                status, body = self.page(stream.head(until))
            except http.Malformed as error:
                status, body = 400, str(error).encode()
            self.reading.pop(stream, None)
            stream.send(
                http.answer(status, (("Allow", "GET"),) if status == 405 else (), body, close=True),
                until,
            )
            finish(stream, LINGER, LINGER_MOST)
        except (Broken, Late, OSError):
            pass
        finally:
            self.reading.pop(stream, None)
            stream.close()

    def page(self, head):
        method, target, _ = head.first
        page = self.pages.get(target.partition("?")[0])
        if page is None:
            return 404, b"only /ready and /metrics are here\n"
        return page() if method == "GET" else (405, b"only GET is served here\n")

    def close(self) -> None:
        listener, self.listener, self.closed = self.listener, None, True
        if listener is not None:
            self.scheduler.cut(listener.fileno())
            listener.close()
