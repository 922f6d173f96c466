"""Calls that fail as Linux documents, a disk that fails for a while, and a wall clock that is stepped: one whole relay each time."""

import errno
import json
import signal
import socket
import time
from dataclasses import replace
from threading import Timer

import pytest

from molehill import interface, log_clock
from molehill.config import ConfigError
from molehill.core import events as ev
from molehill.log_clock import EpochSource
from molehill.relay import Process, Start
from molehill.runtime.kernel import Disk, Kernel
from molehill.runtime.log import Sink
from molehill.runtime.stream import Stream
from molehill.store import Store
from tests.core_harness import MS, SECOND, ManualClock, drain, net_config
from tests.place import ASK, Place, kill
from tests.test_crossings import comes

HOUR = 3600 * SECOND


class FailingDisk(Disk):
    """`failing`: operation -> errno that it raises; `left`: bytes that writes still take before they fail, None for any."""

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
def failing(tmp_path):
    """A relay whose disk fails as the test says."""
    disk = FailingDisk()

    def machine(clock):
        made = Kernel(clock)
        made.disk = disk
        return made

    place = Place(tmp_path, machine)
    place.disk = disk
    yield place
    place.close()


def hand_in(place, client, ident, wanted=b"HTTP/1.1 202"):
    client.send(ASK % ident)
    return place.hear(client, wanted)


@pytest.mark.parametrize("torn", [1, 30, 100])
def test_what_is_taken_on_behind_a_torn_record_outlives_a_kill(failing, torn):
    """Danger: after a write that failed half way, and a truncation that failed too, all that is written lies behind a torn record."""
    client, disk = failing.client(), failing.disk
    hand_in(failing, client, b"before")
    disk.left, disk.failing = torn, {"truncate": errno.EIO, "open": errno.EIO}
    client.send(ASK % b"torn")
    failing.hear(client, b"HTTP/1.1 503")
    disk.left = None
    taken = []
    for number in range(10):
        client.send(ASK % b"after%d" % number)
        if b" 202 " in failing.hear(client, b"HTTP/1.1 "):
            taken.append(f"after{number}")
    disk.failing = {}
    kill(failing)
    assert list(failing.relay.core.callbacks) == ["before", *taken]


@pytest.fixture
def stepped(tmp_path, monkeypatch):
    """A relay on the kernel's clocks, both moved by hand; `wall[0]`: how far the wall clock is off."""
    clock, wall = ManualClock(), [1_700_000_000 * SECOND]
    monkeypatch.setattr(time, "monotonic_ns", clock)
    monkeypatch.setattr(time, "time_ns", lambda: clock.now + wall[0])
    place = Place(tmp_path, lambda _: Kernel())
    place.clock, place.wall = clock, wall
    yield place
    place.close()


@pytest.mark.parametrize("step", [HOUR, -HOUR, -10 * SECOND])
def test_spans_go_on_over_a_restart_whatever_the_wall_clock_does(stepped, step):
    """Danger: a deadline kept as wall time ends a callback untried, or lets an overdue one go without its notice."""
    client = stepped.client()
    hand_in(stepped, client, b"id1")
    stepped.advance(SECOND, 50 * MS)
    stepped.wall[0] += step
    kill(stepped)
    assert not stepped.relay.notices.unanswered
    comes(stepped, stepped.host, b"Req-Id: id1")
    stepped.clock.now += 15 * SECOND  # it stands still until it is killed
    stepped.wall[0] += step
    kill(stepped)
    stepped.advance(100 * MS)
    assert list(stepped.relay.notices.unanswered) == ["id1"]


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.EOPNOTSUPP]
)
def test_while_accept_fails_all_other_connections_are_served(place, code):
    """Danger: a loop that meets an error and goes on without a wait stops the whole relay."""
    client, calls, listener = place.client(), [0], place.relay.clients.listener
    place.advance(10 * MS)

    class Failing:
        fileno = staticmethod(listener.fileno)

        @staticmethod
        def accept():
            calls[0] += 1
            if calls[0] < 10_000:
                raise OSError(code, "accept")
            return listener.accept()

    place.relay.clients.listener = Failing()
    other = socket.create_connection(place.address)
    place.open.append(other)
    before = calls[0]
    hand_in(place, client, b"id1")
    place.advance(SECOND)
    assert (
        drain(client) == b"" and calls[0] - before < 300
    ), "it neither stops the others nor takes the core"


