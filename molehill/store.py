"""Implements the log in the persistent folder: append-only records with checksums.

A record is a length and a CRC-32, then a line of JSON that begins with RECORD_PREFIX, and the
callback's body. What was written outlasts the process without a sync. RECORD_PREFIX occurs nowhere
but at the start of a record, so whole records are found again after torn or corrupt bytes. The
records of one append are atomic: if a kill or a failed write cut an append off, none of its records
is read.

Nothing is appended while the end of the log is not known to be whole: the remains of a failed write
are truncated, or overwritten by a filler record, before anything else is written. Once the log has
grown past a limit, it is rewritten with only the pending state, and the new file replaces the old
one by a rename. The records are read again at the next start.
"""

import base64
import json
import os.path
import struct
import zlib
from typing import Callable, Iterator, NamedTuple

HEADER = struct.Struct(">II")
# start of each record's JSON; JSON escapes it in texts, and a body that contains it is encoded
RECORD_PREFIX = b'{"k":"'
BLOCK_SIZE = 512  # bytes; files are counted in whole blocks
FILLER = "filler"  # kind of a record that only overwrites what a failed write left
REMAINING_KEY = "more"  # key in a record: how many records of the same append follow it
BASE64_KEY = "b64"  # key in a record: its body is in base64


class Chunk(NamedTuple):
    """A range of the log's bytes: a whole record, or the bytes between two."""

    start: int
    end: int
    payload: bytes | None  # None: the range is no record
    is_torn: bool = False  # no record, but one that the end of the log cut off


def encode(record: dict, body: bytes = b"") -> bytes:
    """Returns the bytes of one record. The first key of `record` is `k`, its kind."""
    if RECORD_PREFIX in body:
        record, body = {**record, BASE64_KEY: True}, base64.b64encode(body)
    payload = json.dumps(record, separators=(",", ":")).encode("ascii") + b"\n" + body
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def encode_append(rows) -> bytes:
    """Returns the bytes of one append of (record, body) rows; all or none are read again."""
    last_index = len(rows) - 1
    return b"".join(
        encode({**record, REMAINING_KEY: last_index - n} if n < last_index else record, body)
        for n, (record, body) in enumerate(rows)
    )


def decode(payload: bytes) -> tuple[dict, bytes]:
    """Returns a record and its body. Raises ValueError or the like for a payload that is none."""
    line, _, body = payload.partition(b"\n")
    record = json.loads(line)
    if record.pop(BASE64_KEY, False):
        body = base64.b64decode(body)
    return record, body


def make_filler(size: int) -> bytes:
    """Returns a record without meaning, of `size` bytes, or of the least size of a record."""
    shortest = encode({"k": FILLER})
    return encode({"k": FILLER}, b" " * max(0, size - len(shortest)))


def payload_at(data: bytes, offset: int) -> bytes | None:
    """Returns the payload of the whole record that begins at `offset`, or None."""
    if offset + HEADER.size > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    payload = data[offset + HEADER.size : offset + HEADER.size + length]
    # A length of 0 and a checksum of 0 match, as in a hole in the file, so 0 is no valid length.
    is_whole = 0 < length == len(payload) and zlib.crc32(payload) == checksum
    return payload if is_whole else None


def find_next_record(data: bytes, start: int) -> int:
    """Returns where the next whole record after `start` begins, or the end of the data."""
    found = data.find(RECORD_PREFIX, start + 1 + HEADER.size)
    while found >= 0:
        if payload_at(data, found - HEADER.size) is not None:
            return found - HEADER.size
        found = data.find(RECORD_PREFIX, found + 1)
    return len(data)


def is_corrupt_record(data: bytes, offset: int, end: int) -> bool:
    """Whether the range is a record of exactly that length that does not match its checksum.

    Such a record was written whole and corrupted later.
    """
    if end - offset < HEADER.size:
        return False
    length, _ = HEADER.unpack_from(data, offset)
    return 0 < length == end - offset - HEADER.size


def scan(data: bytes) -> Iterator[Chunk]:
    """Yields the chunks of the log in order."""
    offset = 0
    while offset < len(data):
        payload = payload_at(data, offset)
        if payload is not None:
            end = offset + HEADER.size + len(payload)
            yield Chunk(offset, end, payload)
        else:
            end = find_next_record(data, offset)
            yield Chunk(
                offset,
                end,
                None,
                is_torn=end == len(data) and not is_corrupt_record(data, offset, end),
            )
        offset = end


def write_all(disk, fd: int, data: bytes) -> bool:
    """Writes all of `data`, however short single writes are; False if the file did not take it."""
    view = memoryview(data)
    try:
        while view:
            count = disk.write(fd, view)
            if not count:
                return False
            view = view[count:]
    except OSError:
        return False
    return True


