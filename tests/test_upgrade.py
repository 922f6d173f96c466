"""Upgrades of one relay, with both processes on loopback sockets and one manual clock.

The tests check what is handed over, and a kill of either process at each step.
"""

import os
import select
import signal
import socket
from dataclasses import replace

import pytest

from molehill import interface, upgrade
from molehill.relay import Process, Startup
from molehill.runtime.kernel import Kernel
from molehill.runtime.log import Sink
from molehill.runtime.stream import ConnectionBroken
from tests.core_harness import MS, SECOND, drain, first_endpoint
from tests.harness import RelayHarness

REQUEST = b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: %s\r\nX-Consignee: dest=3\r\nCookie: subject=k\r\nContent-Length: 2\r\n\r\nab"
DELIVERED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class UpgradeHarness(RelayHarness):
    """A relay whose processes run in turn; `old` is the one that served first."""

    def __init__(self, folder):
        # `reloaded_values`: fields of the configuration that the file has changed since the start.
        self.running_schedulers, self.reloaded_values = [], {}
        super().__init__(folder)
        self.address = self.old.clients.listener.getsockname()
        self.run_rounds()

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

    def start_process(self):
        """Starts a process; returns its Startup, which waits, if another process has the lock."""
        config = self.config()
        startup = Startup(config, Kernel(self.clock), Sink())
        signals, other = socket.socketpair()
        signals.setblocking(False)
        self.open_sockets += [signals, other]
        self.running_schedulers.append(startup.scheduler)
        if startup.lock is None:
            startup.successor = upgrade.Successor(startup, signals)
            startup.successor.begin()
            startup.signals, startup.given_config = signals, config
            return startup
        self.old = self.begin_process(startup, config, signals)
        return self.old

    def begin_process(self, startup, config, signals):
        """Returns a process that serves, from a Startup that has the lock and the log."""
        process = Process(
            config,
            startup.scheduler.machine,
            Sink(),
            lambda _: replace(self.config(), **self.reloaded_values),
            startup,
        )
        process.clients.listen(startup.handover and startup.handover.listener)
        process.begin_serving(signals)
        return process

    def run_rounds(self, rounds=40):
        for _ in range(rounds):
            for scheduler in [s for s in self.running_schedulers if not s.stopped]:
                scheduler.run_once(block=False)

    def finish_upgrade(self, startup):
        """Runs both processes until the next one has the folder; returns it when it serves."""
        for _ in range(400):
            self.advance(5 * MS)
            if startup.scheduler.stopped:
                assert startup.finish_wait()
                made = self.begin_process(startup, startup.given_config, startup.signals)
                self.advance(10 * MS)
                return made
        raise AssertionError("no lock came")

    def connect_client(self, data=b""):
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self.open_sockets.append(sock)
        sock.send(data) if data else None
        self.advance(20 * MS)
        return sock

    def accept_calls(self):
        """Accepts the connections to the host within 100 ms; returns them."""
        found = []
        for _ in range(20):
            self.advance(5 * MS)
            try:
                found.append(self.host.accept()[0])
            except BlockingIOError:
                continue
            found[-1].setblocking(False)
            self.open_sockets.append(found[-1])
        return found


@pytest.fixture
def harness(tmp_path):
    made = UpgradeHarness(tmp_path)
    yield made
    made.close()


