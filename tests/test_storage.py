"""Storage: what a spoilt byte, a torn tail or a payload made to look like a record can cost."""

from random import Random

import pytest

from molehill.storage import codec, records, space
from molehill.storage.drive import Disk
from molehill.storage.records import HEAD, MARK, Gap, Record, pack, scan

SALT = b"saltsalt"


def segment(payloads, salt=SALT):
    return b"".join(pack(salt, n, payload) for n, payload in enumerate(payloads, 1))


def whole(data, salt=SALT):
    return [(r.number, r.payload) for r in scan(data, salt) if type(r) is Record]


def test_each_byte_spoilt_in_turn_costs_the_record_that_it_lies_in_and_no_other():
    chance = Random(4)
    payloads = [b"", MARK, b"x" * 40, MARK * 3, chance.randbytes(30), b"last"]
    data = segment(payloads)
    ends = [
        at
        for at in range(len(data) + 1)
        if len(whole(data[:at])) != len(whole(data[: max(0, at - 1)]))
    ]
    for at in range(len(data)):
        for value in {0, 255, data[at] ^ 1, MARK[0]} - {data[at]}:
            spoilt = data[:at] + bytes([value]) + data[at + 1 :]
            hit = sum(end <= at for end in ends)
            assert whole(spoilt) == [
                row for n, row in enumerate(enumerate(payloads, 1)) if n != hit
            ]
            gaps = [r for r in scan(spoilt, SALT) if type(r) is Gap]
            assert gaps == [Gap(([0] + ends)[hit], HEAD.size + len(payloads[hit]))]


def test_torn_at_any_byte_all_before_it_is_read_and_the_rest_is_told():
    data = segment([b"one", b"", b"three" * 9])
    for at in range(len(data) + 1):
        found = list(scan(data[:at], SALT))
        kept = sum(HEAD.size + len(r.payload) for r in found if type(r) is Record)
        assert kept + sum(r.length for r in found if type(r) is Gap) == at
        assert [r.payload for r in found if type(r) is Record] == [b"one", b"", b"three" * 9][
            : sum(type(r) is Record for r in found)
        ]


def test_a_payload_made_to_look_like_a_record_is_never_one_though_its_own_head_is_spoilt():
    """Danger: a client's words that end another client's callback."""
    forged = pack(b"guessed.", 9, b"end of another")
    data = bytearray(segment([b"first", b".." + forged + b"..", b"third"]))
    at = data.index(MARK, 1)
    data[at] ^= 1
    assert whole(bytes(data)) == [(1, b"first"), (3, b"third")]
    assert whole(forged, b"guessed.") == [(9, b"end of another")]


def test_bytes_like_many_long_heads_are_not_read_once_for_each(monkeypatch):
    """Danger: a spoilt head before such a body makes the start as slow as the square of the segment."""
    read = []
    extend = records.google_crc32c.extend
    body = HEAD.pack(MARK, 5000, 7, 0, 0) * 400
    data = bytearray(segment([body, b"next"]))
    data[0] ^= 1
    monkeypatch.setattr(
        records.google_crc32c,
        "extend",
        lambda check, chunk: read.append(len(chunk)) or extend(check, chunk),
    )
    assert whole(bytes(data)) == [(2, b"next")] and sum(read) == 4


def test_a_payload_that_is_too_long_is_not_packed_and_a_length_too_long_is_spoilt(monkeypatch):
    monkeypatch.setattr(records, "MOST", 10)
    with pytest.raises(ValueError):
        pack(SALT, 1, b"x" * 11)
    data = segment([b"a", b"x" * 10])
    assert whole(data) == [(1, b"a"), (2, b"x" * 10)]
    monkeypatch.setattr(records, "MOST", 9)
    assert whole(data) == [(1, b"a")]


FIELDS = {
    "k": "taken",
    "id": "\u00e9\n\x00'\"",
    "due": 1_800_000_024_123_456_789,
    "key": None,
    "share": 0.1,
    "ids": ["a", ""],
    "on": True,
}


@pytest.mark.parametrize("version", sorted(codec.VERSIONS))
def test_each_version_gives_back_what_it_was_given_and_tells_what_it_can_t_read(version):
    for body in (b"", b"two\nlines\n", bytes(range(256))):
        payload = codec.encode(version, FIELDS, body)
        assert codec.decode(version, payload) == (FIELDS, body)
    for bad in (
        b"",
        b"\n",
        b"[1]\n",
        b"\xc1",
        b"\x92\x01\x02",
        b"\x91\x80",
        b"{" * 100_000 + b"\n",
        payload[:5],
    ):
        with pytest.raises(codec.CodecError, match=f"version {version}"):
            codec.decode(version, bad)
    with pytest.raises(codec.CodecError, match="version 99"):  # a later release's
        codec.decode(99, payload)


@pytest.mark.parametrize("lives", ["short", "mixed", "long first"])
def test_all_that_is_admitted_fits_whatever_lives_how_long_and_the_room_is_never_used_up(lives):
    chance, disk, held, refused = Random(5), Disk(1_000_000, 20_000), [], 0
    for n in range(30_000):
        if disk.space.may_take(300, 160):
            disk.append(300, f"c{n}", 160)
            held.append(f"c{n}")
        else:
            refused += 1
            stays = 900 if lives == "long first" else 0
            at = stays + chance.randrange(len(held) - stays) if lives != "short" else 0
            ident = held.pop(at)
            disk.append(80, ident)
            disk.append(80, ident)
            disk.space.over(ident)
    assert refused > 5000 and disk.space.owed == 300 * len(held)
    assert disk.longest <= 40 and disk.written < 12 * disk.asked
    for ident in held:
        disk.space.over(ident)
    disk.append(20_000)
    assert disk.space.owed == disk.space.promised == 0 and len(disk.space.segments) == 1
    assert not disk.space.places and not disk.space.reserved


def test_too_little_room_is_an_error_and_an_unknown_callback_s_end_is_passed_over():
    with pytest.raises(ValueError):
        space.Space(7 * 1024, 1024)
    disk = Disk(8 * 1024, 1024)
    disk.append(100, "a", 50)
    disk.space.over("never there")
    assert disk.space.empty() == [] and disk.space.owed == 100
    disk.append(2000, "b", 50)  # longer than a segment: one of its own
    assert len(disk.space.segments) == 2 and disk.space.used == 512 + 2048
