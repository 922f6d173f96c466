"""Runs a `Member` on the scheduler.

The service opens the member's UDP socket and TCP listener, moves messages between them and the
state machine, keeps the generation in the state folder, and provides log lines, metrics and the
operators' view.
"""

import errno
import json
import os
from random import Random

from molehill.config import MS, SECOND
from molehill.membership.codec import MAX_MESSAGE_BYTES, InvalidMessage, MessageCodec
from molehill.membership.member import (
    CONNECTED,
    LEFT,
    LOST,
    RUMOURS_PER_MESSAGE,
    SUSPECT,
    Identity,
    Member,
    Message,
    Rumour,
    Settings,
)
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

# Datagrams read before other tasks run, so that a flood does not delay callbacks.
DATAGRAMS_PER_TURN = 64
MAX_STREAMS = 4  # open at once
STREAM_TIMEOUT = 2 * SECOND  # for a whole stream
PAGE_LENGTH_BYTES = 2  # size of a page's length prefix; no page is longer than a datagram
MAX_PAGES = 1024
GENERATION_FILE = "member"  # in the state folder, which outlasts the process
BURST_SECONDS = 4  # seconds of the send allowance that may be used at once
ERROR_DELAY = 100 * MS  # after a socket error


class Membership:
    """Takes this relay's part in the membership protocol, over the network.

    `config` is the relay's configuration. `inherited` is the state of the previous process in an
    upgrade, as `handover_state` returns it, or None.
    """

    def __init__(self, scheduler, config, log, inherited=None):
        self.scheduler, self.clock, self.log, self.config = (
            scheduler,
            scheduler.clock,
            log,
            config.fleet,
        )
        self.codec = MessageCodec(self.config.name, self.config.keys)
        self.stream_budget, self.send_allowance, self.allowance_updated_at = (
            DescriptorBudget(MAX_STREAMS),
            self.config.bytes_per_s * BURST_SECONDS,
            self.clock(),
        )
        self.datagram_socket = self.listener = None
        self.session = 0  # increases with each `start` and `close`
        self.counts = dict.fromkeys(
            ("bytes_out", "bytes_in", "forged", "unread", "over_budget", "streams"), 0
        )
        generation = inherited["me"][1] if inherited else self.next_generation(config.state)
        self.member = Member(
            Settings(**self.config.durations),
            config.name,
            self.config.listen,
            generation,
            self.config.seeds,
            Random(f"{config.seed:x} member"),
            self.clock(),
        )
        if inherited:
            self.member.restore(
                inherited["me"],
                [
                    Rumour(Identity(*identity), state, tuple(address), reporter)
                    for identity, state, address, reporter in inherited["all"]
                ],
                self.clock() - inherited["answered_ago"],
            )

    def handover_state(self) -> dict:
        """Return the state that the next process in an upgrade continues with.

        To other members it stays the same member.
        """
        member = self.member
        return {
            "me": member.own_identity,
            "all": member.all_rumours()[1:],
            "answered_ago": self.clock() - (member.last_ack_at or 0),
        }

    def reconfigure(self, config) -> None:
        """Apply a reloaded configuration; a new name or address waits for the next start."""
        needs_restart = config.listen != self.config.listen or config.name != self.config.name
        config.listen, config.name = self.config.listen, self.config.name
        self.config, self.codec = config, MessageCodec(config.name, config.keys)
        self.member.settings, self.member.seeds = Settings(**config.durations), dict(config.seeds)
        self.log.info("fleet taken", seeds=len(config.seeds), at_next_start=needs_restart)

    def next_generation(self, folder: str) -> int:
        """Return a generation above that of the previous start, and store it in `folder`.

        If the stored one was lost, the generation still increases, because it is at least the wall
        clock time in milliseconds.
        """
        disk, path = self.scheduler.machine.disk, os.path.join(folder, GENERATION_FILE)
        previous = 0
        if disk.exists(path):
            try:
                previous = int(disk.read(path))
            except (OSError, ValueError):
                pass  # handled as if the file were lost
        generation = max(previous + 1, self.scheduler.machine.wall_clock() // MS)
        try:
            fd = disk.open(path + ".new", truncate=True)
            try:
                if not write_all(disk, fd, b"%d" % generation):
                    raise OSError("short write")
            finally:
                disk.close(fd)
            disk.rename(path + ".new", path)
        except OSError as error:
            self.log.error("member number not kept", error=str(error))
        return generation

    def start(self) -> None:
        """Open the listen address as soon as no other process holds it, and take part.

        If membership is closed and started again at once, as after a failed handover, tasks of the
        earlier session would go on beside the new ones. So each task ends with the session in
        which it began.
        """
        self.session += 1
        session = self.session
        self.scheduler.spawn_supervised(lambda: self.run(session))

    def run(self, session: int) -> None:
        """Open the sockets, start the receiving tasks and drive the member's timers."""
        machine = self.scheduler.machine
        while self.listener is None and session == self.session:
            sock = None
            try:
                sock = machine.udp_socket(self.config.listen)
                sock.bind(self.config.listen)
                sock.setblocking(False)
                self.listener, self.datagram_socket = (
                    open_listener(machine, self.config.listen),
                    sock,
                )
            except OSError as error:
                if sock is not None:
                    sock.close()
                if error.errno not in (errno.EADDRINUSE, errno.EMFILE, errno.ENFILE):
                    self.log.error("no membership", error=str(error))
                self.scheduler.sleep_until(self.clock() + ERROR_DELAY)
        if session != self.session:
            return
        self.log.info(
            "member begins",
            number=self.member.own_identity.generation,
            seeds=len(self.config.seeds),
            listen="%s:%d" % self.config.listen,
        )
        self.scheduler.spawn_supervised(lambda: self.receive_datagrams(session))
        self.scheduler.spawn_supervised(lambda: self.accept_streams(session))
        while session == self.session:
            self.member.tick(self.clock())
            self.flush()
            now = self.clock()
            self.scheduler.sleep_until(
                min(
                    max(self.member.next_deadline(), now + MS),
                    now + self.member.settings.stall_threshold // 4,
                )
            )

    def receive_datagrams(self, session: int) -> None:
        """Process datagrams until the session ends."""
        while session == self.session:
            for _ in range(DATAGRAMS_PER_TURN):
                try:
                    data, source = self.datagram_socket.recvfrom(MAX_MESSAGE_BYTES + 1)
                except BlockingIOError:
                    self.scheduler.wait(self.datagram_socket.fileno(), READ)
                    break
                except OSError:
                    # an ICMP error, or the machine is short of memory
                    self.scheduler.sleep_until(self.clock() + ERROR_DELAY)
                    break
                self.receive_message(data, source)
            else:
                self.scheduler.yield_now()

    def receive_message(self, data: bytes, source):
        """Process the bytes of one datagram or page; return the message, or None if invalid."""
        self.counts["bytes_in"] += len(data)
        try:
            message = self.codec.decode(data)
        except InvalidMessage as error:
            self.counts["forged" if str(error) in ("signature", "key") else "unread"] += 1
            return None
        now = self.clock()
        self.member.advance_clock(now)
        self.member.receive(now, message, source)
        self.flush()
        return message

    def consume_allowance(self, size: int) -> bool:
        """Take `size` bytes from the send allowance; return False if it is too small.

        The limit in bytes per second holds whatever arrives and however large the fleet is, so
        that a flood of messages does not cause a flood of answers.
        """
        now, rate = self.clock(), self.config.bytes_per_s
        self.send_allowance = min(
            rate * BURST_SECONDS,
            self.send_allowance + (now - self.allowance_updated_at) * rate / SECOND,
        )
        self.allowance_updated_at = now
        if self.send_allowance < size:
            self.counts["over_budget"] += 1
            return False
        self.send_allowance -= size
        self.counts["bytes_out"] += size
        return True

    def flush(self) -> None:
        """Send the member's messages, start its syncs and log its events."""
        member = self.member
        outbox, member.outbox = member.outbox, []
        for address, message in outbox:
            data = self.codec.encode(message)
            if self.datagram_socket is not None and self.consume_allowance(len(data)):
                try:
                    self.datagram_socket.sendto(data, address)
                except OSError:
                    pass  # same as a datagram lost in the network
        pending_syncs, member.pending_syncs = member.pending_syncs, []
        for name in pending_syncs:
            self.scheduler.spawn(self.sync_with, name)
        events, member.events = member.events, []
        for event, facts in events:
            self.log.info(event, **facts)

    # Streams: exchange of the full state in both directions, page by page

    def encoded_pages(self):
        """Yield the full state as length-prefixed pages, as far as the allowance reaches."""
        member, rumours = self.member, self.member.all_rumours()
        for offset in range(0, len(rumours), RUMOURS_PER_MESSAGE):
            data = self.codec.encode(
                Message(
                    "word",
                    member.own_identity,
                    member.address,
                    member.standing,
                    rumours=rumours[offset : offset + RUMOURS_PER_MESSAGE],
                )
            )
            if not self.consume_allowance(len(data)):
                return
            yield len(data).to_bytes(PAGE_LENGTH_BYTES, "big") + data

    def sync_with(self, name: str) -> None:
        """Connect to a member and exchange the full state; ignore connection failures."""
        peer = self.member.peers.get(name)
        address, deadline = (
            (peer.address if peer else self.config.seeds.get(name)),
            self.clock() + STREAM_TIMEOUT,
        )
        try:
            stream = connect_stream(
                self.scheduler, address, "stream", self.stream_budget, self.make_stream, deadline
            )
        except (ConnectionBroken, TimedOut, NoDescriptor):
            return
        self.exchange_state(stream, deadline, is_initiator=True)

    @staticmethod
    def make_stream(scheduler, sock, kind, budget):
        """Return a stream whose read buffer holds two messages."""
        return Stream(scheduler, sock, kind, budget, 2 * MAX_MESSAGE_BYTES)

    def accept_streams(self, session: int) -> None:
        """Accept connections and exchange the full state on each, until the session ends."""
        while session == self.session:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self.scheduler.wait(self.listener.fileno(), READ)
                continue
            except OSError:
                self.scheduler.sleep_until(self.clock() + ERROR_DELAY)
                continue
            if not self.stream_budget.acquire("stream"):
                sock.close()
                continue
            self.scheduler.spawn(
                self.exchange_state,
                self.make_stream(self.scheduler, sock, "stream", self.stream_budget),
                self.clock() + STREAM_TIMEOUT,
                False,
            )

    def exchange_state(self, stream, deadline: int, is_initiator: bool) -> None:
        """Send and receive the full state; the initiator sends first."""
        self.counts["streams"] += 1
        try:
            if is_initiator:
                self.send_pages(stream, deadline)
            self.receive_pages(stream, deadline)
            if not is_initiator:
                self.send_pages(stream, deadline)
        except (ConnectionBroken, TimedOut, OSError):
            pass
        finally:
            stream.close()

    def send_pages(self, stream, deadline: int) -> None:
        """Send all pages, then a length of zero as the end mark."""
        for page in self.encoded_pages():
            stream.send(page, deadline)
        stream.send(bytes(PAGE_LENGTH_BYTES), deadline)

    def receive_pages(self, stream, deadline: int) -> None:
        """Process pages up to the end mark; raise ConnectionBroken on an invalid one."""
        for _ in range(MAX_PAGES):
            size = int.from_bytes(self.read_exactly(stream, PAGE_LENGTH_BYTES, deadline), "big")
            if not size:
                return
            if (
                size > MAX_MESSAGE_BYTES
                or self.receive_message(self.read_exactly(stream, size, deadline), None) is None
            ):
                raise ConnectionBroken("invalid page")

    @staticmethod
    def read_exactly(stream, size: int, deadline: int) -> bytes:
        """Return the next `size` bytes of the stream."""
        while len(stream.buffer) < size:
            stream.read(deadline)
        return stream.buffer.take(size)

    # For operators

    def metrics_text(self) -> str:
        """Return the metrics as lines in the format of the admin interface."""
        member = self.member
        states = [peer.state for peer in member.peers.values()]
        rows = [
            ("fleet.alive", member.reached_count() - 1, "g"),
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

    def view_json(self) -> bytes:
        """Return this relay's view of the fleet as JSON: itself, and a row for each member."""
        member, now = self.member, self.clock()
        rows = [
            {
                "name": peer.identity.name,
                "state": peer.state,
                "number": peer.identity.generation,
                "turn": peer.identity.incarnation,
                "since_ms": (now - peer.state_since) // MS,
                "by": peer.reporter,
                "address": "%s:%d" % peer.address,
                "heard_ms": (now - peer.last_heard_at) // MS if peer.last_heard_at else None,
            }
            for peer in member.peers.values()
        ]
        return json.dumps(
            {
                "name": member.own_identity.name,
                "number": member.own_identity.generation,
                "turn": member.own_identity.incarnation,
                "standing": member.standing,
                "since_ms": (now - member.standing_since) // MS,
                "hears": member.heard_count(now),
                "heard_by": member.heard_by_count(now),
                "reached": member.reached_count(),
                "expected": member.expected_count(),
                "members": sorted(rows, key=lambda r: r["name"]),
            }
        ).encode()

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors: the two sockets, and one a stream."""
        return 2 * (self.datagram_socket is not None) + self.stream_budget.total()

    def leave(self) -> None:
        """Announce this relay's departure."""
        self.member.leave(self.clock())
        self.flush()

    def close(self) -> None:
        """Stop taking part and close the sockets; `start` opens them again."""
        self.session += 1
        for sock in (self.datagram_socket, self.listener):
            if sock is not None:
                self.scheduler.cancel_wait(sock.fileno())
                sock.close()
        self.datagram_socket = self.listener = None