def test_the_end_takes_the_connections_behind_one_that_is_gone(place):
    """Danger: at the last look at the listener, an aborted connection has all those behind it reset."""
    listener, codes = place.relay.clients.listener, [errno.ECONNABORTED, errno.EPROTO]
    place.relay.scheduler.cut(listener.fileno())

    class Failing:
        fileno, close = staticmethod(listener.fileno), staticmethod(listener.close)

        @staticmethod
        def accept():
            if codes:
                raise OSError(codes.pop(), "accept")
            return listener.accept()

    client = place.client()
    client.send(ASK % b"id1")
    place.relay.clients.listener = Failing()
    place.relay.clients.stop_accepting()
    assert b"Connection: close" in place.hear(client, b"HTTP/1.1 202")


def begun(folder, disk, signals):
    """A start on the kernel's clock and that disk, waited for; its process, or None if it was told to end."""
    machine = Kernel()
    machine.disk = disk
    config = replace(net_config(state=str(folder)), listen=("127.0.0.1", 0))
    start = Start(config, machine, Sink())
    if not start.wait(config, signals):
        return None
    return Process(config, machine, Sink(), lambda old: old, start)


@pytest.fixture
def signals():
    """The side on which a process hears of signals, and the other one."""
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
def test_a_start_waits_until_the_disk_lets_it(tmp_path, signals, calls, capfd):
    """Danger: a restart into a second of failing disk is a relay that will not start."""
    store = Store(str(tmp_path), 100_000, Disk())
    store.append([({"k": "rest", "key": "a", "until": 1}, b"")])
    store.close()
    with open(store.path, "ab") as log:
        log.write(b"torn")
    (tmp_path / "log.new").write_bytes(b"half")
    disk, until = FailingDisk(), time.monotonic() + 0.3
    disk.failing = dict.fromkeys(calls, errno.EIO)
    Timer(0.3, disk.failing.clear).start()
    process = begun(tmp_path, disk, signals[0])
    assert time.monotonic() >= until - 0.01 and process.core.cooldowns and not process.can_serve()
    assert "waiting for the disk" in capfd.readouterr().err
    process.store.close()


def test_a_start_that_waits_for_its_disk_ends_at_sigterm(tmp_path, signals):
    disk = FailingDisk()
    disk.failing = {"open": errno.EIO}
    Timer(0.1, signals[1].send, [bytes([signal.SIGTERM])]).start()
    assert begun(tmp_path, disk, signals[0]) is None


@pytest.mark.parametrize("code", [errno.ENOTDIR, errno.EACCES, errno.EROFS])
def test_a_folder_that_can_t_be_used_ends_the_start_with_the_key(tmp_path, signals, code):
    for call in ("lock", "open", "makedirs"):
        disk = FailingDisk()
        disk.failing = {call: code}
        with pytest.raises(ConfigError, match="ROUTER_STATE"):
            begun(tmp_path / call, disk, signals[0])


def test_while_the_log_takes_nothing_ends_are_kept_and_no_call_is_begun(failing):
    """Danger: an end that the log did not take is forgotten, and after a kill its callback runs once more; a launch that it refuses is
    asked for anew at once, each time with a connection of its own."""
    client, disk = failing.client(), failing.disk
    hand_in(failing, client, b"id1")
    hand_in(failing, client, b"id2")  # waits for its turn
    host = failing.accept(failing.host)
    failing.hear(host, b"\r\n\r\nab")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    host.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    before = failing.relay.hosts.counts["connected"]
    failing.advance(600 * MS)
    assert failing.relay.hosts.counts["connected"] - before <= 1 and list(
        failing.relay.core.callbacks
    ) == ["id2"]
    disk.left, disk.failing = None, {}
    failing.advance(200 * MS)
    assert b"Req-Id: id2" in failing.hear(host, b"\r\n\r\nab")
    kill(failing)
    assert (
        list(failing.relay.core.callbacks) == ["id2"]
        and "id1" in failing.relay.core.recently_completed
    )


@pytest.mark.parametrize("works_again", [True, False])
def test_an_end_that_the_log_does_not_take_is_told_once_it_does_or_its_time_is_up(
    failing, works_again
):
    """Danger: told before, it is forgotten by a kill, and the next process tries what had its end."""
    client, disk, told, platforms = failing.client(), failing.disk, b"", []
    client.send(ASK.replace(b"Content", b"Req-Deadline-Ms: 3000\r\nContent") % b"id1")
    failing.hear(client, b"HTTP/1.1 202")
    due = failing.clock.now + 3 * SECOND
    host = failing.accept(failing.host)
    failing.hear(host, b"\r\n\r\nab")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    host.send(b"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n")  # had all its attempts
    while b'"ref":"id1"' not in told and failing.clock.now < due + SECOND:
        if works_again and failing.clock.now > due - SECOND:
            disk.left, disk.failing = None, {}
        failing.advance(10 * MS)
        told += failing.platform_hears(platforms)
    assert abs(failing.clock.now - (due - SECOND if works_again else due)) <= 250 * MS


