"""Tests of the log: torn tails, unusable records, rewrites, and disks that fail or are full."""

import errno
import os

import pytest

from molehill.runtime.kernel import Disk
from molehill.store import FILLER, HEADER, Store, encode, scan

ROWS = [({"k": "taken", "id": f"c{n}"}, bytes([n]) * 40) for n in range(5)]


def read(folder, max_bytes=100_000, disk=None):
    store, found = Store(str(folder), max_bytes, disk or Disk()), []
    store.replay(
        lambda record, body: found.append((record, body)) if record["k"] != FILLER else None
    )
    return store, found


def write_rows(folder, together):
    """Writes a log of all rows, in one append or one for each row.

    Returns its bytes, and where the record of each row ends.
    """
    store, _ = read(folder)
    for rows in [ROWS] if together else [[row] for row in ROWS]:
        assert store.append(rows)
    store.close()
    whole = (folder / "log").read_bytes()
    return whole, [chunk.end for chunk in scan(whole)]


@pytest.mark.parametrize("together", [False, True])
def test_torn_tail_is_truncated(tmp_path, together):
    """Nothing is read of an append that was cut off: no client was answered for any of it."""
    whole, ends = write_rows(tmp_path, together)
    assert len(ends) == len(ROWS)
    for length in range(len(whole)):
        (tmp_path / "log").write_bytes(whole[:length])
        store, found = read(tmp_path)
        assert found == ([] if together else ROWS[: sum(end <= length for end in ends)])
        assert store.append(ROWS[:1])
        store.close()
        assert read(tmp_path)[1] == found + ROWS[:1]


@pytest.mark.parametrize("size", [8, 9, 4096])
def test_zero_tail_is_not_read_as_records(tmp_path, size):
    """Guards against reading a hole in the file as unusable records.

    A length of 0 and a checksum of 0 match.
    """
    store, _ = read(tmp_path)
    assert store.append(ROWS)
    store.close()
    with open(tmp_path / "log", "ab") as log:
        log.write(bytes(size))
    store, found = read(tmp_path)
    assert found == ROWS and store.unusable_records == 0
    assert store.append(ROWS[:1]) and read(tmp_path)[1] == ROWS + ROWS[:1]


@pytest.mark.parametrize("together", [False, True])
def test_corrupt_byte_loses_one_record(tmp_path, together):
    whole, ends = write_rows(tmp_path, together)
    for at in range(len(whole)):
        data = bytearray(whole)
        data[at] ^= 1
        (tmp_path / "log").write_bytes(data)
        store, found = read(tmp_path)
        corrupted = next(n for n, end in enumerate(ends) if at < end)
        in_head = at - (ends[corrupted - 1] if corrupted else 0) < HEADER.size
        if corrupted == len(ROWS) - 1 and in_head:
            # if its length is corrupt, it can't be told from an append that was cut off
            assert found in (ROWS[:-1], [] if together else ROWS[:-1]) and (
                store.corrupt_chunks,
                store.truncated_bytes > 0,
            ) in ((1, False), (0, True))
        else:
            assert found == [row for n, row in enumerate(ROWS) if n != corrupted] and (
                store.corrupt_chunks,
                store.truncated_bytes,
            ) == (1, 0)
        assert store.append(ROWS[4:])
        store.close()
        assert read(tmp_path)[1] == found + ROWS[4:]


def test_record_inside_body_is_not_read(tmp_path):
    """Guards against finding records in a client's body when the header before it is corrupt."""
    forged = encode({"k": "over", "ids": ["victim"]})
    store, _ = read(tmp_path)
    assert store.append([({"k": "taken", "id": "a"}, forged), ROWS[0]])
    store.close()
    assert read(tmp_path)[1] == [({"k": "taken", "id": "a"}, forged), ROWS[0]]
    data = bytearray((tmp_path / "log").read_bytes())
    data[2] ^= 1
    (tmp_path / "log").write_bytes(data)
    assert read(tmp_path)[1] == ROWS[:1]


def failing_disk(**calls):
    """Returns a disk on which those calls fail while `failing[0]` is true, and `failing`."""
    failing = [True]

    def call(name):
        def made(self, *given, **named):
            if failing[0]:
                raise OSError(calls[name], name)
            return getattr(Disk, name)(*given, **named) if name != "write" else os.write(*given)

        return made

    return type("Failing", (Disk,), {name: call(name) for name in calls})(), failing


