"""The log: torn tails, odd records, rewrites, and files that take no more."""

import errno
import os

import pytest

from molehill.runtime.kernel import Disk
from molehill.store import FILLER, HEAD, Store, encode, scan

ROWS = [({"k": "taken", "id": f"c{n}"}, bytes([n]) * 40) for n in range(5)]


def read(folder, most=100_000, disk=None):
    store, found = Store(str(folder), most, disk or Disk()), []
    store.replay(
        lambda record, body: found.append((record, body)) if record["k"] != FILLER else None
    )
    return store, found


def whole_rows(folder, together):
    """A log of all rows, in one append or one each; its bytes, and where each row's record ends."""
    store, _ = read(folder)
    for rows in [ROWS] if together else [[row] for row in ROWS]:
        assert store.append(rows)
    store.close()
    whole = (folder / "log").read_bytes()
    return whole, [piece.end for piece in scan(whole)]


@pytest.mark.parametrize("together", [False, True])
def test_a_tail_torn_at_any_byte_is_cut_and_what_follows_is_read_again(tmp_path, together):
    """Of an append that was cut off nothing is read: nobody was told of any of it."""
    whole, ends = whole_rows(tmp_path, together)
    assert len(ends) == len(ROWS)
    for cut in range(len(whole)):
        (tmp_path / "log").write_bytes(whole[:cut])
        store, found = read(tmp_path)
        assert found == ([] if together else ROWS[: sum(end <= cut for end in ends)])
        assert store.append(ROWS[:1])
        store.close()
        assert read(tmp_path)[1] == found + ROWS[:1]


@pytest.mark.parametrize("size", [8, 9, 4096])
def test_a_tail_of_zeros_is_no_row_of_empty_records(tmp_path, size):
    """Danger: a length and a checksum of 0 fit each other, and a hole in the file reads as records of no use."""
    store, _ = read(tmp_path)
    assert store.append(ROWS)
    store.close()
    with open(tmp_path / "log", "ab") as log:
        log.write(bytes(size))
    store, found = read(tmp_path)
    assert found == ROWS and store.odd == 0
    assert store.append(ROWS[:1]) and read(tmp_path)[1] == ROWS + ROWS[:1]


@pytest.mark.parametrize("together", [False, True])
def test_a_spoilt_byte_costs_the_record_that_it_stands_in_alone(tmp_path, together):
    whole, ends = whole_rows(tmp_path, together)
    for at in range(len(whole)):
        data = bytearray(whole)
        data[at] ^= 1
        (tmp_path / "log").write_bytes(data)
        store, found = read(tmp_path)
        spoilt = next(n for n, end in enumerate(ends) if at < end)
        in_head = at - (ends[spoilt - 1] if spoilt else 0) < HEAD.size
        if spoilt == len(ROWS) - 1 and in_head:
            # its length may be what is spoilt, and then it can't be told from an append that was cut off
            assert found in (ROWS[:-1], [] if together else ROWS[:-1]) and (
                store.spoilt,
                store.cut > 0,
            ) in ((1, False), (0, True))
        else:
            assert found == [row for n, row in enumerate(ROWS) if n != spoilt] and (
                store.spoilt,
                store.cut,
            ) == (1, 0)
        assert store.append(ROWS[4:])
        store.close()
        assert read(tmp_path)[1] == found + ROWS[4:]


def test_a_body_that_holds_a_record_is_never_read_as_one(tmp_path):
    """Danger: behind a spoilt head, a client's own bytes would be searched for records."""
    evil = encode({"k": "over", "ids": ["victim"]})
    store, _ = read(tmp_path)
    assert store.append([({"k": "taken", "id": "a"}, evil), ROWS[0]])
    store.close()
    assert read(tmp_path)[1] == [({"k": "taken", "id": "a"}, evil), ROWS[0]]
    data = bytearray((tmp_path / "log").read_bytes())
    data[2] ^= 1
    (tmp_path / "log").write_bytes(data)
    assert read(tmp_path)[1] == ROWS[:1]


def failing_disk(**calls):
    """A disk on which those calls fail as long as `on[0]`."""
    on = [True]

    def call(name):
        def made(self, *given, **named):
            if on[0]:
                raise OSError(calls[name], name)
            return getattr(Disk, name)(*given, **named) if name != "write" else os.write(*given)

        return made

    return type("Failing", (Disk,), {name: call(name) for name in calls})(), on