@pytest.mark.parametrize("works_again", [False, True])
def test_an_end_that_no_log_had_is_not_told_in_another_way_by_the_next_process(
    failing, works_again
):
    """Danger: turned away by this process, failed by the next one, which finds it untried and late."""
    client, disk, told, platforms = failing.client(), failing.disk, b"", []
    failing.relay.engine.post(ev.PauseCalls(True))  # untried
    client.send(ASK.replace(b"Content", b"Req-Deadline-Ms: 900\r\nContent") % b"id1")
    failing.hear(client, b"HTTP/1.1 202")
    due = failing.clock.now + 900 * MS
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    failing.relay.engine.carry(denied(failing.relay.core, "id1"))
    while failing.clock.now < due + 200 * MS:
        failing.advance(10 * MS)
        told += failing.platform_hears(platforms)
    disk.left, disk.failing = None, {}
    if works_again:
        failing.advance(200 * MS)
    kill(failing)
    for _ in range(200):
        failing.advance(10 * MS)
        told += failing.platform_hears(platforms)
    assert told.count(b'"ref":"id1"') >= 2 and b"bounced" not in told


def denied(core, ident):
    """The effects of an end that turns a callback away, of which the module knows."""
    core.effects = []
    core.inbox.append(interface.CallbackWithdrawn(ident))
    core._end_callback(core.callbacks[ident], True, 0)
    return core.effects


@pytest.mark.parametrize(
    "spoilt, untried", [(b'"k":"launch"', []), (b'"zone"', ["b"]), (b'"k":"health"', ["a", "b"])]
)
def test_a_launch_that_can_t_be_read_is_not_taken_for_none(place, spoilt, untried):
    """Danger: with the record of its launch, one that must not run twice looks untried."""
    core = place.relay.core
    for ident in "ab":
        core.load(
            {
                "k": "taken",
                "id": ident,
                "category": 1,
                "tenant": 0,
                "key": None,
                "destination": 3,
                "due": place.clock.now + SECOND,
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
    boot_id, clock, wall = "this", staticmethod(lambda: NOW), staticmethod(lambda: WALL)


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
        # the wall clock was set back meanwhile
        ([clock_line(boot="other", at=WALL + HOUR)], EpochSource.REBOOTED, WALL + HOUR - NOW),
        # of a version without clock records
        ([b'{"k":"launch","ids":[],"at":%d}' % (WALL - SECOND)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(epoch=None)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(epoch=True)], EpochSource.UNKNOWN, WALL - NOW),
        ([clock_line(boot="")], EpochSource.UNKNOWN, WALL - NOW),
        # ahead of a clock that can't run back
        ([clock_line(at=7 + NOW + HOUR)], EpochSource.UNKNOWN, WALL - NOW),
    ],
)
def test_the_log_s_clock_goes_on_or_is_found_anew_by_the_wall_clock(lines, base, epoch):
    assert log_clock.find_clock(lines, Machine) == log_clock.LogClock(epoch, base)


