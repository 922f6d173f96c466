"""The same socket and disk tests on the virtual machine and on the kernel, and faults of the
former.
"""

import errno
import select
import socket
import time

import pytest

from molehill.config import MS, SECOND
from molehill.emulator.disk import Disk as VirtualDisk
from molehill.emulator.network import BUFFER_BYTES, Machine, Network
from molehill.emulator.process import Descriptor, EmulatedProcess, RelaySocket
from molehill.emulator.world import World
from molehill.runtime.kernel import Disk, Kernel


class KernelNet:
    """Loopback sockets; `settle` waits until what was sent has arrived."""

    def __init__(self):
        self.kernel, self.open = Kernel(), []

    def listener(self, backlog=16):
        sock = self.tcp()
        sock.bind(("127.0.0.1", 0))
        sock.listen(backlog)
        return sock, sock.getsockname()

    def tcp(self):
        sock = self.kernel.tcp_socket(("127.0.0.1", 0))
        sock.setblocking(False)
        self.open.append(sock)
        return sock

    def settle(self):
        time.sleep(0.02)

    def mask(self, sock):
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN | select.POLLOUT)
        return dict(poller.poll(0)).get(sock.fileno(), 0)

    def close(self):
        for sock in self.open:
            sock.close()


class EmulatorNet:
    """Sockets of the emulator, with the interface of KernelNet."""

    def __init__(self):
        self.world = World(7)
        self.network, self.steps = Network(self.world, partial_share=0.3), []
        self.place, self.descriptors, self.most = Machine(self.world, "n"), {}, 1 << 30
        self.step = lambda what, size=0: self.steps.append(what) or size
        self.wake_if_ready, self.descriptor_limit = lambda fd: None, lambda: self.most
        self.place.make_sock = RelaySocket

    allocate_descriptor = EmulatedProcess.allocate_descriptor

    def listener(self, backlog=16):
        sock = self.tcp()
        sock.bind(("10.0.0.1", 1))
        sock.listen(backlog)
        return sock, ("10.0.0.1", 1)

    def tcp(self):
        return Descriptor(self, RelaySocket(self.network, self.place))

    def settle(self, span=50 * MS):
        self.world.run(self.world.now + span)

    def mask(self, sock):
        return sock.mask()

    def close(self):
        pass


@pytest.fixture(params=[KernelNet, EmulatorNet])
def net(request):
    made = request.param()
    yield made
    made.close()


def pair(net):
    listener, address = net.listener()
    ours = net.tcp()
    assert ours.connect_ex(address) == errno.EINPROGRESS
    net.settle()
    assert net.mask(ours) & select.POLLOUT and not ours.getsockopt(
        socket.SOL_SOCKET, socket.SO_ERROR
    )
    theirs, _ = listener.accept()
    theirs.setblocking(False)
    if isinstance(net, KernelNet):
        net.open.append(theirs)
    return ours, theirs


def read(net, sock, least=1, rounds=400):
    data = b""
    for _ in range(rounds):
        try:
            piece = sock.recv(65536)
        except BlockingIOError:
            if len(data) >= least:
                break
            net.settle()
            continue
        if not piece:
            break
        data += piece
    return data


def test_bytes_come_in_order_and_whole_however_they_are_cut(net):
    ours, theirs = pair(net)
    text, sent = bytes(range(256)) * 40, 0
    while sent < len(text):
        sent += ours.send(text[sent : sent + 3000])
    assert read(net, theirs, len(text)) == text
    assert not net.mask(theirs) & select.POLLIN
    with pytest.raises(BlockingIOError):
        theirs.recv(1)


def test_peeking_takes_nothing_and_an_end_is_read_after_what_came_before_it(net):
    ours, theirs = pair(net)
    ours.send(b"x")
    ours.shutdown(socket.SHUT_WR)
    net.settle()
    assert theirs.recv(1, socket.MSG_PEEK) == b"x" and net.mask(theirs) & select.POLLIN
    assert (
        theirs.recv(10) == b"x"
        and theirs.recv(10) == b""
        and theirs.recv(10, socket.MSG_PEEK) == b""
    )
    theirs.send(b"half open")
    net.settle()
    assert read(net, ours)[:1] == b"h", "only one direction has ended"
    with pytest.raises(BrokenPipeError):
        ours.send(b"y")


def test_a_reader_that_stops_fills_the_buffer_and_the_writer_waits_for_room(net):
    ours, theirs = pair(net)
    sent = 0
    with pytest.raises(BlockingIOError):
        for _ in range(100_000):
            sent += ours.send(b"z" * 65536)
    net.settle()
    with pytest.raises(BlockingIOError):
        for _ in range(100_000):
            sent += ours.send(b"z" * 65536)
    assert not net.mask(ours) & select.POLLOUT and sent >= BUFFER_BYTES
    assert len(read(net, theirs, sent, 100_000)) == sent
    net.settle()
    assert net.mask(ours) & select.POLLOUT


