"""A message as bytes: MessagePack of a fixed row, behind a version, the number of a key, and a keyed BLAKE2b over the fleet's name and the rest.

1,200 bytes at most. What does not verify costs one hash; what verifies and can't be read raises InvalidMessage as well. No length that a peer states
is believed before that many bytes are there.
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
# bytes of a datagram: under the least path that is met in practice
MAX_MESSAGE_BYTES = 1200
MAC_BYTES = 16  # bytes; forged ones would need 2^127 tries
HEADER_BYTES = 2 + MAC_BYTES
MAX_NAME_LENGTH = 64
KINDS = ("ping", "again", "ack", "nack", "ask", "pass", "word")
STATES = (JOINING, ALIVE, SUSPECT, LOST, LEFT)
STANDINGS = (ALONE, NO_MAJORITY, CONNECTED, SUPERSEDED)
# the one that signs, and during a change the one before or after it
MAX_KEYS = 2

IdentityRow = tuple[str, int, int, int]  # an Identity
RumourRow = tuple[IdentityRow, int, str, int, str]  # a Rumour


class Packet(msgspec.Struct, array_like=True):
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
    """Bytes that are no message of this fleet; the text says why."""


encode_packet, decode_packet = (
    msgspec.msgpack.Encoder().encode,
    msgspec.msgpack.Decoder(Packet).decode,
)


class MessageCodec:
    """`keys`: one or two of 16 to 64 bytes; the first signs, each is believed."""

    def __init__(self, fleet: str, keys):
        self.keys, self.fleet = list(keys)[:MAX_KEYS], fleet.encode()

    def compute_mac(self, key_index: int, body: bytes) -> bytes:
        return hashlib.blake2b(
            self.fleet + b"\0" + body, key=self.keys[key_index], digest_size=MAC_BYTES
        ).digest()

    def key_id(self, key_index: int) -> int:
        """Told by a byte, so that one hash is enough to refuse."""
        return hashlib.blake2b(b"id", key=self.keys[key_index], digest_size=1).digest()[0]

    def encode(self, message: Message) -> bytes:
        """Leaves out rumours that do not fit; they have been counted as told, and are told again by others."""
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
        """Raises InvalidMessage."""
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
    if not 0 <= number < 1 << 63:
        raise InvalidMessage("a number out of range")
    return number


def checked_name(text: str, allow_empty: bool = False) -> str:
    if len(text) > MAX_NAME_LENGTH or not text and not allow_empty:
        raise InvalidMessage("a name out of range")
    return text


def identity_from_row(row) -> Identity:
    return Identity(
        checked_name(row[0]), checked_number(row[1]), checked_number(row[2]), checked_number(row[3])
    )


def checked_address(host: str, port: int):
    if not 0 < port < 65536 or not checked_name(host).replace(".", "").replace(":", "").isalnum():
        raise InvalidMessage("an address out of range")
    return host, port
