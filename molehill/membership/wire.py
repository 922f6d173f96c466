"""A message as bytes: MessagePack of a fixed row, behind a version, the number of a key, and a keyed BLAKE2b over the fleet's name and the rest.

1,200 bytes at most. What does not verify costs one hash; what verifies and can't be read raises Unread as well. No length that a peer states
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
    SUPERSEDED,
    SUSPECT,
    THINNED,
    Message,
    Rumour,
    Who,
)

VERSION = 1
# bytes of a datagram: under the least path that is met in practice
MOST = 1200
MAC = 16  # bytes; forged ones would need 2^127 tries
HEAD = 2 + MAC
NAME_MOST = 64
KINDS = ("ping", "again", "ack", "nack", "ask", "pass", "word")
STATES = (JOINING, ALIVE, SUSPECT, LOST, LEFT)
STANDINGS = (ALONE, THINNED, CONNECTED, SUPERSEDED)
# the one that signs, and during a change the one before or after it
KEYS_MOST = 2

Row = tuple[str, int, int, int]  # a Who
Told = tuple[Row, int, str, int, str]  # a Rumour


class Packet(msgspec.Struct, array_like=True):
    kind: int
    sender: Row
    host: str
    port: int
    standing: int
    seq: int
    target: str
    asked: Optional[tuple[str, int]]
    rumours: list[Told]


class Unread(ValueError):
    """Bytes that are no message of this fleet; the text says why."""


encode, decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Packet).decode


class Wire:
    """`keys`: one or two of 16 to 64 bytes; the first signs, each is believed."""

    def __init__(self, fleet: str, keys):
        self.keys, self.fleet = list(keys)[:KEYS_MOST], fleet.encode()

    def mac(self, n: int, body: bytes) -> bytes:
        return hashlib.blake2b(
            self.fleet + b"\0" + body, key=self.keys[n], digest_size=MAC
        ).digest()

    def key_id(self, n: int) -> int:
        """Told by a byte, so that one hash is enough to refuse."""
        return hashlib.blake2b(b"id", key=self.keys[n], digest_size=1).digest()[0]

    def write(self, message: Message) -> bytes:
        """Leaves out rumours that do not fit; they have been counted as told, and are told again by others."""
        rumours, sender = list(message.rumours), message.sender
        while True:
            body = encode(
                Packet(
                    KINDS.index(message.kind),
                    (sender.name, sender.number, sender.token, sender.turn),
                    message.address[0],
                    message.address[1],
                    STANDINGS.index(message.standing),
                    message.seq,
                    message.target,
                    message.asked,
                    [
                        (tuple(r.who), STATES.index(r.state), r.address[0], r.address[1], r.by)
                        for r in rumours
                    ],
                )
            )
            if len(body) + HEAD <= MOST or not rumours:
                return bytes((VERSION, self.key_id(0))) + self.mac(0, body) + body
            rumours.pop()

    def read(self, data: bytes) -> Message:
        """Raises Unread."""
        if not HEAD < len(data) <= MOST or data[0] != VERSION:
            raise Unread("size or version")
        for n in range(len(self.keys)):
            if self.key_id(n) == data[1]:
                break
        else:
            raise Unread("key")
        body = data[HEAD:]
        if not hmac.compare_digest(self.mac(n, body), data[2:HEAD]):
            raise Unread("signature")
        try:
            p = decode(body)
            return Message(
                KINDS[natural(p.kind)],
                who(p.sender),
                place(p.host, p.port),
                STANDINGS[natural(p.standing)],
                natural(p.seq),
                named(p.target, empty=True),
                p.asked and (named(p.asked[0]), natural(p.asked[1])),
                tuple(
                    Rumour(who(row), STATES[natural(state)], place(host, port), named(by))
                    for row, state, host, port, by in p.rumours
                ),
            )
        except (msgspec.MsgspecError, IndexError, UnicodeError) as error:
            raise Unread(str(error)) from None


def natural(number: int) -> int:
    if not 0 <= number < 1 << 63:
        raise Unread("a number out of range")
    return number


def named(text: str, empty: bool = False) -> str:
    if len(text) > NAME_MOST or not text and not empty:
        raise Unread("a name out of range")
    return text


def who(row) -> Who:
    return Who(named(row[0]), natural(row[1]), natural(row[2]), natural(row[3]))


def place(host: str, port: int):
    if not 0 < port < 65536 or not named(host).replace(".", "").replace(":", "").isalnum():
        raise Unread("an address out of range")
    return host, port