@pytest.mark.parametrize(
    "calls", [("truncate",), ("truncate", "open"), ("truncate", "rename"), ("truncate", "write")]
)
def test_no_append_behind_torn_end(tmp_path, calls):
    disk, failing = failing_disk(**dict.fromkeys(calls, errno.EIO))
    failing[0] = False
    store, _ = read(tmp_path, disk=disk)
    assert store.append(ROWS[:1])
    # writes all but the last byte, and fails
    write, store._write = store._write, lambda fd, data: write(fd, data[:-1]) and False
    failing[0] = True
    assert not store.append(ROWS[1:3])
    store._write = write
    kept = [row for row in ROWS[3:] if store.append([row])]
    assert kept == ([] if "write" in calls else ROWS[3:])
    failing[0] = False
    assert store.append(ROWS[:2])
    assert read(tmp_path)[1] == ROWS[:1] + kept + ROWS[:2]


@pytest.mark.parametrize("call", ["close", "rename", "is_same_file"])
def test_failed_rewrite_leaves_one_usable_log(tmp_path, call):
    """Guards against appending to a file that has no name any more.

    It could happen after a close that fails, or a rename that is done but reports a failure.
    """
    store, _ = read(tmp_path)
    store.append(ROWS)

    class FailingDisk(Disk):
        def close(self, fd):
            os.close(fd)
            raise OSError(errno.EIO, "close")

        def rename(self, old, new):
            if call != "close":
                if call == "rename":
                    os.rename(old, new)
                raise OSError(errno.EIO, "rename")
            os.rename(old, new)

    store.disk = FailingDisk()
    assert store.rewrite(ROWS[3:]) is (call != "is_same_file")
    store.disk = Disk()
    assert store.append(ROWS[:1])
    assert read(tmp_path)[1] == (ROWS if call == "is_same_file" else ROWS[3:]) + ROWS[:1]


@pytest.mark.parametrize(
    "error", [KeyError, IndexError, OverflowError, RecursionError, ZeroDivisionError]
)
def test_unusable_record_spares_later_ones(tmp_path, error):
    store, _ = read(tmp_path)
    store.append(ROWS)
    found = []

    def load(record, body):
        if record["id"] == "c1":
            raise error("destination")
        found.append(record["id"])

    store = Store(str(tmp_path), 100_000, Disk())
    assert (
        store.replay(load) == 4
        and store.unusable_records == 1
        and found == ["c0", "c2", "c3", "c4"]
    )


def test_interrupted_rewrite_keeps_old_log(tmp_path):
    store, _ = read(tmp_path)
    store.append(ROWS)
    assert store.rewrite(ROWS[3:]) and store.append(ROWS[:1])
    (tmp_path / "log.new").write_bytes(b"half a rewri")
    store, found = read(tmp_path)
    assert found == ROWS[3:] + ROWS[:1] and not (tmp_path / "log.new").exists()

    class RenameFails(Disk):
        def rename(self, *_):
            raise OSError("no room")

    store.disk = RenameFails()
    assert not store.rewrite([])
    assert store.append(ROWS[1:2]) and read(tmp_path)[1] == ROWS[3:] + ROWS[:2]


@pytest.mark.parametrize("first", [0, 7])
def test_full_disk_leaves_no_partial_append(tmp_path, first):
    class FullDisk(Disk):
        left = None

        def write(self, fd, data):
            if self.left == 0:
                raise OSError("disk full")
            count = os.write(fd, bytes(data)[: self.left])
            self.left = self.left and self.left - count
            return count

    disk = FullDisk()
    store, _ = read(tmp_path, disk=disk)
    store.append(ROWS[:2])
    disk.left = first
    assert not store.append(ROWS[2:4])
    disk.left = None
    assert store.needs_rewrite() and store.append(ROWS[4:])
    assert read(tmp_path)[1] == ROWS[:2] + ROWS[4:]


def test_both_files_stay_within_limit(tmp_path):
    highest, rewrites = 0, 0

    class SizeWatchingDisk(Disk):
        def rename(self, a, b):
            nonlocal highest
            highest = max(highest, os.path.getsize(a) + os.path.getsize(b))
            os.rename(a, b)

    max_bytes, store = 20_000, read(tmp_path, 20_000, SizeWatchingDisk())[0]
    kept = [({"k": "taken", "id": n}, b"x" * 650) for n in range(10)]  # 7/20 of max_bytes
    for row in kept:
        assert store.append([row])
    for n in range(2000):
        assert store.append([({"k": "end", "n": n}, b"")])
        if store.needs_rewrite():
            assert store.rewrite(kept)
            rewrites += 1
    assert 0 < highest <= max_bytes and 5 < rewrites < 200
    assert not store.append(
        [({"k": "taken"}, b"x" * max_bytes)]
    ), "a record that does not fit is not written"
