"""One whole relay on loopback sockets and a clock moved by hand, with the other parties' ends of its connections."""

import os
import socket
from dataclasses import replace

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


class RelayHarness:
    """Other parties of one relay: a host, the platform (discovery and notices) and a client."""

    def __init__(self, folder, machine=Kernel, **file_values):
        """`machine(clock)`: what each process of the relay is handed; `file_values`: keys of its file."""
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
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    def config(self, **file_values):
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
        self.relay = Process(
            self.config(**self.file_values),
            self.machine(self.clock),
            Sink(),
            lambda old: configuration.load(os.environ, previous=old),
        )
        self.relay.clients.listen()
        self.address = self.relay.clients.listener.getsockname()
        self.relay.discovery.restore_list()
        self.relay.engine.post_event(ev.Startup())
        self.relay.clients.is_ready = True
        self.run_rounds()

    def run_rounds(self, rounds=40):
        for _ in range(rounds):
            self.relay.scheduler.run_once(block=False)

    def advance(self, span, step=5 * MS):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            self.run_rounds(4)

    def accept(self, listener):
        for _ in range(200):
            self.advance(5 * MS)
            try:
                sock, _ = listener.accept()
            except BlockingIOError:
                continue
            sock.setblocking(False)
            self.open_sockets.append(sock)
            return sock
        raise AssertionError("nobody came")

    def read_at_platform(self, connections) -> bytes:
        """What has come to the platform since the last look, on these connections and one more that is taken into them."""
        try:
            sock, _ = self.platform.accept()
        except BlockingIOError:
            pass
        else:
            sock.setblocking(False)
            self.open_sockets.append(sock)
            connections.append(sock)
        return b"".join(drain(sock) or b"" for sock in connections)

    def connect_client(self):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.open_sockets.append(sock)
        return sock

    def read_until(self, sock, wanted):
        data = b""
        for _ in range(200):
            self.advance(5 * MS)
            data += drain(sock) or b""
            if wanted in data:
                return data
        raise AssertionError(f"{wanted!r} did not come: {data!r}")

    def close(self):
        for sock in self.open_sockets:
            sock.close()


def kill_and_restart(harness):
    """SIGKILL and a new start: all that the old process had open is closed, and nothing of it runs on."""
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
