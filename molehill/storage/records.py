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
MAGIC = b"\xf1mh\x9c"
# mark, length of the payload, sequence number, checksums of these and of all
HEADER = struct.Struct(">4sIQII")
# bytes of a payload: far over what any front takes; a length beyond it is spoilt
MAX_PAYLOAD = 1 << 24
SALT_SIZE = 8  # bytes: as likely guessed as a checksum of 64 bits


class Record(NamedTuple):
    offset: int  # where it begins in the segment
    sequence: int
    payload: bytes


class Gap(NamedTuple):
    """Bytes that are no whole record: spoilt, or torn if nothing whole follows."""

    offset: int
    length: int


def pack(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """A record's bytes; ValueError for a payload over MOST."""
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"a payload of {len(payload)} bytes, {MAX_PAYLOAD} at most")
    header_checksum = _header_checksum(salt, len(payload), sequence)
    return (
        HEADER.pack(
            MAGIC,
            len(payload),
            sequence,
            header_checksum,
            google_crc32c.extend(header_checksum, payload),
        )
        + payload
    )


def _header_checksum(salt: bytes, length: int, sequence: int) -> int:
    return google_crc32c.value(salt + struct.pack(">IQ", length, sequence))


def _record_at(data: bytes, offset: int, salt: bytes):
    """The record that begins there, or None."""
    if offset + HEADER.size > len(data):
        return None
    magic, length, sequence, header_checksum, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    if (
        magic != MAGIC
        or length > MAX_PAYLOAD
        or start + length > len(data)
        or _header_checksum(salt, length, sequence) != header_checksum
    ):
        return None
    payload = data[start : start + length]
    return (
        Record(offset, sequence, payload)
        if google_crc32c.extend(header_checksum, payload) == checksum
        else None
    )


def scan(data: bytes, salt: bytes, offset: int = 0) -> Iterator[Union[Record, Gap]]:
    """All whole records from there on, in order, and between them what is spoilt."""
    gap_start = offset
    while offset < len(data):
        record = _record_at(data, offset, salt)
        if record is None:
            offset = data.find(MAGIC, offset + 1)
            if offset < 0:
                break
            continue
        if gap_start < offset:
            yield Gap(gap_start, offset - gap_start)
        yield record
        offset = gap_start = offset + HEADER.size + len(record.payload)
    if gap_start < len(data):
        yield Gap(gap_start, len(data) - gap_start)
