"""The machine interface of a relay, implemented by the kernel: clocks, pollers, sockets and disk.

The emulator passes another implementation with the same methods; the layers above this module make
no system calls themselves.
"""

import errno
import fcntl
import os
import select
import socket
import time

# Constant from one boot to the next, which is as long as the monotonic clock runs on.
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def read_boot_id() -> str:
    """Returns the id of this boot of the machine, or "" where the kernel gives none."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


UNSUPPORTED_LOCK_ERRNOS = (errno.ENOSYS, errno.EOPNOTSUPP, errno.EINVAL, errno.ENOLCK)


class Disk:
    """The file operations that the log needs; each raises OSError as the system call does."""

    @staticmethod
    def makedirs(folder: str) -> None:
        os.makedirs(folder, exist_ok=True)

    @staticmethod
    def exists(path: str) -> bool:
        return os.path.exists(path)

    @staticmethod
    def unlink(path: str) -> None:
        os.unlink(path)

    @staticmethod
    def rename(old: str, new: str) -> None:
        os.rename(old, new)

    @staticmethod
    def close(fd: int) -> None:
        os.close(fd)

    @staticmethod
    def write(fd: int, data) -> int:
        """Returns the number of bytes written, which may be fewer than were given."""
        return os.write(fd, data)

    @staticmethod
    def truncate(fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    @staticmethod
    def seek(fd: int, offset: int) -> None:
        os.lseek(fd, offset, os.SEEK_SET)

    @staticmethod
    def open(path: str, truncate: bool = False) -> int:
        """Opens or creates a file for reading and writing; returns its descriptor.

        `truncate` empties an existing file.
        """
        return os.open(
            path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if truncate else 0), 0o600
        )

    @staticmethod
    def is_same_file(path: str, fd: int) -> bool:
        """Returns whether the path names the open file."""
        return os.path.samestat(os.stat(path), os.fstat(fd))

    @staticmethod
    def read(path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def lock(folder: str):
        """Locks the folder, which is created if missing; returns the descriptor of the lock.

        Returns None while another process has the lock. The lock is released when the last copy of
        the descriptor is closed, at the latest when the processes that hold copies have ended.
        """
        os.makedirs(folder, exist_ok=True)
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                os.close(fd)
                return None
            if error.errno not in UNSUPPORTED_LOCK_ERRNOS:
                os.close(fd)
                raise
            # The file system has no locks, so another process cannot be detected; go on without.
        return fd


class Kernel:
    """The machine as the kernel provides it.

    `clock()`: the monotonic clock in nanoseconds, which measures all spans.
    `wall_clock()`: Unix time in nanoseconds. It may be stepped at any moment, so it serves only for
    times that are shown and for times that outlast a reboot.
    `boot_id`: changes when the monotonic clock starts again.
    """

    def __init__(self, clock=None, wall_clock=None):
        self.clock, self.wall_clock = clock or time.monotonic_ns, wall_clock or time.time_ns
        self.boot_id, self.disk = read_boot_id(), Disk()

    @staticmethod
    def poller():
        """Returns a new poll object."""
        return select.poll()

    @staticmethod
    def has_hung_up(sock: socket.socket) -> bool:
        """Returns whether the peer has ended the connection, also where its bytes lie unread."""
        poller = select.poll()
        poller.register(sock, select.POLLRDHUP)
        return bool(poller.poll(0))

    close = staticmethod(os.close)  # takes a descriptor number

    # File in the state folder by which the next process finds this one.
    UPGRADE_SOCKET = "upgrade"

    def listen_for_successor(self, folder: str) -> socket.socket:
        """Returns a listener for the next process of this relay; raises OSError.

        Only the process that has the folder's lock may call this.
        """
        path = os.path.join(folder, self.UPGRADE_SOCKET)
        if os.path.lexists(path):
            os.unlink(path)
        return self._unix_socket(folder, lambda sock, address: (sock.bind(address), sock.listen(1)))

    def connect_to_predecessor(self, folder: str) -> socket.socket:
        """Returns a connection to the process that serves now; raises OSError."""
        return self._unix_socket(folder, lambda sock, address: sock.connect(address))

    def _unix_socket(self, folder, bind_or_connect) -> socket.socket:
        # The address names the folder by its descriptor, because the folder's path may be longer
        # than a Unix socket address can hold.
        fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            bind_or_connect(sock, f"/proc/self/fd/{fd}/{self.UPGRADE_SOCKET}")
        except OSError:
            sock.close()
            raise
        finally:
            os.close(fd)
        return sock

    @staticmethod
    def socket_from_descriptor(fd: int) -> socket.socket:
        """Returns the socket object for a descriptor that another process passed."""
        return socket.socket(fileno=fd)

    @staticmethod
    def udp_socket(address) -> socket.socket:
        """Returns a datagram socket of the address's family."""
        return socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM
        )

    @staticmethod
    def tcp_socket(address) -> socket.socket:
        """Returns a stream socket of the address's family."""
        return socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