def test_upgrade_keeps_calls_connections_and_learned_state(harness):
    clients = [
        harness.connect_client(REQUEST % (b"id%d" % n, b"notice" if n < 2 else b"plain"))
        for n in range(4)
    ]
    assert all(b"202" in drain(sock) for sock in clients)
    hosts = harness.accept_calls()
    texts = [drain(sock) for sock in hosts]
    ids = [text.split(b"Req-Id: ")[1][:3] for text in texts]
    assert (
        len(ids) == 2 and b"id0" in ids and b"id1" not in ids
    ), "the next callback of a key waits, the window is two"
    hosts[0].send(DELIVERED[:20])
    hosts[1].send(DELIVERED[:-1])  # partial answers, one ends in its head and one in its body
    half, whole, silent = (
        harness.connect_client((REQUEST % (b"id5", b"plain"))[:30]),
        harness.connect_client((REQUEST % (b"id4", b"plain"))[:-1]),
        harness.connect_client(),
    )
    limiter = first_endpoint(harness.old.core.module).limiter
    limiter.window = 2.5
    harness.old.hosts.answer_variety.any_is_varied = True  # other hosts have shown it
    new = harness.finish_upgrade(harness.start_process())
    assert (
        harness.old.handed_over
        and not harness.old.can_serve()
        and new.can_serve()
        and first_endpoint(new.core.module).limiter.window == 2.5
    )
    assert new.core.module.state.calls_in_flight == 2 and sorted(new.core.callbacks) == [
        "id0",
        "id1",
        "id2",
        "id3",
    ]
    for sock, rest in ((hosts[0], DELIVERED[20:]), (hosts[1], b"!")):  # two bodies that differ
        assert drain(sock) == b"", "no connection is closed and nothing is written again"
        sock.send(rest)
    harness.advance(50 * MS)
    assert (
        new.core.metrics.end_counts["notice"]["fulfilled"]
        + new.core.metrics.end_counts["plain"]["fulfilled"]
        == 2
    )
    assert all(
        b"Req-Id" in drain(sock) for sock in hosts
    ), "kept connections go on, in order of the key"
    half.send((REQUEST % (b"id5", b"plain"))[30:])
    whole.send(b"b")
    silent.send(REQUEST % (b"id6", b"plain"))
    clients[0].send(REQUEST % (b"id7", b"notice"))
    late = harness.connect_client(REQUEST % (b"id8", b"plain"))
    assert all(b"202" in drain(sock) for sock in (half, whole, silent, clients[0], late))
    assert {"id4", "id5", "id6", "id7", "id8"} <= set(new.core.callbacks)
    harness.old.handle_signal(15)
    harness.run_rounds()
    assert harness.old.scheduler.stopped and len(new.hosts.running_calls) == 3
    third = harness.finish_upgrade(harness.start_process())  # and once more
    assert third.can_serve() and set(third.core.callbacks) == set(new.core.callbacks)


def send_answer(harness, process, host, data):
    """Sends from a host and runs the process once the data has arrived at its only call."""
    (stream,) = process.hosts.streams.values()
    host.send(data)
    poller = select.poll()
    poller.register(stream.sock, select.POLLIN)
    assert poller.poll(5000)
    harness.advance(20 * MS)


@pytest.mark.parametrize("is_answered", [True, False])
def test_an_id_that_comes_again_at_the_next_process_runs_once(harness, is_answered):
    """Its client has left, with more of its requests unread, before or after it was delivered."""
    client = harness.connect_client(REQUEST % (b"id0", b"notice"))
    (host,) = harness.accept_calls()
    assert b"id0" in drain(host)
    client.send(b"GET")
    client.close()
    if is_answered:
        send_answer(harness, harness.old, host, DELIVERED)
    new = harness.finish_upgrade(harness.start_process())
    again = harness.connect_client(REQUEST % (b"id0", b"notice"))
    assert b" 202 " in drain(again)
    if not is_answered:
        send_answer(harness, new, host, DELIVERED)
    assert not harness.accept_calls() and not new.core.callbacks
    assert not drain(host), "its connection carries no second call"


def test_late_copy_after_upgrade_ends_no_call(harness):
    """The next process must know what a connection that it takes over has answered."""
    answers = [DELIVERED.replace(b"ok", b"%d%d" % (n, n)) for n in range(2)]
    harness.old.hosts.answer_variety.any_is_varied = True
    client = harness.connect_client(REQUEST % (b"id0", b"plain"))
    (host,) = harness.accept_calls()
    assert b"id0" in drain(host)
    send_answer(harness, harness.old, host, answers[0])
    new = harness.finish_upgrade(harness.start_process())  # the connection is idle
    client.send(REQUEST % (b"id1", b"plain"))
    harness.read_until(host, b"Req-Id: id1")
    send_answer(harness, new, host, answers[0])
    third = harness.finish_upgrade(harness.start_process())  # the call is out
    send_answer(harness, third, host, answers[0])
    assert list(third.core.callbacks) == ["id1"]
    send_answer(harness, third, host, answers[1])
    assert not third.core.callbacks and third.hosts.idle_connections["h1"], "it is used again"


def test_unwritten_call_is_sent_again_after_upgrade(
    harness,
):
    harness.connect_client(REQUEST % (b"id0", b"notice"))
    running = harness.old.hosts.running_calls[1]
    running.is_written = False  # as while its connection is being established
    new = harness.finish_upgrade(harness.start_process())
    assert new.core.callbacks["id0"].attempts <= 1 and len(harness.accept_calls()) >= 1
    assert new.core.metrics.relayed <= 1 and not new.core.callbacks["id0"].ran_at


ROWS = 13


