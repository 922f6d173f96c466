"""One relay's two processes on loopback sockets and one clock moved by hand: what passes, and a kill of either at each step."""

import os
import signal
import socket
from dataclasses import replace

import pytest

from molehill import interface, upgrade
from molehill.relay import Process, Start
from molehill.runtime.kernel import Kernel
from molehill.runtime.log import Sink
from molehill.runtime.stream import Broken
from tests.core_harness import MS, SECOND, drain, first_endpoint
from tests.place import Place

ASK = b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: %s\r\nX-Consignee: dest=3\r\nCookie: subject=k\r\nContent-Length: 2\r\n\r\nab"
DONE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Two(Place):
    def __init__(self, folder):
        # schedulers that run; what the file says otherwise by now
        self.live, self.file = [], {}
        super().__init__(folder)
        self.address = self.old.clients.listener.getsockname()
        self.turn()

    def config(self):
        made = super().config(admin="127.0.0.1:1")
        rows = [
            made.settings.callback_classes[0],
            replace(
                made.settings.callback_classes[1],
                semantics=interface.DeliverySemantics.IDEMPOTENT,
                time_limit=30 * SECOND,
            ),
        ]
        return replace(
            made,
            admin=("127.0.0.1", 0),
            settings=replace(made.settings, max_calls=4, callback_classes=rows),
        )

    def start(self):
        """A process that has begun, or, while another has the folder, one that looks for the lock."""
        config = self.config()
        start = Start(config, Kernel(self.clock), Sink())
        signals, other = socket.socketpair()
        signals.setblocking(False)
        self.open += [signals, other]
        self.live.append(start.scheduler)
        if start.lock is None:
            start.successor = upgrade.Successor(start, signals)
            start.successor.begin()
            start.signals, start.given_config = signals, config
            return start
        self.old = self.run(start, config, signals)
        return self.old

    def run(self, start, config, signals):
        process = Process(
            config,
            start.scheduler.machine,
            Sink(),
            lambda _: replace(self.config(), **self.file),
            start,
        )
        process.clients.listen(start.estate and start.estate.listener)
        process.begin(signals)
        return process

    def turn(self, rounds=40):
        for _ in range(rounds):
            for scheduler in [s for s in self.live if not s.stopped]:
                scheduler.turn(block=False)

    def succeed(self, start):
        """Turns both until the next process has the folder, and has it begin."""
        for _ in range(400):
            self.advance(5 * MS)
            if start.scheduler.stopped:
                assert start.found()
                made = self.run(start, start.given_config, start.signals)
                self.advance(10 * MS)
                return made
        raise AssertionError("no lock came")

    def client(self, data=b""):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.open.append(sock)
        sock.send(data) if data else None
        self.advance(20 * MS)
        return sock

    def calls(self):
        """Accepts what has come to the host; gives its connections."""
        found = []
        for _ in range(20):
            self.advance(5 * MS)
            try:
                found.append(self.host.accept()[0])
            except BlockingIOError:
                continue
            found[-1].setblocking(False)
            self.open.append(found[-1])
        return found


@pytest.fixture
def two(tmp_path):
    made = Two(tmp_path)
    yield made
    made.close()


def test_calls_connections_and_what_is_learnt_pass_and_nothing_runs_twice_or_is_cut(two):
    clients = [two.client(ASK % (b"id%d" % n, b"notice" if n < 2 else b"plain")) for n in range(4)]
    assert all(b"202" in drain(sock) for sock in clients)
    hosts = two.calls()
    texts = [drain(sock) for sock in hosts]
    ids = [text.split(b"Req-Id: ")[1][:3] for text in texts]
    assert (
        len(ids) == 2 and b"id0" in ids and b"id1" not in ids
    ), "a key's next waits, the window is two"
    hosts[0].send(DONE[:20])
    hosts[1].send(DONE[:-1])  # half an answer, in its head and in its body
    half, whole, silent = (
        two.client((ASK % (b"id5", b"plain"))[:30]),
        two.client((ASK % (b"id4", b"plain"))[:-1]),
        two.client(),
    )
    limiter = first_endpoint(two.old.core.module).limiter
    limiter.window = 2.5
    new = two.succeed(two.start())
    assert (
        two.old.given
        and not two.old.can_serve()
        and new.can_serve()
        and first_endpoint(new.core.module).limiter.window == 2.5
    )
    assert new.core.module.state.calls_in_flight == 2 and sorted(new.core.callbacks) == [
        "id0",
        "id1",
        "id2",
        "id3",
    ]
    for sock, rest in ((hosts[0], DONE[20:]), (hosts[1], DONE[-1:])):
        assert drain(sock) == b"", "no connection is closed and nothing is written again"
        sock.send(rest)
    two.advance(50 * MS)
    assert (
        new.core.metrics.end_counts["notice"]["fulfilled"]
        + new.core.metrics.end_counts["plain"]["fulfilled"]
        == 2
    )
    assert all(
        b"Req-Id" in drain(sock) for sock in hosts
    ), "kept connections go on, in order of the key"
    half.send((ASK % (b"id5", b"plain"))[30:])
    whole.send(b"b")
    silent.send(ASK % (b"id6", b"plain"))
    clients[0].send(ASK % (b"id7", b"notice"))
    late = two.client(ASK % (b"id8", b"plain"))
    assert all(b"202" in drain(sock) for sock in (half, whole, silent, clients[0], late))
    assert {"id4", "id5", "id6", "id7", "id8"} <= set(new.core.callbacks)
    two.old.on_signal(15)
    two.turn()
    assert two.old.scheduler.stopped and len(new.hosts.running_calls) == 3
    third = two.succeed(two.start())  # and once more
    assert third.can_serve() and set(third.core.callbacks) == set(new.core.callbacks)


