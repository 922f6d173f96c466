"""A record's fields and body as a payload, by the version that a segment names. Pure.

A version is never changed once a release wrote it; another form gets a number of its own, and all stay readable.
"""

import json

import msgspec

_encode_msgpack, _decode_msgpack = (
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder().decode,
)
_encode_json, _decode_json = msgspec.json.Encoder().encode, msgspec.json.Decoder().decode


class CodecError(Exception):
    """A payload that its version does not read, or a version that is not known here; the text says which."""


def _split_line(payload: bytes):
    line, separator, body = payload.partition(b"\n")
    if not separator:
        raise ValueError("no end of the fields")
    return line, body


def _read_plain_json(payload: bytes):
    line, body = _split_line(payload)
    return json.loads(line), body


def _read_msgspec_json(payload: bytes):
    line, body = _split_line(payload)
    return _decode_json(line), body


# version -> (fields and body to a payload, and back): 1 the log's form before segments, 2 the same by msgspec, 3 MessagePack
VERSIONS = {
    1: (
        lambda fields, body: json.dumps(fields, separators=(",", ":")).encode("ascii")
        + b"\n"
        + body,
        _read_plain_json,
    ),
    2: (lambda fields, body: _encode_json(fields) + b"\n" + body, _read_msgspec_json),
    3: (
        lambda fields, body: _encode_msgpack((fields, body)),
        lambda payload: tuple(_decode_msgpack(payload)),
    ),
}


def encode(version: int, fields: dict, body: bytes = b"") -> bytes:
    """KeyError for a version that is not in VERSIONS."""
    return VERSIONS[version][0](fields, body)


def decode(version: int, payload: bytes) -> tuple[dict, bytes]:
    """(fields, body); CodecError for what can't be read, whatever it holds."""
    if version not in VERSIONS:
        raise CodecError(
            f"version {version} of the records is not known here; known are {sorted(VERSIONS)}"
        )
    try:
        fields, body = VERSIONS[version][1](payload)
    except (ValueError, TypeError, RecursionError, msgspec.DecodeError) as error:
        raise CodecError(f"a record of version {version} that can't be read: {error}") from None
    if type(fields) is not dict or type(body) is not bytes:
        raise CodecError(f"a record of version {version} that is no fields and body")
    return fields, body