@pytest.mark.parametrize("who", ["new", "old"])
@pytest.mark.parametrize("step", range(ROWS))
def test_kill_at_any_handover_step_loses_nothing(harness, monkeypatch, who, step):
    """A kill must not lead to two owners or none.

    The process that is left serves, has all accepted callbacks, and alone writes the log.
    """
    for n in range(3):
        assert b"202" in drain(harness.connect_client(REQUEST % (b"id%d" % n, b"plain")))
    # One of them has ended by a notice that is not answered.
    owed = harness.old.core.callbacks["id2"]
    harness.old.core.effects = []
    harness.old.core._end_callback(owed, True, 0)
    harness.old.core.inbox.append(interface.CallbackWithdrawn("id2"))
    harness.old.engine.execute_effects(harness.old.core.effects)
    hosts, seen, receive_row = harness.accept_calls(), [], upgrade.Successor.receive_row

    def new_dies(self, handover, message, body, fd):
        more = receive_row(self, handover, message, body, fd)
        seen.append(message["k"])
        if len(seen) == step + 1:
            raise ConnectionBroken("killed")  # closes what the kernel would close
        return more

    def old_dies(self, message, until, body=b"", fd=None):
        if message["k"] in ("hello", "ready", "mine"):  # of the new process
            return send(self, message, until, body, fd)
        seen.append(message["k"])
        if len(seen) != step + 1:
            return send(self, message, until, body, fd)
        harness.running_schedulers.remove(harness.old.scheduler)
        for sock in [s.sock for s in harness.old.hosts.streams.values()] + [
            harness.old.clients.listener,
            harness.old.handover_server.listener,
            self.sock,
        ]:
            sock.close()
        os.close(harness.old.lock)
        harness.old.scheduler.hub.switch()

    send = upgrade.MessageChannel.send
    if who == "new":
        monkeypatch.setattr(upgrade.Successor, "receive_row", new_dies)
        startup = harness.start_process()
        harness.running_schedulers.remove(startup.scheduler)
        for _ in range(60):
            startup.scheduler.run_once(block=False)
            harness.advance(5 * MS)
            if len(seen) > step:
                break
        monkeypatch.undo()
        harness.advance(200 * MS)
        left = harness.old
        assert not harness.accept_calls(), "each call goes on where it was, on its own connection"
    else:
        monkeypatch.setattr(upgrade.MessageChannel, "send", old_dies)
        startup = harness.start_process()
        left = harness.finish_upgrade(startup)
        harness.confirm_list(left)
        harness.address = left.clients.listener.getsockname()
    assert len(seen) > step, "the kill at this step took place"
    assert left.can_serve() and {"id0", "id1", "id2"} == set(left.core.callbacks)
    assert b"202" in drain(harness.connect_client(REQUEST % (b"id3", b"plain")))
    for _ in range(12):
        for sock in hosts + harness.accept_calls():
            hosts.append(sock) if sock not in hosts else None
            if drain(sock):
                sock.send(DELIVERED)
        harness.advance(500 * MS)
    assert (
        list(left.core.callbacks) == ["id2"] == list(left.notices.unanswered)
        and left.core.metrics.end_counts["plain"]["fulfilled"] == 3
    )


def test_new_process_applies_file_reloaded_by_the_old(harness):
    startup, made = harness.start_process(), harness.config()  # the new process has read the file
    harness.reloaded_values = {
        "settings": replace(
            made.settings, max_attempts=2, callback_classes=made.settings.callback_classes[:1]
        ),
        "callback_classes": {"notice": 0},
    }
    harness.old.handle_signal(1)
    new = harness.finish_upgrade(startup)
    assert (
        new.core.settings.max_attempts == 2 == new.core.module.state.settings.max_attempts
        and new.config.callback_classes == {"notice": 0}
    )
    assert b"400" in drain(
        harness.connect_client(REQUEST % (b"id0", b"plain"))
    ) and b"202" in drain(harness.connect_client(REQUEST % (b"id1", b"notice")))


@pytest.mark.parametrize("step", [0, 5, ROWS - 1])
def test_successor_that_hangs_can_never_write_later(harness, monkeypatch, step):
    """A successor that wakes after the old process has resumed must not take itself for the owner.

    Its `mine` finds the connection closed.
    """
    for n in range(3):
        harness.connect_client(REQUEST % (b"id%d" % n, b"plain"))
    seen, receive_row, waking = [], upgrade.Successor.receive_row, []

    def hangs(self, handover, message, body, fd):
        seen.append(message["k"])
        if len(seen) == step + 1:
            harness.running_schedulers.remove(startup.scheduler)
            waking.append(startup.scheduler)
            startup.scheduler.sleep_until(harness.clock.now)  # it goes on when it wakes
        return receive_row(self, handover, message, body, fd)

    monkeypatch.setattr(upgrade.Successor, "receive_row", hangs)
    startup = harness.start_process()
    harness.advance(3 * SECOND)
    assert (
        waking
        and harness.old.can_serve()
        and not harness.old.handed_over
        and not harness.old.engine.is_busy
    )
    assert b"202" in drain(harness.connect_client(REQUEST % (b"id3", b"plain")))
    harness.running_schedulers += waking
    # Asked again, the old process hands over.
    new = harness.finish_upgrade(startup)
    assert harness.old.handed_over and set(new.core.callbacks) | set(
        new.core.recently_completed
    ) >= {
        "id0",
        "id1",
        "id2",
        "id3",
    }


