"""Proxies that inject network faults: traffic between two parties passes one, each direction apart.

The bytes of a connection keep their order: they are held back (`cut`, `burst`), delayed (`delay`)
or sent at a limited rate (`narrow`). Datagrams are lost (`lose`, `cut`), duplicated (`repeat`),
reordered (`reorder`), corrupted (`spoil_bytes`), delayed, or sent all at once when a `burst` is
over.
A proxy counts its effects by fault, and records when bytes that it held back were written, because
that is when the relay decided on them.

Limitation: the kernel accepts a connection on behalf of the far end, so in a cut a relay's connect
succeeds and stays silent, where on a real network it would time out.
"""

import socket
from collections import deque

from molehill.config import MS, SECOND
from molehill.emulator.scenario import directions
from molehill.fleet.addresses import MEMBERSHIP_PORT
from molehill.fleet.sockets import PROXY_PORT_OFFSET, Listener, Sock, address_for, connection_name
from molehill.fleet.world import IN

# bytes of one direction of a connection that are queued; beyond it the writer waits, as with full
# socket buffers
MAX_WAITING_BYTES = 256 * 1024
# datagrams of one direction that are queued; further ones are lost, as in a full queue
MAX_WAITING_DATAGRAMS = 4096
# bytes that were held back for longer are recorded with the time at which they were written
MIN_REPORTED_DELAY = 5 * MS
FLOOD_SOURCE = "127.0.0.1"  # an address outside the fleet
MAX_FLOOD_PER_TURN = 200
END, RESET = object(), object()


