"""The emulator's network on real sockets, as far as its parties use it.

That is `machine`, `connect`, `serve` and `address_seen_by`.
A party's listener has a socket for each relay, at an address that only this relay receives. So a
party knows which relay connects, and a proxy can be placed before any one of them.
"""

import errno
import socket
import struct
from types import SimpleNamespace

from molehill.fleet.world import HANGUP, IN, OUT

MAX_READ_BYTES = 64 * 1024
BACKLOG = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger on, 0 s: close sends a reset
PROXY_PORT_OFFSET = 1000  # a proxy's port is that of its target plus this
FRESH, DIALLING, OPEN, FAILED = "fresh", "dialling", "open", "failed"


def address_for(base, n: int):
    """The address at which relay n finds a party at `base`."""
    return base[0].rpartition(".")[0] + f".{n + 1}", base[1]


def connection_name(near, far) -> str:
    """Names a connection by both its ends.

    One end is not enough: the kernel gives one local port to several connections, as long as they
    go to different addresses.
    """
    return "%s:%d>%s:%d" % (*near, *far)


class Machine:
    """The machine of a stand-in.

    Connections that the kernel refused while it was down are not known.
    """

    def __init__(self, world, name: str):
        self.world, self.name, self.cut, self.boots = world, name, False, 0
        self.listeners, self.socks, self.failed_connectors = set(), set(), set()

    def vanish(self) -> None:
        """Reads and sends nothing from now on; only hang-ups of relays are still recorded."""
        self.cut = True
        for sock in [*self.socks, *self.listeners]:
            sock.update_watch()

    def back(self) -> None:
        """Comes back as after a reboot: resets its connections and those that arrived meanwhile."""
        self.cut, self.boots = False, self.boots + 1
        self.reset_connections()
        for listener in list(self.listeners):
            self.failed_connectors.update(listener.reset_waiting())
            listener.update_watch()

    def die(self) -> None:
        """Closes all listeners and resets all connections."""
        for listener in list(self.listeners):
            listener.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        for sock in list(self.socks):
            self.world.tell(self.name, "call connection over", conn=sock.number)
            sock.reset()


class Network:
    """The sockets of one process of the rig, by machine."""

    def __init__(self, world, relays, proxied=()):
        """`relays`: names in order of their numbers; `proxied`: (relay, party) with a proxy."""
        self.world, self.relays, self.proxied = world, list(relays), set(proxied)
        self.machines, self.numbers = {}, 0
        # name of the peer -> bytes [received from it, sent to it]
        self.traffic = {}

    def machine(self, name: str) -> Machine:
        return self.machines.setdefault(name, Machine(self.world, name))

    def number(self) -> str:
        self.numbers += 1
        return f"{self.world.name}-{self.numbers}"

    def address_seen_by(self, relay: str, address, party: str):
        """The address at which that relay finds a party, or the proxy before it."""
        host, port = address_for(address, self.relays.index(relay))
        return host, port + (PROXY_PORT_OFFSET if (relay, party) in self.proxied else 0)

    def connect(self, machine, address, came=None, ended=None, broke=None, up=None) -> "Sock":
        n = int(address[0].rpartition(".")[2]) - 1
        # parties connect to relays only
        sock = Sock(
            self, machine, socket.socket(socket.AF_INET, socket.SOCK_STREAM), self.relays[n]
        )
        sock.listen_to(came, ended, broke, up)
        sock.dial(address)
        return sock

    def serve(self, machine, address, accepted) -> "Listener":
        return Listener(
            self,
            machine,
            [(name, address_for(address, n)) for n, name in enumerate(self.relays)],
            accepted,
        )


