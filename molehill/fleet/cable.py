"""Cables: whatever two parties say to each other goes through here, each direction by itself, and the script says how that fares.

A connection's bytes keep their order: they wait (`cut`, `burst`), come later (`delay`) or slowly (`narrow`). Datagrams are lost
(`lose`, `cut`), repeated, overtaken (`reorder`), spoilt, late, or come all at once when a `burst` is over. A cable counts what it did by
fault, and says when what it held back was written, as that is when the relay decided on it.

What it can't do: the kernel takes a connection up for the far end, so in a cut a relay's connect succeeds and stays silent, where on a
real wire it would time out.
"""

import socket
from collections import deque

from molehill.config import MS, SECOND
from molehill.emulator.scenario import directions
from molehill.fleet.places import WORDS
from molehill.fleet.sockets import CABLE, Listener, Sock, at, between
from molehill.fleet.world import IN

# bytes of one connection's direction that wait here; then its writer waits, as behind full buffers
WINDOW = 256 * 1024
# datagrams of one direction that wait here; what comes beyond is lost, as in a full queue
LETTERS = 4096
# what was held back so long is told with the time at which it was written
HELD = 5 * MS
FLOODS_FROM = "127.0.0.1"  # a stranger's address, none of the fleet's
FLOOD_A_TURN = 200
END, RESET = object(), object()


