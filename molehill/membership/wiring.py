"""A member on the project's scheduler: datagrams and streams in and out, its number in the folder, its log lines and figures."""

import errno
import json
import os
from random import Random

from molehill.config import MS, SECOND
from molehill.membership.member import (
    CARRIED,
    CONNECTED,
    LEFT,
    LOST,
    SUSPECT,
    Member,
    Message,
    Rumour,
    Settings,
    Who,
)
from molehill.membership.wire import MOST, Unread, Wire
from molehill.runtime.scheduler import READ
from molehill.runtime.stream import (
    ConnectionBroken,
    DescriptorBudget,
    NoDescriptor,
    Stream,
    TimedOut,
    connect_stream,
    open_listener,
)
from molehill.store import write_all

# datagrams read before others have their turn: a flood does not hold callbacks up
A_TURN = 64
SEATS = 4  # streams at once
WITHIN = 2 * SECOND  # for a whole stream
PAGE = 2  # bytes of a page's length; none is longer than a datagram
PAGES_MOST = 1024
NUMBER = "member"  # file in the folder that lasts
BURST = 4  # seconds of the allowance that may be said at once
PAUSE = 100 * MS  # after a socket that errs


class Membership:
    """`config`: the relay's; `inherited`: what the process before it in an upgrade was, as of `estate`, or None."""

    def __init__(self, scheduler, config, log, inherited=None):
        self.scheduler, self.clock, self.log, self.config = (
            scheduler,
            scheduler.clock,
            log,
            config.fleet,
        )
        self.wire = Wire(self.config.name, self.config.keys)
        self.seats, self.allowance, self.filled = (
            DescriptorBudget(SEATS),
            self.config.bytes_per_s * BURST,
            self.clock(),
        )
        self.sock = self.listener = None
        self.era = 0  # one more with each `begin` and `close`
        self.counts = dict.fromkeys(
            ("bytes_out", "bytes_in", "forged", "unread", "over_budget", "streams"), 0
        )
        number = inherited["me"][1] if inherited else self.next_number(config.state)
        self.member = Member(
            Settings(**self.config.durations),
            config.name,
            self.config.listen,
            number,
            self.config.seeds,
            Random(f"{config.seed:x} member"),
            self.clock(),
        )
        if inherited:
            self.member.goes_on(
                inherited["me"],
                [
                    Rumour(Who(*who), state, tuple(at), by)
                    for who, state, at, by in inherited["all"]
                ],
                self.clock() - inherited["answered_ago"],
            )

    def estate(self) -> dict:
        """What the next process of an upgrade goes on with: to others it is the same member."""
        member = self.member
        return {
            "me": member.me,
            "all": member.everything()[1:],
            "answered_ago": self.clock() - (member.answered or 0),
        }

    def retake(self, config) -> None:
        """A file read again: all but its name and address counts at once."""
        waits = config.listen != self.config.listen or config.name != self.config.name
        config.listen, config.name = self.config.listen, self.config.name
        self.config, self.wire = config, Wire(config.name, config.keys)
        self.member.set, self.member.seeds = Settings(**config.durations), dict(config.seeds)
        self.log.info("fleet taken", seeds=len(config.seeds), at_next_start=waits)

    def next_number(self, folder: str) -> int:
        """One that rises with each start, also when the folder was lost: then it is the time that makes it rise."""
        disk, path = self.scheduler.machine.disk, os.path.join(folder, NUMBER)
        before = 0
        if disk.exists(path):
            try:
                before = int(disk.read(path))
            except (OSError, ValueError):
                pass  # as if it were lost
        number = max(before + 1, self.scheduler.machine.wall_clock() // MS)
        try:
            fd = disk.open(path + ".new", truncate=True)
            try:
                if not write_all(disk, fd, b"%d" % number):
                    raise OSError("short write")
            finally:
                disk.close(fd)
            disk.rename(path + ".new", path)
        except OSError as error:
            self.log.error("member number not kept", error=str(error))
        return number

    def begin(self) -> None:
        """Opens its address, as soon as no other process has it, and takes part.

        Danger: closed and begun again within a moment, as when a hand-over breaks off, tasks of the time before would go on beside the new
        ones. So each belongs to the era in which it began.
        """
        self.era += 1
        era = self.era
        self.scheduler.spawn_supervised(lambda: self.live(era))

    def live(self, era: int) -> None:
        machine = self.scheduler.machine
        while self.listener is None and era == self.era:
            sock = None
            try:
                sock = machine.udp_socket(self.config.listen)
                sock.bind(self.config.listen)
                sock.setblocking(False)
                self.listener, self.sock = open_listener(machine, self.config.listen), sock
            except OSError as error:
                if sock is not None:
                    sock.close()
                if error.errno not in (errno.EADDRINUSE, errno.EMFILE, errno.ENFILE):
                    self.log.error("no membership", error=str(error))
                self.scheduler.sleep_until(self.clock() + PAUSE)
        if era != self.era:
            return
        self.log.info(
            "member begins",
            number=self.member.me.number,
            seeds=len(self.config.seeds),
            listen="%s:%d" % self.config.listen,
        )
        self.scheduler.spawn_supervised(lambda: self.hear(era))
        self.scheduler.spawn_supervised(lambda: self.accept(era))
        while era == self.era:
            self.member.tick(self.clock())
            self.carry()
            now = self.clock()
            self.scheduler.sleep_until(
                min(max(self.member.due(), now + MS), now + self.member.set.stalled // 4)
            )

    def hear(self, era: int) -> None:
        while era == self.era:
            for _ in range(A_TURN):
                try:
                    data, source = self.sock.recvfrom(MOST + 1)
                except BlockingIOError:
                    self.scheduler.wait(self.sock.fileno(), READ)
                    break
                except OSError:
                    # an ICMP answer, or a machine short of memory
                    self.scheduler.sleep_until(self.clock() + PAUSE)
                    break
                self.came(data, source)
            else:
                self.scheduler.yield_now()

    def came(self, data: bytes, source):
        """One message, from a datagram or a page; what it was, or None."""
        self.counts["bytes_in"] += len(data)
        try:
            message = self.wire.read(data)
        except Unread as error:
            self.counts["forged" if str(error) in ("signature", "key") else "unread"] += 1
            return None
        now = self.clock()
        self.member.turn(now)
        self.member.hear(now, message, source)
        self.carry()
        return message

    def may_say(self, size: int) -> bool:
        """Danger: a flood that is answered. So many bytes a second, whatever comes and however large the fleet is."""
        now, rate = self.clock(), self.config.bytes_per_s
        self.allowance = min(rate * BURST, self.allowance + (now - self.filled) * rate / SECOND)
        self.filled = now
        if self.allowance < size:
            self.counts["over_budget"] += 1
            return False
        self.allowance -= size
        self.counts["bytes_out"] += size
        return True

    def carry(self) -> None:
        member = self.member
        out, member.out = member.out, []
        for address, message in out:
            data = self.wire.write(message)
            if self.sock is not None and self.may_say(len(data)):
                try:
                    self.sock.sendto(data, address)
                except OSError:
                    pass  # as lost on the way
        syncs, member.syncs = member.syncs, []
        for name in syncs:
            self.scheduler.spawn(self.sync, name)
        news, member.news = member.news, []
        for what, facts in news:
            self.log.info(what, **facts)

    # Streams: all that is believed, page by page, both ways

    def pages(self):
        member, rumours = self.member, self.member.everything()
        for at in range(0, len(rumours), CARRIED):
            data = self.wire.write(
                Message(
                    "word",
                    member.me,
                    member.address,
                    member.standing,
                    rumours=rumours[at : at + CARRIED],
                )
            )
            if not self.may_say(len(data)):
                return
            yield len(data).to_bytes(PAGE, "big") + data

    def sync(self, name: str) -> None:
        peer = self.member.peers.get(name)
        address, until = (
            (peer.address if peer else self.config.seeds.get(name)),
            self.clock() + WITHIN,
        )
        try:
            stream = connect_stream(self.scheduler, address, "stream", self.seats, self.make, until)
        except (ConnectionBroken, TimedOut, NoDescriptor):
            return
        self.exchange(stream, until, first=True)

    @staticmethod
    def make(scheduler, sock, kind, budget):
        return Stream(scheduler, sock, kind, budget, 2 * MOST)

    def accept(self, era: int) -> None:
        while era == self.era:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self.scheduler.wait(self.listener.fileno(), READ)
                continue
            except OSError:
                self.scheduler.sleep_until(self.clock() + PAUSE)
                continue
            if not self.seats.acquire("stream"):
                sock.close()
                continue
            self.scheduler.spawn(
                self.exchange,
                self.make(self.scheduler, sock, "stream", self.seats),
                self.clock() + WITHIN,
                False,
            )

    def exchange(self, stream, until: int, first: bool) -> None:
        """Who came says all, then hears all."""
        self.counts["streams"] += 1
        try:
            if first:
                self.say_all(stream, until)
            self.hear_all(stream, until)
            if not first:
                self.say_all(stream, until)
        except (ConnectionBroken, TimedOut, OSError):
            pass
        finally:
            stream.close()

    def say_all(self, stream, until: int) -> None:
        for page in self.pages():
            stream.send(page, until)
        stream.send(bytes(PAGE), until)

    def hear_all(self, stream, until: int) -> None:
        for _ in range(PAGES_MOST):
            size = int.from_bytes(self.take(stream, PAGE, until), "big")
            if not size:
                return
            if size > MOST or self.came(self.take(stream, size, until), None) is None:
                raise ConnectionBroken("no page")

    @staticmethod
    def take(stream, size: int, until: int) -> bytes:
        while len(stream.buffer) < size:
            stream.read(until)
        return stream.buffer.take(size)

    # For operators

    def figures(self) -> str:
        """Lines of the door's form."""
        member = self.member
        states = [peer.state for peer in member.peers.values()]
        rows = [
            ("fleet.alive", member.reached() - 1, "g"),
            ("fleet.suspect", states.count(SUSPECT), "g"),
            ("fleet.lost", states.count(LOST), "g"),
            ("fleet.left", states.count(LEFT), "g"),
            ("fleet.connected", int(member.standing == CONNECTED), "g"),
            *(
                (f"fleet.{name}", count, "c")
                for name, count in {**member.counts, **self.counts}.items()
            ),
        ]
        return "".join(f"router.{name}:{value}|{kind}\n" for name, value, kind in rows)

    def view(self) -> bytes:
        """What is believed, as JSON: this one, and a row a member."""
        member, now = self.member, self.clock()
        rows = [
            {
                "name": p.who.name,
                "state": p.state,
                "number": p.who.number,
                "turn": p.who.turn,
                "since_ms": (now - p.since) // MS,
                "by": p.by,
                "address": "%s:%d" % p.address,
                "heard_ms": (now - p.heard) // MS if p.heard else None,
            }
            for p in member.peers.values()
        ]
        return json.dumps(
            {
                "name": member.me.name,
                "number": member.me.number,
                "turn": member.me.turn,
                "standing": member.standing,
                "since_ms": (now - member.since) // MS,
                "hears": member.hears(now),
                "heard_by": member.heard_by(now),
                "reached": member.reached(),
                "expected": member.expected(),
                "members": sorted(rows, key=lambda r: r["name"]),
            }
        ).encode()

    def descriptors(self) -> int:
        """How many it holds: its two sockets, and the streams that are open."""
        return 2 * (self.sock is not None) + self.seats.total()

    def leave(self) -> None:
        self.member.leave(self.clock())
        self.carry()

    def close(self) -> None:
        """Takes part no more; `begin` opens it again."""
        self.era += 1
        for sock in (self.sock, self.listener):
            if sock is not None:
                self.scheduler.cancel_wait(sock.fileno())
                sock.close()
        self.sock = self.listener = None
