"""Encodes a record's fields and body as a payload, in the version that a segment names. Pure.

A version is never changed once a release has written it. A new format gets a new number, and all
versions stay readable.
"""

import json

import msgspec

_encode_msgpack, _decode_msgpack = (
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder().decode,
)
_encode_json, _decode_json = msgspec.json.Encoder().encode, msgspec.json.Decoder().decode


class CodecError(Exception):
    """Raised for a payload that its version can't read, or for an unknown version."""


def _split_line(payload: bytes):
    line, separator, body = payload.partition(b"\n")
    if not separator:
        raise ValueError("no line end after the fields")
    return line, body


def _read_plain_json(payload: bytes):
    line, body = _split_line(payload)
    return json.loads(line), body


def _read_msgspec_json(payload: bytes):
    line, body = _split_line(payload)
    return _decode_json(line), body


# version -> (encoder of fields and body, decoder). 1: the log's format before segments; 2: the same
# by msgspec; 3: MessagePack.
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
    """Returns the payload. Raises KeyError for a version that is not in VERSIONS."""
    return VERSIONS[version][0](fields, body)


def decode(version: int, payload: bytes) -> tuple[dict, bytes]:
    """Returns (fields, body). Raises CodecError for whatever can't be read."""
    if version not in VERSIONS:
        raise CodecError(f"unknown record version {version}; known versions: {sorted(VERSIONS)}")
    try:
        fields, body = VERSIONS[version][1](payload)
    except (ValueError, TypeError, RecursionError, msgspec.DecodeError) as error:
        raise CodecError(f"can't decode a record of version {version}: {error}") from None
    if type(fields) is not dict or type(body) is not bytes:
        raise CodecError(f"a record of version {version} is not a pair of fields and body")
    return fields, body