class Store:
    """One log file.

    The constructor and `read` raise OSError; all other methods report failure by their result.
    """

    FILE_NAME, NEW_FILE_NAME = "log", "log.new"

    def __init__(self, folder: str, max_bytes: int, disk):
        """Opens the log in `folder`, and removes the rest of an unfinished rewrite.

        `max_bytes`: bytes that this log and a new one beside it may take up together. `disk`: a
        `Disk` of runtime/kernel.py.
        """
        self.disk = disk
        self.path, self.new_path = (
            os.path.join(folder, self.FILE_NAME),
            os.path.join(folder, self.NEW_FILE_NAME),
        )
        self.max_bytes, self.size, self.live_bytes, self.append_failed = max_bytes, 0, 0, False
        self.is_full = False  # the last append had no room
        self.tail_bytes = 0  # bytes after `size` that a failed write may have left
        # found at a read: bytes cut off; records that can't be used; chunks that can't be read
        self.truncated_bytes = self.unusable_records = self.corrupt_chunks = 0
        self.data = b""  # the log as read, until it is replayed
        disk.makedirs(folder)
        if disk.exists(self.new_path):
            disk.unlink(self.new_path)  # a rewrite that was interrupted before its rename
        self.fd = disk.open(self.path)

    def read(self) -> None:
        """Reads the file and repairs its end; `replay` then hands out the records."""
        self.data = self.disk.read(self.path)
        end = self._committed_end()
        self.truncated_bytes, self.size, self.tail_bytes = (
            len(self.data) - end,
            end,
            len(self.data) - end,
        )
        self.data = self.data[:end]
        if not self.tail_bytes:
            self.disk.seek(self.fd, end)
        elif not self.repair_end():
            raise OSError("the end of the log can't be settled")

    def _committed_end(self) -> int:
        """Returns where the last append that was not cut off ends."""
        # append_start: start of an append whose last record has not been found yet
        end, append_start = 0, None
        for chunk in scan(self.data):
            if chunk.payload is None:
                if chunk.is_torn:
                    break
                end, append_start = chunk.end, None
            elif b'"%s":' % REMAINING_KEY.encode() in chunk.payload.partition(b"\n")[0]:
                append_start = chunk.start if append_start is None else append_start
            else:
                end, append_start = chunk.end, None
        return end if append_start is None else min(end, append_start)

    def record_lines(self) -> Iterator[bytes]:
        """Yields the line of JSON of each record that was read; to be used before `replay`."""
        for chunk in scan(self.data):
            if chunk.payload is not None:
                yield chunk.payload.partition(b"\n")[0]

    def replay(self, load: Callable, load_corrupt: Callable = lambda data: None) -> int:
        """Hands each record and its body to `load`, and bytes that can't be read to `load_corrupt`.

        Both are called in the order of the log. Returns how many records could be used. The data is
        not kept.
        """
        if not self.data:
            self.read()
        count = 0
        for chunk in scan(self.data):
            if chunk.payload is None:
                self.corrupt_chunks += 1
                load_corrupt(self.data[chunk.start : chunk.end])
                continue
            try:
                record, body = decode(chunk.payload)
                record.pop(REMAINING_KEY, None)
                load(record, body)
                count += 1
            # any exception: otherwise one bad record would keep the relay from starting
            except Exception:
                # the record is whole, but can't be used here: what follows it still counts
                self.unusable_records += 1
        self.data = b""
        return count

    def repair_end(self) -> bool:
        """Makes the log end with its last whole record, or with a filler after it.

        Returns whether it now does.
        """
        if not self.tail_bytes:
            return True
        try:
            self.disk.truncate(self.fd, self.size)
            self.disk.seek(self.fd, self.size)
        except OSError:
            return self._cover_tail()
        self.tail_bytes = 0
        return True

    def _cover_tail(self) -> bool:
        cover = make_filler(self.tail_bytes)
        try:
            self.disk.seek(self.fd, self.size)
        except OSError:
            return False
        self.tail_bytes = max(self.tail_bytes, len(cover))
        if not self._write(self.fd, cover):
            return False
        self.size, self.tail_bytes = self.size + len(cover), 0
        return True

    def append(self, rows) -> bool:
        """Appends (record, body) rows, all or none; False if the file did not take them."""
        data = encode_append(rows)
        self.append_failed = True
        self.is_full = self.size + len(data) + BLOCK_SIZE > self.max_bytes
        if self.is_full or not self.repair_end():
            return False
        if not self._write(self.fd, data):
            self.tail_bytes = len(data)
            self.repair_end()
            return False
        self.size, self.append_failed = self.size + len(data), False
        return True

    def _write(self, fd, data) -> bool:
        return write_all(self.disk, fd, data)

    def needs_rewrite(self) -> bool:
        """Whether the log should be rewritten now.

        It should after a failed append, or past 9/20 of `max_bytes`, which leaves enough room
        beside it for the pending state, 7/20 at most; after that not before another sixteenth of
        `max_bytes` has been written.
        """
        return (
            self.append_failed
            or self.size > self.max_bytes * 9 // 20
            and self.size > self.live_bytes + self.max_bytes // 16
        )

    def rewrite(self, rows) -> bool:
        """Replaces the log by a new one with these rows.

        Returns False on failure; the old log then stays as it is.
        """
        data = b"".join(encode(record, body) for record, body in rows)
        if self.size + len(data) + 2 * BLOCK_SIZE > self.max_bytes:
            return False
        try:
            fd = self.disk.open(self.new_path, truncate=True)
        except OSError:
            return False
        if not self._write(fd, data) or not self._rename_new_log(fd):
            self._close_file(fd)
            try:
                self.disk.unlink(self.new_path)
            except OSError:
                pass
            return False
        # The new file is in use before the old one is closed: if that close failed first, later
        # records would go to the old file, which has no name any more, and would be lost.
        old, self.fd = self.fd, fd
        self.size = self.live_bytes = len(data)
        self.tail_bytes, self.append_failed = 0, False
        self._close_file(old)
        return True

    def _rename_new_log(self, fd: int) -> bool:
        """Renames the new log over the old one; returns whether the new one is in place.

        A rename that reports a failure may have been done all the same.
        """
        try:
            self.disk.rename(self.new_path, self.path)
        except OSError:
            try:
                return self.disk.is_same_file(self.path, fd)
            except OSError:
                return False
        return True

    def _close_file(self, fd: int) -> None:
        try:
            self.disk.close(fd)
        except OSError:
            pass  # Linux frees the file descriptor all the same

    def close(self) -> None:
        """Closes the log; nothing is written any more.

        From then on the number of its file descriptor may belong to another file.
        """
        if self.fd >= 0:
            self._close_file(self.fd)
            self.fd = -1
