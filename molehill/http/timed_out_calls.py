"""Calls that were given up with no byte of an answer: this side has ended its sending, and waits for the host's end.

The host's system may hold such a call unread. That the host ended the connection too, or answered after all, proves that it has
read all that was sent; what it answers counts for nothing. Each connection is kept for a bounded span, and as many as may have a call
at once at the most.
"""

import socket

from molehill.core import events as ev
from molehill.http.stream import HttpStream
from molehill.runtime.stream import ConnectionBroken, TimedOut
from molehill.runtime.trace import NO_TRACE, Step


class TimedOutCalls:
    """The connections of given-up calls, by the call's number, the oldest first."""

    def __init__(self, scheduler, post, max_streams: int):
        """`post` takes an `ev.HostFinishedReading` for each call that was kept; `max_streams`: connections at once."""
        self.scheduler, self.post, self.max_streams = scheduler, post, max_streams
        self.streams: dict[int, HttpStream] = {}
        self.trace = NO_TRACE

    def await_host_close(self, number: int, ids: list[str], stream: HttpStream, until: int) -> None:
        """Ends the sending of that call, and waits until then, in nanoseconds of the clock, for the host's end."""
        while len(self.streams) >= self.max_streams:
            self.close_oldest()
        try:
            stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it has ended already, which the first look at it tells
        self.streams[number] = stream
        self.scheduler.spawn(self._wait_for_host, number, ids, stream, until)

    def _wait_for_host(self, number: int, ids: list[str], stream: HttpStream, until: int) -> None:
        host_ended = True
        try:
            stream.read(until)
        except TimedOut:
            host_ended = False
        except ConnectionBroken:
            host_ended = stream.is_open  # else closed here, to make room
        finally:
            stream.close()
            self.streams.pop(number, None)
        if host_ended:
            for callback_id in ids:
                self.trace.record(Step.HOST_ENDED_CONNECTION, callback_id, call=number)
        self.post(ev.HostFinishedReading(number, host_ended))

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