@pytest.mark.parametrize(
    "calls", [("truncate",), ("truncate", "open"), ("truncate", "rename"), ("truncate", "write")]
)
def test_nothing_is_written_behind_an_end_that_is_not_whole(tmp_path, calls):
    disk, on = failing_disk(**dict.fromkeys(calls, errno.EIO))
    on[0] = False
    store, _ = read(tmp_path, disk=disk)
    assert store.append(ROWS[:1])
    # all but its last byte
    write, store._write = store._write, lambda fd, data: write(fd, data[:-1]) and False
    on[0] = True
    assert not store.append(ROWS[1:3])
    store._write = write
    kept = [row for row in ROWS[3:] if store.append([row])]
    assert kept == ([] if "write" in calls else ROWS[3:])
    on[0] = False
    assert store.append(ROWS[:2])
    assert read(tmp_path)[1] == ROWS[:1] + kept + ROWS[:2]


@pytest.mark.parametrize("call", ["close", "rename", "is_file"])
def test_a_rewrite_whose_last_calls_fail_leaves_one_log_that_is_written_on(tmp_path, call):
    """Danger: after a failing close, or a rename that is done and reports a failure, the file without a name is written on."""
    store, _ = read(tmp_path)
    store.append(ROWS)

    class Failing(Disk):
        def close(self, fd):
            os.close(fd)
            raise OSError(errno.EIO, "close")

        def rename(self, old, new):
            if call != "close":
                if call == "rename":
                    os.rename(old, new)
                raise OSError(errno.EIO, "rename")
            os.rename(old, new)

    store.disk = Failing()
    assert store.rewrite(ROWS[3:]) is (call != "is_file")
    store.disk = Disk()
    assert store.append(ROWS[:1])
    assert read(tmp_path)[1] == (ROWS if call == "is_file" else ROWS[3:]) + ROWS[:1]


@pytest.mark.parametrize(
    "error", [KeyError, IndexError, OverflowError, RecursionError, ZeroDivisionError]
)
def test_a_record_of_no_use_does_not_take_the_later_ones_with_it(tmp_path, error):
    store, _ = read(tmp_path)
    store.append(ROWS)
    found = []

    def load(record, body):
        if record["id"] == "c1":
            raise error("destination")
        found.append(record["id"])

    store = Store(str(tmp_path), 100_000, Disk())
    assert store.replay(load) == 4 and store.odd == 1 and found == ["c0", "c2", "c3", "c4"]


def test_a_rewrite_takes_the_place_of_the_log_and_one_cut_off_leaves_it(tmp_path):
    store, _ = read(tmp_path)
    store.append(ROWS)
    assert store.rewrite(ROWS[3:]) and store.append(ROWS[:1])
    (tmp_path / "log.new").write_bytes(b"half a rewri")
    store, found = read(tmp_path)
    assert found == ROWS[3:] + ROWS[:1] and not (tmp_path / "log.new").exists()

    class Fixed(Disk):
        def rename(self, *_):
            raise OSError("no room")

    store.disk = Fixed()
    assert not store.rewrite([])
    assert store.append(ROWS[1:2]) and read(tmp_path)[1] == ROWS[3:] + ROWS[:2]


@pytest.mark.parametrize("first", [0, 7])
def test_records_come_in_whole_or_not_at_all_when_the_disk_is_full(tmp_path, first):
    class Full(Disk):
        left = None

        def write(self, fd, data):
            if self.left == 0:
                raise OSError("disk full")
            count = os.write(fd, bytes(data)[: self.left])
            self.left = self.left and self.left - count
            return count

    disk = Full()
    store, _ = read(tmp_path, disk=disk)
    store.append(ROWS[:2])
    disk.left = first
    assert not store.append(ROWS[2:4])
    disk.left = None
    assert store.wants_rewrite() and store.append(ROWS[4:])
    assert read(tmp_path)[1] == ROWS[:2] + ROWS[4:]


def test_both_files_together_stay_within_the_room(tmp_path):
    highest, rewrites = 0, 0

    class Watched(Disk):
        def rename(self, a, b):
            nonlocal highest
            highest = max(highest, os.path.getsize(a) + os.path.getsize(b))
            os.rename(a, b)

    most, store = 20_000, read(tmp_path, 20_000, Watched())[0]
    kept = [({"k": "taken", "id": n}, b"x" * 650) for n in range(10)]  # 7/20 of the room
    for row in kept:
        assert store.append([row])
    for n in range(2000):
        assert store.append([({"k": "end", "n": n}, b"")])
        if store.wants_rewrite():
            assert store.rewrite(kept)
            rewrites += 1
    assert 0 < highest <= most and 5 < rewrites < 200
    assert not store.append([({"k": "taken"}, b"x" * most)]), "what has no room is not written"