def test_times_go_to_the_log_and_back_and_all_that_stands_in_it_is_moved(place):
    """Danger: a time that is not moved with the others means another moment to the next process."""
    clock = log_clock.LogClock(7, EpochSource.SAME_BOOT)
    client = place.client()
    hand_in(place, client, b"id1")
    place.hear(place.accept(place.host), b"\r\n\r\nab")
    place.relay.core.cooldowns["k"], place.relay.core.hosts.ejected["h1"] = (
        place.clock.now,
        place.clock.now,
    )
    for record, _ in place.relay.core.snapshot():
        moved = clock.to_log(record)
        assert clock.from_log(moved) == record
        times = [
            key
            for key, value in record.items()
            if isinstance(value, int) and abs(value - place.clock.now) < 60 * SECOND
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
def test_an_error_of_this_machine_at_connect_says_nothing_of_the_host(place, monkeypatch, code):
    """Danger: hosts that are well are ejected, and callbacks lose their launches, for what this machine lacks."""
    tries, connect = [], Stream.connect

    def failing_connect(self, address, until):
        if address == place.host.getsockname() and len(tries) < 40:
            tries.append(place.clock.now)
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
    client = place.client()
    hand_in(place, client, b"id1")
    place.advance(500 * MS)
    held, module = place.relay.core.callbacks["id1"], place.relay.core.module
    assert (
        held.attempts == (held.current_attempt is not None)
        and [endpoint.state for endpoint in module.state.endpoints.values()] == ["open"]
        and [endpoint.failure_share for endpoint in module.state.endpoints.values()] == [0.0]
    )
    assert 2 <= len(tries) <= 30, "tried again, and not as fast as it fails"
    place.advance(500 * MS)
    place.hear(place.accept(place.host), b"Req-Id: id1")


@pytest.mark.parametrize("code", [errno.EINTR, errno.EALREADY])
def test_a_connect_that_was_interrupted_goes_on(place, monkeypatch, code):
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
    client = place.client()
    hand_in(place, client, b"id1")
    place.hear(place.accept(place.host), b"Req-Id: id1")


def test_a_meeting_place_that_can_t_be_made_does_not_end_the_start(tmp_path, signals):
    """Danger: the folder takes no file, and the relay ends over what only an upgrade needs."""
    machine, meet, failing = Kernel(), Kernel.meet, [True]
    machine.meet = lambda folder: fail(errno.ENOSPC) if failing else meet(machine, folder)
    config = replace(
        net_config(state=str(tmp_path)), listen=("127.0.0.1", 0), admin=("127.0.0.1", 0)
    )
    process = Process(config, machine, Sink(), lambda old: old)
    process.clients.listen()
    process.begin(signals[0])
    assert process.can_serve()
    turn_until(process, lambda: True)
    failing.clear()
    turn_until(process, lambda: (tmp_path / Kernel.MEETING).exists())


@pytest.mark.parametrize(
    "call, code",
    [("tcp_socket", errno.ENFILE), ("tcp_socket", errno.ENOBUFS), ("bind", errno.ENOMEM)],
)
def test_a_listener_that_can_t_be_opened_for_a_moment_is_opened_later(
    tmp_path, signals, call, code
):
    """Danger: a restart in a moment in which the machine lacks something is a relay that will not start."""
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
    process.begin(signals[0])
    assert not process.can_serve()
    failing.clear()
    turn_until(process, lambda: process.can_serve() and process.start.admin.listener is not None)
    for listener in (process.clients.listener, process.start.admin.listener):
        socket.create_connection(listener.getsockname()).close()


@pytest.mark.parametrize("call", ["getsockopt", "close", "socket"])
def test_calls_on_a_host_s_socket_that_fail_leave_no_descriptor_counted_and_no_launch_in_doubt(
    place, monkeypatch, call
):
    """Danger: an error that nobody foresaw counts as a call that may have run, or its descriptor is counted for ever."""
    failing, make = [True], place.relay.scheduler.machine.tcp_socket

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
            and (failing and call == "close" and errno.ECONNREFUSED or errno.EINPROGRESS),
        }
        if call == "getsockopt":
            changes["getsockopt"] = (
                lambda _, *what: fail(errno.ENOBUFS) if failing else sock.getsockopt(*what)
            )
        return type("Sock", (), {**changes, "__getattr__": lambda _, name: getattr(sock, name)})()

    place.relay.scheduler.machine.tcp_socket = tcp_socket
    client = place.client()
    client.send(ASK.replace(b"notice", b"plain") % b"id1")  # runs at most once
    place.hear(client, b"HTTP/1.1 202")
    place.advance(200 * MS)
    failing.clear()
    comes(place, place.host, b"Req-Id: id1")
    used = place.relay.budget.used
    assert used["host"] == 1 and used.get("notices", 0) <= 1 and used.get("discovery", 0) <= 1


def fail(code):
    raise OSError(code, "made to fail")


def turn_until(process, done):
    until = time.monotonic() + 5
    process.scheduler.turn(block=False)
    while not done():
        assert time.monotonic() < until
        process.scheduler.turn()


def test_what_is_refused_while_the_log_fails_leaves_nothing_to_be_written(failing):
    """Danger: an outage of the disk for an hour is an hour of rows kept for later."""
    client, disk = failing.client(), failing.disk
    hand_in(failing, client, b"id0")
    disk.left, disk.failing = 0, {"open": errno.ENOSPC}
    for number in range(1, 20):
        hand_in(failing, client, b"id%d" % number, b"HTTP/1.1 503")
    assert len(failing.relay.engine.unwritten) <= 1
