"""Connections to hosts that stand idle between two calls: kept for the next one, closed once they are old, ended or in the way."""

from typing import Callable, Optional

from molehill.http.stream import HttpStream


class IdleConnections(dict[str, list[HttpStream]]):
    """By host, the one used last at the end of each list.

    `clock()`: nanoseconds; `max_idle_time`: for how long, in nanoseconds, one may stand idle before it is used no more.
    """

    def __init__(self, clock: Callable[[], int], max_idle_time: int):
        super().__init__()
        self.clock, self.max_idle_time = clock, max_idle_time

    def put(self, host: str, stream: HttpStream, since: int) -> None:
        """Keeps a connection that has stood idle since then."""
        stream.idle_since = since
        self.setdefault(host, []).append(stream)

    def take(self, host: str) -> Optional[HttpStream]:
        """The one used last, if one is still good; those that are not are closed."""
        streams = self.get(host, [])
        while streams:
            stream = streams.pop()
            if not self.is_unusable(stream):
                return stream
            stream.close()
        return None

    def is_unusable(self, stream: HttpStream) -> bool:
        """Whether it is too old, or the host has ended it or sent what nobody asked for."""
        return stream.idle_since <= self.clock() - self.max_idle_time or not stream.is_quiet()

    def close_unusable(self) -> None:
        for host, streams in list(self.items()):
            for stream in [stream for stream in streams if self.is_unusable(stream)]:
                streams.remove(stream)
                stream.close()
            if not streams:
                del self[host]

    def close_host(self, host: str) -> None:
        for stream in self.pop(host, ()):
            stream.close()

    def close_oldest(self) -> bool:
        """Closes the one that has stood idle for longest, and tells whether there was one."""
        oldest = [(streams[0].idle_since, host) for host, streams in self.items() if streams]
        if not oldest:
            return False
        _, host = min(oldest)
        self[host].pop(0).close()
        return True

    def hand_over(self) -> list[tuple[dict, bytes, object]]:
        """Rows (message, body, socket) for the next process; none is left here."""
        rows = []
        for host, streams in self.items():
            for stream in [stream for stream in streams if stream.is_quiet()]:
                since = stream.idle_since
                sock, data = stream.detach()
                rows.append(({"k": "idle", "host": host, "since": since}, data, sock))
        self.clear()
        return rows
