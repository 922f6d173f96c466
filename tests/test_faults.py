"""One whole relay under system call errors, a disk that fails for a while, or a wall-clock step.

The system calls fail with errors that Linux documents for them.
"""

import errno
import json
import signal
import socket
import time
from dataclasses import replace
from itertools import count
from threading import Timer

import pytest

from molehill import interface, log_clock
from molehill.config import ConfigError
from molehill.core import events as ev
from molehill.log_clock import EpochSource
from molehill.relay import Process, Startup
from molehill.runtime.kernel import Disk, Kernel
from molehill.runtime.log import Sink
from molehill.runtime.stream import Stream
from molehill.store import Store
from molehill.upgrade import Successor
from tests.core_harness import MS, SECOND, ManualClock, drain, net_config
from tests.harness import REQUEST, RelayHarness, delivered, kill_and_restart
from tests.test_races import accept_and_read

HOUR = 3600 * SECOND


class FailingDisk(Disk):
    """A disk that fails as the test says.

    `failing`: operation -> errno that it raises; `left`: bytes that writes still accept before they
    fail, None for no limit.
    """

    def __init__(self):
        self.failing, self.left = {}, None

    def __getattribute__(self, name):
        failing = object.__getattribute__(self, "__dict__").get("failing") or {}
        if name in failing:

            def fail(*_, **__):
                raise OSError(failing[name], name)

            return fail
        return object.__getattribute__(self, name)

    def write(self, fd, data):
        if self.left is None:
            return Disk.write(fd, data)
        if not self.left:
            raise OSError(errno.EIO, "write")
        count = Disk.write(fd, bytes(data)[: self.left])
        self.left -= count
        return count


@pytest.fixture
def failing_harness(tmp_path):
    """A relay whose disk fails as the test says."""
    disk = FailingDisk()

    def machine(clock):
        made = Kernel(clock)
        made.disk = disk
        return made

    harness = RelayHarness(tmp_path, machine)
    harness.disk = disk
    yield harness
    harness.close()


def submit(harness, client, ident, wanted=b"HTTP/1.1 202"):
    """Sends a request with this id and reads up to the answer."""
    client.send(REQUEST % ident)
    return harness.read_until(client, wanted)


@pytest.mark.parametrize("torn", [1, 30, 100])
def test_callbacks_accepted_after_torn_record_survive_kill(failing_harness, torn):
    """Records must not be written behind a torn one, where the next start would not read them.

    This happens if a write fails halfway and the truncation after it fails too.
    """
    client, disk = failing_harness.connect_client(), failing_harness.disk
    submit(failing_harness, client, b"before")
    disk.left, disk.failing = torn, {"truncate": errno.EIO, "open": errno.EIO}
    client.send(REQUEST % b"torn")
    failing_harness.read_until(client, b"HTTP/1.1 503")
    disk.left = None
    taken = []
    for number in range(10):
        client.send(REQUEST % b"after%d" % number)
        if b" 202 " in failing_harness.read_until(client, b"HTTP/1.1 "):
            taken.append(f"after{number}")
    disk.failing = {}
    kill_and_restart(failing_harness)
    assert list(failing_harness.relay.core.callbacks) == ["before", *taken]


@pytest.fixture
def stepped_harness(tmp_path, monkeypatch):
    """A relay on the kernel's clocks, both set by the test.

    `wall_offset[0]`: nanoseconds from the monotonic to the wall clock.
    """
    clock, wall_offset = ManualClock(), [1_700_000_000 * SECOND]
    monkeypatch.setattr(time, "monotonic_ns", clock)
    monkeypatch.setattr(time, "time_ns", lambda: clock.now + wall_offset[0])
    harness = RelayHarness(tmp_path, lambda _: Kernel())
    harness.clock, harness.wall_offset = clock, wall_offset
    yield harness
    harness.close()


