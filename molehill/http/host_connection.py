"""A connection to a host: an HTTP/1.1 connection that carries one call after another."""

from itertools import count

from molehill.http.stream import HttpStream

connection_numbers = count(1)


class HostConnection(HttpStream):
    """A connection to a host.

    `number`: identifies it among the connections of this process; `calls_written`: the calls that
    it has carried, in this process and in those that handed it over.
    """

    def __init__(self, scheduler, sock, kind, budget):
        super().__init__(scheduler, sock, kind, budget)
        self.number, self.calls_written = next(connection_numbers), 0
