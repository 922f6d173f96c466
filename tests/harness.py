"""One whole relay on loopback sockets and a manual clock, and its peers' ends of connections."""

import os
import socket
from contextlib import suppress
from dataclasses import replace
from itertools import count

from molehill import config as configuration
from molehill.core import events as ev
from molehill.relay import Process
from molehill.runtime.kernel import Kernel
from molehill.runtime.log import Sink
from tests.core_harness import MS, ManualClock, drain, net_config

REQUEST = (
    b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: notice\r\nX-Consignee: dest=3\r\nCookie: subject=k\r\n"
    b"Content-Length: 2\r\n\r\nab"
)


UNCHANGED_BODY = b'{"index":1,"snapshot":false,"endpoints":[]}'
UNCHANGED_LIST = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(UNCHANGED_BODY)
UNCHANGED_LIST += UNCHANGED_BODY
answer_numbers = count()


def delivered():
    """Returns a host's answer with 200 that is like no other."""
    body = b"%d" % next(answer_numbers)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class RelayHarness:
    """A relay and its peers: a host, the platform (discovery and notices) and clients."""

    def __init__(self, folder, machine=Kernel, **file_values):
        """`machine(clock)` makes the machine of each process; `file_values`: keys of its file."""
        self.file_values = file_values
        self.folder, self.clock, self.open_sockets, self.machine = (
            folder,
            ManualClock(),
            [],
            machine,
        )
        self.host, self.platform = self.open_listener(), self.open_listener()
        self.start_process()

    def open_listener(self):
        """Returns a non-blocking listener on loopback, closed with the harness."""
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    def config(self, **file_values):
        """Returns a configuration that knows the one host h1 and has these keys of the file."""
        at = "127.0.0.1:%d" % self.host.getsockname()[1]
        known = {
            "index": 1,
            "endpoints": [
                {
                    "name": "h1",
                    "address": at,
                    "zone": "a",
                    "type": "m",
                    "group": 3,
                    "status": "active",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            ],
        }
        return replace(
            net_config(known=known, state=str(self.folder), **file_values),
            listen=("127.0.0.1", 0),
            discovery=self.platform.getsockname(),
        )

    def start_process(self):
        """Starts a process on the harness's folder, which becomes `relay`."""
        self.relay = Process(
            self.config(**self.file_values),
            self.machine(self.clock),
            Sink(),
            lambda old: configuration.load(os.environ, previous=old),
        )
        self.relay.hosts.answer_variety.any_is_varied = True  # other hosts have shown it
        self.relay.clients.listen()
        self.address = self.relay.clients.listener.getsockname()
        self.relay.discovery.restore_list()
        self.relay.engine.post_event(ev.Startup())
        self.relay.clients.is_ready = True
        self.run_rounds()

    def run_rounds(self, rounds=40):
        """Runs rounds of the relay's loop without moving the clock."""
        for _ in range(rounds):
            self.relay.scheduler.run_once(block=False)

    def advance(self, span, step=5 * MS):
        """Moves the clock by `span` nanoseconds in steps, and runs rounds after each step."""
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            self.run_rounds(4)

    def accept(self, listener):
        """Returns the next connection to a listener; fails if none comes within a second."""
        for _ in range(200):
            self.advance(5 * MS)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                continue
            sock.setblocking(False)
            self.open_sockets.append(sock)
            return sock
        raise AssertionError("no connection came")

    def read_at_platform(self, connections) -> bytes:
        """Returns what the platform has received on these connections since the last call.

        A new connection, if there is one, is accepted and appended to `connections`.
        """
        try:
            sock, _ = self.platform.accept()
        except BlockingIOError:
            pass
        else:
            sock.setblocking(False)
            self.open_sockets.append(sock)
            connections.append(sock)
        return b"".join(drain(sock) or b"" for sock in connections)

    def confirm_list(self, process=None):
        """Answers the present request of `relay`, or this process, for the list: no change."""
        discovery = (process or self.relay).discovery
        for _ in range(200):
            platform = self.accept(self.platform)
            if b"GET /registry/instances" in (drain(platform) or b""):
                with suppress(ConnectionError):  # the one of a process that was killed
                    platform.send(UNCHANGED_LIST)
                self.run_rounds()
            if discovery.has_answered:
                return
        raise AssertionError("no process asked for the list")

    def connect_client(self):
        """Returns the client's end of a new connection to the relay."""
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    def read_until(self, sock, wanted):
        """Reads until `wanted` is in the data, within a second; returns the data."""
        data = b""
        for _ in range(200):
            self.advance(5 * MS)
            data += drain(sock) or b""
            if wanted in data:
                return data
        raise AssertionError(f"{wanted!r} did not come: {data!r}")

    def close(self):
        """Closes the sockets of all peers."""
        for sock in self.open_sockets:
            sock.close()


def kill_and_restart(harness):
    """Simulates SIGKILL and a new start: closes all that the old process had open, and stops it."""
    old = harness.relay
    old.store.close()
    streams = [
        line.stream
        for line in (old.discovery.connection, old.notices.connection)
        if line.stream is not None
    ]
    streams += [conn.stream for conn in old.clients.connections] + [
        s for idle in old.hosts.idle_connections.values() for s in idle
    ]
    streams += old.hosts.timed_out_calls.streams.values()
    for sock in [stream.sock for stream in (*streams, *old.hosts.streams.values())] + [
        old.clients.listener
    ]:
        sock.close() if sock is not None else None
    harness.start_process()
