"""Packs records into a segment's bytes, and finds whole ones again after corrupt or torn bytes.

A record is a magic number, the payload's length, a sequence number, a CRC-32C of length and
sequence number, one that continues over the payload, and then the payload. The checksums begin with
the segment's salt, which no client knows: so a payload that contains the bytes of a record is never
read as one, not even if the header before it is corrupt. The header has a separate checksum, so
that a scan of bytes made to look like many headers of long records takes no more time than their
number requires.
The module is pure and touches no files.
"""

import struct
from typing import Iterator, NamedTuple, Union

import google_crc32c

# no UTF-8 text and no small number in MessagePack begins with these bytes
MAGIC = b"\xf1mh\x9c"
# magic, payload length, sequence number, checksum of these two, checksum including the payload
HEADER = struct.Struct(">4sIQII")
# bytes of a payload: far more than the relay accepts from a client; a greater length is corrupt
MAX_PAYLOAD = 1 << 24
SALT_SIZE = 8  # bytes: as hard to guess as a 64-bit checksum


class Record(NamedTuple):
    """A whole record of a segment."""

    offset: int  # where it begins in the segment
    sequence: int
    payload: bytes


class Gap(NamedTuple):
    """Bytes that are no whole record: corrupt, or torn if no whole record follows."""

    offset: int
    length: int


def pack(salt: bytes, sequence: int, payload: bytes) -> bytes:
    """Returns a record's bytes. Raises ValueError for a payload longer than MAX_PAYLOAD."""
    if len(payload) > MAX_PAYLOAD:
        raise ValueError(f"payload of {len(payload)} bytes; the limit is {MAX_PAYLOAD} bytes")
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
    """Returns the whole record that begins at `offset`, or None."""
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
    """Yields all whole records from `offset` on, in order, and the gaps between them."""
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
