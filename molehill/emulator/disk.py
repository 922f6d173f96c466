"""A disk that behaves as a durable folder: what a killed process wrote stays, to the byte.

The node sets `lock` and `step`. Each call of `step` is a point at which a kill may occur, and which
may tear a write at any byte.
"""

import errno

BLOCK = 512


class Disk:
    """The files of one relay.

    `capacity`: bytes in all files. `short_write_share`: share of writes that take only a part.
    `write_errno`: errno of each write and rename while it is set.
    """

    def __init__(self, world, capacity: int):
        self.world, self.capacity, self.files, self.step = (
            world,
            capacity,
            {},
            lambda what, size=0: size,
        )
        self.fds, self.serial, self.short_write_share, self.write_errno = {}, 0, 0.0, None

    def erase(self) -> None:
        """Lose all files."""
        self.files = {}

    def corrupt(self, path: str) -> None:
        """Change one byte of a file, unless it is empty or missing."""
        data = self.files.get(path)
        if data:
            at = self.world.chance.randrange(len(data))
            data[at] ^= 1 << self.world.chance.randrange(8)

    def used_bytes(self) -> int:
        """Return the size of all files, each rounded up to whole blocks."""
        return sum(-(-len(data) // BLOCK) * BLOCK for data in self.files.values())

    def image(self) -> dict[str, bytes]:
        """Return the contents of all files by path."""
        return {path: bytes(data) for path, data in sorted(self.files.items())}

    # Interface for the relay

    def makedirs(self, folder: str) -> None:
        self.step("makedirs")

    def exists(self, path: str) -> bool:
        return path in self.files

    def unlink(self, path: str) -> None:
        self.step("unlink")
        if path not in self.files:
            raise FileNotFoundError(errno.ENOENT, path)
        del self.files[path]

    def open(self, path: str, truncate: bool = False) -> int:
        """Open a file for writing and return its descriptor; create it if it is missing."""
        self.step("open")
        if truncate or path not in self.files:
            self.files[path] = bytearray()
        self.serial += 1
        # Refers to the file and not to its name, so a rename has no effect on it.
        self.fds[self.serial] = [self.files[path], 0]
        return self.serial

    def is_same_file(self, path: str, fd: int) -> bool:
        return self.files.get(path) is self.fds[fd][0]

    def read(self, path: str) -> bytes:
        return bytes(self.files[path])

    def write(self, fd: int, data) -> int:
        """Write at the descriptor's offset and return the count of bytes written, which may be
        partial.

        Raises OSError (ENOSPC, or `write_errno`).
        """
        file, at = self.fds[fd]
        count = len(data)
        if (
            count > 1
            and self.short_write_share
            and self.world.chance.random() < self.short_write_share
        ):
            count = self.world.chance.randrange(1, count)
        if self.write_errno:
            raise OSError(self.write_errno, "I/O error")
        grown = max(0, at + count - len(file))
        room = self.capacity - self.used_bytes() + (-len(file)) % BLOCK
        if grown > room:  # as kernels do: writes what fits, and the next write fails
            count -= grown - max(0, room)
            if count <= 0:
                raise OSError(errno.ENOSPC, "disk is full")
        count = self.step("write", count)
        file[at : at + count] = bytes(data[:count])
        self.fds[fd][1] = at + count
        self.step("written")
        return count

    def truncate(self, fd: int, size: int) -> None:
        """Set the length of the file; an extension is filled with zeros."""
        self.step("truncate")
        file = self.fds[fd][0]
        del file[size:]
        file.extend(bytes(size - len(file)))

    def seek(self, fd: int, offset: int) -> None:
        self.fds[fd][1] = offset

    def rename(self, old: str, new: str) -> None:
        self.step("rename")
        if self.write_errno:
            raise OSError(self.write_errno, "I/O error")
        self.files[new] = self.files.pop(old)

    def close(self, fd: int) -> None:
        self.fds.pop(fd, None)
