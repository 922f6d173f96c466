"""Encodes and decodes messages between members.

A message is a MessagePack array with fixed fields, preceded by a version, the id of the signing key
and a keyed BLAKE2b hash over the fleet's name and the body. It is 1,200 bytes long at most.

Rejecting a message with an invalid signature costs one hash. A signed message that cannot be
decoded raises InvalidMessage as well. A length that a peer states is not trusted before that many
bytes have arrived.
"""

import hashlib
import hmac
from typing import Optional

import msgspec

from molehill.membership.member import (
    ALIVE,
    ALONE,
    CONNECTED,
    JOINING,
    LEFT,
    LOST,
    NO_MAJORITY,
    SUPERSEDED,
    SUSPECT,
    Identity,
    Message,
    Rumour,
)

VERSION = 1
# Size of a datagram, below the smallest path MTU that is met in practice.
MAX_MESSAGE_BYTES = 1200
MAC_BYTES = 16  # a forgery would need 2^127 tries
HEADER_BYTES = 2 + MAC_BYTES
MAX_NAME_LENGTH = 64
KINDS = ("ping", "again", "ack", "nack", "ask", "pass", "word")
STATES = (JOINING, ALIVE, SUSPECT, LOST, LEFT)
STANDINGS = (ALONE, NO_MAJORITY, CONNECTED, SUPERSEDED)
# The signing key and, during a key rotation, the previous or the next one.
MAX_KEYS = 2

IdentityRow = tuple[str, int, int, int]  # an Identity
RumourRow = tuple[IdentityRow, int, str, int, str]  # a Rumour


class Packet(msgspec.Struct, array_like=True):
    """Represents the body of a message as it is encoded."""

    kind: int
    sender: IdentityRow
    host: str
    port: int
    standing: int
    sequence: int
    target: str
    on_behalf_of: Optional[tuple[str, int]]
    rumours: list[RumourRow]


class InvalidMessage(ValueError):
    """Reports that bytes are not a valid message of this fleet; the text says why."""


encode_packet, decode_packet = (
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(Packet).decode,
)


class MessageCodec:
    """Encodes, signs, verifies and decodes messages of one fleet.

    `keys` are one or two keys of 16 to 64 bytes; the first one signs, each is accepted.
    """

    def __init__(self, fleet: str, keys):
        self.keys, self.fleet = list(keys)[:MAX_KEYS], fleet.encode()

    def compute_mac(self, key_index: int, body: bytes) -> bytes:
        """Return the keyed hash of the fleet's name and `body`."""
        return hashlib.blake2b(
            self.fleet + b"\0" + body, key=self.keys[key_index], digest_size=MAC_BYTES
        ).digest()

    def key_id(self, key_index: int) -> int:
        """Return the one-byte id of a key, so that one hash is enough to reject a message."""
        return hashlib.blake2b(b"id", key=self.keys[key_index], digest_size=1).digest()[0]

    def encode(self, message: Message) -> bytes:
        """Return the signed message as bytes, without the rumours that do not fit.

        Rumours left out have been counted as sent; other members spread them too.
        """
        rumours, sender = list(message.rumours), message.sender
        while True:
            body = encode_packet(
                Packet(
                    KINDS.index(message.kind),
                    (sender.name, sender.generation, sender.token, sender.incarnation),
                    message.address[0],
                    message.address[1],
                    STANDINGS.index(message.standing),
                    message.sequence,
                    message.target,
                    message.on_behalf_of,
                    [
                        (
                            tuple(rumour.identity),
                            STATES.index(rumour.state),
                            rumour.address[0],
                            rumour.address[1],
                            rumour.reporter,
                        )
                        for rumour in rumours
                    ],
                )
            )
            if len(body) + HEADER_BYTES <= MAX_MESSAGE_BYTES or not rumours:
                return bytes((VERSION, self.key_id(0))) + self.compute_mac(0, body) + body
            rumours.pop()

    def decode(self, data: bytes) -> Message:
        """Return the message in `data`; raise InvalidMessage if it is not a valid one."""
        if not HEADER_BYTES < len(data) <= MAX_MESSAGE_BYTES or data[0] != VERSION:
            raise InvalidMessage("size or version")
        for key_index in range(len(self.keys)):
            if self.key_id(key_index) == data[1]:
                break
        else:
            raise InvalidMessage("key")
        body = data[HEADER_BYTES:]
        if not hmac.compare_digest(self.compute_mac(key_index, body), data[2:HEADER_BYTES]):
            raise InvalidMessage("signature")
        try:
            packet = decode_packet(body)
            return Message(
                KINDS[checked_number(packet.kind)],
                identity_from_row(packet.sender),
                checked_address(packet.host, packet.port),
                STANDINGS[checked_number(packet.standing)],
                checked_number(packet.sequence),
                checked_name(packet.target, allow_empty=True),
                packet.on_behalf_of
                and (checked_name(packet.on_behalf_of[0]), checked_number(packet.on_behalf_of[1])),
                tuple(
                    Rumour(
                        identity_from_row(row),
                        STATES[checked_number(state)],
                        checked_address(host, port),
                        checked_name(reporter),
                    )
                    for row, state, host, port, reporter in packet.rumours
                ),
            )
        except (msgspec.MsgspecError, IndexError, UnicodeError) as error:
            raise InvalidMessage(str(error)) from None


def checked_number(number: int) -> int:
    """Return `number`; raise InvalidMessage unless it fits into 63 bits."""
    if not 0 <= number < 1 << 63:
        raise InvalidMessage("number is out of range")
    return number


def checked_name(text: str, allow_empty: bool = False) -> str:
    """Return `text`; raise InvalidMessage if it is too long or, by default, empty."""
    if len(text) > MAX_NAME_LENGTH or not text and not allow_empty:
        raise InvalidMessage("name is empty or too long")
    return text


def identity_from_row(row) -> Identity:
    """Return the Identity in a decoded row; raise InvalidMessage if it is out of range."""
    return Identity(
        checked_name(row[0]), checked_number(row[1]), checked_number(row[2]), checked_number(row[3])
    )


def checked_address(host: str, port: int):
    """Return (host, port); raise InvalidMessage unless both are well formed."""
    if not 0 < port < 65536 or not checked_name(host).replace(".", "").replace(":", "").isalnum():
        raise InvalidMessage("address is invalid")
    return host, port