def test_kill_after_confirmation_leaves_all_to_next_start(harness, monkeypatch):
    for n in range(3):
        harness.connect_client(REQUEST % (b"id%d" % n, b"plain"))
    send, receive_row, got = upgrade.MessageChannel.send, upgrade.Successor.receive_row, []
    monkeypatch.setattr(
        upgrade.Successor,
        "receive_row",
        lambda self, handover, *row: (got.append(handover), receive_row(self, handover, *row))[1],
    )

    def last(self, message, *rest, **more):
        send(self, message, *rest, **more)
        if message["k"] == "mine":
            harness.running_schedulers.remove(startup.scheduler)
            self.sock.close()
            startup.scheduler.hub.switch()

    monkeypatch.setattr(upgrade.MessageChannel, "send", last)
    startup = harness.start_process()
    harness.advance(100 * MS)
    assert harness.old.handed_over and not harness.old.can_serve()
    monkeypatch.undo()
    # Closes what the kernel closes when a process ends.
    got[-1].close(Kernel())
    third = harness.start_process()
    harness.advance(20 * MS)
    assert third.can_serve() and set(third.core.callbacks) == {"id0", "id1", "id2"}


@pytest.mark.parametrize(
    "reply", [None, b'{"k":"no","why":"version 9"}\n', b"noise", b'{"k":"odd"}\n', b"[]\n"]
)
def test_unintelligible_process_is_waited_for_until_lock_is_free(harness, reply, monkeypatch):
    harness.running_schedulers.remove(harness.old.scheduler)  # it hangs
    startup = harness.start_process()
    for _ in range(60):
        harness.advance(50 * MS)
        try:
            sock, _ = harness.old.handover_server.listener.accept()
        except BlockingIOError:
            continue
        harness.open_sockets.append(sock)
        sock.send(reply) if reply else None
    assert not startup.scheduler.stopped and Kernel().disk.lock(harness.folder) is None
    harness.old.handover_server.listener.close()
    harness.old.clients.listener.close()
    os.close(harness.old.lock)
    assert harness.finish_upgrade(startup).can_serve()


def test_sigterm_while_waiting_for_lock_ends_only_successor(harness):
    harness.running_schedulers.remove(harness.old.scheduler)
    startup = harness.start_process()
    harness.open_sockets[-1].send(bytes([1, 15]))
    harness.advance(50 * MS)
    assert startup.scheduler.stopped and not startup.finish_wait()


def test_sighup_during_handover_applies_to_new_process(harness):
    """Discovery's new address must not be lost if SIGHUP comes after the rows were prepared."""
    old, moved = harness.old, harness.open_listener().getsockname()
    prepare_handover = old.prepare_handover

    def crossed(*given):
        rows = prepare_handover(*given)
        harness.reloaded_values = {"discovery": moved, "discovery_in_file": "%s:%d" % moved}
        old.handle_signal(signal.SIGHUP)
        return rows

    old.prepare_handover = crossed
    made = harness.finish_upgrade(harness.start_process())
    assert made.config.discovery == moved and made.discovery.address_changes == 1


@pytest.mark.parametrize("moment", ["lock", "mine"])
def test_sigterm_during_takeover_drops_no_connection(harness, monkeypatch, moment):
    """A new process that gets SIGTERM must not end with its connections unanswered.

    At these moments it has every connection, or is about to get them.
    """
    client = harness.connect_client()
    startup = harness.start_process()
    other, send, receive_row = (
        harness.open_sockets[-1],
        upgrade.MessageChannel.send,
        upgrade.Successor.receive_row,
    )

    def told_then_takes(self, handover, message, body, fd):
        if message["k"] == moment:
            self.record_signals(bytes([signal.SIGTERM]))
        return receive_row(self, handover, message, body, fd)

    def sends_then_told(self, message, *given, **named):
        send(self, message, *given, **named)
        if message["k"] == moment:
            other.send(bytes([signal.SIGTERM]))

    monkeypatch.setattr(upgrade.Successor, "receive_row", told_then_takes)
    monkeypatch.setattr(upgrade.MessageChannel, "send", sends_then_told)
    harness.advance(100 * MS)
    assert startup.scheduler.stopped
    if startup.finish_wait():
        made = harness.begin_process(startup, startup.given_config, startup.signals)
        harness.advance(10 * MS)
        assert made.shutdown.requested_at is not None
    client.send(REQUEST % (b"id1", b"notice"))
    harness.advance(100 * MS)
    assert b" 202 " in (drain(client) or b"")