def test_a_call_that_is_not_written_whole_is_launched_again_and_one_over_in_a_call_rests_its_key(
    two,
):
    two.client(ASK % (b"id0", b"notice"))
    running = two.old.hosts.running_calls[1]
    running.is_written = False  # as while its connection comes up
    new = two.succeed(two.start())
    assert new.core.callbacks["id0"].attempts <= 1 and len(two.calls()) >= 1
    assert new.core.metrics.relayed <= 1 and not new.core.callbacks["id0"].ran_at


ROWS = 11


@pytest.mark.parametrize("who", ["new", "old"])
@pytest.mark.parametrize("step", range(ROWS))
def test_a_kill_of_either_process_at_each_step_loses_nothing(two, monkeypatch, who, step):
    """Danger: two owners, or none. Whoever is left serves, holds all that was taken on, and writes the log alone."""
    for n in range(3):
        assert b"202" in drain(two.client(ASK % (b"id%d" % n, b"plain")))
    # and one has ended by a notice that is not answered
    owed = two.old.core.callbacks["id2"]
    two.old.core.effects = []
    two.old.core._end_callback(owed, True, 0)
    two.old.core.inbox.append(interface.CallbackWithdrawn("id2"))
    two.old.engine.carry(two.old.core.effects)
    hosts, seen, take = two.calls(), [], upgrade.Successor.take

    def new_dies(self, estate, message, body, fd):
        more = take(self, estate, message, body, fd)
        seen.append(message["k"])
        if len(seen) == step + 1:
            raise Broken("killed")  # closes what the kernel would
        return more

    def old_dies(self, message, until, body=b"", fd=None):
        seen.append(message["k"])
        if len(seen) != step + 2:  # its own first word is the hello
            return send(self, message, until, body, fd)
        two.live.remove(two.old.scheduler)
        for sock in [s.sock for s in two.old.hosts.streams.values()] + [
            two.old.clients.listener,
            two.old.handover_server.listener,
            self.sock,
        ]:
            sock.close()
        os.close(two.old.lock)
        two.old.scheduler.hub.switch()

    send = upgrade.Line.send
    if who == "new":
        monkeypatch.setattr(upgrade.Successor, "take", new_dies)
        start = two.start()
        two.live.remove(start.scheduler)
        for _ in range(60):
            start.scheduler.turn(block=False)
            two.advance(5 * MS)
            if len(seen) > step:
                break
        monkeypatch.undo()
        two.advance(200 * MS)
        left = two.old
        assert not two.calls(), "each call goes on where it was, on its own connection"
    else:
        monkeypatch.setattr(upgrade.Line, "send", old_dies)
        start = two.start()
        left = two.succeed(start)
        two.address = left.clients.listener.getsockname()
    assert len(seen) > step, "every step there is was cut off"
    assert left.can_serve() and {"id0", "id1", "id2"} == set(left.core.callbacks)
    assert b"202" in drain(two.client(ASK % (b"id3", b"plain")))
    for _ in range(12):
        for sock in hosts + two.calls():
            hosts.append(sock) if sock not in hosts else None
            if drain(sock):
                sock.send(DONE)
        two.advance(500 * MS)
    assert (
        list(left.core.callbacks) == ["id2"] == list(left.notices.unanswered)
        and left.core.metrics.end_counts["plain"]["fulfilled"] == 3
    )


def test_a_file_that_only_the_old_process_was_told_of_counts_in_the_new_one(two):
    start, made = two.start(), two.config()  # it has read the file by now
    two.file = {
        "settings": replace(
            made.settings, max_attempts=2, callback_classes=made.settings.callback_classes[:1]
        ),
        "categories": {"notice": 0},
    }
    two.old.on_signal(1)
    new = two.succeed(start)
    assert (
        new.core.settings.max_attempts == 2 == new.core.module.state.settings.max_attempts
        and new.config.categories == {"notice": 0}
    )
    assert b"400" in drain(two.client(ASK % (b"id0", b"plain"))) and b"202" in drain(
        two.client(ASK % (b"id1", b"notice"))
    )


