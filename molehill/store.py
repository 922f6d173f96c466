"""The log in the folder that lasts: append-only records with checksums, read again at the next start.

A record is a length and a CRC-32, then a line of JSON and the callback's bytes. What was written outlasts the
process without a sync. A torn tail is cut off when the log is opened. Once the log has grown past its mark it is
written anew with just what is owed, and takes the old one's place by a rename.
"""
import json
import os.path
import struct
import zlib

HEAD = struct.Struct(">II")
BLOCK = 512                        # files count in whole blocks of so many bytes


class Store:
    NAME, NEW = "log", "log.new"

    def __init__(self, folder: str, most: int, disk):
        """`most`: bytes that this log and a new one beside it may take up together; `disk` as of runtime/kernel.py."""
        self.disk = disk
        self.path, self.new_path = os.path.join(folder, self.NAME), os.path.join(folder, self.NEW)
        self.most, self.size, self.live, self.cut, self.odd, self.failed = most, 0, 0, 0, 0, False
        disk.makedirs(folder)
        if disk.exists(self.new_path):
            disk.unlink(self.new_path)   # a rewrite that was cut off before its rename
        self.fd = disk.open(self.path)

    def replay(self, load) -> int:
        """Hands each whole record to `load`, in order; cuts off what follows the last whole one."""
        data = self.disk.read(self.path)
        at = count = 0
        while at + HEAD.size <= len(data):
            length, check = HEAD.unpack_from(data, at)
            payload = data[at + HEAD.size:at + HEAD.size + length]
            if len(payload) < length or zlib.crc32(payload) != check:
                break
            at += HEAD.size + length
            line, _, body = payload.partition(b"\n")
            try:
                load(json.loads(line), body)
                count += 1
            except Exception:          # whatever it is: danger, one record that can't be read would keep the relay from its start
                self.odd += 1          # whole, but of no use here: what follows it still counts
        self.cut, self.size = len(data) - at, at
        self.disk.truncate(self.fd, at)
        self.disk.seek(self.fd, at)
        return count

    @staticmethod
    def encode(record, body=b"") -> bytes:
        payload = json.dumps(record, separators=(",", ":")).encode("ascii") + b"\n" + body
        return HEAD.pack(len(payload), zlib.crc32(payload)) + payload

    def append(self, rows) -> bool:
        """Writes (record, body) rows, all or none; False if the file would not take them."""
        data = b"".join(self.encode(record, body) for record, body in rows)
        if self.size + len(data) + BLOCK > self.most or not self._write(self.fd, data):
            try:                       # whatever part came in is cut off again
                self.disk.truncate(self.fd, self.size)
                self.disk.seek(self.fd, self.size)
            except OSError:
                pass
            self.failed = True
            return False
        self.size += len(data)
        return True

    def _write(self, fd, data) -> bool:
        view = memoryview(data)
        try:
            while view:
                view = view[self.disk.write(fd, view):]
        except OSError:
            return False
        return True

    def wants_rewrite(self) -> bool:
        """After a failure, or past 9/20 of the room, which leaves room beside it for what is owed, 7/20 at most;
        then not again before a sixteenth has come in."""
        return self.failed or self.size > self.most * 9 // 20 and self.size > self.live + self.most // 16

    def rewrite(self, rows) -> bool:
        """A new log with these rows in place of the old one; on failure the old one stays as it is."""
        data = b"".join(self.encode(record, body) for record, body in rows)
        if self.size + len(data) + 2 * BLOCK > self.most:
            return False
        try:
            fd = self.disk.open(self.new_path, anew=True)
        except OSError:
            return False
        try:
            if not self._write(fd, data):
                raise OSError("short write")
            self.disk.rename(self.new_path, self.path)
        except OSError:
            self.disk.close(fd)
            try:
                self.disk.unlink(self.new_path)
            except OSError:
                pass
            return False
        self.disk.close(self.fd)
        self.fd, self.size, self.live, self.failed = fd, len(data), len(data), False
        return True

    def close(self) -> None:
        self.disk.close(self.fd)