@pytest.mark.parametrize("step", [HOUR, -HOUR, -10 * SECOND])
def test_wall_clock_step_moves_no_deadline_over_restart(stepped_harness, step):
    """A step of the wall clock must not move deadlines.

    A deadline kept as wall time would end a callback without an attempt, or leave an overdue one
    without its notice.
    """
    client = stepped_harness.connect_client()
    submit(stepped_harness, client, b"id1")
    stepped_harness.advance(SECOND, 50 * MS)
    stepped_harness.wall_offset[0] += step
    kill_and_restart(stepped_harness)
    assert not stepped_harness.relay.notices.unanswered
    stepped_harness.confirm_list()
    accept_and_read(stepped_harness, stepped_harness.host, b"Req-Id: id1")
    stepped_harness.clock.now += 15 * SECOND  # the relay does not run until it is killed
    stepped_harness.wall_offset[0] += step
    kill_and_restart(stepped_harness)
    stepped_harness.advance(100 * MS)
    assert list(stepped_harness.relay.notices.unanswered) == ["id1"]


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.EOPNOTSUPP]
)
def test_accept_errors_do_not_block_other_connections(harness, code):
    """An accept loop that retries an error without a wait would block the whole relay."""
    client, calls, listener = harness.connect_client(), [0], harness.relay.clients.listener
    harness.advance(10 * MS)

    class Failing:
        fileno = staticmethod(listener.fileno)

        @staticmethod
        def accept():
            calls[0] += 1
            if calls[0] < 10_000:
                raise OSError(code, "accept")
            return listener.accept()

    harness.relay.clients.listener = Failing()
    other = socket.create_connection(harness.address)
    harness.open_sockets.append(other)
    before = calls[0]
    submit(harness, client, b"id1")
    harness.advance(SECOND)
    assert (
        drain(client) == b"" and calls[0] - before < 300
    ), "the loop neither blocks other connections nor takes all processor time"


def test_shutdown_accepts_connections_after_aborted_one(harness):
    """An aborted connection must not end the last accept loop before the listener closes.

    The connections behind it would be reset.
    """
    listener, codes = harness.relay.clients.listener, [errno.ECONNABORTED, errno.EPROTO]
    harness.relay.scheduler.cancel_wait(listener.fileno())

    class Failing:
        fileno, close = staticmethod(listener.fileno), staticmethod(listener.close)

        @staticmethod
        def accept():
            if codes:
                raise OSError(codes.pop(), "accept")
            return listener.accept()

    client = harness.connect_client()
    client.send(REQUEST % b"id1")
    harness.relay.clients.listener = Failing()
    harness.relay.clients.stop_accepting()
    assert b"Connection: close" in harness.read_until(client, b"HTTP/1.1 202")


def wait_for_process(folder, disk, signals):
    """Starts a process with this disk and waits for it; returns None if it was told to end."""
    machine = Kernel()
    machine.disk = disk
    config = replace(net_config(state=str(folder)), listen=("127.0.0.1", 0))
    startup = Startup(config, machine, Sink())
    if not startup.wait_until_ready(config, signals):
        return None
    return Process(config, machine, Sink(), lambda old: old, startup)


@pytest.fixture
def signals():
    """A socket pair: the end on which a process receives signals, and the other end."""
    pair = socket.socketpair()
    pair[0].setblocking(False)
    yield pair
    for side in pair:
        side.close()


@pytest.mark.parametrize(
    "calls",
    [
        ("write", "truncate"),
        ("seek", "truncate"),
        ("open",),
        ("read",),
        ("lock",),
        ("makedirs", "unlink"),
    ],
)
def test_start_waits_for_failing_disk(tmp_path, signals, calls, capfd):
    """A restart while the disk fails for a second must not be a relay that will not start."""
    store = Store(str(tmp_path), 100_000, Disk())
    store.append([({"k": "rest", "key": "a", "until": 1}, b"")])
    store.close()
    with open(store.path, "ab") as log:
        log.write(b"torn")
    (tmp_path / "log.new").write_bytes(b"half")
    disk, until = FailingDisk(), time.monotonic() + 0.3
    disk.failing = dict.fromkeys(calls, errno.EIO)
    Timer(0.3, disk.failing.clear).start()
    process = wait_for_process(tmp_path, disk, signals[0])
    assert time.monotonic() >= until - 0.01 and process.core.cooldowns and not process.can_serve()
    assert "waiting for the disk" in capfd.readouterr().err
    process.store.close()


def test_sigterm_ends_start_that_waits_for_disk(tmp_path, signals):
    disk = FailingDisk()
    disk.failing = {"open": errno.EIO}
    Timer(0.1, signals[1].send, [bytes([signal.SIGTERM])]).start()
    assert wait_for_process(tmp_path, disk, signals[0]) is None