@pytest.mark.parametrize("step", [0, 5, ROWS - 1])
def test_one_that_hangs_midway_is_not_waited_for_and_can_never_write_later(two, monkeypatch, step):
    """Danger: it wakes after the old one has gone on, and takes itself for the owner. Its word finds no line any more."""
    for n in range(3):
        two.client(ASK % (b"id%d" % n, b"plain"))
    seen, take, waking = [], upgrade.Successor.take, []

    def hangs(self, estate, message, body, fd):
        seen.append(message["k"])
        if len(seen) == step + 1:
            two.live.remove(start.scheduler)
            waking.append(start.scheduler)
            start.scheduler.sleep(two.clock.now)  # its next turn comes when it wakes
        return take(self, estate, message, body, fd)

    monkeypatch.setattr(upgrade.Successor, "take", hangs)
    start = two.start()
    two.advance(3 * SECOND)
    assert waking and two.old.can_serve() and not two.old.given and not two.old.engine.busy
    assert b"202" in drain(two.client(ASK % (b"id3", b"plain")))
    two.live += waking
    # asked again, the old one hands over after all
    new = two.succeed(start)
    assert two.old.given and set(new.core.callbacks) | set(new.core.recently_completed) >= {
        "id0",
        "id1",
        "id2",
        "id3",
    }


def test_one_killed_right_after_its_word_leaves_all_to_the_next_start(two, monkeypatch):
    for n in range(3):
        two.client(ASK % (b"id%d" % n, b"plain"))
    send, take, got = upgrade.Line.send, upgrade.Successor.take, []
    monkeypatch.setattr(
        upgrade.Successor,
        "take",
        lambda self, estate, *row: (got.append(estate), take(self, estate, *row))[1],
    )

    def last(self, message, *rest, **more):
        send(self, message, *rest, **more)
        if message["k"] == "mine":
            two.live.remove(start.scheduler)
            self.sock.close()
            start.scheduler.hub.switch()

    monkeypatch.setattr(upgrade.Line, "send", last)
    start = two.start()
    two.advance(100 * MS)
    assert two.old.given and not two.old.can_serve()
    monkeypatch.undo()
    # what the kernel closes with a process
    got[-1].close(Kernel())
    third = two.start()
    two.advance(20 * MS)
    assert third.can_serve() and set(third.core.callbacks) == {"id0", "id1", "id2"}


@pytest.mark.parametrize(
    "reply", [None, b'{"k":"no","why":"version 9"}\n', b"noise", b'{"k":"odd"}\n', b"[]\n"]
)
def test_a_process_that_says_nothing_or_another_language_is_waited_for_and_the_lock_decides(
    two, reply, monkeypatch
):
    two.live.remove(two.old.scheduler)  # it hangs
    start = two.start()
    for _ in range(60):
        two.advance(50 * MS)
        try:
            sock, _ = two.old.handover_server.listener.accept()
        except BlockingIOError:
            continue
        two.open.append(sock)
        sock.send(reply) if reply else None
    assert not start.scheduler.stopped and Kernel().disk.lock(two.folder) is None
    two.old.handover_server.listener.close()
    two.old.clients.listener.close()
    os.close(two.old.lock)
    assert two.succeed(start).can_serve()


def test_told_to_end_while_it_waits_it_ends_and_the_other_goes_on(two):
    two.live.remove(two.old.scheduler)
    start = two.start()
    two.open[-1].send(bytes([1, 15]))
    two.advance(50 * MS)
    assert start.scheduler.stopped and not start.found()


def test_a_file_that_is_read_in_the_middle_of_a_hand_over_counts_for_the_next_process(two):
    """Danger: SIGHUP comes once the rows are made, and discovery's new address is known to nobody who serves."""
    old, moved = two.old, two.listener().getsockname()
    give = old.give

    def crossed(began):
        rows = give(began)
        two.file = {"discovery": moved, "discovery_in_file": "%s:%d" % moved}
        old.on_signal(signal.SIGHUP)
        return rows

    old.give = crossed
    made = two.succeed(two.start())
    assert made.config.discovery == moved and made.discovery.address_changes == 1


@pytest.mark.parametrize("moment", ["lock", "mine"])
def test_a_start_that_is_told_to_end_as_it_takes_over_drops_nothing(two, monkeypatch, moment):
    """Danger: it has every connection by then, or is about to, and ends with all of them unanswered."""
    client = two.client()
    start = two.start()
    other, send, take = two.open[-1], upgrade.Line.send, upgrade.Successor.take

    def told_then_takes(self, estate, message, body, fd):
        if message["k"] == moment:
            self.heard(bytes([signal.SIGTERM]))
        return take(self, estate, message, body, fd)

    def sends_then_told(self, message, *given, **named):
        send(self, message, *given, **named)
        if message["k"] == moment:
            other.send(bytes([signal.SIGTERM]))

    monkeypatch.setattr(upgrade.Successor, "take", told_then_takes)
    monkeypatch.setattr(upgrade.Line, "send", sends_then_told)
    two.advance(100 * MS)
    assert start.scheduler.stopped
    if start.found():
        made = two.run(start, start.given_config, start.signals)
        two.advance(10 * MS)
        assert made.shutdown.told is not None
    client.send(ASK % (b"id1", b"notice"))
    two.advance(100 * MS)
    assert b" 202 " in (drain(client) or b"")
