"""A disk with the manners of a folder that lasts: what a killed process wrote stays, to the byte.

The node sets `lock`, and `step`: each call is one, at which a kill may fall; a write may be torn there at any byte. `short_write_share`: share
of writes that take only a part. `write_errno`: errno that each write and rename gives while it is set. `capacity`: bytes in all files.
"""

import errno

BLOCK = 512


class Disk:
    def __init__(self, world, capacity: int):
        self.world, self.capacity, self.files, self.step = (
            world,
            capacity,
            {},
            lambda what, size=0: size,
        )
        self.fds, self.serial, self.short_write_share, self.write_errno = {}, 0, 0.0, None

    def erase(self) -> None:
        self.files = {}

    def corrupt(self, path: str) -> None:
        """Changes one byte of a file, if it has any."""
        data = self.files.get(path)
        if data:
            at = self.world.chance.randrange(len(data))
            data[at] ^= 1 << self.world.chance.randrange(8)

    def used_bytes(self) -> int:
        return sum(-(-len(data) // BLOCK) * BLOCK for data in self.files.values())

    def image(self) -> dict[str, bytes]:
        return {path: bytes(data) for path, data in sorted(self.files.items())}

    # What a relay calls

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
        self.step("open")
        if truncate or path not in self.files:
            self.files[path] = bytearray()
        self.serial += 1
        # by the file, not its name: a rename changes nothing
        self.fds[self.serial] = [self.files[path], 0]
        return self.serial

    def is_same_file(self, path: str, fd: int) -> bool:
        return self.files.get(path) is self.fds[fd][0]

    def read(self, path: str) -> bytes:
        return bytes(self.files[path])

    def write(self, fd: int, data) -> int:
        file, at = self.fds[fd]
        count = len(data)
        if (
            count > 1
            and self.short_write_share
            and self.world.chance.random() < self.short_write_share
        ):
            count = self.world.chance.randrange(1, count)
        if self.write_errno:
            raise OSError(self.write_errno, "the disk fails")
        grown = max(0, at + count - len(file))
        room = self.capacity - self.used_bytes() + (-len(file)) % BLOCK
        if grown > room:  # as kernels do: what has room goes in, then nothing
            count -= grown - max(0, room)
            if count <= 0:
                raise OSError(errno.ENOSPC, "no room")
        count = self.step("write", count)
        file[at : at + count] = bytes(data[:count])
        self.fds[fd][1] = at + count
        self.step("written")
        return count

    def truncate(self, fd: int, size: int) -> None:
        self.step("truncate")
        file = self.fds[fd][0]
        del file[size:]
        file.extend(bytes(size - len(file)))

    def seek(self, fd: int, offset: int) -> None:
        self.fds[fd][1] = offset

    def rename(self, old: str, new: str) -> None:
        self.step("rename")
        if self.write_errno:
            raise OSError(self.write_errno, "the disk fails")
        self.files[new] = self.files.pop(old)

    def close(self, fd: int) -> None:
        self.fds.pop(fd, None)
