"""The machine that a relay is handed: clock, pollers, sockets and disk, here those of the kernel.

The emulator hands in one of its own with the same methods; nothing above this file asks the kernel itself.
"""

import errno
import fcntl
import os
import select
import socket
import time

# one text from boot to boot: as long the monotonic clock runs on
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


def read_boot_id() -> str:
    """Tells this boot of the machine from others; empty where the kernel does not say."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


UNSUPPORTED_LOCK_ERRNOS = (errno.ENOSYS, errno.EOPNOTSUPP, errno.EINVAL, errno.ENOLCK)


class Disk:
    """The few calls that the log makes; each raises OSError as the kernel's own."""

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
        """How many bytes went in, which may be fewer than there are."""
        return os.write(fd, data)

    @staticmethod
    def truncate(fd: int, size: int) -> None:
        os.ftruncate(fd, size)

    @staticmethod
    def seek(fd: int, offset: int) -> None:
        os.lseek(fd, offset, os.SEEK_SET)

    @staticmethod
    def open(path: str, truncate: bool = False) -> int:
        """A descriptor to read and write by; `truncate`: empty, whatever was there."""
        return os.open(
            path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | (os.O_TRUNC if truncate else 0), 0o600
        )

    @staticmethod
    def is_same_file(path: str, fd: int) -> bool:
        """Whether that path is the open file."""
        return os.path.samestat(os.stat(path), os.fstat(fd))

    @staticmethod
    def read(path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def lock(folder: str):
        """A descriptor that locks the folder and lets go with its last copy, at the latest when its owners die; None while
        another process has it."""
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
            # a file system without locks: nobody else can be told from here, as ever before
        return fd


class Kernel:
    """`clock()`: nanoseconds of the monotonic clock, by which all spans go; `wall_clock()`: Unix time in nanoseconds, which may be
    stepped at any moment: for what is shown, and carried over a reboot; `boot_id`: changes when the monotonic clock begins anew."""

    def __init__(self, clock=None, wall_clock=None):
        self.clock, self.wall_clock = clock or time.monotonic_ns, wall_clock or time.time_ns
        self.boot_id, self.disk = read_boot_id(), Disk()

    @staticmethod
    def poller():
        return select.poll()

    close = staticmethod(os.close)  # of a descriptor by its number

    # in the folder that lasts: where the next process finds this one
    UPGRADE_SOCKET = "upgrade"

    def listen_for_successor(self, folder: str) -> socket.socket:
        """A listener there for the next process of this relay; only for the owner of the folder's lock."""
        path = os.path.join(folder, self.UPGRADE_SOCKET)
        if os.path.lexists(path):
            os.unlink(path)
        return self._unix_socket(folder, lambda sock, address: (sock.bind(address), sock.listen(1)))

    def connect_to_predecessor(self, folder: str) -> socket.socket:
        """A connection to the process that serves now; raises OSError."""
        return self._unix_socket(folder, lambda sock, address: sock.connect(address))

    def _unix_socket(self, folder, bind_or_connect) -> socket.socket:
        # by way of the folder's descriptor: a path of its own may be longer than a Unix address holds
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
        """The socket that a passed descriptor is."""
        return socket.socket(fileno=fd)

    @staticmethod
    def udp_socket(address) -> socket.socket:
        return socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_DGRAM
        )

    @staticmethod
    def tcp_socket(address) -> socket.socket:
        return socket.socket(
            socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
        )