class Listener:
    """Listening sockets of a party, one for each relay; `accepted(sock)` gets each connection."""

    def __init__(self, network, machine, rows, accepted):
        """`rows`: (name of the party that connects there, address)."""
        self.network, self.world, self.machine, self.accepted, self.listening_sockets = (
            network,
            network.world,
            machine,
            accepted,
            [],
        )
        for name, address in rows:
            listening_socket = socket.create_server(address, backlog=BACKLOG)
            listening_socket.setblocking(False)
            self.listening_sockets.append((listening_socket, name))
        machine.listeners.add(self)
        self.update_watch()

    def update_watch(self) -> None:
        for listening_socket, name in self.listening_sockets:
            if self.machine.cut:
                self.world.forget(listening_socket.fileno())
            else:
                self.world.watch(
                    listening_socket.fileno(),
                    IN,
                    lambda mask, row=(listening_socket, name): self.accept_all(*row),
                )

    def accept_all(self, listening_socket, name) -> None:
        while (taken := self.accept_one(listening_socket)) is not None:
            sock, address = taken
            made = Sock(self.network, self.machine, sock, name)
            made.state = OPEN
            self.world.tell(
                self.machine.name,
                "accepted",
                conn=made.number,
                peer=connection_name(address, listening_socket.getsockname()),
            )
            made.update_watch()
            self.accepted(made)

    @staticmethod
    def accept_one(listening_socket):
        try:
            return listening_socket.accept()
        except OSError:
            return None

    def reset_waiting(self) -> set:
        """Resets connections that wait to be accepted; returns the names of their parties."""
        names = set()
        for listening_socket, name in self.listening_sockets:
            while (taken := self.accept_one(listening_socket)) is not None:
                taken[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                taken[0].close()
                names.add(name)
        return names

    def close(self) -> None:
        self.machine.listeners.discard(self)
        for listening_socket, _ in self.listening_sockets:
            self.world.forget(listening_socket.fileno())
            listening_socket.close()
        self.listening_sockets = []


class Sock:
    """A party's side of a connection, with the callbacks and behaviour of the emulator's."""

    def __init__(self, network, machine, sock, peer: str = ""):
        self.network, self.world, self.machine, self.sock = network, network.world, machine, sock
        self.number, self.state, self.closed, self.error = network.number(), FRESH, False, None
        self.peer, self.traffic = (
            SimpleNamespace(machine=SimpleNamespace(name=peer)),
            network.traffic.setdefault(peer, [0, 0]),
        )
        self.outbox, self.ending, self.paused = bytearray(), False, False
        self.on_came = self.on_ended = self.on_broke = self.on_up = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        machine.socks.add(self)

    def listen_to(self, came=None, ended=None, broke=None, up=None) -> None:
        self.on_came, self.on_ended, self.on_broke, self.on_up = came, ended, broke, up

    def dial(self, address, bound=None) -> None:
        self.state = DIALLING
        if bound is not None:
            self.sock.bind(bound)
        code = self.sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            self.world.after(0, self.fail, code)
        else:
            self.update_watch()

    def update_watch(self) -> None:
        """Registers the events that this side waits for."""
        if self.closed:
            return
        if self.machine.cut:
            self.world.watch(self.sock.fileno(), HANGUP, self.handle_hangup)
            return
        mask = OUT if self.state is DIALLING or self.outbox else 0
        if not mask and self.paused:  # otherwise epoll would report the hang-up in every turn
            self.world.forget(self.sock.fileno())
        else:
            self.world.watch(
                self.sock.fileno(),
                mask | (0 if self.paused or self.state is DIALLING else IN),
                self.handle_ready,
            )

    def handle_hangup(self, mask) -> None:
        """Handles a hang-up of the other side while this machine has vanished."""
        self.world.tell(self.machine.name, "call connection over", conn=self.number)
        self.forget()
        self.sock.close()

    def handle_ready(self, mask) -> None:
        if self.state is DIALLING:
            return self.finish_connect()
        if mask & OUT:
            self.pump()
        if mask & ~OUT and not self.closed and not self.paused:
            self.read()

    def finish_connect(self) -> None:
        code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            return self.fail(code)
        self.state = OPEN
        self.update_watch()
        if self.on_up is not None:
            self.on_up(self)

    def read(self) -> None:
        try:
            data = self.sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            return self.fail(error.errno)
        self.traffic[0] += len(data)
        if data:
            if self.on_came is not None:
                self.on_came(self, data, self.world.earliest_arrival())
        else:
            self.paused = True  # the end of the stream is reported once
            self.update_watch()
            if self.on_ended is not None:
                self.on_ended(self)

    def fail(self, code: int) -> None:
        if self.closed or self.error:
            return
        self.state, self.error = FAILED, code
        self.world.forget(self.sock.fileno())
        if self.on_broke is not None:
            self.on_broke(self)

    def put(self, data: bytes, then_close: bool = False) -> None:
        self.outbox += data
        self.ending = self.ending or then_close
        self.pump()

    def pump(self) -> None:
        if self.closed or self.error or self.state is not OPEN or self.machine.cut:
            return
        try:
            while self.outbox:
                count = self.sock.send(self.outbox)
                self.traffic[1] += count
                del self.outbox[:count]
        except BlockingIOError:
            pass
        except OSError as error:
            return self.fail(error.errno)
        if self.ending and not self.outbox:
            return self.close()
        self.update_watch()

    def forget(self) -> None:
        self.closed = True
        self.machine.socks.discard(self)
        self.world.forget(self.sock.fileno())

    def close(self) -> None:
        if not self.closed:
            self.forget()
            self.sock.close()

    def reset(self) -> None:
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close()
