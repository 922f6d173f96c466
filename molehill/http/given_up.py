"""Calls that were given up with no byte of an answer: this side has ended its sending, and waits for the host's end.

The host's system may hold such a call unread. That the host ended the connection too, or answered after all, proves that it has
read all that was sent; what it answers counts for nothing. Each connection is kept for a bounded span, and as many as may have a call
at once at the most.
"""

import socket

from molehill.core import events as ev
from molehill.http.stream import HttpStream
from molehill.runtime.stream import Broken, Late
from molehill.runtime.trace import NO_TRACE, Step


class GivenUpCalls:
    """The connections of given-up calls, by the call's number, the oldest first."""

    def __init__(self, scheduler, post, most: int):
        """`post` takes an `ev.HostFinishedReading` for each call that was kept; `most`: connections at once."""
        self.scheduler, self.post, self.most = scheduler, post, most
        self.streams: dict[int, HttpStream] = {}
        self.trace = NO_TRACE

    def keep(self, number: int, ids: list[str], stream: HttpStream, until: int) -> None:
        """Ends the sending of that call, and waits until then, in nanoseconds of the clock, for the host's end."""
        while len(self.streams) >= self.most:
            self.close_oldest()
        try:
            stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it has ended already, which the first look at it tells
        self.streams[number] = stream
        self.scheduler.spawn(self._wait, number, ids, stream, until)

    def _wait(self, number: int, ids: list[str], stream: HttpStream, until: int) -> None:
        seen = True
        try:
            stream.read(until)
        except Late:
            seen = False
        except Broken:
            seen = stream.open  # else closed here, to make room
        finally:
            stream.close()
            self.streams.pop(number, None)
        if seen:
            for ident in ids:
                self.trace.record(Step.HOST_ENDED_CONNECTION, ident, call=number)
        self.post(ev.HostFinishedReading(number, seen))

    def close_oldest(self) -> bool:
        """Makes room for another connection; whether there was one to close."""
        for number, stream in self.streams.items():
            del self.streams[number]
            stream.close()
            return True
        return False

    def close_all(self) -> None:
        """None is waited for any more."""
        while self.close_oldest():
            pass