@pytest.mark.parametrize("code", [errno.ENOTDIR, errno.EACCES, errno.EROFS])
def test_unusable_folder_ends_start_naming_the_key(tmp_path, signals, code):
    for call in ("lock", "open", "makedirs"):
        disk = FailingDisk()
        disk.failing = {call: code}
        with pytest.raises(ConfigError, match="ROUTER_STATE"):
            wait_for_process(tmp_path / call, disk, signals[0])


def test_no_result_is_lost_and_no_call_begins_while_log_fails(failing_harness):
    """A log that refuses records must lead neither to a second run nor to a retry loop.

    A result that is not logged is lost in a kill, and its callback runs once more. An attempt that
    the log refuses would be requested again at once, each time with a new connection.
    """
    client, disk = failing_harness.connect_client(), failing_harness.disk
    submit(failing_harness, client, b"id1")
    submit(failing_harness, client, b"id2")  # waits for its turn
    host = failing_harness.accept(failing_harness.host)
    failing_harness.read_until(host, b"\r\n\r\nab")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    host.send(delivered())
    before = failing_harness.relay.hosts.counts["connected"]
    failing_harness.advance(600 * MS)
    assert failing_harness.relay.hosts.counts["connected"] - before <= 1 and list(
        failing_harness.relay.core.callbacks
    ) == ["id2"]
    disk.left, disk.failing = None, {}
    failing_harness.advance(200 * MS)
    assert b"Req-Id: id2" in failing_harness.read_until(host, b"\r\n\r\nab")
    kill_and_restart(failing_harness)
    assert (
        list(failing_harness.relay.core.callbacks) == ["id2"]
        and "id1" in failing_harness.relay.core.recently_completed
    )