class Way:
    """One direction between two parties: what lies on it, and what that touched."""

    def __init__(self, world):
        self.world, self.chance = world, world.chance
        self.cut = self.burst = False
        self.delay = self.narrow = self.lose = self.repeat = self.reorder = self.spoil_bytes = 0.0
        self.counts, self.free, self.pipes, self.letters = {}, 0, set(), deque()

    def touch(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def stands(self) -> bool:
        return self.cut or self.burst

    def due(self, size: int) -> int:
        """When what comes now is through, but for cuts."""
        now = self.world.now
        due = now
        if self.delay:
            due += int(self.delay * MS * (0.5 + self.chance.random()))
            self.touch("delay")
        if self.narrow:
            self.free = max(self.free, now) + int(size * SECOND / self.narrow)
            due = max(due, self.free)
            self.touch("narrow")
        return due

    def changed(self) -> None:
        """A cut began or ended."""
        if not self.stands():
            for pipe in list(self.pipes):
                pipe.pump()
            letters, self.letters = self.letters, deque()
            for send, data in letters:
                send(data)

    def letter(self, data: bytes, send) -> None:
        """A datagram; `send(data)` gives it to the far end."""
        if self.cut or len(self.letters) >= LETTERS:
            return self.touch("cut")
        if self.chance.random() < self.lose:
            return self.touch("lose")
        if self.spoil_bytes and self.chance.random() < self.spoil_bytes and data:
            place = self.chance.randrange(len(data))
            data = (
                data[:place]
                + bytes([data[place] ^ self.chance.randrange(1, 256)])
                + data[place + 1 :]
            )
            self.touch("spoil_bytes")
        times = 1
        if self.repeat and self.chance.random() < self.repeat:
            times = 2
            self.touch("repeat")
        for _ in range(times):
            if self.burst:
                self.touch("burst")
                self.letters.append((send, data))
                continue
            due = self.due(len(data))
            if self.reorder and self.chance.random() < self.reorder:
                due += self.chance.randrange(1, 50) * MS
                self.touch("reorder")
            if due <= self.world.now:
                send(data)
            else:
                self.world.at(due, self.late, data, send)

    def late(self, data, send) -> None:
        """Danger: what was under way as a cut began is behind it, too."""
        if self.cut:
            self.touch("cut")
        else:
            send(data)


class Pipe:
    """One direction of one connection."""

    def __init__(self, way: Way, source: Sock, sink: Sock, passed):
        self.way, self.world, self.source, self.sink, self.passed = (
            way,
            way.world,
            source,
            sink,
            passed,
        )
        self.queue, self.size, self.over, self.last, self.waits = deque(), 0, False, 0, False
        way.pipes.add(self)

    def push(self, what, size: int = 0) -> None:
        if self.over:
            return
        self.last = max(self.last, self.way.due(size))
        if self.way.stands():
            self.way.touch("cut" if self.way.cut else "burst")
        self.queue.append((self.last, self.world.now, what, size))
        self.size += size
        if self.size >= WINDOW:
            self.source.paused = True
            self.source.look()
        self.pump()

    def pump(self) -> None:
        self.waits = False
        while self.queue and not self.over and not self.way.stands() and self.sink.state == "open":
            due, since, what, size = self.queue[0]
            if due > self.world.now:
                if not self.waits:
                    self.waits = True
                    self.world.at(due, self.pump)
                return
            self.queue.popleft()
            self.size -= size
            if what is END or what is RESET:
                self.over = True
                self.way.pipes.discard(self)
                self.sink.reset() if what is RESET else self.sink.put(b"", then_close=True)
                return
            if self.world.now - since > HELD:
                self.passed(since)
            self.sink.put(what)
            if self.source.paused and self.size < WINDOW // 2 and not self.source.closed:
                self.source.paused = False
                self.source.look()


class Line:
    """A connection through the cable: from whoever came to the party that it was for."""

    def __init__(self, cables, near: Sock, there: Way, back: Way, address, bound=None):
        self.cables, self.world, self.near, self.there, self.back, self.address, self.bound = (
            cables,
            cables.world,
            near,
            there,
            back,
            address,
            bound,
        )
        network, machine = cables.network, cables.machine
        self.peer = None  # how the far end sees it, once that has it
        self.far = Sock(network, machine, socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.out = Pipe(there, near, self.far, self.wrote)
        self.home = Pipe(back, self.far, near, lambda since: None)
        near.listen_to(
            lambda s, data, _: self.out.push(data, len(data)),
            lambda s: self.hung_up(END),
            lambda s: self.hung_up(RESET),
        )
        self.far.listen_to(
            lambda s, data, _: self.home.push(data, len(data)),
            lambda s: self.ended(END),
            lambda s: self.ended(RESET),
            self.up,
        )
        self.dial()

    def dial(self) -> None:
        """Danger: in a cut the wish for a connection is lost like any other byte."""
        if self.there.cut:
            self.there.touch("cut")
            self.there.pipes.add(self)
        elif self.far.state == "fresh" and not self.far.closed:
            self.there.pipes.discard(self)
            self.far.dial(self.address, self.bound)

    pump = dial

    def up(self, sock) -> None:
        self.peer = between(sock.sock.getsockname(), self.address)
        if self.near.closed:
            self.world.tell("cables", "hung up", peer=self.peer)
        self.out.pump()

    def wrote(self, since: int) -> None:
        self.world.tell("cables", "held", peer=self.peer, span=self.world.now - since)

    def hung_up(self, what) -> None:
        """The relay's side is gone: the history has it now, the far end when the way lets it through."""
        if self.peer is not None:
            self.world.tell("cables", "hung up", peer=self.peer)
        self.near.close()
        self.out.push(what)
        if self.far.state in ("fresh", "dialling"):  # nothing of it ever came there
            self.there.pipes.discard(self)
            self.far.close()

    def ended(self, what) -> None:
        self.far.close()
        self.home.push(what)


class Cables:
    """`pairs`: (relay, party) with a cable between; a pair of relays has one for datagrams and one for connections, each way."""

    def __init__(self, world, network, scenario, places, pairs):
        self.world, self.network, self.scenario, self.places = world, network, scenario, places
        self.machine, self.ways, self.doors = network.machine("cables"), {}, {}
        relays = {name: n for n, name in enumerate(network.relays)}
        hosts = {f"h{e.destination}-{n}": None for e in scenario.endpoints for n in range(e.hosts)}
        bases = {
            "platform": places.platform(),
            **{name: places.host(h) for h, name in enumerate(hosts)},
        }
        for relay, party in pairs:
            if party in relays:
                self.words(relays[relay], relays[party], relay, party)
            else:
                door, port = at(bases[party], relays[relay])
                moves = sum(fault.kind == "move" for fault in scenario.faults)
                for port_now in range(port, port + 1 + (moves if party == "platform" else 0)):
                    self.line(relay, party, (door, port_now + CABLE), (door, port_now))

    def way(self, a: str, b: str) -> Way:
        return self.ways.setdefault((a, b), Way(self.world))

    def line(self, a: str, b: str, door, address, bound=None) -> None:
        there, back = self.way(a, b), self.way(b, a)
        Listener(
            self.network,
            self.machine,
            [(a, door)],
            lambda sock: Line(self, sock, there, back, address, bound),
        )

    def words(self, a: int, b: int, from_a: str, to_b: str) -> None:
        """The door at which relay a finds relay b. Datagrams go on from the door at which b finds a, so that b can answer."""
        address = self.places.relay(b)[0], WORDS
        (door, port), (other, _) = self.places.words(a, b), self.places.words(b, a)
        self.line(from_a, to_b, (door, port + CABLE), address, (other, 0))
        mine, way = self.datagrams((door, port + CABLE)), self.way(from_a, to_b)
        theirs = self.datagrams((other, port + CABLE))

        def came(mask) -> None:
            while True:
                try:
                    data = mine.sock.recv(65536)
                except OSError:
                    return
                way.letter(data, lambda rest: theirs.send(rest, address))

        self.world.watch(mine.sock.fileno(), IN, came)

    def datagrams(self, address) -> "Datagrams":
        if address not in self.doors:
            self.doors[address] = Datagrams(address)
        return self.doors[address]

    # Faults

    def falls(self, script, fault) -> None:
        if fault.kind == "flood":
            relay = self.network.relays.index(fault.who)
            return self.flood(
                fault,
                (self.places.relay(relay)[0], WORDS),
                Datagrams((FLOODS_FROM, 0)),
                self.world.now,
                0,
            )
        for a, b in directions(self.scenario, fault.who):
            way, span = self.way(a, b), fault.span_ms * MS
            before = way.counts.get(fault.kind, 0)
            part = True if fault.kind in ("cut", "burst") else fault.worth
            base = False if part is True else 0.0

            def apply(value, way=way, kind=fault.kind) -> None:
                setattr(way, kind, value)
                way.changed()

            script.apply_during(
                span, (way, fault.kind), part, base, min if fault.kind == "narrow" else max, apply
            )
            self.world.after(span, self.did, fault, way, before)

    def flood(self, fault, address, door, began: int, said: int) -> None:
        """Datagrams of the right version and size, their key's byte drawn, signed by nobody."""
        past = min(self.world.now - began, fault.span_ms * MS)
        for _ in range(min(FLOOD_A_TURN, int(past * fault.worth / SECOND) - said)):
            door.send(b"\x01" + self.world.chance.randbytes(200), address)
            said += 1
        if past < fault.span_ms * MS:
            self.world.after(MS, self.flood, fault, address, door, began, said)
        else:
            door.sock.close()
            self.world.tell(
                "cables",
                "cable did",
                kind=fault.kind,
                falls_on=fault.who,
                at_ms=fault.at_ms,
                touched=said,
            )

    def did(self, fault, way, before: int) -> None:
        self.world.tell(
            "cables",
            "cable did",
            kind=fault.kind,
            falls_on=fault.who,
            at_ms=fault.at_ms,
            touched=way.counts.get(fault.kind, 0) - before,
        )


class Datagrams:
    def __init__(self, address):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address)
        self.sock.setblocking(False)

    def send(self, data: bytes, address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError:  # nobody there, or no room: a datagram that is lost
            pass
