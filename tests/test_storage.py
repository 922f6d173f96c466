"""Tests of storage/: corrupt bytes, torn tails, payloads that look like records, and space."""

from random import Random

import pytest

from molehill.storage import codec, records, space
from molehill.storage.drive import SpaceSimulator
from molehill.storage.records import HEADER, MAGIC, Gap, Record, pack, scan

SALT = b"saltsalt"


def segment(payloads, salt=SALT):
    return b"".join(pack(salt, n, payload) for n, payload in enumerate(payloads, 1))


def whole_records(data, salt=SALT):
    return [(r.sequence, r.payload) for r in scan(data, salt) if type(r) is Record]


def test_corrupt_byte_loses_one_record():
    random = Random(4)
    payloads = [b"", MAGIC, b"x" * 40, MAGIC * 3, random.randbytes(30), b"last"]
    data = segment(payloads)
    ends = [
        at
        for at in range(len(data) + 1)
        if len(whole_records(data[:at])) != len(whole_records(data[: max(0, at - 1)]))
    ]
    for at in range(len(data)):
        for value in {0, 255, data[at] ^ 1, MAGIC[0]} - {data[at]}:
            corrupted = data[:at] + bytes([value]) + data[at + 1 :]
            hit = sum(end <= at for end in ends)
            assert whole_records(corrupted) == [
                row for n, row in enumerate(enumerate(payloads, 1)) if n != hit
            ]
            gaps = [r for r in scan(corrupted, SALT) if type(r) is Gap]
            assert gaps == [Gap(([0] + ends)[hit], HEADER.size + len(payloads[hit]))]


def test_torn_segment_reports_remaining_gap():
    data = segment([b"one", b"", b"three" * 9])
    for at in range(len(data) + 1):
        found = list(scan(data[:at], SALT))
        kept = sum(HEADER.size + len(r.payload) for r in found if type(r) is Record)
        assert kept + sum(r.length for r in found if type(r) is Gap) == at
        assert [r.payload for r in found if type(r) is Record] == [b"one", b"", b"three" * 9][
            : sum(type(r) is Record for r in found)
        ]


def test_forged_record_in_payload_is_ignored():
    """Guards against a client's payload that is read as a record and ends another's callback."""
    forged = pack(b"guessed.", 9, b"end of another")
    data = bytearray(segment([b"first", b".." + forged + b"..", b"third"]))
    at = data.index(MAGIC, 1)
    data[at] ^= 1
    assert whole_records(bytes(data)) == [(1, b"first"), (3, b"third")]
    assert whole_records(forged, b"guessed.") == [(9, b"end of another")]


def test_forged_headers_cost_no_payload_reads(monkeypatch):
    """Guards against a start that takes time quadratic in the segment's size.

    It would, if a corrupt header came before a body full of forged headers and each were followed.
    """
    read = []
    extend = records.google_crc32c.extend
    body = HEADER.pack(MAGIC, 5000, 7, 0, 0) * 400
    data = bytearray(segment([body, b"next"]))
    data[0] ^= 1
    monkeypatch.setattr(
        records.google_crc32c,
        "extend",
        lambda check, chunk: read.append(len(chunk)) or extend(check, chunk),
    )
    assert whole_records(bytes(data)) == [(2, b"next")] and sum(read) == 4


def test_oversized_payload_is_refused(monkeypatch):
    monkeypatch.setattr(records, "MAX_PAYLOAD", 10)
    with pytest.raises(ValueError):
        pack(SALT, 1, b"x" * 11)
    data = segment([b"a", b"x" * 10])
    assert whole_records(data) == [(1, b"a"), (2, b"x" * 10)]
    monkeypatch.setattr(records, "MAX_PAYLOAD", 9)
    assert whole_records(data) == [(1, b"a")]


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
def test_codec_versions_round_trip(version):
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
    with pytest.raises(codec.CodecError, match="version 99"):  # of a later release
        codec.decode(99, payload)


@pytest.mark.parametrize("lifetimes", ["short", "mixed", "long first"])
def test_admitted_states_always_fit(lifetimes):
    random, simulator, held, refused = Random(5), SpaceSimulator(1_000_000, 20_000), [], 0
    for n in range(30_000):
        if simulator.space.can_admit(300, 160):
            simulator.append(300, f"c{n}", 160)
            held.append(f"c{n}")
        else:
            refused += 1
            stays = 900 if lifetimes == "long first" else 0
            at = stays + random.randrange(len(held) - stays) if lifetimes != "short" else 0
            callback_id = held.pop(at)
            simulator.append(80, callback_id)
            simulator.append(80, callback_id)
            simulator.space.remove_state(callback_id)
    assert refused > 5000 and simulator.space.live_bytes == 300 * len(held)
    assert simulator.most_moved <= 40 and simulator.written < 12 * simulator.appended
    for callback_id in held:
        simulator.space.remove_state(callback_id)
    simulator.append(20_000)
    assert (
        simulator.space.live_bytes == simulator.space.reserved_bytes == 0
        and len(simulator.space.segments) == 1
    )
    assert not simulator.space.locations and not simulator.space.reserved


def test_small_space_and_unknown_ids():
    with pytest.raises(ValueError):
        space.Space(7 * 1024, 1024)
    simulator = SpaceSimulator(8 * 1024, 1024)
    simulator.append(100, "a", 50)
    simulator.space.remove_state("never there")
    assert simulator.space.empty_segments() == [] and simulator.space.live_bytes == 100
    simulator.append(2000, "b", 50)  # longer than a segment: it gets one of its own
    assert len(simulator.space.segments) == 2 and simulator.space.used_bytes == 512 + 2048