@pytest.mark.parametrize("works_again", [True, False])
def test_notice_waits_for_log_or_deadline(failing_harness, works_again):
    """A notice must not be sent before its result is logged, unless the deadline has passed.

    A kill would lose the result, and the next process would attempt a callback that had ended.
    """
    client, disk, platform_data, platforms = (
        failing_harness.connect_client(),
        failing_harness.disk,
        b"",
        [],
    )
    client.send(REQUEST.replace(b"Content", b"Req-Deadline-Ms: 3000\r\nContent") % b"id1")
    failing_harness.read_until(client, b"HTTP/1.1 202")
    due = failing_harness.clock.now + 3 * SECOND
    host = failing_harness.accept(failing_harness.host)
    failing_harness.read_until(host, b"\r\n\r\nab")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    host.send(b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n")  # the last permitted attempt
    while b'"ref":"id1"' not in platform_data and failing_harness.clock.now < due + SECOND:
        if works_again and failing_harness.clock.now > due - SECOND:
            disk.left, disk.failing = None, {}
        failing_harness.advance(10 * MS)
        platform_data += failing_harness.read_at_platform(platforms)
    assert abs(failing_harness.clock.now - (due - SECOND if works_again else due)) <= 250 * MS


@pytest.mark.parametrize("works_again", [False, True])
@pytest.mark.parametrize("rejected_after", [0, 901 * MS])
def test_unlogged_result_is_not_contradicted_after_restart(
    failing_harness, works_again, rejected_after
):
    """Two processes must not report different results of one callback.

    This one rejects it; the next one finds it unattempted and overdue, and reports a failure.
    """
    client, disk, platform_data, platforms = (
        failing_harness.connect_client(),
        failing_harness.disk,
        b"",
        [],
    )
    failing_harness.relay.engine.post_event(ev.PauseCalls(True))  # no attempt begins
    client.send(REQUEST.replace(b"Content", b"Req-Deadline-Ms: 900\r\nContent") % b"id1")
    failing_harness.read_until(client, b"HTTP/1.1 202")
    due = failing_harness.clock.now + 900 * MS
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    failing_harness.clock.now += rejected_after  # in one turn, perhaps beyond the deadline
    failing_harness.relay.engine.execute_effects(denial_effects(failing_harness.relay.core, "id1"))
    while failing_harness.clock.now < due + 200 * MS:
        failing_harness.advance(10 * MS)
        platform_data += failing_harness.read_at_platform(platforms)
    disk.left, disk.failing = None, {}
    if works_again:
        failing_harness.advance(200 * MS)
    kill_and_restart(failing_harness)
    for _ in range(200):
        failing_harness.advance(10 * MS)
        platform_data += failing_harness.read_at_platform(platforms)
    assert platform_data.count(b'"ref":"id1"') >= 2 and b"bounced" not in platform_data


def denial_effects(core, ident):
    """Ends a callback by a rejection, which the decision module is told; returns the effects."""
    core.effects = []
    core.inbox.append(interface.CallbackWithdrawn(ident))
    core._end_callback(core.callbacks[ident], True, 0)
    return core.effects


@pytest.mark.parametrize(
    "spoilt, untried", [(b'"k":"launch"', []), (b'"zone"', ["b"]), (b'"k":"health"', ["a", "b"])]
)
def test_unreadable_attempt_record_does_not_mean_untried(harness, spoilt, untried):
    """Without its attempt record, a callback that must not run twice would look unattempted."""
    core = harness.relay.core
    for ident in "ab":
        core.load(
            {
                "k": "taken",
                "id": ident,
                "category": 1,
                "tenant": 0,
                "key": None,
                "destination": 3,
                "due": harness.clock.now + SECOND,
                "mark": None,
            },
            b"x",
        )
    core.load_corrupt(
        b"\x00\x00\x00\x40\x01\x02\x03\x04{"
        + spoilt
        + b":["
        + (b'"a"' if spoilt == b'"zone"' else b"")
        + b"]"
    )
    assert [c.id for c in core.callbacks.values() if c.current_attempt is None] == untried


NOW, WALL = 50 * SECOND, 1_700_000_000 * SECOND


class Machine:
    boot_id, clock, wall_clock = "this", staticmethod(lambda: NOW), staticmethod(lambda: WALL)


def clock_line(**changed):
    return json.dumps(
        {"k": "clock", "boot": "this", "epoch": 7, "at": 7 + NOW - SECOND, **changed},
        separators=(",", ":"),
    ).encode()


@pytest.mark.parametrize(
    "lines, base, epoch",
    [
        ([], EpochSource.NEW_LOG, WALL - NOW),
        ([clock_line()], EpochSource.SAME_BOOT, 7),
        ([clock_line(), b'{"k":"end","ends":[],"at":%d}' % (7 + NOW)], EpochSource.SAME_BOOT, 7),
        ([clock_line(boot="other")], EpochSource.REBOOTED, WALL - NOW),
        # The wall clock was set back meanwhile.
        ([clock_line(boot="other", at=WALL + HOUR)], EpochSource.REBOOTED, WALL + HOUR - NOW),
        # A log of a version without clock records.
        ([b'{"k":"launch","ids":[],"at":%d}' % (WALL - SECOND)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(epoch=None)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(epoch=True)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(boot="")], EpochSource.UNKNOWN, WALL - NOW),
        # The record is ahead of a clock that can't run back.
        ([clock_line(at=7 + NOW + HOUR)], EpochSource.UNKNOWN, WALL - NOW),
    ],
)
def test_log_clock_continues_or_falls_back_to_wall_clock(lines, base, epoch):
    assert log_clock.find_clock(lines, Machine) == log_clock.LogClock(epoch, base)


def test_all_times_in_log_records_are_shifted(harness):
    """A time that is not shifted with the others would mean another moment to the next process."""
    clock = log_clock.LogClock(7, EpochSource.SAME_BOOT)
    client = harness.connect_client()
    submit(harness, client, b"id1")
    harness.read_until(harness.accept(harness.host), b"\r\n\r\nab")
    harness.relay.core.cooldowns["k"], harness.relay.core.hosts.ejected["h1"] = (
        harness.clock.now,
        harness.clock.now,
    )
    for record, _ in harness.relay.core.snapshot():
        moved = clock.to_log(record)
        assert clock.from_log(moved) == record
        times = [
            key
            for key, value in record.items()
            if isinstance(value, int) and abs(value - harness.clock.now) < 60 * SECOND
        ]
        assert all(moved[key] == record[key] + 7 for key in times)


@pytest.mark.parametrize(
    "code",
    [
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.EAGAIN,
        errno.EPERM,
        errno.ENOMEM,
    ],
)
def test_local_connect_error_does_not_count_against_host(harness, monkeypatch, code):
    """A lack of resources on this machine must not eject healthy hosts or use up attempts."""
    tries, connect = [], Stream.connect

    def failing_connect(self, address, until):
        if address == harness.host.getsockname() and len(tries) < 40:
            tries.append(harness.clock.now)
            self.sock = type(
                "Sock",
                (),
                {
                    "connect_ex": lambda _, __: code,
                    "fileno": self.sock.fileno,
                    "close": self.sock.close,
                },
            )()
        return connect(self, address, until)

    monkeypatch.setattr(Stream, "connect", failing_connect)
    client = harness.connect_client()
    submit(harness, client, b"id1")
    harness.advance(500 * MS)
    held, module = harness.relay.core.callbacks["id1"], harness.relay.core.module
    assert (
        held.attempts == (held.current_attempt is not None)
        and [endpoint.state for endpoint in module.state.endpoints.values()] == ["open"]
        and [endpoint.failure_share for endpoint in module.state.endpoints.values()] == [0.0]
    )
    assert 2 <= len(tries) <= 30, "retried, and not as fast as the calls fail"
    harness.advance(500 * MS)
    harness.read_until(harness.accept(harness.host), b"Req-Id: id1")


@pytest.mark.parametrize("code", [errno.EINTR, errno.EALREADY])
def test_interrupted_connect_continues(harness, monkeypatch, code):
    connect = Stream.connect

    def interrupted(self, address, until):
        sock = self.sock
        self.sock = type(
            "Sock",
            (),
            {
                "connect_ex": lambda _, where: sock.connect_ex(where) and code,
                "__getattr__": lambda _, name: getattr(sock, name),
            },
        )()
        return connect(self, address, until)

    monkeypatch.setattr(Stream, "connect", interrupted)
    client = harness.connect_client()
    submit(harness, client, b"id1")
    harness.read_until(harness.accept(harness.host), b"Req-Id: id1")


def test_start_survives_missing_upgrade_socket(tmp_path, signals):
    """The relay must not end because the folder takes no file for the upgrade socket.

    Only an upgrade needs it.
    """
    machine, listen_for_successor, failing = Kernel(), Kernel.listen_for_successor, [True]
    machine.listen_for_successor = (
        lambda folder: fail(errno.ENOSPC) if failing else listen_for_successor(machine, folder)
    )
    config = replace(
        net_config(state=str(tmp_path)), listen=("127.0.0.1", 0), admin=("127.0.0.1", 0)
    )
    process = Process(config, machine, Sink(), lambda old: old)
    process.clients.listen()
    process.begin_serving(signals[0])
    assert process.can_serve()
    run_until(process, lambda: True)
    failing.clear()
    run_until(process, lambda: (tmp_path / Kernel.UPGRADE_SOCKET).exists())


@pytest.mark.parametrize(
    "call, code",
    [
        ("tcp_socket", errno.ENFILE),
        ("tcp_socket", errno.ENOBUFS),
        ("bind", errno.ENOMEM),
        ("bind", errno.EADDRINUSE),
    ],
)
def test_listener_is_retried_after_transient_error(tmp_path, signals, call, code):
    """A restart while the machine lacks resources must not be a relay that will not start."""
    machine, failing, make = Kernel(), [True], Kernel.tcp_socket

    def tcp_socket(address):
        if call == "tcp_socket" and failing:
            fail(code)
        sock = make(address)
        return type(
            "Sock",
            (),
            {
                "bind": lambda _, where: fail(code) if failing else sock.bind(where),
                "__getattr__": lambda _, name: getattr(sock, name),
            },
        )()

    machine.tcp_socket = tcp_socket
    given = net_config(state=str(tmp_path))
    config = replace(given, listen=("127.0.0.1", 0), admin=("127.0.0.1", 0))
    process = Process(config, machine, Sink(), lambda old: old)
    process.clients.listen()
    process.begin_serving(signals[0])
    assert not process.can_serve()
    failing.clear()
    run_until(process, lambda: process.can_serve() and process.startup.admin.listener is not None)
    for listener in (process.clients.listener, process.startup.admin.listener):
        socket.create_connection(listener.getsockname()).close()


@pytest.mark.parametrize("seconds_held, code", [(1.0, None), (60.0, 1)])
def test_a_start_waits_for_its_address_for_a_while(tmp_path, monkeypatch, seconds_held, code):
    """Guards against a process that does not start as a killed one still has its address."""
    other = socket.create_server(("127.0.0.1", 0))
    config = replace(net_config(state=str(tmp_path)), listen=other.getsockname())
    clock, signals = ManualClock(), socket.socketpair()[0]
    signals.setblocking(False)
    process = Process(config, Kernel(clock), Sink(), lambda old: old)
    process.clients.listen()
    process.begin_serving(signals)
    rounds, run_once = count(1), process.scheduler.run_once

    def run_round():
        clock.now += SECOND // 10
        run_once(block=False)
        if next(rounds) * 0.1 >= seconds_held:
            other.close()
        process.scheduler.stopped = process.scheduler.stopped or process.can_serve()

    monkeypatch.setattr(process.scheduler, "run_once", run_round)
    process.run()
    assert process.can_serve() is (code is None) and process.exit_code == (code or 0)
    other.close()


def test_a_signal_that_arrives_as_the_log_is_open_is_left_to_the_process(tmp_path):
    """Guards against a SIGTERM that ends the process at once, without its shutdown."""
    signals, other = socket.socketpair()
    signals.setblocking(False)
    startup = Startup(net_config(state=str(tmp_path)), Kernel(), Sink())
    startup.successor = Successor(startup, signals)
    startup.successor.begin()
    startup.scheduler.run_once(block=False)  # the log is open, and the loop stops
    other.send(bytes([signal.SIGTERM]))
    startup.scheduler._poll_descriptors(0)  # as within a long round
    assert startup.finish_wait()
    startup.scheduler.run_once(block=False)
    assert not startup.scheduler.stopped and not startup.pending_signals
    assert signals.recv(64) == bytes([signal.SIGTERM])
    signals.close()
    other.close()


@pytest.mark.parametrize("call", ["getsockopt", "close", "socket"])
def test_socket_errors_leak_no_descriptor_and_no_attempt(harness, monkeypatch, call):
    """An unforeseen error must not count as a call that may have run.

    Nor may the budget count its descriptor for ever.
    """
    failing, make = [True], harness.relay.scheduler.machine.tcp_socket

    def tcp_socket(address):
        if call == "socket" and failing:
            fail(errno.ENFILE)
        sock = make(address)

        def close(_):
            sock.close()
            if failing:
                fail(errno.EIO)

        changes = {
            "close": close,
            "connect_ex": lambda _, where: sock.connect_ex(where)
            and (failing and call == "close" and errno.ECONNRESET or errno.EINPROGRESS),
        }
        if call == "getsockopt":
            changes["getsockopt"] = (
                lambda _, *what: fail(errno.ENOBUFS) if failing else sock.getsockopt(*what)
            )
        return type("Sock", (), {**changes, "__getattr__": lambda _, name: getattr(sock, name)})()

    harness.relay.scheduler.machine.tcp_socket = tcp_socket
    client = harness.connect_client()
    client.send(REQUEST.replace(b"notice", b"plain") % b"id1")  # runs at most once
    harness.read_until(client, b"HTTP/1.1 202")
    harness.advance(200 * MS)
    failing.clear()
    accept_and_read(harness, harness.host, b"Req-Id: id1")
    used = harness.relay.budget.used
    assert used["host"] == 1 and used.get("notices", 0) <= 1 and used.get("discovery", 0) <= 1


def fail(code):
    """Raises OSError with this errno."""
    raise OSError(code, "made to fail")


def run_until(process, done):
    """Runs at least one round, then more until `done()`, within 5 s of real time."""
    until = time.monotonic() + 5
    process.scheduler.run_once(block=False)
    while not done():
        assert time.monotonic() < until
        process.scheduler.run_once()


def test_rejected_requests_leave_no_unwritten_rows(failing_harness):
    """Rows must not pile up during an outage of the disk, which may last an hour."""
    client, disk = failing_harness.connect_client(), failing_harness.disk
    submit(failing_harness, client, b"id0")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    for number in range(1, 20):
        submit(failing_harness, client, b"id%d" % number, b"HTTP/1.1 503")
    assert len(failing_harness.relay.engine.unwritten_rows) <= 1
