"""Idle connections to hosts: kept for the next call, closed when old, ended or displaced."""

from typing import Callable, Optional

from molehill.http.stream import HttpStream


class IdleConnections(dict[str, list[HttpStream]]):
    """The idle connections by host; each list ends with the one that was used last.

    `clock()` returns nanoseconds; a connection that has been idle for `max_idle_time` nanoseconds
    is not used again.
    """

    def __init__(self, clock: Callable[[], int], max_idle_time: int):
        super().__init__()
        self.clock, self.max_idle_time = clock, max_idle_time

    def put(self, host: str, stream: HttpStream, since: int) -> None:
        """Adds a connection that has been idle since the time `since`."""
        stream.idle_since = since
        self.setdefault(host, []).append(stream)

    def take(self, host: str) -> Optional[HttpStream]:
        """Removes and returns the usable connection that was used last, or None.

        Unusable ones that it finds are closed.
        """
        streams = self.get(host, [])
        while streams:
            stream = streams.pop()
            if not self.is_unusable(stream):
                return stream
            stream.close()
        return None

    def is_unusable(self, stream: HttpStream) -> bool:
        """Whether it has been idle too long, or the host has ended it or sent unexpected bytes."""
        return stream.idle_since <= self.clock() - self.max_idle_time or not stream.is_quiet()

    def close_unusable(self) -> None:
        """Closes the connections that can't be used again."""
        for host, streams in list(self.items()):
            for stream in [stream for stream in streams if self.is_unusable(stream)]:
                streams.remove(stream)
                stream.close()
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
                since = stream.idle_since
                sock, data = stream.detach()
                rows.append(({"k": "idle", "host": host, "since": since}, data, sock))
        self.clear()
        return rows
