"""Records in a segment's bytes: whole ones are found again behind whatever was spoilt or torn. Pure; no files.

A record is a mark, its length, its sequence number, a CRC-32C of these and one that goes on over the payload, then the payload.
The checksums begin with the segment's salt, which no client knows: so a payload that holds the bytes of a record is never read as
one, not even when the head before it is spoilt. The head has its own, so that bytes made to look like many heads of long records
cost a search no more than their count.
"""

import struct
from typing import Iterator, NamedTuple, Union

import google_crc32c

# no text in UTF-8 and no small number in MessagePack begins so
MARK = b"\xf1mh\x9c"
# mark, length of the payload, sequence number, checksums of these and of all
HEAD = struct.Struct(">4sIQII")
# bytes of a payload: far over what any front takes; a length beyond it is spoilt
MOST = 1 << 24
SALT = 8  # bytes: as likely guessed as a checksum of 64 bits


class Record(NamedTuple):
    at: int  # where it begins in the segment
    number: int
    payload: bytes


class Gap(NamedTuple):
    """Bytes that are no whole record: spoilt, or torn if nothing whole follows."""

    at: int
    length: int


def pack(salt: bytes, number: int, payload: bytes) -> bytes:
    """A record's bytes; ValueError for a payload over MOST."""
    if len(payload) > MOST:
        raise ValueError(f"a payload of {len(payload)} bytes, {MOST} at most")
    check = _check(salt, len(payload), number)
    return (
        HEAD.pack(MARK, len(payload), number, check, google_crc32c.extend(check, payload)) + payload
    )


def _check(salt: bytes, length: int, number: int) -> int:
    return google_crc32c.value(salt + struct.pack(">IQ", length, number))


def _whole(data: bytes, at: int, salt: bytes):
    """The record that begins there, or None."""
    if at + HEAD.size > len(data):
        return None
    mark, length, number, check, whole = HEAD.unpack_from(data, at)
    start = at + HEAD.size
    if (
        mark != MARK
        or length > MOST
        or start + length > len(data)
        or _check(salt, length, number) != check
    ):
        return None
    payload = data[start : start + length]
    return Record(at, number, payload) if google_crc32c.extend(check, payload) == whole else None


def scan(data: bytes, salt: bytes, at: int = 0) -> Iterator[Union[Record, Gap]]:
    """All whole records from there on, in order, and between them what is spoilt."""
    lost = at
    while at < len(data):
        record = _whole(data, at, salt)
        if record is None:
            at = data.find(MARK, at + 1)
            if at < 0:
                break
            continue
        if lost < at:
            yield Gap(lost, at - lost)
        yield record
        at = lost = at + HEAD.size + len(record.payload)
    if lost < len(data):
        yield Gap(lost, len(data) - lost)
