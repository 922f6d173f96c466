"""The log: torn tails, odd records, rewrites, and files that take no more."""
import os

import pytest

from molehill.runtime.kernel import Disk
from molehill.store import Store

ROWS = [({"k": "taken", "id": f"c{n}"}, bytes([n]) * 40) for n in range(5)]


def read(folder, most=100_000, disk=None):
    store, found = Store(str(folder), most, disk or Disk()), []
    store.replay(lambda record, body: found.append((record, body)))
    return store, found


def test_a_tail_torn_at_any_byte_is_cut_and_what_follows_is_read_again(tmp_path):
    store, _ = read(tmp_path)
    assert store.append(ROWS)
    store.close()
    whole, sizes = (tmp_path / "log").read_bytes(), [len(Store.encode(*row)) for row in ROWS]
    for cut in range(len(whole)):
        (tmp_path / "log").write_bytes(whole[:cut])
        store, found = read(tmp_path)
        assert found == ROWS[:sum(1 for n in range(5) if sum(sizes[:n + 1]) <= cut)]
        assert store.append(ROWS[:1])
        store.close()
        assert read(tmp_path)[1] == found + ROWS[:1]


def test_a_spoilt_byte_ends_the_log_there(tmp_path):
    store, _ = read(tmp_path)
    store.append(ROWS)
    data = bytearray((tmp_path / "log").read_bytes())
    data[len(Store.encode(*ROWS[0])) + 20] ^= 1
    (tmp_path / "log").write_bytes(data)
    store, found = read(tmp_path)
    assert found == ROWS[:1] and store.cut == len(data) - len(Store.encode(*ROWS[0]))
    assert store.append(ROWS[4:])          # as long as the spoilt one: the old ones behind it stay gone
    assert read(tmp_path)[1] == ROWS[:1] + ROWS[4:]


@pytest.mark.parametrize("error", [KeyError, IndexError, OverflowError, RecursionError, ZeroDivisionError])
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
            count = os.write(fd, bytes(data)[:self.left])
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
    kept = [({"k": "taken", "id": n}, b"x" * 650) for n in range(10)]     # 7/20 of the room
    for row in kept:
        assert store.append([row])
    for n in range(2000):
        assert store.append([({"k": "end", "n": n}, b"")])
        if store.wants_rewrite():
            assert store.rewrite(kept)
            rewrites += 1
    assert 0 < highest <= most and 5 < rewrites < 200
    assert not store.append([({"k": "taken"}, b"x" * most)]), "what has no room is not written"
