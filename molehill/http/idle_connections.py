"""Idle connections to hosts: kept for the next call, closed when old, ended or displaced."""

from enum import Enum
from typing import Callable, Optional

from molehill.http.host_connection import HostConnection


class CloseReason(Enum):
    """Why a connection carries no further call; the counts in the log contain the values."""

    IDLE_TOO_LONG = "idle too long"
    ENDED_BY_HOST = "ended by its host"
    UNREQUESTED_BYTES = "unrequested bytes"


class IdleConnections(dict[str, list[HostConnection]]):
    """The idle connections by host; each list ends with the one that was used last.

    `clock()` returns nanoseconds; a connection that has been idle for `max_idle_time` nanoseconds
    is not used again. `count_closed` is handed the reason of each connection that is unusable.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        max_idle_time: int,
        count_closed: Callable[[CloseReason], None],
    ):
        super().__init__()
        self.clock, self.max_idle_time, self.count_closed = clock, max_idle_time, count_closed

    def put(self, host: str, stream: HostConnection, since: int) -> None:
        """Adds a connection that has been idle since the time `since`, unless it is unusable."""
        stream.idle_since = since
        if not self._close_if_unusable(stream):
            self.setdefault(host, []).append(stream)

    def take(self, host: str) -> Optional[HostConnection]:
        """Removes and returns the usable connection that was used last, or None.

        Unusable ones that it finds are closed.
        """
        streams = self.get(host, [])
        while streams:
            stream = streams.pop()
            if not self._close_if_unusable(stream):
                return stream
        return None

    def why_unusable(self, stream: HostConnection) -> Optional[CloseReason]:
        """Returns why a connection can't be used again, or None if it can."""
        if stream.idle_since <= self.clock() - self.max_idle_time:
            return CloseReason.IDLE_TOO_LONG
        if stream.is_quiet():
            return None
        return CloseReason.ENDED_BY_HOST if stream.has_ended() else CloseReason.UNREQUESTED_BYTES

    def _close_if_unusable(self, stream: HostConnection) -> bool:
        reason = self.why_unusable(stream)
        if reason is None:
            return False
        self.count_closed(reason)
        stream.close()
        return True

    def close_unusable(self) -> None:
        """Closes the connections that can't be used again."""
        for host, streams in list(self.items()):
            for stream in list(streams):
                if self._close_if_unusable(stream):
                    streams.remove(stream)
            if not streams:
                del self[host]

    def close_host(self, host: str) -> None:
        """Closes the connections to a host."""
        for stream in self.pop(host, ()):
            stream.close()

    def close_oldest(self) -> bool:
        """Closes the connection that has been idle longest, and returns whether there was one."""
        oldest = [(streams[0].idle_since, host) for host, streams in self.items() if streams]
        if not oldest:
            return False
        _, host = min(oldest)
        self[host].pop(0).close()
        return True

    def hand_over(self) -> list[tuple[dict, bytes, object]]:
        """Removes the connections and returns them as rows (message, body, socket)."""
        rows = []
        for host, streams in self.items():
            for stream in [stream for stream in streams if stream.is_quiet()]:
                row = {"k": "idle", "host": host, "since": stream.idle_since}
                row.update(stream.handover_row())
                sock, data = stream.detach()
                rows.append((row, data, sock))
        self.clear()
        return rows
