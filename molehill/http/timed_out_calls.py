"""Calls that timed out with no byte of an answer, kept until the host closes their connections.

The relay has shut down its sending side. The host's operating system may still hold it unread. If
the host closes the connection too, or answers after all, it has read all that was sent; the answer
itself doesn't count. On a connection that has answered before, what comes may be a late copy, so
that only the close counts. Each connection is kept for a bounded time, and no more of them than
there may be calls at once.
"""

import socket

from molehill.core import events as ev
from molehill.http.host_connection import HostConnection
from molehill.runtime.stream import ConnectionBroken, TimedOut, drain
from molehill.runtime.trace import NO_TRACE, Step

MAX_DRAINED_BYTES = 256 * 1024  # of late copies and answers, before a host's close is given up


class TimedOutCalls:
    """The connections of timed-out calls, by the call's number, the oldest first."""

    def __init__(self, scheduler, post, max_streams: int):
        """`post` takes an `ev.HostFinishedReading` for each call.

        `max_streams` limits the connections that are kept at once.
        """
        self.scheduler, self.post, self.max_streams = scheduler, post, max_streams
        self.streams: dict[int, HostConnection] = {}
        self.trace = NO_TRACE

    def await_host_close(
        self, number: int, ids: list[str], stream: HostConnection, until: int
    ) -> None:
        """Ends the sending side of a call and waits for the host to close or answer.

        `until`: when the wait ends, in nanoseconds of the clock.
        """
        while len(self.streams) >= self.max_streams:
            self.close_oldest()
        try:
            stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # it has ended already, which the first read finds
        self.streams[number] = stream
        self.scheduler.spawn(self._wait_for_host, number, ids, stream, until)

    def _wait_for_host(
        self, number: int, ids: list[str], stream: HostConnection, until: int
    ) -> None:
        host_ended = True
        try:
            stream.read(until)
            if stream.has_answered:
                drain(stream, until, MAX_DRAINED_BYTES)
                host_ended = False
        except TimedOut:
            host_ended = False
        except ConnectionBroken:
            host_ended = stream.is_open  # otherwise this relay closed it to make room
        finally:
            stream.close()
            self.streams.pop(number, None)
        if host_ended:
            for callback_id in ids:
                self.trace.record(Step.HOST_ENDED_CONNECTION, callback_id, call=number)
        self.post(ev.HostFinishedReading(number, host_ended))

    def close_oldest(self) -> bool:
        """Closes the oldest connection to make room, and returns whether there was one."""
        for number, stream in self.streams.items():
            del self.streams[number]
            stream.close()
            return True
        return False

    def close_all(self) -> None:
        """Closes all connections: no host is waited for any more."""
        while self.close_oldest():
            pass