class Direction:
    """One direction between two parties: the faults in force, and the counts of their effects."""

    def __init__(self, world):
        self.world, self.chance = world, world.chance
        self.cut = self.burst = False
        self.delay = self.narrow = self.lose = self.repeat = self.reorder = self.spoil_bytes = 0.0
        self.counts, self.free_at, self.pipes, self.waiting_datagrams = {}, 0, set(), deque()

    def count_effect(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def is_blocked(self) -> bool:
        """Whether bytes of connections are held back now."""
        return self.cut or self.burst

    def due_at(self, size: int) -> int:
        """The time at which `size` bytes that arrive now are delivered, cuts apart."""
        now = self.world.now
        due_at = now
        if self.delay:
            due_at += int(self.delay * MS * (0.5 + self.chance.random()))
            self.count_effect("delay")
        if self.narrow:
            self.free_at = max(self.free_at, now) + int(size * SECOND / self.narrow)
            due_at = max(due_at, self.free_at)
            self.count_effect("narrow")
        return due_at

    def release_if_open(self) -> None:
        """Sends on what was held back if nothing blocks it now; called when a fault changes."""
        if not self.is_blocked():
            for pipe in list(self.pipes):
                pipe.pump()
            waiting_datagrams, self.waiting_datagrams = self.waiting_datagrams, deque()
            for send, data in waiting_datagrams:
                send(data)

    def forward_datagram(self, data: bytes, send) -> None:
        """Applies the faults to a datagram; `send(data)` delivers it to the far end."""
        if self.cut or len(self.waiting_datagrams) >= MAX_WAITING_DATAGRAMS:
            return self.count_effect("cut")
        if self.chance.random() < self.lose:
            return self.count_effect("lose")
        if self.spoil_bytes and self.chance.random() < self.spoil_bytes and data:
            position = self.chance.randrange(len(data))
            data = (
                data[:position]
                + bytes([data[position] ^ self.chance.randrange(1, 256)])
                + data[position + 1 :]
            )
            self.count_effect("spoil_bytes")
        times = 1
        if self.repeat and self.chance.random() < self.repeat:
            times = 2
            self.count_effect("repeat")
        for _ in range(times):
            if self.burst:
                self.count_effect("burst")
                self.waiting_datagrams.append((send, data))
                continue
            due_at = self.due_at(len(data))
            if self.reorder and self.chance.random() < self.reorder:
                due_at += self.chance.randrange(1, 50) * MS
                self.count_effect("reorder")
            if due_at <= self.world.now:
                send(data)
            else:
                self.world.at(due_at, self.deliver_late, data, send)

    def deliver_late(self, data, send) -> None:
        """Delivers a delayed datagram; one that was in flight when a cut began is lost, too."""
        if self.cut:
            self.count_effect("cut")
        else:
            send(data)


class Pipe:
    """One direction of one connection: a queue from `source` to `sink`."""

    def __init__(self, direction: Direction, source: Sock, sink: Sock, on_delayed):
        self.direction, self.world, self.source, self.sink, self.on_delayed = (
            direction,
            direction.world,
            source,
            sink,
            on_delayed,
        )
        self.queue, self.size, self.finished, self.last_due_at, self.timer_set = (
            deque(),
            0,
            False,
            0,
            False,
        )
        direction.pipes.add(self)

    def push(self, what, size: int = 0) -> None:
        """Queues bytes, END or RESET; pauses the source when the queue is full."""
        if self.finished:
            return
        self.last_due_at = max(self.last_due_at, self.direction.due_at(size))
        if self.direction.is_blocked():
            self.direction.count_effect("cut" if self.direction.cut else "burst")
        self.queue.append((self.last_due_at, self.world.now, what, size))
        self.size += size
        if self.size >= MAX_WAITING_BYTES:
            self.source.paused = True
            self.source.update_watch()
        self.pump()

    def pump(self) -> None:
        """Sends on what is due, in order."""
        self.timer_set = False
        while (
            self.queue
            and not self.finished
            and not self.direction.is_blocked()
            and self.sink.state == "open"
        ):
            due_at, since, what, size = self.queue[0]
            if due_at > self.world.now:
                if not self.timer_set:
                    self.timer_set = True
                    self.world.at(due_at, self.pump)
                return
            self.queue.popleft()
            self.size -= size
            if what is END or what is RESET:
                self.finished = True
                self.direction.pipes.discard(self)
                self.sink.reset() if what is RESET else self.sink.put(b"", then_close=True)
                return
            if self.world.now - since > MIN_REPORTED_DELAY:
                self.on_delayed(since)
            self.sink.put(what)
            if self.source.paused and self.size < MAX_WAITING_BYTES // 2 and not self.source.closed:
                self.source.paused = False
                self.source.update_watch()


class ProxiedConnection:
    """A connection through the proxy, from the party that connected to the one that it was for."""

    def __init__(
        self, proxies, near: Sock, outbound: Direction, inbound: Direction, address, bound=None
    ):
        (
            self.proxies,
            self.world,
            self.near,
            self.outbound,
            self.inbound,
            self.address,
            self.bound,
        ) = (
            proxies,
            proxies.world,
            near,
            outbound,
            inbound,
            address,
            bound,
        )
        network, machine = proxies.network, proxies.machine
        self.peer = None  # the name of the connection at the far end, once it is established there
        self.far = Sock(network, machine, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.outbound_pipe = Pipe(outbound, near, self.far, self.record_delay)
        self.inbound_pipe = Pipe(inbound, self.far, near, lambda since: None)
        near.listen_to(
            lambda s, data, _: self.outbound_pipe.push(data, len(data)),
            lambda s: self.close_near(END),
            lambda s: self.close_near(RESET),
        )
        self.far.listen_to(
            lambda s, data, _: self.inbound_pipe.push(data, len(data)),
            lambda s: self.close_far(END),
            lambda s: self.close_far(RESET),
            self.on_connected,
        )
        self.dial()

    def dial(self) -> None:
        """Connects to the far end; a cut holds that up, because it blocks a SYN like any byte."""
        if self.outbound.cut:
            self.outbound.count_effect("cut")
            self.outbound.pipes.add(self)
        elif self.far.state == "fresh" and not self.far.closed:
            self.outbound.pipes.discard(self)
            self.far.dial(self.address, self.bound)

    pump = dial

    def on_connected(self, sock) -> None:
        self.peer = connection_name(sock.sock.getsockname(), self.address)
        if self.near.closed:
            self.world.tell("cables", "hung up", peer=self.peer)
        self.outbound_pipe.pump()

    def record_delay(self, since: int) -> None:
        self.world.tell("cables", "held", peer=self.peer, span=self.world.now - since)

    def close_near(self, what) -> None:
        """Closes the near side.

        The history has it now, the far end learns of it when the faults allow.
        """
        if self.peer is not None:
            self.world.tell("cables", "hung up", peer=self.peer)
        self.near.close()
        self.outbound_pipe.push(what)
        if self.far.state in ("fresh", "dialling"):  # the far end never saw this connection
            self.outbound.pipes.discard(self)
            self.far.close()

    def close_far(self, what) -> None:
        """Closes the far side; the near end learns of it when the faults allow."""
        self.far.close()
        self.inbound_pipe.push(what)


class Proxies:
    """All proxies of a run, with their faults.

    `pairs`: (relay, party) with a proxy between them; a pair of relays has one for datagrams and
    one for connections in each direction.
    """

    def __init__(self, world, network, scenario, address_plan, pairs):
        self.world, self.network, self.scenario, self.address_plan = (
            world,
            network,
            scenario,
            address_plan,
        )
        self.machine, self.directions, self.datagram_sockets = network.machine("cables"), {}, {}
        relays = {name: n for n, name in enumerate(network.relays)}
        hosts = {f"h{e.destination}-{n}": None for e in scenario.endpoints for n in range(e.hosts)}
        bases = {
            "platform": address_plan.platform(),
            **{name: address_plan.host(h) for h, name in enumerate(hosts)},
        }
        for relay, party in pairs:
            if party in relays:
                self.add_relay_proxies(relays[relay], relays[party], relay, party)
            else:
                listen_address, port = address_for(bases[party], relays[relay])
                moves = sum(fault.kind == "move" for fault in scenario.faults)
                for port_now in range(port, port + 1 + (moves if party == "platform" else 0)):
                    self.add_stream_proxy(
                        relay,
                        party,
                        (listen_address, port_now + PROXY_PORT_OFFSET),
                        (listen_address, port_now),
                    )

    def direction(self, a: str, b: str) -> Direction:
        return self.directions.setdefault((a, b), Direction(self.world))

    def add_stream_proxy(self, a: str, b: str, listen_address, address, bound=None) -> None:
        outbound, inbound = self.direction(a, b), self.direction(b, a)
        Listener(
            self.network,
            self.machine,
            [(a, listen_address)],
            lambda sock: ProxiedConnection(self, sock, outbound, inbound, address, bound),
        )

    def add_relay_proxies(self, a: int, b: int, from_a: str, to_b: str) -> None:
        """Opens the address at which relay a finds relay b.

        Datagrams are sent on from the address at which b finds a, so that b can answer.
        """
        address = self.address_plan.relay(b)[0], MEMBERSHIP_PORT
        (listen_address, port), (other, _) = (
            self.address_plan.membership(a, b),
            self.address_plan.membership(b, a),
        )
        self.add_stream_proxy(
            from_a, to_b, (listen_address, port + PROXY_PORT_OFFSET), address, (other, 0)
        )
        near_socket, direction = (
            self.datagram_socket((listen_address, port + PROXY_PORT_OFFSET)),
            self.direction(from_a, to_b),
        )
        far_socket = self.datagram_socket((other, port + PROXY_PORT_OFFSET))

        def on_readable(mask) -> None:
            while True:
                try:
                    data = near_socket.sock.recv(65536)
                except OSError:
                    return
                direction.forward_datagram(data, lambda rest: far_socket.send(rest, address))

        self.world.watch(near_socket.sock.fileno(), IN, on_readable)

    def datagram_socket(self, address) -> "Datagrams":
        if address not in self.datagram_sockets:
            self.datagram_sockets[address] = Datagrams(address)
        return self.datagram_sockets[address]

    # Faults

    def start_fault(self, script, fault) -> None:
        """Applies a fault to its directions for its span, then records how often it took effect."""
        if fault.kind == "flood":
            relay = self.network.relays.index(fault.who)
            return self.flood(
                fault,
                (self.address_plan.relay(relay)[0], MEMBERSHIP_PORT),
                Datagrams((FLOOD_SOURCE, 0)),
                self.world.now,
                0,
            )
        for a, b in directions(self.scenario, fault.who):
            direction, span = self.direction(a, b), fault.span_ms * MS
            before = direction.counts.get(fault.kind, 0)
            part = True if fault.kind in ("cut", "burst") else fault.worth
            base = False if part is True else 0.0

            def apply(value, direction=direction, kind=fault.kind) -> None:
                setattr(direction, kind, value)
                direction.release_if_open()

            script.apply_during(
                span,
                (direction, fault.kind),
                part,
                base,
                min if fault.kind == "narrow" else max,
                apply,
            )
            self.world.after(span, self.record_effect, fault, direction, before)

    def flood(self, fault, address, sender, started_at: int, sent_count: int) -> None:
        """Sends forged datagrams: valid version and size, random key byte, no valid signature."""
        past = min(self.world.now - started_at, fault.span_ms * MS)
        for _ in range(min(MAX_FLOOD_PER_TURN, int(past * fault.worth / SECOND) - sent_count)):
            sender.send(b"\x01" + self.world.chance.randbytes(200), address)
            sent_count += 1
        if past < fault.span_ms * MS:
            self.world.after(MS, self.flood, fault, address, sender, started_at, sent_count)
        else:
            sender.sock.close()
            self.world.tell(
                "cables",
                "cable did",
                kind=fault.kind,
                falls_on=fault.who,
                at_ms=fault.at_ms,
                touched=sent_count,
            )

    def record_effect(self, fault, direction, before: int) -> None:
        self.world.tell(
            "cables",
            "cable did",
            kind=fault.kind,
            falls_on=fault.who,
            at_ms=fault.at_ms,
            touched=direction.counts.get(fault.kind, 0) - before,
        )


class Datagrams:
    """A non-blocking UDP socket bound to `address`."""

    def __init__(self, address):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.sock.setblocking(False)

    def send(self, data: bytes, address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError:  # no receiver or no buffer space: the datagram is lost
            pass