def test_refused_and_reset_connections_are_reported_as_by_the_kernel(net):
    listener, address = net.listener()
    listener.close()
    ours = net.tcp()
    ours.connect_ex(address)
    net.settle()
    assert net.mask(ours) & (select.POLLERR | select.POLLOUT)
    assert ours.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED
    ours, theirs = pair(net)
    ours.send(b"unread")
    net.settle()
    theirs.close()  # with unread bytes: a reset and not an end
    net.settle()
    with pytest.raises(ConnectionResetError):
        ours.recv(1)


def test_what_came_before_a_reset_can_still_be_read(net):
    ours, theirs = pair(net)
    ours.send(b"unread")
    theirs.send(b"last words")
    net.settle()
    theirs.close()
    net.settle()
    came = b""
    while len(came) < 10:
        came += ours.recv(10)
    assert came == b"last words"
    with pytest.raises(ConnectionResetError):
        ours.recv(1)


def test_what_is_written_to_a_closed_peer_brings_a_reset(net):
    ours, theirs = pair(net)
    theirs.close()
    net.settle()
    assert ours.recv(1) == b""
    ours.send(b"late")
    net.settle()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        ours.send(b"later")


def test_a_waiting_listener_is_readable_and_accepting_gives_the_lowest_descriptor(net):
    listener, address = net.listener()
    assert not net.mask(listener) & select.POLLIN
    with pytest.raises(BlockingIOError):
        listener.accept()
    ours = net.tcp()
    ours.connect_ex(address)
    net.settle()
    assert net.mask(listener) & select.POLLIN
    theirs, _ = listener.accept()
    assert theirs.fileno() > ours.fileno()
    low = ours.fileno()
    ours.close()
    assert net.tcp().fileno() == low
    theirs.close()


def test_silence_resets_after_a_return_full_backlogs_and_few_descriptors():
    net = EmulatorNet()
    ours, theirs = pair(net)
    far = Machine(net.world, "far")
    answers = []
    net.network.serve(
        far,
        ("10.0.0.9", 1),
        lambda sock: sock.listen_to(lambda s, data, at: (answers.append(data), s.put(b"!"))),
    )
    talking, late = net.tcp(), net.tcp()
    talking.connect_ex(("10.0.0.9", 1))
    net.settle()
    far.vanish()
    talking.send(b"into the void")
    late.connect_ex(("10.0.0.9", 1))
    net.settle(2 * SECOND)
    assert (
        not answers and late.mask() == 0 and talking.mask() == select.POLLOUT
    ), "nobody says anything"
    far.back()
    talking.send(b"are you there")
    net.settle()
    with pytest.raises(ConnectionResetError):
        talking.recv(1)
    net.settle(2 * SECOND)
    assert late.mask() & select.POLLOUT, "it is asked again, as kernels do"
    net.most = len(net.descriptors)
    listener = next(d for d in net.descriptors.values() if d.listening)
    listener.file.backlog = 1
    first, second = [
        net.network.connect(Machine(net.world, "m"), ("10.0.0.1", 1)) for _ in range(2)
    ]
    net.settle()
    assert {first.state, second.state} == {"open", "dialling"}
    with pytest.raises(OSError) as caught:
        listener.accept()
    assert caught.value.errno == errno.EMFILE


@pytest.mark.parametrize("kind", [Disk, lambda: VirtualDisk(World(3), 100_000)])
def test_files_outlast_their_names_and_a_rename_is_one_step(tmp_path, kind):
    disk, old, new = kind(), str(tmp_path / "a"), str(tmp_path / "b")
    fd = disk.open(old)
    assert disk.write(fd, b"hello world") == 11 and disk.exists(old) and not disk.exists(new)
    disk.truncate(fd, 5)
    disk.seek(fd, 5)
    disk.rename(old, new)
    assert disk.write(fd, b"!") == 1 and disk.read(new) == b"hello!" and not disk.exists(old)
    other = disk.open(new, truncate=True)
    assert disk.read(new) == b""
    disk.unlink(new)
    assert not disk.exists(new)
    with pytest.raises(OSError):
        disk.unlink(new)
    disk.close(fd)
    disk.close(other)


def test_a_disk_that_is_full_short_or_failing_takes_what_it_can():
    disk = VirtualDisk(World(3), 1024)
    fd = disk.open("f")
    assert disk.write(fd, b"x" * 1000) == 1000 and disk.write(fd, b"y" * 100) == 24
    with pytest.raises(OSError) as caught:
        disk.write(fd, b"z")
    assert caught.value.errno == errno.ENOSPC and disk.used_bytes() == 1024
    disk.truncate(fd, 0)
    disk.seek(fd, 0)
    disk.short_write_share, disk.write_errno = 1.0, None
    assert 0 < disk.write(fd, b"x" * 100) < 100
    disk.write_errno = errno.EIO
    for call in (lambda: disk.write(fd, b"x"), lambda: disk.rename("f", "g")):
        with pytest.raises(OSError):
            call()
    before = disk.read("f")
    disk.corrupt("f")
    assert sum(a != b for a, b in zip(before, disk.read("f"))) == 1
    disk.erase()
    assert not disk.exists("f")
