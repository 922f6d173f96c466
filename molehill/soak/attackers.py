"""Clients that send at full speed what no usual client sends, as a process of their own.

    python -m molehill.soak.attackers KIND ADDRESS PORT SECONDS CLIENTS

It ends by itself after that many seconds. What the relay answers is read and dropped; a connection
that ends is made anew.
"""

import selectors
import socket
import sys
import time
from enum import Enum
from typing import Callable, Optional

READ_SIZE = 1 << 20
SELECT_TIMEOUT_S = 0.05
READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
BATCH = 50  # requests that are written together
EMPTY_LINES = b"\r\n" * 4096
FIELD_BYTES = 15_500  # of the short fields of one head
UNFINISHED_BODY_BYTES = 64 * 1024


class AttackKind(Enum):
    """What the clients send; the values are the names on the command line."""

    EMPTY_LINES = "empty lines"  # and no request
    MANY_FIELDS = "many fields"  # in a head, then a part of the body, and they stay
    UNKNOWN_CLASSES = "unknown classes"  # a new name in each request
    HALF_REQUESTS = "half requests"  # all but the end of a large body, and they stay
    LEAVE = "leave"  # many requests in one write, and they close


def build_request(request_id: str, class_name: str, fields: str = "", length: int = 0) -> bytes:
    """Returns a request without its body; `fields`: further lines of its head."""
    return (
        f"POST /api HTTP/1.1\r\nReq-Id: {request_id}\r\nReq-Kind: {class_name}\r\n"
        f"X-Consignee: dest=0\r\nIdempotency-Key: m-{request_id}\r\nReq-Deadline-Ms: 1000\r\n"
        f"{fields}Content-Length: {length}\r\n\r\n"
    ).encode()


def short_fields() -> str:
    """Returns the lines of as many different fields as FIELD_BYTES hold."""
    lines = "".join(f"{number:x}:\r\n" for number in range(FIELD_BYTES))
    return lines[:FIELD_BYTES].rpartition("\r\n")[0] + "\r\n"


def build_batch(class_name: Callable[[str], str]) -> Callable[[str], bytes]:
    """Returns a function from a prefix of ids to a batch of requests."""

    def build(prefix: str) -> bytes:
        ids = [f"{prefix}-{number}" for number in range(BATCH)]
        return b"".join(build_request(request_id, class_name(request_id)) for request_id in ids)

    return build


FIELDS = short_fields()
BUILDERS: dict[AttackKind, Callable[[str], bytes]] = {
    AttackKind.EMPTY_LINES: lambda prefix: EMPTY_LINES,
    AttackKind.MANY_FIELDS: lambda prefix: build_request(prefix, "rate", FIELDS, 1),
    AttackKind.UNKNOWN_CLASSES: build_batch(lambda request_id: f"class-{request_id}"),
    AttackKind.HALF_REQUESTS: lambda prefix: (
        build_request(prefix, "rate", length=UNFINISHED_BODY_BYTES)
        + b"x" * (UNFINISHED_BODY_BYTES - 1)
    ),
    AttackKind.LEAVE: build_batch(lambda request_id: "rate"),
}
STAYING_KINDS = (AttackKind.MANY_FIELDS, AttackKind.HALF_REQUESTS)  # write once a connection


class Attacker:
    """One client, with one connection at a time."""

    def __init__(self, number: int, kind: AttackKind, relay: tuple[str, int], selector):
        self.number, self.kind, self.relay, self.selector = number, kind, relay, selector
        self.sock: Optional[socket.socket] = None
        self.written_count, self.unsent = 0, b""
        self.open()

    def open(self) -> None:
        """Connects, and writes as soon as the connection is up."""
        self.sock, self.unsent = socket.socket(), self.build_next()
        self.sock.setblocking(False)
        self.sock.connect_ex(self.relay)
        self.selector.register(self.sock, READ | WRITE, self)

    def reopen(self) -> None:
        """Closes the connection and connects again."""
        self.selector.unregister(self.sock)
        self.sock.close()
        self.open()

    def build_next(self) -> bytes:
        """Returns what is to be written next."""
        self.written_count += 1
        return BUILDERS[self.kind](f"attack-{self.number}-{self.written_count}")

    def handle(self, mask: int) -> None:
        """Reads and writes what the connection allows."""
        try:
            if mask & READ and not self.sock.recv(READ_SIZE):
                return self.reopen()
            if mask & WRITE:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]
                if not self.unsent:
                    self.after_write()
        except BlockingIOError:
            pass
        except OSError:
            self.reopen()

    def after_write(self) -> None:
        """Goes on as the kind says once all is written."""
        if self.kind is AttackKind.LEAVE:
            self.reopen()
        elif self.kind in STAYING_KINDS:
            self.selector.modify(self.sock, READ, self)
        else:
            self.unsent = self.build_next()


def attack(kind: AttackKind, relay: tuple[str, int], span: float, client_count: int) -> None:
    """Runs that many clients for `span` seconds."""
    selector, until = selectors.DefaultSelector(), time.monotonic() + span
    for number in range(client_count):
        Attacker(number, kind, relay, selector)
    while time.monotonic() < until:
        for key, mask in selector.select(SELECT_TIMEOUT_S):
            key.data.handle(mask)


if __name__ == "__main__":
    kind_name, address, port, span, client_count = sys.argv[1:]
    attack(AttackKind(kind_name), (address, int(port)), float(span), int(client_count))
